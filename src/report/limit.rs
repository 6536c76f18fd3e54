//! Bounds the rate of log lines, so that a fault that repeats can't fill a disk; what is left out is counted.

use crate::clock::Instant;
use crate::config::Rate;

/// The microseconds of a second.
const SECOND: u64 = 1_000_000;

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is written; so many lines were left out since the last one that was.
    Write {
        /// The lines left out.
        suppressed: u64,
    },
    /// It is left out.
    Suppress,
}

/// A bucket of lines that fills at a rate, and holds at most one second's worth.
#[derive(Debug)]
pub struct Limit {
    rate: Rate,
    /// The moment until which all lines are paid for.
    paid: Instant,
    suppressed: u64,
}

impl Limit {
    /// Starts with a full bucket.
    pub fn new(rate: Rate) -> Self {
        Self { rate, paid: Instant::default(), suppressed: 0 }
    }

    /// Takes a line that is to be written now.
    pub fn step(&mut self, now: Instant) -> Verdict {
        let cost = SECOND / u64::from(self.rate.0).max(1);
        let paid = self.paid.0.max(now.0.saturating_sub(SECOND)) + cost;
        if paid > now.0 {
            self.suppressed += 1;
            return Verdict::Suppress;
        }
        self.paid = Instant(paid);
        Verdict::Write { suppressed: std::mem::take(&mut self.suppressed) }
    }
}
