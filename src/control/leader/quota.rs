//! The quotas of accounts: passes heartbeats, declarations and time to the ledger.

use super::Leader;
use crate::clock::Instant;
use crate::config::{Fleet, QuotaBound};
use crate::control::lease::Holder;
use crate::control::quota::Ledger;
use crate::control::state::State;
use crate::wire::{Heartbeat, Stamp, quota};

impl Leader {
    /// Returns the new leader with the bound on quotas that the settings declare.
    pub fn with_quota_bound(mut self, bound: QuotaBound, state: &State, fleet: &Fleet) -> Self {
        self.ledger = Ledger::new(self.elected_at, bound);
        self.ledger.configure(self.elected_at, state.revision, &fleet.account);
        self
    }

    /// Handles the quota reports of a proxy's newest heartbeat, and returns the allowances for the grant.
    pub(super) fn lease_tokens(
        &mut self,
        now: Instant,
        holder: &Holder,
        heartbeat: &Heartbeat,
        stamp: Stamp,
    ) -> Vec<quota::Allowance> {
        let is_of_term = heartbeat.seen.term == stamp.term;
        self.ledger.handle_reports(now, holder, &heartbeat.quota, is_of_term)
    }

    /// Counts the tokens of silent proxies as spent.
    pub(super) fn expire_tokens(&mut self, now: Instant, state: &State) {
        let registered = state.nodes.iter();
        let holders = registered.map(|(node, (incarnation, _))| (node.clone(), *incarnation));
        self.ledger.expire(now, holders);
    }
}
