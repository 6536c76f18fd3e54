//! What a proxy keeps for the report on service-level burn, and how it shows that.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::outcome::{Outcome, Reason};
use super::server::Shared;
use crate::config::Objective;
use crate::id;
use crate::report::burn::{Bucket, Cause, Completion, Minute};

/// The answer to `GET /burn`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Account {
    /// The proxy.
    pub node: id::Node,
    /// The minute that it is in.
    pub now: Minute,
    /// The objectives of the configuration in force.
    pub objectives: BTreeMap<id::Class, Objective>,
    /// Its buckets, the oldest first.
    pub buckets: Vec<Bucket>,
}

impl Shared {
    /// Keeps what a request was, as far as objectives go.
    pub(super) fn keep(
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
        let kept =
            Completion { class: class.clone(), primary, answered, known, cause: cause(outcome) };
        self.history.record_request(Minute::now(), kept);
    }

    /// Keeps which kind of instance served a read.
    pub(super) fn keep_read(&self, class: &id::Class, replica: bool) {
        self.history.record_read(Minute::now(), class, replica);
    }

    /// Keeps how long a group had no primary.
    pub(super) fn keep_gap(&self, primary: id::Instance, gap: Duration) {
        self.metrics.observe_failover(gap);
        self.history.record_gap(Minute::now(), primary, gap.as_millis() as u64);
    }

    /// Returns all that the report needs of this proxy.
    pub(super) fn account(&self) -> Account {
        let fleet = self.fleet();
        let objective = |(name, class): (&id::Class, &crate::config::Class)| {
            (name.clone(), class.objective.clone())
        };
        let now = Minute::now();
        Account {
            node: self.node.clone(),
            now,
            objectives: fleet.class.iter().map(objective).collect(),
            buckets: self.history.buckets(now),
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
