//! The leases of proxies: one for each proxy, covering all groups.
//!
//! A proxy counts its lease from when it sent the heartbeat; control counts from when it answered, and adds
//! [`MARGIN`]. So a lease that control holds for run out has run out at the proxy too, as long as their clocks
//! drift apart by less than the margin over one lease. See `docs/DESIGN.md`, "Leases".

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

/// How long a lease runs, from when the proxy sent its heartbeat. When a proxy dies together with a primary, its lease is
/// waited out: with [`MARGIN`] and 175 ms to notice, read and promote that stays within the second that a change of
/// primary may take. It still outlives the longest election, so that a lost leader interrupts nobody.
pub const LEASE: Duration = Duration::from_millis(750);

/// How much longer control takes a lease to run, for clocks that drift apart by up to a tenth.
pub const MARGIN: Duration = Duration::from_millis(75);

/// How long a leader may grant leases after it asked what a majority of the voters last confirmed. A later
/// leader counts on it: none of its predecessors grants anything once this time has passed since its election.
pub const CONFIRMATION: Duration = Duration::from_millis(300);

/// How long after its election a leader must reckon with leases that its predecessors granted.
pub const INHERITED_LEASE_WAIT: Duration = Duration::from_millis(
    (LEASE.as_millis() + MARGIN.as_millis() + CONFIRMATION.as_millis()) as u64,
);

/// A life of a proxy. Each life has a lease of its own, so that a process that lives on beside its successor
/// is waited for.
pub type Life = (id::Node, id::Incarnation);

/// The leases that this leader has granted, and those that it must reckon with.
#[derive(Debug, Default)]
pub struct Leases {
    elected: Instant,
    holders: BTreeMap<Life, Holder>,
}

#[derive(Debug)]
struct Holder {
    expires: Instant,
    table: u64,
}

impl Leases {
    /// Starts with the leases that earlier leaders may have granted up to now and for
    /// [`CONFIRMATION`] longer.
    pub fn new(elected: Instant) -> Self {
        Self { elected, holders: BTreeMap::new() }
    }

    /// Grants a proxy a lease; `table` is the version of this leader's table that its heartbeat acknowledged.
    pub fn grant(&mut self, now: Instant, life: Life, table: u64) {
        let expires = now + LEASE + MARGIN;
        let holder = self.holders.entry(life).or_insert(Holder { expires, table });
        holder.expires = holder.expires.max(expires);
        holder.table = holder.table.max(table);
    }

    /// Tells whether no proxy can release anything under a table older than `version`: each one has
    /// acknowledged that version, or its lease has run out. For [`INHERITED_LEASE_WAIT`] after the election, every
    /// `registered` proxy must have acknowledged it, since an earlier leader may have granted it a lease.
    pub fn fenced(
        &self,
        now: Instant,
        version: u64,
        mut registered: impl Iterator<Item = Life>,
    ) -> bool {
        let harmless = |holder: &Holder| holder.table >= version || holder.expires <= now;
        let known = self.holders.values().all(harmless);
        let inherited = self.inherited(now);
        known && (!inherited || registered.all(|life| self.acknowledged(&life, version)))
    }

    /// Tells whether an earlier leader may have granted leases that have not run out.
    pub fn inherited(&self, now: Instant) -> bool {
        now.since(self.elected) < INHERITED_LEASE_WAIT
    }

    /// Tells whether a proxy has acknowledged that version of this leader's table; it never goes back.
    pub fn acknowledged(&self, life: &Life, version: u64) -> bool {
        self.holders.get(life).is_some_and(|holder| holder.table >= version)
    }

    /// Tells whether a proxy may hold a lease, granted by this leader or an earlier one.
    pub fn may_hold(&self, now: Instant, life: &Life) -> bool {
        self.inherited(now) || self.holders.get(life).is_some_and(|holder| holder.expires > now)
    }

    /// Returns the proxies whose lease from this leader has not run out.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Life> {
        self.holders.iter().filter(move |(_, holder)| holder.expires > now).map(|(life, _)| life)
    }

    /// Drops the leases that have run out of lives that are over.
    pub fn prune(&mut self, now: Instant, over: impl Fn(&Life) -> bool) {
        self.holders.retain(|life, holder| holder.expires > now || !over(life));
    }
}
