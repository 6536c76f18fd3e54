//! The machine: what is common to leaders and followers.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use super::leader::Lead;
use super::log::Log;
use super::{
    ASK_AGAIN, Change, Entry, Input, Last, MAX_ELECTION, MIN_ELECTION, Members, Message, Output,
    Peer, Saved, Snapshot,
};
use crate::clock::Instant;
use crate::id;

/// One voter, or one that learns.
#[derive(Debug)]
pub struct Raft {
    pub(super) me: Peer,
    pub(super) term: id::Term,
    pub(super) vote: Option<id::Node>,
    pub(super) log: Log,
    pub(super) role: Role,
    pub(super) leader: Option<id::Node>,
    /// When a leader was last heard; at first the start, since a leader may have been heard before it.
    pub(super) heard: Instant,
    pub(super) deadline: Instant,
    pub(super) commit: id::Index,
    /// The last entry that is synced here.
    pub(super) synced: id::Index,
    pub(super) outputs: Vec<Output>,
    random: fastrand::Rng,
    change: Change,
    issued: u64,
    done: u64,
    pending: VecDeque<(u64, id::Index)>,
    held: VecDeque<(u64, Held)>,
}

#[derive(Debug)]
pub(super) enum Role {
    Follower,
    /// Asks whether it would get the votes.
    PreCandidate(BTreeSet<id::Node>),
    Candidate(BTreeSet<id::Node>),
    Leader(Lead),
}

/// What waits for the disk.
#[derive(Debug)]
enum Held {
    Send { to: id::Node, message: Message },
    OwnVote(id::Term),
}

impl Raft {
    /// Starts from what the disk held; `seed` varies the election timeouts.
    pub fn new(now: Instant, me: Peer, saved: &Saved, seed: u64) -> Self {
        let log = Log::new(saved);
        let snapshot = saved.snapshot.as_ref().map_or(id::Index(0), |snapshot| snapshot.last.1);
        let mut raft = Self {
            me,
            term: saved.term.max(log.last().0),
            vote: saved.vote.clone(),
            synced: log.last().1,
            log,
            role: Role::Follower,
            leader: None,
            heard: now,
            deadline: now,
            commit: snapshot,
            outputs: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            change: Change::default(),
            issued: 0,
            done: 0,
            pending: VecDeque::new(),
            held: VecDeque::new(),
        };
        // A leader would be heard within this time, and until then nobody votes.
        raft.wait_for(now, MIN_ELECTION, 2 * ASK_AGAIN);
        raft
    }

