//! The state of a control process: the Raft state machine, the applied state and the leader's soft state. All of it is
//! behind one lock, which is never held across an `await`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use log::Level;
use smol::channel::Sender;

use super::discovery::{Discovery, Greeting};
use super::failover::Output as Decision;
use super::leader::{Leader, Scope};
use super::member::{self, Peers};
use super::raft::{Bootstrap, Entry, EntryId, Message, Output, Raft, Snapshot};
use super::registry::Verdict;
use super::relay::Refreshes;
use super::state::{Action, Command, Outcome, State};
use crate::clock::Instant;
use crate::config::{self, Change};
use crate::id;
use crate::report::Event;
use crate::wire::{Announcement, Answer, Configuration, Frame, Grant, Heartbeat, Phase, Stamp};

/// The number of applied entries after which the log is compacted. Bounds how much a restart reads.
const COMPACTION_INTERVAL_ENTRIES: u64 = 512;

/// The number of earlier declarations that are kept, so that a proxy that has one of them is sent only the change.
const MAX_EARLIER_FLEETS: usize = 8;

/// The state machines of a control process.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) raft: Raft,
    pub(super) state: State,
    /// The parsed declarations, which are refreshed only while this process is the leader.
    pub(super) fleet: Arc<config::Fleet>,
    /// The revision that `fleet` was parsed from.
    fleet_revision: Option<id::Revision>,
    /// The revision that `fleet` belongs to: the newest one with valid declarations.
    valid_revision: id::Revision,
    /// The earlier declarations that proxies may still have in force, oldest first.
    earlier_fleets: VecDeque<(id::Revision, Arc<config::Fleet>)>,
    pub(super) leader: Leader,
    /// The announcements that this process has passed on while another one leads.
    pub(super) refreshes: Refreshes,
    /// The bound on quotas that the settings declare.
    pub(super) quota_bound: config::QuotaBound,
    pub(super) peers: Peers,
    pub(super) bootstrap: Bootstrap,
    /// Discovery of the other processes, if the settings name seeds.
    pub(super) discovery: Option<Discovery>,
    /// Why this process has stopped participating, if it has.
    pub(super) stop_reason: Option<String>,
    /// When this process became the leader; set once the decisions of all earlier leaders are applied.
    leading_since: Option<Instant>,
    applied: EntryId,
    /// What the entries have touched that were applied since the table was last refreshed.
    touched: Scope,
    compacted_to: id::Index,
    /// The callers that wait for proposed commands, by index, each with the term of the proposal.
    waiters: BTreeMap<id::Index, (id::Term, Sender<Answer>)>,
    /// The proxies whose registration was proposed.
    registering: BTreeSet<(id::Node, id::Incarnation)>,
    /// The index of the member change in progress.
    pending_member_change: Option<id::Index>,
}

impl Core {
    pub(super) fn new(raft: Raft, bootstrap: Bootstrap, snapshot: Option<&Snapshot>) -> Self {
        let mut core = Self {
            raft,
            state: State::default(),
            fleet: Arc::default(),
            fleet_revision: None,
            valid_revision: id::Revision(0),
            earlier_fleets: VecDeque::new(),
            leader: Leader::default(),
            refreshes: Refreshes::default(),
            quota_bound: config::QuotaBound::default(),
            peers: Peers::default(),
            bootstrap,
            discovery: None,
            stop_reason: None,
            leading_since: None,
            applied: EntryId::default(),
            touched: Scope::default(),
            compacted_to: id::Index(0),
            waiters: BTreeMap::new(),
            registering: BTreeSet::new(),
            pending_member_change: None,
        };
        if let Some(snapshot) = snapshot {
            core.restore(snapshot);
        }
        core
    }

    /// Restarts from the state read from the disk. Only discovery and what the settings declare are kept.
    pub(super) fn restart(&mut self, raft: Raft, snapshot: Option<&Snapshot>) {
        let bootstrap = Bootstrap::new(raft.me().clone(), Vec::new());
        let mut fresh = Self::new(raft, bootstrap, snapshot);
        fresh.peers.target_voters = self.peers.target_voters;
        fresh.discovery = self.discovery.take();
        fresh.quota_bound = self.quota_bound;
        *self = fresh;
    }

    pub(super) fn stamp(&self) -> Stamp {
        Stamp { term: self.raft.term(), index: self.applied.1 }
    }

    /// Returns whether this process is the leader, confirmed by a majority, with the decisions of all earlier leaders
    /// applied.
    pub(super) fn is_confirmed_leader(&self, now: Instant) -> bool {
        self.stop_reason.is_none()
            && self.leading_since.is_some()
            && self.raft.is_confirmed_leader(now)
    }

