//! How often a group's primary may be replaced: the first failover acts at once, and each one that follows
//! soon waits twice as long, so that a flapping network doesn't move the primary to and fro.

use std::time::Duration;

use super::evidence::Standing;
use crate::clock::Instant;
use crate::id;

/// How long the second failover waits after the first; it doubles from there.
pub const DAMP: Duration = Duration::from_secs(1);

/// The longest wait between two failovers.
pub const DAMP_LIMIT: Duration = Duration::from_secs(32);

/// How long without a failover until the next one acts at once again.
pub const QUIET: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
pub(super) struct Damper {
    last: Option<Instant>,
    term: id::Term,
    count: u32,
}

impl Damper {
    /// Tells whether another failover may begin. A crashed primary waits no longer than [`DAMP`], since a
    /// process that has ended is no matter of the network.
    pub(super) fn allows(&self, now: Instant, standing: Standing) -> bool {
        let Some(last) = self.last else {
            return true;
        };
        let wait = match standing {
            Standing::Crashed => DAMP,
            _ => self.wait(),
        };
        now.since(last) >= wait
    }

    /// Notes that the primary of a term is being replaced.
    pub(super) fn note(&mut self, now: Instant, term: id::Term) {
        if self.last.is_some() && self.term == term {
            return;
        }
        self.term = term;
        let quiet = self.last.is_none_or(|last| now.since(last) >= self.wait() + QUIET);
        self.count = if quiet { 1 } else { self.count + 1 };
        self.last = Some(now);
    }

    fn wait(&self) -> Duration {
        doubled(DAMP, self.count.saturating_sub(1), DAMP_LIMIT)
    }
}

/// Returns `base` doubled `times` times, and `limit` at most.
pub(super) fn doubled(base: Duration, times: u32, limit: Duration) -> Duration {
    base.saturating_mul(1 << times.min(16)).min(limit)
}
