//! Leading: rounds, replication, commitment, and the proof that the majority still follows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::machine::{Raft, Role};
use super::{
    CLOCK_MARGIN, Entry, HEARTBEAT, MAX_COMMAND_BYTES, MAX_ELECTION, MIN_ELECTION, Message, Output,
    Peer, Start,
};
use crate::clock::Instant;
use crate::control::state::{Action, Command, Voter};
use crate::id;

/// How long a snapshot is given to arrive before it is sent again.
const SNAPSHOT_RETRY: Duration = Duration::from_millis(500);

/// How long the sending times of rounds are kept; an older round proves nothing.
const KEPT_ROUNDS: Duration = Duration::from_millis(1_200);

/// What only a leader holds.
#[derive(Debug)]
pub(super) struct Lead {
    since: Instant,
    /// The first entry of the term; what earlier leaders left is committed with it.
    first: id::Index,
    round: u64,
    rounds: VecDeque<(u64, Instant)>,
    peers: BTreeMap<id::Node, Progress>,
    beat: Instant,
}

/// How far a follower is.
#[derive(Debug, Default, Clone)]
struct Progress {
    /// Since when it is a member, or this leader leads.
    since: Instant,
    /// The entry to send next, and the last one known to match there.
    next: id::Index,
    matched: id::Index,
    /// The newest round it answered, and when.
    acked: u64,
    heard: Instant,
    /// Which start of the process acknowledged `matched`.
    life: (id::Incarnation, Start),
    needs_snapshot: bool,
    snapshot_sent: Option<Instant>,
}

impl Lead {
    pub(super) fn new(now: Instant, first: id::Index) -> Self {
        let (rounds, peers) = (VecDeque::new(), BTreeMap::new());
        Self { since: now, first, round: 0, rounds, peers, beat: now }
    }

    fn progress(&mut self, now: Instant, node: &id::Node) -> &mut Progress {
        let first = self.first;
        let fresh = || Progress { since: now, next: first, ..Progress::default() };
        self.peers.entry(node.clone()).or_insert_with(fresh)
    }

    /// Returns how far a voter is, unless another disk answers under its name.
    fn of(&self, voter: &Voter) -> Option<&Progress> {
        let progress = self.peers.get(&voter.node)?;
        (progress.life.0 == voter.incarnation).then_some(progress)
    }

    fn sent(&self, round: u64) -> Option<Instant> {
        self.rounds.iter().find(|(known, _)| *known == round).map(|(_, at)| *at)
    }
}

