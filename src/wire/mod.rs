//! The protocol between the processes of the system: frames encoded with postcard, over UDP for heartbeats
//! and grants and over TCP for everything else.
//!
//! Every frame carries its version, its sender and the sender's incarnation, and is bounded in length. An
//! invalid frame closes its own connection with a typed error and affects no other; see `docs/DESIGN.md`,
//! "Frames".

mod forward;
mod frame;
mod message;
pub mod position;
pub mod quota;
mod seal;
mod stream;
mod table;

pub use forward::{Forward, Forwarded, Identity, LastWrite, Load, Step};
pub use frame::{Frame, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, VERSION};
pub use message::{
    Announcement, Answer, Availability, Body, Configuration, Delta, Demand, Epoch, Grant, Health,
    Heartbeat, Observation, Peak, Phase, Replica, Role, Route, Server, Serving, Stamp,
};
pub use seal::{SEAL_BYTES, Seal};
pub use stream::Stream;
pub use table::Table;

/// An error in sending or receiving a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame exceeds the length limit of its transport.
    #[error("a frame of {len} bytes is over the limit of {limit}")]
    TooLong {
        /// The length of the frame in bytes.
        len: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The frame has a protocol version that is not supported.
    #[error("frame version {found} is not {VERSION}")]
    Version {
        /// The version of the received frame.
        found: u8,
    },
    /// The bytes can't be decompressed.
    #[error("a frame can't be decompressed")]
    Compression,
    /// The bytes can't be encoded or decoded as a frame.
    #[error("a frame can't be decoded: {0}")]
    Codec(#[from] postcard::Error),
    /// The frame is not authenticated by any key of the key ring.
    #[error("the seal of a frame is missing or not valid")]
    Seal,
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Returns the kind of the error as a metric label value.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::TooLong { .. } => "too_long",
            Self::Version { .. } => "version",
            Self::Compression => "compression",
            Self::Codec(_) => "codec",
            Self::Seal => "seal",
            Self::Io(_) => "io",
        }
    }
}
