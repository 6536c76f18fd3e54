//! What the tasks of a broker do with their shared state, each under one short lock.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use log::Level;
use smol::channel::bounded;

use super::dispatch::{self, Ask, Ticket};
use super::explain::unheard;
use super::guard::{Asking, Committing, Waiting};
use super::keeper;
use super::lane::{Lane, Permit};
use super::need::{self, Need, Sight};
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
use crate::upstream::connection::{Connection, Error as ConnectionError};
use crate::wire::{Health, Replica};

/// How long a connection to an instance may take to be made.
const OPEN: Duration = Duration::from_millis(700);

/// How long a read waits for the first sight of a primary while nobody is known to be one, before it queues for the
/// primary itself.
const PROOF: Duration = Duration::from_millis(60);

/// How long a session waits for the first configuration; callers give up after two seconds.
const CONFIGURED: Duration = Duration::from_millis(1_500);

/// How much younger than allowed the proof of a read is, for the time between the caller's sending and the decision.
const AGE_MARGIN: Duration = Duration::from_millis(50);

/// How old the last sight of a primary may be until it is asked; bounded reads of half a second can still be proved.
const FADED: Duration = Duration::from_millis(400);

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("nothing panics while it holds the lock")
    }

    pub(super) fn nudge(&self) {
        heartbeat::Member::request_heartbeat(self);
    }

    /// Takes what changed over and wakes whoever waited for it.
    pub(super) fn take_over(&self, now: Instant, state: &mut State) {
        state.refresh(now, &self.domain);
        let names: Vec<id::Group> = state.groups.keys().cloned().collect();
        for name in names {
            state.advance(now, &name);
        }
        self.changed.notify(usize::MAX);
    }

    pub(super) fn is_ready(&self) -> bool {
        let state = self.lock();
        let serves = state.revision.0 > 0 && !state.stranded.is_stranded();
        serves && !self.closing.has_reached(Stage::Leaving)
    }

    /// Looks whether control was heard of lately.
    pub(super) fn look_around(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.prune(now);
        let renewed = state.fence.last_renewal();
        if !state.stranded.step(now, renewed) {
            return;
        }
        let stranded = state.stranded.is_stranded();
        drop(state);
        let level = if stranded { Level::Warn } else { Level::Info };
        Event::Stranded { stranded, unheard_ms: unheard(now, renewed) }.log(level);
        self.changed.notify(usize::MAX);
    }

    /// Waits until a session without a transaction that was opened at `opened` is better served elsewhere.
    pub(super) async fn stranded(&self, opened: Instant, spread: f64) {
        loop {
            let changed = self.changed.listen();
            let ends = self.lock().stranded.ends(opened, spread);
            match ends.map(|ends| ends.since(self.clock.now())) {
                Some(Duration::ZERO) => return,
                Some(left) => {
                    self.clock.timeout(left, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Waits until a configuration is in force, for a process that has just started; tells whether one is.
    pub(super) async fn configured(&self) -> bool {
        let configured = async {
            while self.lock().revision.0 == 0 {
                let changed = self.changed.listen();
                if self.lock().revision.0 > 0 {
                    return;
                }
                changed.await;
            }
        };
        self.clock.timeout(CONFIGURED, configured).await.is_some()
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
        own: Option<Sight>,
        patience: Duration,
    ) -> Need {
        let need = self.need_now(database, own);
        if need != Need::Primary || need::max_age(database.reads).is_none() {
            return need;
        }
        let seen = async {
            loop {
                let changed = self.changed.listen();
                keeper::ask_primary(self, &database.group);
                let need = self.need_now(database, own);
                if need != Need::Primary {
                    return need;
                }
                changed.await;
            }
        };
        let limit = if self.primary(&database.group).is_some() { patience } else { PROOF };
        let need = self.clock.timeout(limit, seen).await;
        need.unwrap_or_else(|| self.need_now(database, own))
    }

    fn need_now(&self, database: &Database, own: Option<Sight>) -> Need {
        let now = self.clock.now();
        let age = need::max_age(database.reads).map(|age| age.saturating_sub(AGE_MARGIN));
        let proof = age.and_then(|age| self.lock().sight(now, &database.group, age));
        need::read(database.reads, proof, own)
    }

    /// Returns the primary of a group that may be used.
    pub(super) fn primary(&self, group: &id::Group) -> Option<Replica> {
        let state = self.lock();
        let primary = state.groups.get(group)?.dispatch.primary()?;
        state.instances.get(primary).map(|known| known.replica.clone())
    }

    pub(super) fn ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Waits for a permit. Fails at once, or when the patience has run out, with how long it is until there is room.
    pub(super) async fn permit(
        self: &Arc<Self>,
        group: &id::Group,
        ask: Ask,
    ) -> Result<Permit, Duration> {
        let ticket = ask.ticket;
        let (received, patience) = {
            let now = self.clock.now();
            let mut state = self.lock();
            let Some(queue) = state.groups.get_mut(group) else {
                return Err(dispatch::USUAL_ABSENCE);
            };
            let patience = queue.dispatch.patience(&ask);
            match queue.dispatch.ask(now, ask) {
                dispatch::Verdict::Start(instance) => {
                    return Ok(Permit::new(Arc::clone(self), group.clone(), instance));
                }
                dispatch::Verdict::Refuse(wait) => return Err(wait),
                dispatch::Verdict::Wait => {
                    let (sender, receiver) = bounded(1);
                    queue.waiters.insert(ticket, sender);
                    (receiver, patience)
                }
            }
        };
        let mut waiting = Waiting { shared: self, group, ticket, received, over: false };
        match self.clock.timeout(patience, waiting.received.recv()).await {
            Some(Ok(instance)) => {
                waiting.over = true;
                Ok(Permit::new(Arc::clone(self), group.clone(), instance))
            }
            _ => Err(waiting.give_up()),
        }
    }

    /// Takes a permit of one instance when one is free.
    pub(super) fn permit_now(self: &Arc<Self>, replica: &Replica) -> Option<Permit> {
        let now = self.clock.now();
        let mut state = self.lock();
        let group = state.groups.get_mut(&replica.group)?;
        let taken = group.dispatch.take(now, &replica.instance);
        let (group, instance) = (replica.group.clone(), replica.instance.clone());
        taken.then(|| Permit::new(Arc::clone(self), group, instance))
    }

    pub(super) fn release(
        &self,
        group: &id::Group,
        instance: &id::Instance,
        took: Option<Duration>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(queue) = state.groups.get_mut(group) {
            queue.dispatch.release(instance, took);
        }
        state.advance(now, group);
    }

    /// Lets others run while a transaction rests.
    pub(super) fn rest(&self, group: &id::Group, instance: &id::Instance, took: Option<Duration>) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(queue) = state.groups.get_mut(group) {
            queue.dispatch.rest(instance, took);
        }
        state.advance(now, group);
    }

    /// Notes that a transaction goes on after a rest.
    pub(super) fn resume(&self, group: &id::Group, instance: &id::Instance) {
        if let Some(queue) = self.lock().groups.get_mut(group) {
            queue.dispatch.resume(instance);
        }
    }

    /// Notes that an instance had no room, or lacked what was asked for.
    pub(super) fn refused_by(&self, permit: &Permit, lagging: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(queue) = state.groups.get_mut(&permit.group) {
            if lagging {
                queue.dispatch.lagged(now, &permit.instance);
            } else {
                queue.dispatch.was_full(now, &permit.instance);
            }
        }
    }

    /// Notes that an instance refused a new connection, and tries again later to place what waits for it.
    pub(super) fn crowded(self: &Arc<Self>, permit: &Permit) {
        let now = self.clock.now();
        if let Some(queue) = self.lock().groups.get_mut(&permit.group) {
            queue.dispatch.was_crowded(now, &permit.instance);
        }
        let (shared, group) = (Arc::clone(self), permit.group.clone());
        let later = async move {
            shared.clock.sleep(dispatch::CROWDED).await;
            shared.advance(&group);
        };
        smol::spawn(later).detach();
    }

    /// Tells whether an instance refused a new connection a moment ago.
    pub(super) fn is_crowded(&self, replica: &Replica) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let group = state.groups.get(&replica.group);
        group.is_some_and(|group| group.dispatch.is_crowded(now, &replica.instance))
    }

    /// Tries again to place what waits in a group.
    pub(super) fn advance(&self, group: &id::Group) {
        let now = self.clock.now();
        self.lock().advance(now, group);
    }

    /// Takes an idle connection, one with the session's values before others.
    pub(super) fn idle(
        &self,
        instance: &id::Instance,
        values: &BTreeMap<String, String>,
    ) -> Option<Lane> {
        let mut state = self.lock();
        state.instances.get_mut(instance)?.idle.take(values)
    }

    /// Opens a connection to an instance.
    pub(super) async fn open(
        &self,
        instance: &id::Instance,
        limit: Instant,
    ) -> Result<Lane, ConnectionError> {
        let replica = self.lock().instances.get(instance).map(|known| known.replica.clone());
        let replica = replica.ok_or(ConnectionError::Closed)?;
        let deadline = limit.min(self.clock.now() + OPEN);
        let opened = Connection::connect(&self.clock, self.codec, &replica, deadline).await;
        let (channel, position) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                match error.health() {
                    Health::Fine => self.answered(instance, None),
                    Health::Refused | Health::Silent | Health::Faulty => {
                        self.failed(instance, &error);
                    }
                }
                return Err(error);
            }
        };
        self.answered(instance, position);
        Ok(Lane { channel, applied: Default::default() })
    }

    /// Gives a connection back that is fit for the next session.
    pub(super) fn keep(&self, instance: &id::Instance, lane: Lane) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(known) = state.instances.get_mut(instance) else {
            return;
        };
        known.idle.keep(now, lane);
    }

    /// Notes that an instance answered, and where it stands.
    pub(super) fn answered(&self, instance: &id::Instance, position: Option<Mark>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(known) = state.instances.get_mut(instance) else {
            return;
        };
        let recovered = known.health.answered(now);
        let group = known.replica.group.clone();
        if let Some(mark) = position
            && let Some(queue) = state.groups.get_mut(&group)
        {
            queue.dispatch.stands(instance, mark);
        }
        if recovered {
            let (trouble, silent_ms, reason) = (Health::Fine, 0, None);
            Event::Instance { instance, group: &group, trouble, silent_ms, reason }
                .log(Level::Info);
            self.take_over(now, &mut state);
            drop(state);
            self.nudge();
        }
    }

    /// Notes what a failure says of an instance.
    pub(super) fn failed(&self, instance: &id::Instance, error: &ConnectionError) {
        let trouble = error.health();
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(known) = state.instances.get_mut(instance) else {
            return;
        };
        if !known.health.failed(trouble) {
            return;
        }
        known.idle.clear();
        let silent_ms = millis(known.health.silence(now));
        let (group, reason) = (&known.replica.group, Some(error.to_string()));
        Event::Instance { instance, group, trouble, silent_ms, reason }.log(Level::Warn);
        self.metrics.upstream_failed(match trouble {
            Health::Refused => Failure::Refused,
            Health::Silent => Failure::Silent,
            Health::Faulty | Health::Fine => Failure::Faulty,
        });
        self.take_over(now, &mut state);
        drop(state);
        self.nudge();
    }

    /// Notes where the primary stood when it was asked under a valid lease.
    pub(super) fn trace(&self, group: &id::Group, asked: Instant, mark: Mark) {
        let first = {
            let mut state = self.lock();
            let Some(queue) = state.groups.get_mut(group) else {
                return;
            };
            let faded = queue.trail.newest_asked().is_none_or(|at| asked.since(at) > FADED);
            queue.trail.record(asked, mark);
            faded
        };
        if first {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns the epoch's term when the instance is its primary and the lease is valid.
    pub(super) fn reign(&self, group: &id::Group, instance: &id::Instance) -> Option<id::Term> {
        self.lock().reign(self.clock.now(), group, instance)
    }

    /// Judges whether the answer to a write may be released now.
    pub(super) fn verdict(&self, group: &id::Group, term: id::Term) -> Verdict {
        self.lock().fence.verdict(self.clock.now(), group, term)
    }

    /// Judges the same once there is a lease to judge by, or at `limit`.
    pub(super) async fn judged(
        &self,
        group: &id::Group,
        term: id::Term,
        limit: Instant,
    ) -> Verdict {
        let judged = async {
            loop {
                let changed = self.changed.listen();
                match self.verdict(group, term) {
                    Verdict::NoLease => changed.await,
                    verdict => return verdict,
                }
            }
        };
        let left = limit.since(self.clock.now());
        self.clock.timeout(left, judged).await.unwrap_or(Verdict::NoLease)
    }

    /// Waits until a group's epoch is replaced, or on its way to be.
    pub(super) async fn replaced(&self, group: &id::Group, term: id::Term) {
        while self.verdict(group, term) != Verdict::Replaced {
            let changed = self.changed.listen();
            if self.verdict(group, term) == Verdict::Replaced {
                return;
            }
            changed.await;
        }
    }

    /// Notes that a commit was sent, until what is returned is dropped.
    pub(super) fn committing(self: &Arc<Self>, instance: &id::Instance) -> Committing {
        let sent = self.clock.now();
        if let Some(known) = self.lock().instances.get_mut(instance) {
            known.health.begin_commit(sent);
        }
        Committing { shared: Arc::clone(self), instance: instance.clone(), sent }
    }

    /// Notes that an instance is asked where it stands, unless that is so already.
    pub(super) fn begin_to_ask(self: &Arc<Self>, replica: &Replica) -> Option<Asking> {
        let instance = replica.instance.clone();
        let mut state = self.lock();
        let known = state.instances.get_mut(&instance)?;
        if std::mem::replace(&mut known.asked, true) {
            return None;
        }
        Some(Asking { shared: Arc::clone(self), instance })
    }

    /// Returns the instances and how they were last seen.
    pub(super) fn instances<T>(&self, seen: impl Fn(&Instance) -> T) -> Vec<T> {
        self.lock().instances.values().map(seen).collect()
    }

    /// Returns the primaries whose last sight is older than [`FADED`].
    pub(super) fn faded(&self) -> Vec<id::Instance> {
        let now = self.clock.now();
        let state = self.lock();
        let faded = |group: &&super::state::Group| {
            group.trail.newest_asked().is_none_or(|asked| now.since(asked) > FADED)
        };
        let groups = state.groups.values().filter(faded);
        groups.filter_map(|group| group.dispatch.primary().cloned()).collect()
    }
}
