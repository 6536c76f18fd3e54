//! Secrets: given by file only, and only by files that nobody but the owner can read.

use std::fmt;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// The permissions that a secret's file may not have: any of the group and of others.
const FORBIDDEN_MODE: u32 = 0o077;

/// The file of a secret. Its content is read when it is used, so that a changed file counts, and is never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(PathBuf);

/// Why a secret's file was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("can't be read: {0}")]
    Io(#[from] std::io::Error),
    /// Others than the owner can read the file.
    #[error("has mode {mode:03o}, so others can read it; valid: 600 or 400")]
    Mode {
        /// The permissions.
        mode: u32,
    },
}

impl Secret {
    /// Takes the file at `path` after checking its permissions.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, or others than its owner could read it too.
    pub fn open(path: PathBuf) -> Result<Self, Error> {
        let secret = Self(path);
        secret.read()?;
        Ok(secret)
    }

    /// Reads the secret.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, or others than its owner could read it too.
    pub fn read(&self) -> Result<String, Error> {
        let mode = std::fs::metadata(&self.0)?.permissions().mode() & 0o777;
        if mode & FORBIDDEN_MODE != 0 {
            return Err(Error::Mode { mode });
        }
        Ok(std::fs::read_to_string(&self.0)?)
    }

    /// Returns where the file is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({})", self.0.display())
    }
}
