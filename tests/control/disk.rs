//! An in-memory disk with fault injection: loss of unsynced data, a full disk, failed syncs, and a stop of the process.

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

use cactushatch::control::store::Disk;

/// A fault of a disk.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The disk is full.
    Full,
    /// Syncs fail.
    Sync,
    /// The process ends after this many more writes (appends, syncs and replacements each count).
    StopAfter(usize),
}

/// An in-memory disk. Clones share the same files.
#[derive(Debug, Clone, Default)]
pub struct Memory(Arc<Mutex<Files>>);

#[derive(Debug, Default)]
struct Files {
    synced: BTreeMap<String, Vec<u8>>,
    written: BTreeMap<String, Vec<u8>>,
    fault: Option<Fault>,
}

impl Memory {
    fn files(&self) -> MutexGuard<'_, Files> {
        self.0.lock().unwrap()
    }

    /// Sets the fault that applies to later writes; `None` clears it.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.files().fault = fault;
    }

    /// Simulates a loss of power, which loses all unsynced data.
    pub fn lose_power(&self) {
        let mut files = self.files();
        files.written = files.synced.clone();
        files.fault = None;
    }

    /// Returns a separate disk with the same synced files.
    pub fn copy(&self) -> Self {
        let synced = self.files().synced.clone();
        let written = synced.clone();
        Self(Arc::new(Mutex::new(Files { synced, written, fault: None })))
    }

    /// Corrupts a file with `change`.
    pub fn corrupt(&self, file: &str, change: impl Fn(&mut Vec<u8>)) {
        let mut files = self.files();
        change(files.written.get_mut(file).unwrap());
        files.synced = files.written.clone();
    }

    /// Removes a file.
    pub fn remove(&self, file: &str) {
        let mut files = self.files();
        files.written.remove(file);
        files.synced = files.written.clone();
    }

    /// Returns the length of a file in bytes.
    pub fn len(&self, file: &str) -> usize {
        self.files().written.get(file).map_or(0, Vec::len)
    }
}

impl Files {
    fn check_write(&mut self) -> Result<()> {
        match &mut self.fault {
            Some(Fault::Full) => Err(ErrorKind::StorageFull.into()),
            Some(Fault::StopAfter(0)) => Err(Error::other("the process was ended")),
            Some(Fault::StopAfter(remaining)) => {
                *remaining -= 1;
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

impl Disk for Memory {
    fn read(&mut self, file: &str) -> Result<Option<Vec<u8>>> {
        Ok(self.files().written.get(file).cloned())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<()> {
        let mut files = self.files();
        files.check_write()?;
        files.written.entry(file.to_owned()).or_default().extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> Result<()> {
        let mut files = self.files();
        files.check_write()?;
        if files.fault == Some(Fault::Sync) {
            return Err(Error::other("the sync failed"));
        }
        let bytes = files.written.get(file).cloned().unwrap_or_default();
        files.synced.insert(file.to_owned(), bytes);
        Ok(())
    }

    fn truncate(&mut self, file: &str, len: usize) -> Result<()> {
        self.files().written.get_mut(file).unwrap().truncate(len);
        self.sync(file)
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<()> {
        let mut files = self.files();
        files.check_write()?;
        if files.fault == Some(Fault::Sync) {
            return Err(Error::other("the sync failed"));
        }
        files.written.insert(file.to_owned(), bytes.to_vec());
        files.synced.insert(file.to_owned(), bytes.to_vec());
        Ok(())
    }
}
