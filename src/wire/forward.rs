//! Statements that a proxy forwards to a proxy that serves their group, and the answers to them. See `docs/PLATFORM.md`,
//! "Forwarding".

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::broker::session::Operation;
use crate::config::KeyDigest;
use crate::id;
use crate::proxy::floor::Mark;
use crate::statement::{Access, Answer, Id, Text};

/// A statement of a session. The forwarding proxy keeps the session; the serving proxy keeps no state of it, except for
/// the connection of an open transaction, which belongs to the stream that the statement arrives on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// The caller's id of the statement.
    pub request: Id,
    /// The name of the database.
    pub database: String,
    /// Who asks, if the deployment has accounts.
    pub identity: Option<Identity>,
    /// The revision of the declarations by which the forwarding proxy judged the session's key.
    pub revision: id::Revision,
    /// The session variables that must be set while the statement runs.
    pub values: BTreeMap<Text, Text>,
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

/// The account of a session and what it was judged by, so that a proxy with newer declarations can judge it again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The account.
    pub account: id::Account,
    /// The digest of the caller's key, by which it is judged again. Without one it counts as unknown.
    pub key: Option<KeyDigest>,
    /// The revision of the declarations by which the key was judged.
    pub revision: id::Revision,
}

/// How long statements wait at a serving proxy, as told with its answers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Increases with each load that an incarnation of the proxy tells.
    pub sequence: id::Sequence,
    /// The estimated wait of a new statement of each priority that the proxy runs, in milliseconds. Empty from a proxy
    /// that doesn't publish its load.
    pub waits_ms: Vec<(u8, u32)>,
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
        /// The load of the serving proxy for the group.
        load: Load,
    },
}
