//! The log in memory: the entries after the snapshot, and the newest ones it covers, for followers slightly behind.

use std::collections::VecDeque;

use super::{
    CATCH_UP_ENTRIES, Entry, EntryId, MAX_APPEND_BYTES, Members, PersistentState, Snapshot,
};
use crate::id;

#[derive(Debug, Default)]
pub(super) struct Log {
    /// The entry that precedes the first one in memory.
    base: EntryId,
    entries: VecDeque<Entry>,
    pub(super) snapshot: Option<Snapshot>,
    /// The members as of the last entry.
    pub(super) members: Members,
}

impl Log {
    pub(super) fn new(saved: &PersistentState) -> Self {
        let snapshot = saved.snapshot.clone();
        let base = snapshot.as_ref().map_or(EntryId::default(), |snapshot| snapshot.last);
        let entries = saved.entries.iter().cloned().collect();
        let mut log = Self { base, entries, snapshot, members: Members::default() };
        log.recompute_members();
        log
    }

    pub(super) fn last(&self) -> EntryId {
        self.entries.back().map_or(self.base, |entry| (entry.term, entry.index))
    }

    /// Returns the term of the entry at `index`, or `None` when it is not in memory.
    pub(super) fn term(&self, index: id::Index) -> Option<id::Term> {
        if index == self.base.1 {
            return Some(self.base.0);
        }
        self.get(index).map(|entry| entry.term)
    }

    fn get(&self, index: id::Index) -> Option<&Entry> {
        let at = index.0.checked_sub(self.base.1.0 + 1)?;
        self.entries.get(at as usize)
    }

    /// Returns the entries after `previous` up to `end`, limited to the size of one message.
    pub(super) fn entries_after(&self, previous: id::Index, end: id::Index) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for index in previous.0 + 1..=end.0 {
            let Some(entry) = self.get(id::Index(index)) else {
                break;
            };
            bytes += entry.command.size();
            if bytes > MAX_APPEND_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Returns all entries from `first` to `end`, both included.
    pub(super) fn range(&self, first: id::Index, end: id::Index) -> Vec<Entry> {
        (first.0..=end.0).filter_map(|index| self.get(id::Index(index)).cloned()).collect()
    }

    pub(super) fn push(&mut self, entry: Entry) {
        self.members.apply(&entry);
        self.entries.push_back(entry);
    }

    /// Removes the entries after `index`.
    pub(super) fn truncate(&mut self, index: id::Index) {
        self.entries.truncate(index.0.saturating_sub(self.base.1.0) as usize);
        self.recompute_members();
    }

    /// Sets the snapshot and removes the entries it covers, except for the newest [`CATCH_UP_ENTRIES`].
    pub(super) fn compact(&mut self, snapshot: Snapshot) {
        let covered = snapshot.last.1.0.saturating_sub(self.base.1.0) as usize;
        for _ in 0..covered.saturating_sub(CATCH_UP_ENTRIES) {
            if let Some(entry) = self.entries.pop_front() {
                self.base = (entry.term, entry.index);
            }
        }
        self.snapshot = Some(snapshot);
    }

    /// Replaces the whole log by a snapshot.
    pub(super) fn replace(&mut self, snapshot: Snapshot) {
        self.base = snapshot.last;
        self.entries.clear();
        self.snapshot = Some(snapshot);
        self.recompute_members();
    }

    /// Returns the members as of a committed entry.
    pub(super) fn members_at(&self, index: id::Index) -> Members {
        let mut members = self.snapshot.as_ref().map(|s| s.members.clone()).unwrap_or_default();
        let start = self.snapshot.as_ref().map_or(id::Index(0), |snapshot| snapshot.last.1);
        for entry in self.entries.iter().filter(|e| e.index > start && e.index <= index) {
            members.apply(entry);
        }
        members
    }

    fn recompute_members(&mut self) {
        self.members = self.members_at(self.last().1);
    }
}
