//! The disk of a control process: its identity, its newest snapshot, and the log after it.
//!
//! Every change is one record with its length and checksums, synced before the machine hears of it. A torn last
//! record was never acknowledged and is cut; damage before it is refused, since what follows may have been
//! acknowledged. See `docs/DESIGN.md`, "Control".

mod disk;
mod record;

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::raft::{Change, Peer, PersistentState, Snapshot, Start};
use crate::id;

pub use disk::{Disk, Folder};
use record::{decode_records, encode};

/// The log.
const LOG: &str = "control.log";

/// The newest snapshot.
const SNAPSHOT: &str = "control.snapshot";

/// Which disk this is, and how often a process was started with it.
const IDENTITY: &str = "control.identity";

/// Why the disk can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The disk failed.
    #[error("{file}: {source}")]
    Io {
        /// The file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// Something that may have been acknowledged is damaged.
    #[error(
        "{file}: damaged at byte {offset}: {what}; this disk can't vote any more. Move the data folder away and \
         start again: the process then learns from the others and is admitted anew \
         (docs/operators/replace-a-voter.md)"
    )]
    Damaged {
        /// The file.
        file: &'static str,
        /// Where the damage begins.
        offset: usize,
        /// What is wrong.
        what: &'static str,
    },
    /// Control said that this disk is an old copy.
    #[error(
        "this disk is a copy from before: control knows incarnation {incarnation} at start {start}. Move the data \
         folder away and start again (docs/operators/replace-a-voter.md)"
    )]
    Outdated {
        /// The incarnation that control knows.
        incarnation: id::Incarnation,
        /// The start that control knows.
        start: u64,
    },
    /// A record can't be encoded.
    #[error("{0}")]
    Codec(#[from] postcard::Error),
}

/// Which disk this is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    incarnation: id::Incarnation,
    start: Start,
    /// What control knew of this disk when it refused it.
    refused: Option<(id::Incarnation, Start)>,
}

/// The open disk.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    identity: Identity,
    term: id::Term,
    vote: Option<id::Node>,
    /// The entries in the log file, for writing it anew.
    contents: PersistentState,
}

/// What a process finds when it starts.
#[derive(Debug, Clone, PartialEq)]
pub struct Recovery {
    /// Which life this is.
    pub peer: Peer,
    /// What the machine starts from.
    pub saved: PersistentState,
    /// How many bytes were read; compaction bounds it.
    pub read_bytes: usize,
}

impl Store<Folder> {
    /// Opens the files in `folder`.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::open_disk`] does.
    pub fn open(
        folder: &Path,
        node: &id::Node,
        new_incarnation: id::Incarnation,
        token: u32,
    ) -> Result<(Self, Recovery), Error> {
        let disk = Folder::open(folder).map_err(|source| {
            let file = folder.display().to_string();
            Error::Io { file, source }
        })?;
        Self::open_disk(disk, node, new_incarnation, token)
    }
}

impl<D: Disk> Store<D> {
    /// Reads what the disk holds and counts this start, with the random `token`; a blank disk gets the
    /// incarnation `fresh`.
    ///
    /// # Errors
    ///
    /// Fails when the disk does, when what may have been acknowledged is damaged, and when control refused
    /// this disk before.
    pub fn open_disk(
        mut disk: D,
        node: &id::Node,
        new_incarnation: id::Incarnation,
        token: u32,
    ) -> Result<(Self, Recovery), Error> {
        let (identity, saved, read_bytes) = read_disk(&mut disk, new_incarnation, token)?;
        let start = identity.start;
        let peer = Peer { node: node.clone(), incarnation: identity.incarnation, start };
        let found = Recovery { peer, saved: saved.clone(), read_bytes };
        let (term, vote) = (saved.term, saved.vote.clone());
        Ok((Self { disk, identity, term, vote, contents: saved }, found))
    }

    /// Reads the disk again after it failed, as a further start. What was written before the failure may be in memory
    /// only, whatever a read shows, so the log is written and synced anew before it counts.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::open_disk`] does; it can be tried again.
    pub fn reopen(&mut self, node: &id::Node, token: u32) -> Result<Recovery, Error> {
        let (identity, saved, read_bytes) =
            read_disk(&mut self.disk, self.identity.incarnation, token)?;
        if let Some(snapshot) = &saved.snapshot {
            write(&mut self.disk, SNAPSHOT, &encode(snapshot)?)?;
        }
        let start = identity.start;
        let peer = Peer { node: node.clone(), incarnation: identity.incarnation, start };
        self.identity = identity;
        (self.term, self.vote) = (saved.term, saved.vote.clone());
        self.contents = saved.clone();
        self.rewrite()?;
        Ok(Recovery { peer, saved, read_bytes })
    }

    /// Writes and syncs a change. After a failure nothing may be acknowledged any more.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    pub fn persist(&mut self, change: Change) -> Result<(), Error> {
        let compacts = change.snapshot.is_some();
        let record = encode(&Change { snapshot: None, ..change.clone() })?;
        if let Some(snapshot) = &change.snapshot {
            write(&mut self.disk, SNAPSHOT, &encode(snapshot)?)?;
        }
        apply_change(&mut self.contents, change);
        (self.term, self.vote) = (self.contents.term, self.contents.vote.clone());
        if compacts {
            return self.rewrite();
        }
        self.disk.append(LOG, &record).map_err(io_error(LOG))?;
        self.disk.sync(LOG).map_err(io_error(LOG))
    }

    /// Notes for good that control refused this disk.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    pub fn mark_refused(&mut self, known: &Peer) -> Result<(), Error> {
        self.identity.refused = Some((known.incarnation, known.start));
        write(&mut self.disk, IDENTITY, &encode(&self.identity)?)
    }

    /// Writes the log anew, with what the snapshot does not cover.
    fn rewrite(&mut self) -> Result<(), Error> {
        let change = Change {
            vote: Some((self.term, self.vote.clone())),
            entries: self.contents.entries.clone(),
            ..Change::default()
        };
        write(&mut self.disk, LOG, &encode(&change)?)
    }
}

