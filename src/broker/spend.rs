//! The tokens of operations: takes one before an operation uses anything else, and settles it when the operation ends.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use smol::channel::{Receiver, Sender, bounded};

use super::dispatch::Ticket;
use super::quota::{Decision, Granted, MAX_WAIT, REQUEST_INTERVAL, Token};
use super::server::Shared;
use super::state::State;
use crate::clock::Instant;
use crate::id;
use crate::report::QuotaResult;
use crate::report::event::{Event, millis};

/// The part of the estimate by which retry times are spread, so that refused callers don't return together.
const RETRY_SPREAD: f64 = 0.5;

/// The token of an operation. One that is dropped counts as spent.
pub(super) struct Spend {
    shared: Arc<Shared>,
    account: id::Account,
    token: Option<Token>,
}

impl Spend {
    /// Ends the operation. `may_have_run` is whether an instance may have run it; if not, the token is free again.
    pub(super) fn finish(mut self, may_have_run: bool) {
        self.settle(may_have_run);
    }

    fn settle(&mut self, may_have_run: bool) {
        if let Some(token) = self.token.take() {
            self.shared.lock().finish_operation(&self.account, token, may_have_run);
        }
    }
}

impl Drop for Spend {
    fn drop(&mut self) {
        self.settle(true);
    }
}

/// A session of an account, for which a token is kept in reserve.
pub(super) struct OpenSession {
    shared: Arc<Shared>,
    account: id::Account,
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        self.shared.lock().quota.close_session(&self.account);
    }
}

/// The place of an operation among those that wait for a token. A token that arrives after the wait is free again.
struct WaitGuard<'a> {
    shared: &'a Shared,
    account: &'a id::Account,
    ticket: Ticket,
    receiver: Receiver<Decision>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.quota_waiters.remove(&self.ticket);
        state.quota.cancel(self.account, self.ticket);
        if let Ok(Decision::Run(token)) = self.receiver.try_recv() {
            state.finish_operation(self.account, token, false);
        }
    }
}

impl Shared {
    /// Counts a session of an account until the result is dropped.
    pub(super) fn open_quota_session(self: &Arc<Self>, account: &id::Account) -> OpenSession {
        self.lock().quota.open_session(account);
        OpenSession { shared: Arc::clone(self), account: account.clone() }
    }

    /// Takes a token for an operation of an account; returns none if the account has no quota. Fails with the time until
    /// there are tokens, at once if that is known, or after `max_wait`.
    pub(super) async fn take_token(
        self: &Arc<Self>,
        account: &id::Account,
        max_wait: Duration,
    ) -> Result<Option<Spend>, Duration> {
        let started = self.clock.now();
        let ticket = self.ticket();
        let receiver = {
            let mut state = self.lock();
            let declared = state.fleet.account.get(account);
            if declared.is_none_or(|declared| declared.quota.is_none()) {
                return Ok(None);
            }
            match state.quota.start(started, account, ticket) {
                Decision::Run(token) => return Ok(Some(self.spend(account, token))),
                Decision::Refuse(after) => return Err(self.refuse_operation(account, after)),
                Decision::Wait => {
                    let (sender, receiver) = bounded(1);
                    state.quota_waiters.insert(ticket, sender);
                    receiver
                }
            }
        };
        self.metrics.record_quota(started, account, QuotaResult::Waited);
        let guard = WaitGuard { shared: self, account, ticket, receiver };
        let end = started + max_wait.min(MAX_WAIT);
        loop {
            let now = self.clock.now();
            if self.lock().quota.may_request(now) {
                self.request_heartbeat();
            }
            let left = end.since(now);
            if left.is_zero() {
                return Err(self.refuse_operation(account, MAX_WAIT));
            }
            match self.clock.timeout(left.min(REQUEST_INTERVAL), guard.receiver.recv()).await {
                Some(Ok(Decision::Run(token))) => return Ok(Some(self.spend(account, token))),
                Some(Ok(Decision::Refuse(after))) => {
                    return Err(self.refuse_operation(account, after));
                }
                Some(_) => return Err(self.refuse_operation(account, MAX_WAIT)),
                None => {}
            }
        }
    }

    fn spend(self: &Arc<Self>, account: &id::Account, token: Token) -> Spend {
        self.metrics.record_quota(self.clock.now(), account, QuotaResult::Spent);
        Spend { shared: Arc::clone(self), account: account.clone(), token: Some(token) }
    }

    /// Logs what an operation was refused by, so that a request's id leads to the account and its tokens.
    pub(super) fn log_refused_operation(
        &self,
        request: &str,
        account: &id::Account,
        waited: Duration,
        retry_after: Duration,
    ) {
        let state = self.lock();
        let quota = state.fleet.account.get(account).and_then(|declared| declared.quota);
        let (reserved, waiting, granted_ago) = state.quota.usage(self.clock.now(), account);
        Event::Quota {
            request,
            account,
            rate: quota.map_or(0.0, |quota| quota.rate.per_second()),
            reserved,
            waiting,
            granted_ago_ms: millis(granted_ago),
            waited_ms: millis(waited),
            retry_after_ms: millis(retry_after),
        }
        .log(Level::Info);
    }

    /// Counts an operation that is refused, and returns when its caller may retry.
    fn refuse_operation(&self, account: &id::Account, after: Duration) -> Duration {
        self.metrics.record_quota(self.clock.now(), account, QuotaResult::Refused);
        after.max(REQUEST_INTERVAL).mul_f64(1.0 + RETRY_SPREAD * fastrand::f64())
    }
}

impl State {
    /// Delivers what a grant decided on waiting operations. Returns whether a heartbeat should be sent at once.
    pub(super) fn apply_tokens(&mut self, now: Instant, granted: Granted) -> bool {
        self.deliver(granted.decisions);
        granted.is_urgent && self.quota.may_request(now)
    }

    fn finish_operation(&mut self, account: &id::Account, token: Token, may_have_run: bool) {
        let decisions = self.quota.finish(account, token, may_have_run);
        self.deliver(decisions);
    }

    fn deliver(&mut self, decisions: impl IntoIterator<Item = (Ticket, Decision)>) {
        for (ticket, decision) in decisions {
            // The receiver exists for as long as the operation is waiting.
            let waiter: Option<Sender<Decision>> = self.quota_waiters.remove(&ticket);
            let _ = waiter.map(|waiter| waiter.try_send(decision));
        }
    }
}
