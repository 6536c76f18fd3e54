//! A connection to one instance over a [`Codec`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use socket2::SockRef;

use crate::clock::{Clock, Instant};
use crate::proxy::floor::Mark;
use crate::statement::{Answer, Code, Codec, Command, DecodeError, State};
use crate::upstream::position::Status;
use crate::wire::{Health, Replica};

/// How long bytes may be unacknowledged by the other end until the connection fails: a path that was cut for longer
/// has had its statements answered as unknown already.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// How many bytes are read at once.
const READ_BYTES: usize = 8 * 1024;

/// The most bytes that the rows of one answer may have.
const MAX_ROWS_BYTES: usize = 4 * 1024 * 1024;

/// Why a connection can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The other end closed the connection.
    #[error("the connection was closed")]
    Closed,
    /// Nothing came in time.
    #[error("no answer in time")]
    Timeout,
    /// What came is no message.
    #[error("{0}")]
    Malformed(#[from] DecodeError),
    /// The rows of one answer are too many.
    #[error("the rows of one answer are over {MAX_ROWS_BYTES} bytes")]
    TooManyRows,
    /// The instance refused the connection.
    #[error("refused: {code} {text}")]
    Refused {
        /// Why.
        code: Code,
        /// More, for people.
        text: String,
    },
}

impl Error {
    /// Tells whether the instance has no room for one more connection.
    pub fn is_crowded(&self) -> bool {
        matches!(self, Self::Refused { code: Code::TooManyConnections, .. })
    }

    /// Tells what the failure says of the instance.
    pub fn trouble(&self) -> Health {
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
            // Another instance has the address, so the one that was meant has ended.
            Self::Refused { code: Code::Misrouted, .. } => Health::Refused,
            // An instance without a free connection lives.
            Self::Refused { .. } => Health::Fine,
            Self::Closed | Self::Malformed(_) | Self::TooManyRows => Health::Faulty,
        }
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The rows.
    pub rows: Vec<String>,
    /// What proves the success, or why it failed and more for people.
    pub result: Result<String, (Code, String)>,
    /// Where the connection's transaction stands.
    pub state: State,
    /// Where the instance's log stood when it answered.
    pub position: Option<Mark>,
}

/// An open connection to one instance.
#[derive(Debug)]
pub struct Channel {
    socket: TcpStream,
    codec: &'static dyn Codec,
    input: BytesMut,
    output: BytesMut,
}

impl Channel {
    /// Connects to exactly `replica`, and returns where its log stands.
    ///
    /// # Errors
    ///
    /// Fails when the instance can't be reached by `deadline`, or refuses.
    pub async fn open(
        clock: &Clock,
        codec: &'static dyn Codec,
        replica: &Replica,
        deadline: Instant,
    ) -> Result<(Self, Option<Mark>), Error> {
        let connected = clock.timeout(left(clock, deadline), connect(replica.address)).await;
        let socket = connected.ok_or(Error::Timeout)??;
        let mut channel = Self { socket, codec, input: BytesMut::new(), output: BytesMut::new() };
        let order = Command::Open { group: &replica.group, instance: &replica.instance };
        channel.queue(&order);
        channel.flush(clock, deadline).await?;
        match channel.next(clock, deadline).await? {
            Answer::Ready { position, .. } => Ok((channel, position)),
            Answer::Failed { code, text } => Err(Error::Refused { code, text }),
            Answer::Row(_) | Answer::Done(_) => Err(DecodeError::Kind.into()),
        }
    }

    /// Queues a message; [`Channel::flush`] sends it.
    pub fn queue(&mut self, order: &Command<'_>) {
        self.codec.encode_command(order, &mut self.output);
    }

    /// Sends what was queued.
    ///
    /// # Errors
    ///
    /// Fails when the socket does, or takes nothing until `deadline`.
    pub async fn flush(&mut self, clock: &Clock, deadline: Instant) -> Result<(), Error> {
        let output = self.output.split();
        let sent = clock.timeout(left(clock, deadline), self.socket.write_all(&output)).await;
        Ok(sent.ok_or(Error::Timeout)??)
    }

    /// Receives the whole answer to the next statement.
    ///
    /// # Errors
    ///
    /// Fails when the connection does, or the answer is not whole by `deadline`.
    pub async fn outcome(&mut self, clock: &Clock, deadline: Instant) -> Result<Outcome, Error> {
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut result = None;
        loop {
            match self.next(clock, deadline).await? {
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

    /// Sends one message and receives its answer.
    ///
    /// # Errors
    ///
    /// Fails as [`Channel::flush`] and [`Channel::outcome`] do.
    pub async fn ask(
        &mut self,
        clock: &Clock,
        order: &Command<'_>,
        deadline: Instant,
    ) -> Result<Outcome, Error> {
        self.queue(order);
        self.flush(clock, deadline).await?;
        self.outcome(clock, deadline).await
    }

    /// Asks with an order that a status row answers; `None` when the instance is too busy to say.
    ///
    /// # Errors
    ///
    /// Fails as [`Channel::ask`] does, and when the row is no status.
    pub async fn status(
        &mut self,
        clock: &Clock,
        order: &Command<'_>,
        deadline: Instant,
    ) -> Result<Option<Status>, Error> {
        let outcome = self.ask(clock, order, deadline).await?;
        match (outcome.result, outcome.rows.first()) {
            (Ok(_), Some(row)) => Ok(Some(self.codec.decode_status(row)?)),
            (Ok(_), None) => Err(DecodeError::Field.into()),
            (Err((Code::Busy, _)), _) => Ok(None),
            (Err((code, text)), _) => Err(Error::Refused { code, text }),
        }
    }

    async fn next(&mut self, clock: &Clock, deadline: Instant) -> Result<Answer, Error> {
        loop {
            if let Some(answer) = self.codec.decode_answer(&mut self.input)? {
                return Ok(answer);
            }
            let mut buffer = [0; READ_BYTES];
            let read = clock.timeout(left(clock, deadline), self.socket.read(&mut buffer)).await;
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
    SockRef::from(&socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    Ok(socket)
}

fn left(clock: &Clock, deadline: Instant) -> Duration {
    deadline.since(clock.now())
}
