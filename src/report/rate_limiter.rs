//! Limits the rate of log lines, so that a repeating fault can't fill the disk. Suppressed lines are counted.

use crate::clock::Instant;
use crate::config::Rate;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The line is written.
    Write {
        /// Number of lines suppressed since the last one that was written.
        suppressed: u64,
    },
    /// The line is suppressed.
    Suppress,
}

/// A token bucket that fills at `rate` lines per second and holds one second's worth.
#[derive(Debug)]
pub struct RateLimiter {
    rate: Rate,
    /// The time up to which the tokens are spent; one that lies in the past leaves tokens for a burst.
    spent_until: Instant,
    suppressed: u64,
}

impl RateLimiter {
    /// Creates a rate limiter with a full bucket.
    pub fn new(rate: Rate) -> Self {
        Self { rate, spent_until: Instant::default(), suppressed: 0 }
    }

    /// Decides whether a line may be written at `now`, and counts it if not.
    pub fn admit(&mut self, now: Instant) -> Verdict {
        let micros_per_line = MICROS_PER_SECOND / u64::from(self.rate.0).max(1);
        let spent_until =
            self.spent_until.0.max(now.0.saturating_sub(MICROS_PER_SECOND)) + micros_per_line;
        if spent_until > now.0 {
            self.suppressed += 1;
            return Verdict::Suppress;
        }
        self.spent_until = Instant(spent_until);
        Verdict::Write { suppressed: std::mem::take(&mut self.suppressed) }
    }
}
