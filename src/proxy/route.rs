//! Chooses the instance that serves a read.

use std::time::Duration;

use super::floor::{Mark, Reach};
use super::position_history::PositionHistory;
use crate::clock::Instant;
use crate::id;
use crate::upstream::status::Status;
use crate::wire::{Epoch, Health, Replica};

/// How long a read waits for a replica that will soon reach its floor, before the read goes to the primary.
pub const REPLICA_WAIT: Duration = Duration::from_millis(25);

/// The state of one instance as the proxy knows it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The instance.
    pub replica: Replica,
    /// The last status of the instance and when it was requested.
    pub status: Option<(Instant, Status)>,
    /// The health of the instance.
    pub health: Health,
    /// Whether the instance is being drained.
    pub draining: bool,
    /// How many requests of this proxy run or wait at the instance.
    pub busy: u32,
}

/// The requirements of a read on the instance that serves it.
#[derive(Debug, Clone, Default)]
pub struct Need {
    /// The position that the instance must have reached.
    pub mark: Mark,
    /// How long the read has waited for a replica.
    pub waited: Duration,
    /// The instance that served the last read of the session, until a position that covers that read is known. Until
    /// then, another instance may return older data.
    pub pinned: Option<id::Instance>,
    /// The instances that already failed to serve this read.
    pub failed: Vec<id::Instance>,
}

/// The routing decision for a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the read to this instance.
    Instance(id::Instance),
    /// Wait, since a replica will soon reach the floor.
    Wait,
    /// No replica has reached the floor, and the primary can't be used.
    Unavailable,
    /// The floor stands for a write that was lost in a promotion.
    Lost,
}

/// Chooses the instance for a read: the least busy replica that has reached the floor, where a replica in another
/// failure domain counts as one request busier. If there is none, the read waits for a replica that will soon reach the
/// floor, or else goes to the primary.
pub fn choose(
    now: Instant,
    candidates: &[Candidate],
    epoch: &Epoch,
    need: &Need,
    history: &PositionHistory,
    domain: &id::Domain,
) -> Choice {
    if need.mark.is_lost(epoch) {
        return Choice::Lost;
    }
    let usable = |candidate: &&Candidate| {
        is_usable(candidate, epoch) && !need.failed.contains(&candidate.replica.instance)
    };
    let replicas = || candidates.iter().filter(usable);
    if let Some(pinned) = &need.pinned {
        let same = replicas().find(|candidate| candidate.replica.instance == *pinned);
        if same.is_some_and(|candidate| has_reached(candidate, epoch, need.mark)) {
            return Choice::Instance(pinned.clone());
        }
        return if need.waited < REPLICA_WAIT {
            Choice::Wait
        } else {
            primary(candidates, epoch, need)
        };
    }
    let reached = replicas().filter(|candidate| has_reached(candidate, epoch, need.mark));
    let cost = |candidate: &&Candidate| {
        let in_other_domain = candidate.replica.domain != *domain;
        (candidate.busy + u32::from(in_other_domain), in_other_domain)
    };
    if let Some(best) = reached.min_by_key(cost) {
        return Choice::Instance(best.replica.instance.clone());
    }
    let estimate_lag = |candidate: &Candidate| {
        let (_, status) = candidate.status?;
        history.lag(now, Mark { term: status.term, position: status.position })
    };
    let will_catch_up = |candidate| estimate_lag(candidate).is_some_and(|lag| lag < REPLICA_WAIT);
    if need.waited < REPLICA_WAIT && replicas().any(will_catch_up) {
        return Choice::Wait;
    }
    primary(candidates, epoch, need)
}

/// Chooses the primary if it can be used.
fn primary(candidates: &[Candidate], epoch: &Epoch, need: &Need) -> Choice {
    let is_primary = |candidate: &&Candidate| candidate.replica.instance == epoch.primary;
    match candidates.iter().find(is_primary) {
        Some(primary)
            if primary.health == Health::Fine
                && need.mark.term <= epoch.term
                && !need.failed.contains(&epoch.primary) =>
        {
            Choice::Instance(epoch.primary.clone())
        }
        _ => Choice::Unavailable,
    }
}

/// Returns whether a replica may serve reads. A replica on another term than the epoch may hold writes that were never
/// acknowledged.
fn is_usable(candidate: &Candidate, epoch: &Epoch) -> bool {
    let on_term = candidate.status.is_some_and(|(_, status)| status.term == epoch.term);
    candidate.replica.instance != epoch.primary
        && candidate.health == Health::Fine
        && !candidate.draining
        && on_term
}

fn has_reached(candidate: &Candidate, epoch: &Epoch, mark: Mark) -> bool {
    candidate.status.is_some_and(|(_, status)| {
        let at = Mark { term: status.term, position: status.position };
        mark.reach(at, epoch) == Reach::Reached
    })
}
