//! Chooses the instance to promote: one that provably holds every acknowledged write. The proof needs the statuses of
//! enough instances. See `docs/DESIGN.md`, "Failover".

use std::collections::BTreeSet;

use smallvec::SmallVec;

use crate::config::Durability;
use crate::id;
use crate::upstream::status::Status;
use crate::wire::{Epoch, Role};

/// The replicas of a group.
pub(super) type Replicas = SmallVec<[id::Instance; 4]>;

/// A status of an instance that was requested after the fence held.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reading<'a> {
    pub(super) instance: &'a id::Instance,
    pub(super) status: &'a Status,
    /// Whether proxies can use the instance.
    pub(super) usable: bool,
}

/// The readings and settings that the choice depends on.
#[derive(Debug)]
pub(super) struct Candidates<'a> {
    pub(super) epoch: &'a Epoch,
    pub(super) readings: Vec<Reading<'a>>,
    /// The number of instances that the group is declared to have.
    pub(super) declared_instances: usize,
    /// The number of instances that control knows of, which may exceed the declared number.
    pub(super) known_instances: usize,
    pub(super) durability: Durability,
    pub(super) draining: &'a BTreeSet<id::Instance>,
    /// Whether an outside service promotes instances.
    pub(super) promoted_outside: bool,
    /// Whether an outside service was asked to promote another instance than the epoch's primary.
    pub(super) is_reserved: bool,
    /// Whether control has waited long enough for instances that have not answered yet.
    pub(super) waited: bool,
    /// The position up to which proxies may have acknowledged writes, as far as they reported it.
    pub(super) acknowledged: Option<id::Position>,
    /// Whether an instance has left that may have received writes which no other replica holds.
    pub(super) has_departure: bool,
    /// Whether instances that may hold acknowledged writes may still answer, after an unordered promotion.
    pub(super) misses_answers: bool,
}

/// How much of the epoch's history an instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Progress {
    /// The position up to which the instance holds the epoch's history.
    pub(super) position: id::Position,
    term: id::Term,
    /// Whether the instance holds other data beyond that position.
    pub(super) diverged: bool,
}

