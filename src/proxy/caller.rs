//! One caller's connection, from its start-up to its end.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use pgwire::messages::response::TransactionStatus;
use postgres_protocol::message::frontend;
use smol::io::{AsyncWriteExt, BufReader};
use smol::net::{TcpListener, TcpStream};

use super::batch::{Batch, Statements, Summary};
use super::class::{self, Kind, Tags};
use super::fence::Verdict;
use super::floor::{Floor, Mark};
use super::outcome::{Outcome, Reason, write_ready};
use super::pool::Loan;
use super::relay::{Broken, Exchange, Finish, Step, Writer, relay, write_parameter};
use super::route::{self, Choice};
use super::server::Shared;
use crate::clock::Instant;
use crate::id;
use crate::pgsql::{Error, Message, Socket, Startup, read_message, read_startup};
use crate::report::{self, Failure, Peer};
use crate::upstream::position::{QUERY, Status};
use crate::wire::Epoch;

/// The deadline of a request whose class is not declared.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);

/// The class that requests of undeclared groups are counted under.
const UNDECLARED: &str = "undeclared";

/// When a caller is told to come back when nothing better is known.
const RETRY: Duration = Duration::from_millis(250);

/// How often a wait for a position looks again.
const LOOK: Duration = Duration::from_millis(1);

/// The longest batch, in bytes.
const MAX_BATCH_BYTES: usize = 16 * 1024 * 1024;

/// The name of the parameter that carries the floor.
const FLOOR: &str = "cactushatch.floor";

/// Takes callers for ever.
pub(super) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((socket, from)) = listener.accept().await else {
            continue;
        };
        let shared = Arc::clone(&shared);
        let serve = async move {
            shared.metrics.caller_came();
            let served = Caller::serve(Arc::clone(&shared), socket).await;
            shared.metrics.caller_left();
            if let Err(error) = served {
                shared.metrics.violated(Peer::Caller, error.kind());
                log::debug!("the connection of {from} ended: {error}");
            }
        };
        smol::spawn(serve).detach();
    }
}

/// A transaction that holds its connection.
struct Transaction {
    loan: Loan,
    term: id::Term,
    /// Whether it may have written, so that its commit must be fenced.
    writes: bool,
}

/// What a caller asked for, before it has a connection.
enum Asked {
    Simple(Message),
    Batch(Batch),
}

struct Caller {
    shared: Arc<Shared>,
    reader: BufReader<Socket>,
    writer: Writer,
    group: id::Group,
    arrived: Instant,
    /// Whether the floor is known to cover all that the session wrote before it arrived.
    placed: bool,
    floor: Floor,
    told: Floor,
    statements: Statements,
    transaction: Option<Transaction>,
    failed: bool,
}

impl Caller {
    async fn serve(shared: Arc<Shared>, socket: TcpStream) -> Result<(), Error> {
        let mut socket = Socket::accepted(socket)?;
        let Some(parameters) = start(&mut socket).await? else {
            return Ok(());
        };
        let reader = BufReader::new(socket.clone());
        let writer = Writer::new(socket);
        let find = |name: &str| parameters.iter().find(|(known, _)| known == name).map(|(_, v)| v);
        let database = find("database").or(find("user"));
        let group = database.and_then(|name| name.parse().ok());
        let Some(group) = group else {
            return Err(Error::Protocol("a start-up without a database"));
        };
        let floor = find("options").and_then(|options| floor_option(options));
        let mut caller = Self {
            arrived: shared.clock.now(),
            placed: floor.is_some(),
            floor: floor.unwrap_or_default(),
            told: Floor::default(),
            shared,
            reader,
            writer,
            group,
            statements: Statements::default(),
            transaction: None,
            failed: false,
        };
        caller.welcome().await?;
        caller.run().await
    }

