//! Following a leader: entries and snapshots.

use super::machine::Raft;
use super::{Entry, Last, Message, Peer, Snapshot};
use crate::clock::Instant;
use crate::id;

impl Raft {
    /// Notes that a leader was heard; tells whether it is one to follow.
    pub(super) fn follows(
        &mut self,
        now: Instant,
        from: &Peer,
        term: id::Term,
        round: u64,
    ) -> bool {
        if term < self.term || (term == self.term && self.is_leader()) {
            let last = id::Index(0);
            let message = Message::Appended { term: self.term, round, matched: false, last };
            self.send_synced(from.node.clone(), message);
            return false;
        }
        self.follow(now, term, Some(from.node.clone()));
        self.heard = now;
        true
    }

    pub(super) fn on_append(
        &mut self,
        from: &Peer,
        round: u64,
        previous: Last,
        entries: Vec<Entry>,
        commit: id::Index,
    ) {
        let last = self.log.last().1;
        let holds = previous.1 <= self.commit || self.log.term(previous.1) == Some(previous.0);
        if self.is_blank() || !holds {
            let near =
                if last < previous.1 { last } else { id::Index(previous.1.0.saturating_sub(1)) };
            let last = if self.is_blank() { id::Index(0) } else { near };
            return self.acknowledge(from, round, false, last);
        }
        let end = id::Index(previous.1.0 + entries.len() as u64);
        for entry in entries {
            self.take(entry);
        }
        self.acknowledge(from, round, true, end);
        self.commit_to(commit.min(end));
    }

    fn take(&mut self, entry: Entry) {
        let held = self.log.term(entry.index) == Some(entry.term);
        if entry.index <= self.commit || held {
            return;
        }
        if entry.index <= self.log.last().1 {
            self.truncate(id::Index(entry.index.0 - 1));
        }
        self.append(entry);
    }

    pub(super) fn on_snapshot(&mut self, from: &Peer, round: u64, snapshot: Snapshot) {
        let last = snapshot.last.1;
        if self.is_blank() || last > self.commit {
            self.install(snapshot);
        }
        self.acknowledge(from, round, true, last);
    }

    fn acknowledge(&mut self, from: &Peer, round: u64, matched: bool, last: id::Index) {
        let message = Message::Appended { term: self.term, round, matched, last };
        self.send_synced(from.node.clone(), message);
    }
}
