//! Detects that this proxy has lost contact with the control plane and should send its callers to other proxies, which
//! are likely to serve them better.
//!
//! A partition can leave callers connected to proxies that can't serve them. First the load balancer is notified.
//! Once it has had time to remove the proxy, sessions without a transaction are ended one after the other, so that they
//! reconnect through other proxies. When no proxy has contact with the control plane, this costs a reconnect and gains
//! nothing, so a session that reconnects here is left alone for the same time again before it is ended.

use std::time::Duration;

use crate::clock::Instant;

/// How long the lease may go without renewal until the load balancer is notified: three heartbeats. A change of the
/// control plane's leader takes a little longer and is over before the load balancer has probed twice.
pub const RENEWAL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a load balancer that probes once a second takes to send new sessions elsewhere: two probes and the time for
/// the answers to arrive.
pub const BALANCER_NOTICE: Duration = Duration::from_millis(2_100);

/// The period over which sessions are ended, so that they don't all reconnect at once.
pub const SESSION_END_SPREAD: Duration = Duration::from_millis(400);

/// Whether the proxy is stranded, and since when.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stranded {
    since: Option<Instant>,
}

impl Stranded {
    /// Updates the state from the last renewal of the lease. Returns whether it changed.
    pub fn update(&mut self, now: Instant, renewed: Instant) -> bool {
        let is_overdue = now.since(renewed) >= RENEWAL_TIMEOUT;
        match (self.since, is_overdue) {
            (None, true) => self.since = Some(now),
            (Some(_), false) => self.since = None,
            _ => return false,
        }
        true
    }

    /// Returns whether the proxy is stranded.
    pub fn is_stranded(self) -> bool {
        self.since.is_some()
    }

    /// Returns the time until a caller that reconnects reaches another proxy, or `None` if it already would. `spread`
    /// is as for [`Stranded::session_end`].
    pub fn retry_after(self, now: Instant, spread: f64) -> Option<Duration> {
        let takeover = self.since? + BALANCER_NOTICE + SESSION_END_SPREAD.mul_f64(spread);
        (now < takeover).then(|| takeover.since(now))
    }

    /// Returns when a session that was opened at `opened` may be ended. `spread`, from 0 to 1, is its position among
    /// the sessions that are ended.
    pub fn session_end(self, opened: Instant, spread: f64) -> Option<Instant> {
        let since = self.since?;
        Some(since.max(opened) + BALANCER_NOTICE + SESSION_END_SPREAD.mul_f64(spread))
    }
}
