//! When a group gets a new primary, and which one. One machine for each group.
//!
//! The order is: freeze the epoch in the log; wait until no proxy can release an answer under it; read the
//! positions of enough instances; reserve a term for the one that holds most; promote it; put the new epoch in
//! force. A drained primary is first asked to stop writes. See `docs/DESIGN.md`, "Failover" and "Drain".

mod candidate;
mod damper;
mod evidence;
mod handover;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use self::candidate::{Ballot, Reading};
pub use self::damper::{DAMP, DAMP_LIMIT, QUIET};
use self::damper::{Damper, doubled};
pub use self::evidence::FAULTY;
use self::evidence::{Evidence, Standing};
use self::handover::Handover;
pub use self::handover::{HANDOVER, LINGER, PAUSE};
use super::state::{Action, Claim};
use crate::clock::Instant;
use crate::config::Durability;
use crate::id;
use crate::upstream::position::Status;
use crate::wire::{Epoch, Health, Phase, Role};

/// How long an answer of an instance counts.
pub const FRESH: Duration = Duration::from_millis(2_000);

/// How long the first primary of a group is looked for among fewer instances than are declared.
const BOOTSTRAP: Duration = Duration::from_secs(3);

/// How long an order is given before it is given again.
pub const REPEAT: Duration = Duration::from_millis(500);

/// How long instances that don't answer are waited for, before the replaced primary itself is taken again or,
/// with `durability = "primary"`, fewer readings have to do.
pub const SETTLE: Duration = Duration::from_millis(300);

/// How long one instance is given to take its term before the choice is made anew; it doubles each time.
pub const ATTEMPT: Duration = Duration::from_secs(1);

/// How long an instance is given that an outside service promotes: the service may be slow, and an order that it
/// carries out after another instance was chosen would replace that one.
pub const OUTSIDE_ATTEMPT: Duration = Duration::from_secs(4);

/// How long until an outside service is asked again.
pub const OUTSIDE_REPEAT: Duration = Duration::from_millis(1_500);

/// The longest such time.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(16);

/// What the machine is told.
#[derive(Debug, Clone)]
pub enum Input<'a> {
    /// Control's own probe of an instance.
    Probed {
        /// The instance.
        instance: id::Instance,
        /// When it was asked; what it answers may be older than the answer's arrival, but not than this.
        asked: Instant,
        /// Its answer, or what was wrong.
        seen: Result<Status, Health>,
    },
    /// The primary answered that it has stopped writes; the status is its last.
    Demoted {
        /// The instance.
        instance: id::Instance,
        /// Its final status.
        status: Status,
    },
    /// The primary refused to stop writes, and goes on.
    Refused {
        /// The instance.
        instance: id::Instance,
    },
    /// What a proxy with a lease sees of an instance.
    Reported {
        /// The proxy.
        node: id::Node,
        /// The instance.
        instance: id::Instance,
        /// What it sees.
        trouble: Health,
    },
    /// The instance has stopped receiving; it holds no more than the status says.
    Paused {
        /// The instance.
        instance: id::Instance,
        /// Its status.
        status: Status,
    },
    /// The outside service says that the instance doesn't run, so that it was not promoted.
    Declined {
        /// The instance.
        instance: id::Instance,
    },
    /// Time passed.
    Tick(View<'a>),
}

/// What the machine decides by, besides what instances and proxies say.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The group's epoch in force.
    pub epoch: Option<&'a Epoch>,
    /// The newest term that was reserved.
    pub claim: Option<&'a Claim>,
    /// Whether no proxy can release an answer under a table older than the epoch's phase.
    pub fenced: bool,
    /// How many instances the group is declared to have.
    pub instances: usize,
    /// The instances that announce themselves.
    pub known: &'a [id::Instance],
    /// When a write is acknowledged.
    pub durability: Durability,
    /// The proxies whose lease has not run out.
    pub live: &'a BTreeSet<id::Node>,
    /// The instances that are leaving.
    pub draining: &'a BTreeSet<id::Instance>,
}

