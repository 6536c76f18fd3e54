//! Measures for how long a group had no usable primary during a failover, as observed by this proxy.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire::{Epoch, Phase};

/// A failover in progress: the primary that is being replaced, and since when it has been unusable.
#[derive(Debug)]
struct Outage {
    primary: id::Instance,
    since: Instant,
}

/// The failovers in progress, by group.
#[derive(Debug, Default)]
pub struct Gaps {
    outages: BTreeMap<id::Group, Outage>,
}

impl Gaps {
    /// Processes a change from the epoch `before` to the epoch `after`; `answered` is when the primary of `before` last
    /// answered. Once a new primary is in force, returns the replaced primary and for how long there was none.
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
