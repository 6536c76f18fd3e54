//! Whether this proxy should send its callers elsewhere: it has heard nothing of control for a while, so others are
//! likely to serve them better.
//!
//! It answers a partition that leaves callers connected to proxies that can't serve them: first the balancer is told,
//! then, once it has had time to take the proxy out, sessions without a transaction are ended one after the other, so that
//! they come back through other proxies. When no proxy hears of control this costs a reconnect and gains nothing, so
//! a session is left alone for as long again before it is ended a second time.

use std::time::Duration;

use crate::clock::Instant;

/// How long a lease may not have been renewed until the balancer is told: three heartbeats. A change of control's leader
/// takes a little longer and is over before the balancer has asked twice.
pub const RENEWAL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a balancer that asks once a second takes to send new sessions elsewhere: two questions, and the answers'
/// way.
pub const BALANCER_NOTICE: Duration = Duration::from_millis(2_100);

/// Over how long sessions are ended, so that they don't all come back at once.
pub const SESSION_END_SPREAD: Duration = Duration::from_millis(400);

/// Since when the proxy is stranded.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stranded {
    since: Option<Instant>,
}

impl Stranded {
    /// Takes in when the lease was last renewed. Returns whether this changed anything.
    pub fn update(&mut self, now: Instant, renewed: Instant) -> bool {
        let unheard = now.since(renewed) >= RENEWAL_TIMEOUT;
        match (self.since, unheard) {
            (None, true) => self.since = Some(now),
            (Some(_), false) => self.since = None,
            _ => return false,
        }
        true
    }

    /// Tells whether the proxy is stranded.
    pub fn is_stranded(self) -> bool {
        self.since.is_some()
    }

    /// Returns after which time a caller that comes back will be sent to another proxy, while that is not the case yet;
    /// `spread` is as for [`Stranded::ends`].
    pub fn retry_after(self, now: Instant, spread: f64) -> Option<Duration> {
        let takeover = self.since? + BALANCER_NOTICE + SESSION_END_SPREAD.mul_f64(spread);
        (now < takeover).then(|| takeover.since(now))
    }

    /// Returns when a session may be ended that was opened at `opened`; `spread` of 0 to 1 is its place among the others.
    pub fn session_end(self, opened: Instant, spread: f64) -> Option<Instant> {
        let since = self.since?;
        Some(since.max(opened) + BALANCER_NOTICE + SESSION_END_SPREAD.mul_f64(spread))
    }
}
