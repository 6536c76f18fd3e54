//! The leader's side of replication: rounds, progress of followers, the commit index, and contact with the majority.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::machine::{Raft, Role};
use super::{
    Entry, HEARTBEAT_INTERVAL, LEADERSHIP_VALIDITY, MAX_COMMAND_BYTES, MAX_ELECTION_TIMEOUT,
    Message, Output, Peer, Start,
};
use crate::clock::Instant;
use crate::control::state::{Action, Command, Voter};
use crate::id;

/// How long a leader waits for the response to a snapshot before it sends the snapshot again.
const SNAPSHOT_RETRY: Duration = Duration::from_millis(500);

/// How long the send times of rounds are kept. Responses to older rounds don't confirm leadership.
const ROUND_RETENTION: Duration = Duration::from_millis(1_200);

/// The volatile state of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    elected_at: Instant,
    /// The first entry of the term; committing it commits the entries of earlier terms.
    first_index: id::Index,
    round: u64,
    sent_rounds: VecDeque<(u64, Instant)>,
    followers: BTreeMap<id::Node, Progress>,
    next_heartbeat: Instant,
}

/// The replication progress of a follower.
#[derive(Debug, Default, Clone)]
struct Progress {
    /// When the leader first sent to this follower.
    since: Instant,
    /// The entry to send next.
    next: id::Index,
    /// The last entry known to match the leader's log.
    matched: id::Index,
    /// The newest round that the follower responded to.
    acked_round: u64,
    last_response: Instant,
    /// The disk and start of the process that acknowledged `matched`.
    process: (id::Incarnation, Start),
    needs_snapshot: bool,
    snapshot_sent: Option<Instant>,
}

impl Leader {
    pub(super) fn new(now: Instant, first_index: id::Index) -> Self {
        let (sent_rounds, followers) = (VecDeque::new(), BTreeMap::new());
        Self { elected_at: now, first_index, round: 0, sent_rounds, followers, next_heartbeat: now }
    }

    fn progress_or_insert(&mut self, now: Instant, node: &id::Node) -> &mut Progress {
        let first_index = self.first_index;
        let fresh = || Progress { since: now, next: first_index, ..Progress::default() };
        self.followers.entry(node.clone()).or_insert_with(fresh)
    }

    /// Returns the progress of a voter, or `None` if the last response under its name came from another disk.
    fn progress_of(&self, voter: &Voter) -> Option<&Progress> {
        let progress = self.followers.get(&voter.node)?;
        (progress.process.0 == voter.incarnation).then_some(progress)
    }

    fn sent_at(&self, round: u64) -> Option<Instant> {
        self.sent_rounds.iter().find(|(known, _)| *known == round).map(|(_, at)| *at)
    }
}

impl Raft {
    /// Returns whether a majority confirmed this leader recently enough that no other leader can have been elected,
    /// and all entries committed by earlier leaders are known to be committed here.
    pub fn is_confirmed_leader(&self, now: Instant) -> bool {
        self.confirmed_until(now).is_some()
    }

