//! The connections of a proxy to one instance: bounded, reused, replaced when they fail.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use smol::channel::{Sender, bounded};

use crate::clock::{Clock, Instant};
use crate::pgsql::{Client, Error};
use crate::wire::Replica;

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// One connection to an instance.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) client: Client,
    /// The prepared statements that the instance holds for this connection.
    pub(super) prepared: HashSet<String>,
}

/// The pool of one instance.
#[derive(Debug)]
pub(super) struct Pool {
    clock: Clock,
    replica: Replica,
    user: String,
    application: String,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    idle: Vec<Connection>,
    open: u32,
    limit: u32,
    waiting: VecDeque<Sender<()>>,
}

/// A connection on loan: it goes back to the pool by [`Loan::give_back`], and is closed when dropped.
#[derive(Debug)]
pub(super) struct Loan {
    connection: Option<Connection>,
    pool: Arc<Pool>,
}

impl Pool {
    pub(super) fn new(
        clock: Clock,
        replica: Replica,
        user: String,
        application: String,
        limit: u32,
    ) -> Self {
        let inner = Inner { idle: Vec::new(), open: 0, limit, waiting: VecDeque::new() };
        Self { clock, replica, user, application, inner: Mutex::new(inner) }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.replica.address
    }

    /// Sets how many connections the pool may hold.
    pub(super) fn limit(&self, limit: u32) {
        let mut inner = self.lock();
        inner.limit = limit;
        while inner.open > limit && inner.idle.pop().is_some() {
            inner.open -= 1;
        }
    }

    /// Returns how many connections are open.
    pub(super) fn open(&self) -> u32 {
        self.lock().open
    }

    /// Returns how many connections are on loan.
    pub(super) fn busy(&self) -> u32 {
        let inner = self.lock();
        inner.open - inner.idle.len() as u32
    }

    /// Returns how many connections are open, how many would be used, and how many may be held.
    pub(super) fn demand(&self) -> (u32, u32, u32) {
        let inner = self.lock();
        let waiting = inner.waiting.iter().filter(|waiter| !waiter.is_closed()).count() as u32;
        let busy = inner.open - inner.idle.len() as u32;
        (inner.open, busy + waiting, inner.limit)
    }

    /// Borrows a connection, opening one when the limit allows it; waits until `deadline` for a free one.
    /// Returns `None` when none became free.
    pub(super) async fn borrow(self: &Arc<Self>, deadline: Instant) -> Result<Option<Loan>, Error> {
        loop {
            let waiter = {
                let mut inner = self.lock();
                if let Some(connection) = inner.idle.pop() {
                    return Ok(Some(Loan { connection: Some(connection), pool: Arc::clone(self) }));
                }
                if inner.open < inner.limit {
                    inner.open += 1;
                    None
                } else {
                    let (sender, waiter) = bounded(1);
                    inner.waiting.push_back(sender);
                    Some(waiter)
                }
            };
            let Some(waiter) = waiter else {
                return self.connect().await.map(Some);
            };
            let left = deadline.since(self.clock.now());
            if left.is_zero() || self.clock.timeout(left, waiter.recv()).await.is_none() {
                return Ok(None);
            }
        }
    }

    async fn connect(self: &Arc<Self>) -> Result<Loan, Error> {
        // The loan counts as open from now on, and stops to when it is dropped.
        let mut loan = Loan { connection: None, pool: Arc::clone(self) };
        let parameters = [
            ("user", self.user.as_str()),
            ("database", self.replica.group.as_str()),
            ("application_name", self.application.as_str()),
        ];
        let address = self.replica.address;
        let client = Client::open(&self.clock, address, &parameters, None, CONNECT_TIMEOUT).await?;
        loan.connection = Some(Connection { client, prepared: HashSet::new() });
        Ok(loan)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("nothing panics while it holds the lock")
    }
}

impl Inner {
    fn wake(&mut self) {
        while let Some(waiting) = self.waiting.pop_front() {
            if waiting.try_send(()).is_ok() {
                return;
            }
        }
    }
}

impl Loan {
    /// Returns the connection.
    pub(super) fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a loan has its connection until it is given back")
    }

    /// Gives the connection back for reuse; it must be between two requests.
    pub(super) fn give_back(mut self) {
        let connection = self.connection.take();
        let mut inner = self.pool.lock();
        if inner.open > inner.limit {
            return;
        }
        inner.idle.extend(connection);
        inner.open += 1;
        inner.wake();
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        let mut inner = self.pool.lock();
        inner.open -= 1;
        inner.wake();
    }
}
