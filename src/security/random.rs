//! Random bytes that can't be guessed, from the provider that TLS uses too.

use futures_rustls::rustls::crypto::ring::default_provider;

/// Fills a buffer.
///
/// # Panics
///
/// Panics when the system gives no random bytes: nothing that needs them could be safe then.
pub(super) fn bytes<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    let filled = default_provider().secure_random.fill(&mut bytes);
    filled.expect("the system gives random bytes");
    bytes
}

/// Returns so many random bytes in hexadecimal, for keys and tokens.
pub fn hex<const N: usize>() -> String {
    to_hex(&bytes::<N>())
}

pub(super) fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the bytes that hexadecimal digits stand for.
pub fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}
