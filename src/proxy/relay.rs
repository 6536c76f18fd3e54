//! Relays the answer of an upstream to a caller, message by message and with bounded memory. Messages that acknowledge
//! a write are held back until the fence releases them.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Buf, BufMut, BytesMut};
use smol::io::AsyncWriteExt;

use super::pool::Connection;
use crate::clock::Clock;
use crate::pgsql::{self, Message, Socket};

/// The buffer is written to the caller once it holds this many bytes.
const FLUSH_BYTES: usize = 16 * 1024;

/// The maximum number of bytes of an answer that are held back.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// A message that was sent to the upstream, or a reply of the proxy itself, at its place in the order of replies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Step {
    /// A simple query, or the end of an extended batch.
    Ready,
    /// A `Parse`. Once it is complete, the connection has a prepared statement of this name.
    Parse {
        /// The name of the statement at the upstream; empty for the unnamed statement.
        name: String,
        /// Whether the caller sent the `Parse`, so that its reply is relayed.
        relayed: bool,
    },
    /// A `Bind`.
    Bind,
    /// A `Close`.
    Close,
    /// A `Describe`.
    Describe,
    /// An `Execute`.
    Execute,
    /// A reply that the proxy creates itself.
    LocalReply(Message),
}

/// A request to the upstream, and how its answer is relayed.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// The bytes to send.
    pub(super) bytes: BytesMut,
    /// The expected replies, in order.
    pub(super) steps: VecDeque<Step>,
    /// Whether messages that acknowledge a write are held back.
    pub(super) hold_acknowledgement: bool,
    /// Whether the whole answer is held back.
    pub(super) hold_all: bool,
    /// The timeout for the first message of the answer.
    pub(super) first_message_timeout: Option<Duration>,
    /// Whether an unnamed portal may be used by a later exchange. A simple query in between would close it.
    pub(super) leaves_portal: bool,
}

/// The result of an exchange that was relayed up to its end.
#[derive(Debug, Default)]
pub(super) struct Completion {
    /// The status of the last `ReadyForQuery`: `I`, `T` or `E`.
    pub(super) status: u8,
    /// The messages that were held back.
    pub(super) held: BytesMut,
    /// Whether the upstream reported an error.
    pub(super) failed: bool,
    /// The SQLSTATE of the error; empty if there was none.
    pub(super) sqlstate: String,
    /// The last command tag.
    pub(super) command_tag: String,
    /// Whether the answer has rows.
    pub(super) has_rows: bool,
}

/// Why an exchange was not completed.
#[derive(Debug)]
pub(super) enum Error {
    /// The upstream failed.
    Upstream {
        /// The failure.
        error: pgsql::Error,
        /// Whether a part of the answer was written to the caller.
        relayed: bool,
    },
    /// Writing to the caller failed.
    Caller(std::io::Error),
}

/// Writes to the caller through a buffer.
#[derive(Debug)]
pub(super) struct Writer {
    socket: Socket,
    /// The bytes that are not written yet.
    pub(super) out: BytesMut,
    /// Whether any byte of the current answer was written.
    written: bool,
}

impl Writer {
    pub(super) fn new(socket: Socket) -> Self {
        Self { socket, out: BytesMut::new(), written: false }
    }

    /// Starts the answer to a request.
    pub(super) fn begin_answer(&mut self) {
        self.written = false;
    }

    /// Discards the buffered part of the answer if no part of it was written. Returns whether it was discarded.
    pub(super) fn discard_unwritten(&mut self) -> bool {
        if !self.written {
            self.out.clear();
        }
        !self.written
    }

    /// Writes the buffer. If the future is dropped before it completes, the rest stays in the buffer, so that the
    /// stream of messages stays intact.
    pub(super) async fn flush(&mut self) -> std::io::Result<()> {
        while !self.out.is_empty() {
            let len = self.socket.write(&self.out).await?;
            if len == 0 {
                return Err(std::io::ErrorKind::WriteZero.into());
            }
            self.written = true;
            self.out.advance(len);
        }
        self.socket.flush().await
    }

    /// Frees the memory of an empty buffer, which may be large after a long answer.
    pub(super) fn release_buffer(&mut self) {
        if self.out.is_empty() {
            self.out = BytesMut::new();
        }
    }

    async fn push(&mut self, message: &Message) -> Result<(), Error> {
        message.write(&mut self.out);
        if self.out.len() >= FLUSH_BYTES {
            self.flush().await.map_err(Error::Caller)?;
        }
        Ok(())
    }
}

