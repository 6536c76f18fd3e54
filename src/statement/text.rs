//! Content that is passed on unchanged.

use std::borrow::Borrow;
use std::fmt;
use std::str::Utf8Error;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Text of a caller or an upstream, such as an id, a statement or a row. It is any sequence of bytes, since nothing in
/// this process interprets it.
///
/// It is serialized like a [`String`], so processes that expect one can read it if it is UTF-8.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Text(Bytes);

impl Text {
    /// Creates a text that doesn't own its bytes.
    pub const fn from_static(text: &'static str) -> Self {
        Self(Bytes::from_static(text.as_bytes()))
    }

    /// Returns the bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the text as a string.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not UTF-8.
    pub fn to_str(&self) -> Result<&str, Utf8Error> {
        std::str::from_utf8(&self.0)
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for Text {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}\"", self.0.escape_ascii())
    }
}

/// Replaces what is not UTF-8.
impl fmt::Display for Text {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        String::from_utf8_lossy(&self.0).fmt(f)
    }
}

impl From<Bytes> for Text {
    fn from(bytes: Bytes) -> Self {
        Self(bytes)
    }
}

impl From<&[u8]> for Text {
    fn from(bytes: &[u8]) -> Self {
        Self(Bytes::copy_from_slice(bytes))
    }
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Self::from(text.as_bytes())
    }
}

impl From<String> for Text {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl Borrow<[u8]> for Text {
    fn borrow(&self) -> &[u8] {
        &self.0
    }
}

impl PartialEq<str> for Text {
    fn eq(&self, other: &str) -> bool {
        self.0 == other.as_bytes()
    }
}

impl PartialEq<&str> for Text {
    fn eq(&self, other: &&str) -> bool {
        self == *other
    }
}
