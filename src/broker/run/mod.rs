//! Runs a session's statements: on which instance, with how many attempts, and with which outcome for the caller.
//!
//! The outcome depends on what was sent. Until a commit or a write outside of a transaction was sent to an instance,
//! nothing of the attempt can be kept, and a refusal says so. After that only a refusal by that instance proves that
//! nothing is kept; any other failure leaves the outcome unknown.

mod acquire;
mod single;
mod transaction;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use smallvec::SmallVec;

use super::connection::Checkout;
use super::dispatch::FULL_DELAY;
use super::need::{Need, PositionSample};
use super::presence::Presence;
use super::server::Shared;
use super::session::{Body, Operation};
use crate::clock::Instant;
use crate::config::Database;
use crate::id;
use crate::proxy::fence::Verdict;
use crate::proxy::floor::Mark;
use crate::report::Outcome as OutcomeLabel;
use crate::report::event::{Event, Request, Retry, millis};
use crate::statement::{Answer, Code, Id, State, Template, Text};
use crate::upstream::connection::{Error, Outcome};
use crate::wire::{Identity, Step};

/// The text for callers of a proxy without a lease.
const NO_LEASE: &str = "this proxy's lease has run out";

/// The text for callers while the epoch is being replaced.
const REPLACED: &str = "the primary is being replaced";

/// The answer to a statement, without the final [`Answer::Ready`].
pub(super) type Reply = SmallVec<[Answer; 2]>;

/// Runs the statements of one session.
#[derive(Debug)]
pub(super) struct Runner {
    shared: Arc<Shared>,
    /// The connection of the open transaction, once it has one.
    checkout: Option<Checkout>,
    /// The position of the primary after the session's last write.
    last_write: Option<PositionSample>,
}

/// A statement that is being run, over all its attempts.
pub(super) struct Execution<'a> {
    pub(in crate::broker) id: &'a Id,
    /// The session variables.
    pub(in crate::broker) values: &'a BTreeMap<Text, Text>,
    /// The name of the database.
    pub(in crate::broker) database_name: &'a str,
    pub(in crate::broker) database: &'a Database,
    /// The account of the session, if the deployment has accounts.
    pub(in crate::broker) identity: Option<&'a Identity>,
    /// The revision of the declarations by which the session's key was judged.
    pub(in crate::broker) revision: id::Revision,
    pub(in crate::broker) priority: u8,
    /// When the statement was received.
    pub(in crate::broker) received_at: Instant,
    /// When the statement must be answered.
    pub(in crate::broker) deadline: Instant,
    /// The instances on which the statement failed.
    excluded: SmallVec<[id::Instance; 2]>,
    /// How often a connection that was out of step was replaced.
    replaced: u32,
    /// How often its answer could not be read.
    unreadable: u32,
    /// What the statement requires of the instance that it runs on or waits for.
    need: Option<Need>,
    /// Whether the statement is forwarded to another proxy.
    pub(in crate::broker) forwarded: bool,
    /// How long the statement waited for capacity.
    pub(in crate::broker) waited: Duration,
    /// The number of instances tried, and the last of them.
    pub(in crate::broker) tries: u32,
    instance: Option<id::Instance>,
    /// Who waits for the answer.
    pub(in crate::broker) presence: Presence,
}

/// The reason why a statement ends without success.
pub(super) struct Refusal {
    code: Code,
    text: Text,
    /// When the caller may retry.
    after: Option<Duration>,
}

/// The reason why no answer arrived.
pub(super) enum Failure {
    /// The connection failed.
    Connection(Error),
    /// The epoch is being replaced, so answers of this primary no longer count.
    Replaced,
}

/// The reason why a statement that commits was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NotSent {
    /// Its deadline has passed.
    TimeOver,
    /// The proxy holds no lease.
    NoLease,
    /// The epoch is being replaced.
    Replaced,
}

impl Execution<'_> {
    /// Records that the statement runs on the connection of its transaction.
    fn continue_on(&mut self, checkout: &Checkout, read_only: bool) {
        self.need = (!read_only).then_some(Need::Primary);
        self.instance = Some(checkout.permit.instance.clone());
        self.tries = 1;
    }
}

impl Refusal {
    pub(in crate::broker) fn new(code: Code, text: impl Into<Text>) -> Self {
        Self { code, text: text.into(), after: None }
    }

    /// Creates a temporary refusal that says when to retry.
    pub(in crate::broker) fn busy(text: &str, after: Duration) -> Self {
        Self { after: Some(after), ..Self::new(Code::Busy, text) }
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connection(error) => error.fmt(f),
            Self::Replaced => f.write_str(REPLACED),
        }
    }
}

impl Failure {
    /// Returns the answer to a statement that no instance can be sent.
    fn refusal(&self) -> Option<Refusal> {
        match self {
            Self::Connection(error @ Error::Unencodable(_)) => {
                Some(Refusal::new(Code::Malformed, error.to_string()))
            }
            Self::Connection(_) | Self::Replaced => None,
        }
    }
}

