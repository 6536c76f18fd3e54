//! Frames between our own processes: postcard over UDP for heartbeats and grants, over TCP for the rest.
//!
//! Every frame names its version, its sender and the sender's incarnation, and is bounded in length. A frame
//! that breaks a rule closes its connection with a typed error and touches no other; see `docs/DESIGN.md`,
//! "Frames".

mod frame;
mod message;
mod seal;
mod stream;

pub use frame::{Frame, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, VERSION};
pub use message::{
    Announcement, Answer, Body, Configuration, Delta, Demand, Epoch, Grant, Health, Heartbeat,
    Observation, Peak, Phase, Replica, Role, Route, Stamp, Standing, Table,
};
pub use seal::{SEAL_BYTES, Seal};
pub use stream::Stream;

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame is longer than its transport allows.
    #[error("a frame of {len} bytes is over the limit of {limit}")]
    TooLong {
        /// The length in bytes.
        len: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The sender speaks another version of the protocol.
    #[error("frame version {found} is not {VERSION}")]
    Version {
        /// The version found.
        found: u8,
    },
    /// The bytes are no frame.
    #[error("a frame can't be decoded: {0}")]
    Codec(#[from] postcard::Error),
    /// No key of ours made the seal on the frame.
    #[error("the seal of a frame is missing or not valid")]
    Seal,
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Returns what kind of error this is in one of a few fixed words, for counting.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::TooLong { .. } => "too_long",
            Self::Version { .. } => "version",
            Self::Codec(_) => "codec",
            Self::Seal => "seal",
            Self::Io(_) => "io",
        }
    }
}
