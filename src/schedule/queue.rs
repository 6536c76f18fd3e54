//! The waiting and running statements of a group.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::account::Key;
use super::class::Class;
use super::{Entry, Lane, Level, Terms};
use crate::clock::Instant;
use crate::id;

/// The mean duration that is assumed for a class of which nothing has run yet: as for an instance.
const INITIAL_MEAN_SECONDS: f64 = 0.015;

/// The least capacity that an estimate assumes, in seconds of service per second: without it a class that others
/// overtake all the time would divide by zero.
const MIN_CAPACITY: f64 = 0.001;

/// The part of the higher classes' measured arrivals that is counted as overtaking. The rate is measured over some ten
/// statements and scatters by a third; with all of it, statements that had a fair chance were refused (4.5 % of the
/// curators were late in a burst of their own, against 1.6 %).
const OVERTAKING_PART: f64 = 0.7;

/// How many times faster than a class leaves this queue its refused callers return, since they return to any of the
/// proxies that serve the group. Under six slots' worth of load 94.6 % of the short objectives were met with 1, 97.6 %
/// with 2, and no more with 3.
const RETURN_FACTOR: f64 = 2.0;

/// How fast the instances that an arriving statement may run on work off the queue.
#[derive(Debug, Clone, Copy)]
pub struct Supply {
    /// The seconds of service that start per second.
    pub rate: f64,
    /// The part of the waiting statements for the primary that is ahead of it on these instances.
    pub primary_part: f64,
    /// The part of the waiting statements for any instance that is ahead of it on these instances.
    pub any_part: f64,
}

/// The statements of a group, by class. `T` is what the owner keeps for each waiting one. Memory is bounded by the
/// number of waiting and running statements, which the owner limits, the accounts of the last second, and the classes.
#[derive(Debug)]
pub struct Queue<T> {
    /// The classes in their order.
    classes: Vec<(Level, Class<T>)>,
    /// Where each waiting statement is.
    waiting: BTreeMap<u64, Place>,
    running: BTreeMap<u64, Running>,
    /// The priority of the statements that may exceed limits, if others yield to it.
    urgent: Option<u8>,
}

#[derive(Debug)]
struct Place {
    level: Level,
    lane: Lane,
    account: Key,
    deadline: Instant,
}

/// A statement that holds a connection.
#[derive(Debug)]
struct Running {
    level: Level,
    account: Key,
    instance: id::Instance,
    /// The time that its account was charged for in advance, in microseconds; `None` while its transaction is idle.
    charged: Option<u64>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            urgent: None,
        }
    }
}

impl<T> Queue<T> {
    /// Replaces the declared classes. Statements of a class that is no longer declared stay accepted.
    pub fn declare(&mut self, classes: &[(Level, Terms)]) {
        let running: Vec<Level> = self.running.values().map(|running| running.level).collect();
        self.classes.retain_mut(|(level, class)| {
            let terms = classes.iter().find(|(declared, _)| declared == level);
            class.terms = terms.map_or_else(Terms::default, |(_, terms)| *terms);
            terms.is_some() || class.is_waiting() || running.contains(level)
        });
        for (level, terms) in classes {
            self.class_mut(*level).terms = *terms;
        }
        let highest = classes.iter().map(|(level, _)| level.priority).min();
        let others_yield = classes.iter().any(|(level, _)| Some(level.priority) != highest);
        self.urgent = highest.filter(|_| others_yield);
    }

    /// Returns whether statements of the class have the highest declared priority, and others don't.
    pub fn is_urgent(&self, level: Level) -> bool {
        self.urgent == Some(level.priority)
    }

    /// Returns whether any class is urgent.
    pub fn has_urgent(&self) -> bool {
        self.urgent.is_some()
    }

    /// Returns what is declared for a class.
    pub fn terms(&self, level: Level) -> Terms {
        self.class(level).map_or_else(Terms::default, |class| class.terms)
    }

    /// Returns the number of waiting statements.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no statement waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of statements that wait for the primary and for any instance.
    pub fn waiting(&self) -> (usize, usize) {
        let counts = self.classes.iter().map(|(_, class)| class.waiting);
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }

    /// Returns the first class of a priority.
    pub fn first(&self, priority: u8) -> Option<Level> {
        self.classes.iter().map(|(level, _)| *level).find(|level| level.priority == priority)
    }

    /// Returns the number of remembered accounts, over all classes.
    pub fn accounts(&self) -> usize {
        self.classes.iter().map(|(_, class)| class.accounts.len()).sum()
    }

