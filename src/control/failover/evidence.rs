//! What proxies and control itself see of a group's instances, and whether that suffices to replace a primary.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire::Health;

/// How long an instance may answer with errors before that counts like silence.
pub const FAULTY: Duration = Duration::from_millis(1_000);

/// What each observer last said of each instance.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    reports: BTreeMap<id::Instance, BTreeMap<id::Node, Report>>,
}

#[derive(Debug)]
struct Report {
    trouble: Health,
    since: Instant,
}

/// How the primary stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// Most observers can use it, or too few can tell.
    Usable,
    /// Most can't, and most of those were refused.
    Crashed,
    /// Most can't use it.
    Lost,
}

impl Evidence {
    /// Notes what a proxy sees; a report holds until the next one, or until the proxy's lease runs out.
    pub(super) fn report(
        &mut self,
        now: Instant,
        node: id::Node,
        instance: id::Instance,
        trouble: Health,
    ) {
        let reports = self.reports.entry(instance).or_default();
        let report = reports.entry(node).or_insert(Report { trouble, since: now });
        if report.trouble != trouble {
            *report = Report { trouble, since: now };
        }
    }

    /// Drops what proxies without a lease said, and what was said of instances that left.
    pub(super) fn prune(&mut self, live: &BTreeSet<id::Node>, known: &[id::Instance]) {
        self.reports.retain(|instance, _| known.contains(instance));
        for reports in self.reports.values_mut() {
            reports.retain(|node, _| live.contains(node));
        }
    }

    /// Judges an instance by the proxies that reported on it (see [`Evidence::prune`]), and by control's `own`
    /// probe. It takes most of the proxies, or most of the proxies and control together, and two at least: one bad
    /// link replaces no primary.
    pub(super) fn standing(
        &self,
        now: Instant,
        instance: &id::Instance,
        own: Option<(Instant, Health)>,
    ) -> Standing {
        let reports = self.reports.get(instance).into_iter().flatten();
        let mut proxies = Tally::default();
        for (_, report) in reports {
            proxies.add(now, report.since, report.trouble);
        }
        let mut all = proxies;
        if let Some((since, trouble)) = own {
            all.add(now, since, trouble);
        }
        if all.bad < 2 || !(proxies.is_most() || all.is_most()) {
            Standing::Usable
        } else if all.refused * 2 > all.bad {
            Standing::Crashed
        } else {
            Standing::Lost
        }
    }
}

/// How many observers there are, and what they say.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    observers: usize,
    bad: usize,
    refused: usize,
}

impl Tally {
    fn add(&mut self, now: Instant, since: Instant, trouble: Health) {
        self.observers += 1;
        self.bad += usize::from(is_bad(now, since, trouble));
        self.refused += usize::from(trouble == Health::Refused);
    }

    fn is_most(self) -> bool {
        self.bad * 2 > self.observers
    }
}

fn is_bad(now: Instant, since: Instant, trouble: Health) -> bool {
    match trouble {
        Health::Fine => false,
        Health::Refused | Health::Silent => true,
        Health::Faulty => now.since(since) >= FAULTY,
    }
}
