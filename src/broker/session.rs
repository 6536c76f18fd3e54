//! What one session holds, and what each of its statements comes to. A plain machine: it never waits.

use std::collections::BTreeMap;

use crate::statement::{Access, Code, State, Statement, Template};

/// The most values that a session may set.
pub const MAX_VALUES: usize = 256;

/// The most statements that a session may prepare.
pub const MAX_PREPARED: usize = 1_024;

/// What a session holds.
#[derive(Debug, Default)]
pub struct Session {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, Template>,
    phase: Phase,
}

/// Where the session's transaction stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Phase {
    #[default]
    Idle,
    Open {
        read_only: bool,
    },
    Failed,
}

/// What a statement comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The session answers it alone.
    Complete,
    /// The session refuses it alone.
    Refuse(Code, &'static str),
    /// An instance runs it by itself.
    Single(Operation),
    /// An instance runs it in the session's transaction, which takes a connection with its first statement.
    InTransaction {
        /// The statement.
        operation: Operation,
        /// Whether the transaction will not write.
        read_only: bool,
    },
    /// The transaction is committed.
    Commit {
        /// Whether it will not have written.
        read_only: bool,
    },
    /// The transaction is rolled back.
    Rollback,
}

/// A statement for an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    /// What it does.
    pub access: Access,
    /// What is sent.
    pub body: Body,
}

/// What is sent for a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// The caller's text.
    Text(String),
    /// A prepared statement, under the name that it has on the connection.
    Prepared {
        /// What was prepared.
        template: Template,
        /// The arguments.
        arguments: String,
    },
}

impl Session {
    /// Takes a statement and says what it comes to.
    pub fn handle(&mut self, statement: Statement) -> Action {
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
                Some(_) => Action::Complete,
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

    fn execute(&mut self, name: &str, arguments: String) -> Action {
        let Some(template) = self.prepared.get(name).cloned() else {
            return Action::Refuse(Code::NoStatement, "nothing is prepared under this name");
        };
        self.run(Operation {
            access: template.access,
            body: Body::Prepared { template, arguments },
        })
    }

    fn run(&mut self, operation: Operation) -> Action {
        match self.phase {
            Phase::Idle => Action::Single(operation),
            Phase::Open { read_only: true } if operation.access == Access::Write => {
                self.fail();
                Action::Refuse(Code::ReadOnly, "the transaction only reads")
            }
            Phase::Open { read_only } => Action::InTransaction { operation, read_only },
            Phase::Failed => {
                Action::Refuse(Code::Malformed, "the transaction failed; end it first")
            }
        }
    }

    fn set(&mut self, name: String, value: String) -> Action {
        if name.is_empty() {
            return Action::Refuse(Code::Malformed, "a value needs a name");
        }
        if self.values.len() >= MAX_VALUES && !self.values.contains_key(&name) {
            return Action::Refuse(Code::Failed, "the session has set too many values");
        }
        self.values.insert(name, value);
        Action::Complete
    }

    fn prepare(&mut self, name: String, template: Template) -> Action {
        if name.is_empty() || template.text.is_empty() {
            return Action::Refuse(Code::Malformed, "a prepared statement needs a name and a text");
        }
        if self.prepared.len() >= MAX_PREPARED && !self.prepared.contains_key(&name) {
            return Action::Refuse(Code::Failed, "the session has prepared too many statements");
        }
        self.prepared.insert(name, template);
        Action::Complete
    }

    /// Notes that the open transaction can't go on.
    pub fn fail(&mut self) {
        if matches!(self.phase, Phase::Open { .. }) {
            self.phase = Phase::Failed;
        }
    }

    /// Returns where the transaction stands, as the caller is told.
    pub fn state(&self) -> State {
        match self.phase {
            Phase::Idle => State::Idle,
            Phase::Open { .. } => State::Open,
            Phase::Failed => State::Failed,
        }
    }

    /// Returns the values that the session has set.
    pub fn values(&self) -> &BTreeMap<String, String> {
        &self.values
    }
}
