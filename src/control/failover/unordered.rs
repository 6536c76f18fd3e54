//! Promotions that no order in force asked for. An outside service may carry out an order long after control has given it
//! up. The instance then leads a later term than the epoch's, without the writes that were acknowledged since, and
//! replicas that were ahead of it are rolled back. The epoch's primary holds these writes until it rolls back as well,
//! soon after it reaches the instance that leads. See `docs/DESIGN.md`, "Failover".

use std::time::Duration;

use super::candidate::{Candidates, Reading, Replicas};
use super::reports::Verdict;
use super::{Group, Output, PROBE_VALIDITY, View};
use crate::clock::Instant;
use crate::control::state::{Action, Claim};
use crate::id;
use crate::upstream::status::Status;
use crate::wire::{Epoch, Phase, Role};

/// How long to wait, after an unordered promotion, for instances that don't answer. They may hold acknowledged writes
/// that the others have lost.
pub const UNORDERED_WAIT: Duration = Duration::from_secs(3);

/// What is known of unordered promotions since the epoch's term came into force.
#[derive(Debug, Default)]
pub(super) struct Unordered {
    /// The latest term that was found, and when.
    found: Option<(id::Term, Instant)>,
    /// The instances that had a term reserved in the epoch's present phase.
    ordered: Replicas,
}

impl Unordered {
    /// Records a change of the epoch's phase, or of its term.
    pub(super) fn record_phase(&mut self, is_new_term: bool) {
        self.ordered.clear();
        if is_new_term {
            self.found = None;
        }
    }

    pub(super) fn found_at(&self) -> Option<Instant> {
        self.found.map(|(_, at)| at)
    }

    pub(super) fn is_found(&self) -> bool {
        self.found.is_some()
    }
}

impl Group {
    /// Looks for an instance that leads a later term than the epoch's without an order. A promotion that was found is
    /// reported once, and all instances are probed at once.
    pub(super) fn find_unordered(
        &mut self,
        now: Instant,
        epoch: &Epoch,
        since: Instant,
        view: View<'_>,
    ) -> Vec<Output> {
        if !self.promoted_outside {
            return Vec::new();
        }
        if epoch.phase == Phase::Frozen
            && let Some(claim) =
                view.claim.filter(|claim| claim.term > epoch.term.max(self.spent_claim))
            && !self.unordered.ordered.contains(&claim.primary)
        {
            self.unordered.ordered.push(claim.primary.clone());
        }
        let leading = self.statuses_since(now, since).filter(|(instance, status)| {
            leads_later_term(epoch, status) && !self.unordered.ordered.contains(instance)
        });
        let known = self.unordered.found.map_or(epoch.term, |(term, _)| term);
        let newest = leading.max_by_key(|(_, status)| status.term);
        let Some((instance, term)) = newest
            .filter(|(_, status)| status.term > known)
            .map(|(instance, status)| (instance.clone(), status.term))
        else {
            return Vec::new();
        };
        self.unordered.found = Some((term, now));
        let report = Output::ReportUnordered {
            group: self.group.clone(),
            instance,
            term,
            epoch: epoch.term,
            primary: epoch.primary.clone(),
        };
        let probes = view.known_instances.iter().cloned();
        let probes = probes.map(|instance| Output::Probe { instance });
        std::iter::once(report).chain(probes).collect()
    }

    /// Reserves a term for the epoch's primary before the fence holds, because it may roll back before that.
    pub(super) fn keep_primary(
        &mut self,
        now: Instant,
        epoch: &Epoch,
        view: View<'_>,
    ) -> Vec<Output> {
        let statuses = self.statuses_since_found(now);
        let candidates = self.candidates(now, epoch, view, statuses, false);
        let Some(holder) = candidates.holder().filter(|holder| holder.usable) else {
            return Vec::new();
        };
        let action = self.claim_action(epoch, view.claim, &holder);
        self.order(now, Output::Submit(action))
    }

    /// Returns whether the instance that has the term reserved was rolled back by an unordered promotion, while the epoch's
    /// primary was not.
    pub(super) fn is_outdone(
        &self,
        now: Instant,
        epoch: &Epoch,
        claim: &Claim,
        view: View<'_>,
    ) -> bool {
        if !self.unordered.is_found() {
            return false;
        }
        let statuses = self.statuses_since_found(now);
        self.candidates(now, epoch, view, statuses, false).is_outdone(&claim.primary)
    }

