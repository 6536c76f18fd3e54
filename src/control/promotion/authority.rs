//! The authority of a leader to give an order, which ends as soon as another process may have been elected or the
//! decision that the order carries out has been replaced.
//!
//! An order that outlives its authority may take effect after a later one. So an order is abandoned when its authority
//! ends, and an order that an outside service carries out is not complete until a majority has confirmed the leader once
//! more. See `docs/DESIGN.md`, "Orders".

use std::fmt;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Duration;

use crate::admin::Withheld;
use crate::clock::Instant;
use crate::control::core::Core;
use crate::control::raft::Input;
use crate::control::server::Shared;
use crate::control::state::Claim;
use crate::id;
use crate::wire::Phase;

/// The authority to give one order.
#[derive(Clone)]
pub struct Authority {
    shared: Arc<Shared>,
    /// The term of the control log in which the order was given.
    term: id::Term,
    /// The reserved term of a group that the order carries out, if it is a promotion.
    claim: Option<(id::Group, Claim)>,
    complete: Arc<AtomicBool>,
}

impl fmt::Debug for Authority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("Authority");
        debug.field("term", &self.term).field("claim", &self.claim).finish_non_exhaustive()
    }
}

impl Authority {
    /// Creates the authority of the leader in `term`.
    pub(super) fn new(shared: Arc<Shared>, term: id::Term) -> Self {
        Self { shared, term, claim: None, complete: Arc::default() }
    }

    /// Ends the authority also when the group no longer has `claim` to carry out.
    pub(super) fn with_claim(self, group: id::Group, claim: Claim) -> Self {
        Self { claim: Some((group, claim)), ..self }
    }

    /// Waits until a majority has confirmed the leader in response to a message sent after this call. The order is to be
    /// completed at once after that. What has been sent of the order before must have no effect on its own.
    ///
    /// # Errors
    ///
    /// Fails if the authority has ended.
    pub async fn confirm(self) -> Result<(), Withheld> {
        let asked_at = self.shared.clock.now();
        self.shared.step(Input::Confirm);
        loop {
            let answered = self.shared.voter_answered.listen();
            let confirmed_at = self.confirmed_at(self.shared.clock.now()).ok_or(Withheld)?;
            if confirmed_at >= asked_at {
                self.complete.store(true, Ordering::Relaxed);
                return Ok(());
            }
            answered.await;
        }
    }

    /// Runs an order as long as the authority lasts, and drops it after that. The authority is checked before each step of
    /// the order, since the process may have been suspended between two steps.
    pub(super) async fn run<T>(&self, order: impl Future<Output = T>) -> Option<T> {
        let end = async {
            loop {
                let applied = self.shared.entries_applied.listen();
                let Some(until) = self.ends_at(self.shared.clock.now()) else { return };
                smol::future::or(self.shared.clock.sleep_until(until), applied).await;
            }
        };
        let (mut order, mut end) = (pin!(order), pin!(end));
        poll_fn(|context| {
            let ended = end.as_mut().poll(context).is_ready();
            if ended || self.ends_at(self.shared.clock.now()).is_none() {
                return Poll::Ready(None);
            }
            order.as_mut().poll(context).map(Some)
        })
        .await
    }

    /// Returns the term of the control log in which the order was given.
    pub(super) fn term(&self) -> id::Term {
        self.term
    }

    /// Returns whether the order was allowed to be completed, so that it may take effect.
    pub(super) fn is_complete(&self) -> bool {
        self.complete.load(Ordering::Relaxed)
    }

    /// Returns the time since this process sent the message in response to which a majority last confirmed it as the leader
    /// in the term of the order, or `None` if the authority has ended.
    pub(super) fn time_since_confirmation(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at(now).map(|at| now.since(at))
    }

    fn confirmed_at(&self, now: Instant) -> Option<Instant> {
        let core = self.shared.core();
        if self.is_valid(now, &core) { core.raft.last_majority_contact(now) } else { None }
    }

    /// Returns when the authority ends without another confirmation, or `None` if it has ended.
    fn ends_at(&self, now: Instant) -> Option<Instant> {
        let core = self.shared.core();
        if self.is_valid(now, &core) { core.raft.confirmed_until(now) } else { None }
    }

    fn is_valid(&self, now: Instant, core: &Core) -> bool {
        let leads = core.is_confirmed_leader(now) && core.raft.term() == self.term;
        leads && self.claim.as_ref().is_none_or(|(group, claim)| is_pending(core, group, claim))
    }
}

/// Returns whether a group is frozen and waits for the instance that has this term reserved.
fn is_pending(core: &Core, group: &id::Group, claim: &Claim) -> bool {
    let frozen = core.state.epochs.get(group).is_none_or(|epoch| epoch.phase == Phase::Frozen);
    frozen && core.state.claims.get(group) == Some(claim)
}
