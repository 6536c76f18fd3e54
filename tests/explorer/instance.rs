//! An instance as docs/UPSTREAM.md demands it, without sockets and SQL.

use std::collections::BTreeMap;

use cactushatch::id;
use cactushatch::upstream::status::Status;
use cactushatch::wire::Role;

/// One instance; its log holds the numbers of writes.
#[derive(Debug, Clone)]
pub struct Instance {
    pub alive: bool,
    pub role: Role,
    pub stopped: bool,
    pub term: u64,
    pub history: Vec<(u64, usize)>,
    pub log: Vec<u64>,
    pub following: Option<usize>,
    /// Up to where each follower said that it holds the log.
    pub held: BTreeMap<usize, usize>,
}

impl Instance {
    pub fn new(number: usize) -> Self {
        Self {
            alive: true,
            role: if number == 0 { Role::Primary } else { Role::Replica },
            stopped: false,
            term: 1,
            history: vec![(1, 0)],
            log: Vec::new(),
            following: (number != 0).then_some(0),
            held: BTreeMap::new(),
        }
    }

    fn durable(&self, instances: usize) -> usize {
        if self.role == Role::Replica && !self.stopped {
            return 0;
        }
        let mut held: Vec<usize> = self.held.values().copied().collect();
        held.push(self.log.len());
        held.resize(held.len().max(instances), 0);
        held.sort_unstable_by(|a, b| b.cmp(a));
        held[instances / 2]
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
        }
    }

    /// Commits a write and returns its position.
    pub fn write(&mut self, number: u64) -> Option<usize> {
        if self.role != Role::Primary {
            return None;
        }
        self.log.push(number);
        Some(self.log.len())
    }

    pub fn promote(&mut self, term: u64) -> bool {
        if self.term >= term {
            return false;
        }
        self.role = Role::Primary;
        self.stopped = false;
        self.term = term;
        self.following = None;
        self.history.push((term, self.log.len()));
        self.held.clear();
        true
    }

    pub fn follow(&mut self, primary: usize, term: u64) -> bool {
        if self.term > term || (self.term == term && self.role == Role::Primary) {
            return false;
        }
        self.role = Role::Replica;
        self.stopped = false;
        self.following = Some(primary);
        true
    }

    pub fn demote(&mut self, term: u64) -> bool {
        let stops = self.term == term && (self.role == Role::Primary || self.stopped);
        if stops {
            self.role = Role::Replica;
            self.stopped = true;
        }
        stops
    }

    /// Receives up to `most` records of the primary that it follows, after dropping what that doesn't have.
    /// Like the stand-in it takes the primary's term over before it has received up to its start.
    pub fn receive(&mut self, primary: &Self, most: usize) {
        let feeds = primary.alive && (primary.role == Role::Primary || primary.stopped);
        if !self.alive || self.role == Role::Primary || !feeds || primary.term < self.term {
            return;
        }
        let shared = self.history.iter().zip(&primary.history).take_while(|(a, b)| a == b).count();
        let fork = |history: &[(u64, usize)]| history.get(shared).map_or(usize::MAX, |fork| fork.1);
        let keep = self.log.len().min(primary.log.len());
        self.log.truncate(keep.min(fork(&self.history)).min(fork(&primary.history)));
        self.history.clone_from(&primary.history);
        self.term = primary.term;
        let from = self.log.len();
        self.log.extend(primary.log[from..].iter().take(most));
    }
}
