//! The health of one instance as seen by this proxy, and its reports to the control plane.
//!
//! The control plane replaces a primary that most proxies report as unusable. After a partition, the last observation
//! of proxies that were cut off may be that the new primary is silent. They must not report it, or the new primary would
//! be replaced too: when a proxy regains a lease, every instance counts as healthy until it is pinged again.

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
    /// The health according to the last answer or failure.
    current: wire::Health,
    /// Whether a message of the instance could not be read, or one of its connections went silent, since it last answered a
    /// command.
    suspect: bool,
    /// The last report to the control plane, and the heartbeat that carried it.
    reported: Option<(id::Sequence, wire::Health)>,
    commits: Commits,
}

/// The commits on the instance. A single one may be unanswered because its connection went silent; the instance has stalled
/// only if no commit that was sent later has succeeded.
#[derive(Debug, Default)]
struct Commits {
    /// The send times of those that wait for an answer.
    pending: Vec<Instant>,
    /// The send time of the newest one that succeeded.
    succeeded: Instant,
    /// The send time of the first one that got no answer within its time limit, and when the last one was given up.
    abandoned: Option<(Instant, Instant)>,
}

impl Commits {
    fn end(&mut self, sent: Instant) {
        if let Some(at) = self.pending.iter().position(|known| *known == sent) {
            self.pending.swap_remove(at);
        }
    }

    fn abandon(&mut self, now: Instant, sent: Instant) {
        self.end(sent);
        let first = self.recently_abandoned(now).unwrap_or(sent);
        self.abandoned = Some((first, now));
    }

    /// Returns when the first commit was sent that got no answer, unless a later one succeeded or none was tried lately.
    fn recently_abandoned(&self, now: Instant) -> Option<Instant> {
        let (sent, ended) = self.abandoned?;
        (sent > self.succeeded && now.since(ended) < COMMIT_TIMEOUT).then_some(sent)
    }

    fn have_stalled(&self, now: Instant) -> bool {
        let pending = self.pending.iter().copied().filter(|sent| *sent > self.succeeded);
        let mut unanswered = pending.chain(self.recently_abandoned(now));
        unanswered.any(|sent| now.since(sent) >= COMMIT_TIMEOUT)
    }
}

impl Health {
    /// Creates the record of an instance about which nothing is known yet.
    pub fn new(now: Instant) -> Self {
        Self {
            last_answer: now,
            current: wire::Health::Fine,
            suspect: false,
            reported: None,
            commits: Commits::default(),
        }
    }

    /// Records that the instance answered a command. Returns whether it recovered from a failure.
    pub fn record_answer(&mut self, now: Instant) -> bool {
        self.suspect = false;
        self.last_answer = now;
        std::mem::replace(&mut self.current, wire::Health::Fine) != wire::Health::Fine
    }

    /// Records that the instance accepted or refused a connection, which doesn't show that its answers can be read. Returns
    /// whether it recovered from a failure.
    pub fn record_greeting(&mut self, now: Instant) -> bool {
        let suspect = self.suspect;
        let recovered = self.current != wire::Health::Faulty && self.record_answer(now);
        (self.last_answer, self.suspect) = (now, suspect);
        recovered
    }

    /// Records that a message of the instance could not be read.
    pub fn record_unreadable(&mut self) {
        self.suspect = true;
    }

    /// Records that a connection to the instance went silent on which it had answered.
    pub fn record_silent_connection(&mut self) {
        self.suspect = true;
    }

    /// Returns whether the instance should be pinged on a new connection, since a message could not be read or a connection
    /// went silent.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Records a failure. Returns whether it differs from the last one.
    pub fn record_failure(&mut self, health: wire::Health) -> bool {
        let new = health != wire::Health::Fine && health != self.current;
        if new {
            self.current = health;
        }
        new
    }

    /// Discards what was observed before this proxy was cut off, or before it watched the instance. The control plane has
    /// dropped the reports of that time, so the instance is reported again.
    pub fn reset(&mut self, now: Instant) {
        self.last_answer = now;
        self.current = wire::Health::Fine;
        self.suspect = false;
        self.reported = None;
    }

    /// Returns whether statements may be sent to the instance.
    pub fn is_usable(&self) -> bool {
        self.current == wire::Health::Fine
    }

    /// Returns the time since the instance last answered.
    pub fn silence(&self, now: Instant) -> Duration {
        now.since(self.last_answer)
    }

    /// Records that a commit was sent.
    pub fn begin_commit(&mut self, sent: Instant) {
        self.commits.pending.push(sent);
    }

    /// Records that a commit was answered, or is no longer waited for.
    pub fn end_commit(&mut self, sent: Instant) {
        self.commits.end(sent);
    }

    /// Records that a commit succeeded.
    pub fn record_committed(&mut self, sent: Instant) {
        self.commits.succeeded = self.commits.succeeded.max(sent);
    }

    /// Records that a commit got no answer within its time limit.
    pub fn abandon_commit(&mut self, now: Instant, sent: Instant) {
        self.commits.abandon(now, sent);
    }

    /// Returns the health to report in heartbeat `sequence`, or `None` if the control plane has acknowledged a report
    /// of it already.
    pub fn report(
        &mut self,
        now: Instant,
        sequence: id::Sequence,
        acknowledged: impl Fn(id::Sequence) -> bool,
    ) -> Option<wire::Health> {
        let stalled = self.commits.have_stalled(now);
        let health = match self.current {
            wire::Health::Fine if stalled => wire::Health::Silent,
            health => health,
        };
        let is_known =
            self.reported.is_some_and(|(sent, last)| last == health && acknowledged(sent));
        if is_known {
            return None;
        }
        self.reported = Some((sequence, health));
        Some(health)
    }
}
