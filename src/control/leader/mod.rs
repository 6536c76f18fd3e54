//! The leader's soft state: leases, heartbeats, and the table that proxies route by. It is not in the log, and a new
//! leader starts without it. See `docs/DESIGN.md`, "Leases".

mod quota;
mod reshare;
mod table;
pub mod turn;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::budget::Budget;
use super::failover::{Group, Input, Output, View};
use super::lease::{CONFIRMATION_VALIDITY, Holder, LEASE_DURATION, Leases};
use super::position::Positions;
use super::quota::Ledger;
use super::registry::{Registry, Verdict};
use super::serving::Choice;
use super::state::{Action, State};
use crate::clock::Instant;
use crate::config::{Fleet, QuotaBound};
use crate::id;
use crate::upstream::announcement;
use crate::wire::{Announcement, Demand, Grant, Heartbeat, Phase, Replica, Stamp};

/// How long a proxy may be silent before it is removed from the state, so that later leaders don't wait for its lease.
pub const PROXY_RETENTION: Duration = Duration::from_secs(600);

/// The interval after which the removal of a proxy that is still registered is proposed again.
const PROXY_REMOVAL_REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// The interval between two probes of an instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between two probes of an instance where each probe takes one of its slots, while its group has a
/// primary in force.
const SETTLED_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The maximum rate of probes of instances whose groups have no primary in force.
const MAX_PROBES_PER_S: u32 = 500;

/// The maximum rate of probes of instances whose groups have a primary in force.
const MAX_SETTLED_PROBES_PER_S: u32 = 250;

/// The interval at which instances that have stopped announcing themselves are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// The soft state of a leader.
#[derive(Debug, Default)]
pub struct Leader {
    elected_at: Instant,
    /// When the request was sent with which a majority last confirmed this leader.
    confirmed_at: Instant,
    leases: Leases,
    groups: BTreeMap<id::Group, Group>,
    /// The instances that announce themselves, each with the time of its latest announcement.
    replicas: BTreeMap<id::Instance, (Instant, Replica)>,
    proxies: BTreeMap<id::Node, Proxy>,
    /// Grows with each change of `replicas`.
    replicas_version: u64,
    /// The names of the instances of each group, from `replicas`.
    members: BTreeMap<id::Group, BTreeSet<id::Instance>>,
    /// The groups that the declarations name.
    declared: BTreeSet<id::Group>,
    routes: BTreeMap<id::Group, table::Entry>,
    /// The groups whose entries have to be made anew.
    stale: BTreeSet<id::Group>,
    rotation: turn::Rotation,
    /// The number of groups without a primary in force.
    unsettled: usize,
    budgets: BTreeMap<id::Group, Budget>,
    /// The proxies that serve each group.
    serving: BTreeMap<id::Group, Choice>,
    resharing: reshare::Pass,
    /// The proxies whose removal was proposed, and when.
    proposed_removals: BTreeMap<id::Node, Instant>,
    registry: Registry,
    /// The incarnations of the instances that announce themselves to control.
    incarnations: BTreeMap<id::Instance, id::Incarnation>,
    /// The levels of accounts with a quota, and what proxies hold of them.
    ledger: Ledger,
    /// The positions of primaries that proxies reported.
    positions: Positions,
    /// Whether instances announce themselves to control, so that they are in the log.
    has_enlisted: bool,
    /// When instances that are silent were last looked for.
    expired_at: Option<Instant>,
    /// The version of the table.
    version: u64,
    /// The proxies that should have the newest version without waiting for their next heartbeat.
    urgent: table::Recipients,
}

/// What a batch of committed commands has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// Anything, such as the declarations.
    All,
    /// No more than this.
    Some {
        /// The groups that commands name.
        groups: BTreeSet<id::Group>,
        /// Whether instances have come, gone or changed.
        instances: bool,
    },
}

impl Default for Scope {
    fn default() -> Self {
        Self::Some { groups: BTreeSet::new(), instances: false }
    }
}

impl Scope {
    /// Records a committed command.
    pub fn record(&mut self, action: &Action) {
        let Self::Some { groups, instances } = self else {
            return;
        };
        match action {
            Action::Freeze { group, .. }
            | Action::Thaw { group, .. }
            | Action::Claim { group, .. }
            | Action::Promote { group, .. }
            | Action::Adopt { group, .. } => {
                groups.insert(group.clone());
            }
            Action::Announce(announcement) => {
                groups.insert(announcement.replica.group.clone());
                *instances = true;
            }
            Action::Noop | Action::Register { .. } | Action::Member(_) => {}
            Action::Plan { .. }
            | Action::Confirm { .. }
            | Action::Declare(_)
            | Action::Forget { .. } => *self = Self::All,
        }
    }
}

