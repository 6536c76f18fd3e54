//! Received bytes.

use bytes::{Bytes, BytesMut};

use super::{DecodeError, MAX_LINE_BYTES};

/// Ends a line.
const END: &[u8] = b"\r\n";

/// Received bytes that have not been decoded. Each byte is searched once for the end of a line, however small the pieces
/// are in which a line arrives.
#[derive(Debug, Default)]
pub struct Input {
    bytes: BytesMut,
    /// The number of bytes at the front that were searched.
    searched: usize,
}

impl Input {
    /// Appends bytes.
    pub fn extend_from_slice(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns whether all bytes were decoded.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes that were not decoded.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the number of bytes that were not decoded.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Removes the first line and returns it without the CR LF that ends it. A CR or LF by itself is content. Returns
    /// `None` while the line is incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError::TooLong`] as soon as the line is certain to be longer than [`MAX_LINE_BYTES`], and on every
    /// call after that.
    pub fn take_line(&mut self) -> Result<Option<Bytes>, DecodeError> {
        let is_line_feed = |byte: &u8| *byte == b'\n';
        while let Some(at) = self.bytes[self.searched..].iter().position(is_line_feed) {
            let end = self.searched + at;
            self.searched = end + 1;
            if let Some(len) = end.checked_sub(1)
                && self.bytes[len] == b'\r'
            {
                if len > MAX_LINE_BYTES {
                    return Err(DecodeError::TooLong);
                }
                let line = self.bytes.split_to(len).freeze();
                drop(self.bytes.split_to(END.len()));
                self.searched = 0;
                return Ok(Some(line));
            }
        }
        self.searched = self.bytes.len();
        // A CR at the end may belong to the end of the line.
        let len = self.bytes.strip_suffix(b"\r").unwrap_or(&self.bytes).len();
        if len > MAX_LINE_BYTES { Err(DecodeError::TooLong) } else { Ok(None) }
    }
}

impl From<&[u8]> for Input {
    fn from(bytes: &[u8]) -> Self {
        Self { bytes: BytesMut::from(bytes), ..Self::default() }
    }
}
