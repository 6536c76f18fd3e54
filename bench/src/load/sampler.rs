//! Samples the counters of all instances during a load, so that those of an instance that ends are not lost.

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::fleet::Fleet;
use crate::standin::Counts;

/// The latest counters of each instance.
#[derive(Debug, Default)]
pub struct Sampler {
    instances: Mutex<BTreeMap<String, InstanceCounts>>,
}

#[derive(Debug, Default, Clone, Copy)]
struct InstanceCounts {
    /// The counters at the start of the load; zero once the instance has restarted.
    base: Counts,
    newest: Counts,
    /// The counts of earlier incarnations since the start of the load.
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
        // Counters start at zero when an instance restarts.
        if counts.status < instance.newest.status {
            instance.earlier = sum(instance.earlier, difference(instance.newest, instance.base));
            instance.base = Counts::default();
        }
        instance.newest = counts;
    }

    /// Returns the sum over all instances since the start of the load.
    pub fn total(&self) -> Counts {
        let all = self.instances.lock().expect("nothing panics under this lock");
        all.values().fold(Counts::default(), |total, instance| {
            sum(total, sum(instance.earlier, difference(instance.newest, instance.base)))
        })
    }
}

/// Returns the share of reads that ran on replicas.
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
