//! When a group gets a new primary, and which one. One machine for each group.
//!
//! The order is: freeze the epoch in the log; wait until no proxy can release an answer under it; read the
//! positions of enough replicas; promote the one that holds most; put the new epoch in force. See
//! `docs/DESIGN.md`, "Failover".

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::state::Action;
use crate::clock::Instant;
use crate::id;
use crate::upstream::position::Status;
use crate::wire::{Epoch, Phase, Role, Trouble};

/// How long a report counts.
const FRESH: Duration = Duration::from_millis(1_000);

/// How long the first primary of a group is looked for before one is made.
const BOOTSTRAP: Duration = Duration::from_secs(3);

/// How long an order to an instance is given before it is given again.
const REPEAT: Duration = Duration::from_millis(500);

/// What the machine is told.
#[derive(Debug, Clone)]
pub enum Input<'a> {
    /// Control's own probe of an instance.
    Probed {
        /// The instance.
        instance: id::Instance,
        /// Its answer, or what was wrong.
        seen: Result<Status, Trouble>,
    },
    /// What a proxy with a lease sees of an instance.
    Reported {
        /// The proxy.
        node: id::Node,
        /// The instance.
        instance: id::Instance,
        /// What it sees.
        trouble: Trouble,
    },
    /// Time passed.
    Tick {
        /// The group's epoch in force.
        epoch: Option<&'a Epoch>,
        /// Whether no proxy can release an answer under an older table.
        fenced: bool,
        /// How many instances the group has.
        instances: usize,
    },
}

/// What the machine orders.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Put this into the log.
    Submit(Action),
    /// Make this instance primary of the term, then report what it says.
    Promote {
        /// The instance.
        instance: id::Instance,
        /// The term.
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
    reports: BTreeMap<(id::Instance, id::Node), (Instant, Trouble)>,
    ordered: Vec<(Instant, Output)>,
    watched: BTreeSet<id::Instance>,
}

#[derive(Debug)]
struct Probe {
    at: Instant,
    seen: Result<Status, Trouble>,
}

impl Group {
    /// Starts to watch a group.
    pub fn new(now: Instant, group: id::Group) -> Self {
        Self {
            group,
            since: now,
            probes: BTreeMap::new(),
            reports: BTreeMap::new(),
            ordered: Vec::new(),
            watched: BTreeSet::new(),
        }
    }

    /// Notes that an instance is probed from now on; returns whether it was not before.
    pub fn watch(&mut self, instance: &id::Instance) -> bool {
        self.watched.insert(instance.clone())
    }

    /// Takes one input and returns what is to be done.
    pub fn step(&mut self, now: Instant, input: Input<'_>) -> Vec<Output> {
        match input {
            Input::Probed { instance, seen } => {
                self.probes.insert(instance, Probe { at: now, seen });
                Vec::new()
            }
            Input::Reported { node, instance, trouble } => {
                self.reports.insert((instance, node), (now, trouble));
                Vec::new()
            }
            Input::Tick { epoch: None, instances, .. } => self.first(now, instances),
            Input::Tick { epoch: Some(epoch), fenced, instances } => match epoch.phase {
                Phase::Active if self.lost(now, &epoch.primary) => self.freeze(now, epoch),
                Phase::Active => self.rejoin(now, epoch),
                Phase::Frozen if fenced => self.replace(now, epoch, instances),
                Phase::Frozen => Vec::new(),
            },
        }
    }

    /// Puts the first epoch in force: the primary on the highest term, once all instances were asked.
    fn first(&mut self, now: Instant, instances: usize) -> Vec<Output> {
        let primaries = self.fresh(now).filter(|(_, status)| status.role == Role::Primary);
        let best = primaries.max_by_key(|(_, status)| status.term);
        let waited = now.since(self.since) >= BOOTSTRAP;
        if self.fresh(now).count() < instances && !waited {
            return Vec::new();
        }
        let Some((instance, status)) = best else {
            return Vec::new();
        };
        let action = self.promotion(instance, status);
        self.once(now, Output::Submit(action))
    }

    /// Tells whether the primary is lost: most of the proxies that report on it can't use it.
    fn lost(&self, now: Instant, primary: &id::Instance) -> bool {
        let reports = self.reports.iter().filter(|((instance, _), _)| instance == primary);
        let fresh = reports.filter(|(_, (at, _))| now.since(*at) < FRESH);
        let troubles: Vec<Trouble> = fresh.map(|(_, (_, trouble))| *trouble).collect();
        let bad = troubles.iter().filter(|trouble| **trouble != Trouble::Fine).count();
        if !troubles.is_empty() {
            return bad * 2 > troubles.len();
        }
        let own = self.probes.get(primary);
        own.is_some_and(|probe| matches!(probe.seen, Err(Trouble::Refused | Trouble::Silent)))
    }

    fn freeze(&mut self, now: Instant, epoch: &Epoch) -> Vec<Output> {
        let action = Action::Freeze { group: self.group.clone(), term: epoch.term };
        self.once(now, Output::Submit(action))
    }

    /// Promotes the replica that holds most, once enough were read that one of them holds every
    /// acknowledged write; then puts the epoch of the promoted one in force.
    fn replace(&mut self, now: Instant, epoch: &Epoch, instances: usize) -> Vec<Output> {
        let promoted = self
            .fresh(now)
            .find(|(_, status)| status.role == Role::Primary && status.term > epoch.term);
        if let Some((instance, status)) = promoted {
            let action = self.promotion(instance, status);
            return self.once(now, Output::Submit(action));
        }
        let replicas = || self.fresh(now).filter(|(instance, _)| **instance != epoch.primary);
        let majority = instances / 2 + 1;
        if replicas().count() < instances - majority + 1 {
            return Vec::new();
        }
        let Some((instance, _)) = replicas().max_by_key(|(_, s)| (s.term, s.received)) else {
            return Vec::new();
        };
        let promote = Output::Promote { instance: instance.clone(), term: epoch.term.next() };
        self.once(now, promote)
    }

    /// Makes every instance that is not on the epoch's history follow its primary.
    fn rejoin(&mut self, now: Instant, epoch: &Epoch) -> Vec<Output> {
        let strays = self.fresh(now).filter(|(instance, status)| {
            **instance != epoch.primary
                && (status.term < epoch.term || status.role == Role::Primary)
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
        self.ordered.retain(|(at, _)| now.since(*at) < REPEAT);
        if self.ordered.iter().any(|(_, earlier)| *earlier == output) {
            return Vec::new();
        }
        self.ordered.push((now, output.clone()));
        vec![output]
    }
}
