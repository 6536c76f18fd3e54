//! What the tasks of a broker do with their shared state, each under one short lock.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use log::Level;
use smol::channel::bounded;

use super::connection::{Permit, SharedConnection};
use super::dispatch::{self, Request, Ticket};
use super::explain::unheard_ms;
use super::guard::{CommitGuard, PingGuard, QueueGuard};
use super::monitor;
use super::need::{self, Need, PositionSample};
use super::server::Shared;
use super::state::{Instance, State};
use crate::clock::Instant;
use crate::config::Database;
use crate::id;
use crate::proxy::closing::Stage;
use crate::proxy::fence::Verdict;
use crate::proxy::floor::Mark;
use crate::proxy::heartbeat;
use crate::report::Failure;
use crate::report::event::{Event, millis};
use crate::upstream::channel::{Channel, Error as ChannelError};
use crate::wire::{Replica, Trouble};

/// How long a connection to an instance may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a read waits for the first sight of a primary while nobody is known to be one, before it queues for the
/// primary itself.
const POSITION_SAMPLE_TIMEOUT: Duration = Duration::from_millis(60);

/// How long a session waits for the first configuration; callers give up after two seconds.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How much younger than allowed the proof of a read is, for the time between the caller's sending and the decision.
const AGE_MARGIN: Duration = Duration::from_millis(50);

