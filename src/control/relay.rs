//! Decides which announcements of instances a control process that doesn't lead passes on to the leader.
//!
//! The load pattern: thousands of instances announce themselves every second. If all of them reached the leader, it would
//! spend more on announcements that change nothing than on everything else. So instances stay with the control process that
//! they reached first, and one that leaves an announcement's content unchanged is passed on once in [`REFRESH_INTERVAL`]
//! only, which keeps its registration far from [`TTL`](crate::upstream::announcement::TTL). An announcement that changes
//! something is always passed on, and is acknowledged only after the leader has committed it. This is a state machine
//! without I/O. Its memory is bounded by one entry for each registered instance.

use std::collections::BTreeMap;
use std::time::Duration;

use super::registry::is_unchanged;
use super::state::State;
use crate::clock::Instant;
use crate::id;
use crate::wire::Announcement;

/// The interval at which the leader hears of an instance whose announcements change nothing.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(2_500);

/// When the leader last acknowledged an announcement of each instance.
#[derive(Debug, Default)]
pub struct Refreshes {
    term: id::Term,
    acknowledged: BTreeMap<id::Instance, Instant>,
}

impl Refreshes {
    /// Returns whether an announcement needs no answer of the leader of `term`: it changes nothing in `state`, and that
    /// leader has heard of the instance recently.
    pub fn is_recent(
        &self,
        now: Instant,
        term: id::Term,
        announcement: &Announcement,
        state: &State,
    ) -> bool {
        let instance = &announcement.replica.instance;
        let known = state.enlisted.get(instance);
        let at = self.acknowledged.get(instance).filter(|_| term == self.term);
        known.is_some_and(|known| is_unchanged(known, announcement))
            && at.is_some_and(|at| now.since(*at) < REFRESH_INTERVAL)
    }

    /// Records that the leader of `term` acknowledged an announcement that was sent to it at `sent_at`.
    pub fn record(
        &mut self,
        sent_at: Instant,
        term: id::Term,
        instance: &id::Instance,
        state: &State,
    ) {
        if term != self.term {
            self.term = term;
            self.acknowledged.clear();
        }
        if !self.acknowledged.contains_key(instance) {
            self.acknowledged.retain(|known, _| state.enlisted.contains_key(known));
        }
        self.acknowledged.insert(instance.clone(), sent_at);
    }
}
