//! Bootstrap of a new cluster.
//!
//! A process with a blank disk can't distinguish a first start from a lost disk. So only the first voter in the
//! settings creates the initial members, and only after all other voters have reported blank disks. The others
//! adopt those members if the members include their own disk.

use std::collections::BTreeMap;

use super::{Members, Peer};
use crate::control::state::Voter;
use crate::id;

/// The bootstrap state of a voter with a blank disk.
#[derive(Debug)]
pub struct Bootstrap {
    me: Peer,
    initial: Vec<Voter>,
    /// The voters that reported blank disks, with their incarnations.
    blank: BTreeMap<id::Node, id::Incarnation>,
}

impl Bootstrap {
    /// Creates the state from the voters in the settings, whose incarnations are not known yet.
    pub fn new(me: Peer, initial: Vec<Voter>) -> Self {
        let blank = BTreeMap::from([(me.node.clone(), me.incarnation)]);
        Self { me, initial, blank }
    }

    /// Returns the initial members if this process is the only voter.
    pub fn single_voter_members(&self) -> Option<Members> {
        self.initial_members()
    }

    /// Processes a [`Message::Hello`](super::Message::Hello), and returns the initial members once they are known.
    pub fn on_hello(&mut self, from: &Peer, members: Option<Members>) -> Option<Members> {
        match members {
            Some(members) if members.is_voter(&self.me.node, self.me.incarnation) => Some(members),
            Some(_) => {
                self.blank.remove(&from.node);
                None
            }
            None => {
                self.blank.insert(from.node.clone(), from.incarnation);
                self.initial_members()
            }
        }
    }

    fn initial_members(&self) -> Option<Members> {
        if self.initial.first()?.node != self.me.node {
            return None;
        }
        let mut members = Members::default();
        for voter in &self.initial {
            let incarnation = *self.blank.get(&voter.node)?;
            let voter = Voter { incarnation, ..voter.clone() };
            members.voters.insert(voter.node.clone(), voter);
        }
        Some(members)
    }
}
