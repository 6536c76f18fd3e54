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
//! - Nothing may have arrived when a command is sent while no answer is awaited.
//!
//! A connection on which a second answer was seen goes on until the awaited answer is here, but isn't used again.

mod awaited;
mod error;
mod memory;
mod suspicion;

use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use awaited::{Awaited, Kind};
use bytes::BytesMut;
use log::Level;
use memory::Memory;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use socket2::SockRef;

pub use error::Error;
pub use suspicion::Suspicion;

use crate::clock::{Clock, Instant};
use crate::id;
use crate::proxy::floor::Mark;
use crate::report::event::{Event, millis};
use crate::report::{Evidence, Tally};
use crate::socket;
use crate::statement::{Access, Answer, Code, Codec, Command, DecodeError, State, Template};
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
    LazyLock::new(|| Template { access: Access::Read, text: "fence".into() });

/// Number of connections opened by this process.
static OPENED: AtomicU64 = AtomicU64::new(0);

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
            instance: replica.instance.clone(),
            group: replica.group.clone(),
            number: OPENED.fetch_add(1, Ordering::Relaxed) + 1,
            opened_at: clock.now(),
        });
        let mut connection = Self {
            socket,
            codec,
            input: BytesMut::new(),
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
        codec.encode_command(&command, &mut connection.output);
        connection.write(clock, deadline).await?;
        match connection.receive(clock, deadline).await? {
            Answer::Ready { position, .. } => Ok((connection, position)),
            Answer::Failed { code, text } => Err(Error::Refused { code, text }),
            Answer::Row(_) | Answer::Done(_) => Err(DecodeError::Kind.into()),
        }
    }

    /// Counts second answers in `tally`, and shares the suspicion with other connections to the instance.
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
    pub fn queue(&mut self, command: &Command<'_>) {
        self.codec.encode_command(command, &mut self.output);
        self.awaited.push_back(Awaited::new(command));
        self.unsent += 1;
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
        let awaited = self.awaited.pop_front().ok_or(DecodeError::Kind)?;
        self.command = awaited.kind.name();
        let mut outcome = self.receive_candidate(clock, awaited, false, deadline).await?;
        let mut fence = self.take_fence();
        loop {
            let is_certain = !awaited.needs_proof(&outcome) || !self.memory.has_answer(&outcome);
            if is_certain && fence.is_none() {
                break;
            }
            let is_suspect = outcome.result.is_err() && self.suspicion.is_raised(clock.now());
            if !is_certain && is_suspect || fence.is_none() && !self.awaited.is_empty() {
                return Err(self.give_up(clock, Evidence::Repeated));
            }
            let sent = match fence {
                Some(fence) => fence,
                None => self.send_fence(clock, awaited, &outcome, deadline).await?,
            };
            fence = Some(sent);
            let next = self.receive_candidate(clock, awaited, true, deadline).await?;
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
                if next.result.is_err() {
                    break;
                }
            } else if !is_own_success(&next) || awaited.kind == Kind::Status {
                outcome = next;
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
        Ok(outcome)
    }

    /// Returns the fence that was sent together with the command that is being answered.
    fn take_fence(&mut self) -> Option<Awaited> {
        let is_fence = self.awaited.front().is_some_and(|awaited| awaited.is_fence);
        if is_fence { self.awaited.pop_front() } else { None }
    }

    async fn send_fence(
        &mut self,
        clock: &Clock,
        awaited: Awaited,
        outcome: &Outcome,
        deadline: Instant,
    ) -> Result<Awaited, Error> {
        let command = match (awaited.kind, outcome.state) {
            (Kind::Ping, _) => Command::Reset,
            // A failed transaction accepts nothing else.
            (_, State::Failed) => Command::Rollback,
            (_, State::Idle | State::Open) => {
                Command::Prepare { name: FENCE_NAME, template: &FENCE }
            }
        };
        self.codec.encode_command(&command, &mut self.output);
        self.write(clock, deadline).await?;
        Ok(Awaited::fence(&command))
    }

    /// Receives an answer that may be the awaited one: discards those that certainly are not. With `or_fence` the answer
    /// of a fence is received too.
    async fn receive_candidate(
        &mut self,
        clock: &Clock,
        awaited: Awaited,
        or_fence: bool,
        deadline: Instant,
    ) -> Result<Outcome, Error> {
        let mut rows: Vec<String> = Vec::new();
        let mut bytes = 0;
        let mut result = None;
        // Whether a discarded answer may still go on.
        let mut goes_on = false;
        loop {
            let answer = self.receive(clock, deadline).await?;
            if !matches!(answer, Answer::Ready { .. }) {
                goes_on = false;
                match result.take() {
                    // The second copy of another answer is mixed with that of this statement.
                    Some(Ok(signature)) if signature != NO_SIGNATURE => {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    Some(_) => {
                        self.note(clock, Evidence::Cut);
                        rows.clear();
                    }
                    None => {}
                }
            }
            match answer {
                Answer::Row(row) => {
                    bytes += row.len();
                    if bytes > MAX_ROWS_BYTES {
                        return Err(Error::TooManyRows);
                    }
                    if rows.is_empty() && self.is_joined(&row) {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    rows.push(row);
                }
                Answer::Done(signature) => {
                    if self.is_joined(&signature) {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    if let Some(evidence) = self.judge(awaited, or_fence, &signature) {
                        self.note(clock, evidence);
                        rows.clear();
                        goes_on = true;
                        continue;
                    }
                    if signature != NO_SIGNATURE {
                        self.memory.add_signature(&signature);
                    }
                    result = Some(Ok(signature));
                }
                Answer::Failed { code, text } => {
                    let is_joined = match &code {
                        Code::Other(code) => self.is_joined(&format!("{code} {text}")),
                        _ => self.is_joined(&text),
                    };
                    if is_joined {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    result = Some(Err((code, text)));
                }
                Answer::Ready { state, position } => {
                    let Some(result) = result.take() else {
                        if !std::mem::take(&mut goes_on) {
                            self.note(clock, Evidence::Ready);
                        }
                        rows.clear();
                        continue;
                    };
                    let outcome =
                        Outcome { rows: std::mem::take(&mut rows), result, state, position };
                    if !or_fence && !awaited.fits(&outcome, self.state) {
                        self.note(clock, Evidence::State);
                        continue;
                    }
                    return self.without_copied_rows(clock, awaited, outcome);
                }
            }
        }
    }

    /// Returns why an answer with this signature is not the awaited one, if so.
    fn judge(&self, awaited: Awaited, or_fence: bool, signature: &str) -> Option<Evidence> {
        match (awaited.kind.is_signed(), signature == NO_SIGNATURE) {
            (_, false) if self.memory.has_signature(signature) => Some(Evidence::Signature),
            (false, false) => Some(Evidence::Signature),
            (true, true) if !or_fence => Some(Evidence::NoSignature),
            _ => None,
        }
    }

    /// Removes rows that a part of an earlier answer may have put in front of an answer, or gives up.
    fn without_copied_rows(
        &mut self,
        clock: &Clock,
        awaited: Awaited,
        mut outcome: Outcome,
    ) -> Result<Outcome, Error> {
        if outcome.result.is_err() {
            outcome.rows.clear();
        } else if awaited.kind == Kind::Status {
            let surplus = outcome.rows.len().saturating_sub(1);
            if surplus > 0 {
                self.note(clock, Evidence::Cut);
                outcome.rows.drain(..surplus);
            }
        } else if !awaited.kind.is_signed() || is_own_success(&outcome) {
            outcome.rows.clear();
        } else if let Some(first) = outcome.rows.first() {
            if self.memory.has_rows_of_other(awaited.text, first, outcome.rows.len()) {
                return Err(self.give_up(clock, Evidence::Rows));
            }
            self.memory.add_rows(awaited.text, first, outcome.rows.len());
        }
        Ok(outcome)
    }

    /// Returns whether a text contains a message, as it does after a part of an earlier one.
    fn is_joined(&self, text: &str) -> bool {
        !self.memory.is_empty() && self.codec.is_joined(text)
    }

    /// Records that a second answer was seen. The connection isn't used again after the statement or transaction.
    fn note(&mut self, clock: &Clock, evidence: Evidence) {
        if let Some(tally) = &self.tally {
            tally.record(evidence);
        }
        self.suspicion.raise(clock.now());
        if self.evidence.replace(evidence).is_none() {
            let Origin { instance, group, number, opened_at } = &*self.origin;
            let open_ms = millis(clock.now().since(*opened_at));
            let (connection, command) = (*number, self.command);
            let evidence = evidence.to_string();
            Event::OutOfStep { instance, group, connection, open_ms, command, evidence }
                .log(Level::Warn);
        }
    }

    fn give_up(&mut self, clock: &Clock, evidence: Evidence) -> Error {
        self.note(clock, evidence);
        Error::OutOfStep(evidence)
    }

    /// Discards what has arrived while no answer was awaited. It answers nothing that is sent from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if a message is incomplete, since the next one would be joined to it.
    fn discard_unasked(&mut self, clock: &Clock) -> Result<(), Error> {
        let now = clock.now();
        if self.looked_at.take().is_some_and(|at| now.since(at) < LOOK_VALIDITY) {
            return Ok(());
        }
        let mut has_input = !self.input.is_empty();
        // An end or error of the connection is found by the next write or read.
        while let Ok(Some(1..)) = self.peek() {
            has_input = true;
            let mut buffer = [0; READ_BUFFER_BYTES];
            match (&*SockRef::from(&self.socket)).read(&mut buffer) {
                Ok(len) => self.input.extend_from_slice(&buffer[..len]),
                Err(_) => break,
            }
        }
        if has_input {
            self.note(clock, Evidence::Unasked);
            while !self.input.is_empty() {
                if !matches!(self.codec.decode_answer(&mut self.input), Ok(Some(_))) {
                    return Err(Error::OutOfStep(Evidence::Unasked));
                }
            }
        }
        Ok(())
    }

    /// Looks for a byte to read without waiting: 1 if there is one, 0 at the end of the connection, otherwise `None`.
    fn peek(&self) -> std::io::Result<Option<usize>> {
        match SockRef::from(&self.socket).peek(&mut [MaybeUninit::uninit(); 1]) {
            Ok(len) => Ok(Some(len)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
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
        if let (Command::Reset, Some(last)) = (command, self.awaited.back_mut()) {
            last.kind = Kind::Ping;
        }
        // An answer that will look like an earlier one is proved without a round trip more.
        let fence = match command {
            Command::Begin { .. } if self.memory.may_repeat(State::Open) => {
                Some(Command::Prepare { name: FENCE_NAME, template: &FENCE })
            }
            Command::Reset if self.memory.may_repeat(State::Idle) => Some(Command::Reset),
            _ => None,
        };
        if let Some(fence) = fence {
            self.codec.encode_command(&fence, &mut self.output);
            self.awaited.push_back(Awaited::fence(&fence));
            self.unsent += 1;
        }
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
            match self.codec.decode_answer(&mut self.input) {
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
                len => self.input.extend_from_slice(&buffer[..len]),
            }
        }
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
