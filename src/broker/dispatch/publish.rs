//! The load of a group that is published to forwarding proxies.

use std::time::Duration;

use smallvec::SmallVec;

use super::{Dispatcher, Request, Ticket};
use crate::broker::need::Need;
use crate::clock::Instant;
use crate::config::Placement;
use crate::id;
use crate::proxy::floor::Mark;

/// The age of the mark of a typical read. Most reads allow data of 1,500 to 2,500 ms, and their marks are nearly that old.
const TYPICAL_MARK_AGE: Duration = Duration::from_millis(1_000);

impl Dispatcher {
    /// Estimates how long a new statement of each priority waits, in milliseconds. Empty unless placement is estimated, and
    /// while there is no usable primary: statements then wait as long as their promotion wait allows, which a forwarding
    /// proxy doesn't know.
    ///
    /// A priority can have statements for the primary and for any instance. The shorter wait counts, since others refuse
    /// statements by it.
    pub fn published_waits(&self, now: Instant, priorities: &[u8]) -> Vec<(u8, u32)> {
        if self.placement == Placement::Local || self.primary.is_none() {
            return Vec::new();
        }
        let wait = |priority: &u8| {
            let wait = self.new_wait(now, *priority);
            (*priority, u32::try_from(wait.as_millis()).unwrap_or(u32::MAX))
        };
        priorities.iter().map(wait).collect()
    }

    fn new_wait(&self, now: Instant, priority: u8) -> Duration {
        let target = self.first_target(priority);
        let read = Request { target, max_wait: target, ..Request::typical_read(now, priority) };
        let on_primary = Request { need: Need::Primary, ..read.clone() };
        let wait = |request: &Request| {
            if self.orders_by_objective() {
                let is_first = self.objective_waiting() == (0, 0);
                if is_first && self.place(now, request).is_some() {
                    return Duration::ZERO;
                }
                return self.estimate_by_objective(now, request);
            }
            if self.count_ahead(request) == 0 && self.place(now, request).is_some() {
                Duration::ZERO
            } else {
                self.estimate_wait(now, request)
            }
        };
        // While all replicas are behind, reads wait for the primary too.
        let mut replicas = self.candidates.iter().filter(|(instance, candidate)| {
            self.primary.as_ref() != Some(*instance)
                && self.can_serve(now, instance, candidate, &read)
        });
        match replicas.next() {
            Some(_) => wait(&on_primary).min(wait(&read)),
            None => wait(&on_primary),
        }
    }
}

impl Request {
    /// Returns a read of typical age that asks for nothing else, by which the state of a group is judged.
    pub(super) fn typical_read(now: Instant, priority: u8) -> Self {
        let mark = Mark { term: id::Term(u64::MAX), position: id::Position(u64::MAX) };
        Self {
            ticket: Ticket(0),
            need: Need::AtLeast { mark, since: now - TYPICAL_MARK_AGE },
            priority,
            max_wait: Duration::ZERO,
            max_promotion_wait: Duration::ZERO,
            excluded: SmallVec::new(),
            account: None,
            target: Duration::ZERO,
            warm: SmallVec::new(),
        }
    }
}
