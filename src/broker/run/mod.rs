//! Runs a session's statements: which instance, how often, and what the caller is told.
//!
//! What the caller is told follows from what was sent. As long as no commit and no single write has left for an
//! instance, nothing of the attempt can be kept, and a refusal says so. From then on only that instance's own
//! refusal does; anything else is unknown.

mod acquire;
mod single;
mod transaction;

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use smallvec::SmallVec;

use super::dispatch::FULL;
use super::lane::Hold;
use super::need::{Need, Sight};
use super::server::Shared;
use super::session::{Session, What, Work};
use crate::clock::Instant;
use crate::config::Database;
use crate::id;
use crate::proxy::fence::Verdict;
use crate::proxy::floor::Mark;
use crate::report::Outcome as Counted;
use crate::report::event::{Event, Request, Retry, millis};
use crate::statement::{Answer, Code, Id, Shape, State};
use crate::upstream::connection::{Error, Outcome};

/// The answer to a statement: its parts, without the last one.
pub(super) type Reply = SmallVec<[Answer; 2]>;

/// Runs the statements of one session.
#[derive(Debug)]
pub(super) struct Runner {
    shared: Arc<Shared>,
    /// The connection of the open transaction, once it has one.
    hold: Option<Hold>,
    /// Where the primary stood after the session's last write.
    own: Option<Sight>,
}

/// One statement on its way.
pub(super) struct Attempt<'a> {
    pub(super) id: &'a Id,
    pub(super) session: &'a Session,
    /// The name of the database.
    name: &'a str,
    pub(super) database: &'a Database,
    priority: u8,
    /// When it was received.
    since: Instant,
    /// When it must be answered.
    limit: Instant,
    /// The instances that failed it.
    failed: SmallVec<[id::Instance; 2]>,
    /// What it needs of the instance that it runs on or waits for.
    need: Option<Need>,
    /// How long it waited for instances with room.
    waited: Duration,
    /// On how many instances it was tried, and the last of them.
    tries: u32,
    instance: Option<id::Instance>,
}

/// Why a statement ends without success.
struct Refusal {
    code: Code,
    text: String,
    /// When the caller may come back.
    after: Option<Duration>,
}

/// Why an answer didn't come.
enum Broken {
    /// The connection failed.
    Channel(Error),
    /// The epoch is being replaced, so no answer of this primary counts any more.
    Replaced,
}

impl Attempt<'_> {
    /// Notes that it runs where its transaction does.
    fn goes_on(&mut self, hold: &Hold, read_only: bool) {
        self.need = (!read_only).then_some(Need::Primary);
        self.instance = Some(hold.permit.instance.clone());
        self.tries = 1;
    }
}

impl Refusal {
    fn new(code: Code, text: impl Into<String>) -> Self {
        Self { code, text: text.into(), after: None }
    }

    /// Refuses for now, with a time to come back.
    fn busy(text: &str, after: Duration) -> Self {
        Self { after: Some(after), ..Self::new(Code::Busy, text) }
    }
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Channel(error) => error.fmt(f),
            Self::Replaced => f.write_str("the primary is being replaced"),
        }
    }
}

fn success(rows: Vec<String>, signature: String) -> Reply {
    let rows = rows.into_iter().map(Answer::Row);
    rows.chain([Answer::Done(signature)]).collect()
}

fn shape(work: &Work) -> Option<&Shape> {
    match &work.what {
        What::Text(_) => None,
        What::Prepared { shape, .. } => Some(shape),
    }
}

/// Returns what the instance must have received for a need.
fn after(need: Need) -> Option<Mark> {
    match need {
        Need::Primary => None,
        Need::Reached { mark, .. } => Some(mark),
    }
}

