//! Tests on separate processes that nothing takes effect under an authority that has ended: a statement whose time is over,
//! a commit without a lease, a forwarded statement that was given up.

#[path = "../platform/line.rs"]
#[allow(dead_code, reason = "only a client is needed")]
mod line;
mod lines;

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use cactushatch::clock::Clock;
use cactushatch::statement::{Command, Id};
use cactushatch::upstream::connection::{Connection, Error};
use cactushatch::wire::Replica;
use line::LineCodec;
use lines::{Caller, Fleet, INTERNAL_PORT};

const MANY_PROXIES: [u8; 8] = [11, 12, 13, 14, 15, 16, 17, 18];

/// Fewer than one for each of [`MANY_PROXIES`], so that only some of them serve the group.
const FEW_CONNECTIONS: usize = 8;

const VOTERS: [u8; 3] = [1, 2, 3];

/// Longer than the timeout of a statement (800 ms) and the lease of a proxy.
const FREEZE: Duration = Duration::from_millis(2_000);

/// How long a statement that was held up may take to arrive and run once nothing holds it.
const SETTLE: Duration = Duration::from_millis(1_500);

fn sleep(duration: Duration) {
    std::thread::sleep(duration);
}

/// Returns the line of the next answer that says how a statement ended.
fn receive_result(session: &mut Caller) -> String {
    let mut result = String::new();
    loop {
        let line = session.line().expect("the session goes on");
        if line.starts_with("READY ") {
            return result;
        }
        result = line;
    }
}

fn begin_with(session: &mut Caller, write: &str) {
    session.query_until_done("BEGIN");
    session.query_until_done(write);
}

/// Returns how often a statement ran, on any instance.
fn count_runs(fleet: &Fleet, text: &str) -> usize {
    let executed = ["i-21", "i-22", "i-23"].iter().flat_map(|id| fleet.group.executed(id));
    executed.filter(|(executed, _)| executed == text).count()
}

/// A proxy opens a connection for a write, and is frozen until the time of the write is over. It sent the write when it
/// went on, and could say no more than that its outcome is unknown.
#[test]
fn a_write_whose_time_is_over_is_not_sent() {
    let fleet = Fleet::up(171);
    let vm = fleet.proxies[0];
    // The idle connections are in use, so that the write needs a new one.
    let mut holders: Vec<Caller> = (0..3).map(|_| fleet.connect(vm, "desk")).collect();
    for (number, holder) in holders.iter_mut().enumerate() {
        begin_with(holder, &format!("PUT held{number} x"));
    }
    let mut session = fleet.connect(vm, "desk");
    fleet.group.set_connect_delay(Duration::from_millis(500));
    session.send("QUERY late1 PUT late x");
    sleep(Duration::from_millis(150));
    fleet.signal(vm, "-STOP");
    assert_eq!(count_runs(&fleet, "PUT late x"), 0, "the write waits for a connection");
    sleep(FREEZE);
    fleet.signal(vm, "-CONT");
    let result = receive_result(&mut session);
    sleep(SETTLE);
    assert_eq!(count_runs(&fleet, "PUT late x"), 0, "{result}\n{}", fleet.logs());
    assert!(result.starts_with("ERR BUSY"), "{result}\n{}", fleet.logs());
}

