//! What this proxy sees of one instance, and what it tells control of it.
//!
//! Control replaces a primary that most proxies can't use, so a proxy says what it sees now and not what it saw before
//! it was cut off: when it is leased again, every instance counts as sound until it is asked. It answers the end of a
//! partition, where proxies come back whose last word on the new primary is that it is silent.

use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire;

/// How long a commit may be unanswered until its primary is reported: it may have lost all its replicas, while it
/// still answers everything else. Commits take a round trip to a replica, so this is far over what load makes.
pub const COMMIT_SILENCE: Duration = Duration::from_millis(1_000);

/// What is seen of an instance.
#[derive(Debug)]
pub struct Health {
    /// When it last answered anything.
    good: Instant,
    trouble: wire::Health,
    /// What control was told, and with which heartbeat.
    told: Option<(id::Sequence, wire::Health)>,
    /// When the commits were sent that are not answered.
    committing: Vec<Instant>,
}

impl Health {
    /// Begins with an instance that nothing is known of.
    pub fn new(now: Instant) -> Self {
        Self { good: now, trouble: wire::Health::Fine, told: None, committing: Vec::new() }
    }

    /// Notes that it answered; returns whether something had been wrong with it.
    pub fn answered(&mut self, now: Instant) -> bool {
        self.good = now;
        std::mem::replace(&mut self.trouble, wire::Health::Fine) != wire::Health::Fine
    }

    /// Notes what a failure says; returns whether that is new.
    pub fn failed(&mut self, trouble: wire::Health) -> bool {
        let new = trouble != wire::Health::Fine && trouble != self.trouble;
        if new {
            self.trouble = trouble;
        }
        new
    }

    /// Forgets what was seen before this proxy was cut off.
    pub fn relearn(&mut self, now: Instant) {
        self.good = now;
        self.trouble = wire::Health::Fine;
    }

    /// Tells whether statements may be sent there.
    pub fn is_usable(&self) -> bool {
        self.trouble == wire::Health::Fine
    }

    /// Returns how long it has said nothing.
    pub fn silence(&self, now: Instant) -> Duration {
        now.since(self.good)
    }

    /// Notes that a commit was sent.
    pub fn begin_commit(&mut self, sent: Instant) {
        self.committing.push(sent);
    }

    /// Notes that a commit is answered or given up.
    pub fn end_commit(&mut self, sent: Instant) {
        if let Some(at) = self.committing.iter().position(|known| *known == sent) {
            self.committing.swap_remove(at);
        }
    }

    /// Returns what control is to hear with the heartbeat `sequence`, unless it has heard that.
    pub fn report(
        &mut self,
        now: Instant,
        sequence: id::Sequence,
        heard: impl Fn(id::Sequence) -> bool,
    ) -> Option<wire::Health> {
        let stalled = self.committing.iter().any(|sent| now.since(*sent) >= COMMIT_SILENCE);
        let trouble = match self.trouble {
            wire::Health::Fine if stalled => wire::Health::Silent,
            trouble => trouble,
        };
        let known = self.told.is_some_and(|(told, what)| what == trouble && heard(told));
        if known {
            return None;
        }
        self.told = Some((sequence, trouble));
        Some(trouble)
    }
}
