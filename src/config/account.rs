//! Client accounts: the keys by which their callers are known, and how many operations they may run.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// The context under which keys are digested, so that a digest is of no use elsewhere.
const DIGEST_CONTEXT: &[u8] = b"cactushatch account key";

/// Number of bytes of a digest.
const DIGEST_BYTES: usize = 16;

/// Thousandths of an operation, in which rates are counted.
const MILLIS: f64 = 1_000.0;

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The digests of its keys. Without one, nobody can open a session for it.
    pub keys: Vec<KeyDigest>,
    /// How many operations it may run, over all proxies; `None` if that is not limited.
    pub quota: Option<Quota>,
}

/// How many operations an account may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// The rate that it may keep up.
    pub rate: OperationRate,
    /// The number of operations that it may run at once after a pause.
    pub burst: u32,
}

/// Operations per second, in thousandths: `392/s`, `1.5/s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OperationRate(u64);

/// The digest of a caller's key. Keys themselves are kept nowhere but in what the operator sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl OperationRate {
    /// Returns the rate of `per_second` operations, rounded to thousandths.
    pub fn new(per_second: f64) -> Self {
        Self((per_second * MILLIS).round() as u64)
    }

    /// Returns the number of operations per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLIS
    }
}

impl fmt::Display for OperationRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

impl FromStr for OperationRate {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number = text.strip_suffix("/s").and_then(|number| number.parse::<f64>().ok());
        let rate = number.filter(|number| number.is_finite()).map(Self::new);
        rate.filter(|rate| rate.0 > 0).ok_or_else(|| format!("{text:?} is no rate such as 50/s"))
    }
}

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: impl AsRef<[u8]>) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(DIGEST_CONTEXT)
            .expect("HMAC accepts keys of any length");
        mac.update(key.as_ref());
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&mac.finalize().into_bytes()[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let problem = || format!("a digest has {} hexadecimal digits", 2 * DIGEST_BYTES);
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(problem());
        }
        let mut digest = [0; DIGEST_BYTES];
        for (at, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).map_err(|_| problem())?;
        }
        Ok(Self(digest))
    }
}
