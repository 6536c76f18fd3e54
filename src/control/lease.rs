//! The leases of proxies. A proxy has one lease, which covers all groups.
//!
//! A proxy counts its lease from when it sent the heartbeat; control counts from when it answered, and adds
//! [`CLOCK_MARGIN`]. So a lease that has expired for control has expired at the proxy too, as long as their clocks
//! drift apart by less than the margin within one lease. See `docs/DESIGN.md`, "Leases".

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

/// How long a lease lasts, from when the proxy sent its heartbeat. If a proxy dies together with a primary, the
/// failover waits until its lease has expired: with [`CLOCK_MARGIN`] and 175 ms to detect, read and promote, that stays
/// within the second that a failover may take. A lease outlasts the longest election, so that the loss of a leader does
/// not interrupt requests.
pub const LEASE_DURATION: Duration = Duration::from_millis(750);

/// How much longer control counts a lease than the proxy does; it allows for clocks that drift apart by up to a tenth.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(75);

/// How long a leader may grant leases after it sent the request with which a majority of the voters last confirmed its
/// leadership. A later leader relies on this: once this time has passed since its election, none of its predecessors
/// grants leases any more.
pub const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(300);

/// How long after its election a leader must assume that leases granted by its predecessors are valid.
pub const INHERITED_LEASE_WAIT: Duration = Duration::from_millis(
    (LEASE_DURATION.as_millis() + CLOCK_MARGIN.as_millis() + CONFIRMATION_VALIDITY.as_millis())
        as u64,
);

/// How long a proxy whose lease has expired keeps one connection to each instance of a group that other proxies serve
/// too. Until then its newest position sample may still be young enough for reads.
pub const UNLEASED_RETENTION: Duration = Duration::from_millis(2_000);

/// How long the control plane assumes that such a connection is kept: its clock may be a tenth faster.
pub const UNLEASED_RETENTION_WAIT: Duration =
    Duration::from_millis(UNLEASED_RETENTION.as_millis() as u64 * 11 / 10);

/// A proxy process: the name of the proxy and the incarnation. Each incarnation has its own lease, so that a failover
/// also waits for an old process that still runs beside its successor.
pub type Holder = (id::Node, id::Incarnation);

/// The leases that this leader has granted, and its election, after which leases of earlier leaders may still be valid.
#[derive(Debug, Default)]
pub struct Leases {
    elected_at: Instant,
    leases: BTreeMap<Holder, Lease>,
}

#[derive(Debug)]
struct Lease {
    expires_at: Instant,
    /// The newest version of this leader's table that the proxy has acknowledged.
    table: u64,
}

impl Leases {
    /// Creates the leases of a leader that was elected at `elected_at`. Earlier leaders may have granted leases up to
    /// [`CONFIRMATION_VALIDITY`] after that.
    pub fn new(elected_at: Instant) -> Self {
        Self { elected_at, leases: BTreeMap::new() }
    }

    /// Grants a proxy a lease; `table` is the version of this leader's table that its heartbeat acknowledged.
    pub fn grant(&mut self, now: Instant, holder: Holder, table: u64) {
        let expires_at = now + LEASE_DURATION + CLOCK_MARGIN;
        let lease = self.leases.entry(holder).or_insert(Lease { expires_at, table });
        lease.expires_at = lease.expires_at.max(expires_at);
        lease.table = lease.table.max(table);
    }

    /// Returns whether no proxy can release an answer under a table older than `version`, because each proxy has
    /// acknowledged that version or its lease has expired. For [`INHERITED_LEASE_WAIT`] after the election, every
    /// `registered` proxy must have acknowledged it, since an earlier leader may have granted that proxy a lease.
    pub fn is_fenced(
        &self,
        now: Instant,
        version: u64,
        mut registered: impl Iterator<Item = Holder>,
    ) -> bool {
        let safe = |lease: &Lease| lease.table >= version || lease.expires_at <= now;
        let granted_safe = self.leases.values().all(safe);
        let inherited = self.has_inherited(now);
        granted_safe
            && (!inherited || registered.all(|holder| self.has_acknowledged(&holder, version)))
    }

    /// Returns whether leases granted by an earlier leader may still be valid.
    pub fn has_inherited(&self, now: Instant) -> bool {
        now.since(self.elected_at) < INHERITED_LEASE_WAIT
    }

    /// Returns whether a proxy has acknowledged `version` of this leader's table, or a newer one.
    pub fn has_acknowledged(&self, holder: &Holder, version: u64) -> bool {
        self.leases.get(holder).is_some_and(|lease| lease.table >= version)
    }

    /// Returns whether a proxy may hold a lease, granted by this leader or an earlier one.
    pub fn may_hold(&self, now: Instant, holder: &Holder) -> bool {
        self.has_inherited(now)
            || self.leases.get(holder).is_some_and(|lease| lease.expires_at > now)
    }

    /// Returns the proxies whose lease from this leader has not expired.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Holder> {
        self.leases
            .iter()
            .filter(move |(_, lease)| lease.expires_at > now)
            .map(|(holder, _)| holder)
    }

    /// Drops the expired leases of processes for which `replaced` holds.
    pub fn prune(&mut self, now: Instant, replaced: impl Fn(&Holder) -> bool) {
        self.leases.retain(|holder, lease| lease.expires_at > now || !replaced(holder));
    }
}
