//! Who votes. Changed by entries of the log, one voter at a time, in force as soon as the entry is in the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Entry, Peer, Start};
use crate::control::state::{Action, Membership, Voter};
use crate::id;

/// The control processes that the log knows.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Members {
    /// Those whose votes count.
    pub voters: BTreeMap<id::Node, Voter>,
    /// Those that learn the log and don't vote yet.
    pub learners: BTreeMap<id::Node, Voter>,
    /// The newest start that is known of each.
    pub starts: BTreeMap<id::Node, (id::Incarnation, Start)>,
}

impl Members {
    /// Tells whether there is nobody, as on a blank disk.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty() && self.learners.is_empty()
    }

    /// Returns where everyone takes frames.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.voters.values().chain(self.learners.values()).map(|voter| voter.address).collect()
    }

    /// Returns where a member takes frames; a learner's new disk may be at another address than its old one was.
    pub fn address(&self, node: &id::Node) -> Option<SocketAddr> {
        let member = self.learners.get(node).or_else(|| self.voters.get(node));
        member.map(|member| member.address)
    }

    /// Returns how many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Tells whether this life of a process votes.
    pub fn is_voter(&self, node: &id::Node, incarnation: id::Incarnation) -> bool {
        self.voters.get(node).is_some_and(|voter| voter.incarnation == incarnation)
    }

    /// Tells whether this life of a process votes or learns.
    pub fn is_member(&self, node: &id::Node, incarnation: id::Incarnation) -> bool {
        let learner = self.learners.get(node);
        self.is_voter(node, incarnation) || learner.is_some_and(|v| v.incarnation == incarnation)
    }

    /// Returns what is known of a process when that is newer than `peer`, which then is a copy of an old disk.
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

    /// Returns everyone but `me` to whom the log is sent, each once.
    pub fn replication_targets<'a>(&'a self, me: &'a id::Node) -> impl Iterator<Item = &'a Voter> {
        let has_new_disk = |node: &id::Node| self.learners.contains_key(node);
        let voters = self.voters.values().filter(move |voter| !has_new_disk(&voter.node));
        voters.chain(self.learners.values()).filter(move |voter| voter.node != *me)
    }

    /// Takes an entry of the log into account.
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
