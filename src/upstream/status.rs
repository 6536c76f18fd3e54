//! The status view that an upstream must provide, and the SQL statements that promote and rejoin instances.
//!
//! `docs/UPSTREAM.md` has the SQL that creates the view and the functions on a server.

use crate::config::Durability;
use crate::id;
use crate::pgsql;
use crate::wire::{Health, Role};

/// The query for an instance's status. It returns one row: role, term, position, received, durable, start.
pub const STATUS_QUERY: &str =
    "SELECT role, term, position, received, durable, start FROM cactushatch_status";

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

/// Returns the SQL statement that promotes an instance to primary of `term`. It returns the new status row, and
/// fails if the instance is already at that term or a later one.
pub fn promote_sql(term: id::Term) -> String {
    format!(
        "SELECT role, term, position, received, durable, start FROM cactushatch_promote({term})"
    )
}

/// Returns the SQL statement that makes an instance a replica of the primary at `primary` under `term`. The
/// instance discards its history beyond the fork point.
pub fn follow_sql(primary: std::net::SocketAddr, term: id::Term) -> String {
    format!(
        "SELECT role, term, position, received, durable, start FROM cactushatch_follow('{primary}', {term})"
    )
}

/// Returns the SQL statement that makes a primary refuse writes for a planned switchover. The primary finishes
/// pending commits and returns its final status row.
pub fn demote_sql(term: id::Term) -> String {
    format!("SELECT role, term, position, received, durable, start FROM cactushatch_demote({term})")
}
