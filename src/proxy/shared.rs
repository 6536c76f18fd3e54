//! State shared by the tasks of the request path: positions of primaries, change notifications, and shutdown.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use event_listener::{Event, EventListener};
use smol::channel::{Receiver, Sender, bounded};

use super::closing::{Closing, Stage};
use super::fence::Verdict;
use super::floor::Mark;
use super::route::{self, Choice, Need};
use super::server::Shared;
use super::trail::Trail;
use crate::clock::Instant;
use crate::id;
use crate::upstream::position::Status;
use crate::wire::Epoch;

/// The minimum time between two status queries to one instance, however many requests wait for the result.
const ASK_GAP: Duration = Duration::from_micros(500);

/// The state shared by the request path.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    closing: Closing,
    numbers: AtomicU64,
    groups: Mutex<BTreeMap<id::Group, Arc<Group>>>,
}

/// The state shared by the requests of one group.
#[derive(Debug, Default)]
struct Group {
    changed: Event,
    trail: Mutex<Trail>,
    /// Whether the table of `once` keys is known to exist.
    keys: AtomicBool,
}

/// The connection that queries the status of an instance, and the trigger for an immediate query.
#[derive(Debug)]
pub(super) struct Life {
    /// When the connection was opened.
    pub(super) since: Instant,
    ask: Sender<()>,
    asked: Receiver<()>,
}

/// Counts a caller as connected until dropped.
pub(super) struct Served {
    shared: Arc<Shared>,
}

impl Default for Life {
    fn default() -> Self {
        let (ask, asked) = bounded(1);
        Self { since: Instant::default(), ask, asked }
    }
}

impl Life {
    /// Requests an immediate status query. Returns whether none was requested yet.
    pub(super) fn ask(&self) -> bool {
        self.ask.try_send(()).is_ok()
    }

    pub(super) fn asked(&self) -> Receiver<()> {
        self.asked.clone()
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.shared.metrics.caller_left();
        self.shared.traffic.closing.left();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("nothing panics while it holds the lock")
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
    pub(super) fn note(&self, name: &id::Group, asked: Instant, mark: Mark) {
        lock(&self.group(name).trail).note(asked, mark);
    }
}

impl Shared {
    /// Counts a caller as connected until the returned guard is dropped.
    pub(super) fn serving(self: &Arc<Self>) -> Served {
        self.metrics.caller_came();
        self.traffic.closing.came();
        Served { shared: Arc::clone(self) }
    }

    /// Returns the number for a new caller.
    pub(super) fn number(&self) -> u64 {
        self.traffic.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a future that completes on a change in the group: of a position, the routing table or an instance.
    pub(super) fn changed(&self, group: &id::Group) -> EventListener {
        self.traffic.group(group).changed.listen()
    }

    /// Returns the mark that an instance must have reached so that its data is at most `age` old, if known.
    pub(super) fn proof(&self, group: &id::Group, now: Instant, age: Duration) -> Option<Mark> {
        lock(&self.traffic.group(group).trail).proof(now, age)
    }

    /// Chooses the instance for a read.
    pub(super) fn route(&self, group: &id::Group, epoch: &Epoch, need: &Need) -> Choice {
        let candidates = self.candidates(group);
        let shared = self.traffic.group(group);
        let trail = lock(&shared.trail);
        route::read(self.clock.now(), &candidates, epoch, need, &trail, &self.domain)
    }

    /// Returns a mark that covers all writes acknowledged before a primary was asked for its status. A write that is
    /// not yet as durable as declared is not acknowledged, and a promotion may drop it.
    pub(super) fn acknowledged(&self, group: &id::Group, status: Status) -> Mark {
        let fleet = self.fleet();
        let durability = fleet.group.get(group).map(|group| group.durability);
        let position = status.acknowledged(durability.unwrap_or_default());
        Mark { term: status.term, position }
    }

    /// Records the status of an instance in the position history of its group, if the instance is the current primary
    /// and the lease is valid.
    pub(super) fn trace(&self, group: &id::Group, instance: &id::Instance, at: Instant, s: Status) {
        let Some(epoch) = self.epoch(group) else {
            return;
        };
        let current = epoch.primary == *instance && epoch.term == s.term;
        if current && self.verdict(group, s.term) == Verdict::Release {
            self.traffic.note(group, at, self.acknowledged(group, s));
        }
    }

    /// Waits until the next status query to an instance is due: when one is requested, or after `interval`.
    pub(super) async fn pause(&self, instance: &id::Instance, interval: Duration) {
        let Some(asked) = self.asked(instance) else {
            return self.clock.sleep(interval).await;
        };
        self.clock.sleep(ASK_GAP).await;
        self.clock.timeout(interval.saturating_sub(ASK_GAP), asked.recv()).await;
    }

    /// Returns whether the table of `once` keys is known to exist.
    pub(super) fn has_keys(&self, group: &id::Group) -> bool {
        self.traffic.group(group).keys.load(Ordering::Relaxed)
    }

    pub(super) fn with_keys(&self, group: &id::Group) {
        self.traffic.group(group).keys.store(true, Ordering::Relaxed);
    }

    pub(super) fn without_keys(&self, group: &id::Group) {
        self.traffic.group(group).keys.store(false, Ordering::Relaxed);
    }

    /// Returns whether the proxy is shutting down.
    pub(super) fn is_draining(&self) -> bool {
        self.traffic.closing.is_past(Stage::Closing)
    }

    /// Completes when the proxy begins to shut down.
    pub(super) async fn drained(&self) {
        self.traffic.closing.reached(Stage::Closing).await;
    }

    /// Completes when the time limit of the shutdown has passed.
    pub(super) async fn ended(&self) {
        self.traffic.closing.reached(Stage::Ending).await;
    }

    /// Starts the shutdown. Callers may finish what they have begun for at most `limit`; after that, unfinished
    /// requests are answered with their true outcome. Returns when all callers have disconnected, at the latest
    /// `grace` after the limit.
    pub(super) async fn drain(&self, limit: Duration, grace: Duration) {
        let closing = &self.traffic.closing;
        closing.reach(Stage::Closing);
        self.nudge();
        if self.clock.timeout(limit, closing.emptied()).await.is_none() {
            closing.reach(Stage::Ending);
            self.clock.timeout(grace, closing.emptied()).await;
        }
    }
}
