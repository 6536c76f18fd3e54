//! A virtual clock that moves only when it is advanced.

use std::sync::Mutex;
use std::task::{Poll, Waker};
use std::time::Duration;

use super::Instant;

#[derive(Debug, Default)]
pub(super) struct PausedClock {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    now: Instant,
    timers: Vec<(Instant, Waker)>,
}

impl PausedClock {
    pub(super) fn now(&self) -> Instant {
        self.lock().now
    }

    pub(super) fn advance(&self, duration: Duration) {
        let due = {
            let mut state = self.lock();
            state.now = state.now + duration;
            let now = state.now;
            let (due, waiting) = state.timers.drain(..).partition(|(deadline, _)| *deadline <= now);
            state.timers = waiting;
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
            state.timers.push((deadline, context.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding this lock")
    }
}
