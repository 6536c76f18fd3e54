//! A connection with which proxies and control processes query the status of an instance.

use std::time::Duration;

use super::status::{Statement, Status, health};
use super::step;
use crate::clock::{Clock, Instant};
use crate::pgsql::{Client, Error};
use crate::report::Tally;
use crate::security::UpstreamAuth;
use crate::wire::{Health, Replica};

/// How long an instance may take to answer a status query before it counts as silent.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long to wait for the answer to a status query on an open connection before the query is repeated in parallel on
/// a new one: a device on the network path may have dropped its state of the open connection.
pub const HEDGE_DELAY: Duration = Duration::from_millis(400);

/// How long a statement that changes the instance may take.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection to an instance that is reopened when it fails.
#[derive(Debug)]
pub struct Probe {
    clock: Clock,
    user: String,
    application: String,
    replica: Replica,
    upstream: UpstreamAuth,
    tally: Tally,
    client: Option<Client>,
}

/// The answer of an instance to a status query.
#[derive(Debug, Clone, Copy)]
pub struct Response {
    /// When the query was sent.
    pub requested_at: Instant,
    /// The status of the instance.
    pub status: Status,
    /// Whether the answer came over a new connection.
    pub reconnected: bool,
}

impl Probe {
    /// Creates a probe, which connects when it is first used.
    pub fn new(clock: Clock, user: String, application: String, replica: Replica) -> Self {
        let (upstream, tally) = (UpstreamAuth::default(), Tally::default());
        Self { clock, user, application, replica, upstream, tally, client: None }
    }

    /// Counts answers that are not those of their queries.
    pub fn count_in(self, tally: Tally) -> Self {
        Self { tally, ..self }
    }

    /// Uses TLS and password authentication for connections if `upstream` configures them.
    pub fn with_upstream(self, upstream: UpstreamAuth) -> Self {
        Self { upstream, ..self }
    }

    /// Queries the status of the instance.
    ///
    /// # Errors
    ///
    /// Returns the health of the instance if the query fails. The failure of an open connection alone does not show
    /// that the instance has failed, so the query is then repeated on a new connection.
    pub async fn status(&mut self) -> Result<Response, Health> {
        let result = match self.client.take() {
            Some(client) => self.query_hedged(client).await,
            None => self.query_new(&Statement::query(), PROBE_TIMEOUT).await,
        };
        let (client, response) = result.map_err(|error| health(&error))?;
        self.client = Some(client);
        Ok(response)
    }

    /// Runs a statement that returns the status of the instance. Such statements name their term, so that it is safe to
    /// run one twice.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance refuses the statement or does not answer in time.
    pub async fn execute(&mut self, statement: &Statement) -> Result<Status, Error> {
        let answer = match self.client.take() {
            Some(client) => match self.query(client, statement, STATEMENT_TIMEOUT).await {
                Err(Error::Io(_) | Error::Protocol(_) | Error::OutOfStep) => {
                    self.query_new(statement, STATEMENT_TIMEOUT).await
                }
                answer => answer,
            },
            None => self.query_new(statement, STATEMENT_TIMEOUT).await,
        };
        let (client, response) = answer?;
        self.client = Some(client);
        Ok(response.status)
    }

    /// Queries over the open connection, and after [`HEDGE_DELAY`] over a new one too. Returns the first answer.
    async fn query_hedged(&self, client: Client) -> Result<(Client, Response), Error> {
        let statement = Statement::query();
        let hedge = async {
            self.clock.sleep(HEDGE_DELAY).await;
            match self.query_new(&statement, PROBE_TIMEOUT - HEDGE_DELAY).await {
                Ok(result) => Ok(result),
                // The open connection may still answer.
                Err(_) => std::future::pending().await,
            }
        };
        match smol::future::or(self.query(client, &statement, PROBE_TIMEOUT), hedge).await {
            Err(Error::Io(_) | Error::Protocol(_) | Error::OutOfStep) => {
                self.query_new(&statement, PROBE_TIMEOUT).await
            }
            answer => answer,
        }
    }

    async fn query_new(
        &self,
        statement: &Statement,
        timeout: Duration,
    ) -> Result<(Client, Response), Error> {
        let started = self.clock.now();
        let parameters = [
            ("user", self.user.as_str()),
            ("database", self.replica.group.as_str()),
            ("application_name", self.application.as_str()),
        ];
        let address = self.replica.address;
        let upstream = Some(&self.upstream);
        let client = Client::connect(&self.clock, address, &parameters, upstream, timeout).await?;
        let remaining = timeout.saturating_sub(self.clock.now().since(started));
        let (client, response) = self.query(client, statement, remaining).await?;
        Ok((client, Response { reconnected: true, ..response }))
    }

    async fn query(
        &self,
        mut client: Client,
        statement: &Statement,
        timeout: Duration,
    ) -> Result<(Client, Response), Error> {
        let requested_at = self.clock.now();
        let nonce = client.next_nonce();
        let rows = client.query(&self.clock, &statement.sql(nonce), timeout).await?;
        let status = Statement::decode(rows, nonce).inspect_err(|error| {
            let connection = (&self.replica, &client);
            step::report(error, connection, "status", self.clock.now(), &self.tally);
        })?;
        Ok((client, Response { requested_at, status, reconnected: false }))
    }
}
