//! Reads: the position that one needs, the instance that has reached it, and the next one when that breaks off.

use std::time::Duration;

use super::{Caller, Effect, FAILOVER_WAIT, PAUSE, Request, Seen, Stop, busy, not_run};
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

/// How long an instance may take to say where it stands.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// What came of a read on one instance.
enum Tried {
    /// The caller was answered.
    Answered,
    /// Nothing was relayed, and the instance failed.
    Failed,
    /// The instance has not reached the floor after all.
    Behind,
}

impl Caller {
    /// Runs a read on an instance that has reached what it needs.
    pub(super) async fn read(&mut self, request: &Request) -> Result<(), Stop> {
        self.place(request).await?;
        let started = self.shared.clock.now();
        let mut need = Need::default();
        let mut changed = None;
        loop {
            let epoch = self.epoch()?;
            let now = self.shared.clock.now();
            need.mark = self.mark(request, &epoch, now)?;
            need.pinned = self.seen.as_ref().map(|seen| seen.instance.clone());
            need.waited = now.since(started);
            match self.shared.route(&self.group, &epoch, &need) {
                Choice::Lost => {
                    // The caller is told once; from now on the session goes on from where its history forked.
                    self.session.reset(&self.group, need.mark.clamp_to_history(&epoch));
                    return Err(Outcome::FloorLost.into());
                }
                choice @ (Choice::Wait | Choice::Unavailable) => {
                    // Whatever changes after this is heard of, so the choice is made once more first.
                    let Some(changed) = changed.take() else {
                        changed = Some(self.shared.group_changed(&self.group));
                        continue;
                    };
                    let limit = if choice == Choice::Wait {
                        self.shared.request_group_status(&self.group);
                        route::REPLICA_WAIT
                    } else {
                        self.hopeful(&epoch, started)?;
                        need.failed.clear();
                        FAILOVER_WAIT
                    };
                    let left = limit.saturating_sub(need.waited);
                    self.shared.clock.timeout(left, changed).await;
                }
                Choice::Instance(instance) => {
                    match self.try_read(request, &instance, &epoch, need.mark).await? {
                        Tried::Answered => return Ok(()),
                        Tried::Behind => need.failed.push(instance),
                        Tried::Failed => {
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

    /// Refuses a request at once for which there is no hope of a primary soon.
    pub(super) fn hopeful(&self, epoch: &Epoch, since: Instant) -> Result<(), Stop> {
        if self.shared.verdict(&self.group, epoch.term) == Verdict::NoLease {
            return Err(not_run(Reason::NoLease));
        }
        if self.shared.clock.now().since(since) >= FAILOVER_WAIT {
            return Err(not_run(Reason::Failover));
        }
        Ok(())
    }

    /// Returns what an instance must have reached to serve the read.
    fn mark(&mut self, request: &Request, epoch: &Epoch, now: Instant) -> Result<Mark, Stop> {
        if let Some(floor) = &request.summary.tags.floor {
            self.session.merge(floor);
        }
        let floor = self.session.get(&self.group).unwrap_or_default();
        let mark = floor.max(self.seen(epoch));
        let Some(age) = request.max_age else {
            return Ok(mark);
        };
        if let Some(proof) = self.shared.mark_for_age(&self.group, now, age) {
            return Ok(mark.max(proof));
        }
        // Without a proof only the primary will do, and only under a lease.
        if self.shared.verdict(&self.group, epoch.term) != Verdict::Release {
            return Err(not_run(Reason::Behind));
        }
        Ok(mark.max(Mark { term: epoch.term, position: id::Position(u64::MAX) }))
    }

    /// Returns a mark that covers what the connection's reads have seen, so that none sees less than an
    /// earlier one.
    fn seen(&mut self, epoch: &Epoch) -> Mark {
        let Some(seen) = &self.seen else {
            return self.read;
        };
        match self.shared.status(&seen.instance) {
            // What was asked for after the read had ended covers it.
            Some((at, status)) if at >= seen.at && status.term <= epoch.term => {
                let mark = Mark { term: status.term, position: status.position };
                self.read = self.read.max(mark);
                self.seen = None;
            }
            _ => {}
        }
        // What was never acknowledged may be gone after a promotion; the rest is still there.
        self.read = self.read.clamp_to_history(epoch);
        self.read
    }

    /// Learns the session's floor from the primary when the caller brought none: a position that was asked for
    /// after the session arrived covers all that it wrote before. A named session may have written by another
    /// connection meanwhile, so that it asks for each read that brings no floor.
    async fn place(&mut self, request: &Request) -> Result<(), Stop> {
        let asks = self.named && request.summary.tags.floor.is_none();
        let since = match (asks, self.placed) {
            (true, _) => request.arrived,
            (false, false) => self.arrived,
            (false, true) => return Ok(()),
        };
        let mark = self.index(since).await?;
        self.session.raise(&self.group, mark);
        self.placed = true;
        Ok(())
    }

    /// Returns a position of the primary that was asked for at `since` or later, under a valid lease. One
    /// question serves all that wait for its answer.
    async fn index(&self, since: Instant) -> Result<Mark, Stop> {
        let started = self.shared.clock.now();
        loop {
            let changed = self.shared.group_changed(&self.group);
            let epoch = self.epoch()?;
            let released = self.shared.verdict(&self.group, epoch.term) == Verdict::Release;
            if !released {
                self.hopeful(&epoch, started)?;
            }
            if let Some((at, status)) = self.shared.status(&epoch.primary)
                && released
                && at >= since
                && status.term == epoch.term
            {
                return Ok(self.shared.acknowledged(&self.group, status));
            }
            self.hopeful(&epoch, started)?;
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
    ) -> Result<Tried, Stop> {
        let Some(pool) = self.shared.pool(instance) else {
            return Ok(Tried::Failed);
        };
        let mut loan = match pool.acquire(self.arrival(request)).await {
            Ok(loan) => loan,
            Err(pool::Error::Refused(wait)) => return Err(busy(wait)),
            Err(pool::Error::DeadlineExceeded) => return Err(not_run(Reason::Deadline)),
            Err(pool::Error::Connect(error)) => {
                log::debug!("no connection to {instance}: {error}");
                self.shared.clock.sleep(PAUSE).await;
                return Ok(Tried::Failed);
            }
        };
        let primary = *instance == epoch.primary;
        if !primary && !self.proved(&mut loan, instance, epoch, mark).await? {
            return Ok(Tried::Behind);
        }
        let mut exchange = self.exchange(&request.asked, &mut loan)?;
        let left = request.deadline.since(self.shared.clock.now());
        exchange.first_message_timeout = Some(left / 2);
        match self.exchange_on(&mut loan, &mut exchange, Effect::None).await {
            Ok(finish) => {
                self.shared.metrics.read(if primary { Target::Primary } else { Target::Replica });
                self.shared.record_read(&request.class, !primary);
                let at = self.shared.clock.now();
                self.seen = Some(Seen { instance: instance.clone(), at });
                self.keep(loan, &finish, epoch.term, false);
                Ok(Tried::Answered)
            }
            Err(relay::Error::Upstream { error, relayed: false }) => {
                log::debug!("a read on {instance} is tried elsewhere: {error}");
                self.shared.metrics.upstream_failed(Failure::Lost);
                self.shared.metrics.retried();
                self.writer.discard_unwritten();
                pool.recheck_idle();
                Ok(Tried::Failed)
            }
            Err(relay::Error::Upstream { relayed: true, .. }) => {
                pool.recheck_idle();
                let reason = Reason::ConnectionLost;
                Err(Outcome::Unknown { reason, effect: Effect::None }.into())
            }
            Err(relay::Error::Caller(error)) => Err(Stop::Caller(error)),
        }
    }

    /// Tells whether the connection's own life of the instance has reached `mark`. A position that was asked for
    /// before the connection was opened may be that of an earlier life, so that then the connection asks itself.
    async fn proved(
        &self,
        loan: &mut PooledConnection,
        instance: &id::Instance,
        epoch: &Epoch,
        mark: Mark,
    ) -> Result<bool, Stop> {
        let reached = |at: Mark| mark.reach(at, epoch) == Reach::Reached;
        let connection = loan.connection();
        if connection.last_reported.is_some_and(reached) {
            return Ok(true);
        }
        if let Some((at, status)) = self.shared.status(instance)
            && at >= connection.opened_at
        {
            let at = Mark { term: status.term, position: status.position };
            return Ok(status.term == epoch.term && reached(at));
        }
        match connection.status(&self.shared.clock, STATUS_TIMEOUT).await {
            Ok(status) => {
                let at = Mark { term: status.term, position: status.position };
                Ok(status.term == epoch.term && reached(at))
            }
            Err(_) => {
                loan.must_close = true;
                Ok(false)
            }
        }
    }
}
