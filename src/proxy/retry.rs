//! The retry budget: limits retries to a tenth of the requests, so that retries don't amplify a fault.

use std::sync::atomic::{AtomicI64, Ordering};

/// The tokens that one request deposits and one retry withdraws: ten requests pay for one retry.
const REQUEST_DEPOSIT: i64 = 1;
const RETRY_COST: i64 = 10;

/// The maximum balance, so that a long time without faults doesn't pay for a flood of retries.
const MAX_BALANCE: i64 = 100 * RETRY_COST;

/// The retry budget of a proxy, as a balance of tokens.
#[derive(Debug)]
pub struct Budget {
    balance: AtomicI64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance: AtomicI64::new(MAX_BALANCE) }
    }
}

impl Budget {
    /// Adds the tokens of one request.
    pub fn deposit(&self) {
        let add = |balance: i64| (balance < MAX_BALANCE).then_some(balance + REQUEST_DEPOSIT);
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Withdraws the tokens of one retry. Returns whether the retry is allowed.
    pub fn try_withdraw(&self) -> bool {
        let subtract = |balance: i64| (balance >= RETRY_COST).then_some(balance - RETRY_COST);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).is_ok()
    }
}
