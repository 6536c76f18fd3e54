//! Which instance of a group runs a statement next, who waits, and who is refused at once.
//!
//! A plain machine over permits: each instance has as many as this proxy may hold connections to it. It answers the
//! rush at a bell: all callers at once, with reads that any caught-up replica can serve and writes that only the
//! primary can. One queue before all instances keeps each permit busy for whoever may use it, in the order of
//! priority; what would wait longer than its patience is refused on arrival, with the time after which there is room.
//! While there is no primary, writes wait, and reads go past them to the replicas.
//!
//! It also answers replicas that fall behind, so that the primary alone is left for all reads: then the instance's own
//! queue would make every answer late, and nobody would know. How many statements run on an instance follows the time
//! that they take there (`Seat::learn`), so that the wait is here, where it can be foreseen.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::need::Need;
use crate::clock::Instant;
use crate::id;
use crate::proxy::floor::Mark;

/// The most statements that wait in one group; more are refused.
pub const MAX_WAITING: usize = 512;

/// How much of a new sample the mean time takes, as one part of this many.
const MEAN_WEIGHT_DIVISOR: u32 = 8;

/// An instance queues when statements take this many times, in tenths, what they take when it does not.
const QUEUEING_THRESHOLD_TENTHS: u32 = 25;

/// How fast the time without a queue is taken to rise, as one part of this many with each statement: slowly, so that a
/// lasting change becomes the new measure and a rush doesn't.
const BASELINE_RISE_DIVISOR: u32 = 512;

/// The mean time of an instance that nothing ran on yet.
const INITIAL_MEAN: Duration = Duration::from_millis(15);

/// How long after the primary stood at a mark a replica is taken to have received it: a few times the lag that
/// replicas usually have. One that has not says so, and is then asked only for what it is known to have.
pub const TYPICAL_LAG: Duration = Duration::from_millis(50);

/// How long a replica that lacked a mark is asked only for what it is known to have.
pub const LAGGING_PERIOD: Duration = Duration::from_millis(300);

/// How long an instance that was full is left alone.
pub const FULL_DELAY: Duration = Duration::from_millis(10);

/// How long an instance that refused a new connection is not asked for one, and from then on until one more is tried for.
/// An instance takes up to three seconds to drop connections whose other end is gone.
pub const CONNECTION_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a promotion usually takes from the freeze on: the fence, the readings, and the instance's own time.
pub const TYPICAL_PROMOTION: Duration = Duration::from_millis(600);

/// How much longer a promotion may take that has taken its usual time.
const PROMOTION_OVERRUN: Duration = Duration::from_millis(200);

/// How long a proxy is without a lease when control changes its leader and the lease did not outlast that.
pub const TYPICAL_ELECTION: Duration = Duration::from_millis(500);

/// How long it takes until there is a primary when nothing is known of a promotion.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(2_000);

/// Every so many starts go to the statement that has waited longest, so that no priority starves.
const FAIR_START_INTERVAL: u64 = 8;

/// How many times the load of a replica the primary's counts for a read that both can serve.
const PRIMARY_COST_FACTOR: u32 = 3;

/// Numbers the statements of one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A statement that asks for an instance.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its number.
    pub ticket: Ticket,
    /// What it needs.
    pub need: Need,
    /// The priority of its class; lower goes first.
    pub priority: u8,
    /// How long it may wait for room.
    pub max_wait: Duration,
    /// How long it may wait for a primary that is being promoted.
    pub max_promotion_wait: Duration,
    /// The instances that failed it already.
    pub excluded: SmallVec<[id::Instance; 2]>,
}

/// What an ask comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It runs on this instance now.
    Start(id::Instance),
    /// It waits.
    Wait,
    /// It is refused; there is room after this time.
    Refuse(Duration),
}

/// Who leads a group, as far as this proxy may rely on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Primary {
    /// This instance.
    Available(id::Instance),
    /// Another one is being promoted.
    Promoting,
    /// Nobody that this proxy knows of: it has no lease, or the group has no primary yet.
    Unknown,
}

/// How busy a group is, as far as this proxy goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// How many statements wait.
    pub waiting: usize,
    /// How many connections are in use.
    pub used: u32,
    /// How many there may be.
    pub permits: u32,
}