impl NotSent {
    fn text(self) -> &'static str {
        match self {
            Self::TimeOver => "its time was over before it was sent",
            Self::NoLease => NO_LEASE,
            Self::Replaced => REPLACED,
        }
    }
}

fn success(rows: Vec<Text>, signature: Text) -> Reply {
    let rows = rows.into_iter().map(Answer::Row);
    rows.chain([Answer::Done(signature)]).collect()
}

fn template(operation: &Operation) -> Option<&Template> {
    match &operation.body {
        Body::Text(_) => None,
        Body::Prepared { template, .. } | Body::PreparedWithEmpty(template) => Some(template),
    }
}

/// Returns the mark that an instance must have received.
fn required_mark(need: Need) -> Option<Mark> {
    match need {
        Need::Primary => None,
        Need::AtLeast { mark, .. } => Some(mark),
    }
}

impl Runner {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, checkout: None, last_write: None }
    }

    /// Returns the position of the primary after the session's last write.
    pub(super) fn last_write(&self) -> Option<PositionSample> {
        self.last_write
    }

    /// Replaces the position of the primary after the session's last write, when another proxy ran it.
    pub(super) fn set_last_write(&mut self, last_write: Option<PositionSample>) {
        self.last_write = last_write;
    }

    /// Starts a statement of the session.
    pub(super) fn start_execution<'a>(
        &self,
        id: &'a Id,
        values: &'a BTreeMap<Text, Text>,
        (database_name, database): (&'a str, &'a Database),
        identity: Option<&'a Identity>,
    ) -> Execution<'a> {
        let received_at = self.shared.clock.now();
        Execution {
            id,
            values,
            database_name,
            database,
            identity,
            revision: identity.map(|identity| identity.revision).unwrap_or_default(),
            priority: self.shared.priority(&database.class),
            received_at,
            deadline: received_at + database.timeout.0,
            excluded: SmallVec::new(),
            replaced: 0,
            unreadable: 0,
            need: None,
            forwarded: false,
            waited: Duration::ZERO,
            tries: 0,
            instance: None,
            presence: Presence::default(),
        }
    }

    /// Runs a statement on an instance. Returns the answer and whether a transaction is open.
    pub(super) async fn run_step(
        &mut self,
        execution: Execution<'_>,
        step: &Step,
    ) -> (Reply, bool) {
        match step {
            Step::Single(operation) => (self.run_single(execution, operation).await, false),
            Step::InTransaction { operation, read_only } => {
                self.run_in_transaction(execution, operation, *read_only).await
            }
            Step::Commit { read_only } => (self.commit(execution, *read_only).await, false),
            Step::Rollback => {
                self.roll_back();
                (Reply::from_iter([Answer::Done("-".into())]), false)
            }
        }
    }

    /// Counts and logs the result of a statement and returns the caller's answer.
    pub(super) fn conclude(
        &self,
        execution: &Execution<'_>,
        result: Result<Reply, Refusal>,
    ) -> Reply {
        let elapsed = self.shared.clock.now().since(execution.received_at);
        let class = &execution.database.class;
        self.shared.metrics.observe_wait(class, execution.waited);
        let refusal = match result {
            Ok(reply) => {
                self.shared.metrics.record_request(class, OutcomeLabel::Answered, elapsed);
                let slow = elapsed > execution.database.target.0;
                if slow || self.shared.is_sampled() {
                    let reason = if slow { "slow" } else { "sample" };
                    self.explain(execution, elapsed, ("done", reason), None);
                }
                return reply;
            }
            Err(refusal) => refusal,
        };
        let label = match refusal.code {
            Code::Unknown | Code::Timeout => OutcomeLabel::Unknown,
            Code::Failed | Code::Malformed | Code::Other(_) => OutcomeLabel::Answered,
            _ => OutcomeLabel::NotRun,
        };
        self.shared.metrics.record_request(class, label, elapsed);
        let outcome = refusal.code.to_string();
        self.explain(execution, elapsed, (&outcome, &refusal.text.to_string()), refusal.after);
        let text = match refusal.after {
            Some(after) => format!("{}; retry_after_ms={}", refusal.text, after.as_millis()).into(),
            None => refusal.text,
        };
        SmallVec::from_iter([Answer::Failed { code: refusal.code, text }])
    }

    /// Logs how a statement ended and why.
    fn explain(
        &self,
        execution: &Execution<'_>,
        elapsed: Duration,
        (outcome, reason): (&str, &str),
        after: Option<Duration>,
    ) {
        let database = &execution.database;
        let request = Request {
            request: &execution.id.to_string(),
            group: database.group.as_str(),
            database: execution.database_name,
            class: database.class.as_str(),
            outcome,
            reason,
            retry_after_ms: after.map(millis),
            elapsed_ms: millis(elapsed),
            waited_ms: millis(execution.waited),
            tries: execution.tries,
            instance: execution.instance.as_ref(),
            need: match execution.need {
                Some(Need::Primary) => "primary",
                Some(Need::AtLeast { .. }) => "mark",
                None if execution.forwarded => "server",
                None => "transaction",
            },
            ..Request::default()
        };
        self.shared.explain(&database.group, execution.need, request);
    }

    /// Awaits `answer` until the epoch under which it was requested is being replaced.
    async fn unless_replaced(
        &self,
        group: &id::Group,
        term: Option<id::Term>,
        answer: impl Future<Output = Result<Outcome, Error>>,
    ) -> Result<Outcome, Failure> {
        let answer = async { answer.await.map_err(Failure::Connection) };
        let Some(term) = term else {
            return answer.await;
        };
        let replaced = async {
            self.shared.wait_for_replacement(group, term).await;
            Err(Failure::Replaced)
        };
        smol::future::or(answer, replaced).await
    }

    /// Records from an answer that its instance is alive, and its position.
    fn record_answer(&self, checkout: &mut Checkout, sent: Instant, outcome: &Outcome) {
        let now = self.shared.clock.now();
        checkout.permit.duration = outcome.result.is_ok().then(|| now.since(sent));
        self.shared.metrics.observe_upstream(checkout.target(), now.since(sent));
        self.shared.record_answer(&checkout.permit.instance, outcome.position);
        // The lease that was valid when the connection was checked out may have run out before the statement was sent,
        // so the term must still be the same.
        let term = self.shared.primary_term(&checkout.permit.group, &checkout.permit.instance);
        if let Some(mark) = outcome.position
            && term.is_some()
            && term == checkout.term
        {
            self.shared.record_sample(&checkout.permit.group, sent, mark);
        }
    }

    /// Records a failed connection of an instance.
    fn record_failure(&self, instance: &id::Instance, failure: &Failure) {
        if let Failure::Connection(error) = failure {
            self.shared.record_failure(instance, error);
        }
    }

    /// Checks whether a statement that commits may be sent: its time is not over, and the epoch under which the connection
    /// was checked out is in force. The process may have been suspended since then, and what it sends now can't be taken
    /// back. Without a lease it waits for the next one, without which no answer could be released either.
    async fn check_send(
        &self,
        execution: &Execution<'_>,
        checkout: &Checkout,
    ) -> Result<(), NotSent> {
        let (group, term) = (&checkout.permit.group, checkout.term.unwrap_or_default());
        let verdict = self.shared.wait_for_verdict(group, term, execution.deadline).await;
        match verdict {
            _ if self.shared.clock.now() >= execution.deadline => Err(NotSent::TimeOver),
            Verdict::Release => Ok(()),
            Verdict::NoLease => Err(NotSent::NoLease),
            Verdict::Replaced => Err(NotSent::Replaced),
        }
    }

    /// Checks whether the answer to a write may be released, and records its position as the session's last write.
    /// Without a lease it waits for the next one, which shows whether the epoch is still in force.
    async fn check_release(
        &mut self,
        execution: &Execution<'_>,
        checkout: &Checkout,
        position: Option<Mark>,
    ) -> Result<(), Refusal> {
        let term = checkout.term.unwrap_or_default();
        let reason = match self
            .shared
            .wait_for_verdict(&checkout.permit.group, term, execution.deadline)
            .await
        {
            Verdict::Release => {
                let requested_at = self.shared.clock.now();
                self.last_write = position.map(|mark| PositionSample { requested_at, mark });
                return Ok(());
            }
            Verdict::NoLease => NO_LEASE,
            Verdict::Replaced => REPLACED,
        };
        Err(Refusal::new(Code::Unknown, reason))
    }

    /// Returns a connection to the pool, unless its transaction is still open.
    fn return_connection(&self, checkout: Checkout, state: State) {
        let Checkout { connection, permit, .. } = checkout;
        if state == State::Idle {
            self.shared.return_connection(&permit.instance, connection);
        }
    }

    /// Handles a refusal by an instance that kept nothing of the attempt. Returns once the statement may be retried.
    async fn handle_refusal(
        &self,
        execution: &mut Execution<'_>,
        checkout: Checkout,
        state: State,
        (code, text): (Code, Text),
    ) -> Result<(), Refusal> {
        let instance = checkout.permit.instance.clone();
        let group = checkout.permit.group.clone();
        self.record_retry(execution, &instance, format!("{code} {text}"));
        match code {
            Code::Lagging => {
                let need = execution.need.unwrap_or(Need::Primary);
                self.shared.record_refusal(&checkout.permit, Some(need));
                self.return_connection(checkout, state);
            }
            Code::Busy => {
                self.shared.record_refusal(&checkout.permit, None);
                self.return_connection(checkout, state);
                self.shared.clock.sleep(FULL_DELAY).await;
                self.shared.advance(&group);
            }
            Code::NoStatement => drop(checkout),
            _ => {
                self.return_connection(checkout, state);
                self.exclude(execution, instance)?;
            }
        }
        Ok(())
    }

    /// Counts and logs that an instance did not run a statement, which is retried while its limits allow.
    fn record_retry(&self, execution: &Execution<'_>, instance: &id::Instance, reason: String) {
        self.shared.metrics.record_retry();
        let elapsed_ms = millis(self.shared.clock.now().since(execution.received_at));
        let (request, group) = (&execution.id.to_string(), &execution.database.group);
        Event::Retry(Retry { request, group, instance, reason, elapsed_ms }).log(Level::Info);
    }
}
