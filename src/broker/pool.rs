//! The pool of idle connections to one instance.
//!
//! The most recently used connection is taken first, and connections that stay idle are closed. An instance accepts
//! only a limited number of connections. After a power loss it still counts the lost ones, and refuses new ones.
//!
//! A connection is used only for the account that it was opened for. The typical load has far more accounts (82) than
//! this proxy has connections to an instance (5), so the pool is a cache that is smaller than its key space. Opening a
//! connection takes as long as a statement and occupies a slot of the instance meanwhile. When a connection must be
//! closed for that of another account, it is the one whose next use is expected last: the rule of Belady ("A study of
//! replacement algorithms for a virtual-storage computer", 1966), with the time until the next use estimated from the
//! exponentially weighted uses of its account. This is a state machine without I/O. Its memory is bounded by the permits
//! for the instance and by [`MAX_ACCOUNTS`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

/// How long a connection may stay idle in a deployment without accounts: longer than the pauses between bursts in one
/// wave of callers (a school bell, a full hour), and shorter than the time after which instances close idle connections.
pub const MAX_IDLE: Duration = Duration::from_secs(5);

/// How long a connection above half of the share may stay idle in a deployment without accounts. Instances count the
/// connections of a VM that lost power for up to three seconds, and the other half is what the VM can open when it is back.
pub const MAX_IDLE_OF_SURPLUS: Duration = Duration::from_millis(200);

/// How long a connection of an account may stay idle. Most accounts send a statement to a group less than once in five
/// seconds. Instances close connections that were idle for 60 s.
pub const MAX_IDLE_OF_ACCOUNT: Duration = Duration::from_secs(30);

/// The maximum number of accounts whose uses are remembered for each instance: several times the 82 to 88 accounts of
/// the known deployments.
pub const MAX_ACCOUNTS: usize = 256;

/// The time constant of the weight of a use. It is longer than the bursts of single accounts (5 to 7 s), so that the
/// usual rate of the other accounts is still known after a burst.
const USE_DECAY: Duration = Duration::from_secs(10);

/// Idle connections, the most recently used last, and how often accounts use connections to the instance.
#[derive(Debug)]
pub struct Pool<C> {
    connections: Vec<Idle<C>>,
    uses: Uses,
}

/// An idle connection.
#[derive(Debug)]
struct Idle<C> {
    account: Option<id::Account>,
    since: Instant,
    connection: C,
}

/// The exponentially weighted number of uses by account.
#[derive(Debug, Default)]
struct Uses {
    entries: BTreeMap<id::Account, Use>,
}

/// The weight of an account's uses at the time of the last one.
#[derive(Debug, Clone, Copy)]
struct Use {
    weight: f64,
    at: Instant,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Self { connections: Vec::new(), uses: Uses::default() }
    }
}

impl<C> Pool<C> {
    /// Adds a connection of an account.
    pub fn put(&mut self, now: Instant, account: Option<id::Account>, connection: C) {
        self.connections.push(Idle { account, since: now, connection });
    }

    /// Records that a statement of an account needs a connection. Removes and returns an idle one of this account,
    /// preferring one that is `suitable`.
    pub fn pop(
        &mut self,
        now: Instant,
        account: Option<&id::Account>,
        suitable: impl Fn(&C) -> bool,
    ) -> Option<C> {
        if let Some(account) = account {
            self.uses.record(now, account);
        }
        let is_own = |idle: &Idle<C>| idle.account.as_ref() == account;
        let matching =
            self.connections.iter().rposition(|idle| is_own(idle) && suitable(&idle.connection));
        let at = matching.or_else(|| self.connections.iter().rposition(is_own))?;
        Some(self.connections.remove(at).connection)
    }

    /// Removes and returns a connection of any account for a ping by the proxy, preferring one that is `suitable`.
    pub fn pop_any(&mut self, suitable: impl Fn(&C) -> bool) -> Option<C> {
        let matching = self.connections.iter().rposition(|idle| suitable(&idle.connection));
        let at = matching.or(self.connections.len().checked_sub(1))?;
        Some(self.connections.remove(at).connection)
    }

