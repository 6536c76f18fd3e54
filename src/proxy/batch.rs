//! The extended protocol: a caller's prepared statements, and its message batches up to `Sync`, which are rewritten so
//! that they run on any pooled connection.

use std::collections::{HashMap, HashSet, VecDeque};

use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::{Bind, Close, Describe, Parse};
use pgwire::messages::{DecodeContext, ProtocolVersion};
use sha2::{Digest, Sha256};

use super::classify::{self, Kind, KindCache, Tags};
use super::relay::{Exchange, Step};
use crate::pgsql::{Error, MAX_MESSAGE_BYTES, Message};

/// The maximum number of prepared statements of one caller.
const MAX_STATEMENTS: usize = 1_000;

/// The maximum length of the prepared statements of one caller in bytes.
const MAX_STATEMENTS_BYTES: usize = MAX_MESSAGE_BYTES;

/// A statement prepared by the caller.
#[derive(Debug, Clone)]
struct PreparedStatement {
    /// The `Parse` message as it is sent to the upstream.
    parse: Message,
    /// The name at the upstream. The unnamed statement stays unnamed.
    upstream_name: String,
    kind: Kind,
    tags: Tags,
}

/// The prepared statements of one caller.
#[derive(Debug, Default)]
pub(super) struct Statements {
    prepared: HashMap<String, PreparedStatement>,
    /// The length of the `Parse` messages of `prepared`.
    bytes: usize,
}

/// The messages that the caller sent since its last `Sync`.
#[derive(Debug, Default)]
pub(super) struct Batch {
    messages: Vec<Message>,
}

/// The properties of a batch that routing depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Summary {
    pub(super) kind: Kind,
    pub(super) tags: Tags,
    /// The number of executed statements.
    pub(super) executes: u32,
}

impl Batch {
    pub(super) fn push(&mut self, message: Message) {
        self.messages.push(message);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    pub(super) fn bytes(&self) -> usize {
        self.messages.iter().map(|message| message.body.len()).sum()
    }

    /// Returns whether a portal may be executed further after the batch: one that was not executed, or only up to a
    /// number of rows.
    fn leaves_portal(&self) -> bool {
        let mut bound = 0_usize;
        for message in &self.messages {
            match message.tag {
                b'B' => bound += 1,
                // The message ends with the maximum number of rows.
                b'E' if message.body.ends_with(&[0; 4]) => bound = bound.saturating_sub(1),
                b'E' => return true,
                _ => {}
            }
        }
        bound > 0
    }

    /// Returns the text of the first statement that the batch prepares, if any.
    pub(super) fn statement_text(&self) -> Option<Vec<u8>> {
        let parse = self.messages.iter().find(|message| message.tag == b'P')?;
        let parse: Parse = decode(parse).ok()?;
        Some(parse.query.into_bytes())
    }

    /// Writes the answer to a batch that the proxy executes itself.
    pub(super) fn write_local_answer(&self, tag: &str, out: &mut BytesMut) {
        for message in &self.messages {
            let (kind, body) = match message.tag {
                b'P' => (b'1', Bytes::new()),
                b'B' => (b'2', Bytes::new()),
                b'C' => (b'3', Bytes::new()),
                b'D' => {
                    if message.body.first() == Some(&b'S') {
                        // A statement that the proxy executes has no parameters, or the caller knows them.
                        Message { tag: b't', body: Bytes::from_static(&[0, 0]) }.write(out);
                    }
                    (b'n', Bytes::new())
                }
                b'E' => (b'C', Bytes::from(format!("{tag}\0"))),
                _ => continue,
            };
            Message { tag: kind, body }.write(out);
        }
    }
}

impl Statements {
    /// Registers the statements that the batch prepares and returns a summary of the batch.
    pub(super) fn register(&mut self, batch: &Batch, kinds: &KindCache) -> Result<Summary, Error> {
        let mut summary = Summary { kind: Kind::Empty, tags: Tags::default(), executes: 0 };
        let mut portals: HashMap<String, String> = HashMap::new();
        for message in &batch.messages {
            match message.tag {
                b'P' => self.prepare(decode(message)?, kinds)?,
                b'B' => {
                    let bind: Bind = decode(message)?;
                    let portal = bind.portal_name.unwrap_or_default();
                    portals.insert(portal, bind.statement_name.unwrap_or_default());
                }
                b'E' => {
                    let execute: pgwire::messages::extendedquery::Execute = decode(message)?;
                    let portal = portals.get(&execute.name.unwrap_or_default());
                    if let Some(prepared) = portal.and_then(|name| self.prepared.get(name)) {
                        summary.kind = combine(summary.kind, prepared.kind);
                        summary.tags = prepared.tags.clone();
                        summary.executes += 1;
                    }
                }
                _ => {}
            }
        }
        for message in batch.messages.iter().filter(|message| message.tag == b'P') {
            let parse: Parse = decode(message)?;
            let name = parse.name.unwrap_or_default();
            if let Some(PreparedStatement { kind: refused @ Kind::Refused(_), .. }) =
                self.prepared.get(&name)
            {
                summary.kind = *refused;
            }
        }
        Ok(summary)
    }

