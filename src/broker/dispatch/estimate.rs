//! How fast the instances of a group work off the queue, how long a statement waits, and when a refused caller may
//! return, in the order by objective.

use std::time::Duration;

use super::candidate::Candidate;
use super::{Dispatcher, Request};
use crate::broker::need::Need;
use crate::clock::Instant;
use crate::config::Placement;
use crate::id;
use crate::schedule::Supply;

impl Dispatcher {
    /// Returns the instances that a statement could run on, whatever their load and positions.
    pub(super) fn eligible(
        &self,
        request: &Request,
    ) -> impl Iterator<Item = (&id::Instance, &Candidate)> {
        let need = request.need;
        self.candidates.iter().filter(move |(instance, candidate)| {
            candidate.usable && (need != Need::Primary || self.primary.as_ref() == Some(*instance))
        })
    }

    /// Returns whether an instance is expected to serve reads that any instance may serve.
    fn serves_reads(&self, now: Instant, instance: &id::Instance, candidate: &Candidate) -> bool {
        if self.placement == Placement::Estimated {
            return self.can_serve(now, instance, candidate, &Request::typical_read(now, u8::MIN));
        }
        let is_lagging = candidate.lagging_until.is_some_and(|until| now < until);
        candidate.usable && (!is_lagging || self.primary.as_ref() == Some(instance))
    }

    /// Records on which instances the waiting statements now wait.
    pub(super) fn update_drains(&mut self, now: Instant) {
        let (for_primary, for_any) = self.objective_waiting();
        let mut drains = match &mut self.objective {
            Some(objective) => std::mem::take(&mut objective.drains),
            None => return,
        };
        drains.retain(|instance, _| self.candidates.contains_key(instance));
        for (instance, candidate) in &self.candidates {
            let is_primary = self.primary.as_ref() == Some(instance);
            let is_waited_for = (is_primary && for_primary > 0)
                || (for_any > 0 && self.serves_reads(now, instance, candidate));
            let queueing = is_waited_for && !candidate.has_capacity(now);
            drains.entry(instance.clone()).or_default().set_queueing(now, queueing);
        }
        if let Some(objective) = &mut self.objective {
            objective.drains = drains;
        }
    }

    /// Returns how fast the instances that a statement may run on work off the queue.
    fn supply(&self, now: Instant, request: &Request) -> Supply {
        let rate = |(instance, candidate): (&id::Instance, &Candidate)| {
            let connections = candidate.allowed_connections(now);
            let assumed = f64::from(connections.min((candidate.window as u32).max(1)));
            let drain = self.objective.as_ref().and_then(|known| known.drains.get(instance));
            drain.map_or(assumed, |drain| drain.per_second(now, assumed))
        };
        let primary = self.primary.as_ref().and_then(|name| self.candidates.get_key_value(name));
        let primary_rate = primary.map_or(0.0, rate);
        let reads = self.candidates.iter();
        let reads = reads.filter(|(instance, known)| self.serves_reads(now, instance, known));
        let reads_rate: f64 = reads.map(rate).sum();
        let primary_of_reads = (primary_rate / reads_rate.max(f64::EPSILON)).min(1.0);
        match request.need {
            Need::Primary => {
                Supply { rate: primary_rate, primary_part: 1.0, any_part: primary_of_reads }
            }
            Need::AtLeast { .. } => {
                Supply { rate: reads_rate, primary_part: primary_of_reads, any_part: 1.0 }
            }
        }
    }

    /// Returns whether an instance that a statement may run on exists and accepts connections. If not, the wait doesn't
    /// depend on the queue.
    fn may_connect(&self, now: Instant, request: &Request) -> bool {
        self.eligible(request).any(|(_, candidate)| candidate.allowed_connections(now) > 0)
    }

    /// Estimates how long a statement waits in the order by objective.
    pub(super) fn estimate_by_objective(&self, now: Instant, request: &Request) -> Duration {
        let Some(objective) = self.objective.as_ref().filter(|_| self.may_connect(now, request))
        else {
            return self.estimate_wait(now, request);
        };
        let deadline = now + self.max_wait(request);
        let supply = self.supply(now, request);
        objective.queue.estimate(now, request.level(), &request.account, deadline, &supply)
    }

    /// Returns when a refused caller may return.
    pub(super) fn refuse_by_objective(
        &mut self,
        now: Instant,
        request: &Request,
        wait: Duration,
        max_wait: Duration,
    ) -> Duration {
        if !self.may_connect(now, request) {
            return wait;
        }
        let supply = self.supply(now, request);
        let at = (request.level(), request.ticket.0);
        let excess = wait.saturating_sub(max_wait);
        match &mut self.objective {
            Some(objective) => objective.queue.refuse(now, at, excess, &supply),
            None => wait,
        }
    }
}
