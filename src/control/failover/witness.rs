//! What shows that an instance holds every acknowledged write, where an outside service promotes and a write is
//! acknowledged once any one replica has received it.
//!
//! The load pattern: instances leave, join and restart while a primary crashes. A replica that leaves takes along what it
//! alone had received besides the primary, one that restarts has lost it, and one that has just joined may receive before
//! control knows of it. Readings of all known instances prove nothing about that. Two things do: a replica that has
//! since reached a position of the primary, and the positions that proxies read from the primary, beyond which nothing
//! that they acknowledged can lie. This is a state machine without I/O; it remembers the names of the group's instances,
//! one departure and one position.

use std::time::Duration;

use super::candidate::Replicas;
use super::{Group, Output, View};
use crate::clock::Instant;
use crate::id;
use crate::proxy::floor::Mark;
use crate::upstream::status::Status;
use crate::wire::{Epoch, Phase, Role};

/// How long a choice waits for an instance that may hold acknowledged writes which the best one lacks, such as a crashed
/// primary that comes back with its log. After that, the best instance is chosen.
pub const MISSING_WRITES_WAIT: Duration = Duration::from_secs(12);

/// How long a choice waits if no instance has left. The writes that the best instance lacks were then acknowledged only if
/// an instance received them that control doesn't know yet; most likely they were on their way when the primary crashed.
pub const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

/// How long no instance must have joined for a choice before the fence holds. One that joins may receive before control
/// knows of it, and others may follow it.
pub const JOIN_WAIT: Duration = Duration::from_millis(2_500);

/// What is known of the instances that may have received acknowledged writes.
#[derive(Debug, Default)]
pub(super) struct Witnesses {
    /// The instances that were known at the last tick.
    known: Replicas,
    /// When the last one of them joined, or was found by this leader.
    joined_at: Instant,
    departure: Option<Departure>,
    /// The highest position that proxies read from a primary.
    acknowledged: Mark,
    /// The term of the epoch, and the position that was read from the instance that was chosen then.
    chosen: Option<(id::Term, id::Instance, id::Position)>,
    /// The term of the epoch in which a choice was reported as held back, and as made without the missing writes.
    reported: [Option<id::Term>; 2],
}

/// The last departure of an instance, until another replica is known to hold all that it held.
#[derive(Debug, Clone, Copy)]
struct Departure {
    at: Instant,
    /// A position of the primary of this term that was requested after the departure.
    target: Option<(id::Term, id::Position)>,
}

impl Witnesses {
    /// Records a position that a proxy read from a primary while the primary's epoch was in force.
    pub(super) fn record_acknowledged(&mut self, mark: Mark) {
        self.acknowledged = self.acknowledged.max(mark);
    }

    /// Records that an instance has left, or has restarted and lost what it held.
    pub(super) fn record_departure(&mut self, now: Instant) {
        self.departure = Some(Departure { at: now, target: None });
    }

    fn record_known(&mut self, now: Instant, epoch: &Epoch, instances: &[id::Instance]) {
        if self.known.as_slice() == instances {
            return;
        }
        let has_left = |known: &id::Instance| *known != epoch.primary && !instances.contains(known);
        let is_departure = self.known.iter().any(has_left);
        if instances.iter().any(|instance| !self.known.contains(instance)) {
            self.joined_at = now;
        }
        self.known = instances.iter().cloned().collect();
        if is_departure {
            self.record_departure(now);
        }
    }

    /// Takes account of a status. A departure no longer matters once a replica holds what the primary held after it.
    fn record_status(
        &mut self,
        epoch: &Epoch,
        instance: &id::Instance,
        requested_at: Instant,
        status: &Status,
    ) {
        let Some(departure) = &mut self.departure else { return };
        if requested_at <= departure.at || status.term != epoch.term {
            return;
        }
        let target = departure.target.filter(|(term, _)| *term == epoch.term);
        match (status.role, target) {
            (Role::Primary, None) if *instance == epoch.primary => {
                departure.target = Some((epoch.term, status.received));
            }
            (Role::Replica, Some((_, target))) if status.received >= target => {
                self.departure = None
            }
            _ => {}
        }
    }

