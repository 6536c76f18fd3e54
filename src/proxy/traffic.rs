//! State shared by the tasks of the request path: positions of primaries, change notifications, and shutdown.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use event_listener::{Event, EventListener};
use smol::channel::{Receiver, Sender, bounded};

use super::fence::Verdict;
use super::floor::Mark;
use super::position_history::PositionHistory;
use super::route::{self, Choice, Need};
use super::server::Shared;
use super::shutdown::{Shutdown, Stage};
use crate::clock::Instant;
use crate::id;
use crate::upstream::status::Status;
use crate::wire::Epoch;

/// The minimum time between two status queries to one instance, however many requests wait for the result.
const MIN_QUERY_INTERVAL: Duration = Duration::from_micros(500);

/// The state shared by the request path.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    shutdown: Shutdown,
    next_caller_number: AtomicU64,
    groups: Mutex<BTreeMap<id::Group, Arc<Group>>>,
}

/// The state shared by the requests of one group.
#[derive(Debug, Default)]
struct Group {
    changed: Event,
    positions: Mutex<PositionHistory>,
    /// Whether the table of `once` keys is known to exist.
    key_table_exists: AtomicBool,
}

/// The connection that queries the status of an instance, and the trigger for an immediate query.
#[derive(Debug)]
pub(super) struct StatusConnection {
    /// When the connection was opened.
    pub(super) opened_at: Instant,
    trigger: Sender<()>,
    triggered: Receiver<()>,
}

/// Counts a caller as connected until dropped.
pub(super) struct CallerGuard {
    shared: Arc<Shared>,
}

impl Default for StatusConnection {
    fn default() -> Self {
        let (trigger, triggered) = bounded(1);
        Self { opened_at: Instant::default(), trigger, triggered }
    }
}

impl StatusConnection {
    /// Requests an immediate status query. Returns whether none was requested yet.
    pub(super) fn request_query(&self) -> bool {
        self.trigger.try_send(()).is_ok()
    }

    pub(super) fn query_requests(&self) -> Receiver<()> {
        self.triggered.clone()
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.shared.metrics.caller_disconnected();
        self.shared.traffic.shutdown.session_closed();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while holding this lock")
}

impl Traffic {
    fn group(&self, name: &id::Group) -> Arc<Group> {
        let mut groups = lock(&self.groups);
        if let Some(group) = groups.get(name) {
            return Arc::clone(group);
        }
        Arc::clone(groups.entry(name.clone()).or_default())
    }

    /// Wakes the tasks that wait for a change in any group.
    pub(super) fn notify_all(&self) {
        for group in lock(&self.groups).values() {
            group.changed.notify(usize::MAX);
        }
    }

    /// Wakes the tasks that wait for a change in the group.
    pub(super) fn notify(&self, name: &id::Group) {
        self.group(name).changed.notify(usize::MAX);
    }

    /// Records the position that the primary of a group reported under a valid lease.
    pub(super) fn record_position(&self, name: &id::Group, requested_at: Instant, mark: Mark) {
        lock(&self.group(name).positions).record(requested_at, mark);
    }
}

impl Shared {
    /// Counts a caller as connected until the returned guard is dropped.
    pub(super) fn track_caller(self: &Arc<Self>) -> CallerGuard {
        self.metrics.caller_connected();
        self.traffic.shutdown.session_opened();
        CallerGuard { shared: Arc::clone(self) }
    }

    /// Returns the number for a new caller.
    pub(super) fn next_caller_number(&self) -> u64 {
        self.traffic.next_caller_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a future that completes on a change in the group: of a position, the routing table or an instance.
    pub(super) fn group_changed(&self, group: &id::Group) -> EventListener {
        self.traffic.group(group).changed.listen()
    }

    /// Returns the mark that an instance must have reached so that its data is at most `age` old, if known.
    pub(super) fn mark_for_age(
        &self,
        group: &id::Group,
        now: Instant,
        age: Duration,
    ) -> Option<Mark> {
        lock(&self.traffic.group(group).positions).mark_for_age(now, age)
    }

    /// Chooses the instance for a read.
    pub(super) fn route(&self, group: &id::Group, epoch: &Epoch, need: &Need) -> Choice {
        let candidates = self.candidates(group);
        let shared = self.traffic.group(group);
        let positions = lock(&shared.positions);
        route::choose(self.clock.now(), &candidates, epoch, need, &positions, &self.domain)
    }

    /// Returns a mark that covers all writes acknowledged before the primary was asked for this status. A write that is
    /// not yet as durable as declared is not acknowledged, and a promotion may drop it.
    pub(super) fn acknowledged(&self, group: &id::Group, status: Status) -> Mark {
        let fleet = self.fleet();
        let durability = fleet.group.get(group).map(|group| group.durability);
        let position = status.acknowledged(durability.unwrap_or_default());
        Mark { term: status.term, position }
    }

    /// Records the status of an instance in the position history of its group, if the instance is the current primary
    /// and the lease is valid.
    pub(super) fn record_primary_status(
        &self,
        group: &id::Group,
        instance: &id::Instance,
        requested_at: Instant,
        status: Status,
    ) {
        let Some(epoch) = self.epoch(group) else {
            return;
        };
        let current = epoch.primary == *instance && epoch.term == status.term;
        if current && self.verdict(group, status.term) == Verdict::Release {
            self.traffic.record_position(group, requested_at, self.acknowledged(group, status));
        }
    }

    /// Waits until the next status query to an instance is due: when one is requested, or after `interval`.
    pub(super) async fn wait_for_query(&self, instance: &id::Instance, interval: Duration) {
        let Some(requests) = self.status_requests(instance) else {
            return self.clock.sleep(interval).await;
        };
        self.clock.sleep(MIN_QUERY_INTERVAL).await;
        self.clock.timeout(interval.saturating_sub(MIN_QUERY_INTERVAL), requests.recv()).await;
    }

    /// Returns whether the table of `once` keys is known to exist.
    pub(super) fn has_key_table(&self, group: &id::Group) -> bool {
        self.traffic.group(group).key_table_exists.load(Ordering::Relaxed)
    }

    pub(super) fn set_key_table_present(&self, group: &id::Group) {
        self.traffic.group(group).key_table_exists.store(true, Ordering::Relaxed);
    }

    pub(super) fn set_key_table_missing(&self, group: &id::Group) {
        self.traffic.group(group).key_table_exists.store(false, Ordering::Relaxed);
    }

    /// Returns whether the proxy is shutting down.
    pub(super) fn is_draining(&self) -> bool {
        self.traffic.shutdown.has_reached(Stage::Draining)
    }

    /// Completes when the proxy begins to shut down.
    pub(super) async fn shutdown_started(&self) {
        self.traffic.shutdown.wait_for(Stage::Draining).await;
    }

    /// Completes when the time limit of the shutdown has passed.
    pub(super) async fn shutdown_expired(&self) {
        self.traffic.shutdown.wait_for(Stage::Aborting).await;
    }

    /// Starts the shutdown. Callers may finish what they have begun for at most `limit`; after that, unfinished
    /// requests are answered with their actual outcome. Returns when all callers have disconnected, at the latest
    /// `grace` after the limit.
    pub(super) async fn shut_down(&self, limit: Duration, grace: Duration) {
        let shutdown = &self.traffic.shutdown;
        shutdown.advance_to(Stage::Draining);
        self.request_heartbeat();
        if self.clock.timeout(limit, shutdown.wait_until_drained()).await.is_none() {
            shutdown.advance_to(Stage::Aborting);
            self.clock.timeout(grace, shutdown.wait_until_drained()).await;
        }
    }
}
