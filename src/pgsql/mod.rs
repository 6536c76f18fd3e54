//! PostgreSQL protocol version 3, as far as a proxy needs it: messages are relayed as raw frames, and only
//! those that a decision depends on are decoded, by `postgres-protocol` and `pgwire`.

mod client;
mod message;
mod socket;

pub use client::{Client, Row};
pub use message::{Message, Startup, read_bounded, read_message, read_startup};
pub use socket::Socket;

/// The longest message that is held whole, in bytes; longer ones are relayed in pieces or refused.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// The longest start-up packet, in bytes, as PostgreSQL bounds it.
pub const MAX_STARTUP_BYTES: usize = 10_000;

/// Why a conversation with a caller or an upstream ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A message is longer than allowed.
    #[error("a message of {len} bytes is over the limit of {limit}")]
    TooLong {
        /// The length in bytes.
        len: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The peer did not prove who it is.
    #[error("{reason}")]
    Denied {
        /// The SQLSTATE that the peer is told.
        code: &'static str,
        /// What it is told.
        reason: &'static str,
    },
    /// A message breaks the protocol.
    #[error("protocol violation: {0}")]
    Protocol(&'static str),
    /// The server refused a statement or the connection.
    #[error("{message} (SQLSTATE {code})")]
    Server {
        /// The SQLSTATE.
        code: String,
        /// The message.
        message: String,
    },
    /// The peer did not answer in time.
    #[error("no answer within {0:?}")]
    Timeout(std::time::Duration),
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Returns what kind of error this is in one of a few fixed words, for counting.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::TooLong { .. } => "too_long",
            Self::Denied { .. } => "denied",
            Self::Protocol(_) => "protocol",
            Self::Server { .. } => "server",
            Self::Timeout(_) => "timeout",
            Self::Io(_) => "io",
        }
    }
}
