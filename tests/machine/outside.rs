//! A model of a group whose instances an outside service promotes, with control's state machine in charge of it. The
//! service may carry out an order long after control has given it up.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use cactushatch::config::Durability;
use cactushatch::control::failover::{Group, Input, Output, View};
use cactushatch::control::state::{Action, Command, Outcome, State};
use cactushatch::id;
use cactushatch::wire::{Epoch, Health, Phase, Role};

use super::{at, group, name, status};

/// The time between two steps.
pub const STEP_MS: u64 = 10;

/// How long an accepted order takes.
pub const PROMOTION_MS: u64 = 300;

/// How long a primary goes on once it can reach an instance that was promoted in its place.
pub const ROLLBACK_MS: u64 = 1_000;

/// How long control knows an instance that announces itself no more, unless it is the primary in force.
const KNOWN_MS: u64 = 10_000;

/// How long an order that the service has accepted is not given again.
const ACCEPTED_MS: u64 = 10_000;

/// What the service does with orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// It carries them out.
    Works,
    /// It accepts them and never carries them out.
    Forgets,
    /// It carries them out, and its answers are lost.
    AnswersLost,
    /// It refuses them, as by 429 or 5xx, or they don't reach it.
    Refuses,
}

/// A write: the term of the primary that ran it, and its number.
pub type Write = (u64, u64);

#[derive(Debug, Clone)]
pub struct Upstream {
    pub role: Role,
    pub term: u64,
    pub log: Vec<Write>,
    start: u64,
    /// Whether the process runs.
    pub runs: bool,
    /// Whether control and the proxies reach the instance.
    pub in_touch: bool,
    /// Whether the other instances reach it.
    pub linked: bool,
    paused: bool,
    /// Since when a replaced primary reaches the instance that replaced it.
    rolls_back_at: Option<u64>,
    /// When the instance was last heard of.
    heard_at: u64,
}

impl fmt::Display for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { role, term, start, runs, paused, log, .. } = self;
        write!(f, "{role:?} {term} from {start}, {} long, runs {runs}, paused {paused}", log.len())
    }
}

impl Upstream {
    /// Rolls the log back to where it differs from that of `source`, and adds what follows there.
    fn receive(&mut self, source: &Self) {
        self.term = source.term;
        self.start = source.start;
        self.log.truncate(source.log.len());
        // Each write is in one place only, so logs that share a write share what is before it.
        while self.log.last().is_some_and(|last| *last != source.log[self.log.len() - 1]) {
            self.log.pop();
        }
        self.log.extend_from_slice(&source.log[self.log.len()..]);
    }

    /// Returns which of `writes` the instance lacks.
    fn lacking<'a>(&self, writes: impl Iterator<Item = &'a Write>) -> usize {
        let held: BTreeSet<&Write> = self.log.iter().collect();
        writes.filter(|write| !held.contains(write)).count()
    }
}

#[derive(Debug)]
pub struct Simulation {
    machine: Group,
    pub state: State,
    pub upstreams: BTreeMap<id::Instance, Upstream>,
    /// The instance that the service promoted last.
    pub leading: id::Instance,
    newest_term: u64,
    /// Orders that the service has accepted, with the time at which they take effect.
    orders: Vec<(u64, id::Instance)>,
    pub service: Service,
    /// When the leader's orders were accepted, and the epoch of that time.
    accepted: BTreeMap<id::Instance, (u64, Option<id::Term>)>,
    pub acknowledged: BTreeSet<Write>,
    /// When a write was last acknowledged by an instance that the service had replaced.
    pub acknowledged_at_replaced: Option<u64>,
    /// The instances in touch, as control's latest probes found them.
    seen: BTreeMap<id::Instance, Upstream>,
    probed_at: u64,
    /// When proxies stop acting under the epoch that was frozen.
    fenced_at: Option<u64>,
    /// How long proxies may go on under an epoch after it was frozen.
    pub fence_ms: u64,
    /// The interval between the probes of a group with a primary in force.
    pub settled_probe_ms: u64,
    write_count: u64,
    pub now: u64,
}

