//! The recent positions of a group's primary, which bound the age of a replica's data.
//!
//! An entry states that the primary had committed nothing beyond the position when it was queried under a valid lease. An
//! instance that has reached the position therefore holds every write that was acknowledged before that time. See
//! `docs/DESIGN.md`, "Sessions and reads".

use std::collections::VecDeque;
use std::time::Duration;

use super::floor::Mark;
use crate::balance::lag::Observed;
use crate::clock::Instant;

/// The maximum number of entries. Older entries are thinned out, so that the history reaches far back.
const MAX_ENTRIES: usize = 128;

/// The age of the newest entry from which it is stale.
const MAX_AGE: Duration = Duration::from_millis(400);

/// The positions of a primary over time, oldest first.
#[derive(Debug, Clone, Default)]
pub struct PositionHistory {
    entries: VecDeque<(Instant, Mark)>,
}

impl PositionHistory {
    /// Records that the primary reported `mark` in answer to a query sent at `requested_at`. A newer term clears the
    /// history.
    pub fn record(&mut self, requested_at: Instant, mark: Mark) {
        match self.entries.back() {
            Some((at, _)) if *at >= requested_at => return,
            Some((_, last)) if last.term > mark.term => return,
            Some((_, last)) if last.term < mark.term => self.entries.clear(),
            _ => {}
        }
        self.entries.push_back((requested_at, mark));
        if self.entries.len() > MAX_ENTRIES {
            self.thin();
        }
    }

    /// Removes every other entry of the older half.
    fn thin(&mut self) {
        let half = self.entries.len() / 2;
        let entries = self.entries.drain(..).enumerate();
        self.entries = entries
            .filter(|(index, _)| *index >= half || index % 2 == 0)
            .map(|(_, entry)| entry)
            .collect();
    }

    /// Returns the mark that an instance must have reached so that its data is at most `age` old at `now`, or
    /// `None` when that can't be proved.
    pub fn mark_for_age(&self, now: Instant, age: Duration) -> Option<Mark> {
        self.entry_for_age(now, age).map(|(_, mark)| mark)
    }

    /// Returns the oldest entry of at most this age: when the mark was requested, and the mark.
    pub fn entry_for_age(&self, now: Instant, age: Duration) -> Option<(Instant, Mark)> {
        self.entries.iter().find(|(at, _)| now.since(*at) <= age).copied()
    }

    /// Returns whether the newest entry was requested so long before `now` that a new one is needed. Reads that allow half
    /// a second of staleness can then still rely on it.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.newest_requested_at().is_none_or(|at| now.since(at) > MAX_AGE)
    }

    /// Returns when the mark of the newest entry was requested.
    pub fn newest_requested_at(&self) -> Option<Instant> {
        self.entries.back().map(|(at, _)| *at)
    }

    /// Returns the minimum time that an instance at `mark` has been behind, or `None` when the instance is on another
    /// term than the newest entry.
    pub fn lag(&self, now: Instant, mark: Mark) -> Option<Duration> {
        let newest = self.entries.back()?.1;
        if newest.term != mark.term {
            return None;
        }
        let missing = self.entries.iter().find(|(_, entry)| *entry > mark);
        Some(missing.map_or(Duration::ZERO, |(at, _)| now.since(*at)))
    }

    /// Returns how far an instance that is at `mark` now is behind the primary, or `None` without entries of its term.
    /// Between two entries the primary is taken to have moved evenly, since entries can be further apart than the lag.
    pub fn observe_lag(&self, now: Instant, mark: Mark) -> Option<Observed> {
        let (newest_at, newest) = *self.entries.back()?;
        if newest.term != mark.term {
            return None;
        }
        if newest <= mark {
            return Some(Observed::AtMost(now.since(newest_at)));
        }
        let after = self.entries.partition_point(|(_, entry)| *entry <= mark);
        let (next_at, next) = self.entries[after];
        let Some((at, reached)) = after.checked_sub(1).map(|before| self.entries[before]) else {
            return Some(Observed::AtLeast(now.since(next_at)));
        };
        let part = (mark.position.0 - reached.position.0) as f64
            / (next.position.0 - reached.position.0) as f64;
        Some(Observed::Exact(now.since(at + next_at.since(at).mul_f64(part))))
    }
}