    /// Takes one input and returns what is to be done, in order.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message { from, message } => self.message(now, &from, message),
            Input::Propose(command) => self.propose(now, command),
            Input::Synced { ticket } => self.on_synced(now, ticket),
            Input::Compact { index, state } => self.compact(index, state),
            Input::Found(members) => self.found(now, members),
        }
        self.finish();
        std::mem::take(&mut self.outputs)
    }

    /// Returns which life of the process this is.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Returns the newest term.
    pub fn term(&self) -> id::Term {
        self.term
    }

    /// Returns up to where the log is known to be committed.
    pub fn commit(&self) -> id::Index {
        self.commit
    }

    /// Returns the last entry of the log.
    pub fn last(&self) -> Last {
        self.log.last()
    }

    /// Returns the members as of the last entry.
    pub fn members(&self) -> &Members {
        &self.log.members
    }

    /// Returns the leader, as far as it is known.
    pub fn leader(&self) -> Option<&id::Node> {
        self.leader.as_ref()
    }

    /// Tells how long no leader was heard here; a leader hears itself.
    pub fn leaderless(&self, now: Instant) -> Duration {
        if self.is_leader() { Duration::ZERO } else { now.since(self.heard) }
    }

    /// Tells whether this is the leader by its own view; [`Raft::leads`] tells whether that is proved.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Tells whether nothing was ever written to this disk.
    pub fn is_blank(&self) -> bool {
        self.log.members.is_empty()
    }

    fn tick(&mut self, now: Instant) {
        if self.is_leader() {
            self.lead_tick(now);
        } else if now >= self.deadline {
            self.ask_pre_votes(now);
        }
    }

    fn message(&mut self, now: Instant, from: &Peer, message: Message) {
        if let Some(known) = self.log.members.newer(from) {
            if !matches!(message, Message::Outdated { .. }) {
                self.send(from.node.clone(), Message::Outdated { known });
            }
            return;
        }
        match message {
            Message::RequestVote { term, pre_vote, last } => {
                self.on_request_vote(now, from, (term, pre_vote), last);
            }
            Message::Vote { term, pre_vote, granted } => {
                self.on_vote(now, from, (term, pre_vote), granted);
            }
            Message::Append { term, round, previous, entries, commit } => {
                if self.follows(now, from, term, round) {
                    self.on_append(from, round, previous, entries, commit);
                }
            }
            Message::Snapshot { term, round, snapshot } => {
                if self.follows(now, from, term, round) {
                    self.on_snapshot(from, round, snapshot);
                }
            }
            Message::Appended { term, round, matched, last } => {
                if term > self.term {
                    self.follow(now, term, None);
                } else {
                    self.on_appended(now, from, (term, round), matched, last);
                }
            }
            Message::Hello { .. } | Message::Outdated { .. } => {}
        }
    }

    /// Becomes a follower, of a newer term or of the present one.
    pub(super) fn follow(&mut self, now: Instant, term: id::Term, leader: Option<id::Node>) {
        if term > self.term {
            self.set_vote(term, None);
        }
        if self.is_leader() {
            self.outputs.push(Output::SteppedDown);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.wait(now);
    }

    pub(super) fn set_vote(&mut self, term: id::Term, vote: Option<id::Node>) {
        self.term = term;
        self.vote.clone_from(&vote);
        self.change.vote = Some((term, vote));
    }

    /// Waits for a leader, for a time that differs from the other voters'.
    pub(super) fn wait(&mut self, now: Instant) {
        self.wait_for(now, MIN_ELECTION, MAX_ELECTION - MIN_ELECTION);
    }

    /// Waits for `least` and for up to `spread` longer.
    pub(super) fn wait_for(&mut self, now: Instant, least: Duration, spread: Duration) {
        let extra = Duration::from_micros(self.random.u64(0..spread.as_micros() as u64));
        self.deadline = now + least + extra;
    }

    pub(super) fn append(&mut self, entry: Entry) {
        self.change.entries.push(entry.clone());
        self.log.push(entry);
    }

    pub(super) fn truncate(&mut self, index: id::Index) {
        self.log.truncate(index);
        self.synced = self.synced.min(index);
        for (_, last) in &mut self.pending {
            *last = (*last).min(index);
        }
        self.change.entries.retain(|entry| entry.index <= index);
        self.change.truncate = Some(index);
    }

    pub(super) fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.last.1;
        self.log.replace(snapshot.clone());
        self.commit = index;
        self.synced = id::Index(0);
        self.pending.clear();
        self.change.entries.clear();
        self.change.truncate = Some(id::Index(0));
        self.change.snapshot = Some(snapshot.clone());
        self.outputs.push(Output::Restore(snapshot));
    }

    fn compact(&mut self, index: id::Index, state: Vec<u8>) {
        let known = self.log.snapshot.as_ref().map_or(id::Index(0), |snapshot| snapshot.last.1);
        if index <= known || index > self.commit {
            return;
        }
        let Some(term) = self.log.term(index) else {
            return;
        };
        let snapshot = Snapshot { last: (term, index), members: self.log.members_at(index), state };
        self.log.compact(snapshot.clone());
        self.change.snapshot = Some(snapshot);
    }

    /// Begins a fleet: the first members are a snapshot of an empty log.
    fn found(&mut self, now: Instant, members: Members) {
        if !self.is_blank() || members.is_empty() {
            return;
        }
        let state = Vec::new();
        let snapshot = Snapshot { last: Last::default(), members, state };
        self.log.replace(snapshot.clone());
        self.change.snapshot = Some(snapshot);
        self.wait(now);
        if self.log.members.voters.len() == 1 {
            self.deadline = now;
        }
    }

    /// Sends at once what does not depend on the disk.
    pub(super) fn send(&mut self, to: id::Node, message: Message) {
        self.outputs.push(Output::Send { to, message });
    }

    /// Sends as soon as everything changed so far is synced.
    pub(super) fn send_synced(&mut self, to: id::Node, message: Message) {
        self.hold(Held::Send { to, message });
    }

    pub(super) fn vote_for_itself(&mut self) {
        self.hold(Held::OwnVote(self.term));
    }

    fn hold(&mut self, held: Held) {
        let ticket = if self.change == Change::default() { self.issued } else { self.issued + 1 };
        self.held.push_back((ticket, held));
    }

    fn finish(&mut self) {
        if self.change != Change::default() {
            self.issued += 1;
            self.pending.push_back((self.issued, self.log.last().1));
            let change = std::mem::take(&mut self.change);
            self.outputs.push(Output::Persist { ticket: self.issued, change });
        }
        while let Some((ticket, _)) = self.held.front()
            && *ticket <= self.done
        {
            match self.held.pop_front() {
                Some((_, Held::Send { to, message })) => self.send(to, message),
                Some((_, Held::OwnVote(term))) => self.own_vote(term),
                None => break,
            }
        }
    }

    fn on_synced(&mut self, now: Instant, ticket: u64) {
        self.done = self.done.max(ticket);
        while let Some((issued, last)) = self.pending.front()
            && *issued <= ticket
        {
            self.synced = self.synced.max(*last);
            self.pending.pop_front();
        }
        self.release(now);
        self.advance(now);
    }

    /// Lets go of what waited for the disk and may win an election by it.
    fn release(&mut self, now: Instant) {
        while let Some((ticket, _)) = self.held.front()
            && *ticket <= self.done
        {
            match self.held.pop_front() {
                Some((_, Held::Send { to, message })) => self.send(to, message),
                Some((_, Held::OwnVote(term))) => {
                    self.own_vote(term);
                    self.count(now);
                }
                None => break,
            }
        }
    }

    fn own_vote(&mut self, term: id::Term) {
        let me = self.me.node.clone();
        if let Role::Candidate(votes) = &mut self.role
            && term == self.term
        {
            votes.insert(me);
        }
    }

    /// Reports what became committed.
    pub(super) fn commit_to(&mut self, index: id::Index) {
        if index > self.commit {
            let entries = self.log.range(self.commit.next(), index);
            self.commit = index;
            self.outputs.push(Output::Committed(entries));
        }
    }
}
