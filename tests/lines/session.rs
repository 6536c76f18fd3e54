//! The statements of one connection to an instance.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use super::content::{self, Content, join, split_word};
use super::group::{Group, Instance, last_position, parse_position, replicate_newest};

/// Stands between the shape and the arguments in a resolved text. No field contains it.
const ARGUMENTS: &[u8] = b"\r\n";

/// The state of a connection to an instance.
#[derive(Default)]
pub(super) struct Session {
    /// The length of the log after a commit that waits for its acknowledgement.
    pub(super) committed: Option<usize>,
    /// The account that the connection was opened for.
    pub(super) account: String,
    pub(super) values: BTreeMap<Content, Content>,
    /// The verbs and shapes of prepared statements.
    pub(super) prepared: BTreeMap<Content, (Content, Content)>,
    pub(super) transaction: Option<Vec<(Content, Content)>>,
    /// The numbers of the connection and of the open transaction in the ledger.
    pub(super) connection: usize,
    pub(super) number: Option<usize>,
}

/// Splits off the position that a statement waits for.
pub(super) fn split_mark(statement: &[u8]) -> (Option<(u64, usize)>, &[u8]) {
    match statement.strip_prefix(b"AFTER ").map(split_word) {
        Some((mark, Some(text))) => (Some(parse_position(&Content::from(mark).text())), text),
        Some((_, None)) | None => (None, statement),
    }
}

/// Returns the text of `EXEC` with the shape of the prepared statement in place of its name. Arguments that are empty differ
/// from none.
pub fn resolve_exec(verb_and_shape: &[u8], arguments: Option<&[u8]>) -> Content {
    match arguments {
        Some(arguments) => join(&[b"EXEC ", verb_and_shape, ARGUMENTS, arguments]),
        None => join(&[b"EXEC ", verb_and_shape]),
    }
}

impl Session {
    /// Returns a statement without the position that it waits for, and with the shape in place of a prepared name.
    pub(super) fn resolve(&self, statement: &[u8]) -> Content {
        let (_, text) = split_mark(statement);
        let Some(rest) = text.strip_prefix(b"EXEC ") else { return text.into() };
        let (name, arguments) = split_word(rest);
        match self.prepared.get(&Content::from(name)) {
            Some((verb, shape)) => resolve_exec(&join(&[verb, b" ", shape]), arguments),
            None => text.into(),
        }
    }
}

impl Group {
    pub(super) fn execute(
        &self,
        index: usize,
        session: &mut Session,
        text: &[u8],
    ) -> (Vec<Content>, Result<Content, String>) {
        let (after, text) = split_mark(text);
        let mut instances = self.lock();
        let behind =
            after.is_some_and(|mark| mark > parse_position(&last_position(&instances[index].log)));
        if behind {
            return (vec![], Err("LAGGING".to_owned()));
        }
        let prepared = match split_word(text) {
            (b"EXEC", Some(rest)) => {
                let (name, arguments) = split_word(rest);
                match session.prepared.get(&Content::from(name)) {
                    Some((verb, _)) => Some(join(&[verb, b" ", arguments.unwrap_or_default()])),
                    None => return (vec![], Err("NOSTMT".to_owned())),
                }
            }
            _ => None,
        };
        let text = prepared.as_deref().unwrap_or(text);
        let account = session.account.clone();
        let record = |instances: &mut Vec<Instance>, values: &BTreeMap<Content, Content>| {
            instances[index].executed.push((text.into(), values.clone()));
            instances[index].accounts.push(account.clone());
            let number = self.signatures.fetch_add(1, Ordering::SeqCst);
            let mut signature: Content =
                format!("signature-{}-{number}", instances[index].id).into();
            if self.service.has_odd_signatures() {
                signature.push(content::PIECES[number as usize % content::PIECES.len()]);
            }
            self.signed.lock().unwrap().insert(signature.clone(), text.into());
            Ok(signature)
        };
        let done = || (vec![], Ok("-".into()));
        match split_word(text) {
            (b"STATUS" | b"RESUME", None) | (b"DEMOTE" | b"PAUSE", Some(_)) => {
                let text = Content::from(text).text();
                let row = Self::command(&mut instances, index, &text);
                (vec![row.into()], Ok("-".into()))
            }
            (b"RESET", None) => {
                session.values.clear();
                session.prepared.clear();
                done()
            }
            (b"SET", Some(rest)) => {
                let (name, value) = split_word(rest);
                session.values.insert(name.into(), value.unwrap_or_default().into());
                done()
            }
            (b"PREPARE", Some(rest)) => {
                let (name, rest) = split_word(rest);
                let (verb, shape) = split_word(rest.unwrap_or_default());
                let (b"FETCH" | b"PUT", Some(shape)) = (verb, shape) else {
                    return (vec![], Err("MALFORMED".to_owned()));
                };
                session.prepared.insert(name.into(), (verb.into(), shape.into()));
                done()
            }
            (b"BEGIN", None) if !instances[index].primary => (vec![], Err("READONLY".to_owned())),
            (b"BEGIN", None | Some(b"FETCH")) => {
                session.transaction = Some(Vec::new());
                done()
            }
            (b"ROLLBACK", None) => {
                session.transaction = None;
                done()
            }
            (b"FETCH", Some(rest)) => {
                let (item, rest) = split_word(rest);
                let log = &instances[index].log;
                let row = log.iter().rev().find(|(_, known, _)| **known == *item);
                let row = row.map_or_else(|| "nothing".into(), |(.., data)| data.clone());
                let count = rest.and_then(|rest| rest.strip_prefix(b"rows "));
                let count = count.and_then(|count| Content::from(count).text().parse().ok());
                (vec![row; count.unwrap_or(1)], record(&mut instances, &session.values))
            }
            (b"PUT", Some(_)) if !instances[index].primary => (vec![], Err("READONLY".to_owned())),
            (b"PUT", Some(rest)) => {
                let (item, data) = split_word(rest);
                let write = (item.into(), data.unwrap_or_default().into());
                match &mut session.transaction {
                    Some(writes) => writes.push(write),
                    None => Self::commit(&mut instances, index, session, vec![write]),
                }
                (vec![], record(&mut instances, &session.values))
            }
            (b"COMMIT", None) => {
                let writes = session.transaction.take().unwrap_or_default();
                if !writes.is_empty() && !instances[index].primary {
                    return (vec![], Err("READONLY".to_owned()));
                }
                Self::commit(&mut instances, index, session, writes);
                (vec![], record(&mut instances, &session.values))
            }
            _ => (vec![], Err("MALFORMED".to_owned())),
        }
    }

    /// Runs a command of the system itself, and returns its row.
    fn command(instances: &mut [Instance], index: usize, text: &str) -> String {
        let words: Vec<&str> = text.split(' ').collect();
        match words.as_slice() {
            ["PAUSE", term] if !instances[index].primary => {
                let term: u64 = term.parse().unwrap();
                if term > instances[index].term {
                    instances[index].held_term = term;
                }
            }
            ["RESUME"] => instances[index].held_term = 0,
            ["DEMOTE", term] if term.parse::<u64>().unwrap() > instances[index].term => {
                instances[index].primary = false;
            }
            _ => {}
        }
        if matches!(words.as_slice(), ["RESUME"] | ["DEMOTE", _]) {
            replicate_newest(instances);
        }
        let instance = &instances[index];
        let role = if instance.primary { "primary" } else { "replica" };
        let (term, position) = (instance.term, last_position(&instance.log));
        format!("{role} {term} {position} {} 0 0 1", instance.held_term)
    }
}
