//! The leases of proxies: one for each proxy, covering all groups.
//!
//! A proxy counts its lease from when it sent the heartbeat; control counts from when it answered, and adds
//! [`MARGIN`]. So a lease that control holds for run out has run out at the proxy too, as long as their clocks
//! drift apart by less than the margin over one lease. See `docs/DESIGN.md`, "Leases".

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

/// How long a lease runs, from when the proxy sent its heartbeat.
pub const LEASE: Duration = Duration::from_millis(1_200);

/// How much longer control takes a lease to run, for clocks that drift apart.
pub const MARGIN: Duration = Duration::from_millis(100);

/// The leases that control has granted.
#[derive(Debug, Default)]
pub struct Leases {
    holders: BTreeMap<id::Node, Holder>,
}

#[derive(Debug)]
struct Holder {
    expires: Instant,
    table: u64,
}

impl Leases {
    /// Grants `node` a lease; `table` is the version that its heartbeat acknowledged.
    pub fn grant(&mut self, now: Instant, node: &id::Node, table: u64) {
        let holder = Holder { expires: now + LEASE + MARGIN, table };
        self.holders.insert(node.clone(), holder);
    }

    /// Tells whether no proxy can release anything under a table older than `version`: each one has
    /// acknowledged that version, or its lease has run out.
    pub fn fenced(&self, now: Instant, version: u64) -> bool {
        self.holders.values().all(|holder| holder.table >= version || holder.expires <= now)
    }

    /// Returns the proxies whose lease has not run out.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &id::Node> {
        self.holders.iter().filter(move |(_, holder)| holder.expires > now).map(|(node, _)| node)
    }
}
