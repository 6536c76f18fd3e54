//! The connection pool of a proxy for one instance. Connections are bounded in number, reused, and replaced when they
//! fail.
//!
//! The limiter in `proxy::admission` decides which requests run. Each running request has one connection, so the pool
//! never exceeds its share.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use smol::channel::{Receiver, Sender, bounded};
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::admission::{Arrival, Input, Limiter, Output, Ticket};
use super::cancel::Target;
use super::floor::Mark;
use crate::clock::{Clock, Instant};
use crate::pgsql::{self, Client};
use crate::report::Tally;
use crate::security::UpstreamAuth;
use crate::upstream::status::{Statement, Status};
use crate::upstream::step;
use crate::wire::Replica;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection that was idle for this long is checked before its next use.
const IDLE_CHECK_AFTER: Duration = Duration::from_secs(5);

/// How long the check of an idle connection may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection with more prepared statements than this is closed instead of reused.
const MAX_PREPARED_STATEMENTS: usize = 1_000;

/// How long a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// One connection to an instance.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) client: Client,
    /// The names of the prepared statements on this connection.
    pub(super) prepared: HashSet<String>,
    /// When the connection was opened. A position requested later comes from the same incarnation of the instance.
    pub(super) opened_at: Instant,
    /// The last position that was queried over this connection.
    pub(super) last_reported: Option<Mark>,
    last_used: Instant,
}

/// Why a request got no connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// There is no room before the deadline. The duration is the estimated time until there is room.
    #[error("no room before the deadline, expected in {0:?}")]
    Refused(Duration),
    /// The deadline passed while the request waited.
    #[error("deadline passed while waiting for a connection")]
    DeadlineExceeded,
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
    upstream: UpstreamAuth,
    out_of_step: Tally,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    limiter: Limiter,
    next_ticket: Ticket,
    idle: Vec<Connection>,
    waiters: BTreeMap<Ticket, Sender<Result<(), Duration>>>,
    max_connections: u32,
}

/// A connection that a request has taken from the pool. [`PooledConnection::release`] returns it for reuse, and
/// dropping it closes the connection.
#[derive(Debug)]
pub(super) struct PooledConnection {
    connection: Option<Connection>,
    pool: Arc<Pool>,
    acquired: Instant,
    /// Whether the time since `acquired` measures the service time of one statement.
    pub(super) measures_statement: bool,
    in_transaction: bool,
    /// Whether a statement was sent whose answer is not complete.
    pub(super) running: bool,
    /// Whether the connection must be closed instead of reused.
    pub(super) must_close: bool,
}

/// A waiting request. Dropping it removes the request from the queue.
struct Waiter<'a> {
    pool: &'a Pool,
    ticket: Ticket,
    decision: Receiver<Result<(), Duration>>,
}

impl Pool {
    pub(super) fn new(clock: Clock, replica: Replica, user: String, application: String) -> Self {
        let inner = Inner {
            limiter: Limiter::new(),
            next_ticket: Ticket(0),
            idle: Vec::new(),
            waiters: BTreeMap::new(),
            max_connections: 1,
        };
        let (upstream, out_of_step) = (UpstreamAuth::default(), Tally::default());
        let inner = Mutex::new(inner);
        Self { clock, replica, user, application, upstream, out_of_step, inner }
    }

    /// Uses TLS and a password for new connections if `upstream` specifies them.
    pub(super) fn with_security(self, upstream: UpstreamAuth) -> Self {
        Self { upstream, ..self }
    }

    /// Counts answers that are not those of their statements.
    pub(super) fn count_in(self, out_of_step: Tally) -> Self {
        Self { out_of_step, ..self }
    }

    fn report(&self, connection: &Connection, command: &'static str, error: &pgsql::Error) {
        let place = (&self.replica, &connection.client);
        step::report(error, place, command, self.clock.now(), &self.out_of_step);
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.replica.address
    }

    /// Sets the number of slots of the instance and the maximum number of connections. Excess connections are closed as
    /// soon as they are idle.
    pub(super) fn set_limits(&self, slots: u32, connections: u32) {
        let mut inner = self.lock();
        inner.max_connections = connections;
        let outputs = inner.limiter.step(self.clock.now(), Input::SetLimits { slots, connections });
        inner.deliver(outputs);
        inner.close_excess();
    }

