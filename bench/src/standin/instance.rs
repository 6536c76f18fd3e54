//! The state of a running instance: role, write lock, replication source and status.

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

/// How long a demotion waits for the open write transaction before it is refused.
const DEMOTE_TIMEOUT: Duration = Duration::from_millis(200);

/// A running instance.
pub struct Instance {
    pub settings: Settings,
    pub journal: Journal,
    pub faults: Faults,
    pub counters: Counters,
    pub slots: Slots,
    /// Whether a transaction that may write is open. There is at most one at a time.
    writer_busy: Mutex<bool>,
    writer_released: Condvar,
    followed_primary: Mutex<Option<SocketAddr>>,
    /// The connection over which records arrive from the primary.
    replication_socket: Mutex<Option<TcpStream>>,
    pub open_connections: AtomicUsize,
    pub next_process_id: AtomicI32,
    /// Handles that interrupt the running statement of a connection, by process id.
    pub interrupt_handles: Mutex<HashMap<i32, InterruptHandle>>,
}

impl Instance {
    pub fn new(settings: Settings, journal: Journal) -> Self {
        Self {
            faults: Faults::new(settings.lag),
            counters: Counters::default(),
            slots: Slots::new(settings.slots),
            writer_busy: Mutex::new(false),
            writer_released: Condvar::new(),
            followed_primary: Mutex::new(settings.follow),
            replication_socket: Mutex::new(None),
            open_connections: AtomicUsize::new(0),
            next_process_id: AtomicI32::new(1),
            interrupt_handles: Mutex::default(),
            settings,
            journal,
        }
    }

    /// Returns the process id that the next connection will get.
    pub fn next_process_id(&self) -> i32 {
        self.next_process_id.load(Ordering::SeqCst)
    }

    /// Returns the state that the fault port shows.
    pub fn report(&self) -> Report {
        let log = self.journal.log.lock().unwrap();
        Report {
            counts: self.counters.snapshot(),
            role: log.role,
            term: log.term,
            position: log.position(),
        }
    }

    /// Returns the primary that this instance follows.
    pub fn followed_primary(&self) -> Option<SocketAddr> {
        *self.followed_primary.lock().unwrap()
    }

    /// Waits for the write lock and takes it.
    pub fn acquire_writer(&self) {
        let busy = self.writer_busy.lock().unwrap();
        *self.writer_released.wait_while(busy, |busy| *busy).unwrap() = true;
    }

    /// Waits at most `limit` for the write lock; returns whether it was taken.
    fn acquire_writer_within(&self, limit: Duration) -> bool {
        let busy = self.writer_busy.lock().unwrap();
        let (mut busy, timeout) =
            self.writer_released.wait_timeout_while(busy, limit, |busy| *busy).unwrap();
        if !timeout.timed_out() {
            *busy = true;
        }
        !timeout.timed_out()
    }

    pub fn release_writer(&self) {
        *self.writer_busy.lock().unwrap() = false;
        self.writer_released.notify_one();
    }

    /// Applies all received records and makes the instance the primary of `term`.
    pub fn promote(&self, term: u64) -> Result<(), String> {
        {
            let log = self.journal.log.lock().unwrap();
            if log.term >= term {
                return Err(format!("this instance is on term {} already", log.term));
            }
        }
        *self.followed_primary.lock().unwrap() = None;
        let connection = self.journal.connect().map_err(|error| error.to_string())?;
        self.journal.apply_all(&connection);
        let mut log = self.journal.log.lock().unwrap();
        if log.term >= term {
            return Err(format!("this instance is on term {} already", log.term));
        }
        log.role = Role::Primary;
        log.demoted = false;
        log.term = term;
        let start = log.received_position();
        log.history.push((term, start));
        log.followers.clear();
        log.max_durable_position = 0;
        self.journal.changed.notify_all();
        Ok(())
    }

    /// Makes the instance a replica of `primary`.
    pub fn follow(&self, primary: SocketAddr, term: u64) -> Result<(), String> {
        let mut log = self.journal.log.lock().unwrap();
        if log.term > term || (log.term == term && log.role == Role::Primary) {
            return Err(format!("this instance is on term {} already", log.term));
        }
        let previous = self.followed_primary.lock().unwrap().replace(primary);
        if previous != Some(primary)
            && let Some(socket) = self.replication_socket.lock().unwrap().take()
        {
            // Otherwise the follower thread would wait for the read timeout if the old primary is silent.
            let _ = socket.shutdown(Shutdown::Both);
        }
        if log.role == Role::Primary {
            log.generation += 1;
        }
        log.role = Role::Replica;
        log.demoted = false;
        self.journal.changed.notify_all();
        Ok(())
    }

    /// Stores the replication connection, so that following another primary closes it at once.
    pub fn set_replication_socket(&self, socket: TcpStream) {
        *self.replication_socket.lock().unwrap() = Some(socket);
    }

    /// Stops writes once the open write transaction has ended. Followers are still served.
    pub fn demote(&self, term: u64) -> Result<(), String> {
        let accepts = |log: &Log| log.term == term && (log.role == Role::Primary || log.demoted);
        if !self.acquire_writer_within(DEMOTE_TIMEOUT) {
            return Err("write transactions are open".to_owned());
        }
        let mut log = self.journal.log.lock().unwrap();
        let accepted = accepts(&log);
        if accepted {
            log.role = Role::Replica;
            log.demoted = true;
        }
        drop(log);
        self.release_writer();
        if accepted { Ok(()) } else { Err(format!("this is not the primary of term {term}")) }
    }

    /// Returns the row of the status view.
    pub fn status(&self) -> Vec<Value> {
        let mut log = self.journal.log.lock().unwrap();
        let role = if log.role == Role::Primary { "primary" } else { "replica" };
        let durable = match log.role {
            Role::Replica if !log.demoted => 0,
            _ => log.durable_position(self.settings.instances),
        };
        let start = log.history.last().map_or(0, |last| last.1);
        let numbers = [log.term, log.position(), log.received_position(), durable, start];
        let mut row = vec![Value::Text(role.to_owned())];
        row.extend(numbers.map(|number| Value::Integer(number as i64)));
        row
    }
}

/// Returns the columns of the status view.
pub fn status_columns(has_nonce: bool) -> Vec<Column> {
    let names = ["role", "term", "position", "received", "durable", "start", "nonce"];
    let names = if has_nonce { &names[..] } else { &names[..6] };
    let column = |name: &str| Column {
        name: name.to_owned(),
        type_oid: if matches!(name, "role" | "nonce") { TEXT } else { INT8 },
    };
    names.iter().map(|name| column(name)).collect()
}
