//! The retry budget: limits retries to a tenth of the load, so that retries don't amplify a fault.

use std::sync::atomic::{AtomicI64, Ordering};

/// The tokens that one request deposits and one retry withdraws: ten requests pay for one retry.
const EARNED: i64 = 1;
const COST: i64 = 10;

/// The maximum balance, so that a long time without faults doesn't pay for a flood of retries.
const SAVED: i64 = 100 * COST;

/// The retry budget of a proxy, as a balance of tokens.
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
    /// Adds the tokens of one request.
    pub fn earn(&self) {
        let more = |saved: i64| (saved < SAVED).then_some(saved + EARNED);
        let _ = self.saved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
    }

    /// Withdraws the tokens of one retry. Returns whether the retry is allowed.
    pub fn spend(&self) -> bool {
        let less = |saved: i64| (saved >= COST).then_some(saved - COST);
        self.saved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok()
    }
}
