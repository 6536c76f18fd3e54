//! The buckets of one proxy: minutes of the last day, hours before that, in memory and in a bounded file.
//!
//! The file is a list of records, each with a length and a checksum. A minute is appended when it is over; when the
//! file grows past its limit it is written anew, without what is too old. A record that was cut short or
//! damaged ends the list: what follows it is left out and counted.

use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

use super::bucket::{Bucket, Cause, Counts, Minute, Spender};
use crate::config::Size;
use crate::id;

/// The minutes that are kept one by one.
const FINE_MINUTES: u64 = 24 * 60;
/// The minutes of a coarse bucket.
const COARSE_MINUTES: u64 = 60;
/// The minutes that are kept at all: the budget's window, 30 days.
pub(super) const WINDOW_MINUTES: u64 = 30 * 24 * 60;
/// The bytes before a record: its length and its checksum.
const HEADER_BYTES: usize = 8;
/// The longest record, in bytes.
const MAX_RECORD_BYTES: usize = 64 * 1024;
/// The name of the file in the data folder.
const FILE: &str = "history";

/// What a request was, as far as objectives go.
#[derive(Debug, Clone)]
pub struct Kept {
    /// Its class.
    pub class: id::Class,
    /// The primary of its group, when there was one.
    pub primary: Option<id::Instance>,
    /// Whether it was answered within its deadline.
    pub answered: bool,
    /// Whether the caller knows its outcome.
    pub known: bool,
    /// Why it spent budget, when it did.
    pub cause: Cause,
}

/// A handle to the buckets; clones count into the same ones.
#[derive(Debug, Clone, Default)]
pub struct History {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The buckets that are over, the oldest first.
    over: VecDeque<Bucket>,
    /// The bucket of the present minute.
    now: Bucket,
    disk: Option<Disk>,
}

#[derive(Debug)]
struct Disk {
    path: PathBuf,
    file: File,
    bytes: u64,
    limit: u64,
}

impl History {
    /// Reads the file in `data` and goes on from there; without a folder the history ends with the process.
    ///
    /// # Errors
    ///
    /// Fails when the folder or the file can't be used.
    pub fn open(data: Option<&Path>, limit: Size, now: Minute) -> std::io::Result<Self> {
        let mut inner = Inner { now: Bucket::new(now), ..Inner::default() };
        if let Some(data) = data {
            std::fs::create_dir_all(data)?;
            let path = data.join(FILE);
            let bytes = match std::fs::read(&path) {
                Ok(bytes) => bytes,
                Err(error) if error.kind() == std::io::ErrorKind::NotFound => Vec::new(),
                Err(error) => return Err(error),
            };
            let (buckets, read) = decode(&bytes);
            if read < bytes.len() {
                log::warn!("{}: {} bytes can't be read", path.display(), bytes.len() - read);
            }
            inner.over = buckets.into();
            inner.over.make_contiguous().sort_by_key(|bucket| bucket.start);
            inner.compact(now);
            inner.disk = Some(Disk::write(path, limit.0, &inner.over)?);
        }
        Ok(Self { inner: Arc::new(Mutex::new(inner)) })
    }

    /// Counts a request that ended.
    pub fn request(&self, now: Minute, kept: Kept) {
        let mut inner = self.at(now);
        let counts = inner.now.classes.entry(kept.class.clone()).or_default();
        counts.add(&Counts {
            requests: 1,
            answered: u64::from(kept.answered),
            known: u64::from(kept.known),
            ..Counts::default()
        });
        if !kept.answered || !kept.known {
            let spender = Spender { class: kept.class, instance: kept.primary, cause: kept.cause };
            inner.now.spend(spender, 1);
        }
    }

    /// Counts a read that an instance served.
    pub fn read(&self, now: Minute, class: &id::Class, replica: bool) {
        let mut inner = self.at(now);
        let counts = inner.now.classes.entry(class.clone()).or_default();
        counts.add(&Counts { reads: 1, replica_reads: u64::from(replica), ..Counts::default() });
    }

    /// Notes a failover gap that ended.
    pub fn gap(&self, now: Minute, instance: id::Instance, ms: u64) {
        self.at(now).now.gap(instance, ms);
    }

    /// Returns all buckets, the oldest first, with the present one.
    pub fn buckets(&self, now: Minute) -> Vec<Bucket> {
        let inner = self.at(now);
        inner.over.iter().chain([&inner.now]).cloned().collect()
    }