    async fn welcome(&mut self) -> Result<(), Error> {
        let out = &mut self.writer.out;
        out.put_slice(b"R\0\0\0\x08\0\0\0\0");
        let parameters = [
            ("server_version", "15.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in parameters {
            write_parameter(name, value, out);
        }
        write_ready(TransactionStatus::Idle, out);
        Ok(self.writer.flush().await?)
    }

    async fn run(&mut self) -> Result<(), Error> {
        let mut batch = Batch::default();
        while let Some(message) = read_message(&mut self.reader).await? {
            match message.tag {
                b'X' => return Ok(()),
                b'Q' => self.simple(message).await?,
                b'S' => self.batch(std::mem::take(&mut batch)).await?,
                b'P' | b'B' | b'D' | b'E' | b'C' => {
                    batch.push(message);
                    if batch.bytes() > MAX_BATCH_BYTES {
                        return Err(Error::Protocol("a batch that is too long"));
                    }
                }
                b'H' => return Err(Error::Protocol("Flush is not supported")),
                _ => return Err(Error::Protocol("a message that a caller can't send")),
            }
        }
        Ok(())
    }

    async fn simple(&mut self, message: Message) -> Result<(), Error> {
        let text = message.body.strip_suffix(&[0]).unwrap_or(&message.body);
        let Ok(sql) = std::str::from_utf8(text) else {
            return Err(Error::Protocol("a query that is not UTF-8"));
        };
        let summary = Summary { kind: class::kind(sql), tags: class::tags(sql) };
        self.request(summary, Asked::Simple(message)).await
    }

    async fn batch(&mut self, batch: Batch) -> Result<(), Error> {
        if batch.is_empty() {
            return self.ready().await;
        }
        let summary = self.statements.take(&batch)?;
        self.request(summary, Asked::Batch(batch)).await
    }

    /// Runs one request and answers it, whatever comes of it.
    async fn request(&mut self, summary: Summary, asked: Asked) -> Result<(), Error> {
        let arrived = self.shared.clock.now();
        let (class, limit) = self.class(&summary.tags);
        let deadline = arrived + limit;
        let left = deadline.since(self.shared.clock.now());
        let clock = self.shared.clock.clone();
        let ran = clock.timeout(left, self.dispatch(&summary, &asked, deadline)).await;
        let outcome = match ran {
            Some(Ok(())) => None,
            Some(Err(Stop::Outcome(outcome))) => Some(outcome),
            Some(Err(Stop::Caller(error))) => return Err(error.into()),
            None => {
                self.transaction = None;
                Some(Outcome::Unknown { reason: Reason::Deadline })
            }
        };
        let elapsed = self.shared.clock.now().since(arrived);
        let counted = outcome.as_ref().map_or(report::Outcome::Answered, Outcome::counted);
        self.shared.metrics.request(&class, counted, elapsed);
        if let Some(outcome) = outcome {
            if let Outcome::NotRun { reason, .. } = outcome {
                self.shared.metrics.refused(reason.refusal());
            }
            outcome.write(&mut self.writer.out);
            self.failed = self.transaction.is_some();
        }
        self.ready().await
    }

    /// Returns the class of a request and how long its answer may take.
    fn class(&self, tags: &Tags) -> (id::Class, Duration) {
        let fleet = self.shared.fleet();
        let Some(group) = fleet.group.get(&self.group) else {
            let undeclared = UNDECLARED.parse().expect("the constant is a name");
            return (undeclared, DEFAULT_DEADLINE);
        };
        let request = tags.request.as_ref().and_then(|name| group.request.get(name));
        let class = request.map_or(&group.default_class, |request| &request.class);
        let deadline = fleet.class.get(class).map_or(DEFAULT_DEADLINE, |class| class.deadline.0);
        (class.clone(), deadline)
    }

    async fn ready(&mut self) -> Result<(), Error> {
        if self.floor != self.told {
            self.told = self.floor.clone();
            write_parameter(FLOOR, &self.floor.to_string(), &mut self.writer.out);
        }
        let status = match &self.transaction {
            None => TransactionStatus::Idle,
            Some(_) if self.failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
        };
        write_ready(status, &mut self.writer.out);
        Ok(self.writer.flush().await?)
    }

    async fn dispatch(
        &mut self,
        summary: &Summary,
        asked: &Asked,
        deadline: Instant,
    ) -> Result<(), Stop> {
        if let Kind::Refused(why) = summary.kind {
            return Err(Outcome::Unsupported(why).into());
        }
        if self.transaction.is_some() {
            return self.inside(summary, asked).await;
        }
        match summary.kind {
            Kind::Read | Kind::Empty | Kind::Begin { read_only: true } => {
                self.read(summary, asked, deadline).await
            }
            _ => self.write(summary, asked, deadline).await,
        }
    }

    fn epoch(&self) -> Result<Epoch, Stop> {
        let epoch = self.shared.epoch(&self.group);
        epoch.ok_or_else(|| not_run(Reason::NoPrimary))
    }

    /// Runs a read on an instance that has reached the session's floor.
    async fn read(
        &mut self,
        summary: &Summary,
        asked: &Asked,
        deadline: Instant,
    ) -> Result<(), Stop> {
        self.place().await?;
        loop {
            let epoch = self.epoch()?;
            let candidates = self.shared.candidates(&self.group);
            let mark = self.floor.get(&self.group);
            match route::read(&candidates, &epoch, mark, &self.shared.domain) {
                Choice::Lost => return Err(Outcome::FloorLost.into()),
                Choice::Nowhere => self.shared.clock.sleep(LOOK).await,
                Choice::Instance(instance) => {
                    let tried =
                        self.try_read(summary, asked, &instance, epoch.term, deadline).await?;
                    if tried {
                        return Ok(());
                    }
                    self.shared.clock.sleep(LOOK).await;
                }
            }
        }
    }

    /// Runs a read on `instance`; returns whether the caller was answered.
    async fn try_read(
        &mut self,
        summary: &Summary,
        asked: &Asked,
        instance: &id::Instance,
        term: id::Term,
        deadline: Instant,
    ) -> Result<bool, Stop> {
        let Some(mut loan) = self.borrow(instance, deadline).await? else {
            return Ok(false);
        };
        let mut exchange = self.exchange(asked, &loan_held(&mut loan))?;
        match run(&mut loan, &mut exchange, &mut self.writer).await {
            Ok(finish) => {
                let primary = self.shared.epoch(&self.group).map(|epoch| epoch.primary);
                let replica = primary.as_ref() != Some(instance);
                let target =
                    if replica { report::Target::Replica } else { report::Target::Primary };
                self.shared.metrics.read(target);
                self.keep(loan, &finish, term, false, summary);
                Ok(true)
            }
            Err(Broken::Upstream { error, relayed: false }) => {
                self.shared.metrics.upstream_failed(Failure::Lost);
                self.shared.metrics.retried();
                log::debug!("a read on {instance} is tried elsewhere: {error}");
                Ok(false)
            }
            Err(Broken::Upstream { relayed: true, .. }) => {
                Err(Outcome::Unknown { reason: Reason::ConnectionLost }.into())
            }
            Err(Broken::Caller(error)) => Err(Stop::Caller(error)),
        }
    }

    /// Learns the session's floor from the primary when the caller brought none: a position that was read
    /// after the session arrived covers all that it wrote before.
    async fn place(&mut self) -> Result<(), Stop> {
        while !self.placed {
            let epoch = self.epoch()?;
            let candidates = self.shared.candidates(&self.group);
            let primary = candidates.iter().find(|c| c.replica.instance == epoch.primary);
            if let Some((at, status)) = primary.and_then(|primary| primary.status)
                && at >= self.arrived
                && status.term == epoch.term
                && self.shared.verdict(&self.group, epoch.term) == Verdict::Release
            {
                let mark = Mark { term: status.term, position: status.position };
                self.floor.raise(&self.group, mark);
                self.placed = true;
                return Ok(());
            }
            self.shared.clock.sleep(LOOK).await;
        }
        Ok(())
    }

    /// Runs a write, or the beginning of a transaction, on the primary.
    async fn write(
        &mut self,
        summary: &Summary,
        asked: &Asked,
        deadline: Instant,
    ) -> Result<(), Stop> {
        let epoch = self.epoch()?;
        match self.shared.verdict(&self.group, epoch.term) {
            Verdict::Release => {}
            Verdict::NoLease => return Err(not_run(Reason::NoLease)),
            Verdict::Replaced => return Err(not_run(Reason::Failover)),
        }
        let Some(mut loan) = self.borrow(&epoch.primary, deadline).await? else {
            return Err(not_run(Reason::Busy));
        };
        let mut exchange = self.exchange(asked, &loan_held(&mut loan))?;
        let begins = matches!(summary.kind, Kind::Begin { .. });
        exchange.hold = !begins;
        self.fenced(&mut loan, &mut exchange, epoch.term).await.map(|finish| {
            self.keep(loan, &finish, epoch.term, true, summary);
        })
    }

    /// Runs a statement inside the open transaction.
    async fn inside(&mut self, summary: &Summary, asked: &Asked) -> Result<(), Stop> {
        let Some(mut transaction) = self.transaction.take() else {
            return Ok(());
        };
        let held = transaction.loan.connection().prepared.clone();
        let mut exchange = self.exchange(asked, &held)?;
        exchange.hold = transaction.writes && summary.kind == Kind::Commit;
        let term = transaction.term;
        let finish = self.fenced(&mut transaction.loan, &mut exchange, term).await?;
        self.keep(transaction.loan, &finish, term, transaction.writes, summary);
        Ok(())
    }

    /// Runs an exchange; when it acknowledges a write, releases that only by the fence.
    async fn fenced(
        &mut self,
        loan: &mut Loan,
        exchange: &mut Exchange,
        term: id::Term,
    ) -> Result<Finish, Stop> {
        let hold = exchange.hold;
        if hold {
            frontend::query(QUERY, &mut exchange.bytes).map_err(Stop::Caller)?;
        }
        let lost = |broken| match broken {
            Broken::Upstream { .. } => {
                Stop::Outcome(Outcome::Unknown { reason: Reason::ConnectionLost })
            }
            Broken::Caller(error) => Stop::Caller(error),
        };
        let mut finish = run(loan, exchange, &mut self.writer).await.map_err(lost)?;
        if hold {
            let status = status(loan).await?;
            if !finish.failed {
                self.release(loan, status, term).await?;
            }
            self.writer.out.extend_from_slice(&finish.held);
            finish.held.clear();
        }
        Ok(finish)
    }

    /// Waits until the write is as durable as declared, and judges whether it may be acknowledged.
    async fn release(
        &mut self,
        loan: &mut Loan,
        written: Status,
        term: id::Term,
    ) -> Result<(), Stop> {
        let replaced = || Stop::Outcome(Outcome::Unknown { reason: Reason::Failover });
        if written.term != term {
            return Err(replaced());
        }
        let fleet = self.shared.fleet();
        let durability = fleet.group.get(&self.group).map(|group| group.durability);
        let mut now = written;
        while durability != Some(crate::config::Durability::Primary)
            && now.durable < written.position
        {
            if self.shared.verdict(&self.group, term) != Verdict::Release {
                return Err(replaced());
            }
            self.shared.clock.sleep(LOOK).await;
            let mut out = BytesMut::new();
            frontend::query(QUERY, &mut out).map_err(Stop::Caller)?;
            loan.connection().client.send(&out).await.map_err(|_| replaced())?;
            now = status(loan).await?;
        }
        match self.shared.verdict(&self.group, term) {
            Verdict::Release => {
                self.floor.raise(&self.group, Mark { term, position: written.position });
                Ok(())
            }
            Verdict::NoLease => Err(Outcome::Unknown { reason: Reason::NoLease }.into()),
            Verdict::Replaced => Err(replaced()),
        }
    }

    async fn borrow(
        &self,
        instance: &id::Instance,
        deadline: Instant,
    ) -> Result<Option<Loan>, Stop> {
        let Some(pool) = self.shared.pool(instance) else {
            return Ok(None);
        };
        match pool.borrow(deadline).await {
            Ok(loan) => Ok(loan),
            Err(error) => {
                log::debug!("no connection to {instance}: {error}");
                Err(not_run(Reason::Failover))
            }
        }
    }

    fn exchange(
        &mut self,
        asked: &Asked,
        held: &std::collections::HashSet<String>,
    ) -> Result<Exchange, Stop> {
        match asked {
            Asked::Simple(message) => {
                let mut exchange =
                    Exchange { steps: VecDeque::from([Step::Ready]), ..Exchange::default() };
                message.write(&mut exchange.bytes);
                Ok(exchange)
            }
            Asked::Batch(batch) => self
                .statements
                .exchange(batch, held)
                .map_err(|_| Outcome::Unsupported("a batch that can't be understood").into()),
        }
    }

    /// Keeps the connection while a transaction is open on it, and gives it back otherwise.
    fn keep(
        &mut self,
        loan: Loan,
        finish: &Finish,
        term: id::Term,
        writes: bool,
        summary: &Summary,
    ) {
        if finish.status == b'I' {
            self.transaction = None;
            self.failed = false;
            loan.give_back();
            return;
        }
        let read_only = matches!(summary.kind, Kind::Begin { read_only: true });
        self.failed = finish.status == b'E';
        self.transaction = Some(Transaction { loan, term, writes: writes && !read_only });
    }
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

fn not_run(reason: Reason) -> Stop {
    Stop::Outcome(Outcome::NotRun { reason, retry: RETRY })
}

fn loan_held(loan: &mut Loan) -> std::collections::HashSet<String> {
    loan.connection().prepared.clone()
}

async fn run(
    loan: &mut Loan,
    exchange: &mut Exchange,
    writer: &mut Writer,
) -> Result<Finish, Broken> {
    let connection = loan.connection();
    let sent = connection.client.send(&exchange.bytes).await;
    sent.map_err(|error| Broken::Upstream { error, relayed: false })?;
    relay(connection, exchange, writer).await
}

/// Reads the answer to a status query that was sent before.
async fn status(loan: &mut Loan) -> Result<Status, Stop> {
    let unknown = || Stop::Outcome(Outcome::Unknown { reason: Reason::ConnectionLost });
    let rows = loan.connection().client.rows().await.map_err(|_| unknown())?;
    let row = rows.into_iter().next().ok_or_else(unknown)?;
    Status::try_from(row).map_err(|_| unknown())
}

/// Reads start-up packets until a session begins; returns `None` when none does.
async fn start(socket: &mut Socket) -> Result<Option<Vec<(String, String)>>, Error> {
    loop {
        match read_startup(socket).await? {
            Startup::Tls | Startup::Gss => {
                socket.write_all(b"N").await?;
            }
            Startup::Cancel { .. } => return Ok(None),
            Startup::Session(parameters) => return Ok(Some(parameters)),
        }
    }
}

/// Finds `-c cactushatch.floor=TOKEN` in the start-up options.
fn floor_option(options: &str) -> Option<Floor> {
    let mut words = options.split_whitespace();
    words
        .find_map(|word| word.strip_prefix("cactushatch.floor="))
        .and_then(|text| text.parse().ok())
}
