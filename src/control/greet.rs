//! Greetings between control processes: a process without a part in the log, or without a leader, greets the addresses
//! it knows and handles the responses. See [`super::discovery`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::core::Core;
use super::discovery::{Discovery, Greeting};
use super::raft::Input;
use super::server::{HELLO_INTERVAL, Shared};
use crate::wire::{Body, Frame, Stream};

/// How long a member may be without contact to a leader before it greets the others, since it may have been removed
/// from the members.
const LEADERLESS_DELAY: Duration = Duration::from_millis(1_500);

/// The interval between a member's greetings, and the timeout of each greeting.
const GREETING_INTERVAL: Duration = Duration::from_millis(500);

impl Shared {
    /// Returns the greeting that introduces this process.
    pub(super) fn greeting(&self, core: &Core) -> Greeting {
        Greeting {
            peer: core.raft.me().clone(),
            address: self.address,
            domain: self.domain.clone(),
            first_start: core.discovery.as_ref().is_some_and(Discovery::is_first_start),
            members: (!core.raft.is_blank()).then(|| core.raft.members().clone()),
        }
    }

    /// Greets the seeds and the members while this process's log is blank or no leader is in contact with it.
    pub(super) async fn greet_peers(self: Arc<Self>) {
        loop {
            let (addresses, pause) = {
                let core = self.core();
                let is_blank = core.raft.is_blank();
                let is_leaderless =
                    core.raft.time_without_leader(self.clock.now()) >= LEADERLESS_DELAY;
                let discovery = core.discovery.as_ref().filter(|_| is_blank || is_leaderless);
                let addresses =
                    discovery.map(|discovery| discovery.greeting_targets(core.raft.members()));
                (addresses, if is_blank { HELLO_INTERVAL } else { GREETING_INTERVAL })
            };
            for address in addresses.unwrap_or_default() {
                smol::spawn(Arc::clone(&self).greet(address)).detach();
            }
            self.clock.sleep(pause).await;
        }
    }

    async fn greet(self: Arc<Self>, address: SocketAddr) {
        let frame = self.frame(Body::Meet(self.greeting(&self.core())));
        let exchange = Stream::request(address, &self.credentials.seal, &frame);
        match self.clock.timeout(GREETING_INTERVAL, exchange).await {
            Some(Ok(Frame { body: Body::Meet(greeting), .. })) => self.handle_greeting(&greeting),
            Some(Ok(_)) => log::debug!("unexpected answer to a greeting from {address}"),
            Some(Err(error)) => log::debug!("greeting {address} failed: {error}"),
            None => log::debug!("{address} did not answer a greeting in time"),
        }
    }

    pub(super) fn handle_greeting(self: &Arc<Self>, greeting: &Greeting) {
        let now = self.clock.now();
        let mut core = self.core();
        if let Some(members) = core.handle_greeting(now, greeting) {
            log::info!("starting with the members {:?} of control", members.voters.keys());
            self.step_locked(&mut core, Input::Bootstrap(members));
        }
    }

    /// Sends a proxy the addresses of the members, unless the settings name the voters.
    pub(super) async fn send_voters(&self, to: SocketAddr) {
        let addresses = {
            let core = self.core();
            core.discovery.as_ref().map(|_| core.raft.members().addresses())
        };
        if let Some(addresses) = addresses {
            self.send_datagram(to, Body::Voters(addresses)).await;
        }
    }
}
