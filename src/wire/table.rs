//! The routing table that a proxy keeps from the leader's grants.

use std::collections::{BTreeMap, BTreeSet};

use super::{Delta, Epoch, Peak, Replica, Route, Serving};
use crate::id;

/// The routing table, one entry for each group.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Table {
    routes: BTreeMap<id::Group, Route>,
    /// The groups whose entries are those of an earlier leader: the present one has sent a part of its table that doesn't
    /// name them.
    unconfirmed: BTreeSet<id::Group>,
}

impl Table {
    /// Returns the entries of all groups.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    /// Returns the entry of a group.
    pub fn route(&self, group: &id::Group) -> Option<&Route> {
        self.routes.get(group)
    }

    /// Returns the epoch of a group.
    pub fn epoch(&self, group: &id::Group) -> Option<&Epoch> {
        self.route(group)?.epoch.as_ref()
    }

    /// Returns the instances of all groups.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.routes().flat_map(|route| &route.replicas)
    }

    /// Returns whether the table lists exactly this instance.
    pub fn lists(&self, replica: &Replica) -> bool {
        self.route(&replica.group).is_some_and(|route| route.replicas.contains(replica))
    }

    /// Returns whether an instance is draining and accepts no new work.
    pub fn is_draining(&self, replica: &Replica) -> bool {
        let route = self.route(&replica.group);
        route.is_some_and(|route| route.draining.contains(&replica.instance))
    }

    /// Returns the proxies that serve a group.
    pub fn serving(&self, group: &id::Group) -> &Serving {
        self.route(group).map_or(&Serving::Undecided, |route| &route.serving)
    }

    /// Returns the receiver's share of the connections to each instance of a group.
    pub fn share(&self, group: &id::Group) -> u32 {
        self.route(group).map_or(0, |route| route.share)
    }

    /// Returns the peaks of a group that operators have confirmed and that have not ended.
    pub fn peaks(&self, group: &id::Group) -> &[Peak] {
        self.route(group).map_or(&[], |route| &route.peaks)
    }

    /// Applies a delta. A delta since version 0 begins a new table, of which it may be only a part: the other entries stay
    /// until [`Self::confirm`]. A group for which it has no decision on the serving proxies keeps the earlier one, and up
    /// to `max_kept_share` of the share that belongs to it.
    pub fn apply(&mut self, delta: Delta, max_kept_share: u32) {
        if delta.since == 0 {
            self.unconfirmed = self.routes.keys().cloned().collect();
        }
        for mut route in delta.routes {
            if route.serving == Serving::Undecided {
                route.serving = self.serving(&route.group).clone();
                route.share = self.share(&route.group).min(max_kept_share);
            }
            self.unconfirmed.remove(&route.group);
            self.routes.insert(route.group.clone(), route);
        }
    }

    /// Drops the entries of an earlier leader: the present one has sent all of its table.
    pub fn confirm(&mut self) {
        for group in std::mem::take(&mut self.unconfirmed) {
            self.routes.remove(&group);
        }
    }
}
