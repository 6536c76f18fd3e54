//! The connections of a proxy to one instance: bounded, reused, replaced when they fail.
//!
//! The gate of `proxy::admission` decides who runs; a request that runs has a connection, so that the pool never
//! holds more than its share.

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

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection may be idle before it is checked ahead of its next use.
const IDLE: Duration = Duration::from_secs(5);

/// How long such a check may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection that holds more prepared statements than this is replaced.
const MAX_PREPARED: usize = 1_000;

/// How long a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// One connection to an instance.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) client: Client,
    /// The prepared statements that the instance holds for this connection.
    pub(super) prepared: HashSet<String>,
    /// When it was opened: a position that was asked for later is that of the same life of the instance.
    pub(super) opened: Instant,
    /// The position that the connection itself reported last.
    pub(super) proved: Option<Mark>,
    used: Instant,
}

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// There is no room before the deadline; there is after this time.
    #[error("refused for {0:?}")]
    Refused(Duration),
    /// The deadline passed while the request waited.
    #[error("no connection became free in time")]
    Late,
    /// The instance can't be reached.
    #[error("{0}")]
    Connect(#[from] pgsql::Error),
}

/// The pool of one instance.
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

/// A connection on loan: it goes back to the pool by [`PooledConnection::give_back`], and is closed when dropped.
#[derive(Debug)]
pub(super) struct PooledConnection {
    connection: Option<Connection>,
    pool: Arc<Pool>,
    since: Instant,
    /// Whether the time that the loan takes is that of one statement.
    pub(super) statement: bool,
    held: bool,
    /// Whether a statement was sent whose answer has not ended.
    pub(super) running: bool,
    /// Whether the connection must not be used again.
    pub(super) spoiled: bool,
}

/// A request that waits; it leaves the queue when dropped.
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

    /// Has connections made by TLS and with a password when `upstream` has them.
    pub(super) fn with(self, upstream: Upstream) -> Self {
        Self { upstream, ..self }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.replica.address
    }

    /// Sets how many slots the instance has and how many connections the pool may hold; those above are
    /// closed as soon as they are idle.
    pub(super) fn limit(&self, slots: u32, connections: u32) {
        let mut inner = self.lock();
        inner.connections = connections;
        let outputs = inner.gate.step(self.clock.now(), Input::Limit { slots, connections });
        inner.apply(outputs);
        inner.trim();
    }

    /// Returns how many connections are open.
    pub(super) fn open_count(&self) -> u32 {
        let inner = self.lock();
        inner.idle.len() as u32 + inner.gate.used()
    }

    /// Returns how many connections are open, how many would be used, and how many may be held.
    pub(super) fn demand(&self) -> (u32, u32, u32) {
        let inner = self.lock();
        let open = inner.idle.len() as u32 + inner.gate.used();
        (open, inner.gate.busy(), inner.connections)
    }

    /// Returns how many requests run or wait.
    pub(super) fn busy(&self) -> u32 {
        self.lock().gate.busy()
    }

    /// Borrows a connection for a request that arrived, in the order of the gate.
    pub(super) async fn borrow(
        self: &Arc<Self>,
        arrival: Arrival,
    ) -> Result<PooledConnection, Error> {
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
        // The request runs from now on, and stops to when its loan is dropped.
        let mut loan = PooledConnection::new(Arc::clone(self), self.clock.now());
        self.connect(&mut loan).await?;
        Ok(loan)
    }

    async fn connect(&self, loan: &mut PooledConnection) -> Result<(), Error> {
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
            // What lost track of this one has probably lost track of the others.
            self.lock().idle.clear();
        }
        loan.statement = false;
        loan.connection = Some(self.open().await?);
        Ok(())
    }

    /// Opens a connection to the instance.
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

    /// Checks that a connection that was idle for long still answers.
    async fn check(&self, connection: &mut Connection) -> bool {
        connection.status(&self.clock, CHECK_TIMEOUT).await.is_ok()
    }

    /// Has idle connections checked before their next use, because another one went silent.
    pub(super) fn suspect(&self) {
        self.lock().suspect();
    }

    /// Opens connections ahead of a peak until `count` are idle or the share is used up.
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
    /// Asks the connection itself where its instance stands.
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

    /// Closes idle connections above the share, the longest idle first.
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
            // It was started in the moment that it was given up.
            Input::Done(None)
        } else {
            return;
        };
        let outputs = inner.gate.step(self.pool.clock.now(), input);
        inner.apply(outputs);
    }
}

impl PooledConnection {
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

    /// Returns the connection.
    pub(super) fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a loan has its connection until it is given back")
    }

    /// Returns what a cancel request for this connection must name.
    pub(super) fn target(&self) -> Option<Target> {
        let connection = self.connection.as_ref()?;
        Some(Target { address: self.pool.address(), key: connection.client.key() })
    }

    /// Keeps the connection for a transaction, so that its pauses keep no other request from running.
    pub(super) fn hold(&mut self) {
        if std::mem::replace(&mut self.held, true) {
            return;
        }
        let mut inner = self.pool.lock();
        let outputs = inner.gate.step(self.pool.clock.now(), Input::Hold);
        inner.apply(outputs);
    }

    /// Gives the connection back for reuse; it must be between two requests.
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

    /// Has the pool's idle connections checked, because this one failed.
    pub(super) fn suspect(&self) {
        self.pool.suspect();
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let now = self.pool.clock.now();
        if self.running
            && let Some(target) = self.target()
        {
            // The answer is not waited for: the statement gives its slot free, the connection is closed.
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

/// Asks an instance to cancel what the target runs.
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
        log::debug!("a cancel request was not delivered: {error}");
    }
}
