//! Everything that decides, under one lock that is never held over an `await`.

use std::collections::{BTreeMap, BTreeSet};

use log::Level;
use smol::channel::Sender;

use super::failover::Output as Decision;
use super::leader::Leader;
use super::meeting::{Greeting, Meeting};
use super::member::{self, Heard};
use super::raft::{Bootstrap, Entry, Last, Message, Output, Raft, Snapshot};
use super::registry::Verdict;
use super::state::{Action, Command, State};
use crate::clock::Instant;
use crate::config;
use crate::id;
use crate::report::Event;
use crate::wire::{Announcement, Answer, Frame, Grant, Heartbeat, Phase, Stamp};

/// After how many entries the log is compacted; it bounds what a restart reads.
const COMPACT_ENTRIES: u64 = 512;

/// The machines of a control process.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) raft: Raft,
    pub(super) state: State,
    /// The declarations in force, as far as this process has led with them.
    pub(super) fleet: config::Fleet,
    /// Which revision `fleet` was read from.
    read_from: Option<id::Revision>,
    pub(super) leader: Leader,
    pub(super) heard: Heard,
    pub(super) bootstrap: Bootstrap,
    /// How this process gets to know the others, where the settings name seeds.
    pub(super) meeting: Option<Meeting>,
    /// Why this process takes no part any more.
    pub(super) stopped: Option<String>,
    /// Since when this process leads with the decisions of all earlier leaders applied.
    reign: Option<Instant>,
    applied: Last,
    compacted: id::Index,
    waiters: BTreeMap<id::Index, (id::Term, Sender<Answer>)>,
    registering: BTreeSet<(id::Node, id::Incarnation)>,
    changing: Option<id::Index>,
}

impl Core {
    pub(super) fn new(raft: Raft, bootstrap: Bootstrap, snapshot: Option<&Snapshot>) -> Self {
        let mut core = Self {
            raft,
            state: State::default(),
            fleet: config::Fleet::default(),
            read_from: None,
            leader: Leader::default(),
            heard: Heard::default(),
            bootstrap,
            meeting: None,
            stopped: None,
            reign: None,
            applied: Last::default(),
            compacted: id::Index(0),
            waiters: BTreeMap::new(),
            registering: BTreeSet::new(),
            changing: None,
        };
        if let Some(snapshot) = snapshot {
            core.restore(snapshot);
        }
        core
    }

    /// Starts anew with what the disk holds, keeping who was met.
    pub(super) fn revive(&mut self, raft: Raft, snapshot: Option<&Snapshot>) {
        let own = Bootstrap::new(raft.me().clone(), Vec::new());
        let mut fresh = Self::new(raft, own, snapshot);
        fresh.heard.seats = self.heard.seats;
        fresh.meeting = self.meeting.take();
        *self = fresh;
    }

    pub(super) fn stamp(&self) -> Stamp {
        Stamp { term: self.raft.term(), index: self.applied.1 }
    }

    /// Tells whether this process may speak for control.
    pub(super) fn leads(&self, now: Instant) -> bool {
        self.stopped.is_none() && self.reign.is_some() && self.raft.leads(now)
    }

    /// Takes what the machine says about the log, and leaves what is for the edges.
    pub(super) fn take(&mut self, now: Instant, output: &Output) {
        match output {
            Output::Committed(entries) => entries.iter().for_each(|entry| self.apply(now, entry)),
            Output::Restore(snapshot) => self.restore(snapshot),
            Output::BecameLeader => {
                Event::Leader { leads: true, term: self.raft.term() }.log(Level::Info);
                self.begin();
            }
            Output::SteppedDown => {
                Event::Leader { leads: false, term: self.raft.term() }.log(Level::Info);
                self.begin();
                self.give_up();
            }
            _ => {}
        }
    }

    /// Takes no part any more.
    pub(super) fn stop(&mut self, reason: &str) {
        self.stopped = Some(reason.to_owned());
        self.give_up();
    }

    /// Answers everyone who waits that the fate of the command is unknown.
    fn give_up(&mut self) {
        for (_, (_, waiter)) in std::mem::take(&mut self.waiters) {
            let _ = waiter.try_send(Answer::Unknown);
        }
    }

    /// Forgets what belonged to an earlier reign.
    fn begin(&mut self) {
        let me = self.raft.me().clone();
        self.heard.lives.insert(me.node.clone(), me);
        self.leader = Leader::default();
        self.reign = None;
        self.registering.clear();
        self.changing = None;
    }

    /// Answers `waiter` once the entry that was proposed is applied.
    pub(super) fn wait(&mut self, (term, index): Last, waiter: Sender<Answer>) {
        self.waiters.insert(index, (term, waiter));
    }

    fn apply(&mut self, now: Instant, entry: &Entry) {
        let outcome = self.state.apply(&entry.command);
        self.applied = (entry.term, entry.index);
        if let Some((term, waiter)) = self.waiters.remove(&entry.index) {
            let same = term == entry.term;
            let _ = waiter.try_send(if same { Answer::Applied(outcome) } else { Answer::Unknown });
        }
        if let Action::Register { node, incarnation, .. } = &entry.command.action {
            self.registering.remove(&(node.clone(), *incarnation));
        }
        self.changing = self.changing.filter(|index| *index > entry.index);
        if self.reign.is_some() {
            self.read_declarations();
            self.leader.refresh(now, &self.state, &self.fleet);
        } else if self.raft.is_leader() && entry.term == self.raft.term() {
            self.read_declarations();
            self.leader = Leader::elected(now, &self.state, &self.fleet);
            self.reign = self.raft.led_since();
        }
    }

