//! How far the end of a process that serves callers has come, and who waits for it.

use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

use event_listener::Event;

/// How far the end of the process has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Stage {
    /// The balancer is told to send nobody any more; sessions are served. Without a balancer it is passed over.
    Leaving = 1,
    /// Sessions end as soon as they have nothing begun.
    Closing = 2,
    /// What is still open is given up.
    Ending = 3,
}

/// The stage, and the callers that are served. Whoever waits for a stage is not woken each time that a caller leaves.
#[derive(Debug, Default)]
pub(crate) struct Closing {
    stage: AtomicU8,
    stage_changed: Event,
    sessions: AtomicUsize,
    session_count_changed: Event,
}

impl Closing {
    pub(crate) fn has_reached(&self, stage: Stage) -> bool {
        self.stage.load(Ordering::SeqCst) >= stage as u8
    }

    pub(crate) fn advance_to(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::SeqCst);
        self.stage_changed.notify(usize::MAX);
    }

    /// Waits until the stage is reached.
    pub(crate) async fn wait_for(&self, stage: Stage) {
        wait_until(&self.stage_changed, || self.has_reached(stage)).await;
    }

    /// Waits until no caller is served.
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

/// Waits until something holds that each notice of `changed` may have brought about.
async fn wait_until(changed: &Event, condition: impl Fn() -> bool) {
    while !condition() {
        let listener = changed.listen();
        if condition() {
            return;
        }
        listener.await;
    }
}
