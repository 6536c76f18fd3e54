//! How long statements take at an instance that other proxies use too: its own speed, and the work of others.
//!
//! The load pattern: about twelve serving proxies share three instances, of which one can become 4 to 6 times slower or
//! faster again. None sees the others' statements, but each sees how long its own take, against what they take without a
//! queue. What is known grows old where no statement ends; it then counts less (Mitzenmacher, "How useful is old
//! information?", 2000), so that an instance that was slow gets a trial from time to time. Memory: constant for each
//! instance.

use std::time::Duration;

use crate::clock::Instant;

/// The duration assumed before the first statement has ended.
const INITIAL: Duration = Duration::from_millis(15);

/// The weight of a new sample in the mean duration, so that a change is known after about ten statements.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;

/// The number of own statements on other instances after which a mean duration counts half of its difference to the least
/// one, so that the trials of an instance that was slow are a small part of the statements.
const HALF_LIFE_STATEMENTS: f64 = 24.0;

/// The same in time, for a proxy with few statements. With 2 s, 118 proxies overloaded an instance that was five times
/// slower than the others.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// The durations of one instance's statements.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// The mean duration, and when it was updated: the time, and how many of the group's statements had ended.
    mean: Option<(Duration, Instant, u64)>,
}

impl Pace {
    /// Records that a statement took `duration`, as number `ended` of the group's own statements.
    pub fn record(&mut self, now: Instant, ended: u64, duration: Duration) {
        let mean = match self.mean {
            Some((mean, ..)) => {
                // After a pause the sample counts as much as the mean has lost, so that one trial shows a recovery.
                let weight = MEAN_WEIGHT.max(1.0 - self.weight(now, ended));
                mean.mul_f64(1.0 - weight) + duration.mul_f64(weight)
            }
            None => duration,
        };
        self.mean = Some((mean, now, ended));
    }

    /// Returns the mean duration.
    pub fn mean(&self) -> Option<Duration> {
        self.mean.map(|(mean, ..)| mean)
    }

    /// Estimates how long a statement takes, given the least mean duration of the group's instances and how many
    /// of the group's own statements have ended.
    pub fn estimate(&self, now: Instant, ended: u64, least: Option<Duration>) -> Duration {
        let least = least.unwrap_or(INITIAL);
        let Some((mean, ..)) = self.mean else {
            return least;
        };
        least + mean.saturating_sub(least).mul_f64(self.weight(now, ended))
    }

    /// Returns how much the mean duration still counts.
    fn weight(&self, now: Instant, ended: u64) -> f64 {
        let Some((_, at, number)) = self.mean else {
            return 0.0;
        };
        let others = ended.saturating_sub(number) as f64 / HALF_LIFE_STATEMENTS;
        let age = others.max(now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64());
        0.5_f64.powf(age)
    }
}
