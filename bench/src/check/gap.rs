//! Write gaps: how long callers' writes were not acknowledged after a fault of an instance.

use serde::Serialize;

use super::{events, requests};
use crate::history::{Event, Kind, Outcome, Record, Request};

/// How long after a fault a gap may begin and still be attributed to the fault.
const GAP_START_WINDOW_US: u64 = 4_000_000;

/// The longest time between two consecutive acknowledged writes around a fault.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Gap {
    /// The action that caused the fault.
    pub what: String,
    /// The instance that the action was applied to.
    pub target: String,
    /// The length; `None` when writes were still not acknowledged at the end of the history.
    pub milliseconds: Option<f64>,
}

/// Returns the longest gap between acknowledged writes of the instance's group for each fault of an instance.
pub fn gaps(records: &[Record]) -> Vec<Gap> {
    let faults = ["kill", "stop", "cut", "fault"];
    let events = events(records).into_iter();
    let events = events.filter(|event| faults.contains(&event.what.as_str()));
    events.filter(|event| !event.group.is_empty()).map(|event| write_gap(event, records)).collect()
}

/// Returns the longest gap; a gap without an end counts as the longest.
pub fn worst(gaps: &[Gap]) -> Option<&Gap> {
    let length = |gap: &&Gap| gap.milliseconds.unwrap_or(f64::INFINITY);
    gaps.iter().max_by(|a, b| length(a).total_cmp(&length(b)))
}

fn write_gap(event: &Event, records: &[Record]) -> Gap {
    let writes = requests(records).into_iter().filter(|request| {
        request.group == event.group
            && matches!(request.kind, Kind::Write { .. } | Kind::Once { .. })
    });
    let (done, failed): (Vec<&Request>, Vec<&Request>) =
        writes.partition(|request| matches!(request.outcome, Outcome::Done { .. }));
    let mut times: Vec<u64> = done.iter().map(|request| request.returned).collect();
    times.sort_unstable();
    let near_fault = |pair: &&[u64]| pair[1] > event.at && pair[0] < event.at + GAP_START_WINDOW_US;
    let longest = times.windows(2).filter(near_fault).map(|pair| pair[1] - pair[0]).max();
    // The gap has no end if failed attempts continue after the last acknowledged write for longer than the
    // longest gap.
    let last = times.last().copied().unwrap_or(event.at);
    let since_last = failed.iter().map(|request| request.invoked.saturating_sub(last)).max();
    let length =
        longest.filter(|longest| since_last.is_none_or(|since_last| since_last <= *longest));
    Gap {
        what: event.what.clone(),
        target: event.target.clone(),
        milliseconds: length.map(|micros| micros as f64 / 1_000.0),
    }
}
