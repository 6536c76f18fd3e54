//! What the store needs of a disk; tests put a failing one in its place.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

/// A few small files.
pub trait Disk: Debug + Send + 'static {
    /// Reads a file; `None` when there is none.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    fn read(&mut self, file: &str) -> Result<Option<Vec<u8>>>;

    /// Appends to a file.
    ///
    /// # Errors
    ///
    /// Fails when the disk does, or is full.
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<()>;

    /// Makes what was appended survive a loss of power.
    ///
    /// # Errors
    ///
    /// Fails when the disk does; what was appended is lost then or not.
    fn sync(&mut self, file: &str) -> Result<()>;

    /// Cuts a file and syncs it.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    fn truncate(&mut self, file: &str, len: usize) -> Result<()>;

    /// Replaces a file by a synced one, whole or not at all.
    ///
    /// # Errors
    ///
    /// Fails when the disk does, or is full.
    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl Folder {
    /// Opens a folder and makes it where it is missing.
    ///
    /// # Errors
    ///
    /// Fails when it can't be made.
    pub fn open(path: &Path) -> Result<Self> {
        std::fs::create_dir_all(path)?;
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self { path: path.to_owned(), open: None })
    }

    /// Returns the file for appending; it is kept open.
    fn open_for_append(&mut self, name: &str) -> Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().append(true).create(true).open(path)?;
            self.sync_folder()?;
            self.open = Some((name.to_owned(), file));
        }
        let open = self.open.as_mut();
        open.map(|(_, file)| file).ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn sync_folder(&self) -> Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl Disk for Folder {
    fn read(&mut self, file: &str) -> Result<Option<Vec<u8>>> {
        match std::fs::read(self.path.join(file)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<()> {
        self.open_for_append(file)?.write_all(bytes)
    }

    fn sync(&mut self, file: &str) -> Result<()> {
        self.open_for_append(file)?.sync_data()
    }

    fn truncate(&mut self, file: &str, len: usize) -> Result<()> {
        let file = self.open_for_append(file)?;
        file.set_len(len as u64)?;
        file.sync_all()
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<()> {
        self.open = None;
        let new_path = self.path.join(format!("{file}.new"));
        let mut written = File::create(&new_path)?;
        written.write_all(bytes)?;
        written.sync_all()?;
        std::fs::rename(&new_path, self.path.join(file))?;
        self.sync_folder()
    }
}
