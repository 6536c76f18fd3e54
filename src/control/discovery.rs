//! Discovery of the other control processes if the settings name seeds instead of voters.
//!
//! A seed is the address that a control process had when the settings were written; the log determines the voters. A
//! blank disk alone doesn't distinguish a first start from a lost disk. So the initial members are created only if the
//! settings declare a first start, only by the seed with the lowest address, and only once every other seed has reported
//! that its disk is blank and that this is its first start too. All other processes learn the members from a process that
//! knows them, and the leader adds them. See `docs/PLATFORM.md`, "Voters".

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::raft::{Members, Peer};
use super::state::Voter;
use crate::config::Seeds;
use crate::id;

/// The introduction that one control process sends to the address of another, and the response to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Greeting {
    /// This run of the process.
    pub peer: Peer,
    /// The address at which it receives frames.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether its settings declare the first start of the whole system.
    pub first_start: bool,
    /// The members that it knows, or `None` when its disk is blank.
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

/// What a process has learned from the greetings of the others.
#[derive(Debug)]
pub struct Discovery {
    seeds: Seeds,
    own: Voter,
    /// The blank processes at their first start that this process knows of, by address. Includes this process.
    blank_processes: BTreeMap<SocketAddr, Voter>,
    /// The members that another process reported last. They are greeted too, since the seeds may be gone or know no leader,
    /// and the members that a process knows may have been replaced while it was stopped.
    reported_members: Members,
}

impl Discovery {
    /// Creates the state from the seeds of the settings; `own` is this process.
    pub fn new(seeds: Seeds, own: Voter) -> Self {
        let blank_processes = BTreeMap::from([(own.address, own.clone())]);
        Self { seeds, own, blank_processes, reported_members: Members::default() }
    }

    /// Returns the initial members if this process is the only seed.
    pub fn single_seed_members(&self) -> Option<Members> {
        self.initial_members()
    }

    /// Replaces the seed addresses after a change of the settings.
    pub fn update_seeds(&mut self, seeds: Seeds) {
        self.seeds.addresses = seeds.addresses;
    }

    /// Returns the address of a member that another process reported.
    pub fn reported_address(&self, node: &id::Node) -> Option<SocketAddr> {
        self.reported_members.address(node)
    }

    /// Returns whether this is the first start of the whole system: the settings declare it, and no greeting has shown
    /// that the system is running already.
    pub fn is_first_start(&self) -> bool {
        self.seeds.first_start
    }

    /// Returns the addresses to greet: the seeds, `members` and the members that another process reported last.
    pub fn greeting_targets(&self, members: &Members) -> Vec<SocketAddr> {
        let mut addresses = members.addresses();
        addresses.extend(&self.seeds.addresses);
        addresses.extend(self.reported_members.addresses());
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.own.address);
        addresses
    }

    /// Handles a greeting. Returns the members once this process can start with them: those that another process reported
    /// with this one as a voter, or the initial members.
    pub fn handle_greeting(&mut self, greeting: &Greeting) -> Option<Members> {
        if let Some(members) = &greeting.members {
            self.reported_members = members.clone();
        }
        match &greeting.members {
            Some(members) if members.is_voter(&self.own.node, self.own.incarnation) => {
                Some(members.clone())
            }
            Some(_) => {
                // The system is running already, so this is not its first start.
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

    /// Returns the initial members if this process may create them and knows that all seeds are blank and at their
    /// first start.
    fn initial_members(&self) -> Option<Members> {
        let first_seed = self.seeds.addresses.iter().min()?;
        if !self.seeds.first_start || *first_seed != self.own.address {
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
