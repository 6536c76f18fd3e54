//! One schedule: the processes, the messages between them, what goes wrong, and the rules that must hold.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use cactushatch::clock::Instant;
use cactushatch::control::failover::{Input, Output};
use cactushatch::control::state::{Action, State};
use cactushatch::id;
use cactushatch::upstream::status::Status;
use cactushatch::wire::{Grant, Health, Heartbeat, Role};
use fastrand::Rng;

use crate::instance::Instance;
use crate::machine::{Control, Proxy, group, name};

const PROXIES: usize = 3;
const INSTANCES: usize = 3;
const MS: u64 = 1_000;
/// How long things go wrong, and how long they may then take to work again.
const CHAOS: u64 = 12_000 * MS;
const CALM: u64 = 90_000 * MS;
/// How often a write is sent.
const CALL: u64 = 8 * MS;

/// What happened in a schedule, to see that the schedules do something.
#[derive(Debug, Default)]
pub struct Counts {
    pub acknowledged: u64,
    pub promotions: u64,
    pub elections: u64,
    pub restarts: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        self.acknowledged += other.acknowledged;
        self.promotions += other.promotions;
        self.elections += other.elections;
        self.restarts += other.restarts;
    }
}

/// A place that links connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    Proxy(usize),
    Leader(usize),
    Instance(usize),
}

#[derive(Debug, Clone)]
enum Event {
    Beat(usize),
    Heartbeat {
        from: usize,
        leader: usize,
        life: id::Incarnation,
        heartbeat: Heartbeat,
    },
    Grant {
        to: usize,
        grant: Grant,
    },
    Tick(usize),
    Probe(usize),
    Asked {
        leader: usize,
        instance: usize,
        asked: Instant,
        order: Order,
    },
    Answered {
        leader: usize,
        instance: usize,
        asked: Instant,
        order: Order,
        seen: Result<Status, Health>,
    },
    Submit {
        leader: usize,
        action: Action,
    },
    Call,
    Run {
        write: Write,
    },
    Ran {
        write: Write,
        status: Status,
    },
    Replicate,
    Chaos,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Order {
    Probe,
    Promote(u64),
    Demote(u64),
    Follow(usize, u64),
}

/// A write on its way.
#[derive(Debug, Clone)]
struct Write {
    number: u64,
    proxy: usize,
    life: id::Incarnation,
    instance: usize,
    term: u64,
    /// Its position, once it ran.
    position: Option<u64>,
}

/// A clock that drifts against true time.
#[derive(Debug, Clone, Copy)]
struct Drift {
    offset: u64,
    per_mille: u64,
}

struct Process {
    proxy: Proxy,
    drift: Drift,
    stopped_until: u64,
}

struct Leading {
    control: Control,
    drift: Drift,
    pushed: u64,
}

pub struct Simulation {
    rng: Rng,
    seed: u64,
    /// With `primary` writes are acknowledged at once and may be lost; then the fence alone keeps two terms from
    /// acknowledging at the same time.
    durability: &'static str,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    proxies: Vec<Process>,
    leaders: Vec<Leading>,
    instances: Vec<Instance>,
    cut: BTreeSet<(Place, Place)>,
    /// The writes that were acknowledged, with their terms.
    acknowledged: Vec<u64>,
    newest_term: u64,
    owners: BTreeMap<u64, usize>,
    lives: u64,
    writes: u64,
    counts: Counts,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let instances = (0..INSTANCES).map(Instance::new).collect();
        let drift = drift(&mut rng);
        let durability = if seed.is_multiple_of(3) { "primary" } else { "majority" };
        let control =
            Control::elected_with_durability(local(drift, 0), State::default(), 1, durability);
        let mut simulation = Self {
            rng,
            seed,
            durability,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            proxies: Vec::new(),
            leaders: vec![Leading { control, drift, pushed: 0 }],
            instances,
            cut: BTreeSet::new(),
            acknowledged: Vec::new(),
            newest_term: 0,
            owners: BTreeMap::from([(1, 0)]),
            lives: 0,
            writes: 0,
            counts: Counts::default(),
        };
        for number in 0..PROXIES {
            let process = simulation.process(number);
            simulation.proxies.push(process);
            simulation.after(number as u64 * MS, Event::Beat(number));
        }
        for event in [Event::Tick(0), Event::Probe(0), Event::Call, Event::Replicate] {
            simulation.after(0, event);
        }
        simulation.after(1_000 * MS, Event::Chaos);
        simulation
    }

