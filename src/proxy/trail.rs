//! Where a group's primary stood at which time: the proof of how old a replica's data is at most.
//!
//! An entry says that at the moment of asking the primary, under a valid lease, had committed no more than the position.
//! An instance that has reached the position therefore holds all that was acknowledged before that moment. See
//! `docs/DESIGN.md`, "Sessions and reads".

use std::collections::VecDeque;
use std::time::Duration;

use super::floor::Mark;
use crate::clock::Instant;

/// The most entries kept; older ones are thinned out, so that the trail reaches far back.
const ENTRIES: usize = 128;

/// The positions of a primary, oldest first.
#[derive(Debug, Clone, Default)]
pub struct Trail {
    entries: VecDeque<(Instant, Mark)>,
}

impl Trail {
    /// Notes that the primary, asked at `asked`, answered with `mark`. A new term starts the trail anew.
    pub fn note(&mut self, asked: Instant, mark: Mark) {
        match self.entries.back() {
            Some((at, _)) if *at >= asked => return,
            Some((_, last)) if last.term > mark.term => return,
            Some((_, last)) if last.term < mark.term => self.entries.clear(),
            _ => {}
        }
        self.entries.push_back((asked, mark));
        if self.entries.len() > ENTRIES {
            self.thin();
        }
    }

    /// Drops every other entry of the older half.
    fn thin(&mut self) {
        let half = self.entries.len() / 2;
        let entries = self.entries.drain(..).enumerate();
        self.entries =
            entries.filter(|(at, _)| *at >= half || at % 2 == 0).map(|(_, entry)| entry).collect();
    }

    /// Returns the mark that an instance must have reached so that its data is at most `age` old at `now`, or
    /// `None` when that can't be proved.
    pub fn proof(&self, now: Instant, age: Duration) -> Option<Mark> {
        self.entry(now, age).map(|(_, mark)| mark)
    }

    /// Returns the same with when the primary stood there.
    pub fn entry(&self, now: Instant, age: Duration) -> Option<(Instant, Mark)> {
        self.entries.iter().find(|(at, _)| now.since(*at) <= age).copied()
    }

    /// Returns when the primary was last asked.
    pub fn newest(&self) -> Option<Instant> {
        self.entries.back().map(|(at, _)| *at)
    }

    /// Returns for how long at least an instance at `mark` has been behind, or `None` when it is not on the
    /// trail's term.
    pub fn lag(&self, now: Instant, mark: Mark) -> Option<Duration> {
        let newest = self.entries.back()?.1;
        if newest.term != mark.term {
            return None;
        }
        let missing = self.entries.iter().find(|(_, entry)| *entry > mark);
        Some(missing.map_or(Duration::ZERO, |(at, _)| now.since(*at)))
    }
}
