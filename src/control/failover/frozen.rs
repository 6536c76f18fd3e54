//! The frozen phase of a group: a term is reserved for the instance that holds every acknowledged write, the instance is
//! ordered to take it, and its epoch is put in force. See `docs/DESIGN.md`, "Failover".

use std::time::Duration;

use super::candidate::{Candidates, Reading, Replicas};
use super::damper::backoff;
use super::reports::Verdict;
use super::{
    Group, MAX_PROMOTION_TIMEOUT, MISSING_WAIT, ORDER_REPEAT, OUTSIDE_ORDER_REPEAT,
    OUTSIDE_PROMOTION_TIMEOUT, Output, PROBE_VALIDITY, PROMOTION_TIMEOUT, UNSETTLED_ORDER_TIMEOUT,
    View,
};
use crate::clock::Instant;
use crate::control::state::{Action, Claim};
use crate::id;
use crate::upstream::status::Status;
use crate::wire::{Epoch, Role};

impl Group {
    pub(super) fn tick_frozen(
        &mut self,
        now: Instant,
        epoch: &Epoch,
        view: View<'_>,
    ) -> Vec<Output> {
        let Some(fenced_at) = self.fenced_at else {
            if !view.fenced {
                return if self.promoted_outside {
                    self.prepare(now, epoch, view)
                } else {
                    Vec::new()
                };
            }
            self.fenced_at = Some(now);
            let known = view.known_instances.iter().cloned();
            return known.map(|instance| Output::Probe { instance }).collect();
        };
        match self.open_claim(now, epoch, view) {
            Some(claim)
                if !self.is_timed_out(now, claim, view)
                    && !self.is_outdone(now, epoch, claim, view) =>
            {
                self.complete(now, epoch, claim)
            }
            _ => self.choose(now, epoch, fenced_at, view),
        }
    }

    /// Returns whether the attempt to promote the instance that has the term reserved has timed out or was declined.
    /// Starts the attempt if the term is new.
    fn is_timed_out(&mut self, now: Instant, claim: &Claim, view: View<'_>) -> bool {
        let term = claim.term;
        let timeout = self.promotion_timeout(now, claim, view);
        let count = match self.attempt {
            Some((known, since, count)) if known == term => {
                let declined = self.declined.as_ref() == Some(&claim.primary);
                return declined
                    || now.since(since) >= backoff(timeout, count, MAX_PROMOTION_TIMEOUT);
            }
            Some((_, _, count)) => count + 1,
            None => 0,
        };
        self.attempt = Some((term, now, count));
        self.declined = None;
        false
    }

    /// Returns how long an instance may take to adopt its reserved term at first. No reset recalls what an outside service has
    /// accepted, and what is acknowledged before it is carried out would be lost, so the choice stays with an instance that
    /// may still run.
    fn promotion_timeout(&self, now: Instant, claim: &Claim, view: View<'_>) -> Duration {
        let has_ended = !view.known_instances.contains(&claim.primary)
            || self.verdict(now, &claim.primary) == Verdict::Crashed;
        match (self.promoted_outside, has_ended) {
            (true, false) => UNSETTLED_ORDER_TIMEOUT,
            (true, true) => OUTSIDE_PROMOTION_TIMEOUT,
            (false, _) => PROMOTION_TIMEOUT,
        }
    }

