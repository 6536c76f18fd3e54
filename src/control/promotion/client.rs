//! A client that sends a leader's orders to one instance.

use std::time::Duration;

use crate::clock::{Clock, Instant};
use crate::control::failover::Input;
use crate::control::raft::LEADERSHIP_VALIDITY;
use crate::id;
use crate::report::Tally;
use crate::statement::{self, Codec};
use crate::upstream::connection::{self, Connection, Suspicion};
use crate::upstream::probe::PROBE_TIMEOUT;
use crate::upstream::status;
use crate::wire::{Health, Replica};

/// How long an order to an instance may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an instance may take to stop receiving before the order is given up; the failover repeats it.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(400);

/// The delay before an instance that was too busy to answer is asked again.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A client of one instance over a [`Codec`]. It opens a new connection after a failure.
///
/// Nothing in an answer names the command that it belongs to, and an instance may answer twice. So an answer shows a state
/// at some time since its connection was opened, and no more. What must be newer is asked for over a newer connection.
#[derive(Debug)]
pub(super) struct Client {
    clock: Clock,
    codec: &'static dyn Codec,
    replica: Replica,
    tally: Tally,
    /// The kept connection, and a time before its first command.
    connection: Option<(Instant, Connection)>,
}

impl Client {
    /// Creates a client, which connects when it is first used.
    pub(super) fn new(
        clock: Clock,
        codec: &'static dyn Codec,
        replica: Replica,
        tally: Tally,
    ) -> Self {
        Self { clock, codec, replica, tally, connection: None }
    }

    /// Asks the instance for its status, over a connection that was opened after `since`. If that fails, tries again over a
    /// new connection, because the failure of an open connection says little about the instance.
    pub(super) async fn probe(&mut self, since: Option<Instant>) -> Input<'static> {
        let instance = self.replica.instance.clone();
        if self.connection.as_ref().is_some_and(|(opened_at, _)| Some(*opened_at) <= since) {
            self.connection = None;
        }
        let mut requested_at = self.next_requested_at();
        let mut answer = self.request(&statement::Command::Status, PROBE_TIMEOUT / 2).await;
        if answer.is_err() {
            requested_at = self.next_requested_at();
            answer = self.request(&statement::Command::Status, PROBE_TIMEOUT / 2).await;
        }
        let result = match answer {
            Ok(Some(status)) => Ok(status),
            // The instance is alive, but too busy to return its status.
            Ok(None) => Err(Health::Fine),
            // Two answers in a row to commands of this process can't be read.
            Err(error) if error.is_unreadable() => Err(Health::Faulty),
            Err(error) => Err(error.health()),
        };
        Input::Probed { instance, requested_at, result }
    }

    /// Returns the earliest time at which the state may be that the next answer shows.
    fn next_requested_at(&self) -> Instant {
        self.connection.as_ref().map_or_else(|| self.clock.now(), |(opened_at, _)| *opened_at)
    }

    /// Orders the instance to stop receiving, and returns its final status. The status is final only if it shows that this
    /// order holds.
    pub(super) async fn pause(&mut self, term: id::Term) -> Option<Input<'static>> {
        let instance = self.replica.instance.clone();
        self.connection = None;
        let end = self.clock.now() + PAUSE_TIMEOUT;
        while self.clock.now() < end {
            match self.request(&statement::Command::Pause { term }, PAUSE_TIMEOUT).await {
                Ok(Some(status)) if status.paused == Some(term) => {
                    return Some(Input::Paused { instance, status });
                }
                Ok(Some(status)) => {
                    log::info!("instance {instance} is not paused under term {term}: {status:?}");
                    self.connection = None;
                    return None;
                }
                Ok(None) => self.clock.sleep(BUSY_RETRY_DELAY).await,
                Err(error) => {
                    log::debug!("could not pause instance {instance}: {error}");
                    return None;
                }
            }
        }
        None
    }

    /// Returns the instance's status now, or `None` if the instance doesn't return it.
    pub(super) async fn status(&mut self) -> Option<status::Status> {
        self.connection = None;
        let answer = self.request(&statement::Command::Status, ORDER_TIMEOUT).await;
        // The status counts from now on, and an answer over this connection from when it was opened.
        self.connection = None;
        match answer {
            Ok(status) => status,
            Err(error) => {
                log::debug!(
                    "could not get the status of instance {}: {error}",
                    self.replica.instance
                );
                None
            }
        }
    }

    /// Gives an order, again while the instance is too busy for it.
    pub(super) async fn execute(&mut self, command: &statement::Command<'_>) {
        let end = self.clock.now() + ORDER_TIMEOUT;
        let reason = loop {
            match self.request(command, ORDER_TIMEOUT).await {
                Ok(Some(_)) => return,
                Ok(None) if self.clock.now() < end => self.clock.sleep(BUSY_RETRY_DELAY).await,
                Ok(None) => break "it is too busy".to_owned(),
                Err(error) => break error.to_string(),
            }
        };
        log::warn!("instance {} did not execute {command:?}: {reason}", self.replica.instance);
    }

    async fn request(
        &mut self,
        command: &statement::Command<'_>,
        limit: Duration,
    ) -> Result<Option<status::Status>, connection::Error> {
        let deadline = self.clock.now() + limit;
        let (opened_at, mut connection) = match self.connection.take() {
            Some(kept) => kept,
            None => {
                let opened_at = self.clock.now();
                let (clock, codec, replica) = (&self.clock, self.codec, &self.replica);
                let connected = Connection::connect(clock, codec, replica, None, deadline).await;
                if let Err(connection::Error::Foreign(error)) = connected {
                    self.tally.record_unreadable(error);
                }
                let (mut connection, _) = connected?;
                connection.observe(self.tally.clone(), Suspicion::default());
                connection.withdraw_on_close(LEADERSHIP_VALIDITY)?;
                (opened_at, connection)
            }
        };
        let status = connection.status(&self.clock, command, deadline).await?;
        self.connection = Some((opened_at, connection));
        Ok(status)
    }
}
