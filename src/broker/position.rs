//! When this proxy received the leader's answers to its heartbeats, by which the leader can date positions of primaries that
//! the proxy reports; see [`crate::control::position`]. A state machine without I/O, which remembers [`MAX_ANSWERS`]
//! answers.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::control::position::MAX_ANSWERS;
use crate::id;

/// The age from which a position is not reported any more, so that the leader passes on those of other proxies instead.
pub const MAX_REPORTED_AGE: Duration = Duration::from_millis(1_000);

/// The answers of the current leader.
#[derive(Debug, Default)]
pub struct Answers {
    term: id::Term,
    received: VecDeque<(Instant, id::Sequence)>,
}

impl Answers {
    /// Records that the answer of the leader of `term` to a heartbeat is received now.
    pub fn record(&mut self, now: Instant, term: id::Term, sequence: id::Sequence) {
        if term < self.term {
            return;
        }
        if term > self.term {
            self.term = term;
            self.received.clear();
        }
        self.received.push_back((now, sequence));
        if self.received.len() > MAX_ANSWERS {
            self.received.pop_front();
        }
    }

    /// Returns the heartbeat whose answer was the last one that had been received before `at` from the leader of `term`. A
    /// later leader may have answered the same heartbeats at another time.
    pub fn last_before(&self, term: id::Term, at: Instant) -> Option<id::Sequence> {
        let mut received = self.received.iter().rev().filter(|_| term == self.term);
        let before = received.find(|(received, _)| *received <= at);
        before.map(|(_, sequence)| *sequence)
    }
}