/// What the machine orders.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Put this into the log.
    Submit(Action),
    /// Ask this instance for its status now.
    Probe {
        /// The instance.
        instance: id::Instance,
    },
    /// Make this instance primary of the term, then report what it says.
    Promote {
        /// The instance.
        instance: id::Instance,
        /// The term.
        term: id::Term,
    },
    /// Have this replica stop receiving, then report what it holds.
    Pause {
        /// The instance.
        instance: id::Instance,
        /// A term above all that were given.
        term: id::Term,
    },
    /// Have this replica receive again.
    Resume {
        /// The instance.
        instance: id::Instance,
    },
    /// Make this primary stop writes, then report what it says.
    Demote {
        /// The instance.
        instance: id::Instance,
        /// The term that it is the primary of.
        term: id::Term,
    },
    /// Make this instance follow the primary.
    Follow {
        /// The instance.
        instance: id::Instance,
        /// The primary.
        primary: id::Instance,
        /// The primary's term.
        term: id::Term,
    },
}

/// One group's machine.
#[derive(Debug)]
pub struct Group {
    group: id::Group,
    since: Instant,
    probes: BTreeMap<id::Instance, Probe>,
    evidence: Evidence,
    ordered: Vec<(Instant, Output)>,
    /// The term and phase that were last seen, and since when.
    seen: Option<(id::Term, Phase, Instant)>,
    /// Since when the fence of the frozen term has held.
    fenced: Option<Instant>,
    /// The reserved term that is being tried, since when, and how many were before it.
    attempt: Option<(id::Term, Instant, u32)>,
    damper: Damper,
    handover: Handover,
    /// Whether an outside service promotes, which chooses the term and takes its time.
    outside: bool,
    /// The instance that the outside service did not promote, since it doesn't run.
    declined: Option<id::Instance>,
    /// What the replicas hold that have stopped receiving, since the epoch was frozen.
    paused: BTreeMap<id::Instance, Status>,
}

#[derive(Debug)]
struct Probe {
    asked: Instant,
    at: Instant,
    seen: Result<Status, Health>,
}

impl Group {
    /// Starts to watch a group.
    pub fn new(now: Instant, group: id::Group) -> Self {
        Self {
            group,
            since: now,
            probes: BTreeMap::new(),
            evidence: Evidence::default(),
            ordered: Vec::new(),
            seen: None,
            fenced: None,
            attempt: None,
            damper: Damper::default(),
            handover: Handover::default(),
            outside: false,
            declined: None,
            paused: BTreeMap::new(),
        }
    }

    /// Sets whether an outside service promotes.
    pub fn promoted_outside(&mut self, outside: bool) {
        self.outside = outside;
    }

    /// Takes one input and returns what is to be done.
    pub fn step(&mut self, now: Instant, input: Input<'_>) -> Vec<Output> {
        match input {
            Input::Probed { instance, asked, seen } => self.probed(now, instance, asked, seen),
            Input::Demoted { instance, status } => {
                self.handover.demoted(&instance, status);
                self.probed(now, instance, now, Ok(status));
            }
            Input::Refused { instance } => self.handover.refused(now, &instance),
            Input::Reported { node, instance, trouble } => {
                self.evidence.report(now, node, instance, trouble);
            }
            Input::Paused { instance, status } => {
                self.paused.insert(instance, status);
            }
            Input::Declined { instance } => self.declined = Some(instance),
            Input::Tick(view) => return self.tick(now, view),
        }
        Vec::new()
    }

    fn probed(
        &mut self,
        now: Instant,
        instance: id::Instance,
        asked: Instant,
        seen: Result<Status, Health>,
    ) {
        if self.probes.get(&instance).is_none_or(|known| known.asked <= asked) {
            self.probes.insert(instance, Probe { asked, at: now, seen });
        }
    }

