//! What a leader holds besides the log: leases, heartbeats, the table that proxies route by. It is soft state: a new
//! leader starts without it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::failover::{Group, Input, Output};
use super::lease::{LEASE, Leases};
use super::state::State;
use crate::clock::Instant;
use crate::config::Fleet;
use crate::id;
use crate::upstream::announcement;
use crate::wire::{Grant, Heartbeat, Replica, Stamp, Table};

/// The soft state of a leader.
#[derive(Debug, Default)]
pub(super) struct Leader {
    leases: Leases,
    pub(super) groups: BTreeMap<id::Group, Group>,
    pub(super) replicas: BTreeMap<id::Instance, (Instant, Replica)>,
    pub(super) proxies: BTreeMap<id::Node, SocketAddr>,
    pub(super) table: Table,
    pub(super) version: u64,
}

impl Leader {
    /// Begins a reign: each registered proxy may hold a lease that an earlier leader granted a moment ago.
    pub(super) fn elected(&mut self, now: Instant, state: &State) {
        *self = Self::default();
        for node in state.nodes.keys() {
            self.leases.grant(now, node, 0);
        }
    }

    /// Makes the table anew; its version grows when it differs.
    pub(super) fn refresh(&mut self, state: &State, fleet: &Fleet) {
        let table = Table {
            epochs: state.epochs.values().cloned().collect(),
            replicas: self.replicas.values().map(|(_, replica)| replica.clone()).collect(),
            draining: state.draining.iter().cloned().collect(),
            shares: shares(state, fleet),
            peaks: state.peaks.clone(),
        };
        if table != self.table || self.version == 0 {
            self.table = table;
            self.version += 1;
        }
    }

    /// Takes the heartbeat of a registered proxy and makes the grant that answers it.
    pub(super) fn heartbeat(
        &mut self,
        now: Instant,
        sender: &id::Node,
        heartbeat: &Heartbeat,
        (state, fleet, stamp): (&State, &Fleet, Stamp),
    ) -> Grant {
        self.proxies.insert(sender.clone(), heartbeat.address);
        self.sight(now, sender, heartbeat);
        self.refresh(state, fleet);
        let known = if heartbeat.seen.term == stamp.term { heartbeat.table } else { 0 };
        self.leases.grant(now, sender, known);
        Grant {
            stamp,
            sequence: Some(heartbeat.sequence),
            lease_ms: LEASE.as_millis() as u32,
            version: self.version,
            table: (known < self.version).then(|| self.table.clone()),
            revision: state.revision,
        }
    }

    fn sight(&mut self, now: Instant, node: &id::Node, heartbeat: &Heartbeat) {
        for sighting in &heartbeat.sightings {
            let replica = &sighting.replica;
            if let Some(ago) = sighting.announced_ms {
                let at = now - Duration::from_millis(u64::from(ago));
                self.announced(at, replica);
            }
            let group = self.groups.entry(replica.group.clone());
            let group = group.or_insert_with(|| Group::new(now, replica.group.clone()));
            let instance = replica.instance.clone();
            let trouble = sighting.trouble;
            group.step(now, Input::Reported { node: node.clone(), instance, trouble });
        }
        self.replicas.retain(|_, (at, _)| now.since(*at) < announcement::EXPIRY);
    }

    /// Notes an announcement that some proxy took at `at`.
    fn announced(&mut self, at: Instant, replica: &Replica) {
        match self.replicas.get_mut(&replica.instance) {
            Some((known, _)) if *known >= at => {}
            _ => {
                self.replicas.insert(replica.instance.clone(), (at, replica.clone()));
            }
        }
    }

    /// Tells the machines of all groups that time passed, and returns what is to be done.
    pub(super) fn tick(&mut self, now: Instant, state: &State, fleet: &Fleet) -> Vec<Output> {
        let fenced = self.leases.fenced(now, self.version);
        let mut outputs = Vec::new();
        for (name, group) in &mut self.groups {
            let Some(declared) = fleet.group.get(name) else {
                continue;
            };
            let epoch = state.epochs.get(name);
            let instances = declared.instances as usize;
            outputs.extend(group.step(now, Input::Tick { epoch, fenced, instances }));
        }
        outputs
    }
}

/// Shares each group's connections evenly between the proxies; one is left for control itself.
fn shares(state: &State, fleet: &Fleet) -> Vec<(id::Group, u32)> {
    let proxies = state.nodes.len().max(1) as u32;
    let share = |connections: u32| (connections.saturating_sub(1) / proxies).max(1);
    let groups = fleet.group.iter();
    groups.map(|(name, group)| (name.clone(), share(group.connections))).collect()
}
