//! A client that sends a leader's orders to one instance.

use std::time::Duration;

use crate::clock::Clock;
use crate::control::failover::Input;
use crate::control::raft::LEADERSHIP_VALIDITY;
use crate::id;
use crate::statement::{self, Codec};
use crate::upstream::connection::{self, Connection};
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
#[derive(Debug)]
pub(super) struct Client {
    clock: Clock,
    codec: &'static dyn Codec,
    replica: Replica,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client, which connects when it is first used.
    pub(super) fn new(clock: Clock, codec: &'static dyn Codec, replica: Replica) -> Self {
        Self { clock, codec, replica, connection: None }
    }

    /// Asks the instance for its status. If that fails, tries again over a new connection, because the failure of an
    /// open connection says little about the instance.
    pub(super) async fn probe(&mut self) -> Input<'static> {
        let instance = self.replica.instance.clone();
        let mut requested_at = self.clock.now();
        let mut answer = self.request(&statement::Command::Status, PROBE_TIMEOUT / 2).await;
        if answer.is_err() {
            requested_at = self.clock.now();
            answer = self.request(&statement::Command::Status, PROBE_TIMEOUT / 2).await;
        }
        let result = match answer {
            Ok(Some(status)) => Ok(status),
            // The instance is alive, but too busy to return its status.
            Ok(None) => Err(Health::Fine),
            Err(error) => Err(error.health()),
        };
        Input::Probed { instance, requested_at, result }
    }

    /// Orders the instance to stop receiving, and returns its final status.
    pub(super) async fn pause(&mut self, term: id::Term) -> Option<Input<'static>> {
        let instance = self.replica.instance.clone();
        let end = self.clock.now() + PAUSE_TIMEOUT;
        while self.clock.now() < end {
            match self.request(&statement::Command::Pause { term }, PAUSE_TIMEOUT).await {
                Ok(Some(status)) => return Some(Input::Paused { instance, status }),
                Ok(None) => self.clock.sleep(BUSY_RETRY_DELAY).await,
                Err(error) => {
                    log::debug!("could not pause instance {instance}: {error}");
                    return None;
                }
            }
        }
        None
    }

    /// Returns the instance's status, or `None` if the instance doesn't return it.
    pub(super) async fn status(&mut self) -> Option<status::Status> {
        match self.request(&statement::Command::Status, ORDER_TIMEOUT).await {
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

    pub(super) async fn execute(&mut self, command: &statement::Command<'_>) {
        if let Err(error) = self.request(command, ORDER_TIMEOUT).await {
            log::warn!("instance {} did not execute {command:?}: {error}", self.replica.instance);
        }
    }

    async fn request(
        &mut self,
        command: &statement::Command<'_>,
        limit: Duration,
    ) -> Result<Option<status::Status>, connection::Error> {
        let deadline = self.clock.now() + limit;
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let (clock, codec, replica) = (&self.clock, self.codec, &self.replica);
                let (connection, _) =
                    Connection::connect(clock, codec, replica, None, deadline).await?;
                connection.withdraw_on_close(LEADERSHIP_VALIDITY)?;
                connection
            }
        };
        let status = connection.status(&self.clock, command, deadline).await?;
        self.connection = Some(connection);
        Ok(status)
    }
}
