//! The accounts with the most operations, which metrics name. The others are summed, so that the number of series does
//! not grow with the number of accounts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

/// The number of accounts that metrics name.
pub const NAMED: usize = 10;

/// The interval at which the named accounts are chosen. The counts are halved then, so that they follow the load.
const CHOICE_INTERVAL: Duration = Duration::from_secs(10);

/// The accounts with the most operations.
#[derive(Debug, Default)]
pub struct Largest {
    counts: BTreeMap<id::Account, u64>,
    named: Vec<id::Account>,
    chosen_at: Instant,
}

impl Largest {
    /// Counts an operation. Returns whether metrics name its account, and the accounts that they name no longer.
    pub fn record(&mut self, now: Instant, account: &id::Account) -> (bool, Vec<id::Account>) {
        match self.counts.get_mut(account) {
            Some(count) => *count += 1,
            None => {
                self.counts.insert(account.clone(), 1);
            }
        }
        let mut dropped = Vec::new();
        if now.since(self.chosen_at) >= CHOICE_INTERVAL {
            self.chosen_at = now;
            let mut ranked: Vec<(u64, &id::Account)> =
                self.counts.iter().map(|(account, count)| (*count, account)).collect();
            ranked.sort_by(|a, b| b.cmp(a));
            let named: Vec<id::Account> =
                ranked.iter().take(NAMED).map(|(_, account)| (*account).clone()).collect();
            dropped = std::mem::replace(&mut self.named, named);
            dropped.retain(|account| !self.named.contains(account));
            self.counts.values_mut().for_each(|count| *count /= 2);
            self.counts.retain(|_, count| *count > 0);
        }
        (self.named.contains(account), dropped)
    }
}
