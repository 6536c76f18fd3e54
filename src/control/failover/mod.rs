//! Decides when a group gets a new primary, and which instance it is. Each group has its own state machine.
//!
//! A failover freezes the epoch in the log, waits until no proxy can release an answer under it, reads the positions
//! of enough instances, reserves a term for the instance that holds the most, promotes it, and puts the new epoch in
//! force. A primary that is being drained is first asked to stop writes. See `docs/DESIGN.md`, "Failover" and "Drain".

mod candidate;
pub mod choice;
mod damper;
mod frozen;
mod message;
mod reinstatement;
mod reports;
mod switchover;
mod unordered;
mod witness;

use std::collections::BTreeMap;
use std::time::Duration;

use self::candidate::Replicas;
use self::damper::Damper;
pub use self::damper::{DAMPING_DELAY, DAMPING_RESET, MAX_DAMPING_DELAY};
pub use self::message::{Input, Output, View};
use self::reinstatement::Reinstatement;
pub use self::reinstatement::{CATCH_UP_WAIT, SETTLE_WAIT};
pub use self::reports::FAULTY_TIMEOUT;
use self::reports::{Reports, Verdict};
use self::switchover::Switchover;
pub use self::switchover::{FREEZE_DELAY, SWITCHOVER_RETRY_DELAY, SWITCHOVER_TIMEOUT};
pub use self::unordered::UNORDERED_WAIT;
use self::unordered::Unordered;
use self::witness::Witnesses;
pub use self::witness::{JOIN_WAIT, MISSING_WRITES_WAIT, UNKNOWN_WAIT};
use super::state::Action;
use crate::clock::Instant;
use crate::id;
use crate::upstream::status::Status;
use crate::wire::{Epoch, Health, Phase, Role};

/// How long the result of a probe is used.
pub const PROBE_VALIDITY: Duration = Duration::from_millis(2_000);

/// How long to wait for all declared instances before a group's first primary is chosen; after that, answers of a
/// majority of them are enough.
const BOOTSTRAP_WAIT: Duration = Duration::from_secs(3);

/// The interval after which an order is repeated.
pub const ORDER_REPEAT: Duration = Duration::from_millis(500);

/// How long to wait for instances that don't answer. After that the replaced primary itself may be promoted again and,
/// with `durability = "primary"`, fewer readings are enough.
pub const MISSING_WAIT: Duration = Duration::from_millis(300);

/// How long an instance may take to adopt its reserved term before the choice is made again; it doubles with each
/// attempt.
pub const PROMOTION_TIMEOUT: Duration = Duration::from_secs(1);

/// The initial promotion timeout for instances that an outside service promotes, if they are shown to have ended.
pub const OUTSIDE_PROMOTION_TIMEOUT: Duration = Duration::from_secs(4);

/// The initial promotion timeout for other instances that an outside service promotes. The service may be slow, and if it
/// carried out a request after another instance was chosen, it would replace that instance.
pub const UNSETTLED_ORDER_TIMEOUT: Duration = Duration::from_secs(12);

/// The interval after which a request to an outside service is repeated.
pub const OUTSIDE_ORDER_REPEAT: Duration = Duration::from_millis(1_500);

/// The longest promotion timeout.
const MAX_PROMOTION_TIMEOUT: Duration = Duration::from_secs(16);

/// The failover state machine of a group.
#[derive(Debug)]
pub struct Group {
    group: id::Group,
    created_at: Instant,
    probes: BTreeMap<id::Instance, ProbeResult>,
    reports: Reports,
    /// The orders that were given recently, with their times.
    recent_orders: Vec<(Instant, Output)>,
    /// The newest known term and phase, and since when they are known.
    last_phase: Option<(id::Term, Phase, Instant)>,
    /// Since when the fence of the frozen epoch has held.
    fenced_at: Option<Instant>,
    /// The reserved term of the current attempt, when the attempt began, and the number of attempts before it.
    attempt: Option<(id::Term, Instant, u32)>,
    /// The newest term that was reserved when the epoch was last seen in force. It was for the epoch's own primary, and is not
    /// taken in a later freeze.
    spent_claim: id::Term,
    damper: Damper,
    switchover: Switchover,
    /// Whether an outside service promotes instances. The service may take long, and the instance adopts the next term,
    /// regardless of the reserved one.
    promoted_outside: bool,
    /// The instance that the outside service did not promote because it isn't running.
    declined: Option<id::Instance>,
    /// The statuses of replicas that have stopped receiving since the epoch was frozen.
    paused: BTreeMap<id::Instance, Status>,
    /// Whether the epoch was put in force again after a freeze, so that replicas may still be paused.
    thawed: bool,
    unordered: Unordered,
    reinstatement: Reinstatement,
    /// When a choice, or the lack of one, was last reported.
    reported_at: Option<Instant>,
    witnesses: Witnesses,
}

