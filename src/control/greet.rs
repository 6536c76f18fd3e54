//! How a control process meets those whose addresses it has: it greets them and takes what they answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::core::Core;
use super::meeting::{Greeting, Meeting};
use super::raft::Input;
use super::server::{HELLO, Shared};
use crate::wire::{Body, Frame, Stream};

/// How long no leader is heard until a member greets the others: it may have been removed meanwhile.
const LEADERLESS: Duration = Duration::from_millis(1_500);

/// How long to wait for the answer to a greeting, and between two of them.
const GREETING: Duration = Duration::from_millis(500);

impl Shared {
    /// Says who this is.
    pub(super) fn greeting(&self, core: &Core) -> Greeting {
        Greeting {
            peer: core.raft.me().clone(),
            address: self.address,
            domain: self.domain.clone(),
            first_start: core.meeting.as_ref().is_some_and(Meeting::is_first_start),
            members: (!core.raft.is_blank()).then(|| core.raft.members().clone()),
        }
    }

    /// Greets the seeds and the members for as long as this process has no part in the log, or hears no leader.
    pub(super) async fn meet(self: Arc<Self>) {
        loop {
            let (addresses, pause) = {
                let core = self.core();
                let blank = core.raft.is_blank();
                let alone = core.raft.time_without_leader(self.clock.now()) >= LEADERLESS;
                let meeting = core.meeting.as_ref().filter(|_| blank || alone);
                let addresses = meeting.map(|meeting| meeting.addresses(core.raft.members()));
                (addresses, if blank { HELLO } else { GREETING })
            };
            for address in addresses.unwrap_or_default() {
                smol::spawn(Arc::clone(&self).greet(address)).detach();
            }
            self.clock.sleep(pause).await;
        }
    }

    async fn greet(self: Arc<Self>, address: SocketAddr) {
        let frame = self.frame(Body::Meet(self.greeting(&self.core())));
        let greeted = Stream::request(address, &self.credentials.seal, &frame);
        match self.clock.timeout(GREETING, greeted).await {
            Some(Ok(Frame { body: Body::Meet(greeting), .. })) => self.greeted(&greeting),
            Some(Ok(_)) => log::debug!("{address} answered a greeting with something else"),
            Some(Err(error)) => log::debug!("{address} could not be greeted: {error}"),
            None => log::debug!("{address} did not answer a greeting"),
        }
    }

    pub(super) fn greeted(self: &Arc<Self>, greeting: &Greeting) {
        let now = self.clock.now();
        let mut core = self.core();
        if let Some(members) = core.greeted(now, greeting) {
            log::info!("the members of control are {:?}", members.voters.keys());
            self.step_in(&mut core, Input::Bootstrap(members));
        }
    }

    /// Tells a proxy where the members take frames, unless the settings name them.
    pub(super) async fn name_voters(&self, to: SocketAddr) {
        let addresses = {
            let core = self.core();
            core.meeting.as_ref().map(|_| core.raft.members().addresses())
        };
        if let Some(addresses) = addresses {
            self.datagram(to, Body::Voters(addresses)).await;
        }
    }
}
