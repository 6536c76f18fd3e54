//! Connections to instances: taking an idle one, opening one, and returning it to the pool.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::connection::{Seat, SharedConnection};
use super::server::Shared;
use super::state::{Instance, State};
use crate::clock::Instant;
use crate::id;
use crate::report::Opening;
use crate::statement::Text;
use crate::upstream::connection::{Connection, Error as ConnectionError};
use crate::wire::Health;

/// Timeout for opening a connection to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

impl Shared {
    /// Takes an idle connection of an account for the holder of a permit, preferring one that has these session
    /// variables. If there is none, closes as many idle connections of other accounts as must make room for a new one
    /// before the caller opens it. With `must_be_new` no idle one is taken.
    pub(super) fn idle_connection(
        &self,
        instance: &id::Instance,
        account: Option<&id::Account>,
        values: &BTreeMap<Text, Text>,
        must_be_new: bool,
    ) -> Result<SharedConnection, (Seat, Opening)> {
        let now = self.clock.now();
        let mut state = self.lock();
        let State { instances, groups, .. } = &mut *state;
        let Some(entry) = instances.get_mut(instance) else {
            return Err((Seat::default(), Opening::New));
        };
        let suitable = |connection: &SharedConnection| connection.setup.has_values(values);
        while !must_be_new && let Some(mut connection) = entry.idle.pop(now, account, suitable) {
            if connection.upstream.is_quiet(&self.clock) {
                self.metrics.record_reused_connection();
                return Ok(connection);
            }
        }
        let Some(group) = groups.get(&entry.replica.group) else {
            return Err((Seat::default(), Opening::New));
        };
        let before = entry.idle.len();
        if group.dispatcher.is_connection_limited(now, instance) {
            // The instance refused a connection a moment ago, so the new one must replace another.
            drop(entry.idle.evict(now, account));
        }
        while entry.seats.taken() >= group.permits as usize && !entry.idle.is_empty() {
            drop(entry.idle.evict(now, account));
        }
        let evicted = before - entry.idle.len();
        self.metrics.record_evicted_connections(evicted);
        let reason = if evicted > 0 { Opening::Evicted } else { Opening::New };
        Err((entry.seats.take(), reason))
    }

    /// Takes an idle connection of any account for a ping by this proxy. If there is none, or only the answer on a new one
    /// shows how the instance is, the caller may open one.
    pub(super) fn any_idle_connection(
        &self,
        instance: &id::Instance,
    ) -> Result<SharedConnection, Seat> {
        let no_values = BTreeMap::new();
        let mut state = self.lock();
        let entry = state.instances.get_mut(instance).ok_or_else(Seat::default)?;
        let suitable = |connection: &SharedConnection| connection.setup.has_values(&no_values);
        while !entry.health.is_suspect()
            && let Some(mut connection) = entry.idle.pop_any(suitable)
        {
            if connection.upstream.is_quiet(&self.clock) {
                return Ok(connection);
            }
        }
        Err(entry.seats.take())
    }

    /// Counts a new connection to an instance.
    pub(super) fn seat(&self, instance: &id::Instance) -> Seat {
        let state = self.lock();
        state.instances.get(instance).map_or_else(Seat::default, |entry| entry.seats.take())
    }

    /// Returns the instances of a group with an idle connection of an account.
    pub(super) fn warm_instances(
        &self,
        group: &id::Group,
        account: &id::Account,
    ) -> SmallVec<[id::Instance; 3]> {
        let state = self.lock();
        let entries = state.instances.iter().filter(|(_, entry)| entry.replica.group == *group);
        let warm = entries.filter(|(_, entry)| entry.idle.has(account));
        warm.map(|(instance, _)| instance.clone()).collect()
    }

    /// Returns whether statements of an account should run on this proxy, which serves the group, rather than on
    /// another one.
    pub(super) fn is_home(&self, group: &id::Group, account: &id::Account) -> bool {
        let now = self.clock.now();
        let homes =
            self.lock().homes(now, (&self.node, &self.domain), group, account, Default::default());
        homes.is_empty() || homes.iter().any(|server| server.node == self.node)
    }

    /// Opens a connection of an account to an instance. One to a primary also yields its position.
    pub(super) async fn open_connection(
        &self,
        instance: &id::Instance,
        account: Option<&id::Account>,
        seat: Seat,
        limit: Instant,
    ) -> Result<SharedConnection, ConnectionError> {
        let entry = |entry: &Instance| (entry.replica.clone(), entry.opening.take());
        let known = self.lock().instances.get(instance).map(entry);
        let (replica, _opening) = known.ok_or(ConnectionError::Closed)?;
        let term = self.primary_term(&replica.group, instance);
        let started = self.clock.now();
        let deadline = limit.min(started + CONNECT_TIMEOUT);
        let opened =
            Connection::connect(&self.clock, self.codec, &replica, account, deadline).await;
        let (mut upstream, position) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                if let ConnectionError::Foreign(error) = error {
                    self.metrics.upstream().record_unreadable(error);
                }
                match error.health() {
                    Health::Fine => self.record_greeting(instance, None),
                    Health::Refused | Health::Silent | Health::Faulty => {
                        self.record_health(instance, error.health(), &error);
                    }
                }
                return Err(error);
            }
        };
        upstream.observe(self.metrics.upstream(), seat.suspicion.clone());
        self.record_greeting(instance, position);
        let is_same_term = term.is_some() && term == self.primary_term(&replica.group, instance);
        if let Some(mark) = position.filter(|_| is_same_term) {
            self.record_sample(&replica.group, started, mark);
        }
        let elapsed = self.clock.now().since(started);
        if let Some(group) = self.lock().groups.get_mut(&replica.group) {
            group.dispatcher.record_connect(instance, elapsed);
        }
        let (setup, account) = (Default::default(), account.cloned());
        Ok(SharedConnection { upstream, setup, account, _seat: seat })
    }

    /// Returns a connection that is fit for the next session to the pool.
    pub(super) fn return_connection(&self, instance: &id::Instance, connection: SharedConnection) {
        let now = self.clock.now();
        if !connection.upstream.is_reusable(now) {
            return;
        }
        let mut state = self.lock();
        let State { instances, groups, .. } = &mut *state;
        let Some(entry) = instances.get_mut(instance) else {
            return;
        };
        let Some(group) = groups.get(&entry.replica.group) else {
            return;
        };
        // The share may have shrunk while the connection was in use. `used` includes this connection.
        let is_within_share =
            group.dispatcher.used(instance) + entry.idle.len() as u32 <= group.permits;
        if connection.account.is_some() {
            // Another connection may be worth less than this one, so this one isn't closed before they are compared.
            entry.idle.put(now, connection.account.clone(), connection);
            while entry.seats.taken() > group.permits as usize && !entry.idle.is_empty() {
                drop(entry.idle.evict(now, None));
            }
        } else if is_within_share {
            entry.idle.put(now, None, connection);
        }
    }
}
