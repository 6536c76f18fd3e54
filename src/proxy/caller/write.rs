//! Writes and transactions: they run on the primary, and their acknowledgements are held back until the fence
//! releases them.

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
use crate::pgsql::{self, Nonce};
use crate::proxy::classify::Kind;
use crate::proxy::fence::Verdict;
use crate::proxy::floor::Mark;
use crate::proxy::outcome::{Outcome, Reason};
use crate::proxy::pool::{self, PooledConnection};
use crate::proxy::relay::{self, Completion, Exchange};
use crate::proxy::server::Shared;
use crate::upstream::status::{Statement, Status};
use crate::wire::{Epoch, Phase};

/// The SQLSTATE of a write on an instance that is not, or no longer, the primary.
pub(super) const READ_ONLY: &str = "25006";

impl Caller {
    /// Runs a write, or a statement that begins a transaction, on the primary.
    pub(super) async fn run_write(&mut self, request: &Request) -> Result<(), RequestError> {
        let started = self.shared.clock.now();
        loop {
            let (mut pooled, epoch) = self.acquire_primary(request).await?;
            let mut exchange = self.build_exchange(&request.query, &mut pooled)?;
            let begins_transaction = matches!(request.summary.kind, Kind::Begin { .. });
            exchange.hold_acknowledgement = !begins_transaction;
            let effect = if begins_transaction { Effect::RolledBack } else { Effect::Possible };
            let completion = self.run_fenced(pooled, &mut exchange, epoch.term, effect).await?;
            let Some((pooled, completion)) = completion else {
                return Ok(());
            };
            if completion.sqlstate == READ_ONLY
                && completion.status == b'I'
                && self.writer.discard_unwritten()
            {
                // The primary is stepping down. Its refusal proves that it ran nothing.
                pooled.release();
                self.progress = Progress::NotSent;
                self.wait_for_successor(started).await?;
                continue;
            }
            self.keep_or_release(pooled, &completion, epoch.term, true);
            return Ok(());
        }
    }

    /// Waits briefly for the successor of a primary that is stepping down.
    pub(super) async fn wait_for_successor(&self, started: Instant) -> Result<(), RequestError> {
        let changed = self.shared.group_changed(&self.group);
        self.check_failover_wait(&self.epoch()?, started)?;
        if !self.shared.budget.try_withdraw() {
            return Err(not_run(Reason::Failover));
        }
        self.shared.clock.timeout(CONNECT_RETRY_DELAY, changed).await;
        Ok(())
    }

