//! What an instance was chosen from, for whoever has to explain the choice later. Nothing here decides anything.

use std::time::Duration;

use super::{Group, Output, PROBE_VALIDITY, View};
use crate::clock::Instant;
use crate::control::state::Action;
use crate::id;
use crate::upstream::status::Status;
use crate::wire::Phase;

/// How long a group stays frozen without a reserved term before this is reported, and the interval between reports.
pub const UNDECIDED_INTERVAL: Duration = Duration::from_secs(3);

/// A choice for a group that was frozen, and all that was known of its instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The group.
    pub group: id::Group,
    /// What was decided.
    pub decision: Decision,
    /// The term of the frozen epoch.
    pub epoch: id::Term,
    /// Time since the fence held, if it does.
    pub fenced_for: Option<Duration>,
    /// The statuses that the group's instances gave.
    pub readings: Vec<Reading>,
    /// The known instances that gave none that still counts.
    pub unanswered: Vec<id::Instance>,
}

/// What was decided for a frozen group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The term is reserved for the instance.
    Claim(id::Instance, id::Term),
    /// The frozen epoch is put in force again.
    Thaw,
    /// No instance is proven to hold every acknowledged write.
    None,
}

/// A status of an instance and its age.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reading {
    /// The instance.
    pub instance: id::Instance,
    /// Its status.
    pub status: Status,
    /// Whether this is the answer to the order to stop receiving.
    pub is_final: bool,
    /// Time since the instance answered, for other statuses.
    pub age: Option<Duration>,
    /// Time since the connection was opened over which the status came: the state may be as old as that.
    pub connected_for: Option<Duration>,
}

impl Group {
    /// Returns a report if a step gave `outputs` that choose an instance, or if none has been chosen for a while.
    pub fn report_choice(
        &mut self,
        now: Instant,
        view: View<'_>,
        outputs: &[Output],
    ) -> Option<Output> {
        let epoch = view.epoch.filter(|epoch| epoch.phase == Phase::Frozen)?;
        let decided = outputs.iter().find_map(|output| match output {
            Output::Submit(Action::Claim { primary, term, .. }) => {
                Some(Decision::Claim(primary.clone(), *term))
            }
            Output::Submit(Action::Thaw { .. }) => Some(Decision::Thaw),
            _ => None,
        });
        let decision = match decided {
            Some(decision) => decision,
            None if self.is_undecided(now, view) => Decision::None,
            None => return None,
        };
        self.reported_at = Some(now);
        let readings = self.all_readings(now);
        let is_unanswered =
            |known: &&id::Instance| readings.iter().all(|reading| reading.instance != **known);
        let unanswered = view.known_instances.iter().filter(is_unanswered).cloned().collect();
        Some(Output::ReportChoice(Choice {
            group: self.group.clone(),
            decision,
            epoch: epoch.term,
            fenced_for: self.fenced_at.map(|at| now.since(at)),
            readings,
            unanswered,
        }))
    }

    /// Returns whether a report is due on a group that is frozen without a reserved term.
    fn is_undecided(&self, now: Instant, view: View<'_>) -> bool {
        let Some((term, _, since)) = self.last_phase else {
            return false;
        };
        let last = self.reported_at.map_or(since, |at| at.max(since));
        let has_claim = view.claim.is_some_and(|claim| claim.term > term);
        !has_claim && now.since(last) >= UNDECIDED_INTERVAL
    }

    fn all_readings(&self, now: Instant) -> Vec<Reading> {
        let paused = self.paused.iter().map(|(instance, status)| Reading {
            instance: instance.clone(),
            status: *status,
            is_final: true,
            age: None,
            connected_for: None,
        });
        let probed = self.probes.iter().filter_map(|(instance, probe)| {
            let age = now.since(probe.recorded_at);
            let status = *probe.result.as_ref().ok().filter(|_| age < PROBE_VALIDITY)?;
            Some(Reading {
                instance: instance.clone(),
                status,
                is_final: false,
                age: Some(age),
                connected_for: Some(now.since(probe.requested_at)),
            })
        });
        paused.chain(probed).collect()
    }
}
