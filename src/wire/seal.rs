//! Authentication of frames with HMAC-SHA256 under a key shared by all processes of the system.
//!
//! A key ring holds several keys, so that keys can be rotated without interruption: add the new key after the
//! old one on all processes, then move it to the front on all processes, then remove the old key. The first
//! key seals frames, and every key of the ring verifies them. Without a key ring, frames are not authenticated.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use smallvec::SmallVec;

use super::{Error, Frame};
use crate::config::Secret;
use crate::security::{self, File};

/// The first byte of a sealed frame, in the place of the version of a plain frame.
const SEALED_MARKER: u8 = 0x81;
/// The length of an HMAC tag.
const TAG_BYTES: usize = 32;
/// The length that a seal adds to a frame in bytes: the marker, the key number and the tag.
pub const SEAL_BYTES: usize = 2 + TAG_BYTES;
/// The minimum length of a key.
const MIN_KEY_BYTES: usize = 32;

/// A numbered key of a key ring.
struct Key {
    number: u8,
    mac: Hmac<Sha256>,
}

/// A key ring. The first key is the one that seals.
#[derive(Default)]
struct Ring(SmallVec<[Key; 2]>);

/// Seals and verifies frames. Clones share the key ring.
#[derive(Debug, Clone, Default)]
pub struct Seal {
    ring: Option<File<Ring>>,
}

impl Seal {
    /// Reads a key ring from a file that has one line per key: the key number (1 to 255) and at least 64
    /// hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or is not a valid key ring.
    pub fn open(secret: &Secret) -> Result<Self, security::Error> {
        Ok(Self { ring: Some(security::open_secret(secret, parse_ring)?) })
    }

    /// Reloads the key ring if its file has changed.
    pub fn refresh(&self) {
        self.ring.iter().for_each(File::refresh);
    }

    /// Encodes a frame and seals it if there is a key ring.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long.
    pub fn encode(&self, frame: &Frame) -> Result<Vec<u8>, Error> {
        let plain = frame.encode()?;
        let Some(ring) = &self.ring else {
            return Ok(plain);
        };
        let ring = ring.get();
        let key = ring.0.first().ok_or(Error::Seal)?;
        let mut sealed = Vec::with_capacity(plain.len() + SEAL_BYTES);
        sealed.extend_from_slice(&[SEALED_MARKER, key.number]);
        sealed.extend_from_slice(&plain);
        let tag = key.mac.clone().chain_update(&sealed).finalize().into_bytes();
        sealed.extend_from_slice(&tag);
        Ok(sealed)
    }

    /// Verifies a sealed frame and decodes it. The content is not decoded before the seal has been verified.
    ///
    /// # Errors
    ///
    /// Returns an error if no key of the ring verifies the seal, or if the content is not a valid frame.
    pub fn decode(&self, bytes: &[u8]) -> Result<Frame, Error> {
        let Some(ring) = &self.ring else {
            return Frame::decode(bytes);
        };
        let tag_start = bytes.len().checked_sub(TAG_BYTES).ok_or(Error::Seal)?;
        let (sealed, tag) = bytes.split_at(tag_start);
        let [SEALED_MARKER, number, plain @ ..] = sealed else {
            return Err(Error::Seal);
        };
        let ring = ring.get();
        let key = ring.0.iter().find(|key| key.number == *number).ok_or(Error::Seal)?;
        let result = key.mac.clone().chain_update(sealed).verify_slice(tag);
        result.map_err(|_| Error::Seal)?;
        Frame::decode(plain)
    }
}

fn parse_ring(path: &str, text: &str) -> Result<Ring, security::Error> {
    let mut ring = Ring::default();
    for (line, content) in security::numbered_lines(text) {
        let line_error = |problem| security::Error::Line { path: path.to_owned(), line, problem };
        let (number, key) = content
            .split_once(char::is_whitespace)
            .ok_or_else(|| line_error("valid: a key's number and its hexadecimal digits"))?;
        let number: u8 = number.parse().map_err(|_| line_error("a key's number is 1 to 255"))?;
        if number == 0 || ring.0.iter().any(|key| key.number == number) {
            return Err(line_error("a key's number is 1 to 255, and each one is given once"));
        }
        let key = security::decode_hex(key.trim()).filter(|key| key.len() >= MIN_KEY_BYTES);
        let key = key.ok_or_else(|| line_error("a key has at least 64 hexadecimal digits"))?;
        let mac = Hmac::new_from_slice(&key).map_err(|_| line_error("the key can't be used"))?;
        ring.0.push(Key { number, mac });
    }
    if ring.0.is_empty() {
        return Err(security::Error::Line {
            path: path.to_owned(),
            line: 1,
            problem: "there is no key",
        });
    }
    Ok(ring)
}
