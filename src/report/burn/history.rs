//! The buckets of one proxy, in memory and in a file of bounded size: minutes for the last day, hours before that.
//!
//! The file is a sequence of records, each with a length and a checksum. The bucket of a minute is appended when the
//! minute ends; a file that would exceed its limit is rewritten without the oldest buckets. Reading stops at the first
//! truncated or corrupt record; the bytes from there on are discarded and their number is logged.

use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

use super::bucket::{Bucket, Cause, Counts, Minute, Spender};
use crate::config::Size;
use crate::id;

/// How long buckets of one minute are kept before they are merged into hours.
const FINE_RETENTION_MINUTES: u64 = 24 * 60;
const COARSE_BUCKET_MINUTES: u64 = 60;
/// The window of the error budget, 30 days; older buckets are dropped.
pub(super) const WINDOW_MINUTES: u64 = 30 * 24 * 60;
/// Length and checksum, four bytes each.
const HEADER_BYTES: usize = 8;
/// The maximum length of a record's body; a greater length marks a corrupt record.
const MAX_RECORD_BYTES: usize = 64 * 1024;
/// Name of the file in the data directory.
const FILE_NAME: &str = "history";

/// A completed request, reduced to what objectives are measured by.
#[derive(Debug, Clone)]
pub struct CompletedRequest {
    /// Class of the request.
    pub class: id::Class,
    /// Primary of the request's group, if there was one.
    pub primary: Option<id::Instance>,
    /// Whether the request was answered within its deadline.
    pub answered: bool,
    /// Whether the caller knows the outcome.
    pub known: bool,
    /// Why the request spent budget; meaningful only if it was not answered or its outcome is not known.
    pub cause: Cause,
}

/// A handle to the buckets; clones share them.
#[derive(Debug, Clone, Default)]
pub struct History {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The buckets of past minutes, the oldest first.
    closed: VecDeque<Bucket>,
    /// The bucket of the current minute.
    current: Bucket,
    storage: Option<Storage>,
}

/// The file that closed buckets are written to.
#[derive(Debug)]
struct Storage {
    path: PathBuf,
    file: File,
    bytes: u64,
    limit_bytes: u64,
}

impl History {
    /// Loads the file in the directory `data` and continues it. Without a directory the history is kept in memory
    /// only.
    ///
    /// # Errors
    ///
    /// Fails if the directory or the file can't be read or written.
    pub fn open(data: Option<&Path>, limit: Size, now: Minute) -> std::io::Result<Self> {
        let mut inner = Inner { current: Bucket::new(now), ..Inner::default() };
        if let Some(data) = data {
            std::fs::create_dir_all(data)?;
            let path = data.join(FILE_NAME);
            let bytes = match std::fs::read(&path) {
                Ok(bytes) => bytes,
                Err(error) if error.kind() == std::io::ErrorKind::NotFound => Vec::new(),
                Err(error) => return Err(error),
            };
            let (buckets, read) = decode_records(&bytes);
            if read < bytes.len() {
                log::warn!(
                    "{}: discarding {} bytes from the first invalid record on",
                    path.display(),
                    bytes.len() - read
                );
            }
            inner.closed = buckets.into();
            inner.closed.make_contiguous().sort_by_key(|bucket| bucket.start);
            inner.compact(now);
            inner.storage = Some(Storage::create(path, limit.0, &inner.closed)?);
        }
        Ok(Self { inner: Arc::new(Mutex::new(inner)) })
    }

    /// Counts a completed request.
    pub fn record_request(&self, now: Minute, request: CompletedRequest) {
        let mut inner = self.lock_at(now);
        let counts = inner.current.classes.entry(request.class.clone()).or_default();
        counts.add(&Counts {
            requests: 1,
            answered: u64::from(request.answered),
            known: u64::from(request.known),
            ..Counts::default()
        });
        if !request.answered || !request.known {
            let spender =
                Spender { class: request.class, instance: request.primary, cause: request.cause };
            inner.current.add_spent(spender, 1);
        }
    }

    /// Counts a read that was served by an instance.
    pub fn record_read(&self, now: Minute, class: &id::Class, replica: bool) {
        let mut inner = self.lock_at(now);
        let counts = inner.current.classes.entry(class.clone()).or_default();
        counts.add(&Counts { reads: 1, replica_reads: u64::from(replica), ..Counts::default() });
    }

    /// Records a failover gap that ended.
    pub fn record_gap(&self, now: Minute, instance: id::Instance, ms: u64) {
        self.lock_at(now).current.add_gap(instance, ms);
    }

    /// Returns all buckets, the oldest first, including the one of the current minute.
    pub fn buckets(&self, now: Minute) -> Vec<Bucket> {
        let inner = self.lock_at(now);
        inner.closed.iter().chain([&inner.current]).cloned().collect()
    }

