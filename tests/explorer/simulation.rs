//! The simulation of one schedule: the processes, the messages between them, the injected faults, and the checks of the
//! invariants. Times are in microseconds.

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
/// The number of microseconds in a millisecond.
const MS: u64 = 1_000;
/// How long faults are injected.
const FAULT_PERIOD_US: u64 = 12_000 * MS;
/// How long after the last fault writes must be acknowledged again.
const RECOVERY_LIMIT_US: u64 = 90_000 * MS;
/// The time between two writes.
const WRITE_INTERVAL_US: u64 = 8 * MS;

/// How often each kind of event occurred, to check that the schedules exercise the state machines.
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

/// An end of a network link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Endpoint {
    Proxy(usize),
    Leader(usize),
    Instance(usize),
}

/// A timer that expires, or a message that arrives.
#[derive(Debug, Clone)]
enum Event {
    HeartbeatDue(usize),
    Heartbeat {
        from: usize,
        leader: usize,
        incarnation: id::Incarnation,
        heartbeat: Heartbeat,
    },
    Grant {
        to: usize,
        grant: Grant,
    },
    TickDue(usize),
    ProbesDue(usize),
    Command {
        leader: usize,
        instance: usize,
        requested_at: Instant,
        command: Command,
    },
    Answer {
        leader: usize,
        instance: usize,
        requested_at: Instant,
        command: Command,
        result: Result<Status, Health>,
    },
    Submit {
        leader: usize,
        action: Action,
    },
    WriteDue,
    Write {
        write: Write,
    },
    WriteAnswer {
        write: Write,
        status: Status,
    },
    ReplicationDue,
    FaultsDue,
}

/// A command of a leader to an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Command {
    Probe,
    Promote(u64),
    Demote(u64),
    Follow(usize, u64),
}

/// A write that a proxy has sent and whose answer it has not released.
#[derive(Debug, Clone)]
struct Write {
    number: u64,
    proxy: usize,
    incarnation: id::Incarnation,
    instance: usize,
    term: u64,
    /// The position of the write, once the instance has run it.
    position: Option<u64>,
}

/// A clock with an offset and a rate relative to the time of the simulation.
#[derive(Debug, Clone, Copy)]
struct LocalClock {
    offset: u64,
    rate_per_mille: u64,
}

/// A proxy process and its clock.
struct ProxyProcess {
    proxy: Proxy,
    clock: LocalClock,
    paused_until: u64,
}

/// A control process that is or was the leader, and its clock.
struct LeaderProcess {
    control: Control,
    clock: LocalClock,
}

