//! Structured log events: one type per kind of line, so that all lines of a kind have the same fields.
//!
//! `docs/OPERATIONS.md`, "Log lines", documents the fields; a test compares that page with this module.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use log::Level;
use serde::{Serialize, Serializer};

use super::label::{Peer, Replacement};
use crate::id;
use crate::statement::Place;
use crate::wire::{Health, Phase};

/// Prefix of the log targets of events, which distinguishes them from plain lines.
const TARGET_PREFIX: &str = "event.";

/// The kind of a plain text line.
pub const NOTE: &str = "note";

/// A decision about a request, or a change of the state that a process acts on.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// A request that was not served, exceeded its target latency, or is a sample of the others.
    Request(Request<'a>),
    /// A request is retried.
    Retry(Retry<'a>),
    /// A proxy that serves a group has not run a statement that was forwarded to it.
    Forward {
        /// The caller's id of the request.
        request: &'a str,
        /// The group.
        group: &'a id::Group,
        /// The proxy that it was forwarded to.
        server: &'a id::Node,
        /// Why it did not run there, or why no answer came.
        reason: &'a str,
        /// Time since the arrival of the request.
        elapsed_ms: u64,
    },
    /// A request was refused because the proxy held no token of its account's quota.
    Quota {
        /// The caller's id of the request.
        request: &'a str,
        /// The account.
        account: &'a id::Account,
        /// Declared operations per second.
        rate: f64,
        /// Number of tokens that the proxy holds for operations in progress.
        reserved: u64,
        /// Number of operations of the account that wait for a token at the proxy.
        waiting: usize,
        /// Time since sending the heartbeat that the leader last granted tokens for.
        granted_ago_ms: u64,
        /// Time that the request waited for a token.
        waited_ms: u64,
        /// The retry delay given to the caller.
        retry_after_ms: u64,
    },
    /// An instance refused a new connection because it has as many as it accepts.
    ConnectionLimit {
        /// The instance.
        instance: &'a id::Instance,
        /// Its group.
        group: &'a id::Group,
        /// Number of connections to it that this proxy uses.
        in_use: u32,
        /// Maximum number of connections to it that this proxy may hold.
        permits: u32,
    },
    /// An instance sent an answer, or a part of one, a second time. The connection is closed after the statement.
    OutOfStep {
        /// The instance.
        instance: &'a id::Instance,
        /// Its group.
        group: &'a id::Group,
        /// Number of the connection among those that the process opened.
        connection: u64,
        /// Time since the connection was opened.
        open_ms: u64,
        /// The kind of the command whose answer was awaited, or of the last one.
        command: &'static str,
        /// What shows the second answer.
        evidence: String,
    },
    /// A message of a caller or an instance could not be read.
    Unreadable(Unreadable<'a>),
    /// The connections to each instance of a group that this proxy may hold changed. With none, it forwards.
    Share {
        /// The group.
        group: &'a id::Group,
        /// Maximum number of connections to each instance.
        permits: u32,
        /// Number of proxies that serve the group; absent if all do or none is chosen yet.
        servers: Option<usize>,
    },
    /// The proxy's lease started or expired.
    Lease {
        /// Whether the lease is held.
        held: bool,
        /// Time since sending the heartbeat that last renewed the lease; absent before the first renewal.
        unheard_ms: Option<u64>,
    },
    /// The proxy was without contact to the control plane for so long that its callers should use another proxy, or has
    /// regained contact.
    Stranded {
        /// Whether callers are sent to other proxies.
        stranded: bool,
        /// Time since sending the heartbeat that last renewed the lease; absent before the first renewal.
        unheard_ms: Option<u64>,
    },
    /// The epoch that this process applies to a group.
    Epoch {
        /// The group.
        group: &'a id::Group,
        /// The epoch's term.
        term: id::Term,
        /// Whether requests may be served under the epoch, or a new primary is being chosen.
        phase: Phase,
        /// The primary.
        primary: &'a id::Instance,
    },
    /// An instance failed or recovered.
    Instance {
        /// The instance.
        instance: &'a id::Instance,
        /// Its group.
        group: &'a id::Group,
        /// Health of the instance.
        trouble: Health,
        /// Time since its last answer.
        silent_ms: u64,
        /// Why the instance failed.
        reason: Option<String>,
    },
    /// A configuration came into force in this process.
    Configuration {
        /// Its revision.
        revision: id::Revision,
        /// Number of databases in it.
        databases: usize,
        /// Number of accounts in it.
        accounts: usize,
        /// Whether callers need the key of an account.
        require_account: bool,
    },
    /// A session was rejected when it opened, or ended, because its key has no account.
    Session {
        /// The database.
        database: &'a str,
        /// Whether the session was open already.
        was_open: bool,
        /// Why the key has no account.
        reason: String,
    },
    /// The control plane decided on a change of a group's epoch.
    Decision {
        /// The group.
        group: &'a id::Group,
        /// The decision.
        decision: &'static str,
        /// The term that is frozen, claimed or put in force.
        term: id::Term,
        /// The instance that the term is for.
        instance: Option<&'a id::Instance>,
        /// Where the term's history begins.
        start: Option<id::Position>,
    },
    /// A decision for a group was refused when it was applied.
    RefusedDecision {
        /// The group.
        group: &'a id::Group,
        /// The decision.
        decision: &'static str,
        /// The term that was to be frozen, claimed or put in force.
        term: id::Term,
        /// Why.
        reason: &'a str,
    },
    /// An instance was chosen for a frozen group, or none has been chosen for a while.
    Choice {
        /// The group.
        group: &'a id::Group,
        /// The decision: `claim`, `thaw` or `none`.
        decision: &'static str,
        /// The instance that was chosen.
        instance: Option<&'a id::Instance>,
        /// The term that was reserved.
        term: Option<id::Term>,
        /// The term of the frozen epoch.
        epoch: id::Term,
        /// Time since the fence held; absent before that.
        fenced_ms: Option<u64>,
        /// The statuses that the group's instances gave.
        readings: Vec<Reading<'a>>,
        /// The known instances that gave no status that still counts.
        unanswered: &'a [id::Instance],
    },
    /// An external service was called to promote an instance, or answered.
    Promotion {
        /// The group.
        group: &'a id::Group,
        /// The instance.
        instance: &'a id::Instance,
        /// The fencing token.
        token: id::Term,
        /// The service's answer, or why there is none; absent when the call is sent.
        answer: Option<String>,
        /// Time since the call was sent; absent when it is.
        elapsed_ms: Option<u64>,
        /// Time since sending the message in response to which a majority last confirmed this process as the leader in
        /// the token's term; absent if it no longer leads in that term.
        confirmed_ago_ms: Option<u64>,
    },
    /// An external service has promoted an instance without an order in force, maybe on one that control had given up.
    UnorderedPromotion {
        /// The group.
        group: &'a id::Group,
        /// The instance that was promoted.
        instance: &'a id::Instance,
        /// The term that it leads.
        term: id::Term,
        /// The term of the group's epoch.
        epoch: id::Term,
        /// The primary of the group's epoch.
        primary: &'a id::Instance,
    },
    /// The best instance of a frozen group may lack writes that proxies saw acknowledged by the primary, or that an
    /// instance took along when it left.
    MissingWrites {
        /// The group.
        group: &'a id::Group,
        /// The instance.
        instance: &'a id::Instance,
        /// The term of the group's epoch.
        term: id::Term,
        /// The position up to which the instance holds the history of that term.
        held: id::Position,
        /// The highest position that proxies read from the primary; absent if none is known.
        acknowledged: Option<id::Position>,
        /// Whether the instance takes over nonetheless; otherwise one that may hold more is waited for.
        is_accepted: bool,
    },
    /// A process that became the leader found a term reserved by an earlier leader, whose order to promote the instance
    /// may still be open.
    Inherited {
        /// The group.
        group: &'a id::Group,
        /// The instance.
        instance: &'a id::Instance,
        /// The reserved term.
        term: id::Term,
    },
    /// A connection to another control process was replaced.
    Link {
        /// The other process.
        target: &'a id::Node,
        /// Its address.
        address: SocketAddr,
        /// Why.
        #[serde(serialize_with = "as_text")]
        reason: Replacement,
        /// Time since anything arrived on the connection, or since it was opened.
        evidence_ms: u64,
    },
    /// This process became the leader of the control plane, or is no longer the leader.
    Leader {
        /// Whether this process is the leader.
        leads: bool,
        /// The term of the control log.
        term: id::Term,
    },
}

/// How a request ended, and the state that led to it.
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
    /// The outcome as reported to the caller.
    pub outcome: &'a str,
    /// Why the request was not served or was logged.
    pub reason: &'a str,
    /// The retry delay given to the caller.
    pub retry_after_ms: Option<u64>,
    /// Time from the arrival of the request to its end.
    pub elapsed_ms: u64,
    /// Time spent waiting for an instance with capacity; the rest of `elapsed_ms` is connecting and the instances' own
    /// time.
    pub waited_ms: u64,
    /// Number of instances that the request was tried on.
    pub tries: u32,
    /// The last instance that the request was tried on.
    pub instance: Option<&'a id::Instance>,
    /// What the request required: the primary, an instance that has received a mark, the one of its read-only
    /// transaction, or a proxy that serves the group.
    pub need: &'static str,
    /// Time since the primary was observed at that mark.
    pub mark_age_ms: Option<u64>,
    /// The least age of a mark with which some replica gets a read, if that is learned.
    pub replica_lag_ms: Option<u64>,
    /// Remaining time of the proxy's lease; 0 if it had expired.
    pub lease_left_ms: u64,
    /// The group's term as this proxy knew it.
    pub term: Option<id::Term>,
    /// The phase of that term.
    pub phase: Option<Phase>,
    /// The revision of the configuration that the request was processed under.
    pub revision: id::Revision,
    /// Number of statements waiting in the group.
    pub waiting: usize,
    /// Number of connections to the group's instances in use.
    pub in_use: u32,
    /// Maximum number of connections to the group's instances.
    pub permits: u32,
}

/// A status of an instance from which a choice was made.
#[derive(Debug, Serialize)]
pub struct Reading<'a> {
    /// The instance.
    pub instance: &'a id::Instance,
    /// Its role.
    pub role: &'static str,
    /// Its term.
    pub term: id::Term,
    /// The position up to which it holds the log.
    pub received: id::Position,
    /// The term of the order that made it stop receiving.
    pub paused: Option<id::Term>,
    /// Whether this is the answer to that order.
    pub is_final: bool,
    /// Time since the instance answered; absent for a final status.
    pub age_ms: Option<u64>,
    /// Time since the connection was opened over which the status came; absent for a final status, which comes over a
    /// connection of its own.
    pub connected_ms: Option<u64>,
}

