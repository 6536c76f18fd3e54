//! What an instance has run, counted where it runs.

use std::sync::atomic::{AtomicU64, Ordering};

use cactushatch::wire::Role;
use serde::{Deserialize, Serialize};

/// Counts of statements since the instance started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads run while it was the primary.
    pub primary_reads: u64,
    /// Reads run while it was a replica.
    pub replica_reads: u64,
    /// Statements that write.
    pub writes: u64,
    /// Questions for its status.
    pub status: u64,
    /// Connections that it took.
    pub connections: u64,
}

/// What an instance says of itself on its fault port, also while it is cut off from its clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What it has run.
    pub counts: Counts,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The position that its reads see.
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

    pub fn record_status_query(&self) {
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
