//! Values that tie an answer to its statement, since the protocol has no ids: a server that sends an answer twice shifts
//! all later ones on the connection.

use std::fmt;

use super::{Error, Row};

/// The SQLSTATE of a statement in a transaction that has failed.
const FAILED_TRANSACTION: &str = "25P02";

/// A value that no other query on the same connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Nonce(pub(super) u64);

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Nonce {
    /// Returns a query that is answered with this nonce. It reads no data, so that it can follow any statement, also in a
    /// transaction whose isolation level is yet to be set.
    pub fn echo_sql(self) -> String {
        format!("SET cactushatch.nonce = '{self}'; SHOW cactushatch.nonce")
    }

    /// Checks the answer to the echo query, which was sent together with the statement before it and follows its answer.
    /// `is_failed` is whether that answer left a failed transaction, in which the server refuses all queries.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OutOfStep`] if the answer is not that of the echo query, so that the answer before it may not be
    /// that of its statement either, and the error of the connection if it failed.
    pub fn check_echo(self, answer: Result<Vec<Row>, Error>, is_failed: bool) -> Result<(), Error> {
        match answer {
            Ok(rows) if rows == [[Some(self.to_string())]] => Ok(()),
            Err(Error::Server { code, .. }) if is_failed && code == FAILED_TRANSACTION => Ok(()),
            Ok(_) | Err(Error::Server { .. }) => Err(Error::OutOfStep),
            Err(error) => Err(error),
        }
    }
}
