//! The order by objective: connects the scheduler to the instances of a group. See `docs/design/scheduling.md`.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use super::candidate::Candidate;
use super::queue::Waiter;
use super::{Decision, Dispatcher, MAX_WAITING, Request, Ticket};
use crate::broker::need::Need;
use crate::clock::Instant;
use crate::id;
use crate::proxy::floor::Mark;
use crate::schedule::{Drain, Entry, Lane, Level, Queue, Reason, Terms};

/// The places in the queue that only urgent statements may take: one in eight.
const URGENT_PLACES: usize = MAX_WAITING / 8;

/// The least permits of an instance from which one is kept for urgent statements. With fewer, a kept one would cost the
/// other classes half of their connections or more.
const MIN_PERMITS_FOR_RESERVE: u32 = 3;

/// The estimated wait up to which a statement waits, in fifths of its longest wait. The estimate is a mean, and waiting in
/// vain costs the caller the time to try another proxy: with all five, one short objective in a hundred more was missed
/// under six slots' worth of load.
const FAIR_WAIT_FIFTHS: u32 = 4;

/// A class that yields runs one statement at a time on an instance whose mean duration exceeds this many tenths of the
/// duration without a queue. Other proxies' statements of higher classes then queue there, which this proxy can't see.
const YIELD_TENTHS: u32 = 15;

/// The state of a group whose statements are ordered by objective.
#[derive(Debug, Default)]
pub(super) struct Objective {
    pub(super) queue: Queue<Waiter>,
    pub(super) drains: BTreeMap<id::Instance, Drain>,
}

impl Request {
    pub(super) fn level(&self) -> Level {
        Level { priority: self.priority, target: self.target }
    }

    fn lane(&self) -> Lane {
        match self.need {
            Need::Primary => Lane::Primary,
            Need::AtLeast { .. } => Lane::Any,
        }
    }
}

impl Objective {
    fn push(&mut self, now: Instant, waiter: Waiter, max_wait: Duration) {
        let request = &waiter.request;
        let (level, lane, account) = (request.level(), request.lane(), request.account.clone());
        let (ticket, deadline) = (request.ticket.0, waiter.queued + max_wait);
        self.queue.push(now, level, Entry { ticket, lane, account, deadline, item: waiter });
    }

    /// Returns whether an instance has capacity for a statement of a class. Urgent statements may exceed the number of
    /// statements that may run by one, if others run, and one connection is kept for them.
    pub(super) fn has_capacity(
        &self,
        now: Instant,
        (instance, candidate): (&id::Instance, &Candidate),
        level: Level,
    ) -> bool {
        let connections = candidate.allowed_connections(now);
        let window = (candidate.window as u32).max(1);
        let (used, running) = (candidate.used, candidate.running);
        if self.queue.is_urgent(level) {
            return used < connections && running <= window;
        }
        let kept = self.queue.has_urgent() && connections >= MIN_PERMITS_FOR_RESERVE;
        if used + u32::from(kept) >= connections || running >= window {
            return false;
        }
        let most = self.queue.terms(level).most;
        let limit = ((f64::from(candidate.permits) * most) as u32).max(1);
        most >= 1.0 || self.queue.held(instance, |other| other == level) < limit
    }
}

impl Dispatcher {
    /// Orders statements by objective, with the declared classes of the group, or by priority alone if `classes` is
    /// `None`. Statements that wait already stay accepted.
    pub fn set_classes(&mut self, now: Instant, classes: Option<&[(Level, Terms)]>) {
        match (classes, self.objective.take()) {
            (Some(classes), known) => {
                let mut objective = known.unwrap_or_default();
                objective.queue.declare(classes);
                self.objective = Some(objective);
                for waiter in std::mem::take(&mut self.waiting) {
                    let max_wait = self.max_wait(&waiter.request);
                    if let Some(objective) = &mut self.objective {
                        objective.push(now, waiter, max_wait);
                    }
                }
            }
            (None, Some(mut known)) => {
                self.waiting.extend(known.queue.drain().into_iter().map(|entry| entry.item));
            }
            (None, None) => {}
        }
    }

    /// Returns whether statements are ordered by objective.
    pub fn orders_by_objective(&self) -> bool {
        self.objective.is_some()
    }

