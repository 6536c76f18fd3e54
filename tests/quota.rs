//! Tests the quotas of accounts over a fleet under the paused clock: the leader's ledger and the proxies' tokens, joined
//! by a network that delays, loses, repeats and reorders messages.

mod machine;

use std::collections::BTreeMap;
use std::time::Duration;

use cactushatch::broker::dispatch::Ticket;
use cactushatch::broker::quota::{Decision, MAX_WAIT, Token, Tokens};
use cactushatch::clock::{Clock, Instant};
use cactushatch::config::{Fleet, QuotaBound};
use cactushatch::control::leader::Leader;
use cactushatch::control::state::{Action, State};
use cactushatch::id;
use cactushatch::wire::{Grant, Heartbeat, Stamp};
use fastrand::Rng;
use machine::{Control, name};
use proptest::prelude::*;

const BOUND: QuotaBound = QuotaBound { window: Duration::from_secs(5), excess: 0.1, slack: 20 };
const STEP: Duration = Duration::from_millis(5);
const HEARTBEAT: Duration = Duration::from_millis(150);

/// How an account is declared and used.
#[derive(Debug, Clone, Copy)]
struct Use {
    rate: f64,
    burst: u32,
    sessions: usize,
    load: f64,
}

#[derive(Debug, Default, Clone)]
struct Count {
    asked: u32,
    refused: u32,
    waited: u32,
    /// When the operations that ran took their tokens.
    ran: Vec<Instant>,
}

struct Proxy {
    member: machine::Proxy,
    tokens: Tokens,
    next_heartbeat: Instant,
    is_cut: bool,
    frozen_until: Instant,
    waiting: BTreeMap<Ticket, (usize, Instant)>,
    running: Vec<(Instant, usize, Token, Instant)>,
}

enum Message {
    Heartbeat(usize, Box<Heartbeat>),
    Grant(usize, Box<Grant>),
}

struct Simulation {
    clock: Clock,
    random: Rng,
    loss: f64,
    delay_ms: u64,
    control: Control,
    /// The former leader, until it notices that it isn't confirmed.
    deposed: Option<Control>,
    proxies: Vec<Proxy>,
    uses: Vec<Use>,
    sessions: Vec<Vec<usize>>,
    next_operation: Vec<Instant>,
    counts: Vec<Count>,
    network: BTreeMap<(Instant, u64), Message>,
    sent: u64,
}

fn account(number: usize) -> id::Account {
    name(&format!("a{number:03}"))
}

fn declare(uses: &[Use]) -> Fleet {
    let account = |(number, used): (usize, &Use)| {
        let (rate, burst) = (used.rate, used.burst);
        format!("[account.a{number:03}]\nkeys = []\nrate = \"{rate:.3}/s\"\nburst = {burst}\n")
    };
    let accounts: String = uses.iter().enumerate().map(account).collect();
    Fleet::parse("fleet", &accounts).expect("valid declarations")
}

fn elect(now: Instant, state: State, fleet: Fleet, term: u64) -> Control {
    let leader = Leader::new(now, &state, &fleet).with_quota_bound(BOUND, &state, &fleet);
    let stamp = Stamp { term: id::Term(term), index: id::Index(1) };
    Control { state, fleet, leader, stamp }
}

impl Simulation {
    fn new(seed: u64, proxies: usize, uses: Vec<Use>) -> Self {
        let clock = Clock::paused();
        clock.advance(Duration::from_secs(1_000));
        let now = clock.now();
        let mut random = Rng::with_seed(seed);
        let mut control = elect(now, State::default(), declare(&uses), 1);
        control.state.revision = id::Revision(1);
        let place = |used: &Use| (0..used.sessions).map(|_| random.usize(..proxies)).collect();
        let sessions: Vec<Vec<usize>> = uses.iter().map(place).collect();
        let mut simulation = Self {
            random,
            loss: 0.001,
            delay_ms: 5,
            control,
            deposed: None,
            proxies: Vec::new(),
            sessions,
            next_operation: vec![now; uses.len()],
            counts: vec![Count::default(); uses.len()],
            uses,
            network: BTreeMap::new(),
            sent: 0,
            clock,
        };
        for at in 0..proxies {
            let proxy = simulation.start_proxy(at, 1);
            simulation.proxies.push(proxy);
        }
        simulation
    }

