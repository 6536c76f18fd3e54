//! One frame and its encoding.

use serde::{Deserialize, Serialize};

use super::{Body, Error};
use crate::id;

/// The version of the frames; a receiver refuses any other.
pub const VERSION: u8 = 1;

/// The longest frame on a stream, in bytes; it bounds what a peer can make us hold.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// The longest frame in a datagram, in bytes; a longer answer goes over a stream.
pub const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// What one process says to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Who sends the frame.
    pub sender: id::Node,
    /// Which life of the sender this is.
    pub incarnation: id::Incarnation,
    /// What it says.
    pub body: Body,
}

impl Frame {
    /// Encodes the frame, with its version in front.
    ///
    /// # Errors
    ///
    /// Fails when the frame is longer than [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = postcard::to_extend(self, vec![VERSION])?;
        check_length(bytes.len(), MAX_FRAME_BYTES)?;
        Ok(bytes)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are too many, of another version, or no frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        check_length(bytes.len(), MAX_FRAME_BYTES)?;
        let Some((version, body)) = bytes.split_first() else {
            return Err(Error::Codec(postcard::Error::DeserializeUnexpectedEnd));
        };
        if *version != VERSION {
            return Err(Error::Version { found: *version });
        }
        Ok(postcard::from_bytes(body)?)
    }
}

pub(super) fn check_length(len: usize, limit: usize) -> Result<(), Error> {
    if len > limit { Err(Error::TooLong { len, limit }) } else { Ok(()) }
}
