//! A test-only link of the frames: each control process is reached through it over UDP and TCP, and it can
//! cut failure domains off. The sender of a frame tells which domain it comes from.
//!
//! Two ways go past it: what control sends unasked reaches the proxies directly, so that one that is cut off may
//! learn of a freeze, but renews no lease by it; and a voter that founded the log is known to the others by
//! its own address, so that a cut stops what it sends and not all that it is sent.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use cactushatch::wire::{Frame, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};

/// How often a connection that is cut looks whether it still is.
const LOOK: Duration = Duration::from_millis(5);

/// One control process behind the link.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name.
    pub node: String,
    /// Where the link takes its frames.
    pub listen: SocketAddr,
    /// Where it is.
    pub target: SocketAddr,
}

/// Which domain each node is in, and the domain that is cut off.
#[derive(Debug)]
struct Map {
    domains: BTreeMap<String, String>,
    cut: Mutex<Option<String>>,
}

impl Map {
    fn is_cut(&self, from: &str, to: &str) -> bool {
        let (from, to) = (self.domains.get(from), self.domains.get(to));
        let cut = self.cut.lock().expect("nothing panics under this lock");
        from != to && cut.is_some() && (from == cut.as_ref() || to == cut.as_ref())
    }
}

/// Relays frames until the process ends; `control` takes one domain a line, an empty one heals.
///
/// # Errors
///
/// Fails when a socket can't be opened or the domains can't be read.
pub fn run(control: SocketAddr, domains: &Path, routes: &[Route]) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(domains)?;
    let pairs = text.lines().filter_map(|line| line.split_once(' '));
    let domains = pairs.map(|(node, domain)| (node.to_owned(), domain.to_owned())).collect();
    let map = Arc::new(Map { domains, cut: Mutex::new(None) });
    for route in routes {
        datagrams(&map, route)?;
        streams(&map, route)?;
    }
    for mut socket in TcpListener::bind(control)?.incoming().flatten() {
        let reader = BufReader::new(socket.try_clone()?);
        for line in reader.lines().map_while(Result::ok) {
            let domain = Some(line).filter(|line| !line.is_empty());
            *map.cut.lock().expect("nothing panics under this lock") = domain;
            let _ = socket.write_all(b"ok\n");
        }
    }
    Ok(())
}

fn datagrams(map: &Arc<Map>, route: &Route) -> anyhow::Result<()> {
    let listener = UdpSocket::bind(route.listen)?;
    let (map, route) = (Arc::clone(map), route.clone());
    std::thread::spawn(move || {
        let mut onward: HashMap<SocketAddr, UdpSocket> = HashMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((len, from)) = listener.recv_from(&mut buffer) else { continue };
            let Ok(frame) = Frame::decode(&buffer[..len]) else { continue };
            let sender = frame.sender.to_string();
            if map.is_cut(&sender, &route.node) {
                continue;
            }
            if let std::collections::hash_map::Entry::Vacant(entry) = onward.entry(from) {
                match answers(&map, &route, &listener, from, sender) {
                    Ok(socket) => entry.insert(socket),
                    Err(_) => continue,
                };
            }
            let _ = onward[&from].send(&buffer[..len]);
        }
    });
    Ok(())
}

/// Opens the socket that stands for one sender, and relays what comes back to it.
fn answers(
    map: &Arc<Map>,
    route: &Route,
    listener: &UdpSocket,
    back: SocketAddr,
    sender: String,
) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.connect(route.target)?;
    let (map, node) = (Arc::clone(map), route.node.clone());
    let (receiver, listener) = (socket.try_clone()?, listener.try_clone()?);
    std::thread::spawn(move || {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // A refusal says that the target is down; it may come back.
            let Ok(len) = receiver.recv(&mut buffer) else {
                std::thread::sleep(LOOK);
                continue;
            };
            if !map.is_cut(&sender, &node) {
                let _ = listener.send_to(&buffer[..len], back);
            }
        }
    });
    Ok(socket)
}

fn streams(map: &Arc<Map>, route: &Route) -> anyhow::Result<()> {
    let listener = TcpListener::bind(route.listen)?;
    let (map, route) = (Arc::clone(map), route.clone());
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (map, route) = (Arc::clone(&map), route.clone());
            std::thread::spawn(move || stream(&map, &route, socket));
        }
    });
    Ok(())
}

fn stream(map: &Arc<Map>, route: &Route, mut from: TcpStream) -> anyhow::Result<()> {
    let mut header = [0; 4];
    from.read_exact(&mut header)?;
    let len = u32::from_be_bytes(header) as usize;
    anyhow::ensure!(len <= MAX_FRAME_BYTES, "a frame of {len} bytes");
    let mut body = vec![0; len];
    from.read_exact(&mut body)?;
    let sender = Frame::decode(&body).context("a first frame")?.sender.to_string();
    while map.is_cut(&sender, &route.node) {
        std::thread::sleep(LOOK);
    }
    let mut to = TcpStream::connect(route.target)?;
    to.set_nodelay(true)?;
    from.set_nodelay(true)?;
    to.write_all(&header)?;
    to.write_all(&body)?;
    let (back_from, back_to) = (to.try_clone()?, from.try_clone()?);
    let (back_map, back_sender, node) = (Arc::clone(map), sender.clone(), route.node.clone());
    std::thread::spawn(move || copy(&back_map, &back_sender, &node, back_from, back_to));
    copy(map, &sender, &route.node, from, to);
    Ok(())
}

/// Copies bytes one way; while the domains are cut they wait, as packets are sent again.
fn copy(map: &Map, sender: &str, node: &str, mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(len) = from.read(&mut buffer) {
        while map.is_cut(sender, node) {
            std::thread::sleep(LOOK);
        }
        if len == 0 || to.write_all(&buffer[..len]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
