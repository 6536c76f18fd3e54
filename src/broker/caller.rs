//! A caller's connection: reads messages, runs their statements and writes the answers.

use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use log::Level;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use super::forward::Forwarder;
use super::identity::Credential;
use super::presence::Presence;
use super::run::{Execution, Refusal, Reply, Runner};
use super::server::Shared;
use super::session::{Action, Operation, Session};
use super::spend::{OpenSession, Spend};
use crate::clock::Instant;
use crate::config::{Database, KeyDigest};
use crate::proxy::shutdown::Stage;
use crate::report::event::{Unreadable, millis};
use crate::report::{Event as LogEvent, Peer};
use crate::statement::{
    Access, Answer, Code, DecodeError, EncodeError, Id, Input, Place, Request, State, Statement,
};
use crate::wire::Step;

/// How long a caller may take to open its session.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a caller may leave an answer unread before it is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a caller whose connection is refused may take to close it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The text for a caller whose key has no account.
const NO_ACCOUNT: &str = "the key is not known";

/// The text for a caller whose answer can't be encoded.
const UNENCODABLE: &str = "the answer can't be sent";

const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Number of connections accepted from callers by this process.
static ACCEPTED: AtomicU64 = AtomicU64::new(0);

/// The reason why a caller's connection ended.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Malformed(#[from] DecodeError),
    #[error("{0}")]
    Unencodable(#[from] EncodeError),
    #[error("the caller was too slow")]
    TooSlow,
}

/// What a session handles next.
enum Event {
    Request(Request),
    /// The caller closed the connection.
    Disconnected,
    /// The session ends, because the process is shutting down or the proxy is stranded.
    End,
    /// The session ends, because its key has no account any more.
    Reject,
    /// The transaction is rolled back, because it was idle for too long, its account has changed, or the process is
    /// shutting down.
    Abort,
}

/// Serves a caller until its session ends.
pub(super) async fn serve(shared: Arc<Shared>, socket: TcpStream) {
    shared.shutdown.session_opened();
    shared.metrics.caller_connected();
    let mut caller = Caller {
        address: socket.peer_addr().ok(),
        number: ACCEPTED.fetch_add(1, Ordering::Relaxed) + 1,
        socket,
        input: Input::default(),
        received: 0,
        output: BytesMut::new(),
        session: Session::default(),
        database: None,
        credential: Credential::default(),
        quota_session: None,
        opened: shared.clock.now(),
        spread: fastrand::f64(),
        runner: Runner::new(Arc::clone(&shared)),
        forwarder: Forwarder::new(Arc::clone(&shared)),
        shared: Arc::clone(&shared),
    };
    let mut ended = caller.run().await;
    if let Err(Error::Malformed(error)) = &ended {
        let text = error.to_string();
        ended = caller.refuse(Code::Malformed, &text).await;
    }
    if let Err(error) = ended {
        log::debug!("caller connection ended: {error}");
    }
    drop(caller);
    shared.metrics.caller_disconnected();
    shared.shutdown.session_closed();
}

struct Caller {
    shared: Arc<Shared>,
    socket: TcpStream,
    /// What identifies the connection in logs.
    address: Option<SocketAddr>,
    number: u64,
    input: Input,
    /// Number of bytes received.
    received: u64,
    output: BytesMut,
    session: Session,
    /// The declaration of the database when the session's last operation began. A transaction ends by the one with which
    /// it began.
    database: Option<Database>,
    /// The caller's key, and the account whose statements the session runs if the deployment has accounts.
    credential: Credential,
    /// Keeps a token in reserve for the account of the session.
    quota_session: Option<OpenSession>,
    opened: Instant,
    /// The position of this session, from 0 to 1, among sessions that are ended together.
    spread: f64,
    runner: Runner,
    forwarder: Forwarder,
}

