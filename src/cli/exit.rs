//! The exit codes.

use std::process::ExitCode;

/// What the process tells its caller when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// All went well.
    Success,
    /// Something failed; standard error says what.
    Failure,
    /// Control refused the command; standard error says why.
    Refused,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => Self::SUCCESS,
            Exit::Failure => Self::from(1),
            Exit::Refused => Self::from(3),
        }
    }
}
