//! The log of committed transactions, the term history, and the SQLite database built from the log.
//!
//! The log is authoritative: a restart rebuilds the database from it, and an instance that rejoins truncates it
//! at the fork.

use std::fs::{File, OpenOptions};
use std::io::{BufReader, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use cactushatch::wire::Role;
use rusqlite::Connection;
use serde::{Deserialize, Serialize};

use super::Settings;

/// One committed transaction: its statements with their parameters filled in.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The term of the commit.
    pub term: u64,
    /// The position in the log, from 1.
    pub position: u64,
    /// The statements, in order.
    pub statements: Vec<String>,
}

/// The replicated state, under one lock.
#[derive(Debug)]
pub struct Log {
    /// The role; only a primary accepts writes.
    pub role: Role,
    /// Whether the instance is a demoted primary: it accepts no writes, but still serves its followers.
    pub demoted: bool,
    /// The current term, the last of the history.
    pub term: u64,
    /// Each term with the position after which it began.
    pub history: Vec<(u64, u64)>,
    /// All received records, applied or not.
    pub records: Vec<Record>,
    /// When each record was received; the lag counts from then.
    received_at: Vec<Instant>,
    /// The position up to which the database holds the records.
    pub applied: u64,
    /// The position up to which each follower has received the log, by name.
    pub followers: Vec<(String, u64)>,
    /// The highest position that a majority was known to hold in this term.
    pub max_durable_position: u64,
    /// Incremented when the connections opened so far have to be closed.
    pub generation: u64,
    file: File,
}

/// The log of an instance and the database built from it.
#[derive(Debug)]
pub struct Journal {
    /// The replicated state.
    pub log: Mutex<Log>,
    /// Notified of every change of the log.
    pub changed: Condvar,
    database_path: PathBuf,
    log_path: PathBuf,
}

impl Journal {
    /// Opens the log in the data directory of the settings and builds the database from it.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or written.
    pub fn open(settings: &Settings) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&settings.data)?;
        let log_path = settings.data.join(format!("{}.log", settings.instance));
        let database_path = settings.data.join(format!("{}.db", settings.instance));
        let records = read_records(&log_path)?;
        let mut history = vec![(1, 0)];
        for record in &records {
            if record.term > history.last().map_or(0, |last| last.0) {
                history.push((record.term, record.position - 1));
            }
        }
        let role = if settings.follow.is_some() { Role::Replica } else { Role::Primary };
        let file = OpenOptions::new().create(true).append(true).open(&log_path)?;
        let now = Instant::now();
        let log = Log {
            role,
            demoted: false,
            term: history.last().map_or(1, |last| last.0),
            history,
            received_at: vec![now; records.len()],
            applied: records.len() as u64,
            records,
            followers: Vec::new(),
            max_durable_position: 0,
            generation: 0,
            file,
        };
        let journal =
            Self { log: Mutex::new(log), changed: Condvar::new(), database_path, log_path };
        journal.rebuild_database(&journal.log.lock().unwrap())?;
        Ok(journal)
    }

    /// Opens a connection to the database.
    pub fn connect(&self) -> rusqlite::Result<Connection> {
        let connection = Connection::open(&self.database_path)?;
        connection.pragma_update(None, "journal_mode", "WAL")?;
        connection.pragma_update(None, "synchronous", "OFF")?;
        connection.busy_timeout(Duration::from_secs(10))?;
        Ok(connection)
    }

    /// Rebuilds the database from the records up to `applied`. The caller holds the lock on the log, so that no
    /// position is shown before its data is there.
    fn rebuild_database(&self, log: &Log) -> anyhow::Result<()> {
        for suffix in ["", "-wal", "-shm"] {
            let _ = std::fs::remove_file(format!("{}{suffix}", self.database_path.display()));
        }
        let connection = self.connect()?;
        connection.execute_batch("BEGIN")?;
        for record in &log.records[..log.applied as usize] {
            execute_all(&connection, &record.statements);
        }
        connection.execute_batch("COMMIT")?;
        Ok(())
    }

    /// Applies all received records, regardless of the lag.
    pub fn apply_all(&self, connection: &Connection) {
        while let Some((record, generation)) = self.next_unapplied() {
            self.apply(connection, &record, generation);
        }
    }

    /// Applies each record once its lag has passed; returns only on an error.
    pub fn apply_forever(&self, lag: impl Fn() -> Duration) -> anyhow::Result<()> {
        let mut connection = self.connect()?;
        let mut generation = 0;
        loop {
            let (record, due) = {
                let mut log = self.log.lock().unwrap();
                while log.applied as usize >= log.records.len() || log.role == Role::Primary {
                    log = self.changed.wait(log).unwrap();
                }
                if log.generation != generation {
                    generation = log.generation;
                    connection = self.connect()?;
                }
                let next = log.applied as usize;
                (log.records[next].clone(), log.received_at[next] + lag())
            };
            let wait = due.saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                std::thread::sleep(wait.min(Duration::from_millis(20)));
                continue;
            }
            self.apply(&connection, &record, generation);
        }
    }

    fn next_unapplied(&self) -> Option<(Record, u64)> {
        let log = self.log.lock().unwrap();
        let record = log.records.get(log.applied as usize).cloned();
        record.map(|record| (record, log.generation))
    }

    /// Applies a record read from the log in `generation`, over a connection opened in the same generation.
    /// Does nothing if the generation has changed or the record is not the next one.
    fn apply(&self, connection: &Connection, record: &Record, generation: u64) {
        let mut log = self.log.lock().unwrap();
        if log.generation != generation || log.applied + 1 != record.position {
            return;
        }
        let _ = connection.execute_batch("BEGIN IMMEDIATE");
        execute_all(connection, &record.statements);
        let _ = connection.execute_batch("COMMIT");
        log.applied = record.position;
        self.changed.notify_all();
    }

    /// Commits a transaction on the primary: appends it to the log and calls `commit`, which makes it visible.
    /// Returns `false`, without calling `commit`, if the instance is not the primary or can't write its log.
    pub fn commit<E>(
        &self,
        statements: Vec<String>,
        commit: impl FnOnce() -> Result<(), E>,
    ) -> Result<bool, E> {
        let mut log = self.log.lock().unwrap();
        if log.role != Role::Primary {
            return Ok(false);
        }
        let record = Record { term: log.term, position: log.records.len() as u64 + 1, statements };
        let Some(end) = log.write(&record) else {
            return Ok(false);
        };
        if let Err(error) = commit() {
            log.discard_after(end);
            return Err(error);
        }
        log.push(record);
        log.applied = log.records.len() as u64;
        self.changed.notify_all();
        Ok(true)
    }

    /// Appends a record received from the primary. Returns `false` if it is not the next one, if this instance is the
    /// primary, or if it can't write its log.
    pub fn receive(&self, record: Record) -> bool {
        let mut log = self.log.lock().unwrap();
        if log.role == Role::Primary || record.position != log.records.len() as u64 + 1 {
            return false;
        }
        if log.write(&record).is_none() {
            return false;
        }
        log.push(record);
        self.changed.notify_all();
        true
    }

    /// Truncates the log after `position` and adopts the primary's term and history.
    pub fn rewind(&self, position: u64, term: u64, history: Vec<(u64, u64)>) -> anyhow::Result<()> {
        let mut log = self.log.lock().unwrap();
        log.term = term;
        log.history = history;
        if position >= log.records.len() as u64 {
            return Ok(());
        }
        log.records.truncate(position as usize);
        log.received_at.truncate(position as usize);
        log.generation += 1;
        log.rewrite_file(&self.log_path)?;
        if log.applied > position {
            log.applied = position;
            self.rebuild_database(&log)?;
        }
        Ok(())
    }
}

