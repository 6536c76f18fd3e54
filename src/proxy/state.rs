//! The mutable state of a proxy: the write fence, the declarations in force, and the known instances.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::fence::Fence;
use super::gap::Gaps;
use super::pool::Pool;
use super::traffic::StatusConnection;
use crate::clock::Instant;
use crate::config::Fleet;
use crate::id;
use crate::upstream::status::Status;
use crate::wire::{Demand, Epoch, Grant, Health, Observation, Replica};

/// The mutable state of a proxy, under one lock that is never held across an `await`.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) fence: Fence,
    pub(super) gaps: Gaps,
    pub(super) fleet: Arc<Fleet>,
    pub(super) revision: id::Revision,
    pub(super) instances: BTreeMap<id::Instance, Instance>,
    /// When the next observation of an unchanged instance is due, and the instance that was last observed in rotation.
    pub(super) rotation: (Instant, Option<id::Instance>),
    /// Whether the lease has expired, so that each pool is limited to one connection.
    pub(super) lease_expired: bool,
}

#[derive(Debug)]
pub(super) struct Instance {
    pub(super) replica: Replica,
    /// When the instance last announced itself to this proxy; `None` if it is only known from the routing table.
    pub(super) announced: Option<Instant>,
    pub(super) status: Option<(Instant, Status)>,
    pub(super) status_connection: StatusConnection,
    pub(super) health: Health,
    /// When the instance last answered a status query, or became known.
    pub(super) last_answered: Instant,
    /// When the instance was last listed in the routing table.
    pub(super) listed: Option<Instant>,
    /// The sequence number of the heartbeat that last reported the instance, and the reported health.
    pub(super) last_reported: Option<(id::Sequence, Health)>,
    pub(super) pool: Arc<Pool>,
}

/// The period in which every instance is reported to the control plane again, even if its health is unchanged.
const REPORT_PERIOD: Duration = Duration::from_secs(3);

impl State {
    /// Applies a grant to the fence and passes each failover that it completes to `on_gap`. Returns whether the state
    /// in force changed.
    pub(super) fn apply_grant(
        &mut self,
        now: Instant,
        grant: Grant,
        on_gap: impl Fn(id::Instance, Duration),
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
            let answered = primary.map(|instance| instance.last_answered);
            if let Some((primary, duration)) = self.gaps.step(now, before.as_ref(), after, answered)
            {
                on_gap(primary, duration);
            }
        }
        changed
    }
}

impl State {
    /// Returns the number of slots of each instance of a group.
    pub(super) fn slots(&self, group: &id::Group) -> u32 {
        self.fleet.group.get(group).map_or(1, |group| group.slots)
    }

    /// Limits each pool to one connection once the lease has expired, since the control plane then gives the rest of
    /// the share to other proxies.
    pub(super) fn limit_expired_pools(&mut self, now: Instant) {
        if self.fence.is_leased(now) || self.lease_expired {
            return;
        }
        self.lease_expired = true;
        for instance in self.instances.values() {
            let slots = self.slots(&instance.replica.group);
            instance.pool.set_limits(slots, 1);
        }
    }

    /// Returns the observations for a heartbeat: of the instances whose health changed, until the control plane has
    /// acknowledged the report, and of the others in rotation.
    pub(super) fn observations(
        &mut self,
        now: Instant,
        sequence: id::Sequence,
    ) -> Vec<Observation> {
        let due = self.due_observations(now);
        let mut observations = Vec::new();
        for (name, instance) in &mut self.instances {
            let up_to_date = instance.last_reported.is_some_and(|(sequence, health)| {
                self.fence.is_acknowledged(sequence) && health == instance.health
            });
            if up_to_date && !due.contains(name) {
                continue;
            }
            instance.last_reported = Some((sequence, instance.health));
            observations.push(Observation {
                replica: instance.replica.clone(),
                trouble: instance.health,
                silent_ms: now.since(instance.last_answered).as_millis() as u32,
                announced_ms: instance.announced.map(|at| now.since(at).as_millis() as u32),
            });
        }
        observations
    }

    /// Returns the instances that are next in the rotation.
    fn due_observations(&mut self, now: Instant) -> Vec<id::Instance> {
        let (next, last) = &self.rotation;
        if now < *next || self.instances.is_empty() {
            return Vec::new();
        }
        let step = REPORT_PERIOD / self.instances.len() as u32;
        let passed = now.since(*next).as_micros() / step.as_micros().max(1);
        let count = (passed as usize + 1).min(self.instances.len());
        let after =
            self.instances.keys().filter(|name| last.as_ref().is_none_or(|last| *name > last));
        let due: Vec<id::Instance> =
            after.chain(self.instances.keys()).take(count).cloned().collect();
        self.rotation = (now + step, due.last().cloned());
        due
    }

    /// Returns the number of connections that are open, wanted and allowed per group.
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
