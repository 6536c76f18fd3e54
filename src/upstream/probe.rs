//! A connection that asks one instance for its status, for proxies and control alike.

use std::time::Duration;

use super::position::{QUERY, Status, trouble};
use crate::clock::{Clock, Instant};
use crate::pgsql::{Client, Error};
use crate::security::Upstream;
use crate::wire::{Health, Replica};

/// How long an instance may take to answer before it counts as silent.
pub const SILENCE: Duration = Duration::from_millis(1_000);

/// How long an answer on an open connection is waited for alone. Then a new connection is tried beside it, since
/// something between the two ends may have lost track of the open one.
pub const DOUBT: Duration = Duration::from_millis(400);

/// How long an order may take.
const ORDER: Duration = Duration::from_secs(5);

/// A connection to one instance that is made again when it fails.
#[derive(Debug)]
pub struct Probe {
    clock: Clock,
    user: String,
    application: String,
    replica: Replica,
    upstream: Upstream,
    client: Option<Client>,
}

/// What an instance said.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    /// When it was asked.
    pub asked: Instant,
    /// Its status.
    pub status: Status,
    /// Whether this came over a new connection.
    pub reconnected: bool,
}

impl Probe {
    /// Makes a probe that connects when it is used.
    pub fn new(clock: Clock, user: String, application: String, replica: Replica) -> Self {
        let upstream = Upstream::default();
        Self { clock, user, application, replica, upstream, client: None }
    }

    /// Has connections made by TLS and with a password when `upstream` has them.
    pub fn with(self, upstream: Upstream) -> Self {
        Self { upstream, ..self }
    }

    /// Asks the instance for its status.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the instance: an open connection that broke or went silent proves little, so a
    /// new one decides.
    pub async fn status(&mut self) -> Result<Seen, Health> {
        let found = match self.client.take() {
            Some(client) => self.ask_both(client).await,
            None => self.ask_new(QUERY, SILENCE).await,
        };
        let (client, seen) = found.map_err(|error| trouble(&error))?;
        self.client = Some(client);
        Ok(seen)
    }

    /// Gives the instance an order that answers with its status; an order names its term, so that it may be
    /// given twice.
    ///
    /// # Errors
    ///
    /// Fails when the instance refuses, or does not answer in time.
    pub async fn order(&mut self, sql: &str) -> Result<Status, Error> {
        let answer = match self.client.take() {
            Some(client) => match self.ask(client, sql, ORDER).await {
                Err(Error::Io(_) | Error::Protocol(_)) => self.ask_new(sql, ORDER).await,
                answer => answer,
            },
            None => self.ask_new(sql, ORDER).await,
        };
        let (client, seen) = answer?;
        self.client = Some(client);
        Ok(seen.status)
    }

    /// Asks over the open connection, and from [`DOUBT`] on over a new one too; the first answer counts.
    async fn ask_both(&self, client: Client) -> Result<(Client, Seen), Error> {
        let new = async {
            self.clock.sleep(DOUBT).await;
            match self.ask_new(QUERY, SILENCE - DOUBT).await {
                Ok(found) => Ok(found),
                // The open one may answer still.
                Err(_) => std::future::pending().await,
            }
        };
        match smol::future::or(self.ask(client, QUERY, SILENCE), new).await {
            Err(Error::Io(_) | Error::Protocol(_)) => self.ask_new(QUERY, SILENCE).await,
            answer => answer,
        }
    }

    async fn ask_new(&self, sql: &str, timeout: Duration) -> Result<(Client, Seen), Error> {
        let started = self.clock.now();
        let parameters = [
            ("user", self.user.as_str()),
            ("database", self.replica.group.as_str()),
            ("application_name", self.application.as_str()),
        ];
        let address = self.replica.address;
        let upstream = Some(&self.upstream);
        let client = Client::open(&self.clock, address, &parameters, upstream, timeout).await?;
        let left = timeout.saturating_sub(self.clock.now().since(started));
        let (client, seen) = self.ask(client, sql, left).await?;
        Ok((client, Seen { reconnected: true, ..seen }))
    }

    async fn ask(
        &self,
        mut client: Client,
        sql: &str,
        timeout: Duration,
    ) -> Result<(Client, Seen), Error> {
        let asked = self.clock.now();
        let rows = client.query(&self.clock, sql, timeout).await?;
        let row = rows.into_iter().next().ok_or(Error::Protocol("no status row"))?;
        let status =
            Status::try_from(row).map_err(|_| Error::Protocol("a malformed status row"))?;
        Ok((client, Seen { asked, status, reconnected: false }))
    }
}
