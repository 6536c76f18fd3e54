//! The replicated state, built by applying the commands of the log. All decisions are based on it.

mod apply;
mod effect;
mod plan;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::raft::Start;
use crate::{id, wire};

/// The result of all commands applied so far. Voters that applied the same entries hold equal states.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct State {
    /// The revision of the configuration in force.
    pub revision: id::Revision,
    /// The declarations in force, in TOML.
    pub text: String,
    /// The digest of the declarations. Distinguishes equal revision numbers with different content.
    pub digest: String,
    /// The operator who put this revision in force.
    pub changed_by: Option<id::Operator>,
    /// The epoch of each group.
    pub epochs: BTreeMap<id::Group, wire::Epoch>,
    /// The newest term of each group that was reserved for an instance, which may have been ordered to adopt it.
    pub claims: BTreeMap<id::Group, Claim>,
    /// The proxies that may hold a lease.
    pub nodes: BTreeMap<id::Node, (id::Incarnation, id::Domain)>,
    /// The instances being drained.
    pub draining: BTreeSet<id::Instance>,
    /// The plans that await confirmation.
    pub plans: BTreeMap<id::Plan, Plan>,
    /// The first outcome of each recent operator command.
    pub outcomes: BTreeMap<id::Command, Outcome>,
    /// The ids of the commands in `outcomes`, oldest first.
    pub order: VecDeque<id::Command>,
    /// The total size of `outcomes`.
    pub outcome_bytes: usize,
    /// The confirmed peaks that had not ended at the last confirmation of a plan.
    pub peaks: Vec<wire::Peak>,
    /// The audit records of confirmed plans, oldest first. The oldest are dropped.
    pub records: VecDeque<Record>,
    /// The confirmed membership changes that are not completed.
    pub wanted: VecDeque<Membership>,
    /// The instances that announce themselves to control.
    pub enlisted: BTreeMap<id::Instance, wire::Announcement>,
    /// The newest declarations that came without a plan.
    pub declared: Option<Declaration>,
}

/// Declarations that need no confirmation, with a number chosen by the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declaration {
    /// The operator's number.
    pub edition: id::Edition,
    /// The declarations, in TOML.
    pub text: String,
    /// The original text sent by the operator, to be returned unchanged.
    pub source: String,
}

/// A term reserved for the promotion of one instance. No term is reserved for two instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The term.
    pub term: id::Term,
    /// The instance.
    pub primary: id::Instance,
}

/// A plan that awaits confirmation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The revision that the plan is based on.
    pub base: id::Revision,
    /// The requested change.
    pub intent: Intent,
    /// When the plan expires, in milliseconds since 1970.
    pub expires_ms: u64,
    /// A description of the changes, for operators.
    pub effects: Vec<String>,
}

/// The audit record of a confirmed plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The plan that was confirmed.
    pub plan: id::Plan,
    /// The operator who confirmed it.
    pub operator: Option<id::Operator>,
    /// The name of the change.
    pub what: String,
    /// The revision after the change.
    pub revision: id::Revision,
    /// The digest of the declarations after the change.
    pub digest: String,
    /// The leader's wall-clock time at the confirmation, in milliseconds since 1970.
    pub at_ms: u64,
}

/// A command in the log. A command whose id was applied before returns its first outcome.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The sender and the command's id; `None` for a command of the leader itself.
    pub origin: Option<Origin>,
    /// The action to carry out.
    pub action: Action,
}

/// The sender of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The command's id, chosen by the sender and reused when the command is resent.
    pub command: id::Command,
    /// The operator.
    pub operator: id::Operator,
}

