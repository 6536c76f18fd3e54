//! Records requests, reads and failovers for the burn report of the service-level objectives, and exports the counts.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::outcome::{Outcome, Reason};
use super::server::Shared;
use crate::config::Objective;
use crate::id;
use crate::report::burn::{Bucket, Cause, CompletedRequest, Minute};

/// The response to `GET /burn`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BurnSnapshot {
    /// The name of the proxy.
    pub node: id::Node,
    /// The current minute of the proxy.
    pub now: Minute,
    /// The objectives of the configuration in force.
    pub objectives: BTreeMap<id::Class, Objective>,
    /// The buckets of the proxy, oldest first.
    pub buckets: Vec<Bucket>,
}

impl Shared {
    /// Records whether a request met the objectives of its class.
    pub(super) fn record_request(
        &self,
        class: &id::Class,
        group: &id::Group,
        outcome: Option<&Outcome>,
        late: bool,
    ) {
        let answered = !late && matches!(outcome, None | Some(Outcome::Unsupported(_)));
        let known = !matches!(outcome, Some(Outcome::Unknown { .. } | Outcome::FloorLost));
        let missed = !answered || !known;
        let primary = if missed { self.epoch(group).map(|epoch| epoch.primary) } else { None };
        let request = CompletedRequest {
            class: class.clone(),
            primary,
            answered,
            known,
            cause: cause(outcome),
        };
        self.burn_history.record_request(Minute::now(), request);
    }

    /// Records whether a replica served a read.
    pub(super) fn record_read(&self, class: &id::Class, replica: bool) {
        self.burn_history.record_read(Minute::now(), class, replica);
    }

    /// Records how long a group had no primary.
    pub(super) fn record_gap(&self, primary: id::Instance, gap: Duration) {
        self.metrics.observe_failover(gap);
        self.burn_history.record_gap(Minute::now(), primary, gap.as_millis() as u64);
    }

    /// Returns the data of this proxy for the burn report.
    pub(super) fn burn_snapshot(&self) -> BurnSnapshot {
        let fleet = self.fleet();
        let objective = |(name, class): (&id::Class, &crate::config::Class)| {
            (name.clone(), class.objective.clone())
        };
        let now = Minute::now();
        BurnSnapshot {
            node: self.node.clone(),
            now,
            objectives: fleet.class.iter().map(objective).collect(),
            buckets: self.burn_history.buckets(now),
        }
    }
}

fn cause(outcome: Option<&Outcome>) -> Cause {
    let reason = match outcome {
        Some(Outcome::NotRun { reason, .. } | Outcome::Unknown { reason, .. }) => *reason,
        Some(Outcome::FloorLost) => return Cause::Failover,
        Some(Outcome::Unsupported(_)) => return Cause::Other,
        _ => return Cause::Late,
    };
    match reason {
        Reason::NoPrimary | Reason::Failover | Reason::ConnectionLost => Cause::Failover,
        Reason::NoLease => Cause::Lease,
        Reason::Busy => Cause::Overload,
        Reason::Behind => Cause::Lag,
        Reason::Deadline => Cause::Late,
        Reason::ShuttingDown => Cause::Shutdown,
    }
}
