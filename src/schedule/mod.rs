//! Decides which waiting statement starts next, how long an arriving one would wait, and when a refused one may return.
//!
//! These are state machines without I/O, for this load: both replicas of a group lag, so its primary with five slots is
//! offered six slots' worth of statements by twelve proxies, each of which sees only its own queue; or a burst of
//! statements that tolerate latency arrives beside urgent ones; or one account sends many times its usual rate.
//!
//! - [`Queue`] orders the waiting statements: by priority, then by the shorter objective, then between accounts by
//!   start-time fair queueing (Goyal, Vin and Cheng, 1996), then by the earliest deadline.
//! - [`Credit`] lends a class a turn when it has waited longer than its guaranteed part of the time allows (a deficit
//!   counter after Shreedhar and Varghese, 1995).
//! - [`Drain`] measures how fast statements leave the queue, and [`Returns`] spreads the returns of refused callers over
//!   the time in which they can be served.
//!
//! Memory is bounded by the number of waiting statements, one entry for each running one, one for each account that
//! waits, runs or ran within the last second, and one for each class of the group.

mod account;
mod class;
mod credit;
mod queue;
mod rate;

use std::time::Duration;

use crate::clock::Instant;
use crate::id;

pub use credit::Credit;
pub use queue::{Queue, Supply};
pub use rate::{Drain, MAX_RETURN, Rate, Returns};

/// The part of the time that a class keeps without a declaration. It is small enough to cost an urgent class little
/// (one start in twenty instead of one in eight) and lets every class progress.
pub const DEFAULT_GUARANTEE: f64 = 0.05;

/// The position of a class in the order: lower ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Level {
    /// The declared priority. Lower values go first.
    pub priority: u8,
    /// The target latency. Of two classes of equal priority, the one with the longer target yields.
    pub target: Duration,
}

/// What is declared for a class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// The part of the time that the class keeps under any load, from 0 to 1.
    pub guaranteed: f64,
    /// The greatest part of the connections to an instance that the class may hold, from 0 to 1.
    pub most: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Self { guaranteed: DEFAULT_GUARANTEE, most: 1.0 }
    }
}

/// The instances that a statement may run on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lane {
    /// Only the primary.
    Primary,
    /// Any instance that has received a certain position.
    Any,
}

/// A waiting statement.
#[derive(Debug, Clone)]
pub struct Entry<T> {
    /// The number of the statement, which is unique in the queue.
    pub ticket: u64,
    /// The instances that it may run on.
    pub lane: Lane,
    /// The account whose statement it is, if the deployment has accounts.
    pub account: Option<id::Account>,
    /// When its longest wait ends.
    pub deadline: Instant,
    /// The statement.
    pub item: T,
}

/// Why a statement was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It would have waited longer than it may.
    Overload,
    /// The queue has no place left.
    QueueFull,
    /// It waited for as long as it may.
    Waited,
    /// The instances accept no further connection.
    Connections,
    /// There is no usable primary.
    NoPrimary,
}

impl Reason {
    /// Returns the reason as a label of a metric.
    pub fn label(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::QueueFull => "queue_full",
            Self::Waited => "waited",
            Self::Connections => "connections",
            Self::NoPrimary => "no_primary",
        }
    }

    /// Returns the reason in the text of a refusal.
    pub fn text(self) -> &'static str {
        match self {
            Self::Overload => "no instance has room: the wait would exceed what its class allows",
            Self::QueueFull => "no instance has room: the queue of the group is full",
            Self::Waited => "no instance has room: it waited for as long as its class allows",
            Self::Connections => "no instance has room: the instances accept no further connection",
            Self::NoPrimary => "this proxy may not use a primary",
        }
    }
}
