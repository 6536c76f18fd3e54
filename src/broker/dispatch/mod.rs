//! Chooses the instance of a group that runs a statement next, queues statements, and refuses those that would wait too
//! long.
//!
//! This is a state machine over permits, without I/O. Each instance has as many permits as this proxy may have
//! connections to it. The typical load is a burst at the ring of a school bell, when all callers come at once with
//! reads that any caught-up replica can serve and writes that only the primary can. One queue for all instances,
//! ordered by priority, keeps each permit busy. A statement that would wait longer than its maximum wait is refused on
//! arrival, with the time after which there is capacity. While there is no primary, writes wait, and reads are served
//! by the replicas ahead of them.
//!
//! When replicas fall behind, only the primary is left for all reads. The statements would then queue inside the
//! instance, where the delay can't be observed or predicted. So the number of statements that run on an instance
//! follows the time that they take there (`Candidate::record_duration`), which moves the wait into this queue, where it
//! can be estimated.

mod candidate;
mod estimate;
mod objective;
mod publish;
mod queue;

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use candidate::Candidate;
pub use candidate::{
    CONNECTION_RETRY_DELAY, FULL_DELAY, INITIAL_CONNECT_MEAN, LAGGING_PERIOD, TRIAL_INTERVAL,
    TYPICAL_LAG,
};
use objective::Objective;
use queue::Waiter;
pub use queue::{DEFAULT_RETRY_AFTER, TYPICAL_ELECTION, TYPICAL_PROMOTION};

use super::need::Need;
use crate::balance::lag::Observed;
use crate::clock::Instant;
use crate::config::Placement;
use crate::id;
use crate::proxy::floor::Mark;

/// The maximum number of statements that wait in one group. More are refused.
pub const MAX_WAITING: usize = 512;

/// The number of a statement within its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request of a statement for an instance.
#[derive(Debug, Clone)]
pub struct Request {
    /// The number of the statement.
    pub ticket: Ticket,
    /// What the statement requires of the instance.
    pub need: Need,
    /// The priority of its class. Lower values go first.
    pub priority: u8,
    /// How long the statement may wait for capacity.
    pub max_wait: Duration,
    /// How long the statement may wait for a primary that is being promoted.
    pub max_promotion_wait: Duration,
    /// The instances on which the statement failed already.
    pub excluded: SmallVec<[id::Instance; 2]>,
    /// The account whose statement it is, if the deployment has accounts.
    pub account: Option<id::Account>,
    /// The target latency of its class.
    pub target: Duration,
    /// The instances with an idle connection of the account.
    pub warm: SmallVec<[id::Instance; 3]>,
}

/// The decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The statement runs on this instance now.
    Start(id::Instance),
    /// The statement waits in the queue.
    Wait,
    /// The statement is refused. There is capacity after this time.
    Refuse(Duration),
}

/// The primary of a group, as far as this proxy may rely on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Primary {
    /// This instance is the primary.
    Available(id::Instance),
    /// Another instance is being promoted.
    Promoting,
    /// No primary is known: this proxy has no lease, or the group has no primary yet.
    Unknown,
}

/// The load of a group as seen by this proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// The number of waiting statements.
    pub waiting: usize,
    /// The number of connections in use.
    pub used: u32,
    /// The maximum number of connections.
    pub permits: u32,
}

/// The instances of one group and the statements that wait for them.
#[derive(Debug, Default)]
pub struct Dispatcher {
    candidates: BTreeMap<id::Instance, Candidate>,
    /// The primary, if this proxy may use it.
    primary: Option<id::Instance>,
    /// When the primary became unavailable, and whether a new one is being promoted.
    missing_since: Option<(Instant, bool)>,
    waiting: Vec<Waiter>,
    /// The waiting statements instead of `waiting`, if they are ordered by objective.
    objective: Option<Box<Objective>>,
    started: u64,
    placement: Placement,
    /// The number of statements whose durations were recorded.
    ended: u64,
    /// The highest priority that is declared, which is the lowest number.
    highest_priority: u8,
    /// When a replica last lacked a required mark.
    lagging_at: Option<Instant>,
}

impl Dispatcher {
    /// Adds an instance, or updates whether it may be used, its number of permits, and whether it is in another failure
    /// domain.
    pub fn set_instance(
        &mut self,
        instance: &id::Instance,
        permits: u32,
        usable: bool,
        remote: bool,
    ) {
        let candidate = self
            .candidates
            .entry(instance.clone())
            .or_insert_with(|| Candidate::new(permits, usable, remote));
        candidate.permits = permits;
        candidate.usable = usable;
        candidate.remote = remote;
    }

