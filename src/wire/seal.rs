//! Seals on frames: HMAC-SHA256 under a key that all our own processes share.
//!
//! A ring holds a few keys, so that one is replaced without a gap: the new key is added after the old one
//! everywhere, then put before it everywhere, then the old one is taken away. The first key seals; every key
//! opens. Without a ring frames go as they are.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use smallvec::SmallVec;

use super::{Error, Frame};
use crate::config::Secret;
use crate::security::{self, File};

/// The first byte of a sealed frame, where a plain one has its version.
const SEALED: u8 = 0x81;
/// The bytes of a tag.
const TAG_BYTES: usize = 32;
/// The bytes that a seal adds: the mark, the key's number and the tag.
pub const SEAL_BYTES: usize = 2 + TAG_BYTES;
/// The least bytes of a key.
const MIN_KEY_BYTES: usize = 32;

/// One key of a ring.
struct Key {
    number: u8,
    mac: Hmac<Sha256>,
}

/// The keys, the one that seals first.
#[derive(Default)]
struct Ring(SmallVec<[Key; 2]>);

/// Seals and opens frames. Clones share the ring.
#[derive(Debug, Clone, Default)]
pub struct Seal {
    ring: Option<File<Ring>>,
}

impl Seal {
    /// Reads a key ring: a line for each key, its number (1 to 255) and at least 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or is no key ring.
    pub fn open(secret: &Secret) -> Result<Self, security::Error> {
        Ok(Self { ring: Some(security::read(secret, parse)?) })
    }

    /// Reads the ring again when its file changed.
    pub fn refresh(&self) {
        self.ring.iter().for_each(File::refresh);
    }

    /// Encodes a frame and seals it.
    ///
    /// # Errors
    ///
    /// Fails when the frame is too long.
    pub fn encode(&self, frame: &Frame) -> Result<Vec<u8>, Error> {
        let plain = frame.encode()?;
        let Some(ring) = &self.ring else {
            return Ok(plain);
        };
        let ring = ring.get();
        let key = ring.0.first().ok_or(Error::Seal)?;
        let mut sealed = Vec::with_capacity(plain.len() + SEAL_BYTES);
        sealed.extend_from_slice(&[SEALED, key.number]);
        sealed.extend_from_slice(&plain);
        let tag = key.mac.clone().chain_update(&sealed).finalize().into_bytes();
        sealed.extend_from_slice(&tag);
        Ok(sealed)
    }

    /// Opens a sealed frame and decodes it; nothing of it is decoded before the seal has proved valid.
    ///
    /// # Errors
    ///
    /// Fails when no key of the ring made the seal, or the bytes are no frame.
    pub fn decode(&self, bytes: &[u8]) -> Result<Frame, Error> {
        let Some(ring) = &self.ring else {
            return Frame::decode(bytes);
        };
        let split = bytes.len().checked_sub(TAG_BYTES).ok_or(Error::Seal)?;
        let (sealed, tag) = bytes.split_at(split);
        let [SEALED, number, plain @ ..] = sealed else {
            return Err(Error::Seal);
        };
        let ring = ring.get();
        let key = ring.0.iter().find(|key| key.number == *number).ok_or(Error::Seal)?;
        let verified = key.mac.clone().chain_update(sealed).verify_slice(tag);
        verified.map_err(|_| Error::Seal)?;
        Frame::decode(plain)
    }
}

fn parse(path: &str, text: &str) -> Result<Ring, security::Error> {
    let mut ring = Ring::default();
    for (line, content) in security::lines(text) {
        let fault = |problem| security::Error::Line { path: path.to_owned(), line, problem };
        let (number, key) = content
            .split_once(char::is_whitespace)
            .ok_or_else(|| fault("valid: a key's number and its hexadecimal digits"))?;
        let number: u8 = number.parse().map_err(|_| fault("a key's number is 1 to 255"))?;
        if number == 0 || ring.0.iter().any(|known| known.number == number) {
            return Err(fault("a key's number is 1 to 255, and each one is given once"));
        }
        let key = security::from_hex(key.trim()).filter(|key| key.len() >= MIN_KEY_BYTES);
        let key = key.ok_or_else(|| fault("a key has at least 64 hexadecimal digits"))?;
        let mac = Hmac::new_from_slice(&key).map_err(|_| fault("the key can't be used"))?;
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
