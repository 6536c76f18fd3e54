//! What is known of the instances of a group, and which of them runs a statement.

use std::time::Duration;

use smallvec::SmallVec;

use super::{Dispatcher, Request};
use crate::balance::choice;
use crate::balance::lag::{Advice, Lag};
use crate::balance::pace::Pace;
use crate::broker::need::Need;
use crate::clock::Instant;
use crate::config::Placement;
use crate::id;
use crate::proxy::floor::Mark;

/// The weight of a new sample in the mean duration is one part in this many.
const MEAN_WEIGHT_DIVISOR: u32 = 8;

/// An instance counts as queueing when the mean duration exceeds this many tenths of the duration without a queue.
const QUEUEING_THRESHOLD_TENTHS: u32 = 25;

/// With each statement the baseline rises by at most one part in this many: slowly, so that a lasting change becomes
/// the new baseline and a burst doesn't.
const BASELINE_RISE_DIVISOR: u32 = 512;

/// The mean duration assumed for an instance on which nothing has run yet.
pub(super) const INITIAL_MEAN: Duration = Duration::from_millis(15);

/// How long after the primary was at a mark a replica is assumed to have received it: a few times the usual replication
/// lag. A replica that hasn't received it refuses the statement, and then gets only statements whose mark it is known
/// to have.
pub const TYPICAL_LAG: Duration = Duration::from_millis(50);

/// How long a replica that lacked a mark gets only statements whose mark it is known to have.
pub const LAGGING_PERIOD: Duration = Duration::from_millis(300);

/// The least time between two reads of a group that a replica was asked for in vain. A replica that is behind is also
/// noticed by its answers to pings, so this may be rare.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// How long an instance that was full gets no statements.
pub const FULL_DELAY: Duration = Duration::from_millis(10);

/// How long no new connection is attempted after an instance refused one; after that, one more is allowed per period.
/// An instance takes up to three seconds to drop connections whose peer is gone.
pub const CONNECTION_RETRY_DELAY: Duration = Duration::from_millis(100);

/// For a read that both can serve, the primary's load counts this many times that of a replica.
const PRIMARY_COST_FACTOR: u32 = 3;

/// The mean time to open a connection that is assumed until one was opened. It was measured at the known deployments.
pub const INITIAL_CONNECT_MEAN: Duration = Duration::from_millis(12);

/// As [`PRIMARY_COST_FACTOR`], for the choice by estimates. With 1 the busiest instance had 1.5 times the mean load at a
/// load of 30 %, with 2 it had 1.15 times, with 1.5 1.11 times (tests/placement/instances.rs, one write in four).
const ESTIMATED_PRIMARY_COST_FACTOR: f64 = 1.5;

/// An instance that may run statements.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) permits: u32,
    /// The number of connections in use.
    pub(super) used: u32,
    /// The number of connections on which a statement runs. The others are idle in a transaction.
    pub(super) running: u32,
    /// The number of statements that may run at once.
    pub(super) window: f64,
    pub(super) usable: bool,
    pub(super) position: Option<Mark>,
    pub(super) lagging_until: Option<Instant>,
    pub(super) lag: Lag,
    pub(super) pace: Pace,
    pub(super) full_until: Option<Instant>,
    /// When a new connection was last refused, and the number of connections at that time.
    pub(super) refused_connection: Option<(Instant, u32)>,
    pub(super) mean_duration: Duration,
    /// The mean duration while the instance doesn't queue.
    pub(super) baseline: Duration,
    /// The mean time to open a connection.
    pub(super) mean_connect: Duration,
    pub(super) remote: bool,
}

impl Candidate {
    pub(super) fn new(permits: u32, usable: bool, remote: bool) -> Self {
        Self {
            permits,
            used: 0,
            running: 0,
            window: f64::from(permits.max(1)),
            usable,
            position: None,
            lagging_until: None,
            lag: Lag::default(),
            pace: Pace::default(),
            full_until: None,
            refused_connection: None,
            mean_duration: INITIAL_MEAN,
            baseline: INITIAL_MEAN,
            mean_connect: INITIAL_CONNECT_MEAN,
            remote,
        }
    }

    pub(super) fn has_capacity(&self, now: Instant) -> bool {
        self.used < self.allowed_connections(now) && self.running < (self.window as u32).max(1)
    }

    /// Returns the number of connections allowed now.
    pub(super) fn allowed_connections(&self, now: Instant) -> u32 {
        let Some((at, established)) = self.refused_connection else {
            return self.permits;
        };
        let extra = now.since(at).as_millis() / CONNECTION_RETRY_DELAY.as_millis();
        self.permits.min(established.saturating_add(extra as u32))
    }

    /// Returns the number of statements by which the load of the instance is judged if one more runs there. Another failure
    /// domain counts as a further one: bytes between domains cost, and means that differ by less say little about the next
    /// statement.
    fn weighted_running(&self) -> u32 {
        self.running + 1 + u32::from(self.remote)
    }

    /// Returns the time to open a connection if none of the account is idle.
    fn connect_cost(&self, instance: &id::Instance, request: &Request) -> Duration {
        if request.account.is_none() || request.warm.contains(instance) {
            return Duration::ZERO;
        }
        self.mean_connect
    }