/// The action of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// The first entry of a leader's term; changes nothing.
    Noop,
    /// Keep a plan until it is confirmed or expires.
    Plan {
        /// The plan's id.
        plan: id::Plan,
        /// The revision that the plan is based on; the plan is refused on any other.
        base: id::Revision,
        /// The requested change.
        intent: Intent,
        /// The leader's wall-clock time when the plan was made, in milliseconds since 1970.
        made_ms: u64,
    },
    /// Carry out a plan.
    Confirm {
        /// The plan's id.
        plan: id::Plan,
        /// The leader's wall-clock time, in milliseconds since 1970.
        now_ms: u64,
    },
    /// Freeze a group's epoch, so that no more answers of it are released.
    Freeze {
        /// The group.
        group: id::Group,
        /// The term to freeze; the command is refused if another term is in force.
        term: id::Term,
    },
    /// Put a new epoch in force, including the first one of a group.
    Promote {
        /// The group.
        group: id::Group,
        /// The new term.
        term: id::Term,
        /// The primary.
        primary: id::Instance,
        /// The position at which the new term's history begins.
        start: id::Position,
    },
    /// Register a proxy, which may hold leases from then on.
    Register {
        /// The proxy.
        node: id::Node,
        /// The proxy's incarnation; older ones are refused from then on.
        incarnation: id::Incarnation,
        /// The proxy's failure domain.
        domain: id::Domain,
    },
    /// Unregister a proxy that is gone permanently. Proposed only after its lease has expired.
    Forget {
        /// The proxy.
        node: id::Node,
    },
    /// Change the members by one.
    Member(Membership),
    /// Put declarations in force that need no confirmation, unless their number is not higher than the current one.
    Declare(Declaration),
    /// Record that an instance joined, is about to leave, or left.
    Announce(wire::Announcement),
    /// Put a frozen epoch in force again with the same term. Refused if a newer term was reserved for another instance, since
    /// that may have been promoted already.
    Thaw {
        /// The group.
        group: id::Group,
        /// The term.
        term: id::Term,
    },
    /// Put the epoch of an instance in force that an outside service has promoted. The instance has a term reserved,
    /// but the new epoch has the term that the instance adopted.
    Adopt {
        /// The group.
        group: id::Group,
        /// The term that the instance adopted.
        term: id::Term,
        /// The primary.
        primary: id::Instance,
        /// The position at which the new term's history begins.
        start: id::Position,
    },
    /// Reserve a term of a frozen group for one instance, before the instance is ordered to adopt it.
    Claim {
        /// The group.
        group: id::Group,
        /// The term; the command is refused unless the term is newer than any in force or reserved.
        term: id::Term,
        /// The instance.
        primary: id::Instance,
    },
}

/// A membership change of the control cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Membership {
    /// Add a new voter, or one with a new disk, as a learner, which receives the log but doesn't vote.
    Learn(Voter),
    /// Make a learner that has caught up a voter.
    Admit(id::Node),
    /// Remove a voter, or a learner if there is no such voter. The last voter is not removed.
    Remove(id::Node),
    /// Register the restart of a control process with its disk, so that an older copy of the disk is refused.
    Started {
        /// The process.
        node: id::Node,
        /// The incarnation of its disk.
        incarnation: id::Incarnation,
        /// The newest start with this disk.
        start: Start,
    },
}

impl Action {
    /// Returns the name, the group and the term of a decision on a group's primary; `None` for other actions.
    pub fn decision(&self) -> Option<(&'static str, &id::Group, id::Term)> {
        match self {
            Self::Freeze { group, term } => Some(("freeze", group, *term)),
            Self::Thaw { group, term } => Some(("thaw", group, *term)),
            Self::Claim { group, term, .. } => Some(("claim", group, *term)),
            Self::Promote { group, term, .. } => Some(("promote", group, *term)),
            Self::Adopt { group, term, .. } => Some(("adopt", group, *term)),
            _ => None,
        }
    }
}

impl Command {
    /// Returns the encoded size of the command in bytes.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// A control process that is a voter or learner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// The name of the process.
    pub node: id::Node,
    /// The incarnation of its disk.
    pub incarnation: id::Incarnation,
    /// The address on which it receives frames, over both UDP and TCP.
    pub address: SocketAddr,
    /// The failure domain of the process.
    pub domain: id::Domain,
}

/// A change requested by an operator. It takes effect only when the plan made of it is confirmed.
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
    /// Return a drained instance to service.
    Undrain {
        /// The instance.
        instance: id::Instance,
    },
    /// Prepare a group for a peak.
    Peak {
        /// The group.
        group: id::Group,
        /// When the peak begins, in milliseconds since 1970.
        at_ms: u64,
        /// How long the peak lasts, in milliseconds.
        lasts_ms: u64,
    },
    /// Change the members of the control cluster.
    Member(Membership),
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The command was carried out.
    Done {
        /// The configuration revision in force afterwards.
        revision: id::Revision,
    },
    /// The plan is kept and awaits confirmation.
    Planned {
        /// The plan's id.
        plan: id::Plan,
        /// The revision that the plan is based on.
        base: id::Revision,
        /// When the plan expires, in milliseconds since 1970.
        expires_ms: u64,
        /// The changes that the plan would make, and the metrics at risk.
        effects: Vec<String>,
    },
    /// The command was refused and changed nothing.
    Refused {
        /// The reason, for the operator.
        reason: String,
    },
}