    fn tick(&mut self, now: Instant, view: View<'_>) -> Vec<Output> {
        self.evidence.prune(view.live, view.known);
        let Some(epoch) = view.epoch else {
            return self.first(now, view);
        };
        let seen = self.notice(now, epoch);
        match epoch.phase {
            Phase::Active => self.active(now, epoch, seen, view),
            Phase::Frozen => self.frozen(now, epoch, view),
        }
    }

    /// Notes a new term or phase, and returns since when it is known.
    fn notice(&mut self, now: Instant, epoch: &Epoch) -> Instant {
        match self.seen {
            Some((term, phase, at)) if (term, phase) == (epoch.term, epoch.phase) => at,
            _ => {
                self.seen = Some((epoch.term, epoch.phase, now));
                self.fenced = None;
                self.attempt = None;
                if epoch.phase == Phase::Active {
                    self.handover.ended(now, &epoch.primary);
                }
                now
            }
        }
    }

    /// Puts the first epoch in force: the primary on the highest term, once all instances were asked.
    fn first(&mut self, now: Instant, view: View<'_>) -> Vec<Output> {
        let answered = self.fresh(now).count();
        let waited = now.since(self.since) >= BOOTSTRAP && answered > view.instances / 2;
        if answered < view.instances && !waited {
            return Vec::new();
        }
        let primaries = self.fresh(now).filter(|(_, status)| status.role == Role::Primary);
        match primaries.max_by_key(|(_, status)| status.term) {
            Some((instance, status)) => {
                let action = self.promotion(instance, status);
                self.once(now, Output::Submit(action))
            }
            None => Vec::new(),
        }
    }

    fn active(
        &mut self,
        now: Instant,
        epoch: &Epoch,
        since: Instant,
        view: View<'_>,
    ) -> Vec<Output> {
        let standing = self.standing(now, &epoch.primary);
        let unfit = !self.handover.is_under_way() && self.is_unfit(now, epoch, since);
        let lost = standing != Standing::Usable || unfit;
        if lost && self.damper.allows(now, standing) {
            self.damper.note(now, epoch.term);
            return self.freeze(now, epoch);
        }
        let mut outputs = self.hand_over(now, epoch, view);
        outputs.extend(self.rejoin(now, epoch));
        // A promotion has ended the pauses, but an epoch that goes on has not.
        let paused = std::mem::take(&mut self.paused).into_keys();
        outputs.extend(paused.map(|instance| Output::Resume { instance }));
        outputs
    }

    fn standing(&self, now: Instant, instance: &id::Instance) -> Standing {
        let own = self.probes.get(instance).filter(|probe| now.since(probe.at) < FRESH);
        let own = own.map(|probe| (probe.at, probe.seen.as_ref().err().copied()));
        let own = own.map(|(at, trouble)| (at, trouble.unwrap_or(Health::Fine)));
        self.evidence.standing(now, instance, own)
    }

    /// Tells whether the instance itself says that it is not the primary of the term: it was started anew
    /// as a replica, demoted by a hand-over that nobody ended, or set back to an older copy.
    fn is_unfit(&self, now: Instant, epoch: &Epoch, since: Instant) -> bool {
        let probe = self.probes.get(&epoch.primary);
        let probe = probe.filter(|probe| probe.asked > since && now.since(probe.at) < FRESH);
        let Some(Ok(status)) = probe.map(|probe| &probe.seen) else {
            return false;
        };
        status.role != Role::Primary || status.term != epoch.term
    }

    fn freeze(&mut self, now: Instant, epoch: &Epoch) -> Vec<Output> {
        let action = Action::Freeze { group: self.group.clone(), term: epoch.term };
        self.once(now, Output::Submit(action))
    }

    fn frozen(&mut self, now: Instant, epoch: &Epoch, view: View<'_>) -> Vec<Output> {
        let Some(fenced) = self.fenced else {
            if !view.fenced {
                return if self.outside { self.hurry(now, epoch, view) } else { Vec::new() };
            }
            self.fenced = Some(now);
            let known = view.known.iter().cloned();
            return known.map(|instance| Output::Probe { instance }).collect();
        };
        match view.claim.filter(|claim| claim.term > epoch.term) {
            Some(claim) if !self.is_over(now, claim) => self.take_over(now, epoch, claim),
            claim => self.choose(now, epoch, claim, fenced, view),
        }
    }

