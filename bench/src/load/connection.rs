//! A connection of a caller, on which simple queries are run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use cactushatch::clock::Clock;
use cactushatch::pgsql::{Client, Error};
use fallible_iterator::FallibleIterator;
use postgres_protocol::message::{backend, frontend};

use crate::history::ErrorResponse;

/// How long a caller waits for a connection and the start of its session.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a caller waits for a final answer; longer than every declared deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// The final answer to a statement.
#[derive(Debug)]
pub enum Reply {
    /// The statement succeeded; its rows, with every column as text.
    Done(Vec<Vec<String>>),
    /// The statement failed with an error.
    Failed(ErrorResponse),
}

/// A connection to a proxy, or directly to an instance.
#[derive(Debug)]
pub struct Connection {
    client: Client,
    clock: Clock,
    /// The session's floor as the proxy last reported it.
    pub floor: Option<String>,
}

impl Connection {
    /// Connects as the user `load`; `options` go into the start-up message.
    pub async fn open(address: SocketAddr, group: &str, options: &str) -> Result<Self, Error> {
        Self::open_as("load", address, group, options).await
    }

    /// Connects as `user`; `options` go into the start-up message.
    pub async fn open_as(
        user: &str,
        address: SocketAddr,
        group: &str,
        options: &str,
    ) -> Result<Self, Error> {
        let clock = Clock::system();
        let mut parameters = vec![("user", user), ("database", group)];
        if !options.is_empty() {
            parameters.push(("options", options));
        }
        let client = Client::connect(&clock, address, &parameters, None, OPEN_TIMEOUT).await?;
        Ok(Self { client, clock, floor: None })
    }

    /// Runs a simple query; fails if no final answer comes within the timeout.
    pub async fn query(&mut self, sql: &str) -> Result<Reply, Error> {
        let clock = self.clock.clone();
        let answer = clock.timeout(ANSWER_TIMEOUT, self.exchange(sql)).await;
        answer.unwrap_or(Err(Error::Timeout(ANSWER_TIMEOUT)))
    }

    async fn exchange(&mut self, sql: &str) -> Result<Reply, Error> {
        let mut out = BytesMut::new();
        frontend::query(sql, &mut out)?;
        self.client.send(&out).await?;
        let mut rows = Vec::new();
        let mut error = None;
        loop {
            let message = match (self.client.receive().await, &error) {
                // A fatal error is the last message of a connection; no ReadyForQuery follows.
                (Err(_), Some(response)) if is_fatal(response) => break,
                (message, _) => message?,
            };
            let mut bytes = BytesMut::with_capacity(message.body.len() + 5);
            message.write(&mut bytes);
            match backend::Message::parse(&mut bytes)? {
                Some(backend::Message::DataRow(body)) => rows.push(text_columns(&body)?),
                Some(backend::Message::ErrorResponse(body)) => error = Some(error_response(&body)),
                Some(backend::Message::ParameterStatus(body)) => self.record_floor(&body)?,
                Some(backend::Message::ReadyForQuery(_)) => break,
                _ => {}
            }
        }
        Ok(error.map_or(Reply::Done(rows), Reply::Failed))
    }

    fn record_floor(&mut self, body: &backend::ParameterStatusBody) -> Result<(), Error> {
        if body.name()? == "cactushatch.floor" {
            self.floor = Some(body.value()?.to_owned());
        }
        Ok(())
    }
}

/// Returns whether the proxy closes the connection after this error, as it does when it shuts down.
pub fn is_fatal(response: &ErrorResponse) -> bool {
    response.code == "57P01"
}

fn text_columns(body: &backend::DataRowBody) -> Result<Vec<String>, Error> {
    let buffer = body.buffer_bytes();
    let mut columns = Vec::new();
    let mut ranges = body.ranges();
    while let Some(range) = ranges.next()? {
        let bytes = range.map_or(&[][..], |range| &buffer[range]);
        columns.push(String::from_utf8_lossy(bytes).into_owned());
    }
    Ok(columns)
}

fn error_response(body: &backend::ErrorResponseBody) -> ErrorResponse {
    let mut response =
        ErrorResponse { code: String::new(), detail: String::new(), message: String::new() };
    let mut fields = body.fields();
    while let Ok(Some(field)) = fields.next() {
        let value = String::from_utf8_lossy(field.value_bytes()).into_owned();
        match field.type_() {
            b'C' => response.code = value,
            b'D' => response.detail = value,
            b'M' => response.message = value,
            _ => {}
        }
    }
    response
}
