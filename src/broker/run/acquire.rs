//! Selection of an instance and a connection for a statement.

use std::time::Duration;

use super::{Execution, Failure, Refusal, Runner};
use crate::broker::connection::Checkout;
use crate::broker::dispatch::{FULL_DELAY, Request};
use crate::broker::need::Need;
use crate::broker::server::Shared;
use crate::id;
use crate::report::Evidence;
use crate::schedule::Reason;
use crate::statement::Code;
use crate::upstream::connection::Error;

/// The number of instances on which a statement may fail.
const MAX_INSTANCES: usize = 3;

/// How often a statement is tried again on another connection to the same instance because one was out of step.
const MAX_REPLACED: u32 = 3;

/// How often the answer to a statement may be unreadable.
const MAX_UNREADABLE: u32 = 2;

/// How long a statement waits for capacity, in percent of its target latency. The rest is left for running it.
const MAX_WAIT_PERCENT: u32 = 60;

/// The text for a caller that closed its connection while its statement waited. It reaches only the log.
const CALLER_LEFT: &str = "the caller has left";

/// How long a statement waits for a primary that is being promoted, in percent of its timeout.
const MAX_PROMOTION_WAIT_PERCENT: u32 = 70;

impl Runner {
    /// Returns what a read requires, after waiting for a position sample if necessary.
    pub(super) async fn need(&self, execution: &mut Execution<'_>) -> Need {
        let started = self.shared.clock.now();
        let left = execution.max_wait().saturating_sub(execution.waited);
        let need = self.shared.need(execution.database, self.last_write, left).await;
        execution.waited += self.shared.clock.now().since(started);
        need
    }

    /// Waits for a connection to an instance that can run the statement.
    pub(super) async fn acquire(
        &self,
        execution: &mut Execution<'_>,
        need: Need,
    ) -> Result<Checkout, Refusal> {
        loop {
            let now = self.shared.clock.now();
            let (left, waited) = (execution.deadline.since(now), execution.waited);
            if left.is_zero() {
                return Err(Refusal::busy("no instance took it in time", FULL_DELAY));
            }
            let account = execution.identity.map(|identity| &identity.account);
            let group = &execution.database.group;
            let warm = account.map(|account| self.shared.warm_instances(group, account));
            let request = Request {
                ticket: self.shared.ticket(),
                need,
                priority: execution.priority,
                max_wait: execution.max_wait().saturating_sub(waited).min(left),
                max_promotion_wait: execution.max_promotion_wait().saturating_sub(waited).min(left),
                excluded: execution.excluded.clone(),
                account: account.cloned(),
                target: execution.database.target.0,
                warm: warm.unwrap_or_default(),
            };
            execution.need = Some(need);
            if execution.tries > 0 && execution.presence.has_left().await {
                return Err(Refusal::new(Code::Aborted, CALLER_LEFT));
            }
            let acquiring = self.shared.acquire_permit(&execution.database.group, request);
            let permit = execution.presence.unless_left(acquiring).await;
            execution.waited += self.shared.clock.now().since(now);
            let permit = permit.ok_or_else(|| Refusal::new(Code::Aborted, CALLER_LEFT))?;
            let permit = permit.map_err(|(wait, reason)| {
                let class = &execution.database.class;
                reason.into_iter().for_each(|reason| {
                    self.shared.metrics.record_scheduling_refusal(class, reason);
                });
                let busy = self.shared.busy_reason(&execution.database.group, need);
                let reason = match reason {
                    Some(Reason::NoPrimary) | None => busy,
                    Some(reason) => reason.text(),
                };
                Refusal::busy(reason, self.shared.retry_after(wait))
            })?;
            let instance = permit.instance.clone();
            execution.tries += 1;
            execution.instance = Some(instance.clone());
            let term = self.shared.primary_term(&permit.group, &instance);
            if need == Need::Primary && term.is_none() {
                return Err(Refusal::busy("the primary is being replaced", FULL_DELAY));
            }
            // On a new connection no answer can be confused with an earlier one.
            let must_be_new = execution.replaced > 0;
            let idle =
                self.shared.idle_connection(&instance, account, execution.values, must_be_new);
            let is_new = idle.is_err();
            let connection = match idle {
                Ok(connection) => Ok(connection),
                Err((seat, reason)) => {
                    let deadline = execution.deadline;
                    let opened =
                        self.shared.open_connection(&instance, account, seat, deadline).await;
                    if opened.is_ok() {
                        self.shared.metrics.record_opened_connection(reason);
                    }
                    opened
                }
            };
            match connection {
                Ok(connection) if is_new && execution.presence.has_left().await => {
                    self.shared.return_connection(&instance, connection);
                    return Err(Refusal::new(Code::Aborted, CALLER_LEFT));
                }
                Ok(connection) => return Ok(Checkout { connection, permit, term, wrote: false }),
                Err(error) => {
                    log::debug!(
                        "request {}: no connection to {instance}, may be retried: {error}",
                        execution.id
                    );
                    if error.is_at_connection_limit() {
                        self.shared.record_refused_connection(&permit);
                        continue;
                    }
                    drop(permit);
                    self.exclude(execution, instance)?;
                }
            }
        }
    }

