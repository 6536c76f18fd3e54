//! Counters of the statements and connections of an instance.

use std::sync::atomic::{AtomicU64, Ordering};

use cactushatch::wire::Role;
use serde::{Deserialize, Serialize};

/// Counts since the instance started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads that the instance ran as the primary.
    pub primary_reads: u64,
    /// Reads that the instance ran as a replica.
    pub replica_reads: u64,
    /// Statements that write.
    pub writes: u64,
    /// Answers with the row of the status view.
    pub status: u64,
    /// Accepted connections.
    pub connections: u64,
}

/// The state of an instance as its fault port shows it; available also while its clients are cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Statements and connections so far.
    pub counts: Counts,
    /// The current role.
    pub role: Role,
    /// The current term.
    pub term: u64,
    /// The position up to which reads see the data.
    pub position: u64,
}

#[derive(Debug, Default)]
pub struct Counters {
    primary_reads: AtomicU64,
    replica_reads: AtomicU64,
    writes: AtomicU64,
    status: AtomicU64,
    connections: AtomicU64,
}

impl Counters {
    pub fn record_read(&self, role: Role) {
        let counter = match role {
            Role::Primary => &self.primary_reads,
            Role::Replica => &self.replica_reads,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub fn record_write(&self) {
        self.writes.fetch_add(1, Ordering::Relaxed);
    }

    pub fn record_status(&self) {
        self.status.fetch_add(1, Ordering::Relaxed);
    }

    pub fn record_connection(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    pub fn snapshot(&self) -> Counts {
        Counts {
            primary_reads: self.primary_reads.load(Ordering::Relaxed),
            replica_reads: self.replica_reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            status: self.status.load(Ordering::Relaxed),
            connections: self.connections.load(Ordering::Relaxed),
        }
    }
}