    /// Tells whether the instance that has the term reserved was given long enough to take it.
    fn is_over(&mut self, now: Instant, claim: &Claim) -> bool {
        let term = claim.term;
        let patience = if self.outside { OUTSIDE_ATTEMPT } else { ATTEMPT };
        let count = match self.attempt {
            Some((known, since, count)) if known == term => {
                let declined = self.declined.as_ref() == Some(&claim.primary);
                return declined || now.since(since) >= doubled(patience, count, ATTEMPT_LIMIT);
            }
            Some((_, _, count)) => count + 1,
            None => 0,
        };
        self.attempt = Some((term, now, count));
        self.declined = None;
        false
    }

    /// Does what need not wait for the fence where an outside service promotes. A commit is acknowledged only once
    /// a replica has received it, so nothing more can be once every replica has stopped receiving; what they hold then
    /// is final. The epoch of the promoted instance waits for the fence, since reads and answers under the old one do.
    fn hurry(&mut self, now: Instant, epoch: &Epoch, view: View<'_>) -> Vec<Output> {
        if let Some(claim) = view.claim.filter(|claim| claim.term > epoch.term) {
            let led = self.promoted(now, epoch, claim).is_some();
            let wait = led || self.is_over(now, claim);
            return if wait { Vec::new() } else { self.promote(now, claim) };
        }
        let term = epoch.term.next();
        let others = view.known.iter().filter(|instance| **instance != epoch.primary);
        let missing = others.filter(|instance| !self.paused.contains_key(*instance));
        let missing: Vec<id::Instance> = missing.cloned().collect();
        if !missing.is_empty() {
            let pause = |instance| self.once(now, Output::Pause { instance, term });
            return missing.into_iter().flat_map(pause).collect();
        }
        let ballot = self.ballot(now, epoch, view, self.paused.iter(), false);
        let Some(chosen) = ballot.choose().filter(|chosen| *chosen.instance != epoch.primary)
        else {
            return Vec::new();
        };
        let primary = chosen.instance.clone();
        let action = Action::Claim { group: self.group.clone(), term, primary };
        self.once(now, Output::Submit(action))
    }

    /// Orders the instance that has the term reserved to take it.
    fn promote(&mut self, now: Instant, claim: &Claim) -> Vec<Output> {
        let promote = Output::Promote { instance: claim.primary.clone(), term: claim.term };
        let repeat = if self.outside { OUTSIDE_REPEAT } else { REPEAT };
        self.once_in(now, promote, repeat)
    }

    /// Returns what the instance says that has the term reserved, once it says that it is primary. Promoted by an
    /// outside service it takes the next term, whichever was reserved.
    fn promoted(&self, now: Instant, epoch: &Epoch, claim: &Claim) -> Option<&Status> {
        let (_, status) = self.fresh(now).find(|(instance, _)| **instance == claim.primary)?;
        let term = if self.outside { status.term > epoch.term } else { status.term == claim.term };
        (status.role == Role::Primary && term).then_some(status)
    }

    /// Puts the epoch in force of the instance that has the term reserved, or orders it to take the term. It may have
    /// been promoted by an earlier leader.
    fn take_over(&mut self, now: Instant, epoch: &Epoch, claim: &Claim) -> Vec<Output> {
        let outside = self.outside;
        let Some(status) = self.promoted(now, epoch, claim) else {
            return self.promote(now, claim);
        };
        let action = match self.promotion(&claim.primary, status) {
            Action::Promote { group, term, primary, start } if outside => {
                Action::Adopt { group, term, primary, start }
            }
            action => action,
        };
        self.once(now, Output::Submit(action))
    }

