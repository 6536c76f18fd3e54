//! Files whose content is parsed, kept, and read again when they change.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

use super::Error;
use crate::config::Secret;

/// What tells one state of a file from another: when it was changed and how long it is.
type Stamp = Vec<Option<(SystemTime, u64)>>;

/// What reads and parses the files.
type Load<T> = Arc<dyn Fn() -> Result<T, Error> + Send + Sync>;

/// The parsed content of one file or a few that belong together. Clones share it.
pub struct File<T> {
    paths: Arc<[PathBuf]>,
    load: Load<T>,
    current: Arc<Mutex<(Stamp, Arc<T>)>>,
}

impl<T> Clone for File<T> {
    fn clone(&self) -> Self {
        Self {
            paths: Arc::clone(&self.paths),
            load: Arc::clone(&self.load),
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
    /// Reads the files with `load`.
    ///
    /// # Errors
    ///
    /// Fails when `load` does.
    pub fn open(
        paths: &[&Path],
        load: impl Fn() -> Result<T, Error> + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let paths: Arc<[PathBuf]> = paths.iter().map(|path| path.to_path_buf()).collect();
        let stamp = stamp(&paths);
        let content = Arc::new(load()?);
        Ok(Self { paths, load: Arc::new(load), current: Arc::new(Mutex::new((stamp, content))) })
    }

    /// Returns the content.
    pub fn get(&self) -> Arc<T> {
        Arc::clone(&self.lock().1)
    }

    /// Reads the files again when they changed; the old content stays when the new one is not valid.
    pub fn refresh(&self) {
        let stamp = stamp(&self.paths);
        if self.lock().0 == stamp {
            return;
        }
        let loaded = (self.load)();
        let mut current = self.lock();
        current.0 = stamp;
        match loaded {
            Ok(content) => {
                current.1 = Arc::new(content);
                log::info!("{} was read again", self.paths[0].display());
            }
            Err(error) => log::warn!("a changed file is not used: {error}"),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, (Stamp, Arc<T>)> {
        self.current.lock().expect("nothing panics while it holds the lock")
    }
}

/// Reads a secret's file and parses it by `parse`, which gets the path and the text.
///
/// # Errors
///
/// Fails when the file can't be read or `parse` refuses it.
pub fn secret<T: 'static>(
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

/// Returns the lines that hold something, with their numbers; `#` begins a comment.
pub fn lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let numbered = text.lines().enumerate().map(|(at, line)| (at + 1, line.trim()));
    numbered.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
}

fn stamp(paths: &[PathBuf]) -> Stamp {
    let one = |path: &PathBuf| {
        let metadata = std::fs::metadata(path).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    };
    paths.iter().map(one).collect()
}