#[derive(Debug)]
struct ProbeResult {
    requested_at: Instant,
    recorded_at: Instant,
    result: Result<Status, Health>,
}

impl Group {
    /// Creates the state machine of a group.
    pub fn new(now: Instant, group: id::Group) -> Self {
        Self {
            group,
            created_at: now,
            probes: BTreeMap::new(),
            reports: Reports::default(),
            recent_orders: Vec::new(),
            last_phase: None,
            fenced_at: None,
            attempt: None,
            spent_claim: id::Term::default(),
            damper: Damper::default(),
            switchover: Switchover::default(),
            promoted_outside: false,
            declined: None,
            paused: BTreeMap::new(),
            thawed: false,
            unordered: Unordered::default(),
            reinstatement: Reinstatement::default(),
            reported_at: None,
            witnesses: Witnesses::default(),
        }
    }

    /// Sets whether an outside service promotes the group's instances.
    pub fn set_promoted_outside(&mut self, promoted_outside: bool) {
        self.promoted_outside = promoted_outside;
    }

    /// Returns the time after which a status must have been requested to count for the next decision: the group has entered a
    /// phase, its fence has held, an unordered promotion was found, an instance has left, or an order to promote the primary
    /// itself must have had its effect.
    pub fn readings_since(&self) -> Instant {
        let phase_at = self.last_phase.map_or(self.created_at, |(.., at)| at);
        let later = [
            self.fenced_at,
            self.unordered.found_at(),
            self.witnesses.departed_at(),
            self.reinstatement.settles_at(),
        ];
        later.into_iter().flatten().fold(phase_at, Instant::max)
    }

    /// Processes one input and returns the actions to carry out.
    pub fn step(&mut self, now: Instant, input: Input<'_>) -> Vec<Output> {
        match input {
            Input::Probed { instance, requested_at, result } => {
                self.record_probe(now, instance, requested_at, result)
            }
            Input::Demoted { instance, status } => {
                self.switchover.record_demotion(&instance, status);
                self.record_probe(now, instance, now, Ok(status));
            }
            Input::DemotionRefused { instance } => self.switchover.record_refusal(now, &instance),
            Input::Reported { node, instance, health } => {
                self.reports.record(now, node, instance, health);
            }
            Input::Paused { instance, status } => {
                self.paused.insert(instance, status);
            }
            Input::Acknowledged { mark } => self.witnesses.record_acknowledged(mark),
            Input::Restarted { instance } => {
                self.paused.remove(&instance);
                self.probes.remove(&instance);
                self.witnesses.record_departure(now);
            }
            Input::PromotionDeclined { instance } => self.declined = Some(instance),
            Input::PromotionAccepted { instance } => {
                self.reinstatement.record_accepted(now, instance);
            }
            Input::Tick(view) => return self.tick(now, view),
        }
        Vec::new()
    }

    fn record_probe(
        &mut self,
        now: Instant,
        instance: id::Instance,
        requested_at: Instant,
        result: Result<Status, Health>,
    ) {
        if self.probes.get(&instance).is_none_or(|known| known.requested_at <= requested_at) {
            self.probes.insert(instance, ProbeResult { requested_at, recorded_at: now, result });
        }
    }