    /// Records how long a statement took. While the instance appears to queue, the window shrinks by a tenth with each
    /// statement; otherwise it grows by one per window of statements.
    pub(super) fn record_duration(&mut self, duration: Duration) {
        self.mean_duration =
            (self.mean_duration * (MEAN_WEIGHT_DIVISOR - 1) + duration) / MEAN_WEIGHT_DIVISOR;
        self.baseline =
            self.mean_duration.min(self.baseline + self.baseline / BASELINE_RISE_DIVISOR);
        if self.mean_duration * 10 > self.baseline * QUEUEING_THRESHOLD_TENTHS {
            self.window = (self.window * 0.9).max(1.0);
        } else {
            self.window = (self.window + 1.0 / self.window).min(f64::from(self.permits.max(1)));
        }
    }
}

impl Dispatcher {
    /// Records how long it took to open a connection to an instance.
    pub fn record_connect(&mut self, instance: &id::Instance, duration: Duration) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            let former = candidate.mean_connect * (MEAN_WEIGHT_DIVISOR - 1);
            candidate.mean_connect = (former + duration) / MEAN_WEIGHT_DIVISOR;
        }
    }

    /// Returns the instance with a free permit that is expected to run a statement soonest.
    pub(super) fn place(&self, now: Instant, request: &Request) -> Option<id::Instance> {
        let free = |(instance, candidate): &(&id::Instance, &Candidate)| {
            self.has_capacity(now, instance, candidate, request)
                && !request.excluded.contains(instance)
                && self.can_serve(now, instance, candidate, request)
        };
        let cost = |(instance, candidate): &(&id::Instance, &Candidate)| {
            let load = candidate.mean_duration * candidate.weighted_running()
                + candidate.connect_cost(instance, request);
            let is_primary = self.primary.as_ref() == Some(*instance);
            if is_primary { load * PRIMARY_COST_FACTOR } else { load }
        };
        if self.placement == Placement::Estimated {
            return self.place_estimated(now, request, free);
        }
        let best = self.candidates.iter().filter(free).min_by_key(cost);
        best.map(|(instance, _)| instance.clone())
    }

    /// Returns whether an instance can run a statement with this requirement.
    pub(super) fn can_serve(
        &self,
        now: Instant,
        instance: &id::Instance,
        candidate: &Candidate,
        request: &Request,
    ) -> bool {
        if !candidate.usable || candidate.full_until.is_some_and(|until| now < until) {
            return false;
        }
        let is_primary = self.primary.as_ref() == Some(instance);
        match request.need {
            Need::Primary => is_primary,
            Need::AtLeast { .. } if is_primary => true,
            Need::AtLeast { mark, since } => {
                let has_mark = candidate.position.is_some_and(|position| position >= mark);
                if self.placement == Placement::Estimated {
                    return has_mark
                        || match candidate.lag.judge(now, since) {
                            Advice::Ready => true,
                            Advice::Trial => self.may_try(now, request),
                            Advice::Behind => false,
                        };
                }
                let lagging = candidate.lagging_until.is_some_and(|until| now < until);
                has_mark || (!lagging && now.since(since) >= TYPICAL_LAG)
            }
        }
    }

    /// Returns one of the instances that are `free`, by the estimated time that the statement would take there.
    fn place_estimated<'a>(
        &'a self,
        now: Instant,
        request: &Request,
        free: impl Fn(&(&'a id::Instance, &'a Candidate)) -> bool,
    ) -> Option<id::Instance> {
        let usable = self.candidates.values().filter(|candidate| candidate.usable);
        let least = usable.filter_map(|candidate| candidate.pace.mean()).min();
        let cost = |(instance, candidate): &(&id::Instance, &Candidate)| {
            let load = candidate.pace.estimate(now, self.ended, least)
                * candidate.weighted_running()
                + candidate.connect_cost(instance, request);
            let spared = self.primary.as_ref() == Some(*instance) && request.need != Need::Primary;
            if spared { load.mul_f64(ESTIMATED_PRIMARY_COST_FACTOR) } else { load }
        };
        let free: SmallVec<[_; 3]> = self.candidates.iter().filter(free).collect();
        let costs: SmallVec<[Duration; 3]> = free.iter().map(cost).collect();
        let at = match request.account {
            // Two random choices would often miss the only instance with an idle connection of the account. The proxies
            // don't choose alike, since each serves other accounts.
            Some(_) => (0..costs.len()).min_by_key(|at| costs[*at])?,
            None => choice::shorter_of_two(&costs, &mut fastrand::Rng::new())?,
        };
        Some(free[at].0.clone())
    }

    /// Returns whether a read may be sent to a replica that is behind and may have caught up.
    fn may_try(&self, now: Instant, request: &Request) -> bool {
        let last = self.lagging_at.is_none_or(|at| now.since(at) >= TRIAL_INTERVAL);
        let is_tried = |(instance, candidate): (&id::Instance, &Candidate)| {
            let is_behind = candidate.usable && candidate.lag.is_behind();
            is_behind && candidate.running > 0 && self.primary.as_ref() != Some(instance)
        };
        last && request.priority > self.highest_priority && !self.candidates.iter().any(is_tried)
    }
}