impl Caller {
    async fn run(&mut self) -> Result<(), Error> {
        self.socket.set_nodelay(true)?;
        let clock = self.shared.clock.clone();
        let opened = clock.timeout(OPEN_TIMEOUT, self.receive()).await.ok_or(Error::TooSlow)??;
        let Some(Request::Open { database, key }) = opened else {
            return Ok(());
        };
        if !self.shared.wait_for_configuration().await {
            return self.refuse(Code::Busy, "no configuration is in force yet").await;
        }
        let known = database.to_str().ok().filter(|name| self.shared.database(name).is_some());
        let Some(database) = known else {
            return self.refuse(Code::NoDatabase, "there is no such database").await;
        };
        self.credential = Credential::new(KeyDigest::of(key.as_bytes()));
        self.shared.update_credential(&mut self.credential, database);
        if self.credential.is_rejected() {
            self.record_rejection(database, false);
            return self.refuse(Code::NotAuthenticated, NO_ACCOUNT).await;
        }
        self.quota_session =
            self.credential.account().map(|account| self.shared.open_quota_session(account));
        self.queue_ready()?;
        self.flush().await?;
        loop {
            match self.next_event(database).await? {
                Event::Request(Request::Query { id, statement }) => {
                    let is_rejected = self.run_query(database, &id, statement).await?;
                    self.flush().await?;
                    if is_rejected {
                        self.record_rejection(database, true);
                        return Ok(());
                    }
                }
                Event::Request(Request::Open { .. }) => {
                    return self.refuse(Code::Malformed, "the session is open already").await;
                }
                Event::Request(Request::Close) | Event::Disconnected | Event::End => {
                    return Ok(());
                }
                Event::Reject => {
                    self.record_rejection(database, true);
                    return Ok(());
                }
                Event::Abort => {
                    log::info!(
                        "rolling back a transaction on {database}: idle for too long, its account has changed, or the \
                         process is shutting down"
                    );
                    self.roll_back();
                    self.session.fail();
                }
            }
        }
    }

    /// Waits for the next event of the session.
    async fn next_event(&mut self, database: &str) -> Result<Event, Error> {
        let state = self.session.state();
        let (open, idle) = (state == State::Open, state == State::Idle);
        let (opened, spread) = (self.opened, self.spread);
        let shared = Arc::clone(&self.shared);
        let mut credential = self.credential.clone();
        let stage = if open { Stage::Aborting } else { Stage::Draining };
        let max_idle = shared.idle_transaction().filter(|_| self.has_connection());
        let request = async {
            Ok(match self.receive().await? {
                Some(request) => Event::Request(request),
                None => Event::Disconnected,
            })
        };
        let shutting_down = async {
            shared.shutdown.wait_for(stage).await;
            Ok(if open { Event::Abort } else { Event::End })
        };
        let stranded = async {
            if !idle {
                std::future::pending::<()>().await;
            }
            shared.wait_until_stranded(opened, spread).await;
            Ok(Event::End)
        };
        let rejected = async {
            match state {
                State::Idle => shared.wait_until_rejected(&mut credential, database).await,
                State::Open => shared.wait_until_aborted(&mut credential, database).await,
                State::Failed => std::future::pending().await,
            }
            Ok(if open { Event::Abort } else { Event::Reject })
        };
        let ending = smol::future::or(shutting_down, smol::future::or(stranded, rejected));
        let waiting = smol::future::or(request, ending);
        match max_idle {
            Some(max_idle) => {
                shared.clock.timeout(max_idle, waiting).await.unwrap_or(Ok(Event::Abort))
            }
            None => waiting.await,
        }
    }

    /// Receives the next message, or `None` at the end of the connection.
    async fn receive(&mut self) -> Result<Option<Request>, Error> {
        loop {
            let before = self.input.len();
            match self.shared.codec.decode_request(&mut self.input) {
                Ok(Some(request)) => return Ok(Some(request)),
                Ok(None) => {}
                Err(error) => {
                    self.record_unreadable(error, before);
                    return Err(error.into());
                }
            }
            let mut buffer = [0; READ_BUFFER_BYTES];
            match self.socket.read(&mut buffer).await? {
                0 => return Ok(None),
                len => {
                    self.received += len as u64;
                    self.input.extend_from_slice(&buffer[..len]);
                }
            }
        }
    }

    /// Counts and logs a message that could not be read from an input of `len` bytes.
    fn record_unreadable(&self, error: DecodeError, len: usize) {
        self.shared.metrics.record_protocol_error(Peer::Caller, error.kind());
        LogEvent::Unreadable(Unreadable {
            peer: Peer::Caller,
            address: self.address,
            instance: None,
            group: None,
            connection: self.number,
            open_ms: millis(self.shared.clock.now().since(self.opened)),
            command: None,
            reason: error.kind(),
            place: Place::new(self.received, len, self.input.len()),
        })
        .log(Level::Info);
    }

