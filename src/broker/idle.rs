//! The connections to one instance that no session uses.
//!
//! They are taken newest first, and what was not used for a while is closed: an instance takes only so many, and after a
//! loss of power it goes on counting those that were open, so that new ones find no room.

use std::collections::BTreeMap;
use std::time::Duration;

use super::lane::Lane;
use crate::clock::Instant;

/// How long a connection may be unused: longer than the pauses between the rushes of a bell or of a full hour last within
/// one wave of callers, and shorter than the time that instances hold unused connections.
pub(super) const UNUSED: Duration = Duration::from_secs(5);

/// Unused connections, the one that was used last at the end.
#[derive(Debug, Default)]
pub(super) struct Idle {
    lanes: Vec<(Instant, Lane)>,
}

impl Idle {
    /// Keeps a connection for the next session.
    pub(super) fn keep(&mut self, now: Instant, lane: Lane) {
        self.lanes.push((now, lane));
    }

    /// Takes a connection, one with these values before others.
    pub(super) fn take(&mut self, values: &BTreeMap<String, String>) -> Option<Lane> {
        let fitting = self.lanes.iter().rposition(|(_, lane)| lane.applied.matches(values));
        let at = fitting.or(self.lanes.len().checked_sub(1))?;
        Some(self.lanes.remove(at).1)
    }

    /// Closes what was not used for [`UNUSED`], and what is over `limit`.
    pub(super) fn prune(&mut self, now: Instant, limit: usize) {
        self.lanes.retain(|(since, _)| now.since(*since) < UNUSED);
        let over = self.lanes.len().saturating_sub(limit);
        self.lanes.drain(..over);
    }

    /// Closes all.
    pub(super) fn clear(&mut self) {
        self.lanes.clear();
    }

    /// Returns how many there are.
    pub(super) fn len(&self) -> usize {
        self.lanes.len()
    }
}