/// How old the last sight of a primary may be until it is asked; bounded reads of half a second can still be proved.
const MAX_POSITION_SAMPLE_AGE: Duration = Duration::from_millis(400);

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("nothing panics while it holds the lock")
    }

    pub(super) fn nudge(&self) {
        heartbeat::Member::nudge(self);
    }

    /// Takes what changed over and wakes whoever waited for it.
    pub(super) fn apply_changes(&self, now: Instant, state: &mut State) {
        state.refresh(now, &self.domain);
        let names: Vec<id::Group> = state.groups.keys().cloned().collect();
        for name in names {
            state.advance(now, &name);
        }
        self.changed.notify(usize::MAX);
    }

    pub(super) fn is_ready(&self) -> bool {
        let state = self.lock();
        let is_serving = state.revision.0 > 0 && !state.stranded.is_stranded();
        is_serving && !self.closing.is_past(Stage::Leaving)
    }

    /// Looks whether control was heard of lately.
    pub(super) fn check_lease_renewal(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.prune(now);
        let renewed = state.fence.renewed();
        if !state.stranded.update(now, renewed) {
            return;
        }
        let stranded = state.stranded.is_stranded();
        drop(state);
        let level = if stranded { Level::Warn } else { Level::Info };
        Event::Stranded { stranded, unheard_ms: unheard_ms(now, renewed) }.log(level);
        self.changed.notify(usize::MAX);
    }

    /// Waits until a session without a transaction that was opened at `opened` is better served elsewhere.
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

    /// Waits until a configuration is in force, for a process that has just started; tells whether one is.
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

    /// Returns the declaration of a database.
    pub(super) fn database(&self, name: &str) -> Option<Database> {
        let name: id::Database = name.parse().ok()?;
        self.lock().fleet.database.get(&name).cloned()
    }

    /// Returns the priority of a class.
    pub(super) fn priority(&self, class: &id::Class) -> u8 {
        self.lock().fleet.class.get(class).map_or(u8::MAX, |class| class.priority)
    }

    /// Returns how long a transaction may rest.
    pub(super) fn idle_transaction(&self) -> Option<Duration> {
        self.lock().fleet.idle_transaction.map(|span| span.0)
    }

    /// Decides what a read of a database needs. Where a proof is all that is missing for it to run on any instance, the
    /// primary is asked for one first: that takes none of its slots, as the read itself would. It answers the moment after a
    /// start, when no proof is known yet and every read would queue for the primary while the replicas are idle.
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

    /// Returns the primary of a group that may be used.
    pub(super) fn primary(&self, group: &id::Group) -> Option<Replica> {
        let state = self.lock();
        let primary = state.groups.get(group)?.dispatcher.primary()?;
        state.instances.get(primary).map(|entry| entry.replica.clone())
    }

    pub(super) fn ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Waits for a permit. Fails at once, or when the patience has run out, with how long it is until there is room.
    pub(super) async fn acquire_permit(
        self: &Arc<Self>,
        group: &id::Group,
        request: Request,
    ) -> Result<Permit, Duration> {
        let ticket = request.ticket;
        let (receiver, max_wait) = {
            let now = self.clock.now();
            let mut state = self.lock();
            let Some(queue) = state.groups.get_mut(group) else {
                return Err(dispatch::DEFAULT_RETRY_AFTER);
            };
            let max_wait = queue.dispatcher.max_wait(&request);
            match queue.dispatcher.submit(now, request) {
                dispatch::Decision::Start(instance) => {
                    return Ok(Permit::new(Arc::clone(self), group.clone(), instance));
                }
                dispatch::Decision::Refuse(wait) => return Err(wait),
                dispatch::Decision::Wait => {
                    let (sender, receiver) = bounded(1);
                    queue.waiters.insert(ticket, sender);
                    (receiver, max_wait)
                }
            }
        };
        let mut guard = QueueGuard { shared: self, group, ticket, receiver, finished: false };
        match self.clock.timeout(max_wait, guard.receiver.recv()).await {
            Some(Ok(instance)) => {
                guard.finished = true;
                Ok(Permit::new(Arc::clone(self), group.clone(), instance))
            }
            _ => Err(guard.cancel()),
        }
    }

    /// Takes a permit of one instance when one is free.
    pub(super) fn try_acquire_permit(self: &Arc<Self>, replica: &Replica) -> Option<Permit> {
        let now = self.clock.now();
        let mut state = self.lock();
        let group = state.groups.get_mut(&replica.group)?;
        let taken = group.dispatcher.try_acquire(now, &replica.instance);
        let (group, instance) = (replica.group.clone(), replica.instance.clone());
        taken.then(|| Permit::new(Arc::clone(self), group, instance))
    }

    pub(super) fn release(
        &self,
        group: &id::Group,
        instance: &id::Instance,
        duration: Option<Duration>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(queue) = state.groups.get_mut(group) {
            queue.dispatcher.release(instance, duration);
        }
        state.advance(now, group);
    }

    /// Lets others run while a transaction rests.
    pub(super) fn suspend(
        &self,
        group: &id::Group,
        instance: &id::Instance,
        duration: Option<Duration>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(queue) = state.groups.get_mut(group) {
            queue.dispatcher.suspend(instance, duration);
        }
        state.advance(now, group);
    }

    /// Notes that a transaction goes on after a rest.
    pub(super) fn resume(&self, group: &id::Group, instance: &id::Instance) {
        if let Some(queue) = self.lock().groups.get_mut(group) {
            queue.dispatcher.resume(instance);
        }
    }

    /// Notes that an instance had no room, or lacked what was asked for.
    pub(super) fn record_refusal(&self, permit: &Permit, lagging: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(queue) = state.groups.get_mut(&permit.group) {
            if lagging {
                queue.dispatcher.note_lagging(now, &permit.instance);
            } else {
                queue.dispatcher.note_full(now, &permit.instance);
            }
        }
    }

    /// Notes that an instance refused a new connection, and tries again later to place what waits for it.
    pub(super) fn record_refused_connection(self: &Arc<Self>, permit: &Permit) {
        let now = self.clock.now();
        if let Some(queue) = self.lock().groups.get_mut(&permit.group) {
            queue.dispatcher.note_refused_connection(now, &permit.instance);
        }
        let (shared, group) = (Arc::clone(self), permit.group.clone());
        let later = async move {
            shared.clock.sleep(dispatch::CONNECTION_RETRY_DELAY).await;
            shared.advance(&group);
        };
        smol::spawn(later).detach();
    }

    /// Tells whether an instance refused a new connection a moment ago.
    pub(super) fn is_connection_limited(&self, replica: &Replica) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let group = state.groups.get(&replica.group);
        group.is_some_and(|group| group.dispatcher.is_connection_limited(now, &replica.instance))
    }

    /// Tries again to place what waits in a group.
    pub(super) fn advance(&self, group: &id::Group) {
        let now = self.clock.now();
        self.lock().advance(now, group);
    }

    /// Takes an idle connection, one with the session's values before others.
    pub(super) fn idle_connection(
        &self,
        instance: &id::Instance,
        values: &BTreeMap<String, String>,
    ) -> Option<SharedConnection> {
        let mut state = self.lock();
        state.instances.get_mut(instance)?.idle.pop(values)
    }

    /// Opens a connection to an instance.
    pub(super) async fn open_connection(
        &self,
        instance: &id::Instance,
        limit: Instant,
    ) -> Result<SharedConnection, ChannelError> {
        let replica = self.lock().instances.get(instance).map(|entry| entry.replica.clone());
        let replica = replica.ok_or(ChannelError::Closed)?;
        let deadline = limit.min(self.clock.now() + CONNECT_TIMEOUT);
        let opened = Channel::open(&self.clock, self.codec, &replica, deadline).await;
        let (channel, position) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                match error.trouble() {
                    Trouble::Fine => self.record_answer(instance, None),
                    Trouble::Refused | Trouble::Silent | Trouble::Faulty => {
                        self.record_failure(instance, &error);
                    }
                }
                return Err(error);
            }
        };
        self.record_answer(instance, position);
        Ok(SharedConnection { channel, setup: Default::default() })
    }

    /// Gives a connection back that is fit for the next session.
    pub(super) fn return_connection(&self, instance: &id::Instance, connection: SharedConnection) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(entry) = state.instances.get_mut(instance) else {
            return;
        };
        entry.idle.put(now, connection);
    }

    /// Notes that an instance answered, and where it stands.
    pub(super) fn record_answer(&self, instance: &id::Instance, position: Option<Mark>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(entry) = state.instances.get_mut(instance) else {
            return;
        };
        let recovered = entry.health.record_answer(now);
        let group = entry.replica.group.clone();
        if let Some(mark) = position
            && let Some(queue) = state.groups.get_mut(&group)
        {
            queue.dispatcher.set_position(instance, mark);
        }
        if recovered {
            let (trouble, silent_ms, reason) = (Trouble::Fine, 0, None);
            Event::Instance { instance, group: &group, trouble, silent_ms, reason }
                .log(Level::Info);
            self.apply_changes(now, &mut state);
            drop(state);
            self.nudge();
        }
    }

    /// Notes what a failure says of an instance.
    pub(super) fn record_failure(&self, instance: &id::Instance, error: &ChannelError) {
        let trouble = error.trouble();
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(entry) = state.instances.get_mut(instance) else {
            return;
        };
        if !entry.health.record_failure(trouble) {
            return;
        }
        entry.idle.clear();
        let silent_ms = millis(entry.health.silence(now));
        let (group, reason) = (&entry.replica.group, Some(error.to_string()));
        Event::Instance { instance, group, trouble, silent_ms, reason }.log(Level::Warn);
        self.metrics.upstream_failed(match trouble {
            Trouble::Refused => Failure::Refused,
            Trouble::Silent => Failure::Silent,
            Trouble::Faulty | Trouble::Fine => Failure::Faulty,
        });
        self.apply_changes(now, &mut state);
        drop(state);
        self.nudge();
    }

    /// Notes where the primary stood when it was asked under a valid lease.
    pub(super) fn record_sample(&self, group: &id::Group, asked: Instant, mark: Mark) {
        let was_stale = {
            let mut state = self.lock();
            let Some(queue) = state.groups.get_mut(group) else {
                return;
            };
            let was_stale =
                queue.trail.newest().is_none_or(|at| asked.since(at) > MAX_POSITION_SAMPLE_AGE);
            queue.trail.note(asked, mark);
            was_stale
        };
        if was_stale {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns the epoch's term when the instance is its primary and the lease is valid.
    pub(super) fn primary_term(
        &self,
        group: &id::Group,
        instance: &id::Instance,
    ) -> Option<id::Term> {
        self.lock().primary_term(self.clock.now(), group, instance)
    }

    /// Judges whether the answer to a write may be released now.
    pub(super) fn verdict(&self, group: &id::Group, term: id::Term) -> Verdict {
        self.lock().fence.verdict(self.clock.now(), group, term)
    }

    /// Judges the same once there is a lease to judge by, or at `limit`.
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

    /// Waits until a group's epoch is replaced, or on its way to be.
    pub(super) async fn wait_for_replacement(&self, group: &id::Group, term: id::Term) {
        while self.verdict(group, term) != Verdict::Replaced {
            let changed = self.changed.listen();
            if self.verdict(group, term) == Verdict::Replaced {
                return;
            }
            changed.await;
        }
    }

    /// Notes that a commit was sent, until what is returned is dropped.
    pub(super) fn begin_commit(self: &Arc<Self>, instance: &id::Instance) -> CommitGuard {
        let sent = self.clock.now();
        if let Some(entry) = self.lock().instances.get_mut(instance) {
            entry.health.begin_commit(sent);
        }
        CommitGuard { shared: Arc::clone(self), instance: instance.clone(), sent }
    }

    /// Notes that an instance is asked where it stands, unless that is so already.
    pub(super) fn begin_ping(self: &Arc<Self>, replica: &Replica) -> Option<PingGuard> {
        let instance = replica.instance.clone();
        let mut state = self.lock();
        let entry = state.instances.get_mut(&instance)?;
        if std::mem::replace(&mut entry.pinging, true) {
            return None;
        }
        Some(PingGuard { shared: Arc::clone(self), instance })
    }

    /// Returns the instances and how they were last seen.
    pub(super) fn map_instances<T>(&self, map: impl Fn(&Instance) -> T) -> Vec<T> {
        self.lock().instances.values().map(map).collect()
    }

    /// Returns the primaries whose last sight is older than [`FADED`].
    pub(super) fn stale_primaries(&self) -> Vec<id::Instance> {
        let now = self.clock.now();
        let state = self.lock();
        let stale = |group: &&super::state::Group| {
            group.trail.newest().is_none_or(|asked| now.since(asked) > MAX_POSITION_SAMPLE_AGE)
        };
        let groups = state.groups.values().filter(stale);
        groups.filter_map(|group| group.dispatcher.primary().cloned()).collect()
    }
}