pub struct Simulation {
    rng: Rng,
    seed: u64,
    /// With `primary`, writes are acknowledged immediately and may be lost in a failover. Then only the fence keeps two
    /// terms from acknowledging writes at the same time.
    durability: &'static str,
    now: u64,
    event_count: u64,
    /// The times and ids of the scheduled events.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    proxies: Vec<ProxyProcess>,
    /// The leaders in the order of their terms. All but the last have been replaced but keep running.
    leaders: Vec<LeaderProcess>,
    instances: Vec<Instance>,
    cut_links: BTreeSet<(Endpoint, Endpoint)>,
    /// The numbers of the acknowledged writes.
    acknowledged: Vec<u64>,
    /// The newest term under which a write was acknowledged.
    newest_term: u64,
    /// The instance that was promoted in each term.
    primaries: BTreeMap<u64, usize>,
    last_incarnation: u64,
    write_count: u64,
    counts: Counts,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let instances = (0..INSTANCES).map(Instance::new).collect();
        let clock = random_clock(&mut rng);
        let durability = if seed.is_multiple_of(3) { "primary" } else { "majority" };
        let control =
            Control::elected_with_durability(local_time(clock, 0), State::default(), 1, durability);
        let mut simulation = Self {
            rng,
            seed,
            durability,
            now: 0,
            event_count: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            proxies: Vec::new(),
            leaders: vec![LeaderProcess { control, clock }],
            instances,
            cut_links: BTreeSet::new(),
            acknowledged: Vec::new(),
            newest_term: 0,
            primaries: BTreeMap::from([(1, 0)]),
            last_incarnation: 0,
            write_count: 0,
            counts: Counts::default(),
        };
        for number in 0..PROXIES {
            let process = simulation.start_proxy(number);
            simulation.proxies.push(process);
            simulation.schedule(number as u64 * MS, Event::HeartbeatDue(number));
        }
        for event in
            [Event::TickDue(0), Event::ProbesDue(0), Event::WriteDue, Event::ReplicationDue]
        {
            simulation.schedule(0, event);
        }
        simulation.schedule(1_000 * MS, Event::FaultsDue);
        simulation
    }

    /// Returns a proxy process with a new incarnation and another clock.
    fn start_proxy(&mut self, number: usize) -> ProxyProcess {
        self.last_incarnation += 1;
        let proxy = Proxy::new(&format!("p{number}"), self.last_incarnation);
        ProxyProcess { proxy, clock: random_clock(&mut self.rng), paused_until: 0 }
    }

    /// Runs the schedule. Panics with its seed if an invariant is violated.
    pub fn run(mut self) -> Counts {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            self.now = at;
            let event = self.events.remove(&id).expect("event is scheduled");
            self.handle(event);
            if self.now > FAULT_PERIOD_US + RECOVERY_LIMIT_US {
                panic!("seed {}: no write is acknowledged after the last fault", self.seed);
            }
            if self.now > FAULT_PERIOD_US && self.has_recovered() {
                break;
            }
        }
        self.check_primary("at the end");
        self.counts
    }

    /// Returns whether a write was acknowledged that was sent after the last fault.
    fn has_recovered(&self) -> bool {
        self.counts.acknowledged > 0
            && self.acknowledged.last() > Some(&self.first_write_after_faults())
    }

    /// Returns the number of the first write after the last fault.
    fn first_write_after_faults(&self) -> u64 {
        FAULT_PERIOD_US / WRITE_INTERVAL_US
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((self.now + delay, self.event_count)));
        self.events.insert(self.event_count, event);
    }

    /// Sends a message. While faults are injected it may be lost, delayed or duplicated.
    fn send(&mut self, from: Endpoint, to: Endpoint, event: Event) {
        let faulty = self.now < FAULT_PERIOD_US;
        if faulty && (self.is_cut(from, to) || self.rng.u8(..) < 10) {
            return;
        }
        if faulty && self.rng.u8(..) < 10 {
            let delay = self.delay();
            self.schedule(delay, event.clone());
        }
        let delay = self.delay();
        self.schedule(delay, event);
    }

    fn delay(&mut self) -> u64 {
        match self.rng.u8(..) {
            0..4 if self.now < FAULT_PERIOD_US => self.rng.u64(0..4_000 * MS),
            4..20 => self.rng.u64(0..100 * MS),
            _ => self.rng.u64(200..2 * MS),
        }
    }

    fn is_cut(&self, a: Endpoint, b: Endpoint) -> bool {
        self.now < FAULT_PERIOD_US
            && (self.cut_links.contains(&(a, b)) || self.cut_links.contains(&(b, a)))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::HeartbeatDue(number) => self.send_regular_heartbeat(number),
            Event::Heartbeat { from, leader, incarnation, heartbeat } => {
                self.receive_heartbeat(from, leader, incarnation, &heartbeat);
            }
            Event::Grant { to, grant } => self.receive_grant(to, grant),
            Event::TickDue(leader) => self.tick(leader),
            Event::ProbesDue(leader) => self.probe_instances(leader),
            Event::Command { leader, instance, requested_at, command } => {
                self.run_command(leader, instance, requested_at, command);
            }
            Event::Answer { leader, instance, requested_at, command, result } => {
                self.receive_answer(leader, instance, requested_at, command, result);
            }
            Event::Submit { leader, action } => self.commit(leader, action),
            Event::WriteDue => self.send_write(),
            Event::Write { write } => self.run_write(write),
            Event::WriteAnswer { write, status } => self.receive_write_answer(write, status),
            Event::ReplicationDue => self.replicate(),
            Event::FaultsDue => self.inject_faults(),
        }
    }

    // The proxies.

    /// Returns the local time of a proxy, or `None` while its process is paused.
    fn proxy_now(&self, number: usize) -> Option<Instant> {
        let process = &self.proxies[number];
        (self.now >= process.paused_until).then(|| local_time(process.clock, self.now))
    }

    fn send_regular_heartbeat(&mut self, number: usize) {
        self.schedule(150 * MS, Event::HeartbeatDue(number));
        let Some(now) = self.proxy_now(number) else {
            return;
        };
        for instance in 0..INSTANCES {
            let cut = self.is_cut(Endpoint::Proxy(number), Endpoint::Instance(instance));
            let health = match self.instances[instance].alive {
                _ if cut => Health::Silent,
                true => Health::Fine,
                false => Health::Refused,
            };
            let process = &mut self.proxies[number];
            process.proxy.observe(&instance_name(instance), 1 + instance as u16, health, 0);
        }
        let proxy = &mut self.proxies[number].proxy;
        let incarnation = proxy.holder.1;
        let heartbeat = proxy.send_heartbeat(now);
        for leader in 0..self.leaders.len() {
            let heartbeat = heartbeat.clone();
            let event = Event::Heartbeat { from: number, leader, incarnation, heartbeat };
            self.send(Endpoint::Proxy(number), Endpoint::Leader(leader), event);
        }
    }

    fn receive_grant(&mut self, to: usize, grant: Grant) {
        if self.proxy_now(to).is_none() {
            let remaining_pause = self.proxies[to].paused_until - self.now;
            return self.schedule(remaining_pause, Event::Grant { to, grant });
        }
        let fence = &mut self.proxies[to].proxy.fence;
        let term = |fence: &cactushatch::proxy::fence::Fence| fence.epoch(&group()).map(|e| e.term);
        let before = (term(fence), fence.newest().0, fence.newest().2);
        let changed = fence.step(grant);
        let after = (term(fence), fence.newest().0, fence.newest().2);
        assert!(
            before <= after,
            "seed {}: the fence went back from {before:?} to {after:?}",
            self.seed
        );
        if changed {
            self.acknowledge(to);
        }
    }

    /// Acknowledges a new table by a heartbeat in addition to the regular ones.
    fn acknowledge(&mut self, number: usize) {
        let now = local_time(self.proxies[number].clock, self.now);
        let proxy = &mut self.proxies[number].proxy;
        let (incarnation, heartbeat) = (proxy.holder.1, proxy.send_heartbeat(now));
        for leader in 0..self.leaders.len() {
            let heartbeat = heartbeat.clone();
            let event = Event::Heartbeat { from: number, leader, incarnation, heartbeat };
            self.send(Endpoint::Proxy(number), Endpoint::Leader(leader), event);
        }
    }

    // The leaders.

    fn leader_now(&self, leader: usize) -> Instant {
        local_time(self.leaders[leader].clock, self.now)
    }

    fn is_current_leader(&self, leader: usize) -> bool {
        leader + 1 == self.leaders.len()
    }

    fn receive_heartbeat(
        &mut self,
        from: usize,
        leader: usize,
        incarnation: id::Incarnation,
        heartbeat: &Heartbeat,
    ) {
        let now = self.leader_now(leader);
        if self.is_current_leader(leader) {
            self.leaders[leader].control.leader.confirm_leadership(now);
        }
        let holder = (name(&format!("p{from}")), incarnation);
        let LeaderProcess { control, .. } = &mut self.leaders[leader];
        let registered = control.state.nodes.get(&holder.0).map(|(registered, _)| *registered);
        if registered < Some(holder.1) {
            let (node, incarnation) = holder;
            let action = Action::Register { node, incarnation, domain: name("a") };
            return self.schedule(MS, Event::Submit { leader, action });
        }
        let committed = (&control.state, control.stamp);
        if let Some(grant) = control.leader.handle_heartbeat(now, holder, heartbeat, committed) {
            self.send(
                Endpoint::Leader(leader),
                Endpoint::Proxy(from),
                Event::Grant { to: from, grant },
            );
        }
    }

    fn tick(&mut self, leader: usize) {
        let interval_ms = if self.now < FAULT_PERIOD_US { 10 } else { 20 };
        self.schedule(interval_ms * MS, Event::TickDue(leader));
        let now = self.leader_now(leader);
        let outputs = self.leaders[leader].control.tick(now);
        for output in outputs {
            self.execute(leader, output);
        }
        let LeaderProcess { control, .. } = &mut self.leaders[leader];
        if !control.leader.has_urgent_updates() {
            return;
        }
        let grants = control.leader.table_updates(now, control.stamp, control.state.revision);
        for (_, grant) in grants {
            let to = (0..PROXIES).find(|n| self.proxies[*n].proxy.holder.1 == grant.incarnation);
            if let Some(to) = to {
                self.send(
                    Endpoint::Leader(leader),
                    Endpoint::Proxy(to),
                    Event::Grant { to, grant },
                );
            }
        }
    }

    fn execute(&mut self, leader: usize, output: Output) {
        let (instance, command) = match output {
            Output::Submit(action) => {
                let delay = self.delay();
                return self.schedule(delay, Event::Submit { leader, action });
            }
            Output::ReportChoice(_) => return,
            Output::Probe { instance } => (instance, Command::Probe),
            Output::Promote { instance, term } => (instance, Command::Promote(term.0)),
            Output::Demote { instance, term } => (instance, Command::Demote(term.0)),
            Output::Follow { instance, primary, term } => {
                (instance, Command::Follow(instance_number(&primary), term.0))
            }
            Output::Pause { .. }
            | Output::Resume { .. }
            | Output::ReportUnordered { .. }
            | Output::ReportMissing { .. } => {
                panic!(
                    "unexpected {output:?}: the instances of this group are promoted by a statement"
                )
            }
        };
        self.send_command(leader, instance_number(&instance), command);
    }

    fn probe_instances(&mut self, leader: usize) {
        self.schedule(50 * MS, Event::ProbesDue(leader));
        for instance in 0..INSTANCES {
            self.send_command(leader, instance, Command::Probe);
        }
    }

    fn send_command(&mut self, leader: usize, instance: usize, command: Command) {
        let requested_at = self.leader_now(leader);
        let (from, to) = (Endpoint::Leader(leader), Endpoint::Instance(instance));
        if self.is_cut(from, to) && command == Command::Probe {
            let result = Err(Health::Silent);
            let timeout = Event::Answer { leader, instance, requested_at, command, result };
            return self.schedule(1_000 * MS, timeout);
        }
        self.send(from, to, Event::Command { leader, instance, requested_at, command });
    }

    fn run_command(
        &mut self,
        leader: usize,
        number: usize,
        requested_at: Instant,
        command: Command,
    ) {
        let instance = &mut self.instances[number];
        let mut result = Err(Health::Refused);
        if instance.alive {
            let accepted = match command {
                Command::Probe => true,
                Command::Promote(term) => instance.promote(term),
                Command::Demote(term) => instance.demote(term),
                Command::Follow(primary, term) => instance.follow(primary, term),
            };
            result = accepted.then(|| instance.status(INSTANCES)).ok_or(Health::Faulty);
            if let Command::Promote(term) = command
                && accepted
            {
                let primary = *self.primaries.entry(term).or_insert(number);
                assert_eq!(primary, number, "seed {}: term {term} has two primaries", self.seed);
            }
        }
        let answer = Event::Answer { leader, instance: number, requested_at, command, result };
        self.send(Endpoint::Instance(number), Endpoint::Leader(leader), answer);
    }

    fn receive_answer(
        &mut self,
        leader: usize,
        instance: usize,
        requested_at: Instant,
        command: Command,
        result: Result<Status, Health>,
    ) {
        let instance = name(&instance_name(instance));
        let input = match (command, result) {
            (Command::Probe, result) => Input::Probed { instance, requested_at, result },
            (Command::Demote(_), Ok(status)) => Input::Demoted { instance, status },
            (Command::Demote(_), Err(Health::Faulty)) => Input::DemotionRefused { instance },
            (_, Ok(status)) => Input::Probed { instance, requested_at, result: Ok(status) },
            _ => return,
        };
        let now = self.leader_now(leader);
        self.leaders[leader].control.leader.step(now, &group(), input);
    }

    /// Commits an action if the current leader submitted it. Actions of replaced leaders are lost.
    fn commit(&mut self, leader: usize, action: Action) {
        if !self.is_current_leader(leader) {
            return;
        }
        let now = self.leader_now(leader);
        let control = &mut self.leaders[leader].control;
        let before = control.state.epochs.get(&group()).map(|epoch| epoch.term);
        control.commit(now, action);
        let after = control.state.epochs.get(&group()).map(|epoch| epoch.term);
        assert!(before <= after, "seed {}: the epoch went back to an earlier term", self.seed);
        if before < after {
            self.counts.promotions += 1;
            self.check_primary("when its epoch was committed");
        }
    }

    /// Checks that the primary of the current epoch has all acknowledged writes.
    fn check_primary(&self, when: &str) {
        let state = &self.leaders[self.leaders.len() - 1].control.state;
        let epoch = state.epochs.get(&group()).filter(|_| self.durability == "majority");
        let Some(epoch) = epoch else {
            return;
        };
        let log: BTreeSet<u64> =
            self.instances[instance_number(&epoch.primary)].log.iter().copied().collect();
        let lost = self.acknowledged.iter().find(|write| !log.contains(write));
        let term = epoch.term;
        assert_eq!(
            lost, None,
            "seed {}: the primary of term {term} lacks an acknowledged write {when}",
            self.seed
        );
    }

    // The writes.

    fn send_write(&mut self) {
        self.schedule(WRITE_INTERVAL_US, Event::WriteDue);
        self.write_count += 1;
        let proxy = self.rng.usize(..PROXIES);
        let Some(now) = self.proxy_now(proxy) else {
            return;
        };
        let Proxy { fence, holder, .. } = &self.proxies[proxy].proxy;
        let Some(epoch) = fence.epoch(&group()) else {
            return;
        };
        if !self.proxies[proxy].proxy.may_release(now, epoch.term.0) {
            return;
        }
        let (instance, term) = (instance_number(&epoch.primary), epoch.term.0);
        let write = Write {
            number: self.write_count,
            proxy,
            incarnation: holder.1,
            instance,
            term,
            position: None,
        };
        self.send(Endpoint::Proxy(proxy), Endpoint::Instance(instance), Event::Write { write });
    }

    /// Runs a write, or returns the status again if the write has run but was not durable yet.
    fn run_write(&mut self, mut write: Write) {
        let instance = &mut self.instances[write.instance];
        if !instance.alive {
            return;
        }
        if write.position.is_none() {
            // TCP delivers a statement only once, so a duplicated message does not run the write again.
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
        let (from, to) = (Endpoint::Instance(write.instance), Endpoint::Proxy(write.proxy));
        self.send(from, to, Event::WriteAnswer { write, status });
    }

    fn receive_write_answer(&mut self, write: Write, status: Status) {
        let number = write.proxy;
        let Some(now) = self.proxy_now(number) else {
            let remaining_pause = self.proxies[number].paused_until - self.now;
            return self.schedule(remaining_pause, Event::WriteAnswer { write, status });
        };
        let proxy = &self.proxies[number].proxy;
        if proxy.holder.1 != write.incarnation || !proxy.may_release(now, write.term) {
            return;
        }
        if self.durability == "majority" && Some(status.durable.0) < write.position {
            let (from, to) = (Endpoint::Proxy(number), Endpoint::Instance(write.instance));
            return self.send(from, to, Event::Write { write });
        }
        let newest = self.newest_term;
        assert!(
            write.term >= newest,
            "seed {}: term {} acknowledges a write after newer term {newest} has acknowledged one",
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
        self.schedule(3 * MS, Event::ReplicationDue);
        for follower in 0..INSTANCES {
            let Some(primary) = self.instances[follower].following else {
                continue;
            };
            let link = (Endpoint::Instance(follower), Endpoint::Instance(primary));
            if primary == follower || self.is_cut(link.0, link.1) {
                continue;
            }
            let max_records = self.rng.usize(0..4);
            let from = self.instances[primary].clone();
            let to = &mut self.instances[follower];
            to.receive(&from, max_records);
            let follows =
                to.alive && from.alive && to.role == Role::Replica && to.term == from.term;
            let received = to.log.len();
            if follows && self.rng.bool() {
                self.instances[primary].received.insert(follower, received);
            }
        }
    }

    // The faults.

    fn inject_faults(&mut self) {
        if self.now >= FAULT_PERIOD_US {
            return self.heal();
        }
        let next = self.rng.u64(100 * MS..1_200 * MS);
        self.schedule(next.min(FAULT_PERIOD_US - self.now), Event::FaultsDue);
        for _ in 0..self.rng.u8(1..=2) {
            self.inject_fault();
        }
    }

    fn inject_fault(&mut self) {
        let (proxy, instance) = (self.rng.usize(..PROXIES), self.rng.usize(..INSTANCES));
        match self.rng.u8(0..18) {
            0 | 1 => self.cut_links.clear(),
            2..=5 => self.partition(),
            6 => self.elect(),
            7 => self.restart_proxy(proxy),
            8 | 9 => {
                let until = self.now + self.rng.u64(0..4_000 * MS);
                self.proxies[proxy].paused_until = until;
            }
            10 | 11 => self.instances[instance].alive = false,
            12..=14 => self.start_instance(instance),
            15 | 16 => self.isolate_primary(proxy),
            _ => self.toggle_drain(instance),
        }
    }

    /// Cuts all links between a random set of proxies, instances and the current leader, and the rest of them.
    fn partition(&mut self) {
        let endpoints =
            (0..PROXIES).map(Endpoint::Proxy).chain((0..INSTANCES).map(Endpoint::Instance));
        let mut endpoints: Vec<Endpoint> = endpoints.collect();
        endpoints.push(Endpoint::Leader(self.leaders.len() - 1));
        let side: Vec<Endpoint> =
            endpoints.iter().copied().filter(|_| self.rng.u8(0..3) == 0).collect();
        for near in &side {
            for far in endpoints.iter().filter(|endpoint| !side.contains(endpoint)) {
                self.cut_links.insert((*near, *far));
            }
        }
    }

    /// Cuts the links of the primary to control and to all proxies but `proxy`, and the link of `proxy` to control.
    /// Sometimes elects a new leader at the same time.
    fn isolate_primary(&mut self, proxy: usize) {
        let leader = Endpoint::Leader(self.leaders.len() - 1);
        let state = &self.leaders[self.leaders.len() - 1].control.state;
        let Some(primary) = state.epochs.get(&group()).map(|epoch| instance_number(&epoch.primary))
        else {
            return;
        };
        if self.rng.bool() {
            self.elect();
        }
        let next = Endpoint::Leader(self.leaders.len() - 1);
        for (near, far) in [
            (leader, Endpoint::Instance(primary)),
            (next, Endpoint::Instance(primary)),
            (next, Endpoint::Proxy(proxy)),
        ] {
            self.cut_links.insert((near, far));
        }
        for other in (0..PROXIES).filter(|other| *other != proxy) {
            self.cut_links.insert((Endpoint::Proxy(other), Endpoint::Instance(primary)));
        }
    }

    fn elect(&mut self) {
        self.counts.elections += 1;
        let clock = random_clock(&mut self.rng);
        let last = &self.leaders[self.leaders.len() - 1].control;
        let (state, term) = (last.state.clone(), last.stamp.term.0 + 1);
        let control = Control::elected_with_durability(
            local_time(clock, self.now),
            state,
            term,
            self.durability,
        );
        self.leaders.push(LeaderProcess { control, clock });
        let leader = self.leaders.len() - 1;
        self.schedule(0, Event::TickDue(leader));
        self.schedule(0, Event::ProbesDue(leader));
    }

    fn restart_proxy(&mut self, proxy: usize) {
        self.counts.restarts += 1;
        self.proxies[proxy] = self.start_proxy(proxy);
    }

    /// Starts an instance if it is down. Sometimes its supervisor starts a former primary as a replica.
    fn start_instance(&mut self, instance: usize) {
        let as_replica = self.rng.u8(0..3) == 0;
        let instance = &mut self.instances[instance];
        if !instance.alive && as_replica {
            instance.role = Role::Replica;
            instance.demoted = false;
        }
        instance.alive = true;
    }

    /// Starts to drain an instance, or stops draining it. At least one instance is not drained.
    fn toggle_drain(&mut self, instance: usize) {
        let instance = name(&instance_name(instance));
        let leader = self.leaders.len() - 1;
        let draining = &mut self.leaders[leader].control.state.draining;
        if !draining.remove(&instance) && draining.len() < INSTANCES - 1 {
            draining.insert(instance);
        }
    }

    /// Restores all links, ends all drains and starts all instances.
    fn heal(&mut self) {
        self.cut_links.clear();
        let leader = self.leaders.len() - 1;
        self.leaders[leader].control.state.draining.clear();
        for instance in 0..INSTANCES {
            self.start_instance(instance);
        }
    }
}

fn instance_name(instance: usize) -> String {
    format!("i{instance}")
}

fn instance_number(instance: &id::Instance) -> usize {
    instance.as_str()[1..].parse().expect("instance name ends with its number")
}

/// Returns a clock that runs up to 4.5 percent fast or slow, so that over one lease two clocks drift apart by slightly
/// less than the clock margin.
fn random_clock(rng: &mut Rng) -> LocalClock {
    LocalClock { offset: rng.u64(0..1_000_000_000), rate_per_mille: rng.u64(955..=1_045) }
}

fn local_time(clock: LocalClock, now: u64) -> Instant {
    Instant(clock.offset) + Duration::from_micros(now * clock.rate_per_mille / 1_000)
}
