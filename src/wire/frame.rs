//! The frame and its encoding.

use serde::{Deserialize, Serialize};

use super::{Body, Error};
use crate::id;

/// The version of the frame format. A receiver rejects frames of any other version.
pub const VERSION: u8 = 4;

/// The maximum length of a frame on a stream in bytes. It bounds the memory that a peer can make this process
/// allocate.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// The maximum length of a frame in a datagram in bytes. Longer answers are sent over a stream.
pub const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// The length of an encoded message from which it is compressed. Configurations and the log entries that carry them are
/// longer; they repeat their words for each database.
const MIN_COMPRESSED_BYTES: usize = 2 * 1024;

/// How the message is encoded: the byte after the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Encoding {
    Plain = 0,
    /// An LZ4 block, after the length of the message as four bytes, little-endian.
    Lz4 = 1,
}

/// A message from one process to another, with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The process that sends the frame.
    pub sender: id::Node,
    /// The incarnation of the sender.
    pub incarnation: id::Incarnation,
    /// The message.
    pub body: Body,
}

impl Frame {
    /// Encodes the frame, prefixed with [`VERSION`] and the encoding of the rest. A long message is compressed, since
    /// bytes between failure domains are dear and the links of proxies are narrow.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is longer than [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        const HEADER: [u8; 2] = [VERSION, Encoding::Plain as u8];
        let plain = postcard::to_extend(self, HEADER.to_vec())?;
        check_length(plain.len(), MAX_FRAME_BYTES)?;
        if plain.len() < MIN_COMPRESSED_BYTES {
            return Ok(plain);
        }
        let compressed = lz4_flex::compress_prepend_size(&plain[HEADER.len()..]);
        if HEADER.len() + compressed.len() >= plain.len() {
            return Ok(plain);
        }
        Ok([&[VERSION, Encoding::Lz4 as u8], compressed.as_slice()].concat())
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is too long, has another version, or is not a valid frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        check_length(bytes.len(), MAX_FRAME_BYTES)?;
        let (encoding, body) = match bytes {
            [VERSION, encoding, body @ ..] => (*encoding, body),
            [] | [VERSION] => return Err(Error::Codec(postcard::Error::DeserializeUnexpectedEnd)),
            [version, ..] => return Err(Error::Version { found: *version }),
        };
        if encoding == Encoding::Plain as u8 {
            return Ok(postcard::from_bytes(body)?);
        }
        if encoding != Encoding::Lz4 as u8 {
            return Err(Error::Compression);
        }
        let (len, block) =
            lz4_flex::block::uncompressed_size(body).map_err(|_| Error::Compression)?;
        check_length(len, MAX_FRAME_BYTES)?;
        let plain = lz4_flex::decompress(block, len).map_err(|_| Error::Compression)?;
        Ok(postcard::from_bytes(&plain)?)
    }
}

pub(super) fn check_length(len: usize, limit: usize) -> Result<(), Error> {
    if len > limit { Err(Error::TooLong { len, limit }) } else { Ok(()) }
}
