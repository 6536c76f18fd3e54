//! Simulates a group whose instances an outside service promotes: the primary crashes or goes dark, is gone or comes back
//! under its own or another id, a replica leaves, and promotions are lost, in each order. A group that can have a
//! primary must get one within the time that the users allow for a change of primary.

mod machine;

use std::collections::{BTreeMap, BTreeSet};

use cactushatch::clock::Instant;
use cactushatch::config::Durability;
use cactushatch::control::failover::{Group, Input, Output, View};
use cactushatch::control::lease::INHERITED_LEASE_WAIT;
use cactushatch::control::state::{Command, State};
use cactushatch::id;
use cactushatch::proxy::floor::Mark;
use cactushatch::upstream::status::Status;
use cactushatch::wire::{Health, Phase, Role};
use machine::{at, group, name};

const STEP_MS: u64 = 10;

/// How long a change of primary may take.
const FAILOVER_BOUND_MS: u64 = 15_000;

/// The interval between two events.
const EVENT_GAP_MS: u64 = 2_500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    PrimaryCrashes,
    PrimaryGoesDark,
    PrimaryReturns,
    PrimaryReturnsUnderAnotherId,
    ReplicaLeaves,
    ReplicaJoins,
    ReplicaStopsReceiving,
    PromotionIsLost,
    AnswerIsLost,
}

#[derive(Debug, Clone)]
struct Upstream {
    role: Role,
    term: u64,
    /// The committed writes that the instance holds, each with the term in which it was added.
    log: Vec<(u64, u64)>,
    start: u64,
    available: bool,
    refuses: bool,
    receives: bool,
}

impl Upstream {
    fn replica(log: Vec<(u64, u64)>) -> Self {
        let role = Role::Replica;
        Self { role, term: 1, log, start: 0, available: true, refuses: false, receives: true }
    }

    fn status(&self) -> Status {
        machine::status(self.role, self.term, self.log.len() as u64, self.start)
    }
}

/// The instances and the service that promotes them.
#[derive(Debug)]
struct Simulation {
    machine: Group,
    state: State,
    upstreams: BTreeMap<id::Instance, Upstream>,
    first: id::Instance,
    next_id: u64,
    lost_promotions: u32,
    lost_answers: u32,
    /// Promotions that the service has accepted, with the time at which they take effect.
    promotions: Vec<(u64, id::Instance)>,
    acknowledged: Vec<(u64, u64)>,
    frozen_at: Option<u64>,
    next_write: u64,
}

