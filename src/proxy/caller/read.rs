//! Reads: determines the position that a read requires, routes the read to an instance that has reached it, and
//! retries on another instance after a failure.

use std::time::Duration;

use super::{
    CONNECT_RETRY_DELAY, Caller, Effect, FAILOVER_WAIT, LastRead, Request, RequestError, busy,
    not_run,
};
use crate::clock::Instant;
use crate::id;
use crate::proxy::fence::Verdict;
use crate::proxy::floor::{Mark, Reach};
use crate::proxy::outcome::{Outcome, Reason};
use crate::proxy::pool::{self, PooledConnection};
use crate::proxy::relay;
use crate::proxy::route::{self, Choice, Need};
use crate::report::{Failure, Target};
use crate::wire::Epoch;

/// The time limit for a status query on a read's own connection.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// The result of a read on one instance.
enum Attempt {
    /// The caller was answered.
    Answered,
    /// The instance failed before any part of the answer was relayed.
    Failed,
    /// The instance has not reached the required position, contrary to its last known status.
    Behind,
}

impl Caller {
    /// Runs a read on an instance that has reached the required position.
    pub(super) async fn run_read(&mut self, request: &Request) -> Result<(), RequestError> {
        self.ensure_floor(request).await?;
        let started = self.shared.clock.now();
        let mut need = Need::default();
        let mut changed = None;
        loop {
            let epoch = self.epoch()?;
            let now = self.shared.clock.now();
            need.mark = self.required_mark(request, &epoch, now)?;
            need.pinned = self.last_read.as_ref().map(|read| read.instance.clone());
            need.waited = now.since(started);
            match self.shared.route(&self.group, &epoch, &need) {
                Choice::Lost => {
                    // Report the loss once. The session then continues from the fork in its history.
                    self.session.reset(&self.group, need.mark.clamp_to_history(&epoch));
                    return Err(Outcome::FloorLost.into());
                }
                choice @ (Choice::Wait | Choice::Unavailable) => {
                    // Listen before choosing once more, so that no change is missed in between.
                    let Some(changed) = changed.take() else {
                        changed = Some(self.shared.group_changed(&self.group));
                        continue;
                    };
                    let limit = if choice == Choice::Wait {
                        self.shared.request_group_status(&self.group);
                        route::REPLICA_WAIT
                    } else {
                        self.check_failover_wait(&epoch, started)?;
                        need.failed.clear();
                        FAILOVER_WAIT
                    };
                    let left = limit.saturating_sub(need.waited);
                    self.shared.clock.timeout(left, changed).await;
                }
                Choice::Instance(instance) => {
                    match self.try_read(request, &instance, &epoch, need.mark).await? {
                        Attempt::Answered => return Ok(()),
                        Attempt::Behind => need.failed.push(instance),
                        Attempt::Failed => {
                            if !self.shared.budget.try_withdraw() {
                                return Err(not_run(Reason::Failover));
                            }
                            need.failed.push(instance);
                        }
                    }
                }
            }
        }
    }

    /// Refuses a request if it has waited for a primary for [`FAILOVER_WAIT`], or at once if the proxy has no lease.
    pub(super) fn check_failover_wait(
        &self,
        epoch: &Epoch,
        since: Instant,
    ) -> Result<(), RequestError> {
        if self.shared.verdict(&self.group, epoch.term) == Verdict::NoLease {
            return Err(not_run(Reason::NoLease));
        }
        if self.shared.clock.now().since(since) >= FAILOVER_WAIT {
            return Err(not_run(Reason::Failover));
        }
        Ok(())
    }

    /// Returns the mark that an instance must have reached to serve the read.
    fn required_mark(
        &mut self,
        request: &Request,
        epoch: &Epoch,
        now: Instant,
    ) -> Result<Mark, RequestError> {
        if let Some(floor) = &request.summary.tags.floor {
            self.session.merge(floor);
        }
        let floor = self.session.get(&self.group).unwrap_or_default();
        let mark = floor.max(self.update_read_mark(epoch));
        let Some(age) = request.max_age else {
            return Ok(mark);
        };
        if let Some(required) = self.shared.mark_for_age(&self.group, now, age) {
            return Ok(mark.max(required));
        }
        // Without a known mark for that age only the primary may serve the read, and only under a valid lease.
        if self.shared.verdict(&self.group, epoch.term) != Verdict::Release {
            return Err(not_run(Reason::Behind));
        }
        Ok(mark.max(Mark { term: epoch.term, position: id::Position(u64::MAX) }))
    }

    /// Returns a mark that covers the data that the connection's reads returned, so that no read returns older data
    /// than an earlier one.
    fn update_read_mark(&mut self, epoch: &Epoch) -> Mark {
        let Some(last_read) = &self.last_read else {
            return self.read_mark;
        };
        match self.shared.status(&last_read.instance) {
            // A status that was requested after the read had ended covers what it returned.
            Some((requested_at, status))
                if requested_at >= last_read.ended_at && status.term <= epoch.term =>
            {
                let mark = Mark { term: status.term, position: status.position };
                self.read_mark = self.read_mark.max(mark);
                self.last_read = None;
            }
            _ => {}
        }
        // A promotion may drop writes that were never acknowledged, and keeps all others.
        self.read_mark = self.read_mark.clamp_to_history(epoch);
        self.read_mark
    }

