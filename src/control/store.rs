//! The log on disk: records with a length and a checksum, synced before they count.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use super::raft::Entry;

/// Why the log can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The disk failed.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A record in the middle is damaged.
    #[error(
        "{path}: the record at byte {offset} is damaged; replace this voter's disk (docs/operators)"
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the record begins.
        offset: usize,
    },
    /// An entry can't be encoded.
    #[error("{0}")]
    Codec(#[from] postcard::Error),
}

/// The open log.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: File,
}

/// The bytes in front of a record: its length and its checksum.
const HEADER_BYTES: usize = 8;

impl Store {
    /// Opens the log in `folder` and returns the entries that it holds; a torn tail is cut.
    ///
    /// # Errors
    ///
    /// Fails when the disk does, or when a record that others follow is damaged.
    pub fn open(folder: &Path) -> Result<(Self, Vec<Entry>), Error> {
        let path = folder.join("control.log");
        let io = |source| Error::Io { path: path.clone(), source };
        std::fs::create_dir_all(folder).map_err(io)?;
        let mut options = OpenOptions::new();
        let mut file = options.read(true).append(true).create(true).open(&path).map_err(io)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(io)?;
        let (entries, good) = scan(&path, &bytes)?;
        if good < bytes.len() {
            file.set_len(good as u64).map_err(io)?;
        }
        file.sync_all().map_err(io)?;
        Ok((Self { path, file }, entries))
    }

    /// Appends an entry and syncs it.
    ///
    /// # Errors
    ///
    /// Fails when the disk does; the process must then stop taking part.
    pub fn append(&mut self, entry: &Entry) -> Result<(), Error> {
        let body = postcard::to_stdvec(entry)?;
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
        bytes.extend_from_slice(&body);
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        written.map_err(|source| Error::Io { path: self.path.clone(), source })
    }
}

fn scan(path: &Path, bytes: &[u8]) -> Result<(Vec<Entry>, usize), Error> {
    let mut entries = Vec::new();
    let mut offset = 0;
    while let Some(header) = bytes.get(offset..offset + HEADER_BYTES) {
        let len = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let checksum = u32::from_be_bytes([header[4], header[5], header[6], header[7]]);
        let start = offset + HEADER_BYTES;
        let Some(body) = bytes.get(start..start + len) else {
            break;
        };
        if crc32fast::hash(body) != checksum {
            if start + len == bytes.len() {
                break;
            }
            return Err(Error::Damaged { path: path.to_owned(), offset });
        }
        entries.push(postcard::from_bytes(body)?);
        offset = start + len;
    }
    Ok((entries, offset))
}
