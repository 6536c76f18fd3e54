//! Settings of a process, and the declarations of the fleet's groups.
//!
//! Both are TOML files. A file is checked as a whole before any socket is bound, and all faults are reported at once,
//! each with its line, key, given value and valid range. See `docs/operators/settings.md`.

mod account;
mod change;
mod fault;
mod fleet;
mod read;
mod secret;
mod settings;
mod unit;

pub use account::{Account, KeyDigest, OperationRate, Quota};
pub use change::Change;
pub use fault::{Fault, Faults};
pub use fleet::{Class, Consistency, Database, Durability, Fleet, Group, Objective, Peak, Request};
pub use secret::{Error as SecretError, Secret};
pub use settings::{
    Control, Format, Log, Placement, Proxy, QuotaBound, Scheduling, Security, Seeds, Settings, Tls,
    Voter,
};
pub use unit::{Rate, Share, Size, Span, TimeOfDay};

/// Why settings or declarations were refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid.
    #[error("{0}")]
    Invalid(#[from] Faults),
}
