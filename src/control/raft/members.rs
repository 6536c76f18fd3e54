//! Cluster membership. Log entries change it by one voter at a time; a change takes effect as soon as its entry is
//! appended, before it is committed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Entry, Peer, Start};
use crate::control::state::{Action, Membership, Voter};
use crate::id;

/// The control processes that are members of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Members {
    /// The members with a vote.
    pub voters: BTreeMap<id::Node, Voter>,
    /// The members that receive the log but have no vote yet.
    pub learners: BTreeMap<id::Node, Voter>,
    /// The newest registered start of each process.
    pub starts: BTreeMap<id::Node, (id::Incarnation, Start)>,
}

impl Members {
    /// Returns whether there are no members, as on a blank disk.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty() && self.learners.is_empty()
    }

    /// Returns the addresses of all members.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.voters.values().chain(self.learners.values()).map(|voter| voter.address).collect()
    }

    /// Returns the address of a member. A voter that was given a new disk is also a learner, whose address is the
    /// current one.
    pub fn address(&self, node: &id::Node) -> Option<SocketAddr> {
        let member = self.learners.get(node).or_else(|| self.voters.get(node));
        member.map(|member| member.address)
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the process with this disk is a voter.
    pub fn is_voter(&self, node: &id::Node, incarnation: id::Incarnation) -> bool {
        self.voters.get(node).is_some_and(|voter| voter.incarnation == incarnation)
    }

    /// Returns whether the process with this disk is a voter or learner.
    pub fn is_member(&self, node: &id::Node, incarnation: id::Incarnation) -> bool {
        let learner = self.learners.get(node);
        self.is_voter(node, incarnation) || learner.is_some_and(|v| v.incarnation == incarnation)
    }

    /// Returns the newest known run of a process if it supersedes `peer`, which then runs on a copy of an old disk.
    pub fn superseding(&self, peer: &Peer) -> Option<Peer> {
        let learner = self.learners.get(&peer.node);
        let newest = self.voters.get(&peer.node).into_iter().chain(learner);
        let incarnation = newest.map(|voter| voter.incarnation).max()?;
        let start = self.registered_start(&peer.node, incarnation);
        let known = Peer { node: peer.node.clone(), incarnation, start };
        peer.is_outdated_by(&known).then_some(known)
    }

    /// Returns the newest registered start of a process with this disk.
    pub fn registered_start(&self, node: &id::Node, incarnation: id::Incarnation) -> Start {
        let registered = self.starts.get(node).filter(|(known, _)| *known == incarnation);
        registered.map(|(_, start)| *start).unwrap_or_default()
    }

    /// Returns the members that the log is sent to, without `me`. A voter with a new disk appears only as a learner.
    pub fn replication_targets<'a>(&'a self, me: &'a id::Node) -> impl Iterator<Item = &'a Voter> {
        let has_new_disk = |node: &id::Node| self.learners.contains_key(node);
        let voters = self.voters.values().filter(move |voter| !has_new_disk(&voter.node));
        voters.chain(self.learners.values()).filter(move |voter| voter.node != *me)
    }

    /// Applies the membership change of an entry, if it has one.
    pub fn apply(&mut self, entry: &Entry) {
        if let Action::Member(change) = &entry.command.action {
            self.apply_change(change);
        }
    }

    fn apply_change(&mut self, change: &Membership) {
        match change {
            Membership::Learn(voter) => {
                self.learners.insert(voter.node.clone(), voter.clone());
            }
            Membership::Admit(node) => {
                if let Some(voter) = self.learners.remove(node) {
                    self.voters.insert(node.clone(), voter);
                }
            }
            Membership::Remove(node)
                if self.voters.len() == 1 && self.voters.contains_key(node) => {}
            Membership::Remove(node) => {
                if self.voters.remove(node).is_none() {
                    self.learners.remove(node);
                }
            }
            Membership::Started { node, incarnation, start } => {
                self.starts.insert(node.clone(), (*incarnation, *start));
            }
        }
    }
}
