//! Selects the next membership change. The leader does this on every tick; only one change is in progress at a time.
//!
//! A process that lost its disk returns with a new incarnation. It becomes a learner; once it holds every committed entry,
//! its old incarnation is removed, and then it is admitted as a voter. So no majority ever counts both the old and the
//! new disk of a process, and after the repair the loss of any other voter loses nothing.
//!
//! If the settings don't name the voters, the leader keeps [`Peers::target_voters`] voters by itself: a process that
//! greets it becomes a learner, and replaces a voter that has been silent for [`REPLACEMENT_DELAY`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::raft::{Peer, Raft};
use super::state::{Membership, Voter};
use crate::clock::Instant;
use crate::id;

/// How long a voter may be silent before a learner that holds the whole log replaces it. A shorter delay would cost two
/// needless membership changes on a short outage; a longer one leaves the log without its spare voter for longer.
pub const REPLACEMENT_DELAY: Duration = Duration::from_millis(2_000);

/// How long a learner may be silent before it is removed, so that another process can become a learner.
pub const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);

/// How recent the greeting of a process must be for it to become a learner.
const GREETING_VALIDITY: Duration = Duration::from_secs(2);

/// The maximum number of learners. The leader sends each of them the whole log.
const MAX_LEARNERS: usize = 3;

/// What the leader knows of the other processes from their messages.
#[derive(Debug, Default)]
pub struct Peers {
    /// The newest run of each process.
    pub newest_runs: BTreeMap<id::Node, Peer>,
    /// The processes with a blank disk.
    pub blank: BTreeMap<id::Node, id::Incarnation>,
    /// The processes that sent a greeting, with the time of the latest one. They may not be members.
    pub greetings: BTreeMap<id::Node, (Instant, Voter)>,
    /// How many voters there should be; set if the leader chooses the voters.
    pub target_voters: Option<usize>,
}

/// Returns the next change, or `None` if there is nothing to do yet.
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
    let returned = || add_returned_learner(now, raft, peers);
    let joining = || peers.target_voters.and_then(|_| add_new_learner(now, raft, peers));
    let requested = || wanted.iter().find_map(|change| requested_change(raft, change, peers));
    let change = ready().or_else(returned).or_else(joining).or_else(requested);
    change.or_else(|| register_start(raft, peers))
}

/// Admits a learner that holds every committed entry, after the removal of its old incarnation.
fn admit_learner(now: Instant, raft: &Raft) -> Option<Membership> {
    let members = raft.members();
    let learner = members.learners.values().find(|learner| raft.is_caught_up(now, learner))?;
    let node = &learner.node;
    if members.voters.contains_key(node) {
        return Some(Membership::Remove(node.clone()));
    }
    Some(Membership::Admit(node.clone()))
}

/// Makes a learner that holds every committed entry a voter: removes its old incarnation if that is still a voter, admits
/// it if voters are missing, and otherwise removes the voter that has been silent the longest to make room.
fn fill_voters(now: Instant, raft: &Raft, target: usize) -> Option<Membership> {
    let members = raft.members();
    let is_caught_up = |learner: &&Voter| raft.is_caught_up(now, learner);
    let mut caught_up = members.learners.values().filter(is_caught_up).peekable();
    let first = caught_up.peek()?.node.clone();
    if let Some(repaired) = caught_up.find(|learner| members.voters.contains_key(&learner.node)) {
        return Some(Membership::Remove(repaired.node.clone()));
    }
    if members.voters.len() < target {
        return Some(Membership::Admit(first));
    }
    let is_silent =
        |voter: &&Voter| raft.time_since_response(now, &voter.node) >= REPLACEMENT_DELAY;
    let gone = members.voters.values().filter(is_silent);
    let longest = gone.max_by_key(|voter| raft.time_since_response(now, &voter.node))?;
    Some(Membership::Remove(longest.node.clone()))
}

/// Makes a voter that lost its disk a learner, once its old incarnation is no longer reachable.
fn add_returned_learner(now: Instant, raft: &Raft, peers: &Peers) -> Option<Membership> {
    let members = raft.members();
    let known_incarnation =
        |voter: &Voter| members.learners.get(&voter.node).unwrap_or(voter).incarnation;
    let newer = members.voters.values().find_map(|voter| {
        let incarnation = *peers.blank.get(&voter.node)?;
        let gone = !raft.is_reachable(now, &voter.node);
        let greeted = peers.greetings.get(&voter.node).map_or(voter, |(_, greeted)| greeted);
        (incarnation > known_incarnation(voter) && gone)
            .then(|| Voter { incarnation, ..greeted.clone() })
    });
    newer.map(Membership::Learn)
}

/// Makes a process that sent a greeting and is not a member a learner, and removes learners that are gone.
fn add_new_learner(now: Instant, raft: &Raft, peers: &Peers) -> Option<Membership> {
    let members = raft.members();
    let is_recent = |at: Instant| now.since(at) < GREETING_VALIDITY;
    let is_new = |voter: &Voter| {
        let is_voter = members.voters.contains_key(&voter.node);
        !is_voter && !members.is_member(&voter.node, voter.incarnation)
    };
    let greeted = peers.greetings.values().find(|(at, voter)| is_recent(*at) && is_new(voter));
    let is_silent =
        |learner: &&Voter| raft.time_since_response(now, &learner.node) >= LEARNER_TIMEOUT;
    let new_learners = members.learners.values().filter(|l| !members.voters.contains_key(&l.node));
    if let Some(gone) = new_learners.into_iter().find(is_silent) {
        return Some(Membership::Remove(gone.node.clone()));
    }
    let (_, voter) = greeted?;
    (members.learners.len() < MAX_LEARNERS).then(|| Membership::Learn(voter.clone()))
}

/// Returns the next step of a membership change that an operator confirmed.
fn requested_change(raft: &Raft, change: &Membership, peers: &Peers) -> Option<Membership> {
    match change {
        Membership::Learn(voter) => {
            let incarnation = *peers.blank.get(&voter.node)?;
            let members = raft.members();
            if members.is_voter(&voter.node, incarnation) {
                // It was admitted before the confirmation; this entry only completes the confirmed change.
                return Some(Membership::Admit(voter.node.clone()));
            }
            let known = members.is_member(&voter.node, incarnation);
            (!known).then(|| Membership::Learn(Voter { incarnation, ..voter.clone() }))
        }
        Membership::Remove(_) => Some(change.clone()),
        Membership::Admit(_) | Membership::Started { .. } => None,
    }
}

/// Registers a restart of a process, so that an older copy of its disk is recognised.
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
