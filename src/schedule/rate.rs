//! Rates that are measured over the recent past.

use std::time::Duration;

use crate::clock::Instant;

/// The time constant of measured rates. It covers some ten statements of a proxy that serves a twelfth of a group, and
/// is short against bursts, which last for 3 s and more.
const RATE_PERIOD: Duration = Duration::from_millis(500);

/// The weight of the assumed rate in a measured one, as a time. Until a queue has existed for this long the assumption
/// dominates, since a few statements say little.
const ASSUMED_PERIOD: Duration = Duration::from_millis(100);

/// The longest time after which a refused caller is told to return. Load changes within a few seconds, so a longer one
/// would leave capacity unused.
pub const MAX_RETURN: Duration = Duration::from_secs(2);

/// An exponentially weighted rate of events. Takes constant memory.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    sum: f64,
    at: Instant,
}

impl Rate {
    /// Adds an amount.
    pub fn add(&mut self, now: Instant, amount: f64) {
        self.sum = self.sum * decay(self.at, now) + amount;
        self.at = now;
    }

    /// Returns the amount per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.sum * decay(self.at, now) / RATE_PERIOD.as_secs_f64()
    }
}

/// How fast statements start on an instance while others wait for it: the seconds of service that start per second.
/// Periods without a queue say nothing about the capacity and aren't counted. Takes constant memory.
#[derive(Debug, Clone, Copy, Default)]
pub struct Drain {
    work: f64,
    time: f64,
    at: Instant,
    queueing: bool,
}

impl Drain {
    /// Records whether statements wait for the instance from now on.
    pub fn set_queueing(&mut self, now: Instant, queueing: bool) {
        self.update(now);
        self.queueing = queueing;
    }

    /// Records the start of a statement that is expected to take `work` seconds.
    pub fn start(&mut self, now: Instant, work: f64) {
        self.update(now);
        if self.queueing {
            self.work += work;
        }
    }

    /// Returns the seconds of service that start per second. `assumed` is the rate that is assumed while little was
    /// measured.
    pub fn per_second(&self, now: Instant, assumed: f64) -> f64 {
        let mut drain = *self;
        drain.update(now);
        let weight = ASSUMED_PERIOD.as_secs_f64();
        (drain.work + assumed * weight) / (drain.time + weight)
    }

    fn update(&mut self, now: Instant) {
        let factor = decay(self.at, now);
        let elapsed = now.since(self.at).as_secs_f64().min(RATE_PERIOD.as_secs_f64());
        self.work *= factor;
        self.time = self.time * factor + if self.queueing { elapsed } else { 0.0 };
        self.at = now;
    }
}

/// The refused callers of a class that are expected to return. Takes constant memory.
#[derive(Debug, Clone, Copy, Default)]
pub struct Returns {
    pending: f64,
    at: Instant,
}

impl Returns {
    /// Returns when a refused caller may return: after `wait`, and then after those that were refused before it, at the
    /// rate at which the class is served. `jitter`, from 0 to 1, is its place within one interval of that rate.
    pub fn refuse(&mut self, now: Instant, wait: Duration, rate: f64, jitter: f64) -> Duration {
        let limit = MAX_RETURN.as_secs_f64();
        let rate = rate.max(1.0 / limit);
        self.pending = (self.pending - now.since(self.at).as_secs_f64() * rate).max(0.0);
        self.at = now;
        let after = wait.as_secs_f64() + (self.pending + jitter) / rate;
        self.pending = (self.pending + 1.0).min(limit * rate);
        // Those beyond the longest return are spread over its last quarter, so that they don't return together.
        let after = if after > limit { limit * (0.75 + jitter / 4.0) } else { after };
        Duration::from_secs_f64(after)
    }
}

fn decay(from: Instant, to: Instant) -> f64 {
    (-to.since(from).as_secs_f64() / RATE_PERIOD.as_secs_f64()).exp()
}
