//! Which instance serves a request.

use super::floor::{Mark, Reach};
use crate::clock::Instant;
use crate::id;
use crate::upstream::position::Status;
use crate::wire::{Epoch, Replica, Trouble};

/// What a proxy knows of one instance.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The instance.
    pub replica: Replica,
    /// Its last status and when it was asked for.
    pub status: Option<(Instant, Status)>,
    /// What is wrong with it.
    pub trouble: Trouble,
    /// Whether it is leaving.
    pub draining: bool,
    /// How many of this proxy's connections to it are busy.
    pub busy: u32,
}

/// Where a read may go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// To this instance.
    Instance(id::Instance),
    /// Nowhere yet: no replica has reached the floor, and the primary can't be used.
    Nowhere,
    /// The floor names a write that was lost.
    Lost,
}

/// Chooses the instance for a read with the floor `mark`: a replica that has reached it, own domain first, then
/// the least busy; else the primary.
pub fn read(
    candidates: &[Candidate],
    epoch: &Epoch,
    mark: Option<Mark>,
    domain: &id::Domain,
) -> Choice {
    let mark = mark.unwrap_or_default();
    let mut best: Option<(&Candidate, (bool, u32))> = None;
    for candidate in candidates.iter().filter(|candidate| usable(candidate, epoch)) {
        match reach(candidate, epoch, mark) {
            Reach::Lost => return Choice::Lost,
            Reach::Behind => continue,
            Reach::Reached => {}
        }
        let cost = (candidate.replica.domain != *domain, candidate.busy);
        if best.as_ref().is_none_or(|(_, least)| cost < *least) {
            best = Some((candidate, cost));
        }
    }
    if let Some((candidate, _)) = best {
        return Choice::Instance(candidate.replica.instance.clone());
    }
    let primary = candidates.iter().find(|candidate| candidate.replica.instance == epoch.primary);
    match primary {
        Some(primary) if primary.trouble == Trouble::Fine && mark.term <= epoch.term => {
            Choice::Instance(epoch.primary.clone())
        }
        _ => Choice::Nowhere,
    }
}

fn usable(candidate: &Candidate, epoch: &Epoch) -> bool {
    candidate.replica.instance != epoch.primary
        && candidate.trouble == Trouble::Fine
        && !candidate.draining
}

fn reach(candidate: &Candidate, epoch: &Epoch, mark: Mark) -> Reach {
    match &candidate.status {
        Some((_, status)) => {
            mark.reach(Mark { term: status.term, position: status.position }, epoch)
        }
        None => Reach::Behind,
    }
}
