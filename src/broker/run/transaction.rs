//! Transactions, which check out a connection with their first statement and keep it until they end.
//!
//! Until the commit is sent nothing of a transaction can be kept, since an instance rolls back a transaction that loses
//! its connection. So the first statement may be retried on any instance, and everything before the commit may be
//! refused with the guarantee that nothing is kept.

use std::time::Duration;

use super::{Execution, Failure, Refusal, Reply, Runner, required_mark, success, template};
use crate::broker::connection::Checkout;
use crate::broker::dispatch::FULL_DELAY;
use crate::broker::need::Need;
use crate::broker::session::Operation;
use crate::statement::{Access, Code, Command, State};
use crate::upstream::connection::{Error, Outcome};

/// Timeout for a rollback, after which the connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

impl Runner {
    /// Runs a statement in the transaction. Returns the answer and whether the transaction is still open, so that the
    /// caller of this function can update the session.
    pub(in crate::broker) async fn run_in_transaction(
        &mut self,
        mut execution: Execution<'_>,
        operation: &Operation,
        read_only: bool,
    ) -> (Reply, bool) {
        let result = match self.checkout.take() {
            None => self.run_first(&mut execution, operation, read_only).await,
            Some(mut checkout) => {
                checkout.permit.resume();
                execution.continue_on(&checkout, read_only);
                self.run_following(&mut execution, checkout, operation, read_only).await
            }
        };
        let is_open = result.is_ok();
        (self.conclude(&execution, result), is_open)
    }

    /// Begins the transaction and runs its first statement. Both are retried on another instance after a failure.
    async fn run_first(
        &mut self,
        execution: &mut Execution<'_>,
        operation: &Operation,
        read_only: bool,
    ) -> Result<Reply, Refusal> {
        loop {
            let (mut checkout, need) = self.begin(execution, Some(operation), read_only).await?;
            let instance = checkout.permit.instance.clone();
            let outcome = match self.run_on(execution, &mut checkout, operation, read_only).await {
                Ok(outcome) => outcome,
                Err(failure) => {
                    if let Some(refusal) = failure.refusal() {
                        self.roll_back_in_background(checkout);
                        return Err(refusal);
                    }
                    self.record_failure(&instance, &failure);
                    drop(checkout);
                    self.record_retry(execution, &instance, failure.to_string());
                    self.prepare_retry(execution, need, instance, &failure)?;
                    continue;
                }
            };
            let Outcome { rows, result, state, .. } = outcome;
            match result {
                Ok(signature) if state == State::Open => {
                    checkout.wrote |= operation.access == Access::Write;
                    checkout.permit.suspend();
                    self.checkout = Some(checkout);
                    return Ok(success(rows, signature));
                }
                Ok(_) => return Err(Refusal::new(Code::Aborted, "the transaction was lost")),
                Err((code, text)) if code.is_not_run() => {
                    self.handle_refusal(execution, checkout, State::Open, (code, text)).await?;
                }
                Err((_, text)) => return Err(Refusal::new(Code::Aborted, text)),
            }
        }
    }

    /// Excludes an instance before a retry. A write may only retry the primary, which is not excluded.
    fn prepare_retry(
        &self,
        execution: &mut Execution<'_>,
        need: Need,
        instance: crate::id::Instance,
        failure: &Failure,
    ) -> Result<(), Refusal> {
        self.limit_unreadable(execution, (need, &instance), failure, Code::Aborted)?;
        if need == Need::Primary {
            execution.replace_after(failure);
        }
        match need {
            Need::Primary if self.shared.clock.now() < execution.deadline => Ok(()),
            Need::Primary => Err(Refusal::busy("the primary did not answer in time", FULL_DELAY)),
            Need::AtLeast { .. } => self.exclude_after(execution, instance, failure),
        }
    }