    fn start_proxy(&mut self, at: usize, incarnation: u64) -> Proxy {
        let now = self.clock.now();
        let member = machine::Proxy::new(&format!("p{at:02}"), incarnation);
        self.control.register(now, &member.holder);
        let mut tokens = Tokens::default();
        for (number, sessions) in self.sessions.iter().enumerate() {
            let here = sessions.iter().filter(|proxy| **proxy == at);
            here.for_each(|_| tokens.open_session(&account(number)));
        }
        let next_heartbeat = now + Duration::from_millis(self.random.u64(..150));
        let (waiting, running) = (BTreeMap::new(), Vec::new());
        let frozen_until = now;
        Proxy { member, tokens, next_heartbeat, is_cut: false, frozen_until, waiting, running }
    }

    fn restart_proxy(&mut self, at: usize) {
        let incarnation = self.proxies[at].member.holder.1.0 + 1;
        self.proxies[at] = self.start_proxy(at, incarnation);
    }

    fn change_leader(&mut self) {
        let (state, fleet) = (self.control.state.clone(), self.control.fleet.clone());
        let successor = elect(self.clock.now(), state, fleet, self.control.stamp.term.0 + 1);
        self.deposed = Some(std::mem::replace(&mut self.control, successor));
    }

    fn send(&mut self, proxy: usize, message: impl Fn() -> Message) {
        let copies = 1 + usize::from(self.random.f64() < self.loss);
        for _ in 0..copies {
            if self.proxies[proxy].is_cut || self.random.f64() < self.loss {
                continue;
            }
            let delay = Duration::from_micros(self.random.u64(500..=self.delay_ms * 1_000));
            self.sent += 1;
            self.network.insert((self.clock.now() + delay, self.sent), message());
        }
    }

    fn send_heartbeat(&mut self, at: usize) {
        let now = self.clock.now();
        let proxy = &mut self.proxies[at];
        proxy.next_heartbeat = now + HEARTBEAT;
        let mut heartbeat = proxy.member.send_heartbeat(now);
        heartbeat.quota = proxy.tokens.reports(now, heartbeat.sequence);
        self.send(at, || Message::Heartbeat(at, Box::new(heartbeat.clone())));
    }

    fn deliver(&mut self) {
        let now = self.clock.now();
        let later = self.network.split_off(&(now, u64::MAX));
        for (_, message) in std::mem::replace(&mut self.network, later) {
            match message {
                Message::Heartbeat(at, heartbeat) => {
                    let holder = self.proxies[at].member.holder.clone();
                    let mut grants =
                        Vec::from_iter(self.control.handle_heartbeat(now, &holder, &heartbeat));
                    if let Some(deposed) = &mut self.deposed {
                        let state = (&deposed.state, deposed.stamp);
                        let leader = &mut deposed.leader;
                        grants.extend(leader.handle_heartbeat(now, holder, &heartbeat, state));
                    }
                    for grant in grants {
                        self.send(at, || Message::Grant(at, Box::new(grant.clone())));
                    }
                }
                Message::Grant(at, grant) if now < self.proxies[at].frozen_until => {
                    let until = self.proxies[at].frozen_until;
                    self.sent += 1;
                    self.network.insert((until, self.sent), Message::Grant(at, grant));
                }
                Message::Grant(at, grant) => self.apply(at, *grant),
            }
        }
    }

    fn apply(&mut self, at: usize, mut grant: Grant) {
        let now = self.clock.now();
        let proxy = &mut self.proxies[at];
        if grant.incarnation != proxy.member.holder.1 {
            return;
        }
        let sent = |sequence| proxy.member.fence.sent_at(sequence).map(|at| (sequence, at));
        let heartbeat = grant.sequence.and_then(sent);
        let allowances = std::mem::take(&mut grant.quota);
        let granted = proxy.tokens.apply(now, grant.stamp.term, heartbeat, allowances);
        proxy.member.fence.step(grant);
        let is_urgent = granted.is_urgent && proxy.tokens.may_request(now);
        granted.decisions.into_iter().for_each(|decided| self.decide(at, decided));
        if is_urgent {
            self.send_heartbeat(at);
        }
    }