    /// Carries out the steps that need not wait for the fence if an outside service promotes. A commit is
    /// acknowledged only after a replica has received it, so once every replica has stopped receiving, nothing more
    /// can be acknowledged and the replicas' positions are final. The epoch of the promoted instance still waits for
    /// the fence, because proxies may read and release answers under the old epoch until then.
    fn prepare(&mut self, now: Instant, epoch: &Epoch, view: View<'_>) -> Vec<Output> {
        let claim = self.open_claim(now, epoch, view);
        if let Some(claim) = claim.filter(|claim| !self.is_outdone(now, epoch, claim, view)) {
            let promoted = self.promoted_status(now, epoch, claim).is_some();
            let wait = promoted || self.is_timed_out(now, claim, view);
            return if wait { Vec::new() } else { self.promote(now, claim) };
        }
        if self.unordered.is_found() {
            return self.keep_primary(now, epoch, view);
        }
        let term = epoch.term.next();
        // While the primary may still run, an instance that isn't known may receive from it until the fence holds.
        let is_complete = self.verdict(now, &epoch.primary) == Verdict::Crashed
            && self.witnesses.is_stable(now)
            && !self.witnesses.has_departure();
        let others = view.known_instances.iter().filter(|instance| **instance != epoch.primary);
        let missing = others.filter(|instance| !self.paused.contains_key(*instance));
        let missing: Vec<id::Instance> = missing.cloned().collect();
        if !missing.is_empty() {
            let pause = |instance| self.order(now, Output::Pause { instance, term });
            return missing.into_iter().flat_map(pause).collect();
        }
        let candidates = self.candidates(now, epoch, view, self.paused.iter(), false);
        let chosen = candidates.choose().filter(|chosen| *chosen.instance != epoch.primary);
        let Some(chosen) = chosen.filter(|_| is_complete) else {
            return Vec::new();
        };
        let action = self.claim_action(epoch, view.claim, &chosen);
        self.order(now, Output::Submit(action))
    }

