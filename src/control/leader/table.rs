//! The table that proxies route by: which part of it a command changes, and the parts that a proxy is sent.
//!
//! The load pattern: hundreds of groups are announced, promoted and shared out at once, as at a start or after a loss of
//! power, while hundreds of proxies fetch the table. Only the entries that a command changes are made anew, and a proxy
//! is sent them in parts of [`MAX_DELTA_BYTES`]. See `docs/DESIGN.md`, "Leases".

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::{Leader, Scope};
use crate::clock::Instant;
use crate::config::Fleet;
use crate::control::failover::Input;
use crate::control::state::State;
use crate::id;
use crate::upstream::announcement;
use crate::wire::{Delta, Grant, Replica, Route, Stamp};

/// The maximum size of the routes in one grant, before compression. A grant has to fit in a datagram, and the loss of one
/// should cost little on a narrow link.
pub const MAX_DELTA_BYTES: usize = 24 * 1024;

/// The size of the routes in a grant from which it is not sent again before [`RESEND_DELAY`] has passed.
const PACED_DELTA_BYTES: usize = 8 * 1024;

/// How long a part may be on its way before it is sent again; it doubles with each repeat.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// How often the delay doubles at most.
const MAX_RESEND_DOUBLINGS: u32 = 3;

/// The last time that a long part of the table was sent to a proxy.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    /// The version that the part begins at.
    since: u64,
    sent_at: Instant,
    /// How often the same part was sent before.
    repeats: u32,
}

/// A group's entry in the table.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) route: Route,
    /// The proxies that have a share of the connections.
    shares: BTreeMap<id::Node, u32>,
    /// The table version in which this entry last changed. No two entries have the same.
    version: u64,
    /// The table version in which the epoch's term or phase last changed.
    pub(super) phase_version: u64,
    /// The encoded size of the route.
    size: usize,
}

/// The proxies for which a change of the table is urgent.
#[derive(Debug)]
pub(super) enum Recipients {
    Every,
    Some(BTreeSet<id::Node>),
}

impl Default for Recipients {
    fn default() -> Self {
        Self::Some(BTreeSet::new())
    }
}

impl Recipients {
    fn includes(&self, node: &id::Node) -> bool {
        match self {
            Self::Every => true,
            Self::Some(nodes) => nodes.contains(node),
        }
    }
}

/// The part of the table that a proxy lacks.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) version: u64,
    pub(super) delta: Option<Delta>,
    /// Whether the proxy has the newest version after it has applied the part.
    pub(super) is_last: bool,
    size: usize,
}

impl Leader {
    /// Rebuilds the table from the replicated state, and increases its version if it has changed.
    pub fn refresh_table(&mut self, now: Instant, state: &State, fleet: &Fleet) {
        self.refresh_scope(now, &Scope::All, state, fleet);
    }

    /// Rebuilds what committed commands have touched.
    pub fn refresh_scope(&mut self, now: Instant, touched: &Scope, state: &State, fleet: &Fleet) {
        match touched {
            Scope::All => {
                self.ledger.configure(now, state.revision, &fleet.account);
                self.sync_replicas(now, state);
                self.stale.extend(fleet.group.keys().chain(state.epochs.keys()).cloned());
                if self.declared.len() != fleet.group.len()
                    || !self.declared.iter().eq(fleet.group.keys())
                {
                    self.declared = fleet.group.keys().cloned().collect();
                }
            }
            Scope::Some { groups, instances } => {
                if *instances {
                    self.sync_replicas(now, state);
                }
                self.stale.extend(groups.iter().cloned());
            }
        }
        self.refresh_stale(state);
    }

    /// Rebuilds the entries of the groups whose instances, epoch or serving proxies have changed.
    pub(super) fn refresh_stale(&mut self, state: &State) {
        for group in std::mem::take(&mut self.stale) {
            if self.declared.contains(&group) || state.epochs.contains_key(&group) {
                self.rotation.add(&group);
                self.refresh_group(group, state);
            }
        }
    }

    /// Drops the instances whose announcements to proxies have expired. Those that announce themselves to control are
    /// removed by a command.
    pub(super) fn expire_replicas(&mut self, now: Instant) {
        if self.has_enlisted {
            return;
        }
        let expired = |(at, _): &(Instant, Replica)| now.since(*at) >= announcement::TTL;
        let gone = self.replicas.iter().filter(|(_, known)| expired(known));
        let gone: Vec<id::Instance> = gone.map(|(instance, _)| instance.clone()).collect();
        gone.iter().for_each(|instance| self.remove_replica(instance));
    }