impl Raft {
    /// Tells whether this voter leads, proved by its majority: no other leader can have been elected yet, and
    /// everything that was ever committed is applied or about to be.
    pub fn leads(&self, now: Instant) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let fresh = |proof: Instant| now < proof + MIN_ELECTION - CLOCK_MARGIN;
        self.commit >= lead.first && self.proof(now, lead).is_some_and(fresh)
    }

    /// Returns when this voter was elected, while it leads.
    pub fn led_since(&self) -> Option<Instant> {
        match &self.role {
            Role::Leader(lead) => Some(lead.since),
            _ => None,
        }
    }

    /// Tells whether a member holds every committed entry, was heard a moment ago, and follows.
    pub fn caught_up(&self, now: Instant, voter: &Voter) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let heard = |p: &Progress| p.matched >= self.commit && now.since(p.heard) < MAX_ELECTION;
        voter.node == self.me.node || lead.of(voter).is_some_and(heard)
    }

    /// Tells whether a member answers.
    pub fn hears(&self, now: Instant, node: &id::Node) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let progress = lead.peers.get(node);
        *node == self.me.node || progress.is_some_and(|p| now.since(p.heard) < MAX_ELECTION)
    }

    /// Returns how long a member has not answered; one that never did is silent since the election.
    pub fn silence(&self, now: Instant, node: &id::Node) -> Duration {
        let Role::Leader(lead) = &self.role else {
            return Duration::ZERO;
        };
        if *node == self.me.node {
            return Duration::ZERO;
        }
        let progress = lead.peers.get(node);
        now.since(progress.map_or(lead.since, |progress| progress.heard.max(progress.since)))
    }

    /// Returns when this leader sent what a majority last answered.
    pub fn confirmed(&self, now: Instant) -> Option<Instant> {
        match &self.role {
            Role::Leader(lead) => self.proof(now, lead),
            _ => None,
        }
    }

    /// Returns when the newest round was sent that a majority has answered.
    fn proof(&self, now: Instant, lead: &Lead) -> Option<Instant> {
        let members = &self.log.members;
        let own = members.votes(&self.me.node, self.me.incarnation);
        let needed = members.majority() - usize::from(own);
        if needed == 0 {
            return Some(now);
        }
        let others = members.voters.values().filter(|voter| voter.node != self.me.node);
        let acked = |voter| lead.of(voter).map_or(0, |progress| progress.acked);
        let mut rounds: Vec<u64> = others.map(acked).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        lead.sent(*rounds.get(needed - 1)?)
    }

    /// Begins the term with an entry of its own.
    pub(super) fn begin_term(&mut self, now: Instant) {
        let command = Command { origin: None, action: Action::Noop };
        self.append_own(command);
        self.broadcast(now);
    }

    pub(super) fn lead_tick(&mut self, now: Instant) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let proof = self.proof(now, lead).map_or(lead.since, |proof| proof.max(lead.since));
        let removed = !self.log.members.votes(&self.me.node, self.me.incarnation)
            && self.commit == self.log.last().1;
        let beat = lead.beat;
        if removed || now.since(proof) >= MAX_ELECTION {
            self.follow(now, self.term, None);
        } else if now >= beat {
            self.broadcast(now);
        }
    }

    pub(super) fn propose(&mut self, now: Instant, command: Command) {
        if !self.is_leader() || command.size() > MAX_COMMAND_BYTES {
            self.outputs.push(Output::Refused);
            return;
        }
        self.append_own(command);
        self.outputs.push(Output::Proposed(self.log.last()));
        self.broadcast(now);
    }

    fn append_own(&mut self, command: Command) {
        let index = self.log.last().1.next();
        self.append(Entry { term: self.term, index, command });
    }

    fn broadcast(&mut self, now: Instant) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.round += 1;
        lead.rounds.push_back((lead.round, now));
        lead.rounds.retain(|(_, at)| now.since(*at) < KEPT_ROUNDS);
        lead.beat = now + HEARTBEAT;
        let others = self.log.members.others(&self.me.node);
        let others: Vec<id::Node> = others.map(|voter| voter.node.clone()).collect();
        lead.peers.retain(|node, _| others.contains(node));
        for node in others {
            self.replicate(now, &node);
        }
    }

    /// Sends a follower what comes next.
    fn replicate(&mut self, now: Instant, node: &id::Node) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let round = lead.round;
        let progress = lead.progress(now, node);
        let previous = id::Index(progress.next.0.saturating_sub(1));
        let known = self.log.term(previous);
        let message = match (known, &self.log.snapshot) {
            (Some(term), _) if !progress.needs_snapshot => {
                let entries = self.log.after(previous, self.log.last().1);
                progress.next = id::Index(previous.0 + entries.len() as u64 + 1);
                let previous = (term, previous);
                Message::Append { term: self.term, round, previous, entries, commit: self.commit }
            }
            (_, Some(snapshot)) if due(now, progress.snapshot_sent) => {
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
        let known = self.log.members.knows(&from.node, from.incarnation);
        let end = self.log.last().1;
        let base_known = |index| self.log.term(index).is_some();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if !known || term != self.term || last > end {
            return;
        }
        let progress = lead.progress(now, &from.node);
        let life = (from.incarnation, from.start);
        if progress.life.0 != from.incarnation {
            let Progress { since, next, .. } = *progress;
            *progress = Progress { since, next, life, ..Progress::default() };
        }
        if !matched && life != progress.life && last < progress.matched {
            let start = Start { count: from.start.count + 1, ..from.start };
            let known = Peer { start, ..from.clone() };
            return self.send(from.node.clone(), Message::Outdated { known });
        }
        progress.acked = progress.acked.max(round);
        progress.heard = now;
        progress.life = life;
        if matched {
            progress.matched = progress.matched.max(last);
            progress.next = progress.next.max(progress.matched.next());
            progress.needs_snapshot = false;
            progress.snapshot_sent = None;
        } else {
            progress.needs_snapshot |= last == id::Index(0) || !base_known(last);
            progress.next = progress.matched.max(last).next();
        }
        let more = progress.next <= end && due(now, progress.snapshot_sent);
        if more || !matched && due(now, progress.snapshot_sent) {
            self.replicate(now, &from.node);
        }
        self.advance(now);
    }

    /// Commits what a majority holds, once an entry of the own term is among it.
    pub(super) fn advance(&mut self, now: Instant) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let matched = |voter: &Voter| match lead.of(voter) {
            _ if voter.node == self.me.node => self.synced,
            Some(progress) => progress.matched,
            None => id::Index(0),
        };
        let mut held: Vec<id::Index> = self.log.members.voters.values().map(matched).collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = held.get(self.log.members.majority() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit_to(index);
            self.broadcast(now);
        }
    }
}

fn due(now: Instant, sent: Option<Instant>) -> bool {
    sent.is_none_or(|at| now.since(at) >= SNAPSHOT_RETRY)
}
