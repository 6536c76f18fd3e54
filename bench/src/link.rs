//! A relay for tests between processes and control: frames to each control process pass through it over UDP and
//! TCP, and it can cut off failure domains. The domain of a frame follows from its sender.
//!
//! Two kinds of frames bypass it. Frames that control sends without a request go directly to the proxies, so a
//! proxy that is cut off may learn of a freeze, but cannot renew a lease by it. The other voters reach the
//! voter that founded the log at its own address, so a cut stops the frames that it sends, but not all frames to it.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use cactushatch::wire::{Frame, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};

/// How often a connection that is cut off checks whether the cut has been healed.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A control process behind the link.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name of the control process.
    pub node: String,
    /// Where the link receives frames for the control process.
    pub listen: SocketAddr,
    /// The address of the control process.
    pub target: SocketAddr,
}

/// The failure domain of each process, and the domain that is cut off, if any.
#[derive(Debug)]
struct Topology {
    domains: BTreeMap<String, String>,
    isolated_domain: Mutex<Option<String>>,
}

impl Topology {
    fn is_cut(&self, from: &str, to: &str) -> bool {
        let (from, to) = (self.domains.get(from), self.domains.get(to));
        let isolated = self.isolated_domain.lock().expect("nothing panics under this lock");
        from != to && isolated.is_some() && (from == isolated.as_ref() || to == isolated.as_ref())
    }
}

/// Relays frames until the process ends. A line on `control` names the domain to cut off; an empty line heals
/// the cut.
///
/// # Errors
///
/// Fails if a socket can't be opened or `domains` can't be read.
pub fn run(control: SocketAddr, domains: &Path, routes: &[Route]) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(domains)?;
    let pairs = text.lines().filter_map(|line| line.split_once(' '));
    let domains = pairs.map(|(node, domain)| (node.to_owned(), domain.to_owned())).collect();
    let topology = Arc::new(Topology { domains, isolated_domain: Mutex::new(None) });
    for route in routes {
        spawn_datagram_relay(&topology, route)?;
        spawn_stream_relay(&topology, route)?;
    }
    for mut socket in TcpListener::bind(control)?.incoming().flatten() {
        let reader = BufReader::new(socket.try_clone()?);
        for line in reader.lines().map_while(Result::ok) {
            let domain = Some(line).filter(|line| !line.is_empty());
            *topology.isolated_domain.lock().expect("nothing panics under this lock") = domain;
            let _ = socket.write_all(b"ok\n");
        }
    }
    Ok(())
}

/// Relays datagrams, over a socket for each client. Drops those of senders that are cut off.
fn spawn_datagram_relay(topology: &Arc<Topology>, route: &Route) -> anyhow::Result<()> {
    let listener = UdpSocket::bind(route.listen)?;
    let (topology, route) = (Arc::clone(topology), route.clone());
    std::thread::spawn(move || {
        let mut sockets: HashMap<SocketAddr, UdpSocket> = HashMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((len, from)) = listener.recv_from(&mut buffer) else { continue };
            let Ok(frame) = Frame::decode(&buffer[..len]) else { continue };
            let sender = frame.sender.to_string();
            if topology.is_cut(&sender, &route.node) {
                continue;
            }
            if let std::collections::hash_map::Entry::Vacant(entry) = sockets.entry(from) {
                match spawn_reply_relay(&topology, &route, &listener, from, sender) {
                    Ok(socket) => entry.insert(socket),
                    Err(_) => continue,
                };
            }
            let _ = sockets[&from].send(&buffer[..len]);
        }
    });
    Ok(())
}

/// Opens a socket that forwards the datagrams of one client, and relays the replies to the client.
fn spawn_reply_relay(
    topology: &Arc<Topology>,
    route: &Route,
    listener: &UdpSocket,
    client: SocketAddr,
    sender: String,
) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.connect(route.target)?;
    let (topology, node) = (Arc::clone(topology), route.node.clone());
    let (receiver, listener) = (socket.try_clone()?, listener.try_clone()?);
    std::thread::spawn(move || {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // A refused connection means that the control process is down; it may be restarted.
            let Ok(len) = receiver.recv(&mut buffer) else {
                std::thread::sleep(CUT_POLL_INTERVAL);
                continue;
            };
            if !topology.is_cut(&sender, &node) {
                let _ = listener.send_to(&buffer[..len], client);
            }
        }
    });
    Ok(socket)
}

fn spawn_stream_relay(topology: &Arc<Topology>, route: &Route) -> anyhow::Result<()> {
    let listener = TcpListener::bind(route.listen)?;
    let (topology, route) = (Arc::clone(topology), route.clone());
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (topology, route) = (Arc::clone(&topology), route.clone());
            std::thread::spawn(move || relay_stream(&topology, &route, socket));
        }
    });
    Ok(())
}

/// Relays a connection. The first frame names the sender.
fn relay_stream(
    topology: &Arc<Topology>,
    route: &Route,
    mut from: TcpStream,
) -> anyhow::Result<()> {
    let mut header = [0; 4];
    from.read_exact(&mut header)?;
    let len = u32::from_be_bytes(header) as usize;
    anyhow::ensure!(
        len <= MAX_FRAME_BYTES,
        "frame of {len} bytes exceeds the limit of {MAX_FRAME_BYTES}"
    );
    let mut body = vec![0; len];
    from.read_exact(&mut body)?;
    let sender = Frame::decode(&body)
        .context("failed to decode the first frame of a connection")?
        .sender
        .to_string();
    while topology.is_cut(&sender, &route.node) {
        std::thread::sleep(CUT_POLL_INTERVAL);
    }
    let mut to = TcpStream::connect(route.target)?;
    to.set_nodelay(true)?;
    from.set_nodelay(true)?;
    to.write_all(&header)?;
    to.write_all(&body)?;
    let (reply_from, reply_to) = (to.try_clone()?, from.try_clone()?);
    let (reply_topology, origin, node) = (Arc::clone(topology), sender.clone(), route.node.clone());
    std::thread::spawn(move || forward(&reply_topology, &origin, &node, reply_from, reply_to));
    forward(topology, &sender, &route.node, from, to);
    Ok(())
}

/// Copies bytes in one direction. While the domains are cut off, the bytes wait, as TCP would retransmit them.
fn forward(topology: &Topology, sender: &str, node: &str, mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(len) = from.read(&mut buffer) {
        while topology.is_cut(sender, node) {
            std::thread::sleep(CUT_POLL_INTERVAL);
        }
        if len == 0 || to.write_all(&buffer[..len]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
