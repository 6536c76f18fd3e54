//! Fixtures for tests of the state machines: names, statuses, epochs, a leader with its replicated state, and a proxy
//! with its fence.
#![allow(dead_code, reason = "each test crate uses a subset")]

pub mod outside;

use std::time::Duration;

use cactushatch::clock::Instant;
use cactushatch::config::Fleet;
use cactushatch::control::failover::Output;
use cactushatch::control::leader::Leader;
use cactushatch::control::lease::Holder;
use cactushatch::control::state::{Action, Command, Outcome, State};
use cactushatch::id;
use cactushatch::proxy::fence::Fence;
use cactushatch::upstream::status::Status;
use cactushatch::wire::{
    Demand, Epoch, Grant, Health, Heartbeat, Observation, Phase, Replica, Role, Stamp,
};

pub const START: Instant = Instant(10_000_000_000);

pub fn at(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

pub fn name<T: std::str::FromStr<Err = id::Error>>(text: &str) -> T {
    text.parse().expect("valid name")
}

pub fn group() -> id::Group {
    name("g")
}

pub fn status(role: Role, term: u64, received: u64, start: u64) -> Status {
    Status {
        role,
        term: id::Term(term),
        position: id::Position(received),
        received: id::Position(received),
        durable: id::Position(0),
        start: id::Position(start),
        paused: None,
    }
}

pub fn epoch(term: u64, primary: &str, phase: Phase, forks: &[(u64, u64)]) -> Epoch {
    let forks = forks.iter().map(|(term, start)| (id::Term(*term), id::Position(*start)));
    Epoch {
        group: group(),
        term: id::Term(term),
        primary: name(primary),
        phase,
        forks: forks.collect(),
    }
}

pub fn replica(instance: &str, port: u16) -> Replica {
    Replica {
        group: group(),
        instance: name(instance),
        address: ([127, 0, 0, 1], port).into(),
        domain: name("a"),
    }
}

pub fn fleet(instances: u32, connections: u32, durability: &str) -> Fleet {
    let text = format!(
        "[class.c]\npriority = 0\ndeadline = \"1s\"\n[group.g]\ninstances = {instances}\nslots = 2\n\
         connections = {connections}\nconnect_time = \"10ms\"\ndurability = \"{durability}\"\n\
         default_class = \"c\"\n"
    );
    Fleet::parse("fleet", &text).expect("valid declarations")
}

/// A leader of control, with the state that results from the commands that it committed.
#[derive(Debug)]
pub struct Control {
    pub state: State,
    pub fleet: Fleet,
    pub leader: Leader,
    pub stamp: Stamp,
}

impl Control {
    pub fn elected(now: Instant, state: State, term: u64) -> Self {
        Self::elected_with_durability(now, state, term, "majority")
    }

    pub fn elected_with_durability(
        now: Instant,
        state: State,
        term: u64,
        durability: &str,
    ) -> Self {
        let fleet = fleet(3, 16, durability);
        let leader = Leader::new(now, &state, &fleet);
        let stamp = Stamp { term: id::Term(term), index: id::Index(1) };
        Self { state, fleet, leader, stamp }
    }

    pub fn commit(&mut self, now: Instant, action: Action) -> Outcome {
        self.stamp.index = self.stamp.index.next();
        let outcome = self.state.apply(&Command { origin: None, action });
        self.leader.refresh_table(now, &self.state, &self.fleet);
        outcome
    }

    pub fn register(&mut self, now: Instant, (node, incarnation): &Holder) {
        let (node, incarnation) = (node.clone(), *incarnation);
        self.commit(now, Action::Register { node, incarnation, domain: name("a") });
    }

    pub fn handle_heartbeat(
        &mut self,
        now: Instant,
        holder: &Holder,
        heartbeat: &Heartbeat,
    ) -> Option<Grant> {
        self.leader.confirm_leadership(now);
        self.leader.handle_heartbeat(now, holder.clone(), heartbeat, (&self.state, self.stamp))
    }

    pub fn is_fenced(&self, now: Instant) -> bool {
        self.leader.is_fenced(now, &group(), &self.state)
    }

    pub fn tick(&mut self, now: Instant) -> Vec<Output> {
        self.leader.tick(now, &self.state, &self.fleet)
    }

    /// Commits the first epoch of the group.
    pub fn promote_first(&mut self, now: Instant, primary: &str) {
        let (term, start) = (id::Term(1), id::Position(0));
        let action = Action::Promote { group: group(), term, primary: name(primary), start };
        self.commit(now, action);
    }

    pub fn freeze(&mut self, now: Instant) {
        let term = self.state.epochs[&group()].term;
        self.commit(now, Action::Freeze { group: group(), term });
    }
}

/// A proxy, reduced to its write fence and the contents of its heartbeats.
#[derive(Debug)]
pub struct Proxy {
    pub holder: Holder,
    pub fence: Fence,
    pub observations: Vec<Observation>,
    pub demand: Vec<Demand>,
}

impl Proxy {
    pub fn new(node: &str, incarnation: u64) -> Self {
        let incarnation = id::Incarnation(incarnation);
        let fence = Fence::new(incarnation);
        let holder = (name(node), incarnation);
        Self { holder, fence, observations: Vec::new(), demand: Vec::new() }
    }

    pub fn send_heartbeat(&mut self, now: Instant) -> Heartbeat {
        let sequence = self.fence.record_heartbeat(now);
        let (seen, table, revision) = self.fence.newest();
        Heartbeat {
            sequence,
            domain: name("a"),
            address: ([127, 0, 0, 1], 1).into(),
            admin: ([127, 0, 0, 1], 2).into(),
            seen,
            table,
            revision,
            sightings: self.observations.clone(),
            demand: self.demand.clone(),
            draining: false,
            forwards: true,
            quota: Vec::new(),
            positions: Vec::new(),
        }
    }

    /// Sends a heartbeat and applies the grant that answers it.
    pub fn exchange_heartbeat(&mut self, now: Instant, control: &mut Control) {
        let heartbeat = self.send_heartbeat(now);
        if let Some(grant) = control.handle_heartbeat(now, &self.holder.clone(), &heartbeat) {
            self.fence.step(grant);
        }
    }

    /// Returns whether the proxy may release an answer under `term`.
    pub fn may_release(&self, now: Instant, term: u64) -> bool {
        use cactushatch::proxy::fence::Verdict;
        self.fence.verdict(now, &group(), id::Term(term)) == Verdict::Release
    }

    /// Replaces what further heartbeats report about an instance.
    pub fn observe(&mut self, instance: &str, port: u16, health: Health, announced_ms: u32) {
        let replica = replica(instance, port);
        self.observations.retain(|observation| observation.replica.instance != replica.instance);
        let announced_ms = Some(announced_ms);
        self.observations.push(Observation {
            replica,
            trouble: health,
            silent_ms: 0,
            announced_ms,
        });
    }
}
