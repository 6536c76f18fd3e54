//! How long writes of a group were unavailable while its primary was replaced, as this proxy saw it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire::{Epoch, Phase};

/// A failover that is not over: the primary that is replaced, and since when it is not usable.
#[derive(Debug)]
struct Down {
    primary: id::Instance,
    since: Instant,
}

/// The groups whose primary is being replaced.
#[derive(Debug, Default)]
pub struct Gaps {
    down: BTreeMap<id::Group, Down>,
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
                let down = Down { primary: before.primary.clone(), since };
                self.down.entry(after.group.clone()).or_insert(down);
                None
            }
            Phase::Active if after.term == before.term => {
                self.down.remove(&after.group);
                None
            }
            Phase::Active => {
                let down = self.down.remove(&after.group);
                let down = down.unwrap_or(Down { primary: before.primary.clone(), since });
                Some((down.primary, now.since(down.since)))
            }
        }
    }
}
