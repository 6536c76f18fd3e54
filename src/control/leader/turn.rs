//! Chooses the groups whose failover state machines run in a tick of the leader.
//!
//! The load pattern: one leader has hundreds of groups, of which almost all have a primary and receive no input between
//! two ticks. Running all of them in each tick takes longer than the tick, so that heartbeats of voters wait and the
//! leader is deposed. Groups with an input and groups without a primary run first, in the order in which they became
//! due; settled groups run in rotation, since only their timeouts can have passed. A tick runs [`MAX_TURNS`] groups at
//! most. Memory is bounded by one name for each declared group. This is a state machine without I/O.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

use crate::id;

/// The maximum number of groups that run in a tick.
pub const MAX_TURNS: usize = 64;

/// The maximum number of settled groups that run in a tick.
const MAX_SETTLED_TURNS: usize = 32;

/// The groups that are due, and how far the rotation of settled groups has come.
#[derive(Debug, Default)]
pub struct Rotation {
    due: VecDeque<id::Group>,
    queued: BTreeSet<id::Group>,
    last_settled: Option<id::Group>,
}

impl Rotation {
    /// Records that a group has an input or no primary, so that it runs before settled groups.
    pub fn add(&mut self, group: &id::Group) {
        if self.queued.insert(group.clone()) {
            self.due.push_back(group.clone());
        }
    }

    /// Returns the groups that run now, out of `groups`.
    pub fn next<T>(&mut self, groups: &BTreeMap<id::Group, T>) -> Vec<id::Group> {
        let due_count = self.due.len().min(MAX_TURNS);
        let mut turns: Vec<id::Group> = self.due.drain(..due_count).collect();
        turns.iter().for_each(|group| {
            self.queued.remove(group);
        });
        turns.retain(|group| groups.contains_key(group));
        let settled_count = MAX_SETTLED_TURNS.min(MAX_TURNS - turns.len()).min(groups.len());
        for _ in 0..settled_count {
            let start = self.last_settled.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
            let next = groups.range((start, Bound::Unbounded)).next();
            let Some((next, _)) = next.or_else(|| groups.first_key_value()) else { break };
            if !turns.contains(next) {
                turns.push(next.clone());
            }
            self.last_settled = Some(next.clone());
        }
        turns
    }
}
