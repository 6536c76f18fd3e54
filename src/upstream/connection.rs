//! A connection to an instance that speaks the protocol of a [`Codec`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use socket2::SockRef;

use crate::clock::{Clock, Instant};
use crate::id;
use crate::proxy::floor::Mark;
use crate::socket;
use crate::statement::{Answer, Code, Codec, Command, DecodeError, State};
use crate::upstream::status::Status;
use crate::wire::{Health, Replica};

/// How long sent data may stay unacknowledged before the kernel closes the connection. By then the statements on a
/// broken path have been answered with an unknown outcome already.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// The maximum total size of the rows of one answer.
const MAX_ROWS_BYTES: usize = 4 * 1024 * 1024;

/// An error on a connection to an instance.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The instance closed the connection.
    #[error("the connection was closed")]
    Closed,
    /// The instance did not answer before the deadline.
    #[error("no answer in time")]
    Timeout,
    /// The instance sent an invalid message.
    #[error("{0}")]
    Malformed(#[from] DecodeError),
    /// The rows of an answer exceed `MAX_ROWS_BYTES`.
    #[error("the rows of one answer are over {MAX_ROWS_BYTES} bytes")]
    TooManyRows,
    /// The instance refused the connection or request.
    #[error("refused: {code} {text}")]
    Refused {
        /// The reason.
        code: Code,
        /// A description for humans.
        text: String,
    },
}

impl Error {
    /// Returns whether the instance refused the connection because it has too many.
    pub fn is_at_connection_limit(&self) -> bool {
        matches!(self, Self::Refused { code: Code::TooManyConnections, .. })
    }

    /// Returns the health of the instance that this error implies.
    pub fn health(&self) -> Health {
        use std::io::ErrorKind;
        match self {
            Self::Timeout => Health::Silent,
            Self::Io(error) => match error.kind() {
                ErrorKind::ConnectionRefused => Health::Refused,
                ErrorKind::TimedOut
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable => Health::Silent,
                _ => Health::Faulty,
            },
            // Another instance has taken over the address, so the process of the expected instance has ended.
            Self::Refused { code: Code::Misrouted, .. } => Health::Refused,
            // An instance that refuses, for example because it has no free connection, is alive.
            Self::Refused { .. } => Health::Fine,
            Self::Closed | Self::Malformed(_) | Self::TooManyRows => Health::Faulty,
        }
    }
}

/// The complete answer to a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The returned rows.
    pub rows: Vec<String>,
    /// On success the signature that proves which instance ran the statement, otherwise the error code with a
    /// description for humans.
    pub result: Result<String, (Code, String)>,
    /// The transaction state of the connection.
    pub state: State,
    /// The log position of the instance when it answered.
    pub position: Option<Mark>,
}

/// An open connection to an instance.
#[derive(Debug)]
pub struct Connection {
    socket: TcpStream,
    codec: &'static dyn Codec,
    input: BytesMut,
    output: BytesMut,
}

impl Connection {
    /// Connects to `replica` and returns the connection with the instance's log position. The instance refuses the
    /// connection if it is not the named one.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't be reached by `deadline` or refuses the connection.
    pub async fn connect(
        clock: &Clock,
        codec: &'static dyn Codec,
        replica: &Replica,
        account: Option<&id::Account>,
        deadline: Instant,
    ) -> Result<(Self, Option<Mark>), Error> {
        let connected = clock.timeout(remaining(clock, deadline), connect(replica.address)).await;
        let socket = connected.ok_or(Error::Timeout)??;
        let mut connection =
            Self { socket, codec, input: BytesMut::new(), output: BytesMut::new() };
        let command = Command::Open { group: &replica.group, instance: &replica.instance, account };
        connection.queue(&command);
        connection.flush(clock, deadline).await?;
        match connection.receive(clock, deadline).await? {
            Answer::Ready { position, .. } => Ok((connection, position)),
            Answer::Failed { code, text } => Err(Error::Refused { code, text }),
            Answer::Row(_) | Answer::Done(_) => Err(DecodeError::Kind.into()),
        }
    }