    fn tick(&mut self, now: Instant, view: View<'_>) -> Vec<Output> {
        self.reports.prune(view.live_proxies, view.known_instances);
        let Some(epoch) = view.epoch else {
            return self.bootstrap(now, view);
        };
        let since = self.record_phase(now, epoch);
        let mut outputs = self.watch_witnesses(now, epoch, view);
        outputs.extend(self.find_unordered(now, epoch, since, view));
        outputs.extend(match epoch.phase {
            // Each write that the epoch's primary acknowledges from now on is lost, so the damper doesn't apply.
            Phase::Active if self.unordered.is_found() => self.freeze(now, epoch),
            Phase::Active => self.tick_active(now, epoch, since, view),
            Phase::Frozen => self.tick_frozen(now, epoch, view),
        });
        outputs
    }

    /// Records a new term or phase, and returns since when it is known.
    fn record_phase(&mut self, now: Instant, epoch: &Epoch) -> Instant {
        match self.last_phase {
            Some((term, phase, at)) if (term, phase) == (epoch.term, epoch.phase) => at,
            last => {
                self.unordered.record_phase(last.is_none_or(|(term, ..)| term != epoch.term));
                self.last_phase = Some((epoch.term, epoch.phase, now));
                self.fenced_at = None;
                self.attempt = None;
                self.reinstatement = Reinstatement::default();
                self.thawed = epoch.phase == Phase::Active
                    && last.is_some_and(|(term, phase, _)| {
                        (term, phase) == (epoch.term, Phase::Frozen)
                    });
                if epoch.phase == Phase::Active {
                    self.switchover.finish(now, &epoch.primary);
                }
                now
            }
        }
    }

    /// Puts the first epoch in force, with the primary on the highest term, once all declared instances have
    /// answered. After [`BOOTSTRAP_WAIT`] a majority of them is enough.
    fn bootstrap(&mut self, now: Instant, view: View<'_>) -> Vec<Output> {
        let answered = self.recent_statuses(now).count();
        let waited =
            now.since(self.created_at) >= BOOTSTRAP_WAIT && answered > view.declared_instances / 2;
        if answered < view.declared_instances && !waited {
            return Vec::new();
        }
        let primaries =
            self.recent_statuses(now).filter(|(_, status)| status.role == Role::Primary);
        match primaries.max_by_key(|(_, status)| status.term) {
            Some((instance, status)) => {
                let action = self.promote_action(instance, status);
                self.order(now, Output::Submit(action))
            }
            None => Vec::new(),
        }
    }

    fn tick_active(
        &mut self,
        now: Instant,
        epoch: &Epoch,
        since: Instant,
        view: View<'_>,
    ) -> Vec<Output> {
        self.spent_claim = view.claim.map_or(epoch.term, |claim| claim.term);
        let verdict = match self.has_left(epoch, view) {
            true => Verdict::Crashed,
            false => self.verdict(now, &epoch.primary),
        };
        let contradicts = !self.switchover.is_running() && self.contradicts(now, epoch, since);
        let failed = verdict != Verdict::Usable || contradicts;
        if failed && self.damper.allows(now, verdict) {
            self.damper.record(now, epoch.term);
            return self.freeze(now, epoch);
        }
        let mut outputs = self.switch_over(now, epoch, view);
        outputs.extend(self.rejoin(now, epoch));
        // A promotion ends the pauses of replicas by itself; an epoch that was thawed does not. A replica may have carried
        // out a pause that was not answered, or that an earlier leader ordered.
        let mut paused: Replicas = std::mem::take(&mut self.paused).into_keys().collect();
        if std::mem::take(&mut self.thawed) && self.promoted_outside {
            let known = view.known_instances.iter().filter(|known| **known != epoch.primary);
            let unanswered: Replicas =
                known.filter(|known| !paused.contains(known)).cloned().collect();
            paused.extend(unanswered);
        }
        outputs.extend(paused.into_iter().map(|instance| Output::Resume { instance }));
        outputs.extend(self.resume_paused(now, epoch, since));
        outputs
    }

    fn verdict(&self, now: Instant, instance: &id::Instance) -> Verdict {
        let own =
            self.probes.get(instance).filter(|probe| now.since(probe.recorded_at) < PROBE_VALIDITY);
        let own = own.map(|probe| (probe.recorded_at, probe.result.as_ref().err().copied()));
        let own = own.map(|(at, health)| (at, health.unwrap_or(Health::Fine)));
        self.reports.verdict(now, instance, own)
    }