/// A message that could not be read. Its content is not logged.
#[derive(Debug, Serialize)]
pub struct Unreadable<'a> {
    /// Who sent it.
    #[serde(serialize_with = "as_text")]
    pub peer: Peer,
    /// The address of the sender; absent if the connection had ended already.
    pub address: Option<SocketAddr>,
    /// The instance, if one sent it.
    pub instance: Option<&'a id::Instance>,
    /// The group of the instance.
    pub group: Option<&'a id::Group>,
    /// Number of the connection among those that the process opened to instances, or accepted from callers.
    pub connection: u64,
    /// Time since the connection was opened.
    pub open_ms: u64,
    /// The kind of the command whose answer was awaited; absent for callers.
    pub command: Option<&'static str>,
    /// The kind of the error, as in the metrics.
    pub reason: &'static str,
    /// Where the message lies in the stream of the connection.
    #[serde(flatten)]
    pub place: Place,
}

/// Why a request is retried.
#[derive(Debug, Serialize)]
pub struct Retry<'a> {
    /// The caller's id of the request.
    pub request: &'a str,
    /// The group.
    pub group: &'a id::Group,
    /// The instance that the request was tried on.
    pub instance: &'a id::Instance,
    /// Why that attempt failed.
    pub reason: String,
    /// Time since the arrival of the request.
    pub elapsed_ms: u64,
}