    /// Reads the declarations in force. Only a leader needs them: whoever starts has all changes to apply that the log holds,
    /// and large declarations take long to read.
    fn read_declarations(&mut self) {
        if self.read_from.replace(self.state.revision) == Some(self.state.revision) {
            return;
        }
        match config::Fleet::parse("declarations", &self.state.text) {
            Ok(fleet) => self.fleet = fleet,
            Err(error) => log::error!("the declarations in force are not valid: {error}"),
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        if !snapshot.state.is_empty() {
            match postcard::from_bytes(&snapshot.state) {
                Ok(state) => self.state = state,
                Err(error) => {
                    self.stopped = Some(format!("a snapshot can't be read: {error}"));
                    return;
                }
            }
        }
        self.applied = snapshot.last;
        self.compacted = snapshot.last.1;
    }

    /// Returns the encoded state when the log has grown enough since the last snapshot.
    pub(super) fn compaction(&mut self) -> Option<(id::Index, Vec<u8>)> {
        if self.applied.1.0 < self.compacted.0 + COMPACT_ENTRIES {
            return None;
        }
        let state = postcard::to_stdvec(&self.state).ok()?;
        self.compacted = self.applied.1;
        Some((self.applied.1, state))
    }

    /// Hears a blank process, or one that answers a blank one. Returns the first members once they are known.
    pub(super) fn hello(
        &mut self,
        from: &super::raft::Peer,
        members: Option<super::raft::Members>,
    ) -> (Option<super::raft::Members>, Option<Message>) {
        if self.raft.is_blank() {
            return (self.bootstrap.hear(from, members), None);
        }
        if members.is_some() {
            return (None, None);
        }
        self.heard.blank.insert(from.node.clone(), from.incarnation);
        (None, Some(Message::Hello { members: Some(self.raft.members().clone()) }))
    }

    /// Hears a process that has only this one's address. Returns the first members once they are known.
    pub(super) fn greeted(
        &mut self,
        now: Instant,
        greeting: &Greeting,
    ) -> Option<super::raft::Members> {
        let found = self.meeting.as_mut().and_then(|meeting| meeting.hear(greeting));
        if self.raft.is_blank() {
            return found;
        }
        let node = &greeting.peer.node;
        if greeting.members.is_none() {
            self.heard.blank.insert(node.clone(), greeting.peer.incarnation);
        }
        self.heard.met.insert(node.clone(), (now, greeting.voter()));
        None
    }

    /// Takes an announcement while this process leads.
    pub(super) fn announced(&mut self, now: Instant, said: &Announcement) -> Verdict {
        if !self.fleet.group.contains_key(&said.replica.group) {
            // Whoever claims to belong to a group that nobody declared gets no work and displaces nobody.
            return Verdict::Known;
        }
        self.leader.hear(now, said, &self.state)
    }

    /// Tells whether a group has a primary in force.
    pub(super) fn is_settled(&self, group: &id::Group) -> bool {
        self.state.epochs.get(group).is_some_and(|epoch| {
            epoch.phase == Phase::Active && !self.state.draining.contains(&epoch.primary)
        })
    }

    /// Takes a heartbeat and makes the answer; an unknown proxy is registered first.
    pub(super) fn heartbeat(
        &mut self,
        now: Instant,
        frame: &Frame,
        heartbeat: &Heartbeat,
    ) -> (Option<Grant>, Option<Command>) {
        let known = self.state.nodes.get(&frame.sender).map(|(incarnation, _)| *incarnation);
        if known > Some(frame.incarnation) {
            return (None, None);
        }
        if known == Some(frame.incarnation) {
            if let Some(asked) = self.raft.confirmed(now) {
                self.leader.confirmed(asked);
            }
            let life = (frame.sender.clone(), frame.incarnation);
            let decided = (&self.state, self.stamp());
            return (self.leader.heartbeat(now, life, heartbeat, decided), None);
        }
        let (node, incarnation) = (frame.sender.clone(), frame.incarnation);
        if !self.registering.insert((node.clone(), incarnation)) {
            return (None, None);
        }
        let action = Action::Register { node, incarnation, domain: heartbeat.domain.clone() };
        (None, Some(Command { origin: None, action }))
    }

    /// Returns what the groups' machines want done.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<Decision> {
        self.leader.tick(now, &self.state, &self.fleet)
    }

    /// Returns the next change of the voters, when none is under way.
    pub(super) fn change(&mut self, now: Instant) -> Option<Command> {
        if self.changing.is_some() {
            return None;
        }
        let change = member::next(now, &self.raft, &self.state.wanted, &self.heard)?;
        log::info!("control changes its members: {change:?}");
        self.changing = Some(self.raft.last().1.next());
        Some(Command { origin: None, action: Action::Member(change) })
    }
}
