//! The datagrams between control and proxies: heartbeats, the grants that answer them, and pushed changes of the table.

use std::net::SocketAddr;
use std::sync::Arc;

use super::raft::Input;
use super::server::Shared;
use crate::id;
use crate::report::{self, LeaseAnswer};
use crate::wire::{Body, Frame};

impl Shared {
    pub(super) async fn send_datagram(&self, to: SocketAddr, body: Body) {
        match self.credentials.seal.encode(&self.frame(body)) {
            Ok(bytes) => {
                if let Err(error) = self.udp.send_to(&bytes, to).await {
                    log::debug!("sending a datagram to {to} failed: {error}");
                }
            }
            Err(error) => log::error!("encoding a frame for {to} failed, dropping it: {error}"),
        }
    }

    pub(super) async fn receive_datagrams(self: Arc<Self>) {
        let mut buffer = vec![0; crate::wire::MAX_DATAGRAM_BYTES];
        loop {
            let Ok((len, from)) = self.udp.recv_from(&mut buffer).await else {
                continue;
            };
            match self.credentials.seal.decode(&buffer[..len]) {
                Ok(frame) => self.handle_heartbeat(from, &frame).await,
                Err(error) => {
                    self.metrics.record_protocol_error(report::Peer::Process, error.kind());
                    log::debug!("dropping a datagram from {from}: {error}");
                }
            }
        }
    }

    /// Answers a proxy's heartbeat, with a grant only while a majority confirms that this process is the leader.
    async fn handle_heartbeat(self: &Arc<Self>, from: SocketAddr, frame: &Frame) {
        let Body::Heartbeat(heartbeat) = &frame.body else {
            return;
        };
        self.metrics.heartbeat_received();
        let answer = {
            let mut core = self.core();
            let now = self.clock.now();
            if core.is_confirmed_leader(now) {
                let (grant, command) = core.handle_heartbeat(now, frame, heartbeat);
                if let Some(command) = command {
                    self.step_locked(&mut core, Input::Propose(command));
                }
                grant.map(Body::Grant)
            } else {
                Some(Body::Redirect(core.raft.leader().cloned()))
            }
        };
        let granted = matches!(answer, Some(Body::Grant(_)));
        self.metrics.record_lease_answer(if granted {
            LeaseAnswer::Granted
        } else {
            LeaseAnswer::Refused
        });
        // A proxy that is new to this leader, or that sent its heartbeat to a process other than the leader, may not
        // know the current members.
        let needs_members = !granted || is_behind_term(heartbeat, self.core().raft.term());
        if let Some(answer) = answer {
            self.send_datagram(from, answer).await;
        }
        if needs_members {
            self.send_voters(from).await;
        }
    }

    /// Sends the changes of the table to the proxies without waiting for their heartbeats.
    pub(super) async fn push_table(&self) {
        let grants = {
            let mut core = self.core();
            let (now, stamp, revision) = (self.clock.now(), core.stamp(), core.state.revision);
            core.leader.table_updates(now, stamp, revision)
        };
        for (proxy, grant) in grants {
            self.send_datagram(proxy, Body::Grant(grant)).await;
        }
    }
}

/// Returns whether a proxy has not yet seen the term of the current leader.
fn is_behind_term(heartbeat: &crate::wire::Heartbeat, term: id::Term) -> bool {
    heartbeat.seen.term != term
}
