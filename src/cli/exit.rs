//! The exit codes, and the errors with an exit code of their own.

use std::process::ExitCode;

use crate::{config, security};

/// The exit status of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// The command failed; the error is on standard error.
    Failure,
    /// The command line is not valid.
    Usage,
    /// The control plane refused the command, which had no effect.
    Refused,
    /// Settings or declarations are not valid.
    Invalid,
    /// No process could be reached, so no command was accepted.
    Unreachable,
    /// The answer was lost, so it is unknown whether the command took effect. It can be sent again with the same id.
    Unknown,
}

/// All exit codes with their descriptions, as shown in the help text and the man page.
pub const EXITS: [(Exit, &str); 7] = [
    (Exit::Success, "success"),
    (Exit::Failure, "failure; the error is on standard error"),
    (Exit::Usage, "the command line is not valid"),
    (Exit::Refused, "control refused the command, which had no effect"),
    (Exit::Invalid, "settings or declarations are not valid"),
    (Exit::Unreachable, "no process could be reached, so no command was accepted"),
    (Exit::Unknown, "the answer was lost; send the command again with the same --command ID"),
];

impl Exit {
    /// Returns the exit code.
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

    /// Returns the exit status for an error.
    pub fn from_error(error: &anyhow::Error) -> Self {
        let invalid = |cause: &(dyn std::error::Error + 'static)| {
            cause.is::<config::Error>() || cause.is::<security::Error>()
        };
        if error.chain().any(invalid) {
            return Self::Invalid;
        }
        let error = error.chain().find_map(|cause| cause.downcast_ref::<Error>());
        error.map_or(Self::Failure, |error| error.exit())
    }
}

/// Formats an error with its causes, without those already contained in the message of an outer error.
pub fn format_error(error: &anyhow::Error) -> String {
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

/// Failure of a command, with an exit status of its own.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// An argument is not valid in a way that clap can't check.
    #[error("{0}")]
    Usage(String),
    /// The process refused the request.
    #[error("{0}")]
    Refused(String),
    /// No process could be reached.
    #[error("no process could be reached: {0}")]
    Unreachable(String),
    /// The answer was lost, so the outcome is unknown.
    #[error(
        "the outcome is unknown: {reason}; send the same command again with --command {command}"
    )]
    Unknown {
        /// Why the answer was lost.
        reason: String,
        /// The command's id.
        command: String,
    },
}

impl Error {
    fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Refused(_) => Exit::Refused,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Unknown { .. } => Exit::Unknown,
        }
    }
}
