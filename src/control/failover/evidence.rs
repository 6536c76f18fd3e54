//! What proxies and control itself see of a group's instances, and whether that suffices to replace a primary.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire::Trouble;

/// How long an instance may answer with errors before that counts like silence.
pub const FAULTY: Duration = Duration::from_millis(1_000);

/// What each observer last said of each instance.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    reports: BTreeMap<id::Instance, BTreeMap<id::Node, Report>>,
}

#[derive(Debug)]
struct Report {
    trouble: Trouble,
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
        trouble: Trouble,
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
    /// probe, which counts like one proxy. It takes most of them, and two at least: one bad link replaces no primary.
    pub(super) fn standing(
        &self,
        now: Instant,
        instance: &id::Instance,
        own: Option<(Instant, Trouble)>,
    ) -> Standing {
        let reports = self.reports.get(instance).into_iter().flatten();
        let said = reports.map(|(_, report)| (report.since, report.trouble)).chain(own);
        let mut observers = 0;
        let mut bad = 0;
        let mut refused = 0;
        for (since, trouble) in said {
            observers += 1;
            bad += usize::from(is_bad(now, since, trouble));
            refused += usize::from(trouble == Trouble::Refused);
        }
        if bad < 2 || bad * 2 <= observers {
            Standing::Usable
        } else if refused * 2 > bad {
            Standing::Crashed
        } else {
            Standing::Lost
        }
    }
}

fn is_bad(now: Instant, since: Instant, trouble: Trouble) -> bool {
    match trouble {
        Trouble::Fine => false,
        Trouble::Refused | Trouble::Silent => true,
        Trouble::Faulty => now.since(since) >= FAULTY,
    }
}
