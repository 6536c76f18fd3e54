//! Whether an instance has answered twice lately.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::Instant;

/// How long an instance stays suspect after a second answer.
const VALIDITY: Duration = Duration::from_secs(10);

/// When an instance answered twice last, shared by the connections to it.
///
/// Two copies within one round trip, that of a refusal and that of a fence, can't be told from the awaited answers. So
/// connections to a suspect instance that received a refusal or ran a transaction are not used again.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    raised: Arc<AtomicU64>,
    doubted: Arc<AtomicU64>,
}

impl Suspicion {
    /// Records a second answer.
    pub(super) fn raise(&self, now: Instant) {
        self.raised.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Records that what one reading delivered was joined to something in another one. Content that changes meanwhile can
    /// look so too, so it only ends reads whose answers are doubtful.
    pub(super) fn doubt(&self, now: Instant) {
        self.doubted.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Returns whether there was a second answer lately.
    pub(super) fn is_raised(&self, now: Instant) -> bool {
        is_recent(&self.raised, now)
    }

    /// Returns whether there was a second answer lately, or a reading that looks joined to a part of one.
    pub(super) fn is_doubted(&self, now: Instant) -> bool {
        self.is_raised(now) || is_recent(&self.doubted, now)
    }
}

fn is_recent(at: &AtomicU64, now: Instant) -> bool {
    let at = at.load(Ordering::Relaxed);
    at > 0 && now.since(Instant(at)) < VALIDITY
}
