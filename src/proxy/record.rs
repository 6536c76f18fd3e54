//! The table of keys in the database, `docs/UPSTREAM.md`: one row for each `once` request that was committed.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::id;

/// Creates the table. The proxy runs it when it finds none.
pub const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS cactushatch_once (customer TEXT NOT NULL, \
     key TEXT NOT NULL, digest TEXT NOT NULL, tag TEXT NOT NULL, expires BIGINT NOT NULL, \
     PRIMARY KEY (customer, key))";

/// The SQLSTATE of a key that is there already.
pub const UNIQUE_VIOLATION: &str = "23505";

/// The key under which a proxy claims the removal of expired keys; its customer is empty, which no caller's is.
const SWEEP_KEY: &str = "sweep";

/// One row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Whose key it is.
    pub customer: id::Customer,
    /// The caller's key.
    pub key: id::Key,
    /// The digest of the request.
    pub digest: String,
    /// The command tag of the first outcome, guessed until it is known.
    pub tag: String,
    /// Until when the key is kept, in seconds since 1970.
    pub expires: u64,
}

impl Record {
    /// Returns the statement that writes the row, and fails when the key is there.
    pub fn insert(&self) -> String {
        let Self { customer, key, digest, tag, expires } = self;
        format!(
            "INSERT INTO cactushatch_once (customer, key, digest, tag, expires) \
             VALUES ('{customer}', '{key}', '{digest}', '{tag}', {expires})"
        )
    }

    /// Returns the statement that writes the row and returns its key, or nothing when the key is there.
    pub fn claim(&self) -> String {
        format!("{} ON CONFLICT (customer, key) DO NOTHING RETURNING key", self.insert())
    }

    /// Returns the query for the digest and the tag of the key.
    pub fn select(&self) -> String {
        format!("SELECT digest, tag FROM cactushatch_once WHERE {}", self.where_clause())
    }

    /// Returns the statement that sets the tag.
    pub fn update(&self, tag: &str) -> String {
        let tag: String = tag.chars().filter(|c| c.is_ascii_alphanumeric() || *c == ' ').collect();
        format!("UPDATE cactushatch_once SET tag = '{tag}' WHERE {}", self.where_clause())
    }

    fn where_clause(&self) -> String {
        format!("customer = '{}' AND key = '{}'", self.customer, self.key)
    }
}

/// Returns when a key that is written now expires, in seconds since 1970.
pub fn expiry(keep: Duration) -> u64 {
    unix_seconds() + keep.as_secs()
}

/// Returns the seconds since 1970 by the VM's calendar: keys outlive the clock of any one process.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}

/// Returns the statement that claims the removal of expired keys until `until`; it returns a row to the one proxy
/// that gets it.
pub fn claim_sweep(now: u64, until: u64) -> String {
    format!(
        "INSERT INTO cactushatch_once (customer, key, digest, tag, expires) \
         VALUES ('', '{SWEEP_KEY}', '', '', {until}) ON CONFLICT (customer, key) DO UPDATE \
         SET expires = excluded.expires WHERE cactushatch_once.expires <= {now} RETURNING key"
    )
}

/// Returns the statement that removes at most `count` expired keys.
pub fn sweep(now: u64, count: u32) -> String {
    format!(
        "DELETE FROM cactushatch_once WHERE (customer, key) IN (SELECT customer, key \
         FROM cactushatch_once WHERE customer <> '' AND expires <= {now} LIMIT {count})"
    )
}