    /// Takes over the instances that are in the replicated state.
    fn sync_replicas(&mut self, now: Instant, state: &State) {
        self.has_enlisted |= !state.enlisted.is_empty();
        if !self.has_enlisted {
            return;
        }
        self.registry.refresh(now, state);
        self.record_restarts(now, state);
        let gone = self.replicas.keys().filter(|instance| !state.enlisted.contains_key(*instance));
        let gone: Vec<id::Instance> = gone.cloned().collect();
        gone.iter().for_each(|instance| self.remove_replica(instance));
        let changed = state.enlisted.values().filter(|known| {
            let replica = self.replica(&known.replica.instance);
            replica != Some(&known.replica)
        });
        let changed: Vec<Replica> = changed.map(|known| known.replica.clone()).collect();
        changed.into_iter().for_each(|replica| self.insert_replica(now, replica));
    }

    /// Tells the groups which of their instances have restarted under their names.
    fn record_restarts(&mut self, now: Instant, state: &State) {
        let incarnations = state.enlisted.iter().map(|(id, known)| (id.clone(), known.born));
        let earlier = std::mem::replace(&mut self.incarnations, incarnations.collect());
        for (instance, known) in &state.enlisted {
            if earlier.get(instance).is_some_and(|earlier| *earlier < known.born) {
                let instance = instance.clone();
                self.step(now, &known.replica.group, Input::Restarted { instance });
            }
        }
    }

    pub(super) fn insert_replica(&mut self, at: Instant, replica: Replica) {
        self.remove_replica(&replica.instance);
        self.stale.insert(replica.group.clone());
        let members = self.members.entry(replica.group.clone()).or_default();
        members.insert(replica.instance.clone());
        self.replicas_version += 1;
        self.replicas.insert(replica.instance.clone(), (at, replica));
    }

    fn remove_replica(&mut self, instance: &id::Instance) {
        let Some((_, replica)) = self.replicas.remove(instance) else {
            return;
        };
        self.replicas_version += 1;
        if let Some(members) = self.members.get_mut(&replica.group) {
            members.remove(instance);
            if members.is_empty() {
                self.members.remove(&replica.group);
            }
        }
        self.stale.insert(replica.group);
    }

    /// Returns the names of the instances of a group.
    pub(super) fn members(&self, group: &id::Group) -> impl Iterator<Item = &id::Instance> {
        self.members.get(group).into_iter().flatten()
    }

    pub(super) fn refresh_group(&mut self, group: id::Group, state: &State) {
        let replicas = self.members(&group).filter_map(|instance| self.replica(instance));
        let replicas: Vec<Replica> = replicas.cloned().collect();
        let drains = |replica: &&Replica| state.draining.contains(&replica.instance);
        let route = Route {
            epoch: state.epochs.get(&group).cloned(),
            draining: replicas.iter().filter(drains).map(|r| r.instance.clone()).collect(),
            replicas,
            share: 0,
            serving: self.serving(&group, state),
            peaks: state.peaks.iter().filter(|peak| peak.group == group).cloned().collect(),
            group: group.clone(),
        };
        let shares = self.budgets.entry(group.clone()).or_default().shares();
        let shares = shares.filter(|(node, _)| state.nodes.contains_key(*node));
        let shares: BTreeMap<id::Node, u32> =
            shares.map(|(node, share)| (node.clone(), share)).collect();
        let known = self.routes.get(&group);
        if known.is_some_and(|known| known.route == route && known.shares == shares) {
            return;
        }
        self.version += 1;
        let phase = |route: &Route| route.epoch.as_ref().map(|epoch| (epoch.term, epoch.phase));
        let same = known.filter(|known| phase(&known.route) == phase(&route));
        let phase_version = same.map_or(self.version, |known| known.phase_version);
        let has_other_drains = known.is_none_or(|known| known.route.draining != route.draining);
        if phase_version == self.version || has_other_drains {
            self.urgent = Recipients::Every;
        } else if let Recipients::Some(nodes) = &mut self.urgent {
            let earlier = |node| known.and_then(|known| known.shares.get(node)).copied();
            let grown = shares.iter().filter(|(node, share)| Some(**share) > earlier(node));
            nodes.extend(grown.map(|(node, _)| node.clone()));
        }
        let size = postcard::experimental::serialized_size(&route).unwrap_or(MAX_DELTA_BYTES);
        let entry = Entry { route, shares, version: self.version, phase_version, size };
        self.routes.insert(group, entry);
    }

