//! How far a replica is behind its primary, learned from the positions in its answers.
//!
//! The load pattern: replicas are usually 90 to 150 ms behind, with a wide spread, and at times some of them fall behind
//! by up to 15 s and take ten seconds to catch up. A read that reaches a replica too early costs a round trip; a read
//! that avoids one needlessly takes one of the primary's slots. The usual lag and its spread are estimated as TCP
//! estimates round-trip times (Jacobson, "Congestion avoidance and control", 1988). A replica that is further behind
//! than usual gets a second estimate, which follows it quickly and ends with the first usual answer. Memory: constant
//! for each replica.

use std::time::Duration;

use crate::clock::Instant;

/// The usual lag assumed before the first answer, as for a replica without learned lag
/// ([`TYPICAL_LAG`](crate::broker::dispatch::TYPICAL_LAG)).
const INITIAL: Estimate =
    Estimate { mean: Duration::from_millis(50), deviation: Duration::from_millis(25) };

/// A replica is expected to have a mark that is older than the mean lag by this many deviations. With a log-normal
/// spread of 0.6 about one read in twenty that is just old enough still comes too early.
const DEVIATIONS: u32 = 3;

/// The least deviation, so that an even lag leaves room for the spread of network delays.
const MIN_DEVIATION: Duration = Duration::from_millis(2);

/// The greatest lag that is still learned as usual. Ordinary lag is at most 1 s on the known deployments.
const MAX_USUAL: Duration = Duration::from_millis(1_000);

/// The least time between the two answers from which a position is extrapolated, so that the spread of single answers
/// doesn't dominate.
const EXTRAPOLATION_BASE: Duration = Duration::from_millis(100);

/// The greatest assumed speed of a replica that catches up, as a multiple of the primary's.
const MAX_CATCH_UP_SPEED: f64 = 8.0;

/// A replica that is behind and has not answered for this long may get a trial, whatever its last answers said: twice
/// the time after which a silent instance is pinged.
const SILENT_PERIOD: Duration = Duration::from_millis(500);

/// What an answer shows about a replica's lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observed {
    /// The replica is behind by this time.
    Exact(Duration),
    /// The replica has all that is known of the primary, which was asked for its position this long ago.
    AtMost(Duration),
    /// The replica is before the oldest known position of the primary, which is this old.
    AtLeast(Duration),
}

/// Whether a replica should get a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    /// The replica is expected to have the read's mark.
    Ready,
    /// The replica was behind and may have the mark by now. One read at a time may find out.
    Trial,
    /// The replica is not expected to have the mark.
    Behind,
}

/// A mean and the mean deviation from it.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean: Duration,
    deviation: Duration,
}

impl Estimate {
    /// Adds a sample with the weights 1/8 and 1/4 that TCP uses.
    fn add(&mut self, sample: Duration) {
        let error = sample.abs_diff(self.mean);
        self.mean = (self.mean * 7 + sample) / 8;
        self.deviation = ((self.deviation * 3 + error) / 4).max(MIN_DEVIATION);
    }

    /// Adds a sample with the weight 1/2, to follow a lag that changes by the second.
    fn follow(&mut self, sample: Duration) {
        let error = sample.abs_diff(self.mean);
        self.mean = (self.mean + sample) / 2;
        self.deviation = ((self.deviation + error) / 2).max(MIN_DEVIATION);
    }

    fn bound(self) -> Duration {
        self.mean + self.deviation * DEVIATIONS
    }
}

/// A replica that is further behind than usual.
#[derive(Debug, Clone, Copy)]
struct Behind {
    estimate: Estimate,
    /// When the last answer or refusal showed it.
    shown: Instant,
    /// The usual lag before the replica fell behind.
    usual_before: Estimate,
}

/// An answer: when it came, and up to when the replica had the primary's writes.
#[derive(Debug, Clone, Copy)]
struct Answer {
    at: Instant,
    reached: Instant,
}

/// The learned lag of one replica.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    usual: Option<Estimate>,
    behind: Option<Behind>,
    last: Option<Answer>,
    /// An earlier answer, for the replica's speed.
    earlier: Option<Answer>,
}

impl Lag {
    fn usual(&self) -> Estimate {
        self.usual.unwrap_or(INITIAL)
    }

