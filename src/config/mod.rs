//! Settings: a node's own file, and the declarations of the fleet's groups.
//!
//! Both are TOML. A file is checked as a whole before anything is bound, and every fault is reported at once with
//! its line, key, given value and valid range. See `docs/operators/settings.md`.

mod fault;
mod fleet;
mod node;
mod read;
mod secret;
mod unit;

pub use fault::{Fault, Faults};
pub use fleet::{Class, Database, Durability, Fleet, Group, Objective, Peak, Reads, Request};
pub use node::{Control, Format, Log, Node, Proxy, Security, Seeds, Tls, Voter};
pub use secret::{Error as SecretError, Secret};
pub use unit::{Daytime, Rate, Share, Size, Span};

/// Why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not what it should be.
    #[error("{0}")]
    Invalid(#[from] Faults),
}