impl Log {
    /// Returns the position up to which reads see the data.
    pub fn position(&self) -> u64 {
        self.applied
    }

    /// Returns the position up to which this instance has the log.
    pub fn received_position(&self) -> u64 {
        self.records.len() as u64
    }

    /// Returns the position up to which a majority of `instances` has the log; never decreases within a term.
    pub fn durable_position(&mut self, instances: usize) -> u64 {
        let mut held: Vec<u64> = self.followers.iter().map(|follower| follower.1).collect();
        held.push(self.received_position());
        held.resize(held.len().max(instances), 0);
        held.sort_unstable_by(|a, b| b.cmp(a));
        self.max_durable_position = self.max_durable_position.max(held[instances / 2]);
        self.max_durable_position
    }

    /// Writes a record to the file. Returns the length of the file before, or `None` if the record can't be written.
    fn write(&mut self, record: &Record) -> Option<u64> {
        let end = match self.file.metadata() {
            Ok(metadata) => metadata.len(),
            Err(error) => {
                log::error!("the length of the log can't be read: {error}");
                return None;
            }
        };
        let written = encode(record).and_then(|bytes| Ok(self.file.write_all(&bytes)?));
        if let Err(error) = written {
            log::error!("a record can't be written to the log: {error}");
            self.discard_after(end);
            return None;
        }
        Some(end)
    }

    /// Removes a record from the file that was written in vain, or in part.
    fn discard_after(&mut self, end: u64) {
        if let Err(error) = self.file.set_len(end) {
            log::error!("the end of the log can't be removed: {error}");
        }
    }

    /// Appends a record that the file has already.
    fn push(&mut self, record: Record) {
        self.records.push(record);
        self.received_at.push(Instant::now());
    }

    fn rewrite_file(&mut self, path: &Path) -> anyhow::Result<()> {
        File::create(path)?;
        self.file = OpenOptions::new().append(true).open(path)?;
        for record in &self.records {
            self.file.write_all(&encode(record)?)?;
        }
        Ok(())
    }
}

/// Encodes a record for the file, with its length in front.
fn encode(record: &Record) -> anyhow::Result<Vec<u8>> {
    let body = postcard::to_stdvec(record)?;
    Ok([&(body.len() as u32).to_be_bytes(), &body[..]].concat())
}

fn execute_all(connection: &Connection, statements: &[String]) {
    for statement in statements {
        if let Err(error) = connection.execute_batch(statement) {
            log::error!(
                "replicated statement failed, its record counts as applied: {error}: {statement}"
            );
        }
    }
}

fn read_records(path: &Path) -> anyhow::Result<Vec<Record>> {
    let mut records = Vec::new();
    let Ok(file) = File::open(path) else {
        return Ok(records);
    };
    let mut reader = BufReader::new(file);
    let mut header = [0; 4];
    while reader.read_exact(&mut header).is_ok() {
        let mut body = vec![0; u32::from_be_bytes(header) as usize];
        if reader.read_exact(&mut body).is_err() {
            break;
        }
        records.push(postcard::from_bytes(&body)?);
    }
    Ok(records)
}
