//! The leader's levels of operations and the tokens that proxies hold.
//!
//! Each account has one token bucket for the whole fleet (GCRA, ITU-T I.371, kept as a level). Tokens are leased to
//! proxies, which spend them without asking. A leased token stays in the level until the proxy reports it as spent, so
//! the level is never below what all proxies may still spend, and no window has more operations than the capacity plus
//! the refill. A state machine without I/O. It handles accounts that send several times their rate through all proxies
//! at once, leader changes, and proxies that are out of contact. Memory: one entry for each account and for each proxy
//! that holds or held tokens of it within [`VALIDITY`]. See `docs/design/quotas.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use super::lease::{CONFIRMATION_VALIDITY, Holder};
use crate::clock::Instant;
use crate::config::{Account, Quota, QuotaBound};
use crate::id;
use crate::wire::quota::{Allowance, Report};

/// How long a proxy may spend its tokens, from the sending of the last heartbeat that was granted. Bounded reads end
/// 2.5 s after a partition, so a partitioned proxy can use its tokens for as long as it can serve.
pub const VALIDITY: Duration = Duration::from_secs(3);

/// How long the leader counts tokens as leased after the last heartbeat: its clock may be a tenth faster.
pub const VALIDITY_WAIT: Duration = Duration::from_millis(VALIDITY.as_millis() as u64 * 11 / 10);

/// The part of the capacity above the burst that one leader may add to what its predecessor leased, before it knows
/// what that is. Two such parts are never leased, so that the bound holds over two elections in a row, each within
/// [`VALIDITY_WAIT`] of the one before. With 0.25 less could be leased at other times, and 70 instead of 44 % of
/// the operations of the accounts of ranks 6 to 20 waited for a token.
const ELECTION_PART: f64 = 0.15;

/// The number of such parts that are never leased.
const ELECTION_PARTS: f64 = 2.0;

/// Leased tokens count as hoarded by proxies that don't need them from this time of the account's rate, and
/// [`HOARDED_MARGIN`]. Proxies of an account above its quota hold about 0.2 s of its rate: an operation and a heartbeat.
const HOARDED_PERIOD: Duration = Duration::from_millis(500);

/// The number of tokens in use that says nothing of a small account.
const HOARDED_MARGIN: f64 = 2.0;

/// The part of the tokens that may be leased from which proxies are told to keep none in reserve. The rest is for those
/// whose callers wait.
const SCARCE_PART: f64 = 0.9;

/// How long proxies are asked to return idle tokens after another one found none.
const RECALL_PERIOD: Duration = Duration::from_secs(1);

/// The number of accounts for which idle tokens are recalled at once. It bounds the work for each heartbeat.
const MAX_RECALLED: usize = 8;

/// The interval at which tokens of silent proxies are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// How soon there must be tokens for callers to wait for them, so that they get them within the longest wait for a token
/// even if a message is late.
const SOON: Duration = Duration::from_millis(150);

/// The least and the greatest retry time. The first is a round trip to control; callers give up after the second.
const RETRY: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(2));

/// The maximum number of reports in a heartbeat and of allowances in a grant. With names of at most 64 bytes that is
/// below half of a datagram.
pub const MAX_REPORTS: usize = 256;

/// The levels of all accounts with a quota.
#[derive(Debug, Default)]
pub struct Ledger {
    bound: QuotaBound,
    /// When the predecessors have granted their last tokens. The levels refill from then on.
    begins_at: Instant,
    /// Whether tokens of a predecessor may be held by proxies that this leader hasn't heard.
    is_inheriting: bool,
    revision: Option<id::Revision>,
    levels: BTreeMap<id::Account, Level>,
    holders: BTreeMap<Holder, Contact>,
    /// The accounts whose idle tokens are recalled, and until when.
    recalled: Vec<(id::Account, Instant)>,
    expired_at: Instant,
}

/// The last contact of a proxy.
#[derive(Debug)]
struct Contact {
    heard_at: Instant,
    /// Whether all tokens that the proxy held when this leader was elected are known.
    is_settled: bool,
}

/// The bucket of an account.
#[derive(Debug, Default)]
struct Level {
    /// Whether the account is declared with a quota.
    is_declared: bool,
    rate: f64,
    burst: f64,
    capacity: f64,
    /// The tokens of the bucket, including those that are leased and not reported as spent.
    tokens: f64,
    refilled_at: Instant,
    /// The number of tokens that are leased and not reported as spent.
    leased: u64,
    /// The part of `leased` that was leased by predecessors.
    inherited: u64,
    /// The number of tokens that proxies wanted and did not get, by their last reports.
    unmet: u64,
    leases: BTreeMap<Holder, Lease>,
}

/// The tokens of one account that a proxy holds.
#[derive(Debug, Default)]
struct Lease {
    generation: u32,
    spent: u64,
    limit: u64,
    inherited: u64,
    unmet: u64,
}

