//! What an outside platform asks of control: announcements of instances, and declarations that come as confirmed.
//! Any control process takes them; those that don't lead pass them on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::registry::Verdict;
use super::server::{Server, Shared};
use super::state::{Action, Command, Declaration, Outcome};
use crate::config::Fleet;
use crate::id;
use crate::wire::{Announcement, Answer, Body, Frame, Stream};

/// How long the leader may take to answer for another control process; callers go on to the next one after a second.
const RELAY: Duration = Duration::from_millis(900);

/// Why something can't be answered now; another control process may be able to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no control process that leads could be asked in time")]
pub struct Unavailable;

impl Server {
    /// Takes what an instance says of itself. When this returns, the leader knows it, and what is new is in the log.
    ///
    /// # Errors
    ///
    /// Fails when no leader could be asked in time.
    pub async fn announce(&self, said: Announcement) -> Result<(), Unavailable> {
        let relayed = Body::Announce(said.clone());
        match self.shared.announce_here(said).await {
            Answer::Applied(_) => Ok(()),
            Answer::Unknown => Err(Unavailable),
            Answer::NotLeader(_) => match self.shared.relay(relayed).await {
                Some(Body::Answer(Answer::Applied(_))) => Ok(()),
                _ => Err(Unavailable),
            },
        }
    }

    /// Puts declarations in force that come as confirmed, once they are found valid. They are checked here and not where they
    /// are applied, which every start does again with all that the log holds.
    pub async fn declare(&self, declared: Declaration) -> Answer {
        if let Err(error) = Fleet::parse("declarations", &declared.text) {
            return Answer::Applied(Outcome::Refused { reason: error.to_string() });
        }
        let command = Command { origin: None, action: Action::Declare(declared) };
        self.submit(command).await
    }

    /// Returns the declarations that came as confirmed last. They are the newest at some moment since this was asked.
    ///
    /// # Errors
    ///
    /// Fails when no leader could be asked in time.
    pub async fn declarations(&self) -> Result<Option<Declaration>, Unavailable> {
        if let Some(declared) = self.shared.declared() {
            return Ok(declared);
        }
        match self.shared.relay(Body::Declarations).await {
            Some(Body::Declared(declared)) => Ok(declared),
            _ => Err(Unavailable),
        }
    }

    /// Returns what the log has of an instance, as far as it is applied here.
    pub fn enlisted(&self, instance: &id::Instance) -> Option<Announcement> {
        self.shared.core().state.enlisted.get(instance).cloned()
    }

    /// Returns where the leader takes frames, when it is known.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.shared.leader_address()
    }
}

impl Shared {
    /// Returns the declarations when this process leads, proved by its majority.
    pub(super) fn declared(&self) -> Option<Option<Declaration>> {
        let core = self.core();
        core.leads(self.clock.now()).then(|| core.state.declared.clone())
    }

    /// Takes an announcement when this process leads.
    pub(super) async fn announce_here(self: &Arc<Self>, said: Announcement) -> Answer {
        {
            let now = self.clock.now();
            let mut core = self.core();
            if !core.leads(now) {
                return Answer::NotLeader(core.raft.leader().cloned());
            }
            self.metrics.record_announcement();
            if core.announced(now, &said) != Verdict::New {
                return Answer::Applied(Outcome::Done { revision: core.state.revision });
            }
        }
        let Announcement { replica, standing, .. } = &said;
        log::info!("{} of {} is {standing:?}", replica.instance, replica.group);
        self.submit_here(Command { origin: None, action: Action::Announce(said) }).await
    }

    /// Asks the leader for another caller.
    async fn relay(&self, body: Body) -> Option<Body> {
        let leader = self.leader_address()?;
        let frame = self.frame(body);
        let asked = Stream::request(leader, &self.credentials.seal, &frame);
        match self.clock.timeout(RELAY, asked).await {
            Some(Ok(Frame { body, .. })) => Some(body),
            Some(Err(error)) => {
                log::debug!("the leader at {leader} could not be asked: {error}");
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
