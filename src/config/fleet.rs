//! The declarations of a fleet: request classes, database groups and their requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{Account, Error, Share, Span, TimeOfDay, read};
use crate::id;

/// The checked declarations of a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Fleet {
    /// The request classes.
    pub class: BTreeMap<id::Class, Class>,
    /// The database groups.
    pub group: BTreeMap<id::Group, Group>,
    /// The database names by which callers address the groups, for protocols that have them.
    pub database: BTreeMap<id::Database, Database>,
    /// How long a transaction may be idle between two statements before it is rolled back.
    pub idle_transaction: Option<Span>,
    /// The client accounts.
    pub account: BTreeMap<id::Account, Account>,
    /// Whether callers need the key of an account, except for open databases.
    pub require_account: bool,
}

/// A database name by which callers address a group, and the guarantees of its sessions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Database {
    /// The group.
    pub group: id::Group,
    /// The request class of its statements.
    pub class: id::Class,
    /// Consistency of its reads.
    pub reads: Consistency,
    /// Time limit of a statement.
    pub timeout: Span,
    /// Target latency of a request in normal operation.
    pub target: Span,
    /// Whether callers need no key of an account.
    pub open: bool,
}

/// Consistency of reads: which writes a read must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// All acknowledged writes.
    Latest,
    /// All writes acknowledged longer ago than this span.
    Bounded(Span),
    /// As `Bounded`, and also all earlier writes of the same session.
    Session(Span),
}

/// A request class: its priority, deadline and objective.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Requests with a lower value are served first.
    pub priority: u8,
    /// Longest time from the arrival of a request to its answer.
    pub deadline: Span,
    /// Service level objective of the class.
    pub objective: Objective,
    /// Part of the time of the instances that the class keeps under any load.
    pub guaranteed: Option<Share>,
    /// Greatest part of the connections to an instance that the class may hold.
    pub most: Option<Share>,
}

/// Service level objective of a class over the window of its error budget. `docs/operators/burn.md` describes how it is
/// computed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Share of requests answered within the deadline.
    pub answered: Share,
    /// Share of requests whose outcome is known to the caller.
    pub known: Share,
    /// Share of reads served by replicas.
    pub replica_reads: Option<Share>,
    /// Longest time that writes may be unavailable when a primary fails.
    pub failover_gap: Option<Span>,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            answered: Share::per_million(999_000),
            known: Share::per_million(999_900),
            replica_reads: None,
            failover_gap: None,
        }
    }
}

/// A database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Number of instances, including the primary.
    pub instances: u32,
    /// Number of statements that an instance runs concurrently.
    pub slots: u32,
    /// Number of connections that an instance accepts, from all proxies and control processes together.
    pub connections: u32,
    /// Time it takes to open a connection to an instance.
    pub connect_time: Span,
    /// When a write may be acknowledged.
    pub durability: Durability,
    /// Whether an external service promotes instances. A promoted instance then starts the next term by itself.
    pub promoted_outside: bool,
    /// The class of statements that name no declared request.
    pub default_class: id::Class,
    /// The declared requests.
    pub request: BTreeMap<id::Request, Request>,
    /// The declared peaks.
    pub peak: Vec<Peak>,
}

/// When a write may be acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Durability {
    /// When a majority of the group's instances holds it, so that every promotion finds it.
    #[default]
    Majority,
    /// When the primary holds it.
    Primary,
}

/// A declared request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The request class.
    pub class: id::Class,
    /// Maximum age of the data it reads; `None` if it must read the latest data.
    pub max_age: Option<Span>,
    /// Whether it must not run twice. The caller sends an idempotency key with the request.
    pub once: bool,
    /// Retention period of the key of a `once` request.
    pub keep: Option<Span>,
    /// Whether it may be retried without a key.
    pub idempotent: bool,
}

/// A declared daily peak, ahead of which connections are opened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peak {
    /// Start, in UTC.
    pub at: TimeOfDay,
    /// Duration.
    pub lasts: Span,
}

impl Fleet {
    /// Parses and checks declarations; `path` is the file name shown in errors.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid TOML or the declarations are not valid; all faults are reported at once.
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        read::fleet(path, text)
    }

    /// Returns the priorities of the classes in ascending order, which is from the most urgent to the least.
    pub fn priorities(&self) -> SmallVec<[u8; 4]> {
        let mut priorities: SmallVec<[u8; 4]> =
            self.class.values().map(|class| class.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        priorities
    }
}
