//! Shares one group's connections between proxies by demand. Together the proxies never open more connections than
//! an instance accepts, not even while shares change. Each group has its own state machine. See `docs/DESIGN.md`,
//! "Connection budget".

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::wire::Demand;

/// The connections to each instance that are reserved for control's probes and orders.
pub const CONTROL_CONNECTIONS: u32 = 2;

/// The connections to each instance that every proxy uses to watch it.
pub const WATCH_CONNECTIONS: u32 = 1;

/// The connections that are kept free, so that a new proxy gets one before the shares of others have shrunk.
pub const SPARE_CONNECTIONS: u32 = 1;

/// The shares of one group.
#[derive(Debug, Default)]
pub struct Budget {
    allocations: BTreeMap<id::Node, Allocation>,
}

#[derive(Debug, Default)]
struct Allocation {
    /// The number of connections that the proxy asked for.
    wanted: u32,
    /// The share in the newest table.
    share: u32,
    /// The most connections that the proxy may have open under any table that it may have in force.
    max_open: u32,
    /// The table version in which the proxy got this share.
    version: u64,
}

/// A proxy that takes part in the sharing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Participant {
    /// The proxy.
    pub node: id::Node,
    /// Whether the proxy may hold a lease.
    pub live: bool,
    /// Whether the proxy serves the group. One that doesn't gets no share, but may still have connections open.
    pub serves: bool,
    /// Whether the proxy may still keep a connection without a lease; see [`super::lease::UNLEASED_RETENTION`].
    pub retains: bool,
}

impl Budget {
    /// Records a proxy's demand; `table` is the version of this leader's table that the proxy has in force. Returns
    /// whether the shares may change by it.
    pub fn record_demand(&mut self, node: &id::Node, demand: &Demand, table: u64) -> bool {
        let new =
            || Allocation { share: demand.share, max_open: demand.share, ..Allocation::default() };
        let is_new = !self.allocations.contains_key(node);
        let allocation = self.allocations.entry(node.clone()).or_insert_with(new);
        let earlier = (allocation.wanted, allocation.max_open);
        allocation.wanted = demand.wanted.next_power_of_two();
        if table >= allocation.version {
            allocation.max_open = allocation.share.max(demand.open);
        }
        is_new || earlier != (allocation.wanted, allocation.max_open)
    }

    /// Updates the shares and returns whether any changed. `version` is the table version that will contain them, and
    /// `connections` the number that an instance accepts. While leases may be `inherited`, proxies that have not
    /// reported may hold shares from an earlier leader, so no share grows until all have reported, and then shares grow to
    /// half of the connections together, or one for each proxy.
    pub fn reshare(
        &mut self,
        connections: u32,
        participants: &[Participant],
        inherited: bool,
        version: u64,
    ) -> bool {
        let nodes: BTreeSet<&id::Node> =
            participants.iter().map(|participant| &participant.node).collect();
        self.allocations.retain(|node, _| nodes.contains(node));
        let unreported = participants
            .iter()
            .any(|participant| !self.allocations.contains_key(&participant.node));
        let mut changed = false;
        for participant in participants.iter().filter(|participant| !participant.live) {
            changed |= self.reclaim(participant, version);
        }
        let reserved = CONTROL_CONNECTIONS + WATCH_CONNECTIONS * participants.len() as u32;
        let available = connections.saturating_sub(reserved);
        let targets = self.targets(participants, available.saturating_sub(SPARE_CONNECTIONS));
        changed |= self.shrink(&targets, version);
        if !(inherited && unreported) {
            // If all VMs lost power, instances still count the connections that were open then, so that as many again may
            // not fit. Shares by demand would leave none for the last proxies.
            let targets =
                if inherited { self.targets(participants, available / 2) } else { targets };
            changed |= self.grow(&targets, available, version);
        }
        changed
    }

    /// Returns a proxy's share, or 0 for an unknown proxy.
    pub fn share(&self, node: &id::Node) -> u32 {
        self.allocations.get(node).map_or(0, |allocation| allocation.share)
    }

    /// Returns the proxies that have a share, with their shares.
    pub fn shares(&self) -> impl Iterator<Item = (&id::Node, u32)> {
        let shares = self.allocations.iter().map(|(node, allocation)| (node, allocation.share));
        shares.filter(|(_, share)| *share > 0)
    }

    /// Returns whether a proxy holds a share of the connections.
    pub fn holds_share(&self, node: &id::Node) -> bool {
        self.share(node) > 0
    }

    /// Returns whether a proxy has reported its demand.
    pub fn has_reported(&self, node: &id::Node) -> bool {
        self.allocations.contains_key(node)
    }

    /// Returns the most connections that all proxies may have open together.
    pub fn max_open(&self) -> u32 {
        self.allocations.values().map(|allocation| allocation.max_open).sum()
    }

    /// Reclaims the share of a proxy whose lease has expired, except for the connection that it keeps without a lease.
    fn reclaim(&mut self, participant: &Participant, version: u64) -> bool {
        let unreported = Allocation { max_open: 1, ..Allocation::default() };
        let allocation = self.allocations.entry(participant.node.clone()).or_insert(unreported);
        let share = u32::from(participant.serves);
        let max_open = match participant {
            Participant { serves: true, .. } => 1,
            Participant { retains: true, .. } => allocation.max_open.min(1),
            Participant { .. } => 0,
        };
        let changed = allocation.share != share;
        let version = if changed { version } else { allocation.version };
        *allocation = Allocation { wanted: 1, share, max_open, version };
        changed
    }

    /// Returns the target share of each proxy: one connection for every proxy that serves the group, then one at a time
    /// for the live one that has the smallest part of what it wants.
    fn targets(&self, participants: &[Participant], available: u32) -> BTreeMap<id::Node, u32> {
        let mut targets: BTreeMap<id::Node, u32> = participants
            .iter()
            .filter(|participant| participant.serves)
            .map(|participant| (participant.node.clone(), 1))
            .collect();
        let live: Vec<&Participant> = participants
            .iter()
            .filter(|participant| participant.live && participant.serves)
            .collect();
        let serving = participants.iter().filter(|participant| participant.serves).count();
        for _ in serving as u32..available {
            let need = |participant: &&&Participant| {
                let wanted = self
                    .allocations
                    .get(&participant.node)
                    .map_or(1, |allocation| allocation.wanted);
                let share = targets[&participant.node];
                let satisfied = share >= wanted;
                let part = if satisfied { share } else { share * 1_000 / wanted };
                (satisfied, part)
            };
            let Some(next) = live.iter().min_by_key(need) else {
                break;
            };
            *targets.entry(next.node.clone()).or_insert(1) += 1;
        }
        targets
    }

    fn shrink(&mut self, targets: &BTreeMap<id::Node, u32>, version: u64) -> bool {
        let mut changed = false;
        for (node, allocation) in &mut self.allocations {
            let target = targets.get(node).copied().unwrap_or(0);
            if target < allocation.share {
                allocation.share = target;
                allocation.version = version;
                changed = true;
            }
        }
        changed
    }

    fn grow(&mut self, targets: &BTreeMap<id::Node, u32>, available: u32, version: u64) -> bool {
        let mut changed = false;
        let mut max_open = self.max_open();
        for (node, target) in targets {
            let free = available.saturating_sub(max_open);
            let allocation = self.allocations.entry(node.clone()).or_default();
            let share = (*target).min(allocation.max_open + free);
            if share > allocation.share {
                allocation.share = share;
                max_open += share.saturating_sub(allocation.max_open);
                allocation.max_open = allocation.max_open.max(share);
                allocation.version = version;
                changed = true;
            }
        }
        changed
    }
}