    /// Returns whether proxies should get changes of the table without waiting for their next heartbeats.
    pub fn has_urgent_updates(&self) -> bool {
        match &self.urgent {
            Recipients::Every => true,
            Recipients::Some(nodes) => !nodes.is_empty(),
        }
    }

    /// Returns grants that bring the table to the proxies for which a change is urgent, without renewing their leases: to
    /// all after an epoch or a drain has changed, and otherwise to those whose shares have grown.
    pub fn table_updates(
        &mut self,
        now: Instant,
        stamp: Stamp,
        revision: id::Revision,
    ) -> Vec<(SocketAddr, Grant)> {
        let behind = self.proxies.iter().filter(|(_, proxy)| proxy.table < self.version);
        let urgent = std::mem::take(&mut self.urgent);
        let behind = behind.filter(|(node, _)| urgent.includes(node));
        let behind: Vec<id::Node> = behind.map(|(node, _)| node.clone()).collect();
        let mut grants = Vec::new();
        for node in behind {
            let Some(proxy) = self.proxies.get(&node) else { continue };
            let (address, incarnation, table) = (proxy.address, proxy.incarnation, proxy.table);
            let part = self.part(&node, table);
            if self.may_send(now, &node, table, &part) {
                grants.push((address, Self::update(stamp, incarnation, part, revision)));
            }
        }
        grants
    }

    /// Returns whether a part may be sent to a proxy that has acknowledged version `since`, and records that it is. A long
    /// one that is on its way already is not: the link of the proxy is busy with it.
    pub(super) fn may_send(
        &mut self,
        now: Instant,
        node: &id::Node,
        since: u64,
        part: &Part,
    ) -> bool {
        let Some(proxy) = self.proxies.get_mut(node).filter(|_| part.size > PACED_DELTA_BYTES)
        else {
            return true;
        };
        let last = proxy.attempt.filter(|attempt| attempt.since == since);
        let repeats = last.map_or(0, |attempt| attempt.repeats + 1);
        if let Some(last) = last {
            let delay = RESEND_DELAY * 2_u32.pow(last.repeats.min(MAX_RESEND_DOUBLINGS));
            if now.since(last.sent_at) < delay {
                return false;
            }
        }
        proxy.attempt = Some(Attempt { since, sent_at: now, repeats });
        true
    }

    /// Returns a grant that brings a part of the table and renews no lease.
    pub(super) fn update(
        stamp: Stamp,
        incarnation: id::Incarnation,
        part: Part,
        revision: id::Revision,
    ) -> Grant {
        Grant {
            stamp,
            incarnation,
            sequence: None,
            lease_ms: 0,
            version: part.version,
            delta: part.delta,
            revision,
            quota: Vec::new(),
            positions: Vec::new(),
        }
    }

    /// Returns the entries that changed after table version `since`, with the shares of `node`: the earliest ones, if
    /// together they exceed [`MAX_DELTA_BYTES`].
    pub(super) fn part(&self, node: &id::Node, since: u64) -> Part {
        if since >= self.version {
            return Part { version: self.version, delta: None, is_last: true, size: 0 };
        }
        let mut changed: Vec<&Entry> =
            self.routes.values().filter(|entry| entry.version > since).collect();
        changed.sort_unstable_by_key(|entry| entry.version);
        let mut size = 0;
        let fits = |entry: &&Entry| {
            size += entry.size;
            size <= MAX_DELTA_BYTES
        };
        let count = changed.iter().copied().take_while(fits).count().max(1).min(changed.len());
        let is_last = count == changed.len();
        let version = match changed[..count].last() {
            Some(entry) if !is_last => entry.version,
            _ => self.version,
        };
        let route = |entry: &&Entry| Route {
            share: entry.shares.get(node).copied().unwrap_or(0),
            ..entry.route.clone()
        };
        let routes = changed[..count].iter().map(route).collect();
        let size = changed[..count].iter().map(|entry| entry.size).sum();
        Part { version, delta: Some(Delta { since, routes }), is_last, size }
    }
}
