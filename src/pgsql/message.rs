//! Raw messages: a tag and a body.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use smol::io::{AsyncRead, AsyncReadExt};

use super::{Error, MAX_MESSAGE_BYTES, MAX_STARTUP_BYTES};

/// The code of a request for TLS in place of a protocol version.
const SSL_REQUEST: u32 = 80_877_103;
/// The code of a request for GSSAPI encryption in place of a protocol version.
const GSS_REQUEST: u32 = 80_877_104;
/// The code of a request to cancel in place of a protocol version.
const CANCEL_REQUEST: u32 = 80_877_102;
/// The major version of the protocol.
const PROTOCOL_MAJOR: u32 = 3;

/// One message with its tag; the body is without the length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Which message it is.
    pub tag: u8,
    /// The content after the length.
    pub body: Bytes,
}

impl Message {
    /// Appends the message as it goes over the wire.
    pub fn write(&self, out: &mut BytesMut) {
        out.put_u8(self.tag);
        out.put_u32(self.body.len() as u32 + 4);
        out.put_slice(&self.body);
    }
}

/// What a caller says first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Startup {
    /// It asks for TLS.
    Tls,
    /// It asks for GSSAPI encryption.
    Gss,
    /// It asks to cancel the statement of another connection.
    Cancel {
        /// The process id given to that connection.
        process: i32,
        /// The secret given to that connection.
        secret: i32,
    },
    /// It starts a session with these parameters.
    Session(Vec<(String, String)>),
}

/// Reads one message, or `None` when the peer closed between messages.
///
/// # Errors
///
/// Fails when the message is too long or cut short; the length is checked before memory is taken.
pub async fn read_message(from: &mut (impl AsyncRead + Unpin)) -> Result<Option<Message>, Error> {
    read_bounded(from, MAX_MESSAGE_BYTES).await
}

/// Reads one message of at most `limit` bytes, or `None` when the peer closed between messages.
///
/// # Errors
///
/// Fails when the message is too long or cut short; the length is checked before memory is taken.
pub async fn read_bounded(
    from: &mut (impl AsyncRead + Unpin),
    limit: usize,
) -> Result<Option<Message>, Error> {
    let mut tag = [0; 1];
    if from.read(&mut tag).await? == 0 {
        return Ok(None);
    }
    let body = read_body(from, limit).await?;
    Ok(Some(Message { tag: tag[0], body }))
}

/// Reads the untagged packet that opens a connection.
///
/// # Errors
///
/// Fails when the packet is too long, cut short, or of another protocol.
pub async fn read_startup(from: &mut (impl AsyncRead + Unpin)) -> Result<Startup, Error> {
    let mut body = read_body(from, MAX_STARTUP_BYTES).await?;
    if body.len() < 4 {
        return Err(Error::Protocol("a start-up packet without a version"));
    }
    match body.get_u32() {
        SSL_REQUEST => Ok(Startup::Tls),
        GSS_REQUEST => Ok(Startup::Gss),
        CANCEL_REQUEST if body.len() == 8 => {
            Ok(Startup::Cancel { process: body.get_i32(), secret: body.get_i32() })
        }
        version if version >> 16 == PROTOCOL_MAJOR => parameters(&body).map(Startup::Session),
        _ => Err(Error::Protocol("an unknown protocol version")),
    }
}

async fn read_body(from: &mut (impl AsyncRead + Unpin), limit: usize) -> Result<Bytes, Error> {
    let mut header = [0; 4];
    from.read_exact(&mut header).await?;
    let len = u32::from_be_bytes(header) as usize;
    let Some(len) = len.checked_sub(4) else {
        return Err(Error::Protocol("a length below four"));
    };
    if len > limit {
        return Err(Error::TooLong { len, limit });
    }
    let mut body = vec![0; len];
    from.read_exact(&mut body).await?;
    Ok(Bytes::from(body))
}

fn parameters(body: &[u8]) -> Result<Vec<(String, String)>, Error> {
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
