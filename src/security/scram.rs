//! The server's side of SCRAM-SHA-256 (RFC 5802, RFC 7677), as PostgreSQL speaks it, without channel binding.
//!
//! `postgres-protocol` has the client's side only, so this one is made of `hmac` and `sha2`.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use super::random;

/// The bytes of a hash.
const HASH_BYTES: usize = 32;
/// The bytes of the server's nonce.
const NONCE_BYTES: usize = 18;
/// The most rounds that a verifier may ask of a client.
const MAX_ITERATIONS: u32 = 1_000_000;

/// What the server keeps of a password, in PostgreSQL's own form:
/// `SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY`.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    iterations: u32,
    salt: String,
    stored_key: [u8; HASH_BYTES],
    server_key: [u8; HASH_BYTES],
}

impl Verifier {
    /// Parses a verifier.
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix("SCRAM-SHA-256$")?;
        let (rounds, keys) = rest.split_once('$')?;
        let (iterations, salt) = rounds.split_once(':')?;
        let (stored, server) = keys.split_once(':')?;
        let iterations = iterations.parse().ok().filter(|n| (1..=MAX_ITERATIONS).contains(n))?;
        BASE64_STANDARD.decode(salt).ok()?;
        Some(Self {
            iterations,
            salt: salt.to_owned(),
            stored_key: hash(stored)?,
            server_key: hash(server)?,
        })
    }

    /// Returns a verifier that no password fits, with a salt that is always the same for a user, so that a
    /// caller can't tell an unknown user from a wrong password.
    pub(super) fn unknown(secret: &[u8], user: &str) -> Self {
        let salt = mac(secret, user.as_bytes());
        let salt = BASE64_STANDARD.encode(&salt[..16]);
        let keys = [random::bytes(), random::bytes()];
        Self { iterations: 4096, salt, stored_key: keys[0], server_key: keys[1] }
    }
}

fn hash(text: &str) -> Option<[u8; HASH_BYTES]> {
    BASE64_STANDARD.decode(text).ok()?.try_into().ok()
}

/// One client's exchange, after its first message.
pub struct Exchange {
    verifier: Verifier,
    header: String,
    nonce: String,
    /// The client's first message without its header, and the server's.
    said: String,
}

impl Exchange {
    /// Takes the client's first message and returns the exchange with the server's answer.
    pub fn start(verifier: Verifier, first: &[u8]) -> Option<(Self, String)> {
        let first = std::str::from_utf8(first).ok()?;
        let bare = first.strip_prefix("n,,").or_else(|| first.strip_prefix("y,,"))?;
        let header = first[..3].to_owned();
        let nonce = bare.split(',').find_map(|part| part.strip_prefix("r="))?;
        if nonce.is_empty() {
            return None;
        }
        let own = BASE64_STANDARD.encode(random::bytes::<NONCE_BYTES>());
        let nonce = format!("{nonce}{own}");
        let answer = format!("r={nonce},s={},i={}", verifier.salt, verifier.iterations);
        let said = format!("{bare},{answer}");
        Some((Self { verifier, header, nonce, said }, answer))
    }

    /// Takes the client's last message; returns the server's proof when the client knows the password.
    pub fn finish(self, last: &[u8]) -> Option<String> {
        let last = std::str::from_utf8(last).ok()?;
        let (unproved, proof) = last.rsplit_once(",p=")?;
        let (binding, rest) = unproved.strip_prefix("c=")?.split_once(',')?;
        let nonce = rest.strip_prefix("r=")?;
        if BASE64_STANDARD.decode(binding).ok()? != self.header.as_bytes() || nonce != self.nonce {
            return None;
        }
        let said = format!("{},{unproved}", self.said);
        let signature = mac(&self.verifier.stored_key, said.as_bytes());
        let proof = hash(proof)?;
        let mut key = [0; HASH_BYTES];
        for (at, byte) in key.iter_mut().enumerate() {
            *byte = proof[at] ^ signature[at];
        }
        if !equal(&Sha256::digest(key), &self.verifier.stored_key) {
            return None;
        }
        let proof = mac(&self.verifier.server_key, said.as_bytes());
        Some(format!("v={}", BASE64_STANDARD.encode(proof)))
    }
}

fn mac(key: &[u8], data: &[u8]) -> [u8; HASH_BYTES] {
    let mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.chain_update(data).finalize().into_bytes().into()
}

/// Compares in a time that doesn't depend on where two hashes differ.
pub(super) fn equal(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differ, (a, b)| differ | (a ^ b)) == 0
}
