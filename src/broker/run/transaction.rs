//! Transactions: they take a connection with their first statement and hold it to their end.
//!
//! Until the commit is sent nothing of a transaction can be kept, since an instance rolls back what loses its
//! connection. So its first statement may be tried again anywhere, and everything up to the commit may be refused
//! with the promise that nothing is kept.

use std::time::Duration;

use super::{Attempt, Broken, Refusal, Reply, Runner, after, shape, success};
use crate::broker::dispatch::FULL;
use crate::broker::lane::Hold;
use crate::broker::need::Need;
use crate::broker::session::Work;
use crate::statement::{Access, Code, Order, State};
use crate::upstream::connection::{Error, Outcome};

/// How long a rollback may take until its connection is closed instead.
const ROLLBACK: Duration = Duration::from_millis(500);

impl Runner {
    /// Runs a statement in the transaction. A failure ends the transaction; the caller of this tells the session.
    pub(in crate::broker) async fn inside(
        &mut self,
        mut attempt: Attempt<'_>,
        work: &Work,
        read_only: bool,
    ) -> (Reply, bool) {
        let result = match self.hold.take() {
            None => self.first(&mut attempt, work, read_only).await,
            Some(mut hold) => {
                hold.permit.resume();
                attempt.goes_on(&hold, read_only);
                self.following(&mut attempt, hold, work, read_only).await
            }
        };
        let goes_on = result.is_ok();
        (self.conclude(&attempt, result), goes_on)
    }

    /// Begins the transaction and runs its first statement, on another instance when one fails.
    async fn first(
        &mut self,
        attempt: &mut Attempt<'_>,
        work: &Work,
        read_only: bool,
    ) -> Result<Reply, Refusal> {
        loop {
            let (mut hold, need) = self.begin(attempt, Some(work), read_only).await?;
            let instance = hold.permit.instance.clone();
            let outcome = match self.step(attempt, &mut hold, work, read_only).await {
                Ok(outcome) => outcome,
                Err(broken) => {
                    self.lost(&instance, &broken);
                    drop(hold);
                    self.try_again(attempt, &instance, broken.to_string());
                    self.retry(attempt, need, instance)?;
                    continue;
                }
            };
            let Outcome { rows, result, state, .. } = outcome;
            match result {
                Ok(signature) if state == State::Open => {
                    hold.wrote |= work.access == Access::Write;
                    hold.permit.rest();
                    self.hold = Some(hold);
                    return Ok(success(rows, signature));
                }
                Ok(_) => return Err(Refusal::new(Code::Aborted, "the transaction was lost")),
                Err((code, text)) if code.is_not_run() => {
                    self.refused(attempt, hold, State::Open, (code, text)).await?;
                }
                Err((_, text)) => return Err(Refusal::new(Code::Aborted, text)),
            }
        }
    }

    /// Leaves an instance out before another try; a write has only the primary to try.
    fn retry(
        &self,
        attempt: &mut Attempt<'_>,
        need: Need,
        instance: crate::id::Instance,
    ) -> Result<(), Refusal> {
        match need {
            Need::Primary if self.shared.clock.now() < attempt.limit => Ok(()),
            Need::Primary => Err(Refusal::busy("the primary did not answer in time", FULL)),
            Need::Reached { .. } => self.leave_out(attempt, instance),
        }
    }

    /// Takes a connection and begins a transaction on it.
    async fn begin(
        &self,
        attempt: &mut Attempt<'_>,
        work: Option<&Work>,
        read_only: bool,
    ) -> Result<(Hold, Need), Refusal> {
        loop {
            let need = match read_only {
                true => self.need(attempt).await,
                false => Need::Primary,
            };
            let mut hold = self.acquire(attempt, need).await?;
            let instance = hold.permit.instance.clone();
            let begun = self.begin_on(attempt, &mut hold, work, read_only, need).await;
            match begun {
                Ok(Outcome { result: Ok(_), state: State::Open, .. }) => return Ok((hold, need)),
                Ok(Outcome { result: Err(refusal), state, .. }) => {
                    self.refused(attempt, hold, state, refusal).await?;
                }
                Ok(_) => return Err(Refusal::new(Code::Aborted, "no transaction was begun")),
                Err(broken) => {
                    self.lost(&instance, &broken);
                    drop(hold);
                    self.try_again(attempt, &instance, broken.to_string());
                    self.retry(attempt, need, instance)?;
                }
            }
        }
    }

    async fn begin_on(
        &self,
        attempt: &Attempt<'_>,
        hold: &mut Hold,
        work: Option<&Work>,
        read_only: bool,
        need: Need,
    ) -> Result<Outcome, Broken> {
        let (clock, values) = (&self.shared.clock, attempt.session.values());
        let (group, term) = (hold.permit.group.clone(), hold.term);
        let fit = hold.lane.fit(clock, values, work.and_then(shape), true, attempt.limit).await;
        fit.map_err(Broken::Channel)?;
        let sent = clock.now();
        let order = Order::Begin { read_only, after: after(need) };
        let begun = hold.lane.channel.request(clock, &order, attempt.limit);
        let outcome = self.unless_replaced(&group, term, begun).await?;
        self.learn(hold, sent, &outcome);
        hold.permit.took = None;
        Ok(outcome)
    }

