//! Cryptographically secure random bytes, from the same provider as TLS.

use futures_rustls::rustls::crypto::ring::default_provider;

/// Returns random bytes.
///
/// # Panics
///
/// Panics if the system provides no random bytes, as keys and nonces would not be safe without them.
pub(super) fn random_bytes<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    let filled = default_provider().secure_random.fill(&mut bytes);
    filled.expect("the system must provide random bytes");
    bytes
}

/// Returns `N` random bytes in hexadecimal, for keys and tokens.
pub fn random_hex<const N: usize>() -> String {
    encode_hex(&random_bytes::<N>())
}

pub(super) fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal digits; returns `None` if they are malformed.
pub fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let byte = |index| u8::from_str_radix(&text[index..index + 2], 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}
