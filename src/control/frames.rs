//! The frames that a control process receives from other processes over connections.

use std::sync::Arc;
use std::time::Duration;

use smol::net::{TcpListener, TcpStream};

use super::journal::Job;
use super::raft::{Input, Message, Peer};
use super::server::Shared;
use crate::report;
use crate::wire::{Body, Frame, Stream};

/// How long a connection may carry no frame, or an answer not be taken, until it is closed. The other end may have given it
/// up without this end being told.
const MAX_IDLE: Duration = Duration::from_secs(60);

impl Shared {
    /// Handles a Raft message from another control process.
    pub(super) fn handle_peer_message(self: &Arc<Self>, from: Peer, message: Message) {
        let mut core = self.core();
        match message {
            Message::Hello { members } => {
                let (initial, answer) = core.handle_hello(&from, members);
                if let Some(members) = initial {
                    self.step_locked(&mut core, Input::Bootstrap(members));
                }
                if let Some(answer) = answer {
                    self.send(&core, &from.node, answer);
                }
            }
            Message::Outdated { known } => {
                if core.raft.me().is_outdated_by(&known) {
                    drop(core);
                    let _ = self.jobs.send(Job::MarkRefused(known.clone()));
                    self.stop(&format!(
                        "its disk is a copy from before: control knows incarnation {} at start {}",
                        known.incarnation, known.start.count
                    ));
                }
            }
            message => {
                let newest =
                    core.peers.newest_runs.entry(from.node.clone()).or_insert(from.clone());
                *newest = from.clone().max(newest.clone());
                self.step_locked(&mut core, Input::Message { from, message });
                drop(core);
                self.voter_answered.notify(usize::MAX);
            }
        }
    }

    /// Handles a frame that arrived over a connection, and returns the answer if there is one.
    async fn handle_frame(self: &Arc<Self>, frame: Frame) -> Option<Body> {
        match frame.body {
            Body::Raft { start, message } => {
                let peer = Peer { node: frame.sender, incarnation: frame.incarnation, start };
                self.handle_peer_message(peer, message);
                None
            }
            Body::Fetch { revision } => {
                let core = self.core();
                if !core.is_confirmed_leader(self.clock.now()) {
                    return Some(Body::Redirect(core.raft.leader().cloned()));
                }
                Some(Body::Configuration(core.configuration_since(revision)))
            }
            Body::Submit(command) => Some(Body::Answer(self.submit_locally(command).await)),
            Body::Announce(announcement) => {
                Some(Body::Answer(self.announce_locally(announcement).await))
            }
            Body::Declarations => Some(match self.declarations_if_leader() {
                Some(declaration) => Body::Declared(declaration),
                None => Body::Redirect(self.core().raft.leader().cloned()),
            }),
            Body::Meet(greeting) => {
                self.handle_greeting(&greeting);
                Some(Body::Meet(self.greeting(&self.core())))
            }
            // Its sender judges the connection by the answer.
            Body::Ping => Some(Body::Ping),
            _ => None,
        }
    }
}

pub(super) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((socket, from)) = listener.accept().await else {
            continue;
        };
        let shared = Arc::clone(&shared);
        let serve = async move {
            if let Err(error) = serve_connection(&shared, socket).await {
                let is_io_error = matches!(error, crate::wire::Error::Io(_));
                if !is_io_error {
                    shared.metrics.record_protocol_error(report::Peer::Process, error.kind());
                }
                log::debug!("the connection from {from} ended: {error}");
            }
        };
        smol::spawn(serve).detach();
    }
}

async fn serve_connection(
    shared: &Arc<Shared>,
    socket: TcpStream,
) -> Result<(), crate::wire::Error> {
    let mut stream = Stream::from_accepted(socket)?.with_seal(&shared.credentials.seal);
    while let Some(frame) = shared.clock.timeout(MAX_IDLE, stream.receive()).await {
        if let Some(answer) = shared.handle_frame(frame?).await {
            let frame = shared.frame(answer);
            let Some(sent) = shared.clock.timeout(MAX_IDLE, stream.send(&frame)).await else {
                break;
            };
            sent?;
        }
    }
    Ok(())
}
