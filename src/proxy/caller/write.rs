//! Writes and transactions: on the primary, with what acknowledges them released by the fence only.

use std::sync::Arc;
use std::time::Duration;

use postgres_protocol::message::frontend;

use super::{
    Caller, Effect, FAILOVER_WAIT, Open, PAUSE, Progress, Request, Stop, Transaction, busy, not_run,
};
use crate::clock::Instant;
use crate::config::Durability;
use crate::id;
use crate::proxy::classify::Kind;
use crate::proxy::fence::Verdict;
use crate::proxy::floor::Mark;
use crate::proxy::outcome::{Outcome, Reason};
use crate::proxy::pool::{self, PooledConnection};
use crate::proxy::relay::{self, Completion, Exchange};
use crate::proxy::server::Shared;
use crate::upstream::status::{STATUS_QUERY, Status};
use crate::wire::{Epoch, Phase};

/// The SQLSTATE of a write on an instance that is not, or no longer, the primary.
pub(super) const READ_ONLY: &str = "25006";

impl Caller {
    /// Runs a write, or the beginning of a transaction, on the primary.
    pub(super) async fn write(&mut self, request: &Request) -> Result<(), Stop> {
        let started = self.shared.clock.now();
        loop {
            let (mut loan, epoch) = self.primary(request).await?;
            let mut exchange = self.exchange(&request.asked, &mut loan)?;
            let begins = matches!(request.summary.kind, Kind::Begin { .. });
            exchange.hold_acknowledgement = !begins;
            let effect = if begins { Effect::RolledBack } else { Effect::Possible };
            let finish = self.fenced(loan, &mut exchange, epoch.term, effect).await?;
            let Some((loan, finish)) = finish else {
                return Ok(());
            };
            if finish.sqlstate == READ_ONLY
                && finish.status == b'I'
                && self.writer.discard_unwritten()
            {
                // The primary steps down, and proved that it ran nothing.
                loan.release();
                self.progress = Progress::Waiting;
                self.step_down(started).await?;
                continue;
            }
            self.keep(loan, &finish, epoch.term, true);
            return Ok(());
        }
    }

    /// Waits a moment for the successor of a primary that steps down.
    pub(super) async fn step_down(&self, started: Instant) -> Result<(), Stop> {
        let changed = self.shared.group_changed(&self.group);
        self.hopeful(&self.epoch()?, started)?;
        if !self.shared.budget.try_withdraw() {
            return Err(not_run(Reason::Failover));
        }
        self.shared.clock.timeout(PAUSE, changed).await;
        Ok(())
    }

    /// Borrows a connection to the primary under an epoch that may release answers. As long as nothing was
    /// sent, a primary that is being replaced is waited for.
    pub(super) async fn primary(
        &mut self,
        request: &Request,
    ) -> Result<(PooledConnection, Epoch), Stop> {
        let started = self.shared.clock.now();
        loop {
            let changed = self.shared.group_changed(&self.group);
            let epoch = self.epoch()?;
            if self.shared.verdict(&self.group, epoch.term) != Verdict::Release {
                self.hopeful(&epoch, started)?;
                self.shared.clock.timeout(FAILOVER_WAIT, changed).await;
                continue;
            }
            let Some(pool) = self.shared.pool(&epoch.primary) else {
                self.hopeful(&epoch, started)?;
                self.shared.clock.timeout(FAILOVER_WAIT, changed).await;
                continue;
            };
            match pool.acquire(self.arrival(request)).await {
                Ok(loan) => {
                    // The wait may have outlasted the epoch.
                    if self.shared.verdict(&self.group, epoch.term) == Verdict::Release {
                        return Ok((loan, epoch));
                    }
                }
                Err(pool::Error::Refused(wait)) => return Err(busy(wait)),
                Err(pool::Error::DeadlineExceeded) => return Err(not_run(Reason::Deadline)),
                Err(pool::Error::Connect(error)) => {
                    log::debug!("no connection to {}: {error}", epoch.primary);
                    self.hopeful(&epoch, started)?;
                    self.shared.clock.timeout(PAUSE, changed).await;
                }
            }
        }
    }

    /// Runs a statement inside the open transaction.
    pub(super) async fn inside(&mut self, request: &Request) -> Result<(), Stop> {
        if request.once && request.summary.kind == Kind::Write && request.summary.executes > 0 {
            return self.once_inside(request).await;
        }
        let Open::Held(transaction) = std::mem::replace(&mut self.open, Open::Lost) else {
            return Ok(());
        };
        if let Kind::Local(local) = request.summary.kind {
            self.local(request, local);
            self.open = Open::Held(transaction);
            return Ok(());
        }
        self.run_inside(request, *transaction).await.map(|_| ())
    }

    /// Runs a statement on the transaction's connection. When that breaks off, the transaction stays lost until
    /// the caller ends it, so that what follows doesn't run outside of it. Returns the command tag.
    pub(super) async fn run_inside(
        &mut self,
        request: &Request,
        transaction: Transaction,
    ) -> Result<String, Stop> {
        let Transaction { mut loan, term, writes } = transaction;
        let mut exchange = self.exchange(&request.asked, &mut loan)?;
        let ends = matches!(request.summary.kind, Kind::Commit | Kind::Rollback);
        let commits = writes && request.summary.kind == Kind::Commit;
        exchange.hold_acknowledgement = commits;
        let effect = if commits { Effect::Possible } else { Effect::RolledBack };
        if ends {
            self.open = Open::None;
        }
        let finish = self.fenced(loan, &mut exchange, term, effect).await?;
        let Some((loan, finish)) = finish else {
            return Ok(String::new());
        };
        self.keep(loan, &finish, term, writes);
        Ok(finish.command_tag)
    }

