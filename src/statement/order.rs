//! What the system asks of an upstream.

use super::{Id, Template};
use crate::id;
use crate::proxy::floor::Mark;

/// One message to an upstream. Those without an id are the system's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order<'a> {
    /// Opens a connection to exactly this instance.
    Open {
        /// Its group.
        group: &'a id::Group,
        /// The instance.
        instance: &'a id::Instance,
    },
    /// Begins a transaction.
    Begin {
        /// Whether it will not write.
        read_only: bool,
        /// What the instance must have received, or it refuses.
        after: Option<Mark>,
    },
    /// Passes a caller's statement on.
    Data {
        /// The caller's id.
        id: &'a Id,
        /// What the instance must have received, or it refuses.
        after: Option<Mark>,
        /// The text.
        text: &'a str,
    },
    /// Runs what was prepared under a name of this connection.
    Execute {
        /// The caller's id.
        id: &'a Id,
        /// What the instance must have received, or it refuses.
        after: Option<Mark>,
        /// The name.
        name: &'a str,
        /// The arguments.
        arguments: &'a str,
    },
    /// Commits a caller's transaction.
    Commit {
        /// The caller's id.
        id: &'a Id,
    },
    /// Rolls back.
    Rollback,
    /// Sets a value.
    Set {
        /// Its name.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// The name.
        name: &'a str,
        /// The statement.
        template: &'a Template,
    },
    /// Clears values and prepared statements. It takes none of the instance's slots, so it serves as a ping.
    Reset,
    /// Asks for the instance's status.
    Status,
    /// Has a replica stop receiving until it is resumed, a promotion, or its restart.
    Pause {
        /// A term above the present one.
        term: id::Term,
    },
    /// Has a paused replica receive again.
    Resume,
    /// Has a primary of a lower term become a replica.
    Demote {
        /// The present term.
        term: id::Term,
    },
    /// Ends the connection.
    Close,
}
