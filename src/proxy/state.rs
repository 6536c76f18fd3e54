//! What changes in a proxy: the fence, the declarations in force, and the instances with what is seen of them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::fence::Fence;
use super::gap::Gaps;
use super::pool::Pool;
use super::shared::Life;
use crate::clock::Instant;
use crate::config::Fleet;
use crate::id;
use crate::upstream::position::Status;
use crate::wire::{Demand, Epoch, Grant, Health, Observation, Replica};

/// What changes, under one lock that is never held over an `await`.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) fence: Fence,
    pub(super) gaps: Gaps,
    pub(super) fleet: Arc<Fleet>,
    pub(super) revision: id::Revision,
    pub(super) instances: BTreeMap<id::Instance, Instance>,
    /// When the next unchanged sighting is due, and of which instance it was last.
    pub(super) rotation: (Instant, Option<id::Instance>),
    /// Whether the lease has run out, so that each pool holds one connection.
    pub(super) lapsed: bool,
}

#[derive(Debug)]
pub(super) struct Instance {
    pub(super) replica: Replica,
    /// When it last announced itself to this proxy; it may be known from control's table alone.
    pub(super) announced: Option<Instant>,
    pub(super) status: Option<(Instant, Status)>,
    pub(super) life: Life,
    pub(super) trouble: Health,
    pub(super) good: Instant,
    /// When control last listed it.
    pub(super) listed: Option<Instant>,
    /// What control was told of it, and with which heartbeat.
    pub(super) told: Option<(id::Sequence, Health)>,
    pub(super) pool: Arc<Pool>,
}

/// How long until control has been told of every instance again, changed or not.
const ROTATION: Duration = Duration::from_secs(3);

impl State {
    /// Takes a grant into the fence; `gap` gets each failover that ended with it. Returns whether what is in force changed.
    pub(super) fn step(
        &mut self,
        now: Instant,
        grant: Grant,
        gap: impl Fn(id::Instance, Duration),
    ) -> bool {
        let routes = grant.delta.iter().flat_map(|delta| &delta.routes);
        let groups: Vec<id::Group> = routes.map(|route| route.group.clone()).collect();
        let before: Vec<Option<Epoch>> =
            groups.iter().map(|group| self.fence.epoch(group).cloned()).collect();
        let changed = self.fence.step(grant);
        for (group, before) in groups.iter().zip(before) {
            let Some(after) = self.fence.epoch(group) else {
                continue;
            };
            let primary = before.as_ref().and_then(|epoch| self.instances.get(&epoch.primary));
            let answered = primary.map(|instance| instance.good);
            if let Some((primary, time)) = self.gaps.step(now, before.as_ref(), after, answered) {
                gap(primary, time);
            }
        }
        changed
    }
}

impl State {
    /// Returns how many slots each instance of a group has.
    pub(super) fn slots(&self, group: &id::Group) -> u32 {
        self.fleet.group.get(group).map_or(1, |group| group.slots)
    }

    /// Keeps one connection to each instance once the lease has run out, since control gives the rest to others.
    pub(super) fn lapse(&mut self, now: Instant) {
        if self.fence.leased(now) || self.lapsed {
            return;
        }
        self.lapsed = true;
        for instance in self.instances.values() {
            let slots = self.slots(&instance.replica.group);
            instance.pool.limit(slots, 1);
        }
    }

    /// Collects what control is to hear of instances: what changed, until it is answered, and the rest in turn.
    pub(super) fn sightings(&mut self, now: Instant, sequence: id::Sequence) -> Vec<Observation> {
        let due = self.due(now);
        let mut sightings = Vec::new();
        for (name, instance) in &mut self.instances {
            let told = instance.told.is_some_and(|(told, trouble)| {
                self.fence.heard(told) && trouble == instance.trouble
            });
            if told && !due.contains(name) {
                continue;
            }
            instance.told = Some((sequence, instance.trouble));
            sightings.push(Observation {
                replica: instance.replica.clone(),
                trouble: instance.trouble,
                silent_ms: now.since(instance.good).as_millis() as u32,
                announced_ms: instance.announced.map(|at| now.since(at).as_millis() as u32),
            });
        }
        sightings
    }

    /// Returns the instances whose turn it is.
    fn due(&mut self, now: Instant) -> Vec<id::Instance> {
        let (next, last) = &self.rotation;
        if now < *next || self.instances.is_empty() {
            return Vec::new();
        }
        let step = ROTATION / self.instances.len() as u32;
        let passed = now.since(*next).as_micros() / step.as_micros().max(1);
        let count = (passed as usize + 1).min(self.instances.len());
        let after =
            self.instances.keys().filter(|name| last.as_ref().is_none_or(|last| *name > last));
        let due: Vec<id::Instance> =
            after.chain(self.instances.keys()).take(count).cloned().collect();
        self.rotation = (now + step, due.last().cloned());
        due
    }

    /// Tells how many connections each group holds and wants.
    pub(super) fn demand(&self) -> Vec<Demand> {
        let mut demands: BTreeMap<&id::Group, Demand> = BTreeMap::new();
        for instance in self.instances.values() {
            let group = &instance.replica.group;
            let (open, wanted, share) = instance.pool.demand();
            let demand = demands.entry(group).or_insert_with(|| Demand {
                group: group.clone(),
                wanted: 0,
                open: 0,
                share: 0,
            });
            demand.open = demand.open.max(open);
            demand.wanted = demand.wanted.max(wanted);
            demand.share = demand.share.max(share);
        }
        demands.into_values().collect()
    }
}
