//! The mutable state of a broker: decisions of the control plane, instances, and the queues of the groups.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use smallvec::SmallVec;
use smol::channel::Sender;

use super::connection::{Seats, SharedConnection};
use super::dispatch::{Dispatcher, Primary, Ticket};
use super::health::Health;
use super::home;
use super::identity::Keys;
use super::need::PositionSample;
use super::peer::Peers;
use super::pool::Pool;
use super::position::{Answers, MAX_REPORTED_AGE};
use super::quota::{self, Tokens};
use super::stranded::Stranded;
use crate::clock::Instant;
use crate::config::{Fleet, Placement, Scheduling};
use crate::id;
use crate::proxy::fence::{Fence, Verdict};
use crate::proxy::position_history::PositionHistory;
use crate::report::Event;
use crate::wire::{Demand, Epoch, Observation, Phase, Replica, Server, Serving, position};

/// The mutable state. Its lock is never held over an `await`.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) fence: Fence,
    pub(super) fleet: Arc<Fleet>,
    pub(super) revision: id::Revision,
    /// The keys of the accounts in `fleet`.
    pub(super) keys: Arc<Keys>,
    pub(super) instances: BTreeMap<id::Instance, Instance>,
    pub(super) groups: BTreeMap<id::Group, Group>,
    /// The proxies to which statements are forwarded.
    pub(super) peers: Peers,
    /// The sum of the rates that accounts are declared with.
    pub(super) rates: home::Rates,
    /// The tokens of accounts with a quota.
    pub(super) quota: Tokens,
    /// When the leader's answers to heartbeats were received.
    pub(super) answers: Answers,
    /// The operations that wait for a token.
    pub(super) quota_waiters: BTreeMap<Ticket, Sender<quota::Decision>>,
    /// Addresses of control processes, in addition to the seeds.
    pub(super) voters: Vec<SocketAddr>,
    /// Whether the lease was valid when it was last checked.
    pub(super) leased: bool,
    /// Whether callers should use another proxy.
    pub(super) stranded: Stranded,
    /// How statements are placed where chosen proxies serve a group.
    pub(super) placement: Placement,
    /// In which order the statements of a group start.
    pub(super) scheduling: Scheduling,
}

/// An instance of the routing table.
#[derive(Debug)]
pub(super) struct Instance {
    pub(super) replica: Replica,
    pub(super) idle: Pool<SharedConnection>,
    /// The connections of the pool, those in use, and those that are about to be opened.
    pub(super) seats: Seats,
    /// The connections that are being opened.
    pub(super) opening: Seats,
    pub(super) health: Health,
    /// Whether a ping is pending.
    pub(super) pinging: bool,
}

/// The queue of a group and the observed positions of its primary.
#[derive(Debug, Default)]
pub(super) struct Group {
    pub(super) dispatcher: Dispatcher,
    pub(super) positions: PositionHistory,
    /// The newest position that this proxy read from the primary by itself.
    pub(super) own_sample: Option<PositionSample>,
    pub(super) waiters: BTreeMap<Ticket, Sender<id::Instance>>,
    /// The maximum number of connections to each instance. It is 0 if other proxies serve the group.
    pub(super) permits: u32,
    /// While other proxies serve the group, the number of open connections that is reported, and the heartbeat that first
    /// reported it.
    reported_open: Option<(u32, id::Sequence)>,
    /// The term and the phase that were seen last.
    epoch: Option<(id::Term, Phase)>,
    /// The revision of the declarations from which the classes were taken, while they are ordered by objective.
    pub(super) ordered: Option<id::Revision>,
}

impl Instance {
    fn new(now: Instant, replica: Replica) -> Self {
        Self {
            replica,
            idle: Pool::default(),
            seats: Seats::default(),
            opening: Seats::default(),
            health: Health::new(now),
            pinging: false,
        }
    }
}

