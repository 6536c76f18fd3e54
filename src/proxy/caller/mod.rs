//! One caller's connection, from its start-up to its end.

mod local;
mod once;
mod read;
mod start;
mod write;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use pgwire::messages::response::TransactionStatus;
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

/// The deadline of a request whose class is not declared.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);

/// The class that requests of undeclared groups are counted under.
const UNDECLARED: &str = "undeclared";

/// The priority of a request whose class is not declared.
const DEFAULT_PRIORITY: u8 = 128;

/// How long the key of a `once` request is kept whose declaration doesn't say.
const DEFAULT_KEEP: Duration = Duration::from_secs(24 * 60 * 60);

/// How long a request waits for a new primary before it is refused with a retry time.
const FAILOVER_WAIT: Duration = Duration::from_secs(1);

/// How long to wait after a connection could not be made.
const PAUSE: Duration = Duration::from_millis(10);

/// How long a caller may leave a transaction open without a statement.
const IDLE_TRANSACTION: Duration = Duration::from_secs(30);

/// How long a caller may leave an answer unread that is complete.
const STALL: Duration = Duration::from_secs(30);

/// How long a session is idle before a shutdown ends it, so that its end is not read in place of its last answer.
const QUIET: Duration = Duration::from_millis(100);

/// The longest batch, in bytes.
const MAX_BATCH_BYTES: usize = 16 * 1024 * 1024;

/// The name of the parameter that carries the floor.
const FLOOR: &str = "cactushatch.floor";

/// A transaction that holds its connection.
struct Transaction {
    loan: PooledConnection,
    term: id::Term,
    /// Whether it may have written, so that its commit must be fenced.
    writes: bool,
}

/// The caller's transaction.
enum Open {
    /// There is none.
    None,
    /// It holds its connection.
    Held(Box<Transaction>),
    /// Its connection was lost; the caller has yet to end it.
    Lost,
}

/// What a caller asked for, before it has a connection.
enum Asked {
    Simple(Message),
    Batch(Batch),
}

/// A request with what was declared for it.
struct Request {
    summary: Summary,
    asked: Asked,
    class: id::Class,
    arrived: Instant,
    deadline: Instant,
    priority: u8,
    max_age: Option<Duration>,
    once: bool,
    keep: Duration,
}

/// How far a request has come, for its outcome when it is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No byte of its execution was sent.
    Waiting,
    /// It was sent, and it can't have been committed.
    Sent(Effect),
}

/// The instance that served the connection's last read, and when that ended.
struct Seen {
    instance: id::Instance,
    at: Instant,
}

struct Caller {
    shared: Arc<Shared>,
    reader: BufReader<Socket>,
    writer: Writer,
    entry: Entry,
    number: u64,
    customer: id::Customer,
    group: id::Group,
    arrived: Instant,
    /// Whether the floor is known to cover all that the session wrote before it arrived.
    placed: bool,
    /// Whether the session has a name, so that it may write by other connections too.
    named: bool,
    session: Arc<Session>,
    told: Floor,
    seen: Option<Seen>,
    read: Mark,
    statements: Statements,
    open: Open,
    failed: bool,
    progress: Progress,
}

/// Why a request was not simply answered.
enum Stop {
    Outcome(Outcome),
    Caller(std::io::Error),
}

impl From<Outcome> for Stop {
    fn from(outcome: Outcome) -> Self {
        Self::Outcome(outcome)
    }
}