    /// Runs an exchange. When it acknowledges a write, the connection goes back at once, and the answer is
    /// released only by the fence; else the connection is returned.
    pub(super) async fn fenced(
        &mut self,
        mut loan: PooledConnection,
        exchange: &mut Exchange,
        term: id::Term,
        effect: Effect,
    ) -> Result<Option<(PooledConnection, Completion)>, Stop> {
        let hold = exchange.hold_acknowledgement;
        if hold {
            frontend::query(STATUS_QUERY, &mut exchange.bytes).map_err(Stop::Caller)?;
        }
        let at = self.shared.clock.now();
        let (shared, group) = (Arc::clone(&self.shared), self.group.clone());
        let ran = self.exchange_on(&mut loan, exchange, effect);
        let Some(ran) = unless_replaced(&shared, &group, term, hold, ran).await else {
            self.entry.finish();
            loan.recheck_idle();
            return Err(unknown(Reason::Failover));
        };
        let mut finish = match ran {
            Ok(finish) => finish,
            Err(relay::Error::Upstream { .. }) => {
                loan.recheck_idle();
                return Err(lost(effect));
            }
            Err(relay::Error::Caller(error)) => return Err(Stop::Caller(error)),
        };
        if !hold {
            return Ok(Some((loan, finish)));
        }
        loan.running = true;
        let status = status(&mut loan, effect);
        let Some(status) = unless_replaced(&shared, &group, term, hold, status).await else {
            loan.recheck_idle();
            return Err(unknown(Reason::Failover));
        };
        let status = status?;
        loan.running = false;
        if finish.failed {
            self.writer.out.extend_from_slice(&finish.held);
            finish.held.clear();
            return Ok(Some((loan, finish)));
        }
        if finish.status == b'I' {
            self.failed = false;
            self.open = Open::None;
            loan.release();
            self.release(status, at, term).await?;
            self.writer.out.extend_from_slice(&finish.held);
            return Ok(None);
        }
        self.writer.out.extend_from_slice(&finish.held);
        Ok(Some((loan, finish)))
    }

    /// Waits until a write that was committed after `at` is as durable as declared, and judges whether it may be
    /// acknowledged.
    pub(super) async fn release(
        &mut self,
        written: Status,
        at: Instant,
        term: id::Term,
    ) -> Result<(), Stop> {
        let replaced = || unknown(Reason::Failover);
        if written.term != term {
            return Err(replaced());
        }
        let fleet = self.shared.fleet();
        let durability = fleet.group.get(&self.group).map(|group| group.durability);
        let mut durable = written.durable;
        while durability != Some(Durability::Primary) && durable < written.position {
            let changed = self.shared.group_changed(&self.group);
            if self.shared.verdict(&self.group, term) != Verdict::Release {
                return Err(replaced());
            }
            let Some(epoch) = self.shared.epoch(&self.group) else {
                return Err(replaced());
            };
            if let Some((opened_at, status)) =
                self.shared.status_and_connection_time(&epoch.primary)
                && status.term == term
            {
                // A later life of the primary may hold another history at the same positions.
                if opened_at > at {
                    return Err(unknown(Reason::ConnectionLost));
                }
                durable = durable.max(status.durable);
                if durable >= written.position {
                    break;
                }
            }
            self.shared.request_status(&epoch.primary);
            self.shared.clock.timeout(FAILOVER_WAIT, changed).await;
        }
        match self.shared.verdict(&self.group, term) {
            Verdict::Release => {
                let mark = Mark { term, position: written.position };
                self.session.raise(&self.group, mark);
                Ok(())
            }
            Verdict::NoLease => Err(unknown(Reason::NoLease)),
            Verdict::Replaced => Err(replaced()),
        }
    }
}

/// How long after the freeze an answer is still waited for: it may prove that the write did not run.
const GRACE: Duration = Duration::from_millis(50);

/// Waits for what a primary answers. An answer that is `held` for the fence can't be released any more once the
/// term is frozen or replaced, so it is not waited for then.
async fn unless_replaced<T>(
    shared: &Shared,
    group: &id::Group,
    term: id::Term,
    held: bool,
    answer: impl Future<Output = T>,
) -> Option<T> {
    let replaced = async {
        loop {
            let changed = shared.group_changed(group);
            let epoch = shared.epoch(group);
            let stands = |epoch: &Epoch| epoch.term == term && epoch.phase == Phase::Active;
            if held && !epoch.as_ref().is_some_and(stands) {
                shared.clock.sleep(GRACE).await;
                return None;
            }
            changed.await;
        }
    };
    smol::future::or(async { Some(answer.await) }, replaced).await
}

pub(super) fn unknown(reason: Reason) -> Stop {
    Outcome::Unknown { reason, effect: Effect::Possible }.into()
}

fn lost(effect: Effect) -> Stop {
    Outcome::Unknown { reason: Reason::ConnectionLost, effect }.into()
}

/// Reads the answer to a status query that was sent before.
async fn status(loan: &mut PooledConnection, effect: Effect) -> Result<Status, Stop> {
    let rows = loan.connection().client.receive_rows().await.map_err(|_| lost(effect))?;
    let row = rows.into_iter().next().ok_or_else(|| lost(effect))?;
    Status::try_from(row).map_err(|_| lost(effect))
}
