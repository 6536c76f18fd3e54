//! A fleet under the paused clock: the leader's machine and the proxies' tokens, joined by a network that delays, loses,
//! repeats and reorders messages.

use std::collections::BTreeMap;
use std::time::Duration;

use cactushatch::broker::dispatch::Ticket;
use cactushatch::broker::quota::{Decision, MAX_WAIT, Token, Tokens};
use cactushatch::clock::{Clock, Instant};
use cactushatch::config::{Fleet, QuotaBound};
use cactushatch::control::leader::Leader;
use cactushatch::control::lease::Holder;
use cactushatch::control::state::State;
use cactushatch::id;
use cactushatch::wire::{Grant, Heartbeat, Stamp};
use fastrand::Rng;

use crate::machine::{self, Control, name};

pub const BOUND: QuotaBound = QuotaBound { window: Duration::from_secs(5), excess: 0.1, slack: 20 };
const STEP: Duration = Duration::from_millis(5);
const HEARTBEAT: Duration = Duration::from_millis(150);

/// How an account is declared and used.
#[derive(Debug, Clone, Copy)]
pub struct Use {
    pub rate: f64,
    pub burst: u32,
    pub sessions: usize,
    pub load: f64,
}

#[derive(Debug, Default, Clone)]
pub struct Count {
    pub asked: u32,
    pub refused: u32,
    pub waited: u32,
    /// When the operations that ran took their tokens.
    pub ran: Vec<Instant>,
}

pub struct Proxy {
    member: machine::Proxy,
    pub tokens: Tokens,
    next_heartbeat: Instant,
    pub is_cut: bool,
    pub frozen_until: Instant,
    waiting: BTreeMap<Ticket, (usize, Instant)>,
    running: Vec<(Instant, usize, Token, Instant)>,
}

enum Message {
    Heartbeat(usize, Holder, Box<Heartbeat>),
    Grant(usize, Box<Grant>),
}

pub struct Simulation {
    pub clock: Clock,
    random: Rng,
    pub loss: f64,
    pub delay_ms: u64,
    pub control: Control,
    /// The former leader, until it notices that it isn't confirmed.
    pub deposed: Option<Control>,
    pub proxies: Vec<Proxy>,
    pub uses: Vec<Use>,
    sessions: Vec<Vec<usize>>,
    next_operation: Vec<Instant>,
    pub counts: Vec<Count>,
    network: BTreeMap<(Instant, u64), Message>,
    sent: u64,
    /// The number of heartbeats sent, and of reports in them.
    pub heartbeats: u64,
    pub reports: u64,
    pub longest_wait: Duration,
    pub total_wait: Duration,
}

pub fn account(number: usize) -> id::Account {
    name(&format!("a{number:03}"))
}

pub fn declare(uses: &[Use]) -> Fleet {
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
    pub fn new(seed: u64, proxies: usize, uses: Vec<Use>) -> Self {
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
            heartbeats: 0,
            reports: 0,
            longest_wait: Duration::ZERO,
            total_wait: Duration::ZERO,
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

    pub fn restart_proxy(&mut self, at: usize) {
        let incarnation = self.proxies[at].member.holder.1.0 + 1;
        self.proxies[at] = self.start_proxy(at, incarnation);
    }

    pub fn change_leader(&mut self) {
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
        let holder = proxy.member.holder.clone();
        self.heartbeats += 1;
        self.reports += heartbeat.quota.len() as u64;
        self.send(at, || Message::Heartbeat(at, holder.clone(), Box::new(heartbeat.clone())));
    }

    fn deliver(&mut self) {
        let now = self.clock.now();
        let later = self.network.split_off(&(now, u64::MAX));
        for (_, message) in std::mem::replace(&mut self.network, later) {
            match message {
                Message::Heartbeat(at, holder, heartbeat) => {
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
        let Some((number, since)) = self.proxies[at].waiting.remove(&ticket) else {
            return;
        };
        let waited = self.clock.now().since(since);
        self.longest_wait = self.longest_wait.max(waited);
        self.total_wait += waited;
        match decision {
            Decision::Run(token) => self.run(at, number, token),
            Decision::Refuse(_) => self.refuse(at, number),
            Decision::Wait => {}
        }
    }

    /// Counts a refusal, except on a proxy out of contact.
    fn refuse(&mut self, at: usize, number: usize) {
        self.counts[number].refused += u32::from(!self.proxies[at].is_cut);
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
        self.counts[number].asked += u32::from(!self.proxies[at].is_cut);
        match self.proxies[at].tokens.start(now, &account(number), ticket) {
            Decision::Run(token) => self.run(at, number, token),
            Decision::Refuse(_) => self.refuse(at, number),
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
                counts[*number].refused += u32::from(!proxy.is_cut);
                proxy.tokens.cancel(&account(*number), *ticket);
            }
            waits
        });
        if now >= proxy.next_heartbeat || !proxy.waiting.is_empty() && proxy.tokens.may_request(now)
        {
            self.send_heartbeat(at);
        }
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.clock.now() + duration;
        while self.clock.now() < end {
            self.step();
        }
    }

    pub fn forget_counts(&mut self) {
        self.counts.iter_mut().for_each(|count| *count = Count::default());
    }

    /// Asserts that no sliding window has more operations than the bound allows. It covers windows of all lengths.
    pub fn assert_bound(&mut self) {
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

impl Simulation {
    /// Returns the numbers of operations that were asked for, refused, and waited for a token, of some accounts.
    pub fn total(&self, numbers: impl IntoIterator<Item = usize>) -> (u32, u32, u32) {
        numbers.into_iter().map(|number| &self.counts[number]).fold((0, 0, 0), |sum, count| {
            (sum.0 + count.asked, sum.1 + count.refused, sum.2 + count.waited)
        })
    }
}
