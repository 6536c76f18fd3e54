//! The write fence: decides from the lease of the proxy and the epoch of the group whether an answer may be released.
//! The decision is made at the moment of release. See `docs/DESIGN.md`, "Leases" and "Write fence".

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::control::lease::UNLEASED_RETENTION;
use crate::id;
use crate::wire::{Epoch, Grant, Phase, Serving, Stamp, Table};

/// The maximum number of sent heartbeats whose send times are kept.
const MAX_SENT_HEARTBEATS: usize = 64;

/// Whether an answer may be released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer may be released.
    Release,
    /// The lease of the proxy has expired.
    NoLease,
    /// The epoch is frozen or has been replaced.
    Replaced,
}

/// The lease of a proxy and the routing table that it received from the control plane.
#[derive(Debug, Default)]
pub struct Fence {
    incarnation: id::Incarnation,
    last_sent: id::Sequence,
    sent: VecDeque<(id::Sequence, Instant)>,
    last_answered: id::Sequence,
    /// The last heartbeat that was sent before the first grant of the current leader arrived.
    last_before_leader: id::Sequence,
    newest_stamp: Stamp,
    table_version: u64,
    table: Table,
    lease_end: Instant,
    /// Whether all of the current leader's table has arrived once.
    is_complete: bool,
    /// Whether a heartbeat was sent since the lease expired. The leader that received it may have given the share to
    /// others.
    is_lapsed: bool,
    /// When the heartbeat was sent that last renewed the lease.
    last_renewal: Instant,
    newest_revision: id::Revision,
}

impl Fence {
    /// Creates a fence without a lease and without a table, for one incarnation of a proxy.
    pub fn new(incarnation: id::Incarnation) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Records that a heartbeat is sent now, and returns its sequence number.
    pub fn record_heartbeat(&mut self, now: Instant) -> id::Sequence {
        self.last_sent = self.last_sent.next();
        self.is_lapsed |= !self.is_leased(now);
        if self.sent.len() == MAX_SENT_HEARTBEATS {
            self.sent.pop_front();
        }
        self.sent.push_back((self.last_sent, now));
        self.last_sent
    }

    /// Applies a grant. Returns whether the grant has a newer table version than the fence. The delta is applied only
    /// if the fence has all versions before it. A grant with an older stamp than the newest one received, or for an
    /// earlier incarnation of this proxy, changes nothing.
    pub fn step(&mut self, grant: Grant) -> bool {
        if grant.incarnation != self.incarnation || grant.stamp < self.newest_stamp {
            return false;
        }
        if grant.stamp.term > self.newest_stamp.term {
            self.table_version = 0;
            self.is_complete = false;
            self.last_before_leader = self.last_sent;
        }
        self.newest_stamp = grant.stamp;
        self.newest_revision = self.newest_revision.max(grant.revision);
        self.last_answered = self.last_answered.max(grant.sequence.unwrap_or_default());
        let newer = grant.version > self.table_version;
        if let Some(delta) = grant.delta
            && newer
            && delta.since <= self.table_version
        {
            let max_kept_share = if self.is_lapsed { 1 } else { u32::MAX };
            self.table.apply(delta, max_kept_share);
            self.table_version = grant.version;
        }
        if let Some(sent) = grant.sequence.and_then(|sequence| self.sent_at(sequence))
            && self.table_version >= grant.version
        {
            self.table.confirm();
            self.is_complete = true;
            self.is_lapsed = false;
            self.last_renewal = self.last_renewal.max(sent);
            self.lease_end =
                self.lease_end.max(sent + Duration::from_millis(u64::from(grant.lease_ms)));
        }
        newer
    }

    /// Returns when a heartbeat was sent. The lease that it renews starts at this time.
    pub fn sent_at(&self, sequence: id::Sequence) -> Option<Instant> {
        self.sent.iter().find(|(sent, _)| *sent == sequence).map(|(_, at)| *at)
    }

    /// Decides whether an answer of `group` under `term` may be released now.
    pub fn verdict(&self, now: Instant, group: &id::Group, term: id::Term) -> Verdict {
        if !self.is_leased(now) {
            return Verdict::NoLease;
        }
        match self.epoch(group) {
            Some(epoch) if epoch.term == term && epoch.phase == Phase::Active => Verdict::Release,
            _ => Verdict::Replaced,
        }
    }

    /// Returns whether the current leader has received the heartbeat with this sequence number or a later one.
    pub fn is_acknowledged(&self, sequence: id::Sequence) -> bool {
        self.is_for_current_leader(sequence) && sequence <= self.last_answered
    }

    /// Returns whether all of the current leader's table has arrived.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether a heartbeat was sent after the first grant of the current leader arrived.
    pub fn is_for_current_leader(&self, sequence: id::Sequence) -> bool {
        sequence > self.last_before_leader
    }

    /// Returns when the heartbeat was sent that last renewed the lease.
    pub fn last_renewal(&self) -> Instant {
        self.last_renewal
    }

    /// Returns the remaining time of the lease.
    pub fn remaining_lease(&self, now: Instant) -> Duration {
        self.lease_end.since(now)
    }

    /// Returns whether the proxy holds a lease that has not expired.
    pub fn is_leased(&self, now: Instant) -> bool {
        now < self.lease_end
    }

    /// Returns the maximum number of connections that `node`, the owner of this fence, may hold to each instance of a
    /// group. Without a lease the leader gives the share to other proxies, except for one connection, and that one too
    /// after [`UNLEASED_RETENTION`] if other proxies serve the group.
    pub fn permits(&self, now: Instant, node: &id::Node, group: &id::Group) -> u32 {
        let share = self.table.share(group);
        match self.table.serving(group) {
            Serving::Every if self.is_leased(now) => share.max(1),
            Serving::Every => 1,
            Serving::Undecided => 0,
            Serving::Listed(servers) if servers.iter().all(|server| server.node != *node) => 0,
            Serving::Listed(_) if self.is_leased(now) => share,
            Serving::Listed(_) if now.since(self.lease_end) < UNLEASED_RETENTION => share.min(1),
            Serving::Listed(_) => 0,
        }
    }

    /// Returns the epoch of the group in the last received table.
    pub fn epoch(&self, group: &id::Group) -> Option<&Epoch> {
        self.table.epoch(group)
    }

    /// Returns the table in force.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the newest stamp, table version and configuration revision that were received.
    pub fn newest(&self) -> (Stamp, u64, id::Revision) {
        (self.newest_stamp, self.table_version, self.newest_revision)
    }
}
