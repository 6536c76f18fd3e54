//! How control processes find each other when the settings name seeds instead of voters.
//!
//! A seed is an address where a control process was when the settings were written; who votes is told by the log. A
//! blank disk alone can't tell a first start from a lost disk, so the first members are made only at a start that
//! the settings call the first one, by the seed with the lowest address alone, and only when every other seed says
//! that its disk is blank and that this is its first start too. Everyone else learns the members from whoever knows
//! them, and is taken in by the leader. See `docs/PLATFORM.md`, "Voters".

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::raft::{Members, Peer};
use super::state::Voter;
use crate::config::Seeds;
use crate::id;

/// What one control process tells another that it has only an address of.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Greeting {
    /// Which life of which process this is.
    pub peer: Peer,
    /// Where it takes frames.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether its settings call this the first start of the whole system.
    pub first_start: bool,
    /// The members that it knows, or none when its disk is blank.
    pub members: Option<Members>,
}

impl Greeting {
    /// Returns the process as a voter.
    pub fn voter(&self) -> Voter {
        Voter {
            node: self.peer.node.clone(),
            incarnation: self.peer.incarnation,
            address: self.address,
            domain: self.domain.clone(),
        }
    }
}

/// What a process knows of the others by greeting them.
#[derive(Debug)]
pub struct Discovery {
    seeds: Seeds,
    own: Voter,
    /// The blank processes at a first start that were met, by their address.
    blank_processes: BTreeMap<SocketAddr, Voter>,
    /// The members that another process named last. The seeds may be gone or know no leader, and a process that was
    /// away for long knows members that were replaced since.
    reported_members: Members,
}

impl Discovery {
    /// Starts with the seeds of the settings.
    pub fn new(seeds: Seeds, own: Voter) -> Self {
        let blank_processes = BTreeMap::from([(own.address, own.clone())]);
        Self { seeds, own, blank_processes, reported_members: Members::default() }
    }

    /// Returns the members when nobody else has to be met.
    pub fn single_seed_members(&self) -> Option<Members> {
        self.initial_members()
    }

    /// Takes the seeds of changed settings over.
    pub fn update_seeds(&mut self, seeds: Seeds) {
        self.seeds.addresses = seeds.addresses;
    }

    /// Returns where a process takes frames that somebody else named as a member.
    pub fn reported_address(&self, node: &id::Node) -> Option<SocketAddr> {
        self.reported_members.address(node)
    }

    /// Tells whether the settings call this the first start of the whole system.
    pub fn is_first_start(&self) -> bool {
        self.seeds.first_start
    }

    /// Returns whom to greet: the seeds, the members that this process knows, and those that others named last.
    pub fn greeting_targets(&self, members: &Members) -> Vec<SocketAddr> {
        let mut addresses = members.addresses();
        addresses.extend(&self.seeds.addresses);
        addresses.extend(self.reported_members.addresses());
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.own.address);
        addresses
    }

    /// Hears another process, and returns the first members once they are known.
    pub fn handle_greeting(&mut self, greeting: &Greeting) -> Option<Members> {
        if let Some(members) = &greeting.members {
            self.reported_members = members.clone();
        }
        match &greeting.members {
            Some(members) if members.is_voter(&self.own.node, self.own.incarnation) => {
                Some(members.clone())
            }
            Some(_) => {
                // The system runs already, so this is no first start.
                self.seeds.first_start = false;
                None
            }
            None if greeting.first_start => {
                self.blank_processes.insert(greeting.address, greeting.voter());
                self.initial_members()
            }
            None => None,
        }
    }

    fn initial_members(&self) -> Option<Members> {
        let founder = self.seeds.addresses.iter().min()?;
        if !self.seeds.first_start || *founder != self.own.address {
            return None;
        }
        let mut members = Members::default();
        for address in &self.seeds.addresses {
            let voter = self.blank_processes.get(address)?;
            members.voters.insert(voter.node.clone(), voter.clone());
        }
        Some(members)
    }
}
