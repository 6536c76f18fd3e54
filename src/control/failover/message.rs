//! What the failover state machine of a group is told, and what it asks its caller to do.

use std::collections::BTreeSet;

use super::choice::Choice;
use crate::clock::Instant;
use crate::config::Durability;
use crate::control::state::{Action, Claim};
use crate::id;
use crate::proxy::floor::Mark;
use crate::upstream::status::Status;
use crate::wire::{Epoch, Health};

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Input<'a> {
    /// The result of control's own probe of an instance.
    Probed {
        /// The instance.
        instance: id::Instance,
        /// When the status was requested. The answer shows a state at this time or later.
        requested_at: Instant,
        /// The instance's status, or why there is none.
        result: Result<Status, Health>,
    },
    /// The primary has stopped writes.
    Demoted {
        /// The instance.
        instance: id::Instance,
        /// Its final status.
        status: Status,
    },
    /// The primary refused to stop writes and continues.
    DemotionRefused {
        /// The instance.
        instance: id::Instance,
    },
    /// A proxy with a lease reported on an instance.
    Reported {
        /// The proxy.
        node: id::Node,
        /// The instance.
        instance: id::Instance,
        /// The health of the instance as seen by the proxy.
        health: Health,
    },
    /// The instance has stopped receiving and holds no more than the status shows.
    Paused {
        /// The instance.
        instance: id::Instance,
        /// Its status.
        status: Status,
    },
    /// A proxy with a lease read this position from the primary in force, before it released an answer at that position.
    Acknowledged {
        /// The position.
        mark: Mark,
    },
    /// The instance has restarted under its name, and holds nothing of before.
    Restarted {
        /// The instance.
        instance: id::Instance,
    },
    /// The outside service did not promote the instance because it isn't running.
    PromotionDeclined {
        /// The instance.
        instance: id::Instance,
    },
    /// The outside service accepted the order to promote the instance.
    PromotionAccepted {
        /// The instance.
        instance: id::Instance,
    },
    /// Time has passed.
    Tick(View<'a>),
}

/// The state of the control plane that decisions depend on, besides what instances and proxies report.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The group's epoch in force.
    pub epoch: Option<&'a Epoch>,
    /// The newest reserved term.
    pub claim: Option<&'a Claim>,
    /// Whether no proxy can release an answer under a table older than the epoch's phase.
    pub fenced: bool,
    /// The number of instances that the group is declared to have.
    pub declared_instances: usize,
    /// The instances that announce themselves.
    pub known_instances: &'a [id::Instance],
    /// When a write is acknowledged.
    pub durability: Durability,
    /// The proxies whose lease has not expired.
    pub live_proxies: &'a BTreeSet<id::Node>,
    /// The instances that are being drained.
    pub draining: &'a BTreeSet<id::Instance>,
}

/// An action that the state machine asks its caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Propose this action to the log.
    Submit(Action),
    /// Ask this instance for its status now.
    Probe {
        /// The instance.
        instance: id::Instance,
    },
    /// Make this instance primary of the term, then report its status.
    Promote {
        /// The instance.
        instance: id::Instance,
        /// The term.
        term: id::Term,
    },
    /// Make this replica stop receiving, then report its status.
    Pause {
        /// The instance.
        instance: id::Instance,
        /// A term above all that were reserved.
        term: id::Term,
    },
    /// Make this replica receive again.
    Resume {
        /// The instance.
        instance: id::Instance,
    },
    /// Make this primary stop writes, then report its status.
    Demote {
        /// The instance.
        instance: id::Instance,
        /// The term of which the instance is primary.
        term: id::Term,
    },
    /// Make this instance follow the primary.
    Follow {
        /// The instance.
        instance: id::Instance,
        /// The primary.
        primary: id::Instance,
        /// The primary's term.
        term: id::Term,
    },
    /// Count and log a promotion that no order in force asked for.
    ReportUnordered {
        /// The group.
        group: id::Group,
        /// The instance that was promoted.
        instance: id::Instance,
        /// The term that it leads.
        term: id::Term,
        /// The term of the epoch.
        epoch: id::Term,
        /// The primary of the epoch.
        primary: id::Instance,
    },
    /// Log what an instance was chosen from, or that none is chosen.
    ReportChoice(Choice),
    /// Log that an instance may lack acknowledged writes, and count it if the instance is put in force nonetheless.
    ReportMissing {
        /// The group.
        group: id::Group,
        /// The instance.
        instance: id::Instance,
        /// The term of the epoch that is to be replaced.
        term: id::Term,
        /// The position up to which the instance holds the epoch's history.
        held: id::Position,
        /// The highest position of that history that proxies read from its primary.
        acknowledged: Option<id::Position>,
        /// Whether the instance takes over; otherwise another one is waited for.
        is_accepted: bool,
    },
}
