//! The one view that an upstream must offer, and the statements that promote and rejoin instances.
//!
//! `docs/UPSTREAM.md` gives the SQL that creates them on a real server.

use crate::config::Durability;
use crate::id;
use crate::pgsql;
use crate::wire::{Health, Role};

/// Reads an instance's status: one row of role, term, position, received, durable, start.
pub const QUERY: &str =
    "SELECT role, term, position, received, durable, start FROM cactushatch_status";

/// What an instance says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Whether it takes writes.
    pub role: Role,
    /// The term that its history ends in.
    pub term: id::Term,
    /// Up to where reads see its data.
    pub position: id::Position,
    /// Up to where it holds the log, applied or not; a promotion would keep all of it.
    pub received: id::Position,
    /// On a primary: up to where a majority of the group's instances, itself included, holds the log.
    pub durable: id::Position,
    /// Where its term began.
    pub start: id::Position,
}

impl Status {
    /// Returns the position that every acknowledged write lies at or before, on a primary. What earlier terms
    /// acknowledged lies before the term's start, also while no follower has reported to the new primary yet.
    pub fn acknowledged(&self, durability: Durability) -> id::Position {
        match durability {
            Durability::Majority => self.durable.max(self.start).min(self.position),
            Durability::Primary => self.position,
        }
    }
}

/// Why a row is no status.
#[derive(Debug, thiserror::Error)]
#[error("cactushatch_status answered {0:?}, which is no status")]
pub struct Malformed(pub pgsql::Row);

impl TryFrom<pgsql::Row> for Status {
    type Error = Malformed;

    fn try_from(row: pgsql::Row) -> Result<Self, Malformed> {
        parse(&row).ok_or(Malformed(row))
    }
}

fn parse(row: &pgsql::Row) -> Option<Status> {
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
        term: term.as_deref()?.parse().ok()?,
        position: position.as_deref()?.parse().ok()?,
        received: received.as_deref()?.parse().ok()?,
        durable: durable.as_deref()?.parse().ok()?,
        start: start.as_deref()?.parse().ok()?,
    })
}

/// Tells what an error says of the instance: only a refused connection shows that its process has ended. One
/// that answers with errors lives, and may be short of connections.
pub fn trouble(error: &pgsql::Error) -> Health {
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

/// Returns the statement that makes an instance primary of `term`. It answers with the new status row, and
/// fails when the instance is on that term or a later one.
pub fn promote(term: id::Term) -> String {
    format!(
        "SELECT role, term, position, received, durable, start FROM cactushatch_promote({term})"
    )
}

/// Returns the statement that makes an instance a replica of the primary at `primary` under `term`; what
/// its history holds beyond the fork is dropped.
pub fn follow(primary: std::net::SocketAddr, term: id::Term) -> String {
    format!(
        "SELECT role, term, position, received, durable, start FROM cactushatch_follow('{primary}', {term})"
    )
}

/// Returns the statement that makes a primary refuse writes for a planned hand-over; it finishes what is
/// committing, and answers with its final status row.
pub fn demote(term: id::Term) -> String {
    format!("SELECT role, term, position, received, durable, start FROM cactushatch_demote({term})")
}
