//! Writes and transactions: on the primary, with what acknowledges them released by the fence only.

use std::sync::Arc;
use std::time::Duration;

use postgres_protocol::message::frontend;

use super::{
    CONNECT_RETRY_DELAY, Caller, Effect, FAILOVER_WAIT, OpenTransaction, Progress, Request,
    RequestError, Transaction, busy, not_run,
};
use crate::clock::Instant;
use crate::config::Durability;
use crate::id;
use crate::proxy::classify::Kind;
use crate::proxy::fence::Verdict;
use crate::proxy::floor::Mark;
use crate::proxy::outcome::{Outcome, Reason};
use crate::proxy::pool::{self, PooledConnection};
use crate::proxy::relay::{Broken, Exchange, Finish};
use crate::proxy::server::Shared;
use crate::upstream::status::{STATUS_QUERY, Status};
use crate::wire::{Epoch, Phase};

/// The SQLSTATE of a write on an instance that is not, or no longer, the primary.
pub(super) const READ_ONLY: &str = "25006";

impl Caller {
    /// Runs a write, or the beginning of a transaction, on the primary.
    pub(super) async fn run_write(&mut self, request: &Request) -> Result<(), RequestError> {
        let started = self.shared.clock.now();
        loop {
            let (mut pooled, epoch) = self.acquire_primary(request).await?;
            let mut exchange = self.build_exchange(&request.query, &mut pooled)?;
            let begins_transaction = matches!(request.summary.kind, Kind::Begin { .. });
            exchange.hold = !begins_transaction;
            let effect = if begins_transaction { Effect::RolledBack } else { Effect::Possible };
            let finish = self.run_fenced(pooled, &mut exchange, epoch.term, effect).await?;
            let Some((pooled, finish)) = finish else {
                return Ok(());
            };
            if finish.code == READ_ONLY && finish.status == b'I' && self.writer.rewind() {
                // The primary steps down, and proved that it ran nothing.
                pooled.release();
                self.progress = Progress::NotSent;
                self.wait_for_successor(started).await?;
                continue;
            }
            self.keep_or_release(pooled, &finish, epoch.term, true);
            return Ok(());
        }
    }

    /// Waits a moment for the successor of a primary that steps down.
    pub(super) async fn wait_for_successor(&self, started: Instant) -> Result<(), RequestError> {
        let changed = self.shared.group_changed(&self.group);
        self.check_failover_wait(&self.epoch()?, started)?;
        if !self.shared.budget.try_withdraw() {
            return Err(not_run(Reason::Failover));
        }
        self.shared.clock.timeout(CONNECT_RETRY_DELAY, changed).await;
        Ok(())
    }

    /// Borrows a connection to the primary under an epoch that may release answers. As long as nothing was
    /// sent, a primary that is being replaced is waited for.
    pub(super) async fn acquire_primary(
        &mut self,
        request: &Request,
    ) -> Result<(PooledConnection, Epoch), RequestError> {
        let started = self.shared.clock.now();
        loop {
            let changed = self.shared.group_changed(&self.group);
            let epoch = self.epoch()?;
            if self.shared.verdict(&self.group, epoch.term) != Verdict::Release {
                self.check_failover_wait(&epoch, started)?;
                self.shared.clock.timeout(FAILOVER_WAIT, changed).await;
                continue;
            }
            let Some(pool) = self.shared.pool(&epoch.primary) else {
                self.check_failover_wait(&epoch, started)?;
                self.shared.clock.timeout(FAILOVER_WAIT, changed).await;
                continue;
            };
            match pool.acquire(self.arrival(request)).await {
                Ok(pooled) => {
                    // The wait may have outlasted the epoch.
                    if self.shared.verdict(&self.group, epoch.term) == Verdict::Release {
                        return Ok((pooled, epoch));
                    }
                }
                Err(pool::Error::Refused(wait)) => return Err(busy(wait)),
                Err(pool::Error::DeadlineExceeded) => return Err(not_run(Reason::Deadline)),
                Err(pool::Error::Connect(error)) => {
                    log::debug!("no connection to {}: {error}", epoch.primary);
                    self.check_failover_wait(&epoch, started)?;
                    self.shared.clock.timeout(CONNECT_RETRY_DELAY, changed).await;
                }
            }
        }
    }

    /// Runs a statement inside the open transaction.
    pub(super) async fn dispatch_in_transaction(
        &mut self,
        request: &Request,
    ) -> Result<(), RequestError> {
        if request.once && request.summary.kind == Kind::Write && request.summary.executes > 0 {
            return self.run_once_in_transaction(request).await;
        }
        let Transaction::Open(transaction) =
            std::mem::replace(&mut self.transaction, Transaction::Lost)
        else {
            return Ok(());
        };
        if let Kind::Local(local) = request.summary.kind {
            self.answer_local(request, local);
            self.transaction = Transaction::Open(transaction);
            return Ok(());
        }
        self.run_in_transaction(request, *transaction).await.map(|_| ())
    }

