//! Decoding of messages from clients.

use std::io::{Read, Write};
use std::net::TcpStream;

use bytes::BytesMut;
use pgwire::messages::{DecodeContext, PgWireFrontendMessage, ProtocolVersion};
use rusqlite::types::Value;

/// The user that may exceed the connection limit, as PostgreSQL reserves connections for superusers.
pub const SUPERUSER: &str = "bench";

/// The client of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Client {
    /// The failure domain, taken from the end of the application name.
    pub domain: String,
    /// Whether the client is exempt from the connection limit.
    pub superuser: bool,
}

/// The first request on a connection.
#[derive(Debug)]
pub enum Startup {
    /// Cancels the statement that runs on the connection with this process id.
    Cancel(i32),
    /// Starts a session.
    Client(Client),
}

/// Reads the start-up packet, and declines TLS and GSS encryption before it.
pub fn read_startup(reader: &mut impl Read, socket: &mut TcpStream) -> anyhow::Result<Startup> {
    loop {
        let mut header = [0; 8];
        reader.read_exact(&mut header)?;
        let len = u32::from_be_bytes(header[..4].try_into()?) as usize;
        let code = u32::from_be_bytes(header[4..].try_into()?);
        anyhow::ensure!(
            (8..10_000).contains(&len),
            "start-up packet of {len} bytes is out of range"
        );
        let mut body = vec![0; len - 8];
        reader.read_exact(&mut body)?;
        match code {
            80_877_103 | 80_877_104 => socket.write_all(b"N")?,
            80_877_102 => {
                let (process_id, secret) = body.split_at(body.len().min(4));
                anyhow::ensure!(process_id == secret, "cancel request with a wrong secret");
                return Ok(Startup::Cancel(i32::from_be_bytes(process_id.try_into()?)));
            }
            _ => {
                let text = String::from_utf8_lossy(&body).into_owned();
                let mut fields = text.split('\0');
                let mut client = Client { domain: String::new(), superuser: false };
                while let (Some(name), Some(value)) = (fields.next(), fields.next()) {
                    match name {
                        "application_name" => {
                            client.domain = value.rsplit('/').next().unwrap_or_default().to_owned();
                        }
                        "user" => client.superuser = value == SUPERUSER,
                        _ => {}
                    }
                }
                return Ok(Startup::Client(client));
            }
        }
    }
}

/// Reads a message; returns `None` if its header can't be read, as at the end of the stream or after a timeout.
pub fn read_message(reader: &mut impl Read) -> anyhow::Result<Option<PgWireFrontendMessage>> {
    let mut header = [0; 5];
    if reader.read_exact(&mut header).is_err() {
        return Ok(None);
    }
    let len = u32::from_be_bytes(header[1..].try_into()?) as usize;
    anyhow::ensure!((4..64 * 1024 * 1024).contains(&len), "message of {len} bytes is out of range");
    let mut body = vec![0; len - 4];
    reader.read_exact(&mut body)?;
    let mut bytes = BytesMut::from(&header[..]);
    bytes.extend_from_slice(&body);
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    Ok(PgWireFrontendMessage::decode(&mut bytes, &context)?)
}

/// Decodes a parameter of the type `type_oid`.
pub fn decode_parameter(bytes: Option<&[u8]>, type_oid: u32, binary: bool) -> Value {
    let Some(bytes) = bytes else {
        return Value::Null;
    };
    let number = || match bytes.len() {
        2 => i64::from(i16::from_be_bytes(bytes.try_into().unwrap_or_default())),
        4 => i64::from(i32::from_be_bytes(bytes.try_into().unwrap_or_default())),
        _ => i64::from_be_bytes(bytes.try_into().unwrap_or_default()),
    };
    let text = String::from_utf8_lossy(bytes).into_owned();
    match (type_oid, binary) {
        (20 | 21 | 23, true) => Value::Integer(number()),
        (20 | 21 | 23, false) => text.parse().map_or(Value::Text(text), Value::Integer),
        (701, true) => Value::Real(f64::from_be_bytes(bytes.try_into().unwrap_or_default())),
        (701, false) => text.parse().map_or(Value::Text(text), Value::Real),
        (17, true) => Value::Blob(bytes.to_vec()),
        _ => Value::Text(text),
    }
}
