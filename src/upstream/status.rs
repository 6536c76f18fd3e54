//! The status view that an upstream must provide, and the SQL statements that promote and rejoin instances.
//!
//! `docs/UPSTREAM.md` has the SQL that creates the view and the functions on a server.

use crate::config::Durability;
use crate::id;
use crate::pgsql::{self, Nonce};
use crate::wire::{Health, Role};

/// The columns of a status row, without the nonce that follows them.
const COLUMNS: &str = "role, term, position, received, durable, start";

/// A statement whose answer is the status of the instance, in one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The view or the function call that returns the row.
    source: String,
}

impl Statement {
    /// Returns the statement that only queries the status.
    pub fn query() -> Self {
        Self { source: "cactushatch_status".to_owned() }
    }

    /// Returns the SQL of the statement. Its row ends with `nonce`, which shows that the answer is that of this statement:
    /// a status of an earlier one would be older than it seems.
    pub fn sql(&self, nonce: Nonce) -> String {
        format!("SELECT {COLUMNS}, '{nonce}' AS nonce FROM {}", self.source)
    }

    /// Decodes the answer to a statement that carried `nonce`.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer is that of another statement or is not a status.
    pub fn decode(rows: Vec<pgsql::Row>, nonce: Nonce) -> Result<Status, pgsql::Error> {
        let [mut row] = <[pgsql::Row; 1]>::try_from(rows).map_err(|_| pgsql::Error::OutOfStep)?;
        if row.pop().flatten() != Some(nonce.to_string()) {
            return Err(pgsql::Error::OutOfStep);
        }
        Status::try_from(row).map_err(|_| pgsql::Error::Protocol("a malformed status row"))
    }
}

/// The greatest term that an instance can be on. Each promotion adds one to it, so no instance gets near, and the next
/// term always exists.
pub const MAX_TERM: id::Term = id::Term((1 << 53) - 1);

/// Parses a term that an instance reports. Returns `None` if it is not a number up to [`MAX_TERM`].
pub fn parse_term(text: &str) -> Option<id::Term> {
    text.parse().ok().filter(|term| *term <= MAX_TERM)
}

/// The status that an instance reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// The replication role of the instance.
    pub role: Role,
    /// The term in which its history ends.
    pub term: id::Term,
    /// The position up to which reads see its data.
    pub position: id::Position,
    /// The position up to which it holds the log, including entries not yet applied. A promotion keeps all of it.
    pub received: id::Position,
    /// On a primary, the position up to which a majority of the group's instances, including itself, holds the log.
    pub durable: id::Position,
    /// The position at which its term began.
    pub start: id::Position,
    /// The term of the order that made a replica stop receiving, as long as that holds. `None` if the replica receives, or if
    /// its protocol doesn't tell.
    pub paused: Option<id::Term>,
}

impl Status {
    /// Returns the position of a primary that no acknowledged write lies beyond. Writes that earlier terms
    /// acknowledged lie before the start of the term, so `start` covers them while no replica has reported to the
    /// new primary yet.
    pub fn acknowledged(&self, durability: Durability) -> id::Position {
        match durability {
            Durability::Majority => self.durable.max(self.start).min(self.position),
            Durability::Primary => self.position,
        }
    }
}

/// The error for a row that is not a valid status.
#[derive(Debug, thiserror::Error)]
#[error("cactushatch_status answered {0:?}, which is no status")]
pub struct InvalidRow(pub pgsql::Row);

impl TryFrom<pgsql::Row> for Status {
    type Error = InvalidRow;

    fn try_from(row: pgsql::Row) -> Result<Self, InvalidRow> {
        parse_status(&row).ok_or(InvalidRow(row))
    }
}

fn parse_status(row: &pgsql::Row) -> Option<Status> {
    let [role, term, position, received, durable, start] = row.as_slice() else {
        return None;
    };
    let role = match role.as_deref()? {
        "primary" => Role::Primary,
        "replica" => Role::Replica,
        _ => return None,
    };
    Some(Status {
        role,
        term: parse_term(term.as_deref()?)?,
        position: position.as_deref()?.parse().ok()?,
        received: received.as_deref()?.parse().ok()?,
        durable: durable.as_deref()?.parse().ok()?,
        start: start.as_deref()?.parse().ok()?,
        paused: None,
    })
}

/// Returns the health of an instance that an error implies. Only a refused connection shows that the process has
/// ended. An instance that answers with errors is alive, and may be out of connections.
pub fn health(error: &pgsql::Error) -> Health {
    use std::io::ErrorKind;
    match error {
        pgsql::Error::Timeout(_) => Health::Silent,
        pgsql::Error::Io(error) => match error.kind() {
            ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
                Health::Silent
            }
            ErrorKind::ConnectionRefused => Health::Refused,
            _ => Health::Faulty,
        },
        _ => Health::Faulty,
    }
}

/// Returns the statement that promotes an instance to primary of `term`. It returns the new status row, and
/// fails if the instance is already at that term or a later one.
pub fn promote_sql(term: id::Term) -> Statement {
    Statement { source: format!("cactushatch_promote({term})") }
}

/// Returns the statement that makes an instance a replica of the primary at `primary` under `term`. The
/// instance discards its history beyond the fork point.
pub fn follow_sql(primary: std::net::SocketAddr, term: id::Term) -> Statement {
    Statement { source: format!("cactushatch_follow('{primary}', {term})") }
}

/// Returns the statement that makes a primary refuse writes for a planned switchover. The primary finishes
/// pending commits and returns its final status row.
pub fn demote_sql(term: id::Term) -> Statement {
    Statement { source: format!("cactushatch_demote({term})") }
}
