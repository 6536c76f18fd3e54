//! The way back to the primary of a frozen epoch, if no other instance holds every acknowledged write and an outside service
//! promotes.
//!
//! The epoch can't just be put in force again while a later term is reserved for another instance: an order to promote that one may
//! have been accepted, and nothing recalls it. So the replicas receive from the frozen primary, which adds nothing to its log, and
//! the next term goes to one that has caught up. If none does, the next term is reserved for the primary itself. The service
//! changes nothing when it is asked to promote the present primary; the epoch is then put in force again. See
//! `docs/DESIGN.md`, "Failover".

use std::time::Duration;

use super::candidate::{Candidates, Replicas};
use super::{Group, Output, View};
use crate::clock::Instant;
use crate::control::state::{Action, Claim};
use crate::id;
use crate::wire::{Epoch, Role};

/// How long replicas may take to catch up with a frozen primary before the next term is reserved for the primary itself.
pub const CATCH_UP_WAIT: Duration = Duration::from_secs(3);

/// How long after the service has accepted an order the instance must still be on its old term for the order to have changed
/// nothing. A promotion takes some hundred milliseconds.
pub const SETTLE_WAIT: Duration = Duration::from_secs(1);

/// What is known of the way back in the present phase of the epoch.
#[derive(Debug, Default)]
pub(super) struct Reinstatement {
    /// Since when replicas are to catch up with the primary.
    catching_up_since: Option<Instant>,
    /// The last order that the service accepted, and when.
    accepted: Option<(id::Instance, Instant)>,
    /// When an accepted order to promote the epoch's primary has certainly had its effect, if it has one.
    settles_at: Option<Instant>,
}

impl Reinstatement {
    pub(super) fn record_accepted(&mut self, now: Instant, instance: id::Instance) {
        self.accepted = Some((instance, now));
    }

    /// Returns the time after which the primary must have been asked for its status, once the service has accepted to promote
    /// it.
    pub(super) fn settles_at(&self) -> Option<Instant> {
        self.settles_at
    }
}

impl Group {
    /// Continues with the epoch's primary, which leads its term and alone holds every acknowledged write. The replicas in
    /// `behind` can catch up with it.
    pub(super) fn continue_with_primary(
        &mut self,
        now: Instant,
        epoch: &Epoch,
        view: View<'_>,
        behind: Replicas,
    ) -> Vec<Output> {
        let reserved = view.claim.filter(|claim| claim.term > epoch.term);
        let Some(claim) = reserved.filter(|claim| claim.primary != epoch.primary) else {
            return self.thaw(now, epoch);
        };
        let since = *self.reinstatement.catching_up_since.get_or_insert(now);
        if !behind.is_empty() && now.since(since) < CATCH_UP_WAIT {
            return self.resume(now, behind);
        }
        let term = claim.term.next();
        let (group, primary) = (self.group.clone(), epoch.primary.clone());
        self.order(now, Output::Submit(Action::Claim { group, term, primary }))
    }

    /// Puts the epoch in force again if the term is reserved for its own primary and the service, asked to promote it, has
    /// changed nothing. Returns `None` as long as that isn't known.
    pub(super) fn reinstate(
        &mut self,
        now: Instant,
        epoch: &Epoch,
        claim: &Claim,
    ) -> Option<Vec<Output>> {
        if !self.promoted_outside || claim.primary != epoch.primary {
            return None;
        }
        let accepted = self.reinstatement.accepted.as_ref();
        let accepted = accepted.filter(|(instance, _)| *instance == claim.primary);
        let settles_at = accepted.map(|(_, at)| *at + SETTLE_WAIT)?;
        self.reinstatement.settles_at = Some(settles_at);
        let (_, status) = self
            .statuses_since(now, settles_at)
            .find(|(instance, _)| **instance == claim.primary)?;
        let is_unchanged = status.role == Role::Primary && status.term == epoch.term;
        is_unchanged.then(|| self.thaw(now, epoch))
    }

    /// Puts the frozen epoch in force again.
    fn thaw(&mut self, now: Instant, epoch: &Epoch) -> Vec<Output> {
        let action = Action::Thaw { group: self.group.clone(), term: epoch.term };
        self.order(now, Output::Submit(action))
    }
}

impl Candidates<'_> {
    /// Returns the replicas that can catch up with the epoch's primary.
    pub(super) fn behind_primary(&self) -> Replicas {
        let replicas = self.readings.iter().filter(|reading| {
            *reading.instance != self.epoch.primary
                && reading.status.role == Role::Replica
                && reading.status.term <= self.epoch.term
                && reading.usable
        });
        replicas.map(|reading| reading.instance.clone()).collect()
    }
}
