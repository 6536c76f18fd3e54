//! The interface of a protocol codec.

use std::fmt::Debug;

use bytes::BytesMut;

use super::{Answer, Command, Request};
use crate::upstream::status::Status;

/// The maximum length of a message in bytes. A peer that exceeds it is disconnected.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;

/// The reason why bytes can't be decoded as a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message is longer than [`MAX_LINE_BYTES`].
    #[error("a message is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The message is not UTF-8.
    #[error("a message is no text")]
    NotUtf8,
    /// The message begins with an unknown keyword.
    #[error("a message of an unknown kind")]
    Kind,
    /// A field is missing or can't be parsed.
    #[error("a message with a missing or unreadable field")]
    Field,
}

impl DecodeError {
    /// Returns the metric label of the error.
    pub fn kind(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::NotUtf8 => "no_text",
            Self::Kind => "kind",
            Self::Field => "field",
        }
    }
}

/// Encodes and decodes messages. A decoder removes one complete message from the front of its input, also if it can't be
/// read, or leaves the input unchanged while the message is incomplete.
pub trait Codec: Debug + Send + Sync {
    /// Decodes a message from a caller.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid message.
    fn decode_request(&self, input: &mut BytesMut) -> Result<Option<Request>, DecodeError>;

    /// Encodes a part of an answer to a caller.
    fn encode_reply(&self, answer: &Answer, output: &mut BytesMut);

    /// Encodes a message to an upstream.
    fn encode_command(&self, command: &Command<'_>, output: &mut BytesMut);

    /// Decodes a part of an upstream's answer.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid message.
    fn decode_answer(&self, input: &mut BytesMut) -> Result<Option<Answer>, DecodeError>;

    /// Returns whether a field of an upstream's answer contains the beginning of another message, as it does when the
    /// message was cut off and the next one follows.
    fn is_joined(&self, field: &[u8]) -> bool;

    /// Decodes the row that answers [`Command::Status`] and similar commands.
    ///
    /// # Errors
    ///
    /// Fails when the row is not a valid status.
    fn decode_status(&self, row: &[u8]) -> Result<Status, DecodeError>;
}