impl State {
    /// Applies the latest decisions of the control plane.
    pub(super) fn refresh(&mut self, now: Instant, node: &id::Node, domain: &id::Domain) {
        self.leased = self.fence.is_leased(now);
        let table = self.fence.table();
        let servers = table.routes().filter_map(|route| match &route.serving {
            Serving::Listed(servers) => Some(servers),
            Serving::Undecided | Serving::Every => None,
        });
        self.peers.retain(servers.flatten());
        self.instances.retain(|_, instance| table.lists(&instance.replica));
        for replica in table.replicas() {
            let group = self.groups.entry(replica.group.clone()).or_default();
            let permits = self.fence.permits(now, node, &replica.group);
            // An instance of a group that other proxies serve needs no state here, unless it has some left.
            if permits == 0 && !self.instances.contains_key(&replica.instance) {
                continue;
            }
            let known = self.instances.entry(replica.instance.clone());
            let instance = known.or_insert_with(|| Instance::new(now, replica.clone()));
            if group.permits == 0 && permits > 0 {
                // Nothing was known of the instance while other proxies served the group.
                instance.health.reset(now);
            }
            let usable = instance.health.is_usable() && !table.is_draining(replica);
            let remote = replica.domain != *domain;
            group.dispatcher.set_instance(&replica.instance, permits, usable, remote);
            let used = group.dispatcher.used(&replica.instance);
            instance.idle.prune(now, permits.saturating_sub(used) as usize);
        }
        for (name, group) in &mut self.groups {
            let permits = self.fence.permits(now, node, name);
            if std::mem::replace(&mut group.permits, permits) != permits {
                let servers = match table.serving(name) {
                    Serving::Listed(servers) => Some(servers.len()),
                    Serving::Undecided | Serving::Every => None,
                };
                Event::Share { group: name, permits, servers }.log(Level::Info);
            }
        }
        let highest_priority = self.fleet.priorities().first().copied();
        for (name, queue) in &mut self.groups {
            let placement = match table.serving(name) {
                Serving::Listed(_) => self.placement,
                Serving::Undecided | Serving::Every => Placement::Local,
            };
            queue.dispatcher.set_placement(placement, highest_priority.unwrap_or_default());
            let gone = |instance: &id::Instance| !self.instances.contains_key(instance);
            queue.dispatcher.retain(|instance| !gone(instance));
            let epoch = self.fence.epoch(name);
            let known = epoch.map(|epoch| (epoch.term, epoch.phase));
            if let Some(Epoch { group, term, phase, primary, .. }) = epoch
                && known != std::mem::replace(&mut queue.epoch, known)
                && queue.permits > 0
            {
                Event::Epoch { group, term: *term, phase: *phase, primary }.log(Level::Info);
            }
            let primary = match epoch.filter(|_| self.leased) {
                Some(Epoch { phase: Phase::Active, primary, .. }) => {
                    Primary::Available(primary.clone())
                }
                Some(Epoch { phase: Phase::Frozen, .. }) => Primary::Promoting,
                None => Primary::Unknown,
            };
            queue.dispatcher.set_primary(now, primary);
        }
        self.refresh_order(now);
    }

    /// Applies a change of one instance's health, without looking at the other groups: after a restart or a loss of power
    /// the health of each instance changes.
    pub(super) fn refresh_health(
        &mut self,
        now: Instant,
        (node, domain): (&id::Node, &id::Domain),
        name: &id::Instance,
    ) {
        let Some(instance) = self.instances.get(name) else {
            return;
        };
        let replica = &instance.replica;
        let permits = self.fence.permits(now, node, &replica.group);
        let usable = instance.health.is_usable() && !self.fence.table().is_draining(replica);
        let remote = replica.domain != *domain;
        let group = replica.group.clone();
        if let Some(queue) = self.groups.get_mut(&group) {
            queue.dispatcher.set_instance(name, permits, usable, remote);
        }
        self.advance(now, &group);
    }

    /// Returns whether the table allows fewer connections to some group than are in force.
    pub(super) fn has_shrunk_share(&self, now: Instant, node: &id::Node) -> bool {
        self.groups.iter().any(|(name, group)| self.fence.permits(now, node, name) < group.permits)
    }

    /// Returns whether this proxy serves a group by itself.
    pub(super) fn serves(&self, group: &id::Group) -> bool {
        self.groups.get(group).is_some_and(|group| group.permits > 0)
    }

    /// Returns whether a proxy other than `node` is known to serve a group.
    pub(super) fn is_served_elsewhere(&self, group: &id::Group, node: &id::Node) -> bool {
        match self.fence.table().serving(group) {
            Serving::Listed(servers) => servers.iter().any(|server| server.node != *node),
            Serving::Undecided | Serving::Every => false,
        }
    }

    /// Returns the proxies on which a statement of an account should run now: the usable homes of the account, or the
    /// next ones in its order. `node` is this proxy, which is usable while it serves the group. Empty if no serving
    /// proxy is usable, or if they aren't listed.
    ///
    /// Without contact to the control plane only proxies in the own failure domain count, if there are any: the domain is
    /// probably partitioned from the others.
    pub(super) fn homes(
        &mut self,
        now: Instant,
        (node, domain): (&id::Node, &id::Domain),
        group: &id::Group,
        account: &id::Account,
        excluded: &[id::Node],
    ) -> SmallVec<[Server; 4]> {
        let share = self.rates.share(self.revision, &self.fleet, account);
        let Serving::Listed(servers) = self.fence.table().serving(group) else {
            return SmallVec::new();
        };
        let serves = self.serves(group);
        let is_usable = |server: &Server| match server.node == *node {
            true => serves,
            false => !excluded.contains(&server.node) && !self.peers.is_avoided(now, &server.node),
        };
        let mut homes = home::servers(account, share, servers, domain);
        if self.stranded.is_stranded() {
            homes.keep_domain(domain);
        }
        homes.usable(is_usable)
    }

    /// Closes connections that stayed idle for too long.
    pub(super) fn prune(&mut self, now: Instant) {
        for instance in self.instances.values_mut() {
            instance.idle.prune(now, usize::MAX);
            let permits = self.groups.get(&instance.replica.group).map_or(0, |group| group.permits);
            instance.idle.prune_surplus(now, permits.div_ceil(2) as usize);
        }
    }

