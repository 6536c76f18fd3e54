//! Pooled connections to instances, and connections that a session has checked out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::dispatch::Ticket;
use super::server::Shared;
use super::session::{Body, Operation};
use super::setup::{Change, Setup};
use crate::clock::{Clock, Instant};
use crate::id;
use crate::proxy::floor::Mark;
use crate::report::Target;
use crate::statement::{Access, Code, Command, Id, Template, Text};
use crate::upstream::connection::{Connection, Error, Outcome, Suspicion};

static NO_ARGUMENTS: Text = Text::from_static("");

/// A pooled connection, which sessions use in turn, and the session state that is set up on it.
#[derive(Debug)]
pub(super) struct SharedConnection {
    pub(super) upstream: Connection,
    pub(super) setup: Setup,
    /// The account for which the connection was opened, the only one whose statements may run on it.
    pub(super) account: Option<id::Account>,
    /// Counts the connection as open.
    pub(super) _seat: Seat,
}

/// Counts a connection to an instance as open, or about to be opened, until dropped.
#[derive(Debug, Clone, Default)]
pub(super) struct Seat {
    /// The references to it are counted.
    _taken: Arc<()>,
    pub(super) suspicion: Suspicion,
}

/// The open connections to an instance.
#[derive(Debug, Default)]
pub(super) struct Seats {
    taken: Arc<()>,
    suspicion: Suspicion,
}

impl Seats {
    /// Counts one more connection.
    pub(super) fn take(&self) -> Seat {
        Seat { _taken: Arc::clone(&self.taken), suspicion: self.suspicion.clone() }
    }

    /// Returns the number of connections that are open or about to be opened.
    pub(super) fn taken(&self) -> usize {
        Arc::strong_count(&self.taken) - 1
    }
}

/// The right to use one connection to an instance. Released on drop.
#[derive(Debug)]
pub(super) struct Permit {
    shared: Arc<Shared>,
    pub(super) group: id::Group,
    pub(super) instance: id::Instance,
    /// The number of the statement that began to use it; `None` for a ping.
    ticket: Option<Ticket>,
    /// How long the last statement ran.
    pub(super) duration: Option<Duration>,
    /// Whether the transaction is idle between two statements.
    suspended: bool,
}

impl Permit {
    pub(super) fn new(
        shared: Arc<Shared>,
        group: id::Group,
        instance: id::Instance,
        ticket: Option<Ticket>,
    ) -> Self {
        Self { shared, group, instance, ticket, duration: None, suspended: false }
    }

    /// Frees the instance's slot while the transaction is idle. The connection stays checked out.
    pub(super) fn suspend(&mut self) {
        self.suspended = true;
        let duration = self.duration.take();
        self.shared.suspend(&self.group, &self.instance, self.ticket, duration);
    }

    /// Takes a slot again after the transaction was idle.
    pub(super) fn resume(&mut self) {
        if std::mem::take(&mut self.suspended) {
            self.shared.resume(&self.group, &self.instance, self.ticket);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.resume();
        self.shared.release(&self.group, &self.instance, self.ticket, self.duration);
    }
}

/// A connection that a session has checked out.
#[derive(Debug)]
pub(super) struct Checkout {
    pub(super) connection: SharedConnection,
    pub(super) permit: Permit,
    /// The term of the epoch, if the instance was its primary under a valid lease.
    pub(super) term: Option<id::Term>,
    /// Whether the transaction may have written.
    pub(super) wrote: bool,
}

impl SharedConnection {
    /// Sets the session variables in `values` on the connection and prepares `template` on it.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails, the instance refuses a change, or a change can't be encoded; nothing is sent then.
    pub(super) async fn apply(
        &mut self,
        clock: &Clock,
        values: &BTreeMap<Text, Text>,
        template: Option<&Template>,
        may_reset: bool,
        deadline: Instant,
    ) -> Result<(), Error> {
        let changes = self.setup.changes(values, template, may_reset);
        if changes.is_empty() {
            return Ok(());
        }
        self.upstream.queue_all(changes.iter().map(|change| match change {
            Change::Reset => Command::Reset,
            Change::Set { name, value } => Command::Set { name, value },
            Change::Prepare { name, template } => Command::Prepare { name, template },
        }))?;
        self.setup.record(&changes);
        self.upstream.flush(clock, deadline).await?;
        for _ in &changes {
            let outcome = self.upstream.receive_outcome(clock, deadline).await?;
            if let Err((code, text)) = outcome.result {
                return Err(Error::Refused { code, text });
            }
        }
        Ok(())
    }
}

impl Checkout {
    /// Returns the role of the instance as far as this proxy may rely on it.
    pub(super) fn target(&self) -> Target {
        if self.term.is_some() { Target::Primary } else { Target::Replica }
    }

    /// Sends a statement and receives its answer.
    pub(super) async fn run(
        &mut self,
        clock: &Clock,
        (id, operation): (&Id, &Operation),
        after: Option<Mark>,
        deadline: Instant,
    ) -> Result<Outcome, Error> {
        let SharedConnection { upstream, setup, .. } = &mut self.connection;
        let (template, arguments) = match &operation.body {
            Body::Text(text) => {
                let command = Command::Data { id, after, text };
                return send(upstream, clock, operation.access, &command, deadline).await;
            }
            Body::Prepared { template, arguments } => {
                (template, Some(arguments).filter(|arguments| !arguments.is_empty()))
            }
            Body::PreparedWithEmpty(template) => (template, Some(&NO_ARGUMENTS)),
        };
        let name = setup.prepared_name(template).ok_or_else(|| Error::Refused {
            code: Code::NoStatement,
            text: "it is not prepared on this connection".into(),
        })?;
        let command = Command::Execute { id, after, name, arguments };
        send(upstream, clock, operation.access, &command, deadline).await
    }
}

/// Sends a statement, a read again if its answer is doubtful, and receives its answer.
async fn send(
    upstream: &mut Connection,
    clock: &Clock,
    access: Access,
    command: &Command<'_>,
    deadline: Instant,
) -> Result<Outcome, Error> {
    match access {
        Access::Read => upstream.read(clock, command, deadline).await,
        Access::Write => upstream.request(clock, command, deadline).await,
    }
}
