//! Admission control for one instance: decides which request runs next, which ones wait and which are refused.
//!
//! The limiter is a state machine without I/O. It runs as many requests at the instance as its window allows, orders
//! the waiting requests by class, fair share and deadline, and refuses a request on arrival when it can't meet its
//! deadline. The window adapts to the measured service time, since the limiter doesn't know how many other proxies
//! use the same slots. A standing queue is kept short by controlled delay (Maurer, "Fail at Scale", ACM Queue 13(8),
//! 2015): a burst may wait, but once the queue has not been empty for a while, requests that have waited long are
//! refused. See `docs/DESIGN.md`, "Admission".

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

/// The maximum number of requests in the queue of one limiter.
pub const MAX_WAITING: usize = 1_024;

/// One in this many starts goes to the request with the earliest deadline, whatever its class, to prevent starvation.
const FAIR_START: u64 = 8;

/// A new sample has a weight of one in this many in the mean service time.
const SMOOTHING: u32 = 8;

/// The window shrinks when the mean service time exceeds the best one by this factor.
const CONGESTED: u32 = 3;

/// A queue that has not been empty for longer than this is a standing queue: more requests arrive than can be served.
const STANDING: Duration = Duration::from_millis(50);

/// How long a request may wait in a standing queue, in addition to the mean service time.
const PATIENCE: Duration = Duration::from_millis(10);

/// How many requests the window allows beyond the number of slots, to keep the slots busy between two requests.
const MARGIN: u32 = 1;

/// Identifies a request within one limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The properties of an arriving request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The priority of its class; lower goes first.
    pub priority: u8,
    /// The time by which the request must be answered.
    pub deadline: Instant,
    /// The customer that sends the request.
    pub customer: id::Customer,
    /// The number of the caller connection that the request arrives on.
    pub caller: u64,
}

/// An event that the limiter reacts to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A request arrives.
    Arrive(Ticket, Arrival),
    /// A running request has ended. The duration is the service time of one statement, or `None` when the time
    /// doesn't measure a single statement.
    Done(Option<Duration>),
    /// A running request keeps its connection for its transaction, but occupies no slot while the transaction is idle.
    Hold,
    /// A transaction that kept its connection has ended.
    Free,
    /// A waiting request was abandoned.
    Gone(Ticket),
    /// The limits of the instance have changed.
    Limit {
        /// The number of slots of the instance.
        slots: u32,
        /// The proxy's share of the connections to the instance.
        connections: u32,
    },
}

/// A decision of the limiter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// The request runs now.
    Start(Ticket),
    /// The request is refused; the duration is the estimated time until there is room for it.
    Refuse(Ticket, Duration),
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    arrival: Arrival,
    since: Instant,
}

/// The concurrency limiter and queue of one instance.
#[derive(Debug)]
pub struct Gate {
    connections: u32,
    slots: u32,
    window: f64,
    running: u32,
    held: u32,
    waiting: Vec<Waiting>,
    /// When the queue was last empty.
    emptied: Instant,
    /// How many requests of each customer were started since the queue was last empty.
    customers: BTreeMap<id::Customer, u64>,
    /// How many requests of each caller were started since the queue was last empty.
    callers: BTreeMap<u64, u64>,
    started: u64,
    mean: Duration,
    best: Duration,
    shrunk: Instant,
}

impl Gate {
    /// Creates a limiter that runs one request at a time until its limits are set.
    pub fn new() -> Self {
        Self {
            connections: 1,
            slots: 1,
            window: 1.0,
            running: 0,
            held: 0,
            waiting: Vec::new(),
            emptied: Instant::default(),
            customers: BTreeMap::new(),
            callers: BTreeMap::new(),
            started: 0,
            mean: Duration::ZERO,
            best: Duration::ZERO,
            shrunk: Instant::default(),
        }
    }

    /// Returns how many connections are in use.
    pub fn used(&self) -> u32 {
        self.running + self.held
    }

    /// Returns the number of running requests, waiting requests and open transactions.
    pub fn busy(&self) -> u32 {
        self.used() + self.waiting.len() as u32
    }

    /// Returns how many requests may run at once.
    pub fn window(&self) -> u32 {
        (self.window as u32).clamp(1, self.connections.max(1))
    }

