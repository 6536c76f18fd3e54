//! The edge of a protocol.

use std::fmt::Debug;

use bytes::BytesMut;

use super::{Answer, Call, Order};
use crate::upstream::position::Status;

/// The longest message, in bytes; a peer that sends more is cut off.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Why bytes are no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The message is longer than [`MAX_LINE_BYTES`].
    #[error("a message is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The message is not UTF-8.
    #[error("a message is no text")]
    NotUtf8,
    /// The message begins with a word that is not known here.
    #[error("a message of an unknown kind")]
    Kind,
    /// A field is missing or can't be read.
    #[error("a message with a missing or unreadable field")]
    Field,
}

impl Malformed {
    /// Returns which fault this is in one of a few fixed words, for counting.
    pub fn kind(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::NotUtf8 => "no_text",
            Self::Kind => "kind",
            Self::Field => "field",
        }
    }
}

/// Turns messages into bytes and back. A decoder takes one whole message off the front of its input, or leaves the
/// input alone while the message is not whole.
pub trait Codec: Debug + Send + Sync {
    /// Decodes a message of a caller.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no message.
    fn call(&self, input: &mut BytesMut) -> Result<Option<Call>, Malformed>;

    /// Encodes a part of an answer to a caller.
    fn reply(&self, answer: &Answer, output: &mut BytesMut);

    /// Encodes a message to an upstream.
    fn order(&self, order: &Order<'_>, output: &mut BytesMut);

    /// Decodes a part of an upstream's answer.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no message.
    fn answer(&self, input: &mut BytesMut) -> Result<Option<Answer>, Malformed>;

    /// Reads the row that answers [`Order::Status`] and its like.
    ///
    /// # Errors
    ///
    /// Fails when the row is no status.
    fn status(&self, row: &str) -> Result<Status, Malformed>;
}
