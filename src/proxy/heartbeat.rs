//! A process's talk with control: heartbeats out, grants in, the configuration fetched when it changed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use smol::channel::Receiver;
use smol::net::UdpSocket;

use crate::clock::{Clock, Instant};
use crate::config::Fleet;
use crate::id;
use crate::report::{Metrics, Peer};
use crate::security::Guard;
use crate::wire::{Body, Frame, Grant, Heartbeat, MAX_DATAGRAM_BYTES, Stream};

/// How often the process sends a heartbeat when nothing changed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// The same without a lease: a process that starts, or control that comes back, is not kept waiting.
const UNLEASED_INTERVAL: Duration = Duration::from_millis(50);

/// How long the leader may leave heartbeats unanswered until every voter is asked.
const LEADER_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a fetch may take: a configuration of a megabyte over a link of 4 Mbit/s.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to wait before a failed fetch is tried again.
const FETCH_DELAY: Duration = Duration::from_millis(200);

/// A process that serves callers by the decisions of control.
pub(crate) trait Member: Send + Sync + 'static {
    /// Returns the clock.
    fn clock(&self) -> &Clock;
    /// Returns the metrics.
    fn metrics(&self) -> &Metrics;
    /// Returns the keys.
    fn guard(&self) -> &Guard;
    /// Returns where control processes take frames.
    fn voters(&self) -> Vec<SocketAddr>;
    /// Takes over where control processes take frames.
    fn set_voters(&self, voters: Vec<SocketAddr>);
    /// Returns what tells that a heartbeat is due at once.
    fn heartbeat_requests(&self) -> &Receiver<()>;
    /// Has a heartbeat sent at once.
    fn request_heartbeat(&self);
    /// Makes a frame.
    fn frame(&self, body: Body) -> Frame;
    /// Tells whether the lease has not run out.
    fn is_leased(&self) -> bool;
    /// Makes a heartbeat.
    fn heartbeat(&self) -> Heartbeat;
    /// Takes a grant; returns whether what is in force changed.
    fn apply_grant(self: &Arc<Self>, grant: Grant) -> bool;
    /// Returns the revision of the configuration in force, and the newest that was heard of.
    fn revisions(&self) -> (id::Revision, id::Revision);
    /// Puts a configuration in force.
    fn configure(&self, revision: id::Revision, fleet: Fleet);
}

/// Numbers this life of the process; the wall clock goes on when the VM is started anew.
pub(crate) fn new_incarnation() -> id::Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    id::Incarnation(elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64))
}

/// The voter that answered last, and when.
type Leader = Arc<Mutex<Option<(SocketAddr, Instant)>>>;

/// Runs the talk with control for ever.
pub(crate) fn spawn<M: Member>(member: &Arc<M>, socket: UdpSocket) {
    let leader = Leader::default();
    smol::spawn(send(Arc::clone(member), socket.clone(), Arc::clone(&leader))).detach();
    smol::spawn(receive(Arc::clone(member), socket, leader)).detach();
}

async fn send<M: Member>(member: Arc<M>, socket: UdpSocket, leader: Leader) {
    loop {
        let body = Body::Heartbeat(member.heartbeat());
        match member.guard().seal.encode(&member.frame(body)) {
            Ok(bytes) => {
                member.metrics().heartbeat_sent();
                for address in recipients(&*member, &leader) {
                    if let Err(error) = socket.send_to(&bytes, address).await {
                        log::debug!("failed to send a heartbeat to {address}: {error}");
                    }
                }
            }
            Err(error) => log::error!("failed to encode a heartbeat, none is sent: {error}"),
        }
        let interval = if member.is_leased() { HEARTBEAT_INTERVAL } else { UNLEASED_INTERVAL };
        member.clock().timeout(interval, member.heartbeat_requests().recv()).await;
    }
}

/// Returns whom to send a heartbeat: the leader, or every voter when the leader doesn't answer.
fn recipients<M: Member>(member: &M, leader: &Leader) -> Vec<SocketAddr> {
    let now = member.clock().now();
    let known = *leader.lock().expect("nothing panics under this lock");
    match known {
        Some((address, at)) if now.since(at) < LEADER_TIMEOUT => vec![address],
        _ => member.voters(),
    }
}

async fn receive<M: Member>(member: Arc<M>, socket: UdpSocket, leader: Leader) {
    let fetching = Arc::new(AtomicBool::new(false));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match member.guard().seal.decode(&buffer[..len]) {
            Ok(Frame { body: Body::Grant(grant), .. }) => {
                handle_grant(&member, from, &leader, &fetching, grant)
            }
            Ok(Frame { body: Body::Voters(voters), .. }) => member.set_voters(voters),
            Ok(_) => {}
            Err(error) => {
                member.metrics().violated(Peer::Process, error.kind());
                log::debug!("dropped a datagram of {len} bytes from {from}: {error}");
            }
        }
    }
}

fn handle_grant<M: Member>(
    member: &Arc<M>,
    from: SocketAddr,
    leader: &Leader,
    fetching: &Arc<AtomicBool>,
    grant: Grant,
) {
    let pushed = grant.sequence.is_none();
    let now = member.clock().now();
    if !pushed {
        *leader.lock().expect("nothing panics under this lock") = Some((from, now));
    }
    if member.apply_grant(grant) || pushed {
        member.request_heartbeat();
    }
    let (in_force, newest) = member.revisions();
    if newest > in_force && !fetching.swap(true, Ordering::SeqCst) {
        let (member, fetching) = (Arc::clone(member), Arc::clone(fetching));
        let fetch_once = async move {
            fetch(&*member, from).await;
            member.clock().sleep(FETCH_DELAY).await;
            fetching.store(false, Ordering::SeqCst);
        };
        smol::spawn(fetch_once).detach();
    }
}

/// Fetches the configuration and puts it in force.
async fn fetch<M: Member>(member: &M, from: SocketAddr) {
    let frame = member.frame(Body::Fetch);
    let response = Stream::request(from, &member.guard().seal, &frame);
    match member.clock().timeout(FETCH_TIMEOUT, response).await {
        Some(Ok(Frame { body: Body::Configuration(configuration), .. })) => {
            match Fleet::parse("declarations", &configuration.text) {
                Ok(fleet) => member.configure(configuration.revision, fleet),
                Err(error) => {
                    log::error!("the fetched configuration is invalid and not used: {error}")
                }
            }
        }
        Some(Ok(_)) => log::debug!("{from} sent no configuration because it is not the leader"),
        Some(Err(error)) => log::debug!("failed to fetch the configuration from {from}: {error}"),
        None => {
            log::debug!("timed out fetching the configuration from {from} after {FETCH_TIMEOUT:?}")
        }
    }
}
