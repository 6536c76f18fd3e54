//! Raw messages, which consist of a tag and a body.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use smol::io::{AsyncRead, AsyncReadExt};

use super::{Error, MAX_MESSAGE_BYTES, MAX_STARTUP_BYTES};

/// The code that requests TLS, sent in place of a protocol version.
const SSL_REQUEST: u32 = 80_877_103;
/// The code that requests GSSAPI encryption, sent in place of a protocol version.
const GSS_REQUEST: u32 = 80_877_104;
/// The code of a cancel request, sent in place of a protocol version.
const CANCEL_REQUEST: u32 = 80_877_102;
/// The supported major version of the protocol.
const PROTOCOL_MAJOR: u32 = 3;

/// A tagged message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The tag that identifies the type of the message.
    pub tag: u8,
    /// The content, without the length field.
    pub body: Bytes,
}

impl Message {
    /// Appends the encoded message to `out`.
    pub fn write(&self, out: &mut BytesMut) {
        out.put_u8(self.tag);
        out.put_u32(self.body.len() as u32 + 4);
        out.put_slice(&self.body);
    }
}

/// The untagged packet that opens a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Startup {
    /// A request for TLS.
    Tls,
    /// A request for GSSAPI encryption.
    Gss,
    /// A request to cancel the statement that another connection runs.
    Cancel {
        /// The process id that was assigned to that connection.
        process: i32,
        /// The secret that was assigned to that connection.
        secret: i32,
    },
    /// The start of a session with these parameters.
    Session(Vec<(String, String)>),
}

/// Reads a message. Returns `None` if the peer closed the connection between messages.
///
/// # Errors
///
/// Returns an error if the message is too long or truncated. The length is checked before memory is allocated.
pub async fn read_message(reader: &mut (impl AsyncRead + Unpin)) -> Result<Option<Message>, Error> {
    read_message_limited(reader, MAX_MESSAGE_BYTES).await
}

/// Reads a message of at most `limit` bytes. Returns `None` if the peer closed the connection between messages.
///
/// # Errors
///
/// Returns an error if the message is too long or truncated. The length is checked before memory is allocated.
pub async fn read_message_limited(
    reader: &mut (impl AsyncRead + Unpin),
    limit: usize,
) -> Result<Option<Message>, Error> {
    let mut tag = [0; 1];
    if reader.read(&mut tag).await? == 0 {
        return Ok(None);
    }
    let body = read_body(reader, limit).await?;
    Ok(Some(Message { tag: tag[0], body }))
}

/// Reads the packet that opens a connection.
///
/// # Errors
///
/// Returns an error if the packet is too long, truncated, or of an unsupported protocol version.
pub async fn read_startup(reader: &mut (impl AsyncRead + Unpin)) -> Result<Startup, Error> {
    let mut body = read_body(reader, MAX_STARTUP_BYTES).await?;
    if body.len() < 4 {
        return Err(Error::Protocol("a start-up packet without a version"));
    }
    match body.get_u32() {
        SSL_REQUEST => Ok(Startup::Tls),
        GSS_REQUEST => Ok(Startup::Gss),
        CANCEL_REQUEST if body.len() == 8 => {
            Ok(Startup::Cancel { process: body.get_i32(), secret: body.get_i32() })
        }
        version if version >> 16 == PROTOCOL_MAJOR => parse_parameters(&body).map(Startup::Session),
        _ => Err(Error::Protocol("an unknown protocol version")),
    }
}

async fn read_body(reader: &mut (impl AsyncRead + Unpin), limit: usize) -> Result<Bytes, Error> {
    let mut header = [0; 4];
    reader.read_exact(&mut header).await?;
    let len = u32::from_be_bytes(header) as usize;
    let Some(len) = len.checked_sub(4) else {
        return Err(Error::Protocol("a length below four"));
    };
    if len > limit {
        return Err(Error::TooLong { len, limit });
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).await?;
    Ok(Bytes::from(body))
}

fn parse_parameters(body: &[u8]) -> Result<Vec<(String, String)>, Error> {
    let Some(body) = body.strip_suffix(&[0]) else {
        return Err(Error::Protocol("start-up parameters without an end"));
    };
    let Ok(text) = std::str::from_utf8(body) else {
        return Err(Error::Protocol("start-up parameters that are not UTF-8"));
    };
    let mut words = text.split_terminator('\0');
    let mut parameters = Vec::new();
    while let Some(name) = words.next() {
        let Some(value) = words.next() else {
            return Err(Error::Protocol("a start-up parameter without a value"));
        };
        parameters.push((name.to_owned(), value.to_owned()));
    }
    Ok(parameters)
}
