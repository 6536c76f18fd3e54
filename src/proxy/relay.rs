//! Relays the answer of an upstream to a caller: message by message, with bounded memory, and with the messages
//! that acknowledge a write held back until the fence lets them go.

use std::collections::VecDeque;

use bytes::{BufMut, BytesMut};
use smol::io::AsyncWriteExt;

use super::pool::Connection;
use crate::pgsql::{Error, Message, Socket};

/// How many bytes are collected before they are written to the caller.
const FLUSH_BYTES: usize = 16 * 1024;

/// The most bytes of an answer that are held back.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// One message that was sent to the upstream, or one that the proxy answers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Step {
    /// A simple query, or the end of an extended batch.
    Ready,
    /// A `Parse`; once it is complete the connection holds the statement of this name.
    Parse {
        /// The statement's name at the upstream, empty for the unnamed one.
        name: String,
        /// Whether the caller sent it, and so gets the answer.
        asked: bool,
    },
    /// A `Bind`.
    Bind,
    /// A `Close`.
    Close,
    /// A `Describe`.
    Describe,
    /// An `Execute`.
    Execute,
    /// The proxy answers with this.
    Answered(Message),
}

/// What is sent to the upstream, and how its answer is treated.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// The bytes to send.
    pub(super) bytes: BytesMut,
    /// What will be answered, in order.
    pub(super) steps: VecDeque<Step>,
    /// Whether what acknowledges a write is held back.
    pub(super) hold: bool,
}

/// How an exchange ended.
#[derive(Debug, Default)]
pub(super) struct Finish {
    /// The status of the last `ReadyForQuery`: `I`, `T` or `E`.
    pub(super) status: u8,
    /// What was held back.
    pub(super) held: BytesMut,
    /// Whether the upstream reported an error.
    pub(super) failed: bool,
}

/// Why an exchange broke off.
#[derive(Debug)]
pub(super) enum Broken {
    /// The upstream failed; `relayed` tells whether the caller got a part of the answer.
    Upstream {
        /// Why.
        error: Error,
        /// Whether a part was relayed.
        relayed: bool,
    },
    /// The caller is gone.
    Caller(std::io::Error),
}

/// The way to the caller, with what was not written yet.
#[derive(Debug)]
pub(super) struct Writer {
    socket: Socket,
    pub(super) out: BytesMut,
    written: bool,
}

impl Writer {
    pub(super) fn new(socket: Socket) -> Self {
        Self { socket, out: BytesMut::new(), written: false }
    }

    /// Writes what was collected.
    pub(super) async fn flush(&mut self) -> std::io::Result<()> {
        self.written |= !self.out.is_empty();
        self.socket.write_all(&self.out).await?;
        self.socket.flush().await?;
        self.out.clear();
        Ok(())
    }

    async fn push(&mut self, message: &Message) -> Result<(), Broken> {
        message.write(&mut self.out);
        if self.out.len() >= FLUSH_BYTES {
            self.flush().await.map_err(Broken::Caller)?;
        }
        Ok(())
    }
}

/// Relays until the upstream is ready again. The `ReadyForQuery` itself is not relayed.
pub(super) async fn relay(
    connection: &mut Connection,
    exchange: &mut Exchange,
    writer: &mut Writer,
) -> Result<Finish, Broken> {
    let mut finish = Finish::default();
    writer.written = false;
    writer.out.clear();
    loop {
        answer_own(&mut exchange.steps, &mut finish, writer).await?;
        let message = match connection.client.receive().await {
            Ok(message) => message,
            Err(error) => return Err(Broken::Upstream { error, relayed: writer.written }),
        };
        if message.tag == b'Z' {
            finish.status = message.body.first().copied().unwrap_or(b'I');
            return Ok(finish);
        }
        let asked = advance(exchange, connection, &message);
        if message.tag == b'E' {
            finish.failed = true;
        }
        let acknowledges = exchange.hold && matches!(message.tag, b'C' | b'E');
        if !asked {
            continue;
        }
        if acknowledges || !finish.held.is_empty() {
            hold(&mut finish.held, &message, writer.written)?;
        } else {
            writer.push(&message).await?;
        }
    }
}

/// Answers the steps that the proxy answers itself, up to the next one of the upstream.
async fn answer_own(
    steps: &mut VecDeque<Step>,
    finish: &mut Finish,
    writer: &mut Writer,
) -> Result<(), Broken> {
    while let Some(Step::Answered(message)) = steps.front() {
        if finish.held.is_empty() {
            writer.push(message).await?;
        } else {
            hold(&mut finish.held, message, writer.written)?;
        }
        steps.pop_front();
    }
    Ok(())
}

fn hold(held: &mut BytesMut, message: &Message, relayed: bool) -> Result<(), Broken> {
    if held.len() + message.body.len() > MAX_HELD_BYTES {
        let error = Error::TooLong { len: held.len() + message.body.len(), limit: MAX_HELD_BYTES };
        return Err(Broken::Upstream { error, relayed });
    }
    message.write(held);
    Ok(())
}

/// Moves past the step that `message` completes; returns whether the caller gets the message.
fn advance(exchange: &mut Exchange, connection: &mut Connection, message: &Message) -> bool {
    if message.tag == b'E' {
        exchange.steps.clear();
        return true;
    }
    let done = matches!(
        (exchange.steps.front(), message.tag),
        (Some(Step::Parse { .. }), b'1')
            | (Some(Step::Bind), b'2')
            | (Some(Step::Close), b'3')
            | (Some(Step::Describe), b'T' | b'n')
            | (Some(Step::Execute), b'C' | b'I' | b's')
    );
    if !done {
        return true;
    }
    match exchange.steps.pop_front() {
        Some(Step::Parse { name, asked }) => {
            if !name.is_empty() {
                connection.prepared.insert(name);
            }
            asked
        }
        _ => true,
    }
}

/// Appends a `ParameterStatus`.
pub(super) fn write_parameter(name: &str, value: &str, out: &mut BytesMut) {
    out.put_u8(b'S');
    out.put_u32(4 + name.len() as u32 + 1 + value.len() as u32 + 1);
    out.put_slice(name.as_bytes());
    out.put_u8(0);
    out.put_slice(value.as_bytes());
    out.put_u8(0);
}
