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
const SMOOTHING: u32 = 8;

/// An instance queues when statements take this many times, in tenths, what they take when it does not.
const QUEUEING: u32 = 25;

/// How fast the time without a queue is taken to rise, as one part of this many with each statement: slowly, so that a
/// lasting change becomes the new measure and a rush doesn't.
const BASELINE_RISE: u32 = 512;

/// The mean time of an instance that nothing ran on yet.
const FIRST_MEAN: Duration = Duration::from_millis(15);

/// How long after the primary stood at a mark a replica is taken to have received it: a few times the lag that
/// replicas usually have. One that has not says so, and is then asked only for what it is known to have.
pub const USUAL_LAG: Duration = Duration::from_millis(50);

/// How long a replica that lacked a mark is asked only for what it is known to have.
pub const LAGGING: Duration = Duration::from_millis(300);

/// How long an instance that was full is left alone.
pub const FULL: Duration = Duration::from_millis(10);

/// How long an instance that refused a new connection is not asked for one, and from then on until one more is tried for.
/// An instance takes up to three seconds to drop connections whose other end is gone.
pub const CROWDED: Duration = Duration::from_millis(100);

/// How long a promotion usually takes from the freeze on: the fence, the readings, and the instance's own time.
pub const USUAL_PROMOTION: Duration = Duration::from_millis(600);

/// How much longer a promotion may take that has taken its usual time.
const LATE_PROMOTION: Duration = Duration::from_millis(200);

/// How long a proxy is without a lease when control changes its leader and the lease did not outlast that.
pub const USUAL_ELECTION: Duration = Duration::from_millis(500);

/// How long it takes until there is a primary when nothing is known of a promotion.
pub const USUAL_ABSENCE: Duration = Duration::from_millis(2_000);

/// Every so many starts go to the statement that has waited longest, so that no priority starves.
const FAIR_START: u64 = 8;

/// How many times the load of a replica the primary's counts for a read that both can serve.
const PRIMARY_COST: u32 = 3;

/// Numbers the statements of one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A statement that asks for an instance.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Its number.
    pub ticket: Ticket,
    /// What it needs.
    pub need: Need,
    /// The priority of its class; lower goes first.
    pub priority: u8,
    /// How long it may wait for room.
    pub patience: Duration,
    /// How long it may wait for a primary that is being promoted.
    pub promotion_patience: Duration,
    /// The instances that failed it already.
    pub failed: SmallVec<[id::Instance; 2]>,
}

/// What an ask comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It runs on this instance now.
    Start(id::Instance),
    /// It waits.
    Wait,
    /// It is refused; there is room after this time.
    Refuse(Duration),
}

/// Who leads a group, as far as this proxy may rely on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lead {
    /// This instance.
    Primary(id::Instance),
    /// Another one is being promoted.
    Promoting,
    /// Nobody that this proxy knows of: it has no lease, or the group has no primary yet.
    Nobody,
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
struct Seat {
    permits: u32,
    /// How many connections are in use.
    used: u32,
    /// On how many of them a statement runs; the others rest in a transaction.
    running: u32,
    /// How many statements may run.
    window: f64,
    usable: bool,
    position: Option<Mark>,
    lagging: Option<Instant>,
    full: Option<Instant>,
    /// When a new connection was refused last, and how many there were then.
    crowded: Option<(Instant, u32)>,
    mean: Duration,
    /// What the mean is while the instance does not queue.
    baseline: Duration,
    far: bool,
}

impl Seat {
    fn has_room(&self, now: Instant) -> bool {
        self.used < self.connections(now) && self.running < (self.window as u32).max(1)
    }

    /// Returns how many connections there may be now.
    fn connections(&self, now: Instant) -> u32 {
        let Some((at, held)) = self.crowded else {
            return self.permits;
        };
        let tried = now.since(at).as_millis() / CROWDED.as_millis();
        self.permits.min(held.saturating_add(tried as u32))
    }