    /// Removes the connection whose next use is expected last, so that the caller closes it. The last connection of an
    /// account that uses the instance more often than `requesting` is kept while there is another one to close.
    pub fn evict(&mut self, now: Instant, requesting: Option<&id::Account>) -> Option<C> {
        let rate = requesting.map_or(f64::INFINITY, |account| self.uses.rate(now, account));
        let is_kept = |idle: &Idle<C>| {
            let same = self.connections.iter().filter(|other| other.account == idle.account);
            self.rate(now, idle) > rate && same.count() == 1
        };
        let value = |idle: &Idle<C>| (!is_kept(idle), self.expected_use(now, idle));
        let values = self.connections.iter().map(value).enumerate();
        // Of several equal ones the one that has been idle longest is closed. It comes first in the list.
        let (at, _) = values
            .rev()
            .max_by(|(_, a), (_, b)| a.0.cmp(&b.0).then_with(|| a.1.total_cmp(&b.1)))?;
        Some(self.connections.remove(at).connection)
    }

    /// Closes the connections that were idle for too long, and those above `limit`.
    pub fn prune(&mut self, now: Instant, limit: usize) {
        self.connections.retain(|idle| now.since(idle.since) < idle.max_idle());
        while self.connections.len() > limit {
            self.evict(now, None);
        }
    }

    /// Closes the connections that were idle for [`MAX_IDLE_OF_SURPLUS`], except for those of accounts and the `kept` most
    /// recently used ones.
    pub fn prune_surplus(&mut self, now: Instant, kept: usize) {
        let mut surplus = self.connections.len().saturating_sub(kept);
        self.connections.retain(|idle| {
            let is_surplus = surplus > 0;
            surplus = surplus.saturating_sub(1);
            !is_surplus || idle.account.is_some() || now.since(idle.since) < MAX_IDLE_OF_SURPLUS
        });
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.connections.clear();
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns whether there is an idle connection of an account.
    pub fn has(&self, account: &id::Account) -> bool {
        self.connections.iter().any(|idle| idle.account.as_ref() == Some(account))
    }

    /// Returns the number of accounts whose uses are remembered.
    pub fn known_accounts(&self) -> usize {
        self.uses.entries.len()
    }

    fn rate(&self, now: Instant, idle: &Idle<C>) -> f64 {
        idle.account.as_ref().map_or(0.0, |account| self.uses.rate(now, account))
    }

    /// Estimates the seconds until a connection is used again. It is the mean time between two uses of its account, or
    /// the time that the connection has been idle if that is longer: connections that an account opened in a burst are
    /// idle for long although the account uses others often.
    fn expected_use(&self, now: Instant, idle: &Idle<C>) -> f64 {
        (1.0 / self.rate(now, idle)).max(now.since(idle.since).as_secs_f64())
    }
}

impl<C> Idle<C> {
    fn max_idle(&self) -> Duration {
        if self.account.is_some() { MAX_IDLE_OF_ACCOUNT } else { MAX_IDLE }
    }
}

impl Uses {
    fn record(&mut self, now: Instant, account: &id::Account) {
        let weight = self.entries.get(account).map_or(0.0, |entry| entry.weight_at(now)) + 1.0;
        if self.entries.len() >= MAX_ACCOUNTS && !self.entries.contains_key(account) {
            let by_weight = |(_, a): &(&id::Account, &Use), (_, b): &(&id::Account, &Use)| {
                a.weight_at(now).total_cmp(&b.weight_at(now))
            };
            let rarest = self.entries.iter().min_by(by_weight).map(|(account, _)| account.clone());
            rarest.and_then(|account| self.entries.remove(&account));
        }
        self.entries.insert(account.clone(), Use { weight, at: now });
    }

    /// Returns the uses per second.
    fn rate(&self, now: Instant, account: &id::Account) -> f64 {
        let weight = self.entries.get(account).map_or(0.0, |entry| entry.weight_at(now));
        weight / USE_DECAY.as_secs_f64()
    }
}

impl Use {
    fn weight_at(self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.weight * (-age / USE_DECAY.as_secs_f64()).exp()
    }
}
