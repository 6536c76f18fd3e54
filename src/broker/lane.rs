//! A connection that waits for its next session, and one that is in use.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::applied::{Applied, Fix};
use super::server::Shared;
use super::session::{What, Work};
use crate::clock::{Clock, Instant};
use crate::id;
use crate::proxy::floor::Mark;
use crate::report::Target;
use crate::statement::{Code, Id, Order, Shape};
use crate::upstream::connection::{Connection, Error, Outcome};

/// A connection with what is set on it.
#[derive(Debug)]
pub(super) struct Lane {
    pub(super) channel: Connection,
    pub(super) applied: Applied,
}

/// The right to use one connection to an instance; it is given back when this is dropped.
#[derive(Debug)]
pub(super) struct Permit {
    shared: Arc<Shared>,
    pub(super) group: id::Group,
    pub(super) instance: id::Instance,
    /// How long a statement ran there last.
    pub(super) took: Option<Duration>,
    /// Whether its transaction rests between two statements.
    rests: bool,
}

impl Permit {
    pub(super) fn new(shared: Arc<Shared>, group: id::Group, instance: id::Instance) -> Self {
        Self { shared, group, instance, took: None, rests: false }
    }

    /// Lets others run while the transaction rests; the connection stays taken.
    pub(super) fn rest(&mut self) {
        self.rests = true;
        self.shared.rest(&self.group, &self.instance, self.took.take());
    }

    /// Goes on after a rest.
    pub(super) fn resume(&mut self) {
        if std::mem::take(&mut self.rests) {
            self.shared.resume(&self.group, &self.instance);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.resume();
        self.shared.release(&self.group, &self.instance, self.took);
    }
}

/// A connection in use by a session.
#[derive(Debug)]
pub(super) struct Hold {
    pub(super) lane: Lane,
    pub(super) permit: Permit,
    /// The epoch's term, when the instance was its primary under a valid lease.
    pub(super) term: Option<id::Term>,
    /// Whether something may have been written since the transaction began.
    pub(super) wrote: bool,
}

impl Lane {
    /// Makes the connection fit for a session with these values, with `shape` prepared on it.
    ///
    /// # Errors
    ///
    /// Fails when the connection does, or the instance refuses to set something.
    pub(super) async fn fit(
        &mut self,
        clock: &Clock,
        values: &BTreeMap<String, String>,
        shape: Option<&Shape>,
        may_reset: bool,
        deadline: Instant,
    ) -> Result<(), Error> {
        let fixes = self.applied.fix(values, shape, may_reset);
        if fixes.is_empty() {
            return Ok(());
        }
        for fix in &fixes {
            self.channel.queue(&match fix {
                Fix::Reset => Order::Reset,
                Fix::Set { name, value } => Order::Set { name, value },
                Fix::Prepare { name, shape } => Order::Prepare { name, shape },
            });
        }
        self.channel.flush(clock, deadline).await?;
        for _ in &fixes {
            let outcome = self.channel.receive_outcome(clock, deadline).await?;
            if let Err((code, text)) = outcome.result {
                return Err(Error::Refused { code, text });
            }
        }
        Ok(())
    }
}

impl Hold {
    /// Returns the role that the instance has as far as this proxy may rely on it.
    pub(super) fn target(&self) -> Target {
        if self.term.is_some() { Target::Primary } else { Target::Replica }
    }

    /// Sends a statement and receives its answer.
    pub(super) async fn run(
        &mut self,
        clock: &Clock,
        (id, work): (&Id, &Work),
        after: Option<Mark>,
        deadline: Instant,
    ) -> Result<Outcome, Error> {
        let order = match &work.what {
            What::Text(text) => Order::Data { id, after, text },
            What::Prepared { shape, arguments } => {
                let name = self.lane.applied.name(shape).ok_or_else(|| Error::Refused {
                    code: Code::NoStatement,
                    text: "it is not prepared on this connection".to_owned(),
                })?;
                Order::Execute { id, after, name, arguments }
            }
        };
        self.lane.channel.request(clock, &order, deadline).await
    }
}
