//! The clock that the whole program takes time from.
//!
//! smol has no clock that pauses, so tests pause and advance this one. The system clock counts the time
//! that a VM was suspended (`CLOCK_BOOTTIME`), because a lease runs out during a suspension too; see
//! `docs/DESIGN.md`, "Time".

mod paused;

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

use paused::Paused;

/// A moment on a clock, in microseconds since the clock's own start; moments of different VMs don't compare.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time from `earlier` to this moment, or zero when `earlier` is later.
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

/// A handle to a clock; clones read the same clock.
#[derive(Debug, Clone)]
pub struct Clock {
    source: Source,
}

#[derive(Debug, Clone)]
enum Source {
    System,
    Paused(Arc<Paused>),
}

impl Clock {
    /// Returns the clock of the VM.
    pub fn system() -> Self {
        Self { source: Source::System }
    }

    /// Returns a clock that stands still until [`Clock::advance`] moves it.
    pub fn paused() -> Self {
        Self { source: Source::Paused(Arc::new(Paused::default())) }
    }

    /// Returns the present moment.
    pub fn now(&self) -> Instant {
        match &self.source {
            Source::System => system_now(),
            Source::Paused(paused) => paused.now(),
        }
    }

    /// Moves a paused clock forward and wakes the sleepers whose time has come; a system clock ignores it.
    pub fn advance(&self, duration: Duration) {
        match &self.source {
            Source::System => {}
            Source::Paused(paused) => paused.advance(duration),
        }
    }

    /// Waits until `duration` has passed.
    pub async fn sleep(&self, duration: Duration) {
        match &self.source {
            Source::System => {
                smol::Timer::after(duration).await;
            }
            Source::Paused(paused) => paused.sleep_until(paused.now() + duration).await,
        }
    }

    /// Waits until `deadline`; returns at once when it has passed.
    pub async fn sleep_until(&self, deadline: Instant) {
        self.sleep(deadline.since(self.now())).await;
    }

    /// Runs `future` for at most `duration`; returns `None` when the time ran out first.
    pub async fn timeout<T>(
        &self,
        duration: Duration,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let elapsed = async {
            self.sleep(duration).await;
            None
        };
        smol::future::or(async { Some(future.await) }, elapsed).await
    }
}

fn system_now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    Instant(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
