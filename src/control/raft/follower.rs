//! The follower's side of replication: entries and snapshots from the leader.

use super::machine::Raft;
use super::{Entry, EntryId, Message, Peer, Snapshot};
use crate::clock::Instant;
use crate::id;

impl Raft {
    /// Follows the sender and returns true, unless its term is outdated or this voter leads the same term.
    pub(super) fn accept_leader(
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
        self.become_follower(now, term, Some(from.node.clone()));
        self.last_leader_contact = now;
        true
    }

    pub(super) fn on_append(
        &mut self,
        from: &Peer,
        round: u64,
        previous: EntryId,
        entries: Vec<Entry>,
        commit: id::Index,
    ) {
        let last = self.log.last().1;
        let has_previous =
            previous.1 <= self.commit || self.log.term(previous.1) == Some(previous.0);
        if self.is_blank() || !has_previous {
            let retry_after =
                if last < previous.1 { last } else { id::Index(previous.1.0.saturating_sub(1)) };
            let last = if self.is_blank() { id::Index(0) } else { retry_after };
            return self.acknowledge(from, round, false, last);
        }
        let end = id::Index(previous.1.0 + entries.len() as u64);
        for entry in entries {
            self.append_if_missing(entry);
        }
        self.acknowledge(from, round, true, end);
        self.commit_up_to(commit.min(end));
    }

    fn append_if_missing(&mut self, entry: Entry) {
        let present = self.log.term(entry.index) == Some(entry.term);
        if entry.index <= self.commit || present {
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
            self.install_snapshot(snapshot);
        }
        self.acknowledge(from, round, true, last);
    }

    fn acknowledge(&mut self, from: &Peer, round: u64, matched: bool, last: id::Index) {
        let message = Message::Appended { term: self.term, round, matched, last };
        self.send_synced(from.node.clone(), message);
    }
}