    fn prepare(&mut self, mut parse: Parse, kinds: &KindCache) -> Result<(), Error> {
        let caller_name = parse.name.take().unwrap_or_default();
        if self.prepared.len() >= MAX_STATEMENTS && !self.prepared.contains_key(&caller_name) {
            return Err(Error::Protocol("too many prepared statements"));
        }
        let kind = kinds.kind(&parse.query);
        let tags = classify::tags(&parse.query);
        // Without their comments, statements that differ only in their keys share a prepared statement upstream.
        parse.query = classify::strip_comment(&parse.query).to_owned();
        let upstream_name =
            if caller_name.is_empty() { String::new() } else { upstream_name(&parse) };
        parse.name = (!upstream_name.is_empty()).then(|| upstream_name.clone());
        let parse = encode(b'P', &parse)?;
        self.remove(&caller_name);
        if self.bytes + parse.body.len() > MAX_STATEMENTS_BYTES {
            return Err(Error::Protocol("the prepared statements are too large together"));
        }
        self.bytes += parse.body.len();
        self.prepared.insert(caller_name, PreparedStatement { parse, upstream_name, kind, tags });
        Ok(())
    }

    /// Builds the exchange that runs the batch on a connection on which the statements `existing` are prepared already.
    pub(super) fn exchange(
        &mut self,
        batch: &Batch,
        existing: &HashSet<String>,
    ) -> Result<Exchange, Error> {
        let mut builder = ExchangeBuilder {
            bytes: BytesMut::new(),
            steps: VecDeque::new(),
            existing: existing.clone(),
        };
        let mut unnamed_prepared = false;
        for message in &batch.messages {
            match message.tag {
                b'P' => {
                    let parse: Parse = decode(message)?;
                    let name = parse.name.unwrap_or_default();
                    unnamed_prepared |= name.is_empty();
                    if let Some(prepared) = self.prepared.get(&name) {
                        builder.parse(prepared, true);
                    }
                }
                b'B' => {
                    let mut bind: Bind = decode(message)?;
                    let name = bind.statement_name.take().unwrap_or_default();
                    bind.statement_name =
                        self.ensure_prepared(&name, &mut unnamed_prepared, &mut builder);
                    builder.send(&encode(b'B', &bind)?, Step::Bind);
                }
                b'D' => {
                    let mut describe: Describe = decode(message)?;
                    if describe.target_type == b'S' {
                        let name = describe.name.take().unwrap_or_default();
                        describe.name =
                            self.ensure_prepared(&name, &mut unnamed_prepared, &mut builder);
                    }
                    builder.send(&encode(b'D', &describe)?, Step::Describe);
                }
                b'C' => {
                    let close: Close = decode(message)?;
                    if close.target_type == b'S' {
                        self.remove(&close.name.unwrap_or_default());
                        let complete = Message { tag: b'3', body: Bytes::new() };
                        builder.steps.push_back(Step::LocalReply(complete));
                    } else {
                        builder.send(message, Step::Close);
                    }
                }
                b'E' => builder.send(message, Step::Execute),
                _ => return Err(Error::Protocol("a message that has no place in a batch")),
            }
        }
        builder.send(&Message { tag: b'S', body: Bytes::new() }, Step::Ready);
        let ExchangeBuilder { bytes, steps, .. } = builder;
        let leaves_portal = batch.leaves_portal();
        Ok(Exchange { bytes, steps, leaves_portal, ..Exchange::default() })
    }

    /// Removes all statements.
    pub(super) fn clear(&mut self) {
        self.prepared.clear();
        self.bytes = 0;
    }