    /// Limits the attempts of a statement whose answers can't be read or delivered. The statement is tried again on a new
    /// connection, and on another instance where one may run it. Otherwise fails with `code`. A statement whose session
    /// variables or prepared text the instance refuses was not sent, and would be refused again.
    pub(super) fn limit_unreadable(
        &self,
        execution: &mut Execution<'_>,
        (need, instance): (Need, &id::Instance),
        failure: &Failure,
        code: Code,
    ) -> Result<(), Refusal> {
        let Failure::Connection(error) = failure else { return Ok(()) };
        match error {
            Error::TooManyRows => {
                return Err(Refusal::new(Code::Failed, format!("{instance}: {error}")));
            }
            Error::Refused { code, text } if !code.is_not_run() => {
                return Err(Refusal::new(code.clone(), text.clone()));
            }
            Error::Malformed(_) => execution.unreadable += 1,
            // So is an unreadable one that follows others on its connection, such as those that set it up.
            Error::OutOfStep(Evidence::Cut)
                if need == Need::Primary && execution.replaced >= MAX_REPLACED =>
            {
                execution.unreadable = MAX_UNREADABLE;
            }
            _ => return Ok(()),
        }
        if execution.unreadable >= MAX_UNREADABLE {
            let text = format!("{instance}: an answer could not be read: {error}");
            return Err(Refusal {
                after: Some(FULL_DELAY).filter(|_| code == Code::Busy),
                ..Refusal::new(code, text)
            });
        }
        execution.replaced += 1;
        if need != Need::Primary
            && self.shared.has_other_instance(&execution.database.group, instance)
        {
            execution.excluded.push(instance.clone());
        }
        Ok(())
    }

    /// Excludes an instance from further attempts, unless only the connection to it was unfit.
    pub(super) fn exclude_after(
        &self,
        execution: &mut Execution<'_>,
        instance: id::Instance,
        failure: &Failure,
    ) -> Result<(), Refusal> {
        let Failure::Connection(error) = failure else {
            return self.exclude(execution, instance);
        };
        if error.is_unreadable() {
            return Ok(());
        }
        if error.is_out_of_step() && execution.replaced < MAX_REPLACED {
            execution.replaced += 1;
            return Ok(());
        }
        self.exclude(execution, instance)
    }

    /// Excludes an instance from further attempts. Fails when the statement has failed on [`MAX_INSTANCES`] instances.
    pub(super) fn exclude(
        &self,
        execution: &mut Execution<'_>,
        instance: id::Instance,
    ) -> Result<(), Refusal> {
        execution.excluded.push(instance);
        if execution.excluded.len() >= MAX_INSTANCES {
            return Err(Refusal::busy("the instances that could run it failed", FULL_DELAY));
        }
        Ok(())
    }
}

impl Execution<'_> {
    /// Makes the next attempt use a new connection if the last one ended in a part of an answer.
    pub(super) fn replace_after(&mut self, failure: &Failure) {
        if let Failure::Connection(Error::OutOfStep(Evidence::Cut)) = failure {
            self.replaced += 1;
        }
    }

    /// Waits, as for capacity, until the group is served. Returns whether this proxy should run the statement by itself:
    /// whether it serves the group and, in a deployment with accounts, is a home of the account.
    pub(in crate::broker) async fn wait_until_served(&mut self, shared: &Shared) -> bool {
        let started = shared.clock.now();
        let left = self.max_wait().saturating_sub(self.waited);
        let is_served_here = shared.wait_until_served(&self.database.group, left).await;
        self.waited += shared.clock.now().since(started);
        let account = self.identity.map(|identity| &identity.account);
        is_served_here
            && account.is_none_or(|account| shared.is_home(&self.database.group, account))
    }

    /// Returns how long the statement may wait for capacity: a part of its target latency, so that a statement that
    /// starts also ends in time.
    pub(in crate::broker) fn max_wait(&self) -> Duration {
        self.database.target.0 * MAX_WAIT_PERCENT / 100
    }

    /// Returns how long the statement may wait for a primary that is being promoted. This is longer than the wait for
    /// capacity, since no other instance can run it.
    fn max_promotion_wait(&self) -> Duration {
        self.database.timeout.0 * MAX_PROMOTION_WAIT_PERCENT / 100
    }
}