impl Simulation {
    fn new() -> Self {
        let mut machine = Group::new(at(0), group());
        machine.set_promoted_outside(true);
        let mut upstreams: BTreeMap<_, _> =
            ["i1", "i2", "i3"].map(|id| (name(id), Upstream::replica(Vec::new()))).into();
        let first: id::Instance = name("i1");
        upstreams.get_mut(&first).expect("an instance").role = Role::Primary;
        Self {
            machine,
            state: State::default(),
            upstreams,
            first,
            next_id: 4,
            lost_promotions: 0,
            lost_answers: 0,
            promotions: Vec::new(),
            acknowledged: Vec::new(),
            frozen_at: None,
            next_write: 0,
        }
    }

    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for ms in (from_ms..until_ms).step_by(STEP_MS as usize) {
            self.promote_accepted(ms);
            self.replicate();
            self.write(at(ms));
            if ms.is_multiple_of(50) {
                self.probe(at(ms));
            }
            self.tick(ms);
        }
    }

    /// The primary whose log the replicas receive: the one of the highest term.
    fn leading(&self) -> Option<id::Instance> {
        let running = self.upstreams.iter().filter(|(_, upstream)| upstream.available);
        let primaries = running.filter(|(_, upstream)| upstream.role == Role::Primary);
        primaries.max_by_key(|(_, upstream)| upstream.term).map(|(id, _)| id.clone())
    }

    fn promote_accepted(&mut self, ms: u64) {
        let (due, later) = self.promotions.drain(..).partition(|(at, _)| *at <= ms);
        self.promotions = later;
        for (_, instance) in due {
            let newest = self.upstreams.values().map(|upstream| upstream.term).max().unwrap_or(0);
            let Some(upstream) = self.upstreams.get_mut(&instance) else { continue };
            if upstream.available && upstream.role == Role::Replica {
                let start = upstream.log.len() as u64;
                upstream.start = start;
                upstream.term = newest + 1;
                upstream.role = Role::Primary;
                for other in self.upstreams.values_mut().filter(|other| other.term <= newest) {
                    other.receives = true;
                }
            }
        }
    }

    fn replicate(&mut self) {
        let Some(leading) = self.leading() else { return };
        let source = self.upstreams[&leading].clone();
        for (id, upstream) in &mut self.upstreams {
            let demoted = upstream.role == Role::Primary && upstream.term < source.term;
            if *id == leading || !upstream.available || !(upstream.receives || demoted) {
                continue;
            }
            upstream.role = Role::Replica;
            upstream.term = source.term;
            upstream.log.clone_from(&source.log);
        }
    }

    /// Writes at the primary of the epoch in force. A write is acknowledged once a replica has received it, and proxies then
    /// report its position.
    fn write(&mut self, now: Instant) {
        let Some(epoch) = self.state.epochs.get(&group()) else { return };
        if epoch.phase != Phase::Active {
            return;
        }
        let (primary, term) = (epoch.primary.clone(), epoch.term.0);
        let write = (term, self.next_write);
        self.next_write += 1;
        match self.upstreams.get_mut(&primary) {
            Some(upstream)
                if upstream.available
                    && upstream.role == Role::Primary
                    && upstream.term == term =>
            {
                upstream.log.push(write);
            }
            _ => return,
        }
        if self.leading().as_ref() != Some(&primary) {
            return;
        }
        self.replicate();
        let held = self.upstreams.values().filter(|upstream| upstream.log.contains(&write)).count();
        if held > 1 {
            self.acknowledged.push(write);
            let position = id::Position(self.upstreams[&primary].log.len() as u64);
            let mark = Mark { term: id::Term(term), position };
            self.machine.step(now, Input::Acknowledged { mark });
        }
    }

    fn probe(&mut self, now: Instant) {
        for (id, upstream) in &self.upstreams {
            let health = match upstream {
                Upstream { available: true, .. } => Health::Fine,
                Upstream { refuses: true, .. } => Health::Refused,
                _ => Health::Silent,
            };
            let result = if upstream.available { Ok(upstream.status()) } else { Err(health) };
            let instance = id.clone();
            self.machine.step(now, Input::Probed { instance, requested_at: now, result });
            for node in ["p1", "p2", "p3"].map(name) {
                self.machine.step(now, Input::Reported { node, instance: id.clone(), health });
            }
        }
    }

    fn tick(&mut self, ms: u64) {
        let epoch = self.state.epochs.get(&group());
        let frozen = epoch.is_some_and(|epoch| epoch.phase == Phase::Frozen);
        self.frozen_at = frozen.then(|| self.frozen_at.unwrap_or(ms));
        let fenced =
            self.frozen_at.is_some_and(|since| at(ms).since(at(since)) >= INHERITED_LEASE_WAIT);
        let known_instances: Vec<id::Instance> = self.upstreams.keys().cloned().collect();
        let live_proxies: BTreeSet<id::Node> = ["p1", "p2", "p3"].map(name).into();
        let view = View {
            epoch,
            claim: self.state.claims.get(&group()),
            fenced,
            declared_instances: 3,
            known_instances: &known_instances,
            durability: Durability::Majority,
            live_proxies: &live_proxies,
            draining: &BTreeSet::new(),
        };
        for output in self.machine.step(at(ms), Input::Tick(view)) {
            self.carry_out(ms, output);
        }
    }

    fn carry_out(&mut self, ms: u64, output: Output) {
        match output {
            Output::Submit(action) => {
                self.state.apply(&Command { origin: None, action });
            }
            Output::Promote { .. } if self.lost_promotions > 0 => self.lost_promotions -= 1,
            Output::Promote { instance, .. } => {
                let running = self.upstreams.get(&instance).is_some_and(|up| up.available);
                if running {
                    self.promotions.push((ms + 300, instance));
                } else if self.lost_answers > 0 {
                    self.lost_answers -= 1;
                } else {
                    self.machine.step(at(ms), Input::PromotionDeclined { instance });
                }
            }
            Output::Pause { instance, .. } => {
                if let Some(upstream) = self.upstreams.get_mut(&instance).filter(|up| up.available)
                {
                    upstream.receives = upstream.role == Role::Primary;
                    let status = upstream.status();
                    self.machine.step(at(ms), Input::Paused { instance, status });
                }
            }
            Output::Resume { instance } => {
                if let Some(upstream) = self.upstreams.get_mut(&instance) {
                    upstream.receives = true;
                }
            }
            Output::Probe { .. } => self.probe(at(ms)),
            Output::Demote { .. } | Output::Follow { .. } | Output::ReportChoice(_) => {}
            Output::ReportUnordered { .. } | Output::ReportMissing { .. } => {
                panic!("unexpected {output:?}: each promotion was ordered")
            }
        }
    }

    fn new_id(&mut self) -> id::Instance {
        self.next_id += 1;
        name(&format!("i{}", self.next_id))
    }

    fn happen(&mut self, event: Event) {
        let last_replica = || {
            let replicas = self
                .upstreams
                .iter()
                .filter(|(id, up)| **id != self.first && up.role == Role::Replica && up.available);
            replicas.map(|(id, _)| id.clone()).next_back()
        };
        let replica = last_replica();
        let first = self.first.clone();
        match event {
            Event::PrimaryCrashes | Event::PrimaryGoesDark => {
                if let Some(upstream) = self.upstreams.get_mut(&first) {
                    upstream.available = false;
                    upstream.refuses = event == Event::PrimaryCrashes;
                }
            }
            Event::PrimaryReturns => {
                if let Some(upstream) = self.upstreams.get_mut(&first) {
                    upstream.available = true;
                }
            }
            Event::PrimaryReturnsUnderAnotherId => {
                if let Some(mut upstream) = self.upstreams.remove(&first) {
                    upstream.available = true;
                    self.first = self.new_id();
                    self.upstreams.insert(self.first.clone(), upstream);
                }
            }
            Event::ReplicaLeaves => {
                replica.and_then(|id| self.upstreams.remove(&id));
            }
            Event::ReplicaJoins => {
                let id = self.new_id();
                self.upstreams.insert(id, Upstream::replica(Vec::new()));
            }
            Event::ReplicaStopsReceiving => {
                if let Some(upstream) = replica.and_then(|id| self.upstreams.get_mut(&id)) {
                    upstream.receives = false;
                }
            }
            Event::PromotionIsLost => self.lost_promotions += 1,
            Event::AnswerIsLost => self.lost_answers += 1,
        }
    }

    /// Returns whether a primary runs, two instances run, and one of these holds all acknowledged writes.
    fn can_have_primary(&self) -> bool {
        let running: Vec<&Upstream> = self.upstreams.values().filter(|up| up.available).collect();
        let whole = |up: &&&Upstream| self.acknowledged.iter().all(|write| up.log.contains(write));
        running.len() >= 2 && running.iter().filter(whole).count() >= 1 && self.leading().is_some()
    }

    fn check(&self, events: &[Event]) {
        let epoch = &self.state.epochs[&group()];
        let primary = self.upstreams.get(&epoch.primary);
        let serves = primary
            .is_some_and(|up| up.available && up.role == Role::Primary && up.term == epoch.term.0);
        assert!(
            !self.can_have_primary() || (epoch.phase == Phase::Active && serves),
            "{events:?}: no primary: {epoch:?}, {:?}",
            self.upstreams
        );
        if let Some(primary) = primary.filter(|_| epoch.phase == Phase::Active && serves) {
            let lost = self.acknowledged.iter().filter(|write| !primary.log.contains(write));
            assert_eq!(lost.count(), 0, "{events:?}: acknowledged writes are lost");
        }
    }
}

