//! A client of an upstream, used for probes and promotions and by the pooled connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::backend;
use postgres_protocol::message::frontend;
use smol::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};

use super::{Error, Message, Nonce, Socket, read_message};
use crate::clock::{Clock, Instant};
use crate::security::{File, UpstreamAuth};

/// The columns of a row as text. `None` represents NULL.
pub type Row = Vec<Option<String>>;

/// An authenticated connection to an upstream.
#[derive(Debug)]
pub struct Client {
    reader: BufReader<Socket>,
    /// The process id and secret that a cancel request has to carry.
    cancel_key: (i32, i32),
    /// The parameters that the server has reported, newest last.
    parameters: Vec<(String, String)>,
    last_nonce: Nonce,
    opened_at: Instant,
}

impl Client {
    /// Connects and starts a session with `parameters` (at least `user` and `database`). Uses TLS and password
    /// authentication if `upstream` configures them.
    ///
    /// # Errors
    ///
    /// Returns an error if the session is not established within `timeout` or the server refuses it.
    pub async fn connect(
        clock: &Clock,
        address: SocketAddr,
        parameters: &[(&str, &str)],
        upstream: Option<&UpstreamAuth>,
        timeout: Duration,
    ) -> Result<Self, Error> {
        let connected = clock
            .timeout(timeout, Self::connect_unbounded(clock.now(), address, parameters, upstream))
            .await;
        connected.unwrap_or(Err(Error::Timeout(timeout)))
    }

    async fn connect_unbounded(
        opened_at: Instant,
        address: SocketAddr,
        parameters: &[(&str, &str)],
        upstream: Option<&UpstreamAuth>,
    ) -> Result<Self, Error> {
        let connector = upstream.and_then(|upstream| upstream.connector.as_ref());
        let password = upstream.and_then(|upstream| upstream.password.as_ref());
        let password = password.map(File::get);
        let socket = Socket::connect(address, connector).await?;
        let mut client = Self {
            reader: BufReader::new(socket),
            cancel_key: (0, 0),
            parameters: Vec::new(),
            last_nonce: Nonce(0),
            opened_at,
        };
        let mut out = BytesMut::new();
        frontend::startup_message(parameters.iter().copied(), &mut out)?;
        client.send(&out).await?;
        client.authenticate(password.as_deref().map(String::as_str)).await?;
        client.receive_startup_messages().await?;
        Ok(client)
    }