    /// Returns whether an instance that may hold acknowledged writes has not answered since `at` and may still do so.
    pub(super) fn misses_answers(&self, now: Instant, at: Instant, view: View<'_>) -> bool {
        now.since(at) < UNORDERED_WAIT
            && view.known_instances.iter().any(|instance| {
                let answered = self.statuses_since(now, at).any(|(known, _)| known == instance);
                !answered && self.verdict(now, instance) != Verdict::Crashed
            })
    }

    /// Returns the statuses that were requested at `at` or later.
    pub(super) fn statuses_since(
        &self,
        now: Instant,
        at: Instant,
    ) -> impl Iterator<Item = (&id::Instance, &Status)> {
        self.probes.iter().filter_map(move |(instance, probe)| {
            let status = probe.result.as_ref().ok()?;
            let valid = probe.requested_at >= at && now.since(probe.recorded_at) < PROBE_VALIDITY;
            valid.then_some((instance, status))
        })
    }

    fn statuses_since_found(&self, now: Instant) -> impl Iterator<Item = (&id::Instance, &Status)> {
        let found_at = self.unordered.found.map_or(now, |(_, at)| at);
        self.statuses_since(now, found_at)
    }

    /// Returns the action that reserves a new term for the chosen instance. One that leads a later term by an outside service
    /// gets just that term reserved, so that no reserved term is above that of the epoch put in force.
    pub(super) fn claim_action(
        &self,
        epoch: &Epoch,
        claim: Option<&Claim>,
        chosen: &Reading<'_>,
    ) -> Action {
        let newest = claim.map_or(epoch.term, |claim| claim.term).max(epoch.term);
        let Status { role, term: own, .. } = *chosen.status;
        let led = self.promoted_outside && role == Role::Primary && own > newest;
        let term = if led { own } else { newest.max(own).next() };
        Action::Claim { group: self.group.clone(), term, primary: chosen.instance.clone() }
    }
}

fn leads_later_term(epoch: &Epoch, status: &Status) -> bool {
    status.role == Role::Primary && status.term > epoch.term
}

impl<'a> Candidates<'a> {
    /// Chooses after an unordered promotion. Replicas were rolled back by it, so a majority of positions proves nothing, and
    /// the instance that leads may have come from another history, so its position doesn't either. As long as the epoch's
    /// primary leads its term, it holds every acknowledged write. After it has rolled back, what is left is with the
    /// instances that hold most.
    pub(super) fn choose_after_unordered(&self) -> Option<Reading<'a>> {
        let holder = self.holder();
        if let Some(holder) = holder.filter(|holder| holder.usable) {
            return Some(holder);
        }
        if self.misses_answers || (holder.is_some() && !self.waited) {
            return None;
        }
        let eligible = self.readings.iter().filter(|reading| {
            let is_later = reading.status.term > self.epoch.term;
            reading.usable && (is_later || !self.progress(reading).diverged)
        });
        let rank = |reading: &&Reading<'a>| {
            let leads = leads_later_term(self.epoch, reading.status);
            let stays = !self.draining.contains(reading.instance);
            (self.progress(reading).position, leads, stays, reading.status.term)
        };
        eligible.max_by_key(rank).copied()
    }

    /// Returns the instance that leads the epoch's term, maybe under another id, and so holds every write that was
    /// acknowledged in it.
    fn holder(&self) -> Option<Reading<'a>> {
        let leads =
            |status: &Status| status.role == Role::Primary && status.term == self.epoch.term;
        self.readings.iter().find(|reading| leads(reading.status)).copied()
    }

    /// Returns whether an instance was rolled back by a promotion other than its own while the one that leads the epoch's
    /// term still holds every acknowledged write.
    fn is_outdone(&self, instance: &id::Instance) -> bool {
        let rolled_back = self.readings.iter().any(|reading| {
            let Status { role, term, .. } = *reading.status;
            let direct = role == Role::Primary && term == self.epoch.term.next();
            reading.instance == instance && term > self.epoch.term && !direct
        });
        rolled_back && self.holder().is_some_and(|holder| holder.usable)
    }
}
