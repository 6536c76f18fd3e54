//! The connection pool of a proxy for one instance. Connections are bounded in number, reused, and replaced when they
//! fail.
//!
//! The limiter in `proxy::admission` decides which requests run. Each running request has one connection, so that the
//! pool never exceeds its share.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use smol::channel::{Receiver, Sender, bounded};
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::admission::{Arrival, Gate, Input, Output, Ticket};
use super::cancel::Target;
use super::floor::Mark;
use crate::clock::{Clock, Instant};
use crate::pgsql::{self, Client};
use crate::security::Upstream;
use crate::upstream::position::{QUERY, Status};
use crate::wire::Replica;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection that was idle for this long is checked before its next use.
const IDLE: Duration = Duration::from_secs(5);

/// How long the check of an idle connection may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection with more prepared statements than this is closed instead of reused.
const MAX_PREPARED: usize = 1_000;

/// How long a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// One connection to an instance.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) client: Client,
    /// The names of the prepared statements on this connection.
    pub(super) prepared: HashSet<String>,
    /// When the connection was opened. A position requested later comes from the same run of the instance.
    pub(super) opened: Instant,
    /// The last position that was queried over this connection.
    pub(super) proved: Option<Mark>,
    used: Instant,
}

/// Why a request got no connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// There is no room before the deadline. The duration is the estimated time until there is room.
    #[error("no room before the deadline, expected in {0:?}")]
    Refused(Duration),
    /// The deadline passed while the request waited.
    #[error("deadline passed while waiting for a connection")]
    Late,
    /// The connection could not be opened.
    #[error("{0}")]
    Connect(#[from] pgsql::Error),
}

/// The connection pool of one instance.
#[derive(Debug)]
pub(super) struct Pool {
    clock: Clock,
    replica: Replica,
    user: String,
    application: String,
    upstream: Upstream,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    gate: Gate,
    next: Ticket,
    idle: Vec<Connection>,
    waiting: BTreeMap<Ticket, Sender<Result<(), Duration>>>,
    connections: u32,
}

/// A connection that a request has taken from the pool. [`Loan::give_back`] returns it for reuse; dropping closes it.
#[derive(Debug)]
pub(super) struct Loan {
    connection: Option<Connection>,
    pool: Arc<Pool>,
    since: Instant,
    /// Whether the duration of the loan measures the service time of one statement.
    pub(super) statement: bool,
    held: bool,
    /// Whether a statement was sent whose answer is not complete.
    pub(super) running: bool,
    /// Whether the connection must be closed instead of reused.
    pub(super) spoiled: bool,
}

/// A waiting request. Dropping it removes the request from the queue.
struct Waiter<'a> {
    pool: &'a Pool,
    ticket: Ticket,
    started: Receiver<Result<(), Duration>>,
}

impl Pool {
    pub(super) fn new(clock: Clock, replica: Replica, user: String, application: String) -> Self {
        let inner = Inner {
            gate: Gate::new(),
            next: Ticket(0),
            idle: Vec::new(),
            waiting: BTreeMap::new(),
            connections: 1,
        };
        let upstream = Upstream::default();
        Self { clock, replica, user, application, upstream, inner: Mutex::new(inner) }
    }

    /// Uses TLS and a password for new connections if `upstream` specifies them.
    pub(super) fn with(self, upstream: Upstream) -> Self {
        Self { upstream, ..self }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.replica.address
    }

    /// Sets the number of slots of the instance and the maximum number of connections. Excess connections are closed as
    /// soon as they are idle.
    pub(super) fn limit(&self, slots: u32, connections: u32) {
        let mut inner = self.lock();
        inner.connections = connections;
        let outputs = inner.gate.step(self.clock.now(), Input::Limit { slots, connections });
        inner.apply(outputs);
        inner.trim();
    }

    /// Returns the number of open connections.
    pub(super) fn open_count(&self) -> u32 {
        let inner = self.lock();
        inner.idle.len() as u32 + inner.gate.used()
    }

