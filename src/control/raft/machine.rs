//! The Raft state machine: the parts common to leaders, candidates and followers.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use super::leader::Leader;
use super::log::Log;
use super::{
    Change, Entry, EntryId, Input, MAX_ELECTION_TIMEOUT, MIN_ELECTION_TIMEOUT, Members, Message,
    Output, PRE_VOTE_RETRY, Peer, PersistentState, Snapshot,
};
use crate::clock::Instant;
use crate::id;

/// The Raft state of one voter or learner.
#[derive(Debug)]
pub struct Raft {
    pub(super) me: Peer,
    pub(super) term: id::Term,
    pub(super) vote: Option<id::Node>,
    pub(super) log: Log,
    pub(super) role: Role,
    pub(super) leader: Option<id::Node>,
    /// When a leader last made contact. Initially the start time, since a leader may have made contact just before
    /// the restart.
    pub(super) last_leader_contact: Instant,
    pub(super) election_deadline: Instant,
    pub(super) commit: id::Index,
    /// The last entry synced to the local disk.
    pub(super) synced: id::Index,
    pub(super) outputs: Vec<Output>,
    random: fastrand::Rng,
    change: Change,
    last_ticket: u64,
    synced_ticket: u64,
    /// The tickets not yet synced, each with the last entry of the log at that point.
    unsynced: VecDeque<(u64, id::Index)>,
    /// Effects to run once the disk has synced their ticket.
    after_sync: VecDeque<(u64, AfterSync)>,
}

#[derive(Debug)]
pub(super) enum Role {
    Follower,
    /// Runs a pre-vote; holds the nodes that granted it.
    PreCandidate(BTreeSet<id::Node>),
    Candidate(BTreeSet<id::Node>),
    Leader(Leader),
}

/// An effect that requires earlier changes to be synced.
#[derive(Debug)]
enum AfterSync {
    Send { to: id::Node, message: Message },
    OwnVote(id::Term),
}

