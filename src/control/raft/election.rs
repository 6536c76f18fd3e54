//! Elections: pre-vote, votes, and the refusal to vote while a leader is in contact.

use std::collections::BTreeSet;

use super::leader::Leader;
use super::machine::{Raft, Role};
use super::{EntryId, MIN_ELECTION_TIMEOUT, Message, Output, PRE_VOTE_RETRY, Peer};
use crate::clock::Instant;
use crate::id;

impl Raft {
    fn is_voter(&self) -> bool {
        self.log.members.is_voter(&self.me.node, self.me.incarnation)
    }

    /// Starts a pre-vote, so that a voter that was partitioned doesn't raise the term and depose a working leader. A
    /// pre-vote changes no state of the other voters, so it is repeated soon: after a power loss they may have started
    /// slightly later and grant no vote yet.
    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.set_election_deadline(now, PRE_VOTE_RETRY, PRE_VOTE_RETRY);
        if !self.is_voter() {
            return;
        }
        self.leader = None;
        self.role = Role::PreCandidate(BTreeSet::from([self.me.node.clone()]));
        for to in self.other_voters() {
            let message = Message::RequestVote {
                term: self.term.next(),
                pre_vote: true,
                last: self.log.last(),
            };
            self.send(to, message);
        }
        self.check_election(now);
    }

    fn start_election(&mut self, now: Instant) {
        self.set_vote(self.term.next(), Some(self.me.node.clone()));
        self.role = Role::Candidate(BTreeSet::new());
        self.reset_election_timer(now);
        self.vote_for_self();
        for to in self.other_voters() {
            let message =
                Message::RequestVote { term: self.term, pre_vote: false, last: self.log.last() };
            self.send_synced(to, message);
        }
    }

    /// Proceeds to the next stage of the election once a majority has granted its votes.
    pub(super) fn check_election(&mut self, now: Instant) {
        let majority = self.log.members.majority();
        match &self.role {
            Role::PreCandidate(votes) if votes.len() >= majority => self.start_election(now),
            Role::Candidate(votes) if votes.len() >= majority => self.become_leader(now),
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Instant) {
        self.leader = Some(self.me.node.clone());
        self.role = Role::Leader(Leader::new(now, self.log.last().1.next()));
        self.outputs.push(Output::BecameLeader);
        self.begin_term(now);
    }

    /// Responds to a vote request. A voter that is in contact with a leader, or may have been before its restart,
    /// doesn't respond: the leader's leases rely on not being replaced within the minimum election timeout.
    pub(super) fn on_request_vote(
        &mut self,
        now: Instant,
        from: &Peer,
        (term, pre_vote): (id::Term, bool),
        last: EntryId,
    ) {
        let leader_active =
            self.is_leader() || now.since(self.last_leader_contact) < MIN_ELECTION_TIMEOUT;
        if leader_active || self.is_blank() {
            return;
        }
        let to = from.node.clone();
        if pre_vote {
            let granted = term > self.term && last >= self.log.last();
            let term = if granted { term } else { self.term };
            if granted {
                self.defer_own_election(now, from);
            }
            return self.send(to, Message::Vote { term, pre_vote, granted });
        }
        if term > self.term {
            self.become_follower(now, term, None);
        }
        let may_vote = self.vote.as_ref().is_none_or(|vote| *vote == from.node);
        let granted = term == self.term && may_vote && last >= self.log.last();
        if granted {
            self.set_vote(term, Some(from.node.clone()));
            self.reset_election_timer(now);
        }
        self.send_synced(to, Message::Vote { term: self.term, pre_vote, granted });
    }

    /// Postpones this voter's election in favour of the voter that was just granted a pre-vote: concurrent elections would
    /// split the votes. Of two voters that run a pre-vote at the same time, the one with the smaller name continues.
    fn defer_own_election(&mut self, now: Instant, from: &Peer) {
        let in_pre_vote = matches!(self.role, Role::PreCandidate(_));
        if in_pre_vote && from.node > self.me.node {
            return;
        }
        if in_pre_vote {
            self.role = Role::Follower;
        }
        self.election_deadline = self.election_deadline.max(now + 2 * PRE_VOTE_RETRY);
    }

    /// Counts a vote, provided that the voter's disk is the admitted one.
    pub(super) fn on_vote(
        &mut self,
        now: Instant,
        from: &Peer,
        (term, pre_vote): (id::Term, bool),
        granted: bool,
    ) {
        if !self.log.members.is_voter(&from.node, from.incarnation) {
            return;
        }
        if !granted {
            if term > self.term {
                self.become_follower(now, term, None);
            }
            return;
        }
        let next = self.term.next();
        let node = from.node.clone();
        match &mut self.role {
            Role::PreCandidate(votes) if pre_vote && term == next => votes.insert(node),
            Role::Candidate(votes) if !pre_vote && term == self.term => votes.insert(node),
            _ => return,
        };
        self.check_election(now);
    }

    pub(super) fn other_voters(&self) -> Vec<id::Node> {
        let voters = self.log.members.voters.keys();
        voters.filter(|node| **node != self.me.node).cloned().collect()
    }
}
