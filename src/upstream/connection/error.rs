//! The errors of a connection to an instance.

use super::MAX_ROWS_BYTES;
use crate::report::Evidence;
use crate::statement::{Code, DecodeError, EncodeError, Text};
use crate::wire::Health;

/// An error on a connection to an instance.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The instance closed the connection.
    #[error("the connection was closed")]
    Closed,
    /// The instance did not answer before the deadline.
    #[error("no answer in time")]
    Timeout,
    /// The first message on the connection is invalid, so what listens at the address may be no instance.
    #[error("no instance answers there: {0}")]
    Foreign(DecodeError),
    /// The instance sent an invalid message.
    #[error("{0}")]
    Malformed(#[from] DecodeError),
    /// A command can't be encoded. It was not sent, and the connection may be used on.
    #[error("it can't be sent: {0}")]
    Unencodable(#[from] EncodeError),
    /// What arrived may be an answer to an earlier command.
    #[error("the connection is out of step: {0}")]
    OutOfStep(Evidence),
    /// The rows of an answer exceed `MAX_ROWS_BYTES`.
    #[error("the rows of one answer are over {MAX_ROWS_BYTES} bytes")]
    TooManyRows,
    /// The instance refused the connection or request.
    #[error("refused: {code} {text}")]
    Refused {
        /// The reason.
        code: Code,
        /// A description for humans.
        text: Text,
    },
}

impl Error {
    /// Returns whether the instance refused the connection because it has too many.
    pub fn is_at_connection_limit(&self) -> bool {
        matches!(self, Self::Refused { code: Code::TooManyConnections, .. })
    }

    /// Returns whether another connection to the same instance may succeed at once.
    pub fn is_out_of_step(&self) -> bool {
        matches!(self, Self::OutOfStep(_))
    }

    /// Returns whether an answer could not be read, on a connection that is not known to be out of step.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, Self::Malformed(_))
    }

    /// Returns whether the instance should be asked on another connection whether it can be read at all.
    pub fn is_suspect(&self) -> bool {
        matches!(self, Self::Malformed(_) | Self::OutOfStep(Evidence::Cut))
    }

    /// Returns the health of the instance that this error implies.
    pub fn health(&self) -> Health {
        use std::io::ErrorKind;
        match self {
            Self::Timeout => Health::Silent,
            Self::Io(error) => match error.kind() {
                ErrorKind::ConnectionRefused => Health::Refused,
                ErrorKind::TimedOut
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable => Health::Silent,
                _ => Health::Faulty,
            },
            // Another instance has taken over the address, so the process of the expected instance has ended.
            Self::Refused { code: Code::Misrouted, .. } => Health::Refused,
            // An instance that refuses, for example because it has no free connection, is alive. So is one that answers
            // twice, or whose answer to one statement can't be read.
            Self::Refused { .. }
            | Self::OutOfStep(_)
            | Self::Malformed(_)
            | Self::Unencodable(_)
            | Self::TooManyRows => Health::Fine,
            Self::Closed | Self::Foreign(_) => Health::Faulty,
        }
    }
}
