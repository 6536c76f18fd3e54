//! Follows the counters of all instances, also of those that end during the load.

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::fleet::Fleet;
use crate::standin::Counts;

/// The newest counters of each instance, counted from the start of the load.
#[derive(Debug, Default)]
pub struct Sampler {
    instances: Mutex<BTreeMap<String, InstanceCounts>>,
}

#[derive(Debug, Default, Clone, Copy)]
struct InstanceCounts {
    /// What the instance's present life had counted at the start.
    base: Counts,
    newest: Counts,
    /// What its earlier lives counted.
    earlier: Counts,
}

impl Sampler {
    /// Reads the counters of all instances that answer.
    pub fn sample_all(&self, fleet: &Fleet) {
        for name in fleet.upstreams.keys() {
            self.sample(fleet, name);
        }
    }

    /// Reads the counters of one instance.
    pub fn sample(&self, fleet: &Fleet, name: &str) {
        let Ok(report) = fleet.report(name) else {
            return;
        };
        let counts = report.counts;
        let mut all = self.instances.lock().expect("nothing panics under this lock");
        let initial = InstanceCounts { base: counts, newest: counts, earlier: Counts::default() };
        let instance = all.entry(name.to_owned()).or_insert(initial);
        if counts.status < instance.newest.status {
            instance.earlier = sum(instance.earlier, difference(instance.newest, instance.base));
            instance.base = Counts::default();
        }
        instance.newest = counts;
    }

    /// Returns what all instances ran during the load.
    pub fn total(&self) -> Counts {
        let all = self.instances.lock().expect("nothing panics under this lock");
        all.values().fold(Counts::default(), |total, instance| {
            sum(total, sum(instance.earlier, difference(instance.newest, instance.base)))
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

fn combine(a: Counts, b: Counts, operation: fn(u64, u64) -> u64) -> Counts {
    Counts {
        primary_reads: operation(a.primary_reads, b.primary_reads),
        replica_reads: operation(a.replica_reads, b.replica_reads),
        writes: operation(a.writes, b.writes),
        status: operation(a.status, b.status),
        connections: operation(a.connections, b.connections),
    }
}