    /// Runs a statement on the transaction's connection. When that breaks off, the transaction stays lost until
    /// the caller ends it, so that what follows doesn't run outside of it. Returns the command tag.
    pub(super) async fn run_in_transaction(
        &mut self,
        request: &Request,
        transaction: OpenTransaction,
    ) -> Result<String, RequestError> {
        let OpenTransaction { mut pooled, term, may_write } = transaction;
        let mut exchange = self.build_exchange(&request.query, &mut pooled)?;
        let ends_transaction = matches!(request.summary.kind, Kind::Commit | Kind::Rollback);
        let commits = may_write && request.summary.kind == Kind::Commit;
        exchange.hold = commits;
        let effect = if commits { Effect::Possible } else { Effect::RolledBack };
        if ends_transaction {
            self.transaction = Transaction::None;
        }
        let finish = self.run_fenced(pooled, &mut exchange, term, effect).await?;
        let Some((pooled, finish)) = finish else {
            return Ok(String::new());
        };
        self.keep_or_release(pooled, &finish, term, may_write);
        Ok(finish.tag)
    }

    /// Runs an exchange. When it acknowledges a write, the connection goes back at once, and the answer is
    /// released only by the fence; else the connection is returned.
    pub(super) async fn run_fenced(
        &mut self,
        mut pooled: PooledConnection,
        exchange: &mut Exchange,
        term: id::Term,
        effect: Effect,
    ) -> Result<Option<(PooledConnection, Finish)>, RequestError> {
        let hold = exchange.hold;
        if hold {
            frontend::query(STATUS_QUERY, &mut exchange.bytes).map_err(RequestError::Caller)?;
        }
        let sent_at = self.shared.clock.now();
        let (shared, group) = (Arc::clone(&self.shared), self.group.clone());
        let run = self.run_exchange(&mut pooled, exchange, effect);
        let Some(result) = unless_replaced(&shared, &group, term, hold, run).await else {
            self.cancel_entry.finish();
            pooled.recheck_idle();
            return Err(unknown_outcome(Reason::Failover));
        };
        let mut finish = match result {
            Ok(finish) => finish,
            Err(Broken::Upstream { .. }) => {
                pooled.recheck_idle();
                return Err(connection_lost(effect));
            }
            Err(Broken::Caller(error)) => return Err(RequestError::Caller(error)),
        };
        if !hold {
            return Ok(Some((pooled, finish)));
        }
        pooled.running = true;
        let status = receive_status(&mut pooled, effect);
        let Some(status) = unless_replaced(&shared, &group, term, hold, status).await else {
            pooled.recheck_idle();
            return Err(unknown_outcome(Reason::Failover));
        };
        let status = status?;
        pooled.running = false;
        if finish.failed {
            self.writer.out.extend_from_slice(&finish.held);
            finish.held.clear();
            return Ok(Some((pooled, finish)));
        }
        if finish.status == b'I' {
            self.transaction_failed = false;
            self.transaction = Transaction::None;
            pooled.release();
            self.wait_for_durability(status, sent_at, term).await?;
            self.writer.out.extend_from_slice(&finish.held);
            return Ok(None);
        }
        self.writer.out.extend_from_slice(&finish.held);
        Ok(Some((pooled, finish)))
    }

    /// Waits until a write that was committed after `at` is as durable as declared, and judges whether it may be
    /// acknowledged.
    pub(super) async fn wait_for_durability(
        &mut self,
        written: Status,
        sent_at: Instant,
        term: id::Term,
    ) -> Result<(), RequestError> {
        let replaced = || unknown_outcome(Reason::Failover);
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
            if let Some((opened_at, status)) = self.shared.life(&epoch.primary)
                && status.term == term
            {
                // A later life of the primary may hold another history at the same positions.
                if opened_at > sent_at {
                    return Err(unknown_outcome(Reason::ConnectionLost));
                }
                durable = durable.max(status.durable);
                if durable >= written.position {
                    break;
                }
            }
            self.shared.ask_one(&epoch.primary);
            self.shared.clock.timeout(FAILOVER_WAIT, changed).await;
        }
        match self.shared.verdict(&self.group, term) {
            Verdict::Release => {
                let mark = Mark { term, position: written.position };
                self.session.raise(&self.group, mark);
                Ok(())
            }
            Verdict::NoLease => Err(unknown_outcome(Reason::NoLease)),
            Verdict::Replaced => Err(replaced()),
        }
    }
}

/// How long after the freeze an answer is still waited for: it may prove that the write did not run.
const FREEZE_GRACE: Duration = Duration::from_millis(50);

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
            let in_force = |epoch: &Epoch| epoch.term == term && epoch.phase == Phase::Active;
            if held && !epoch.as_ref().is_some_and(in_force) {
                shared.clock.sleep(FREEZE_GRACE).await;
                return None;
            }
            changed.await;
        }
    };
    smol::future::or(async { Some(answer.await) }, replaced).await
}

pub(super) fn unknown_outcome(reason: Reason) -> RequestError {
    Outcome::Unknown { reason, effect: Effect::Possible }.into()
}

fn connection_lost(effect: Effect) -> RequestError {
    Outcome::Unknown { reason: Reason::ConnectionLost, effect }.into()
}

/// Reads the answer to a status query that was sent before.
async fn receive_status(
    pooled: &mut PooledConnection,
    effect: Effect,
) -> Result<Status, RequestError> {
    let rows =
        pooled.connection().client.receive_rows().await.map_err(|_| connection_lost(effect))?;
    let row = rows.into_iter().next().ok_or_else(|| connection_lost(effect))?;
    Status::try_from(row).map_err(|_| connection_lost(effect))
}