    /// Makes the kernel take back commands that the instance has not received when the connection is closed, or once they
    /// are unacknowledged for `validity`; see [`socket::withdraw_on_close`].
    ///
    /// # Errors
    ///
    /// Returns an error if the socket doesn't accept the options.
    pub fn withdraw_on_close(&self, validity: Duration) -> std::io::Result<()> {
        socket::withdraw_on_close(&self.socket, validity)
    }

    /// Closes the connection and discards what was sent on it but not delivered. After a plain close the kernel goes on
    /// sending, so that a statement which was given up could run when the path is back. The instance may learn of a reset
    /// later than of a close, as it is sent once only.
    pub fn reset(self) {
        if let Err(error) = socket::reset_on_close(&self.socket) {
            log::debug!("a connection is closed and not reset: {error}");
        }
    }

    /// Queues a command, which the next [`Connection::flush`] sends.
    pub fn queue(&mut self, command: &Command<'_>) {
        self.codec.encode_command(command, &mut self.output);
    }

    /// Sends the queued commands.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails or the commands can't be written by `deadline`.
    pub async fn flush(&mut self, clock: &Clock, deadline: Instant) -> Result<(), Error> {
        let output = self.output.split();
        let sent = clock.timeout(remaining(clock, deadline), self.socket.write_all(&output)).await;
        Ok(sent.ok_or(Error::Timeout)??)
    }

    /// Receives the complete answer to the oldest unanswered command.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the answer is not complete by `deadline`.
    pub async fn receive_outcome(
        &mut self,
        clock: &Clock,
        deadline: Instant,
    ) -> Result<Outcome, Error> {
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut result = None;
        loop {
            match self.receive(clock, deadline).await? {
                Answer::Row(row) => {
                    bytes += row.len();
                    if bytes > MAX_ROWS_BYTES {
                        return Err(Error::TooManyRows);
                    }
                    rows.push(row);
                }
                Answer::Done(signature) => result = Some(Ok(signature)),
                Answer::Failed { code, text } => result = Some(Err((code, text))),
                Answer::Ready { state, position } => {
                    let result = result.ok_or(DecodeError::Kind)?;
                    return Ok(Outcome { rows, result, state, position });
                }
            }
        }
    }

    /// Sends a command and receives its answer.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::flush`] and [`Connection::receive_outcome`].
    pub async fn request(
        &mut self,
        clock: &Clock,
        command: &Command<'_>,
        deadline: Instant,
    ) -> Result<Outcome, Error> {
        self.queue(command);
        self.flush(clock, deadline).await?;
        self.receive_outcome(clock, deadline).await
    }

    /// Sends a command that is answered with a status row. Returns `None` if the instance is too busy to answer.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::request`], or an error if the row is not a valid status.
    pub async fn status(
        &mut self,
        clock: &Clock,
        command: &Command<'_>,
        deadline: Instant,
    ) -> Result<Option<Status>, Error> {
        let outcome = self.request(clock, command, deadline).await?;
        match (outcome.result, outcome.rows.first()) {
            (Ok(_), Some(row)) => Ok(Some(self.codec.decode_status(row)?)),
            (Ok(_), None) => Err(DecodeError::Field.into()),
            (Err((Code::Busy, _)), _) => Ok(None),
            (Err((code, text)), _) => Err(Error::Refused { code, text }),
        }
    }

    async fn receive(&mut self, clock: &Clock, deadline: Instant) -> Result<Answer, Error> {
        loop {
            if let Some(answer) = self.codec.decode_answer(&mut self.input)? {
                return Ok(answer);
            }
            let mut buffer = [0; READ_BUFFER_BYTES];
            let read =
                clock.timeout(remaining(clock, deadline), self.socket.read(&mut buffer)).await;
            match read.ok_or(Error::Timeout)?? {
                0 => return Err(Error::Closed),
                len => self.input.extend_from_slice(&buffer[..len]),
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    SockRef::from(&socket).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(socket)
}

fn remaining(clock: &Clock, deadline: Instant) -> Duration {
    deadline.since(clock.now())
}
