//! A plain client of an upstream, for probes, positions and promotions, and the base of pooled connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::backend;
use postgres_protocol::message::frontend;
use smol::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};

use super::{Error, Message, Socket, read_message};
use crate::clock::Clock;
use crate::security::{File, Upstream};

/// The columns of one row as text; NULL is `None`.
pub type Row = Vec<Option<String>>;

/// A connection to an upstream that has finished its start-up.
#[derive(Debug)]
pub struct Client {
    reader: BufReader<Socket>,
    /// The process id and the secret that a cancel request names.
    key: (i32, i32),
    /// The parameters that the server reported.
    parameters: Vec<(String, String)>,
}

impl Client {
    /// Connects and starts a session with `parameters` (at least `user` and `database`), by TLS and with a password
    /// when `upstream` has them.
    ///
    /// # Errors
    ///
    /// Fails when the server can't be reached within `timeout`, or refuses.
    pub async fn open(
        clock: &Clock,
        address: SocketAddr,
        parameters: &[(&str, &str)],
        upstream: Option<&Upstream>,
        timeout: Duration,
    ) -> Result<Self, Error> {
        let opened = clock.timeout(timeout, Self::start(address, parameters, upstream)).await;
        opened.unwrap_or(Err(Error::Timeout(timeout)))
    }

    async fn start(
        address: SocketAddr,
        parameters: &[(&str, &str)],
        upstream: Option<&Upstream>,
    ) -> Result<Self, Error> {
        let connector = upstream.and_then(|upstream| upstream.connector.as_ref());
        let password = upstream.and_then(|upstream| upstream.password.as_ref());
        let password = password.map(File::get);
        let socket = Socket::open(address, connector).await?;
        let mut client =
            Self { reader: BufReader::new(socket), key: (0, 0), parameters: Vec::new() };
        let mut out = BytesMut::new();
        frontend::startup_message(parameters.iter().copied(), &mut out)?;
        client.send(&out).await?;
        client.authenticate(password.as_deref().map(String::as_str)).await?;
        client.greet().await?;
        Ok(client)
    }

    async fn authenticate(&mut self, password: Option<&str>) -> Result<(), Error> {
        let mut scram = None;
        loop {
            let mut out = BytesMut::new();
            match decode(&self.receive().await?)? {
                backend::Message::AuthenticationOk => return Ok(()),
                backend::Message::AuthenticationCleartextPassword => {
                    frontend::password_message(required(password)?, &mut out)?;
                }
                backend::Message::AuthenticationSasl(_) => {
                    let start =
                        ScramSha256::new(required(password)?, ChannelBinding::unsupported());
                    frontend::sasl_initial_response(SCRAM_SHA_256, start.message(), &mut out)?;
                    scram = Some(start);
                }
                backend::Message::AuthenticationSaslContinue(body) => {
                    let scram = scram.as_mut().ok_or(Error::Protocol("SASL out of order"))?;
                    scram.update(body.data())?;
                    frontend::sasl_response(scram.message(), &mut out)?;
                }
                backend::Message::AuthenticationSaslFinal(body) => {
                    scram
                        .as_mut()
                        .ok_or(Error::Protocol("SASL out of order"))?
                        .finish(body.data())?;
                    continue;
                }
                _ => return Err(Error::Protocol("an authentication that is not supported")),
            }
            self.send(&out).await?;
        }
    }

    async fn greet(&mut self) -> Result<(), Error> {
        loop {
            match decode(&self.receive().await?)? {
                backend::Message::BackendKeyData(body) => {
                    self.key = (body.process_id(), body.secret_key());
                }
                backend::Message::ParameterStatus(body) => {
                    self.parameters.push((body.name()?.to_owned(), body.value()?.to_owned()));
                }
                backend::Message::ReadyForQuery(_) => return Ok(()),
                _ => {}
            }
        }
    }

    /// Returns the process id and secret that a cancel request for this connection names.
    pub fn key(&self) -> (i32, i32) {
        self.key
    }

    /// Returns the parameters that the server has reported, the newest last.
    pub fn parameters(&self) -> &[(String, String)] {
        &self.parameters
    }