    /// Returns until when this leader may act without a new confirmation, or `None` if it may not act now; see
    /// [`Raft::is_confirmed_leader`].
    pub fn confirmed_until(&self, now: Instant) -> Option<Instant> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let until = self.majority_contact(now, leader)? + LEADERSHIP_VALIDITY;
        (self.commit >= leader.first_index && now < until).then_some(until)
    }

    /// Returns when this voter was elected, if it is the leader.
    pub fn leader_since(&self) -> Option<Instant> {
        match &self.role {
            Role::Leader(leader) => Some(leader.elected_at),
            _ => None,
        }
    }

    /// Returns whether a member holds all committed entries and has responded within the maximum election timeout.
    /// Always false when this voter isn't the leader.
    pub fn is_caught_up(&self, now: Instant, voter: &Voter) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let caught_up = |p: &Progress| {
            p.matched >= self.commit && now.since(p.last_response) < MAX_ELECTION_TIMEOUT
        };
        voter.node == self.me.node || leader.progress_of(voter).is_some_and(caught_up)
    }

    /// Returns whether a member has responded within the maximum election timeout. Always false when this voter isn't
    /// the leader.
    pub fn is_reachable(&self, now: Instant, node: &id::Node) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let progress = leader.followers.get(node);
        *node == self.me.node
            || progress.is_some_and(|p| now.since(p.last_response) < MAX_ELECTION_TIMEOUT)
    }

    /// Returns the time since a member last responded, or since the leader first sent to it if it never has.
    pub fn time_since_response(&self, now: Instant, node: &id::Node) -> Duration {
        let Role::Leader(leader) = &self.role else {
            return Duration::ZERO;
        };
        if *node == self.me.node {
            return Duration::ZERO;
        }
        let progress = leader.followers.get(node);
        now.since(
            progress
                .map_or(leader.elected_at, |progress| progress.last_response.max(progress.since)),
        )
    }

    /// Returns when this leader sent the newest round that a majority has responded to.
    pub fn last_majority_contact(&self, now: Instant) -> Option<Instant> {
        match &self.role {
            Role::Leader(leader) => self.majority_contact(now, leader),
            _ => None,
        }
    }

    /// Returns when the newest round that a majority has responded to was sent.
    fn majority_contact(&self, now: Instant, leader: &Leader) -> Option<Instant> {
        let members = &self.log.members;
        let own = members.is_voter(&self.me.node, self.me.incarnation);
        let needed = members.majority() - usize::from(own);
        if needed == 0 {
            return Some(now);
        }
        let others = members.voters.values().filter(|voter| voter.node != self.me.node);
        let acked = |voter| leader.progress_of(voter).map_or(0, |progress| progress.acked_round);
        let mut rounds: Vec<u64> = others.map(acked).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        leader.sent_at(*rounds.get(needed - 1)?)
    }

    /// Starts the term with a no-op entry, since entries of earlier terms are committed only through one of this term.
    pub(super) fn begin_term(&mut self, now: Instant) {
        let command = Command { origin: None, action: Action::Noop };
        self.append_command(command);
        self.broadcast(now);
    }

    pub(super) fn leader_tick(&mut self, now: Instant) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let contact = self
            .majority_contact(now, leader)
            .map_or(leader.elected_at, |contact| contact.max(leader.elected_at));
        let removed = !self.log.members.is_voter(&self.me.node, self.me.incarnation)
            && self.commit == self.log.last().1;
        let next_heartbeat = leader.next_heartbeat;
        if removed || now.since(contact) >= MAX_ELECTION_TIMEOUT {
            self.become_follower(now, self.term, None);
        } else if now >= next_heartbeat {
            self.broadcast(now);
        }
    }

    pub(super) fn propose(&mut self, now: Instant, command: Command) {
        if !self.is_leader() || command.size() > MAX_COMMAND_BYTES {
            self.outputs.push(Output::ProposalRefused);
            return;
        }
        self.append_command(command);
        self.outputs.push(Output::Proposed(self.log.last()));
        self.broadcast(now);
    }

    fn append_command(&mut self, command: Command) {
        let index = self.log.last().1.next();
        self.append(Entry { term: self.term, index, command });
    }

    pub(super) fn broadcast(&mut self, now: Instant) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.round += 1;
        leader.sent_rounds.push_back((leader.round, now));
        leader.sent_rounds.retain(|(_, at)| now.since(*at) < ROUND_RETENTION);
        leader.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let others = self.log.members.replication_targets(&self.me.node);
        let others: Vec<id::Node> = others.map(|voter| voter.node.clone()).collect();
        leader.followers.retain(|node, _| others.contains(node));
        for node in others {
            self.replicate(now, &node);
        }
    }

    /// Sends a follower its next entries, the snapshot, or an empty heartbeat.
    fn replicate(&mut self, now: Instant, node: &id::Node) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let progress = leader.progress_or_insert(now, node);
        let previous = id::Index(progress.next.0.saturating_sub(1));
        let known = self.log.term(previous);
        let message = match (known, &self.log.snapshot) {
            (Some(term), _) if !progress.needs_snapshot => {
                let entries = self.log.entries_after(previous, self.log.last().1);
                progress.next = id::Index(previous.0 + entries.len() as u64 + 1);
                let previous = (term, previous);
                Message::Append { term: self.term, round, previous, entries, commit: self.commit }
            }
            (_, Some(snapshot)) if snapshot_due(now, progress.snapshot_sent) => {
                progress.snapshot_sent = Some(now);
                let snapshot = snapshot.clone();
                Message::Snapshot { term: self.term, round, snapshot }
            }
            _ => {
                let previous = self.log.last();
                let entries = Vec::new();
                Message::Append { term: self.term, round, previous, entries, commit: self.commit }
            }
        };
        self.send(node.clone(), message);
    }

    pub(super) fn on_appended(
        &mut self,
        now: Instant,
        from: &Peer,
        (term, round): (id::Term, u64),
        matched: bool,
        last: id::Index,
    ) {
        let known = self.log.members.is_member(&from.node, from.incarnation);
        let end = self.log.last().1;
        let in_memory = |index| self.log.term(index).is_some();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if !known || term != self.term || last > end {
            return;
        }
        let progress = leader.progress_or_insert(now, &from.node);
        let process = (from.incarnation, from.start);
        if progress.process.0 != from.incarnation {
            let Progress { since, next, .. } = *progress;
            *progress = Progress { since, next, process, ..Progress::default() };
        }
        if !matched && process != progress.process && last < progress.matched {
            let start = Start { count: from.start.count + 1, ..from.start };
            let known = Peer { start, ..from.clone() };
            return self.send(from.node.clone(), Message::Outdated { known });
        }
        progress.acked_round = progress.acked_round.max(round);
        progress.last_response = now;
        progress.process = process;
        if matched {
            progress.matched = progress.matched.max(last);
            progress.next = progress.next.max(progress.matched.next());
            progress.needs_snapshot = false;
            progress.snapshot_sent = None;
        } else {
            progress.needs_snapshot |= last == id::Index(0) || !in_memory(last);
            progress.next = progress.matched.max(last).next();
        }
        let has_more = progress.next <= end && snapshot_due(now, progress.snapshot_sent);
        if has_more || !matched && snapshot_due(now, progress.snapshot_sent) {
            self.replicate(now, &from.node);
        }
        self.advance_commit_index(now);
    }

    /// Commits the entries that a majority holds, once they include an entry of the current term.
    pub(super) fn advance_commit_index(&mut self, now: Instant) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let matched = |voter: &Voter| match leader.progress_of(voter) {
            _ if voter.node == self.me.node => self.synced,
            Some(progress) => progress.matched,
            None => id::Index(0),
        };
        let mut indexes: Vec<id::Index> = self.log.members.voters.values().map(matched).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = indexes.get(self.log.members.majority() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit_up_to(index);
            self.broadcast(now);
        }
    }
}

fn snapshot_due(now: Instant, sent: Option<Instant>) -> bool {
    sent.is_none_or(|at| now.since(at) >= SNAPSHOT_RETRY)
}