    /// Returns the number of open connections, of wanted connections, and the maximum number of connections.
    pub(super) fn demand(&self) -> (u32, u32, u32) {
        let inner = self.lock();
        let open = inner.idle.len() as u32 + inner.gate.used();
        (open, inner.gate.busy(), inner.connections)
    }

    /// Returns the number of running requests, waiting requests and open transactions.
    pub(super) fn busy(&self) -> u32 {
        self.lock().gate.busy()
    }

    /// Takes a connection for an arriving request, once the limiter starts the request.
    pub(super) async fn borrow(self: &Arc<Self>, arrival: Arrival) -> Result<Loan, Error> {
        let deadline = arrival.deadline;
        let (ticket, started) = {
            let mut inner = self.lock();
            let ticket = inner.next;
            inner.next = Ticket(ticket.0 + 1);
            let (sender, started) = bounded(1);
            inner.waiting.insert(ticket, sender);
            let outputs = inner.gate.step(self.clock.now(), Input::Arrive(ticket, arrival));
            inner.apply(outputs);
            (ticket, started)
        };
        let waiter = Waiter { pool: self, ticket, started };
        let left = deadline.since(self.clock.now());
        let answer = match waiter.started.try_recv() {
            Ok(answer) => Some(answer),
            Err(_) => self.clock.timeout(left, waiter.started.recv()).await.and_then(Result::ok),
        };
        match answer {
            Some(Ok(())) => {}
            Some(Err(wait)) => return Err(Error::Refused(wait)),
            None => return Err(Error::Late),
        }
        // The request counts as running from here until its loan is dropped.
        let mut loan = Loan::new(Arc::clone(self), self.clock.now());
        self.connect(&mut loan).await?;
        Ok(loan)
    }

    async fn connect(&self, loan: &mut Loan) -> Result<(), Error> {
        loop {
            let Some(mut connection) = self.lock().idle.pop() else {
                break;
            };
            if !connection.client.is_quiet().await {
                continue;
            }
            if self.clock.now().since(connection.used) < IDLE || self.check(&mut connection).await {
                loan.connection = Some(connection);
                return Ok(());
            }
            // A fault that broke this connection has probably broken the other idle ones too.
            self.lock().idle.clear();
        }
        loan.statement = false;
        loan.connection = Some(self.open().await?);
        Ok(())
    }

    async fn open(&self) -> Result<Connection, Error> {
        let parameters = [
            ("user", self.user.as_str()),
            ("database", self.replica.group.as_str()),
            ("application_name", self.application.as_str()),
        ];
        let address = self.replica.address;
        let upstream = Some(&self.upstream);
        let client =
            Client::open(&self.clock, address, &parameters, upstream, CONNECT_TIMEOUT).await?;
        let now = self.clock.now();
        let prepared = HashSet::new();
        Ok(Connection { client, prepared, opened: now, proved: None, used: now })
    }

    /// Returns whether a connection still answers after a long idle time.
    async fn check(&self, connection: &mut Connection) -> bool {
        connection.status(&self.clock, CHECK_TIMEOUT).await.is_ok()
    }

    /// Marks idle connections to be checked before their next use, because another connection failed.
    pub(super) fn suspect(&self) {
        self.lock().suspect();
    }

    /// Opens connections ahead of a peak until `count` or the maximum number of connections are open.
    pub(super) async fn warm(&self, count: u32) {
        loop {
            {
                let inner = self.lock();
                let held = inner.idle.len() as u32 + inner.gate.used();
                if held >= count.min(inner.connections) {
                    return;
                }
            }
            let Ok(connection) = self.open().await else {
                return;
            };
            let mut inner = self.lock();
            inner.idle.insert(0, connection);
            inner.trim();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("nothing panics while it holds the lock")
    }
}

impl Connection {
    /// Queries the status of the instance over this connection.
    pub(super) async fn status(
        &mut self,
        clock: &Clock,
        timeout: Duration,
    ) -> Result<Status, pgsql::Error> {
        let rows = self.client.query(clock, QUERY, timeout).await?;
        let row = rows.into_iter().next().ok_or(pgsql::Error::Protocol("no status row"))?;
        let status = Status::try_from(row);
        let status = status.map_err(|_| pgsql::Error::Protocol("a malformed status row"))?;
        self.proved = Some(Mark { term: status.term, position: status.position });
        Ok(status)
    }
}

impl Inner {
    fn apply(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            let (ticket, answer) = match output {
                Output::Start(ticket) => (ticket, Ok(())),
                Output::Refuse(ticket, wait) => (ticket, Err(wait)),
            };
            if let Some(sender) = self.waiting.remove(&ticket) {
                let _ = sender.try_send(answer);
            }
        }
    }