/// What is known of an instance.
#[derive(Debug)]
struct Candidate {
    permits: u32,
    /// How many connections are in use.
    used: u32,
    /// On how many of them a statement runs; the others rest in a transaction.
    running: u32,
    /// How many statements may run.
    window: f64,
    usable: bool,
    position: Option<Mark>,
    lagging_until: Option<Instant>,
    full_until: Option<Instant>,
    /// When a new connection was refused last, and how many there were then.
    refused_connection: Option<(Instant, u32)>,
    mean_duration: Duration,
    /// What the mean is while the instance does not queue.
    baseline: Duration,
    remote: bool,
}

impl Candidate {
    fn has_capacity(&self, now: Instant) -> bool {
        self.used < self.allowed_connections(now) && self.running < (self.window as u32).max(1)
    }

    /// Returns how many connections there may be now.
    fn allowed_connections(&self, now: Instant) -> u32 {
        let Some((at, established)) = self.refused_connection else {
            return self.permits;
        };
        let extra = now.since(at).as_millis() / CONNECTION_RETRY_DELAY.as_millis();
        self.permits.min(established.saturating_add(extra as u32))
    }

    /// Takes in how long a statement took. The window falls by a tenth while the instance seems to queue, and grows
    /// by one over a window of good ones otherwise.
    fn record_duration(&mut self, duration: Duration) {
        self.mean_duration =
            (self.mean_duration * (MEAN_WEIGHT_DIVISOR - 1) + duration) / MEAN_WEIGHT_DIVISOR;
        self.baseline =
            self.mean_duration.min(self.baseline + self.baseline / BASELINE_RISE_DIVISOR);
        if self.mean_duration * 10 > self.baseline * QUEUEING_THRESHOLD_TENTHS {
            self.window = (self.window * 0.9).max(1.0);
        } else {
            self.window = (self.window + 1.0 / self.window).min(f64::from(self.permits.max(1)));
        }
    }
}

#[derive(Debug)]
struct Waiter {
    request: Request,
    queued: Instant,
}

/// The instances of one group and who waits for them.
#[derive(Debug, Default)]
pub struct Dispatcher {
    candidates: BTreeMap<id::Instance, Candidate>,
    /// The primary, as long as it may be used.
    primary: Option<id::Instance>,
    /// Since when there has been none, and whether one is being promoted.
    missing_since: Option<(Instant, bool)>,
    waiting: Vec<Waiter>,
    started: u64,
}

impl Dispatcher {
    /// Adds an instance, or sets whether it may be used and how many connections to it may be held.
    pub fn set_instance(
        &mut self,
        instance: &id::Instance,
        permits: u32,
        usable: bool,
        remote: bool,
    ) {
        let candidate = self.candidates.entry(instance.clone()).or_insert_with(|| Candidate {
            permits,
            used: 0,
            running: 0,
            window: f64::from(permits.max(1)),
            usable,
            position: None,
            lagging_until: None,
            full_until: None,
            refused_connection: None,
            mean_duration: INITIAL_MEAN,
            baseline: INITIAL_MEAN,
            remote,
        });
        candidate.permits = permits;
        candidate.usable = usable;
        candidate.remote = remote;
    }