impl Ledger {
    /// Creates the ledger of a leader that was elected at `elected_at`. All levels start empty, since the predecessor
    /// may have leased all that it had.
    pub fn new(elected_at: Instant, bound: QuotaBound) -> Self {
        let begins_at = elected_at + CONFIRMATION_VALIDITY;
        Self { bound, begins_at, is_inheriting: true, ..Self::default() }
    }

    /// Applies the declarations of a revision. An account that is declared later in a term starts full.
    pub fn configure(
        &mut self,
        now: Instant,
        revision: id::Revision,
        accounts: &BTreeMap<id::Account, Account>,
    ) {
        let is_first = self.revision.is_none();
        if self.revision.replace(revision) == Some(revision) {
            return;
        }
        self.levels.values_mut().for_each(|level| level.is_declared = false);
        for (name, account) in accounts {
            let Some(quota) = account.quota else {
                continue;
            };
            let is_new = !self.levels.contains_key(name);
            let level = self.levels.entry(name.clone()).or_default();
            level.refill(now, self.is_inheriting);
            level.declare(quota, self.bound);
            if is_new {
                level.tokens = if is_first { 0.0 } else { level.capacity };
                level.refilled_at = if is_first { self.begins_at } else { now };
            }
        }
    }

    /// Handles the reports of a proxy's newest heartbeat, and returns what the grant that answers it carries.
    /// `is_of_term` is whether the proxy had received a grant of this term when it sent the heartbeat: until then a
    /// predecessor's grant may still raise its limits.
    pub fn handle_reports(
        &mut self,
        now: Instant,
        holder: &Holder,
        reports: &[Report],
        is_of_term: bool,
    ) -> Vec<Allowance> {
        if self.levels.is_empty() {
            return Vec::new();
        }
        let contact = Contact { heard_at: now, is_settled: false };
        let contact = self.holders.entry(holder.clone()).or_insert(contact);
        contact.heard_at = now;
        if !is_of_term {
            return Vec::new();
        }
        // A proxy sends all of its tokens first, and full lists until they are known.
        contact.is_settled |= reports.len() < MAX_REPORTS;
        let mut allowances = Vec::new();
        for report in reports.iter().take(MAX_REPORTS) {
            let Some(level) = self.levels.get_mut(&report.account) else {
                continue;
            };
            level.refill(now, self.is_inheriting);
            level.record(holder, report, self.is_inheriting);
            let (allowance, is_hoarded) = level.lease(holder, report, self.is_inheriting);
            if is_hoarded {
                recall(&mut self.recalled, now, &report.account);
            }
            allowances.extend(allowance);
        }
        self.recalled.retain(|(_, until)| now < *until);
        for (account, _) in &self.recalled {
            let is_answered = allowances.iter().any(|answer| answer.account == *account);
            let lease = self.levels.get(account).and_then(|level| level.leases.get(holder));
            if let Some(lease) = lease.filter(|lease| !is_answered && lease.limit > lease.spent) {
                allowances.push(Allowance {
                    account: account.clone(),
                    generation: lease.generation,
                    limit: lease.limit,
                    retry_ms: Some(0),
                });
            }
        }
        allowances
    }

    /// Counts the tokens of silent proxies as spent once they are not valid any more. `registered` are the proxies that
    /// may hold tokens of a predecessor.
    pub fn expire(&mut self, now: Instant, mut registered: impl Iterator<Item = Holder>) {
        if self.levels.is_empty() || now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        if self.is_inheriting && now >= self.begins_at {
            let is_settled = |holder: &Holder| {
                self.holders.get(holder).is_some_and(|contact| contact.is_settled)
            };
            let is_over = now >= self.begins_at + VALIDITY_WAIT;
            self.is_inheriting = !is_over && !registered.all(|holder| is_settled(&holder));
        }
        let is_silent = |contact: &Contact| now.since(contact.heard_at) >= VALIDITY_WAIT;
        let silent = self.holders.iter().filter(|(_, contact)| is_silent(contact));
        let silent: Vec<Holder> = silent.map(|(holder, _)| holder.clone()).collect();
        for holder in silent {
            self.holders.remove(&holder);
            let is_inheriting = self.is_inheriting;
            let levels = self.levels.values_mut();
            levels.for_each(|level| level.write_off(now, &holder, is_inheriting));
        }
        self.levels.retain(|_, level| {
            if !level.is_declared {
                level.refill(now, false);
            }
            level.is_declared || !level.leases.is_empty() || level.tokens < level.capacity
        });
    }

    /// Returns the number of tokens of an account that proxies may still spend as far as the leader knows.
    pub fn leased(&self, account: &id::Account) -> u64 {
        self.levels.get(account).map_or(0, |level| level.leased)
    }
}

fn recall(recalled: &mut Vec<(id::Account, Instant)>, now: Instant, account: &id::Account) {
    let until = now + RECALL_PERIOD;
    if let Some((_, known)) = recalled.iter_mut().find(|(name, _)| name == account) {
        *known = until;
    } else if recalled.len() < MAX_RECALLED {
        recalled.push((account.clone(), until));
    }
}

