//! How a fleet's first voters find each other.
//!
//! A blank disk alone can't tell a first start from a lost disk. So only the first voter of the settings makes
//! the first members, and only when every other one says that its disk is blank too. The others take the members
//! from it, and only when their own disk is named in them.

use std::collections::BTreeMap;

use super::{Members, Peer};
use crate::control::state::Voter;
use crate::id;

/// A blank voter's machine.
#[derive(Debug)]
pub struct Bootstrap {
    me: Peer,
    initial: Vec<Voter>,
    blank: BTreeMap<id::Node, id::Incarnation>,
}

impl Bootstrap {
    /// Starts with the voters of the settings; their incarnations are not known yet.
    pub fn new(me: Peer, initial: Vec<Voter>) -> Self {
        let blank = BTreeMap::from([(me.node.clone(), me.incarnation)]);
        Self { me, initial, blank }
    }

    /// Returns the members when they can be known without hearing anybody.
    pub fn single_voter_members(&self) -> Option<Members> {
        self.initial_members()
    }

    /// Hears another process, and returns the first members once they are known.
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