    /// Removes the instances for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&id::Instance) -> bool) {
        self.candidates.retain(|instance, _| keep(instance));
    }

    /// Sets how statements are placed, and the highest priority that is declared.
    pub fn set_placement(&mut self, placement: Placement, highest_priority: u8) {
        self.placement = placement;
        self.highest_priority = highest_priority;
    }

    /// Sets the primary, or the reason why none may be used.
    pub fn set_primary(&mut self, now: Instant, primary: Primary) {
        let unchanged = |since: Option<(Instant, bool)>, promoting| {
            since.filter(|(_, known)| *known == promoting).or(Some((now, promoting)))
        };
        self.missing_since = match &primary {
            Primary::Available(_) => None,
            Primary::Promoting => unchanged(self.missing_since, true),
            Primary::Unknown => unchanged(self.missing_since, false),
        };
        self.primary = match primary {
            Primary::Available(primary) => Some(primary),
            Primary::Promoting | Primary::Unknown => None,
        };
    }

    /// Returns the usable primary.
    pub fn primary(&self) -> Option<&id::Instance> {
        self.primary.as_ref()
    }

    /// Returns why there is no usable primary, or `None` if there is one.
    pub fn missing_primary(&self) -> Option<Primary> {
        let (_, promoting) = self.missing_since?;
        Some(if promoting { Primary::Promoting } else { Primary::Unknown })
    }

    /// Records the log position of an instance.
    pub fn set_position(&mut self, instance: &id::Instance, position: Mark) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.position = Some(position);
        }
    }

    /// Records that an instance lacked a required mark.
    pub fn record_lagging(&mut self, now: Instant, instance: &id::Instance) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.lagging_until = Some(now + LAGGING_PERIOD);
            self.lagging_at = Some(now);
        }
    }

    /// Records that an instance lacked the mark of a read that required `need`.
    pub fn record_lacking(&mut self, now: Instant, instance: &id::Instance, need: Need) {
        self.record_lagging(now, instance);
        if let Need::AtLeast { since, .. } = need
            && let Some(candidate) = self.candidates.get_mut(instance)
        {
            candidate.lag.record_refusal(now, now.since(since));
        }
    }

    /// Records what an answer of an instance shows about its lag. The primary is never behind itself.
    pub fn record_lag(&mut self, now: Instant, instance: &id::Instance, lag: Observed) {
        if self.primary.as_ref() != Some(instance)
            && let Some(candidate) = self.candidates.get_mut(instance)
        {
            candidate.lag.record(now, lag);
        }
    }

    /// Records that an instance had no capacity for a statement.
    pub fn record_full(&mut self, now: Instant, instance: &id::Instance) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.full_until = Some(now + FULL_DELAY);
        }
    }

    /// Records that an instance refused a new connection, whose permit is still held.
    pub fn record_refused_connection(&mut self, now: Instant, instance: &id::Instance) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            let established =
                candidate.used.saturating_sub(1).min(candidate.allowed_connections(now));
            candidate.refused_connection = Some((now, established));
        }
    }

    /// Returns the load of the group.
    pub fn load(&self) -> Load {
        let (for_primary, for_any) = self.objective_waiting();
        Load {
            waiting: self.waiting.len() + for_primary + for_any,
            used: self.candidates.values().map(|candidate| candidate.used).sum(),
            permits: self.candidates.values().map(|candidate| candidate.permits).sum(),
        }
    }

    /// Returns whether the permits of an instance are limited because it recently refused a new connection.
    pub fn is_connection_limited(&self, now: Instant, instance: &id::Instance) -> bool {
        self.candidates
            .get(instance)
            .is_some_and(|candidate| candidate.allowed_connections(now) < candidate.permits)
    }

    /// Returns the number of connections to an instance in use.
    pub fn used(&self, instance: &id::Instance) -> u32 {
        self.candidates.get(instance).map_or(0, |candidate| candidate.used)
    }

    /// Returns the number of connections in use on the instance that has the most.
    pub fn max_used(&self) -> u32 {
        self.candidates.values().map(|candidate| candidate.used).max().unwrap_or(0)
    }

    /// Returns the number of connections in use or needed on the instance that has the most.
    pub fn max_wanted(&self) -> u32 {
        let used = self.max_used();
        let needs_primary = |waiter: &&Waiter| waiter.request.need == Need::Primary;
        let ordered = self.objective_waiting();
        let for_primary = self.waiting.iter().filter(needs_primary).count() + ordered.0;
        let others = self.load().waiting - for_primary;
        let others = others / self.candidates.len().max(1);
        used + for_primary.max(others) as u32
    }

    /// Takes a permit for an instance if one is free, for a ping by the proxy.
    pub fn try_acquire(&mut self, now: Instant, instance: &id::Instance) -> bool {
        match self.candidates.get_mut(instance) {
            Some(candidate) if candidate.used < candidate.allowed_connections(now) => {
                candidate.used += 1;
                candidate.running += 1;
                true
            }
            _ => false,
        }
    }

    /// Starts a statement, queues it, or refuses it.
    pub fn submit(&mut self, now: Instant, request: Request) -> Decision {
        if self.objective.is_some() {
            return self.submit_by_objective(now, request);
        }
        if let Some(instance) = self.place(now, &request)
            && !self.is_preceded(now, &request)
        {
            self.start(&instance);
            return Decision::Start(instance);
        }
        let wait = self.estimate_wait(now, &request);
        if wait > self.max_wait(&request) || self.waiting.len() >= MAX_WAITING {
            return Decision::Refuse(wait);
        }
        self.waiting.push(Waiter { request, queued: now });
        Decision::Wait
    }

    /// Returns how long a statement may wait for what it is waiting for now.
    pub fn max_wait(&self, request: &Request) -> Duration {
        match self.missing_since {
            Some(_) if request.need == Need::Primary => request.max_promotion_wait,
            _ => request.max_wait,
        }
    }

    /// Removes a waiting statement and returns the estimated time until there is capacity for it.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) -> Duration {
        if self.objective.is_some() {
            return self.cancel_by_objective(now, ticket);
        }
        let found = self.waiting.iter().position(|waiter| waiter.request.ticket == ticket);
        let Some(at) = found else {
            return Duration::ZERO;
        };
        let Waiter { request, .. } = self.waiting.swap_remove(at);
        self.estimate_wait(now, &request)
    }

    /// Releases a permit. `duration` is how long a statement ran, or `None` if no duration should be recorded.
    pub fn release(&mut self, instance: &id::Instance, duration: Option<Duration>) {
        self.suspend(instance, duration);
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.used = candidate.used.saturating_sub(1);
        }
    }

    /// Records how long a statement took on an instance, for the estimates.
    pub fn record_duration(&mut self, now: Instant, instance: &id::Instance, duration: Duration) {
        self.ended += 1;
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.pace.record(now, self.ended, duration);
        }
    }

    /// Returns the mean duration of statements on the slowest instance over the mean of all, if the choice is by estimates.
    pub fn imbalance(&self) -> Option<f64> {
        let means: SmallVec<[f64; 3]> = self
            .candidates
            .values()
            .filter_map(|candidate| Some(candidate.pace.mean()?.as_secs_f64()))
            .collect();
        let sum: f64 = means.iter().sum();
        let is_known = self.placement == Placement::Estimated && sum > 0.0;
        is_known.then(|| means.iter().copied().fold(0.0, f64::max) * means.len() as f64 / sum)
    }

    /// Returns how old a read's mark must be for some replica to get the read, if that is learned.
    pub fn replica_lag(&self) -> Option<Duration> {
        let replicas = self
            .candidates
            .iter()
            .filter(|(instance, candidate)| {
                candidate.usable && self.primary.as_ref() != Some(*instance)
            })
            .map(|(_, candidate)| candidate.lag.bound());
        (self.placement == Placement::Estimated).then(|| replicas.min()).flatten()
    }

    /// Records that a transaction is idle between two statements: it keeps its connection but takes no slot.
    pub fn suspend(&mut self, instance: &id::Instance, duration: Option<Duration>) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.running = candidate.running.saturating_sub(1);
            duration.into_iter().for_each(|duration| candidate.record_duration(duration));
        }
    }

    /// Records that a transaction continues. It takes a slot without waiting, since other statements may wait for the
    /// resources that it holds.
    pub fn resume(&mut self, instance: &id::Instance) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.running += 1;
        }
    }

    /// Starts the statements that can run now, and returns them with their instances.
    pub fn advance(&mut self, now: Instant) -> SmallVec<[(Ticket, id::Instance); 2]> {
        let mut started = SmallVec::new();
        if self.objective.is_some() {
            started.extend(std::iter::from_fn(|| self.advance_by_objective(now)));
            return started;
        }
        while let Some((at, instance)) = self.next_start(now) {
            let waiter = self.waiting.swap_remove(at);
            self.start(&instance);
            started.push((waiter.request.ticket, instance));
        }
        started
    }

    fn start(&mut self, instance: &id::Instance) {
        self.started += 1;
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.used += 1;
            candidate.running += 1;
        }
    }
}
