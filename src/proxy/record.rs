//! The SQL statements on the table of `once` keys in the database: one row per committed `once` request. See
//! `docs/UPSTREAM.md`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::id;

/// Creates the table. The proxy runs this statement if the table does not exist.
pub const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS cactushatch_once (customer TEXT NOT NULL, \
     key TEXT NOT NULL, digest TEXT NOT NULL, tag TEXT NOT NULL, expires BIGINT NOT NULL, \
     PRIMARY KEY (customer, key))";

/// The SQLSTATE of an insert whose key exists already.
pub const UNIQUE_VIOLATION: &str = "23505";

/// The key under which a proxy claims the removal of expired keys. The account of its row is empty, which the account
/// of a caller never is.
const SWEEP_KEY: &str = "sweep";

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The account that the key belongs to. Its column is called `customer` in the databases.
    pub account: id::Account,
    /// The key that the caller chose.
    pub key: id::Key,
    /// The digest of the request.
    pub digest: String,
    /// The command tag of the first outcome. Until it is known, this is a guess.
    pub tag: String,
    /// When the key expires, in seconds since 1970.
    pub expires: u64,
}

impl Record {
    /// Returns the statement that inserts the row and fails if the key exists.
    pub fn insert(&self) -> String {
        let Self { account, key, digest, tag, expires } = self;
        format!(
            "INSERT INTO cactushatch_once (customer, key, digest, tag, expires) \
             VALUES ('{account}', '{key}', '{digest}', '{tag}', {expires})"
        )
    }

    /// Returns the statement that inserts the row and returns its key, or returns no row if the key exists.
    pub fn insert_if_absent(&self) -> String {
        format!("{} ON CONFLICT (customer, key) DO NOTHING RETURNING key", self.insert())
    }

    /// Returns the query for the digest and the tag of the key.
    pub fn select(&self) -> String {
        format!("SELECT digest, tag FROM cactushatch_once WHERE {}", self.where_clause())
    }

    /// Returns the statement that sets the tag of the row.
    pub fn update(&self, tag: &str) -> String {
        let tag: String = tag.chars().filter(|c| c.is_ascii_alphanumeric() || *c == ' ').collect();
        format!("UPDATE cactushatch_once SET tag = '{tag}' WHERE {}", self.where_clause())
    }

    fn where_clause(&self) -> String {
        format!("customer = '{}' AND key = '{}'", self.account, self.key)
    }
}

/// Returns when a key expires that is inserted now and kept for `keep`, in seconds since 1970.
pub fn expiry(keep: Duration) -> u64 {
    unix_seconds() + keep.as_secs()
}

/// Returns the seconds since 1970 by the wall clock of the VM. Keys outlive the monotonic clock of a process.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}

/// Returns the statement that claims the removal of expired keys until `until`. It returns a row only to the proxy that
/// obtains the claim.
pub fn claim_sweep(now: u64, until: u64) -> String {
    format!(
        "INSERT INTO cactushatch_once (customer, key, digest, tag, expires) \
         VALUES ('', '{SWEEP_KEY}', '', '', {until}) ON CONFLICT (customer, key) DO UPDATE \
         SET expires = excluded.expires WHERE cactushatch_once.expires <= {now} RETURNING key"
    )
}

/// Returns the statement that deletes at most `count` expired keys.
pub fn sweep(now: u64, count: u32) -> String {
    format!(
        "DELETE FROM cactushatch_once WHERE (customer, key) IN (SELECT customer, key \
         FROM cactushatch_once WHERE customer <> '' AND expires <= {now} LIMIT {count})"
    )
}
