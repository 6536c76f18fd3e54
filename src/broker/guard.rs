//! Guards that end a registration on drop: of a waiting statement, a pending commit or a pending ping.

use std::sync::Arc;
use std::time::Duration;

use smol::channel::Receiver;

use super::dispatch::{self, Ticket};
use super::run::Failure;
use super::server::Shared;
use crate::clock::Instant;
use crate::id;
use crate::upstream::connection::Outcome;
use crate::wire::Health;

/// Marks a commit as pending until dropped.
#[derive(Debug)]
pub(super) struct CommitGuard {
    pub(super) shared: Arc<Shared>,
    pub(super) instance: id::Instance,
    pub(super) sent: Instant,
}

impl CommitGuard {
    /// Records whether the commit succeeded, or got no answer.
    pub(super) fn end(self, outcome: &Result<Outcome, Failure>) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let Some(entry) = state.instances.get_mut(&self.instance) else {
            return;
        };
        match outcome {
            Ok(Outcome { result: Ok(_), .. }) => entry.health.record_committed(self.sent),
            Err(Failure::Connection(error)) if error.health() == Health::Silent => {
                entry.health.abandon_commit(now, self.sent);
            }
            _ => {}
        }
    }
}

impl Drop for CommitGuard {
    fn drop(&mut self) {
        if let Some(entry) = self.shared.lock().instances.get_mut(&self.instance) {
            entry.health.end_commit(self.sent);
        }
    }
}

/// Marks a ping of an instance as pending until dropped.
#[derive(Debug)]
pub(super) struct PingGuard {
    pub(super) shared: Arc<Shared>,
    pub(super) instance: id::Instance,
}

impl Drop for PingGuard {
    fn drop(&mut self) {
        if let Some(entry) = self.shared.lock().instances.get_mut(&self.instance) {
            entry.pinging = false;
        }
    }
}

/// The place of a statement in the queue for permits. A permit that arrives after the wait was cancelled is released.
pub(super) struct QueueGuard<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) group: &'a id::Group,
    pub(super) ticket: Ticket,
    pub(super) receiver: Receiver<id::Instance>,
    pub(super) finished: bool,
}

impl QueueGuard<'_> {
    pub(super) fn cancel(&mut self) -> Duration {
        self.finished = true;
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let Some(queue) = state.groups.get_mut(self.group) else {
            return dispatch::DEFAULT_RETRY_AFTER;
        };
        queue.waiters.remove(&self.ticket);
        if let Ok(instance) = self.receiver.try_recv() {
            queue.dispatcher.release_ticket(now, self.ticket, &instance, None);
            state.advance(now, self.group);
            return Duration::ZERO;
        }
        queue.dispatcher.cancel(now, self.ticket)
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.cancel();
        }
    }
}