    /// Takes in how long a statement took. The window falls by a tenth while the instance seems to queue, and grows
    /// by one over a window of good ones otherwise.
    fn learn(&mut self, took: Duration) {
        self.mean = (self.mean * (SMOOTHING - 1) + took) / SMOOTHING;
        self.baseline = self.mean.min(self.baseline + self.baseline / BASELINE_RISE);
        if self.mean * 10 > self.baseline * QUEUEING {
            self.window = (self.window * 0.9).max(1.0);
        } else {
            self.window = (self.window + 1.0 / self.window).min(f64::from(self.permits.max(1)));
        }
    }
}

#[derive(Debug)]
struct Waiting {
    ask: Ask,
    since: Instant,
}

/// The instances of one group and who waits for them.
#[derive(Debug, Default)]
pub struct Dispatch {
    seats: BTreeMap<id::Instance, Seat>,
    /// The primary, as long as it may be used.
    primary: Option<id::Instance>,
    /// Since when there has been none, and whether one is being promoted.
    absent: Option<(Instant, bool)>,
    waiting: Vec<Waiting>,
    started: u64,
}

impl Dispatch {
    /// Adds an instance, or sets whether it may be used and how many connections to it may be held.
    pub fn seat(&mut self, instance: &id::Instance, permits: u32, usable: bool, far: bool) {
        let seat = self.seats.entry(instance.clone()).or_insert_with(|| Seat {
            permits,
            used: 0,
            running: 0,
            window: f64::from(permits.max(1)),
            usable,
            position: None,
            lagging: None,
            full: None,
            crowded: None,
            mean: FIRST_MEAN,
            baseline: FIRST_MEAN,
            far,
        });
        seat.permits = permits;
        seat.usable = usable;
        seat.far = far;
    }

