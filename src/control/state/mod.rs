//! The replicated state: what the log's commands make of it. It is the one source of decisions.

mod apply;
mod effect;
mod plan;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::raft::Start;
use crate::{id, wire};

/// All that the log's commands have made so far. Two voters that applied the same entries hold equal states.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct State {
    /// The revision of the configuration in force.
    pub revision: id::Revision,
    /// The declarations in force, in TOML.
    pub text: String,
    /// The digest of the declarations: equal revisions with other content differ in it.
    pub digest: String,
    /// Who put this revision in force.
    pub changed_by: Option<id::Operator>,
    /// The epoch of each group.
    pub epochs: BTreeMap<id::Group, wire::Epoch>,
    /// The newest term of each group that an instance was or may have been ordered to take.
    pub claims: BTreeMap<id::Group, Claim>,
    /// The proxies that may hold a lease.
    pub nodes: BTreeMap<id::Node, (id::Incarnation, id::Domain)>,
    /// The instances that are leaving.
    pub draining: BTreeSet<id::Instance>,
    /// The plans that wait for their confirmation.
    pub plans: BTreeMap<id::Plan, Planned>,
    /// The first outcomes of operators' commands, and the order in which they came.
    pub outcomes: BTreeMap<id::Command, Outcome>,
    /// The commands of `outcomes`, oldest first.
    pub order: VecDeque<id::Command>,
    /// The bytes that the kept outcomes have.
    pub outcome_bytes: usize,
    /// The peaks that were confirmed and were not over at the last confirmation.
    pub peaks: Vec<wire::Peak>,
    /// Who did what, oldest first; the oldest are dropped.
    pub records: VecDeque<Record>,
    /// The changes of the voters that were confirmed and are not finished.
    pub wanted: VecDeque<Membership>,
    /// The instances that announce themselves to control.
    pub enlisted: BTreeMap<id::Instance, wire::Announcement>,
    /// What was declared without a plan, when that is what is in force.
    pub declared: Option<Declared>,
}

/// Declarations that come as confirmed, with their operator's own number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declared {
    /// The operator's number.
    pub edition: id::Edition,
    /// The declarations, in TOML.
    pub text: String,
    /// What the operator sent, to be shown again as it was.
    pub source: String,
}

/// A term that one instance alone may be promoted to; the log gives no term to two instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The term.
    pub term: id::Term,
    /// The instance.
    pub primary: id::Instance,
}

/// A plan that waits for its confirmation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Planned {
    /// The revision that it stands on.
    pub base: id::Revision,
    /// What it would do.
    pub intent: Intent,
    /// When it runs out, in milliseconds since 1970.
    pub expires_ms: u64,
    /// What it would change, in words.
    pub effects: Vec<String>,
}

/// Something that an operator did.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The plan that was confirmed.
    pub plan: id::Plan,
    /// Who confirmed it.
    pub operator: Option<id::Operator>,
    /// What it did.
    pub what: String,
    /// The revision since.
    pub revision: id::Revision,
    /// The digest of the declarations since.
    pub digest: String,
    /// The leader's wall-clock time then, in milliseconds since 1970.
    pub at_ms: u64,
}

/// A command in the log. A command with an id that was applied before gets its first outcome again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Who sent it, and its id; `None` for a command of the leader itself.
    pub origin: Option<Origin>,
    /// What it orders.
    pub action: Action,
}

/// Who ordered a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The command's id, chosen by the sender and kept over resends.
    pub command: id::Command,
    /// The operator.
    pub operator: id::Operator,
}

