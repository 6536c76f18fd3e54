//! The declarations: groups, their classes of requests, and their requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Daytime, Error, Share, Span, read};
use crate::id;

/// All declarations of a fleet, checked.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Fleet {
    /// The classes of requests.
    pub class: BTreeMap<id::Class, Class>,
    /// The database groups.
    pub group: BTreeMap<id::Group, Group>,
    /// The names by which callers reach the groups, where the protocol has such names.
    pub database: BTreeMap<id::Database, Database>,
    /// How long a transaction may rest between two statements before it is rolled back.
    pub idle_transaction: Option<Span>,
}

/// A name by which callers reach a group, and what its sessions may expect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Database {
    /// The group.
    pub group: id::Group,
    /// The class of its statements.
    pub class: id::Class,
    /// What its reads must see.
    pub reads: Reads,
    /// How long one statement may take.
    pub timeout: Span,
    /// How soon a request is answered when all is well.
    pub target: Span,
}

/// What a read must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reads {
    /// Every acknowledged write.
    Latest,
    /// Every write that was acknowledged longer ago than this.
    Bounded(Span),
    /// The same, and every write of its own session.
    Session(Span),
}

/// A class of requests: who goes first, and how long an answer may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Class {
    /// Lower goes first.
    pub priority: u8,
    /// How long after its arrival a request is answered at the latest.
    pub deadline: Span,
    /// What the class is held to.
    pub objective: Objective,
}

/// What a class is held to over the budget's window; `docs/operators/burn.md` says how it is counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// The share of requests that is answered within the deadline.
    pub answered: Share,
    /// The share of requests whose outcome is known to the caller.
    pub known: Share,
    /// The share of reads that replicas serve.
    pub replica_reads: Option<Share>,
    /// How long writes may be unavailable when a primary fails.
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
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// How many instances the group has, the primary included.
    pub instances: u32,
    /// How many statements an instance runs at once.
    pub slots: u32,
    /// How many connections an instance takes from the whole system.
    pub connections: u32,
    /// How long a new connection takes.
    pub connect_time: Span,
    /// When a write is acknowledged.
    pub durability: Durability,
    /// Whether an outside service promotes instances, which then take the next term by themselves.
    pub promoted_outside: bool,
    /// The class of a statement that names no request.
    pub default_class: id::Class,
    /// The declared requests.
    pub request: BTreeMap<id::Request, Request>,
    /// The declared peaks.
    pub peak: Vec<Peak>,
}

/// When a write is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Durability {
    /// When a majority of the group's instances holds it, so that any promotion must find it.
    #[default]
    Majority,
    /// When the primary holds it.
    Primary,
}

/// A declared request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its class.
    pub class: id::Class,
    /// How old the data may be that it reads, when it may be old at all.
    pub max_age: Option<Span>,
    /// Whether it may never run twice; its key comes with the request.
    pub once: bool,
    /// How long the key of a `once` request is kept.
    pub keep: Option<Span>,
    /// Whether it may be resent without a key.
    pub idempotent: bool,
}

/// A declared peak: connections are opened ahead of it every day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peak {
    /// When it begins, UTC.
    pub at: Daytime,
    /// How long it lasts.
    pub lasts: Span,
}

impl Fleet {
    /// Reads and checks declarations; `path` names them in errors.
    ///
    /// # Errors
    ///
    /// Fails when the text is not valid TOML or declares something that can't be.
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        read::fleet(path, text)
    }
}
