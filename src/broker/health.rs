//! What this proxy sees of one instance, and what it tells control of it.
//!
//! Control replaces a primary that most proxies can't use, so a proxy says what it sees now and not what it saw before
//! it was cut off: when it is leased again, every instance counts as sound until it is asked. It answers the end of a
//! partition, where proxies come back whose last word on the new primary is that it is silent.

use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire::Trouble;

/// How long a commit may be unanswered until its primary is reported: it may have lost all its replicas, while it
/// still answers everything else. Commits take a round trip to a replica, so this is far over what load makes.
pub const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What is seen of an instance.
#[derive(Debug)]
pub struct Health {
    /// When it last answered anything.
    last_answer: Instant,
    trouble: Trouble,
    /// What control was told, and with which heartbeat.
    reported: Option<(id::Sequence, Trouble)>,
    /// When the commits were sent that are not answered.
    pending_commits: Vec<Instant>,
}

impl Health {
    /// Begins with an instance that nothing is known of.
    pub fn new(now: Instant) -> Self {
        Self {
            last_answer: now,
            trouble: Trouble::Fine,
            reported: None,
            pending_commits: Vec::new(),
        }
    }

    /// Notes that it answered; returns whether something had been wrong with it.
    pub fn record_answer(&mut self, now: Instant) -> bool {
        self.last_answer = now;
        std::mem::replace(&mut self.trouble, Trouble::Fine) != Trouble::Fine
    }

    /// Notes what a failure says; returns whether that is new.
    pub fn record_failure(&mut self, trouble: Trouble) -> bool {
        let new = trouble != Trouble::Fine && trouble != self.trouble;
        if new {
            self.trouble = trouble;
        }
        new
    }

    /// Forgets what was seen before this proxy was cut off.
    pub fn reset(&mut self, now: Instant) {
        self.last_answer = now;
        self.trouble = Trouble::Fine;
    }

    /// Tells whether statements may be sent there.
    pub fn is_usable(&self) -> bool {
        self.trouble == Trouble::Fine
    }

    /// Returns how long it has said nothing.
    pub fn silence(&self, now: Instant) -> Duration {
        now.since(self.last_answer)
    }

    /// Notes that a commit was sent.
    pub fn begin_commit(&mut self, sent: Instant) {
        self.pending_commits.push(sent);
    }

    /// Notes that a commit is answered or given up.
    pub fn end_commit(&mut self, sent: Instant) {
        if let Some(at) = self.pending_commits.iter().position(|known| *known == sent) {
            self.pending_commits.swap_remove(at);
        }
    }

    /// Returns what control is to hear with the heartbeat `sequence`, unless it has heard that.
    pub fn report(
        &mut self,
        now: Instant,
        sequence: id::Sequence,
        acknowledged: impl Fn(id::Sequence) -> bool,
    ) -> Option<Trouble> {
        let stalled = self.pending_commits.iter().any(|sent| now.since(*sent) >= COMMIT_TIMEOUT);
        let trouble = match self.trouble {
            Trouble::Fine if stalled => Trouble::Silent,
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
