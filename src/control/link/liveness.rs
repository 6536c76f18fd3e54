//! Decides by what arrived on a connection itself whether it may still be used.
//!
//! A connection can go silent without being closed while new ones work, and the peer may be heard on another one all the
//! time. A write shows nothing: it ends when a buffer has room. So the sender asks for an answer on the connection. This
//! is a state machine without I/O. See `docs/DESIGN.md`, "Connections between control processes".

use std::time::Duration;

use crate::clock::Instant;

/// The age of the last evidence from which the next frame is preceded by a ping.
pub const PING_INTERVAL: Duration = Duration::from_millis(250);

/// How long an answer to a ping may take: several round trips between regions.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(750);

/// How long nothing may have arrived on a connection without a pending ping, which is then unused. It may have gone silent
/// meanwhile, and opening another one takes less time than finding that out.
pub const IDLE_TIMEOUT: Duration = PING_INTERVAL.saturating_mul(2);

/// The rate in bytes a second at which frames in front of a ping pass at least. The answer may come later by that much.
pub const MIN_RATE: u32 = 128 * 1024;

/// What is known of one connection.
#[derive(Debug)]
pub struct Liveness {
    /// When the connection was opened, or when something last arrived on it.
    evidence_at: Instant,
    /// When the answer to the pending ping is due.
    answer_due: Option<Instant>,
    /// Number of bytes written since the last evidence.
    unproven_bytes: u32,
}

/// What to do before the next frame is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it on the connection.
    Usable,
    /// Send a ping in front of it.
    Ping,
    /// Replace the connection: a ping was not answered.
    Silent,
    /// Replace the connection: it was unused for long.
    Idle,
}

impl Liveness {
    /// Creates the state of a connection that was just opened.
    pub fn new(now: Instant) -> Self {
        Self { evidence_at: now, answer_due: None, unproven_bytes: 0 }
    }

    /// Returns what to do before the next frame is sent.
    pub fn verdict(&self, now: Instant) -> Verdict {
        match self.answer_due {
            Some(due) if now >= due => Verdict::Silent,
            Some(_) => Verdict::Usable,
            None if self.age(now) >= IDLE_TIMEOUT => Verdict::Idle,
            None if self.age(now) >= PING_INTERVAL => Verdict::Ping,
            None => Verdict::Usable,
        }
    }

    /// Records that a ping is written.
    pub fn record_ping(&mut self, now: Instant) {
        let transfer = Duration::from_secs(1) * self.unproven_bytes / MIN_RATE;
        self.answer_due = Some(now + ANSWER_TIMEOUT + transfer);
    }

    /// Records that a frame was written.
    pub fn record_written(&mut self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.unproven_bytes = self.unproven_bytes.saturating_add(bytes);
    }

    /// Records that something arrived on the connection.
    pub fn record_answer(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    /// Returns the time since the connection was opened or something last arrived on it.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.evidence_at)
    }
}
