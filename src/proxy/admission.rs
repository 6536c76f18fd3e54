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
const STARTS_PER_DEADLINE_TURN: u64 = 8;

/// The weight of a new sample in the mean service time is one part in this many.
const MEAN_WEIGHT_DIVISOR: u32 = 8;

/// The window shrinks when the mean service time exceeds the best one by this factor.
const CONGESTION_FACTOR: u32 = 3;

/// A queue that has not been empty for longer than this is a standing queue: more requests arrive than can be served.
const STANDING_QUEUE_AFTER: Duration = Duration::from_millis(50);

/// How long a request may wait in a standing queue, in addition to the mean service time.
const STANDING_QUEUE_WAIT: Duration = Duration::from_millis(10);

/// How many requests the window allows beyond the number of slots, to keep the slots busy between two requests.
const WINDOW_MARGIN: u32 = 1;

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
    /// The account that sends the request.
    pub account: id::Account,
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
    Finish(Option<Duration>),
    /// A running request keeps its connection for its transaction, but occupies no slot while the transaction is idle.
    Hold,
    /// A transaction that kept its connection has ended.
    Release,
    /// A waiting request was abandoned.
    Cancel(Ticket),
    /// The limits of the instance have changed.
    SetLimits {
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
struct Request {
    ticket: Ticket,
    arrival: Arrival,
    arrived: Instant,
}

/// The concurrency limiter and queue of one instance.
#[derive(Debug)]
pub struct Limiter {
    connections: u32,
    slots: u32,
    window: f64,
    running: u32,
    held: u32,
    queue: Vec<Request>,
    /// When the queue was last empty.
    last_empty: Instant,
    /// How many requests of each account were started since the queue was last empty.
    starts_by_account: BTreeMap<id::Account, u64>,
    /// How many requests of each caller were started since the queue was last empty.
    starts_by_caller: BTreeMap<u64, u64>,
    starts: u64,
    mean_service_time: Duration,
    best_service_time: Duration,
    last_shrink: Instant,
}

impl Limiter {
    /// Creates a limiter that runs one request at a time until its limits are set.
    pub fn new() -> Self {
        Self {
            connections: 1,
            slots: 1,
            window: 1.0,
            running: 0,
            held: 0,
            queue: Vec::new(),
            last_empty: Instant::default(),
            starts_by_account: BTreeMap::new(),
            starts_by_caller: BTreeMap::new(),
            starts: 0,
            mean_service_time: Duration::ZERO,
            best_service_time: Duration::ZERO,
            last_shrink: Instant::default(),
        }
    }

    /// Returns how many connections are in use.
    pub fn connections_in_use(&self) -> u32 {
        self.running + self.held
    }

    /// Returns the number of running requests, waiting requests and open transactions.
    pub fn load(&self) -> u32 {
        self.connections_in_use() + self.queue.len() as u32
    }

    /// Returns how many requests may run at once.
    pub fn window(&self) -> u32 {
        (self.window as u32).clamp(1, self.connections.max(1))
    }

    /// Processes an event and returns the decisions that follow from it.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.queue.is_empty() {
            self.last_empty = now;
        }
        match input {
            Input::Arrive(ticket, arrival) => self.arrive(now, ticket, arrival, &mut outputs),
            Input::Finish(service_time) => {
                self.running = self.running.saturating_sub(1);
                if let Some(service_time) = service_time {
                    self.adapt_window(now, service_time);
                }
            }
            Input::Hold => {
                self.running = self.running.saturating_sub(1);
                self.held += 1;
            }
            Input::Release => self.held = self.held.saturating_sub(1),
            Input::Cancel(ticket) => self.queue.retain(|request| request.ticket != ticket),
            Input::SetLimits { slots, connections } => self.set_limits(slots, connections),
        }
        self.shed(now, &mut outputs);
        self.start(now, &mut outputs);
        outputs
    }

    fn set_limits(&mut self, slots: u32, connections: u32) {
        if self.slots != slots {
            self.window = f64::from(slots + WINDOW_MARGIN);
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
        let goes_first = |request: &&Request| request.arrival.priority <= arrival.priority;
        let ahead = self.queue.iter().filter(goes_first).count();
        let wait = self.estimate_wait(ahead);
        let too_late = now + wait + self.mean_service_time > arrival.deadline;
        if too_late || (self.has_standing_queue(now) && wait > self.max_standing_wait()) {
            outputs.push(Output::Refuse(ticket, wait));
            return;
        }
        self.queue.push(Request { ticket, arrival, arrived: now });
        if self.queue.len() > MAX_WAITING {
            outputs.extend(self.evict());
        }
    }

    /// Returns whether the queue is a standing queue, that is, whether more requests arrive than can be served.
    fn has_standing_queue(&self, now: Instant) -> bool {
        now.since(self.last_empty) > STANDING_QUEUE_AFTER
    }

    /// Returns how long a request may wait in a standing queue.
    fn max_standing_wait(&self) -> Duration {
        self.mean_service_time + STANDING_QUEUE_WAIT
    }

    /// Refuses the requests that have waited too long in a standing queue.
    fn shed(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if !self.has_standing_queue(now) {
            return;
        }
        let max_wait = self.max_standing_wait();
        let wait = self.estimate_wait(self.queue.len());
        self.queue.retain(|request| {
            let keep = now.since(request.arrived) <= max_wait;
            if !keep {
                outputs.push(Output::Refuse(request.ticket, wait));
            }
            keep
        });
    }

    /// Refuses the request that would run last.
    fn evict(&mut self) -> Option<Output> {
        let requests = self.queue.iter().enumerate();
        let key = |request: &Request| (request.arrival.priority, request.arrival.deadline);
        let (last, _) = requests.max_by_key(|(_, request)| (key(request), request.ticket))?;
        let wait = self.estimate_wait(self.queue.len());
        Some(Output::Refuse(self.queue.swap_remove(last).ticket, wait))
    }

    /// Estimates how long a request waits with `ahead` other requests before it.
    fn estimate_wait(&self, ahead: usize) -> Duration {
        let free = self.window().saturating_sub(self.running) as usize;
        if ahead < free {
            return Duration::ZERO;
        }
        let rounds = (ahead - free) as u32 / self.window() + 1;
        self.mean_service_time * rounds
    }

    fn start(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        while self.running < self.window() && self.connections_in_use() < self.connections.max(1) {
            let Some(index) = self.next_index() else {
                return;
            };
            let Request { ticket, arrival, .. } = self.queue.swap_remove(index);
            if now + self.mean_service_time > arrival.deadline {
                outputs.push(Output::Refuse(ticket, self.estimate_wait(self.queue.len())));
                continue;
            }
            self.running += 1;
            self.starts += 1;
            self.count_start(arrival);
            outputs.push(Output::Start(ticket));
        }
    }

    /// Counts a start for the fair share, as long as other requests are waiting.
    fn count_start(&mut self, arrival: Arrival) {
        if self.queue.is_empty() {
            self.starts_by_account.clear();
            self.starts_by_caller.clear();
            return;
        }
        *self.starts_by_account.entry(arrival.account).or_default() += 1;
        *self.starts_by_caller.entry(arrival.caller).or_default() += 1;
    }

    /// Returns the index of the request that runs next.
    fn next_index(&self) -> Option<usize> {
        let requests = self.queue.iter().enumerate();
        if self.starts % STARTS_PER_DEADLINE_TURN == STARTS_PER_DEADLINE_TURN - 1 {
            let earliest =
                requests.min_by_key(|(_, request)| (request.arrival.deadline, request.ticket));
            return earliest.map(|(index, _)| index);
        }
        let key = |request: &Request| {
            let arrival = &request.arrival;
            let account = self.starts_by_account.get(&arrival.account).copied().unwrap_or(0);
            let caller = self.starts_by_caller.get(&arrival.caller).copied().unwrap_or(0);
            (arrival.priority, account, caller, arrival.deadline, request.ticket)
        };
        requests.min_by_key(|(_, request)| key(request)).map(|(index, _)| index)
    }

    /// Adapts the window to a new service time. The window grows by one per full window of requests with a good service
    /// time, and shrinks by a tenth, at most once per mean service time, when the instance seems to queue requests.
    fn adapt_window(&mut self, now: Instant, service_time: Duration) {
        if self.mean_service_time.is_zero() {
            self.mean_service_time = service_time;
            self.best_service_time = service_time;
        }
        self.mean_service_time = (self.mean_service_time * (MEAN_WEIGHT_DIVISOR - 1)
            + service_time)
            / MEAN_WEIGHT_DIVISOR;
        // The best time rises slowly, so that a lasting change of the service time becomes the new baseline.
        self.best_service_time =
            service_time.min(self.best_service_time + self.best_service_time / 1_024);
        if self.mean_service_time > self.best_service_time * CONGESTION_FACTOR {
            if now.since(self.last_shrink) > self.mean_service_time {
                self.window = (self.window * 0.9).max(1.0);
                self.last_shrink = now;
            }
        } else {
            let max_window = f64::from((self.slots + WINDOW_MARGIN).min(self.connections.max(1)));
            self.window = (self.window + 1.0 / self.window).min(max_window);
        }
    }
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}
