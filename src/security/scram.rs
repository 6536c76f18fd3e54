//! The server side of SCRAM-SHA-256 (RFC 5802, RFC 7677) as used by PostgreSQL, without channel binding.
//!
//! `postgres-protocol` implements the client side only.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use super::random;

const HASH_BYTES: usize = 32;
const NONCE_BYTES: usize = 18;
/// The maximum number of iterations that a verifier may require of clients.
const MAX_ITERATIONS: u32 = 1_000_000;

/// What the server stores in place of a password, in PostgreSQL's format:
/// `SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY`.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    iterations: u32,
    salt: String,
    stored_key: [u8; HASH_BYTES],
    server_key: [u8; HASH_BYTES],
}

impl Verifier {
    /// Parses a verifier in PostgreSQL's format.
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix("SCRAM-SHA-256$")?;
        let (parameters, keys) = rest.split_once('$')?;
        let (iterations, salt) = parameters.split_once(':')?;
        let (stored_key, server_key) = keys.split_once(':')?;
        let iterations = iterations.parse().ok().filter(|n| (1..=MAX_ITERATIONS).contains(n))?;
        BASE64_STANDARD.decode(salt).ok()?;
        Some(Self {
            iterations,
            salt: salt.to_owned(),
            stored_key: decode_hash(stored_key)?,
            server_key: decode_hash(server_key)?,
        })
    }

    /// Returns a verifier that matches no password. Its salt is always the same for a user name, so that a caller can't
    /// distinguish an unknown user from a wrong password.
    pub(super) fn for_unknown_user(secret: &[u8], user: &str) -> Self {
        let salt = hmac_sha256(secret, user.as_bytes());
        let salt = BASE64_STANDARD.encode(&salt[..16]);
        let keys = [random::random_bytes(), random::random_bytes()];
        Self { iterations: 4096, salt, stored_key: keys[0], server_key: keys[1] }
    }
}

fn decode_hash(text: &str) -> Option<[u8; HASH_BYTES]> {
    BASE64_STANDARD.decode(text).ok()?.try_into().ok()
}

/// An authentication exchange with a client, after the client-first message.
pub struct Exchange {
    verifier: Verifier,
    gs2_header: String,
    nonce: String,
    /// The start of `AuthMessage`: client-first-message-bare and server-first-message.
    auth_message: String,
}

impl Exchange {
    /// Starts an exchange by the client-first message, and returns it with the server-first message. Returns `None` if
    /// the message is malformed or requires channel binding.
    pub fn start(verifier: Verifier, client_first: &[u8]) -> Option<(Self, String)> {
        let client_first = std::str::from_utf8(client_first).ok()?;
        let client_first_bare =
            client_first.strip_prefix("n,,").or_else(|| client_first.strip_prefix("y,,"))?;
        let gs2_header = client_first[..3].to_owned();
        let client_nonce = client_first_bare.split(',').find_map(|part| part.strip_prefix("r="))?;
        if client_nonce.is_empty() {
            return None;
        }
        let server_nonce = BASE64_STANDARD.encode(random::random_bytes::<NONCE_BYTES>());
        let nonce = format!("{client_nonce}{server_nonce}");
        let server_first = format!("r={nonce},s={},i={}", verifier.salt, verifier.iterations);
        let auth_message = format!("{client_first_bare},{server_first}");
        Some((Self { verifier, gs2_header, nonce, auth_message }, server_first))
    }

    /// Checks the client-final message, and returns the server-final message if the client has proved that it knows the
    /// password.
    pub fn finish(self, client_final: &[u8]) -> Option<String> {
        let client_final = std::str::from_utf8(client_final).ok()?;
        let (without_proof, client_proof) = client_final.rsplit_once(",p=")?;
        let (channel_binding, rest) = without_proof.strip_prefix("c=")?.split_once(',')?;
        let nonce = rest.strip_prefix("r=")?;
        if BASE64_STANDARD.decode(channel_binding).ok()? != self.gs2_header.as_bytes()
            || nonce != self.nonce
        {
            return None;
        }
        let auth_message = format!("{},{without_proof}", self.auth_message);
        let client_signature = hmac_sha256(&self.verifier.stored_key, auth_message.as_bytes());
        let client_proof = decode_hash(client_proof)?;
        let mut client_key = [0; HASH_BYTES];
        for (index, byte) in client_key.iter_mut().enumerate() {
            *byte = client_proof[index] ^ client_signature[index];
        }
        if !constant_time_eq(&Sha256::digest(client_key), &self.verifier.stored_key) {
            return None;
        }
        let server_signature = hmac_sha256(&self.verifier.server_key, auth_message.as_bytes());
        Some(format!("v={}", BASE64_STANDARD.encode(server_signature)))
    }
}

fn hmac_sha256(key: &[u8], data: &[u8]) -> [u8; HASH_BYTES] {
    let mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.chain_update(data).finalize().into_bytes().into()
}

/// Compares two hashes in a time that does not depend on where they differ.
pub(super) fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}