    fn suspect(&mut self) {
        for connection in &mut self.idle {
            connection.used = Instant::default();
        }
    }

    /// Closes idle connections in excess of the maximum, the longest idle first.
    fn trim(&mut self) {
        let room = self.connections.saturating_sub(self.gate.used()) as usize;
        let excess = self.idle.len().saturating_sub(room);
        self.idle.drain(..excess);
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut inner = self.pool.lock();
        let input = if inner.waiting.remove(&self.ticket).is_some() {
            Input::Gone(self.ticket)
        } else if let Ok(Ok(())) = self.started.try_recv() {
            // The limiter started the request just before it was abandoned.
            Input::Done(None)
        } else {
            return;
        };
        let outputs = inner.gate.step(self.pool.clock.now(), input);
        inner.apply(outputs);
    }
}

impl Loan {
    fn new(pool: Arc<Pool>, since: Instant) -> Self {
        Self {
            connection: None,
            pool,
            since,
            statement: true,
            held: false,
            running: false,
            spoiled: false,
        }
    }

    pub(super) fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a loan has its connection until it is given back")
    }

    /// Returns the address and key for a cancel request to this connection.
    pub(super) fn target(&self) -> Option<Target> {
        let connection = self.connection.as_ref()?;
        Some(Target { address: self.pool.address(), key: connection.client.key() })
    }

    /// Keeps the connection for a transaction. Other requests can run while the transaction is idle.
    pub(super) fn hold(&mut self) {
        if std::mem::replace(&mut self.held, true) {
            return;
        }
        let mut inner = self.pool.lock();
        let outputs = inner.gate.step(self.pool.clock.now(), Input::Hold);
        inner.apply(outputs);
    }

    /// Returns the connection to the pool for reuse. No request may be in progress on it.
    pub(super) fn give_back(mut self) {
        let now = self.pool.clock.now();
        let reusable = |connection: &mut Connection| connection.prepared.len() <= MAX_PREPARED;
        if self.spoiled || self.running {
            return;
        }
        if let Some(mut connection) = self.connection.take_if(reusable) {
            connection.used = now;
            self.pool.lock().idle.push(connection);
        }
    }

    /// Marks the idle connections of the pool to be checked, because this connection failed.
    pub(super) fn suspect(&self) {
        self.pool.suspect();
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        let now = self.pool.clock.now();
        if self.running
            && let Some(target) = self.target()
        {
            // Cancels the statement so that it frees its slot. The connection is closed without waiting for the answer.
            smol::spawn(cancel(self.pool.clock.clone(), target)).detach();
        }
        let took = self.statement.then(|| now.since(self.since));
        let input = if self.held { Input::Free } else { Input::Done(took) };
        let mut inner = self.pool.lock();
        if self.running {
            inner.suspect();
        }
        let outputs = inner.gate.step(now, input);
        inner.apply(outputs);
        inner.trim();
    }
}

/// Sends a cancel request for the statement that runs on the target connection.
pub(super) async fn cancel(clock: Clock, target: Target) {
    let send = async {
        let mut socket = TcpStream::connect(target.address).await?;
        let mut packet = bytes::BytesMut::new();
        let (process, secret) = target.key;
        postgres_protocol::message::frontend::cancel_request(process, secret, &mut packet);
        socket.write_all(&packet).await?;
        smol::io::AsyncReadExt::read(&mut socket, &mut [0; 1]).await
    };
    if let Some(Err(error)) = clock.timeout(CANCEL_TIMEOUT, send).await {
        log::debug!("cancel request to {} was not delivered: {error}", target.address);
    }
}
