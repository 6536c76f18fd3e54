//! A connection to an instance that speaks the protocol of a [`Codec`].
//!
//! An instance may send an answer a second time, or a part of it, at any later time. The protocol doesn't say which
//! command an answer belongs to, so the connection has to prove it, or all later answers would be shifted, over the
//! sessions that share the connection:
//!
//! - A data statement and a commit are answered with a signature that no earlier answer had. Other successes are
//!   discarded, as is a signature where a command of this process is to be answered.
//! - A refusal, or a success of a command of this process on which something depends, that looks like an earlier one may
//!   be its copy. Another command follows it then (the fence). If the next answer is that of the fence, the one before it
//!   was the awaited one, since an instance answers in order.
//! - A part of an answer may end within a message, so that the next answer is joined to it. Such a message shows in what
//!   follows it (an end without a result, a result behind a result), or it can't be decoded, unless its content ends as
//!   another message would: a row that ends in a row, or with the result of a copy before the rows of the answer, or a
//!   refusal that ends in a result. Callers can store such content, so it only raises a doubt, and only if it begins as an
//!   earlier answer began (`beginnings`). So do rows that begin with one of another statement. A read with doubtful rows
//!   runs again (`reading`), unless the instance has answered twice lately; other doubtful answers are given up. A doubt is
//!   no second answer and raises no suspicion. Status rows and signatures have no content of callers, so what looks joined
//!   there is a part of an answer.
//! - Nothing may have arrived when a command is sent while no answer is awaited.
//!
//! A connection on which a second answer was seen goes on until the awaited answer is here, but isn't used again.

mod awaited;
mod beginnings;
mod error;
mod memory;
mod proof;
mod reading;
mod suspicion;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use awaited::{Awaited, Kind};
use bytes::BytesMut;
use log::Level;
use memory::Memory;
use proof::Candidate;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use socket2::SockRef;

pub use error::Error;
pub use suspicion::Suspicion;

use crate::clock::{Clock, Instant};
use crate::id;
use crate::proxy::floor::Mark;
use crate::report::event::{Event, Unreadable, millis};
use crate::report::{Evidence, Peer, Tally};
use crate::socket;
use crate::statement::{
    Access, Answer, Code, Codec, Command, DecodeError, Input, Place, State, Template, Text,
};
use crate::upstream::status::Status;
use crate::wire::Replica;

/// How long sent data may stay unacknowledged before the kernel closes the connection. By then the statements on a
/// broken path have been answered with an unknown outcome already.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// The maximum total size of the rows of one answer.
const MAX_ROWS_BYTES: usize = 4 * 1024 * 1024;

/// For how long a look at the input holds for the next command.
const LOOK_VALIDITY: Duration = Duration::from_millis(1);

/// What stands for the signature in a success of a command of this process.
const NO_SIGNATURE: &str = "-";

/// The name under which a fence prepares its statement, which never runs.
const FENCE_NAME: &str = "fence";

static FENCE: LazyLock<Template> =
    LazyLock::new(|| Template { access: Access::Read, text: Text::from_static("fence") });

/// Number of connections opened by this process.
static OPENED: AtomicU64 = AtomicU64::new(0);

/// The complete answer to a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The returned rows.
    pub rows: Vec<Text>,
    /// On success the signature that proves which instance ran the statement, otherwise the error code with a
    /// description for humans.
    pub result: Result<Text, (Code, Text)>,
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
    input: Input,
    /// Number of bytes received.
    received: u64,
    /// The places of the last message and the last row.
    last: Place,
    row: Place,
    output: BytesMut,
    /// The commands whose answers have not been received, oldest first, and how many of them have not been sent.
    awaited: VecDeque<Awaited>,
    unsent: usize,
    memory: Box<Memory>,
    /// The state according to the last answer.
    state: State,
    /// When nothing was there to be read, and no answer was awaited.
    looked_at: Option<Instant>,
    /// Why the connection must not be used for other statements, if so.
    evidence: Option<Evidence>,
    /// The kind of the command whose answer was awaited last.
    command: &'static str,
    tally: Option<Tally>,
    suspicion: Suspicion,
    origin: Box<Origin>,
}

