//! Requests from an outside platform: announcements of instances, and declarations that need no confirmation. Every
//! control process accepts them; those that are not the leader forward them to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::core::Core;
use super::registry::Verdict;
use super::server::{Server, Shared};
use super::state::{Action, Command, Declaration, Outcome};
use crate::config::Fleet;
use crate::id;
use crate::wire::{Announcement, Answer, Body, Frame, Stream};

/// How long the leader may take to answer a forwarded request. Callers try the next control process after one second.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(900);

/// No leader answered in time; another control process may be able to reach it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no leader of control answered in time")]
pub struct Unavailable;

impl Server {
    /// Handles an instance's announcement. On success, the leader has received it, and what is new in it is committed to
    /// the log.
    ///
    /// # Errors
    ///
    /// Fails if no leader answered in time.
    pub async fn announce(&self, announcement: Announcement) -> Result<(), Unavailable> {
        match self.shared.announce_locally(announcement.clone()).await {
            Answer::Applied(_) => Ok(()),
            Answer::Unknown => Err(Unavailable),
            Answer::NotLeader(_) => self.shared.relay_announcement(announcement).await,
        }
    }

    /// Puts declarations that need no confirmation in force if they are valid. They are validated here and not when they
    /// are applied, since each start applies all entries in the log again.
    pub async fn declare(&self, declaration: Declaration) -> Answer {
        if let Err(error) = Fleet::parse("declarations", &declaration.text) {
            return Answer::Applied(Outcome::Refused { reason: error.to_string() });
        }
        let command = Command { origin: None, action: Action::Declare(declaration) };
        self.submit(command).await
    }

    /// Returns the latest declarations that needed no confirmation. They were the latest at some time
    /// between the call and its return.
    ///
    /// # Errors
    ///
    /// Fails if no leader answered in time.
    pub async fn declarations(&self) -> Result<Option<Declaration>, Unavailable> {
        if let Some(declaration) = self.shared.declarations_if_leader() {
            return Ok(declaration);
        }
        match self.shared.request_from_leader(Body::Declarations).await {
            Some(Body::Declared(declaration)) => Ok(declaration),
            _ => Err(Unavailable),
        }
    }

    /// Returns the announcement of an instance that is in the state applied here.
    pub fn enlisted_instance(&self, instance: &id::Instance) -> Option<Announcement> {
        self.shared.core().state.enlisted.get(instance).cloned()
    }

    /// Returns the address at which this process receives frames.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }
}

impl Shared {
    /// Returns the declarations if this process is the leader, confirmed by a majority.
    pub(super) fn declarations_if_leader(&self) -> Option<Option<Declaration>> {
        let core = self.core();
        core.is_confirmed_leader(self.clock.now()).then(|| core.state.declared.clone())
    }

    /// Handles an announcement if this process is the leader.
    pub(super) async fn announce_locally(self: &Arc<Self>, announcement: Announcement) -> Answer {
        {
            let now = self.clock.now();
            let mut core = self.core();
            if !core.is_confirmed_leader(now) {
                return Answer::NotLeader(core.raft.leader().cloned());
            }
            self.metrics.record_announcement();
            if core.handle_announcement(now, &announcement) != Verdict::New {
                return Answer::Applied(Outcome::Done { revision: core.state.revision });
            }
        }
        let Announcement { replica, standing, .. } = &announcement;
        log::info!("instance {} of {} is {standing:?}", replica.instance, replica.group);
        self.submit_locally(Command { origin: None, action: Action::Announce(announcement) }).await
    }

    /// Passes an announcement on to the leader, unless that has heard of the instance recently.
    async fn relay_announcement(&self, announcement: Announcement) -> Result<(), Unavailable> {
        let sent_at = self.clock.now();
        let term = {
            let core = self.core();
            let term = core.raft.term();
            let has_leader = core.raft.leader().is_some();
            if has_leader && core.refreshes.is_recent(sent_at, term, &announcement, &core.state) {
                return Ok(());
            }
            term
        };
        let instance = announcement.replica.instance.clone();
        match self.request_over_kept_stream(Body::Announce(announcement)).await {
            Some(Body::Answer(Answer::Applied(_))) => {
                let mut core = self.core();
                let Core { refreshes, state, .. } = &mut *core;
                refreshes.record(sent_at, term, &instance, state);
                Ok(())
            }
            _ => Err(Unavailable),
        }
    }

    /// Forwards a request to the leader and returns its answer.
    async fn request_from_leader(&self, body: Body) -> Option<Body> {
        let leader = self.leader_address()?;
        let frame = self.frame(body);
        let exchange = Stream::request(leader, &self.credentials.seal, &frame);
        match self.clock.timeout(RELAY_TIMEOUT, exchange).await {
            Some(Ok(Frame { body, .. })) => Some(body),
            Some(Err(error)) => {
                log::debug!("request to the leader at {leader} failed: {error}");
                None
            }
            None => None,
        }
    }

    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        let core = self.core();
        let leader = core.raft.leader()?;
        core.raft.members().voters.get(leader).map(|voter| voter.address)
    }
}
