//! A model of a group under load: twelve proxies with a dispatcher each, and a primary with five slots that serves
//! statements in order of arrival. The replicas lag and serve nothing. Callers retry a refused operation twice.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::fmt;
use std::time::Duration;

use cactushatch::broker::dispatch::{Decision, Dispatcher, Primary, Request, Ticket};
use cactushatch::broker::need::Need;
use cactushatch::clock::Instant;
use cactushatch::id;
use cactushatch::schedule::{Level, Terms};
use smallvec::SmallVec;

const PROXIES: usize = 12;
const SLOTS: usize = 5;
const PERMITS: u32 = 5;
const LENGTH_MS: u64 = 16_000;
/// How long a transaction is idle between its two statements.
const PAUSE: Duration = Duration::from_millis(10);
/// When transactions that are idle for long begin, and for how long they are idle.
const IDLE_FROM: Duration = Duration::from_secs(5);
const IDLE: Duration = Duration::from_secs(6);
/// The part of the target that a statement may wait, as in `broker::run`.
const MAX_WAIT_PERCENT: u32 = 60;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    Priority,
    Objective,
}

#[derive(Debug, Clone, Copy)]
pub struct Class {
    name: &'static str,
    level: Level,
    per_second: f64,
    service_ms: f64,
    transactions: f64,
    deadline: Duration,
}

impl Class {
    pub fn new(
        name: &'static str,
        (priority, target_ms): (u8, u64),
        per_second: f64,
        service_ms: f64,
        transactions: f64,
        deadline_ms: u64,
    ) -> Self {
        let level = Level { priority, target: Duration::from_millis(target_ms) };
        let deadline = Duration::from_millis(deadline_ms);
        Self { name, level, per_second, service_ms, transactions, deadline }
    }
}

/// A time in which a class or an account, or all, send more.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    class: Option<usize>,
    account: Option<usize>,
    factor: f64,
    from_ms: u64,
    lasts_ms: u64,
}

impl Burst {
    pub fn class(class: usize, factor: f64, from_ms: u64, lasts_ms: u64) -> Self {
        Self { class: Some(class), account: None, factor, from_ms, lasts_ms }
    }

    pub fn account(account: usize, factor: f64, from_ms: u64, lasts_ms: u64) -> Self {
        Self { class: None, account: Some(account), factor, from_ms, lasts_ms }
    }

    pub fn all(factor: f64, from_ms: u64, lasts_ms: u64) -> Self {
        Self { class: None, account: None, factor, from_ms, lasts_ms }
    }

    fn covers(&self, ms: u64) -> bool {
        (self.from_ms..self.from_ms + self.lasts_ms).contains(&ms)
    }
}

#[derive(Debug, Clone, Copy)]
pub struct Load<'a> {
    pub classes: &'a [Class],
    pub bursts: &'a [Burst],
    /// How many transactions of the last class begin at 5 s and are then idle for 6 s.
    pub idle: usize,
    /// When half of the proxies are lost, in milliseconds.
    pub loss_ms: Option<u64>,
    /// The number of accounts, or 0. Their size falls with rank to the power 1.2.
    pub accounts: usize,
    pub seed: u64,
}

#[derive(Debug, Default, Clone)]
struct Count {
    sent: usize,
    in_time: usize,
    late: usize,
    longest_wait: Duration,
    last_served: u64,
    longest_gap: u64,
}

#[derive(Debug)]
pub struct Report {
    names: Vec<&'static str>,
    classes: Vec<Count>,
    /// By class and account: operations sent and served in time, during bursts.
    accounts: BTreeMap<(usize, usize), (u32, u32)>,
    refusals: usize,
}

impl Report {
    /// Returns the share of a class that was answered within its target, from the caller's first attempt.
    pub fn in_time(&self, class: usize) -> f64 {
        self.classes[class].in_time as f64 / self.classes[class].sent.max(1) as f64
    }

    pub fn longest_gap(&self, class: usize) -> Duration {
        Duration::from_micros(self.classes[class].longest_gap)
    }