    /// Processes an event and returns the decisions that follow from it.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.waiting.is_empty() {
            self.emptied = now;
        }
        match input {
            Input::Arrive(ticket, arrival) => self.arrive(now, ticket, arrival, &mut outputs),
            Input::Done(took) => {
                self.running = self.running.saturating_sub(1);
                if let Some(took) = took {
                    self.learn(now, took);
                }
            }
            Input::Hold => {
                self.running = self.running.saturating_sub(1);
                self.held += 1;
            }
            Input::Free => self.held = self.held.saturating_sub(1),
            Input::Gone(ticket) => self.waiting.retain(|waiting| waiting.ticket != ticket),
            Input::Limit { slots, connections } => self.limit(slots, connections),
        }
        self.shed(now, &mut outputs);
        self.start(now, &mut outputs);
        outputs
    }

    fn limit(&mut self, slots: u32, connections: u32) {
        if self.slots != slots {
            self.window = f64::from(slots + MARGIN);
        }
        self.slots = slots;
        self.connections = connections;
    }

    fn arrive(
        &mut self,
        now: Instant,
        ticket: Ticket,
        arrival: Arrival,
        outputs: &mut Vec<Output>,
    ) {
        let ahead = |waiting: &&Waiting| waiting.arrival.priority <= arrival.priority;
        let ahead = self.waiting.iter().filter(ahead).count();
        let wait = self.wait(ahead);
        let late = now + wait + self.mean > arrival.deadline;
        if late || (self.stands(now) && wait > self.patience()) {
            outputs.push(Output::Refuse(ticket, wait));
            return;
        }
        self.waiting.push(Waiting { ticket, arrival, since: now });
        if self.waiting.len() > MAX_WAITING {
            outputs.extend(self.evict());
        }
    }

    /// Returns whether the queue is a standing queue, that is, whether more requests arrive than can be served.
    fn stands(&self, now: Instant) -> bool {
        now.since(self.emptied) > STANDING
    }

    /// Returns how long a request may wait in a standing queue.
    fn patience(&self) -> Duration {
        self.mean + PATIENCE
    }

    /// Refuses the requests that have waited too long in a standing queue.
    fn shed(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if !self.stands(now) {
            return;
        }
        let patience = self.patience();
        let wait = self.wait(self.waiting.len());
        self.waiting.retain(|waiting| {
            let patient = now.since(waiting.since) <= patience;
            if !patient {
                outputs.push(Output::Refuse(waiting.ticket, wait));
            }
            patient
        });
    }

    /// Refuses the request that would run last.
    fn evict(&mut self) -> Option<Output> {
        let waiting = self.waiting.iter().enumerate();
        let key = |waiting: &Waiting| (waiting.arrival.priority, waiting.arrival.deadline);
        let (last, _) = waiting.max_by_key(|(_, waiting)| (key(waiting), waiting.ticket))?;
        let wait = self.wait(self.waiting.len());
        Some(Output::Refuse(self.waiting.swap_remove(last).ticket, wait))
    }

    /// Estimates how long a request waits with `ahead` other requests before it.
    fn wait(&self, ahead: usize) -> Duration {
        let free = self.window().saturating_sub(self.running) as usize;
        if ahead < free {
            return Duration::ZERO;
        }
        let turns = (ahead - free) as u32 / self.window() + 1;
        self.mean * turns
    }

    fn start(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        while self.running < self.window() && self.used() < self.connections.max(1) {
            let Some(at) = self.next() else {
                return;
            };
            let Waiting { ticket, arrival, .. } = self.waiting.swap_remove(at);
            if now + self.mean > arrival.deadline {
                outputs.push(Output::Refuse(ticket, self.wait(self.waiting.len())));
                continue;
            }
            self.running += 1;
            self.started += 1;
            self.count(arrival);
            outputs.push(Output::Start(ticket));
        }
    }

    /// Counts a start for the fair share, as long as other requests are waiting.
    fn count(&mut self, arrival: Arrival) {
        if self.waiting.is_empty() {
            self.customers.clear();
            self.callers.clear();
            return;
        }
        *self.customers.entry(arrival.customer).or_default() += 1;
        *self.callers.entry(arrival.caller).or_default() += 1;
    }

    /// Returns the index of the request that runs next.
    fn next(&self) -> Option<usize> {
        let waiting = self.waiting.iter().enumerate();
        if self.started % FAIR_START == FAIR_START - 1 {
            let earliest = waiting.min_by_key(|(_, w)| (w.arrival.deadline, w.ticket));
            return earliest.map(|(at, _)| at);
        }
        let key = |waiting: &Waiting| {
            let arrival = &waiting.arrival;
            let customer = self.customers.get(&arrival.customer).copied().unwrap_or(0);
            let caller = self.callers.get(&arrival.caller).copied().unwrap_or(0);
            (arrival.priority, customer, caller, arrival.deadline, waiting.ticket)
        };
        waiting.min_by_key(|(_, w)| key(w)).map(|(at, _)| at)
    }

    /// Adapts the window to a new service time. The window grows by one per full window of requests with a good service
    /// time, and shrinks by a tenth, at most once per mean service time, when the instance seems to queue requests.
    fn learn(&mut self, now: Instant, took: Duration) {
        if self.mean.is_zero() {
            self.mean = took;
            self.best = took;
        }
        self.mean = (self.mean * (SMOOTHING - 1) + took) / SMOOTHING;
        // The best time rises slowly, so that a lasting change of the service time becomes the new baseline.
        self.best = took.min(self.best + self.best / 1_024);
        if self.mean > self.best * CONGESTED {
            if now.since(self.shrunk) > self.mean {
                self.window = (self.window * 0.9).max(1.0);
                self.shrunk = now;
            }
        } else {
            let most = f64::from((self.slots + MARGIN).min(self.connections.max(1)));
            self.window = (self.window + 1.0 / self.window).min(most);
        }
    }
}

impl Default for Gate {
    fn default() -> Self {
        Self::new()
    }
}
