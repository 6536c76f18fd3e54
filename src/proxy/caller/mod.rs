//! The connection of a caller, from start-up to close.

mod local;
mod once;
mod read;
mod start;
mod write;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use pgwire::messages::response::TransactionStatus;
use postgres_protocol::message::frontend;
use smol::io::{AsyncBufReadExt, BufReader};

use local::write_complete;
pub(super) use start::accept;

use super::admission::Arrival;
use super::batch::{Batch, Statements, Summary, hex};
use super::cancel::Entry;
use super::classify::{self, Kind};
use super::floor::{Floor, Mark};
use super::outcome::{Effect, Outcome, Reason, write_error, write_ready};
use super::pool::PooledConnection;
use super::relay::{self, Completion, Exchange, Step, Writer, relay, write_parameter};
use super::server::Shared;
use super::session::Session;
use crate::clock::Instant;
use crate::id;
use crate::pgsql::{Error, Message, Socket, read_message};
use crate::report;
use crate::wire::Epoch;

/// The time limit of a request whose class is not declared.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);

/// The class that requests of undeclared groups are counted under.
const UNDECLARED_CLASS: &str = "undeclared";

/// The priority of a request whose class is not declared.
const DEFAULT_PRIORITY: u8 = 128;

/// How long the key of a `once` request is kept if its declaration sets no `keep`.
const DEFAULT_KEY_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// How long a request waits for a new primary before it is refused with a retry time.
const FAILOVER_WAIT: Duration = Duration::from_secs(1);

/// The delay before a retry after a connection to an instance could not be opened or the primary stepped down.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How long a caller may leave a transaction idle before its connection is closed.
const IDLE_TRANSACTION_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a caller may take to read a complete answer before its connection is closed.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a session must be idle during a shutdown before the proxy closes it, so that the caller doesn't read the
/// closing error in place of its last answer.
const SHUTDOWN_IDLE_DELAY: Duration = Duration::from_millis(100);

/// The maximum length of a batch in bytes.
const MAX_BATCH_BYTES: usize = 16 * 1024 * 1024;

/// The `ParameterStatus` that reports the floor of the session to the caller.
const FLOOR_PARAMETER: &str = "cactushatch.floor";

/// An open transaction and the upstream connection that it runs on.
struct OpenTransaction {
    pooled: PooledConnection,
    term: id::Term,
    /// Whether the transaction may have written, in which case its commit must be fenced.
    may_write: bool,
}

/// The state of the caller's transaction.
enum Transaction {
    /// No transaction is open.
    None,
    /// The transaction is open on its connection.
    Open(Box<OpenTransaction>),
    /// The transaction can't be committed any more, because its connection was lost or a statement was refused. Its
    /// statements are refused until the caller ends it.
    Lost,
}

/// The query of a request as the caller sent it.
enum Query {
    Simple(Message),
    Extended(Batch),
}

/// A request with the properties that are declared for it.
struct Request {
    summary: Summary,
    query: Query,
    class: id::Class,
    arrived_at: Instant,
    deadline: Instant,
    priority: u8,
    max_age: Option<Duration>,
    once: bool,
    key_retention: Duration,
}

/// How far a request has got, which determines its outcome when it is abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Nothing that executes the request was sent.
    NotSent,
    /// The request was sent, and may have had this effect.
    Sent(Effect),
}

/// The instance that served the last read of the connection, and when the read ended.
struct LastRead {
    instance: id::Instance,
    ended_at: Instant,
}

struct Caller {
    shared: Arc<Shared>,
    reader: BufReader<Socket>,
    writer: Writer,
    cancel_entry: Entry,
    caller_number: u64,
    account: id::Account,
    group: id::Group,
    connected_at: Instant,
    /// Whether the floor is known to cover all writes of the session from before this connection.
    is_floor_known: bool,
    /// Whether the session is named, in which case it may also write over other connections.
    is_named: bool,
    session: Arc<Session>,
    /// The floor that was last reported to the caller.
    reported_floor: Floor,
    last_read: Option<LastRead>,
    /// A mark that covers the data that earlier reads returned.
    read_mark: Mark,
    statements: Statements,
    transaction: Transaction,
    /// Whether a statement of the open transaction failed.
    transaction_failed: bool,
    progress: Progress,
}

/// Why a request was not answered: the outcome to report to the caller, or an error of the caller's connection.
enum RequestError {
    Outcome(Outcome),
    Caller(std::io::Error),
}

impl From<Outcome> for RequestError {
    fn from(outcome: Outcome) -> Self {
        Self::Outcome(outcome)
    }
}