/// Relays the answer until the upstream is ready for the next query. The `ReadyForQuery` itself is not relayed.
pub(super) async fn relay(
    clock: &Clock,
    connection: &mut Connection,
    exchange: &mut Exchange,
    writer: &mut Writer,
) -> Result<Completion, Error> {
    let mut completion = Completion::default();
    loop {
        write_local_replies(exchange, &mut completion, writer).await?;
        let received = receive(clock, connection, exchange.first_message_timeout.take()).await;
        let message = match received {
            Ok(message) => message,
            Err(error) => return Err(Error::Upstream { error, relayed: writer.written }),
        };
        if message.tag == b'Z' {
            completion.status = message.body.first().copied().unwrap_or(b'I');
            return Ok(completion);
        }
        let relayed = complete_step(exchange, connection, &message);
        match message.tag {
            b'E' => {
                completion.failed = true;
                completion.sqlstate = sqlstate(&message);
            }
            b'C' => completion.command_tag = command_tag(&message),
            b'D' | b'T' => completion.has_rows = true,
            b'G' | b'H' | b'W' => {
                let error = pgsql::Error::Protocol("COPY is not supported");
                return Err(Error::Upstream { error, relayed: writer.written });
            }
            _ => {}
        }
        let held_back = exchange.hold_all
            || exchange.hold_acknowledgement && matches!(message.tag, b'C' | b'E');
        if !relayed {
            continue;
        }
        if held_back || !completion.held.is_empty() {
            hold(&mut completion.held, &message, writer.written)?;
        } else {
            writer.push(&message).await?;
        }
    }
}

async fn receive(
    clock: &Clock,
    connection: &mut Connection,
    timeout: Option<Duration>,
) -> Result<Message, pgsql::Error> {
    let Some(timeout) = timeout else {
        return connection.client.receive().await;
    };
    let received = clock.timeout(timeout, connection.client.receive()).await;
    received.unwrap_or(Err(pgsql::Error::Timeout(timeout)))
}

/// Returns the SQLSTATE of an `ErrorResponse`.
fn sqlstate(message: &Message) -> String {
    let mut fields = message.body.split(|byte| *byte == 0);
    let sqlstate = fields.find_map(|field| field.strip_prefix(b"C"));
    String::from_utf8_lossy(sqlstate.unwrap_or_default()).into_owned()
}

/// Returns the command tag of a `CommandComplete`.
fn command_tag(message: &Message) -> String {
    let text = message.body.strip_suffix(&[0]).unwrap_or(&message.body);
    String::from_utf8_lossy(text).into_owned()
}

/// Writes or holds back the replies of the proxy itself, up to the next reply of the upstream.
async fn write_local_replies(
    exchange: &mut Exchange,
    completion: &mut Completion,
    writer: &mut Writer,
) -> Result<(), Error> {
    while let Some(Step::LocalReply(message)) = exchange.steps.front() {
        if completion.held.is_empty() && !exchange.hold_all {
            writer.push(message).await?;
        } else {
            hold(&mut completion.held, message, writer.written)?;
        }
        exchange.steps.pop_front();
    }
    Ok(())
}

/// Appends a message to the held messages, unless they exceed the limit.
fn hold(held: &mut BytesMut, message: &Message, relayed: bool) -> Result<(), Error> {
    if held.len() + message.body.len() > MAX_HELD_BYTES {
        let error =
            pgsql::Error::TooLong { len: held.len() + message.body.len(), limit: MAX_HELD_BYTES };
        return Err(Error::Upstream { error, relayed });
    }
    message.write(held);
    Ok(())
}

/// Removes the step that `message` completes, if any. Returns whether the message is relayed to the caller.
fn complete_step(exchange: &mut Exchange, connection: &mut Connection, message: &Message) -> bool {
    if message.tag == b'E' {
        exchange.steps.clear();
        return true;
    }
    let completes = matches!(
        (exchange.steps.front(), message.tag),
        (Some(Step::Parse { .. }), b'1')
            | (Some(Step::Bind), b'2')
            | (Some(Step::Close), b'3')
            | (Some(Step::Describe), b'T' | b'n')
            | (Some(Step::Execute), b'C' | b'I' | b's')
    );
    if !completes {
        return true;
    }
    match exchange.steps.pop_front() {
        Some(Step::Parse { name, relayed }) => {
            if !name.is_empty() {
                connection.prepared.insert(name);
            }
            relayed
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
