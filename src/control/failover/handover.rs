//! The planned hand-over of a primary that is leaving: it stops writes while its epoch is still in force, so
//! that what ran on it is acknowledged; once a replica has received its last position, the epoch is frozen and
//! the failover's machine does the rest.

use std::time::Duration;

use super::damper::doubled;
use super::evidence::Standing;
use super::{FRESH, Group, Output, View};
use crate::clock::Instant;
use crate::id;
use crate::upstream::status::Status;
use crate::wire::{Epoch, Role};

/// How long a hand-over may take until the epoch is frozen all the same, and the best instance is chosen,
/// which may be the same primary under a new term.
pub const HANDOVER: Duration = Duration::from_millis(500);

/// How long the replica has held the last position before the freeze, so that proxies hear that the last
/// writes are durable and release their answers.
pub const LINGER: Duration = Duration::from_millis(10);

/// How long the second attempt waits after one that failed; it doubles from there.
pub const PAUSE: Duration = Duration::from_secs(5);

/// The longest pause between two attempts.
const PAUSE_LIMIT: Duration = Duration::from_secs(80);

#[derive(Debug, Default)]
pub(super) struct Handover {
    stage: Stage,
    /// The primary that did not get rid of its role, since when, and how often.
    failed: Option<(id::Instance, Instant, u32)>,
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Idle,
    /// The primary was told to stop writes.
    Ordered { primary: id::Instance, since: Instant },
    /// It has; a replica must receive up to its last position.
    Stopped { primary: id::Instance, since: Instant, end: id::Position, held: Option<Instant> },
}

impl Handover {
    pub(super) fn is_under_way(&self) -> bool {
        !matches!(self.stage, Stage::Idle)
    }

    /// Takes the primary's last status.
    pub(super) fn demoted(&mut self, instance: &id::Instance, status: Status) {
        if let Stage::Ordered { primary, since } = &self.stage
            && primary == instance
        {
            let (primary, since) = (primary.clone(), *since);
            self.stage = Stage::Stopped { primary, since, end: status.received, held: None };
        }
    }

    /// Notes that the primary goes on, since transactions are open; it is asked again later.
    pub(super) fn refused(&mut self, now: Instant, instance: &id::Instance) {
        if matches!(&self.stage, Stage::Ordered { primary, .. } if primary == instance) {
            self.ended(now, instance);
        }
    }

    /// Notes that the hand-over has ended, well if the primary is another one.
    pub(super) fn ended(&mut self, now: Instant, current: &id::Instance) {
        let stage = std::mem::take(&mut self.stage);
        let (Stage::Ordered { primary, .. } | Stage::Stopped { primary, .. }) = stage else {
            return;
        };
        if primary != *current {
            self.failed = None;
            return;
        }
        let before = self.failed.as_ref().filter(|(instance, ..)| *instance == primary);
        let count = before.map_or(0, |(.., count)| *count) + 1;
        self.failed = Some((primary, now, count));
    }

    /// Tells whether the primary may be asked now.
    fn allows(&self, now: Instant, primary: &id::Instance) -> bool {
        self.failed.as_ref().is_none_or(|(instance, at, count)| {
            instance != primary || now.since(*at) >= doubled(PAUSE, *count - 1, PAUSE_LIMIT)
        })
    }
}

impl Group {
    /// Goes on with the hand-over of a primary that is leaving.
    pub(super) fn hand_over(&mut self, now: Instant, epoch: &Epoch, view: View<'_>) -> Vec<Output> {
        let heirs = self.heirs(now, epoch, view);
        let wanted = view.draining.contains(&epoch.primary);
        match &mut self.handover.stage {
            Stage::Idle if wanted && !heirs.is_empty() => self.begin(now, epoch),
            Stage::Idle => Vec::new(),
            Stage::Ordered { since, .. } if now.since(*since) >= HANDOVER => {
                self.freeze(now, epoch)
            }
            Stage::Ordered { .. } => Vec::new(),
            Stage::Stopped { since, end, held, .. } => {
                let holds = heirs.iter().any(|(_, received)| *received >= *end);
                let since_held = if holds { *held.get_or_insert(now) } else { now };
                if now.since(since_held) >= LINGER || now.since(*since) >= HANDOVER {
                    return self.freeze(now, epoch);
                }
                let probe = |(instance, _)| Output::Probe { instance };
                if holds { Vec::new() } else { heirs.into_iter().map(probe).collect() }
            }
        }
    }

    fn begin(&mut self, now: Instant, epoch: &Epoch) -> Vec<Output> {
        if !self.handover.allows(now, &epoch.primary) {
            return Vec::new();
        }
        let primary = epoch.primary.clone();
        self.handover.stage = Stage::Ordered { primary: primary.clone(), since: now };
        vec![Output::Demote { instance: primary, term: epoch.term }]
    }

    /// Returns the replicas that may take over, and what each has received.
    fn heirs(
        &self,
        now: Instant,
        epoch: &Epoch,
        view: View<'_>,
    ) -> Vec<(id::Instance, id::Position)> {
        let fresh = self.probes.iter().filter(|(_, probe)| now.since(probe.at) < FRESH);
        let heirs = fresh.filter_map(|(instance, probe)| {
            let status = probe.seen.as_ref().ok()?;
            let able = status.role == Role::Replica && status.term == epoch.term;
            let stays = *instance != epoch.primary && !view.draining.contains(instance);
            let usable = self.standing(now, instance) == Standing::Usable;
            (able && stays && usable).then(|| (instance.clone(), status.received))
        });
        heirs.collect()
    }
}