impl Caller {
    async fn run(&mut self) -> Result<(), Error> {
        let mut batch = Batch::default();
        let mut skipping = false;
        while self.wait(batch.is_empty()).await? {
            let Some(message) = read_message(&mut self.reader).await? else {
                return Ok(());
            };
            match message.tag {
                b'X' => return Ok(()),
                b'S' if std::mem::take(&mut skipping) => self.ready().await?,
                _ if skipping => {}
                // An idle caller keeps no room for a request.
                b'Q' => Box::pin(self.simple(message)).await?,
                b'S' => Box::pin(self.batch(std::mem::take(&mut batch))).await?,
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

    /// Waits for the caller's next message; returns whether the connection goes on.
    async fn wait(&mut self, idle: bool) -> Result<bool, Error> {
        let open = !matches!(self.open, Open::None);
        if open {
            let clock = self.shared.clock.clone();
            let came = clock.timeout(IDLE_TRANSACTION, self.reader.fill_buf()).await;
            let Some(came) = came else {
                let out = &mut self.writer.out;
                let message = "a transaction was left open without a statement for too long";
                write_error("FATAL", "25P03", message, "outcome=not_run", out);
                self.flush().await?;
                return Ok(false);
            };
            return Ok(!came?.is_empty());
        }
        if !idle {
            return Ok(!self.reader.fill_buf().await?.is_empty());
        }
        let shared = Arc::clone(&self.shared);
        let leaving = async {
            shared.shutdown_started().await;
            shared.clock.sleep(QUIET).await;
            None
        };
        let came = smol::future::or(async { Some(self.reader.fill_buf().await) }, leaving).await;
        match came {
            Some(came) => Ok(!came?.is_empty()),
            None => {
                Outcome::refused(Reason::ShuttingDown, Duration::ZERO)
                    .write_fatal(&mut self.writer.out);
                self.flush().await?;
                Ok(false)
            }
        }
    }

    /// Refuses what the caller sent so far; the rest up to its `Sync` is skipped.
    async fn refuse(&mut self, why: &'static str) -> Result<(), Error> {
        Outcome::Unsupported(why).write(&mut self.writer.out);
        if matches!(self.open, Open::Held(_)) {
            self.open = Open::Lost;
        }
        self.flush().await
    }

    async fn simple(&mut self, message: Message) -> Result<(), Error> {
        let text = message.body.strip_suffix(&[0]).unwrap_or(&message.body);
        let Ok(sql) = std::str::from_utf8(text) else {
            return Err(Error::Protocol("a query that is not UTF-8"));
        };
        let kind = self.shared.kinds.kind(sql);
        let summary = Summary { kind, tags: classify::tags(sql), executes: 1 };
        self.request(summary, Asked::Simple(message)).await
    }

    async fn batch(&mut self, batch: Batch) -> Result<(), Error> {
        if batch.is_empty() {
            return self.ready().await;
        }
        match self.statements.register(&batch, &self.shared.kinds) {
            Ok(summary) => self.request(summary, Asked::Batch(batch)).await,
            Err(error) => {
                let out = &mut self.writer.out;
                write_error("ERROR", "08P01", &error.to_string(), "outcome=not_run", out);
                self.ready().await
            }
        }
    }

    /// Runs one request and answers it, whatever comes of it.
    async fn request(&mut self, summary: Summary, asked: Asked) -> Result<(), Error> {
        let request = self.declared(summary, asked);
        self.shared.budget.deposit();
        self.progress = Progress::Waiting;
        self.writer.begin_answer();
        let left = request.deadline.since(request.arrived);
        let shared = Arc::clone(&self.shared);
        let given_up = async {
            let late = async {
                shared.clock.sleep(left).await;
                Reason::Deadline
            };
            let ended = async {
                shared.shutdown_expired().await;
                Reason::ShuttingDown
            };
            Err(smol::future::or(late, ended).await)
        };
        let ran = async { Ok(self.dispatch(&request).await) };
        let outcome = match smol::future::or(ran, given_up).await {
            Ok(Ok(())) => None,
            Ok(Err(Stop::Outcome(outcome))) => Some(outcome),
            Ok(Err(Stop::Caller(error))) => return Err(error.into()),
            Err(reason) => Some(self.given_up(reason)),
        };
        let elapsed = self.shared.clock.now().since(request.arrived);
        let counted = outcome.as_ref().map_or(report::Outcome::Answered, Outcome::label);
        self.shared.metrics.request(&request.class, counted, elapsed);
        let late = self.shared.clock.now() > request.deadline;
        self.shared.record_request(&request.class, &self.group, outcome.as_ref(), late);
        if let Some(outcome) = outcome {
            if let Outcome::NotRun { reason, .. } = outcome {
                self.shared.metrics.refused(reason.refusal());
            }
            outcome.write(&mut self.writer.out);
            self.failed = true;
            // A transaction that the proxy refused a statement of can't be committed any more.
            if matches!(self.open, Open::Held(_)) {
                self.open = Open::Lost;
            }
        }
        self.ready().await
    }

    /// Returns the outcome of a request that is given up; dropping it closed its connection.
    fn given_up(&mut self, reason: Reason) -> Outcome {
        self.entry.finish();
        self.writer.discard_unwritten();
        match self.progress {
            Progress::Waiting => Outcome::refused(reason, Duration::ZERO),
            Progress::Sent(effect) => Outcome::Unknown { reason, effect },
        }
    }

    /// Joins a request with what was declared for it.
    fn declared(&self, summary: Summary, asked: Asked) -> Request {
        let arrived = self.shared.clock.now();
        let mut request = Request {
            class: UNDECLARED.parse().expect("the constant is a name"),
            arrived,
            deadline: arrived + DEFAULT_DEADLINE,
            priority: DEFAULT_PRIORITY,
            max_age: None,
            once: false,
            keep: DEFAULT_KEEP,
            summary,
            asked,
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
            request.keep = declared.keep.map_or(DEFAULT_KEEP, |keep| keep.0);
        }
        let class = declared.map_or(&group.default_class, |declared| &declared.class);
        request.class = class.clone();
        if let Some(class) = fleet.class.get(class) {
            request.deadline = arrived + class.deadline.0;
            request.priority = class.priority;
        }
        request
    }

    async fn ready(&mut self) -> Result<(), Error> {
        let floor = self.session.floor();
        if floor != self.told {
            write_parameter(FLOOR, &floor.to_string(), &mut self.writer.out);
            self.told = floor;
        }
        let status = match &self.open {
            Open::None => TransactionStatus::Idle,
            Open::Held(_) if !self.failed => TransactionStatus::Transaction,
            Open::Held(_) | Open::Lost => TransactionStatus::Error,
        };
        write_ready(status, &mut self.writer.out);
        self.flush().await
    }

    /// Writes what was collected; a caller that doesn't read is left.
    async fn flush(&mut self) -> Result<(), Error> {
        let clock = self.shared.clock.clone();
        match clock.timeout(STALL, self.writer.flush()).await {
            Some(flushed) => flushed?,
            None => return Err(Error::Timeout(STALL)),
        }
        self.writer.release_buffer();
        Ok(())
    }

    async fn dispatch(&mut self, request: &Request) -> Result<(), Stop> {
        if let Kind::Refused(why) = request.summary.kind {
            return Err(Outcome::Unsupported(why).into());
        }
        match &self.open {
            Open::Lost => return self.end_lost(request),
            Open::Held(_) => return self.inside(request).await,
            Open::None => self.failed = false,
        }
        match request.summary.kind {
            Kind::Local(local) => {
                self.local(request, local);
                Ok(())
            }
            Kind::Empty | Kind::Read | Kind::Begin { read_only: true } => self.read(request).await,
            Kind::Write if request.once && request.summary.executes > 0 => self.once(request).await,
            _ => self.write(request).await,
        }
    }

    fn epoch(&self) -> Result<Epoch, Stop> {
        let epoch = self.shared.epoch(&self.group);
        epoch.ok_or_else(|| not_run(Reason::NoPrimary))
    }

    fn arrival(&self, request: &Request) -> Arrival {
        Arrival {
            priority: request.priority,
            deadline: request.deadline,
            customer: self.customer.clone(),
            caller: self.number,
        }
    }

    fn exchange(&mut self, asked: &Asked, loan: &mut PooledConnection) -> Result<Exchange, Stop> {
        match asked {
            Asked::Simple(message) => {
                let steps = VecDeque::from([Step::Ready]);
                let mut exchange = Exchange { steps, ..Exchange::default() };
                message.write(&mut exchange.bytes);
                Ok(exchange)
            }
            Asked::Batch(batch) => self
                .statements
                .exchange(batch, &loan.connection().prepared)
                .map_err(|_| Outcome::Unsupported("a batch that can't be understood").into()),
        }
    }

    /// Sends an exchange and relays its answer. The loan counts as running until the answer has ended.
    async fn exchange_on(
        &mut self,
        loan: &mut PooledConnection,
        exchange: &mut Exchange,
        effect: Effect,
    ) -> Result<Completion, relay::Error> {
        self.progress = Progress::Sent(effect);
        if let Some(target) = loan.target() {
            self.entry.start(target);
        }
        loan.running = true;
        let connection = loan.connection();
        let ran = match connection.client.send(&exchange.bytes).await {
            Ok(()) => relay(&self.shared.clock, connection, exchange, &mut self.writer).await,
            Err(error) => Err(relay::Error::Upstream { error, relayed: false }),
        };
        let cancelled = self.entry.finish();
        if ran.is_ok() {
            loan.running = false;
            loan.must_close |= cancelled;
        }
        ran
    }

    /// Keeps the connection while a transaction is open on it, and gives it back otherwise.
    fn keep(
        &mut self,
        mut loan: PooledConnection,
        finish: &Completion,
        term: id::Term,
        writes: bool,
    ) {
        if finish.status == b'I' {
            self.open = Open::None;
            self.failed = false;
            loan.release();
            return;
        }
        loan.hold();
        self.failed = finish.status == b'E';
        self.open = Open::Held(Box::new(Transaction { loan, term, writes }));
    }

    /// Returns the digest of a request: of its text without the trailing comment, and of its parameters.
    fn digest(&self, asked: &Asked) -> Result<String, Error> {
        use sha2::{Digest, Sha256};

        match asked {
            Asked::Simple(message) => {
                let text = message.body.strip_suffix(&[0]).unwrap_or(&message.body);
                let text = String::from_utf8_lossy(text);
                Ok(hex(&Sha256::digest(classify::strip_comment(&text).as_bytes())))
            }
            Asked::Batch(batch) => self.statements.digest(batch),
        }
    }
}

fn not_run(reason: Reason) -> Stop {
    Stop::Outcome(Outcome::refused(reason, Duration::ZERO))
}

fn busy(wait: Duration) -> Stop {
    Stop::Outcome(Outcome::refused(Reason::Busy, wait))
}
