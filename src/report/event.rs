//! What processes log: one type for each kind of line, so that all lines of a kind have the same fields.
//!
//! `docs/OPERATIONS.md`, "Log lines", says what the fields hold; a test compares that page with this module.

use std::fmt;
use std::time::Duration;

use log::Level;
use serde::Serialize;

use crate::id;
use crate::wire::{Health, Phase};

/// What the targets of events begin with, for the log to tell them from plain lines.
const TARGET: &str = "event.";

/// The kind of a line that is no event but a text.
pub const NOTE: &str = "note";

/// What a process decided about a request, or believes from now on.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// A request that was not served, took longer than its target, or is a sample of the others.
    Request(Request<'a>),
    /// A request that is tried again.
    Retry(Retry<'a>),
    /// The proxy's lease begins or has run out.
    Lease {
        /// Whether it is held.
        held: bool,
        /// How long ago the heartbeat was sent that renewed it last; nothing before the first one.
        unheard_ms: Option<u64>,
    },
    /// The proxy hears control too little to keep its callers, or enough again.
    Stranded {
        /// Whether callers are sent elsewhere.
        stranded: bool,
        /// How long ago the heartbeat was sent that renewed the lease last; nothing before the first one.
        unheard_ms: Option<u64>,
    },
    /// The epoch of a group that this process goes by.
    Epoch {
        /// The group.
        group: &'a id::Group,
        /// The epoch's term.
        term: id::Term,
        /// Whether it may be served under, or another primary is being looked for.
        phase: Phase,
        /// The primary.
        primary: &'a id::Instance,
    },
    /// An instance fails, or answers again.
    Instance {
        /// The instance.
        instance: &'a id::Instance,
        /// Its group.
        group: &'a id::Group,
        /// What is wrong.
        trouble: Health,
        /// How long ago it answered last.
        silent_ms: u64,
        /// How it failed.
        reason: Option<String>,
    },
    /// A configuration is in force in this process.
    Configuration {
        /// Its revision.
        revision: id::Revision,
        /// How many databases it has.
        databases: usize,
    },
    /// Control orders something about a group.
    Decision {
        /// The group.
        group: &'a id::Group,
        /// What it orders.
        decision: &'static str,
        /// The term that is frozen, reserved or put in force.
        term: id::Term,
        /// The instance that the term is for.
        instance: Option<&'a id::Instance>,
        /// Where the term's history begins.
        start: Option<id::Position>,
    },
    /// An outside service is asked to promote an instance, or has answered.
    Promotion {
        /// The group.
        group: &'a id::Group,
        /// The instance.
        instance: &'a id::Instance,
        /// The fencing token.
        token: id::Term,
        /// What the service answered; nothing while it is asked.
        answer: Option<String>,
    },
    /// This process leads control from now on, or leads no more.
    Leader {
        /// Whether it leads.
        leads: bool,
        /// The term of control's log.
        term: id::Term,
    },
}

/// How a request ended, and by what.
#[derive(Debug, Default, Serialize)]
pub struct Request<'a> {
    /// The caller's id of the request.
    pub request: &'a str,
    /// The group.
    pub group: &'a str,
    /// The database.
    pub database: &'a str,
    /// The class.
    pub class: &'a str,
    /// What the caller was told.
    pub outcome: &'a str,
    /// Why, when it was not served.
    pub reason: &'a str,
    /// When the caller was told to come back.
    pub retry_after_ms: Option<u64>,
    /// How long it was here.
    pub elapsed_ms: u64,
    /// How much of that it waited for an instance with room; the rest is connecting, and the instances' own time.
    pub waited_ms: u64,
    /// On how many instances it was tried.
    pub tries: u32,
    /// The last of them.
    pub instance: Option<&'a id::Instance>,
    /// What it needed: the primary, an instance that has received a mark, or the one of its read-only transaction.
    pub need: &'static str,
    /// How old the proof of that mark was.
    pub mark_age_ms: Option<u64>,
    /// How long the proxy's lease went on; 0 when it had run out.
    pub lease_left_ms: u64,
    /// The group's term as this proxy knew it.
    pub term: Option<id::Term>,
    /// The phase of that term.
    pub phase: Option<Phase>,
    /// The revision of the configuration that it was served by.
    pub revision: id::Revision,
    /// How many statements waited in the group.
    pub waiting: usize,
    /// How many connections to the group's instances were in use.
    pub in_use: u32,
    /// How many there could be.
    pub permits: u32,
}

/// Why a request is tried again.
#[derive(Debug, Serialize)]
pub struct Retry<'a> {
    /// The caller's id of the request.
    pub request: &'a str,
    /// The group.
    pub group: &'a id::Group,
    /// The instance that it was tried on.
    pub instance: &'a id::Instance,
    /// What came of that.
    pub reason: String,
    /// How long it was here by then.
    pub elapsed_ms: u64,
}

impl Event<'_> {
    /// Logs the event. What is left out for the rate of its kind costs no formatting.
    pub fn log(&self, level: Level) {
        log::log!(target: self.target(), level, "{self}");
    }

    fn target(&self) -> &'static str {
        match self {
            Self::Request(_) => "event.request",
            Self::Retry(_) => "event.retry",
            Self::Lease { .. } => "event.lease",
            Self::Stranded { .. } => "event.stranded",
            Self::Epoch { .. } => "event.epoch",
            Self::Instance { .. } => "event.instance",
            Self::Configuration { .. } => "event.configuration",
            Self::Decision { .. } => "event.decision",
            Self::Promotion { .. } => "event.promotion",
            Self::Leader { .. } => "event.leader",
        }
    }
}

/// Returns a time in the unit that lines have.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the kind of event that a log target is for.
pub fn kind(target: &str) -> Option<&str> {
    target.strip_prefix(TARGET)
}

/// An event is written as a JSON object.
impl fmt::Display for Event<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let json = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&json)
    }
}
