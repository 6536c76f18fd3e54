//! Which change of the voters comes next. The leader asks this with every tick; one change is in the log at a
//! time.
//!
//! A process whose disk was lost comes back with a new incarnation. It learns, its old incarnation is removed
//! once the new one holds every committed entry, and then it is admitted. So no majority ever counts an old disk
//! and a new one of the same process, and losing any other voter after the repair loses nothing.

use std::collections::{BTreeMap, VecDeque};

use super::raft::{Peer, Raft};
use super::state::{Membership, Voter};
use crate::clock::Instant;
use crate::id;

/// What the leader has heard of the other processes.
#[derive(Debug, Default)]
pub struct Heard {
    /// The newest life of each process.
    pub lives: BTreeMap<id::Node, Peer>,
    /// Those with a blank disk.
    pub blank: BTreeMap<id::Node, id::Incarnation>,
}

/// Returns the next change, or none when there is nothing to do or something has to be waited for.
pub fn next(
    now: Instant,
    raft: &Raft,
    wanted: &VecDeque<Membership>,
    heard: &Heard,
) -> Option<Membership> {
    let ready = || admission(now, raft);
    let lost = || returned(now, raft, heard);
    let ordered = || wanted.iter().find_map(|change| ordered(raft, change, heard));
    ready().or_else(lost).or_else(ordered).or_else(|| started(raft, heard))
}

/// Admits a learner that holds every committed entry; its old incarnation goes first.
fn admission(now: Instant, raft: &Raft) -> Option<Membership> {
    let members = raft.members();
    let learner = members.learners.values().find(|learner| raft.caught_up(now, learner))?;
    let node = &learner.node;
    if members.voters.contains_key(node) {
        return Some(Membership::Remove(node.clone()));
    }
    Some(Membership::Admit(node.clone()))
}

/// Takes a voter back that lost its disk, when its old incarnation is not heard any more.
fn returned(now: Instant, raft: &Raft, heard: &Heard) -> Option<Membership> {
    let members = raft.members();
    let known = |voter: &Voter| members.learners.get(&voter.node).unwrap_or(voter).incarnation;
    let newer = members.voters.values().find_map(|voter| {
        let incarnation = *heard.blank.get(&voter.node)?;
        let gone = !raft.hears(now, &voter.node);
        (incarnation > known(voter) && gone).then(|| Voter { incarnation, ..voter.clone() })
    });
    newer.map(Membership::Learn)
}

/// Carries out what an operator confirmed.
fn ordered(raft: &Raft, change: &Membership, heard: &Heard) -> Option<Membership> {
    match change {
        Membership::Learn(voter) => {
            let incarnation = *heard.blank.get(&voter.node)?;
            let members = raft.members();
            if members.votes(&voter.node, incarnation) {
                // It was admitted before this was confirmed; the entry only finishes the order.
                return Some(Membership::Admit(voter.node.clone()));
            }
            let known = members.knows(&voter.node, incarnation);
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
        let known = members.start(&peer.node, peer.incarnation);
        let outdated = members.newer(peer).is_some();
        peer.start.count > known.count && !outdated && members.knows(&peer.node, peer.incarnation)
    };
    let Peer { node, incarnation, start } = heard.lives.values().find(newer)?.clone();
    Some(Membership::Started { node, incarnation, start })
}
