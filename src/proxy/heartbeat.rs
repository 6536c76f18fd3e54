//! The proxy's talk with control: heartbeats out, grants in, the configuration fetched when it changed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::net::UdpSocket;

use super::server::Shared;
use crate::clock::Instant;
use crate::config::Fleet;
use crate::id;
use crate::report::Peer;
use crate::wire::{Body, Frame, Grant, MAX_DATAGRAM_BYTES, Stream};

/// How often the proxy sends a heartbeat when nothing changed.
const INTERVAL: Duration = Duration::from_millis(150);

/// How many heartbeats may be unanswered before the oldest is forgotten.
const KEPT: usize = 64;

/// How long to wait before a failed fetch is tried again.
const PAUSE: Duration = Duration::from_millis(200);

/// The heartbeats that were sent and not answered yet.
#[derive(Debug, Default)]
pub(super) struct Sent {
    next: id::Sequence,
    sent: VecDeque<(id::Sequence, Instant)>,
}

impl Sent {
    fn note(&mut self, now: Instant) -> id::Sequence {
        self.next = self.next.next();
        if self.sent.len() == KEPT {
            self.sent.pop_front();
        }
        self.sent.push_back((self.next, now));
        self.next
    }

    fn find(&self, sequence: id::Sequence) -> Option<Instant> {
        self.sent.iter().find(|(known, _)| *known == sequence).map(|(_, at)| *at)
    }
}

/// Runs the talk with control for ever.
pub(super) fn spawn(shared: &Arc<Shared>, socket: UdpSocket) {
    let sent = Arc::new(Mutex::new(Sent::default()));
    smol::spawn(send(Arc::clone(shared), socket.clone(), Arc::clone(&sent))).detach();
    smol::spawn(receive(Arc::clone(shared), socket, sent)).detach();
}

async fn send(shared: Arc<Shared>, socket: UdpSocket, sent: Arc<Mutex<Sent>>) {
    loop {
        let sequence =
            sent.lock().expect("nothing panics under this lock").note(shared.clock.now());
        let body = Body::Heartbeat(shared.heartbeat(sequence));
        match shared.frame(body).encode() {
            Ok(bytes) => {
                shared.metrics.heartbeat_sent();
                for voter in &shared.voters {
                    let _ = socket.send_to(&bytes, voter.address).await;
                }
            }
            Err(error) => log::error!("a heartbeat can't be encoded: {error}"),
        }
        shared.clock.timeout(INTERVAL, shared.nudged.recv()).await;
    }
}

async fn receive(shared: Arc<Shared>, socket: UdpSocket, sent: Arc<Mutex<Sent>>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match Frame::decode(&buffer[..len]) {
            Ok(Frame { body: Body::Grant(grant), .. }) => take(&shared, from, &sent, grant),
            Ok(_) => {}
            Err(error) => {
                shared.metrics.violated(Peer::Process, error.kind());
                log::debug!("a datagram from {from} is dropped: {error}");
            }
        }
    }
}

fn take(shared: &Arc<Shared>, from: SocketAddr, sent: &Mutex<Sent>, grant: Grant) {
    let at = grant
        .sequence
        .and_then(|sequence| sent.lock().expect("nothing panics under this lock").find(sequence));
    let unasked = grant.sequence.is_none();
    if shared.granted(at, grant) || unasked {
        shared.nudge();
    }
    if shared.wants_configuration() {
        smol::spawn(fetch(Arc::clone(shared), from)).detach();
    }
}

async fn fetch(shared: Arc<Shared>, from: SocketAddr) {
    let fetched = async {
        let mut stream = Stream::open(from).await?;
        stream.send(&shared.frame(Body::Fetch)).await?;
        stream.receive().await
    };
    match shared.clock.timeout(Duration::from_secs(2), fetched).await {
        Some(Ok(Frame { body: Body::Configuration(configuration), .. })) => {
            match Fleet::parse("declarations", &configuration.text) {
                Ok(fleet) => shared.configure(configuration.revision, fleet),
                Err(error) => log::error!("the configuration in force is not valid: {error}"),
            }
        }
        Some(Err(error)) => log::debug!("the configuration was not fetched: {error}"),
        _ => {}
    }
    shared.clock.sleep(PAUSE).await;
    shared.fetched();
}
