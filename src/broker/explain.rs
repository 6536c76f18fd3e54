//! Diagnostics of a request for callers and operators: why it was refused, when to retry, and its log line. See
//! `docs/OPERATIONS.md`.

use std::sync::atomic::Ordering;
use std::time::Duration;

use log::Level;

use super::dispatch::Primary;
use super::need::Need;
use super::server::Shared;
use crate::clock::Instant;
use crate::id;
use crate::report::event::{Event, Request, millis};

/// One in this many served requests is logged even if it was answered in time, as a baseline for comparison.
const SAMPLE_INTERVAL: u64 = 1_000;

/// Returns the time since the lease was last renewed, or `None` if there was no renewal.
pub(super) fn ms_since_renewal(now: Instant, renewed: Instant) -> Option<u64> {
    (renewed != Instant::default()).then(|| millis(now.since(renewed)))
}

impl Shared {
    /// Counts a request and returns whether it is logged as a sample.
    pub(super) fn is_sampled(&self) -> bool {
        self.served.fetch_add(1, Ordering::Relaxed).is_multiple_of(SAMPLE_INTERVAL)
    }

    /// Logs how a request ended, together with what this proxy knows of its group.
    pub(super) fn explain(&self, group: &id::Group, need: Option<Need>, mut request: Request<'_>) {
        let now = self.clock.now();
        let state = self.lock();
        if let Some(Need::AtLeast { since, .. }) = need {
            request.mark_age_ms = Some(millis(now.since(since)));
        }
        request.lease_left_ms = millis(state.fence.remaining_lease(now));
        if let Some(epoch) = state.fence.epoch(group) {
            request.term = Some(epoch.term);
            request.phase = Some(epoch.phase);
        }
        request.revision = state.revision;
        if let Some(queue) = state.groups.get(group) {
            let load = queue.dispatcher.load();
            (request.waiting, request.in_use, request.permits) =
                (load.waiting, load.used, load.permits);
            request.replica_lag_ms = queue.dispatcher.replica_lag().map(millis);
        }
        drop(state);
        Event::Request(request).log(Level::Info);
    }

    /// Returns the reason why a statement found no capacity.
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

    /// Returns when a refused caller may retry: after `wait`, or sooner when another proxy takes over before.
    pub(super) fn retry_after(&self, wait: Duration) -> Duration {
        let takeover = self.lock().stranded.retry_after(self.clock.now(), fastrand::f64());
        takeover.map_or(wait, |takeover| wait.min(takeover))
    }
}
