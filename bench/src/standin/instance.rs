//! One running instance: its role, its writer, and its status.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicI32, AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex};
use std::time::Duration;

use cactushatch::wire::Role;
use rusqlite::types::Value;

use super::Settings;
use super::counter::{Counters, Report};
use super::fault::Faults;
use super::journal::{Journal, Log};
use super::reply::{Column, INT8, TEXT};
use super::slot::Slots;
use rusqlite::InterruptHandle;

/// How long open write transactions are waited for before a demotion is refused.
const DEMOTE: Duration = Duration::from_millis(200);

/// One running instance.
pub struct Instance {
    pub settings: Settings,
    pub journal: Journal,
    pub faults: Faults,
    pub counters: Counters,
    pub slots: Slots,
    /// Whether a transaction that may write is open; there is one at a time.
    writing: Mutex<bool>,
    written: Condvar,
    following: Mutex<Option<SocketAddr>>,
    /// The connection that records of the primary come over.
    source: Mutex<Option<TcpStream>>,
    pub open: AtomicUsize,
    pub processes: AtomicI32,
    /// What interrupts the statement of each connection.
    pub interrupts: Mutex<HashMap<i32, InterruptHandle>>,
}

impl Instance {
    pub fn new(settings: Settings, journal: Journal) -> Self {
        Self {
            faults: Faults::new(settings.lag),
            counters: Counters::default(),
            slots: Slots::new(settings.slots),
            writing: Mutex::new(false),
            written: Condvar::new(),
            following: Mutex::new(settings.follow),
            source: Mutex::new(None),
            open: AtomicUsize::new(0),
            processes: AtomicI32::new(1),
            interrupts: Mutex::default(),
            settings,
            journal,
        }
    }

    /// Returns the process id that the next connection gets.
    pub fn next_process(&self) -> i32 {
        self.processes.load(Ordering::SeqCst)
    }

    /// Returns what the fault port tells.
    pub fn report(&self) -> Report {
        let log = self.journal.log.lock().unwrap();
        Report {
            counts: self.counters.read(),
            role: log.role,
            term: log.term,
            position: log.position(),
        }
    }

    /// Returns the primary that this instance follows.
    pub fn followed(&self) -> Option<SocketAddr> {
        *self.following.lock().unwrap()
    }

    pub fn acquire_writer(&self) {
        let writing = self.writing.lock().unwrap();
        *self.written.wait_while(writing, |writing| *writing).unwrap() = true;
    }

    /// Waits for the writer's turn no longer than `limit`; tells whether it came.
    fn acquire_writer_within(&self, limit: Duration) -> bool {
        let writing = self.writing.lock().unwrap();
        let (mut writing, waited) =
            self.written.wait_timeout_while(writing, limit, |writing| *writing).unwrap();
        if !waited.timed_out() {
            *writing = true;
        }
        !waited.timed_out()
    }

    pub fn release_writer(&self) {
        *self.writing.lock().unwrap() = false;
        self.written.notify_one();
    }

    pub fn promote(&self, term: u64) -> Result<(), String> {
        {
            let log = self.journal.log.lock().unwrap();
            if log.term >= term {
                return Err(format!("this instance is on term {} already", log.term));
            }
        }
        *self.following.lock().unwrap() = None;
        let connection = self.journal.connect().map_err(|error| error.to_string())?;
        self.journal.apply_all(&connection);
        let mut log = self.journal.log.lock().unwrap();
        if log.term >= term {
            return Err(format!("this instance is on term {} already", log.term));
        }
        log.role = Role::Primary;
        log.stopped = false;
        log.term = term;
        let start = log.received();
        log.history.push((term, start));
        log.followers.clear();
        log.most_durable = 0;
        self.journal.changed.notify_all();
        Ok(())
    }

    pub fn follow(&self, primary: SocketAddr, term: u64) -> Result<(), String> {
        let mut log = self.journal.log.lock().unwrap();
        if log.term > term || (log.term == term && log.role == Role::Primary) {
            return Err(format!("this instance is on term {} already", log.term));
        }
        let before = self.following.lock().unwrap().replace(primary);
        if before != Some(primary)
            && let Some(source) = self.source.lock().unwrap().take()
        {
            // A primary that is silent would be waited for.
            let _ = source.shutdown(Shutdown::Both);
        }
        if log.role == Role::Primary {
            log.generation += 1;
        }
        log.role = Role::Replica;
        log.stopped = false;
        self.journal.changed.notify_all();
        Ok(())
    }

    /// Notes the connection that records come over, so that following another primary ends it at once.
    pub fn feed_from(&self, source: TcpStream) {
        *self.source.lock().unwrap() = Some(source);
    }

    /// Stops writes once open write transactions have ended; the followers are served on.
    pub fn demote(&self, term: u64) -> Result<(), String> {
        let stops = |log: &Log| log.term == term && (log.role == Role::Primary || log.stopped);
        if !self.acquire_writer_within(DEMOTE) {
            return Err("write transactions are open".to_owned());
        }
        let mut log = self.journal.log.lock().unwrap();
        let stopped = stops(&log);
        if stopped {
            log.role = Role::Replica;
            log.stopped = true;
        }
        drop(log);
        self.release_writer();
        if stopped { Ok(()) } else { Err(format!("this is not the primary of term {term}")) }
    }

    pub fn status(&self) -> Vec<Value> {
        let mut log = self.journal.log.lock().unwrap();
        let role = if log.role == Role::Primary { "primary" } else { "replica" };
        let durable = match log.role {
            Role::Replica if !log.stopped => 0,
            _ => log.durable(self.settings.instances),
        };
        let start = log.history.last().map_or(0, |last| last.1);
        let numbers = [log.term, log.position(), log.received(), durable, start];
        let mut row = vec![Value::Text(role.to_owned())];
        row.extend(numbers.map(|number| Value::Integer(number as i64)));
        row
    }
}

/// Returns the columns of the status view.
pub fn status_columns() -> Vec<Column> {
    let names = ["role", "term", "position", "received", "durable", "start"];
    let column = |name: &str| Column {
        name: name.to_owned(),
        kind: if name == "role" { TEXT } else { INT8 },
    };
    names.iter().map(|name| column(name)).collect()
}