    fn decide(&mut self, at: usize, (ticket, decision): (Ticket, Decision)) {
        let Some((number, _)) = self.proxies[at].waiting.remove(&ticket) else {
            return;
        };
        match decision {
            Decision::Run(token) => self.run(at, number, token),
            Decision::Refuse(_) => self.counts[number].refused += 1,
            Decision::Wait => {}
        }
    }

    fn run(&mut self, at: usize, number: usize, token: Token) {
        let now = self.clock.now();
        let end = now + Duration::from_millis(self.random.u64(5..60));
        self.proxies[at].running.push((end, number, token, now));
    }

    fn start(&mut self, at: usize, number: usize) {
        let now = self.clock.now();
        self.sent += 1;
        let ticket = Ticket(self.sent);
        self.counts[number].asked += 1;
        match self.proxies[at].tokens.start(now, &account(number), ticket) {
            Decision::Run(token) => self.run(at, number, token),
            Decision::Refuse(_) => self.counts[number].refused += 1,
            Decision::Wait => {
                self.counts[number].waited += 1;
                self.proxies[at].waiting.insert(ticket, (number, now));
            }
        }
    }

    fn step(&mut self) {
        self.clock.advance(STEP);
        let now = self.clock.now();
        self.deliver();
        if self.sent.is_multiple_of(4) {
            self.control.tick(now);
        }
        for number in 0..self.uses.len() {
            while self.next_operation[number] <= now {
                let gap = -(1.0 - self.random.f64()).ln() / self.uses[number].load;
                self.next_operation[number] =
                    self.next_operation[number] + Duration::from_secs_f64(gap);
                let session = self.random.usize(..self.sessions[number].len());
                let at = self.sessions[number][session];
                if now >= self.proxies[at].frozen_until {
                    self.start(at, number);
                }
            }
        }
        for at in 0..self.proxies.len() {
            if now >= self.proxies[at].frozen_until {
                self.step_proxy(at);
            }
        }
    }

    fn step_proxy(&mut self, at: usize) {
        let now = self.clock.now();
        let proxy = &mut self.proxies[at];
        let (ended, running): (Vec<_>, Vec<_>) =
            proxy.running.drain(..).partition(|(end, ..)| *end <= now);
        proxy.running = running;
        for (_, number, token, started) in ended {
            let may_have_run = self.random.u32(..50) > 0;
            if may_have_run {
                self.counts[number].ran.push(started);
            }
            let tokens = &mut self.proxies[at].tokens;
            let decisions = tokens.finish(&account(number), token, may_have_run);
            decisions.into_iter().for_each(|decided| self.decide(at, decided));
        }
        let proxy = &mut self.proxies[at];
        let counts = &mut self.counts;
        proxy.waiting.retain(|ticket, (number, since)| {
            let waits = now.since(*since) < MAX_WAIT;
            if !waits {
                counts[*number].refused += 1;
                proxy.tokens.cancel(&account(*number), *ticket);
            }
            waits
        });
        if now >= proxy.next_heartbeat || !proxy.waiting.is_empty() && proxy.tokens.may_request(now)
        {
            self.send_heartbeat(at);
        }
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.clock.now() + duration;
        while self.clock.now() < end {
            self.step();
        }
    }

    fn forget_counts(&mut self) {
        self.counts.iter_mut().for_each(|count| *count = Count::default());
    }

    /// Asserts that no sliding window has more operations than the bound allows. It covers windows of all lengths.
    fn assert_bound(&mut self) {
        for (used, count) in self.uses.iter().zip(&mut self.counts) {
            let burst = f64::from(used.burst);
            let capacity = burst + BOUND.excess * (5.0 * used.rate + burst) + 20.0;
            count.ran.sort();
            let (mut level, mut at) = (capacity, Instant(0));
            for ran in &count.ran {
                level = (level + used.rate * ran.since(at).as_secs_f64()).min(capacity) - 1.0;
                at = *ran;
                assert!(level > -0.001, "{used:?}: too many operations by {}", -level);
            }
        }
    }
}

/// Returns the accounts of user A: their loads fall by rank to the power 1.2.
fn user_a() -> Vec<Use> {
    let size = |rank: u32| f64::from(rank).powf(-1.2);
    let sum: f64 = (1..=82).map(size).sum();
    let used = |rank| {
        let load = 1_076.0 * size(rank) / sum;
        let rate = 1.6 * load;
        let sessions = (3_980.0 * size(rank) / sum).round() as usize;
        Use { rate, burst: rate.ceil() as u32, sessions, load }
    };
    (1..=82).map(used).collect()
}

