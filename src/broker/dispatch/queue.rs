//! The statements of a group that wait: which one starts next, and how long one waits.

use std::time::Duration;

use smallvec::SmallVec;

use super::candidate::{CONNECTION_RETRY_DELAY, Candidate, INITIAL_MEAN};
use super::{Dispatcher, Request};
use crate::broker::need::Need;
use crate::clock::Instant;
use crate::id;

/// The usual time from the freeze of an epoch to the end of a promotion: fencing, reading the positions, and the
/// promotion of the instance itself.
pub const TYPICAL_PROMOTION: Duration = Duration::from_millis(600);

/// The estimated remaining time of a promotion that exceeds its usual time.
const PROMOTION_OVERRUN: Duration = Duration::from_millis(200);

/// How long a proxy usually has no lease when the control plane elects a new leader and the lease doesn't last until
/// then.
pub const TYPICAL_ELECTION: Duration = Duration::from_millis(500);

/// The estimated time until there is a primary when no promotion is known to be under way.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(2_000);

/// One in this many starts goes to the statement that has waited longest, so that no priority starves.
const FAIR_START_INTERVAL: u64 = 8;

#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) request: Request,
    pub(super) queued: Instant,
}

impl Dispatcher {
    /// Returns the index of the statement to start next, and its instance.
    pub(super) fn next_start(&self, now: Instant) -> Option<(usize, id::Instance)> {
        let fair = self.started % FAIR_START_INTERVAL == FAIR_START_INTERVAL - 1;
        let mut order: SmallVec<[usize; 16]> = (0..self.waiting.len()).collect();
        order.sort_by_key(|at| {
            let waiter = &self.waiting[*at];
            let priority = if fair { 0 } else { waiter.request.priority };
            (priority, waiter.queued, waiter.request.ticket)
        });
        order.into_iter().find_map(|at| {
            let instance = self.place(now, &self.waiting[at].request)?;
            Some((at, instance))
        })
    }

    /// Returns whether a waiting statement that could run now has precedence. Statements that wait for an unavailable
    /// primary don't hold up reads that replicas can serve.
    pub(super) fn is_preceded(&self, now: Instant, request: &Request) -> bool {
        let mut before = self.waiting.iter().filter(|w| w.request.priority <= request.priority);
        before.any(|waiter| self.place(now, &waiter.request).is_some())
    }

    /// Counts the waiting statements that have precedence and wait for the same instances.
    pub(super) fn count_ahead(&self, request: &Request) -> usize {
        let for_primary = request.need == Need::Primary;
        let same = |waiter: &&Waiter| {
            waiter.request.priority <= request.priority
                && (waiter.request.need == Need::Primary) == for_primary
        };
        self.waiting.iter().filter(same).count()
    }

    /// Estimates how long a statement waits.
    pub(super) fn estimate_wait(&self, now: Instant, request: &Request) -> Duration {
        let ahead = self.count_ahead(request);
        if request.need == Need::Primary && self.primary.is_none() {
            return match self.missing_since {
                Some((since, true)) => {
                    TYPICAL_PROMOTION.saturating_sub(now.since(since)).max(PROMOTION_OVERRUN)
                }
                Some((since, false)) if now.since(since) < TYPICAL_ELECTION => {
                    TYPICAL_ELECTION.saturating_sub(now.since(since))
                }
                _ => DEFAULT_RETRY_AFTER,
            };
        }
        let eligible = |(instance, candidate): &(&id::Instance, &Candidate)| match request.need {
            Need::Primary => self.primary.as_ref() == Some(*instance),
            Need::AtLeast { .. } => candidate.usable,
        };
        let (mut permits, mut mean, mut limited) = (0, INITIAL_MEAN, false);
        for (_, candidate) in self.candidates.iter().filter(eligible) {
            permits += candidate.allowed_connections(now).min((candidate.window as u32).max(1));
            mean = mean.max(candidate.mean_duration);
            limited |= candidate.refused_connection.is_some();
        }
        match permits {
            0 if limited => CONNECTION_RETRY_DELAY * (ahead as u32 + 1),
            0 => DEFAULT_RETRY_AFTER,
            _ => mean * (ahead as u32 / permits + 1),
        }
    }
}
