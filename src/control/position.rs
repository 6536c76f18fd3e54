//! The positions of primaries that proxies reported, which the leader passes on to proxies that have none.
//!
//! The load pattern: all VMs lost power, and the instances still count the lost connections, so that only some proxies get
//! a connection to a primary; or a partition separates some proxies from it. Four statements in five are reads that a
//! replica could serve, but without a position of the primary a proxy can't prove how recent any replica is.
//!
//! A position counts from a time at which it was certainly not requested yet. The reporting proxy names a heartbeat whose
//! answer it had received before, and the leader knows when it sent that answer: event ordering in place of synchronized
//! clocks (Lamport, "Time, clocks, and the ordering of events in a distributed system", 1978). The receiving proxy counts
//! the age from when it sent the heartbeat that the grant answers. This is a state machine without I/O. Its memory is
//! bounded by [`MAX_ANSWERS`] for each proxy and one position for each group.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::lease::Holder;
use crate::clock::Instant;
use crate::id;
use crate::proxy::floor::Mark;
use crate::wire::{Heartbeat, position};

/// The maximum number of answered heartbeats that are remembered for each proxy.
pub const MAX_ANSWERS: usize = 16;

/// The age from which a position is not passed on: few reads allow older data.
pub const MAX_AGE: Duration = Duration::from_millis(3_000);

/// The positions of all groups, and when heartbeats were answered.
#[derive(Debug, Default)]
pub struct Positions {
    answers: BTreeMap<Holder, Answers>,
    /// The newest position of each group, and a time before it was requested.
    newest: BTreeMap<id::Group, (Instant, Mark)>,
}

/// When the recent heartbeats of a proxy were first answered.
#[derive(Debug, Default)]
struct Answers {
    recent: VecDeque<(id::Sequence, Instant)>,
    /// The highest heartbeat that is no longer remembered. Copies of earlier ones may still arrive.
    forgotten: id::Sequence,
}

impl Positions {
    /// Records that a heartbeat is answered now. Only the first answer to a heartbeat counts, since the proxy may have
    /// received that one.
    pub fn record_answer(&mut self, now: Instant, holder: &Holder, sequence: id::Sequence) {
        let answers = self.answers.entry(holder.clone()).or_default();
        let is_known = answers.recent.iter().any(|(known, _)| *known == sequence);
        if is_known || sequence <= answers.forgotten {
            return;
        }
        answers.recent.push_back((sequence, now));
        if answers.recent.len() > MAX_ANSWERS
            && let Some((oldest, _)) = answers.recent.pop_front()
        {
            answers.forgotten = answers.forgotten.max(oldest);
        }
    }

    /// Records a position that a proxy reported in a heartbeat to this leader.
    pub fn record_report(&mut self, holder: &Holder, report: &position::Report) {
        let answers = self.answers.get(holder).into_iter().flat_map(|answers| &answers.recent);
        let Some((_, at)) = answers.into_iter().find(|(sequence, _)| *sequence == report.after)
        else {
            return;
        };
        let known = self.newest.get(&report.group);
        let is_newer =
            known.is_none_or(|(known, mark)| (report.mark.term, *at) > (mark.term, *known));
        if is_newer {
            self.newest.insert(report.group.clone(), (*at, report.mark));
        }
    }

    /// Returns the positions for a proxy that sent this heartbeat: those of the groups that it serves and reported none of.
    pub fn missing(&self, now: Instant, heartbeat: &Heartbeat) -> Vec<position::Known> {
        let dated = |report: &&position::Report| report.after != position::UNDATED;
        let is_reported = |group: &id::Group| {
            heartbeat.positions.iter().filter(dated).any(|report| report.group == *group)
        };
        let served = heartbeat.demand.iter().filter(|demand| demand.wanted > 0);
        let missing = served.filter(|demand| !is_reported(&demand.group));
        let known = missing.filter_map(|demand| {
            let (at, mark) = *self.newest.get(&demand.group)?;
            // The clock of the receiving proxy may be a tenth slower.
            let age = now.since(at) * 11 / 10;
            let age_ms = u32::try_from(age.as_millis()).ok()? + 1;
            (age < MAX_AGE).then(|| position::Known { group: demand.group.clone(), mark, age_ms })
        });
        known.collect()
    }

    /// Forgets the proxies for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Holder) -> bool) {
        self.answers.retain(|holder, _| keep(holder));
    }
}
