//! The subset of PostgreSQL protocol version 3 that a proxy needs. Messages are relayed as raw frames; only those
//! that a decision depends on are decoded, by `postgres-protocol` and `pgwire`.

mod client;
mod message;
mod nonce;
mod socket;

pub use client::{Client, Row};
pub use message::{Message, Startup, read_message, read_message_limited, read_startup};
pub use nonce::Nonce;
pub use socket::Socket;

/// The maximum length in bytes of a message that is buffered completely. Longer messages are relayed in chunks or
/// refused.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// The maximum length of a start-up packet in bytes, the same as PostgreSQL's limit.
pub const MAX_STARTUP_BYTES: usize = 10_000;

/// An error on a connection to a caller or an upstream.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A message exceeds the length limit.
    #[error("a message of {len} bytes is over the limit of {limit}")]
    TooLong {
        /// The length of the message in bytes.
        len: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The peer is denied access, for example because of a wrong password.
    #[error("{reason}")]
    Denied {
        /// The SQLSTATE that is sent to the peer.
        code: &'static str,
        /// The message that is sent to the peer.
        reason: &'static str,
    },
    /// A message violates the protocol.
    #[error("protocol violation: {0}")]
    Protocol(&'static str),
    /// An answer is not that of the statement that was sent: the server has sent another one before it, and all later
    /// answers on the connection would be taken for those of other statements too.
    #[error("an answer is not that of its statement")]
    OutOfStep,
    /// The server refused a statement or the connection.
    #[error("{message} (SQLSTATE {code})")]
    Server {
        /// The SQLSTATE of the server's error.
        code: String,
        /// The message of the server's error.
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
    /// Returns the kind of the error as a metric label value.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::TooLong { .. } => "too_long",
            Self::Denied { .. } => "denied",
            Self::Protocol(_) => "protocol",
            Self::OutOfStep => "out_of_step",
            Self::Server { .. } => "server",
            Self::Timeout(_) => "timeout",
            Self::Io(_) => "io",
        }
    }
}