    async fn authenticate(&mut self, password: Option<&str>) -> Result<(), Error> {
        let mut scram = None;
        loop {
            let mut out = BytesMut::new();
            match decode_message(&self.receive().await?)? {
                backend::Message::AuthenticationOk => return Ok(()),
                backend::Message::AuthenticationCleartextPassword => {
                    frontend::password_message(required_password(password)?, &mut out)?;
                }
                backend::Message::AuthenticationSasl(_) => {
                    let mechanism = ScramSha256::new(
                        required_password(password)?,
                        ChannelBinding::unsupported(),
                    );
                    frontend::sasl_initial_response(SCRAM_SHA_256, mechanism.message(), &mut out)?;
                    scram = Some(mechanism);
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

    async fn receive_startup_messages(&mut self) -> Result<(), Error> {
        loop {
            match decode_message(&self.receive().await?)? {
                backend::Message::BackendKeyData(body) => {
                    self.cancel_key = (body.process_id(), body.secret_key());
                }
                backend::Message::ParameterStatus(body) => {
                    self.parameters.push((body.name()?.to_owned(), body.value()?.to_owned()));
                }
                backend::Message::ReadyForQuery(_) => return Ok(()),
                _ => {}
            }
        }
    }

    /// Returns the process id and secret that a cancel request for this connection has to carry.
    pub fn cancel_key(&self) -> (i32, i32) {
        self.cancel_key
    }

    /// Returns when the connection was begun.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns the parameters that the server has reported, newest last.
    pub fn parameters(&self) -> &[(String, String)] {
        &self.parameters
    }

    /// Returns a nonce for the next query on this connection.
    pub fn next_nonce(&mut self) -> Nonce {
        self.last_nonce = Nonce(self.last_nonce.0 + 1);
        self.last_nonce
    }

    /// Returns whether the server has neither sent anything since its last answer, such as an error before it shuts
    /// down, nor closed the connection.
    pub async fn is_idle(&mut self) -> bool {
        smol::future::poll_once(self.reader.fill_buf()).await.is_none()
    }

    /// Sends encoded frontend messages.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let socket = self.reader.get_mut();
        socket.write_all(bytes).await?;
        Ok(socket.flush().await?)
    }

    /// Receives a message. An error response is returned as a message too.
    ///
    /// # Errors
    ///
    /// Returns an error if the server closed the connection or violated the protocol.
    pub async fn receive(&mut self) -> Result<Message, Error> {
        let message = read_message(&mut self.reader).await?;
        message.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into())
    }

    /// Runs a simple query and returns its rows.
    ///
    /// # Errors
    ///
    /// Returns an error if the server refuses the statement (the connection stays usable), or if the connection fails
    /// or the answer is not complete within `timeout` (the connection must then be closed).
    pub async fn query(
        &mut self,
        clock: &Clock,
        sql: &str,
        timeout: Duration,
    ) -> Result<Vec<Row>, Error> {
        let answer = clock.timeout(timeout, self.run_query(sql)).await;
        answer.unwrap_or(Err(Error::Timeout(timeout)))
    }

    async fn run_query(&mut self, sql: &str) -> Result<Vec<Row>, Error> {
        let mut out = BytesMut::new();
        frontend::query(sql, &mut out)?;
        self.send(&out).await?;
        self.receive_rows().await
    }

    /// Runs a simple query and returns its rows, as [`Client::query`] does, once it is certain that they are not those of
    /// another one.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::query`], and [`Error::OutOfStep`] if the answer is not that of the query.
    pub async fn query_tied(
        &mut self,
        clock: &Clock,
        sql: &str,
        timeout: Duration,
    ) -> Result<Vec<Row>, Error> {
        let nonce = self.next_nonce();
        let run = async {
            let mut out = BytesMut::new();
            frontend::query(sql, &mut out)?;
            frontend::query(&nonce.echo_sql(), &mut out)?;
            self.send(&out).await?;
            let answer = self.receive_rows().await;
            let echo = self.receive_rows().await;
            nonce.check_echo(echo, matches!(answer, Err(Error::Server { .. })))?;
            answer
        };
        clock.timeout(timeout, run).await.unwrap_or(Err(Error::Timeout(timeout)))
    }

    /// Receives the rows of a simple query that has been sent already.
    ///
    /// # Errors
    ///
    /// Returns an error if the server refused the statement or the connection fails.
    pub async fn receive_rows(&mut self) -> Result<Vec<Row>, Error> {
        let mut rows = Vec::new();
        let mut statement_error = None;
        loop {
            match decode_message(&self.receive().await?) {
                Ok(backend::Message::DataRow(body)) => rows.push(decode_row(&body)?),
                Ok(backend::Message::ReadyForQuery(_)) => break,
                Ok(backend::Message::ParameterStatus(body)) => {
                    self.parameters.push((body.name()?.to_owned(), body.value()?.to_owned()));
                }
                Ok(_) => {}
                Err(error @ Error::Server { .. }) => statement_error = Some(error),
                Err(error) => return Err(error),
            }
        }
        statement_error.map_or(Ok(rows), Err)
    }

    /// Returns the socket with the bytes that were read ahead, for relaying.
    pub fn into_reader(self) -> BufReader<Socket> {
        self.reader
    }
}

fn required_password(password: Option<&str>) -> Result<&[u8], Error> {
    let password =
        password.ok_or(Error::Protocol("the server asks for a password and none is set"))?;
    Ok(password.as_bytes())
}

/// Decodes a backend message. An `ErrorResponse` is returned as [`Error::Server`].
fn decode_message(message: &Message) -> Result<backend::Message, Error> {
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

fn decode_row(body: &backend::DataRowBody) -> Result<Row, Error> {
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