fn percent(part: u32, whole: u32) -> f64 {
    100.0 * f64::from(part) / f64::from(whole)
}

/// Guards against refusals below the quota, for small accounts too, whose tokens are spread over many proxies.
#[test]
fn nothing_is_refused_at_the_usual_load() {
    let mut simulation = Simulation::new(1, 77, user_a());
    simulation.run_for(Duration::from_secs(30));
    simulation.forget_counts();
    let heartbeats = simulation.sent;
    simulation.run_for(Duration::from_secs(60));
    println!("messages and operations per second: {}", (simulation.sent - heartbeats) / 60);
    for ranks in [0..1, 1..5, 5..20, 20..50, 50..82] {
        let counts = &simulation.counts[ranks.clone()];
        let sum = |of: fn(&Count) -> u32| counts.iter().map(of).sum::<u32>();
        let (asked, refused, waited) = (sum(|c| c.asked), sum(|c| c.refused), sum(|c| c.waited));
        let (refusals, waits) = (percent(refused, asked), percent(waited, asked));
        println!("ranks {ranks:?}: {asked} asked, {refusals:.3} % refused, {waits:.2} % waited");
        assert!(refusals <= 0.1, "{refusals} % of {asked} refused for ranks {ranks:?}");
    }
    simulation.assert_bound();
}

/// Guards against an account above its quota that takes capacity of the others, or loses its own.
#[test]
fn an_account_at_eight_times_its_load_gets_its_rate_and_the_others_lose_nothing() {
    let mut simulation = Simulation::new(2, 77, user_a());
    simulation.run_for(Duration::from_secs(30));
    simulation.uses[2].load *= 8.0;
    simulation.run_for(Duration::from_secs(10));
    simulation.forget_counts();
    simulation.run_for(Duration::from_secs(20));
    let (ran, rate) = (simulation.counts[2].ran.len() as f64 / 20.0, simulation.uses[2].rate);
    println!("got {ran:.1}/s of {rate:.1}/s, refused {}", simulation.counts[2].refused);
    // One operation in fifty returns its token here.
    assert!(ran > 0.97 * rate);
    let others = simulation.counts.iter().enumerate().filter(|(number, _)| *number != 2);
    let (asked, refused) =
        others.fold((0, 0), |sum, (_, count)| (sum.0 + count.asked, sum.1 + count.refused));
    println!("others: {asked} asked, {refused} refused");
    assert!(percent(refused, asked) <= 0.1);
    simulation.assert_bound();
}

fn small(count: usize, load_factor: f64) -> Vec<Use> {
    let used = |number: usize| {
        let rate = [2.0, 20.0, 100.0][number % 3];
        Use { rate, burst: rate as u32, sessions: 12, load: rate * load_factor }
    };
    (0..count).map(used).collect()
}

/// Guards against tokens held idle by many proxies while the callers of another one are refused.
#[test]
fn idle_tokens_of_an_account_smaller_than_the_fleet_are_returned() {
    let tiny = Use { rate: 1.0, burst: 1, sessions: 77, load: 0.6 };
    let mut simulation = Simulation::new(3, 77, vec![tiny; 10]);
    simulation.run_for(Duration::from_secs(60));
    simulation.forget_counts();
    simulation.run_for(Duration::from_secs(240));
    let asked: u32 = simulation.counts.iter().map(|count| count.asked).sum();
    let refused: u32 = simulation.counts.iter().map(|count| count.refused).sum();
    println!("{asked} asked, {refused} refused");
    assert!(percent(refused, asked) <= 0.1, "{refused} of {asked} refused");
    simulation.assert_bound();
}

/// Guards against a frozen proxy that resumes with tokens which the leader has counted as spent.
#[test]
fn a_frozen_proxy_resumes_without_tokens() {
    let mut simulation = Simulation::new(4, 4, small(3, 0.5));
    simulation.run_for(Duration::from_secs(10));
    simulation.clock.advance(Duration::from_secs(3));
    let now = simulation.clock.now();
    let decision = simulation.proxies[0].tokens.start(now, &account(2), Ticket(0));
    assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}");
}