/// Returns when the refill has covered what proxies wanted and did not get.
fn retry_time(unmet: u64, rate: f64) -> Duration {
    Duration::from_secs_f64((unmet as f64 / rate).min(RETRY.1.as_secs_f64())).max(RETRY.0)
}

impl Level {
    fn declare(&mut self, quota: Quota, bound: QuotaBound) {
        self.is_declared = true;
        self.rate = quota.rate.per_second();
        self.burst = f64::from(quota.burst);
        let window = self.rate * bound.window.as_secs_f64() + self.burst;
        self.capacity = self.burst + bound.excess * window + f64::from(bound.slack);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Returns what a new leader may have leased or ready to lease besides what its predecessors leased.
    fn election_part(&self) -> f64 {
        (self.capacity - self.burst) * ELECTION_PART
    }

    fn refill(&mut self, now: Instant, is_inheriting: bool) {
        if now <= self.refilled_at {
            return;
        }
        self.tokens += self.rate * now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = self.tokens.min(self.capacity);
        if is_inheriting {
            self.tokens = self.tokens.min(self.inherited as f64 + self.election_part());
        }
    }

    /// Records what a proxy spent and returned.
    fn record(&mut self, holder: &Holder, report: &Report, is_inheriting: bool) {
        let held = report.limit.saturating_sub(report.spent);
        let Some(lease) = self.leases.get_mut(holder) else {
            let (spent, generation) = (report.spent, report.generation);
            let inherited = if is_inheriting { held } else { 0 };
            let lease =
                Lease { generation, spent, limit: spent + held, inherited, ..Lease::default() };
            self.leases.insert(holder.clone(), lease);
            self.leased += held;
            self.inherited += inherited;
            // The predecessor's level had paid for them.
            self.tokens = (self.tokens + inherited as f64).min(self.capacity);
            return;
        };
        if report.generation < lease.generation {
            return;
        }
        let before = lease.limit - lease.spent;
        let spent = report.spent.saturating_sub(lease.spent);
        lease.spent += spent;
        if report.generation > lease.generation {
            lease.generation = report.generation;
            lease.limit = lease.limit.min(report.limit);
        }
        lease.limit = lease.limit.max(lease.spent);
        let after = lease.limit - lease.spent;
        let inherited = lease.inherited - lease.inherited.min(spent);
        self.inherited -= lease.inherited - inherited.min(after);
        lease.inherited = inherited.min(after);
        self.leased = self.leased + after - before;
        // Only tokens of a higher limit that was lowered since can exceed the level.
        self.tokens = (self.tokens - spent as f64).max(0.0);
    }

    /// Leases what a proxy wants as far as possible. Returns the answer, if there is anything to answer, and whether
    /// other proxies hold what it wants.
    fn lease(
        &mut self,
        holder: &Holder,
        report: &Report,
        is_inheriting: bool,
    ) -> (Option<Allowance>, bool) {
        let reserve = ELECTION_PARTS * self.election_part();
        let leasable = self.capacity - reserve;
        let most = if is_inheriting { self.tokens } else { self.tokens.min(leasable) };
        let available =
            if self.is_declared { (most - self.leased as f64).max(0.0) as u64 } else { 0 };
        let Some(lease) = self.leases.get_mut(holder) else {
            return (None, false);
        };
        if report.generation < lease.generation {
            return (None, false);
        }
        let missing = (lease.spent + u64::from(report.wanted)).saturating_sub(lease.limit);
        let given = missing.min(available);
        lease.limit += given;
        self.leased += given;
        self.unmet = self.unmet + (missing - given) - lease.unmet;
        lease.unmet = missing - given;
        let is_short = given < missing;
        let hoarded = self.rate * HOARDED_PERIOD.as_secs_f64() + HOARDED_MARGIN;
        let is_hoarded = is_short && self.leased as f64 >= hoarded.min(self.capacity / 2.0);
        let is_scarce = is_inheriting || self.leased as f64 >= leasable * SCARCE_PART;
        let retry = retry_time(self.unmet, self.rate);
        let is_none = is_short && !is_hoarded && retry > SOON;
        let retry_ms = match is_none {
            true => Some(retry.as_millis() as u32),
            false => is_scarce.then_some(0),
        };
        let answer = Allowance {
            account: report.account.clone(),
            generation: lease.generation,
            limit: lease.limit,
            retry_ms,
        };
        let holds_nothing = lease.limit == lease.spent && report.wanted == 0;
        let is_needed = lease.limit != report.limit || report.wanted > 0 && is_short;
        if holds_nothing {
            self.leases.remove(holder);
        }
        (is_needed.then_some(answer), is_hoarded)
    }

    /// Counts the tokens of a proxy as spent.
    fn write_off(&mut self, now: Instant, holder: &Holder, is_inheriting: bool) {
        let Some(lease) = self.leases.remove(holder) else {
            return;
        };
        self.refill(now, is_inheriting);
        let held = lease.limit - lease.spent;
        self.leased -= held;
        self.inherited -= lease.inherited;
        self.unmet -= lease.unmet;
        self.tokens = (self.tokens - held as f64).max(0.0);
    }
}
