//! Messages to upstreams.

use super::{Id, Template, Text};
use crate::id;
use crate::proxy::floor::Mark;

/// One message to an upstream. Messages without an id originate in this process and not from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command<'a> {
    /// Opens a connection to exactly this instance.
    Open {
        /// The group of the instance.
        group: &'a id::Group,
        /// The instance.
        instance: &'a id::Instance,
        /// The account whose statements run on the connection, if the deployment has accounts.
        account: Option<&'a id::Account>,
    },
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is declared read-only.
        read_only: bool,
        /// The mark that the instance must have received; otherwise it refuses.
        after: Option<Mark>,
    },
    /// Runs a caller's statement.
    Data {
        /// The caller's id of the statement.
        id: &'a Id,
        /// The mark that the instance must have received; otherwise it refuses.
        after: Option<Mark>,
        /// The text of the statement.
        text: &'a Text,
    },
    /// Runs a statement that was prepared on this connection.
    Execute {
        /// The caller's id of the statement.
        id: &'a Id,
        /// The mark that the instance must have received; otherwise it refuses.
        after: Option<Mark>,
        /// The name of the prepared statement on this connection.
        name: &'a str,
        /// The arguments, unparsed. Without any nothing follows the name; a blank follows it before empty ones.
        arguments: Option<&'a Text>,
    },
    /// Commits a caller's transaction.
    Commit {
        /// The caller's id of the statement.
        id: &'a Id,
    },
    /// Rolls back the transaction.
    Rollback,
    /// Sets a session variable.
    Set {
        /// The name of the variable.
        name: &'a Text,
        /// The value of the variable.
        value: &'a Text,
    },
    /// Prepares a statement.
    Prepare {
        /// The name of the prepared statement on this connection.
        name: &'a str,
        /// The statement to prepare.
        template: &'a Template,
    },
    /// Clears session variables and prepared statements. It takes none of the instance's slots, so it also serves as a
    /// ping.
    Reset,
    /// Asks for the instance's status.
    Status,
    /// Makes a replica stop receiving the log until it is resumed, promoted or restarted.
    Pause {
        /// A term above the current one.
        term: id::Term,
    },
    /// Makes a paused replica receive the log again.
    Resume,
    /// Makes a primary of a lower term become a replica.
    Demote {
        /// The current term.
        term: id::Term,
    },
    /// Closes the connection.
    Close,
}