    /// Returns Jain's fairness index over the shares in time of the accounts that sent at least ten operations.
    pub fn jain(&self, class: usize) -> f64 {
        let counts =
            self.accounts.iter().filter(|((of, _), (sent, _))| *of == class && *sent >= 10);
        let shares: Vec<f64> =
            counts.map(|(_, (sent, in_time))| f64::from(*in_time) / f64::from(*sent)).collect();
        let (sum, squares): (f64, f64) =
            (shares.iter().sum(), shares.iter().map(|share| share * share).sum());
        sum * sum / (shares.len() as f64 * squares).max(f64::EPSILON)
    }

    /// Returns the share of a class in time during bursts, without one account.
    pub fn in_time_of_others(&self, class: usize, but: usize) -> f64 {
        let counts = self.accounts.iter();
        let others = counts.filter(|((of, account), _)| *of == class && *account != but);
        let (sent, in_time) = others.fold((0, 0), |sum, (_, n)| (sum.0 + n.0, sum.1 + n.1));
        f64::from(in_time) / f64::from(sent.max(1))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, count) in self.classes.iter().enumerate() {
            let late = 100.0 * count.late as f64 / count.sent.max(1) as f64;
            writeln!(
                f,
                "  {:8} sent {:5}  in time {:6.2} %  late {late:5.2} %  longest wait {:4} ms  longest time without service {:4} ms  Jain {:.3}",
                self.names[at],
                count.sent,
                100.0 * self.in_time(at),
                count.longest_wait.as_millis(),
                count.longest_gap / 1_000,
                self.jain(at),
            )?;
        }
        write!(f, "  refusals {}", self.refusals)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Attempt(usize),
    TimedOut {
        operation: usize,
        ticket: u64,
    },
    Answered(usize),
    Continue(usize),
    /// Half of the proxies are lost.
    Lost,
}

struct Operation {
    class: usize,
    account: usize,
    arrived: Instant,
    submitted: Instant,
    sent: Instant,
    attempts: u32,
    statements_left: u32,
    service: Duration,
    proxy: usize,
    ticket: u64,
    waiting: bool,
    pause: Duration,
}

struct Model<'a> {
    load: &'a Load<'a>,
    proxies: Vec<Dispatcher>,
    /// The number of proxies that are not lost.
    alive: usize,
    operations: Vec<Operation>,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    /// The statements in the instance, and those of them that wait for a slot.
    busy: usize,
    queue: VecDeque<usize>,
    tickets: u64,
    random: fastrand::Rng,
    report: Report,
}

fn primary() -> id::Instance {
    "p".parse().expect("a name")
}

/// Runs the load under an order of the proxies.
pub fn run(load: &Load<'_>, order: Order) -> Report {
    let mut proxies = Vec::new();
    for _ in 0..PROXIES {
        let mut dispatcher = Dispatcher::default();
        dispatcher.set_instance(&primary(), PERMITS, true, false);
        dispatcher.set_primary(Instant(0), Primary::Available(primary()));
        if order == Order::Objective {
            let classes: Vec<_> =
                load.classes.iter().map(|class| (class.level, Terms::default())).collect();
            dispatcher.set_classes(Instant(0), Some(&classes));
        }
        proxies.push(dispatcher);
    }
    let report = Report {
        names: load.classes.iter().map(|class| class.name).collect(),
        classes: vec![Count::default(); load.classes.len()],
        accounts: BTreeMap::new(),
        refusals: 0,
    };
    let mut model = Model {
        load,
        proxies,
        alive: PROXIES,
        operations: Vec::new(),
        events: BinaryHeap::new(),
        busy: 0,
        queue: VecDeque::new(),
        tickets: 0,
        random: fastrand::Rng::with_seed(load.seed),
        report,
    };
    model.generate();
    while let Some(Reverse((now, _, event))) = model.events.pop() {
        model.handle(now, event);
    }
    model.report
}

