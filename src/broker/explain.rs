//! What callers and operators are told of a request: why there was no room for it, when to come back, and the line in the
//! log. See `docs/OPERATIONS.md`.

use std::sync::atomic::Ordering;
use std::time::Duration;

use log::Level;

use super::dispatch::Primary;
use super::need::Need;
use super::server::Shared;
use crate::clock::Instant;
use crate::id;
use crate::report::event::{Event, Request, millis};

/// Every so many served requests have a line, to compare others with.
const SAMPLE_INTERVAL: u64 = 1_000;

/// Returns how long ago the lease was renewed, unless it never was.
pub(super) fn unheard_ms(now: Instant, renewed: Instant) -> Option<u64> {
    (renewed != Instant::default()).then(|| millis(now.since(renewed)))
}

impl Shared {
    /// Tells whether this request is one of those whose line is written though nothing was wrong.
    pub(super) fn is_sampled(&self) -> bool {
        self.served.fetch_add(1, Ordering::Relaxed).is_multiple_of(SAMPLE_INTERVAL)
    }

    /// Logs how a request ended, with what this proxy knows of its group.
    pub(super) fn explain(&self, group: &id::Group, need: Option<Need>, mut request: Request<'_>) {
        let now = self.clock.now();
        let state = self.lock();
        if let Some(Need::AtLeast { since, .. }) = need {
            request.mark_age_ms = Some(millis(now.since(since)));
        }
        request.lease_left_ms = millis(state.fence.left(now));
        if let Some(epoch) = state.fence.epoch(group) {
            request.term = Some(epoch.term);
            request.phase = Some(epoch.phase);
        }
        request.revision = state.revision;
        if let Some(queue) = state.groups.get(group) {
            let load = queue.dispatcher.load();
            (request.waiting, request.in_use, request.permits) =
                (load.waiting, load.used, load.permits);
        }
        drop(state);
        Event::Request(request).log(Level::Info);
    }

    /// Says what a statement waited for in vain.
    pub(super) fn busy_reason(&self, group: &id::Group, need: Need) -> &'static str {
        let state = self.lock();
        let missing = state.groups.get(group).map(|queue| queue.dispatcher.missing_primary());
        match missing {
            Some(Some(Primary::Promoting)) if need == Need::Primary => {
                "the primary is being replaced"
            }
            Some(Some(_)) if need == Need::Primary => "this proxy may not use a primary",
            _ => "no instance has room",
        }
    }

    /// Returns when to come back that would have room here after `wait`: sooner where another proxy takes over before.
    pub(super) fn retry_after(&self, wait: Duration) -> Duration {
        let takeover = self.lock().stranded.retry_after(self.clock.now(), fastrand::f64());
        takeover.map_or(wait, |takeover| wait.min(takeover))
    }
}
