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
    staged: Event,
    callers: AtomicUsize,
    left: Event,
}

impl Closing {
    pub(crate) fn is_past(&self, stage: Stage) -> bool {
        self.stage.load(Ordering::SeqCst) >= stage as u8
    }

    pub(crate) fn reach(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::SeqCst);
        self.staged.notify(usize::MAX);
    }

    /// Waits until the stage is reached.
    pub(crate) async fn reached(&self, stage: Stage) {
        until(&self.staged, || self.is_past(stage)).await;
    }

    /// Waits until no caller is served.
    pub(crate) async fn emptied(&self) {
        until(&self.left, || self.callers() == 0).await;
    }

    pub(crate) fn callers(&self) -> usize {
        self.callers.load(Ordering::SeqCst)
    }

    pub(crate) fn came(&self) {
        self.callers.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn left(&self) {
        self.callers.fetch_sub(1, Ordering::SeqCst);
        self.left.notify(usize::MAX);
    }
}

/// Waits until something holds that each notice of `changed` may have brought about.
async fn until(changed: &Event, holds: impl Fn() -> bool) {
    while !holds() {
        let changed = changed.listen();
        if holds() {
            return;
        }
        changed.await;
    }
}