/// What a command orders.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// The first entry of a leader's term; it orders nothing.
    Noop,
    /// Keep a plan until it is confirmed or runs out.
    Plan {
        /// The plan's id.
        plan: id::Plan,
        /// The revision the plan was made against; it is void on any other.
        base: id::Revision,
        /// What the plan would do.
        intent: Intent,
        /// The leader's wall-clock time when the plan was made, in milliseconds since 1970.
        made_ms: u64,
    },
    /// Carry a plan out.
    Confirm {
        /// The plan's id.
        plan: id::Plan,
        /// The leader's wall-clock time, in milliseconds since 1970.
        now_ms: u64,
    },
    /// Stop releasing the answers of a group's epoch.
    Freeze {
        /// The group.
        group: id::Group,
        /// The term that is frozen; the command is void when another is in force.
        term: id::Term,
    },
    /// Put a new epoch in force (also the first one of a group).
    Promote {
        /// The group.
        group: id::Group,
        /// The new term.
        term: id::Term,
        /// The primary.
        primary: id::Instance,
        /// Where the new term's history begins.
        start: id::Position,
    },
    /// A proxy may hold leases from now on.
    Register {
        /// The proxy.
        node: id::Node,
        /// Its incarnation; an older one is refused from now on.
        incarnation: id::Incarnation,
        /// Its failure domain.
        domain: id::Domain,
    },
    /// A proxy is gone for good and may hold no lease; ordered after its lease ran out.
    Forget {
        /// The proxy.
        node: id::Node,
    },
    /// Change the voters by one.
    Member(Membership),
    /// Put declarations in force that come as confirmed, unless others with a number as high are.
    Declare(Declared),
    /// An instance came, is about to leave, or left.
    Announce(wire::Announcement),
    /// Put a frozen epoch in force again under its own term, unless a newer term was reserved: then another instance
    /// may have been promoted already.
    Thaw {
        /// The group.
        group: id::Group,
        /// The term.
        term: id::Term,
    },
    /// Put the epoch in force of an instance that has a term reserved and was promoted by an outside service, which
    /// chose the term.
    Adopt {
        /// The group.
        group: id::Group,
        /// The term that the instance took.
        term: id::Term,
        /// The primary.
        primary: id::Instance,
        /// Where the new term's history begins.
        start: id::Position,
    },
    /// Reserve a term of a frozen group for one instance, before it is ordered to take it.
    Claim {
        /// The group.
        group: id::Group,
        /// The term; the command is void unless it is newer than any other that was reserved.
        term: id::Term,
        /// The instance.
        primary: id::Instance,
    },
}

/// A change of the voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Membership {
    /// A new voter, or one with a new disk, learns the log and doesn't vote yet.
    Learn(Voter),
    /// A learner that has caught up votes from now on.
    Admit(id::Node),
    /// A voter leaves.
    Remove(id::Node),
    /// A control process was started again with its disk; a copy of its disk from before is refused.
    Started {
        /// The process.
        node: id::Node,
        /// Which disk it has.
        incarnation: id::Incarnation,
        /// Its newest start with this disk.
        start: Start,
    },
}

impl Command {
    /// Returns how many bytes the command has in the log.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// A control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// Its name.
    pub node: id::Node,
    /// The incarnation of its disk.
    pub incarnation: id::Incarnation,
    /// Where it takes frames, over UDP and TCP alike.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
}

/// What an operator wants; it becomes a plan first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Intent {
    /// Put these declarations (TOML) in force.
    Configure {
        /// The declarations.
        text: String,
    },
    /// Drain an instance.
    Drain {
        /// The instance.
        instance: id::Instance,
    },
    /// Take a drained instance back.
    Undrain {
        /// The instance.
        instance: id::Instance,
    },
    /// Prepare a group for a peak.
    Peak {
        /// The group.
        group: id::Group,
        /// When it begins, in milliseconds since 1970.
        at_ms: u64,
        /// How long it lasts, in milliseconds.
        lasts_ms: u64,
    },
    /// Change the voters.
    Member(Membership),
}

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It was carried out; this is the configuration revision since.
    Done {
        /// The configuration revision in force.
        revision: id::Revision,
    },
    /// The plan is kept and waits for its confirmation.
    Planned {
        /// The plan's id.
        plan: id::Plan,
        /// The revision the plan stands on.
        base: id::Revision,
        /// When the plan runs out, in milliseconds since 1970.
        expires_ms: u64,
        /// What it would change, and which figures are at risk.
        effects: Vec<String>,
    },
    /// It was refused, and nothing changed.
    Refused {
        /// Why, for the operator.
        reason: String,
    },
}