/// Guards against a full burst from a level that starts full after a restart of all processes.
#[test]
fn a_restart_of_all_processes_gives_no_full_burst() {
    let mut simulation = Simulation::new(5, 4, small(3, 4.0));
    simulation.run_for(Duration::from_secs(10));
    simulation.change_leader();
    simulation.deposed = None;
    (0..4).for_each(|at| simulation.restart_proxy(at));
    simulation.run_for(Duration::from_secs(10));
    simulation.assert_bound();
}

/// Guards against operations at the former rate after it was lowered, on a proxy that was out of contact too.
#[test]
fn a_lowered_rate_binds_a_proxy_that_was_out_of_contact() {
    let mut simulation = Simulation::new(6, 4, small(3, 4.0));
    simulation.run_for(Duration::from_secs(10));
    simulation.proxies[0].is_cut = true;
    let earlier = simulation.control.fleet.clone();
    simulation.uses.iter_mut().for_each(|used| (used.rate, used.burst) = (used.rate / 2.0, 1));
    simulation.control.fleet = declare(&simulation.uses);
    simulation.control.state.revision = id::Revision(2);
    simulation.control.commit(simulation.clock.now(), Action::Forget { node: name("none") });
    let fleet = simulation.control.fleet.clone();
    let in_contact = simulation.proxies.iter_mut().skip(1);
    in_contact.for_each(|proxy| proxy.tokens.configure(&earlier.account, &fleet.account));
    simulation.run_for(Duration::from_secs(4));
    simulation.forget_counts();
    simulation.proxies[0].is_cut = false;
    simulation.proxies[0].tokens.configure(&earlier.account, &fleet.account);
    simulation.run_for(Duration::from_secs(10));
    simulation.assert_bound();
    let ran = simulation.counts[2].ran.len();
    assert!(ran > 450, "{ran} operations in 10 s at 50/s");
}

/// Guards against a leader change that stops accounts below their quota.
#[test]
fn a_leader_change_refuses_little() {
    let mut simulation = Simulation::new(7, 77, user_a());
    simulation.run_for(Duration::from_secs(20));
    simulation.forget_counts();
    simulation.change_leader();
    simulation.run_for(Duration::from_secs(5));
    let asked: u32 = simulation.counts.iter().map(|count| count.asked).sum();
    let refused: u32 = simulation.counts.iter().map(|count| count.refused).sum();
    println!("leader change: {asked} asked, {refused} refused in 5 s");
    assert!(percent(refused, asked) <= 5.0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, ..ProptestConfig::default() })]

    /// Guards against more operations than the bound in any window, with accounts above their rates, while leaders
    /// change in succession, domains are partitioned, and proxies freeze and restart.
    #[test]
    fn no_window_exceeds_the_bound(
        seed: u64,
        loss in 0.0..0.3_f64,
        delay_ms in 1..200_u64,
        events in prop::collection::vec((0..12_u8, 0..6_usize, 100..2_500_u64), 10..25),
    ) {
        let mut simulation = Simulation::new(seed, 6, small(3, 3.0));
        (simulation.loss, simulation.delay_ms) = (loss, delay_ms);
        let mut elected_at = simulation.clock.now();
        for (event, at, pause_ms) in events {
            let now = simulation.clock.now();
            match event {
                0..=2 if now.since(elected_at) > Duration::from_millis(1_800) => {
                    elected_at = now;
                    simulation.change_leader();
                }
                3..=4 => (0..at).for_each(|at| simulation.proxies[at].is_cut ^= true),
                5 => simulation.proxies.iter_mut().for_each(|proxy| proxy.is_cut = false),
                6..=7 => {
                    let until = now + Duration::from_millis(2 * pause_ms);
                    simulation.proxies[at].frozen_until = until;
                }
                8 => simulation.restart_proxy(at),
                9 => simulation.uses.iter_mut().for_each(|used| used.load = 0.2 * used.rate),
                10 => simulation.uses.iter_mut().for_each(|used| used.load = 6.0 * used.rate),
                _ => {}
            }
            simulation.run_for(Duration::from_millis(pause_ms.min(300)));
            simulation.deposed = None;
            simulation.run_for(Duration::from_millis(pause_ms.saturating_sub(300)));
        }
        simulation.assert_bound();
    }
}
