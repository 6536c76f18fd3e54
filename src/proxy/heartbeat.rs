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
use crate::security::Credentials;
use crate::wire::{Body, Frame, Grant, Heartbeat, MAX_DATAGRAM_BYTES, Stream};

/// How often the process sends a heartbeat when nothing changed.
const INTERVAL: Duration = Duration::from_millis(150);

/// The same without a lease: a process that starts, or control that comes back, is not kept waiting.
const UNLEASED_INTERVAL: Duration = Duration::from_millis(50);

/// How long the leader may leave heartbeats unanswered until every voter is asked.
const UNANSWERED: Duration = Duration::from_millis(200);

/// How long a fetch may take: a configuration of a megabyte over a link of 4 Mbit/s.
const FETCH: Duration = Duration::from_secs(2);

/// How long to wait before a failed fetch is tried again.
const PAUSE: Duration = Duration::from_millis(200);

/// A process that serves callers by the decisions of control.
pub(crate) trait Member: Send + Sync + 'static {
    /// Returns the clock.
    fn clock(&self) -> &Clock;
    /// Returns the metrics.
    fn metrics(&self) -> &Metrics;
    /// Returns the keys.
    fn credentials(&self) -> &Credentials;
    /// Returns where control processes take frames.
    fn voters(&self) -> Vec<SocketAddr>;
    /// Takes over where control processes take frames.
    fn met(&self, voters: Vec<SocketAddr>);
    /// Returns what tells that a heartbeat is due at once.
    fn nudged(&self) -> &Receiver<()>;
    /// Has a heartbeat sent at once.
    fn nudge(&self);
    /// Makes a frame.
    fn frame(&self, body: Body) -> Frame;
    /// Tells whether the lease has not run out.
    fn is_leased(&self) -> bool;
    /// Makes a heartbeat.
    fn heartbeat(&self) -> Heartbeat;
    /// Takes a grant; returns whether what is in force changed.
    fn granted(self: &Arc<Self>, grant: Grant) -> bool;
    /// Returns the revision of the configuration in force, and the newest that was heard of.
    fn revisions(&self) -> (id::Revision, id::Revision);
    /// Puts a configuration in force.
    fn configure(&self, revision: id::Revision, fleet: Fleet);
}

/// Numbers this life of the process; the wall clock goes on when the VM is started anew.
pub(crate) fn new_incarnation() -> id::Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    id::Incarnation(since.map_or(0, |since| since.as_micros() as u64))
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
        match member.credentials().seal.encode(&member.frame(body)) {
            Ok(bytes) => {
                member.metrics().heartbeat_sent();
                for address in addressed(&*member, &leader) {
                    if let Err(error) = socket.send_to(&bytes, address).await {
                        log::debug!("a heartbeat to {address} was not sent: {error}");
                    }
                }
            }
            Err(error) => log::error!("a heartbeat can't be encoded: {error}"),
        }
        let interval = if member.is_leased() { INTERVAL } else { UNLEASED_INTERVAL };
        member.clock().timeout(interval, member.nudged().recv()).await;
    }
}

/// Returns whom to send a heartbeat: the leader, or every voter when the leader doesn't answer.
fn addressed<M: Member>(member: &M, leader: &Leader) -> Vec<SocketAddr> {
    let now = member.clock().now();
    let known = *leader.lock().expect("nothing panics under this lock");
    match known {
        Some((address, at)) if now.since(at) < UNANSWERED => vec![address],
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
        match member.credentials().seal.decode(&buffer[..len]) {
            Ok(Frame { body: Body::Grant(grant), .. }) => {
                take(&member, from, &leader, &fetching, grant)
            }
            Ok(Frame { body: Body::Voters(voters), .. }) => member.met(voters),
            Ok(_) => {}
            Err(error) => {
                member.metrics().record_protocol_error(Peer::Process, error.kind());
                log::debug!("a datagram from {from} is dropped: {error}");
            }
        }
    }
}

fn take<M: Member>(
    member: &Arc<M>,
    from: SocketAddr,
    leader: &Leader,
    fetching: &Arc<AtomicBool>,
    grant: Grant,
) {
    let unasked = grant.sequence.is_none();
    let now = member.clock().now();
    if !unasked {
        *leader.lock().expect("nothing panics under this lock") = Some((from, now));
    }
    if member.granted(grant) || unasked {
        member.nudge();
    }
    let (held, newest) = member.revisions();
    if newest > held && !fetching.swap(true, Ordering::SeqCst) {
        let (member, fetching) = (Arc::clone(member), Arc::clone(fetching));
        let fetched = async move {
            fetch(&*member, from).await;
            member.clock().sleep(PAUSE).await;
            fetching.store(false, Ordering::SeqCst);
        };
        smol::spawn(fetched).detach();
    }
}

/// Fetches the configuration and puts it in force.
async fn fetch<M: Member>(member: &M, from: SocketAddr) {
    let frame = member.frame(Body::Fetch);
    let fetched = Stream::request(from, &member.credentials().seal, &frame);
    match member.clock().timeout(FETCH, fetched).await {
        Some(Ok(Frame { body: Body::Configuration(configuration), .. })) => {
            match Fleet::parse("declarations", &configuration.text) {
                Ok(fleet) => member.configure(configuration.revision, fleet),
                Err(error) => log::error!("the configuration in force is not valid: {error}"),
            }
        }
        Some(Ok(_)) => log::debug!("{from} does not lead, so it sent no configuration"),
        Some(Err(error)) => log::debug!("the configuration was not fetched: {error}"),
        None => log::debug!("the configuration did not come in time from {from}"),
    }
}