impl Caller {
    async fn run(&mut self) -> Result<(), Error> {
        let mut batch = Batch::default();
        let mut skipping = false;
        while self.wait_for_message(batch.is_empty()).await? {
            let Some(message) = read_message(&mut self.reader).await? else {
                return Ok(());
            };
            match message.tag {
                b'X' => return Ok(()),
                b'S' if std::mem::take(&mut skipping) => self.send_ready().await?,
                _ if skipping => {}
                // Boxed, so that the future of an idle caller doesn't include the state of a request.
                b'Q' => Box::pin(self.run_simple_query(message)).await?,
                b'S' => Box::pin(self.run_batch(std::mem::take(&mut batch))).await?,
                b'P' | b'B' | b'D' | b'E' | b'C' => {
                    batch.push(message);
                    if batch.bytes() > MAX_BATCH_BYTES {
                        batch = Batch::default();
                        skipping = true;
                        self.refuse("a batch is too long").await?;
                    }
                }
                b'H' => {
                    batch = Batch::default();
                    skipping = true;
                    self.refuse("Flush is not supported; end each batch with Sync").await?;
                }
                _ => return Err(Error::Protocol("a message that a caller can't send")),
            }
        }
        Ok(())
    }

    /// Waits for the caller's next message. Returns whether the connection stays open.
    async fn wait_for_message(&mut self, idle: bool) -> Result<bool, Error> {
        let in_transaction = !matches!(self.transaction, Transaction::None);
        if in_transaction {
            let clock = self.shared.clock.clone();
            let received = clock.timeout(IDLE_TRANSACTION_TIMEOUT, self.reader.fill_buf()).await;
            let Some(received) = received else {
                let out = &mut self.writer.out;
                let message = "a transaction was left open without a statement for too long";
                write_error("FATAL", "25P03", message, "outcome=not_run", out);
                self.flush().await?;
                return Ok(false);
            };
            return Ok(!received?.is_empty());
        }
        if !idle {
            return Ok(!self.reader.fill_buf().await?.is_empty());
        }
        let shared = Arc::clone(&self.shared);
        let shutting_down = async {
            shared.shutdown_started().await;
            shared.clock.sleep(SHUTDOWN_IDLE_DELAY).await;
            None
        };
        let received =
            smol::future::or(async { Some(self.reader.fill_buf().await) }, shutting_down).await;
        match received {
            Some(received) => Ok(!received?.is_empty()),
            None => {
                Outcome::refused(Reason::ShuttingDown, Duration::ZERO)
                    .write_fatal(&mut self.writer.out);
                self.flush().await?;
                Ok(false)
            }
        }
    }

    /// Refuses the batch that the caller is sending. The rest of the batch up to `Sync` is skipped.
    async fn refuse(&mut self, reason: &'static str) -> Result<(), Error> {
        Outcome::Unsupported(reason).write(&mut self.writer.out);
        if matches!(self.transaction, Transaction::Open(_)) {
            self.transaction = Transaction::Lost;
        }
        self.flush().await
    }

    async fn run_simple_query(&mut self, message: Message) -> Result<(), Error> {
        let text = message.body.strip_suffix(&[0]).unwrap_or(&message.body);
        let Ok(sql) = std::str::from_utf8(text) else {
            return Err(Error::Protocol("a query that is not UTF-8"));
        };
        let kind = self.shared.kinds.kind(sql);
        let summary = Summary { kind, tags: classify::tags(sql), executes: 1 };
        self.run_request(summary, Query::Simple(message)).await
    }

    async fn run_batch(&mut self, batch: Batch) -> Result<(), Error> {
        if batch.is_empty() {
            return self.send_ready().await;
        }
        match self.statements.register(&batch, &self.shared.kinds) {
            Ok(summary) => self.run_request(summary, Query::Extended(batch)).await,
            Err(error) => {
                let out = &mut self.writer.out;
                write_error("ERROR", "08P01", &error.to_string(), "outcome=not_run", out);
                self.send_ready().await
            }
        }
    }

