//! Statements that a proxy forwards to a proxy that serves their group, and the answers to them. See `docs/PLATFORM.md`,
//! "Forwarding".

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::broker::session::Operation;
use crate::proxy::floor::Mark;
use crate::statement::{Access, Answer, Id};

/// A statement of a session. The forwarding proxy keeps the session; the serving proxy keeps no state of it, except for
/// the connection of an open transaction, which belongs to the stream that the statement arrives on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// The caller's id of the statement.
    pub request: Id,
    /// The name of the database.
    pub database: String,
    /// The session variables that must be set while the statement runs.
    pub values: BTreeMap<String, String>,
    /// The position of the primary after the session's last write.
    pub last_write: Option<LastWrite>,
    /// What to run.
    pub step: Step,
    /// Whether the statement belongs to the transaction that is open on this stream. If that transaction is gone, the
    /// statement must not begin another one.
    pub continues: bool,
    /// Whether the forwarding proxy has no contact with the control plane. A serving proxy without contact runs only
    /// statements of such proxies, since others can reach a better one.
    pub is_stranded: bool,
}

/// The position of a primary after a session's last write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastWrite {
    /// The position.
    pub mark: Mark,
    /// The time since the write was acknowledged, in milliseconds.
    pub age_ms: u32,
}

/// What a forwarded statement does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// Runs a statement outside of a transaction.
    Single(Operation),
    /// Runs a statement in a transaction, and begins the transaction with its first statement.
    InTransaction {
        /// The statement.
        operation: Operation,
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit {
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// Rolls the transaction back.
    Rollback,
}

impl Step {
    /// Returns whether the statement itself writes. A commit only keeps what earlier statements wrote.
    pub fn writes(&self) -> bool {
        match self {
            Self::Single(operation) | Self::InTransaction { operation, .. } => {
                operation.access == Access::Write
            }
            Self::Commit { .. } | Self::Rollback => false,
        }
    }
}

/// The answer to [`Forward`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Forwarded {
    /// The receiver doesn't serve the group or is shutting down. Nothing ran.
    NotServing,
    /// The statement was handled.
    Handled {
        /// The answer for the caller.
        reply: Vec<Answer>,
        /// Whether a transaction is open on the stream.
        is_open: bool,
        /// The position of the primary after a write that this statement completed.
        written: Option<Mark>,
    },
}
