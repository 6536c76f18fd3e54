//! A simulated cluster of voters: the state machines with a message queue between them, and disks whose writes take
//! time. After each step it checks that no term has two leaders, that at most one voter is a confirmed leader, and that
//! no committed entry changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::disk::Memory;
use cactushatch::clock::Instant;
use cactushatch::config::Seeds;
use cactushatch::control::discovery::{Discovery, Greeting};
use cactushatch::control::member::{self, Peers};
use cactushatch::control::raft::{
    Bootstrap, Change, Entry, Input, Members, Message, Output, Peer, Raft,
};
use cactushatch::control::state::{Action, Command, Membership, Voter};
use cactushatch::control::store::Store;
use cactushatch::id;

/// The simulated duration of one step.
const STEP_DURATION: Duration = Duration::from_millis(5);

/// The number of entries after which a voter compacts its log. Small, so that short runs take snapshots.
const COMPACTION_INTERVAL_ENTRIES: u64 = 20;

pub struct Cluster {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub random: fastrand::Rng,
    initial_voters: usize,
    /// The number of processes that may be lost at once, if voters discover each other by seeds. The first three
    /// processes are the seeds.
    losses: Option<u32>,
    queue: Vec<(Instant, Peer, usize, Message)>,
    cut: BTreeSet<usize>,
    cut_pairs: BTreeSet<(usize, usize)>,
    /// Whether every message arrives, unless a pair is cut.
    pub lossless: bool,
    pub wanted: VecDeque<Membership>,
    committed: BTreeMap<id::Index, Entry>,
    leaders: BTreeMap<id::Term, id::Node>,
    next_command: u64,
}

pub struct Node {
    name: id::Node,
    pub disk: Memory,
    pub live: Option<Live>,
    /// An additional delay of each write.
    pub write_delay: Duration,
    next_incarnation: u64,
}

/// A running process.
pub struct Live {
    pub raft: Raft,
    pub peer: Peer,
    store: Store<Memory>,
    bootstrap: Bootstrap,
    peers: Peers,
    discovery: Option<(bool, Discovery)>,
    /// When the process last greeted the others.
    greeted_at: Instant,
    writes: VecDeque<(Instant, u64, Change)>,
    /// The applied commands, encoded, as in a snapshot.
    pub applied: BTreeMap<id::Index, Vec<u8>>,
    compacted_to: u64,
    pub refused: bool,
    pending_member_change: Option<id::Index>,
}

pub fn name(number: usize) -> id::Node {
    format!("control-{}", number + 1).parse().unwrap()
}

pub fn voter(number: usize) -> Voter {
    Voter {
        node: name(number),
        incarnation: id::Incarnation(0),
        address: ([127, 0, 0, 1], number as u16 + 1).into(),
        domain: "a".parse().unwrap(),
    }
}

pub fn command(number: u64) -> Command {
    let action = Action::Register {
        node: "proxy-1".parse().unwrap(),
        incarnation: id::Incarnation(number),
        domain: "a".parse().unwrap(),
    };
    Command { origin: None, action }
}

impl Cluster {
    /// Starts `count` voters with blank disks.
    pub fn new(count: usize, seed: u64) -> Self {
        Self::with_spares(count, 0, seed)
    }

    /// Starts `count` voters with blank disks; `spares` more processes can be started later.
    pub fn with_spares(count: usize, spares: usize, seed: u64) -> Self {
        let node = |number| Node {
            name: name(number),
            disk: Memory::default(),
            live: None,
            write_delay: Duration::ZERO,
            next_incarnation: 1,
        };
        let mut cluster = Self {
            now: Instant(1_000_000_000),
            nodes: (0..count + spares).map(node).collect(),
            initial_voters: count,
            losses: None,
            random: fastrand::Rng::with_seed(seed),
            queue: Vec::new(),
            cut: BTreeSet::new(),
            cut_pairs: BTreeSet::new(),
            lossless: false,
            wanted: VecDeque::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            next_command: 0,
        };
        (0..count).for_each(|at| cluster.start(at));
        cluster
    }

    /// Starts `count` processes with blank disks, which know only the first three as seeds; `spares` more can be started
    /// later.
    pub fn with_seeds(count: usize, spares: usize, losses: u32, seed: u64) -> Self {
        let mut cluster = Self::with_spares(0, count + spares, seed);
        cluster.losses = Some(losses);
        (0..count).for_each(|at| cluster.start_process(at, true));
        cluster
    }

    /// Starts a process on its disk unless it is running. Its settings don't declare a first start of the system.
    pub fn start(&mut self, at: usize) {
        self.start_process(at, false);
    }

