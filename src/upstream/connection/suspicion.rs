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
pub struct Suspicion(Arc<AtomicU64>);

impl Suspicion {
    /// Records a second answer.
    pub(super) fn raise(&self, now: Instant) {
        self.0.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Returns whether there was a second answer lately.
    pub(super) fn is_raised(&self, now: Instant) -> bool {
        let raised = self.0.load(Ordering::Relaxed);
        raised > 0 && now.since(Instant(raised)) < VALIDITY
    }
}