    /// Runs a statement and queues the answer. Returns whether the session must end because its key has no account.
    async fn run_query(
        &mut self,
        name: &str,
        id: &Id,
        statement: Statement,
    ) -> Result<bool, EncodeError> {
        self.shared.update_credential(&mut self.credential, name);
        if !self.authenticate() {
            self.roll_back();
            self.session.fail();
            let reply = self.reject(name, id);
            self.queue_reply(&reply)?;
            return Ok(true);
        }
        if !self.has_connection() {
            self.database = self.shared.database(name);
        }
        let (action, database) = (self.session.handle(statement), self.database.clone());
        let reply = match (step(action), database) {
            (Ok(None), _) => Reply::from_iter([Answer::Done("-".into())]),
            (Err((code, text)), _) => {
                self.roll_back();
                Reply::from_iter([Answer::Failed { code, text: text.into() }])
            }
            (Ok(Some(Step::Rollback)), _) => {
                self.roll_back();
                Reply::from_iter([Answer::Done("-".into())])
            }
            (Ok(Some(_)), None) => {
                self.session.fail();
                let text = "the database was removed".into();
                Reply::from_iter([Answer::Failed { code: Code::NoDatabase, text }])
            }
            (Ok(Some(step)), Some(database)) => self.run_step((name, &database), id, &step).await,
        };
        self.queue_reply(&reply)?;
        let is_rejection =
            |answer: &Answer| matches!(answer, Answer::Failed { code: Code::NotAuthenticated, .. });
        // A serving proxy may have newer declarations than this one.
        Ok(reply.iter().any(is_rejection))
    }

    /// Begins an operation, unless one has begun already. An open transaction whose account has changed is rolled back
    /// when its time is over. Returns `false` if the session may run nothing.
    fn authenticate(&mut self) -> bool {
        let now = || self.shared.clock.now();
        if self.session.state() == State::Open
            && self.credential.transaction_limit().is_some_and(|limit| limit <= now())
        {
            self.roll_back();
            self.session.fail();
        }
        let begins = !self.has_connection() && self.session.state() != State::Failed;
        !begins || self.credential.begin().is_ok()
    }

    /// Counts and logs a statement that is refused because the session's key has no account, and returns its answer.
    fn reject(&self, name: &str, id: &Id) -> Reply {
        match self.shared.database(name) {
            Some(database) => {
                let values = self.session.values();
                let execution = self.runner.start_execution(id, values, (name, &database), None);
                let refusal = Refusal::new(Code::NotAuthenticated, NO_ACCOUNT);
                self.runner.conclude(&execution, Err(refusal))
            }
            None => {
                let (code, text) = (Code::NotAuthenticated, NO_ACCOUNT.into());
                Reply::from_iter([Answer::Failed { code, text }])
            }
        }
    }

    /// Counts and logs that the session is not opened or ends because its key has no account.
    fn record_rejection(&self, database: &str, was_open: bool) {
        let reason = self.credential.reason();
        self.shared.metrics.record_rejection(was_open, reason);
        let reason = reason.to_string();
        LogEvent::Session { database, was_open, reason }.log(Level::Info);
    }

    async fn run_step(
        &mut self,
        (name, database): (&str, &Database),
        id: &Id,
        step: &Step,
    ) -> Reply {
        let values = self.session.values();
        let mut execution =
            self.runner.start_execution(id, values, (name, database), self.credential.identity());
        execution.revision = self.credential.revision();
        execution.presence = Presence::new(self.socket.clone());
        let token = match self.take_token(&mut execution, step).await {
            Ok(token) => token,
            Err(refusal) => {
                let reply = self.runner.conclude(&execution, Err(refusal));
                self.session.fail();
                return reply;
            }
        };
        let is_served_here = !self.forwarder.has_transaction()
            && (self.runner.has_connection() || execution.wait_until_served(&self.shared).await);
        let (reply, is_open) = if is_served_here {
            self.runner.run_step(execution, step).await
        } else {
            let presence = execution.presence.clone();
            let forwarding = self.forwarder.run(&mut self.runner, execution, step);
            match step {
                // Nothing of these can be kept, so they can be given up wherever they are.
                Step::Single(Operation { access: Access::Read, .. })
                | Step::InTransaction { .. } => {
                    presence.unless_left(forwarding).await.unwrap_or_default()
                }
                Step::Single(_) | Step::Commit { .. } | Step::Rollback => forwarding.await,
            }
        };
        if matches!(step, Step::InTransaction { .. }) && !is_open {
            self.session.fail();
        }
        if let Some(token) = token {
            let is_busy =
                |answer: &Answer| matches!(answer, Answer::Failed { code: Code::Busy, .. });
            token.finish(!reply.iter().any(is_busy));
        }
        reply
    }

