//! The disk operations that the store needs, as a trait so that tests can inject faults.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

/// A set of small named files.
pub trait Disk: Debug + Send + 'static {
    /// Reads a file, or returns `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails.
    fn read(&mut self, file: &str) -> Result<Option<Vec<u8>>>;

    /// Appends to a file without syncing it.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or is full.
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<()>;

    /// Syncs a file, so that the appended bytes survive a loss of power.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails; the appended bytes may or may not be lost then.
    fn sync(&mut self, file: &str) -> Result<()>;

    /// Truncates a file and syncs it.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails.
    fn truncate(&mut self, file: &str, len: usize) -> Result<()>;

    /// Replaces the contents of a file atomically and syncs it.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or is full.
    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl Folder {
    /// Opens a folder, creating it if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be created.
    pub fn open(path: &Path) -> Result<Self> {
        std::fs::create_dir_all(path)?;
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self { path: path.to_owned(), open: None })
    }

    /// Returns the file opened for appending, and keeps it open for the next call.
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