    /// Forgets the instances that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&id::Instance) -> bool) {
        self.candidates.retain(|instance, _| keep(instance));
    }

    /// Sets the primary, or none while it may not be used.
    pub fn set_primary(&mut self, now: Instant, primary: Primary) {
        let unchanged = |since: Option<(Instant, bool)>, promoting| {
            since.filter(|(_, known)| *known == promoting).or(Some((now, promoting)))
        };
        self.missing_since = match &primary {
            Primary::Available(_) => None,
            Primary::Promoting => unchanged(self.missing_since, true),
            Primary::Unknown => unchanged(self.missing_since, false),
        };
        self.primary = match primary {
            Primary::Available(primary) => Some(primary),
            Primary::Promoting | Primary::Unknown => None,
        };
    }

    /// Returns the primary that may be used.
    pub fn primary(&self) -> Option<&id::Instance> {
        self.primary.as_ref()
    }

    /// Returns why there is no primary that may be used, when there is none.
    pub fn missing_primary(&self) -> Option<Primary> {
        let (_, promoting) = self.missing_since?;
        Some(if promoting { Primary::Promoting } else { Primary::Unknown })
    }

    /// Notes where an instance stands.
    pub fn set_position(&mut self, instance: &id::Instance, position: Mark) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.position = Some(position);
        }
    }

    /// Notes that an instance lacked a mark.
    pub fn note_lagging(&mut self, now: Instant, instance: &id::Instance) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.lagging_until = Some(now + LAGGING_PERIOD);
        }
    }

    /// Notes that an instance had no room.
    pub fn note_full(&mut self, now: Instant, instance: &id::Instance) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.full_until = Some(now + FULL_DELAY);
        }
    }

    /// Notes that an instance refused a new connection, for which a permit is still held.
    pub fn note_refused_connection(&mut self, now: Instant, instance: &id::Instance) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            let established =
                candidate.used.saturating_sub(1).min(candidate.allowed_connections(now));
            candidate.refused_connection = Some((now, established));
        }
    }

    /// Returns how busy the group is.
    pub fn load(&self) -> Load {
        Load {
            waiting: self.waiting.len(),
            used: self.candidates.values().map(|candidate| candidate.used).sum(),
            permits: self.candidates.values().map(|candidate| candidate.permits).sum(),
        }
    }

    /// Tells whether an instance refused a new connection so lately that not all permits may be used yet.
    pub fn is_connection_limited(&self, now: Instant, instance: &id::Instance) -> bool {
        self.candidates
            .get(instance)
            .is_some_and(|candidate| candidate.allowed_connections(now) < candidate.permits)
    }

    /// Returns how many connections to one instance are in use, at the most.
    pub fn max_used(&self) -> u32 {
        self.candidates.values().map(|candidate| candidate.used).max().unwrap_or(0)
    }

    /// Returns how many connections to one instance are in use or wanted, at the most.
    pub fn max_wanted(&self) -> u32 {
        let used = self.max_used();
        let needs_primary = |waiter: &&Waiter| waiter.request.need == Need::Primary;
        let for_primary = self.waiting.iter().filter(needs_primary).count();
        let others = (self.waiting.len() - for_primary) / self.candidates.len().max(1);
        used + for_primary.max(others) as u32
    }

    /// Takes a permit of an instance when one is free, for the system's own use.
    pub fn try_acquire(&mut self, now: Instant, instance: &id::Instance) -> bool {
        match self.candidates.get_mut(instance) {
            Some(candidate) if candidate.used < candidate.allowed_connections(now) => {
                candidate.used += 1;
                candidate.running += 1;
                true
            }
            _ => false,
        }
    }

    /// Places a statement, has it wait, or refuses it.
    pub fn submit(&mut self, now: Instant, request: Request) -> Decision {
        if let Some(instance) = self.place(now, &request)
            && !self.is_preceded(now, &request)
        {
            self.start(&instance);
            return Decision::Start(instance);
        }
        let wait = self.estimate_wait(now, &request);
        if wait > self.max_wait(&request) || self.waiting.len() >= MAX_WAITING {
            return Decision::Refuse(wait);
        }
        self.waiting.push(Waiter { request, queued: now });
        Decision::Wait
    }

    /// Returns how long a statement may wait for what it waits for now.
    pub fn max_wait(&self, request: &Request) -> Duration {
        match self.missing_since {
            Some(_) if request.need == Need::Primary => request.max_promotion_wait,
            _ => request.max_wait,
        }
    }

    /// Gives a statement up that waits, and returns when there will be room for it.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) -> Duration {
        let found = self.waiting.iter().position(|waiter| waiter.request.ticket == ticket);
        let Some(at) = found else {
            return Duration::ZERO;
        };
        let Waiter { request, .. } = self.waiting.swap_remove(at);
        self.estimate_wait(now, &request)
    }

    /// Takes a permit back; `took` is how long a statement ran, unless that says nothing.
    pub fn release(&mut self, instance: &id::Instance, duration: Option<Duration>) {
        self.suspend(instance, duration);
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.used = candidate.used.saturating_sub(1);
        }
    }

    /// Notes that a transaction rests between two statements: it keeps its connection and takes no slot.
    pub fn suspend(&mut self, instance: &id::Instance, duration: Option<Duration>) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.running = candidate.running.saturating_sub(1);
            duration.into_iter().for_each(|duration| candidate.record_duration(duration));
        }
    }

    /// Notes that a transaction goes on; it doesn't wait, since others wait for what it holds.
    pub fn resume(&mut self, instance: &id::Instance) {
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.running += 1;
        }
    }

    /// Starts what can run now, and returns who runs where.
    pub fn advance(&mut self, now: Instant) -> SmallVec<[(Ticket, id::Instance); 2]> {
        let mut started = SmallVec::new();
        while let Some((at, instance)) = self.next_start(now) {
            let waiter = self.waiting.swap_remove(at);
            self.start(&instance);
            started.push((waiter.request.ticket, instance));
        }
        started
    }

    fn start(&mut self, instance: &id::Instance) {
        self.started += 1;
        if let Some(candidate) = self.candidates.get_mut(instance) {
            candidate.used += 1;
            candidate.running += 1;
        }
    }

    /// Returns who goes next, and where.
    fn next_start(&self, now: Instant) -> Option<(usize, id::Instance)> {
        let fair = self.started % FAIR_START_INTERVAL == FAIR_START_INTERVAL - 1;
        let mut order: SmallVec<[usize; 16]> = (0..self.waiting.len()).collect();
        order.sort_by_key(|at| {
            let waiter = &self.waiting[*at];
            let priority = if fair { 0 } else { waiter.request.priority };
            (priority, waiter.queued, waiter.request.ticket)
        });
        order.into_iter().find_map(|at| {
            let instance = self.place(now, &self.waiting[at].request)?;
            Some((at, instance))
        })
    }

    /// Returns the instance with a free permit that runs a statement soonest.
    fn place(&self, now: Instant, request: &Request) -> Option<id::Instance> {
        let free = |(instance, candidate): &(&id::Instance, &Candidate)| {
            candidate.has_capacity(now)
                && !request.excluded.contains(instance)
                && self.can_serve(now, instance, candidate, request.need)
        };
        let cost = |(instance, candidate): &(&id::Instance, &Candidate)| {
            let load = candidate.mean_duration * (candidate.running + 1)
                + Duration::from_millis(u64::from(candidate.remote));
            let is_primary = self.primary.as_ref() == Some(*instance);
            if is_primary { load * PRIMARY_COST_FACTOR } else { load }
        };
        let best = self.candidates.iter().filter(free).min_by_key(cost);
        best.map(|(instance, _)| instance.clone())
    }

    /// Tells whether an instance can run a statement with this need.
    fn can_serve(
        &self,
        now: Instant,
        instance: &id::Instance,
        candidate: &Candidate,
        need: Need,
    ) -> bool {
        if !candidate.usable || candidate.full_until.is_some_and(|until| now < until) {
            return false;
        }
        let is_primary = self.primary.as_ref() == Some(instance);
        match need {
            Need::Primary => is_primary,
            Need::AtLeast { .. } if is_primary => true,
            Need::AtLeast { mark, since } => {
                let has_mark = candidate.position.is_some_and(|position| position >= mark);
                let lagging = candidate.lagging_until.is_some_and(|until| now < until);
                has_mark || (!lagging && now.since(since) >= TYPICAL_LAG)
            }
        }
    }

    /// Tells whether somebody waits that has precedence over a statement and could run now. Who waits for a primary that is
    /// absent doesn't hold up reads that replicas can serve.
    fn is_preceded(&self, now: Instant, request: &Request) -> bool {
        let mut before = self.waiting.iter().filter(|w| w.request.priority <= request.priority);
        before.any(|waiter| self.place(now, &waiter.request).is_some())
    }

    /// Counts who waits for the same instances and has precedence.
    fn count_ahead(&self, request: &Request) -> usize {
        let for_primary = request.need == Need::Primary;
        let same = |waiter: &&Waiter| {
            waiter.request.priority <= request.priority
                && (waiter.request.need == Need::Primary) == for_primary
        };
        self.waiting.iter().filter(same).count()
    }

    /// Estimates how long a statement waits.
    fn estimate_wait(&self, now: Instant, request: &Request) -> Duration {
        let ahead = self.count_ahead(request);
        if request.need == Need::Primary && self.primary.is_none() {
            return match self.missing_since {
                Some((since, true)) => {
                    TYPICAL_PROMOTION.saturating_sub(now.since(since)).max(PROMOTION_OVERRUN)
                }
                Some((since, false)) if now.since(since) < TYPICAL_ELECTION => {
                    TYPICAL_ELECTION.saturating_sub(now.since(since))
                }
                _ => DEFAULT_RETRY_AFTER,
            };
        }
        let eligible = |(instance, candidate): &(&id::Instance, &Candidate)| match request.need {
            Need::Primary => self.primary.as_ref() == Some(*instance),
            Need::AtLeast { .. } => candidate.usable,
        };
        let (mut permits, mut mean, mut limited) = (0, INITIAL_MEAN, false);
        for (_, candidate) in self.candidates.iter().filter(eligible) {
            permits += candidate.allowed_connections(now).min((candidate.window as u32).max(1));
            mean = mean.max(candidate.mean_duration);
            limited |= candidate.refused_connection.is_some();
        }
        match permits {
            0 if limited => CONNECTION_RETRY_DELAY * (ahead as u32 + 1),
            0 => DEFAULT_RETRY_AFTER,
            _ => mean * (ahead as u32 / permits + 1),
        }
    }
}