    /// Runs a statement on the transaction's connection. One that the instance has no room for is sent again.
    async fn step(
        &self,
        attempt: &Attempt<'_>,
        hold: &mut Hold,
        work: &Work,
        read_only: bool,
    ) -> Result<Outcome, Broken> {
        let (clock, values) = (&self.shared.clock, attempt.session.values());
        let (group, term) = (hold.permit.group.clone(), hold.term);
        let term = term.filter(|_| !read_only);
        let fit = hold.lane.fit(clock, values, shape(work), false, attempt.limit).await;
        fit.map_err(Broken::Channel)?;
        loop {
            let sent = clock.now();
            let running = hold.run(clock, (attempt.id, work), None, attempt.limit);
            let outcome = self.unless_replaced(&group, term, running).await?;
            self.learn(hold, sent, &outcome);
            let full = matches!(outcome.result, Err((Code::Busy, _)));
            if !full || outcome.state != State::Open || clock.now() + FULL >= attempt.limit {
                return Ok(outcome);
            }
            clock.sleep(FULL).await;
        }
    }

    async fn following(
        &mut self,
        attempt: &mut Attempt<'_>,
        mut hold: Hold,
        work: &Work,
        read_only: bool,
    ) -> Result<Reply, Refusal> {
        let instance = hold.permit.instance.clone();
        let outcome = match self.step(attempt, &mut hold, work, read_only).await {
            Ok(outcome) => outcome,
            Err(broken) => {
                self.lost(&instance, &broken);
                return Err(Refusal::new(Code::Aborted, format!("{instance}: {broken}")));
            }
        };
        let Outcome { rows, result, state, .. } = outcome;
        match result {
            Ok(signature) if state == State::Open => {
                hold.wrote |= work.access == Access::Write;
                hold.permit.rest();
                self.hold = Some(hold);
                Ok(success(rows, signature))
            }
            Ok(_) => Err(Refusal::new(Code::Aborted, "the transaction was lost")),
            Err((code, text)) => {
                self.recycle(hold);
                Err(Refusal::new(Code::Aborted, format!("{code} {text}")))
            }
        }
    }

    /// Commits the transaction.
    pub(in crate::broker) async fn commit(
        &mut self,
        mut attempt: Attempt<'_>,
        read_only: bool,
    ) -> Reply {
        let hold = match self.hold.take() {
            Some(mut hold) => {
                hold.permit.resume();
                attempt.goes_on(&hold, read_only);
                Ok(hold)
            }
            None => self.begin(&mut attempt, None, read_only).await.map(|(hold, _)| hold),
        };
        let result = match hold {
            Ok(hold) => self.commit_on(&attempt, hold).await,
            Err(refusal) => Err(refusal),
        };
        self.conclude(&attempt, result)
    }

    async fn commit_on(&mut self, attempt: &Attempt<'_>, mut hold: Hold) -> Result<Reply, Refusal> {
        let clock = self.shared.clock.clone();
        let instance = hold.permit.instance.clone();
        let (group, term, wrote) = (hold.permit.group.clone(), hold.term, hold.wrote);
        let order = Order::Commit { id: attempt.id };
        loop {
            let committing = wrote.then(|| self.shared.committing(&instance));
            let sent = clock.now();
            let committed = hold.lane.channel.request(&clock, &order, attempt.limit);
            let outcome = self.unless_replaced(&group, term.filter(|_| wrote), committed).await;
            drop(committing);
            let outcome = match outcome {
                Ok(outcome) => outcome,
                Err(broken) => {
                    self.lost(&instance, &broken);
                    let code = if wrote { Code::Unknown } else { Code::Aborted };
                    return Err(Refusal::new(code, format!("{instance}: {broken}")));
                }
            };
            self.learn(&mut hold, sent, &outcome);
            let Outcome { rows, result, state, position } = outcome;
            match result {
                Ok(signature) => {
                    let released = match wrote {
                        true => self.release(attempt, &hold, position).await,
                        false => Ok(()),
                    };
                    self.give_back(hold, state);
                    return released.map(|()| success(rows, signature));
                }
                Err((Code::Busy, _))
                    if state == State::Open && clock.now() + FULL < attempt.limit =>
                {
                    clock.sleep(FULL).await;
                }
                Err((code, text)) => {
                    let known = code.is_not_run() || !wrote;
                    self.recycle(hold);
                    let code = if known { Code::Aborted } else { Code::Unknown };
                    return Err(Refusal::new(code, text));
                }
            }
        }
    }

    /// Ends the transaction without its effects, when it has a connection.
    pub(in crate::broker) fn roll_back(&mut self) {
        if let Some(hold) = self.hold.take() {
            self.recycle(hold);
        }
    }

    /// Tells whether the transaction holds a connection.
    pub(in crate::broker) fn holds(&self) -> bool {
        self.hold.is_some()
    }

    /// Rolls back in the background and gives the connection back.
    fn recycle(&self, mut hold: Hold) {
        let shared = std::sync::Arc::clone(&self.shared);
        let roll_back = async move {
            let deadline = shared.clock.now() + ROLLBACK;
            let asked = hold.lane.channel.request(&shared.clock, &Order::Rollback, deadline).await;
            let over = match asked {
                Ok(outcome) => outcome.state == State::Idle,
                Err(Error::Closed) => false,
                Err(error) => {
                    log::debug!("a rollback on {} failed: {error}", hold.permit.instance);
                    false
                }
            };
            if over {
                let Hold { lane, permit, .. } = hold;
                shared.keep(&permit.instance, lane);
            }
        };
        smol::spawn(roll_back).detach();
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.roll_back();
    }
}