/// The content of a proxy's newest heartbeat.
#[derive(Debug)]
struct Proxy {
    incarnation: id::Incarnation,
    sequence: id::Sequence,
    received_at: Instant,
    address: SocketAddr,
    /// The version of the table that the proxy has in force.
    table: u64,
    draining: bool,
    forwards: bool,
    /// The long part of the table that was sent last.
    attempt: Option<table::Attempt>,
}

impl Leader {
    /// Creates the state of a new leader. The first entry of the leader's own term must have been applied before, so
    /// that `state` has every decision of earlier leaders.
    pub fn new(now: Instant, state: &State, fleet: &Fleet) -> Self {
        let leases = Leases::new(now);
        let ledger = Ledger::new(now, QuotaBound::default());
        let mut leader =
            Self { elected_at: now, confirmed_at: now, leases, ledger, ..Self::default() };
        leader.refresh_table(now, state, fleet);
        leader
    }

    /// Records that a majority of the voters confirmed this leader in response to a request sent at `sent_at`. Without
    /// a new confirmation the leader stops granting leases after [`CONFIRMATION_VALIDITY`].
    pub fn confirm_leadership(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
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

    /// Returns the time before which statuses of a group's instances no longer count, if the group is known.
    pub fn readings_since(&self, group: &id::Group) -> Option<Instant> {
        self.groups.get(group).map(Group::readings_since)
    }

    /// Returns a number that grows with each change of [`Self::replicas`].
    pub fn replicas_version(&self) -> u64 {
        self.replicas_version
    }

    /// Returns the interval between two probes of an instance; `settled` if its group has a primary in force and each
    /// probe takes one of the instance's slots. With many instances it grows, so that probes have a bounded rate.
    pub fn probe_interval(&self, settled: bool) -> Duration {
        if settled {
            let paced =
                Duration::from_secs(1) / MAX_SETTLED_PROBES_PER_S * self.replicas.len() as u32;
            return paced.max(SETTLED_PROBE_INTERVAL);
        }
        let unsettled = self.replicas.len() * self.unsettled / self.groups.len().max(1);
        let paced = Duration::from_secs(1) / MAX_PROBES_PER_S * unsettled as u32;
        paced.max(PROBE_INTERVAL)
    }

    /// Handles an announcement that an instance sent to control.
    pub fn handle_announcement(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        state: &State,
    ) -> Verdict {
        self.registry.handle_announcement(now, announcement, state)
    }

    /// Returns the proxies whose lease has not expired.
    pub fn live_proxies(&self, now: Instant) -> BTreeSet<id::Node> {
        self.leases.live(now).map(|(node, _)| node.clone()).collect()
    }

    /// Handles a proxy's heartbeat and returns the grant that answers it. Returns none if this incarnation of the
    /// proxy isn't registered or its removal was proposed, if the proxy knows of a later leader, or if no majority has
    /// confirmed this leader recently.
    pub fn handle_heartbeat(
        &mut self,
        now: Instant,
        (sender, incarnation): Holder,
        heartbeat: &Heartbeat,
        (state, stamp): (&State, Stamp),
    ) -> Option<Grant> {
        let registered = state.nodes.get(&sender).is_some_and(|(known, _)| *known == incarnation);
        let outdated = heartbeat.seen.term > stamp.term;
        let unconfirmed = now.since(self.confirmed_at) > CONFIRMATION_VALIDITY;
        if !registered || outdated || unconfirmed || self.proposed_removals.contains_key(&sender) {
            return None;
        }
        let table = if heartbeat.seen.term == stamp.term { heartbeat.table } else { 0 };
        let holder = (sender.clone(), incarnation);
        let mut quota = Vec::new();
        if self.record_heartbeat(now, (&sender, incarnation), heartbeat, table) {
            self.record_observations(now, &sender, heartbeat);
            self.record_demands(&sender, &heartbeat.demand, table, state);
            quota = self.lease_tokens(now, &holder, heartbeat, stamp);
        }
        for report in &heartbeat.positions {
            // It makes no decision due by itself.
            if let Some(group) = self.groups.get_mut(&report.group) {
                group.step(now, Input::Acknowledged { mark: report.mark });
            }
        }
        if heartbeat.seen.term == stamp.term {
            heartbeat
                .positions
                .iter()
                .for_each(|report| self.positions.record_report(&holder, report));
        }
        self.positions.record_answer(now, &holder, heartbeat.sequence);
        let positions = self.positions.missing(now, heartbeat);
        let part = self.part(&sender, table);
        if !self.may_send(now, &sender, table, &part) {
            return None;
        }
        if !part.is_last {
            return Some(Self::update(stamp, incarnation, part, state.revision));
        }
        self.leases.grant(now, holder, table);
        Some(Grant {
            stamp,
            incarnation,
            sequence: Some(heartbeat.sequence),
            lease_ms: LEASE_DURATION.as_millis() as u32,
            version: part.version,
            delta: part.delta,
            revision: state.revision,
            quota,
            positions,
        })
    }

    /// Records a heartbeat and returns whether it is the proxy's newest. The observations and demands of an older
    /// heartbeat are outdated.
    fn record_heartbeat(
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
        let (draining, forwards) = (heartbeat.draining, heartbeat.forwards);
        let attempt = known.filter(|known| known.incarnation == incarnation);
        let attempt = attempt.and_then(|known| known.attempt);
        let proxy = Proxy {
            incarnation,
            sequence,
            received_at: now,
            address,
            table,
            draining,
            forwards,
            attempt,
        };
        self.proxies.insert(node.clone(), proxy);
        true
    }

    fn record_observations(&mut self, now: Instant, node: &id::Node, heartbeat: &Heartbeat) {
        for observation in &heartbeat.sightings {
            let replica = &observation.replica;
            if let Some(ago) = observation.announced_ms {
                let at = now - Duration::from_millis(u64::from(ago));
                self.record_announcement(now, at, replica);
            }
            if self.replica(&replica.instance) != Some(replica) {
                continue;
            }
            let (node, instance) = (node.clone(), replica.instance.clone());
            let report = Input::Reported { node, instance, health: observation.trouble };
            self.step(now, &replica.group, report);
        }
    }

    /// Records an announcement that a proxy received at `at`. As long as an instance renews its announcement, other
    /// announcements with the same name or the same address are ignored.
    fn record_announcement(&mut self, now: Instant, at: Instant, replica: &Replica) {
        if now.since(at) >= announcement::TTL {
            return;
        }
        let conflicts = |(at, known): &(Instant, Replica)| {
            now.since(*at) < announcement::TTL
                && known != replica
                && (known.instance == replica.instance || known.address == replica.address)
        };
        if self.replicas.values().any(conflicts) {
            return;
        }
        match self.replicas.get_mut(&replica.instance) {
            Some((known, same)) if same == replica => *known = (*known).max(at),
            _ => {
                self.insert_replica(at, replica.clone());
            }
        }
    }

    /// Records what connections a proxy holds and needs. The last proxy to report on a group makes its shares known, so
    /// they are updated without waiting for the interval.
    fn record_demands(&mut self, node: &id::Node, demands: &[Demand], table: u64, state: &State) {
        for demand in demands {
            let budget = self.budgets.entry(demand.group.clone()).or_default();
            let is_first_report = !budget.has_reported(node);
            if budget.record_demand(node, demand, table) {
                self.resharing.add(&demand.group);
            }
            if is_first_report && state.nodes.keys().all(|node| budget.has_reported(node)) {
                self.resharing.hasten();
            }
        }
    }

    /// Passes an input to a group's failover state machine.
    pub fn step(&mut self, now: Instant, name: &id::Group, input: Input<'_>) -> Vec<Output> {
        if !matches!(input, Input::Tick(_)) {
            self.rotation.add(name);
        }
        let group = self.groups.entry(name.clone());
        group.or_insert_with(|| Group::new(now, name.clone())).step(now, input)
    }

    /// Updates the soft state and all groups' failover state machines as time passes, and returns the actions to carry
    /// out.
    pub fn tick(&mut self, now: Instant, state: &State, fleet: &Fleet) -> Vec<Output> {
        self.reshare(now, state, fleet);
        self.expire_replicas(now);
        self.refresh_stale(state);
        let replaced = |holder: &Holder| {
            state.nodes.get(&holder.0).is_none_or(|(current, _)| *current != holder.1)
        };
        self.positions.retain(|holder| !replaced(holder));
        self.leases.prune(now, replaced);
        self.expire_tokens(now, state);
        let live = self.live_proxies(now);
        let mut outputs = self.propose_removals(now, state);
        outputs.extend(self.remove_silent(now, state));
        for name in self.turns(state) {
            let Some(declared) = fleet.group.get(&name) else {
                continue;
            };
            let known: Vec<id::Instance> = self.members(&name).cloned().collect();
            // The other proxies don't watch the instances, so their last reports are outdated.
            let listed = match self.serving.get(&name) {
                Some(Choice::Listed(listed)) => Some(live.intersection(listed).cloned().collect()),
                _ => None,
            };
            let observers = listed.as_ref().unwrap_or(&live);
            let view = View {
                epoch: state.epochs.get(&name),
                claim: state.claims.get(&name),
                fenced: self.is_fenced(now, &name, state),
                declared_instances: declared.instances as usize,
                known_instances: &known,
                durability: declared.durability,
                live_proxies: observers,
                draining: &state.draining,
            };
            if let Some(group) = self.groups.get_mut(&name) {
                group.set_promoted_outside(declared.promoted_outside);
            }
            let decided = self.step(now, &name, Input::Tick(view));
            if let Some(group) = self.groups.get_mut(&name) {
                outputs.extend(group.report_choice(now, view, &decided));
            }
            outputs.extend(decided);
        }
        outputs
    }

    /// Returns the groups whose failover state machines run now. Groups without a primary in force are always due.
    fn turns(&mut self, state: &State) -> Vec<id::Group> {
        self.unsettled = 0;
        for name in self.groups.keys() {
            let is_settled = state.epochs.get(name).is_some_and(|epoch| {
                epoch.phase == Phase::Active && !state.draining.contains(&epoch.primary)
            });
            if !is_settled {
                self.unsettled += 1;
                self.rotation.add(name);
            }
        }
        self.rotation.next(&self.groups)
    }

    /// Returns commands that remove the instances that have stopped announcing themselves.
    fn remove_silent(&mut self, now: Instant, state: &State) -> Vec<Output> {
        if self.expired_at.is_some_and(|at| now.since(at) < EXPIRY_INTERVAL) {
            return Vec::new();
        }
        self.expired_at = Some(now);
        let expired = self.registry.expire(now, state).into_iter();
        expired.map(|gone| Output::Submit(Action::Announce(gone))).collect()
    }

    /// Returns whether a group is frozen and no proxy can release an answer under an earlier term or phase of it.
    pub fn is_fenced(&self, now: Instant, group: &id::Group, state: &State) -> bool {
        let Some(entry) = self.routes.get(group) else {
            return false;
        };
        let in_table = entry.route.epoch.as_ref().map(|epoch| (epoch.term, epoch.phase));
        let decided = state.epochs.get(group).map(|epoch| (epoch.term, epoch.phase));
        let holders =
            state.nodes.iter().map(|(node, (incarnation, _))| (node.clone(), *incarnation));
        if decided.is_none_or(|(_, phase)| phase != Phase::Frozen) {
            return false;
        }
        in_table == decided && self.leases.is_fenced(now, entry.phase_version, holders)
    }

    /// Proposes to remove proxies that were silent for [`PROXY_RETENTION`]. From then on they get no lease until they
    /// are registered again.
    fn propose_removals(&mut self, now: Instant, state: &State) -> Vec<Output> {
        self.proposed_removals.retain(|node, _| state.nodes.contains_key(node));
        if now.since(self.elected_at) < PROXY_RETENTION {
            return Vec::new();
        }
        let has_recent_heartbeat = |node: &id::Node| {
            self.proxies
                .get(node)
                .is_some_and(|proxy| now.since(proxy.received_at) < PROXY_RETENTION)
        };
        let silent: Vec<id::Node> =
            state.nodes.keys().filter(|n| !has_recent_heartbeat(n)).cloned().collect();
        let mut outputs = Vec::new();
        for node in silent {
            let proposed = self.proposed_removals.get(&node);
            if proposed.is_none_or(|at| now.since(*at) >= PROXY_REMOVAL_REPEAT_INTERVAL) {
                self.proposed_removals.insert(node.clone(), now);
                outputs.push(Output::Submit(Action::Forget { node }));
            }
        }
        outputs
    }
}
