//! The store: torn writes are truncated, damage is refused, and no synced entry is lost.

use cactushatch::control::raft::{Change, Entry, Members, PersistentState, Snapshot};
use cactushatch::control::store::{Error, Recovery, Store};
use cactushatch::id::{Incarnation, Index, Term};

use crate::cluster::{command, name, voter};
use crate::disk::{Fault, Memory};

const LOG: &str = "control.log";

fn open(disk: &Memory) -> Result<(Store<Memory>, Recovery), Error> {
    Store::open_disk(disk.clone(), &name(0), Incarnation(7), 1)
}

fn entry(index: u64) -> Entry {
    Entry { term: Term(1), index: Index(index), command: command(index) }
}

fn append_change(index: u64) -> Change {
    Change { entries: vec![entry(index)], ..Change::default() }
}

fn snapshot_change(index: u64) -> Change {
    let mut members = Members::default();
    members.voters.insert(name(0), voter(0));
    let snapshot = Snapshot { last: (Term(1), Index(index)), members, state: vec![1; 100] };
    Change { snapshot: Some(snapshot), ..Change::default() }
}

fn disk_with_entries(entries: u64) -> Memory {
    let disk = Memory::default();
    let (mut store, _) = open(&disk).unwrap();
    store.persist(Change { vote: Some((Term(1), Some(name(0)))), ..Change::default() }).unwrap();
    (1..=entries).for_each(|index| store.persist(append_change(index)).unwrap());
    disk
}

fn read_back(disk: &Memory) -> PersistentState {
    open(disk).unwrap().1.saved
}

#[test]
fn a_torn_last_record_is_truncated_and_synced_records_are_kept() {
    let whole = disk_with_entries(3);
    let last = disk_with_entries(2).len(LOG);
    for cut in last..whole.len(LOG) {
        let disk = whole.copy();
        disk.corrupt(LOG, |bytes| bytes.truncate(cut));
        assert_eq!(read_back(&disk).entries, [entry(1), entry(2)], "truncated at byte {cut}");
        assert_eq!(disk.len(LOG), last);
        assert_eq!(read_back(&disk).vote, Some(name(0)));
    }
}

#[test]
fn trailing_zeros_are_truncated() {
    let disk = disk_with_entries(3);
    disk.corrupt(LOG, |bytes| bytes.extend_from_slice(&[0; 512]));
    assert_eq!(read_back(&disk).entries, [entry(1), entry(2), entry(3)]);
}

#[test]
fn a_flipped_bit_before_the_last_record_is_refused() {
    let whole = disk_with_entries(3);
    let last = disk_with_entries(2).len(LOG);
    for at in 0..last {
        let disk = whole.copy();
        disk.corrupt(LOG, |bytes| bytes[at] ^= 1 << (at % 8));
        let error = open(&disk).expect_err("a damaged log was accepted");
        assert!(matches!(error, Error::Damaged { .. }), "{error}");
        assert!(error.to_string().contains("docs/operators/"), "{error}");
    }
}

#[test]
fn a_missing_or_damaged_snapshot_or_identity_is_refused() {
    let disk = disk_with_entries(5);
    let (mut store, _) = open(&disk).unwrap();
    store.persist(snapshot_change(3)).unwrap();
    for file in ["control.snapshot", "control.identity"] {
        let damaged = disk.copy();
        damaged.corrupt(file, |bytes| bytes[14] ^= 1);
        assert!(open(&damaged).is_err(), "a damaged {file} was accepted");
        let lost = disk.copy();
        lost.remove(file);
        assert!(open(&lost).is_err(), "a missing {file} was not detected");
    }
}

#[test]
fn a_stop_at_any_write_of_a_snapshot_loses_no_entry() {
    for writes in 0..4 {
        let disk = disk_with_entries(5);
        let (mut store, _) = open(&disk).unwrap();
        disk.set_fault(Some(Fault::StopAfter(writes)));
        let persisted = store.persist(snapshot_change(3)).is_ok();
        disk.lose_power();
        let saved = read_back(&disk);
        let first = saved.snapshot.map_or(1, |snapshot| snapshot.last.1.0 + 1);
        let entries: Vec<Entry> = (first..=5).map(entry).collect();
        assert_eq!(saved.entries, entries, "stopped after {writes} writes");
        assert_eq!(saved.vote, Some(name(0)));
        assert!(!persisted || first == 4);
    }
}

#[test]
fn entries_that_conflict_with_the_snapshot_are_dropped() {
    let disk = disk_with_entries(5);
    let (mut store, _) = open(&disk).unwrap();
    let mut change = snapshot_change(3);
    change.snapshot.as_mut().unwrap().last.0 = Term(2);
    change.truncate = Some(Index(0));
    disk.set_fault(Some(Fault::StopAfter(1)));
    store.persist(change).unwrap_err();
    disk.lose_power();
    assert_eq!(read_back(&disk).entries, []);
}

#[test]
fn a_truncated_entry_does_not_reappear() {
    let disk = disk_with_entries(5);
    let (mut store, _) = open(&disk).unwrap();
    store.persist(Change { truncate: Some(Index(3)), ..append_change(4) }).unwrap();
    assert_eq!(read_back(&disk).entries, [1, 2, 3, 4].map(entry));
}

#[test]
fn each_start_is_counted_and_a_refused_disk_stays_refused() {
    let disk = disk_with_entries(1);
    let (_, second) = open(&disk).unwrap();
    let (mut store, third) = open(&disk).unwrap();
    assert_eq!(second.peer.incarnation, Incarnation(7));
    assert_eq!(third.peer.start.count, second.peer.start.count + 1);
    store.mark_refused(&third.peer).unwrap();
    assert!(matches!(open(&disk), Err(Error::Outdated { .. })));
}