    /// Checks out a connection and begins a transaction on it.
    async fn begin(
        &self,
        execution: &mut Execution<'_>,
        operation: Option<&Operation>,
        read_only: bool,
    ) -> Result<(Checkout, Need), Refusal> {
        loop {
            let need = match read_only {
                true => self.need(execution).await,
                false => Need::Primary,
            };
            let mut checkout = self.acquire(execution, need).await?;
            let instance = checkout.permit.instance.clone();
            let begun = self.begin_on(execution, &mut checkout, operation, read_only, need).await;
            match begun {
                Ok(Outcome { result: Ok(_), state: State::Open, .. }) => {
                    return Ok((checkout, need));
                }
                Ok(Outcome { result: Err(refusal), state, .. }) => {
                    self.handle_refusal(execution, checkout, state, refusal).await?;
                }
                Ok(_) => return Err(Refusal::new(Code::Aborted, "no transaction was begun")),
                Err(failure) => {
                    if let Some(refusal) = failure.refusal() {
                        self.return_connection(checkout, State::Idle);
                        return Err(refusal);
                    }
                    self.record_failure(&instance, &failure);
                    drop(checkout);
                    self.record_retry(execution, &instance, failure.to_string());
                    self.prepare_retry(execution, need, instance, &failure)?;
                }
            }
        }
    }

    async fn begin_on(
        &self,
        execution: &Execution<'_>,
        checkout: &mut Checkout,
        operation: Option<&Operation>,
        read_only: bool,
        need: Need,
    ) -> Result<Outcome, Failure> {
        let (clock, values) = (&self.shared.clock, execution.values);
        let (group, term) = (checkout.permit.group.clone(), checkout.term);
        let applied = checkout
            .connection
            .apply(clock, values, operation.and_then(template), true, execution.deadline)
            .await;
        applied.map_err(Failure::Connection)?;
        let sent = clock.now();
        let command = Command::Begin { read_only, after: required_mark(need) };
        let begun = checkout.connection.upstream.request(clock, &command, execution.deadline);
        let outcome = self.unless_replaced(&group, term, begun).await?;
        self.record_answer(checkout, sent, &outcome);
        checkout.permit.duration = None;
        Ok(outcome)
    }

    /// Runs a statement on the transaction's connection. It is resent while the instance has no capacity for it.
    async fn run_on(
        &self,
        execution: &Execution<'_>,
        checkout: &mut Checkout,
        operation: &Operation,
        read_only: bool,
    ) -> Result<Outcome, Failure> {
        let (clock, values) = (&self.shared.clock, execution.values);
        let (group, term) = (checkout.permit.group.clone(), checkout.term);
        let term = term.filter(|_| !read_only);
        let applied = checkout
            .connection
            .apply(clock, values, template(operation), false, execution.deadline)
            .await;
        applied.map_err(Failure::Connection)?;
        loop {
            let sent = clock.now();
            let running = checkout.run(clock, (execution.id, operation), None, execution.deadline);
            let outcome = self.unless_replaced(&group, term, running).await?;
            self.record_answer(checkout, sent, &outcome);
            let full = matches!(outcome.result, Err((Code::Busy, _)));
            if !full
                || outcome.state != State::Open
                || clock.now() + FULL_DELAY >= execution.deadline
            {
                return Ok(outcome);
            }
            clock.sleep(FULL_DELAY).await;
        }
    }

    async fn run_following(
        &mut self,
        execution: &mut Execution<'_>,
        mut checkout: Checkout,
        operation: &Operation,
        read_only: bool,
    ) -> Result<Reply, Refusal> {
        let instance = checkout.permit.instance.clone();
        let outcome = match self.run_on(execution, &mut checkout, operation, read_only).await {
            Ok(outcome) => outcome,
            Err(failure) => {
                if let Some(refusal) = failure.refusal() {
                    self.roll_back_in_background(checkout);
                    return Err(refusal);
                }
                self.record_failure(&instance, &failure);
                let code = match &failure {
                    Failure::Connection(Error::TooManyRows) => Code::Failed,
                    _ => Code::Aborted,
                };
                return Err(Refusal::new(code, format!("{instance}: {failure}")));
            }
        };
        let Outcome { rows, result, state, .. } = outcome;
        match result {
            Ok(signature) if state == State::Open => {
                checkout.wrote |= operation.access == Access::Write;
                checkout.permit.suspend();
                self.checkout = Some(checkout);
                Ok(success(rows, signature))
            }
            Ok(_) => Err(Refusal::new(Code::Aborted, "the transaction was lost")),
            Err((code, text)) => {
                self.roll_back_in_background(checkout);
                Err(Refusal::new(Code::Aborted, format!("{code} {text}")))
            }
        }
    }

