//! The record format: the length of the body, the checksum of the body, the checksum of these two fields, and the body.

use serde::{Deserialize, Serialize};

use super::Error;

/// The size of the fields before the body.
const HEADER_BYTES: usize = 12;

pub(super) fn encode(value: &impl Serialize) -> Result<Vec<u8>, Error> {
    let body = postcard::to_stdvec(value)?;
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes records up to the end or a torn record, and returns the offset where the valid ones end. An invalid record
/// with a valid one after it is damage, not a torn write: each record is synced before the next is written.
pub(super) fn decode_records<T: for<'a> Deserialize<'a>>(
    file: &'static str,
    bytes: &[u8],
) -> Result<(Vec<T>, usize), Error> {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(body) = first_body(&bytes[offset..]) else {
            let rest = offset + 1..bytes.len();
            if rest.into_iter().any(|at| first_body(&bytes[at..]).is_some()) {
                let what = "a record is damaged, and others follow it";
                return Err(Error::Damaged { file, offset, what });
            }
            break;
        };
        records.push(postcard::from_bytes(body)?);
        offset += HEADER_BYTES + body.len();
    }
    Ok((records, offset))
}

/// Returns the body of the record at the start of `bytes`, or `None` if the record is incomplete or a checksum differs.
fn first_body(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..HEADER_BYTES)?;
    let number = |at: usize| {
        u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    if crc32fast::hash(&header[..8]) != number(8) {
        return None;
    }
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + number(0) as usize)?;
    (crc32fast::hash(body) == number(4)).then_some(body)
}
