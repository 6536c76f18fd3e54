//! Permits for instances: how statements wait for them, and how they are given back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::Level;
use smol::channel::bounded;

use super::connection::Permit;
use super::dispatch::{self, Dispatcher, Request, Ticket};
use super::guard::QueueGuard;
use super::need::Need;
use super::server::Shared;
use crate::clock::Instant;
use crate::id;
use crate::report::event::Event;
use crate::schedule::Reason;
use crate::wire::{Load, Replica};

/// When there may be capacity for a statement that found none, and why it found none if that is known.
pub(super) type Refused = (Duration, Option<Reason>);

impl Shared {
    pub(super) fn ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns how long statements of each priority would wait here.
    pub(super) fn published_load(&self, group: &id::Group) -> Load {
        let now = self.clock.now();
        let state = self.lock();
        let Some(queue) = state.groups.get(group) else {
            return Load::default();
        };
        // Taken under the lock, so that a later load has a higher number.
        let sequence = id::Sequence(self.ticket().0);
        let waits_ms = queue.dispatcher.published_waits(now, &state.fleet.priorities());
        Load { sequence, waits_ms }
    }

    /// Waits for a permit. Fails at once, or when the maximum wait has passed, with the estimated time until there is
    /// capacity and the reason if statements are ordered by objective.
    pub(super) async fn acquire_permit(
        self: &Arc<Self>,
        group: &id::Group,
        request: Request,
    ) -> Result<Permit, Refused> {
        let (ticket, need) = (request.ticket, request.need);
        let (receiver, max_wait, is_ordered) = {
            let now = self.clock.now();
            let mut state = self.lock();
            let Some(queue) = state.groups.get_mut(group) else {
                return Err((dispatch::DEFAULT_RETRY_AFTER, None));
            };
            let ordered = queue.dispatcher.orders_by_objective().then(|| request.clone());
            let max_wait = queue.dispatcher.max_wait(&request);
            match queue.dispatcher.submit(now, request) {
                dispatch::Decision::Start(instance) => {
                    let ticket = Some(ticket);
                    return Ok(Permit::new(Arc::clone(self), group.clone(), instance, ticket));
                }
                dispatch::Decision::Refuse(wait) => {
                    let reason = |request| queue.dispatcher.refusal_reason(now, &request);
                    return Err((wait, ordered.map(reason)));
                }
                dispatch::Decision::Wait => {
                    let (sender, receiver) = bounded(1);
                    queue.waiters.insert(ticket, sender);
                    if ordered.is_some() {
                        // One that waits may have become able to run without a release, and goes first.
                        state.advance(now, group);
                    }
                    (receiver, max_wait, ordered.is_some())
                }
            }
        };
        let mut guard = QueueGuard { shared: self, group, ticket, receiver, finished: false };
        match self.clock.timeout(max_wait, guard.receiver.recv()).await {
            Some(Ok(instance)) => {
                guard.finished = true;
                Ok(Permit::new(Arc::clone(self), group.clone(), instance, Some(ticket)))
            }
            _ => {
                let wait = guard.cancel();
                let is_missing = need == Need::Primary && self.primary(group).is_none();
                let reason = if is_missing { Reason::NoPrimary } else { Reason::Waited };
                Err((wait, is_ordered.then_some(reason)))
            }
        }
    }

    /// Takes a permit for an instance if one is free.
    pub(super) fn try_acquire_permit(self: &Arc<Self>, replica: &Replica) -> Option<Permit> {
        let now = self.clock.now();
        let mut state = self.lock();
        let group = state.groups.get_mut(&replica.group)?;
        let taken = group.dispatcher.try_acquire(now, &replica.instance);
        let (group, instance) = (replica.group.clone(), replica.instance.clone());
        taken.then(|| Permit::new(Arc::clone(self), group, instance, None))
    }

