//! What a leader holds besides the log: leases, heartbeats, the table that proxies route by. It is soft state: a new
//! leader starts without it. See `docs/DESIGN.md`, "Leases".

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::budget::{Budget, Member, WATCH};
use super::failover::{Group, Input, Output, View};
use super::lease::{CONFIRMATION, LEASE, Leases, Life};
use super::registry::{Registry, Verdict};
use super::state::{Action, State};
use crate::clock::Instant;
use crate::config::Fleet;
use crate::id;
use crate::upstream::announcement;
use crate::wire::{Announcement, Delta, Demand, Grant, Heartbeat, Phase, Replica, Route, Stamp};

/// How often the connections are shared anew.
const RESHARE: Duration = Duration::from_millis(200);

/// How long a proxy is silent until it is forgotten, so that later leaders don't wait for it.
pub const FORGET: Duration = Duration::from_secs(600);

/// How long until a proxy is ordered to be forgotten again, when it is still registered.
const FORGET_REPEAT: Duration = Duration::from_secs(10);

/// The soft state of a leader.
#[derive(Debug, Default)]
pub struct Leader {
    elected: Instant,
    confirmed: Instant,
    leases: Leases,
    groups: BTreeMap<id::Group, Group>,
    replicas: BTreeMap<id::Instance, (Instant, Replica)>,
    proxies: BTreeMap<id::Node, Proxy>,
    routes: BTreeMap<id::Group, Routed>,
    budgets: BTreeMap<id::Group, Budget>,
    reshared: Option<Instant>,
    forgetting: BTreeMap<id::Node, Instant>,
    registry: Registry,
    /// Whether instances announce themselves to control, and the log has them.
    enlists: bool,
    version: u64,
}

/// What the newest heartbeat of a proxy said.
#[derive(Debug)]
struct Proxy {
    incarnation: id::Incarnation,
    sequence: id::Sequence,
    heard: Instant,
    address: SocketAddr,
    table: u64,
}

/// A group's part of the table.
#[derive(Debug)]
struct Routed {
    route: Route,
    shares: BTreeMap<id::Node, u32>,
    /// The version that this is since.
    version: u64,
    /// The version that the epoch's term and phase are since.
    phase_version: u64,
}

impl Leader {
    /// Starts to lead. It must be called after the first entry of the leader's own term was applied, so that
    /// `state` has every decision of earlier leaders.
    pub fn elected(now: Instant, state: &State, fleet: &Fleet) -> Self {
        let leases = Leases::new(now);
        let mut leader = Self { elected: now, confirmed: now, leases, ..Self::default() };
        leader.refresh(now, state, fleet);
        leader
    }

    /// Notes that a majority of the voters, asked at `asked`, confirmed that this leader leads. Without it no
    /// lease is granted for longer than [`CONFIRMATION`].
    pub fn confirmed(&mut self, asked: Instant) {
        self.confirmed = self.confirmed.max(asked);
    }