    /// Returns the number of statements that wait for the primary and for any instance in the order by objective.
    pub(super) fn objective_waiting(&self) -> (usize, usize) {
        self.objective.as_ref().map_or((0, 0), |objective| objective.queue.waiting())
    }

    /// Returns the reason why a statement that can't start now is refused.
    pub fn refusal_reason(&self, now: Instant, request: &Request) -> Reason {
        if request.need == Need::Primary && self.primary.is_none() {
            return Reason::NoPrimary;
        }
        let places = MAX_WAITING - if self.is_urgent(request) { 0 } else { URGENT_PLACES };
        if self.load().waiting >= places {
            return Reason::QueueFull;
        }
        let mut eligible = self.eligible(request).peekable();
        let is_limited = |(_, candidate): (&id::Instance, &Candidate)| {
            candidate.allowed_connections(now) <= candidate.used
        };
        if eligible.peek().is_some() && eligible.all(is_limited) {
            return Reason::Connections;
        }
        Reason::Overload
    }

    fn is_urgent(&self, request: &Request) -> bool {
        self.objective.as_ref().is_some_and(|known| known.queue.is_urgent(request.level()))
    }

    /// Returns whether an instance has capacity for a statement.
    pub(super) fn has_capacity(
        &self,
        now: Instant,
        instance: &id::Instance,
        candidate: &Candidate,
        request: &Request,
    ) -> bool {
        match &self.objective {
            None => candidate.has_capacity(now),
            Some(objective) => objective.has_capacity(now, (instance, candidate), request.level()),
        }
    }

    /// Returns the instance on which a statement starts, unless it yields there to statements of other proxies. One that
    /// has waited for half of its longest wait no longer yields, so that a proxy with a long queue gets a greater part of
    /// the instance than one with a short queue.
    fn place_unless_yielding(
        &self,
        now: Instant,
        request: &Request,
        deadline: Instant,
    ) -> Option<id::Instance> {
        let instance = self.place(now, request)?;
        let candidate = self.candidates.get(&instance)?;
        let is_queueing = candidate.mean_duration * 10 > candidate.baseline * YIELD_TENTHS;
        let is_pressed = deadline.since(now) < request.max_wait / 2;
        let yields =
            self.objective.as_ref().is_some_and(|known| known.queue.yields(request.level()));
        let waits = yields && is_queueing && !is_pressed && candidate.running > 0;
        (!waits).then_some(instance)
    }

    /// Starts a statement, queues it or refuses it, in the order by objective.
    pub(super) fn submit_by_objective(&mut self, now: Instant, request: Request) -> Decision {
        let level = request.level();
        if let Some(instance) = self.place_unless_yielding(now, &request, now + request.max_wait)
            && !self.next_by_objective(now).is_some_and(|(other, _, _)| {
                self.objective.as_ref().is_some_and(|known| known.queue.precedes(other, level))
            })
        {
            self.start(&instance);
            self.start_by_objective(now, &request, &instance);
            self.update_drains(now);
            return Decision::Start(instance);
        }
        let max_wait = self.max_wait(&request);
        let wait = self.estimate_by_objective(now, &request);
        let places = MAX_WAITING - if self.is_urgent(&request) { 0 } else { URGENT_PLACES };
        if wait * 5 > max_wait * FAIR_WAIT_FIFTHS || self.objective_len() >= places {
            return Decision::Refuse(self.refuse_by_objective(now, &request, wait, max_wait));
        }
        if let Some(objective) = &mut self.objective {
            objective.push(now, Waiter { request, queued: now }, max_wait);
        }
        self.update_drains(now);
        Decision::Wait
    }

    /// Removes a waiting statement and returns when its caller may return.
    pub(super) fn cancel_by_objective(&mut self, now: Instant, ticket: Ticket) -> Duration {
        let entry = self.objective.as_mut().and_then(|known| known.queue.remove(ticket.0));
        let Some(Entry { item: Waiter { request, .. }, .. }) = entry else {
            return Duration::ZERO;
        };
        self.update_drains(now);
        let wait = self.estimate_by_objective(now, &request);
        let max_wait = self.max_wait(&request);
        self.refuse_by_objective(now, &request, wait, max_wait)
    }

