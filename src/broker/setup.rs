//! Session state on one connection: which session variables are set and which statements are prepared, and what has to
//! change before a session's statement may run on it.
//!
//! Connections are shared between sessions, so a statement runs only once the connection has exactly the variables of
//! its session. Prepared statements get names that are local to the connection, so that sessions share equal ones.

use std::collections::BTreeMap;

use crate::statement::{MAX_LINE_BYTES, Template, Text};

/// The maximum number of statements prepared on one connection. When it is reached, the connection is reset.
pub const MAX_PREPARED: usize = 128;

/// The length in bytes of the texts of all statements prepared on one connection at which it is reset.
pub const MAX_PREPARED_BYTES: usize = 4 * MAX_LINE_BYTES;

/// The session variables and prepared statements of a connection.
#[derive(Debug, Default)]
pub struct Setup {
    values: BTreeMap<Text, Text>,
    prepared: BTreeMap<Template, String>,
    /// The length of the texts of `prepared`.
    prepared_bytes: usize,
    last_number: u64,
}

/// A change to make before the statement runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Clears session variables and prepared statements.
    Reset,
    /// Sets a session variable.
    Set {
        /// The name of the variable.
        name: Text,
        /// The value of the variable.
        value: Text,
    },
    /// Prepares a statement under a name that is local to the connection.
    Prepare {
        /// The name of the prepared statement.
        name: String,
        /// The statement to prepare.
        template: Template,
    },
}

impl Setup {
    /// Returns whether the connection has exactly these session variables.
    pub fn has_values(&self, values: &BTreeMap<Text, Text>) -> bool {
        self.values == *values
    }

    /// Returns the changes to send before a statement of a session with `values` may run. Inside a transaction
    /// `may_reset` is false: variables are then added and changed, never cleared.
    pub fn changes(
        &self,
        values: &BTreeMap<Text, Text>,
        template: Option<&Template>,
        may_reset: bool,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let stale = self.values.keys().any(|name| !values.contains_key(name));
        let new = template.filter(|template| !self.prepared.contains_key(template));
        let bytes = self.prepared_bytes + template.map_or(0, |template| template.text.len());
        let has_room = self.prepared.len() < MAX_PREPARED && bytes <= MAX_PREPARED_BYTES;
        let resets = may_reset && (stale || new.is_some() && !has_room);
        if resets {
            changes.push(Change::Reset);
        }
        let kept = |name: &Text| self.values.get(name).filter(|_| !resets);
        for (name, value) in values.iter().filter(|(name, value)| kept(name) != Some(value)) {
            changes.push(Change::Set { name: name.clone(), value: value.clone() });
        }
        if let Some(template) = if resets { template } else { new } {
            let name = format!("c{}", self.last_number + 1);
            changes.push(Change::Prepare { name, template: template.clone() });
        }
        changes
    }

    /// Records changes as applied.
    pub fn record(&mut self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Reset => self.clear(),
                Change::Set { name, value } => {
                    self.values.insert(name.clone(), value.clone());
                }
                Change::Prepare { name, template } => {
                    self.last_number += 1;
                    self.prepared_bytes += template.text.len();
                    self.prepared.insert(template.clone(), name.clone());
                }
            }
        }
    }

    /// Returns the connection's name for a prepared statement.
    pub fn prepared_name(&self, template: &Template) -> Option<&str> {
        self.prepared.get(template).map(String::as_str)
    }

    /// Records that the connection was reset.
    pub fn clear(&mut self) {
        self.values.clear();
        self.prepared.clear();
        self.prepared_bytes = 0;
    }
}
