//! Statements outside of transactions.

use super::{
    Execution, Failure, NotSent, Refusal, Reply, Runner, required_mark, success, template,
};
use crate::broker::connection::Checkout;
use crate::broker::dispatch::FULL_DELAY;
use crate::broker::need::Need;
use crate::broker::session::Operation;
use crate::statement::{Access, Code, State};
use crate::upstream::connection::Outcome;

impl Runner {
    /// Runs a statement outside of a transaction.
    pub(in crate::broker) async fn run_single(
        &mut self,
        mut execution: Execution<'_>,
        operation: &Operation,
    ) -> Reply {
        let result = match operation.access {
            Access::Read => self.read(&mut execution, operation).await,
            Access::Write => self.write(&mut execution, operation).await,
        };
        self.conclude(&execution, result)
    }

    async fn read(
        &self,
        execution: &mut Execution<'_>,
        operation: &Operation,
    ) -> Result<Reply, Refusal> {
        loop {
            let need = self.need(execution).await;
            let mut checkout = self.acquire(execution, need).await?;
            let instance = checkout.permit.instance.clone();
            let outcome = match self.send(execution, &mut checkout, operation, need).await {
                Ok(outcome) => outcome,
                Err(failure) => {
                    if let Some(refusal) = failure.refusal() {
                        self.return_connection(checkout, State::Idle);
                        return Err(refusal);
                    }
                    self.record_failure(&instance, &failure);
                    self.limit_unreadable(execution, (need, &instance), &failure, Code::Failed)?;
                    if self.shared.clock.now() >= execution.deadline {
                        return Err(Refusal::new(Code::Timeout, format!("{instance}: {failure}")));
                    }
                    drop(checkout);
                    self.record_retry(execution, &instance, failure.to_string());
                    self.exclude_after(execution, instance, &failure)?;
                    continue;
                }
            };
            let Outcome { rows, result, state, .. } = outcome;
            match result {
                Ok(signature) => {
                    self.shared.metrics.record_read(checkout.target());
                    self.return_connection(checkout, state);
                    return Ok(success(rows, signature));
                }
                Err((code, text)) if code.is_not_run() || execution.excluded.is_empty() => {
                    self.handle_refusal(execution, checkout, state, (code, text)).await?;
                }
                Err((code, text)) => {
                    self.return_connection(checkout, state);
                    return Err(Refusal::new(code, text));
                }
            }
        }
    }

    async fn write(
        &mut self,
        execution: &mut Execution<'_>,
        operation: &Operation,
    ) -> Result<Reply, Refusal> {
        loop {
            let mut checkout = self.acquire(execution, Need::Primary).await?;
            let instance = checkout.permit.instance.clone();
            let (clock, values) = (&self.shared.clock, execution.values);
            let applied = checkout
                .connection
                .apply(clock, values, template(operation), true, execution.deadline)
                .await;
            if let Err(failure) = applied.map_err(Failure::Connection) {
                if let Some(refusal) = failure.refusal() {
                    self.return_connection(checkout, State::Idle);
                    return Err(refusal);
                }
                self.record_failure(&instance, &failure);
                let attempt = (Need::Primary, &instance);
                self.limit_unreadable(execution, attempt, &failure, Code::Busy)?;
                self.record_retry(execution, &instance, failure.to_string());
                execution.replace_after(&failure);
                continue;
            }
            match self.check_send(execution, &checkout).await {
                Ok(()) => {}
                // The next one may be known already.
                Err(NotSent::Replaced) => {
                    self.return_connection(checkout, State::Idle);
                    continue;
                }
                Err(reason) => {
                    self.return_connection(checkout, State::Idle);
                    return Err(Refusal::busy(reason.text(), FULL_DELAY));
                }
            }
            let committing = self.shared.begin_commit(&instance);
            let (group, term) = (checkout.permit.group.clone(), checkout.term);
            let sent = clock.now();
            let running = checkout.run(clock, (execution.id, operation), None, execution.deadline);
            let outcome = self.unless_replaced(&group, term, running).await;
            committing.end(&outcome);
            let outcome = match outcome {
                Ok(outcome) => outcome,
                Err(failure) => {
                    if let Some(refusal) = failure.refusal() {
                        self.return_connection(checkout, State::Idle);
                        return Err(refusal);
                    }
                    self.record_failure(&instance, &failure);
                    checkout.connection.upstream.reset();
                    return Err(Refusal::new(Code::Unknown, format!("{instance}: {failure}")));
                }
            };
            self.record_answer(&mut checkout, sent, &outcome);
            let Outcome { rows, result, state, position } = outcome;
            match result {
                Ok(signature) => {
                    let released = self.check_release(execution, &checkout, position).await;
                    self.return_connection(checkout, state);
                    return released.map(|()| success(rows, signature));
                }
                Err((code, text)) if code.is_not_run() => {
                    self.handle_refusal(execution, checkout, state, (code, text)).await?;
                }
                Err((code, text)) => {
                    self.return_connection(checkout, state);
                    return Err(Refusal::new(code, text));
                }
            }
        }
    }

    /// Sets up the connection, sends a read and receives the answer.
    pub(super) async fn send(
        &self,
        execution: &Execution<'_>,
        checkout: &mut Checkout,
        operation: &Operation,
        need: Need,
    ) -> Result<Outcome, Failure> {
        let (clock, values) = (&self.shared.clock, execution.values);
        let (group, term) = (checkout.permit.group.clone(), checkout.term);
        let applied = checkout
            .connection
            .apply(clock, values, template(operation), true, execution.deadline)
            .await;
        applied.map_err(Failure::Connection)?;
        let sent = clock.now();
        let running =
            checkout.run(clock, (execution.id, operation), required_mark(need), execution.deadline);
        let outcome = self.unless_replaced(&group, term, running).await?;
        self.record_answer(checkout, sent, &outcome);
        Ok(outcome)
    }
}
