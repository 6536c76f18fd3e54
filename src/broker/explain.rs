//! What callers and operators are told of a request: why there was no room for it, when to come back, and the line in the
//! log. See `docs/OPERATIONS.md`.

use std::sync::atomic::Ordering;
use std::time::Duration;

use log::Level;

use super::dispatch::Lead;
use super::need::Need;
use super::server::Shared;
use crate::clock::Instant;
use crate::id;
use crate::report::event::{Event, Request, millis};

/// Every so many served requests have a line, to compare others with.
const SAMPLE: u64 = 1_000;

/// Returns how long ago the lease was renewed, unless it never was.
pub(super) fn unheard(now: Instant, renewed: Instant) -> Option<u64> {
    (renewed != Instant::default()).then(|| millis(now.since(renewed)))
}

impl Shared {
    /// Tells whether this request is one of those whose line is written though nothing was wrong.
    pub(super) fn is_sample(&self) -> bool {
        self.answers.fetch_add(1, Ordering::Relaxed).is_multiple_of(SAMPLE)
    }

    /// Logs how a request ended, with what this proxy knows of its group.
    pub(super) fn explain(&self, group: &id::Group, need: Option<Need>, mut request: Request<'_>) {
        let now = self.clock.now();
        let state = self.lock();
        if let Some(Need::Reached { since, .. }) = need {
            request.mark_age_ms = Some(millis(now.since(since)));
        }
        request.lease_left_ms = millis(state.fence.remaining_lease(now));
        if let Some(epoch) = state.fence.epoch(group) {
            request.term = Some(epoch.term);
            request.phase = Some(epoch.phase);
        }
        request.revision = state.revision;
        if let Some(queue) = state.groups.get(group) {
            let load = queue.dispatch.load();
            (request.waiting, request.in_use, request.permits) =
                (load.waiting, load.used, load.permits);
        }
        drop(state);
        Event::Request(request).log(Level::Info);
    }

    /// Says what a statement waited for in vain.
    pub(super) fn shortage(&self, group: &id::Group, need: Need) -> &'static str {
        let state = self.lock();
        let lead = state.groups.get(group).map(|queue| queue.dispatch.absent());
        match lead {
            Some(Some(Lead::Promoting)) if need == Need::Primary => "the primary is being replaced",
            Some(Some(_)) if need == Need::Primary => "this proxy may not use a primary",
            _ => "no instance has room",
        }
    }

    /// Returns when to come back that would have room here after `wait`: sooner where another proxy takes over before.
    pub(super) fn relieved(&self, wait: Duration) -> Duration {
        let relief = self.lock().stranded.relief(self.clock.now(), fastrand::f64());
        relief.map_or(wait, |relief| wait.min(relief))
    }
}
