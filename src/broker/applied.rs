//! What is set and prepared on one connection, and what must be sent before a session's statement may run on it.
//!
//! Connections go from session to session, so a statement runs only once the connection has exactly the session's
//! values. Prepared statements are named by the connection, so that equal ones of many sessions are prepared once.

use std::collections::BTreeMap;

use crate::statement::Shape;

/// The most statements prepared on one connection; then all are cleared.
pub const MAX_PREPARED: usize = 128;

/// What is set and prepared on a connection.
#[derive(Debug, Default)]
pub struct Applied {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<Shape, String>,
    named: u64,
}

/// Something to send before the statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fix {
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
        shape: Shape,
    },
}

impl Applied {
    /// Tells whether the connection has exactly these values.
    pub fn matches(&self, values: &BTreeMap<String, String>) -> bool {
        self.values == *values
    }

    /// Returns what to send so that a statement of a session with `values` may run, and takes it for done. Inside a
    /// transaction `may_reset` is false: what the transaction's session set is only added to.
    pub fn fix(
        &mut self,
        values: &BTreeMap<String, String>,
        shape: Option<&Shape>,
        may_reset: bool,
    ) -> Vec<Fix> {
        let mut fixes = Vec::new();
        let foreign = self.values.keys().any(|name| !values.contains_key(name));
        let new = shape.is_some_and(|shape| !self.prepared.contains_key(shape));
        let full = new && self.prepared.len() >= MAX_PREPARED;
        if may_reset && (foreign || full) {
            self.clear();
            fixes.push(Fix::Reset);
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.values.insert(name.clone(), value.clone());
                fixes.push(Fix::Set { name: name.clone(), value: value.clone() });
            }
        }
        if let Some(shape) = shape
            && !self.prepared.contains_key(shape)
        {
            self.named += 1;
            let name = format!("c{}", self.named);
            self.prepared.insert(shape.clone(), name.clone());
            fixes.push(Fix::Prepare { name, shape: shape.clone() });
        }
        fixes
    }

    /// Returns the connection's name of a prepared statement.
    pub fn name(&self, shape: &Shape) -> Option<&str> {
        self.prepared.get(shape).map(String::as_str)
    }

    /// Notes that the connection was cleared.
    pub fn clear(&mut self) {
        self.values.clear();
        self.prepared.clear();
    }
}