    /// Returns whether the primary in force was deregistered, or another instance has registered at its address: the registry
    /// removes no such primary for its silence alone. Nobody reports on it any more.
    fn has_left(&self, epoch: &Epoch, view: View<'_>) -> bool {
        self.promoted_outside
            && !view.known_instances.is_empty()
            && !view.known_instances.contains(&epoch.primary)
    }

    /// Returns whether the primary's own status shows that it is not the primary of the epoch's term: it was restarted
    /// as a replica, demoted by a switchover that was not completed, or restored from an older copy.
    fn contradicts(&self, now: Instant, epoch: &Epoch, since: Instant) -> bool {
        let probe = self.probes.get(&epoch.primary);
        let probe = probe.filter(|probe| {
            probe.requested_at > since && now.since(probe.recorded_at) < PROBE_VALIDITY
        });
        let Some(Ok(status)) = probe.map(|probe| &probe.result) else {
            return false;
        };
        status.role != Role::Primary || status.term != epoch.term
    }

    fn freeze(&mut self, now: Instant, epoch: &Epoch) -> Vec<Output> {
        let action = Action::Freeze { group: self.group.clone(), term: epoch.term };
        self.order(now, Output::Submit(action))
    }

    /// Orders every instance that is on another term, or reports itself as the primary, to follow the epoch's primary.
    fn rejoin(&mut self, now: Instant, epoch: &Epoch) -> Vec<Output> {
        let diverging = self.recent_statuses(now).filter(|(instance, status)| {
            **instance != epoch.primary
                && (status.term != epoch.term || status.role == Role::Primary)
        });
        let diverging: Vec<id::Instance> =
            diverging.map(|(instance, _)| instance.clone()).collect();
        let mut outputs = Vec::new();
        for instance in diverging {
            let primary = epoch.primary.clone();
            let follow = Output::Follow { instance, primary, term: epoch.term };
            outputs.extend(self.order(now, follow));
        }
        outputs
    }

    /// Orders replicas to receive again that show a pause: an order to do so may have been refused or lost, and a primary whose
    /// replicas don't receive acknowledges nothing.
    fn resume_paused(&mut self, now: Instant, epoch: &Epoch, since: Instant) -> Vec<Output> {
        let paused = self
            .statuses_since(now, since)
            .filter(|(instance, status)| **instance != epoch.primary && status.paused.is_some());
        let paused: Replicas = paused.map(|(instance, _)| instance.clone()).collect();
        let resume = |instance| self.order(now, Output::Resume { instance });
        paused.into_iter().flat_map(resume).collect()
    }

    fn promote_action(&self, instance: &id::Instance, status: &Status) -> Action {
        Action::Promote {
            group: self.group.clone(),
            term: status.term,
            primary: instance.clone(),
            start: status.start,
        }
    }

    fn recent_statuses(&self, now: Instant) -> impl Iterator<Item = (&id::Instance, &Status)> {
        self.probes.iter().filter_map(move |(instance, probe)| match &probe.result {
            Ok(status) if now.since(probe.recorded_at) < PROBE_VALIDITY => Some((instance, status)),
            _ => None,
        })
    }

    /// Returns an order, or nothing if the same order was given within [`ORDER_REPEAT`].
    fn order(&mut self, now: Instant, output: Output) -> Vec<Output> {
        self.order_every(now, output, ORDER_REPEAT)
    }

    /// Returns an order, or nothing if the same order was given within `repeat`.
    fn order_every(&mut self, now: Instant, output: Output, repeat: Duration) -> Vec<Output> {
        let expired = |at: Instant, earlier: &Output| {
            now.since(at) >= if *earlier == output { repeat } else { OUTSIDE_ORDER_REPEAT }
        };
        self.recent_orders.retain(|(at, earlier)| !expired(*at, earlier));
        if self.recent_orders.iter().any(|(_, earlier)| *earlier == output) {
            return Vec::new();
        }
        self.recent_orders.push((now, output.clone()));
        vec![output]
    }
}
