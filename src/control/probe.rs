//! Control's own look at each instance, and its orders to them, over SQL.

use std::time::Duration;

use crate::clock::Clock;
use crate::pgsql::{Client, Error};
use crate::security::Upstream;
use crate::upstream::position::{QUERY, Status, trouble};
use crate::wire::{Replica, Trouble};

/// How often an instance is asked.
pub(super) const INTERVAL: Duration = Duration::from_millis(50);

/// How long an instance may take to answer before it counts as silent.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an order may take.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection to one instance that is made again when it fails.
#[derive(Debug)]
pub(super) struct Probe {
    clock: Clock,
    user: String,
    application: String,
    replica: Replica,
    upstream: Upstream,
    client: Option<Client>,
}

impl Probe {
    pub(super) fn new(clock: Clock, user: String, application: String, replica: Replica) -> Self {
        let upstream = Upstream::default();
        Self { clock, user, application, replica, upstream, client: None }
    }

    /// Has connections made by TLS and with a password when `upstream` has them.
    pub(super) fn with(self, upstream: Upstream) -> Self {
        Self { upstream, ..self }
    }

    /// Asks the instance for its status.
    pub(super) async fn status(&mut self) -> Result<Status, Trouble> {
        self.again(QUERY, TIMEOUT).await.map_err(|error| trouble(&error))
    }

    /// Gives the instance an order that answers with its status; an order names its term, so that it may be
    /// given twice.
    pub(super) async fn order(&mut self, sql: &str) -> Result<Status, Error> {
        self.again(sql, ORDER_TIMEOUT).await
    }

    /// Asks, and once more when an old connection broke, which proves little.
    async fn again(&mut self, sql: &str, timeout: Duration) -> Result<Status, Error> {
        let reused = self.client.is_some();
        match self.ask(sql, timeout).await {
            Err(Error::Io(_) | Error::Protocol(_)) if reused => self.ask(sql, timeout).await,
            answer => answer,
        }
    }

    async fn ask(&mut self, sql: &str, timeout: Duration) -> Result<Status, Error> {
        let answer = self.try_ask(sql, timeout).await;
        if answer.is_err() {
            self.client = None;
        }
        answer
    }

    async fn try_ask(&mut self, sql: &str, timeout: Duration) -> Result<Status, Error> {
        let mut client = match self.client.take() {
            Some(client) => client,
            None => self.connect().await?,
        };
        let rows = client.query(&self.clock, sql, timeout).await?;
        let row = rows.into_iter().next().ok_or(Error::Protocol("no status row"))?;
        let status =
            Status::try_from(row).map_err(|_| Error::Protocol("a malformed status row"))?;
        self.client = Some(client);
        Ok(status)
    }

    async fn connect(&self) -> Result<Client, Error> {
        let parameters = [
            ("user", self.user.as_str()),
            ("database", self.replica.group.as_str()),
            ("application_name", self.application.as_str()),
        ];
        let upstream = Some(&self.upstream);
        Client::open(&self.clock, self.replica.address, &parameters, upstream, TIMEOUT).await
    }
}
