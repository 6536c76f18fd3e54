//! How one group's connections are shared between proxies: by demand, and never more in all than an instance
//! takes, also while shares change. One machine for each group. See `docs/DESIGN.md`, "Connection budget".

use std::collections::BTreeMap;

use crate::id;
use crate::wire::Demand;

/// The connections to each instance that are kept for control's probe and its orders.
pub const CONTROL: u32 = 2;

/// The connections that each proxy's own watch of an instance takes.
pub const WATCH: u32 = 1;

/// The connections kept free, so that a new proxy gets one before others have shrunk.
pub const SPARE: u32 = 1;

/// The shares of one group.
#[derive(Debug, Default)]
pub struct Budget {
    holders: BTreeMap<id::Node, Holder>,
}

#[derive(Debug, Default)]
struct Holder {
    wanted: u32,
    /// What the table gives it.
    share: u32,
    /// The most it may have open, by every table that it may have in force.
    bound: u32,
    /// The table version that gave it this share.
    version: u64,
}

/// A proxy among whom connections are shared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The proxy.
    pub node: id::Node,
    /// Whether it may hold a lease.
    pub live: bool,
}

impl Budget {
    /// Takes a proxy's report; `table` is the version of this leader's table that the proxy has in force.
    pub fn report(&mut self, node: &id::Node, demand: &Demand, table: u64) {
        let fresh = || Holder { share: demand.share, bound: demand.share, ..Holder::default() };
        let holder = self.holders.entry(node.clone()).or_insert_with(fresh);
        holder.wanted = demand.wanted.next_power_of_two();
        if table >= holder.version {
            holder.bound = holder.share.max(demand.open);
        }
    }

    /// Shares anew. `version` is the table version that tells of it, `connections` what an instance takes. While
    /// `inherited`, proxies that have not reported may hold shares of an earlier leader, so nothing grows.
    /// Returns whether a share changed.
    pub fn step(
        &mut self,
        connections: u32,
        members: &[Member],
        inherited: bool,
        version: u64,
    ) -> bool {
        self.holders.retain(|node, _| members.iter().any(|member| member.node == *node));
        let unheard = members.iter().any(|member| !self.holders.contains_key(&member.node));
        let mut changed = false;
        for member in members.iter().filter(|member| !member.live) {
            changed |= self.lapse(&member.node, version);
        }
        let reserved = CONTROL + WATCH * members.len() as u32;
        let available = connections.saturating_sub(reserved);
        let targets = self.targets(members, available.saturating_sub(SPARE));
        changed |= self.shrink(&targets, version);
        if !(inherited && unheard) {
            changed |= self.grow(&targets, available, version);
        }
        changed
    }

    /// Returns a proxy's share.
    pub fn share(&self, node: &id::Node) -> u32 {
        self.holders.get(node).map_or(0, |holder| holder.share)
    }

    /// Returns the most connections that all proxies may have open together.
    pub fn bound(&self) -> u32 {
        self.holders.values().map(|holder| holder.bound).sum()
    }

    /// A proxy whose lease has run out keeps one connection.
    fn lapse(&mut self, node: &id::Node, version: u64) -> bool {
        let holder = self.holders.entry(node.clone()).or_default();
        let changed = holder.share != 1;
        let version = if changed { version } else { holder.version };
        *holder = Holder { wanted: 1, share: 1, bound: 1, version };
        changed
    }

    /// Gives each proxy one connection, then one after another to who has least of what it wants.
    fn targets(&self, members: &[Member], available: u32) -> BTreeMap<id::Node, u32> {
        let mut targets: BTreeMap<id::Node, u32> =
            members.iter().map(|member| (member.node.clone(), 1)).collect();
        let live: Vec<&Member> = members.iter().filter(|member| member.live).collect();
        for _ in members.len() as u32..available {
            let need = |member: &&&Member| {
                let wanted = self.holders.get(&member.node).map_or(1, |holder| holder.wanted);
                let share = targets[&member.node];
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
        for (node, holder) in &mut self.holders {
            let target = targets.get(node).copied().unwrap_or(1);
            if target < holder.share {
                holder.share = target;
                holder.version = version;
                changed = true;
            }
        }
        changed
    }

    fn grow(&mut self, targets: &BTreeMap<id::Node, u32>, available: u32, version: u64) -> bool {
        let mut changed = false;
        for (node, target) in targets {
            let free = available.saturating_sub(self.bound());
            let holder = self.holders.entry(node.clone()).or_default();
            let share = (*target).min(holder.bound + free);
            if share > holder.share {
                holder.share = share;
                holder.bound = holder.bound.max(share);
                holder.version = version;
                changed = true;
            }
        }
        changed
    }
}