    /// Runs a request and writes its answer or its outcome, at the latest when its deadline or the time limit of a
    /// shutdown passes.
    async fn run_request(&mut self, summary: Summary, query: Query) -> Result<(), Error> {
        let request = self.build_request(summary, query);
        self.shared.budget.deposit();
        self.progress = Progress::NotSent;
        self.writer.begin_answer();
        let time_left = request.deadline.since(request.arrived_at);
        let shared = Arc::clone(&self.shared);
        let abandoned = async {
            let deadline_passed = async {
                shared.clock.sleep(time_left).await;
                Reason::Deadline
            };
            let shutdown_expired = async {
                shared.shutdown_expired().await;
                Reason::ShuttingDown
            };
            Err(smol::future::or(deadline_passed, shutdown_expired).await)
        };
        let run = async { Ok(self.dispatch(&request).await) };
        let outcome = match smol::future::or(run, abandoned).await {
            Ok(Ok(())) => None,
            Ok(Err(RequestError::Outcome(outcome))) => Some(outcome),
            Ok(Err(RequestError::Caller(error))) => return Err(error.into()),
            Err(reason) => Some(self.abandon(reason)),
        };
        let elapsed = self.shared.clock.now().since(request.arrived_at);
        let label = outcome.as_ref().map_or(report::Outcome::Answered, Outcome::label);
        self.shared.metrics.record_request(&request.class, label, elapsed);
        let is_late = self.shared.clock.now() > request.deadline;
        self.shared.record_request(&request.class, &self.group, outcome.as_ref(), is_late);
        if let Some(outcome) = outcome {
            if let Outcome::NotRun { reason, .. } = outcome {
                self.shared.metrics.record_refusal(reason.refusal());
            }
            outcome.write(&mut self.writer.out);
            self.transaction_failed = true;
            // If the proxy refused a statement of a transaction, the transaction must not be committed.
            if matches!(self.transaction, Transaction::Open(_)) {
                self.transaction = Transaction::Lost;
            }
        }
        self.send_ready().await
    }

    /// Returns the outcome of a request that was abandoned. Dropping its future closed its upstream connection.
    fn abandon(&mut self, reason: Reason) -> Outcome {
        self.cancel_entry.finish();
        self.writer.discard_unwritten();
        match self.progress {
            Progress::NotSent => Outcome::refused(reason, Duration::ZERO),
            Progress::Sent(effect) => Outcome::Unknown { reason, effect },
        }
    }

    /// Builds a request from a query and the declarations of its name and its class.
    fn build_request(&self, summary: Summary, query: Query) -> Request {
        let arrived_at = self.shared.clock.now();
        let mut request = Request {
            class: UNDECLARED_CLASS.parse().expect("the constant is a valid class name"),
            arrived_at,
            deadline: arrived_at + DEFAULT_DEADLINE,
            priority: DEFAULT_PRIORITY,
            max_age: None,
            once: false,
            key_retention: DEFAULT_KEY_RETENTION,
            summary,
            query,
        };
        let fleet = self.shared.fleet();
        let Some(group) = fleet.group.get(&self.group) else {
            return request;
        };
        let name = request.summary.tags.request.as_ref();
        let declared = name.and_then(|name| group.request.get(name));
        if let Some(declared) = declared {
            request.max_age = declared.max_age.map(|age| age.0);
            request.once = declared.once;
            request.key_retention = declared.keep.map_or(DEFAULT_KEY_RETENTION, |keep| keep.0);
        }
        let class = declared.map_or(&group.default_class, |declared| &declared.class);
        request.class = class.clone();
        if let Some(class) = fleet.class.get(class) {
            request.deadline = arrived_at + class.deadline.0;
            request.priority = class.priority;
        }
        request
    }

    /// Sends the floor if it changed, and `ReadyForQuery`.
    async fn send_ready(&mut self) -> Result<(), Error> {
        let floor = self.session.floor();
        if floor != self.reported_floor {
            write_parameter(FLOOR_PARAMETER, &floor.to_string(), &mut self.writer.out);
            self.reported_floor = floor;
        }
        let status = match &self.transaction {
            Transaction::None => TransactionStatus::Idle,
            Transaction::Open(_) if !self.transaction_failed => TransactionStatus::Transaction,
            Transaction::Open(_) | Transaction::Lost => TransactionStatus::Error,
        };
        write_ready(status, &mut self.writer.out);
        self.flush().await
    }

    /// Writes the buffered messages. Fails if the caller doesn't read them in time.
    async fn flush(&mut self) -> Result<(), Error> {
        let clock = self.shared.clock.clone();
        match clock.timeout(FLUSH_TIMEOUT, self.writer.flush()).await {
            Some(flushed) => flushed?,
            None => return Err(Error::Timeout(FLUSH_TIMEOUT)),
        }
        self.writer.release_buffer();
        Ok(())
    }

    async fn dispatch(&mut self, request: &Request) -> Result<(), RequestError> {
        if let Kind::Refused(reason) = request.summary.kind {
            return Err(Outcome::Unsupported(reason).into());
        }
        match &self.transaction {
            Transaction::Lost => return self.answer_lost_transaction(request),
            Transaction::Open(_) => return self.dispatch_in_transaction(request).await,
            Transaction::None => self.transaction_failed = false,
        }
        match request.summary.kind {
            Kind::Local(local) => {
                self.answer_local(request, local);
                Ok(())
            }
            Kind::Empty | Kind::Read | Kind::Begin { read_only: true } => {
                self.run_read(request).await
            }
            Kind::Write if request.once && request.summary.executes > 0 => {
                self.run_once(request).await
            }
            _ => self.run_write(request).await,
        }
    }