    /// Starts a process on its disk unless it is running.
    fn start_process(&mut self, at: usize, first_start: bool) {
        if self.nodes[at].live.is_some() {
            return;
        }
        let seed = self.random.u64(..);
        let initial = (0..self.initial_voters).map(voter).collect();
        let node = &mut self.nodes[at];
        let incarnation = id::Incarnation(node.next_incarnation);
        let Ok((store, recovery)) =
            Store::open_disk(node.disk.clone(), &node.name, incarnation, seed as u32)
        else {
            return;
        };
        let mut live = Live {
            raft: Raft::new(self.now, recovery.peer.clone(), &recovery.saved, seed),
            bootstrap: Bootstrap::new(recovery.peer.clone(), initial),
            peer: recovery.peer,
            store,
            peers: Peers::default(),
            discovery: None,
            greeted_at: self.now,
            writes: VecDeque::new(),
            applied: BTreeMap::new(),
            compacted_to: 0,
            refused: false,
            pending_member_change: None,
        };
        if let Some(snapshot) = &recovery.saved.snapshot {
            live.restore(&snapshot.state);
        }
        if let Some(losses) = self.losses {
            let addresses = (0..3).map(|seed| voter(seed).address).collect();
            let seeds = Seeds { addresses, first_start, losses };
            let own = Voter { incarnation: live.peer.incarnation, ..voter(at) };
            live.peers.target_voters = Some(seeds.voter_count());
            live.discovery = Some((first_start, Discovery::new(seeds, own)));
        }
        let single_voter = live.bootstrap.single_voter_members().filter(|_| live.raft.is_blank());
        node.live = Some(live);
        if let Some(members) = single_voter {
            self.step_raft(at, Input::Bootstrap(members));
        }
    }

