//! Fair shares of the accounts of a class.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Entry, Lane};
use crate::clock::Instant;
use crate::id;

/// How long an account that neither waits nor runs is remembered, so that one that sends a statement at a time doesn't
/// regain a full share with each.
const MEMORY: Duration = Duration::from_secs(1);

/// The account of a statement, or `None` in a deployment without accounts.
pub(super) type Key = Option<id::Account>;

/// The waiting statements of an account in the order of their deadlines.
type Waiting<T> = BTreeMap<(Instant, u64), Entry<T>>;

/// The accounts of a class, in the order of their start tags (start-time fair queueing): the one that has had the least
/// time goes first. Start tags are in microseconds of service. An account that returns after a pause starts at the
/// present virtual time, so time that it left unused gives it no claim. Memory: one entry for each account that waits,
/// runs or ran within the last second.
#[derive(Debug)]
pub(super) struct Accounts<T> {
    all: BTreeMap<Key, Account<T>>,
    /// The start tags of the accounts with waiting statements.
    order: BTreeSet<(u64, Key)>,
    /// The start tag of the statement that started last.
    virtual_time: u64,
    pruned: Instant,
}

#[derive(Debug)]
struct Account<T> {
    /// The start tag of its next statement.
    tag: u64,
    primary: Waiting<T>,
    any: Waiting<T>,
    running: u32,
    last_used: Instant,
}

impl<T> Account<T> {
    fn waiting(&mut self, lane: Lane) -> &mut Waiting<T> {
        match lane {
            Lane::Primary => &mut self.primary,
            Lane::Any => &mut self.any,
        }
    }

    fn is_waiting(&self) -> bool {
        !self.primary.is_empty() || !self.any.is_empty()
    }
}

impl<T> Default for Accounts<T> {
    fn default() -> Self {
        let pruned = Instant::default();
        Self { all: BTreeMap::new(), order: BTreeSet::new(), virtual_time: 0, pruned }
    }
}

impl<T> Accounts<T> {
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    fn touch(&mut self, now: Instant, key: &Key) -> &mut Account<T> {
        if now.since(self.pruned) > MEMORY {
            self.pruned = now;
            self.all.retain(|_, account| {
                let used = account.is_waiting() || account.running > 0;
                used || now.since(account.last_used) < MEMORY
            });
        }
        let virtual_time = self.virtual_time;
        let account = self.all.entry(key.clone()).or_insert_with(|| Account {
            tag: virtual_time,
            primary: BTreeMap::new(),
            any: BTreeMap::new(),
            running: 0,
            last_used: now,
        });
        if !account.is_waiting() && account.running == 0 {
            account.tag = account.tag.max(virtual_time);
        }
        account.last_used = now;
        account
    }

    pub(super) fn push(&mut self, now: Instant, entry: Entry<T>) {
        let key = entry.account.clone();
        let account = self.touch(now, &key);
        let tag = account.tag;
        account.waiting(entry.lane).insert((entry.deadline, entry.ticket), entry);
        self.order.insert((tag, key));
    }

    pub(super) fn remove(&mut self, key: &Key, lane: Lane, at: (Instant, u64)) -> Option<Entry<T>> {
        let account = self.all.get_mut(key)?;
        let entry = account.waiting(lane).remove(&at);
        let (tag, is_waiting) = (account.tag, account.is_waiting());
        if !is_waiting {
            self.order.remove(&(tag, key.clone()));
        }
        entry
    }

    /// Records the start of a statement that is expected to take `micros`.
    pub(super) fn start(&mut self, now: Instant, key: &Key, micros: u64) {
        let account = self.touch(now, key);
        account.running += 1;
        let tag = account.tag;
        self.virtual_time = self.virtual_time.max(tag);
        self.set_tag(key, tag + micros);
    }

    /// Records that a running statement took `micros` instead of the `charged` time.
    pub(super) fn correct(&mut self, key: &Key, charged: u64, micros: u64) {
        if let Some(account) = self.all.get(key) {
            self.set_tag(key, (account.tag + micros).saturating_sub(charged));
        }
    }

    /// Records that a statement ended.
    pub(super) fn finish(&mut self, now: Instant, key: &Key) {
        if let Some(account) = self.all.get_mut(key) {
            account.running = account.running.saturating_sub(1);
            account.last_used = now;
        }
    }

    fn set_tag(&mut self, key: &Key, tag: u64) {
        if let Some(account) = self.all.get_mut(key) {
            let old = std::mem::replace(&mut account.tag, tag);
            if self.order.remove(&(old, key.clone())) {
                self.order.insert((tag, key.clone()));
            }
        }
    }

    /// Returns the first statement in the order for which `start` returns a value. `lanes` says whether statements for
    /// the primary and statements for any instance can start at all.
    pub(super) fn find<'a, R>(
        &'a self,
        lanes: (bool, bool),
        mut start: impl FnMut(&'a Entry<T>) -> Option<R>,
    ) -> Option<(&'a Entry<T>, R)> {
        for (_, key) in &self.order {
            let account = self.all.get(key)?;
            let count = |open: bool| if open { usize::MAX } else { 0 };
            let mut primary = account.primary.iter().take(count(lanes.0)).peekable();
            let mut any = account.any.iter().take(count(lanes.1)).peekable();
            loop {
                let first = match (primary.peek(), any.peek()) {
                    (Some(one), Some(other)) if one.0 <= other.0 => primary.next(),
                    (Some(_), None) => primary.next(),
                    (_, Some(_)) => any.next(),
                    (None, None) => break,
                };
                let (_, entry) = first?;
                if let Some(started) = start(entry) {
                    return Some((entry, started));
                }
            }
        }
        None
    }

    /// Counts the waiting statements that start before a further one of `key` with this deadline, for the primary and
    /// for any instance, if each takes `micros`.
    pub(super) fn count_ahead(&self, key: &Key, deadline: Instant, micros: u64) -> (f64, f64) {
        let own = self.all.get(key);
        let own_ahead = |waiting: &Waiting<T>| waiting.range(..(deadline, u64::MAX)).count();
        let ahead = own.map_or((0, 0), |own| (own_ahead(&own.primary), own_ahead(&own.any)));
        let tag = own.map_or(self.virtual_time, |own| own.tag.max(self.virtual_time));
        let start = tag + (ahead.0 + ahead.1) as u64 * micros;
        let mut total = (ahead.0 as f64, ahead.1 as f64);
        for (tag, other) in self.order.range(..(start.saturating_add(1), None)) {
            if other == key {
                continue;
            }
            if let Some(account) = self.all.get(other) {
                let (primary, any) = (account.primary.len() as f64, account.any.len() as f64);
                let turns = (start - tag) as f64 / micros.max(1) as f64 + 1.0;
                let part = (turns / (primary + any).max(1.0)).min(1.0);
                total = (total.0 + primary * part, total.1 + any * part);
            }
        }
        total
    }
}
