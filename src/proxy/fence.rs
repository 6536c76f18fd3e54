//! The write fence: what a proxy may release, by its lease and the group's epoch, judged at the moment of
//! release. See `docs/DESIGN.md`, "Write fence".

use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire::{Epoch, Grant, Phase, Stamp, Table};

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
    seen: Stamp,
    version: u64,
    table: Table,
    lease: Instant,
    revision: id::Revision,
}

impl Fence {
    /// Takes a grant; `sent` is when the heartbeat that it answers was sent, or `None` for an unasked one.
    /// Returns whether anything in force changed. A grant older than what was seen changes nothing.
    pub fn step(&mut self, sent: Option<Instant>, grant: Grant) -> bool {
        if grant.stamp < self.seen {
            return false;
        }
        if grant.stamp.term > self.seen.term {
            self.version = 0;
        }
        self.seen = grant.stamp;
        self.revision = self.revision.max(grant.revision);
        let newer = grant.version > self.version;
        if let Some(table) = grant.table
            && newer
        {
            self.table = table;
            self.version = grant.version;
        }
        if let Some(sent) = sent
            && self.version >= grant.version
        {
            self.lease = self.lease.max(sent + Duration::from_millis(u64::from(grant.lease_ms)));
        }
        newer
    }

    /// Judges whether an answer of `group` under `term` may be released now.
    pub fn verdict(&self, now: Instant, group: &id::Group, term: id::Term) -> Verdict {
        if now >= self.lease {
            return Verdict::NoLease;
        }
        match self.epoch(group) {
            Some(epoch) if epoch.term == term && epoch.phase == Phase::Active => Verdict::Release,
            _ => Verdict::Replaced,
        }
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
