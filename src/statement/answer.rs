//! What upstreams answer, and what callers are told.

use std::fmt;

use crate::proxy::floor::Mark;

/// One part of an answer. An answer is any number of rows, then the end or an error, then [`Answer::Ready`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A row.
    Row(String),
    /// The statement ended well; the text proves which upstream ran it.
    Done(String),
    /// The statement failed.
    Failed {
        /// Why.
        code: Code,
        /// More, for people.
        text: String,
    },
    /// The connection takes the next statement.
    Ready {
        /// Where the connection's transaction stands.
        state: State,
        /// Where the upstream's log stands.
        position: Option<Mark>,
    },
}

/// Where a connection's transaction stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// There is none.
    Idle,
    /// One is open.
    Open,
    /// One is open and failed; ending it rolls it back.
    Failed,
}

/// Why a statement failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Code {
    /// There is no room now. Nothing of the attempt is kept.
    Busy,
    /// The transaction was given up. Nothing of the attempt is kept.
    Aborted,
    /// The upstream has not received the position that was asked for.
    Lagging,
    /// The upstream takes no writes.
    ReadOnly,
    /// The upstream is another one than the one that was meant.
    Misrouted,
    /// The upstream has no connection left.
    TooManyConnections,
    /// Whether the statement took effect is not known.
    Unknown,
    /// The statement took too long.
    Timeout,
    /// The statement ran and failed.
    Failed,
    /// There is no such database.
    NoDatabase,
    /// There is no such prepared statement.
    NoStatement,
    /// The message can't be read, or is not allowed now.
    Malformed,
    /// A code that this release doesn't know.
    Other(String),
}

impl Code {
    /// Tells whether the upstream that answered this ran nothing.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Busy
            | Self::Aborted
            | Self::Lagging
            | Self::ReadOnly
            | Self::Misrouted
            | Self::TooManyConnections
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
        f.write_str(match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::Misrouted => "misrouted",
            Self::TooManyConnections => "too_many_connections",
            Self::Unknown => "unknown",
            Self::Timeout => "timeout",
            Self::Failed => "failed",
            Self::NoDatabase => "no_database",
            Self::NoStatement => "no_statement",
            Self::Malformed => "malformed",
            Self::Other(code) => code,
        })
    }
}