    /// Closes the current bucket if its minute has passed, and returns the locked buckets.
    fn lock_at(&self, now: Minute) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().expect("no thread panics while holding this lock");
        inner.roll_over(now);
        inner
    }
}

impl Inner {
    /// Closes the current bucket if its minute has passed.
    fn roll_over(&mut self, now: Minute) {
        if now <= self.current.start {
            return;
        }
        let closed = std::mem::replace(&mut self.current, Bucket::new(now));
        if !closed.classes.is_empty() || !closed.gaps.is_empty() {
            self.closed.push_back(closed);
            self.compact(now);
            self.save();
        }
    }

    /// Merges minutes older than `FINE_RETENTION_MINUTES` into hours, and drops buckets older than the budget's window.
    fn compact(&mut self, now: Minute) {
        let oldest = now.0.saturating_sub(WINDOW_MINUTES);
        self.closed.retain(|bucket| bucket.end().0 > oldest);
        let fine_start = now.0.saturating_sub(FINE_RETENTION_MINUTES) / COARSE_BUCKET_MINUTES
            * COARSE_BUCKET_MINUTES;
        let old_count = self.closed.iter().filter(|bucket| bucket.start.0 < fine_start).count();
        let mut coarse: VecDeque<Bucket> = VecDeque::new();
        for bucket in self.closed.drain(..old_count) {
            let start = Minute(bucket.start.0 / COARSE_BUCKET_MINUTES * COARSE_BUCKET_MINUTES);
            match coarse.back_mut() {
                Some(last) if last.start == start => last.merge(&bucket),
                _ => coarse.push_back(Bucket { start, minutes: COARSE_BUCKET_MINUTES, ..bucket }),
            }
        }
        coarse.append(&mut self.closed);
        self.closed = coarse;
    }

    /// Appends the newest closed bucket to the file. After a write error the history continues in memory only.
    fn save(&mut self) {
        let Some(storage) = &mut self.storage else {
            return;
        };
        let saved = match self.closed.back() {
            Some(bucket) => storage.append(bucket, &self.closed),
            None => Ok(()),
        };
        if let Err(error) = saved {
            log::error!(
                "{}: write failed, the burn history is kept in memory only from now on: {error}",
                storage.path.display()
            );
            self.storage = None;
        }
    }
}

impl Storage {
    /// Writes the buckets to a new file, which replaces the old one. The oldest buckets that exceed half of the limit
    /// are left out, so that there is room to append.
    fn create(
        path: PathBuf,
        limit_bytes: u64,
        buckets: &VecDeque<Bucket>,
    ) -> std::io::Result<Self> {
        let mut records: Vec<Vec<u8>> = Vec::new();
        let mut bytes = 0;
        for bucket in buckets.iter().rev() {
            let record = encode_record(bucket);
            if bytes + record.len() as u64 > limit_bytes / 2 {
                break;
            }
            bytes += record.len() as u64;
            records.push(record);
        }
        let new_path = path.with_extension("new");
        let mut file = File::create(&new_path)?;
        for record in records.iter().rev() {
            file.write_all(record)?;
        }
        file.sync_all()?;
        std::fs::rename(&new_path, &path)?;
        if let Some(dir) = path.parent() {
            File::open(dir)?.sync_all()?;
        }
        let file = OpenOptions::new().append(true).open(&path)?;
        Ok(Self { path, file, bytes, limit_bytes })
    }

    fn append(&mut self, bucket: &Bucket, all: &VecDeque<Bucket>) -> std::io::Result<()> {
        let record = encode_record(bucket);
        if self.bytes + record.len() as u64 > self.limit_bytes {
            *self = Self::create(self.path.clone(), self.limit_bytes, all)?;
            return Ok(());
        }
        self.file.write_all(&record)?;
        self.bytes += record.len() as u64;
        Ok(())
    }
}

fn encode_record(bucket: &Bucket) -> Vec<u8> {
    let body = postcard::to_stdvec(bucket).expect("a bucket can be encoded");
    let mut record = Vec::with_capacity(HEADER_BYTES + body.len());
    record.extend_from_slice(&(body.len() as u32).to_le_bytes());
    record.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    record.extend_from_slice(&body);
    record
}

/// Returns the buckets before the first invalid record, and how many bytes their records take.
fn decode_records(bytes: &[u8]) -> (Vec<Bucket>, usize) {
    let mut buckets = Vec::new();
    let mut read = 0;
    while let Some((bucket, len)) = decode_record(&bytes[read..]) {
        buckets.push(bucket);
        read += len;
    }
    (buckets, read)
}

fn decode_record(bytes: &[u8]) -> Option<(Bucket, usize)> {
    let len = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..HEADER_BYTES)?.try_into().ok()?);
    if len > MAX_RECORD_BYTES {
        return None;
    }
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + len)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, HEADER_BYTES + len))
}
