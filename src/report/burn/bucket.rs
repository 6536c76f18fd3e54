//! What happened in one minute, or in one hour once that is long ago.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::id;

/// The most spenders that a bucket tells apart; the rest are counted under no instance and [`Cause::Other`].
const MAX_SPENDERS: usize = 64;

/// The most failover gaps that a bucket keeps, the longest first.
const MAX_GAPS: usize = 16;

/// A minute, counted from 1970.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Minute(pub u64);

impl Minute {
    /// Returns the minute that it is.
    pub fn now() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::of_ms(since.map_or(0, |since| since.as_millis() as u64))
    }

    /// Returns the minute that holds a moment in milliseconds since 1970.
    pub fn of_ms(ms: u64) -> Self {
        Self(ms / 60_000)
    }
}

/// What a class did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ended.
    pub requests: u64,
    /// Of them, those that were answered within the deadline.
    pub answered: u64,
    /// Of them, those whose outcome the caller knows.
    pub known: u64,
    /// Reads that an instance served.
    pub reads: u64,
    /// Of them, those that a replica served.
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

/// Why a request spent budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The group's primary was being replaced or can't be used.
    Failover,
    /// The proxy had no lease.
    Lease,
    /// There was no connection or slot in time.
    Overload,
    /// No replica had reached what the session must see.
    Lag,
    /// It ran and was answered too late, or was given up at the deadline.
    Late,
    /// The proxy was shutting down.
    Shutdown,
    /// Anything else, and what did not fit.
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

/// Who spent budget, and why.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Spender {
    /// The class.
    pub class: id::Class,
    /// The primary of the group at that time, when there was one.
    pub instance: Option<id::Instance>,
    /// Why.
    pub cause: Cause,
}

/// What happened in a stretch of time.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Bucket {
    /// The first minute.
    pub start: Minute,
    /// How many minutes it covers.
    pub minutes: u64,
    /// What each class did.
    pub classes: BTreeMap<id::Class, Counts>,
    /// How many requests each spender spent.
    pub spent: Vec<(Spender, u64)>,
    /// The failover gaps that ended: the primary that was replaced, and milliseconds.
    pub gaps: Vec<(id::Instance, u64)>,
}

impl Bucket {
    /// Starts a bucket of one minute.
    pub fn new(start: Minute) -> Self {
        Self { start, minutes: 1, ..Self::default() }
    }

    /// Counts a request that spent budget.
    pub fn spend(&mut self, spender: Spender, count: u64) {
        if let Some((_, known)) = self.spent.iter_mut().find(|(known, _)| *known == spender) {
            *known += count;
            return;
        }
        let rest = Spender { class: spender.class.clone(), instance: None, cause: Cause::Other };
        if self.spent.len() < MAX_SPENDERS {
            self.spent.push((spender, count));
        } else if let Some((_, known)) = self.spent.iter_mut().find(|(known, _)| *known == rest) {
            *known += count;
        } else {
            // One entry for each class beyond the bound; classes are few.
            self.spent.push((rest, count));
        }
    }

    /// Notes a failover gap that ended.
    pub fn gap(&mut self, instance: id::Instance, ms: u64) {
        self.gaps.push((instance, ms));
        self.gaps.sort_by_key(|(_, ms)| std::cmp::Reverse(*ms));
        self.gaps.truncate(MAX_GAPS);
    }

    /// Adds what another bucket counted; the stretch of time stays.
    pub fn add(&mut self, other: &Self) {
        for (class, counts) in &other.classes {
            self.classes.entry(class.clone()).or_default().add(counts);
        }
        for (spender, count) in &other.spent {
            self.spend(spender.clone(), *count);
        }
        for (instance, ms) in &other.gaps {
            self.gap(instance.clone(), *ms);
        }
    }

    /// Returns the minute after the last one.
    pub fn end(&self) -> Minute {
        Minute(self.start.0 + self.minutes)
    }
}
