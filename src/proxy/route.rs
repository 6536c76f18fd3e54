//! Which instance serves a read.

use std::time::Duration;

use super::floor::{Mark, Reach};
use super::trail::Trail;
use crate::clock::Instant;
use crate::id;
use crate::upstream::position::Status;
use crate::wire::{Epoch, Health, Replica};

/// How long a read waits for a replica that is about to reach its floor before the primary serves it.
pub const WAIT: Duration = Duration::from_millis(25);

/// What a proxy knows of one instance.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The instance.
    pub replica: Replica,
    /// Its last status and when it was asked for.
    pub status: Option<(Instant, Status)>,
    /// What is wrong with it.
    pub trouble: Health,
    /// Whether it is leaving.
    pub draining: bool,
    /// How many of this proxy's requests to it run or wait.
    pub busy: u32,
}

/// What a read asks of the instance that serves it.
#[derive(Debug, Clone, Default)]
pub struct Need {
    /// What it must have reached.
    pub mark: Mark,
    /// How long the read has waited for a replica.
    pub waited: Duration,
    /// The instance that served the session's last read, as long as it is not known up to where that saw: another
    /// one may show less.
    pub stay: Option<id::Instance>,
    /// The instances that failed this read already.
    pub failed: Vec<id::Instance>,
}

/// Where a read may go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// To this instance.
    Instance(id::Instance),
    /// To none yet: a replica is about to reach the floor.
    Wait,
    /// Nowhere: no replica has reached the floor, and the primary can't be used.
    Nowhere,
    /// The floor names a write that was lost.
    Lost,
}

/// Chooses the instance for a read: a replica that has reached its floor, the least busy, where one in another
/// domain counts as one request busier; a replica that is about to reach the floor; else the primary.
pub fn read(
    now: Instant,
    candidates: &[Candidate],
    epoch: &Epoch,
    need: &Need,
    trail: &Trail,
    domain: &id::Domain,
) -> Choice {
    if need.mark.is_lost(epoch) {
        return Choice::Lost;
    }
    let usable = |candidate: &&Candidate| {
        is_usable(candidate, epoch) && !need.failed.contains(&candidate.replica.instance)
    };
    let replicas = || candidates.iter().filter(usable);
    if let Some(stay) = &need.stay {
        let same = replicas().find(|candidate| candidate.replica.instance == *stay);
        if same.is_some_and(|candidate| has_reached(candidate, epoch, need.mark)) {
            return Choice::Instance(stay.clone());
        }
        return if need.waited < WAIT { Choice::Wait } else { primary(candidates, epoch, need) };
    }
    let reached = replicas().filter(|candidate| has_reached(candidate, epoch, need.mark));
    let cost = |candidate: &&Candidate| {
        let far = candidate.replica.domain != *domain;
        (candidate.busy + u32::from(far), far)
    };
    if let Some(best) = reached.min_by_key(cost) {
        return Choice::Instance(best.replica.instance.clone());
    }
    let soon = |candidate: &Candidate| {
        let (_, status) = candidate.status?;
        trail.lag(now, Mark { term: status.term, position: status.position })
    };
    let is_soon = |candidate| soon(candidate).is_some_and(|lag| lag < WAIT);
    if need.waited < WAIT && replicas().any(is_soon) {
        return Choice::Wait;
    }
    primary(candidates, epoch, need)
}

/// Chooses the primary, when it can be used.
fn primary(candidates: &[Candidate], epoch: &Epoch, need: &Need) -> Choice {
    let is_primary = |candidate: &&Candidate| candidate.replica.instance == epoch.primary;
    match candidates.iter().find(is_primary) {
        Some(primary)
            if primary.trouble == Health::Fine
                && need.mark.term <= epoch.term
                && !need.failed.contains(&epoch.primary) =>
        {
            Choice::Instance(epoch.primary.clone())
        }
        _ => Choice::Nowhere,
    }
}

/// Tells whether a replica may serve at all: one on another term than the epoch may hold what was never
/// acknowledged.
fn is_usable(candidate: &Candidate, epoch: &Epoch) -> bool {
    let on_term = candidate.status.is_some_and(|(_, status)| status.term == epoch.term);
    candidate.replica.instance != epoch.primary
        && candidate.trouble == Health::Fine
        && !candidate.draining
        && on_term
}

fn has_reached(candidate: &Candidate, epoch: &Epoch, mark: Mark) -> bool {
    candidate.status.is_some_and(|(_, status)| {
        let at = Mark { term: status.term, position: status.position };
        mark.reach(at, epoch) == Reach::Reached
    })
}