    /// Returns whether no instance has joined for [`JOIN_WAIT`].
    pub(super) fn is_stable(&self, now: Instant) -> bool {
        now.since(self.joined_at) >= JOIN_WAIT
    }

    /// Returns whether an instance that left may have received acknowledged writes that no other replica holds.
    pub(super) fn has_departure(&self) -> bool {
        self.departure.is_some()
    }

    /// Returns when the last instance left whose departure still matters.
    pub(super) fn departed_at(&self) -> Option<Instant> {
        self.departure.map(|departure| departure.at)
    }

    /// Returns how long a choice waits for instances that may hold more than those that were read.
    pub(super) fn wait(&self) -> Duration {
        if self.has_departure() { MISSING_WRITES_WAIT } else { UNKNOWN_WAIT }
    }

    /// Records the position that was read from the instance for which a term is to be reserved.
    pub(super) fn record_choice(
        &mut self,
        epoch: &Epoch,
        instance: &id::Instance,
        held: id::Position,
    ) {
        self.chosen = Some((epoch.term, instance.clone(), held));
    }

    /// Returns the position that an instance which was chosen has to hold when it begins its term.
    pub(super) fn expected(&self, epoch: &Epoch, instance: &id::Instance) -> Option<id::Position> {
        match &self.chosen {
            Some((term, chosen, held)) if *term == epoch.term && chosen == instance => Some(*held),
            _ => self.acknowledged(epoch),
        }
    }

    /// Returns the highest position of the epoch's history that proxies read from a primary.
    pub(super) fn acknowledged(&self, epoch: &Epoch) -> Option<id::Position> {
        let mark = self.acknowledged;
        let is_known = mark != Mark::default() && mark.term <= epoch.term;
        is_known.then(|| mark.clamp_to_history(epoch).position)
    }
}

impl Group {
    /// Takes account of the known instances and their statuses, and asks for the statuses that would settle a departure.
    pub(super) fn watch_witnesses(
        &mut self,
        now: Instant,
        epoch: &Epoch,
        view: View<'_>,
    ) -> Vec<Output> {
        if !self.promoted_outside {
            return Vec::new();
        }
        self.witnesses.record_known(now, epoch, view.known_instances);
        let primary = self.probes.get_key_value(&epoch.primary).into_iter();
        let others = self.probes.iter().filter(|(instance, _)| {
            **instance != epoch.primary && view.known_instances.contains(instance)
        });
        for (instance, probe) in primary.chain(others) {
            if let Ok(status) = &probe.result {
                self.witnesses.record_status(epoch, instance, probe.requested_at, status);
            }
        }
        if !self.witnesses.has_departure() || epoch.phase != Phase::Active {
            return Vec::new();
        }
        let probe = |instance: &id::Instance| Output::Probe { instance: instance.clone() };
        let probes: Vec<Output> = view.known_instances.iter().map(probe).collect();
        probes.into_iter().flat_map(|probe| self.order(now, probe)).collect()
    }

    /// Reports, once in a term, that the instance to be chosen or put in force may lack acknowledged writes.
    pub(super) fn report_missing(
        &mut self,
        epoch: &Epoch,
        instance: &id::Instance,
        held: id::Position,
        is_accepted: bool,
    ) -> Vec<Output> {
        let reported = &mut self.witnesses.reported[usize::from(is_accepted)];
        if reported.replace(epoch.term) == Some(epoch.term) {
            return Vec::new();
        }
        vec![Output::ReportMissing {
            group: self.group.clone(),
            instance: instance.clone(),
            term: epoch.term,
            held,
            acknowledged: self.witnesses.acknowledged(epoch),
            is_accepted,
        }]
    }
}
