//! What is known of the answer to a command before it arrives.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::{Outcome, is_own_success};
use crate::statement::{Command, State};

/// A command whose answer has not been received.
#[derive(Debug, Clone, Copy)]
pub(super) struct Awaited {
    pub(super) kind: Kind,
    /// A hash of the statement of a caller.
    pub(super) text: u64,
    /// Whether the command only shows where the answers to those before it end.
    pub(super) is_fence: bool,
}

/// The kinds of commands by what answers them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    Begin,
    /// A data statement of a caller.
    Data,
    Commit,
    Rollback,
    /// A reset whose answer tells the position of the instance.
    Ping,
    /// A command that sets up the connection.
    Setup,
    /// A command that is answered with a status row.
    Status,
}

impl Kind {
    /// Returns the name of the kind in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Begin => "begin",
            Self::Data => "data",
            Self::Commit => "commit",
            Self::Rollback => "rollback",
            Self::Ping => "ping",
            Self::Setup => "setup",
            Self::Status => "status",
        }
    }

    /// Returns whether a success carries a signature.
    pub(super) fn is_signed(self) -> bool {
        matches!(self, Self::Data | Self::Commit)
    }
}

impl Awaited {
    pub(super) fn new(command: &Command<'_>) -> Self {
        let mut hasher = DefaultHasher::new();
        let kind = match command {
            Command::Begin { .. } => Kind::Begin,
            Command::Data { text, .. } => {
                text.hash(&mut hasher);
                Kind::Data
            }
            Command::Execute { name, arguments, .. } => {
                (name, arguments).hash(&mut hasher);
                Kind::Data
            }
            Command::Commit { .. } => Kind::Commit,
            Command::Rollback => Kind::Rollback,
            Command::Open { .. }
            | Command::Reset
            | Command::Set { .. }
            | Command::Prepare { .. }
            | Command::Close => Kind::Setup,
            Command::Status | Command::Pause { .. } | Command::Resume | Command::Demote { .. } => {
                Kind::Status
            }
        };
        Self { kind, text: hasher.finish(), is_fence: false }
    }

    pub(super) fn fence(command: &Command<'_>) -> Self {
        Self { is_fence: true, ..Self::new(command) }
    }

    /// Returns whether an answer can be that to the command on a connection that was in this state.
    pub(super) fn fits(self, outcome: &Outcome, before: State) -> bool {
        if outcome.result.is_err() {
            return true;
        }
        match self.kind {
            Kind::Begin => outcome.state == State::Open,
            Kind::Rollback | Kind::Ping => outcome.state == State::Idle,
            Kind::Setup => outcome.state == before,
            Kind::Status => !outcome.rows.is_empty(),
            Kind::Data => before != State::Idle || outcome.state == State::Idle,
            Kind::Commit => outcome.state == State::Idle,
        }
    }

    /// Returns whether an answer to the command must be told apart from a copy of an earlier one. A signature does that,
    /// and a copy of the answer to a command that sets up the connection does no harm.
    pub(super) fn needs_proof(self, outcome: &Outcome) -> bool {
        match self.kind {
            Kind::Begin | Kind::Ping | Kind::Status => true,
            Kind::Data | Kind::Commit | Kind::Rollback | Kind::Setup => outcome.result.is_err(),
        }
    }

    /// Returns whether `answer` is that of this fence, which follows a command that may be answered by `candidate`.
    pub(super) fn is_answered_by(self, answer: &Outcome, candidate: &Outcome) -> bool {
        let is_state_right = match self.kind {
            Kind::Rollback => answer.state == State::Idle,
            _ => answer.state == candidate.state,
        };
        is_own_success(answer) && answer.rows.is_empty() && is_state_right
    }
}
