//! Collects what proxies and control report about a group's instances, and decides whether it suffices to replace a
//! primary.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire::Health;

/// How long an instance may answer with errors before it counts as failing, like one that doesn't answer.
pub const FAULTY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The latest report of each proxy on each instance.
#[derive(Debug, Default)]
pub(super) struct Reports {
    instances: BTreeMap<id::Instance, BTreeMap<id::Node, Report>>,
}

#[derive(Debug)]
struct Report {
    health: Health,
    since: Instant,
}

/// The state of an instance according to all observers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Most observers can use the instance, or there are too few observers to decide.
    Usable,
    /// Most observers can't use the instance, and most of those were refused a connection.
    Crashed,
    /// Most observers can't use the instance.
    Failed,
}

impl Reports {
    /// Records a proxy's report. It is valid until the proxy's next report, or until the proxy's lease expires.
    pub(super) fn record(
        &mut self,
        now: Instant,
        node: id::Node,
        instance: id::Instance,
        health: Health,
    ) {
        let reports = self.instances.entry(instance).or_default();
        let report = reports.entry(node).or_insert(Report { health, since: now });
        if report.health != health {
            *report = Report { health, since: now };
        }
    }

    /// Drops the reports of proxies without a lease, and reports on instances that are no longer known.
    pub(super) fn prune(
        &mut self,
        live_proxies: &BTreeSet<id::Node>,
        known_instances: &[id::Instance],
    ) {
        self.instances.retain(|instance, _| known_instances.contains(instance));
        for reports in self.instances.values_mut() {
            reports.retain(|node, _| live_proxies.contains(node));
        }
    }

    /// Judges an instance by the reports of proxies with a lease (see [`Reports::prune`]) and by control's `own`
    /// probe. An instance counts as failed if a majority of the proxies, or a majority of the proxies and control
    /// together, can't use it, and at least two observers: a single bad link must not replace a primary.
    pub(super) fn verdict(
        &self,
        now: Instant,
        instance: &id::Instance,
        own: Option<(Instant, Health)>,
    ) -> Verdict {
        let reports = self.instances.get(instance).into_iter().flatten();
        let mut proxies = Tally::default();
        for (_, report) in reports {
            proxies.add(now, report.since, report.health);
        }
        let mut all = proxies;
        if let Some((since, health)) = own {
            all.add(now, since, health);
        }
        if all.failing < 2 || !(proxies.is_majority_failing() || all.is_majority_failing()) {
            Verdict::Usable
        } else if all.refused * 2 > all.failing {
            Verdict::Crashed
        } else {
            Verdict::Failed
        }
    }
}

/// Counts observers by what they report.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    observers: usize,
    failing: usize,
    refused: usize,
}

impl Tally {
    fn add(&mut self, now: Instant, since: Instant, health: Health) {
        self.observers += 1;
        self.failing += usize::from(is_failing(now, since, health));
        self.refused += usize::from(health == Health::Refused);
    }

    fn is_majority_failing(self) -> bool {
        self.failing * 2 > self.observers
    }
}

fn is_failing(now: Instant, since: Instant, health: Health) -> bool {
    match health {
        Health::Fine => false,
        Health::Refused | Health::Silent => true,
        Health::Faulty => now.since(since) >= FAULTY_TIMEOUT,
    }
}