    /// Gives a permit back. `duration` is how long its last statement ran, if that is known.
    pub(super) fn release(
        &self,
        group: &id::Group,
        instance: &id::Instance,
        ticket: Option<Ticket>,
        duration: Option<Duration>,
    ) {
        self.end_statement(group, instance, duration, |now, dispatcher| match ticket {
            Some(ticket) => dispatcher.release_ticket(now, ticket, instance, duration),
            None => dispatcher.release(instance, duration),
        });
    }

    /// Frees the slot of a transaction that is idle.
    pub(super) fn suspend(
        &self,
        group: &id::Group,
        instance: &id::Instance,
        ticket: Option<Ticket>,
        duration: Option<Duration>,
    ) {
        self.end_statement(group, instance, duration, |now, dispatcher| match ticket {
            Some(ticket) => dispatcher.suspend_ticket(now, ticket, instance, duration),
            None => dispatcher.suspend(instance, duration),
        });
    }

    /// Records the end of a statement and starts those that waited for it.
    fn end_statement(
        &self,
        group: &id::Group,
        instance: &id::Instance,
        duration: Option<Duration>,
        end: impl FnOnce(Instant, &mut Dispatcher),
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(queue) = state.groups.get_mut(group) {
            end(now, &mut queue.dispatcher);
            if let Some(duration) = duration {
                queue.dispatcher.record_duration(now, instance, duration);
            }
        }
        state.advance(now, group);
    }

    /// Takes a slot again for a transaction that was idle.
    pub(super) fn resume(
        &self,
        group: &id::Group,
        instance: &id::Instance,
        ticket: Option<Ticket>,
    ) {
        if let Some(queue) = self.lock().groups.get_mut(group) {
            match ticket {
                Some(ticket) => queue.dispatcher.resume_ticket(ticket, instance),
                None => queue.dispatcher.resume(instance),
            }
        }
    }

    /// Records that an instance refused a statement because it was full, or because it lacked the mark of a requirement.
    pub(super) fn record_refusal(&self, permit: &Permit, lacking: Option<Need>) {
        let now = self.clock.now();
        if lacking.is_some() {
            self.metrics.record_lagging_refusal();
        }
        let mut state = self.lock();
        if let Some(queue) = state.groups.get_mut(&permit.group) {
            match lacking {
                Some(need) => queue.dispatcher.record_lacking(now, &permit.instance, need),
                None => queue.dispatcher.record_full(now, &permit.instance),
            }
        }
    }

    /// Records that an instance refused a new connection, and schedules a retry for the statements that wait for it.
    pub(super) fn record_refused_connection(self: &Arc<Self>, permit: &Permit) {
        let now = self.clock.now();
        self.metrics.record_refused_connection();
        if let Some(queue) = self.lock().groups.get_mut(&permit.group) {
            queue.dispatcher.record_refused_connection(now, &permit.instance);
            let (instance, group) = (&permit.instance, &permit.group);
            let (in_use, permits) = (queue.dispatcher.used(instance), queue.permits);
            Event::ConnectionLimit { instance, group, in_use, permits }.log(Level::Info);
        }
        let (shared, group) = (Arc::clone(self), permit.group.clone());
        let later = async move {
            shared.clock.sleep(dispatch::CONNECTION_RETRY_DELAY).await;
            shared.advance(&group);
        };
        smol::spawn(later).detach();
    }

    /// Returns whether an instance refused a new connection a moment ago.
    pub(super) fn is_connection_limited(&self, replica: &Replica) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let group = state.groups.get(&replica.group);
        group.is_some_and(|group| group.dispatcher.is_connection_limited(now, &replica.instance))
    }

    /// Returns whether a connection to an instance is being opened.
    pub(super) fn is_opening(&self, replica: &Replica) -> bool {
        self.lock().instances.get(&replica.instance).is_some_and(|entry| entry.opening.taken() > 0)
    }

    /// Starts the waiting statements of a group that can run now.
    pub(super) fn advance(&self, group: &id::Group) {
        let now = self.clock.now();
        self.lock().advance(now, group);
    }
}
