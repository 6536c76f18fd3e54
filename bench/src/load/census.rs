//! Follows the counters of all instances, also of those that end during the load.

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::fleet::Fleet;
use crate::standin::Counts;

/// The newest counters of each instance, counted from the start of the load.
#[derive(Debug, Default)]
pub struct Census {
    seen: Mutex<BTreeMap<String, Seen>>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Seen {
    /// What the instance's present life had counted at the start.
    base: Counts,
    newest: Counts,
    /// What its earlier lives counted.
    earlier: Counts,
}

impl Census {
    /// Reads the counters of all instances that answer.
    pub fn look(&self, fleet: &Fleet) {
        for name in fleet.upstreams.keys() {
            self.look_at(fleet, name);
        }
    }

    /// Reads the counters of one instance.
    pub fn look_at(&self, fleet: &Fleet, name: &str) {
        let Ok(report) = fleet.report(name) else {
            return;
        };
        let counts = report.counts;
        let mut all = self.seen.lock().expect("nothing panics under this lock");
        let first = Seen { base: counts, newest: counts, earlier: Counts::default() };
        let seen = all.entry(name.to_owned()).or_insert(first);
        if counts.status < seen.newest.status {
            seen.earlier = sum(seen.earlier, difference(seen.newest, seen.base));
            seen.base = Counts::default();
        }
        seen.newest = counts;
    }

    /// Returns what all instances ran during the load.
    pub fn total(&self) -> Counts {
        let all = self.seen.lock().expect("nothing panics under this lock");
        all.values().fold(Counts::default(), |total, seen| {
            sum(total, sum(seen.earlier, difference(seen.newest, seen.base)))
        })
    }
}

/// Returns the share of reads that replicas ran.
pub fn replica_share(counts: Counts) -> f64 {
    let reads = counts.primary_reads + counts.replica_reads;
    if reads == 0 { 0.0 } else { counts.replica_reads as f64 / reads as f64 }
}

fn sum(a: Counts, b: Counts) -> Counts {
    combine(a, b, |a, b| a + b)
}

fn difference(a: Counts, b: Counts) -> Counts {
    combine(a, b, u64::saturating_sub)
}

fn combine(a: Counts, b: Counts, with: fn(u64, u64) -> u64) -> Counts {
    Counts {
        primary_reads: with(a.primary_reads, b.primary_reads),
        replica_reads: with(a.replica_reads, b.replica_reads),
        writes: with(a.writes, b.writes),
        status: with(a.status, b.status),
        connections: with(a.connections, b.connections),
    }
}
