//! Messages from callers.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Text;

/// The id that a caller gives a statement. It is passed on unchanged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(Text);

impl Id {
    /// Creates an id from its text.
    pub fn new(text: impl Into<Text>) -> Self {
        Self(text.into())
    }

    /// Returns the bytes of the id.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One message from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Opens a session on a database.
    Open {
        /// The name of the database.
        database: Text,
        /// What the caller names as its key; empty if it names none.
        key: Text,
    },
    /// Runs a statement.
    Query {
        /// The statement's id.
        id: Id,
        /// The statement.
        statement: Statement,
    },
    /// Closes the session.
    Close,
}

/// Whether a statement reads or writes data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Access {
    /// Reads only.
    Read,
    /// Writes.
    Write,
}

/// The text of a prepared statement and its kind of access.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Template {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// The text of the statement.
    pub text: Text,
}

/// A statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes data. The text is passed to the upstream unchanged.
    Data {
        /// Whether the statement reads or writes.
        access: Access,
        /// The text of the statement.
        text: Text,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name of the prepared statement.
        name: Text,
        /// The arguments, unparsed; `None` if nothing follows the name, which differs from empty arguments.
        arguments: Option<Text>,
    },
    /// Sets a session variable.
    Set {
        /// The name of the variable.
        name: Text,
        /// The value of the variable.
        value: Text,
    },
    /// Prepares a statement under a name that is local to the session.
    Prepare {
        /// The name of the prepared statement.
        name: Text,
        /// The statement to prepare.
        template: Template,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// The name of the prepared statement.
        name: Text,
    },
    /// A statement of an unknown kind.
    Unknown,
}