impl Runner {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, hold: None, own: None }
    }

    /// Begins to run a statement of the session.
    pub(super) fn attempt<'a>(
        &self,
        id: &'a Id,
        session: &'a Session,
        (name, database): (&'a str, &'a Database),
    ) -> Attempt<'a> {
        let since = self.shared.clock.now();
        Attempt {
            id,
            session,
            name,
            database,
            priority: self.shared.priority(&database.class),
            since,
            limit: since + database.timeout.0,
            failed: SmallVec::new(),
            need: None,
            waited: Duration::ZERO,
            tries: 0,
            instance: None,
        }
    }

    /// Counts and logs what came of a statement, and makes the caller's answer.
    fn conclude(&self, attempt: &Attempt<'_>, result: Result<Reply, Refusal>) -> Reply {
        let elapsed = self.shared.clock.now().since(attempt.since);
        let class = &attempt.database.class;
        self.shared.metrics.observe_wait(class, attempt.waited);
        let refusal = match result {
            Ok(reply) => {
                self.shared.metrics.record_request(class, Counted::Answered, elapsed);
                let slow = elapsed > attempt.database.target.0;
                if slow || self.shared.is_sample() {
                    let reason = if slow { "slow" } else { "sample" };
                    self.explain(attempt, elapsed, ("done", reason), None);
                }
                return reply;
            }
            Err(refusal) => refusal,
        };
        let counted = match refusal.code {
            Code::Unknown | Code::Timeout => Counted::Unknown,
            Code::Failed | Code::Malformed | Code::Other(_) => Counted::Answered,
            _ => Counted::NotRun,
        };
        self.shared.metrics.record_request(class, counted, elapsed);
        let outcome = refusal.code.to_string();
        self.explain(attempt, elapsed, (&outcome, &refusal.text), refusal.after);
        let text = match refusal.after {
            Some(after) => format!("{}; retry_after_ms={}", refusal.text, after.as_millis()),
            None => refusal.text,
        };
        SmallVec::from_iter([Answer::Failed { code: refusal.code, text }])
    }

    /// Logs how a statement ended, with what decided that.
    fn explain(
        &self,
        attempt: &Attempt<'_>,
        elapsed: Duration,
        (outcome, reason): (&str, &str),
        after: Option<Duration>,
    ) {
        let database = &attempt.database;
        let request = Request {
            request: attempt.id.as_str(),
            group: database.group.as_str(),
            database: attempt.name,
            class: database.class.as_str(),
            outcome,
            reason,
            retry_after_ms: after.map(millis),
            elapsed_ms: millis(elapsed),
            waited_ms: millis(attempt.waited),
            tries: attempt.tries,
            instance: attempt.instance.as_ref(),
            need: match attempt.need {
                Some(Need::Primary) => "primary",
                Some(Need::Reached { .. }) => "mark",
                None => "transaction",
            },
            ..Request::default()
        };
        self.shared.explain(&database.group, attempt.need, request);
    }

    /// Runs `answer` until it ends or the epoch under which it was asked for is being replaced.
    async fn unless_replaced(
        &self,
        group: &id::Group,
        term: Option<id::Term>,
        answer: impl Future<Output = Result<Outcome, Error>>,
    ) -> Result<Outcome, Broken> {
        let answer = async { answer.await.map_err(Broken::Channel) };
        let Some(term) = term else {
            return answer.await;
        };
        let replaced = async {
            self.shared.replaced(group, term).await;
            Err(Broken::Replaced)
        };
        smol::future::or(answer, replaced).await
    }

    /// Notes what an answer tells of its instance: it answers, and where it stands.
    fn learn(&self, hold: &mut Hold, sent: Instant, outcome: &Outcome) {
        let now = self.shared.clock.now();
        hold.permit.took = outcome.result.is_ok().then(|| now.since(sent));
        self.shared.metrics.observe_upstream(hold.target(), now.since(sent));
        self.shared.answered(&hold.permit.instance, outcome.position);
        // The lease that was valid when the connection was taken may have run out before the statement was sent, so
        // it must still be the same one now.
        let term = self.shared.reign(&hold.permit.group, &hold.permit.instance);
        if let Some(mark) = outcome.position
            && term.is_some()
            && term == hold.term
        {
            self.shared.trace(&hold.permit.group, sent, mark);
        }
    }

    /// Notes what a failed connection tells of its instance.
    fn lost(&self, instance: &id::Instance, broken: &Broken) {
        if let Broken::Channel(error) = broken {
            self.shared.failed(instance, error);
        }
    }

    /// Tells whether the answer to a write may be released, and takes its position for the session's own. Without a lease
    /// it waits for the next one, which says whether the epoch has gone on.
    async fn release(
        &mut self,
        attempt: &Attempt<'_>,
        hold: &Hold,
        position: Option<Mark>,
    ) -> Result<(), Refusal> {
        let term = hold.term.unwrap_or_default();
        let reason = match self.shared.judged(&hold.permit.group, term, attempt.limit).await {
            Verdict::Release => {
                let asked = self.shared.clock.now();
                self.own = position.map(|mark| Sight { asked, mark });
                return Ok(());
            }
            Verdict::NoLease => "this proxy's lease has run out",
            Verdict::Replaced => "the primary is being replaced",
        };
        Err(Refusal::new(Code::Unknown, reason))
    }

    /// Gives a connection back, unless its transaction is not over.
    fn give_back(&self, hold: Hold, state: State) {
        let Hold { lane, permit, .. } = hold;
        if state == State::Idle {
            self.shared.keep(&permit.instance, lane);
        }
    }

    /// Takes an instance's refusal of something that left nothing behind. Returns when it may be tried again.
    async fn refused(
        &self,
        attempt: &mut Attempt<'_>,
        hold: Hold,
        state: State,
        (code, text): (Code, String),
    ) -> Result<(), Refusal> {
        let instance = hold.permit.instance.clone();
        let group = hold.permit.group.clone();
        self.try_again(attempt, &instance, format!("{code} {text}"));
        match code {
            Code::Lagging => {
                self.shared.refused_by(&hold.permit, true);
                self.give_back(hold, state);
            }
            Code::Busy => {
                self.shared.refused_by(&hold.permit, false);
                self.give_back(hold, state);
                self.shared.clock.sleep(FULL).await;
                self.shared.advance(&group);
            }
            Code::NoStatement => drop(hold),
            _ => {
                self.give_back(hold, state);
                self.leave_out(attempt, instance)?;
            }
        }
        Ok(())
    }

    /// Counts and logs that an instance did not run a statement, which is tried again as long as it may be.
    fn try_again(&self, attempt: &Attempt<'_>, instance: &id::Instance, reason: String) {
        self.shared.metrics.record_retry();
        let elapsed_ms = millis(self.shared.clock.now().since(attempt.since));
        let (request, group) = (attempt.id.as_str(), &attempt.database.group);
        Event::Retry(Retry { request, group, instance, reason, elapsed_ms }).log(Level::Info);
    }
}
