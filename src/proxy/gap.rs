//! How long writes of a group were unavailable while its primary was replaced, as this proxy saw it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire::{Epoch, Phase};

/// A failover that is not over: the primary that is replaced, and since when it is not usable.
#[derive(Debug)]
struct Outage {
    primary: id::Instance,
    since: Instant,
}

/// The groups whose primary is being replaced.
#[derive(Debug, Default)]
pub struct Gaps {
    outages: BTreeMap<id::Group, Outage>,
}

impl Gaps {
    /// Takes an epoch that changed, with the one before it and when that one's primary last answered. Returns the
    /// primary that was replaced and for how long there was none, once there is one again.
    pub fn step(
        &mut self,
        now: Instant,
        before: Option<&Epoch>,
        after: &Epoch,
        answered: Option<Instant>,
    ) -> Option<(id::Instance, Duration)> {
        let before = before?;
        let since = answered.unwrap_or(now).min(now);
        match after.phase {
            Phase::Frozen => {
                let outage = Outage { primary: before.primary.clone(), since };
                self.outages.entry(after.group.clone()).or_insert(outage);
                None
            }
            Phase::Active if after.term == before.term => {
                self.outages.remove(&after.group);
                None
            }
            Phase::Active => {
                let outage = self.outages.remove(&after.group);
                let outage = outage.unwrap_or(Outage { primary: before.primary.clone(), since });
                Some((outage.primary, now.since(outage.since)))
            }
        }
    }
}