    /// Acquires a connection to the primary under an epoch whose answers may be released. If the primary is being
    /// replaced, waits for its successor, since nothing was sent yet.
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
                    // The epoch may have ended during the wait.
                    if self.shared.verdict(&self.group, epoch.term) == Verdict::Release {
                        return Ok((pooled, epoch));
                    }
                }
                Err(pool::Error::Refused(wait)) => return Err(busy(wait)),
                Err(pool::Error::DeadlineExceeded) => return Err(not_run(Reason::Deadline)),
                Err(pool::Error::Connect(error)) => {
                    log::debug!(
                        "failed to connect to primary {}, retrying for up to {FAILOVER_WAIT:?}: {error}",
                        epoch.primary
                    );
                    self.check_failover_wait(&epoch, started)?;
                    self.shared.clock.timeout(CONNECT_RETRY_DELAY, changed).await;
                }
            }
        }
    }

    /// Runs a statement in the open transaction.
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

    /// Runs a statement on the connection of the transaction and returns the command tag. If the statement
    /// doesn't complete, the transaction is lost until the caller ends it, so that no later statement runs outside of
    /// the transaction.
    pub(super) async fn run_in_transaction(
        &mut self,
        request: &Request,
        transaction: OpenTransaction,
    ) -> Result<String, RequestError> {
        let OpenTransaction { mut pooled, term, may_write } = transaction;
        let mut exchange = self.build_exchange(&request.query, &mut pooled)?;
        let ends_transaction = matches!(request.summary.kind, Kind::Commit | Kind::Rollback);
        let commits = may_write && request.summary.kind == Kind::Commit;
        exchange.hold_acknowledgement = commits;
        let effect = if commits { Effect::Possible } else { Effect::RolledBack };
        if ends_transaction {
            self.transaction = Transaction::None;
        }
        if commits {
            self.check_commit(request, term).await?;
        }
        let completion = self.run_fenced(pooled, &mut exchange, term, effect).await?;
        let Some((pooled, completion)) = completion else {
            return Ok(String::new());
        };
        self.keep_or_release(pooled, &completion, term, may_write);
        Ok(completion.command_tag)
    }

    /// Checks that the epoch of a transaction is in force before its commit is sent. The process may have been suspended
    /// since its last statement, and what it sends now can't be taken back. Without a lease it waits for the next one,
    /// without which no answer could be released either. After a failure the connection is closed, which rolls back.
    async fn check_commit(
        &mut self,
        request: &Request,
        term: id::Term,
    ) -> Result<(), RequestError> {
        let effect = Effect::RolledBack;
        self.progress = Progress::Sent(effect);
        loop {
            let changed = self.shared.group_changed(&self.group);
            let left = request.deadline.since(self.shared.clock.now());
            let reason = match self.shared.verdict(&self.group, term) {
                _ if left.is_zero() => Reason::Deadline,
                Verdict::Release => return Ok(()),
                Verdict::Replaced => Reason::Failover,
                Verdict::NoLease => {
                    self.shared.clock.timeout(left, changed).await;
                    continue;
                }
            };
            return Err(Outcome::Unknown { reason, effect }.into());
        }
    }

    /// Runs an exchange. If it acknowledges a write, the connection returns to the pool at once and the answer is
    /// held back until the fence releases it. Otherwise returns the connection.
    pub(super) async fn run_fenced(
        &mut self,
        mut pooled: PooledConnection,
        exchange: &mut Exchange,
        term: id::Term,
        effect: Effect,
    ) -> Result<Option<(PooledConnection, Completion)>, RequestError> {
        let hold = exchange.hold_acknowledgement;
        let nonce = pooled.connection().client.next_nonce();
        if hold {
            frontend::query(&Statement::query().sql(nonce), &mut exchange.bytes)
                .map_err(RequestError::Caller)?;
        }
        let sent_at = self.shared.clock.now();
        let (shared, group) = (Arc::clone(&self.shared), self.group.clone());
        let run = self.run_exchange(&mut pooled, exchange, effect);
        let Some(result) = unless_replaced(&shared, &group, term, hold, run).await else {
            self.cancel_entry.finish();
            pooled.recheck_idle();
            return Err(unknown_outcome(Reason::Failover));
        };
        let mut completion = match result {
            Ok(completion) => completion,
            Err(relay::Error::Upstream { .. }) => {
                pooled.recheck_idle();
                return Err(connection_lost(effect));
            }
            Err(relay::Error::Caller(error)) => return Err(RequestError::Caller(error)),
        };
        if !hold {
            return Ok(Some((pooled, completion)));
        }
        pooled.running = true;
        let status = receive_status(&mut pooled, nonce);
        let Some(status) = unless_replaced(&shared, &group, term, hold, status).await else {
            pooled.recheck_idle();
            return Err(unknown_outcome(Reason::Failover));
        };
        let status = match status {
            Ok(status) => status,
            Err(error) => {
                pooled.report("status", &error);
                pooled.recheck_idle();
                self.writer.discard_unwritten();
                return Err(connection_lost(effect));
            }
        };
        pooled.running = false;
        if completion.failed {
            self.writer.out.extend_from_slice(&completion.held);
            completion.held.clear();
            return Ok(Some((pooled, completion)));
        }
        if completion.status == b'I' {
            self.transaction_failed = false;
            self.transaction = Transaction::None;
            pooled.release();
            self.wait_for_durability(status, sent_at, term).await?;
            self.writer.out.extend_from_slice(&completion.held);
            return Ok(None);
        }
        self.writer.out.extend_from_slice(&completion.held);
        Ok(Some((pooled, completion)))
    }

    /// Waits until a write that was sent at `sent_at` is as durable as declared, then raises the session's mark if
    /// the fence allows the write to be acknowledged.
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
            if let Some((opened_at, status)) =
                self.shared.status_and_connection_time(&epoch.primary)
                && status.term == term
            {
                // A later incarnation of the primary may have a different history at the same positions.
                if opened_at > sent_at {
                    return Err(unknown_outcome(Reason::ConnectionLost));
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
            Verdict::NoLease => Err(unknown_outcome(Reason::NoLease)),
            Verdict::Replaced => Err(replaced()),
        }
    }
}

/// How long a request waits for its answer after the epoch is frozen, since the answer may prove that the write did
/// not run.
const FREEZE_GRACE: Duration = Duration::from_millis(50);

/// Waits for an answer of the primary. If the answer is `held` back for the fence, the wait ends with `None` once the
/// term is frozen or replaced, because the fence can't release the answer any more.
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

/// Receives the answer to a status query that was sent earlier.
async fn receive_status(
    pooled: &mut PooledConnection,
    nonce: Nonce,
) -> Result<Status, pgsql::Error> {
    Statement::decode(pooled.connection().client.receive_rows().await?, nonce)
}