impl Simulation {
    /// Returns a group with the primary `i1` and the replicas `i2` and `i3`, before its first epoch.
    pub fn new() -> Self {
        let mut machine = Group::new(at(0), group());
        machine.set_promoted_outside(true);
        let replica = Upstream {
            role: Role::Replica,
            term: 1,
            log: Vec::new(),
            start: 0,
            runs: true,
            in_touch: true,
            linked: true,
            paused: false,
            rolls_back_at: None,
            heard_at: 0,
        };
        let mut upstreams: BTreeMap<id::Instance, Upstream> =
            ["i1", "i2", "i3"].map(|id| (name(id), replica.clone())).into();
        let leading: id::Instance = name("i1");
        upstreams.get_mut(&leading).expect("an instance").role = Role::Primary;
        Self {
            machine,
            state: State::default(),
            upstreams,
            leading,
            newest_term: 1,
            orders: Vec::new(),
            service: Service::Works,
            accepted: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            acknowledged_at_replaced: None,
            seen: BTreeMap::new(),
            probed_at: 0,
            fenced_at: None,
            fence_ms: 20,
            settled_probe_ms: 50,
            write_count: 0,
            now: 0,
        }
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.now += STEP_MS;
            self.carry_out_orders();
            self.roll_back();
            self.replicate();
            self.write();
            let settled = self.epoch().is_some_and(|epoch| epoch.phase == Phase::Active);
            let interval = if settled { self.settled_probe_ms } else { 50 };
            if self.now >= self.probed_at + interval {
                self.probe();
            }
            self.tick();
        }
    }

    pub fn epoch(&self) -> Option<&Epoch> {
        self.state.epochs.get(&group())
    }

    pub fn upstream(&mut self, instance: &str) -> &mut Upstream {
        self.upstreams.get_mut(&name::<id::Instance>(instance)).expect("an instance")
    }

    /// Lets an order take effect that control has given up.
    pub fn promote_late(&mut self, instance: &str) {
        self.promote(&name(instance));
    }

    /// Makes the next leader of control take over, which knows no more than the log.
    pub fn elect(&mut self) {
        self.machine = Group::new(at(self.now), group());
        self.machine.set_promoted_outside(true);
        self.accepted.clear();
        self.probe();
    }

    /// Makes a running instance register under another id at its address.
    pub fn rename(&mut self, from: &str, to: &str) {
        let upstream = self.upstreams.remove(&name::<id::Instance>(from)).expect("an instance");
        self.upstreams.insert(name(to), upstream);
        if self.leading.as_str() == from {
            self.leading = name(to);
        }
        self.probe();
    }

    /// Stops an instance for good.
    pub fn lose(&mut self, instance: &str) {
        self.upstream(instance).runs = false;
    }

    /// Starts or restarts an instance. A primary that was replaced meanwhile starts as a replica, with its log.
    pub fn start(&mut self, instance: &str) {
        let leads = self.leading == name(instance);
        let upstream = self.upstream(instance);
        if !upstream.runs && !leads {
            upstream.role = Role::Replica;
        }
        upstream.runs = true;
    }

    fn carry_out_orders(&mut self) {
        let now = self.now;
        let (due, later) = self.orders.drain(..).partition(|(at, _)| *at <= now);
        self.orders = later;
        for (_, instance) in due {
            self.promote(&instance);
        }
    }

    fn promote(&mut self, instance: &id::Instance) {
        let upstream = self.upstreams.get_mut(instance).expect("an instance");
        if self.leading == *instance || !upstream.runs {
            return;
        }
        self.newest_term += 1;
        upstream.role = Role::Primary;
        upstream.term = self.newest_term;
        upstream.start = upstream.log.len() as u64;
        upstream.paused = false;
        upstream.rolls_back_at = None;
        self.leading = instance.clone();
        for other in self.upstreams.values_mut() {
            other.paused = false;
        }
    }

    /// Returns whether the instance reaches the one that leads.
    fn reaches_leading(&self, instance: &id::Instance) -> bool {
        let (one, other) = (&self.upstreams[instance], &self.upstreams[&self.leading]);
        one.runs && other.runs && one.linked && other.linked
    }

    /// Turns replaced primaries into replicas, a while after they reach the instance that replaced them.
    fn roll_back(&mut self) {
        let replaced = self.upstreams.keys().filter(|id| **id != self.leading).cloned();
        for id in replaced.collect::<Vec<_>>() {
            let reaches = self.reaches_leading(&id);
            let now = self.now;
            let upstream = self.upstreams.get_mut(&id).expect("an instance");
            if upstream.role != Role::Primary || !reaches {
                upstream.rolls_back_at = None;
            } else if now >= *upstream.rolls_back_at.get_or_insert(now + ROLLBACK_MS) {
                upstream.role = Role::Replica;
            }
        }
    }

    /// Replicas receive from the instance that leads, or from a replaced primary of their term if they don't reach it.
    fn replicate(&mut self) {
        for id in self.upstreams.keys().cloned().collect::<Vec<_>>() {
            let reaches = self.reaches_leading(&id);
            let mut upstream = self.upstreams.remove(&id).expect("an instance");
            let serves = |other: &&Upstream| {
                let linked = other.runs && other.linked && upstream.runs && upstream.linked;
                linked && other.role == Role::Primary && other.term == upstream.term
            };
            let source = if reaches && self.leading != id {
                Some(&self.upstreams[&self.leading])
            } else {
                self.upstreams.values().find(serves)
            };
            if let Some(source) = source
                && upstream.role == Role::Replica
                && !upstream.paused
            {
                upstream.receive(source);
            }
            self.upstreams.insert(id, upstream);
        }
    }

    fn is_fenced(&self) -> bool {
        self.fenced_at.is_some_and(|at| self.now >= at)
    }

    /// Writes at the epoch's primary, as long as proxies may. A write is acknowledged once a replica has received it.
    fn write(&mut self) {
        let Some((primary, term)) = self.epoch().map(|epoch| (epoch.primary.clone(), epoch.term.0))
        else {
            return;
        };
        if self.is_fenced() {
            return;
        }
        self.write_count += 1;
        let write = (term, self.write_count);
        let Some(upstream) = self.upstreams.get_mut(&primary) else {
            return;
        };
        let serves = upstream.runs && upstream.in_touch && upstream.role == Role::Primary;
        if !serves || upstream.term != term {
            return;
        }
        upstream.log.push(write);
        self.replicate();
        let holds = |upstream: &&Upstream| upstream.log.last() == Some(&write);
        if self.upstreams.values().filter(holds).count() > 1 {
            self.acknowledged.insert(write);
            if self.leading != primary {
                self.acknowledged_at_replaced = Some(self.now);
            }
        }
    }

    fn probe(&mut self) {
        let now = at(self.now);
        self.probed_at = self.now;
        self.seen.clear();
        for (id, upstream) in &self.upstreams {
            let result = match upstream {
                Upstream { in_touch: false, .. } => Err(Health::Silent),
                Upstream { runs: false, .. } => Err(Health::Refused),
                up => Ok(status(up.role, up.term, up.log.len() as u64, up.start)),
            };
            if result.is_ok() {
                self.seen.insert(id.clone(), upstream.clone());
            }
            let health = result.as_ref().err().copied().unwrap_or(Health::Fine);
            let instance = id.clone();
            self.machine.step(now, Input::Probed { instance, requested_at: now, result });
            for node in ["p1", "p2", "p3"].map(name) {
                self.machine.step(now, Input::Reported { node, instance: id.clone(), health });
            }
        }
    }

    fn tick(&mut self) {
        let frozen = self.epoch().is_some_and(|epoch| epoch.phase == Phase::Frozen);
        self.fenced_at = frozen.then(|| self.fenced_at.unwrap_or(self.now + self.fence_ms));
        let known_instances = self.known_instances();
        let live_proxies: BTreeSet<id::Node> = ["p1", "p2", "p3"].map(name).into();
        let view = View {
            epoch: self.state.epochs.get(&group()),
            claim: self.state.claims.get(&group()),
            fenced: self.is_fenced(),
            declared_instances: 3,
            known_instances: &known_instances,
            durability: Durability::Majority,
            live_proxies: &live_proxies,
            draining: &BTreeSet::new(),
        };
        for output in self.machine.step(at(self.now), Input::Tick(view)) {
            self.carry_out(output);
        }
    }

    /// Returns the instances that announced themselves lately, and the primary in force.
    fn known_instances(&mut self) -> Vec<id::Instance> {
        let epoch = self.state.epochs.get(&group());
        let active = epoch.filter(|epoch| epoch.phase == Phase::Active);
        let (now, mut known) = (self.now, Vec::new());
        for (id, upstream) in &mut self.upstreams {
            if upstream.runs {
                upstream.heard_at = now;
            }
            let is_primary = active.is_some_and(|epoch| epoch.primary == *id);
            if now - upstream.heard_at < KNOWN_MS || is_primary {
                known.push(id.clone());
            }
        }
        known
    }

    /// Gives the service an order to promote an instance, unless it has accepted one that is still open.
    fn order_promotion(&mut self, instance: id::Instance) {
        let epoch = self.epoch().map(|epoch| epoch.term);
        let is_open =
            |(at, term): &(u64, Option<id::Term>)| *term == epoch && self.now < *at + ACCEPTED_MS;
        if self.accepted.get(&instance).is_some_and(is_open) || self.service == Service::Refuses {
            return;
        }
        let answers = self.service != Service::AnswersLost;
        if !self.upstreams[&instance].runs {
            if answers {
                self.machine.step(at(self.now), Input::PromotionDeclined { instance });
            }
            return;
        }
        if self.service != Service::Forgets {
            self.orders.push((self.now + PROMOTION_MS, instance.clone()));
        }
        if answers {
            self.accepted.insert(instance.clone(), (self.now, epoch));
            self.machine.step(at(self.now), Input::PromotionAccepted { instance });
        }
    }

    fn carry_out(&mut self, output: Output) {
        if let Output::Promote { instance, .. }
        | Output::Pause { instance, .. }
        | Output::Resume { instance }
        | Output::Follow { instance, .. } = &output
            && !self.upstreams.contains_key(instance)
        {
            return;
        }
        match output {
            Output::Submit(action) => {
                if let Action::Adopt { primary, .. } = &action {
                    self.check_adoption(primary);
                }
                let adopts = matches!(action, Action::Adopt { .. });
                let outcome = self.state.apply(&Command { origin: None, action });
                if adopts && matches!(outcome, Outcome::Done { .. }) {
                    self.fenced_at = None;
                }
            }
            Output::Promote { instance, .. } => self.order_promotion(instance),
            Output::Pause { instance, term } => {
                let newest = self.newest_term;
                let upstream = self.upstreams.get_mut(&instance).expect("an instance");
                let replica = upstream.role == Role::Replica && upstream.term == newest;
                if upstream.runs && upstream.in_touch && replica && term.0 > newest {
                    upstream.paused = true;
                    let received = upstream.log.len() as u64;
                    let status = status(upstream.role, upstream.term, received, upstream.start);
                    self.machine.step(at(self.now), Input::Paused { instance, status });
                }
            }
            Output::Resume { instance } => {
                self.upstreams.get_mut(&instance).expect("an instance").paused = false;
            }
            // An order to follow another primary demotes a primary of a lower term.
            Output::Follow { instance, term, .. } => {
                let leads = self.leading == instance;
                let upstream = self.upstreams.get_mut(&instance).expect("an instance");
                if upstream.runs && upstream.in_touch && upstream.term < term.0 && !leads {
                    upstream.role = Role::Replica;
                }
            }
            Output::Probe { .. } => self.probe(),
            _ => {}
        }
    }

    /// Checks that control puts no epoch in force whose primary lacks an acknowledged write that the primary of the
    /// epoch before still holds, as far as its probes show, and none while proxies may use the epoch before.
    fn check_adoption(&self, primary: &id::Instance) {
        let epoch = self.epoch().expect("an epoch");
        assert!(epoch.phase == Phase::Active || self.is_fenced(), "two epochs in force");
        let old = self.seen.get(&epoch.primary).filter(|old| {
            epoch.phase == Phase::Frozen
                && old.role == Role::Primary
                && old.term == epoch.term.0
                && *primary != epoch.primary
        });
        let (Some(old), Some(new)) = (old, self.seen.get(primary)) else { return };
        let given_up =
            new.lacking(old.log.iter().filter(|write| self.acknowledged.contains(write)));
        assert_eq!(given_up, 0, "{primary} lacks writes that {} holds", epoch.primary);
    }

    /// Returns whether an instance holds all acknowledged writes, other than those in `lost`.
    pub fn has_holder(&self, lost: &[&str]) -> bool {
        let present = self.upstreams.iter().filter(|(id, _)| !lost.contains(&id.as_str()));
        present.into_iter().any(|(_, up)| up.lacking(self.acknowledged.iter()) == 0)
    }

    /// Returns whether the epoch in force is that of the instance that leads.
    pub fn is_served(&self) -> bool {
        let leading = &self.upstreams[&self.leading];
        self.epoch().is_some_and(|epoch| {
            let leads = epoch.primary == self.leading && epoch.term.0 == leading.term;
            leads && epoch.phase == Phase::Active && leading.runs && leading.in_touch
        })
    }

    /// Returns the number of acknowledged writes that the epoch's primary lacks.
    pub fn lost(&self) -> usize {
        self.lost_of(&self.acknowledged)
    }

    /// Returns the acknowledged writes that the epoch's primary holds.
    pub fn held(&self) -> BTreeSet<Write> {
        let primary = &self.upstreams[&self.epoch().expect("an epoch").primary];
        primary.log.iter().filter(|write| self.acknowledged.contains(write)).copied().collect()
    }

    /// Returns how many of `writes` the epoch's primary lacks.
    pub fn lost_of(&self, writes: &BTreeSet<Write>) -> usize {
        self.upstreams[&self.epoch().expect("an epoch").primary].lacking(writes.iter())
    }
}