    /// Returns the version of the table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the instances that announce themselves.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values().map(|(_, replica)| replica)
    }

    /// Returns an instance that announces itself.
    pub fn replica(&self, instance: &id::Instance) -> Option<&Replica> {
        self.replicas.get(instance).map(|(_, replica)| replica)
    }

    /// Takes an announcement that came to control itself.
    pub fn hear(&mut self, now: Instant, said: &Announcement, state: &State) -> Verdict {
        self.registry.hear(now, said, state)
    }

    /// Returns the proxies whose lease has not run out.
    pub fn live(&self, now: Instant) -> BTreeSet<id::Node> {
        self.leases.live(now).map(|(node, _)| node.clone()).collect()
    }

    /// Makes the table anew from what was decided; its version grows when it differs.
    pub fn refresh(&mut self, now: Instant, state: &State, fleet: &Fleet) {
        self.enlists |= !state.enlisted.is_empty();
        if self.enlists {
            let enlisted = self.registry.replicas(now, state).into_iter();
            let named = enlisted.map(|(at, replica)| (replica.instance.clone(), (at, replica)));
            self.replicas = named.collect();
        } else {
            self.replicas.retain(|_, (at, _)| now.since(*at) < announcement::TTL);
        }
        let groups: BTreeSet<id::Group> =
            fleet.group.keys().chain(state.epochs.keys()).cloned().collect();
        for group in groups {
            self.refresh_group(group, state);
        }
    }

    fn refresh_group(&mut self, group: id::Group, state: &State) {
        let replicas = self.replicas().filter(|replica| replica.group == group);
        let replicas: Vec<Replica> = replicas.cloned().collect();
        let leaves = |replica: &&Replica| state.draining.contains(&replica.instance);
        let route = Route {
            epoch: state.epochs.get(&group).cloned(),
            draining: replicas.iter().filter(leaves).map(|r| r.instance.clone()).collect(),
            replicas,
            share: 0,
            peaks: state.peaks.iter().filter(|peak| peak.group == group).cloned().collect(),
            group: group.clone(),
        };
        let budget = self.budgets.entry(group.clone()).or_default();
        let shares = state.nodes.keys().map(|node| (node.clone(), budget.share(node))).collect();
        let known = self.routes.get(&group);
        if known.is_some_and(|known| known.route == route && known.shares == shares) {
            return;
        }
        self.version += 1;
        let phase = |route: &Route| route.epoch.as_ref().map(|epoch| (epoch.term, epoch.phase));
        let same = known.filter(|known| phase(&known.route) == phase(&route));
        let phase_version = same.map_or(self.version, |known| known.phase_version);
        self.routes.insert(group, Routed { route, shares, version: self.version, phase_version });
    }

    /// Takes the heartbeat of a proxy and makes the grant that answers it; there is none for a proxy that is not
    /// registered in this life, has heard of a later leader, or while no majority confirms that this one leads.
    pub fn heartbeat(
        &mut self,
        now: Instant,
        (sender, incarnation): Life,
        heartbeat: &Heartbeat,
        (state, stamp): (&State, Stamp),
    ) -> Option<Grant> {
        let registered = state.nodes.get(&sender).is_some_and(|(known, _)| *known == incarnation);
        let outdated = heartbeat.seen.term > stamp.term;
        let alone = now.since(self.confirmed) > CONFIRMATION;
        if !registered || outdated || alone || self.forgetting.contains_key(&sender) {
            return None;
        }
        let table = if heartbeat.seen.term == stamp.term { heartbeat.table } else { 0 };
        if self.note(now, (&sender, incarnation), heartbeat, table) {
            self.sight(now, &sender, heartbeat);
            self.demand(&sender, &heartbeat.demand, table);
        }
        self.leases.grant(now, (sender.clone(), incarnation), table);
        Some(Grant {
            stamp,
            incarnation,
            sequence: Some(heartbeat.sequence),
            lease_ms: LEASE.as_millis() as u32,
            version: self.version,
            delta: self.delta(&sender, table),
            revision: state.revision,
        })
    }

    /// Makes the grants that tell every proxy of the table at once, without renewing a lease.
    pub fn push(&self, stamp: Stamp, revision: id::Revision) -> Vec<(SocketAddr, Grant)> {
        let behind = self.proxies.iter().filter(|(_, proxy)| proxy.table < self.version);
        let grant = |(node, proxy): (&id::Node, &Proxy)| {
            let grant = Grant {
                stamp,
                incarnation: proxy.incarnation,
                sequence: None,
                lease_ms: 0,
                version: self.version,
                delta: self.delta(node, proxy.table),
                revision,
            };
            (proxy.address, grant)
        };
        behind.map(grant).collect()
    }

    /// Collects what changed after the version `since`, as `node` is to see it.
    fn delta(&self, node: &id::Node, since: u64) -> Option<Delta> {
        if since >= self.version {
            return None;
        }
        let changed = self.routes.values().filter(|routed| routed.version > since);
        let route = |routed: &Routed| Route {
            share: routed.shares.get(node).copied().unwrap_or(0),
            ..routed.route.clone()
        };
        Some(Delta { since, routes: changed.map(route).collect() })
    }

    /// Notes who sent a heartbeat; returns whether it is the newest of the proxy. What an older one says of
    /// instances and connections is out of date.
    fn note(
        &mut self,
        now: Instant,
        (node, incarnation): (&id::Node, id::Incarnation),
        heartbeat: &Heartbeat,
        table: u64,
    ) -> bool {
        let newest = (incarnation, heartbeat.sequence);
        let known = self.proxies.get(node);
        if known.is_some_and(|known| (known.incarnation, known.sequence) >= newest) {
            return false;
        }
        let (sequence, address) = (heartbeat.sequence, heartbeat.address);
        let proxy = Proxy { incarnation, sequence, heard: now, address, table };
        self.proxies.insert(node.clone(), proxy);
        true
    }

    fn sight(&mut self, now: Instant, node: &id::Node, heartbeat: &Heartbeat) {
        for sighting in &heartbeat.sightings {
            let replica = &sighting.replica;
            if let Some(ago) = sighting.announced_ms {
                let at = now - Duration::from_millis(u64::from(ago));
                self.announced(now, at, replica);
            }
            if self.replica(&replica.instance) != Some(replica) {
                continue;
            }
            let (node, instance) = (node.clone(), replica.instance.clone());
            let report = Input::Reported { node, instance, trouble: sighting.trouble };
            self.step(now, &replica.group, report);
        }
    }

    /// Notes an announcement that some proxy took at `at`. As long as an instance renews its announcement, one
    /// that gives its name or its address to something else is not believed.
    fn announced(&mut self, now: Instant, at: Instant, replica: &Replica) {
        if now.since(at) >= announcement::TTL {
            return;
        }
        let holds = |(at, known): &(Instant, Replica)| {
            now.since(*at) < announcement::TTL
                && known != replica
                && (known.instance == replica.instance || known.address == replica.address)
        };
        if self.replicas.values().any(holds) {
            return;
        }
        match self.replicas.get_mut(&replica.instance) {
            Some((known, same)) if same == replica => *known = (*known).max(at),
            _ => {
                self.replicas.insert(replica.instance.clone(), (at, replica.clone()));
            }
        }
    }

    fn demand(&mut self, node: &id::Node, demands: &[Demand], table: u64) {
        for demand in demands {
            let budget = self.budgets.entry(demand.group.clone()).or_default();
            budget.report(node, demand, table);
        }
    }

    /// Tells a group's machine what was seen.
    pub fn step(&mut self, now: Instant, name: &id::Group, input: Input<'_>) -> Vec<Output> {
        let group = self.groups.entry(name.clone());
        group.or_insert_with(|| Group::new(now, name.clone())).step(now, input)
    }

    /// Tells the machines of all groups that time passed, and returns what is to be done.
    pub fn tick(&mut self, now: Instant, state: &State, fleet: &Fleet) -> Vec<Output> {
        self.reshare(now, state, fleet);
        self.refresh(now, state, fleet);
        let over = |life: &Life| state.nodes.get(&life.0).is_none_or(|(now, _)| *now != life.1);
        self.leases.prune(now, over);
        let live = self.live(now);
        let mut outputs = self.forget(now, state);
        let silent = self.registry.silent(now, state).into_iter();
        outputs.extend(silent.map(|gone| Output::Submit(Action::Announce(gone))));
        let names: Vec<id::Group> = self.groups.keys().cloned().collect();
        for name in names {
            let Some(declared) = fleet.group.get(&name) else {
                continue;
            };
            let known = self.replicas().filter(|replica| replica.group == name);
            let known: Vec<id::Instance> = known.map(|r| r.instance.clone()).collect();
            let view = View {
                epoch: state.epochs.get(&name),
                claim: state.claims.get(&name),
                fenced: self.fenced(now, &name, state),
                instances: declared.instances as usize,
                known: &known,
                durability: declared.durability,
                live: &live,
                draining: &state.draining,
            };
            if let Some(group) = self.groups.get_mut(&name) {
                group.promoted_outside(declared.promoted_outside);
            }
            outputs.extend(self.step(now, &name, Input::Tick(view)));
        }
        outputs
    }

    /// Tells whether no proxy can release an answer of a group's earlier term or phase.
    pub fn fenced(&self, now: Instant, group: &id::Group, state: &State) -> bool {
        let Some(routed) = self.routes.get(group) else {
            return false;
        };
        let in_table = routed.route.epoch.as_ref().map(|epoch| (epoch.term, epoch.phase));
        let decided = state.epochs.get(group).map(|epoch| (epoch.term, epoch.phase));
        let lives = state.nodes.iter().map(|(node, (life, _))| (node.clone(), *life));
        let frozen = decided.is_some_and(|(_, phase)| phase == Phase::Frozen);
        frozen && in_table == decided && self.leases.fenced(now, routed.phase_version, lives)
    }

    /// Shares the connections of all groups anew.
    fn reshare(&mut self, now: Instant, state: &State, fleet: &Fleet) {
        if self.reshared.is_some_and(|at| now.since(at) < RESHARE) {
            return;
        }
        self.reshared = Some(now);
        let member = |(node, (life, _)): (&id::Node, &(id::Incarnation, id::Domain))| Member {
            node: node.clone(),
            live: self.leases.may_hold(now, &(node.clone(), *life)),
        };
        let members: Vec<Member> = state.nodes.iter().map(member).collect();
        let inherited = self.leases.inherited(now);
        for (name, group) in &fleet.group {
            let budget = self.budgets.entry(name.clone()).or_default();
            // Where instances are promoted outside, proxies watch them over the connections that they share.
            let unwatched = if group.promoted_outside { WATCH * members.len() as u32 } else { 0 };
            let connections = group.connections + unwatched;
            if budget.step(connections, &members, inherited, self.version + 1) {
                self.refresh_group(name.clone(), state);
            }
        }
    }

    /// Has proxies forgotten that were silent for long; from then on they get no lease until they are
    /// registered anew.
    fn forget(&mut self, now: Instant, state: &State) -> Vec<Output> {
        self.forgetting.retain(|node, _| state.nodes.contains_key(node));
        if now.since(self.elected) < FORGET {
            return Vec::new();
        }
        let heard = |node: &id::Node| {
            self.proxies.get(node).is_some_and(|proxy| now.since(proxy.heard) < FORGET)
        };
        let silent: Vec<id::Node> = state.nodes.keys().filter(|n| !heard(n)).cloned().collect();
        let mut outputs = Vec::new();
        for node in silent {
            let ordered = self.forgetting.get(&node);
            if ordered.is_none_or(|at| now.since(*at) >= FORGET_REPEAT) {
                self.forgetting.insert(node.clone(), now);
                outputs.push(Output::Submit(Action::Forget { node }));
            }
        }
        outputs
    }
}