    /// Takes a token of the session's account if the step begins an operation: a single statement, or the first one of a
    /// transaction.
    async fn take_token(
        &self,
        execution: &mut Execution<'_>,
        step: &Step,
    ) -> Result<Option<Spend>, Refusal> {
        let begins = match step {
            Step::Single(_) => true,
            Step::InTransaction { .. } => !self.has_connection(),
            Step::Commit { .. } | Step::Rollback => false,
        };
        let Some(identity) = execution.identity.filter(|_| begins) else {
            return Ok(None);
        };
        let max_wait = execution.max_wait();
        let taken = self.shared.take_token(&identity.account, max_wait).await;
        execution.waited += self.shared.clock.now().since(execution.received_at);
        taken.map_err(|after| {
            self.shared.log_refused_operation(
                &execution.id.to_string(),
                &identity.account,
                execution.waited,
                after,
            );
            Refusal::busy("the account has no token of its quota left", after)
        })
    }

    /// Returns whether the transaction has a connection, here or on another proxy.
    fn has_connection(&self) -> bool {
        self.runner.has_connection() || self.forwarder.has_transaction()
    }

    fn roll_back(&mut self) {
        self.runner.roll_back();
        self.forwarder.roll_back();
    }

    /// Queues an answer and the final [`Answer::Ready`]. An answer that can't be encoded is replaced, since the statement
    /// may have taken effect.
    fn queue_reply(&mut self, reply: &Reply) -> Result<(), EncodeError> {
        let codec = self.shared.codec;
        let written = self.output.len();
        let queued =
            reply.iter().try_for_each(|answer| codec.encode_reply(answer, &mut self.output));
        if let Err(error) = queued {
            log::warn!("an answer to a caller can't be sent: {error}");
            self.output.truncate(written);
            self.roll_back();
            self.session.fail();
            let (code, text) = (Code::Unknown, UNENCODABLE.into());
            codec.encode_reply(&Answer::Failed { code, text }, &mut self.output)?;
        }
        self.queue_ready()
    }

    fn queue_ready(&mut self) -> Result<(), EncodeError> {
        let ready = Answer::Ready { state: self.session.state(), position: None };
        self.shared.codec.encode_reply(&ready, &mut self.output)
    }

    /// Rolls back, refuses the connection, and waits a little for the caller to close it. A close with unread input would
    /// make the kernel discard the refusal if the caller has not received it yet.
    async fn refuse(&mut self, code: Code, text: &str) -> Result<(), Error> {
        self.roll_back();
        let answer = Answer::Failed { code, text: text.into() };
        self.shared.codec.encode_reply(&answer, &mut self.output)?;
        self.flush().await?;
        self.socket.shutdown(Shutdown::Write)?;
        let mut buffer = [0; READ_BUFFER_BYTES];
        let closed = async { while matches!(self.socket.read(&mut buffer).await, Ok(1..)) {} };
        self.shared.clock.timeout(CLOSE_TIMEOUT, closed).await;
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), Error> {
        let output = self.output.split();
        let written =
            self.shared.clock.timeout(WRITE_TIMEOUT, self.socket.write_all(&output)).await;
        Ok(written.ok_or(Error::TooSlow)??)
    }
}

/// Returns what has to run for an action, if anything has to.
fn step(action: Action) -> Result<Option<Step>, (Code, &'static str)> {
    match action {
        Action::Complete => Ok(None),
        Action::Refuse(code, text) => Err((code, text)),
        Action::Single(operation) => Ok(Some(Step::Single(operation))),
        Action::InTransaction { operation, read_only } => {
            Ok(Some(Step::InTransaction { operation, read_only }))
        }
        Action::Commit { read_only } => Ok(Some(Step::Commit { read_only })),
        Action::Rollback => Ok(Some(Step::Rollback)),
    }
}
