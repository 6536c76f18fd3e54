//! Voters as pure machines, with a queue of messages between them and disks that take time. It checks after each
//! step that no term has two leaders, no two voters are proved to lead, and nothing committed ever changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::disk::Memory;
use cactushatch::clock::Instant;
use cactushatch::config::Seeds;
use cactushatch::control::meeting::{Greeting, Meeting};
use cactushatch::control::member::{self, Heard};
use cactushatch::control::raft::{
    Bootstrap, Change, Entry, Input, Members, Message, Output, Peer, Raft,
};
use cactushatch::control::state::{Action, Command, Membership, Voter};
use cactushatch::control::store::Store;
use cactushatch::id;

/// How long one step of the simulation is.
const STEP: Duration = Duration::from_millis(5);

/// After how many entries a voter compacts, so that a short run sees snapshots.
const COMPACT: u64 = 20;

pub struct Cluster {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub random: fastrand::Rng,
    initial: usize,
    /// How many may be lost at once, where voters find each other by seeds; the first three processes are the seeds.
    losses: Option<u32>,
    queue: Vec<(Instant, Peer, usize, Message)>,
    cut: BTreeSet<usize>,
    cut_pairs: BTreeSet<(usize, usize)>,
    /// Whether every message arrives, unless a pair is cut.
    pub lossless: bool,
    pub wanted: VecDeque<Membership>,
    committed: BTreeMap<id::Index, Entry>,
    leaders: BTreeMap<id::Term, id::Node>,
    next: u64,
}

pub struct Node {
    name: id::Node,
    pub disk: Memory,
    pub live: Option<Live>,
    /// How much longer each write takes.
    pub slow: Duration,
    fresh: u64,
}

/// A running process.
pub struct Live {
    pub raft: Raft,
    pub peer: Peer,
    store: Store<Memory>,
    bootstrap: Bootstrap,
    heard: Heard,
    meeting: Option<(bool, Meeting)>,
    /// When it last greeted the others.
    greeted: Instant,
    writes: VecDeque<(Instant, u64, Change)>,
    /// The commands applied, as a snapshot would hold them.
    pub applied: BTreeMap<id::Index, Vec<u8>>,
    compacted: u64,
    pub refused: bool,
    changing: Option<id::Index>,
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
    /// Starts `count` blank voters.
    pub fn new(count: usize, seed: u64) -> Self {
        Self::with_spares(count, 0, seed)
    }

    /// Starts `count` blank voters; `spares` more processes can be started later.
    pub fn with_spares(count: usize, spares: usize, seed: u64) -> Self {
        let node = |number| Node {
            name: name(number),
            disk: Memory::default(),
            live: None,
            slow: Duration::ZERO,
            fresh: 1,
        };
        let mut cluster = Self {
            now: Instant(1_000_000_000),
            nodes: (0..count + spares).map(node).collect(),
            initial: count,
            losses: None,
            random: fastrand::Rng::with_seed(seed),
            queue: Vec::new(),
            cut: BTreeSet::new(),
            cut_pairs: BTreeSet::new(),
            lossless: false,
            wanted: VecDeque::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            next: 0,
        };
        (0..count).for_each(|at| cluster.start(at));
        cluster
    }

    /// Starts `count` blank processes that know the first three as seeds only; `spares` more can be started later.
    pub fn with_seeds(count: usize, spares: usize, losses: u32, seed: u64) -> Self {
        let mut cluster = Self::with_spares(0, count + spares, seed);
        cluster.losses = Some(losses);
        (0..count).for_each(|at| cluster.start_with(at, true));
        cluster
    }

    /// Starts a process on its disk, unless it runs; it is not the first start of the system.
    pub fn start(&mut self, at: usize) {
        self.start_with(at, false);
    }

    /// Starts a process on its disk, unless it runs.
    fn start_with(&mut self, at: usize, first_start: bool) {
        if self.nodes[at].live.is_some() {
            return;
        }
        let seed = self.random.u64(..);
        let initial = (0..self.initial).map(voter).collect();
        let node = &mut self.nodes[at];
        let fresh = id::Incarnation(node.fresh);
        let Ok((store, found)) =
            Store::open_disk(node.disk.clone(), &node.name, fresh, seed as u32)
        else {
            return;
        };
        let mut live = Live {
            raft: Raft::new(self.now, found.peer.clone(), &found.saved, seed),
            bootstrap: Bootstrap::new(found.peer.clone(), initial),
            peer: found.peer,
            store,
            heard: Heard::default(),
            meeting: None,
            greeted: self.now,
            writes: VecDeque::new(),
            applied: BTreeMap::new(),
            compacted: 0,
            refused: false,
            changing: None,
        };
        if let Some(snapshot) = &found.saved.snapshot {
            live.restore(&snapshot.state);
        }
        if let Some(losses) = self.losses {
            let addresses = (0..3).map(|seed| voter(seed).address).collect();
            let seeds = Seeds { addresses, first_start, losses };
            let own = Voter { incarnation: live.peer.incarnation, ..voter(at) };
            live.heard.seats = Some(seeds.voter_count());
            live.meeting = Some((first_start, Meeting::new(seeds, own)));
        }
        let alone = live.bootstrap.single_voter_members().filter(|_| live.raft.is_blank());
        node.live = Some(live);
        if let Some(members) = alone {
            self.input(at, Input::Bootstrap(members));
        }
    }

