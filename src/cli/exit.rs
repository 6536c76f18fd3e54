//! The exit codes, and the errors that have one of their own.

use std::process::ExitCode;

use crate::{config, security};

/// What the process tells its caller when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// All went well.
    Success,
    /// Something failed; standard error says what.
    Failure,
    /// The command line is not valid.
    Usage,
    /// Control refused the command, and nothing changed.
    Refused,
    /// Settings or declarations are not valid.
    Invalid,
    /// No control process could be reached, so nothing was ordered.
    Unreachable,
    /// The command was sent and its answer lost; send it again with the same id.
    Unknown,
}

/// Every exit code, in the order of the man page.
pub const EXITS: [(Exit, &str); 7] = [
    (Exit::Success, "all went well"),
    (Exit::Failure, "something failed; standard error says what"),
    (Exit::Usage, "the command line is not valid"),
    (Exit::Refused, "control refused the command, and nothing changed"),
    (Exit::Invalid, "settings or declarations are not valid"),
    (Exit::Unreachable, "no process could be reached, so nothing was ordered"),
    (Exit::Unknown, "the answer was lost; send the command again with the same --command ID"),
];

impl Exit {
    /// Returns the number.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Refused => 3,
            Self::Invalid => 4,
            Self::Unreachable => 5,
            Self::Unknown => 6,
        }
    }

    /// Returns the exit code of an error.
    pub fn of(error: &anyhow::Error) -> Self {
        let invalid = |cause: &(dyn std::error::Error + 'static)| {
            cause.is::<config::Error>() || cause.is::<security::Error>()
        };
        if error.chain().any(invalid) {
            return Self::Invalid;
        }
        let stop = error.chain().find_map(|cause| cause.downcast_ref::<Stop>());
        stop.map_or(Self::Failure, |stop| stop.exit())
    }
}

/// Returns the error with its causes; a cause that an error names already is not named again.
pub fn describe(error: &anyhow::Error) -> String {
    let mut text = String::new();
    for cause in error.chain() {
        let cause = cause.to_string();
        if text.is_empty() {
            text = cause;
        } else if !text.contains(&cause) {
            text = format!("{text}: {cause}");
        }
    }
    text
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}

/// Why a command that talks to a running process stopped.
#[derive(Debug, thiserror::Error)]
pub(super) enum Stop {
    /// An argument that clap can't check is not valid.
    #[error("{0}")]
    Usage(String),
    /// The other side refused.
    #[error("{0}")]
    Refused(String),
    /// No process could be reached.
    #[error("no process could be reached: {0}")]
    Unreachable(String),
    /// The answer was lost.
    #[error(
        "the outcome is unknown: {reason}; send the same command again with --command {command}"
    )]
    Unknown {
        /// Why.
        reason: String,
        /// The command's id.
        command: String,
    },
}

impl Stop {
    fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Refused(_) => Exit::Refused,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Unknown { .. } => Exit::Unknown,
        }
    }
}