    /// Returns the statement to start next, its class and its instance.
    pub(super) fn next_by_objective(&self, now: Instant) -> Option<(Level, u64, id::Instance)> {
        let objective = self.objective.as_ref().filter(|known| !known.queue.is_empty())?;
        let open = |level: Level| {
            let has_capacity = |(instance, candidate): (&id::Instance, &Candidate)| {
                candidate.usable && objective.has_capacity(now, (instance, candidate), level)
            };
            let primary = self.primary.as_ref();
            let primary = primary.and_then(|primary| self.candidates.get_key_value(primary));
            (primary.is_some_and(has_capacity), self.candidates.iter().any(has_capacity))
        };
        // A statement that needs an equal or later mark than one that found no instance finds none either.
        let failed: Cell<Option<(Level, Mark, Instant)>> = Cell::new(None);
        let start = |level: Level, entry: &Entry<Waiter>| {
            let request = &entry.item.request;
            let Need::AtLeast { mark, since } = request.need else {
                return self.place_unless_yielding(now, request, entry.deadline);
            };
            let is_hopeless = failed.get().is_some_and(|(failed_level, failed, failed_since)| {
                failed_level == level && mark >= failed && since >= failed_since
            });
            if is_hopeless {
                return None;
            }
            let placed = self.place_unless_yielding(now, request, entry.deadline);
            if placed.is_none() && request.excluded.is_empty() {
                failed.set(Some((level, mark, since)));
            }
            placed
        };
        objective.queue.next(now, open, start)
    }

    /// Starts the statement that is next in the order by objective, if one can run now.
    pub(super) fn advance_by_objective(&mut self, now: Instant) -> Option<(Ticket, id::Instance)> {
        let Some((level, ticket, instance)) = self.next_by_objective(now) else {
            // Only now, so that what started counts as drained from the queue that there was before.
            self.update_drains(now);
            return None;
        };
        self.start(&instance);
        let objective = self.objective.as_mut()?;
        let entry = objective.queue.remove(ticket)?;
        let account = entry.account;
        let work = objective.queue.start(now, (level, ticket), account, instance.clone());
        objective.drains.entry(instance.clone()).or_default().start(now, work);
        Some((Ticket(ticket), instance))
    }

    fn start_by_objective(&mut self, now: Instant, request: &Request, instance: &id::Instance) {
        if let Some(objective) = &mut self.objective {
            let (level, ticket) = (request.level(), request.ticket.0);
            let account = request.account.clone();
            let work = objective.queue.start(now, (level, ticket), account, instance.clone());
            objective.drains.entry(instance.clone()).or_default().start(now, work);
        }
    }

    /// Releases the permit of a statement. `duration` is how long it ran, or `None` if that is not known.
    pub fn release_ticket(
        &mut self,
        now: Instant,
        ticket: Ticket,
        instance: &id::Instance,
        duration: Option<Duration>,
    ) {
        if let Some(objective) = &mut self.objective {
            objective.queue.finish(now, ticket.0, duration);
        }
        self.release(instance, duration);
    }

    /// Records that the transaction of a statement is idle, as [`Dispatcher::suspend`].
    pub fn suspend_ticket(
        &mut self,
        now: Instant,
        ticket: Ticket,
        instance: &id::Instance,
        duration: Option<Duration>,
    ) {
        if let Some(objective) = &mut self.objective {
            objective.queue.suspend(now, ticket.0, duration);
        }
        self.suspend(instance, duration);
    }

    /// Records that the transaction of a statement continues, as [`Dispatcher::resume`].
    pub fn resume_ticket(&mut self, ticket: Ticket, instance: &id::Instance) {
        if let Some(objective) = &mut self.objective {
            objective.queue.resume(ticket.0);
        }
        self.resume(instance);
    }

    /// Returns the shortest target latency of the classes of a priority. A published wait is that of the first class.
    pub(super) fn first_target(&self, priority: u8) -> Duration {
        let level = self.objective.as_ref().and_then(|objective| objective.queue.first(priority));
        level.map_or(Duration::ZERO, |level| level.target)
    }

    fn objective_len(&self) -> usize {
        self.objective.as_ref().map_or(0, |objective| objective.queue.len())
    }
}