impl Event<'_> {
    /// Logs the event. Events dropped by the rate limit of their kind are not formatted.
    pub fn log(&self, level: Level) {
        log::log!(target: self.target(), level, "{self}");
    }

    fn target(&self) -> &'static str {
        match self {
            Self::Request(_) => "event.request",
            Self::Retry(_) => "event.retry",
            Self::Forward { .. } => "event.forward",
            Self::Quota { .. } => "event.quota",
            Self::ConnectionLimit { .. } => "event.connection_limit",
            Self::OutOfStep { .. } => "event.out_of_step",
            // They have a rate of their own, so that callers can't suppress the lines about instances.
            Self::Unreadable(Unreadable { peer: Peer::Caller, .. }) => "event.unreadable.caller",
            Self::Unreadable(_) => "event.unreadable",
            Self::Share { .. } => "event.share",
            Self::Lease { .. } => "event.lease",
            Self::Stranded { .. } => "event.stranded",
            Self::Epoch { .. } => "event.epoch",
            Self::Instance { .. } => "event.instance",
            Self::Configuration { .. } => "event.configuration",
            Self::Session { .. } => "event.session",
            Self::Decision { .. } => "event.decision",
            Self::RefusedDecision { .. } => "event.refused_decision",
            Self::Choice { .. } => "event.choice",
            Self::Promotion { .. } => "event.promotion",
            Self::UnorderedPromotion { .. } => "event.unordered_promotion",
            Self::MissingWrites { .. } => "event.missing_writes",
            Self::Inherited { .. } => "event.inherited",
            Self::Link { .. } => "event.link",
            Self::Leader { .. } => "event.leader",
        }
    }
}

fn as_text<S: Serializer>(value: &impl fmt::Display, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// Returns a duration in milliseconds, the unit of log fields, saturating.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the event kind of a log target, or `None` for a plain line.
pub fn kind_of_target(target: &str) -> Option<&str> {
    target.strip_prefix(TARGET_PREFIX)
}

/// Writes the event as a JSON object.
impl fmt::Display for Event<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let json = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&json)
    }
}