    fn epoch(&self) -> Result<Epoch, RequestError> {
        let epoch = self.shared.epoch(&self.group);
        epoch.ok_or_else(|| not_run(Reason::NoPrimary))
    }

    fn arrival(&self, request: &Request) -> Arrival {
        Arrival {
            priority: request.priority,
            deadline: request.deadline,
            account: self.account.clone(),
            caller: self.caller_number,
        }
    }

    fn build_exchange(
        &mut self,
        query: &Query,
        pooled: &mut PooledConnection,
    ) -> Result<Exchange, RequestError> {
        match query {
            Query::Simple(message) => {
                let steps = VecDeque::from([Step::Ready]);
                let mut exchange = Exchange { steps, ..Exchange::default() };
                message.write(&mut exchange.bytes);
                Ok(exchange)
            }
            Query::Extended(batch) => self
                .statements
                .exchange(batch, &pooled.connection().prepared)
                .map_err(|_| Outcome::Unsupported("a batch that can't be understood").into()),
        }
    }

    /// Sends an exchange and relays its answer. The connection counts as running until the answer is complete.
    async fn run_exchange(
        &mut self,
        pooled: &mut PooledConnection,
        exchange: &mut Exchange,
        effect: Effect,
    ) -> Result<Completion, relay::Error> {
        self.progress = Progress::Sent(effect);
        if let Some(target) = pooled.target() {
            self.cancel_entry.start(target);
        }
        pooled.running = true;
        let connection = pooled.connection();
        // The status query that follows a held statement ties its answer too.
        let echo = !exchange.hold_acknowledgement && !exchange.leaves_portal;
        let nonce = echo.then(|| connection.client.next_nonce());
        if let Some(nonce) = nonce {
            frontend::query(&nonce.echo_sql(), &mut exchange.bytes)
                .map_err(relay::Error::Caller)?;
        }
        let mut result = match connection.client.send(&exchange.bytes).await {
            Ok(()) => relay(&self.shared.clock, connection, exchange, &mut self.writer).await,
            Err(error) => Err(relay::Error::Upstream { error, relayed: false }),
        };
        if let (Some(nonce), Ok(completion)) = (nonce, &result) {
            let answer = connection.client.receive_rows().await;
            if let Err(error) = nonce.check_echo(answer, completion.status == b'E') {
                let relayed = !self.writer.discard_unwritten();
                result = Err(relay::Error::Upstream { error, relayed });
            }
        }
        if let Err(relay::Error::Upstream { error, .. }) = &result {
            pooled.report("statement", error);
        }
        let cancelled = self.cancel_entry.finish();
        if let Ok(completion) = &result {
            pooled.running = false;
            // A failed transaction refuses the echo too, so that a second refusal could pass for that of a later one.
            pooled.must_close |= cancelled || completion.status == b'E';
        }
        result
    }

    /// Keeps the connection while a transaction is open on it, or else returns it to the pool.
    fn keep_or_release(
        &mut self,
        mut pooled: PooledConnection,
        completion: &Completion,
        term: id::Term,
        may_write: bool,
    ) {
        if completion.status == b'I' {
            self.transaction = Transaction::None;
            self.transaction_failed = false;
            pooled.release();
            return;
        }
        pooled.hold();
        self.transaction_failed = completion.status == b'E';
        self.transaction = Transaction::Open(Box::new(OpenTransaction { pooled, term, may_write }));
    }

    /// Returns the digest of a query over its text, without the trailing comment, and its parameters.
    fn digest(&self, query: &Query) -> Result<String, Error> {
        use sha2::{Digest, Sha256};

        match query {
            Query::Simple(message) => {
                let text = message.body.strip_suffix(&[0]).unwrap_or(&message.body);
                let text = String::from_utf8_lossy(text);
                Ok(hex(&Sha256::digest(classify::strip_comment(&text).as_bytes())))
            }
            Query::Extended(batch) => self.statements.digest(batch),
        }
    }
}

fn not_run(reason: Reason) -> RequestError {
    RequestError::Outcome(Outcome::refused(reason, Duration::ZERO))
}

fn busy(wait: Duration) -> RequestError {
    RequestError::Outcome(Outcome::refused(Reason::Busy, wait))
}
