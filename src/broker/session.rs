//! The state of one session, and how each of its statements is handled. A state machine without I/O.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::statement::{Access, Code, MAX_LINE_BYTES, State, Statement, Template, Text};

/// The maximum number of session variables.
pub const MAX_VALUES: usize = 256;

/// The maximum number of prepared statements of a session.
pub const MAX_PREPARED: usize = 1_024;

/// The maximum length of the names and values of all session variables in bytes. With a statement and its prepared text,
/// each of one message at most, they fit a frame to another proxy.
pub const MAX_VALUES_BYTES: usize = MAX_LINE_BYTES;

/// The maximum length of the names and texts of all prepared statements of a session in bytes.
pub const MAX_PREPARED_BYTES: usize = 4 * MAX_LINE_BYTES;

/// The state of a session.
#[derive(Debug, Default)]
pub struct Session {
    values: BTreeMap<Text, Text>,
    /// The length of the names and values.
    values_bytes: usize,
    prepared: BTreeMap<Text, Template>,
    /// The length of the names and texts of `prepared`.
    prepared_bytes: usize,
    phase: Phase,
}

/// The state of the session's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Phase {
    #[default]
    Idle,
    Open {
        read_only: bool,
    },
    Failed,
}

/// How a statement is handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The session itself completes the statement.
    Complete,
    /// The session itself refuses the statement.
    Refuse(Code, &'static str),
    /// An instance runs the statement outside of a transaction.
    Single(Operation),
    /// An instance runs the statement in the session's transaction, which checks out a connection with its first
    /// statement.
    InTransaction {
        /// The statement.
        operation: Operation,
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit {
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// Rolls back the transaction.
    Rollback,
}

/// A statement to run on an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// What to send.
    pub body: Body,
}

/// The content of a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The text from the caller.
    Text(Text),
    /// A prepared statement, which has its own name on each connection.
    Prepared {
        /// The statement that was prepared.
        template: Template,
        /// The arguments, unparsed. If they are empty, nothing follows the name.
        arguments: Text,
    },
    /// A prepared statement with arguments that are empty: a blank follows its name. Earlier releases can't read it, and
    /// leave the blank out.
    PreparedWithEmpty(Template),
}

impl Session {
    /// Handles a statement and returns what has to be done for it. A refusal fails an open transaction, which the caller
    /// of this function rolls back.
    pub fn handle(&mut self, statement: Statement) -> Action {
        let action = self.decide(statement);
        if matches!(action, Action::Refuse(..)) {
            self.fail();
        }
        action
    }

    fn decide(&mut self, statement: Statement) -> Action {
        if self.phase == Phase::Failed
            && !matches!(statement, Statement::Commit | Statement::Rollback)
        {
            return Action::Refuse(Code::Malformed, "the transaction failed; end it first");
        }
        match statement {
            Statement::Begin { read_only } => self.begin(read_only),
            Statement::Commit => self.commit(),
            Statement::Rollback => self.roll_back(),
            Statement::Data { access, text } => {
                self.run(Operation { access, body: Body::Text(text) })
            }
            Statement::Execute { name, arguments } => self.execute(&name, arguments),
            Statement::Set { name, value } => self.set(name, value),
            Statement::Prepare { name, template } => self.prepare(name, template),
            Statement::Deallocate { name } => match self.prepared.remove(&name) {
                Some(removed) => {
                    self.prepared_bytes -= name.len() + removed.text.len();
                    Action::Complete
                }
                None => Action::Refuse(Code::NoStatement, "nothing is prepared under this name"),
            },
            Statement::Unknown => Action::Refuse(Code::Malformed, "the statement is not known"),
        }
    }

    fn begin(&mut self, read_only: bool) -> Action {
        if self.phase != Phase::Idle {
            return Action::Refuse(Code::Malformed, "a transaction is open already");
        }
        self.phase = Phase::Open { read_only };
        Action::Complete
    }

    fn commit(&mut self) -> Action {
        match std::mem::take(&mut self.phase) {
            Phase::Idle => Action::Refuse(Code::Malformed, "no transaction is open"),
            Phase::Open { read_only } => Action::Commit { read_only },
            Phase::Failed => {
                Action::Refuse(Code::Aborted, "the transaction failed and is rolled back")
            }
        }
    }

    fn roll_back(&mut self) -> Action {
        match std::mem::take(&mut self.phase) {
            Phase::Idle => Action::Refuse(Code::Malformed, "no transaction is open"),
            Phase::Open { .. } => Action::Rollback,
            Phase::Failed => Action::Complete,
        }
    }

    fn execute(&mut self, name: &Text, arguments: Option<Text>) -> Action {
        let Some(template) = self.prepared.get(name).cloned() else {
            return Action::Refuse(Code::NoStatement, "nothing is prepared under this name");
        };
        let access = template.access;
        let body = match arguments {
            Some(arguments) if arguments.is_empty() => Body::PreparedWithEmpty(template),
            arguments => Body::Prepared { template, arguments: arguments.unwrap_or_default() },
        };
        self.run(Operation { access, body })
    }

    fn run(&mut self, operation: Operation) -> Action {
        match self.phase {
            Phase::Idle => Action::Single(operation),
            Phase::Open { read_only: true } if operation.access == Access::Write => {
                Action::Refuse(Code::ReadOnly, "the transaction only reads")
            }
            Phase::Open { read_only } => Action::InTransaction { operation, read_only },
            Phase::Failed => {
                Action::Refuse(Code::Malformed, "the transaction failed; end it first")
            }
        }
    }

    fn set(&mut self, name: Text, value: Text) -> Action {
        if name.is_empty() {
            return Action::Refuse(Code::Malformed, "a value needs a name");
        }
        if self.values.len() >= MAX_VALUES && !self.values.contains_key(&name) {
            return Action::Refuse(Code::Failed, "the session has set too many values");
        }
        let replaced = self.values.get(&name).map_or(0, |value| name.len() + value.len());
        let bytes = self.values_bytes - replaced + name.len() + value.len();
        if bytes > MAX_VALUES_BYTES {
            return Action::Refuse(Code::Failed, "the session's values are too large together");
        }
        self.values_bytes = bytes;
        self.values.insert(name, value);
        Action::Complete
    }

    fn prepare(&mut self, name: Text, template: Template) -> Action {
        if name.is_empty() {
            return Action::Refuse(Code::Malformed, "a prepared statement needs a name");
        }
        if self.prepared.len() >= MAX_PREPARED && !self.prepared.contains_key(&name) {
            return Action::Refuse(Code::Failed, "the session has prepared too many statements");
        }
        let replaced = self.prepared.get(&name).map_or(0, |known| name.len() + known.text.len());
        let bytes = self.prepared_bytes - replaced + name.len() + template.text.len();
        if bytes > MAX_PREPARED_BYTES {
            let reason = "the session's prepared statements are too large together";
            return Action::Refuse(Code::Failed, reason);
        }
        self.prepared_bytes = bytes;
        self.prepared.insert(name, template);
        Action::Complete
    }

    /// Marks an open transaction as failed.
    pub fn fail(&mut self) {
        if matches!(self.phase, Phase::Open { .. }) {
            self.phase = Phase::Failed;
        }
    }

    /// Returns the state of the transaction as reported to the caller.
    pub fn state(&self) -> State {
        match self.phase {
            Phase::Idle => State::Idle,
            Phase::Open { .. } => State::Open,
            Phase::Failed => State::Failed,
        }
    }

    /// Returns the session variables.
    pub fn values(&self) -> &BTreeMap<Text, Text> {
        &self.values
    }
}