/// A proxy is frozen while a caller commits, and control can't be reached when it goes on. It sent the commit without a
/// lease, although no answer to it could be released.
#[test]
fn a_commit_is_not_sent_without_a_lease() {
    let fleet = Fleet::up(172);
    let vm = fleet.proxies[0];
    let mut session = fleet.connect(vm, "desk");
    begin_with(&mut session, "PUT kept x");
    fleet.signal(vm, "-STOP");
    session.send("QUERY commit1 COMMIT");
    VOTERS.iter().for_each(|voter| fleet.signal(*voter, "-STOP"));
    sleep(FREEZE);
    fleet.signal(vm, "-CONT");
    let result = receive_result(&mut session);
    sleep(SETTLE);
    assert!(fleet.group.values_of("kept").is_empty(), "{result}\n{}", fleet.logs());
    assert!(result.starts_with("ERR ABORTED"), "{result}\n{}", fleet.logs());
    VOTERS.iter().for_each(|voter| fleet.signal(*voter, "-CONT"));
    fleet.wait_until("the proxy is ready", |fleet| fleet.is_ready(vm));
    let mut session = fleet.connect(vm, "desk");
    begin_with(&mut session, "PUT kept y");
    session.query_until_done("COMMIT");
    assert_eq!(fleet.group.values_of("kept"), ["y"]);
}

/// Returns how many closed connections to these addresses, on 127.0.0.0/8, have data that the kernel still sends.
fn unsent_after_close(addresses: &[SocketAddr]) -> usize {
    const FIN_WAIT_1: &str = "04";
    let listed: Vec<String> = addresses
        .iter()
        .map(|address| {
            let IpAddr::V4(ip) = address.ip() else { unreachable!("an IPv4 address") };
            format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port())
        })
        .collect();
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the sockets");
    let unsent = sockets.lines().skip(1).filter(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (queued, _) = fields[4].split_once(':').expect("two queues");
        let queued = u64::from_str_radix(queued, 16).expect("a number");
        // The end of the stream counts as 1.
        fields[3] == FIN_WAIT_1 && queued > 1 && listed.iter().any(|address| address == fields[2])
    });
    unsent.count()
}

/// The proxies that serve the group are frozen, and another one forwards writes to them, which it gives up. They ran when
/// the proxies went on, long after the callers had their answer.
#[test]
fn forwarded_writes_that_were_given_up_do_not_run() {
    // A statement that the other kernel takes, and one of which it takes only a part. Frames are compressed.
    let mut random = fastrand::Rng::with_seed(50);
    let values = ["x".to_owned(), (0..200_000).map(|_| random.alphanumeric()).collect()];
    let fleet = Fleet::up_with(173, &MANY_PROXIES, FEW_CONNECTIONS);
    let serving = fleet.serving();
    let vm = *fleet.proxies.iter().find(|vm| !serving.contains(vm)).expect("one that forwards");
    let mut writers = [fleet.connect(vm, "desk"), fleet.connect(vm, "desk")];
    writers.iter_mut().for_each(|writer| drop(writer.query_until_done("PUT before x")));
    let mut committer = fleet.connect(vm, "desk");
    begin_with(&mut committer, "PUT committed x");
    serving.iter().for_each(|vm| fleet.signal(*vm, "-STOP"));
    for (writer, value) in writers.iter_mut().zip(&values) {
        writer.send(&format!("QUERY late1 PUT late {value}"));
    }
    committer.send("QUERY late2 COMMIT");
    let mut results: Vec<String> = writers.iter_mut().map(receive_result).collect();
    results.push(receive_result(&mut committer));
    let unknown = |result: &String| result.starts_with("ERR UNKNOWN");
    assert!(results.iter().all(unknown), "{results:?}\n{}", fleet.logs());
    let addresses: Vec<SocketAddr> =
        serving.iter().map(|vm| fleet.address(*vm, INTERNAL_PORT)).collect();
    let unsent = unsent_after_close(&addresses);
    sleep(FREEZE);
    serving.iter().for_each(|vm| fleet.signal(*vm, "-CONT"));
    sleep(SETTLE);
    writers[0].query_until_done("PUT after x");
    let lengths = |item: &str| -> Vec<usize> {
        fleet.group.values_of(item).iter().map(String::len).collect()
    };
    let late = (lengths("late"), lengths("committed"), unsent);
    assert_eq!(late, (vec![], vec![], 0), "{}", fleet.logs());
    assert_eq!(lengths("after"), [1]);
}

