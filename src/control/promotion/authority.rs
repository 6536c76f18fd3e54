//! The authority of a leader to give orders, which ends as soon as another process may have been elected.
//!
//! An order that outlives the authority under which it was given may take effect after an order of a later leader. So
//! an order is abandoned when the authority ends, and an order that an outside service carries out is not complete until
//! a majority has confirmed the leader once more. See `docs/DESIGN.md`, "Orders".

use std::fmt;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Duration;

use crate::admin::Withheld;
use crate::clock::Instant;
use crate::control::raft::Input;
use crate::control::server::Shared;
use crate::id;

/// The authority to complete one order.
#[derive(Clone)]
pub struct Authority {
    shared: Arc<Shared>,
    term: id::Term,
    complete: Arc<AtomicBool>,
}

impl fmt::Debug for Authority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Authority").field("term", &self.term).finish_non_exhaustive()
    }
}

impl Authority {
    pub(super) fn new(shared: Arc<Shared>, term: id::Term) -> Self {
        Self { shared, term, complete: Arc::default() }
    }

    /// Waits until a majority has confirmed the leader in response to a message sent after this call. The order is to be
    /// completed at once after that. What has been sent of the order before must have no effect on its own.
    ///
    /// # Errors
    ///
    /// Fails if another process may have been elected.
    pub async fn confirm(self) -> Result<(), Withheld> {
        let asked_at = self.shared.clock.now();
        self.shared.step(Input::Confirm);
        loop {
            let answered = self.shared.voter_answered.listen();
            let confirmed_at =
                self.shared.confirmed_at(self.shared.clock.now(), self.term).ok_or(Withheld)?;
            if confirmed_at >= asked_at {
                self.complete.store(true, Ordering::Relaxed);
                return Ok(());
            }
            answered.await;
        }
    }

    /// Returns whether the order was allowed to be completed, so that it may take effect.
    pub(super) fn is_complete(&self) -> bool {
        self.complete.load(Ordering::Relaxed)
    }
}

impl Shared {
    /// Returns when this process sent the message in response to which a majority last confirmed it as the leader in
    /// `term`, or `None` if another process may have been elected since.
    fn confirmed_at(&self, now: Instant, term: id::Term) -> Option<Instant> {
        let core = self.core();
        let leads = core.is_confirmed_leader(now) && core.raft.term() == term;
        if leads { core.raft.last_majority_contact(now) } else { None }
    }

    /// Returns the time since [`Self::confirmed_at`].
    pub(super) fn time_since_confirmation(&self, now: Instant, term: id::Term) -> Option<Duration> {
        self.confirmed_at(now, term).map(|at| now.since(at))
    }

    /// Runs an order as long as no other process can have been elected, and drops it after that. The authority is checked
    /// before each step of the order, since the process may have been suspended between two steps.
    pub(super) async fn while_leading<T>(
        &self,
        term: id::Term,
        order: impl Future<Output = T>,
    ) -> Option<T> {
        let authority_end = async {
            while let Some(until) = self.leads_until(term) {
                self.clock.sleep_until(until).await;
            }
        };
        let (mut order, mut authority_end) = (pin!(order), pin!(authority_end));
        poll_fn(|context| {
            let ended = authority_end.as_mut().poll(context).is_ready();
            if ended || self.leads_until(term).is_none() {
                return Poll::Ready(None);
            }
            order.as_mut().poll(context).map(Some)
        })
        .await
    }

    fn leads_until(&self, term: id::Term) -> Option<Instant> {
        let now = self.clock.now();
        let core = self.core();
        if core.is_confirmed_leader(now) && core.raft.term() == term {
            core.raft.confirmed_until(now)
        } else {
            None
        }
    }
}
