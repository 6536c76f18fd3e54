//! What is wrong with a file of settings, as an operator reads it.

use std::fmt;

use serde::Serialize;

/// One fault of a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The file.
    pub path: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The key, with the tables that it is in.
    pub key: String,
    /// The value as given, when there is one.
    pub given: Option<String>,
    /// What is wrong, and what would be valid.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.path, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}", self.key)?;
            if let Some(given) = &self.given {
                write!(f, " = {given}")?;
            }
            f.write_str(": ")?;
        }
        f.write_str(&self.problem)
    }
}

/// All faults of a file; there is at least one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.0.iter().enumerate() {
            if at > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
