//! The communication of a proxy with the control plane: sends heartbeats, applies grants, and fetches the configuration
//! when it has changed.

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
use crate::wire::{Body, Configuration, Frame, Grant, Heartbeat, MAX_DATAGRAM_BYTES, Stream};

/// The interval between heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// The interval between heartbeats without a lease. It is shorter, so that a process gets a lease soon after it starts
/// or the control plane recovers.
const UNLEASED_INTERVAL: Duration = Duration::from_millis(50);

/// How long the leader may leave heartbeats unanswered before they go to every voter.
const LEADER_TIMEOUT: Duration = Duration::from_millis(200);

/// The timeout of a fetch: enough for a configuration of 1 MB over a link of 4 Mbit/s.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay before the next fetch, so that a failed fetch is not retried immediately.
const FETCH_DELAY: Duration = Duration::from_millis(200);

/// A process that serves callers under the decisions of the control plane.
pub(crate) trait Member: Send + Sync + 'static {
    /// Returns the clock of the process.
    fn clock(&self) -> &Clock;
    /// Returns the metrics of the process.
    fn metrics(&self) -> &Metrics;
    /// Returns the keys that seal and open frames.
    fn credentials(&self) -> &Credentials;
    /// Returns the addresses of the voters.
    fn voters(&self) -> Vec<SocketAddr>;
    /// Replaces the addresses of the voters.
    fn set_voters(&self, voters: Vec<SocketAddr>);
    /// Returns the channel that receives a message when a heartbeat is requested.
    fn heartbeat_requests(&self) -> &Receiver<()>;
    /// Requests an immediate heartbeat.
    fn request_heartbeat(&self);
    /// Creates a frame from this process.
    fn frame(&self, body: Body) -> Frame;
    /// Returns whether the process holds a lease that has not expired.
    fn is_leased(&self) -> bool;
    /// Creates the next heartbeat and records that it is sent now.
    fn heartbeat(&self) -> Heartbeat;
    /// Applies a grant. Returns whether the state in force changed, so that a heartbeat should be sent at once.
    fn apply_grant(self: &Arc<Self>, grant: Grant) -> bool;
    /// Returns the revision of the configuration in force and the newest revision that was announced.
    fn revisions(&self) -> (id::Revision, id::Revision);
    /// Returns the declarations in force and their revision.
    fn declarations(&self) -> (id::Revision, Arc<Fleet>);
    /// Puts a configuration in force.
    fn configure(&self, revision: id::Revision, fleet: Fleet);
}

/// Returns the incarnation of this process. It comes from the wall clock, which keeps increasing when the VM restarts.
pub(crate) fn new_incarnation() -> id::Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    id::Incarnation(elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64))
}

/// The voter that last answered a heartbeat, and when its answer arrived.
type Leader = Arc<Mutex<Option<(SocketAddr, Instant)>>>;

/// Starts the tasks that send heartbeats and receive frames. They never end.
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
                for address in recipients(&*member, &leader) {
                    if let Err(error) = socket.send_to(&bytes, address).await {
                        log::debug!(
                            "heartbeat to {address} could not be sent and is dropped: {error}"
                        );
                    }
                }
            }
            Err(error) => log::error!("failed to encode a heartbeat, none is sent: {error}"),
        }
        let interval = if member.is_leased() { HEARTBEAT_INTERVAL } else { UNLEASED_INTERVAL };
        member.clock().timeout(interval, member.heartbeat_requests().recv()).await;
    }
}

/// Returns the recipients of a heartbeat: the leader, or every voter if the leader is unknown or does not answer.
fn recipients<M: Member>(member: &M, leader: &Leader) -> Vec<SocketAddr> {
    let now = member.clock().now();
    let known = *leader.lock().expect("no thread panics while holding this lock");
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
        match member.credentials().seal.decode(&buffer[..len]) {
            Ok(Frame { body: Body::Grant(grant), .. }) => {
                handle_grant(&member, from, &leader, &fetching, grant)
            }
            Ok(Frame { body: Body::Voters(voters), .. }) => member.set_voters(voters),
            Ok(_) => {}
            Err(error) => {
                member.metrics().record_protocol_error(Peer::Process, error.kind());
                log::debug!("dropped a datagram of {len} bytes from {from}: {error}");
            }
        }
    }
}

/// Applies a grant, and fetches the configuration if the grant announced a newer revision.
fn handle_grant<M: Member>(
    member: &Arc<M>,
    from: SocketAddr,
    leader: &Leader,
    fetching: &Arc<AtomicBool>,
    grant: Grant,
) {
    let pushed = grant.sequence.is_none();
    let now = member.clock().now();
    *leader.lock().expect("no thread panics while holding this lock") = Some((from, now));
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

/// Fetches the configuration from a voter and puts it in force.
async fn fetch<M: Member>(member: &M, from: SocketAddr) {
    let (in_force, declarations) = member.declarations();
    let frame = member.frame(Body::Fetch { revision: in_force });
    let response = Stream::request(from, &member.credentials().seal, &frame);
    match member.clock().timeout(FETCH_TIMEOUT, response).await {
        Some(Ok(Frame { body: Body::Configuration(configuration), .. })) => {
            let Configuration { since, revision, change } = configuration;
            let mut fleet = match since {
                id::Revision(0) => Fleet::default(),
                since if since == in_force => Fleet::clone(&declarations),
                since => {
                    log::error!(
                        "configuration {revision} from {from} is a change from {since}, not from {in_force}, which stays"
                    );
                    return;
                }
            };
            change.apply(&mut fleet);
            member.configure(revision, fleet);
        }
        Some(Ok(_)) => log::debug!(
            "{from} sent no configuration because it is not the leader, retrying after the next grant"
        ),
        Some(Err(error)) => log::debug!(
            "failed to fetch the configuration from {from}, retrying after the next grant: {error}"
        ),
        None => {
            log::debug!(
                "timed out fetching the configuration from {from} after {FETCH_TIMEOUT:?}, retrying after the next grant"
            )
        }
    }
}