/// What identifies a connection in logs.
#[derive(Debug)]
struct Origin {
    address: SocketAddr,
    instance: id::Instance,
    group: id::Group,
    number: u64,
    opened_at: Instant,
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
        let origin = Box::new(Origin {
            address: replica.address,
            instance: replica.instance.clone(),
            group: replica.group.clone(),
            number: OPENED.fetch_add(1, Ordering::Relaxed) + 1,
            opened_at: clock.now(),
        });
        let mut connection = Self {
            socket,
            codec,
            input: Input::default(),
            received: 0,
            last: Place::default(),
            row: Place::default(),
            output: BytesMut::new(),
            awaited: VecDeque::new(),
            unsent: 0,
            memory: Box::default(),
            state: State::Idle,
            looked_at: None,
            evidence: None,
            command: "connect",
            tally: None,
            suspicion: Suspicion::default(),
            origin,
        };
        let command = Command::Open { group: &replica.group, instance: &replica.instance, account };
        codec.encode_command(&command, &mut connection.output)?;
        connection.write(clock, deadline).await?;
        let answer = match connection.receive(clock, deadline).await {
            Err(Error::Malformed(error)) => return Err(Error::Foreign(error)),
            answer => answer?,
        };
        match answer {
            Answer::Ready { position, .. } => Ok((connection, position)),
            Answer::Failed { code, text } => Err(Error::Refused { code, text }),
            Answer::Row(_) | Answer::Done(_) => {
                let place = connection.last;
                connection.record_unreadable(clock, DecodeError::Kind, place);
                Err(Error::Foreign(DecodeError::Kind))
            }
        }
    }

    /// Counts in `tally` what is no answer, and shares the suspicion with other connections to the instance.
    pub fn observe(&mut self, tally: Tally, suspicion: Suspicion) {
        self.tally = Some(tally);
        self.suspicion = suspicion;
    }

    /// Returns whether the connection may be used for other statements: no answer is awaited, and none came twice.
    pub fn is_in_step(&self) -> bool {
        self.evidence.is_none() && self.awaited.is_empty()
    }

    /// Returns whether the connection may be used for other sessions at this time.
    pub fn is_reusable(&self, now: Instant) -> bool {
        self.is_in_step() && !(self.memory.may_confuse() && self.suspicion.is_raised(now))
    }

    /// Looks at the input of a connection on which no answer is awaited, without waiting. Returns whether the connection
    /// may be used: it is open, and nothing has arrived.
    pub fn is_quiet(&mut self, clock: &Clock) -> bool {
        let input = self.peek();
        if !self.input.is_empty() || matches!(input, Ok(Some(1..))) {
            self.note(clock, Evidence::Unasked);
        }
        self.looked_at = Some(clock.now());
        self.is_reusable(clock.now()) && matches!(input, Ok(None))
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
    ///
    /// # Errors
    ///
    /// Returns an error if the command can't be encoded. Nothing is queued then.
    pub fn queue(&mut self, command: &Command<'_>) -> Result<(), Error> {
        self.queue_awaited(command, Awaited::new(command))
    }

    /// Queues all commands, or none if one of them can't be encoded.
    ///
    /// # Errors
    ///
    /// Returns an error if a command can't be encoded.
    pub fn queue_all<'a>(
        &mut self,
        mut commands: impl Iterator<Item = Command<'a>>,
    ) -> Result<(), Error> {
        let (written, awaited, unsent) = (self.output.len(), self.awaited.len(), self.unsent);
        let queued = commands.try_for_each(|command| self.queue(&command));
        if queued.is_err() {
            self.output.truncate(written);
            self.awaited.truncate(awaited);
            self.unsent = unsent;
        }
        queued
    }

    fn queue_awaited(&mut self, command: &Command<'_>, awaited: Awaited) -> Result<(), Error> {
        self.codec.encode_command(command, &mut self.output)?;
        self.awaited.push_back(awaited);
        self.unsent += 1;
        Ok(())
    }

    /// Sends the queued commands.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails or the commands can't be written by `deadline`.
    pub async fn flush(&mut self, clock: &Clock, deadline: Instant) -> Result<(), Error> {
        if self.unsent == self.awaited.len() {
            self.discard_unasked(clock)?;
        }
        self.unsent = 0;
        self.write(clock, deadline).await
    }

    async fn write(&mut self, clock: &Clock, deadline: Instant) -> Result<(), Error> {
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
        let Candidate { outcome, doubt } = self.receive_answer(clock, deadline).await?;
        match doubt {
            Some(evidence) => Err(self.give_up(clock, evidence)),
            None => Ok(outcome),
        }
    }

    /// Receives the answer to the oldest unanswered command. Only its rows, or the text of its refusal, may be doubtful.
    async fn receive_answer(
        &mut self,
        clock: &Clock,
        deadline: Instant,
    ) -> Result<Candidate, Error> {
        let awaited = self.awaited.pop_front().ok_or(DecodeError::Kind)?;
        self.command = awaited.kind.name();
        let Candidate { mut outcome, mut doubt } =
            self.receive_candidate(clock, awaited, false, deadline).await?;
        let mut fence = self.take_fence();
        loop {
            let is_certain = !awaited.needs_proof(&outcome) || !self.memory.has_answer(&outcome);
            if is_certain && fence.is_none() {
                break;
            }
            let is_suspect = outcome.result.is_err() && self.suspicion.is_raised(clock.now());
            if !is_certain && is_suspect || fence.is_none() && !self.awaited.is_empty() {
                return Err(self.give_up(clock, Evidence::Unproven));
            }
            let sent = match fence {
                Some(fence) => fence,
                None => self.send_fence(clock, awaited, &outcome, deadline).await?,
            };
            fence = Some(sent);
            let Candidate { outcome: next, doubt: next_doubt } =
                self.receive_candidate(clock, awaited, true, deadline).await?;
            if sent.is_answered_by(&next, &outcome) {
                if is_own_success(&outcome) && awaited.kind != Kind::Status {
                    outcome.position = next.position;
                }
                outcome.state = next.state;
                self.memory.add_answer(&next);
                break;
            }
            // Only the awaited answer, and copies, can precede that of the fence.
            self.note(clock, Evidence::Repeated);
            if is_certain {
                match next_doubt {
                    Some(evidence) => return Err(self.give_up(clock, evidence)),
                    None if next.result.is_err() => break,
                    None => {}
                }
            } else if !is_own_success(&next) || awaited.kind == Kind::Status {
                (outcome, doubt) = (next, next_doubt);
                if !awaited.needs_proof(&outcome) || !self.memory.has_answer(&outcome) {
                    break;
                }
            }
        }
        self.memory.set_position(outcome.position);
        if is_own_success(&outcome) || outcome.result.is_err() {
            self.memory.add_answer(&outcome);
        }
        self.state = outcome.state;
        Ok(Candidate { outcome, doubt })
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
        self.send(clock, command, deadline).await?;
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
            (Ok(_), Some(row)) => match self.codec.decode_status(row.as_bytes()) {
                Ok(status) => Ok(Some(status)),
                Err(error) => {
                    self.record_unreadable(clock, error, self.row);
                    Err(error.into())
                }
            },
            (Ok(_), None) => Err(DecodeError::Field.into()),
            (Err((Code::Busy, _)), _) => Ok(None),
            (Err((code, text)), _) => Err(Error::Refused { code, text }),
        }
    }

    async fn receive(&mut self, clock: &Clock, deadline: Instant) -> Result<Answer, Error> {
        loop {
            match self.decode(clock) {
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => {}
                // A part of an earlier message may be joined to this one.
                Err(DecodeError::Kind | DecodeError::Field) if !self.memory.is_empty() => {
                    return Err(self.give_up(clock, Evidence::Cut));
                }
                Err(error) => return Err(error.into()),
            }
            let mut buffer = [0; READ_BUFFER_BYTES];
            let read =
                clock.timeout(remaining(clock, deadline), self.socket.read(&mut buffer)).await;
            match read.ok_or(Error::Timeout)?? {
                0 => return Err(Error::Closed),
                len => self.add_input(&buffer[..len]),
            }
        }
    }

    fn add_input(&mut self, bytes: &[u8]) {
        self.received += bytes.len() as u64;
        self.input.extend_from_slice(bytes);
    }

    /// Removes a message from the input, and records one that can't be read.
    fn decode(&mut self, clock: &Clock) -> Result<Option<Answer>, DecodeError> {
        let before = self.input.len();
        let decoded = self.codec.decode_answer(&mut self.input);
        self.last = Place::new(self.received, before, self.input.len());
        match &decoded {
            Ok(Some(Answer::Row(_))) => self.row = self.last,
            Ok(_) => {}
            Err(error) => self.record_unreadable(clock, *error, self.last),
        }
        decoded
    }

    /// Counts and logs a message that could not be read.
    fn record_unreadable(&self, clock: &Clock, error: DecodeError, place: Place) {
        if let Some(tally) = &self.tally {
            tally.record_unreadable(error);
        }
        let Origin { address, instance, group, number, opened_at } = &*self.origin;
        Event::Unreadable(Unreadable {
            peer: Peer::Upstream,
            address: Some(*address),
            instance: Some(instance),
            group: Some(group),
            connection: *number,
            open_ms: millis(clock.now().since(*opened_at)),
            command: Some(self.command),
            reason: error.kind(),
            place,
        })
        .log(Level::Warn);
    }
}

/// Returns whether an answer is that of a successful command of this process.
fn is_own_success(outcome: &Outcome) -> bool {
    matches!(&outcome.result, Ok(signature) if signature == NO_SIGNATURE)
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