    /// Returns the term of the epoch if the instance is its primary and the lease is valid.
    pub(super) fn primary_term(
        &self,
        now: Instant,
        group: &id::Group,
        instance: &id::Instance,
    ) -> Option<id::Term> {
        let epoch = self.fence.epoch(group)?;
        let valid = self.fence.verdict(now, group, epoch.term) == Verdict::Release;
        (valid && epoch.primary == *instance).then_some(epoch.term)
    }

    /// Returns the earliest position sample of the primary that is no older than `age`.
    pub(super) fn sample(
        &self,
        now: Instant,
        group: &id::Group,
        age: Duration,
    ) -> Option<PositionSample> {
        let (requested_at, mark) = self.groups.get(group)?.positions.entry_for_age(now, age)?;
        Some(PositionSample { requested_at, mark })
    }

    /// Starts the waiting statements of a group that can run now.
    pub(super) fn advance(&mut self, now: Instant, name: &id::Group) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        for (ticket, instance) in group.dispatcher.advance(now) {
            let delivered =
                group.waiters.remove(&ticket).map(|waiter| waiter.try_send(instance.clone()));
            if !matches!(delivered, Some(Ok(()))) {
                group.dispatcher.release_ticket(now, ticket, &instance, None);
            }
        }
    }

    /// Returns the observations for a heartbeat: of the instances whose health changed, until the control plane has
    /// acknowledged the report.
    pub(super) fn observations(
        &mut self,
        now: Instant,
        sequence: id::Sequence,
    ) -> Vec<Observation> {
        let mut observations = Vec::new();
        for instance in self.instances.values_mut() {
            let group = self.groups.get(&instance.replica.group);
            if group.is_none_or(|group| group.permits == 0) {
                continue;
            }
            let acknowledged = |reported| self.fence.is_acknowledged(reported);
            let Some(health) = instance.health.report(now, sequence, acknowledged) else {
                continue;
            };
            observations.push(Observation {
                replica: instance.replica.clone(),
                trouble: health,
                silent_ms: instance.health.silence(now).as_millis() as u32,
                announced_ms: None,
            });
        }
        observations
    }

    /// Returns the newest positions that this proxy read from primaries, for a heartbeat to the leader of `term`.
    pub(super) fn position_reports(&self, now: Instant, term: id::Term) -> Vec<position::Report> {
        let report = |(name, group): (&id::Group, &Group)| {
            let PositionSample { requested_at, mark } = group.own_sample?;
            let is_recent = now.since(requested_at) < MAX_REPORTED_AGE;
            // A new leader can't date what was read before it answered, but learns how far the group got.
            let after = self.answers.last_before(term, requested_at).unwrap_or(position::UNDATED);
            is_recent.then(|| position::Report { group: name.clone(), mark, after })
        };
        self.groups.iter().filter_map(report).collect()
    }

    /// Records the answer of the leader of a term to a heartbeat, with positions that other proxies read from primaries.
    /// Returns whether a group had no recent position before.
    pub(super) fn record_answer(
        &mut self,
        now: Instant,
        (term, sequence): (id::Term, id::Sequence),
        positions: &[position::Known],
    ) -> bool {
        self.answers.record(now, term, sequence);
        let Some(sent_at) = self.fence.sent_at(sequence) else {
            return false;
        };
        let mut was_stale = false;
        for position::Known { group, mark, age_ms } in positions {
            if let Some(group) = self.groups.get_mut(group) {
                let requested_at = sent_at - Duration::from_millis(u64::from(*age_ms));
                was_stale |= group.positions.is_stale(requested_at);
                group.positions.record(requested_at, *mark);
            }
        }
        was_stale
    }

    /// Returns how many connections each group uses and needs, for a heartbeat: of the groups that this proxy serves, and,
    /// once it has the leader's table, of others until the leader has acknowledged the report. Naming each of hundreds of
    /// groups in every heartbeat would cost the leader more than all else.
    pub(super) fn demand(&mut self, sequence: id::Sequence) -> Vec<Demand> {
        let mut opened: BTreeMap<&id::Group, u32> = BTreeMap::new();
        for (name, instance) in &self.instances {
            let group = &instance.replica.group;
            let used = self.groups.get(group).map_or(0, |queue| queue.dispatcher.used(name));
            let most = opened.entry(group).or_default();
            *most = (*most).max(instance.idle.len() as u32 + used);
        }
        let mut demands = Vec::new();
        for (name, group) in &mut self.groups {
            let open = opened.get(name).copied().unwrap_or(0);
            let share = group.permits;
            let wanted = match share {
                0 => 0,
                _ => group.dispatcher.max_wanted().max(1),
            };
            // Each heartbeat since the first names the group, so an answer to any of them acknowledges the report.
            let first = group.reported_open.filter(|(known, first)| {
                share == 0 && *known == open && self.fence.is_for_current_leader(*first)
            });
            let is_acknowledged = first.is_some_and(|(_, first)| self.fence.is_acknowledged(first));
            if is_acknowledged || (share + open == 0 && !self.fence.is_complete()) {
                continue;
            }
            group.reported_open = (share == 0).then(|| first.unwrap_or((open, sequence)));
            demands.push(Demand { group: name.clone(), wanted, open, share });
        }
        demands
    }
}
