//! The stages of the graceful shutdown of a process that serves callers, and the tasks that wait for them.

use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

use event_listener::Event;

/// A stage of the shutdown. Stages are only ever advanced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Stage {
    /// The load balancer is notified to send no new callers; sessions are still served. Skipped if there is no load
    /// balancer.
    Leaving = 1,
    /// Each session ends as soon as it has no request in progress and no open transaction.
    Draining = 2,
    /// Sessions that are still open are aborted.
    Aborting = 3,
}

/// The stage of the shutdown and the number of open sessions. Each has its own event, so that tasks which wait for a
/// stage are not woken each time a session closes.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    stage: AtomicU8,
    stage_changed: Event,
    sessions: AtomicUsize,
    session_count_changed: Event,
}

impl Shutdown {
    /// Returns whether the shutdown has reached the stage or a later one.
    pub(crate) fn has_reached(&self, stage: Stage) -> bool {
        self.stage.load(Ordering::SeqCst) >= stage as u8
    }

    /// Advances the shutdown to the stage, unless it is there or later already.
    pub(crate) fn advance_to(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::SeqCst);
        self.stage_changed.notify(usize::MAX);
    }

    /// Waits until the stage is reached.
    pub(crate) async fn wait_for(&self, stage: Stage) {
        wait_until(&self.stage_changed, || self.has_reached(stage)).await;
    }

    /// Waits until no session is open.
    pub(crate) async fn wait_until_drained(&self) {
        wait_until(&self.session_count_changed, || self.open_sessions() == 0).await;
    }

    pub(crate) fn open_sessions(&self) -> usize {
        self.sessions.load(Ordering::SeqCst)
    }

    pub(crate) fn session_opened(&self) {
        self.sessions.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn session_closed(&self) {
        self.sessions.fetch_sub(1, Ordering::SeqCst);
        self.session_count_changed.notify(usize::MAX);
    }
}

/// Waits until `condition` holds, and checks it again after each notification of `changed`.
async fn wait_until(changed: &Event, condition: impl Fn() -> bool) {
    while !condition() {
        let listener = changed.listen();
        if condition() {
            return;
        }
        listener.await;
    }
}
