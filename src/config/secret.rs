//! Secrets, which are only accepted in files that no one but the owner can access.

use std::fmt;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// Permission bits that a secret's file must not have: all those of the group and of others.
const FORBIDDEN_MODE: u32 = 0o077;

/// The file of a secret. Its content is read on each use, so that changes take effect, and never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(PathBuf);

/// Why a secret's file was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("can't be read: {0}")]
    Io(#[from] std::io::Error),
    /// Users other than the owner can access the file.
    #[error("has mode {mode:03o}, so others can read it; valid: 600 or 400")]
    Mode {
        /// Permission bits of the file.
        mode: u32,
    },
}

impl Secret {
    /// Opens the secret at `path` after checking the file's permissions.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or if users other than the owner can access it.
    pub fn open(path: PathBuf) -> Result<Self, Error> {
        let secret = Self(path);
        secret.read()?;
        Ok(secret)
    }

    /// Reads the secret.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or if users other than the owner can access it.
    pub fn read(&self) -> Result<String, Error> {
        let mode = std::fs::metadata(&self.0)?.permissions().mode() & 0o777;
        if mode & FORBIDDEN_MODE != 0 {
            return Err(Error::Mode { mode });
        }
        Ok(std::fs::read_to_string(&self.0)?)
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({})", self.0.display())
    }
}
