//! Which change of the voters comes next. The leader asks this with every tick; one change is in the log at a
//! time.
//!
//! A process whose disk was lost comes back with a new incarnation. It learns, its old incarnation is removed
//! once the new one holds every committed entry, and then it is admitted. So no majority ever counts an old disk
//! and a new one of the same process, and losing any other voter after the repair loses nothing.
//!
//! Where the voters are not named by the settings, the leader fills a number of [`Heard::seats`] by itself: whoever
//! is met learns, and takes the seat of a voter that has been silent for [`REPLACED`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::raft::{Peer, Raft};
use super::state::{Membership, Voter};
use crate::clock::Instant;
use crate::id;

/// How long a voter may be silent until a process that holds the whole log takes its seat. An outage that is shorter
/// would cost two changes of the voters for nothing; a longer wait leaves the log without its spare voter.
pub const REPLACED: Duration = Duration::from_millis(2_000);

/// How long a learner may be silent until another process may learn in its place.
pub const GIVEN_UP: Duration = Duration::from_secs(10);

/// How long ago a process may have been met to be asked to learn.
const MET: Duration = Duration::from_secs(2);

/// How many processes may learn at once; each costs the leader the whole log.
const MAX_LEARNERS: usize = 3;

/// What the leader has heard of the other processes.
#[derive(Debug, Default)]
pub struct Heard {
    /// The newest life of each process.
    pub lives: BTreeMap<id::Node, Peer>,
    /// Those with a blank disk.
    pub blank: BTreeMap<id::Node, id::Incarnation>,
    /// Those that were met and may be no members, and when.
    pub met: BTreeMap<id::Node, (Instant, Voter)>,
    /// How many voters there should be, where the leader decides who votes.
    pub seats: Option<usize>,
}

/// Returns the next change, or none when there is nothing to do or something has to be waited for.
pub fn next(
    now: Instant,
    raft: &Raft,
    wanted: &VecDeque<Membership>,
    heard: &Heard,
) -> Option<Membership> {
    let ready = || match heard.seats {
        Some(seats) => seated(now, raft, seats),
        None => admission(now, raft),
    };
    let lost = || returned(now, raft, heard);
    let joins = || heard.seats.and_then(|_| joined(now, raft, heard));
    let ordered = || wanted.iter().find_map(|change| ordered(raft, change, heard));
    let changed = ready().or_else(lost).or_else(joins).or_else(ordered);
    changed.or_else(|| started(raft, heard))
}

/// Admits a learner that holds every committed entry; its old incarnation goes first.
fn admission(now: Instant, raft: &Raft) -> Option<Membership> {
    let members = raft.members();
    let learner = members.learners.values().find(|learner| raft.is_caught_up(now, learner))?;
    let node = &learner.node;
    if members.voters.contains_key(node) {
        return Some(Membership::Remove(node.clone()));
    }
    Some(Membership::Admit(node.clone()))
}

/// Gives a free seat to a learner that holds every committed entry, and frees the seat of a voter that has its disk
/// lost or is gone.
fn seated(now: Instant, raft: &Raft, seats: usize) -> Option<Membership> {
    let members = raft.members();
    let able = |learner: &&Voter| raft.is_caught_up(now, learner);
    let mut able = members.learners.values().filter(able).peekable();
    let first = able.peek()?.node.clone();
    if let Some(repaired) = able.find(|learner| members.voters.contains_key(&learner.node)) {
        return Some(Membership::Remove(repaired.node.clone()));
    }
    if members.voters.len() < seats {
        return Some(Membership::Admit(first));
    }
    let silent = |voter: &&Voter| raft.time_since_response(now, &voter.node) >= REPLACED;
    let gone = members.voters.values().filter(silent);
    let longest = gone.max_by_key(|voter| raft.time_since_response(now, &voter.node))?;
    Some(Membership::Remove(longest.node.clone()))
}

/// Takes a voter back that lost its disk, when its old incarnation is not heard any more.
fn returned(now: Instant, raft: &Raft, heard: &Heard) -> Option<Membership> {
    let members = raft.members();
    let known = |voter: &Voter| members.learners.get(&voter.node).unwrap_or(voter).incarnation;
    let newer = members.voters.values().find_map(|voter| {
        let incarnation = *heard.blank.get(&voter.node)?;
        let gone = !raft.is_reachable(now, &voter.node);
        let met = heard.met.get(&voter.node).map_or(voter, |(_, met)| met);
        (incarnation > known(voter) && gone).then(|| Voter { incarnation, ..met.clone() })
    });
    newer.map(Membership::Learn)
}

/// Has a process learn that was met and is no member, and forgets a learner that is gone.
fn joined(now: Instant, raft: &Raft, heard: &Heard) -> Option<Membership> {
    let members = raft.members();
    let recent = |at: Instant| now.since(at) < MET;
    let new = |voter: &Voter| {
        let voter_before = members.voters.contains_key(&voter.node);
        !voter_before && !members.is_member(&voter.node, voter.incarnation)
    };
    let met = heard.met.values().find(|(at, voter)| recent(*at) && new(voter));
    let silent = |learner: &&Voter| raft.time_since_response(now, &learner.node) >= GIVEN_UP;
    let pure = members.learners.values().filter(|l| !members.voters.contains_key(&l.node));
    if let Some(gone) = pure.into_iter().find(silent) {
        return Some(Membership::Remove(gone.node.clone()));
    }
    let (_, voter) = met?;
    (members.learners.len() < MAX_LEARNERS).then(|| Membership::Learn(voter.clone()))
}

/// Carries out what an operator confirmed.
fn ordered(raft: &Raft, change: &Membership, heard: &Heard) -> Option<Membership> {
    match change {
        Membership::Learn(voter) => {
            let incarnation = *heard.blank.get(&voter.node)?;
            let members = raft.members();
            if members.is_voter(&voter.node, incarnation) {
                // It was admitted before this was confirmed; the entry only finishes the order.
                return Some(Membership::Admit(voter.node.clone()));
            }
            let known = members.is_member(&voter.node, incarnation);
            (!known).then(|| Membership::Learn(Voter { incarnation, ..voter.clone() }))
        }
        Membership::Remove(_) => Some(change.clone()),
        Membership::Admit(_) | Membership::Started { .. } => None,
    }
}

/// Registers that a process was started again, so that a copy of its disk from before is recognised.
fn started(raft: &Raft, heard: &Heard) -> Option<Membership> {
    let members = raft.members();
    let newer = |peer: &&Peer| {
        let known = members.registered_start(&peer.node, peer.incarnation);
        let outdated = members.superseding(peer).is_some();
        peer.start.count > known.count
            && !outdated
            && members.is_member(&peer.node, peer.incarnation)
    };
    let Peer { node, incarnation, start } = heard.lives.values().find(newer)?.clone();
    Some(Membership::Started { node, incarnation, start })
}
