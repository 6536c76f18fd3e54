//! The interface of a protocol codec.

use std::fmt::Debug;

use bytes::BytesMut;

use super::{Answer, Command, Input, Request};
use crate::upstream::status::Status;

/// The maximum length of a message in bytes, without what ends it. A peer that exceeds it is disconnected.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;

/// The reason why bytes can't be decoded as a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message is longer than [`MAX_LINE_BYTES`].
    #[error("a message is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
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
            Self::Kind => "kind",
            Self::Field => "field",
        }
    }
}

/// The reason why a message can't be encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EncodeError {
    /// A field contains what separates it from the next one, or what ends the message.
    #[error("a field contains a delimiter")]
    Delimiter,
    /// The message would be longer than [`MAX_LINE_BYTES`].
    #[error("a message would be longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
}

/// The kinds of messages with which an answer begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// A row.
    Row,
    /// A success or a failure.
    Result,
}

/// Where a message that was cut off may be joined to others, as byte offsets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Joint {
    /// The least that may be left of the first message.
    pub first: usize,
    /// Where the first complete keyword of another message begins.
    pub next: usize,
}

/// Encodes and decodes messages. A decoder removes one complete message from the front of its input, also if it can't be
/// read, or leaves the input unchanged while the message is incomplete. What an encoder writes is decoded as the same message; otherwise it
/// writes nothing and fails.
pub trait Codec: Debug + Send + Sync {
    /// Decodes a message from a caller.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid message.
    fn decode_request(&self, input: &mut Input) -> Result<Option<Request>, DecodeError>;

    /// Encodes a part of an answer to a caller.
    ///
    /// # Errors
    ///
    /// Fails when the caller would decode something else.
    fn encode_reply(&self, answer: &Answer, output: &mut BytesMut) -> Result<(), EncodeError>;

    /// Encodes a message to an upstream.
    ///
    /// # Errors
    ///
    /// Fails when the upstream would decode something else.
    fn encode_command(
        &self,
        command: &Command<'_>,
        output: &mut BytesMut,
    ) -> Result<(), EncodeError>;

    /// Decodes a part of an upstream's answer.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid message.
    fn decode_answer(&self, input: &mut Input) -> Result<Option<Answer>, DecodeError>;

    /// Finds where an encoded message of an upstream's answer may have been cut off, so that the first message of another
    /// answer follows within it: one of kind `next`, perhaps behind the beginnings of others. The content of a message can
    /// look the same.
    fn find_joint(&self, message: &[u8], next: Next) -> Option<Joint>;

    /// Decodes the row that answers [`Command::Status`] and similar commands.
    ///
    /// # Errors
    ///
    /// Fails when the row is not a valid status.
    fn decode_status(&self, row: &[u8]) -> Result<Status, DecodeError>;
}