    /// Returns how many connections to an instance the statements of the classes for which `filter` returns true hold.
    pub fn held(&self, instance: &id::Instance, filter: impl Fn(Level) -> bool) -> u32 {
        let on = |running: &&Running| running.instance == *instance && filter(running.level);
        self.running.values().filter(on).count() as u32
    }

    /// Returns whether a class yields to one that is not urgent either: its statements tolerate the most latency.
    pub fn yields(&self, level: Level) -> bool {
        self.classes.iter().any(|(other, _)| *other < level && !self.is_urgent(*other))
    }

    /// Adds a waiting statement.
    pub fn push(&mut self, now: Instant, level: Level, entry: Entry<T>) {
        let place = Place {
            level,
            lane: entry.lane,
            account: entry.account.clone(),
            deadline: entry.deadline,
        };
        self.waiting.insert(entry.ticket, place);
        let class = self.class_mut(level);
        *class.waiting_mut(entry.lane) += 1;
        class.arrivals.add(now, class.mean);
        class.accounts.push(now, entry);
    }

    /// Removes a waiting statement.
    pub fn remove(&mut self, ticket: u64) -> Option<Entry<T>> {
        let Place { level, lane, account, deadline } = self.waiting.remove(&ticket)?;
        let class = self.class_mut(level);
        let entry = class.accounts.remove(&account, lane, (deadline, ticket));
        let count = class.waiting_mut(lane);
        *count = count.saturating_sub(1);
        entry
    }

    /// Removes all waiting statements and returns them in the order of their arrival.
    pub fn drain(&mut self) -> Vec<Entry<T>> {
        let tickets: Vec<u64> = self.waiting.keys().copied().collect();
        tickets.into_iter().filter_map(|ticket| self.remove(ticket)).collect()
    }

    /// Returns the next statement in the order for which `start` returns a value, with its class. `open` says whether
    /// statements of a class can start at all, for the primary and for any instance, so that the others are skipped.
    pub fn next<R>(
        &self,
        now: Instant,
        open: impl Fn(Level) -> (bool, bool),
        mut start: impl FnMut(Level, &Entry<T>) -> Option<R>,
    ) -> Option<(Level, u64, R)> {
        let mut due: SmallVec<[&(Level, Class<T>); 4]> =
            self.classes.iter().filter(|(_, class)| class.is_due()).collect();
        due.sort_by(|(_, a), (_, b)| {
            let owed = |class: &Class<T>| class.credit.seconds() / class.mean.max(f64::EPSILON);
            owed(b).total_cmp(&owed(a))
        });
        let in_time = due.into_iter().map(|class| (class, true));
        let in_order = self.classes.iter().map(|class| (class, false));
        for ((level, class), only_in_time) in in_time.chain(in_order) {
            let lanes = open(*level);
            let lanes = (lanes.0 && class.waiting.0 > 0, lanes.1 && class.waiting.1 > 0);
            if lanes == (false, false) {
                continue;
            }
            let start = |entry: &Entry<T>| {
                if only_in_time && entry.deadline <= now {
                    return None;
                }
                start(*level, entry)
            };
            if let Some((entry, started)) = class.accounts.find(lanes, start) {
                return Some((*level, entry.ticket, started));
            }
        }
        None
    }

    /// Returns whether a waiting statement of class `other` goes ahead of one of class `level` that arrives now.
    pub fn precedes(&self, other: Level, level: Level) -> bool {
        other <= level || self.class(other).is_some_and(Class::is_due)
    }

    /// Records that a statement starts, whether it waited or not, and returns the time that it is expected to take, in
    /// seconds.
    pub fn start(
        &mut self,
        now: Instant,
        (level, ticket): (Level, u64),
        account: Key,
        instance: id::Instance,
    ) -> f64 {
        let waited = self.remove(ticket).is_some();
        let class = self.class_mut(level);
        if !waited {
            class.arrivals.add(now, class.mean);
        }
        let (mean, charged) = (class.mean, class.mean_micros());
        class.credit.spend(mean);
        class.accounts.start(now, &account, charged);
        self.running.insert(ticket, Running { level, account, instance, charged: Some(charged) });
        mean
    }

    /// Records that a statement of an idle transaction starts.
    pub fn resume(&mut self, ticket: u64) {
        let Some(running) = self.running.get(&ticket) else {
            return;
        };
        let (level, account) = (running.level, running.account.clone());
        let class = self.class_mut(level);
        let charged = class.mean_micros();
        class.accounts.correct(&account, 0, charged);
        class.credit.spend(class.mean);
        if let Some(running) = self.running.get_mut(&ticket) {
            running.charged = Some(charged);
        }
    }