    /// Handles the Raft state machine's outputs that concern the applied state and the leadership; `server` handles the
    /// others.
    pub(super) fn handle_output(&mut self, now: Instant, output: &Output) {
        match output {
            Output::Apply(entries) => self.apply_all(now, entries),
            Output::Restore(snapshot) => self.restore(snapshot),
            Output::BecameLeader => {
                Event::Leader { leads: true, term: self.raft.term() }.log(Level::Info);
                self.reset_leadership();
            }
            Output::SteppedDown => {
                Event::Leader { leads: false, term: self.raft.term() }.log(Level::Info);
                self.reset_leadership();
                self.abandon_waiters();
            }
            _ => {}
        }
    }

    /// Stops participating in the log.
    pub(super) fn stop(&mut self, reason: &str) {
        self.stop_reason = Some(reason.to_owned());
        self.abandon_waiters();
    }

    /// Answers all waiting callers that the outcome of their command is unknown.
    fn abandon_waiters(&mut self) {
        for (_, (_, waiter)) in std::mem::take(&mut self.waiters) {
            let _ = waiter.try_send(Answer::Unknown);
        }
    }

    /// Discards the state of an earlier leadership.
    fn reset_leadership(&mut self) {
        let me = self.raft.me().clone();
        self.peers.newest_runs.insert(me.node.clone(), me);
        self.leader = Leader::default();
        self.leading_since = None;
        self.registering.clear();
        self.pending_member_change = None;
    }

    /// Registers `waiter` to be answered once the proposed entry is applied.
    pub(super) fn add_waiter(&mut self, (term, index): EntryId, waiter: Sender<Answer>) {
        self.waiters.insert(index, (term, waiter));
    }

    /// Applies entries, and refreshes the leader's table once for all of them: under load many are applied together.
    fn apply_all(&mut self, now: Instant, entries: &[Entry]) {
        entries.iter().for_each(|entry| self.apply(now, entry));
        let touched = std::mem::take(&mut self.touched);
        if self.leading_since.is_some() {
            self.refresh_fleet();
            self.leader.refresh_scope(now, &touched, &self.state, &self.fleet);
        }
    }

    fn apply(&mut self, now: Instant, entry: &Entry) {
        let outcome = self.state.apply(&entry.command);
        self.applied = (entry.term, entry.index);
        if let Outcome::Refused { reason } = &outcome
            && self.leading_since.is_some()
            && let Some((decision, group, term)) = entry.command.action.decision()
        {
            Event::RefusedDecision { group, decision, term, reason }.log(Level::Warn);
        }
        if let Some((term, waiter)) = self.waiters.remove(&entry.index) {
            let is_same_entry = term == entry.term;
            let _ = waiter.try_send(if is_same_entry {
                Answer::Applied(outcome)
            } else {
                Answer::Unknown
            });
        }
        if let Action::Register { node, incarnation, .. } = &entry.command.action {
            self.registering.remove(&(node.clone(), *incarnation));
        }
        self.pending_member_change =
            self.pending_member_change.filter(|index| *index > entry.index);
        self.touched.record(&entry.command.action);
        if self.leading_since.is_none() && self.raft.is_leader() && entry.term == self.raft.term() {
            self.refresh_fleet();
            self.leader = Leader::new(now, &self.state, &self.fleet).with_quota_bound(
                self.quota_bound,
                &self.state,
                &self.fleet,
            );
            self.leading_since = self.raft.leader_since();
            self.log_inherited_orders();
        }
    }

    /// Logs the terms that earlier leaders reserved and that are not in force yet.
    fn log_inherited_orders(&self) {
        for (group, claim) in &self.state.claims {
            if self.state.epochs.get(group).is_some_and(|epoch| epoch.term < claim.term) {
                let (instance, term) = (&claim.primary, claim.term);
                Event::Inherited { group, instance, term }.log(Level::Info);
            }
        }
    }

    /// Parses the declarations in force if the revision has changed. Only a leader does this: a start applies all changes
    /// in the log, and large declarations take long to parse.
    fn refresh_fleet(&mut self) {
        if self.fleet_revision.replace(self.state.revision) == Some(self.state.revision) {
            return;
        }
        match config::Fleet::parse("declarations", &self.state.text) {
            Ok(fleet) => {
                let earlier = std::mem::replace(&mut self.fleet, Arc::new(fleet));
                let revision = std::mem::replace(&mut self.valid_revision, self.state.revision);
                self.earlier_fleets.push_back((revision, earlier));
                if self.earlier_fleets.len() > MAX_EARLIER_FLEETS {
                    self.earlier_fleets.pop_front();
                }
            }
            Err(error) => log::error!(
                "declarations of revision {} are not valid, keeping the earlier ones: {error}",
                self.state.revision
            ),
        }
    }

