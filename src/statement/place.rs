//! The place of a message in the stream of its connection.

use serde::Serialize;

/// The place of a message in the bytes that a connection has received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Place {
    /// Number of bytes that were received before the message.
    pub offset: u64,
    /// Number of bytes of the message with its end, or of what has arrived of it.
    pub len: u64,
    /// Whether the end of the message has arrived.
    pub is_complete: bool,
}

impl Place {
    /// Returns the place of a message that was decoded, or could not be, on a connection that has received `received` bytes.
    /// The input was `before` bytes long before that, and is `after` bytes long now.
    pub fn new(received: u64, before: usize, after: usize) -> Self {
        let is_complete = after < before;
        let len = if is_complete { before - after } else { before };
        Self { offset: received.saturating_sub(before as u64), len: len as u64, is_complete }
    }
}
