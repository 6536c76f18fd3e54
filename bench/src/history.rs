//! What callers did and were told, one JSON object a line, on one monotonic clock in microseconds.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::Path;

use anyhow::Context;
use serde::{Deserialize, Serialize};

/// One line of a history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// A request and what came of it.
    Request(Request),
    /// Something that was done to the fleet.
    Event(Event),
}

/// A request and what came of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Numbers the requests of a history.
    pub id: u64,
    /// The group.
    pub group: String,
    /// The caller's session.
    pub session: String,
    /// The proxy that it was sent to.
    pub proxy: String,
    /// When it was sent.
    pub invoked: u64,
    /// When its answer was complete.
    pub returned: u64,
    /// When it was due, in an open loop.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due: Option<u64>,
    /// What was asked for.
    pub kind: Kind,
    /// What the caller was told.
    pub outcome: Outcome,
    /// The session's mark after a write, as (term, position), where the proxy told it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mark: Option<(u64, u64)>,
}

/// What was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// Adds an entry to the session's own.
    Write {
        /// The entry.
        entry: String,
    },
    /// Runs a `once` request.
    Once {
        /// Its idempotency key, which is also its effect.
        key: String,
    },
    /// Reads a list, appends to it twice and to another once, in a transaction.
    Transaction {
        /// What is appended.
        tx: String,
        /// The list that is read and appended to twice, and the other one.
        lists: (u32, u32),
        /// What the transaction read in the first list.
        read: Vec<String>,
    },
    /// Reads the entries of a session.
    Read {
        /// Whose entries.
        of: String,
        /// How old the data may be, in microseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        max_age: Option<u64>,
        /// Must come back with every row.
        nonce: String,
    },
    /// Reads a list.
    List {
        /// The list.
        list: u32,
        /// Must come back with every row.
        nonce: String,
    },
}

/// What the caller was told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// It was done.
    Done {
        /// The rows of a read, as nonce and value; the last one holds the count of the others.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        rows: Vec<(String, String)>,
    },
    /// The database refused it.
    Failed(ErrorResponse),
    /// It was not run.
    NotRun(ErrorResponse),
    /// Whether it ran is not known.
    Unknown(ErrorResponse),
    /// It never got a final answer.
    Cut {
        /// What was seen instead.
        error: String,
    },
}

/// The error that a caller got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The SQLSTATE.
    pub code: String,
    /// The machine-readable detail.
    pub detail: String,
    /// The message.
    pub message: String,
}

/// Something that was done to the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When.
    pub at: u64,
    /// What, such as `kill`.
    pub what: String,
    /// To which process.
    pub target: String,
    /// The target's address, where it is a proxy.
    #[serde(default)]
    pub address: String,
    /// The target's group, where it is an instance.
    #[serde(default)]
    pub group: String,
}

/// What a group's primary holds in the end, in the order of its log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Database {
    /// Entries, as (session, entry).
    pub entries: Vec<(String, String)>,
    /// The effects of `once` requests.
    pub keys: Vec<String>,
    /// The items of all lists.
    pub items: Vec<Item>,
}

/// One item of a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The list.
    pub list: u32,
    /// The transaction that appended it.
    pub tx: String,
    /// Which of its three items this is: 0 and 1 in the first list, 2 in the other.
    pub part: u32,
}

/// The databases of all groups.
pub type Databases = BTreeMap<String, Database>;

/// Reads a history file.
///
/// # Errors
///
/// Fails when the file can't be read or a line is no record.
pub fn read(path: &Path) -> anyhow::Result<Vec<Record>> {
    let file = std::fs::File::open(path).with_context(|| path.display().to_string())?;
    let mut records = Vec::new();
    for (number, line) in BufReader::new(file).lines().enumerate() {
        let record = serde_json::from_str(&line?);
        records.push(record.with_context(|| format!("line {} of the history", number + 1))?);
    }
    Ok(records)
}