    fn process(&mut self, number: usize) -> Process {
        self.lives += 1;
        let proxy = Proxy::new(&format!("p{number}"), self.lives);
        Process { proxy, drift: drift(&mut self.rng), stopped_until: 0 }
    }

    /// Runs the schedule, and panics with its seed when a rule is broken.
    pub fn run(mut self) -> Counts {
        while let Some(Reverse((at, order))) = self.queue.pop() {
            self.now = at;
            let event = self.events.remove(&order).expect("each event once");
            self.handle(event);
            if self.now > CHAOS + CALM {
                panic!("seed {}: nothing is acknowledged after all healed", self.seed);
            }
            if self.now > CHAOS && self.is_well() {
                break;
            }
        }
        self.check_primary("at the end");
        self.counts
    }

    /// Tells whether writes are acknowledged again after all healed.
    fn is_well(&self) -> bool {
        self.counts.acknowledged > 0 && self.acknowledged.last() > Some(&self.settled())
    }

    /// The first write of the time in which nothing goes wrong any more.
    fn settled(&self) -> u64 {
        CHAOS / CALL
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((self.now + delay, self.order)));
        self.events.insert(self.order, event);
    }

    /// Sends a message that may be lost, late or doubled.
    fn send(&mut self, from: Place, to: Place, event: Event) {
        let wild = self.now < CHAOS;
        if wild && (self.is_cut(from, to) || self.rng.u8(..) < 10) {
            return;
        }
        if wild && self.rng.u8(..) < 10 {
            let delay = self.delay();
            self.after(delay, event.clone());
        }
        let delay = self.delay();
        self.after(delay, event);
    }

    fn delay(&mut self) -> u64 {
        match self.rng.u8(..) {
            0..4 if self.now < CHAOS => self.rng.u64(0..4_000 * MS),
            4..20 => self.rng.u64(0..100 * MS),
            _ => self.rng.u64(200..2 * MS),
        }
    }

    fn is_cut(&self, a: Place, b: Place) -> bool {
        self.now < CHAOS && (self.cut.contains(&(a, b)) || self.cut.contains(&(b, a)))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Beat(number) => self.beat(number),
            Event::Heartbeat { from, leader, life, heartbeat } => {
                self.heartbeat(from, leader, life, &heartbeat);
            }
            Event::Grant { to, grant } => self.grant(to, grant),
            Event::Tick(leader) => self.tick(leader),
            Event::Probe(leader) => self.probe(leader),
            Event::Asked { leader, instance, asked, order } => {
                self.asked(leader, instance, asked, order);
            }
            Event::Answered { leader, instance, asked, order, seen } => {
                self.answered(leader, instance, asked, order, seen);
            }
            Event::Submit { leader, action } => self.submit(leader, action),
            Event::Call => self.call(),
            Event::Run { write } => self.run_write(write),
            Event::Ran { write, status } => self.ran(write, status),
            Event::Replicate => self.replicate(),
            Event::Chaos => self.chaos(),
        }
    }

    // The proxies.

    /// Returns a proxy's clock, or `None` while its process is stopped.
    fn proxy_now(&self, number: usize) -> Option<Instant> {
        let process = &self.proxies[number];
        (self.now >= process.stopped_until).then(|| local(process.drift, self.now))
    }

    fn beat(&mut self, number: usize) {
        self.after(150 * MS, Event::Beat(number));
        let Some(now) = self.proxy_now(number) else {
            return;
        };
        for instance in 0..INSTANCES {
            let cut = self.is_cut(Place::Proxy(number), Place::Instance(instance));
            let trouble = match self.instances[instance].alive {
                _ if cut => Health::Silent,
                true => Health::Fine,
                false => Health::Refused,
            };
            let process = &mut self.proxies[number];
            process.proxy.sees(&label(instance), 1 + instance as u16, trouble, 0);
        }
        let proxy = &mut self.proxies[number].proxy;
        let life = proxy.holder.1;
        let heartbeat = proxy.send(now);
        for leader in 0..self.leaders.len() {
            let heartbeat = heartbeat.clone();
            let event = Event::Heartbeat { from: number, leader, life, heartbeat };
            self.send(Place::Proxy(number), Place::Leader(leader), event);
        }
    }

    fn grant(&mut self, to: usize, grant: Grant) {
        if self.proxy_now(to).is_none() {
            let wait = self.proxies[to].stopped_until - self.now;
            return self.after(wait, Event::Grant { to, grant });
        }
        let fence = &mut self.proxies[to].proxy.fence;
        let term = |fence: &cactushatch::proxy::fence::Fence| fence.epoch(&group()).map(|e| e.term);
        let before = (term(fence), fence.newest().0, fence.newest().2);
        let changed = fence.step(grant);
        let after = (term(fence), fence.newest().0, fence.newest().2);
        assert!(before <= after, "seed {}: {before:?} went back to {after:?}", self.seed);
        if changed {
            self.acknowledge(to);
        }
    }

    /// Sends a heartbeat at once, beside the regular ones.
    fn acknowledge(&mut self, number: usize) {
        let now = local(self.proxies[number].drift, self.now);
        let proxy = &mut self.proxies[number].proxy;
        let (life, heartbeat) = (proxy.holder.1, proxy.send(now));
        for leader in 0..self.leaders.len() {
            let heartbeat = heartbeat.clone();
            let event = Event::Heartbeat { from: number, leader, life, heartbeat };
            self.send(Place::Proxy(number), Place::Leader(leader), event);
        }
    }

    // The leaders; the last one leads, those before it run on.

    fn leader_now(&self, leader: usize) -> Instant {
        local(self.leaders[leader].drift, self.now)
    }

    fn leads(&self, leader: usize) -> bool {
        leader + 1 == self.leaders.len()
    }

    fn heartbeat(&mut self, from: usize, leader: usize, life: id::Incarnation, beat: &Heartbeat) {
        let now = self.leader_now(leader);
        if self.leads(leader) {
            self.leaders[leader].control.leader.confirm_leadership(now);
        }
        let life = (name(&format!("p{from}")), life);
        let Leading { control, .. } = &mut self.leaders[leader];
        let known = control.state.nodes.get(&life.0).map(|(known, _)| *known);
        if known < Some(life.1) {
            let (node, incarnation) = life;
            let action = Action::Register { node, incarnation, domain: name("a") };
            return self.after(MS, Event::Submit { leader, action });
        }
        let decided = (&control.state, control.stamp);
        if let Some(grant) = control.leader.heartbeat(now, life, beat, decided) {
            self.send(Place::Leader(leader), Place::Proxy(from), Event::Grant { to: from, grant });
        }
    }

    fn tick(&mut self, leader: usize) {
        let every = if self.now < CHAOS { 10 } else { 20 };
        self.after(every * MS, Event::Tick(leader));
        let now = self.leader_now(leader);
        let outputs = self.leaders[leader].control.tick(now);
        for output in outputs {
            self.carry_out(leader, output);
        }
        let Leading { control, pushed, .. } = &mut self.leaders[leader];
        if control.leader.version() == *pushed {
            return;
        }
        *pushed = control.leader.version();
        let grants = control.leader.table_updates(control.stamp, control.state.revision);
        for (_, grant) in grants {
            let to = (0..PROXIES).find(|n| self.proxies[*n].proxy.holder.1 == grant.incarnation);
            if let Some(to) = to {
                self.send(Place::Leader(leader), Place::Proxy(to), Event::Grant { to, grant });
            }
        }
    }

    fn carry_out(&mut self, leader: usize, output: Output) {
        let (instance, order) = match output {
            Output::Submit(action) => {
                let delay = self.delay();
                return self.after(delay, Event::Submit { leader, action });
            }
            Output::Probe { instance } => (instance, Order::Probe),
            Output::Promote { instance, term } => (instance, Order::Promote(term.0)),
            Output::Demote { instance, term } => (instance, Order::Demote(term.0)),
            Output::Follow { instance, primary, term } => {
                (instance, Order::Follow(number(&primary), term.0))
            }
            Output::Pause { .. } | Output::Resume { .. } => {
                panic!("{output:?}: these instances are promoted by a statement to them")
            }
        };
        self.ask(leader, number(&instance), order);
    }

    fn probe(&mut self, leader: usize) {
        self.after(50 * MS, Event::Probe(leader));
        for instance in 0..INSTANCES {
            self.ask(leader, instance, Order::Probe);
        }
    }

    fn ask(&mut self, leader: usize, instance: usize, order: Order) {
        let asked = self.leader_now(leader);
        let (from, to) = (Place::Leader(leader), Place::Instance(instance));
        if self.is_cut(from, to) && order == Order::Probe {
            let seen = Err(Health::Silent);
            let silent = Event::Answered { leader, instance, asked, order, seen };
            return self.after(1_000 * MS, silent);
        }
        self.send(from, to, Event::Asked { leader, instance, asked, order });
    }

    fn asked(&mut self, leader: usize, number: usize, asked: Instant, order: Order) {
        let instance = &mut self.instances[number];
        let mut seen = Err(Health::Refused);
        if instance.alive {
            let done = match order {
                Order::Probe => true,
                Order::Promote(term) => instance.promote(term),
                Order::Demote(term) => instance.demote(term),
                Order::Follow(primary, term) => instance.follow(primary, term),
            };
            seen = done.then(|| instance.status(INSTANCES)).ok_or(Health::Faulty);
            if let Order::Promote(term) = order
                && done
            {
                let owner = *self.owners.entry(term).or_insert(number);
                assert_eq!(owner, number, "seed {}: term {term} was taken twice", self.seed);
            }
        }
        let answer = Event::Answered { leader, instance: number, asked, order, seen };
        self.send(Place::Instance(number), Place::Leader(leader), answer);
    }

    fn answered(
        &mut self,
        leader: usize,
        instance: usize,
        asked: Instant,
        order: Order,
        seen: Result<Status, Health>,
    ) {
        let instance = name(&label(instance));
        let input = match (order, seen) {
            (Order::Probe, result) => Input::Probed { instance, asked, result },
            (Order::Demote(_), Ok(status)) => Input::Demoted { instance, status },
            (Order::Demote(_), Err(Health::Faulty)) => Input::DemotionRefused { instance },
            (_, Ok(status)) => Input::Probed { instance, asked, result: Ok(status) },
            _ => return,
        };
        let now = self.leader_now(leader);
        self.leaders[leader].control.leader.step(now, &group(), input);
    }

    /// Commits what the present leader submitted; what an earlier one submits is lost.
    fn submit(&mut self, leader: usize, action: Action) {
        if !self.leads(leader) {
            return;
        }
        let now = self.leader_now(leader);
        let control = &mut self.leaders[leader].control;
        let before = control.state.epochs.get(&group()).map(|epoch| epoch.term);
        control.commit(now, action);
        let after = control.state.epochs.get(&group()).map(|epoch| epoch.term);
        assert!(before <= after, "seed {}: an epoch went back", self.seed);
        if before < after {
            self.counts.promotions += 1;
            self.check_primary("when its epoch came in force");
        }
    }

    fn check_primary(&self, when: &str) {
        let state = &self.leaders[self.leaders.len() - 1].control.state;
        let epoch = state.epochs.get(&group()).filter(|_| self.durability == "majority");
        let Some(epoch) = epoch else {
            return;
        };
        let log: BTreeSet<u64> =
            self.instances[number(&epoch.primary)].log.iter().copied().collect();
        let lost = self.acknowledged.iter().find(|write| !log.contains(write));
        let term = epoch.term;
        assert_eq!(
            lost, None,
            "seed {}: term {term} lacks an acknowledged write {when}",
            self.seed
        );
    }

    // The writes.

    fn call(&mut self) {
        self.after(CALL, Event::Call);
        self.writes += 1;
        let proxy = self.rng.usize(..PROXIES);
        let Some(now) = self.proxy_now(proxy) else {
            return;
        };
        let Proxy { fence, holder, .. } = &self.proxies[proxy].proxy;
        let Some(epoch) = fence.epoch(&group()) else {
            return;
        };
        if !self.proxies[proxy].proxy.releases(now, epoch.term.0) {
            return;
        }
        let (instance, term) = (number(&epoch.primary), epoch.term.0);
        let write =
            Write { number: self.writes, proxy, life: holder.1, instance, term, position: None };
        self.send(Place::Proxy(proxy), Place::Instance(instance), Event::Run { write });
    }

    /// Runs a write, or asks for the status again while it is not durable.
    fn run_write(&mut self, mut write: Write) {
        let instance = &mut self.instances[write.instance];
        if !instance.alive {
            return;
        }
        if write.position.is_none() {
            // A doubled message would be a doubled statement, which TCP rules out.
            if instance.log.contains(&write.number) {
                return;
            }
            let Some(position) = instance.write(write.number) else {
                return;
            };
            write.position = Some(position as u64);
            if instance.term != write.term {
                return;
            }
        }
        let status = instance.status(INSTANCES);
        let (from, to) = (Place::Instance(write.instance), Place::Proxy(write.proxy));
        self.send(from, to, Event::Ran { write, status });
    }

    fn ran(&mut self, write: Write, status: Status) {
        let number = write.proxy;
        let Some(now) = self.proxy_now(number) else {
            let wait = self.proxies[number].stopped_until - self.now;
            return self.after(wait, Event::Ran { write, status });
        };
        let proxy = &self.proxies[number].proxy;
        if proxy.holder.1 != write.life || !proxy.releases(now, write.term) {
            return;
        }
        if self.durability == "majority" && Some(status.durable.0) < write.position {
            let (from, to) = (Place::Proxy(number), Place::Instance(write.instance));
            return self.send(from, to, Event::Run { write });
        }
        let newest = self.newest_term;
        assert!(
            write.term >= newest,
            "seed {}: term {} acknowledges after term {newest}",
            self.seed,
            write.term
        );
        self.newest_term = write.term;
        if !self.acknowledged.contains(&write.number) {
            self.acknowledged.push(write.number);
            self.counts.acknowledged += 1;
        }
    }

    fn replicate(&mut self) {
        self.after(3 * MS, Event::Replicate);
        for follower in 0..INSTANCES {
            let Some(primary) = self.instances[follower].following else {
                continue;
            };
            let link = (Place::Instance(follower), Place::Instance(primary));
            if primary == follower || self.is_cut(link.0, link.1) {
                continue;
            }
            let most = self.rng.usize(0..4);
            let from = self.instances[primary].clone();
            let to = &mut self.instances[follower];
            to.receive(&from, most);
            let follows =
                to.alive && from.alive && to.role == Role::Replica && to.term == from.term;
            let held = to.log.len();
            if follows && self.rng.bool() {
                self.instances[primary].held.insert(follower, held);
            }
        }
    }

    // What goes wrong.

    fn chaos(&mut self) {
        if self.now >= CHAOS {
            return self.heal();
        }
        let next = self.rng.u64(100 * MS..1_200 * MS);
        self.after(next.min(CHAOS - self.now), Event::Chaos);
        for _ in 0..self.rng.u8(1..=2) {
            self.fail();
        }
    }

    fn fail(&mut self) {
        let (proxy, instance) = (self.rng.usize(..PROXIES), self.rng.usize(..INSTANCES));
        match self.rng.u8(0..18) {
            0 | 1 => self.cut.clear(),
            2..=5 => self.cut_off(),
            6 => self.elect(),
            7 => self.restart(proxy),
            8 | 9 => {
                let until = self.now + self.rng.u64(0..4_000 * MS);
                self.proxies[proxy].stopped_until = until;
            }
            10 | 11 => self.instances[instance].alive = false,
            12..=14 => self.revive(instance),
            15 | 16 => self.hide_primary(proxy),
            _ => self.drain(instance),
        }
    }

    fn cut_off(&mut self) {
        let places = (0..PROXIES).map(Place::Proxy).chain((0..INSTANCES).map(Place::Instance));
        let mut places: Vec<Place> = places.collect();
        places.push(Place::Leader(self.leaders.len() - 1));
        let side: Vec<Place> = places.iter().copied().filter(|_| self.rng.u8(0..3) == 0).collect();
        for near in &side {
            for far in places.iter().filter(|place| !side.contains(place)) {
                self.cut.insert((*near, *far));
            }
        }
    }

    /// Cuts the primary off from control and from all proxies but one, and that one from control; at times the
    /// leader changes at the same moment.
    fn hide_primary(&mut self, proxy: usize) {
        let leader = Place::Leader(self.leaders.len() - 1);
        let state = &self.leaders[self.leaders.len() - 1].control.state;
        let Some(primary) = state.epochs.get(&group()).map(|epoch| number(&epoch.primary)) else {
            return;
        };
        if self.rng.bool() {
            self.elect();
        }
        let next = Place::Leader(self.leaders.len() - 1);
        for (near, far) in [
            (leader, Place::Instance(primary)),
            (next, Place::Instance(primary)),
            (next, Place::Proxy(proxy)),
        ] {
            self.cut.insert((near, far));
        }
        for other in (0..PROXIES).filter(|other| *other != proxy) {
            self.cut.insert((Place::Proxy(other), Place::Instance(primary)));
        }
    }

    fn elect(&mut self) {
        self.counts.elections += 1;
        let drift = drift(&mut self.rng);
        let last = &self.leaders[self.leaders.len() - 1].control;
        let (state, term) = (last.state.clone(), last.stamp.term.0 + 1);
        let control =
            Control::elected_with_durability(local(drift, self.now), state, term, self.durability);
        self.leaders.push(Leading { control, drift, pushed: 0 });
        let leader = self.leaders.len() - 1;
        self.after(0, Event::Tick(leader));
        self.after(0, Event::Probe(leader));
    }

    fn restart(&mut self, proxy: usize) {
        self.counts.restarts += 1;
        self.proxies[proxy] = self.process(proxy);
    }

    /// Starts an instance; whatever starts it may have it come back as a replica.
    fn revive(&mut self, instance: usize) {
        let as_replica = self.rng.u8(0..3) == 0;
        let instance = &mut self.instances[instance];
        if !instance.alive && as_replica {
            instance.role = Role::Replica;
            instance.stopped = false;
        }
        instance.alive = true;
    }

    fn drain(&mut self, instance: usize) {
        let instance = name(&label(instance));
        let leader = self.leaders.len() - 1;
        let draining = &mut self.leaders[leader].control.state.draining;
        if !draining.remove(&instance) && draining.len() < INSTANCES - 1 {
            draining.insert(instance);
        }
    }

    fn heal(&mut self) {
        self.cut.clear();
        let leader = self.leaders.len() - 1;
        self.leaders[leader].control.state.draining.clear();
        for instance in 0..INSTANCES {
            self.revive(instance);
        }
    }
}

fn label(instance: usize) -> String {
    format!("i{instance}")
}

fn number(instance: &id::Instance) -> usize {
    instance.as_str()[1..].parse().expect("a number")
}

/// Returns a clock that is up to 4.5 percent fast or slow, so that two drift just less than the margin apart
/// over one lease.
fn drift(rng: &mut Rng) -> Drift {
    Drift { offset: rng.u64(0..1_000_000_000), per_mille: rng.u64(955..=1_045) }
}

fn local(drift: Drift, now: u64) -> Instant {
    Instant(drift.offset) + Duration::from_micros(now * drift.per_mille / 1_000)
}