    /// Locks the buckets after ending those that are over.
    fn at(&self, now: Minute) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().expect("nothing panics while it holds the lock");
        inner.turn(now);
        inner
    }
}

impl Inner {
    fn turn(&mut self, now: Minute) {
        if now <= self.now.start {
            return;
        }
        let over = std::mem::replace(&mut self.now, Bucket::new(now));
        if !over.classes.is_empty() || !over.gaps.is_empty() {
            self.over.push_back(over);
            self.compact(now);
            self.save();
        }
    }

    /// Makes hours of the minutes that are long ago, and drops what is past the window.
    fn compact(&mut self, now: Minute) {
        let oldest = now.0.saturating_sub(WINDOW_MINUTES);
        self.over.retain(|bucket| bucket.end().0 > oldest);
        let fine = now.0.saturating_sub(FINE_MINUTES) / COARSE_MINUTES * COARSE_MINUTES;
        let old = self.over.iter().filter(|bucket| bucket.start.0 < fine).count();
        let mut coarse: VecDeque<Bucket> = VecDeque::new();
        for bucket in self.over.drain(..old) {
            let start = Minute(bucket.start.0 / COARSE_MINUTES * COARSE_MINUTES);
            match coarse.back_mut() {
                Some(last) if last.start == start => last.add(&bucket),
                _ => coarse.push_back(Bucket { start, minutes: COARSE_MINUTES, ..bucket }),
            }
        }
        coarse.append(&mut self.over);
        self.over = coarse;
    }

    /// Saves the newest bucket; a disk that fails is given up, and the history goes on in memory.
    fn save(&mut self) {
        let Some(disk) = &mut self.disk else {
            return;
        };
        let saved = match self.over.back() {
            Some(bucket) => disk.append(bucket, &self.over),
            None => Ok(()),
        };
        if let Err(error) = saved {
            log::error!("{}: the history is not kept any more: {error}", disk.path.display());
            self.disk = None;
        }
    }
}

impl Disk {
    /// Writes the buckets to a new file and puts it in the place of the old one. When they are more than half of the
    /// limit, the oldest are left out.
    fn write(path: PathBuf, limit: u64, buckets: &VecDeque<Bucket>) -> std::io::Result<Self> {
        let mut records: Vec<Vec<u8>> = Vec::new();
        let mut bytes = 0;
        for bucket in buckets.iter().rev() {
            let record = encode(bucket);
            if bytes + record.len() as u64 > limit / 2 {
                break;
            }
            bytes += record.len() as u64;
            records.push(record);
        }
        let fresh = path.with_extension("new");
        let mut file = File::create(&fresh)?;
        for record in records.iter().rev() {
            file.write_all(record)?;
        }
        file.sync_all()?;
        std::fs::rename(&fresh, &path)?;
        if let Some(folder) = path.parent() {
            File::open(folder)?.sync_all()?;
        }
        let file = OpenOptions::new().append(true).open(&path)?;
        Ok(Self { path, file, bytes, limit })
    }

    fn append(&mut self, bucket: &Bucket, all: &VecDeque<Bucket>) -> std::io::Result<()> {
        let record = encode(bucket);
        if self.bytes + record.len() as u64 > self.limit {
            *self = Self::write(self.path.clone(), self.limit, all)?;
            return Ok(());
        }
        self.file.write_all(&record)?;
        self.bytes += record.len() as u64;
        Ok(())
    }
}

fn encode(bucket: &Bucket) -> Vec<u8> {
    let body = postcard::to_stdvec(bucket).expect("a bucket can be encoded");
    let mut record = Vec::with_capacity(HEADER_BYTES + body.len());
    record.extend_from_slice(&(body.len() as u32).to_le_bytes());
    record.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    record.extend_from_slice(&body);
    record
}

/// Returns the buckets up to the first record that is not whole, and how many bytes they took.
fn decode(bytes: &[u8]) -> (Vec<Bucket>, usize) {
    let mut buckets = Vec::new();
    let mut read = 0;
    while let Some((bucket, len)) = record(&bytes[read..]) {
        buckets.push(bucket);
        read += len;
    }
    (buckets, read)
}

fn record(bytes: &[u8]) -> Option<(Bucket, usize)> {
    let len = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(bytes.get(4..HEADER_BYTES)?.try_into().ok()?);
    if len > MAX_RECORD_BYTES {
        return None;
    }
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + len)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, HEADER_BYTES + len))
}
