//! The retry budget: retries stay under a tenth of the load, so that no fault is made worse by them.

use std::sync::atomic::{AtomicI64, Ordering};

/// What one request earns and what one retry costs: ten requests pay for one retry.
const EARNED: i64 = 1;
const COST: i64 = 10;

/// The most that is saved up, so that a long quiet time doesn't pay for a flood.
const SAVED: i64 = 100 * COST;

/// What a proxy may still spend on retries.
#[derive(Debug)]
pub struct Budget {
    saved: AtomicI64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: AtomicI64::new(SAVED) }
    }
}

impl Budget {
    /// Notes a request.
    pub fn earn(&self) {
        let more = |saved: i64| (saved < SAVED).then_some(saved + EARNED);
        let _ = self.saved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
    }

    /// Asks for a retry; returns whether it may be made.
    pub fn spend(&self) -> bool {
        let less = |saved: i64| (saved >= COST).then_some(saved - COST);
        self.saved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok()
    }
}