impl Model<'_> {
    fn schedule(&mut self, at: Instant, event: Event) {
        let number = self.events.len() + self.tickets as usize;
        self.events.push(Reverse((at, number, event)));
    }

    /// Draws the operations, as a Poisson process per class thinned from the highest rate.
    fn generate(&mut self) {
        let sizes: Vec<f64> =
            (1..=self.load.accounts.max(1)).map(|rank| (rank as f64).powf(-1.2)).collect();
        let total: f64 = sizes.iter().sum();
        for (class, declared) in self.load.classes.iter().enumerate() {
            for (account, size) in sizes.iter().enumerate() {
                let applies = |burst: &&Burst| {
                    burst.class.is_none_or(|of| of == class)
                        && burst.account.is_none_or(|of| of == account)
                };
                let bursts: Vec<&Burst> = self.load.bursts.iter().filter(applies).collect();
                let peak: f64 = bursts.iter().map(|burst| burst.factor).product();
                let rate = declared.per_second * size / total * peak;
                let mut at = 0.0;
                loop {
                    at += -self.random.f64().max(1e-12).ln() / rate * 1_000.0;
                    if at >= LENGTH_MS as f64 {
                        break;
                    }
                    let active = bursts.iter().filter(|burst| burst.covers(at as u64));
                    let factor: f64 = active.map(|burst| burst.factor).product();
                    if self.random.f64() < factor / peak {
                        self.add(class, account, Instant((at * 1_000.0) as u64));
                    }
                }
            }
        }
        for _ in 0..self.load.idle {
            let (operation, class) = (self.operations.len(), self.load.classes.len() - 1);
            self.add(class, 0, Instant(IDLE_FROM.as_micros() as u64));
            self.operations[operation].statements_left = 2;
            self.operations[operation].pause = IDLE;
        }
        if let Some(loss_ms) = self.load.loss_ms {
            self.schedule(Instant(loss_ms * 1_000), Event::Lost);
        }
    }

    fn add(&mut self, class: usize, account: usize, arrived: Instant) {
        let declared = &self.load.classes[class];
        let is_transaction = self.random.f64() < declared.transactions;
        let statements_left = if is_transaction { 2 } else { 1 };
        let ms = declared.service_ms * (0.5 + self.random.f64()) / f64::from(statements_left);
        let service = Duration::from_secs_f64(ms / 1_000.0);
        let operation = self.operations.len();
        self.operations.push(Operation {
            class,
            account,
            arrived,
            submitted: arrived,
            sent: arrived,
            attempts: 0,
            statements_left,
            service,
            proxy: 0,
            ticket: 0,
            waiting: false,
            pause: PAUSE,
        });
        self.report.classes[class].sent += 1;
        if self.load.bursts.iter().any(|burst| burst.covers(arrived.0 / 1_000)) {
            self.report.accounts.entry((class, account)).or_default().0 += 1;
        }
        self.schedule(arrived, Event::Attempt(operation));
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Attempt(operation) => self.submit(now, operation),
            Event::TimedOut { operation, ticket } => {
                let known = &self.operations[operation];
                if known.waiting && known.ticket == ticket {
                    let proxy = known.proxy;
                    let after = self.proxies[proxy].cancel(now, Ticket(ticket));
                    self.record_wait(now, operation);
                    self.refuse(now, operation, after);
                }
            }
            Event::Answered(operation) => self.answer(now, operation),
            Event::Lost => self.lose_proxies(now),
            Event::Continue(operation) => {
                let known = &self.operations[operation];
                let (proxy, ticket) = (known.proxy, known.ticket);
                self.proxies[proxy].resume_ticket(Ticket(ticket), &primary());
                self.send(now, operation);
            }
        }
    }

    fn submit(&mut self, now: Instant, operation: usize) {
        self.tickets += 1;
        let ticket = self.tickets;
        let proxy = self.random.usize(..self.alive);
        let known = &mut self.operations[operation];
        let class = &self.load.classes[known.class];
        known.attempts += 1;
        (known.proxy, known.ticket, known.submitted) = (proxy, ticket, now);
        let max_wait = class.level.target * MAX_WAIT_PERCENT / 100;
        let account = known.account;
        let account =
            (self.load.accounts > 0).then(|| format!("a{account}").parse().expect("a valid name"));
        let request = Request {
            ticket: Ticket(ticket),
            need: Need::Primary,
            priority: class.level.priority,
            max_wait,
            max_promotion_wait: max_wait,
            excluded: SmallVec::new(),
            account,
            target: class.level.target,
            warm: SmallVec::new(),
        };
        match self.proxies[proxy].submit(now, request) {
            Decision::Start(_) => self.send(now, operation),
            Decision::Wait => {
                self.operations[operation].waiting = true;
                self.schedule(now + max_wait, Event::TimedOut { operation, ticket });
            }
            Decision::Refuse(after) => self.refuse(now, operation, after),
        }
    }

    /// Loses half of the proxies. The others get their connections, and the callers of their waiting statements are told
    /// within a round trip.
    fn lose_proxies(&mut self, now: Instant) {
        self.alive = PROXIES / 2;
        for proxy in &mut self.proxies[..PROXIES / 2] {
            proxy.set_instance(&primary(), 2 * PERMITS, true, false);
        }
        for operation in 0..self.operations.len() {
            let known = &self.operations[operation];
            if known.waiting && known.proxy >= self.alive {
                self.refuse(now, operation, Duration::from_millis(4));
            }
        }
    }

    fn refuse(&mut self, now: Instant, operation: usize, after: Duration) {
        self.report.refusals += 1;
        let known = &mut self.operations[operation];
        known.waiting = false;
        let class = &self.load.classes[known.class];
        if known.attempts < 3 && (now + after).since(known.arrived) < class.deadline {
            self.schedule(now + after, Event::Attempt(operation));
        }
    }

    fn send(&mut self, now: Instant, operation: usize) {
        self.operations[operation].sent = now;
        if self.busy < SLOTS {
            self.run(now, operation);
        } else {
            self.queue.push_back(operation);
        }
    }

    fn run(&mut self, now: Instant, operation: usize) {
        self.busy += 1;
        let end = now + self.operations[operation].service;
        self.schedule(end, Event::Answered(operation));
    }

    fn record_wait(&mut self, now: Instant, operation: usize) {
        let known = &self.operations[operation];
        let count = &mut self.report.classes[known.class];
        count.longest_wait = count.longest_wait.max(now.since(known.submitted));
    }

    fn answer(&mut self, now: Instant, operation: usize) {
        self.busy -= 1;
        if let Some(next) = self.queue.pop_front() {
            self.run(now, next);
        }
        let known = &mut self.operations[operation];
        known.statements_left -= 1;
        let (proxy, ticket) = (known.proxy, Ticket(known.ticket));
        let duration = Some(now.since(known.sent));
        if known.statements_left > 0 {
            self.proxies[proxy].suspend_ticket(now, ticket, &primary(), duration);
            let pause = known.pause;
            self.schedule(now + pause, Event::Continue(operation));
        } else {
            self.proxies[proxy].release_ticket(now, ticket, &primary(), duration);
            self.count(now, operation);
        }
        if proxy >= self.alive {
            return;
        }
        for (ticket, _) in self.proxies[proxy].advance(now) {
            let started = self.operations.iter().rposition(|other| other.ticket == ticket.0);
            let started = started.expect("a started statement is known");
            self.operations[started].waiting = false;
            self.record_wait(now, started);
            self.send(now, started);
        }
    }

    fn count(&mut self, now: Instant, operation: usize) {
        let known = &self.operations[operation];
        let class = &self.load.classes[known.class];
        let count = &mut self.report.classes[known.class];
        count.longest_gap = count.longest_gap.max(now.0 - count.last_served);
        count.last_served = now.0;
        if now.since(known.arrived) > class.level.target {
            count.late += 1;
            return;
        }
        count.in_time += 1;
        if self.load.bursts.iter().any(|burst| burst.covers(known.arrived.0 / 1_000)) {
            self.report.accounts.entry((known.class, known.account)).or_default().1 += 1;
        }
    }
}