    /// Ends a process as a loss of power does.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].live = None;
        self.nodes[at].disk.lose_power();
    }

    /// Ends a process and takes its disk away.
    pub fn wipe(&mut self, at: usize) {
        self.nodes[at].live = None;
        self.nodes[at].disk = Memory::default();
        self.nodes[at].fresh += 1;
    }

    /// Cuts a process off from all others.
    pub fn cut(&mut self, at: usize) {
        self.cut.insert(at);
    }

    /// Cuts two processes off from each other.
    pub fn cut_pair(&mut self, one: usize, other: usize) {
        self.cut_pairs.extend([(one, other), (other, one)]);
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        self.cut_pairs.clear();
    }

    /// Returns who leads, proved by its majority.
    pub fn leader(&self) -> Option<usize> {
        let now = self.now;
        let leads =
            |node: &Node| node.live.as_ref().is_some_and(|live| live.raft.is_confirmed_leader(now));
        self.nodes.iter().position(leads)
    }

    pub fn live(&self, at: usize) -> &Live {
        self.nodes[at].live.as_ref().expect("the process runs")
    }

    /// Waits until someone leads.
    pub fn await_leader(&mut self) -> usize {
        for _ in 0..2_000 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(STEP);
        }
        panic!("nobody leads after ten seconds");
    }

    /// Proposes a command and returns its index, when the process takes it.
    pub fn propose(&mut self, at: usize) -> Option<id::Index> {
        self.next += 1;
        let command = command(self.next);
        self.input(at, Input::Propose(command))
    }

    /// Proposes a command to the leader and waits until everyone that runs has applied it.
    pub fn commit_everywhere(&mut self) {
        let leader = self.await_leader();
        let index = self.propose(leader).expect("a leader takes commands");
        for _ in 0..2_000 {
            let applied = |live: &Live| live.refused || live.applied.contains_key(&index);
            let lives = self.nodes.iter().enumerate().filter(|(at, _)| !self.cut.contains(at));
            if lives.filter_map(|(_, node)| node.live.as_ref()).all(applied) {
                return;
            }
            self.run(STEP);
        }
        panic!("{index} was not applied everywhere after ten seconds");
    }

    /// Tells whether the entry at `index` is committed.
    pub fn is_committed(&self, index: id::Index) -> bool {
        self.committed.contains_key(&index)
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for at in 0..self.nodes.len() {
                self.turn(at);
            }
            self.check();
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

    /// Hands a message to a process, as `control::server` does.
    pub fn receive(&mut self, from: Peer, to: usize, message: Message) {
        let Some(live) = &mut self.nodes[to].live else {
            return;
        };
        match message {
            Message::Hello { members } if live.raft.is_blank() => {
                if let Some(members) = live.bootstrap.on_hello(&from, members) {
                    self.input(to, Input::Bootstrap(members));
                }
            }
            Message::Hello { members: None } => {
                live.heard.blank.insert(from.node.clone(), from.incarnation);
                let members = Some(live.raft.members().clone());
                self.send(to, &from.node, Message::Hello { members });
            }
            Message::Hello { .. } => {}
            Message::Outdated { known } => live.refused |= live.peer.is_outdated_by(&known),
            message => {
                let life = live.heard.lives.entry(from.node.clone()).or_insert(from.clone());
                *life = from.clone().max(life.clone());
                self.input(to, Input::Message { from, message });
            }
        }
    }

    fn turn(&mut self, at: usize) {
        let now = self.now;
        let Some(live) = &mut self.nodes[at].live else {
            return;
        };
        if live.meeting.is_some() {
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
            self.input(at, Input::Synced { ticket });
        }
        self.input(at, Input::Tick);
        self.change(at);
        self.compact(at);
    }

    /// Has a process that has no part in the log, or hears no leader, greet all others, as `control::server` does.
    fn greet(&mut self, at: usize) {
        let live = self.nodes[at].live.as_mut().expect("the process runs");
        let alone = live.raft.time_without_leader(self.now) >= Duration::from_millis(1_500);
        let pause = Duration::from_millis(if live.raft.is_blank() { 100 } else { 500 });
        if !(live.raft.is_blank() || alone) || self.now.since(live.greeted) < pause {
            return;
        }
        live.greeted = self.now;
        let members = live.raft.members().clone();
        let meeting = live.meeting.as_ref().map(|(_, meeting)| meeting);
        let known = meeting.map(|meeting| meeting.addresses(&members)).unwrap_or_default();
        for to in 0..self.nodes.len() {
            let unknown = !known.contains(&voter(to).address);
            let cut = self.cut.contains(&at) || self.cut.contains(&to) || unknown;
            if to == at
                || cut
                || self.cut_pairs.contains(&(at, to))
                || self.nodes[to].live.is_none()
            {
                continue;
            }
            let (asking, answering) = (self.greeting(at), self.greeting(to));
            self.greeted(to, &asking);
            self.greeted(at, &answering);
        }
    }

    fn greeting(&self, at: usize) -> Greeting {
        let live = self.live(at);
        let known = !live.raft.is_blank();
        Greeting {
            peer: live.peer.clone(),
            address: voter(at).address,
            domain: voter(at).domain,
            first_start: live.meeting.as_ref().is_some_and(|(first, _)| *first),
            members: known.then(|| live.raft.members().clone()),
        }
    }

    fn greeted(&mut self, at: usize, greeting: &Greeting) {
        let now = self.now;
        let live = self.nodes[at].live.as_mut().expect("the process runs");
        let meeting = live.meeting.as_mut().map(|(_, meeting)| meeting);
        let found = meeting.and_then(|meeting| meeting.hear(greeting));
        if live.raft.is_blank() {
            if let Some(members) = found {
                self.input(at, Input::Bootstrap(members));
            }
            return;
        }
        let node = greeting.peer.node.clone();
        if greeting.members.is_none() {
            live.heard.blank.insert(node.clone(), greeting.peer.incarnation);
        }
        live.heard.met.insert(node, (now, greeting.voter()));
    }

    fn change(&mut self, at: usize) {
        let now = self.now;
        let live = self.nodes[at].live.as_mut().expect("the process runs");
        if live.changing.is_some_and(|index| live.raft.commit() >= index) {
            live.changing = None;
        }
        if !live.raft.is_confirmed_leader(now) || live.changing.is_some() {
            return;
        }
        if let Some(change) = member::next(now, &live.raft, &self.wanted, &live.heard) {
            let command = Command { origin: None, action: Action::Member(change) };
            let index = self.input(at, Input::Propose(command));
            self.nodes[at].live.as_mut().expect("the process runs").changing = index;
        }
    }

    fn compact(&mut self, at: usize) {
        let live = self.nodes[at].live.as_mut().expect("the process runs");
        let commit = live.raft.commit();
        if commit.0 >= live.compacted + COMPACT {
            live.compacted = commit.0;
            let state = postcard::to_stdvec(&live.applied).unwrap();
            self.input(at, Input::Compact { index: commit, state });
        }
    }

    /// Gives a process an input and carries out what it returns.
    pub fn input(&mut self, at: usize, input: Input) -> Option<id::Index> {
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
                    let takes = Duration::from_millis(self.random.u64(0..20)) + self.nodes[at].slow;
                    let live = self.nodes[at].live.as_mut().expect("the process runs");
                    let after = live.writes.back().map_or(now, |(due, ..)| *due);
                    live.writes.push_back((after.max(now + takes), ticket, change));
                }
                Output::Apply(entries) => self.committed(at, entries),
                Output::Restore(snapshot) => {
                    let live = self.nodes[at].live.as_mut().expect("the process runs");
                    live.restore(&snapshot.state);
                }
                Output::BecameLeader => {
                    let live = self.nodes[at].live.as_mut().expect("the process runs");
                    live.changing = None;
                    let node = live.peer.node.clone();
                    let known = self.leaders.insert(live.raft.term(), node.clone());
                    assert!(known.is_none_or(|known| known == node), "a term has two leaders");
                }
                Output::Proposed((_, index)) => proposed = Some(index),
                Output::ProposalRefused | Output::SteppedDown => {}
            }
        }
        proposed
    }

    fn committed(&mut self, at: usize, entries: Vec<Entry>) {
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
        if let Some((_, meeting)) = &self.live(from).meeting {
            let members = self.live(from).raft.members();
            if members.address(to).or_else(|| meeting.address(to)).is_none() {
                return;
            }
        }
        let lost = (!self.lossless && self.random.u8(0..20) == 0)
            || self.cut_pairs.contains(&(from, number));
        if number == from || lost || self.cut.contains(&from) || self.cut.contains(&number) {
            return;
        }
        let takes = Duration::from_millis(self.random.u64(0..15));
        let peer = self.live(from).peer.clone();
        self.queue.push((self.now + takes, peer, number, message));
    }

    fn check(&self) {
        let leads =
            |node: &&Node| node.live.as_ref().is_some_and(|l| l.raft.is_confirmed_leader(self.now));
        let proved = self.nodes.iter().filter(leads).count();
        assert!(proved <= 1, "{proved} voters are proved to lead at once");
        for live in self.nodes.iter().filter_map(|node| node.live.as_ref()) {
            for (index, bytes) in &live.applied {
                let first = self.committed.get(index).expect("what is applied is committed");
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
        self.compacted = self.applied.len() as u64;
    }

    pub fn members(&self) -> &Members {
        self.raft.members()
    }
}
