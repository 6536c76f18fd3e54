//! What changes in a broker: control's decisions, the instances, and the groups' queues.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use smol::channel::Sender;

use super::dispatch::{Dispatch, Lead, Ticket};
use super::health::Health;
use super::idle::Idle;
use super::need::Sight;
use super::stranded::Stranded;
use crate::clock::Instant;
use crate::config::Fleet;
use crate::id;
use crate::proxy::fence::{Fence, Verdict};
use crate::proxy::position_history::PositionHistory;
use crate::report::Event;
use crate::wire::{Demand, Epoch, Observation, Phase, Replica};

/// What changes, under one lock that is never held over an `await`.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) fence: Fence,
    pub(super) fleet: Arc<Fleet>,
    pub(super) revision: id::Revision,
    pub(super) instances: BTreeMap<id::Instance, Instance>,
    pub(super) groups: BTreeMap<id::Group, Group>,
    /// Where control processes take frames, besides the seeds.
    pub(super) voters: Vec<SocketAddr>,
    /// Whether the lease was valid when it was last looked at.
    pub(super) leased: bool,
    /// Whether callers are better served elsewhere.
    pub(super) stranded: Stranded,
}

/// An instance of the table.
#[derive(Debug)]
pub(super) struct Instance {
    pub(super) replica: Replica,
    pub(super) idle: Idle,
    pub(super) health: Health,
    /// Whether it is being asked where it stands.
    pub(super) asked: bool,
}

/// A group's queue and what is known of its primary.
#[derive(Debug, Default)]
pub(super) struct Group {
    pub(super) dispatch: Dispatch,
    pub(super) trail: PositionHistory,
    pub(super) waiters: BTreeMap<Ticket, Sender<id::Instance>>,
    /// The term and the phase that were last seen.
    epoch: Option<(id::Term, Phase)>,
}

impl Instance {
    fn new(now: Instant, replica: Replica) -> Self {
        Self { replica, idle: Idle::default(), health: Health::new(now), asked: false }
    }
}

impl State {
    /// Takes over what control decided since the last time.
    pub(super) fn refresh(&mut self, now: Instant, domain: &id::Domain) {
        self.leased = self.fence.is_leased(now);
        let table = self.fence.table();
        let listed = |instance: &Instance| table.replicas.contains(&instance.replica);
        self.instances.retain(|_, instance| listed(instance));
        for replica in &table.replicas {
            let known = self.instances.entry(replica.instance.clone());
            let instance = known.or_insert_with(|| Instance::new(now, replica.clone()));
            let group = self.groups.entry(replica.group.clone()).or_default();
            let share = table.shares.iter().find(|(name, _)| *name == replica.group);
            let share = share.map_or(1, |(_, share)| *share);
            let permits = if self.leased { share.max(1) } else { 1 };
            let usable = instance.health.is_usable() && !table.draining.contains(&replica.instance);
            let far = replica.domain != *domain;
            group.dispatch.seat(&replica.instance, permits, usable, far);
            instance.idle.prune(now, permits as usize);
        }
        for (name, seen) in &mut self.groups {
            let gone = |seat: &id::Instance| !self.instances.contains_key(seat);
            seen.dispatch.retain(|seat| !gone(seat));
            let epoch = self.fence.epoch(name);
            let known = epoch.map(|epoch| (epoch.term, epoch.phase));
            if let Some(Epoch { group, term, phase, primary, .. }) = epoch
                && known != std::mem::replace(&mut seen.epoch, known)
            {
                Event::Epoch { group, term: *term, phase: *phase, primary }.log(Level::Info);
            }
            let lead = match epoch.filter(|_| self.leased) {
                Some(Epoch { phase: Phase::Active, primary, .. }) => Lead::Primary(primary.clone()),
                Some(Epoch { phase: Phase::Frozen, .. }) => Lead::Promoting,
                None => Lead::Nobody,
            };
            seen.dispatch.lead(now, lead);
        }
    }

    /// Closes connections that were not used for a while.
    pub(super) fn prune(&mut self, now: Instant) {
        for instance in self.instances.values_mut() {
            instance.idle.prune(now, usize::MAX);
        }
    }

    /// Returns the epoch's term when the instance is its primary and the lease is valid.
    pub(super) fn reign(
        &self,
        now: Instant,
        group: &id::Group,
        instance: &id::Instance,
    ) -> Option<id::Term> {
        let epoch = self.fence.epoch(group)?;
        let valid = self.fence.verdict(now, group, epoch.term) == Verdict::Release;
        (valid && epoch.primary == *instance).then_some(epoch.term)
    }

    /// Returns where the primary stood within `age`, as early as is known.
    pub(super) fn sight(&self, now: Instant, group: &id::Group, age: Duration) -> Option<Sight> {
        let (asked, mark) = self.groups.get(group)?.trail.entry_for_age(now, age)?;
        Some(Sight { asked, mark })
    }

    /// Starts what can run now.
    pub(super) fn advance(&mut self, now: Instant, name: &id::Group) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        for (ticket, instance) in group.dispatch.advance(now) {
            let told =
                group.waiters.remove(&ticket).map(|waiter| waiter.try_send(instance.clone()));
            if !matches!(told, Some(Ok(()))) {
                group.dispatch.release(&instance, None);
            }
        }
    }

    /// Collects what control is to hear of instances: what changed, until it is answered.
    pub(super) fn sightings(&mut self, now: Instant, sequence: id::Sequence) -> Vec<Observation> {
        let mut sightings = Vec::new();
        for instance in self.instances.values_mut() {
            let heard = |told| self.fence.is_acknowledged(told);
            let Some(trouble) = instance.health.report(now, sequence, heard) else {
                continue;
            };
            sightings.push(Observation {
                replica: instance.replica.clone(),
                trouble,
                silent_ms: instance.health.silence(now).as_millis() as u32,
                announced_ms: None,
            });
        }
        sightings
    }

    /// Tells how many connections each group holds and wants.
    pub(super) fn demand(&self) -> Vec<Demand> {
        let table = self.fence.table();
        let demand = |(name, group): (&id::Group, &Group)| {
            let share = table.shares.iter().find(|(known, _)| known == name);
            let share = share.map_or(0, |(_, share)| *share);
            let instances = self.instances.values().filter(|i| i.replica.group == *name);
            let idle = instances.map(|instance| instance.idle.len()).max().unwrap_or(0) as u32;
            let wanted = group.dispatch.wanted().max(1);
            Demand { group: name.clone(), wanted, open: idle.max(group.dispatch.used()), share }
        };
        self.groups.iter().map(demand).collect()
    }
}
