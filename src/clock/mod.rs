//! The clock that all parts of the program read and sleep on.
//!
//! smol has no virtual clock, so this module provides one that tests advance by hand. The system clock
//! includes the time that the VM was suspended (`CLOCK_BOOTTIME`), because a lease also expires during a
//! suspension; see `docs/DESIGN.md`, "Time".

mod paused;

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

use paused::PausedClock;

/// A monotonic timestamp in microseconds since the clock's epoch. Timestamps of different VMs are not comparable.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

/// A handle to a clock. Clones share the same clock.
#[derive(Debug, Clone)]
pub struct Clock {
    source: Source,
}

#[derive(Debug, Clone)]
enum Source {
    System,
    Paused(Arc<PausedClock>),
}

impl Clock {
    /// Creates a handle to the system clock of the VM.
    pub fn system() -> Self {
        Self { source: Source::System }
    }

    /// Creates a clock that moves only when [`Clock::advance`] is called.
    pub fn paused() -> Self {
        Self { source: Source::Paused(Arc::new(PausedClock::default())) }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        match &self.source {
            Source::System => system_now(),
            Source::Paused(paused) => paused.now(),
        }
    }

    /// Advances a paused clock and wakes the tasks whose deadline has passed. Has no effect on the system clock.
    pub fn advance(&self, duration: Duration) {
        match &self.source {
            Source::System => {}
            Source::Paused(paused) => paused.advance(duration),
        }
    }

    /// Sleeps for `duration`.
    pub async fn sleep(&self, duration: Duration) {
        match &self.source {
            Source::System => {
                smol::Timer::after(duration).await;
            }
            Source::Paused(paused) => paused.sleep_until(paused.now() + duration).await,
        }
    }

    /// Sleeps until `deadline`; returns immediately if it has passed.
    pub async fn sleep_until(&self, deadline: Instant) {
        self.sleep(deadline.since(self.now())).await;
    }

    /// Runs `future` for at most `duration`. Returns `None` on timeout.
    pub async fn timeout<T>(
        &self,
        duration: Duration,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let timer = async {
            self.sleep(duration).await;
            None
        };
        smol::future::or(async { Some(future.await) }, timer).await
    }
}

fn system_now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    Instant(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
