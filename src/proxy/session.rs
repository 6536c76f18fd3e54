//! Sessions: what a caller's connection must see, and what the connections of a named session share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, Weak};

use super::floor::{Floor, Mark};
use crate::id;

/// How many names are kept before those without a connection are cleared away.
const SWEEP: usize = 1_024;

/// The floors that the connections of one session share.
#[derive(Debug, Default)]
pub struct Session {
    floor: Mutex<Floor>,
}

impl Session {
    /// Returns the session's mark in a group.
    pub fn get(&self, group: &id::Group) -> Option<Mark> {
        self.lock().get(group)
    }

    /// Raises the session's mark in a group; returns whether it changed.
    pub fn raise(&self, group: &id::Group, mark: Mark) -> bool {
        self.lock().raise(group, mark)
    }

    /// Sets the session's mark in a group after a promotion left out what it named.
    pub fn lower(&self, group: &id::Group, mark: Mark) {
        self.lock().lower(group, mark);
    }

    /// Raises the session's marks to those of `floor`.
    pub fn merge(&self, floor: &Floor) {
        self.lock().merge(floor);
    }

    /// Returns the floor as the caller is told it.
    pub fn floor(&self) -> Floor {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Floor> {
        self.floor.lock().expect("nothing panics while it holds the lock")
    }
}

/// The named sessions that have a connection at this proxy, by customer and name.
#[derive(Debug, Default)]
pub struct Directory {
    sessions: Mutex<HashMap<(id::Customer, id::Session), Weak<Session>>>,
}

impl Directory {
    /// Returns the session of that name, made anew when no connection has it.
    pub fn open(&self, customer: &id::Customer, name: &id::Session) -> Arc<Session> {
        let mut sessions = self.sessions.lock().expect("nothing panics while it holds the lock");
        if sessions.len() >= SWEEP && sessions.len().is_power_of_two() {
            sessions.retain(|_, session| session.strong_count() > 0);
        }
        let key = (customer.clone(), name.clone());
        if let Some(session) = sessions.get(&key).and_then(Weak::upgrade) {
            return session;
        }
        let session = Arc::new(Session::default());
        sessions.insert(key, Arc::downgrade(&session));
        session
    }
}