    fn remove(&mut self, name: &str) {
        if let Some(removed) = self.prepared.remove(name) {
            self.bytes -= removed.parse.body.len();
        }
    }

    /// Returns the digest of the single statement that a batch executes, over its text and its parameters.
    pub(super) fn digest(&self, batch: &Batch) -> Result<String, Error> {
        let mut hash = Sha256::new();
        for message in batch.messages.iter().filter(|message| message.tag == b'B') {
            let bind: Bind = decode(message)?;
            let name = bind.statement_name.unwrap_or_default();
            if let Some(prepared) = self.prepared.get(&name) {
                let parse: Parse = decode(&prepared.parse)?;
                hash.update(parse.query.as_bytes());
            }
            for code in &bind.parameter_format_codes {
                hash.update(code.to_be_bytes());
            }
            for parameter in &bind.parameters {
                let len = parameter.as_ref().map_or(-1, |value| value.len() as i64);
                hash.update(len.to_be_bytes());
                hash.update(parameter.as_deref().unwrap_or_default());
            }
        }
        Ok(hex(&hash.finalize()))
    }

    /// Prepares the statement unless it exists on the connection, and returns its name there.
    fn ensure_prepared(
        &self,
        name: &str,
        unnamed_prepared: &mut bool,
        builder: &mut ExchangeBuilder,
    ) -> Option<String> {
        let Some(prepared) = self.prepared.get(name) else {
            return Some(name.to_owned());
        };
        if prepared.upstream_name.is_empty() {
            if !*unnamed_prepared {
                builder.parse(prepared, false);
                *unnamed_prepared = true;
            }
            return None;
        }
        if !builder.existing.contains(&prepared.upstream_name) {
            builder.parse(prepared, false);
        }
        Some(prepared.upstream_name.clone())
    }
}

/// Builds an exchange.
struct ExchangeBuilder {
    bytes: BytesMut,
    steps: VecDeque<Step>,
    existing: HashSet<String>,
}

impl ExchangeBuilder {
    fn send(&mut self, message: &Message, step: Step) {
        message.write(&mut self.bytes);
        self.steps.push_back(step);
    }

    fn parse(&mut self, prepared: &PreparedStatement, relayed: bool) {
        if self.existing.contains(&prepared.upstream_name) {
            if relayed {
                let complete = Message { tag: b'1', body: Bytes::new() };
                self.steps.push_back(Step::LocalReply(complete));
            }
            return;
        }
        if !prepared.upstream_name.is_empty() {
            self.existing.insert(prepared.upstream_name.clone());
        }
        self.send(&prepared.parse, Step::Parse { name: prepared.upstream_name.clone(), relayed });
    }
}

fn combine(a: Kind, b: Kind) -> Kind {
    match (a, b) {
        (Kind::Empty, other) | (other, Kind::Empty) => other,
        (Kind::Refused(reason), _) | (_, Kind::Refused(reason)) => Kind::Refused(reason),
        (Kind::Read, Kind::Read) => Kind::Read,
        (Kind::Local(local), Kind::Local(_)) => Kind::Local(local),
        (Kind::Read | Kind::Write, Kind::Read | Kind::Write) => Kind::Write,
        _ => Kind::Refused("transaction control goes in a batch of its own"),
    }
}

/// Derives the name from the text and the parameter types, so that callers with the same statement share it. A NUL, which
/// no text contains, separates the two.
fn upstream_name(parse: &Parse) -> String {
    let mut hash = Sha256::new();
    hash.update(parse.query.as_bytes());
    hash.update([0]);
    for oid in &parse.type_oids {
        hash.update(oid.to_be_bytes());
    }
    let digest = hash.finalize();
    format!("ch_{}", hex(&digest[..16]))
}

/// Encodes bytes in hexadecimal.
pub(super) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode<T: pgwire::messages::Message>(message: &Message) -> Result<T, Error> {
    let mut body = BytesMut::from(&message.body[..]);
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    T::decode_body(&mut body, message.body.len() + 4, &context)
        .map_err(|_| Error::Protocol("a message that can't be decoded"))
}

fn encode(tag: u8, message: &impl pgwire::messages::Message) -> Result<Message, Error> {
    let mut body = BytesMut::new();
    let encoded = message.encode_body(&mut body);
    encoded.map_err(|_| Error::Protocol("a message that can't be encoded"))?;
    Ok(Message { tag, body: body.freeze() })
}
