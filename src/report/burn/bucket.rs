//! Request counts of one minute, or of one hour once the minutes are merged.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::id;

/// The maximum number of distinct spenders in a bucket; requests of the others are counted without an instance under
/// [`Cause::Other`].
const MAX_SPENDERS: usize = 64;

/// The maximum number of failover gaps in a bucket; the longest ones are kept.
const MAX_GAPS: usize = 16;

/// A minute, counted from the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Minute(pub u64);

impl Minute {
    /// Returns the current minute.
    pub fn now() -> Self {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::from_unix_ms(elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64))
    }

    /// Returns the minute of a time in milliseconds since the Unix epoch.
    pub fn from_unix_ms(ms: u64) -> Self {
        Self(ms / 60_000)
    }
}

/// Counts of the requests and reads of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Completed requests.
    pub requests: u64,
    /// Requests that were answered within the deadline.
    pub answered: u64,
    /// Requests whose outcome the caller knows.
    pub known: u64,
    /// Reads that were served by an instance.
    pub reads: u64,
    /// Reads that were served by a replica.
    pub replica_reads: u64,
}

impl Counts {
    pub(super) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.known += other.known;
        self.reads += other.reads;
        self.replica_reads += other.replica_reads;
    }
}

/// Why a request spent error budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The group's primary was being replaced or is unusable.
    Failover,
    /// The proxy had no lease.
    Lease,
    /// No connection or slot became free in time.
    Overload,
    /// No replica had reached the session's floor.
    Lag,
    /// The request was answered after its deadline, or abandoned at it.
    Late,
    /// The proxy was shutting down.
    Shutdown,
    /// Any other cause, or a spender beyond the bucket's limit.
    Other,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failover => "failover",
            Self::Lease => "lease",
            Self::Overload => "overload",
            Self::Lag => "lag",
            Self::Late => "late",
            Self::Shutdown => "shutdown",
            Self::Other => "other",
        })
    }
}

/// What error budget spending is attributed to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Spender {
    /// The class.
    pub class: id::Class,
    /// The primary of the group at that time, if there was one.
    pub instance: Option<id::Instance>,
    /// Why budget was spent.
    pub cause: Cause,
}

/// Counts over an interval.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Bucket {
    /// The first minute.
    pub start: Minute,
    /// Length of the interval.
    pub minutes: u64,
    /// Counts by class.
    pub classes: BTreeMap<id::Class, Counts>,
    /// Requests that spent budget, by spender.
    pub spent: Vec<(Spender, u64)>,
    /// The failover gaps that ended in the interval: the replaced primary and the length in milliseconds.
    pub gaps: Vec<(id::Instance, u64)>,
}

impl Bucket {
    /// Creates an empty bucket of one minute.
    pub fn new(start: Minute) -> Self {
        Self { start, minutes: 1, ..Self::default() }
    }

    /// Counts requests that spent budget.
    pub fn add_spent(&mut self, spender: Spender, count: u64) {
        if let Some((_, spent)) = self.spent.iter_mut().find(|(other, _)| *other == spender) {
            *spent += count;
            return;
        }
        let overflow =
            Spender { class: spender.class.clone(), instance: None, cause: Cause::Other };
        if self.spent.len() < MAX_SPENDERS {
            self.spent.push((spender, count));
        } else if let Some((_, spent)) = self.spent.iter_mut().find(|(other, _)| *other == overflow)
        {
            *spent += count;
        } else {
            // Adds at most one entry per class beyond the limit, and there are few classes.
            self.spent.push((overflow, count));
        }
    }

    /// Adds a failover gap that ended, if it is among the longest.
    pub fn add_gap(&mut self, instance: id::Instance, ms: u64) {
        self.gaps.push((instance, ms));
        self.gaps.sort_by_key(|(_, ms)| std::cmp::Reverse(*ms));
        self.gaps.truncate(MAX_GAPS);
    }

    /// Adds the counts of another bucket; the interval stays the same.
    pub fn merge(&mut self, other: &Self) {
        for (class, counts) in &other.classes {
            self.classes.entry(class.clone()).or_default().add(counts);
        }
        for (spender, count) in &other.spent {
            self.add_spent(spender.clone(), *count);
        }
        for (instance, ms) in &other.gaps {
            self.add_gap(instance.clone(), *ms);
        }
    }

    /// Returns the first minute after the interval.
    pub fn end(&self) -> Minute {
        Minute(self.start.0 + self.minutes)
    }
}