impl<'a> Candidates<'a> {
    /// Returns the instance to promote, or `None` if the readings don't prove that any instance holds all
    /// acknowledged writes.
    pub(super) fn choose(&self) -> Option<Reading<'a>> {
        let proven = self.by_quorum().filter(|chosen| !self.may_lack_writes(chosen));
        let proven = proven.or_else(|| self.by_primary_position());
        let fallback = || {
            if self.waited { self.old_primary().or_else(|| self.at_risk()) } else { None }
        };
        proven.or_else(fallback)
    }

    /// Returns the instance that holds most of what was read, if all instances have been read but the writes that proxies
    /// saw acknowledged, or that an instance took along when it left, may not be there.
    pub(super) fn choose_incomplete(&self) -> Option<Reading<'a>> {
        self.by_quorum()
    }

    /// Returns whether an instance may lack acknowledged writes although no other one that was read holds more.
    fn may_lack_writes(&self, chosen: &Reading<'_>) -> bool {
        match self.acknowledged {
            Some(acknowledged) => self.progress(chosen).position < acknowledged,
            None => self.has_departure,
        }
    }

    fn others(&self) -> impl Iterator<Item = &Reading<'a>> {
        self.readings.iter().filter(|reading| *reading.instance != self.epoch.primary)
    }

    /// Returns the epoch's primary if it still holds every write that it acknowledged: on its own term, or as a replica of
    /// an instance that had a term reserved. That one held all of these writes, so following it has taken back none.
    fn primary(&self) -> Option<&Reading<'a>> {
        let primary = self.readings.iter().find(|r| *r.instance == self.epoch.primary)?;
        let Status { role, term, .. } = *primary.status;
        let follows = self.is_reserved && role == Role::Replica && term > self.epoch.term;
        (term == self.epoch.term || follows).then_some(primary)
    }

    /// Chooses among the instances other than the primary. Every acknowledged write is held by a majority that
    /// includes the primary. If the number of missing instances is less than that majority without the primary,
    /// at least one of the instances that answered holds the write.
    fn by_quorum(&self) -> Option<Reading<'a>> {
        let majority = self.declared_instances / 2 + 1;
        if self.durability == Durability::Majority
            && self.others().count() + majority <= self.declared_instances.max(self.known_instances)
        {
            return None;
        }
        if self.durability == Durability::Primary && !self.all_answered() {
            return None;
        }
        let highest = self.others().map(|reading| self.progress(reading).position).max()?;
        self.best_at(highest)
    }

    fn all_answered(&self) -> bool {
        self.others().count() + 1 >= self.declared_instances.max(self.known_instances)
    }

    /// Chooses an instance that has reached the primary's own position, beyond which no write can have been
    /// acknowledged.
    fn by_primary_position(&self) -> Option<Reading<'a>> {
        let primary = self.primary()?;
        self.best_at(primary.status.received)
    }

    /// Chooses the same primary again, for a new term: it holds every write that it acknowledged.
    fn old_primary(&self) -> Option<Reading<'a>> {
        self.primary().filter(|primary| primary.usable).copied()
    }

    /// Chooses the instance that holds most of the history, for a group with `durability = "primary"`, which
    /// accepts the loss of acknowledged writes.
    fn at_risk(&self) -> Option<Reading<'a>> {
        if self.durability == Durability::Majority {
            return None;
        }
        let highest = self.others().map(|reading| self.progress(reading).position).max()?;
        self.best_at(highest)
    }

    /// Returns the replicas of a primary that returned under another id, or none if there is no such primary. Only one
    /// of them can be given a new term, once it holds what the returned primary holds.
    pub(super) fn behind_returned_primary(&self) -> Replicas {
        if !self.others().any(|reading| self.is_returned_primary(reading)) {
            return Replicas::new();
        }
        let replicas = self.others().filter(|reading| reading.status.role == Role::Replica);
        replicas.map(|reading| reading.instance.clone()).collect()
    }

    /// Returns whether an instance is the epoch's primary under another id. An outside service changes nothing when it is
    /// asked to promote such an instance.
    fn is_returned_primary(&self, reading: &Reading<'_>) -> bool {
        let Status { role, term, .. } = *reading.status;
        self.promoted_outside && role == Role::Primary && term == self.epoch.term
    }

    /// Returns the best instance other than the primary that holds the history up to `position`. If an outside service
    /// promotes and no better instance has answered in time, it may hold other data beyond that, since the service rolls back
    /// only replicas, and nobody was told that this data is not kept.
    fn best_at(&self, position: id::Position) -> Option<Reading<'a>> {
        let accepts_diverged = self.promoted_outside && self.waited;
        let eligible = self.others().filter(|reading| {
            let progress = self.progress(reading);
            reading.usable
                && (accepts_diverged || !progress.diverged)
                && progress.position >= position
                && !self.is_returned_primary(reading)
        });
        let rank = |reading: &&Reading<'a>| {
            let progress = self.progress(reading);
            let stays = !self.draining.contains(reading.instance);
            (!progress.diverged, stays, progress.position, progress.term)
        };
        eligible.max_by_key(rank).copied()
    }

    /// Returns how much of the epoch's history an instance holds. A replica adopts a term before it has received
    /// the history up to that term's start, so its term alone doesn't show what it holds.
    pub(super) fn progress(&self, reading: &Reading<'_>) -> Progress {
        let Status { term, received, start, .. } = *reading.status;
        let mut end = received;
        if term < self.epoch.term {
            let later = self.epoch.forks.iter().filter(|(fork, _)| *fork > term);
            end = later.map(|(_, start)| *start).min().unwrap_or_default().min(received);
        } else if term > self.epoch.term {
            end = received.min(start);
        }
        let own = term > self.epoch.term && reading.status.role == Role::Primary;
        Progress { position: end, term, diverged: end < received && !own }
    }
}
