//! Faults of a settings or declarations file, as reported to the operator.

use std::fmt;

use serde::Serialize;

/// A fault in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Path of the file.
    pub path: String,
    /// Line number, counted from 1.
    pub line: usize,
    /// Full key, with the names of the enclosing tables; empty if the file is not valid TOML.
    pub key: String,
    /// The value as given, shortened, if the key has one.
    pub given: Option<String>,
    /// What is wrong, and which values are valid.
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

/// All faults of a file, at least one.
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