    /// Returns whether the replica is known to be further behind than usual.
    pub fn is_behind(&self) -> bool {
        self.behind.is_some()
    }

    /// Returns how old a mark must be for the replica to be expected to have it.
    pub fn bound(&self) -> Duration {
        self.behind.map_or(self.usual(), |behind| behind.estimate).bound()
    }

    /// Records an answer.
    pub fn record(&mut self, now: Instant, observed: Observed) {
        let mean = self.usual().mean;
        let (lag, is_sample) = match observed {
            Observed::Exact(lag) => (lag, true),
            Observed::AtMost(lag) => (lag.min(mean), lag < mean),
            Observed::AtLeast(lag) => (lag.max(mean), lag > mean),
        };
        let answer = Answer { at: now, reached: now - lag };
        if let Some(last) = self.last
            && self.earlier.is_none_or(|early| last.at.since(early.at) >= EXTRAPOLATION_BASE)
        {
            self.earlier = Some(last);
        }
        self.last = Some(answer);
        match observed {
            Observed::AtLeast(_) => self.raise(now, lag),
            _ if lag <= self.usual().bound() => self.behind = None,
            _ => self.fall_behind(now, lag),
        }
        if is_sample {
            self.learn(lag);
        }
    }

    /// Records that the replica refused a read because it lacked a mark of this age.
    pub fn record_refusal(&mut self, now: Instant, age: Duration) {
        if self.behind.is_none() {
            self.fall_behind(now, age.max(self.usual().bound()));
        }
        self.raise(now, age);
    }

    /// Raises the lag to what it is at least. An answer that shows no upper bound never ends a lag.
    fn raise(&mut self, now: Instant, lag: Duration) {
        let usual = self.usual();
        match &mut self.behind {
            Some(behind) if lag > behind.estimate.mean => {
                behind.estimate = Estimate { mean: lag, deviation: lag / 4 };
                behind.shown = now;
            }
            Some(_) => {}
            None if lag > usual.bound() => self.fall_behind(now, lag),
            None => {}
        }
    }

    fn fall_behind(&mut self, now: Instant, lag: Duration) {
        match &mut self.behind {
            Some(behind) => {
                behind.estimate.follow(lag);
                behind.shown = now;
            }
            None => {
                let estimate = Estimate { mean: lag, deviation: lag / 4 };
                self.behind = Some(Behind { estimate, shown: now, usual_before: self.usual() });
            }
        }
    }

    /// Updates the usual lag. A sample counts only as far as the usual bound, so that a replica that falls behind changes
    /// it slowly, and not at all once it is further behind than is ever usual.
    fn learn(&mut self, lag: Duration) {
        if lag > MAX_USUAL {
            if let Some(behind) = self.behind {
                self.usual = Some(behind.usual_before);
            }
            return;
        }
        match &mut self.usual {
            Some(usual) => usual.add(lag.min(usual.bound())),
            None => self.usual = Some(Estimate { mean: lag, deviation: lag / 2 }),
        }
    }

    /// Returns whether the replica should get a read whose mark the primary was at at `since`.
    pub fn judge(&self, now: Instant, since: Instant) -> Advice {
        let age = now.since(since);
        let Some(behind) = &self.behind else {
            return if age >= self.usual().bound() { Advice::Ready } else { Advice::Behind };
        };
        // Since then the replica may have stood still.
        let silence = now.since(behind.shown);
        if age >= behind.estimate.bound() + silence {
            Advice::Ready
        } else if age >= self.usual().bound()
            && (silence >= SILENT_PERIOD || self.expected(now).is_some_and(|at| at >= since))
        {
            Advice::Trial
        } else {
            Advice::Behind
        }
    }

    /// Extrapolates up to when the replica has the primary's writes, from its last answers.
    fn expected(&self, now: Instant) -> Option<Instant> {
        let (last, earlier) = (self.last?, self.earlier?);
        let elapsed = last.at.since(earlier.at);
        if elapsed.is_zero() {
            return Some(last.reached);
        }
        let speed = last.reached.since(earlier.reached).as_secs_f64() / elapsed.as_secs_f64();
        Some(last.reached + now.since(last.at).mul_f64(speed.min(MAX_CATCH_UP_SPEED)))
    }
}
