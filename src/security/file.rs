//! Parsed files that are reloaded when they change.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

use super::Error;
use crate::config::Secret;

/// Modification time and length of each file, to detect changes; `None` for a file whose metadata can't be read.
type Fingerprint = Vec<Option<(SystemTime, u64)>>;

/// Reads and parses the files.
type Loader<T> = Arc<dyn Fn() -> Result<T, Error> + Send + Sync>;

/// The parsed content of a file, or of several files that are loaded together. Clones share it.
pub struct File<T> {
    paths: Arc<[PathBuf]>,
    loader: Loader<T>,
    current: Arc<Mutex<(Fingerprint, Arc<T>)>>,
}

impl<T> Clone for File<T> {
    fn clone(&self) -> Self {
        Self {
            paths: Arc::clone(&self.paths),
            loader: Arc::clone(&self.loader),
            current: Arc::clone(&self.current),
        }
    }
}

impl<T> fmt::Debug for File<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("File").field(&self.paths).finish()
    }
}

impl<T> File<T> {
    /// Loads the files with `load`, which is called again when one of `paths` changes.
    ///
    /// # Errors
    ///
    /// Fails if `load` does.
    pub fn open(
        paths: &[&Path],
        load: impl Fn() -> Result<T, Error> + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let paths: Arc<[PathBuf]> = paths.iter().map(|path| path.to_path_buf()).collect();
        let fingerprint = fingerprint(&paths);
        let content = Arc::new(load()?);
        Ok(Self {
            paths,
            loader: Arc::new(load),
            current: Arc::new(Mutex::new((fingerprint, content))),
        })
    }

    /// Returns the current content.
    pub fn get(&self) -> Arc<T> {
        Arc::clone(&self.lock().1)
    }

    /// Reloads the files if they have changed. The old content stays in use if the new one is invalid.
    pub fn refresh(&self) {
        let fingerprint = fingerprint(&self.paths);
        if self.lock().0 == fingerprint {
            return;
        }
        let loaded = (self.loader)();
        let mut current = self.lock();
        current.0 = fingerprint;
        match loaded {
            Ok(content) => {
                current.1 = Arc::new(content);
                log::info!("{}: reloaded after a change", self.paths[0].display());
            }
            Err(error) => log::warn!(
                "reload after a change failed, the previous content stays in use: {error}"
            ),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, (Fingerprint, Arc<T>)> {
        self.current.lock().expect("no thread panics while holding this lock")
    }
}

/// Opens the file of a secret and parses it with `parse`, which is given the path and the text.
///
/// # Errors
///
/// Fails if the file can't be read or `parse` fails.
pub fn open_secret<T: 'static>(
    secret: &Secret,
    parse: fn(&str, &str) -> Result<T, Error>,
) -> Result<File<T>, Error> {
    let path = secret.path().to_path_buf();
    let secret = secret.clone();
    File::open(&[&path], move || {
        let path = secret.path().display().to_string();
        match secret.read() {
            Ok(text) => parse(&path, &text),
            Err(source) => Err(Error::Secret { path, source }),
        }
    })
}

/// Returns the lines that are neither empty nor `#` comments, trimmed and with their line numbers.
pub fn numbered_lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let numbered = text.lines().enumerate().map(|(index, line)| (index + 1, line.trim()));
    numbered.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
}

fn fingerprint(paths: &[PathBuf]) -> Fingerprint {
    let path_fingerprint = |path: &PathBuf| {
        let metadata = std::fs::metadata(path).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    };
    paths.iter().map(path_fingerprint).collect()
}