/// Calls `visit` with each order of `events`.
fn permute(events: &mut Vec<Event>, done: usize, visit: &mut dyn FnMut(&[Event])) {
    if done == events.len() {
        return visit(events);
    }
    for next in done..events.len() {
        events.swap(done, next);
        permute(events, done + 1, visit);
        events.swap(done, next);
    }
}

fn play(events: &[Event]) {
    let mut simulation = Simulation::new();
    let mut ms = 0;
    for event in events {
        simulation.run(ms, ms + EVENT_GAP_MS);
        ms += EVENT_GAP_MS;
        simulation.happen(*event);
    }
    simulation.run(ms, ms + FAILOVER_BOUND_MS);
    simulation.check(events);
}

/// A replica leaves, and the primary goes dark and returns under another id with more than the other replica holds.
#[test]
fn a_primary_that_returns_under_another_id_is_succeeded_by_a_replica() {
    let events = [
        Event::ReplicaStopsReceiving,
        Event::ReplicaLeaves,
        Event::PrimaryGoesDark,
        Event::PrimaryReturnsUnderAnotherId,
    ];
    play(&events);
    play(&events[1..]);
}

#[test]
fn a_group_gets_a_primary_after_failures_in_each_order() {
    use Event::*;
    let sets = [
        vec![PrimaryCrashes, PrimaryReturns, ReplicaLeaves, PromotionIsLost],
        vec![PrimaryGoesDark, PrimaryReturnsUnderAnotherId, ReplicaLeaves, ReplicaJoins],
        vec![PrimaryGoesDark, PrimaryReturnsUnderAnotherId, ReplicaLeaves, PromotionIsLost],
        vec![PrimaryCrashes, PrimaryReturnsUnderAnotherId, ReplicaStopsReceiving, AnswerIsLost],
    ];
    for mut events in sets {
        permute(&mut events, 0, &mut |events| play(events));
    }
}
