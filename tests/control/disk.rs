//! A disk in memory that loses what was not synced, fills up, and fails on command.

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

use cactushatch::control::store::Disk;

/// What a disk does wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// It takes no more bytes.
    Full,
    /// What is written can't be synced.
    Sync,
    /// The process ends after so many more writes (appends, syncs and replacements each count).
    StopAfter(usize),
}

/// Clones share one disk.
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

    /// Sets what it does wrong from now on.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.files().fault = fault;
    }

    /// Takes the power away: what was not synced is lost.
    pub fn lose_power(&self) {
        let mut files = self.files();
        files.written = files.synced.clone();
        files.fault = None;
    }

    /// Returns a disk with the same synced files.
    pub fn copy(&self) -> Self {
        let synced = self.files().synced.clone();
        let written = synced.clone();
        Self(Arc::new(Mutex::new(Files { synced, written, fault: None })))
    }

    /// Changes a file as a damaged disk would.
    pub fn corrupt(&self, file: &str, change: impl Fn(&mut Vec<u8>)) {
        let mut files = self.files();
        change(files.written.get_mut(file).unwrap());
        files.synced = files.written.clone();
    }

    /// Loses a file.
    pub fn remove(&self, file: &str) {
        let mut files = self.files();
        files.written.remove(file);
        files.synced = files.written.clone();
    }

    /// Returns how long a file is.
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