    /// Sets the floor of the session from the primary if the caller sent none. A position that was requested after
    /// the caller connected covers all earlier writes of the session. A named session may have written over another
    /// connection since then, so its floor is queried for each read that carries none.
    async fn ensure_floor(&mut self, request: &Request) -> Result<(), RequestError> {
        let must_query = self.is_named && request.summary.tags.floor.is_none();
        let since = match (must_query, self.is_floor_known) {
            (true, _) => request.arrived_at,
            (false, false) => self.connected_at,
            (false, true) => return Ok(()),
        };
        let mark = self.primary_mark(since).await?;
        self.session.raise(&self.group, mark);
        self.is_floor_known = true;
        Ok(())
    }

    /// Returns a mark of the primary that was requested at `since` or later, under a valid lease. Requests that wait
    /// at the same time share one status query.
    async fn primary_mark(&self, since: Instant) -> Result<Mark, RequestError> {
        let started = self.shared.clock.now();
        loop {
            let changed = self.shared.group_changed(&self.group);
            let epoch = self.epoch()?;
            let released = self.shared.verdict(&self.group, epoch.term) == Verdict::Release;
            if !released {
                self.check_failover_wait(&epoch, started)?;
            }
            if let Some((requested_at, status)) = self.shared.status(&epoch.primary)
                && released
                && requested_at >= since
                && status.term == epoch.term
            {
                return Ok(self.shared.acknowledged(&self.group, status));
            }
            self.check_failover_wait(&epoch, started)?;
            self.shared.request_status(&epoch.primary);
            self.shared.clock.timeout(FAILOVER_WAIT, changed).await;
        }
    }

    /// Runs a read on `instance`.
    async fn try_read(
        &mut self,
        request: &Request,
        instance: &id::Instance,
        epoch: &Epoch,
        mark: Mark,
    ) -> Result<Attempt, RequestError> {
        let Some(pool) = self.shared.pool(instance) else {
            return Ok(Attempt::Failed);
        };
        let mut pooled = match pool.acquire(self.arrival(request)).await {
            Ok(pooled) => pooled,
            Err(pool::Error::Refused(wait)) => return Err(busy(wait)),
            Err(pool::Error::DeadlineExceeded) => return Err(not_run(Reason::Deadline)),
            Err(pool::Error::Connect(error)) => {
                log::debug!(
                    "failed to connect to {instance}, the read may be retried elsewhere: {error}"
                );
                self.shared.clock.sleep(CONNECT_RETRY_DELAY).await;
                return Ok(Attempt::Failed);
            }
        };
        let is_primary = *instance == epoch.primary;
        if !is_primary && !self.has_reached(&mut pooled, instance, epoch, mark).await? {
            return Ok(Attempt::Behind);
        }
        let mut exchange = self.build_exchange(&request.query, &mut pooled)?;
        let time_left = request.deadline.since(self.shared.clock.now());
        exchange.first_message_timeout = Some(time_left / 2);
        match self.run_exchange(&mut pooled, &mut exchange, Effect::None).await {
            Ok(completion) => {
                self.shared.metrics.record_read(if is_primary {
                    Target::Primary
                } else {
                    Target::Replica
                });
                self.shared.record_read(&request.class, !is_primary);
                let ended_at = self.shared.clock.now();
                self.last_read = Some(LastRead { instance: instance.clone(), ended_at });
                self.keep_or_release(pooled, &completion, epoch.term, false);
                Ok(Attempt::Answered)
            }
            Err(relay::Error::Upstream { error, relayed: false }) => {
                log::debug!("read on {instance} failed and may be retried elsewhere: {error}");
                self.shared.metrics.record_upstream_failure(Failure::Lost);
                self.shared.metrics.record_retry();
                self.writer.discard_unwritten();
                pool.recheck_idle();
                Ok(Attempt::Failed)
            }
            Err(relay::Error::Upstream { relayed: true, .. }) => {
                pool.recheck_idle();
                let reason = Reason::ConnectionLost;
                Err(Outcome::Unknown { reason, effect: Effect::None }.into())
            }
            Err(relay::Error::Caller(error)) => Err(RequestError::Caller(error)),
        }
    }

    /// Returns whether the incarnation of the instance that serves the connection has reached `mark`. A status that
    /// was requested before the connection was opened may come from an earlier incarnation, so then the status is
    /// queried over the connection itself.
    async fn has_reached(
        &self,
        pooled: &mut PooledConnection,
        instance: &id::Instance,
        epoch: &Epoch,
        mark: Mark,
    ) -> Result<bool, RequestError> {
        let reached = |reported: Mark| mark.reach(reported, epoch) == Reach::Reached;
        let connection = pooled.connection();
        if connection.last_reported.is_some_and(reached) {
            return Ok(true);
        }
        if let Some((requested_at, status)) = self.shared.status(instance)
            && requested_at >= connection.opened_at
        {
            let reported = Mark { term: status.term, position: status.position };
            return Ok(status.term == epoch.term && reached(reported));
        }
        match connection.status(&self.shared.clock, STATUS_TIMEOUT).await {
            Ok(status) => {
                let reported = Mark { term: status.term, position: status.position };
                Ok(status.term == epoch.term && reached(reported))
            }
            Err(error) => {
                pooled.report("status", &error);
                pooled.must_close = true;
                Ok(false)
            }
        }
    }
}