    /// Commits the transaction.
    pub(in crate::broker) async fn commit(
        &mut self,
        mut execution: Execution<'_>,
        read_only: bool,
    ) -> Reply {
        let checkout = match self.checkout.take() {
            Some(mut checkout) => {
                checkout.permit.resume();
                execution.continue_on(&checkout, read_only);
                Ok(checkout)
            }
            None => self.begin(&mut execution, None, read_only).await.map(|(checkout, _)| checkout),
        };
        let result = match checkout {
            Ok(checkout) => self.commit_on(&execution, checkout).await,
            Err(refusal) => Err(refusal),
        };
        self.conclude(&execution, result)
    }

    async fn commit_on(
        &mut self,
        execution: &Execution<'_>,
        mut checkout: Checkout,
    ) -> Result<Reply, Refusal> {
        let clock = self.shared.clock.clone();
        let instance = checkout.permit.instance.clone();
        let (group, term, wrote) = (checkout.permit.group.clone(), checkout.term, checkout.wrote);
        let command = Command::Commit { id: execution.id };
        loop {
            if wrote && let Err(reason) = self.check_send(execution, &checkout).await {
                self.roll_back_in_background(checkout);
                return Err(Refusal::new(Code::Aborted, reason.text()));
            }
            let committing = wrote.then(|| self.shared.begin_commit(&instance));
            let sent = clock.now();
            let committed =
                checkout.connection.upstream.request(&clock, &command, execution.deadline);
            let outcome = self.unless_replaced(&group, term.filter(|_| wrote), committed).await;
            if let Some(committing) = committing {
                committing.end(&outcome);
            }
            let outcome = match outcome {
                Ok(outcome) => outcome,
                Err(failure) => {
                    if let Some(refusal) = failure.refusal() {
                        self.roll_back_in_background(checkout);
                        return Err(refusal);
                    }
                    self.record_failure(&instance, &failure);
                    if wrote {
                        checkout.connection.upstream.reset();
                    }
                    let code = if wrote { Code::Unknown } else { Code::Aborted };
                    return Err(Refusal::new(code, format!("{instance}: {failure}")));
                }
            };
            self.record_answer(&mut checkout, sent, &outcome);
            let Outcome { rows, result, state, position } = outcome;
            match result {
                Ok(signature) => {
                    let released = match wrote {
                        true => self.check_release(execution, &checkout, position).await,
                        false => Ok(()),
                    };
                    self.return_connection(checkout, state);
                    return released.map(|()| success(rows, signature));
                }
                Err((Code::Busy, _))
                    if state == State::Open && clock.now() + FULL_DELAY < execution.deadline =>
                {
                    clock.sleep(FULL_DELAY).await;
                }
                Err((code, text)) => {
                    let is_not_committed = code.is_not_run() || !wrote;
                    self.roll_back_in_background(checkout);
                    let code = if is_not_committed { Code::Aborted } else { Code::Unknown };
                    return Err(Refusal::new(code, text));
                }
            }
        }
    }

    /// Rolls back the transaction if it has a connection.
    pub(in crate::broker) fn roll_back(&mut self) {
        if let Some(checkout) = self.checkout.take() {
            self.roll_back_in_background(checkout);
        }
    }

    /// Returns whether the transaction has a connection.
    pub(in crate::broker) fn has_connection(&self) -> bool {
        self.checkout.is_some()
    }

    /// Rolls back in the background and then returns the connection to the pool.
    fn roll_back_in_background(&self, mut checkout: Checkout) {
        let shared = std::sync::Arc::clone(&self.shared);
        let roll_back = async move {
            let deadline = shared.clock.now() + ROLLBACK_TIMEOUT;
            let result = checkout
                .connection
                .upstream
                .request(&shared.clock, &Command::Rollback, deadline)
                .await;
            let is_rolled_back = match result {
                Ok(outcome) => outcome.state == State::Idle,
                Err(Error::Closed) => false,
                Err(error) => {
                    log::debug!(
                        "rollback on {} failed: {error}; closing its connection",
                        checkout.permit.instance
                    );
                    false
                }
            };
            if is_rolled_back {
                let Checkout { connection, permit, .. } = checkout;
                shared.return_connection(&permit.instance, connection);
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