    /// Returns the declarations in force for a proxy that has those of `revision`, as a change from these if they are still
    /// known, and otherwise from none.
    pub(super) fn configuration_since(&self, revision: id::Revision) -> Configuration {
        let known = self.earlier_fleets.iter().find(|(known, _)| *known == revision);
        let (since, change) = match known {
            Some((since, earlier)) => (*since, Change::between(earlier, &self.fleet)),
            None => (id::Revision(0), Change::between(&config::Fleet::default(), &self.fleet)),
        };
        Configuration { since, revision: self.valid_revision, change }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        if !snapshot.state.is_empty() {
            match postcard::from_bytes(&snapshot.state) {
                Ok(state) => self.state = state,
                Err(error) => {
                    self.stop_reason = Some(format!("a snapshot can't be read: {error}"));
                    return;
                }
            }
        }
        self.applied = snapshot.last;
        self.compacted_to = snapshot.last.1;
    }

    /// Returns the encoded state and its index if [`COMPACTION_INTERVAL_ENTRIES`] were applied since the last snapshot.
    pub(super) fn take_snapshot(&mut self) -> Option<(id::Index, Vec<u8>)> {
        if self.applied.1.0 < self.compacted_to.0 + COMPACTION_INTERVAL_ENTRIES {
            return None;
        }
        let state = postcard::to_stdvec(&self.state).ok()?;
        self.compacted_to = self.applied.1;
        Some((self.applied.1, state))
    }

    /// Handles a `Hello` from a blank process, or the response to one from this process. Returns the initial members once
    /// they are known, and the response to send.
    pub(super) fn handle_hello(
        &mut self,
        from: &super::raft::Peer,
        members: Option<super::raft::Members>,
    ) -> (Option<super::raft::Members>, Option<Message>) {
        if self.raft.is_blank() {
            return (self.bootstrap.on_hello(from, members), None);
        }
        if members.is_some() {
            return (None, None);
        }
        self.peers.blank.insert(from.node.clone(), from.incarnation);
        (None, Some(Message::Hello { members: Some(self.raft.members().clone()) }))
    }

    /// Handles a greeting or the response to one. Returns the initial members once they are known.
    pub(super) fn handle_greeting(
        &mut self,
        now: Instant,
        greeting: &Greeting,
    ) -> Option<super::raft::Members> {
        let initial =
            self.discovery.as_mut().and_then(|discovery| discovery.handle_greeting(greeting));
        if self.raft.is_blank() {
            return initial;
        }
        let node = &greeting.peer.node;
        if greeting.members.is_none() {
            self.peers.blank.insert(node.clone(), greeting.peer.incarnation);
        }
        self.peers.greetings.insert(node.clone(), (now, greeting.voter()));
        None
    }

    /// Handles an announcement; the caller checks that this process is the leader.
    pub(super) fn handle_announcement(
        &mut self,
        now: Instant,
        announcement: &Announcement,
    ) -> Verdict {
        if !self.fleet.group.contains_key(&announcement.replica.group) {
            // An instance of an undeclared group gets no work and must not displace another instance.
            return Verdict::Known;
        }
        self.leader.handle_announcement(now, announcement, &self.state)
    }

    /// Returns whether a group's epoch is active with a primary that isn't draining.
    pub(super) fn has_active_primary(&self, group: &id::Group) -> bool {
        self.state.epochs.get(group).is_some_and(|epoch| {
            epoch.phase == Phase::Active && !self.state.draining.contains(&epoch.primary)
        })
    }

    /// Handles a heartbeat and returns the grant that answers it. If this incarnation of the proxy isn't registered,
    /// returns the command that registers it instead.
    pub(super) fn handle_heartbeat(
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
            if let Some(sent_at) = self.raft.last_majority_contact(now) {
                self.leader.confirm_leadership(sent_at);
            }
            let holder = (frame.sender.clone(), frame.incarnation);
            let state = (&self.state, self.stamp());
            return (self.leader.handle_heartbeat(now, holder, heartbeat, state), None);
        }
        let (node, incarnation) = (frame.sender.clone(), frame.incarnation);
        if !self.registering.insert((node.clone(), incarnation)) {
            return (None, None);
        }
        let action = Action::Register { node, incarnation, domain: heartbeat.domain.clone() };
        (None, Some(Command { origin: None, action }))
    }

    /// Advances the leader's state machines and returns the actions to carry out.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<Decision> {
        self.leader.tick(now, &self.state, &self.fleet)
    }

    /// Returns the command for the next member change, unless one is in progress.
    pub(super) fn next_member_change(&mut self, now: Instant) -> Option<Command> {
        if self.pending_member_change.is_some() {
            return None;
        }
        let change = member::next_change(now, &self.raft, &self.state.wanted, &self.peers)?;
        log::info!("proposing a change of the members of control: {change:?}");
        self.pending_member_change = Some(self.raft.last().1.next());
        Some(Command { origin: None, action: Action::Member(change) })
    }
}
