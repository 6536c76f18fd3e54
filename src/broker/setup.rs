//! What is set and prepared on one connection, and what must be sent before a session's statement may run on it.
//!
//! Connections go from session to session, so a statement runs only once the connection has exactly the session's
//! values. Prepared statements are named by the connection, so that equal ones of many sessions are prepared once.

use std::collections::BTreeMap;

use crate::statement::Template;

/// The most statements prepared on one connection; then all are cleared.
pub const MAX_PREPARED: usize = 128;

/// What is set and prepared on a connection.
#[derive(Debug, Default)]
pub struct Setup {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<Template, String>,
    last_number: u64,
}

/// Something to send before the statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Clear values and prepared statements.
    Reset,
    /// Set a value.
    Set {
        /// Its name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepare a statement under the connection's name of it.
    Prepare {
        /// The name.
        name: String,
        /// The statement.
        template: Template,
    },
}

impl Setup {
    /// Tells whether the connection has exactly these values.
    pub fn has_values(&self, values: &BTreeMap<String, String>) -> bool {
        self.values == *values
    }

    /// Returns what to send so that a statement of a session with `values` may run, and takes it for done. Inside a
    /// transaction `may_reset` is false: what the transaction's session set is only added to.
    pub fn update(
        &mut self,
        values: &BTreeMap<String, String>,
        template: Option<&Template>,
        may_reset: bool,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let stale = self.values.keys().any(|name| !values.contains_key(name));
        let new = template.is_some_and(|template| !self.prepared.contains_key(template));
        let full = new && self.prepared.len() >= MAX_PREPARED;
        if may_reset && (stale || full) {
            self.clear();
            changes.push(Change::Reset);
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.values.insert(name.clone(), value.clone());
                changes.push(Change::Set { name: name.clone(), value: value.clone() });
            }
        }
        if let Some(template) = template
            && !self.prepared.contains_key(template)
        {
            self.last_number += 1;
            let name = format!("c{}", self.last_number);
            self.prepared.insert(template.clone(), name.clone());
            changes.push(Change::Prepare { name, template: template.clone() });
        }
        changes
    }

    /// Returns the connection's name of a prepared statement.
    pub fn prepared_name(&self, template: &Template) -> Option<&str> {
        self.prepared.get(template).map(String::as_str)
    }

    /// Notes that the connection was cleared.
    pub fn clear(&mut self) {
        self.values.clear();
        self.prepared.clear();
    }
}