    /// Returns the number of open connections.
    pub(super) fn open_count(&self) -> u32 {
        let inner = self.lock();
        inner.idle.len() as u32 + inner.limiter.connections_in_use()
    }

    /// Returns the number of open connections, of wanted connections, and the maximum number of connections.
    pub(super) fn demand(&self) -> (u32, u32, u32) {
        let inner = self.lock();
        let open = inner.idle.len() as u32 + inner.limiter.connections_in_use();
        (open, inner.limiter.load(), inner.max_connections)
    }

    /// Returns the number of running requests, waiting requests and open transactions.
    pub(super) fn busy(&self) -> u32 {
        self.lock().limiter.load()
    }

    /// Takes a connection for an arriving request, once the limiter starts the request.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        arrival: Arrival,
    ) -> Result<PooledConnection, Error> {
        let deadline = arrival.deadline;
        let (ticket, decision) = {
            let mut inner = self.lock();
            let ticket = inner.next_ticket;
            inner.next_ticket = Ticket(ticket.0 + 1);
            let (sender, decision) = bounded(1);
            inner.waiters.insert(ticket, sender);
            let outputs = inner.limiter.step(self.clock.now(), Input::Arrive(ticket, arrival));
            inner.deliver(outputs);
            (ticket, decision)
        };
        let waiter = Waiter { pool: self, ticket, decision };
        let left = deadline.since(self.clock.now());
        let decision = match waiter.decision.try_recv() {
            Ok(decision) => Some(decision),
            Err(_) => self.clock.timeout(left, waiter.decision.recv()).await.and_then(Result::ok),
        };
        match decision {
            Some(Ok(())) => {}
            Some(Err(wait)) => return Err(Error::Refused(wait)),
            None => return Err(Error::DeadlineExceeded),
        }
        // The request counts as running from here until its connection is released or dropped.
        let mut pooled = PooledConnection::new(Arc::clone(self), self.clock.now());
        self.attach_connection(&mut pooled).await?;
        Ok(pooled)
    }

    async fn attach_connection(&self, pooled: &mut PooledConnection) -> Result<(), Error> {
        loop {
            let Some(mut connection) = self.lock().idle.pop() else {
                break;
            };
            if !connection.client.is_idle().await {
                continue;
            }
            if self.clock.now().since(connection.last_used) < IDLE_CHECK_AFTER
                || self.is_responsive(&mut connection).await
            {
                pooled.connection = Some(connection);
                return Ok(());
            }
            // A fault that broke this connection has probably broken the other idle ones too.
            self.lock().idle.clear();
        }
        pooled.measures_statement = false;
        pooled.connection = Some(self.open().await?);
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
            Client::connect(&self.clock, address, &parameters, upstream, CONNECT_TIMEOUT).await?;
        let now = self.clock.now();
        let prepared = HashSet::new();
        Ok(Connection { client, prepared, opened_at: now, last_reported: None, last_used: now })
    }

    /// Returns whether a connection still answers after a long idle time.
    async fn is_responsive(&self, connection: &mut Connection) -> bool {
        let status = connection.status(&self.clock, CHECK_TIMEOUT).await;
        status.inspect_err(|error| self.report(connection, "status", error)).is_ok()
    }

    /// Marks idle connections to be checked before their next use, because another connection failed.
    pub(super) fn recheck_idle(&self) {
        self.lock().recheck_idle();
    }

    /// Opens connections ahead of a peak until `count` or the maximum number of connections are open.
    pub(super) async fn warm_up(&self, count: u32) {
        loop {
            {
                let inner = self.lock();
                let open = inner.idle.len() as u32 + inner.limiter.connections_in_use();
                if open >= count.min(inner.max_connections) {
                    return;
                }
            }
            let Ok(connection) = self.open().await else {
                return;
            };
            let mut inner = self.lock();
            inner.idle.insert(0, connection);
            inner.close_excess();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics while holding this lock")
    }
}