impl Raft {
    /// Creates a follower from the persistent state; `seed` randomizes the election timeouts.
    pub fn new(now: Instant, me: Peer, saved: &PersistentState, seed: u64) -> Self {
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
            last_leader_contact: now,
            election_deadline: now,
            commit: snapshot,
            outputs: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            change: Change::default(),
            last_ticket: 0,
            synced_ticket: 0,
            unsynced: VecDeque::new(),
            after_sync: VecDeque::new(),
        };
        // A live leader makes contact within this time, and a voter grants no vote before it has passed.
        raft.set_election_deadline(now, MIN_ELECTION_TIMEOUT, 2 * PRE_VOTE_RETRY);
        raft
    }

    /// Processes one input and returns the outputs to carry out, in order.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message { from, message } => self.on_message(now, &from, message),
            Input::Propose(command) => self.propose(now, command),
            Input::Confirm => self.broadcast(now),
            Input::Synced { ticket } => self.on_synced(now, ticket),
            Input::Compact { index, state } => self.compact(index, state),
            Input::Bootstrap(members) => self.bootstrap(now, members),
        }
        self.flush_changes();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the identity of this run of the process.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Returns the current term.
    pub fn term(&self) -> id::Term {
        self.term
    }

    /// Returns the commit index.
    pub fn commit(&self) -> id::Index {
        self.commit
    }

    /// Returns the id of the last entry of the log.
    pub fn last(&self) -> EntryId {
        self.log.last()
    }

    /// Returns the members as of the last entry of the log.
    pub fn members(&self) -> &Members {
        &self.log.members
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<&id::Node> {
        self.leader.as_ref()
    }

    /// Returns the time since a leader last made contact; zero on the leader itself.
    pub fn time_without_leader(&self, now: Instant) -> Duration {
        if self.is_leader() { Duration::ZERO } else { now.since(self.last_leader_contact) }
    }

    /// Returns whether this voter considers itself the leader; it may have been replaced without its knowledge,
    /// see [`Raft::is_confirmed_leader`].
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether the log has no members yet, as on a blank disk.
    pub fn is_blank(&self) -> bool {
        self.log.members.is_empty()
    }

    fn tick(&mut self, now: Instant) {
        if self.is_leader() {
            self.leader_tick(now);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now);
        }
    }

    fn on_message(&mut self, now: Instant, from: &Peer, message: Message) {
        if let Some(known) = self.log.members.superseding(from) {
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
                if self.accept_leader(now, from, term, round) {
                    self.on_append(from, round, previous, entries, commit);
                }
            }
            Message::Snapshot { term, round, snapshot } => {
                if self.accept_leader(now, from, term, round) {
                    self.on_snapshot(from, round, snapshot);
                }
            }
            Message::Appended { term, round, matched, last } => {
                if term > self.term {
                    self.become_follower(now, term, None);
                } else {
                    self.on_appended(now, from, (term, round), matched, last);
                }
            }
            Message::Hello { .. } | Message::Outdated { .. } => {}
        }
    }

    /// Becomes a follower in a newer term or the current one.
    pub(super) fn become_follower(
        &mut self,
        now: Instant,
        term: id::Term,
        leader: Option<id::Node>,
    ) {
        if term > self.term {
            self.set_vote(term, None);
        }
        if self.is_leader() {
            self.outputs.push(Output::SteppedDown);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now);
    }

    pub(super) fn set_vote(&mut self, term: id::Term, vote: Option<id::Node>) {
        self.term = term;
        self.vote.clone_from(&vote);
        self.change.vote = Some((term, vote));
    }

    /// Restarts the election timeout with a new random length, so that voters rarely time out together.
    pub(super) fn reset_election_timer(&mut self, now: Instant) {
        self.set_election_deadline(
            now,
            MIN_ELECTION_TIMEOUT,
            MAX_ELECTION_TIMEOUT - MIN_ELECTION_TIMEOUT,
        );
    }

    /// Sets the election deadline to between `min` and `min + spread` from now.
    pub(super) fn set_election_deadline(&mut self, now: Instant, min: Duration, spread: Duration) {
        let extra = Duration::from_micros(self.random.u64(0..spread.as_micros() as u64));
        self.election_deadline = now + min + extra;
    }

    pub(super) fn append(&mut self, entry: Entry) {
        self.change.entries.push(entry.clone());
        self.log.push(entry);
    }

    pub(super) fn truncate(&mut self, index: id::Index) {
        self.log.truncate(index);
        self.synced = self.synced.min(index);
        for (_, last) in &mut self.unsynced {
            *last = (*last).min(index);
        }
        self.change.entries.retain(|entry| entry.index <= index);
        self.change.truncate = Some(index);
    }

    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.last.1;
        self.log.replace(snapshot.clone());
        self.commit = index;
        self.synced = id::Index(0);
        self.unsynced.clear();
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

    /// Initializes a new cluster: the first members are stored as a snapshot of the empty log.
    fn bootstrap(&mut self, now: Instant, members: Members) {
        if !self.is_blank() || members.is_empty() {
            return;
        }
        let state = Vec::new();
        let snapshot = Snapshot { last: EntryId::default(), members, state };
        self.log.replace(snapshot.clone());
        self.change.snapshot = Some(snapshot);
        self.reset_election_timer(now);
        if self.log.members.voters.len() == 1 {
            self.election_deadline = now;
        }
    }

    /// Sends a message that doesn't depend on unsynced changes.
    pub(super) fn send(&mut self, to: id::Node, message: Message) {
        self.outputs.push(Output::Send { to, message });
    }

    /// Sends a message once all changes so far are synced.
    pub(super) fn send_synced(&mut self, to: id::Node, message: Message) {
        self.run_after_sync(AfterSync::Send { to, message });
    }

    pub(super) fn vote_for_self(&mut self) {
        self.run_after_sync(AfterSync::OwnVote(self.term));
    }

    fn run_after_sync(&mut self, effect: AfterSync) {
        let ticket =
            if self.change == Change::default() { self.last_ticket } else { self.last_ticket + 1 };
        self.after_sync.push_back((ticket, effect));
    }

    fn flush_changes(&mut self) {
        if self.change != Change::default() {
            self.last_ticket += 1;
            self.unsynced.push_back((self.last_ticket, self.log.last().1));
            let change = std::mem::take(&mut self.change);
            self.outputs.push(Output::Persist { ticket: self.last_ticket, change });
        }
        while let Some((ticket, _)) = self.after_sync.front()
            && *ticket <= self.synced_ticket
        {
            match self.after_sync.pop_front() {
                Some((_, AfterSync::Send { to, message })) => self.send(to, message),
                Some((_, AfterSync::OwnVote(term))) => self.count_own_vote(term),
                None => break,
            }
        }
    }

    fn on_synced(&mut self, now: Instant, ticket: u64) {
        self.synced_ticket = self.synced_ticket.max(ticket);
        while let Some((written, last)) = self.unsynced.front()
            && *written <= ticket
        {
            self.synced = self.synced.max(*last);
            self.unsynced.pop_front();
        }
        self.run_synced(now);
        self.advance_commit_index(now);
    }

    /// Runs the effects whose changes are synced. Counting the own vote may win the election.
    fn run_synced(&mut self, now: Instant) {
        while let Some((ticket, _)) = self.after_sync.front()
            && *ticket <= self.synced_ticket
        {
            match self.after_sync.pop_front() {
                Some((_, AfterSync::Send { to, message })) => self.send(to, message),
                Some((_, AfterSync::OwnVote(term))) => {
                    self.count_own_vote(term);
                    self.check_election(now);
                }
                None => break,
            }
        }
    }

    fn count_own_vote(&mut self, term: id::Term) {
        let me = self.me.node.clone();
        if let Role::Candidate(votes) = &mut self.role
            && term == self.term
        {
            votes.insert(me);
        }
    }

    /// Advances the commit index and outputs the newly committed entries.
    pub(super) fn commit_up_to(&mut self, index: id::Index) {
        if index > self.commit {
            let entries = self.log.range(self.commit.next(), index);
            self.commit = index;
            self.outputs.push(Output::Apply(entries));
        }
    }
}
