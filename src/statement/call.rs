//! What callers ask.

use std::fmt;
use std::sync::Arc;

/// The id that a caller gives a statement; it is passed on unchanged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(Arc<str>);

impl Id {
    /// Takes a text as an id.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Opens the session on a database.
    Open {
        /// The name of the database.
        database: String,
    },
    /// Asks for a statement.
    Query {
        /// The statement's id.
        id: Id,
        /// The statement.
        statement: Statement,
    },
    /// Ends the session.
    Close,
}

/// What a statement does to data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Access {
    /// It reads.
    Read,
    /// It writes.
    Write,
}

/// The text that was prepared under a name, and what it does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Template {
    /// What it does.
    pub access: Access,
    /// The text.
    pub text: Arc<str>,
}

/// A statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether it will not write.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes; the text goes to the upstream as it is.
    Data {
        /// What it does.
        access: Access,
        /// The text.
        text: String,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name of it.
        name: String,
        /// The arguments, as they are.
        arguments: String,
    },
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The name.
        name: String,
        /// What is prepared.
        template: Template,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The name.
        name: String,
    },
    /// None of these.
    Unknown,
}
