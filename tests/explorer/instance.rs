//! A model of an instance that behaves as docs/UPSTREAM.md requires, without sockets and SQL.

use std::collections::BTreeMap;

use cactushatch::id;
use cactushatch::upstream::status::Status;
use cactushatch::wire::Role;

/// An instance whose log consists of the numbers of the writes.
#[derive(Debug, Clone)]
pub struct Instance {
    pub alive: bool,
    pub role: Role,
    /// Whether the instance is a demoted primary that has not followed another one yet.
    pub demoted: bool,
    pub term: u64,
    /// The terms of the log and the position at which each begins.
    pub history: Vec<(u64, usize)>,
    pub log: Vec<u64>,
    pub following: Option<usize>,
    /// The position up to which each follower reported that it has received the log.
    pub received: BTreeMap<usize, usize>,
}

impl Instance {
    pub fn new(number: usize) -> Self {
        Self {
            alive: true,
            role: if number == 0 { Role::Primary } else { Role::Replica },
            demoted: false,
            term: 1,
            history: vec![(1, 0)],
            log: Vec::new(),
            following: (number != 0).then_some(0),
            received: BTreeMap::new(),
        }
    }

    /// Returns the position that a majority of `instances` has received. A replica that is not a demoted primary
    /// returns 0.
    fn durable(&self, instances: usize) -> usize {
        if self.role == Role::Replica && !self.demoted {
            return 0;
        }
        let mut positions: Vec<usize> = self.received.values().copied().collect();
        positions.push(self.log.len());
        positions.resize(positions.len().max(instances), 0);
        positions.sort_unstable_by(|a, b| b.cmp(a));
        positions[instances / 2]
    }

    pub fn status(&self, instances: usize) -> Status {
        let position = |at: usize| id::Position(at as u64);
        Status {
            role: self.role,
            term: id::Term(self.term),
            position: position(self.log.len()),
            received: position(self.log.len()),
            durable: position(self.durable(instances)),
            start: position(self.history.last().map_or(0, |last| last.1)),
            paused: None,
        }
    }

    /// Appends a write to the log and returns its position, or `None` if the instance is not a primary.
    pub fn write(&mut self, number: u64) -> Option<usize> {
        if self.role != Role::Primary {
            return None;
        }
        self.log.push(number);
        Some(self.log.len())
    }

    /// Makes the instance the primary of `term`. Returns whether the term is newer than the instance's own.
    pub fn promote(&mut self, term: u64) -> bool {
        if self.term >= term {
            return false;
        }
        self.role = Role::Primary;
        self.demoted = false;
        self.term = term;
        self.following = None;
        self.history.push((term, self.log.len()));
        self.received.clear();
        true
    }

    /// Makes the instance a replica of `primary`. Returns `false` if it has a later term or is the primary of `term`.
    pub fn follow(&mut self, primary: usize, term: u64) -> bool {
        if self.term > term || (self.term == term && self.role == Role::Primary) {
            return false;
        }
        self.role = Role::Replica;
        self.demoted = false;
        self.following = Some(primary);
        true
    }

    /// Makes the primary of `term` refuse writes. Its followers may still receive its log. Returns whether the instance
    /// was the primary of `term`.
    pub fn demote(&mut self, term: u64) -> bool {
        let accepted = self.term == term && (self.role == Role::Primary || self.demoted);
        if accepted {
            self.role = Role::Replica;
            self.demoted = true;
        }
        accepted
    }

    /// Truncates the log where it diverges from that of the primary, then receives up to `max_records` records.
    /// Like the stand-in, the instance adopts the primary's term before it has received the log up to the start of that
    /// term.
    pub fn receive(&mut self, primary: &Self, max_records: usize) {
        let sends_log = primary.alive && (primary.role == Role::Primary || primary.demoted);
        if !self.alive || self.role == Role::Primary || !sends_log || primary.term < self.term {
            return;
        }
        let common_terms =
            self.history.iter().zip(&primary.history).take_while(|(a, b)| a == b).count();
        let fork =
            |history: &[(u64, usize)]| history.get(common_terms).map_or(usize::MAX, |fork| fork.1);
        let shorter = self.log.len().min(primary.log.len());
        self.log.truncate(shorter.min(fork(&self.history)).min(fork(&primary.history)));
        self.history.clone_from(&primary.history);
        self.term = primary.term;
        let from = self.log.len();
        self.log.extend(primary.log[from..].iter().take(max_records));
    }
}
