//! Histories of requests and faults: one JSON object per line, timed by one monotonic clock in microseconds.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::Path;

use anyhow::Context;
use serde::{Deserialize, Serialize};

/// One line of a history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// A request and its outcome.
    Request(Request),
    /// An action on the fleet.
    Event(Event),
}

/// A request and its outcome.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Unique within a history.
    pub id: u64,
    /// The group that the request was for.
    pub group: String,
    /// The caller's session.
    pub session: String,
    /// The address of the proxy that the request was sent to.
    pub proxy: String,
    /// When the request was sent.
    pub invoked: u64,
    /// When the answer was complete.
    pub returned: u64,
    /// When the request was due; only in an open-loop load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due: Option<u64>,
    /// The kind of request.
    pub kind: Kind,
    /// The outcome as the caller saw it.
    pub outcome: Outcome,
    /// The session's mark after a write, as (term, position), if the proxy reported one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mark: Option<(u64, u64)>,
}

/// The kind of a request, with its parameters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// Adds an entry to those of the session.
    Write {
        /// The entry.
        entry: String,
    },
    /// Runs a `once` request.
    Once {
        /// The idempotency key, which is also the effect that the request stores.
        key: String,
    },
    /// Reads a list, appends two items to it and one to another list, in one transaction.
    Transaction {
        /// The transaction's id, stored with each item that it appends.
        tx: String,
        /// The list that is read and gets two items, and the list that gets one.
        lists: (u32, u32),
        /// The items that the transaction read from the first list.
        read: Vec<String>,
    },
    /// Reads the entries of a session.
    Read {
        /// The session whose entries are read.
        of: String,
        /// The greatest permitted age of the data, in microseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        max_age: Option<u64>,
        /// Returned with every row, so that a row of another request is recognised.
        nonce: String,
    },
    /// Reads a list.
    List {
        /// The list.
        list: u32,
        /// Returned with every row, so that a row of another request is recognised.
        nonce: String,
    },
}

/// The outcome of a request as the caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The request succeeded.
    Done {
        /// The rows of a read, as (nonce, value); the last row holds the number of the others.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        rows: Vec<(String, String)>,
    },
    /// The database returned an error.
    Failed(ErrorResponse),
    /// The proxy reported that the request was not run.
    NotRun(ErrorResponse),
    /// The proxy reported that the request may or may not have run.
    Unknown(ErrorResponse),
    /// The request got no final answer.
    Cut {
        /// The error of the connection.
        error: String,
    },
}

/// An error that a caller received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The SQLSTATE code.
    pub code: String,
    /// The machine-readable detail.
    pub detail: String,
    /// The human-readable message.
    pub message: String,
}

/// An action on the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When the action was started.
    pub at: u64,
    /// The name of the action, such as `kill`.
    pub what: String,
    /// The process that the action was applied to.
    pub target: String,
    /// The target's address if it is a proxy, otherwise empty.
    #[serde(default)]
    pub address: String,
    /// The target's group if it is an instance, otherwise empty.
    #[serde(default)]
    pub group: String,
}

/// The final contents of a group's primary, in the order of its log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Database {
    /// The entries, as (session, entry).
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
    /// The item's number within the transaction: 0 and 1 are in the first list, 2 in the other.
    pub part: u32,
}

/// The final databases by group.
pub type Databases = BTreeMap<String, Database>;

/// Reads a history file.
///
/// # Errors
///
/// Fails if the file can't be read or a line isn't a valid record.
pub fn read(path: &Path) -> anyhow::Result<Vec<Record>> {
    let file = std::fs::File::open(path).with_context(|| path.display().to_string())?;
    let mut records = Vec::new();
    for (number, line) in BufReader::new(file).lines().enumerate() {
        let record = serde_json::from_str(&line?);
        records.push(record.with_context(|| format!("line {} of the history", number + 1))?);
    }
    Ok(records)
}
