//! The statements of one connection to an instance.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use super::group::{Group, Instance, last_position, parse_position, replicate_newest};

/// The state of a connection to an instance.
#[derive(Default)]
pub(super) struct Session {
    /// The length of the log after a commit that waits for its acknowledgement.
    pub(super) committed: Option<usize>,
    /// The account that the connection was opened for.
    pub(super) account: String,
    pub(super) values: BTreeMap<String, String>,
    pub(super) prepared: BTreeMap<String, (String, String)>,
    pub(super) transaction: Option<Vec<(String, String)>>,
    /// The numbers of the connection and of the open transaction in the ledger.
    pub(super) connection: usize,
    pub(super) number: Option<usize>,
}

impl Session {
    /// Returns a statement without the position that it waits for, and with the shape in place of a prepared name.
    pub(super) fn resolve(&self, statement: &str) -> String {
        let text = match statement.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').map_or(rest, |(_, text)| text),
            None => statement,
        };
        let Some(rest) = text.strip_prefix("EXEC ") else { return text.to_owned() };
        let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
        match self.prepared.get(name) {
            Some((verb, shape)) => format!("EXEC {verb} {shape} {arguments}"),
            None => text.to_owned(),
        }
    }
}

impl Group {
    pub(super) fn execute(
        &self,
        index: usize,
        session: &mut Session,
        text: &str,
    ) -> (Vec<String>, Result<String, String>) {
        let (text, after) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (mark, text) = rest.split_once(' ').unwrap();
                (text, Some(parse_position(mark)))
            }
            None => (text, None),
        };
        let mut instances = self.lock();
        let behind =
            after.is_some_and(|mark| mark > parse_position(&last_position(&instances[index].log)));
        if behind {
            return (vec![], Err("LAGGING".to_owned()));
        }
        let words: Vec<&str> = text.split(' ').collect();
        let prepared = match words.as_slice() {
            ["EXEC", name, rest @ ..] => match session.prepared.get(*name) {
                Some((verb, _)) => Some([&[verb.as_str()], rest].concat().join(" ")),
                None => return (vec![], Err("NOSTMT".to_owned())),
            },
            _ => None,
        };
        let text = prepared.as_deref().unwrap_or(text);
        let words: Vec<&str> = text.split(' ').collect();
        let account = session.account.clone();
        let record = |instances: &mut Vec<Instance>, values: &BTreeMap<String, String>| {
            instances[index].executed.push((text.to_owned(), values.clone()));
            instances[index].accounts.push(account.clone());
            let number = self.signatures.fetch_add(1, Ordering::SeqCst);
            let signature = format!("signature-{}-{number}", instances[index].id);
            self.signed.lock().unwrap().insert(signature.clone(), text.to_owned());
            Ok(signature)
        };
        match words.as_slice() {
            ["STATUS"] | ["DEMOTE", _] | ["PAUSE", _] | ["RESUME"] => {
                match words.as_slice() {
                    ["PAUSE", term] if !instances[index].primary => {
                        let term: u64 = term.parse().unwrap();
                        if term > instances[index].term {
                            instances[index].held_term = term;
                        }
                    }
                    ["RESUME"] => instances[index].held_term = 0,
                    _ => {}
                }
                if let ["DEMOTE", term] = words.as_slice()
                    && term.parse::<u64>().unwrap() > instances[index].term
                {
                    instances[index].primary = false;
                }
                if matches!(words.as_slice(), ["RESUME"] | ["DEMOTE", _]) {
                    replicate_newest(&mut instances);
                }
                let instance = &instances[index];
                let role = if instance.primary { "primary" } else { "replica" };
                let (term, position) = (instance.term, last_position(&instance.log));
                let row = format!("{role} {term} {position} {} 0 0 1", instance.held_term);
                (vec![row], Ok("-".to_owned()))
            }
            ["RESET"] => {
                session.values.clear();
                session.prepared.clear();
                (vec![], Ok("-".to_owned()))
            }
            ["SET", name, value @ ..] => {
                session.values.insert((*name).to_owned(), value.join(" "));
                (vec![], Ok("-".to_owned()))
            }
            ["PREPARE", name, verb, template] => {
                session
                    .prepared
                    .insert((*name).to_owned(), ((*verb).to_owned(), (*template).to_owned()));
                (vec![], Ok("-".to_owned()))
            }
            ["BEGIN"] if !instances[index].primary => (vec![], Err("READONLY".to_owned())),
            ["BEGIN"] | ["BEGIN", "FETCH"] => {
                session.transaction = Some(Vec::new());
                (vec![], Ok("-".to_owned()))
            }
            ["ROLLBACK"] => {
                session.transaction = None;
                (vec![], Ok("-".to_owned()))
            }
            ["FETCH", item, rest @ ..] => {
                let log = &instances[index].log;
                let row = log.iter().rev().find(|(_, known, _)| known == item);
                let row = row.map_or_else(|| "nothing".to_owned(), |(.., data)| data.clone());
                let count = match rest {
                    ["rows", count] => count.parse().unwrap(),
                    _ => 1,
                };
                (vec![row; count], record(&mut instances, &session.values))
            }
            ["PUT", ..] if !instances[index].primary => (vec![], Err("READONLY".to_owned())),
            ["PUT", item, data @ ..] => {
                let write = ((*item).to_owned(), data.join(" "));
                match &mut session.transaction {
                    Some(writes) => writes.push(write),
                    None => Self::commit(&mut instances, index, session, vec![write]),
                }
                (vec![], record(&mut instances, &session.values))
            }
            ["COMMIT"] => {
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
}
