//! A clock that stands still until a test advances it.

use std::sync::Mutex;
use std::task::{Poll, Waker};
use std::time::Duration;

use super::Instant;

#[derive(Debug, Default)]
pub(super) struct Paused {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    now: Instant,
    sleepers: Vec<(Instant, Waker)>,
}

impl Paused {
    pub(super) fn now(&self) -> Instant {
        self.lock().now
    }

    pub(super) fn advance(&self, duration: Duration) {
        let due = {
            let mut state = self.lock();
            state.now = state.now + duration;
            let now = state.now;
            let (due, waiting) = state.sleepers.drain(..).partition(|(at, _)| *at <= now);
            state.sleepers = waiting;
            due
        };
        let due: Vec<(Instant, Waker)> = due;
        for (_, waker) in due {
            waker.wake();
        }
    }

    pub(super) async fn sleep_until(&self, deadline: Instant) {
        std::future::poll_fn(|context| {
            let mut state = self.lock();
            if state.now >= deadline {
                return Poll::Ready(());
            }
            state.sleepers.push((deadline, context.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no sleeper panics while it holds the lock")
    }
}