    /// Records that a statement ended and its transaction stays open. `duration` is how long it took, if that is known.
    pub fn suspend(&mut self, now: Instant, ticket: u64, duration: Option<Duration>) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        let (level, account) = (running.level, running.account.clone());
        let Some((charged, duration)) = running.charged.take().zip(duration) else {
            return;
        };
        let seconds = duration.as_secs_f64();
        let class = self.class_mut(level);
        class.record_duration(seconds);
        class.accounts.correct(&account, charged, duration.as_micros() as u64);
        for (_, class) in &mut self.classes {
            if class.is_short(now) {
                class.credit.accrue(class.terms.guaranteed, seconds, class.mean);
            }
        }
    }

    /// Records that a statement or its transaction ended.
    pub fn finish(&mut self, now: Instant, ticket: u64, duration: Option<Duration>) {
        self.suspend(now, ticket, duration);
        if let Some(running) = self.running.remove(&ticket) {
            let class = self.class_mut(running.level);
            class.accounts.finish(now, &running.account);
        }
    }

    /// Estimates how long a statement that arrives now waits: the time that the statements ahead of it take, with those
    /// that are expected to overtake it. A class never gets less than its guaranteed part.
    pub fn estimate(
        &self,
        now: Instant,
        level: Level,
        account: &Key,
        deadline: Instant,
        supply: &Supply,
    ) -> Duration {
        let parts =
            |(primary, any): (f64, f64)| primary * supply.primary_part + any * supply.any_part;
        let (mut ahead, mut overtaking) = (0.0, 0.0);
        for (other, class) in &self.classes {
            if *other < level {
                let waiting = (class.waiting.0 as f64, class.waiting.1 as f64);
                ahead += parts(waiting) * class.mean;
                overtaking += class.arrivals.per_second(now) * OVERTAKING_PART;
            }
        }
        let Some(class) = self.class(level) else {
            return Duration::from_secs_f64(ahead / supply.rate.max(MIN_CAPACITY));
        };
        let own = class.accounts.count_ahead(account, deadline, class.mean_micros());
        let own = parts(own) * class.mean;
        let rate = supply.rate.max(MIN_CAPACITY);
        // A statement that runs now is half done on average.
        let residual = self.mean_running() / 2.0;
        let in_order = (ahead + own + residual) / (rate - overtaking).max(MIN_CAPACITY);
        let owed = (class.mean + own - class.credit.seconds()).max(0.0);
        let guaranteed = (owed / class.terms.guaranteed.max(MIN_CAPACITY) + residual) / rate;
        Duration::from_secs_f64(in_order.min(guaranteed).min(3_600.0))
    }

    /// Returns when a refused caller may return. `excess` is by how much the estimated wait exceeds what it may wait.
    pub fn refuse(
        &mut self,
        now: Instant,
        (level, ticket): (Level, u64),
        excess: Duration,
        supply: &Supply,
    ) -> Duration {
        let overtaking: f64 = self
            .classes
            .iter()
            .filter(|(other, _)| *other < level)
            .map(|(_, class)| class.arrivals.per_second(now) * OVERTAKING_PART)
            .sum();
        let class = self.class_mut(level);
        class.refused = Some(now);
        let left = (supply.rate - overtaking).max(supply.rate * class.terms.guaranteed);
        let rate = RETURN_FACTOR * left / class.mean.max(f64::EPSILON);
        class.returns.refuse(now, excess, rate, jitter(ticket))
    }

    fn mean_running(&self) -> f64 {
        let means = self.running.values().filter(|running| running.charged.is_some());
        let means = means.filter_map(|running| Some(self.class(running.level)?.mean));
        let (sum, count) = means.fold((0.0, 0), |(sum, count), mean| (sum + mean, count + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }

    fn class(&self, level: Level) -> Option<&Class<T>> {
        let at = self.classes.binary_search_by_key(&level, |(level, _)| *level).ok()?;
        Some(&self.classes[at].1)
    }

    fn class_mut(&mut self, level: Level) -> &mut Class<T> {
        let at = match self.classes.binary_search_by_key(&level, |(level, _)| *level) {
            Ok(at) => at,
            Err(at) => {
                let class = Class::new(Terms::default(), INITIAL_MEAN_SECONDS);
                self.classes.insert(at, (level, class));
                at
            }
        };
        &mut self.classes[at].1
    }
}

/// Returns a number from 0 to 1 that spreads consecutive tickets evenly (the golden ratio's multiples, modulo 1).
fn jitter(ticket: u64) -> f64 {
    let scaled = ticket.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (scaled >> 11) as f64 / (1_u64 << 53) as f64
}
