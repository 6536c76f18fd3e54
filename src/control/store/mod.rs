//! Persistent storage of a control process: the identity of its disk, the newest snapshot, and the log after it.
//!
//! Each change is one record with its length and checksums, and is synced before Raft is notified. A torn last
//! record was never acknowledged, so it is truncated. Damage before the last record is an error, since the records
//! after it may have been acknowledged. See `docs/DESIGN.md`, "Control".

mod disk;
mod record;

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::raft::{Change, Peer, PersistentState, Snapshot, Start};
use crate::id;

pub use disk::{Disk, Folder};
use record::{decode_records, encode};

/// The file of the log.
const LOG: &str = "control.log";

/// The file of the newest snapshot.
const SNAPSHOT: &str = "control.snapshot";

/// The file of the disk's [`Identity`].
const IDENTITY: &str = "control.identity";

/// An error that prevents the use of the disk.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A disk operation failed.
    #[error("{file}: {source}")]
    Io {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// Data that may have been acknowledged is damaged.
    #[error(
        "{file}: damaged at byte {offset}: {what}; this disk can't vote any more. Move the data folder away and \
         start again: the process then learns from the others and is admitted anew \
         (docs/operators/replace-a-voter.md)"
    )]
    Damaged {
        /// The file.
        file: &'static str,
        /// The byte at which the damage begins.
        offset: usize,
        /// The kind of damage.
        what: &'static str,
    },
    /// Another control process reported that this disk is an old copy.
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
    /// A record can't be encoded or decoded.
    #[error("{0}")]
    Codec(#[from] postcard::Error),
}

/// Identifies a disk and the newest start of a process with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    incarnation: id::Incarnation,
    start: Start,
    /// The newer incarnation and start that superseded this disk, if it was refused.
    refused: Option<(id::Incarnation, Start)>,
}

/// An open disk.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    identity: Identity,
    term: id::Term,
    vote: Option<id::Node>,
    /// The current contents of the disk, used to rewrite the log file.
    contents: PersistentState,
}

/// What was read from the disk when it was opened.
#[derive(Debug, Clone, PartialEq)]
pub struct Recovery {
    /// The identity of this run of the process.
    pub peer: Peer,
    /// The persistent state of Raft.
    pub saved: PersistentState,
    /// The number of bytes read; compaction bounds it.
    pub read_bytes: usize,
}

impl Store<Folder> {
    /// Opens the files in `folder`.
    ///
    /// # Errors
    ///
    /// See [`Store::open_disk`].
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
    /// Reads the disk and records this start with the random `token`. A blank disk is assigned `new_incarnation`.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails, if data that may have been acknowledged is damaged, or if this disk was refused
    /// before.
    pub fn open_disk(
        mut disk: D,
        node: &id::Node,
        new_incarnation: id::Incarnation,
        token: u32,
    ) -> Result<(Self, Recovery), Error> {
        let (identity, saved, read_bytes) = read_disk(&mut disk, new_incarnation, token)?;
        let start = identity.start;
        let peer = Peer { node: node.clone(), incarnation: identity.incarnation, start };
        let recovery = Recovery { peer, saved: saved.clone(), read_bytes };
        let (term, vote) = (saved.term, saved.vote.clone());
        Ok((Self { disk, identity, term, vote, contents: saved }, recovery))
    }

    /// Reads the disk again after a failure, which counts as another start. Data written before the failure may exist
    /// only in the page cache even though a read returns it, so the snapshot and the log are rewritten and synced.
    ///
    /// # Errors
    ///
    /// See [`Store::open_disk`]. The call can be retried.
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

    /// Writes and syncs a change. After a failure, no change may be acknowledged until the store is reopened.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails.
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

    /// Records permanently that this disk was refused because `known` supersedes it.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails.
    pub fn mark_refused(&mut self, known: &Peer) -> Result<(), Error> {
        self.identity.refused = Some((known.incarnation, known.start));
        write(&mut self.disk, IDENTITY, &encode(&self.identity)?)
    }

    /// Rewrites the log with the vote and the entries that the snapshot does not cover.
    fn rewrite(&mut self) -> Result<(), Error> {
        let change = Change {
            vote: Some((self.term, self.vote.clone())),
            entries: self.contents.entries.clone(),
            ..Change::default()
        };
        write(&mut self.disk, LOG, &encode(&change)?)
    }
}

/// Reads a disk, records this start, and truncates a torn end of the log. Also returns the
/// number of bytes read.
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

/// Applies a change to the contents of the disk.
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

/// Combines the snapshot and the log, and returns the length of the log's valid part. Entries that the snapshot
/// covers remain if the process stopped between writing the snapshot and rewriting the log; entries that conflict
/// with the snapshot were never acknowledged. Both are dropped.
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

/// Decodes a file with a single record, which is always replaced atomically, so a torn record is damage.
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
