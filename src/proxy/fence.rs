//! The write fence: what a proxy may release, by its lease and the group's epoch, judged at the moment of
//! release. See `docs/DESIGN.md`, "Leases" and "Write fence".

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire::{Epoch, Grant, Phase, Stamp, Table};

/// How many heartbeats may be unanswered before the oldest is forgotten.
const KEPT: usize = 64;

/// What the fence says of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer may be released.
    Release,
    /// The proxy's lease has run out.
    NoLease,
    /// The epoch is frozen, or replaced by another.
    Replaced,
}

/// What a proxy holds of control's decisions.
#[derive(Debug, Default)]
pub struct Fence {
    incarnation: id::Incarnation,
    next: id::Sequence,
    sent: VecDeque<(id::Sequence, Instant)>,
    answered: id::Sequence,
    /// The last heartbeat that was sent before the present leader was heard of.
    before: id::Sequence,
    seen: Stamp,
    version: u64,
    table: Table,
    lease: Instant,
    renewed: Instant,
    revision: id::Revision,
}

impl Fence {
    /// Starts without a lease and without a table, for one life of a proxy.
    pub fn new(incarnation: id::Incarnation) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Notes that a heartbeat is sent now, and numbers it.
    pub fn send(&mut self, now: Instant) -> id::Sequence {
        self.next = self.next.next();
        if self.sent.len() == KEPT {
            self.sent.pop_front();
        }
        self.sent.push_back((self.next, now));
        self.next
    }

    /// Takes a grant. Returns whether anything in force changed. A grant that is older than what was seen, or
    /// was meant for an earlier life of this proxy, changes nothing.
    pub fn step(&mut self, grant: Grant) -> bool {
        if grant.incarnation != self.incarnation || grant.stamp < self.seen {
            return false;
        }
        if grant.stamp.term > self.seen.term {
            self.version = 0;
            self.before = self.next;
        }
        self.seen = grant.stamp;
        self.revision = self.revision.max(grant.revision);
        self.answered = self.answered.max(grant.sequence.unwrap_or_default());
        let newer = grant.version > self.version;
        if let Some(delta) = grant.delta
            && newer
            && delta.since <= self.version
        {
            self.table.apply(delta);
            self.version = grant.version;
        }
        if let Some(sent) = grant.sequence.and_then(|sequence| self.sent_at(sequence))
            && self.version >= grant.version
        {
            self.renewed = self.renewed.max(sent);
            self.lease = self.lease.max(sent + Duration::from_millis(u64::from(grant.lease_ms)));
        }
        newer
    }

    /// Returns when the heartbeat was sent, from which its lease counts.
    fn sent_at(&self, sequence: id::Sequence) -> Option<Instant> {
        self.sent.iter().find(|(known, _)| *known == sequence).map(|(_, at)| *at)
    }

    /// Judges whether an answer of `group` under `term` may be released now.
    pub fn verdict(&self, now: Instant, group: &id::Group, term: id::Term) -> Verdict {
        if !self.leased(now) {
            return Verdict::NoLease;
        }
        match self.epoch(group) {
            Some(epoch) if epoch.term == term && epoch.phase == Phase::Active => Verdict::Release,
            _ => Verdict::Replaced,
        }
    }

    /// Tells whether the present leader has heard what that heartbeat said.
    pub fn heard(&self, sequence: id::Sequence) -> bool {
        sequence > self.before && sequence <= self.answered
    }

    /// Returns when the heartbeat was sent that renewed the lease last.
    pub fn renewed(&self) -> Instant {
        self.renewed
    }

    /// Returns how long the lease goes on.
    pub fn left(&self, now: Instant) -> Duration {
        self.lease.since(now)
    }

    /// Tells whether the lease has not run out.
    pub fn leased(&self, now: Instant) -> bool {
        now < self.lease
    }

    /// Returns the group's epoch as last heard.
    pub fn epoch(&self, group: &id::Group) -> Option<&Epoch> {
        self.table.epochs.iter().find(|epoch| epoch.group == *group)
    }

    /// Returns the table in force.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the newest stamp, the table version, and the newest revision that were heard of.
    pub fn seen(&self) -> (Stamp, u64, id::Revision) {
        (self.seen, self.version, self.revision)
    }
}
