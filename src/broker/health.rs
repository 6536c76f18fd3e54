//! The health of one instance as seen by this proxy, and its reports to the control plane.
//!
//! The control plane replaces a primary that most proxies can't use. At the end of a partition, proxies return whose
//! last observation is that the new primary is silent. So a proxy must not report what it saw before it was cut off:
//! when it regains a lease, every instance counts as healthy until it is pinged again.

use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire;

/// How long a commit may be unanswered until its primary is reported: the primary may have lost all its replicas and
/// still answer everything else. A commit takes a round trip to a replica, so this is far above the delay that load
/// causes.
pub const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The health of one instance.
#[derive(Debug)]
pub struct Health {
    /// When the instance last answered anything.
    last_answer: Instant,
    trouble: wire::Health,
    /// The last report to the control plane, and the heartbeat that carried it.
    reported: Option<(id::Sequence, wire::Health)>,
    /// When each unanswered commit was sent.
    pending_commits: Vec<Instant>,
}

impl Health {
    /// Creates the record of an instance about which nothing is known yet.
    pub fn new(now: Instant) -> Self {
        Self {
            last_answer: now,
            trouble: wire::Health::Fine,
            reported: None,
            pending_commits: Vec::new(),
        }
    }

    /// Records that the instance answered. Returns whether it recovered from a failure.
    pub fn record_answer(&mut self, now: Instant) -> bool {
        self.last_answer = now;
        std::mem::replace(&mut self.trouble, wire::Health::Fine) != wire::Health::Fine
    }

    /// Records a failure. Returns whether it differs from the last one.
    pub fn record_failure(&mut self, trouble: wire::Health) -> bool {
        let new = trouble != wire::Health::Fine && trouble != self.trouble;
        if new {
            self.trouble = trouble;
        }
        new
    }

    /// Discards what was observed before this proxy was cut off.
    pub fn reset(&mut self, now: Instant) {
        self.last_answer = now;
        self.trouble = wire::Health::Fine;
    }

    /// Returns whether statements may be sent to the instance.
    pub fn is_usable(&self) -> bool {
        self.trouble == wire::Health::Fine
    }

    /// Returns the time since the instance last answered.
    pub fn silence(&self, now: Instant) -> Duration {
        now.since(self.last_answer)
    }

    /// Records that a commit was sent.
    pub fn begin_commit(&mut self, sent: Instant) {
        self.pending_commits.push(sent);
    }

    /// Records that a commit was answered or abandoned.
    pub fn end_commit(&mut self, sent: Instant) {
        if let Some(at) = self.pending_commits.iter().position(|known| *known == sent) {
            self.pending_commits.swap_remove(at);
        }
    }

    /// Returns the trouble to report in heartbeat `sequence`, or `None` if the control plane has acknowledged it
    /// already.
    pub fn report(
        &mut self,
        now: Instant,
        sequence: id::Sequence,
        acknowledged: impl Fn(id::Sequence) -> bool,
    ) -> Option<wire::Health> {
        let stalled = self.pending_commits.iter().any(|sent| now.since(*sent) >= COMMIT_TIMEOUT);
        let trouble = match self.trouble {
            wire::Health::Fine if stalled => wire::Health::Silent,
            trouble => trouble,
        };
        let known = self.reported.is_some_and(|(sent, last)| last == trouble && acknowledged(sent));
        if known {
            return None;
        }
        self.reported = Some((sequence, trouble));
        Some(trouble)
    }
}
