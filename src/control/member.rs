//! Which change of the voters comes next. The leader asks this with every tick; one change is in the log at a
//! time.
//!
//! A process whose disk was lost comes back with a new incarnation. It learns, its old incarnation is removed
//! once the new one holds every committed entry, and then it is admitted. So no majority ever counts an old disk
//! and a new one of the same process, and losing any other voter after the repair loses nothing.
//!
//! Where the voters are not named by the settings, the leader fills a number of [`Peers::target_voters`] by itself: whoever
//! is met learns, and takes the seat of a voter that has been silent for [`REPLACEMENT_DELAY`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::raft::{Peer, Raft};
use super::state::{Membership, Voter};
use crate::clock::Instant;
use crate::id;

/// How long a voter may be silent until a process that holds the whole log takes its seat. An outage that is shorter
/// would cost two changes of the voters for nothing; a longer wait leaves the log without its spare voter.
pub const REPLACEMENT_DELAY: Duration = Duration::from_millis(2_000);

/// How long a learner may be silent until another process may learn in its place.
pub const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long ago a process may have been met to be asked to learn.
const GREETING_VALIDITY: Duration = Duration::from_secs(2);

/// How many processes may learn at once; each costs the leader the whole log.
const MAX_LEARNERS: usize = 3;

/// What the leader has heard of the other processes.
#[derive(Debug, Default)]
pub struct Peers {
    /// The newest life of each process.
    pub newest_runs: BTreeMap<id::Node, Peer>,
    /// Those with a blank disk.
    pub blank: BTreeMap<id::Node, id::Incarnation>,
    /// Those that were met and may be no members, and when.
    pub greetings: BTreeMap<id::Node, (Instant, Voter)>,
    /// How many voters there should be, where the leader decides who votes.
    pub target_voters: Option<usize>,
}

/// Returns the next change, or none when there is nothing to do or something has to be waited for.
pub fn next_change(
    now: Instant,
    raft: &Raft,
    wanted: &VecDeque<Membership>,
    peers: &Peers,
) -> Option<Membership> {
    let ready = || match peers.target_voters {
        Some(target) => fill_voters(now, raft, target),
        None => admit_learner(now, raft),
    };
    let lost = || add_returned_learner(now, raft, peers);
    let joins = || peers.target_voters.and_then(|_| add_new_learner(now, raft, peers));
    let requested = || wanted.iter().find_map(|change| requested_change(raft, change, peers));
    let changed = ready().or_else(lost).or_else(joins).or_else(requested);
    changed.or_else(|| register_start(raft, peers))
}

/// Admits a learner that holds every committed entry; its old incarnation goes first.
fn admit_learner(now: Instant, raft: &Raft) -> Option<Membership> {
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
fn fill_voters(now: Instant, raft: &Raft, target: usize) -> Option<Membership> {
    let members = raft.members();
    let able = |learner: &&Voter| raft.is_caught_up(now, learner);
    let mut able = members.learners.values().filter(able).peekable();
    let first = able.peek()?.node.clone();
    if let Some(repaired) = able.find(|learner| members.voters.contains_key(&learner.node)) {
        return Some(Membership::Remove(repaired.node.clone()));
    }
    if members.voters.len() < target {
        return Some(Membership::Admit(first));
    }
    let silent = |voter: &&Voter| raft.time_since_response(now, &voter.node) >= REPLACEMENT_DELAY;
    let gone = members.voters.values().filter(silent);
    let longest = gone.max_by_key(|voter| raft.time_since_response(now, &voter.node))?;
    Some(Membership::Remove(longest.node.clone()))
}

/// Takes a voter back that lost its disk, when its old incarnation is not heard any more.
fn add_returned_learner(now: Instant, raft: &Raft, peers: &Peers) -> Option<Membership> {
    let members = raft.members();
    let known = |voter: &Voter| members.learners.get(&voter.node).unwrap_or(voter).incarnation;
    let newer = members.voters.values().find_map(|voter| {
        let incarnation = *peers.blank.get(&voter.node)?;
        let gone = !raft.is_reachable(now, &voter.node);
        let met = peers.greetings.get(&voter.node).map_or(voter, |(_, met)| met);
        (incarnation > known(voter) && gone).then(|| Voter { incarnation, ..met.clone() })
    });
    newer.map(Membership::Learn)
}

/// Has a process learn that was met and is no member, and forgets a learner that is gone.
fn add_new_learner(now: Instant, raft: &Raft, peers: &Peers) -> Option<Membership> {
    let members = raft.members();
    let recent = |at: Instant| now.since(at) < GREETING_VALIDITY;
    let new = |voter: &Voter| {
        let voter_before = members.voters.contains_key(&voter.node);
        !voter_before && !members.is_member(&voter.node, voter.incarnation)
    };
    let met = peers.greetings.values().find(|(at, voter)| recent(*at) && new(voter));
    let silent = |learner: &&Voter| raft.time_since_response(now, &learner.node) >= LEARNER_TIMEOUT;
    let pure = members.learners.values().filter(|l| !members.voters.contains_key(&l.node));
    if let Some(gone) = pure.into_iter().find(silent) {
        return Some(Membership::Remove(gone.node.clone()));
    }
    let (_, voter) = met?;
    (members.learners.len() < MAX_LEARNERS).then(|| Membership::Learn(voter.clone()))
}

/// Carries out what an operator confirmed.
fn requested_change(raft: &Raft, change: &Membership, peers: &Peers) -> Option<Membership> {
    match change {
        Membership::Learn(voter) => {
            let incarnation = *peers.blank.get(&voter.node)?;
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
fn register_start(raft: &Raft, peers: &Peers) -> Option<Membership> {
    let members = raft.members();
    let newer = |peer: &&Peer| {
        let known = members.registered_start(&peer.node, peer.incarnation);
        let outdated = members.superseding(peer).is_some();
        peer.start.count > known.count
            && !outdated
            && members.is_member(&peer.node, peer.incarnation)
    };
    let Peer { node, incarnation, start } = peers.newest_runs.values().find(newer)?.clone();
    Some(Membership::Started { node, incarnation, start })
}
