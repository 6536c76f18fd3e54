//! The proxy's talk with control: heartbeats out, grants in, the configuration fetched when it changed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::net::UdpSocket;

use super::server::Shared;
use crate::clock::Instant;
use crate::config::Fleet;
use crate::report::Peer;
use crate::wire::{Body, Frame, Grant, MAX_DATAGRAM_BYTES, Stream};

/// How often the proxy sends a heartbeat when nothing changed.
const INTERVAL: Duration = Duration::from_millis(150);

/// How long the leader may leave heartbeats unanswered until every voter is asked.
const UNANSWERED: Duration = Duration::from_millis(200);

/// How long to wait before a failed fetch is tried again.
const PAUSE: Duration = Duration::from_millis(200);

/// The voter that answered last, and when.
type Leader = Arc<Mutex<Option<(SocketAddr, Instant)>>>;

/// Runs the talk with control for ever.
pub(super) fn spawn(shared: &Arc<Shared>, socket: UdpSocket) {
    let leader = Leader::default();
    smol::spawn(send(Arc::clone(shared), socket.clone(), Arc::clone(&leader))).detach();
    smol::spawn(receive(Arc::clone(shared), socket, leader)).detach();
}

async fn send(shared: Arc<Shared>, socket: UdpSocket, leader: Leader) {
    loop {
        let body = Body::Heartbeat(shared.heartbeat());
        match shared.guard.seal.encode(&shared.frame(body)) {
            Ok(bytes) => {
                shared.metrics.heartbeat_sent();
                for address in addressed(&shared, &leader) {
                    let _ = socket.send_to(&bytes, address).await;
                }
            }
            Err(error) => log::error!("a heartbeat can't be encoded: {error}"),
        }
        shared.clock.timeout(INTERVAL, shared.nudged.recv()).await;
    }
}

/// Returns whom to send a heartbeat: the leader, or every voter when the leader doesn't answer.
fn addressed(shared: &Shared, leader: &Leader) -> Vec<SocketAddr> {
    let now = shared.clock.now();
    let known = *leader.lock().expect("nothing panics under this lock");
    match known {
        Some((address, at)) if now.since(at) < UNANSWERED => vec![address],
        _ => shared.voters.iter().map(|voter| voter.address).collect(),
    }
}

async fn receive(shared: Arc<Shared>, socket: UdpSocket, leader: Leader) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match shared.guard.seal.decode(&buffer[..len]) {
            Ok(Frame { body: Body::Grant(grant), .. }) => take(&shared, from, &leader, grant),
            Ok(_) => {}
            Err(error) => {
                shared.metrics.violated(Peer::Process, error.kind());
                log::debug!("a datagram from {from} is dropped: {error}");
            }
        }
    }
}

fn take(shared: &Arc<Shared>, from: SocketAddr, leader: &Leader, grant: Grant) {
    let unasked = grant.sequence.is_none();
    let now = shared.clock.now();
    if !unasked {
        *leader.lock().expect("nothing panics under this lock") = Some((from, now));
    }
    if shared.granted(grant) || unasked {
        shared.nudge();
    }
    if shared.wants_configuration() {
        smol::spawn(fetch(Arc::clone(shared), from)).detach();
    }
}

async fn fetch(shared: Arc<Shared>, from: SocketAddr) {
    let fetched = async {
        let mut stream = Stream::open(from).await?.sealed(&shared.guard.seal);
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
