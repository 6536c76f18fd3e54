//! Which instance may become primary: one that holds every acknowledged write, which takes readings of enough
//! instances to know. See `docs/DESIGN.md`, "Failover".

use std::collections::BTreeSet;

use crate::config::Durability;
use crate::id;
use crate::upstream::status::Status;
use crate::wire::{Epoch, Role};

/// A reading of an instance that was asked for after the fence held.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reading<'a> {
    pub(super) instance: &'a id::Instance,
    pub(super) status: &'a Status,
    /// Whether proxies can use the instance.
    pub(super) usable: bool,
}

/// What a choice is made from.
#[derive(Debug)]
pub(super) struct Ballot<'a> {
    pub(super) epoch: &'a Epoch,
    pub(super) readings: Vec<Reading<'a>>,
    /// How many instances the group is declared to have.
    pub(super) declared: usize,
    /// How many are known, which may be more.
    pub(super) known: usize,
    pub(super) durability: Durability,
    pub(super) draining: &'a BTreeSet<id::Instance>,
    /// Whether instances that have not answered yet were waited for.
    pub(super) waited: bool,
}

/// Where an instance stands on the history of the epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// Up to where it holds that history.
    position: id::Position,
    term: id::Term,
    /// Whether it holds something else beyond.
    diverged: bool,
}

impl<'a> Ballot<'a> {
    /// Returns the instance to promote, or `None` when the readings don't show that it holds all that was
    /// acknowledged.
    pub(super) fn choose(&self) -> Option<Reading<'a>> {
        let enough = self.by_quorum().or_else(|| self.by_primary());
        let fallback = || if self.waited { self.again().or_else(|| self.at_risk()) } else { None };
        enough.or_else(fallback)
    }

    fn others(&self) -> impl Iterator<Item = &Reading<'a>> {
        self.readings.iter().filter(|reading| *reading.instance != self.epoch.primary)
    }

    fn primary(&self) -> Option<&Reading<'a>> {
        let primary = self.readings.iter().find(|r| *r.instance == self.epoch.primary)?;
        (primary.status.term == self.epoch.term).then_some(primary)
    }

    /// Every acknowledged write is held by a majority, the primary included. So among so many others that
    /// fewer than the rest of a majority are missing, one holds it.
    fn by_quorum(&self) -> Option<Reading<'a>> {
        let majority = self.declared / 2 + 1;
        if self.durability == Durability::Majority
            && self.others().count() + majority <= self.declared.max(self.known)
        {
            return None;
        }
        if self.durability == Durability::Primary && !self.all_answered() {
            return None;
        }
        let most = self.others().map(|reading| self.place(reading).position).max()?;
        self.best(most)
    }

    fn all_answered(&self) -> bool {
        self.others().count() + 1 >= self.declared.max(self.known)
    }

    /// The primary itself says up to where anything can have been acknowledged.
    fn by_primary(&self) -> Option<Reading<'a>> {
        let primary = self.primary()?;
        self.best(primary.status.received)
    }

    /// The same primary, under a new term: it holds all that it acknowledged.
    fn again(&self) -> Option<Reading<'a>> {
        self.primary().filter(|primary| primary.usable).copied()
    }

    /// With `durability = "primary"` the group accepts that a write may be lost; the one that holds most.
    fn at_risk(&self) -> Option<Reading<'a>> {
        if self.durability == Durability::Majority {
            return None;
        }
        let most = self.others().map(|reading| self.place(reading).position).max()?;
        self.best(most)
    }

    /// Returns the best instance other than the primary that holds the history up to `position`.
    fn best(&self, position: id::Position) -> Option<Reading<'a>> {
        let able = self.others().filter(|reading| {
            let place = self.place(reading);
            reading.usable && !place.diverged && place.position >= position
        });
        let rank = |reading: &&Reading<'a>| {
            let place = self.place(reading);
            (!self.draining.contains(reading.instance), place.position, place.term)
        };
        able.max_by_key(rank).copied()
    }

    /// Places an instance on the epoch's history. An instance takes a term over before it has received up to
    /// where that term began, so the term alone says nothing.
    fn place(&self, reading: &Reading<'_>) -> Place {
        let Status { term, received, start, .. } = *reading.status;
        let mut end = received;
        if term < self.epoch.term {
            let later = self.epoch.forks.iter().filter(|(fork, _)| *fork > term);
            end = later.map(|(_, start)| *start).min().unwrap_or_default().min(received);
        } else if term > self.epoch.term {
            end = received.min(start);
        }
        let own = term > self.epoch.term && reading.status.role == Role::Primary;
        Place { position: end, term, diverged: end < received && !own }
    }
}
