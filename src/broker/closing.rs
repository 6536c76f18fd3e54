//! How far the end of the process has come, and who waits for it.

use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

use event_listener::Event;

/// How far the end of the process has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(super) enum Stage {
    /// The balancer is told to send nobody any more; sessions are served.
    Leaving = 1,
    /// Sessions end as soon as they have no transaction.
    Closing = 2,
    /// Transactions that are still open are given up.
    Ending = 3,
}

/// The stage, and the sessions that are open.
#[derive(Debug, Default)]
pub(super) struct Closing {
    stage: AtomicU8,
    sessions: AtomicUsize,
    changed: Event,
}

impl Closing {
    pub(super) fn is_past(&self, stage: Stage) -> bool {
        self.stage.load(Ordering::SeqCst) >= stage as u8
    }

    pub(super) fn reach(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Waits until the stage is reached.
    pub(super) async fn reached(&self, stage: Stage) {
        self.until(|| self.is_past(stage)).await;
    }

    /// Waits until no session is open.
    pub(super) async fn emptied(&self) {
        self.until(|| self.sessions() == 0).await;
    }

    pub(super) fn sessions(&self) -> usize {
        self.sessions.load(Ordering::SeqCst)
    }

    pub(super) fn came(&self) {
        self.sessions.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn left(&self) {
        self.sessions.fetch_sub(1, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    async fn until(&self, reached: impl Fn() -> bool) {
        while !reached() {
            let changed = self.changed.listen();
            if reached() {
                return;
            }
            changed.await;
        }
    }
}