    /// Reserves a new term for the instance that holds every acknowledged write.
    fn choose(
        &mut self,
        now: Instant,
        epoch: &Epoch,
        claim: Option<&Claim>,
        fenced: Instant,
        view: View<'_>,
    ) -> Vec<Output> {
        let after_fence = self.probes.iter().filter_map(|(instance, probe)| {
            let status = probe.seen.as_ref().ok()?;
            let counts = probe.asked >= fenced && now.since(probe.at) < FRESH;
            counts.then_some((instance, status))
        });
        let waited = now.since(fenced) >= SETTLE;
        let ballot = self.ballot(now, epoch, view, after_fence, waited);
        let Some(chosen) = ballot.choose() else {
            return Vec::new();
        };
        if self.outside && *chosen.instance == epoch.primary {
            // An outside service does not promote an instance that leads, so the epoch goes on as it was.
            let action = Action::Thaw { group: self.group.clone(), term: epoch.term };
            return self.once(now, Output::Submit(action));
        }
        let newest = claim.map_or(epoch.term, |claim| claim.term);
        let term = newest.max(epoch.term).max(chosen.status.term).next();
        let primary = chosen.instance.clone();
        let action = Action::Claim { group: self.group.clone(), term, primary };
        self.once(now, Output::Submit(action))
    }

    /// Collects what a choice is made from; `waited` tells whether instances that are missing are still waited for.
    fn ballot<'a>(
        &self,
        now: Instant,
        epoch: &'a Epoch,
        view: View<'a>,
        statuses: impl Iterator<Item = (&'a id::Instance, &'a Status)>,
        waited: bool,
    ) -> Ballot<'a> {
        let reading = |(instance, status)| {
            let usable = self.standing(now, instance) == Standing::Usable;
            Reading { instance, status, usable }
        };
        Ballot {
            epoch,
            readings: statuses.map(reading).collect(),
            declared: view.instances,
            known: self.known(epoch, view),
            durability: view.durability,
            draining: view.draining,
            waited,
        }
    }

    /// Counts the instances of the group, the primary included even when it has gone.
    fn known(&self, epoch: &Epoch, view: View<'_>) -> usize {
        let gone = usize::from(!view.known.contains(&epoch.primary));
        view.known.len() + gone
    }

    /// Makes every instance that is not on the epoch's history follow its primary.
    fn rejoin(&mut self, now: Instant, epoch: &Epoch) -> Vec<Output> {
        let strays = self.fresh(now).filter(|(instance, status)| {
            **instance != epoch.primary
                && (status.term != epoch.term || status.role == Role::Primary)
        });
        let strays: Vec<id::Instance> = strays.map(|(instance, _)| instance.clone()).collect();
        let mut outputs = Vec::new();
        for instance in strays {
            let primary = epoch.primary.clone();
            let follow = Output::Follow { instance, primary, term: epoch.term };
            outputs.extend(self.once(now, follow));
        }
        outputs
    }

    fn promotion(&self, instance: &id::Instance, status: &Status) -> Action {
        Action::Promote {
            group: self.group.clone(),
            term: status.term,
            primary: instance.clone(),
            start: status.start,
        }
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = (&id::Instance, &Status)> {
        self.probes.iter().filter_map(move |(instance, probe)| match &probe.seen {
            Ok(status) if now.since(probe.at) < FRESH => Some((instance, status)),
            _ => None,
        })
    }

    /// Gives an order unless the same one was given a moment ago.
    fn once(&mut self, now: Instant, output: Output) -> Vec<Output> {
        self.once_in(now, output, REPEAT)
    }

    fn once_in(&mut self, now: Instant, output: Output, repeat: Duration) -> Vec<Output> {
        let over = |at: Instant, earlier: &Output| {
            now.since(at) >= if *earlier == output { repeat } else { OUTSIDE_REPEAT }
        };
        self.ordered.retain(|(at, earlier)| !over(*at, earlier));
        if self.ordered.iter().any(|(_, earlier)| *earlier == output) {
            return Vec::new();
        }
        self.ordered.push((now, output.clone()));
        vec![output]
    }
}
