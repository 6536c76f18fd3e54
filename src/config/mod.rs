//! Settings: a node's own file, and the declarations of the fleet's groups.
//!
//! Both are TOML, read into the `raw` shape and checked as a whole before anything is bound.

mod fleet;
mod node;
mod unit;

pub use fleet::{Class, Durability, Fleet, Group, Peak, Request};
pub use node::{Control, Node, Proxy, Voter};
pub use unit::Span;

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
    #[error("{path}: {message}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong and what would be valid.
        message: String,
    },
}
