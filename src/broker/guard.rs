//! What is given back when it is dropped: a place in a queue, and notes of what is not answered yet.

use std::sync::Arc;
use std::time::Duration;

use smol::channel::Receiver;

use super::dispatch::{self, Ticket};
use super::server::Shared;
use crate::clock::Instant;
use crate::id;

/// A commit that is not answered yet.
#[derive(Debug)]
pub(super) struct Committing {
    pub(super) shared: Arc<Shared>,
    pub(super) instance: id::Instance,
    pub(super) sent: Instant,
}

impl Drop for Committing {
    fn drop(&mut self) {
        if let Some(known) = self.shared.lock().instances.get_mut(&self.instance) {
            known.health.end_commit(self.sent);
        }
    }
}

/// A question to an instance that is not answered yet.
#[derive(Debug)]
pub(super) struct Asking {
    pub(super) shared: Arc<Shared>,
    pub(super) instance: id::Instance,
}

impl Drop for Asking {
    fn drop(&mut self) {
        if let Some(known) = self.shared.lock().instances.get_mut(&self.instance) {
            known.asked = false;
        }
    }
}

/// A statement that waits for a permit; one that comes too late is given back.
pub(super) struct Waiting<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) group: &'a id::Group,
    pub(super) ticket: Ticket,
    pub(super) received: Receiver<id::Instance>,
    pub(super) over: bool,
}

impl Waiting<'_> {
    pub(super) fn give_up(&mut self) -> Duration {
        self.over = true;
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let Some(queue) = state.groups.get_mut(self.group) else {
            return dispatch::USUAL_ABSENCE;
        };
        queue.waiters.remove(&self.ticket);
        if let Ok(instance) = self.received.try_recv() {
            queue.dispatch.release(&instance, None);
            state.advance(now, self.group);
            return Duration::ZERO;
        }
        queue.dispatch.give_up(now, self.ticket)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.over {
            self.give_up();
        }
    }
}