impl Connection {
    /// Queries the status of the instance over this connection.
    pub(super) async fn status(
        &mut self,
        clock: &Clock,
        timeout: Duration,
    ) -> Result<Status, pgsql::Error> {
        let nonce = self.client.next_nonce();
        let rows = self.client.query(clock, &Statement::query().sql(nonce), timeout).await?;
        let status = Statement::decode(rows, nonce)?;
        self.last_reported = Some(Mark { term: status.term, position: status.position });
        Ok(status)
    }
}

impl Inner {
    fn deliver(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            let (ticket, decision) = match output {
                Output::Start(ticket) => (ticket, Ok(())),
                Output::Refuse(ticket, wait) => (ticket, Err(wait)),
            };
            if let Some(sender) = self.waiters.remove(&ticket) {
                let _ = sender.try_send(decision);
            }
        }
    }

    fn recheck_idle(&mut self) {
        for connection in &mut self.idle {
            connection.last_used = Instant::default();
        }
    }

    /// Closes idle connections in excess of the maximum, the longest idle first.
    fn close_excess(&mut self) {
        let room = self.max_connections.saturating_sub(self.limiter.connections_in_use()) as usize;
        let excess = self.idle.len().saturating_sub(room);
        self.idle.drain(..excess);
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut inner = self.pool.lock();
        let input = if inner.waiters.remove(&self.ticket).is_some() {
            Input::Cancel(self.ticket)
        } else if let Ok(Ok(())) = self.decision.try_recv() {
            // The limiter started the request just before it was abandoned.
            Input::Finish(None)
        } else {
            return;
        };
        let outputs = inner.limiter.step(self.pool.clock.now(), input);
        inner.deliver(outputs);
    }
}

impl PooledConnection {
    fn new(pool: Arc<Pool>, acquired: Instant) -> Self {
        Self {
            connection: None,
            pool,
            acquired,
            measures_statement: true,
            in_transaction: false,
            running: false,
            must_close: false,
        }
    }

    pub(super) fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a pooled connection is present until it is released")
    }

    /// Logs and counts `error` if it shows that an answer was not that of its statement.
    pub(super) fn report(&self, command: &'static str, error: &pgsql::Error) {
        if let Some(connection) = &self.connection {
            self.pool.report(connection, command, error);
        }
    }

    /// Returns the address and key for a cancel request to this connection.
    pub(super) fn target(&self) -> Option<Target> {
        let connection = self.connection.as_ref()?;
        Some(Target { address: self.pool.address(), key: connection.client.cancel_key() })
    }

    /// Keeps the connection for a transaction. Other requests can run while the transaction is idle.
    pub(super) fn hold(&mut self) {
        if std::mem::replace(&mut self.in_transaction, true) {
            return;
        }
        let mut inner = self.pool.lock();
        let outputs = inner.limiter.step(self.pool.clock.now(), Input::Hold);
        inner.deliver(outputs);
    }

    /// Returns the connection to the pool for reuse. No request may be in progress on it.
    pub(super) fn release(mut self) {
        let now = self.pool.clock.now();
        let reusable =
            |connection: &mut Connection| connection.prepared.len() <= MAX_PREPARED_STATEMENTS;
        if self.must_close || self.running {
            return;
        }
        if let Some(mut connection) = self.connection.take_if(reusable) {
            connection.last_used = now;
            self.pool.lock().idle.push(connection);
        }
    }

    /// Marks the idle connections of the pool to be checked, because this connection failed.
    pub(super) fn recheck_idle(&self) {
        self.pool.recheck_idle();
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let now = self.pool.clock.now();
        if self.running
            && let Some(target) = self.target()
        {
            // Cancels the statement so that it frees its slot. The connection is closed without waiting for the answer.
            smol::spawn(cancel(self.pool.clock.clone(), target)).detach();
        }
        let duration = self.measures_statement.then(|| now.since(self.acquired));
        let input = if self.in_transaction { Input::Release } else { Input::Finish(duration) };
        let mut inner = self.pool.lock();
        if self.running {
            inner.recheck_idle();
        }
        let outputs = inner.limiter.step(now, input);
        inner.deliver(outputs);
        inner.close_excess();
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
        log::debug!(
            "cancel request to {} was not delivered, the statement may run on: {error}",
            target.address
        );
    }
}