/// Reads what a disk holds, counts this start, and cuts a torn end. Returns the bytes that were read too.
fn read_disk(
    disk: &mut impl Disk,
    new_incarnation: id::Incarnation,
    token: u32,
) -> Result<(Identity, PersistentState, usize), Error> {
    let identity = read(disk, IDENTITY)?;
    let snapshot = read(disk, SNAPSHOT)?;
    let log = read(disk, LOG)?;
    let read_bytes = [&identity, &snapshot, &log].map(|file| file.as_ref().map_or(0, Vec::len));
    let identity =
        next_identity(identity, snapshot.is_some() || log.is_some(), new_incarnation, token)?;
    write(disk, IDENTITY, &encode(&identity)?)?;
    let (saved, valid_bytes) = load(snapshot.as_deref(), log.as_deref().unwrap_or_default())?;
    if log.is_some_and(|log| valid_bytes < log.len()) {
        disk.truncate(LOG, valid_bytes).map_err(io_error(LOG))?;
    }
    Ok((identity, saved, read_bytes.iter().sum()))
}

/// Takes a change into what the disk holds.
fn apply_change(contents: &mut PersistentState, change: Change) {
    if let Some((term, vote)) = change.vote {
        (contents.term, contents.vote) = (term, vote);
    }
    if let Some(index) = change.truncate {
        contents.entries.retain(|entry| entry.index <= index);
    }
    if let Some(snapshot) = change.snapshot {
        contents.entries.retain(|entry| entry.index > snapshot.last.1);
        contents.snapshot = Some(snapshot);
    }
    contents.entries.extend(change.entries);
}

/// Puts the log on top of the snapshot. Entries that the snapshot covers were left by a stop between the writing
/// of the snapshot and of the log; those of another history than the snapshot's were never acknowledged.
fn load(snapshot: Option<&[u8]>, log: &[u8]) -> Result<(PersistentState, usize), Error> {
    let snapshot: Option<Snapshot> =
        snapshot.map(|bytes| decode_single(SNAPSHOT, bytes)).transpose()?;
    let (changes, valid_bytes): (Vec<Change>, usize) = decode_records(LOG, log)?;
    let mut saved = PersistentState::default();
    for change in changes {
        apply_change(&mut saved, change);
    }
    let Some(snapshot) = snapshot else {
        let gap = saved.entries.first().is_some_and(|entry| entry.index != id::Index(1));
        let what = "the log begins after its first entry, but there is no snapshot";
        let missing = Error::Damaged { file: SNAPSHOT, offset: 0, what };
        return if gap { Err(missing) } else { Ok((saved, valid_bytes)) };
    };
    let (term, index) = snapshot.last;
    let conflicts = saved.entries.iter().any(|entry| entry.index == index && entry.term != term);
    saved.entries.retain(|entry| entry.index > index && entry.term >= term && !conflicts);
    saved.term = saved.term.max(term);
    if saved.entries.first().is_some_and(|entry| entry.index != index.next()) {
        let what = "the log begins after the end of the snapshot";
        return Err(Error::Damaged { file: LOG, offset: 0, what });
    }
    saved.snapshot = Some(snapshot);
    Ok((saved, valid_bytes))
}

fn next_identity(
    identity: Option<Vec<u8>>,
    used: bool,
    new_incarnation: id::Incarnation,
    token: u32,
) -> Result<Identity, Error> {
    let Some(bytes) = identity else {
        if used {
            let what = "there is a log, but not the identity of its disk";
            return Err(Error::Damaged { file: IDENTITY, offset: 0, what });
        }
        return Ok(Identity {
            incarnation: new_incarnation,
            start: Start { count: 1, token },
            refused: None,
        });
    };
    let identity: Identity = decode_single(IDENTITY, &bytes)?;
    if let Some((incarnation, start)) = identity.refused {
        return Err(Error::Outdated { incarnation, start: start.count });
    }
    let count = identity.start.count + 1;
    Ok(Identity { start: Start { count, token }, ..identity })
}

/// Reads a file that holds one record, which was put in place whole.
fn decode_single<T: for<'a> Deserialize<'a>>(file: &'static str, bytes: &[u8]) -> Result<T, Error> {
    let (records, valid_bytes) = decode_records(file, bytes)?;
    let what = "the record is not whole";
    let damaged = Error::Damaged { file, offset: valid_bytes, what };
    if valid_bytes < bytes.len() {
        return Err(damaged);
    }
    records.into_iter().next().ok_or(damaged)
}

fn read(disk: &mut impl Disk, file: &'static str) -> Result<Option<Vec<u8>>, Error> {
    disk.read(file).map_err(io_error(file))
}

fn write(disk: &mut impl Disk, file: &'static str, bytes: &[u8]) -> Result<(), Error> {
    disk.replace(file, bytes).map_err(io_error(file))
}

fn io_error(file: &'static str) -> impl Fn(std::io::Error) -> Error {
    move |source| Error::Io { file: file.to_owned(), source }
}