    /// Stops a process as a power loss does.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].live = None;
        self.nodes[at].disk.lose_power();
    }

    /// Stops a process and replaces its disk by a blank one.
    pub fn wipe(&mut self, at: usize) {
        self.nodes[at].live = None;
        self.nodes[at].disk = Memory::default();
        self.nodes[at].next_incarnation += 1;
    }

    /// Partitions a process from all others.
    pub fn cut(&mut self, at: usize) {
        self.cut.insert(at);
    }

    /// Partitions two processes from each other.
    pub fn cut_pair(&mut self, one: usize, other: usize) {
        self.cut_pairs.extend([(one, other), (other, one)]);
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        self.cut_pairs.clear();
    }

    /// Returns the leader that is confirmed by a majority.
    pub fn leader(&self) -> Option<usize> {
        let now = self.now;
        let leads =
            |node: &Node| node.live.as_ref().is_some_and(|live| live.raft.is_confirmed_leader(now));
        self.nodes.iter().position(leads)
    }

    pub fn live(&self, at: usize) -> &Live {
        self.nodes[at].live.as_ref().expect("the process runs")
    }

    /// Runs until there is a confirmed leader, and returns it.
    pub fn await_leader(&mut self) -> usize {
        for _ in 0..2_000 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(STEP_DURATION);
        }
        panic!("no confirmed leader after ten seconds");
    }

    /// Proposes a command and returns its index if the process accepts it.
    pub fn propose(&mut self, at: usize) -> Option<id::Index> {
        self.next_command += 1;
        let command = command(self.next_command);
        self.step_raft(at, Input::Propose(command))
    }

    /// Proposes a command to the leader and runs until all running processes that aren't cut off have applied it.
    pub fn commit_everywhere(&mut self) {
        let leader = self.await_leader();
        let index = self.propose(leader).expect("a leader accepts commands");
        for _ in 0..2_000 {
            let applied = |live: &Live| live.refused || live.applied.contains_key(&index);
            let processes = self.nodes.iter().enumerate().filter(|(at, _)| !self.cut.contains(at));
            if processes.filter_map(|(_, node)| node.live.as_ref()).all(applied) {
                return;
            }
            self.run(STEP_DURATION);
        }
        panic!("entry {index} was not applied everywhere within ten seconds");
    }

    /// Returns whether the entry at `index` is committed.
    pub fn is_committed(&self, index: id::Index) -> bool {
        self.committed.contains_key(&index)
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP_DURATION;
            self.deliver();
            for at in 0..self.nodes.len() {
                self.step_node(at);
            }
            self.check_invariants();
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.queue.drain(..).partition(|(at, ..)| *at <= now);
        self.queue = later;
        let due: Vec<(Instant, Peer, usize, Message)> = due;
        for (_, from, to, message) in due {
            self.receive(from, to, message);
        }
    }

    /// Delivers a message to a process, as `control::server` does.
    pub fn receive(&mut self, from: Peer, to: usize, message: Message) {
        let Some(live) = &mut self.nodes[to].live else {
            return;
        };
        match message {
            Message::Hello { members } if live.raft.is_blank() => {
                if let Some(members) = live.bootstrap.on_hello(&from, members) {
                    self.step_raft(to, Input::Bootstrap(members));
                }
            }
            Message::Hello { members: None } => {
                live.peers.blank.insert(from.node.clone(), from.incarnation);
                let members = Some(live.raft.members().clone());
                self.send(to, &from.node, Message::Hello { members });
            }
            Message::Hello { .. } => {}
            Message::Outdated { known } => live.refused |= live.peer.is_outdated_by(&known),
            message => {
                let newest =
                    live.peers.newest_runs.entry(from.node.clone()).or_insert(from.clone());
                *newest = from.clone().max(newest.clone());
                self.step_raft(to, Input::Message { from, message });
            }
        }
    }

    fn step_node(&mut self, at: usize) {
        let now = self.now;
        let Some(live) = &mut self.nodes[at].live else {
            return;
        };
        if live.discovery.is_some() {
            self.greet(at);
        } else if live.raft.is_blank() {
            for to in 0..self.nodes.len() {
                let to = self.nodes[to].name.clone();
                self.send(at, &to, Message::Hello { members: None });
            }
        }
        let live = self.nodes[at].live.as_mut().expect("the process runs");
        let mut synced = Vec::new();
        while let Some((due, ..)) = live.writes.front()
            && *due <= now
            && let Some((_, ticket, change)) = live.writes.pop_front()
        {
            if live.store.persist(change).is_err() {
                self.kill(at);
                return;
            }
            synced.push(ticket);
        }
        for ticket in synced {
            self.step_raft(at, Input::Synced { ticket });
        }
        self.step_raft(at, Input::Tick);
        self.propose_member_change(at);
        self.compact(at);
    }

    /// Exchanges greetings with the addresses that a process knows if its log is blank or no leader is in contact with
    /// it, as `control::greet` does.
    fn greet(&mut self, at: usize) {
        let live = self.nodes[at].live.as_mut().expect("the process runs");
        let is_leaderless = live.raft.time_without_leader(self.now) >= Duration::from_millis(1_500);
        let pause = Duration::from_millis(if live.raft.is_blank() { 100 } else { 500 });
        if !(live.raft.is_blank() || is_leaderless) || self.now.since(live.greeted_at) < pause {
            return;
        }
        live.greeted_at = self.now;
        let members = live.raft.members().clone();
        let discovery = live.discovery.as_ref().map(|(_, discovery)| discovery);
        let targets =
            discovery.map(|discovery| discovery.greeting_targets(&members)).unwrap_or_default();
        for to in 0..self.nodes.len() {
            let unknown = !targets.contains(&voter(to).address);
            let cut = self.cut.contains(&at) || self.cut.contains(&to) || unknown;
            if to == at
                || cut
                || self.cut_pairs.contains(&(at, to))
                || self.nodes[to].live.is_none()
            {
                continue;
            }
            let (greeting, response) = (self.greeting(at), self.greeting(to));
            self.handle_greeting(to, &greeting);
            self.handle_greeting(at, &response);
        }
    }

    fn greeting(&self, at: usize) -> Greeting {
        let live = self.live(at);
        let known = !live.raft.is_blank();
        Greeting {
            peer: live.peer.clone(),
            address: voter(at).address,
            domain: voter(at).domain,
            first_start: live.discovery.as_ref().is_some_and(|(first, _)| *first),
            members: known.then(|| live.raft.members().clone()),
        }
    }

    fn handle_greeting(&mut self, at: usize, greeting: &Greeting) {
        let now = self.now;
        let live = self.nodes[at].live.as_mut().expect("the process runs");
        let discovery = live.discovery.as_mut().map(|(_, discovery)| discovery);
        let initial = discovery.and_then(|discovery| discovery.handle_greeting(greeting));
        if live.raft.is_blank() {
            if let Some(members) = initial {
                self.step_raft(at, Input::Bootstrap(members));
            }
            return;
        }
        let node = greeting.peer.node.clone();
        if greeting.members.is_none() {
            live.peers.blank.insert(node.clone(), greeting.peer.incarnation);
        }
        live.peers.greetings.insert(node, (now, greeting.voter()));
    }

    fn propose_member_change(&mut self, at: usize) {
        let now = self.now;
        let live = self.nodes[at].live.as_mut().expect("the process runs");
        if live.pending_member_change.is_some_and(|index| live.raft.commit() >= index) {
            live.pending_member_change = None;
        }
        if !live.raft.is_confirmed_leader(now) || live.pending_member_change.is_some() {
            return;
        }
        if let Some(change) = member::next_change(now, &live.raft, &self.wanted, &live.peers) {
            let command = Command { origin: None, action: Action::Member(change) };
            let index = self.step_raft(at, Input::Propose(command));
            self.nodes[at].live.as_mut().expect("the process runs").pending_member_change = index;
        }
    }

    fn compact(&mut self, at: usize) {
        let live = self.nodes[at].live.as_mut().expect("the process runs");
        let commit = live.raft.commit();
        if commit.0 >= live.compacted_to + COMPACTION_INTERVAL_ENTRIES {
            live.compacted_to = commit.0;
            let state = postcard::to_stdvec(&live.applied).unwrap();
            self.step_raft(at, Input::Compact { index: commit, state });
        }
    }

    /// Passes an input to the Raft state machine of a process and carries out the outputs.
    pub fn step_raft(&mut self, at: usize, input: Input) -> Option<id::Index> {
        let now = self.now;
        let live = self.nodes[at].live.as_mut().expect("the process runs");
        if live.refused {
            return None;
        }
        let mut proposed = None;
        for output in live.raft.step(now, input) {
            match output {
                Output::Send { to, message } => self.send(at, &to, message),
                Output::Persist { ticket, change } => {
                    let delay =
                        Duration::from_millis(self.random.u64(0..20)) + self.nodes[at].write_delay;
                    let live = self.nodes[at].live.as_mut().expect("the process runs");
                    let after = live.writes.back().map_or(now, |(due, ..)| *due);
                    live.writes.push_back((after.max(now + delay), ticket, change));
                }
                Output::Apply(entries) => self.record_committed(at, entries),
                Output::Restore(snapshot) => {
                    let live = self.nodes[at].live.as_mut().expect("the process runs");
                    live.restore(&snapshot.state);
                }
                Output::BecameLeader => {
                    let live = self.nodes[at].live.as_mut().expect("the process runs");
                    live.pending_member_change = None;
                    let node = live.peer.node.clone();
                    let known = self.leaders.insert(live.raft.term(), node.clone());
                    assert!(known.is_none_or(|known| known == node), "a term has two leaders");
                    let acts = |(other, node): (usize, &Node)| {
                        let live = node.live.as_ref();
                        other != at && live.is_some_and(|l| l.raft.is_confirmed_leader(now))
                    };
                    let acting = self.nodes.iter().enumerate().any(acts);
                    assert!(!acting, "elected while another leader may act");
                }
                Output::Proposed((_, index)) => proposed = Some(index),
                Output::ProposalRefused | Output::SteppedDown => {}
            }
        }
        proposed
    }

    fn record_committed(&mut self, at: usize, entries: Vec<Entry>) {
        let live = self.nodes[at].live.as_mut().expect("the process runs");
        for entry in entries {
            let bytes = postcard::to_stdvec(&entry.command).unwrap();
            live.applied.insert(entry.index, bytes);
            if let Action::Member(Membership::Admit(node) | Membership::Remove(node)) =
                &entry.command.action
            {
                self.wanted.retain(|wanted| match wanted {
                    Membership::Learn(voter) => voter.node != *node,
                    wanted => *wanted != Membership::Remove(node.clone()),
                });
            }
            let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            assert_eq!(*first, entry, "a committed entry changed");
        }
    }

    fn send(&mut self, from: usize, to: &id::Node, message: Message) {
        let Some(number) = self.nodes.iter().position(|node| node.name == *to) else {
            return;
        };
        if let Some((_, discovery)) = &self.live(from).discovery {
            let members = self.live(from).raft.members();
            if members.address(to).or_else(|| discovery.reported_address(to)).is_none() {
                return;
            }
        }
        let lost = (!self.lossless && self.random.u8(0..20) == 0)
            || self.cut_pairs.contains(&(from, number));
        if number == from || lost || self.cut.contains(&from) || self.cut.contains(&number) {
            return;
        }
        let delay = Duration::from_millis(self.random.u64(0..15));
        let peer = self.live(from).peer.clone();
        self.queue.push((self.now + delay, peer, number, message));
    }

    fn check_invariants(&self) {
        let leads =
            |node: &&Node| node.live.as_ref().is_some_and(|l| l.raft.is_confirmed_leader(self.now));
        let confirmed = self.nodes.iter().filter(leads).count();
        assert!(confirmed <= 1, "{confirmed} voters are confirmed leaders at once");
        for live in self.nodes.iter().filter_map(|node| node.live.as_ref()) {
            for (index, bytes) in &live.applied {
                let first = self.committed.get(index).expect("an applied entry is committed");
                let first = postcard::to_stdvec(&first.command).unwrap();
                assert_eq!(first, *bytes, "two voters applied different commands");
            }
        }
    }
}

impl Live {
    fn restore(&mut self, state: &[u8]) {
        if !state.is_empty() {
            self.applied = postcard::from_bytes(state).unwrap();
        }
        self.compacted_to = self.applied.len() as u64;
    }

    pub fn members(&self) -> &Members {
        self.raft.members()
    }
}
