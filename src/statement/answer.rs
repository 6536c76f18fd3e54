//! Answers of upstreams and to callers.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Text;
use crate::proxy::floor::Mark;

/// One part of an answer. An answer is zero or more rows, then [`Answer::Done`] or [`Answer::Failed`], then
/// [`Answer::Ready`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// A row.
    Row(Text),
    /// The statement succeeded. The text is the upstream's signature, which proves which upstream ran it.
    Done(Text),
    /// The statement failed.
    Failed {
        /// The reason.
        code: Code,
        /// Details for people.
        text: Text,
    },
    /// The connection accepts the next statement.
    Ready {
        /// The state of the connection's transaction.
        state: State,
        /// The position of the upstream's log.
        position: Option<Mark>,
    },
}

/// The state of a connection's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed. Ending it rolls it back.
    Failed,
}

/// The reason why a statement failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Code {
    /// No capacity right now. Nothing of the attempt is kept.
    Busy,
    /// The transaction was aborted. Nothing of the attempt is kept.
    Aborted,
    /// The upstream has not received the requested position.
    Lagging,
    /// The upstream accepts no writes.
    ReadOnly,
    /// The statement reached a different upstream than the one addressed.
    Misrouted,
    /// The upstream has no free connection.
    TooManyConnections,
    /// It is unknown whether the statement took effect.
    Unknown,
    /// The statement took too long.
    Timeout,
    /// The statement ran and failed.
    Failed,
    /// The caller's key is not known, or was withdrawn.
    NotAuthenticated,
    /// The database does not exist.
    NoDatabase,
    /// The prepared statement does not exist.
    NoStatement,
    /// The message can't be parsed, or is not allowed in this state.
    Malformed,
    /// A code unknown to this release.
    Other(Text),
}

impl Code {
    /// Returns whether an upstream that fails with this code ran nothing.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Busy
            | Self::Aborted
            | Self::Lagging
            | Self::ReadOnly
            | Self::Misrouted
            | Self::TooManyConnections
            | Self::NotAuthenticated
            | Self::NoStatement => true,
            Self::Unknown
            | Self::Timeout
            | Self::Failed
            | Self::NoDatabase
            | Self::Malformed
            | Self::Other(_) => false,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::Misrouted => "misrouted",
            Self::TooManyConnections => "too_many_connections",
            Self::NotAuthenticated => "not_authenticated",
            Self::Unknown => "unknown",
            Self::Timeout => "timeout",
            Self::Failed => "failed",
            Self::NoDatabase => "no_database",
            Self::NoStatement => "no_statement",
            Self::Malformed => "malformed",
            Self::Other(code) => return code.fmt(f),
        };
        f.write_str(name)
    }
}
