//! Operations on the state that the tasks of a broker share. Each holds the lock only briefly.

use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use log::Level;

use super::explain::ms_since_renewal;
use super::guard::{CommitGuard, PingGuard};
use super::health::Health as Record;
use super::identity::Credential;
use super::monitor;
use super::need::{self, Need, PositionSample};
use super::server::Shared;
use super::state::{Instance, State};
use crate::clock::Instant;
use crate::config::Database;
use crate::id;
use crate::proxy::fence::Verdict;
use crate::proxy::floor::Mark;
use crate::proxy::heartbeat;
use crate::proxy::shutdown::Stage;
use crate::report::Failure;
use crate::report::event::{Event, millis};
use crate::upstream::connection::Error as ConnectionError;
use crate::wire::{Health, Replica};

/// How long a read waits for a first position sample while the group has no known primary, before it queues for the
/// primary.
const POSITION_SAMPLE_TIMEOUT: Duration = Duration::from_millis(60);

/// How long a session waits for the first configuration. Callers give up after two seconds.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How much younger than its maximum age a read's position sample must be, to cover the time between the caller's
/// sending and the decision.
const AGE_MARGIN: Duration = Duration::from_millis(50);

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding this lock")
    }

    pub(super) fn request_heartbeat(&self) {
        heartbeat::Member::request_heartbeat(self);
    }

    /// Applies changes from the control plane or the health checks, and wakes the tasks that wait for them.
    pub(super) fn apply_changes(&self, now: Instant, state: &mut State) {
        state.refresh(now, &self.node, &self.domain);
        let served = state.groups.values().filter(|group| group.permits > 0).count();
        self.metrics.set_groups_served(served);
        let names: Vec<id::Group> = state.groups.keys().cloned().collect();
        for name in names {
            state.advance(now, &name);
        }
        self.changed.notify(usize::MAX);
    }

    pub(super) fn is_ready(&self) -> bool {
        let state = self.lock();
        let is_serving = state.revision.0 > 0 && !state.stranded.is_stranded();
        is_serving && !self.shutdown.has_reached(Stage::Leaving)
    }

    /// Checks whether the lease is still being renewed and updates the stranded state.
    pub(super) fn check_lease_renewal(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.prune(now);
        let imbalance = state.groups.values().filter_map(|group| group.dispatcher.imbalance());
        if let Some(imbalance) = imbalance.max_by(f64::total_cmp) {
            self.metrics.set_instance_imbalance(imbalance);
        }
        let renewed = state.fence.last_renewal();
        if !state.stranded.update(now, renewed) {
            return;
        }
        let stranded = state.stranded.is_stranded();
        drop(state);
        let level = if stranded { Level::Warn } else { Level::Info };
        Event::Stranded { stranded, unheard_ms: ms_since_renewal(now, renewed) }.log(level);
        self.changed.notify(usize::MAX);
    }

    /// Waits until a session that was opened at `opened` and has no transaction should end because the proxy is
    /// stranded.
    pub(super) async fn wait_until_stranded(&self, opened: Instant, spread: f64) {
        loop {
            let changed = self.changed.listen();
            let end = self.lock().stranded.session_end(opened, spread);
            match end.map(|end| end.since(self.clock.now())) {
                Some(Duration::ZERO) => return,
                Some(left) => {
                    self.clock.timeout(left, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Waits for the first configuration after the start of the process. Returns whether a configuration is in force.
    pub(super) async fn wait_for_configuration(&self) -> bool {
        let configured = async {
            while self.lock().revision.0 == 0 {
                let changed = self.changed.listen();
                if self.lock().revision.0 > 0 {
                    return;
                }
                changed.await;
            }
        };
        self.clock.timeout(CONFIGURATION_TIMEOUT, configured).await.is_some()
    }

    /// Judges a session's key again if the declarations have changed.
    pub(super) fn update_credential(&self, credential: &mut Credential, database: &str) {
        let keys = {
            let state = self.lock();
            if state.revision <= credential.revision() {
                return;
            }
            Arc::clone(&state.keys)
        };
        // Sessions of a database that was removed are refused for that reason.
        let is_open = self.database(database).is_none_or(|database| database.open);
        credential.update(&keys, is_open);
    }

    /// Waits until the declarations give a session's key no account, so that the idle session must end.
    pub(super) async fn wait_until_rejected(&self, credential: &mut Credential, database: &str) {
        while !credential.is_rejected() {
            let configured = self.configured.listen();
            self.update_credential(credential, database);
            if !credential.is_rejected() {
                configured.await;
            }
        }
    }

    /// Waits until an open transaction must end because its account is no longer that of the session.
    pub(super) async fn wait_until_aborted(&self, credential: &mut Credential, database: &str) {
        loop {
            let configured = self.configured.listen();
            self.update_credential(credential, database);
            match credential.transaction_limit().map(|limit| limit.since(self.clock.now())) {
                Some(Duration::ZERO) => return,
                Some(left) => {
                    self.clock.timeout(left, configured).await;
                }
                None => configured.await,
            }
        }
    }

    /// Returns whether this proxy serves a group by itself.
    pub(super) fn serves(&self, group: &id::Group) -> bool {
        self.lock().serves(group)
    }

    /// Waits until a proxy serves a group, and returns whether it is this one.
    pub(super) async fn wait_until_served(&self, group: &id::Group, timeout: Duration) -> bool {
        let served = async {
            loop {
                let changed = self.changed.listen();
                let (here, elsewhere) = {
                    let state = self.lock();
                    (state.serves(group), state.is_served_elsewhere(group, &self.node))
                };
                if here || elsewhere {
                    return here;
                }
                changed.await;
            }
        };
        self.clock.timeout(timeout, served).await.unwrap_or(false)
    }

    /// Returns the declaration of a database.
    pub(super) fn database(&self, name: &str) -> Option<Database> {
        let name: id::Database = name.parse().ok()?;
        self.lock().fleet.database.get(&name).cloned()
    }

    /// Returns the priority of a class.
    pub(super) fn priority(&self, class: &id::Class) -> u8 {
        self.lock().fleet.class.get(class).map_or(u8::MAX, |class| class.priority)
    }

    /// Returns how long a transaction may be idle.
    pub(super) fn idle_transaction(&self) -> Option<Duration> {
        self.lock().fleet.idle_transaction.map(|span| span.0)
    }

    /// Returns what a read of a database requires. If only a missing position sample ties the read to the primary, the
    /// primary is pinged for a sample first: a ping takes none of its slots, the read would take one. Right after a
    /// start there is no position sample yet, and without the ping every read would queue for the primary while the
    /// replicas are idle.
    pub(super) async fn need(
        self: &Arc<Self>,
        database: &Database,
        last_write: Option<PositionSample>,
        max_wait: Duration,
    ) -> Need {
        let need = self.need_now(database, last_write);
        if need != Need::Primary || need::max_age(database.reads).is_none() {
            return need;
        }
        let observe = async {
            loop {
                let changed = self.changed.listen();
                monitor::ping_primary(self, &database.group);
                let need = self.need_now(database, last_write);
                if need != Need::Primary {
                    return need;
                }
                changed.await;
            }
        };
        let timeout = if self.primary(&database.group).is_some() {
            max_wait
        } else {
            POSITION_SAMPLE_TIMEOUT
        };
        let need = self.clock.timeout(timeout, observe).await;
        need.unwrap_or_else(|| self.need_now(database, last_write))
    }

    fn need_now(&self, database: &Database, last_write: Option<PositionSample>) -> Need {
        let now = self.clock.now();
        let age = need::max_age(database.reads).map(|age| age.saturating_sub(AGE_MARGIN));
        let sample = age.and_then(|age| self.lock().sample(now, &database.group, age));
        need::read(database.reads, sample, last_write)
    }

    /// Returns whether a group has another usable instance.
    pub(super) fn has_other_instance(&self, group: &id::Group, instance: &id::Instance) -> bool {
        self.lock().instances.values().any(|entry| {
            entry.replica.group == *group
                && entry.replica.instance != *instance
                && entry.health.is_usable()
        })
    }

    /// Returns the usable primary of a group.
    pub(super) fn primary(&self, group: &id::Group) -> Option<Replica> {
        let state = self.lock();
        let primary = state.groups.get(group)?.dispatcher.primary()?;
        state.instances.get(primary).map(|entry| entry.replica.clone())
    }

    /// Records that an instance answered a command, and its position.
    pub(super) fn record_answer(&self, instance: &id::Instance, position: Option<Mark>) {
        self.record(instance, position, Record::record_answer);
    }

    /// Records that an instance accepted or refused a connection, and its position.
    pub(super) fn record_greeting(&self, instance: &id::Instance, position: Option<Mark>) {
        self.record(instance, position, Record::record_greeting);
    }

    fn record(
        &self,
        instance: &id::Instance,
        position: Option<Mark>,
        record: fn(&mut Record, Instant) -> bool,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(entry) = state.instances.get_mut(instance) else {
            return;
        };
        let recovered = record(&mut entry.health, now);
        let group = entry.replica.group.clone();
        if let Some(mark) = position
            && let Some(queue) = state.groups.get_mut(&group)
        {
            queue.dispatcher.set_position(instance, mark);
            if let Some(lag) = queue.positions.observe_lag(now, mark) {
                queue.dispatcher.record_lag(now, instance, lag);
            }
        }
        if recovered {
            let (trouble, silent_ms, reason) = (Health::Fine, 0, None);
            Event::Instance { instance, group: &group, trouble, silent_ms, reason }
                .log(Level::Info);
            state.refresh_health(now, (&self.node, &self.domain), instance);
            drop(state);
            self.changed.notify(usize::MAX);
            self.request_heartbeat();
        }
    }

    /// Records a failed connection on which the instance had answered. One that went silent says little about the instance:
    /// new ones may work. So the idle ones are closed, which may be silent too, and a ping on a new one decides.
    pub(super) fn record_failure(&self, instance: &id::Instance, error: &ConnectionError) {
        let is_silent = error.health() == Health::Silent;
        if let Some(entry) = self.lock().instances.get_mut(instance) {
            if is_silent {
                entry.health.record_silent_connection();
                entry.idle.clear();
            } else if error.is_suspect() {
                entry.health.record_unreadable();
            }
        }
        if !is_silent {
            self.record_health(instance, error.health(), error);
        }
    }

    /// Records the health of an instance that failed.
    pub(super) fn record_health(
        &self,
        instance: &id::Instance,
        health: Health,
        error: &ConnectionError,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(entry) = state.instances.get_mut(instance) else {
            return;
        };
        if !entry.health.record_failure(health) {
            return;
        }
        entry.idle.clear();
        let silent_ms = millis(entry.health.silence(now));
        let (group, reason) = (&entry.replica.group, Some(error.to_string()));
        Event::Instance { instance, group, trouble: health, silent_ms, reason }.log(Level::Warn);
        self.metrics.record_upstream_failure(match health {
            Health::Refused => Failure::Refused,
            Health::Silent => Failure::Silent,
            Health::Faulty | Health::Fine => Failure::Faulty,
        });
        state.refresh_health(now, (&self.node, &self.domain), instance);
        drop(state);
        self.changed.notify(usize::MAX);
        self.request_heartbeat();
    }

    /// Records the position of a primary, which was requested at `requested_at` under a valid lease.
    pub(super) fn record_sample(&self, group: &id::Group, requested_at: Instant, mark: Mark) {
        let was_stale = {
            let mut state = self.lock();
            let Some(queue) = state.groups.get_mut(group) else {
                return;
            };
            let was_stale = queue.positions.is_stale(requested_at);
            queue.own_sample = Some(PositionSample { requested_at, mark });
            queue.positions.record(requested_at, mark);
            was_stale
        };
        if was_stale {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns the term of the epoch if the instance is its primary and the lease is valid.
    pub(super) fn primary_term(
        &self,
        group: &id::Group,
        instance: &id::Instance,
    ) -> Option<id::Term> {
        self.lock().primary_term(self.clock.now(), group, instance)
    }

    /// Returns whether the answer to a write may be released now.
    pub(super) fn verdict(&self, group: &id::Group, term: id::Term) -> Verdict {
        self.lock().fence.verdict(self.clock.now(), group, term)
    }

    /// Waits until the lease allows a verdict on releasing an answer, up to `deadline`.
    pub(super) async fn wait_for_verdict(
        &self,
        group: &id::Group,
        term: id::Term,
        deadline: Instant,
    ) -> Verdict {
        let verdict = async {
            loop {
                let changed = self.changed.listen();
                match self.verdict(group, term) {
                    Verdict::NoLease => changed.await,
                    verdict => return verdict,
                }
            }
        };
        let left = deadline.since(self.clock.now());
        self.clock.timeout(left, verdict).await.unwrap_or(Verdict::NoLease)
    }

    /// Waits until the epoch of a group is replaced or about to be.
    pub(super) async fn wait_for_replacement(&self, group: &id::Group, term: id::Term) {
        while self.verdict(group, term) != Verdict::Replaced {
            let changed = self.changed.listen();
            if self.verdict(group, term) == Verdict::Replaced {
                return;
            }
            changed.await;
        }
    }

    /// Records a commit as pending until the guard is dropped.
    pub(super) fn begin_commit(self: &Arc<Self>, instance: &id::Instance) -> CommitGuard {
        let sent = self.clock.now();
        if let Some(entry) = self.lock().instances.get_mut(instance) {
            entry.health.begin_commit(sent);
        }
        CommitGuard { shared: Arc::clone(self), instance: instance.clone(), sent }
    }

    /// Records a ping of an instance as pending until the guard is dropped. Returns `None` if one is pending already.
    pub(super) fn begin_ping(self: &Arc<Self>, replica: &Replica) -> Option<PingGuard> {
        let instance = replica.instance.clone();
        let mut state = self.lock();
        let entry = state.instances.get_mut(&instance)?;
        if std::mem::replace(&mut entry.pinging, true) {
            return None;
        }
        Some(PingGuard { shared: Arc::clone(self), instance })
    }

    /// Maps each instance of the groups that this proxy serves to a value.
    pub(super) fn map_instances<T>(&self, map: impl Fn(&Instance) -> T) -> Vec<T> {
        let state = self.lock();
        let served = state.instances.values().filter(|entry| state.serves(&entry.replica.group));
        served.map(map).collect()
    }

    /// Returns the primaries of served groups whose newest position is stale.
    pub(super) fn stale_primaries(&self) -> Vec<id::Instance> {
        let now = self.clock.now();
        let state = self.lock();
        let stale = |group: &&super::state::Group| group.positions.is_stale(now);
        let groups = state.groups.values().filter(|group| group.permits > 0).filter(stale);
        groups.filter_map(|group| group.dispatcher.primary().cloned()).collect()
    }
}