    /// Returns the reserved term that an instance may still take. An outside service gives terms itself, so an epoch may
    /// come into force on a lower term than the one reserved for its primary. Once that primary has failed, such a
    /// reservation is left over.
    fn open_claim<'a>(&self, now: Instant, epoch: &Epoch, view: View<'a>) -> Option<&'a Claim> {
        let is_newer = |claim: &&Claim| claim.term > epoch.term && claim.term > self.spent_claim;
        let claim = view.claim.filter(is_newer)?;
        let is_left_over = self.promoted_outside
            && claim.primary == epoch.primary
            && !self.unordered.is_found()
            && self.verdict(now, &epoch.primary) != Verdict::Usable;
        (!is_left_over).then_some(claim)
    }

    /// Orders the instance that has the term reserved to become its primary.
    fn promote(&mut self, now: Instant, claim: &Claim) -> Vec<Output> {
        let promote = Output::Promote { instance: claim.primary.clone(), term: claim.term };
        let repeat = if self.promoted_outside { OUTSIDE_ORDER_REPEAT } else { ORDER_REPEAT };
        self.order_every(now, promote, repeat)
    }

    /// Returns the status of the instance that has the term reserved, if it shows that the instance is primary. An
    /// instance that an outside service promotes adopts the next term, regardless of the reserved one.
    fn promoted_status(&self, now: Instant, epoch: &Epoch, claim: &Claim) -> Option<&Status> {
        let (_, status) =
            self.recent_statuses(now).find(|(instance, _)| **instance == claim.primary)?;
        let promoted = if self.promoted_outside {
            status.term > epoch.term
        } else {
            status.term == claim.term
        };
        (status.role == Role::Primary && promoted).then_some(status)
    }

    /// Puts the new epoch in force if the instance that has the term reserved is its primary already, maybe on the
    /// order of an earlier leader; otherwise orders its promotion.
    fn complete(&mut self, now: Instant, epoch: &Epoch, claim: &Claim) -> Vec<Output> {
        let promoted_outside = self.promoted_outside;
        let Some(status) = self.promoted_status(now, epoch, claim).copied() else {
            let reinstated = self.reinstate(now, epoch, claim);
            return reinstated.unwrap_or_else(|| self.promote(now, claim));
        };
        let status = &status;
        let mut outputs = self.check_start(epoch, &claim.primary, status);
        let action = match self.promote_action(&claim.primary, status) {
            Action::Promote { group, term, primary, start } if promoted_outside => {
                Action::Adopt { group, term, primary, start }
            }
            action => action,
        };
        outputs.extend(self.order(now, Output::Submit(action)));
        outputs
    }

    /// Reports an instance that began its term below the position at which it was chosen: the service carried out an earlier
    /// order, or the instance has lost what it held when it was chosen.
    fn check_start(
        &mut self,
        epoch: &Epoch,
        instance: &id::Instance,
        status: &Status,
    ) -> Vec<Output> {
        let start = if status.start > id::Position(0) { status.start } else { status.received };
        let expected = self.witnesses.expected(epoch, instance);
        match expected.filter(|_| self.promoted_outside) {
            Some(expected) if start < expected => self.report_missing(epoch, instance, start, true),
            _ => Vec::new(),
        }
    }

    /// Reserves a new term for the instance that holds every acknowledged write.
    fn choose(
        &mut self,
        now: Instant,
        epoch: &Epoch,
        fenced_at: Instant,
        view: View<'_>,
    ) -> Vec<Output> {
        let after_fence = self.probes.iter().filter_map(|(instance, probe)| {
            let status = probe.result.as_ref().ok()?;
            let valid =
                probe.requested_at >= fenced_at && now.since(probe.recorded_at) < PROBE_VALIDITY;
            valid.then_some((instance, status))
        });
        let waited = now.since(fenced_at) >= MISSING_WAIT;
        let mut candidates = self.candidates(now, epoch, view, after_fence, waited);
        candidates.misses_answers = self.misses_answers(now, fenced_at, view);
        let unordered = self.unordered.is_found();
        let chosen =
            if unordered { candidates.choose_after_unordered() } else { candidates.choose() };
        let Some(chosen) = chosen else {
            let behind = candidates.behind_returned_primary();
            let incomplete = if unordered { None } else { candidates.choose_incomplete() };
            let incomplete = incomplete.map(|best| {
                let held = candidates.progress(&best).position;
                (best.instance.clone(), held, self.claim_action(epoch, view.claim, &best))
            });
            let mut outputs = self.resume(now, behind);
            if let Some((instance, held, action)) = incomplete {
                let is_accepted = now.since(fenced_at) >= self.witnesses.wait();
                let is_lost = is_accepted && self.witnesses.has_departure();
                outputs.extend(self.report_missing(epoch, &instance, held, is_lost));
                if is_accepted {
                    self.witnesses.record_choice(epoch, &instance, held);
                    outputs.extend(self.order(now, Output::Submit(action)));
                }
            }
            return outputs;
        };
        let leads = chosen.status.role == Role::Primary;
        if self.promoted_outside && *chosen.instance == epoch.primary && leads && !unordered {
            let behind = candidates.behind_primary();
            return self.continue_with_primary(now, epoch, view, behind);
        }
        let action = self.claim_action(epoch, view.claim, &chosen);
        self.order(now, Output::Submit(action))
    }

    /// Makes replicas receive again while the epoch is frozen. Nothing is added to the log meanwhile, because proxies
    /// write only under an epoch in force.
    pub(super) fn resume(&mut self, now: Instant, replicas: Replicas) -> Vec<Output> {
        let resume = |instance| self.order(now, Output::Resume { instance });
        replicas.into_iter().flat_map(resume).collect()
    }

    /// Collects the readings and settings for the choice. `waited` is false as long as missing instances may still
    /// answer.
    pub(super) fn candidates<'a>(
        &self,
        now: Instant,
        epoch: &'a Epoch,
        view: View<'a>,
        statuses: impl Iterator<Item = (&'a id::Instance, &'a Status)>,
        waited: bool,
    ) -> Candidates<'a> {
        let reading = |(instance, status)| {
            let usable = self.verdict(now, instance) == Verdict::Usable;
            Reading { instance, status, usable }
        };
        Candidates {
            epoch,
            readings: statuses.map(reading).collect(),
            declared_instances: view.declared_instances,
            known_instances: self.known_instances(epoch, view),
            durability: view.durability,
            draining: view.draining,
            promoted_outside: self.promoted_outside,
            is_reserved: self.promoted_outside
                && !self.unordered.is_found()
                && view
                    .claim
                    .is_some_and(|claim| claim.term > epoch.term && claim.primary != epoch.primary),
            waited,
            acknowledged: self.acknowledged(epoch),
            has_departure: self.promoted_outside && self.witnesses.has_departure(),
            misses_answers: false,
        }
    }

    fn acknowledged(&self, epoch: &Epoch) -> Option<id::Position> {
        if self.promoted_outside { self.witnesses.acknowledged(epoch) } else { None }
    }

    /// Returns the number of known instances of the group, including the primary even if it no longer announces
    /// itself.
    fn known_instances(&self, epoch: &Epoch, view: View<'_>) -> usize {
        let gone = usize::from(!view.known_instances.contains(&epoch.primary));
        view.known_instances.len() + gone
    }
}
