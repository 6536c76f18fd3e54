//! The connections to one instance that no session uses.
//!
//! They are taken newest first, and what was not used for a while is closed: an instance takes only so many, and after a
//! loss of power it goes on counting those that were open, so that new ones find no room.

use std::collections::BTreeMap;
use std::time::Duration;

use super::connection::SharedConnection;
use crate::clock::Instant;

/// How long a connection may be unused: longer than the pauses between the rushes of a bell or of a full hour last within
/// one wave of callers, and shorter than the time that instances hold unused connections.
pub(super) const MAX_IDLE: Duration = Duration::from_secs(5);

/// Unused connections, the one that was used last at the end.
#[derive(Debug, Default)]
pub(super) struct Pool {
    connections: Vec<(Instant, SharedConnection)>,
}

impl Pool {
    /// Keeps a connection for the next session.
    pub(super) fn put(&mut self, now: Instant, connection: SharedConnection) {
        self.connections.push((now, connection));
    }

    /// Takes a connection, one with these values before others.
    pub(super) fn pop(&mut self, values: &BTreeMap<String, String>) -> Option<SharedConnection> {
        let matching = self
            .connections
            .iter()
            .rposition(|(_, connection)| connection.setup.has_values(values));
        let at = matching.or(self.connections.len().checked_sub(1))?;
        Some(self.connections.remove(at).1)
    }

    /// Closes what was not used for [`UNUSED`], and what is over `limit`.
    pub(super) fn prune(&mut self, now: Instant, limit: usize) {
        self.connections.retain(|(since, _)| now.since(*since) < MAX_IDLE);
        let over = self.connections.len().saturating_sub(limit);
        self.connections.drain(..over);
    }

    /// Closes all.
    pub(super) fn clear(&mut self) {
        self.connections.clear();
    }

    /// Returns how many there are.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }
}