    /// Tells whether the server has said nothing since its last answer: neither a farewell nor the end.
    pub async fn is_quiet(&mut self) -> bool {
        smol::future::poll_once(self.reader.fill_buf()).await.is_none()
    }

    /// Sends bytes of the frontend protocol.
    ///
    /// # Errors
    ///
    /// Fails when the socket does.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let socket = self.reader.get_mut();
        socket.write_all(bytes).await?;
        Ok(socket.flush().await?)
    }

    /// Receives one message; an error at start-up is a message too.
    ///
    /// # Errors
    ///
    /// Fails when the server closed the connection or broke the protocol.
    pub async fn receive(&mut self) -> Result<Message, Error> {
        let message = read_message(&mut self.reader).await?;
        message.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into())
    }

    /// Runs a simple query and returns its rows.
    ///
    /// # Errors
    ///
    /// Fails when the server refuses the statement (the connection stays usable) or the connection fails
    /// or stays silent for `timeout` (it must then be closed).
    pub async fn query(
        &mut self,
        clock: &Clock,
        sql: &str,
        timeout: Duration,
    ) -> Result<Vec<Row>, Error> {
        let answer = clock.timeout(timeout, self.run(sql)).await;
        answer.unwrap_or(Err(Error::Timeout(timeout)))
    }

    async fn run(&mut self, sql: &str) -> Result<Vec<Row>, Error> {
        let mut out = BytesMut::new();
        frontend::query(sql, &mut out)?;
        self.send(&out).await?;
        self.rows().await
    }

    /// Receives the answer to a simple query that was sent before.
    ///
    /// # Errors
    ///
    /// Fails when the server refused the statement or the connection fails.
    pub async fn rows(&mut self) -> Result<Vec<Row>, Error> {
        let mut rows = Vec::new();
        let mut refused = None;
        loop {
            match decode(&self.receive().await?) {
                Ok(backend::Message::DataRow(body)) => rows.push(row(&body)?),
                Ok(backend::Message::ReadyForQuery(_)) => break,
                Ok(backend::Message::ParameterStatus(body)) => {
                    self.parameters.push((body.name()?.to_owned(), body.value()?.to_owned()));
                }
                Ok(_) => {}
                Err(error @ Error::Server { .. }) => refused = Some(error),
                Err(error) => return Err(error),
            }
        }
        refused.map_or(Ok(rows), Err)
    }

    /// Gives the socket with what was read ahead, for relaying.
    pub fn into_reader(self) -> BufReader<Socket> {
        self.reader
    }
}

fn required(password: Option<&str>) -> Result<&[u8], Error> {
    let password =
        password.ok_or(Error::Protocol("the server asks for a password and none is set"))?;
    Ok(password.as_bytes())
}

/// Decodes a message of the backend; an `ErrorResponse` becomes [`Error::Server`].
fn decode(message: &Message) -> Result<backend::Message, Error> {
    let mut bytes = BytesMut::with_capacity(message.body.len() + 5);
    message.write(&mut bytes);
    match backend::Message::parse(&mut bytes)? {
        Some(backend::Message::ErrorResponse(body)) => Err(server_error(&body)),
        Some(message) => Ok(message),
        None => Err(Error::Protocol("a message that ends early")),
    }
}

fn server_error(body: &backend::ErrorResponseBody) -> Error {
    use fallible_iterator::FallibleIterator;

    let mut code = String::new();
    let mut message = String::new();
    let mut fields = body.fields();
    while let Ok(Some(field)) = fields.next() {
        let value = String::from_utf8_lossy(field.value_bytes()).into_owned();
        match field.type_() {
            b'C' => code = value,
            b'M' => message = value,
            _ => {}
        }
    }
    Error::Server { code, message }
}

fn row(body: &backend::DataRowBody) -> Result<Row, Error> {
    use fallible_iterator::FallibleIterator;

    let buffer: &Bytes = body.buffer_bytes();
    let mut columns = Vec::new();
    let mut ranges = body.ranges();
    while let Some(range) = ranges.next()? {
        let text = |range| String::from_utf8_lossy(&buffer[range]).into_owned();
        columns.push(range.map(text));
    }
    Ok(columns)
}
