//! How the answers on a connection began, and their successes, since a part of a copy repeats the beginning of one.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;

/// The number of beginnings that are remembered, 16 KiB for a connection. Equal ones count once.
const MAX_BEGINNINGS: usize = 256;

/// The remembered length of a message, which may have 1 MiB. What goes on like it counts as its beginning too: that
/// costs a second reading, where an unknown beginning would have a joined row delivered.
const MAX_BEGINNING_BYTES: usize = 64;

/// How late the copy of an answer may come. For this long after a beginning was forgotten, any may be one.
const MAX_COPY_DELAY: Duration = Duration::from_secs(10);

/// The beginnings of the newest messages, oldest first.
#[derive(Debug, Default)]
pub(super) struct Beginnings {
    items: VecDeque<Beginning>,
    /// When the newest forgotten one was received.
    forgotten: Option<Instant>,
}

#[derive(Debug)]
struct Beginning {
    bytes: Box<[u8]>,
    /// Whether the message was longer.
    is_cut: bool,
    /// When it was received last.
    at: Instant,
}

impl Beginnings {
    /// Returns whether a message that may still be copied began with `part`.
    pub(super) fn has(&self, part: &[u8], now: Instant) -> bool {
        self.forgotten.is_some_and(|at| now.since(at) < MAX_COPY_DELAY)
            || self.items.iter().any(|known| {
                known.bytes.starts_with(part) || known.is_cut && part.starts_with(&known.bytes)
            })
    }

    /// Counts any beginning as known for as long as a copy may come.
    pub(super) fn forget(&mut self, now: Instant) {
        self.forgotten = Some(now);
    }

    /// Remembers how a message began.
    pub(super) fn add(&mut self, message: &[u8], now: Instant) {
        let bytes = &message[..message.len().min(MAX_BEGINNING_BYTES)];
        let is_cut = bytes.len() < message.len();
        let is_equal = |known: &Beginning| *known.bytes == *bytes && known.is_cut == is_cut;
        if let Some(index) = self.items.iter().rposition(is_equal) {
            self.items.remove(index);
        } else if self.items.len() >= MAX_BEGINNINGS {
            self.forgotten = self.items.pop_front().map(|oldest| oldest.at);
        }
        self.items.push_back(Beginning { bytes: bytes.into(), is_cut, at: now });
    }
}
