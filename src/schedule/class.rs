//! What is known of one class in the queue of a group.

use std::time::Duration;

use super::account::Accounts;
use super::rate::{Rate, Returns};
use super::{Credit, Lane, Terms};
use crate::clock::Instant;

/// The weight of a new sample in the mean duration is one part in this many, as for the mean of an instance.
const MEAN_WEIGHT_DIVISOR: f64 = 8.0;

/// How long after a refusal a class still counts as asking for more: longer than the usual time between two arrivals of
/// a class at one of twelve proxies.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);

/// A class and its waiting statements.
#[derive(Debug)]
pub(super) struct Class<T> {
    pub(super) terms: Terms,
    pub(super) accounts: Accounts<T>,
    /// The number of statements that wait for the primary and for any instance.
    pub(super) waiting: (usize, usize),
    /// The mean duration of a statement, in seconds.
    pub(super) mean: f64,
    pub(super) credit: Credit,
    /// The seconds of service that arrive per second and are not refused.
    pub(super) arrivals: Rate,
    pub(super) returns: Returns,
    /// When a statement of the class was last refused.
    pub(super) refused: Option<Instant>,
}

impl<T> Class<T> {
    pub(super) fn new(terms: Terms, mean: f64) -> Self {
        Self {
            terms,
            accounts: Accounts::default(),
            waiting: (0, 0),
            mean,
            credit: Credit::default(),
            arrivals: Rate::default(),
            returns: Returns::default(),
            refused: None,
        }
    }

    pub(super) fn waiting_mut(&mut self, lane: Lane) -> &mut usize {
        match lane {
            Lane::Primary => &mut self.waiting.0,
            Lane::Any => &mut self.waiting.1,
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.waiting != (0, 0)
    }

    /// Returns whether the class gets less than it asks for: statements wait, or were refused a moment ago. Without the
    /// latter, a class of which all are refused on arrival would never be owed any time.
    pub(super) fn is_short(&self, now: Instant) -> bool {
        let is_recent = |refused| now.since(refused) < DEMAND_PERIOD;
        self.is_waiting() || self.refused.is_some_and(is_recent)
    }

    /// Returns whether the class has waited longer than its guaranteed part of the time allows.
    pub(super) fn is_due(&self) -> bool {
        self.is_waiting() && self.credit.is_due(self.mean)
    }

    pub(super) fn record_duration(&mut self, seconds: f64) {
        self.mean += (seconds - self.mean) / MEAN_WEIGHT_DIVISOR;
    }

    pub(super) fn mean_micros(&self) -> u64 {
        (self.mean * 1e6) as u64
    }
}
