//! The planned switchover of a primary that is being drained. The primary stops writes while its epoch is still in
//! force, so that the writes that ran on it are acknowledged. Once a replica has received the primary's final
//! position, the epoch is frozen and the failover state machine takes over.

use std::time::Duration;

use super::damper::backoff;
use super::reports::Verdict;
use super::{Group, Output, PROBE_VALIDITY, View};
use crate::clock::Instant;
use crate::id;
use crate::upstream::status::Status;
use crate::wire::{Epoch, Role};

/// How long a switchover may take. After that the epoch is frozen anyway and the best instance is chosen, which may
/// be the same primary under a new term.
pub const SWITCHOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay between the moment a replica is known to hold the final position and the freeze, so that proxies learn
/// that the last writes are durable and release their answers.
pub const FREEZE_DELAY: Duration = Duration::from_millis(10);

/// The delay between a failed switchover and the second attempt; it doubles with each further failure.
pub const SWITCHOVER_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The longest delay between two attempts.
const MAX_SWITCHOVER_RETRY_DELAY: Duration = Duration::from_secs(80);

#[derive(Debug, Default)]
pub(super) struct Switchover {
    stage: Stage,
    /// The primary whose switchover failed, when it last failed, and how many times in a row.
    failed: Option<(id::Instance, Instant, u32)>,
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Idle,
    /// The primary was ordered to stop writes.
    Demoting { primary: id::Instance, since: Instant },
    /// The primary has stopped writes; a replica must receive the log up to `end`.
    Demoted {
        primary: id::Instance,
        since: Instant,
        end: id::Position,
        /// When a replica was first known to hold the log up to `end`.
        caught_up_at: Option<Instant>,
    },
}

impl Switchover {
    pub(super) fn is_running(&self) -> bool {
        !matches!(self.stage, Stage::Idle)
    }

    /// Records that the primary has stopped writes; `status` is its final status.
    pub(super) fn record_demotion(&mut self, instance: &id::Instance, status: Status) {
        if let Stage::Demoting { primary, since } = &self.stage
            && primary == instance
        {
            let (primary, since) = (primary.clone(), *since);
            self.stage =
                Stage::Demoted { primary, since, end: status.received, caught_up_at: None };
        }
    }

    /// Records that the primary refused to stop writes because transactions are open; the switchover is retried
    /// later.
    pub(super) fn record_refusal(&mut self, now: Instant, instance: &id::Instance) {
        if matches!(&self.stage, Stage::Demoting { primary, .. } if primary == instance) {
            self.finish(now, instance);
        }
    }

    /// Ends the switchover. It has succeeded if the current primary is another instance.
    pub(super) fn finish(&mut self, now: Instant, current: &id::Instance) {
        let stage = std::mem::take(&mut self.stage);
        let (Stage::Demoting { primary, .. } | Stage::Demoted { primary, .. }) = stage else {
            return;
        };
        if primary != *current {
            self.failed = None;
            return;
        }
        let previous = self.failed.as_ref().filter(|(instance, ..)| *instance == primary);
        let count = previous.map_or(0, |(.., count)| *count) + 1;
        self.failed = Some((primary, now, count));
    }

    /// Returns whether a switchover from this primary may start now.
    fn may_start(&self, now: Instant, primary: &id::Instance) -> bool {
        self.failed.as_ref().is_none_or(|(instance, at, count)| {
            instance != primary
                || now.since(*at)
                    >= backoff(SWITCHOVER_RETRY_DELAY, *count - 1, MAX_SWITCHOVER_RETRY_DELAY)
        })
    }
}

impl Group {
    /// Starts or continues the switchover of a primary that is being drained.
    pub(super) fn switch_over(
        &mut self,
        now: Instant,
        epoch: &Epoch,
        view: View<'_>,
    ) -> Vec<Output> {
        let successors = self.successors(now, epoch, view);
        let wanted = view.draining.contains(&epoch.primary);
        match &mut self.switchover.stage {
            Stage::Idle if wanted && !successors.is_empty() => self.start_switchover(now, epoch),
            Stage::Idle => Vec::new(),
            Stage::Demoting { since, .. } if now.since(*since) >= SWITCHOVER_TIMEOUT => {
                self.freeze(now, epoch)
            }
            Stage::Demoting { .. } => Vec::new(),
            Stage::Demoted { since, end, caught_up_at, .. } => {
                let caught_up = successors.iter().any(|(_, received)| *received >= *end);
                let caught_up_since =
                    if caught_up { *caught_up_at.get_or_insert(now) } else { now };
                if now.since(caught_up_since) >= FREEZE_DELAY
                    || now.since(*since) >= SWITCHOVER_TIMEOUT
                {
                    return self.freeze(now, epoch);
                }
                let probe = |(instance, _)| Output::Probe { instance };
                if caught_up { Vec::new() } else { successors.into_iter().map(probe).collect() }
            }
        }
    }

    fn start_switchover(&mut self, now: Instant, epoch: &Epoch) -> Vec<Output> {
        if !self.switchover.may_start(now, &epoch.primary) {
            return Vec::new();
        }
        let primary = epoch.primary.clone();
        self.switchover.stage = Stage::Demoting { primary: primary.clone(), since: now };
        vec![Output::Demote { instance: primary, term: epoch.term }]
    }

    /// Returns the replicas that may take over, and the position that each has received.
    fn successors(
        &self,
        now: Instant,
        epoch: &Epoch,
        view: View<'_>,
    ) -> Vec<(id::Instance, id::Position)> {
        let fresh =
            self.probes.iter().filter(|(_, probe)| now.since(probe.recorded_at) < PROBE_VALIDITY);
        let successors = fresh.filter_map(|(instance, probe)| {
            let status = probe.result.as_ref().ok()?;
            let able = status.role == Role::Replica && status.term == epoch.term;
            let stays = *instance != epoch.primary && !view.draining.contains(instance);
            let usable = self.verdict(now, instance) == Verdict::Usable;
            (able && stays && usable).then(|| (instance.clone(), status.received))
        });
        successors.collect()
    }
}
