//! Limits how often a group's primary may be replaced, so that a flapping network doesn't move the primary back and
//! forth: the first failover starts at once, and each further one in short succession waits twice as long.

use std::time::Duration;

use super::reports::Verdict;
use crate::clock::Instant;
use crate::id;

/// The delay between the first and the second failover; it doubles with each further one.
pub const DAMPING_DELAY: Duration = Duration::from_secs(1);

/// The longest delay between two failovers.
pub const MAX_DAMPING_DELAY: Duration = Duration::from_secs(32);

/// If no failover has started for this long after the previous delay had passed, the delay is back at
/// [`DAMPING_DELAY`].
pub const DAMPING_RESET: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
pub(super) struct Damper {
    last_failover: Option<Instant>,
    term: id::Term,
    count: u32,
}

impl Damper {
    /// Returns whether another failover may start. For a crashed primary the delay is never longer than
    /// [`DAMPING_DELAY`], since a process that has ended is not a symptom of a flapping network.
    pub(super) fn allows(&self, now: Instant, verdict: Verdict) -> bool {
        let Some(last) = self.last_failover else {
            return true;
        };
        let delay = match verdict {
            Verdict::Crashed => DAMPING_DELAY,
            _ => self.delay(),
        };
        now.since(last) >= delay
    }

    /// Records that the primary of `term` is being replaced.
    pub(super) fn record(&mut self, now: Instant, term: id::Term) {
        if self.last_failover.is_some() && self.term == term {
            return;
        }
        self.term = term;
        let reset =
            self.last_failover.is_none_or(|last| now.since(last) >= self.delay() + DAMPING_RESET);
        self.count = if reset { 1 } else { self.count + 1 };
        self.last_failover = Some(now);
    }

    fn delay(&self) -> Duration {
        backoff(DAMPING_DELAY, self.count.saturating_sub(1), MAX_DAMPING_DELAY)
    }
}

/// Returns `base` doubled `doublings` times, but at most `limit`.
pub(super) fn backoff(base: Duration, doublings: u32, limit: Duration) -> Duration {
    base.saturating_mul(1 << doublings.min(16)).min(limit)
}
