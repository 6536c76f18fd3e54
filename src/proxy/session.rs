//! Sessions: the floor of a caller connection, which the connections of a named session share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, Weak};

use super::floor::{Floor, Mark};
use crate::id;

/// Entries without a connection are removed when the number of entries reaches this, or a higher power of two.
const PRUNE_THRESHOLD: usize = 1_024;

/// The floor that the connections of one session share.
#[derive(Debug, Default)]
pub struct Session {
    floor: Mutex<Floor>,
}

impl Session {
    /// Returns the mark of the session in a group.
    pub fn get(&self, group: &id::Group) -> Option<Mark> {
        self.lock().get(group)
    }

    /// Raises the mark of the session in a group. Returns whether it changed.
    pub fn raise(&self, group: &id::Group, mark: Mark) -> bool {
        self.lock().raise(group, mark)
    }

    /// Replaces the mark of the session in a group after a promotion dropped the write it stood for.
    pub fn reset(&self, group: &id::Group, mark: Mark) {
        self.lock().reset(group, mark);
    }

    /// Raises the marks of the session to those of `floor`.
    pub fn merge(&self, floor: &Floor) {
        self.lock().merge(floor);
    }

    /// Returns a copy of the floor, for reporting it to the caller.
    pub fn floor(&self) -> Floor {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Floor> {
        self.floor.lock().expect("no thread panics while holding this lock")
    }
}

/// The named sessions with a connection to this proxy, by account and name.
#[derive(Debug, Default)]
pub struct Directory {
    sessions: Mutex<HashMap<(id::Account, id::Session), Weak<Session>>>,
}

impl Directory {
    /// Returns the session of that name, or creates it if no connection uses it.
    pub fn open(&self, account: &id::Account, name: &id::Session) -> Arc<Session> {
        let mut sessions = self.sessions.lock().expect("no thread panics while holding this lock");
        if sessions.len() >= PRUNE_THRESHOLD && sessions.len().is_power_of_two() {
            sessions.retain(|_, session| session.strong_count() > 0);
        }
        let key = (account.clone(), name.clone());
        if let Some(session) = sessions.get(&key).and_then(Weak::upgrade) {
            return session;
        }
        let session = Arc::new(Session::default());
        sessions.insert(key, Arc::downgrade(&session));
        session
    }
}