    /// Forgets the instances that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&id::Instance) -> bool) {
        self.seats.retain(|instance, _| keep(instance));
    }

    /// Sets the primary, or none while it may not be used.
    pub fn lead(&mut self, now: Instant, lead: Lead) {
        let same = |since: Option<(Instant, bool)>, promoting| {
            since.filter(|(_, known)| *known == promoting).or(Some((now, promoting)))
        };
        self.absent = match &lead {
            Lead::Primary(_) => None,
            Lead::Promoting => same(self.absent, true),
            Lead::Nobody => same(self.absent, false),
        };
        self.primary = match lead {
            Lead::Primary(primary) => Some(primary),
            Lead::Promoting | Lead::Nobody => None,
        };
    }

    /// Returns the primary that may be used.
    pub fn primary(&self) -> Option<&id::Instance> {
        self.primary.as_ref()
    }

    /// Returns why there is no primary that may be used, when there is none.
    pub fn absent(&self) -> Option<Lead> {
        let (_, promoting) = self.absent?;
        Some(if promoting { Lead::Promoting } else { Lead::Nobody })
    }

    /// Notes where an instance stands.
    pub fn stands(&mut self, instance: &id::Instance, position: Mark) {
        if let Some(seat) = self.seats.get_mut(instance) {
            seat.position = Some(position);
        }
    }

    /// Notes that an instance lacked a mark.
    pub fn lagged(&mut self, now: Instant, instance: &id::Instance) {
        if let Some(seat) = self.seats.get_mut(instance) {
            seat.lagging = Some(now + LAGGING);
        }
    }

    /// Notes that an instance had no room.
    pub fn was_full(&mut self, now: Instant, instance: &id::Instance) {
        if let Some(seat) = self.seats.get_mut(instance) {
            seat.full = Some(now + FULL);
        }
    }

    /// Notes that an instance refused a new connection, for which a permit is still held.
    pub fn was_crowded(&mut self, now: Instant, instance: &id::Instance) {
        if let Some(seat) = self.seats.get_mut(instance) {
            let held = seat.used.saturating_sub(1).min(seat.connections(now));
            seat.crowded = Some((now, held));
        }
    }

    /// Returns how busy the group is.
    pub fn load(&self) -> Load {
        Load {
            waiting: self.waiting.len(),
            used: self.seats.values().map(|seat| seat.used).sum(),
            permits: self.seats.values().map(|seat| seat.permits).sum(),
        }
    }

    /// Tells whether an instance refused a new connection so lately that not all permits may be used yet.
    pub fn is_crowded(&self, now: Instant, instance: &id::Instance) -> bool {
        self.seats.get(instance).is_some_and(|seat| seat.connections(now) < seat.permits)
    }

    /// Returns how many connections to one instance are in use, at the most.
    pub fn used(&self) -> u32 {
        self.seats.values().map(|seat| seat.used).max().unwrap_or(0)
    }

    /// Returns how many connections to one instance are in use or wanted, at the most.
    pub fn wanted(&self) -> u32 {
        let used = self.used();
        let primary = |waiting: &&Waiting| waiting.ask.need == Need::Primary;
        let for_primary = self.waiting.iter().filter(primary).count();
        let others = (self.waiting.len() - for_primary) / self.seats.len().max(1);
        used + for_primary.max(others) as u32
    }

    /// Takes a permit of an instance when one is free, for the system's own use.
    pub fn take(&mut self, now: Instant, instance: &id::Instance) -> bool {
        match self.seats.get_mut(instance) {
            Some(seat) if seat.used < seat.connections(now) => {
                seat.used += 1;
                seat.running += 1;
                true
            }
            _ => false,
        }
    }

    /// Places a statement, has it wait, or refuses it.
    pub fn ask(&mut self, now: Instant, ask: Ask) -> Verdict {
        if let Some(instance) = self.place(now, &ask)
            && !self.overtakes(now, &ask)
        {
            self.start(&instance);
            return Verdict::Start(instance);
        }
        let wait = self.wait(now, &ask);
        if wait > self.patience(&ask) || self.waiting.len() >= MAX_WAITING {
            return Verdict::Refuse(wait);
        }
        self.waiting.push(Waiting { ask, since: now });
        Verdict::Wait
    }

    /// Returns how long a statement may wait for what it waits for now.
    pub fn patience(&self, ask: &Ask) -> Duration {
        match self.absent {
            Some(_) if ask.need == Need::Primary => ask.promotion_patience,
            _ => ask.patience,
        }
    }

    /// Gives a statement up that waits, and returns when there will be room for it.
    pub fn give_up(&mut self, now: Instant, ticket: Ticket) -> Duration {
        let found = self.waiting.iter().position(|waiting| waiting.ask.ticket == ticket);
        let Some(at) = found else {
            return Duration::ZERO;
        };
        let Waiting { ask, .. } = self.waiting.swap_remove(at);
        self.wait(now, &ask)
    }

    /// Takes a permit back; `took` is how long a statement ran, unless that says nothing.
    pub fn release(&mut self, instance: &id::Instance, took: Option<Duration>) {
        self.rest(instance, took);
        if let Some(seat) = self.seats.get_mut(instance) {
            seat.used = seat.used.saturating_sub(1);
        }
    }

    /// Notes that a transaction rests between two statements: it keeps its connection and takes no slot.
    pub fn rest(&mut self, instance: &id::Instance, took: Option<Duration>) {
        if let Some(seat) = self.seats.get_mut(instance) {
            seat.running = seat.running.saturating_sub(1);
            took.into_iter().for_each(|took| seat.learn(took));
        }
    }

    /// Notes that a transaction goes on; it doesn't wait, since others wait for what it holds.
    pub fn resume(&mut self, instance: &id::Instance) {
        if let Some(seat) = self.seats.get_mut(instance) {
            seat.running += 1;
        }
    }

    /// Starts what can run now, and returns who runs where.
    pub fn advance(&mut self, now: Instant) -> SmallVec<[(Ticket, id::Instance); 2]> {
        let mut started = SmallVec::new();
        while let Some((at, instance)) = self.next(now) {
            let waiting = self.waiting.swap_remove(at);
            self.start(&instance);
            started.push((waiting.ask.ticket, instance));
        }
        started
    }

    fn start(&mut self, instance: &id::Instance) {
        self.started += 1;
        if let Some(seat) = self.seats.get_mut(instance) {
            seat.used += 1;
            seat.running += 1;
        }
    }

    /// Returns who goes next, and where.
    fn next(&self, now: Instant) -> Option<(usize, id::Instance)> {
        let fair = self.started % FAIR_START == FAIR_START - 1;
        let mut order: SmallVec<[usize; 16]> = (0..self.waiting.len()).collect();
        order.sort_by_key(|at| {
            let waiting = &self.waiting[*at];
            let priority = if fair { 0 } else { waiting.ask.priority };
            (priority, waiting.since, waiting.ask.ticket)
        });
        order.into_iter().find_map(|at| {
            let instance = self.place(now, &self.waiting[at].ask)?;
            Some((at, instance))
        })
    }

    /// Returns the instance with a free permit that runs a statement soonest.
    fn place(&self, now: Instant, ask: &Ask) -> Option<id::Instance> {
        let free = |(instance, seat): &(&id::Instance, &Seat)| {
            seat.has_room(now)
                && !ask.failed.contains(instance)
                && self.serves(now, instance, seat, ask.need)
        };
        let cost = |(instance, seat): &(&id::Instance, &Seat)| {
            let load = seat.mean * (seat.running + 1) + Duration::from_millis(u64::from(seat.far));
            let primary = self.primary.as_ref() == Some(*instance);
            if primary { load * PRIMARY_COST } else { load }
        };
        let best = self.seats.iter().filter(free).min_by_key(cost);
        best.map(|(instance, _)| instance.clone())
    }

    /// Tells whether an instance can run a statement with this need.
    fn serves(&self, now: Instant, instance: &id::Instance, seat: &Seat, need: Need) -> bool {
        if !seat.usable || seat.full.is_some_and(|until| now < until) {
            return false;
        }
        let leads = self.primary.as_ref() == Some(instance);
        match need {
            Need::Primary => leads,
            Need::Reached { .. } if leads => true,
            Need::Reached { mark, since } => {
                let known = seat.position.is_some_and(|position| position >= mark);
                let lagging = seat.lagging.is_some_and(|until| now < until);
                known || (!lagging && now.since(since) >= USUAL_LAG)
            }
        }
    }

    /// Tells whether somebody waits that has precedence over a statement and could run now. Who waits for a primary that is
    /// absent doesn't hold up reads that replicas can serve.
    fn overtakes(&self, now: Instant, ask: &Ask) -> bool {
        let mut before = self.waiting.iter().filter(|w| w.ask.priority <= ask.priority);
        before.any(|waiting| self.place(now, &waiting.ask).is_some())
    }

    /// Counts who waits for the same instances and has precedence.
    fn ahead(&self, ask: &Ask) -> usize {
        let for_primary = ask.need == Need::Primary;
        let same = |waiting: &&Waiting| {
            waiting.ask.priority <= ask.priority
                && (waiting.ask.need == Need::Primary) == for_primary
        };
        self.waiting.iter().filter(same).count()
    }

    /// Estimates how long a statement waits.
    fn wait(&self, now: Instant, ask: &Ask) -> Duration {
        let ahead = self.ahead(ask);
        if ask.need == Need::Primary && self.primary.is_none() {
            return match self.absent {
                Some((since, true)) => {
                    USUAL_PROMOTION.saturating_sub(now.since(since)).max(LATE_PROMOTION)
                }
                Some((since, false)) if now.since(since) < USUAL_ELECTION => {
                    USUAL_ELECTION.saturating_sub(now.since(since))
                }
                _ => USUAL_ABSENCE,
            };
        }
        let able = |(instance, seat): &(&id::Instance, &Seat)| match ask.need {
            Need::Primary => self.primary.as_ref() == Some(*instance),
            Need::Reached { .. } => seat.usable,
        };
        let (mut permits, mut mean, mut crowded) = (0, FIRST_MEAN, false);
        for (_, seat) in self.seats.iter().filter(able) {
            permits += seat.connections(now).min((seat.window as u32).max(1));
            mean = mean.max(seat.mean);
            crowded |= seat.crowded.is_some();
        }
        match permits {
            0 if crowded => CROWDED * (ahead as u32 + 1),
            0 => USUAL_ABSENCE,
            _ => mean * (ahead as u32 / permits + 1),
        }
    }
}