/// A proxy is killed after it forwarded a write and a commit to frozen proxies.
#[test]
fn forwarded_writes_of_a_killed_proxy_do_not_run() {
    let mut fleet = Fleet::up_with(174, &MANY_PROXIES, FEW_CONNECTIONS);
    let serving = fleet.serving();
    let others: Vec<u8> =
        fleet.proxies.iter().filter(|vm| !serving.contains(vm)).copied().collect();
    let [vm, other, ..] = others[..] else { panic!("two that forward: {others:?}") };
    let mut writer = fleet.connect(vm, "desk");
    writer.query_until_done("PUT before x");
    let mut committer = fleet.connect(vm, "desk");
    begin_with(&mut committer, "PUT committed x");
    serving.iter().for_each(|vm| fleet.signal(*vm, "-STOP"));
    writer.send("QUERY late1 PUT late x");
    committer.send("QUERY late2 COMMIT");
    sleep(Duration::from_millis(400));
    fleet.signal(vm, "-KILL");
    fleet.wait_for_exit(vm);
    serving.iter().for_each(|vm| fleet.signal(*vm, "-CONT"));
    sleep(SETTLE);
    fleet.connect(other, "desk").query_until_done("PUT after x");
    let late = [fleet.group.values_of("late"), fleet.group.values_of("committed")];
    assert!(late.iter().all(Vec::is_empty), "{late:?}\n{}", fleet.logs());
    assert_eq!(fleet.group.values_of("after"), ["x"]);
}

/// Sends a statement to an instance that takes only a part of it, and gives it up. Returns what the instance reads after
/// that, and how the connection ends.
fn read_after_giving_up(give_up: impl FnOnce(Connection)) -> (String, Option<ErrorKind>) {
    const LENGTH: usize = 12_000;
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    listener.set_recv_buffer_size(4_096).expect("a small buffer");
    listener.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("an address");
    listener.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address").as_socket().expect("an IP address");
    let (give_up_done, given_up) = std::sync::mpsc::channel();
    let instance = std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let _ = socket.read(&mut [0; 256]).expect("the request to open a session");
        socket.write_all(b"READY I 1.1\r\n").expect("the answer is sent");
        given_up.recv().expect("the statement is given up");
        let mut text = Vec::new();
        let end = socket.read_to_end(&mut text).err().map(|error| error.kind());
        (String::from_utf8(text).expect("text"), end)
    });
    let replica = Replica {
        group: "books".parse().unwrap(),
        instance: "i-21".parse().unwrap(),
        address,
        domain: "a".parse().unwrap(),
    };
    smol::block_on(async {
        let clock = Clock::system();
        let soon = || clock.now() + Duration::from_millis(500);
        let connected = Connection::connect(&clock, &LineCodec, &replica, None, soon()).await;
        let (mut connection, _) = connected.expect("a connection");
        let text = format!("PUT item {}", "x".repeat(LENGTH)).into();
        let command = Command::Data { id: &Id::new("late1"), after: None, text: &text };
        connection.queue(&command).expect("the statement can be written");
        connection.flush(&clock, soon()).await.expect("the kernel takes the statement");
        let outcome = connection.receive_outcome(&clock, soon()).await;
        assert!(matches!(outcome, Err(Error::Timeout)), "{outcome:?}");
        give_up(connection);
    });
    give_up_done.send(()).expect("the instance waits");
    instance.join().expect("what the instance read")
}

/// The kernel goes on sending after a close, but not after a reset.
#[test]
fn a_statement_does_not_arrive_after_a_reset() {
    let (text, end) = read_after_giving_up(drop);
    assert!(text.ends_with("\r\n") && end.is_none(), "{} bytes, {end:?}", text.len());
    let (text, end) = read_after_giving_up(Connection::reset);
    assert!(!text.contains("\r\n"), "{} bytes", text.len());
    assert_eq!(end, Some(ErrorKind::ConnectionReset));
}
