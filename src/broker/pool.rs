//! The pool of idle connections to one instance.
//!
//! The most recently used connection is taken first, and connections that stay idle are closed. An instance accepts
//! only a limited number of connections. After a power loss it still counts the lost ones, and refuses new ones.

use std::collections::BTreeMap;
use std::time::Duration;

use super::connection::SharedConnection;
use crate::clock::Instant;
use crate::id;

/// How long a connection may stay idle: longer than the pauses between bursts in one wave of callers (a school bell, a
/// full hour), and shorter than the time after which instances close idle connections.
pub(super) const MAX_IDLE: Duration = Duration::from_secs(5);

/// Idle connections, the most recently used last.
#[derive(Debug, Default)]
pub(super) struct Pool {
    connections: Vec<(Instant, SharedConnection)>,
}

impl Pool {
    /// Adds a connection.
    pub(super) fn put(&mut self, now: Instant, connection: SharedConnection) {
        self.connections.push((now, connection));
    }

    /// Removes and returns a connection of the account, preferring one that has these session variables.
    pub(super) fn pop(
        &mut self,
        account: Option<&id::Account>,
        values: &BTreeMap<String, String>,
    ) -> Option<SharedConnection> {
        let fits = |connection: &SharedConnection| connection.account.as_ref() == account;
        let matching = self
            .connections
            .iter()
            .rposition(|(_, connection)| fits(connection) && connection.setup.has_values(values));
        let at = matching
            .or_else(|| self.connections.iter().rposition(|(_, connection)| fits(connection)))?;
        Some(self.connections.remove(at).1)
    }

    /// Removes and returns the connection that was used last, whatever its account.
    pub(super) fn pop_any(&mut self) -> Option<SharedConnection> {
        self.connections.pop().map(|(_, connection)| connection)
    }

    /// Closes the connections that were idle for [`MAX_IDLE`], and those above `limit`.
    pub(super) fn prune(&mut self, now: Instant, limit: usize) {
        self.connections.retain(|(since, _)| now.since(*since) < MAX_IDLE);
        let excess = self.connections.len().saturating_sub(limit);
        self.connections.drain(..excess);
    }

    pub(super) fn clear(&mut self) {
        self.connections.clear();
    }

    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }
}
