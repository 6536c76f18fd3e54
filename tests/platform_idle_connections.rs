//! Tests that a proxy doesn't keep connections for ever whose other end is gone without having closed them.

#[path = "../platform/line.rs"]
mod line;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use cactushatch::broker::peer::{MAX_UNUSED, Peers};
use cactushatch::broker::{self, Server};
use cactushatch::clock::Clock;
use cactushatch::config::Settings;
use cactushatch::id;
use cactushatch::wire::{self, Body, Frame, Stream};
use line::LineCodec;

static LINE_CODEC: LineCodec = LineCodec;

/// How long the proxy may take to close a connection after its time is over.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The column of `/proc/net/tcp` that shows the timer of a connection, and its value for keepalive.
const TIMER_COLUMN: usize = 5;
const KEEPALIVE_TIMER: &str = "02:";

/// A proxy without control, and the addresses at which it accepts callers and other proxies.
struct Proxy {
    clock: Clock,
    _server: Server,
    callers: SocketAddr,
    proxies: SocketAddr,
}

impl Proxy {
    fn spawn() -> Self {
        let bound: [TcpListener; 4] =
            std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
        let [callers, proxies, admin, control] = bound.map(|port| port.local_addr().unwrap());
        let text = format!(
            "node = \"proxy-1\"\ndomain = \"a\"\ndata = \"unused\"\nvoters = [{{ node = \"control-1\", domain = \"a\", \
             address = \"{control}\", admin = \"{control}\" }}]\n[proxy]\nlisten = \"{callers}\"\n\
             address = \"{proxies}\"\nadmin = \"{admin}\"\n"
        );
        let settings = Settings::parse("settings", &text).unwrap();
        let clock = Clock::paused();
        let starting = broker::spawn(clock.clone(), &settings, &LINE_CODEC);
        let server = smol::block_on(starting).unwrap();
        Self { clock, _server: server, callers, proxies }
    }
}

/// Returns whether the kernel probes a connection that this process accepted at `local` from `remote`.
fn is_probed(local: SocketAddr, remote: SocketAddr) -> bool {
    let hex = |address: SocketAddr| {
        let SocketAddr::V4(address) = address else { panic!("{address} is not of IPv4") };
        let ip = u32::from_ne_bytes(address.ip().octets());
        format!("{ip:08X}:{:04X}", address.port())
    };
    let (local, remote) = (hex(local), hex(remote));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let connection = table.lines().find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        (columns[1] == local && columns[2] == remote).then(|| columns[TIMER_COLUMN].to_owned())
    });
    connection.is_some_and(|timer| timer.starts_with(KEEPALIVE_TIMER))
}

/// Guards against sessions and streams that are kept for ever after the machine at the other end has lost power.
#[test]
fn the_kernel_probes_accepted_connections() {
    let proxy = Proxy::spawn();
    for address in [proxy.callers, proxy.proxies] {
        let connection = TcpStream::connect(address).unwrap();
        let remote = connection.local_addr().unwrap();
        let probed = (0..500).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            is_probed(address, remote)
        });
        assert!(probed, "the connection to {address} has no keepalive");
    }
}

/// Guards against streams that are kept after the forwarding proxy has given them up without this one being told.
#[test]
fn a_stream_that_carries_nothing_for_a_minute_is_closed() {
    let proxy = Proxy::spawn();
    let ping = Frame {
        sender: "proxy-2".parse().unwrap(),
        incarnation: id::Incarnation(1),
        body: Body::Ping,
    };
    smol::block_on(async {
        let mut stream = Stream::connect(proxy.proxies).await.unwrap();
        for _ in 0..3 {
            proxy.clock.advance(Duration::from_secs(59));
            stream.send(&ping).await.unwrap();
            assert_eq!(stream.receive().await.unwrap().body, Body::Ping);
        }
        // The proxy may not wait for the next frame yet when the time passes.
        let closed = async {
            while !stream.is_closed().await {
                proxy.clock.advance(Duration::from_secs(61));
                Clock::system().sleep(Duration::from_millis(20)).await;
            }
        };
        let closed = Clock::system().timeout(CLOSE_TIMEOUT, closed).await;
        assert!(closed.is_some(), "the stream is still open");
    });
}

/// Guards against a statement that is sent on a stream which the serving proxy is just closing.
#[test]
fn a_stream_that_was_unused_is_closed_first_by_the_forwarding_proxy() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (node, domain) = ("proxy-1".parse().unwrap(), "a".parse().unwrap());
    let server = wire::Server { node, domain, address };
    let clock = Clock::paused();
    let mut peers = Peers::default();
    for _ in 0..2 {
        assert!(peers.begin(&server).is_none());
    }
    let mut accepted = Vec::new();
    for _ in 0..2 {
        let stream = smol::block_on(Stream::connect(address)).unwrap();
        accepted.push(listener.accept().unwrap());
        peers.end(&server, Some((clock.now(), stream)));
        clock.advance(MAX_UNUSED);
    }
    assert!(peers.begin(&server).is_some(), "the stream that was used last");
    assert!(peers.begin(&server).is_none(), "the first one is still kept");
}
