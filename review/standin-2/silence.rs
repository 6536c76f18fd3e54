//! Runs three control processes whose connections to each other pass through relays of this program, makes the open
//! connections go silent once, and asks for the configuration as an operator does.
//!
//! Usage: silence COMMAND FOLDER RECORD TROUBLE

use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const NODES: u8 = 3;

/// `Bounds.StableMs` of the small deployments: after it the core counts as stable again.
const STABLE: Duration = Duration::from_millis(4_000);

/// `Bounds.OuterMs` of the small deployments, the most by which an unstable core stretches a bound.
const OUTER: Duration = Duration::from_millis(12_000);

/// `Bounds.AckMs` of the small deployments.
const ACK: Duration = Duration::from_millis(5_000);

/// How long the configuration is asked for after these bounds: several times `Bounds.StableMs`.
const READ_BACK: Duration = Duration::from_secs(20);

/// When the last round begins at the latest.
const LAST_ROUND: Duration = Duration::from_secs(70);

/// How long an operator waits for an answer.
const CALL: Duration = Duration::from_secs(1);

/// The variable with the path of the settings file.
const SETTINGS: &str = concat!("CACTUSHATCH_", "CONFIG");

/// The address at which a control process listens.
fn bound(node: u8, port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 41, node), port).into()
}

/// The address that the others know, at which the relay listens.
fn relayed(node: u8, port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 42, node), port).into()
}

/// Returns a port that is free on all addresses.
fn free_port(taken: &[u16]) -> u16 {
    loop {
        let port = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap().port();
        let is_free = |address: SocketAddr| TcpListener::bind(address).is_ok();
        let all = (1..=NODES).all(|node| is_free(bound(node, port)) && is_free(relayed(node, port)));
        if all && !taken.contains(&port) {
            return port;
        }
    }
}

/// Relays the connections to one control process. A connection that was opened before `silences` grew carries nothing any
/// more, and stays open.
fn relay(node: u8, port: u16, silences: &Arc<AtomicU64>, opened_later: &Arc<AtomicU64>) {
    let listener = TcpListener::bind(relayed(node, port)).unwrap();
    let (silences, opened_later) = (Arc::clone(silences), Arc::clone(opened_later));
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(bound(node, port)) else {
                continue;
            };
            let opened = silences.load(Ordering::SeqCst);
            if opened > 0 {
                opened_later.store(opened << 32 | (count_of(opened_later.load(Ordering::SeqCst), opened) + 1), Ordering::SeqCst);
            }
            for (from, to) in [(&client, &server), (&server, &client)] {
                let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                let silences = Arc::clone(&silences);
                thread::spawn(move || copy(from, to, opened, &silences));
            }
        }
    });
}

fn copy(mut from: TcpStream, mut to: TcpStream, opened: u64, silences: &AtomicU64) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer);
        while silences.load(Ordering::SeqCst) > opened {
            thread::sleep(Duration::from_secs(1));
        }
        match read {
            Ok(0) => break,
            Ok(len) if to.write_all(&buffer[..len]).is_ok() => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

/// Returns the number of connections opened after the silence `round`, which `packed` holds for one round.
fn count_of(packed: u64, round: u64) -> u64 {
    if packed >> 32 == round { packed & u64::from(u32::MAX) } else { 0 }
}

/// Sends a request and returns the status and the body of the answer, or `None` without one.
fn call(address: SocketAddr, method: &str, body: &str) -> Option<(u16, String)> {
    let mut socket = TcpStream::connect_timeout(&address, CALL).ok()?;
    socket.set_read_timeout(Some(CALL)).ok()?;
    let len = body.len();
    let request = format!(
        "{method} /config HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {len}\r\n\r\n{body}"
    );
    socket.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    let end = Instant::now() + CALL;
    let mut buffer = [0; 4096];
    while Instant::now() < end {
        match socket.read(&mut buffer) {
            Ok(0) => break,
            Ok(len) => answer.push_str(&String::from_utf8_lossy(&buffer[..len])),
            Err(_) => return None,
        }
    }
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body.to_owned())?;
    Some((status, body))
}

/// The processes that were started, which are killed at the end.
struct Fleet(Vec<Child>);

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn start(command: &str, folder: &Path, node: u8, ports: [u16; 3]) -> Child {
    let [frames, admin, gateway] = ports;
    let voters: Vec<String> = (1..=NODES)
        .map(|voter| {
            format!(
                "{{ node = \"core-{voter}\", domain = \"zone-{voter}\", address = \"{}\", admin = \"{}\" }}",
                relayed(voter, frames),
                bound(voter, admin)
            )
        })
        .collect();
    let settings = format!(
        "node = \"core-{node}\"\ndomain = \"zone-{node}\"\ndata = \"{}\"\nvoters = [{}]\n\n[control]\n\
         address = \"{}\"\nadmin = \"{}\"\ngateway = \"{}\"\npromoter = \"127.0.43.1:9\"\n\n\
         [log]\nformat = \"json\"\nlevel = \"info\"\nrate = \"50/s\"\n",
        folder.join(format!("data-{node}")).display(),
        voters.join(", "),
        bound(node, frames),
        bound(node, admin),
        bound(node, gateway)
    );
    let file = folder.join(format!("core-{node}.toml"));
    std::fs::write(&file, settings).unwrap();
    let log = File::create(folder.join(format!("core-{node}.log"))).unwrap();
    Command::new(command)
        .args(["platform", "control"])
        .env(SETTINGS, &file)
        .stdin(Stdio::null())
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn()
        .unwrap()
}

fn configuration(version: u64) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"lessons\",\"PathPrefix\":\"/\",\
         \"Type\":\"primary\",\"TimeoutMs\":{},\"Service\":\"fleet\"}}],\"Services\":[{{\"Name\":\"fleet\"}}],\
         \"Limits\":{{}}}}",
        800 + version
    )
}

/// Asks for the configuration repeatedly, as at the end of a day. Returns whether it came.
fn read_back(gateway: u16, note: &mut dyn FnMut(String)) -> bool {
    let end = Instant::now() + READ_BACK;
    for node in (1..=NODES).cycle() {
        if Instant::now() >= end {
            break;
        }
        let answer = call(bound(node, gateway), "GET", "");
        let status = answer.as_ref().map_or("nothing".to_owned(), |(status, _)| status.to_string());
        note(format!("operator asks core-{node} for the configuration: {status}"));
        if status == "200" {
            return true;
        }
        thread::sleep(Duration::from_millis(500));
    }
    note("the configuration did not come".to_owned());
    false
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, command, folder, record, trouble] = &arguments[..] else {
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let mut record = File::create(record).unwrap();
    let begun = Instant::now();
    let mut note = |text: String| {
        let _ = writeln!(record, "{:8.3} {text}", begun.elapsed().as_secs_f64());
    };
    let frames = free_port(&[]);
    let admin = free_port(&[frames]);
    let gateway = free_port(&[frames, admin]);
    let silences = Arc::new(AtomicU64::new(0));
    let opened_later: Vec<Arc<AtomicU64>> = (1..=NODES).map(|_| Arc::default()).collect();
    for (node, opened_later) in (1..=NODES).zip(&opened_later) {
        relay(node, frames, &silences, opened_later);
    }
    let ports = [frames, admin, gateway];
    let mut fleet = Fleet(Vec::new());
    for node in 1..=NODES {
        fleet.0.push(start(command, folder, node, ports));
    }
    // Sends a version until it is acknowledged, as an operator does: again to the next process without a clear answer.
    let order = |version: u64, limit: Duration, note: &mut dyn FnMut(String)| {
        let end = Instant::now() + limit;
        for node in (1..=NODES).cycle() {
            if Instant::now() >= end {
                return false;
            }
            let answer = call(bound(node, gateway), "PUT", &configuration(version));
            let status = answer.map_or("nothing".to_owned(), |(status, _)| status.to_string());
            note(format!("operator sends version {version} to core-{node}: {status}"));
            if status == "200" {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    };
    for version in [1, 2] {
        if !order(version, Duration::from_secs(20), &mut note) {
            note("the processes did not start".to_owned());
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_secs(2));
    }
    let (mut version, mut round, mut is_broken) = (2, 0, false);
    while !is_broken && begun.elapsed() < LAST_ROUND {
        round += 1;
        if trouble != "0" {
            note(format!("round {round}: the open connections between the processes go silent; new ones work"));
            silences.fetch_add(1, Ordering::SeqCst);
        }
        thread::sleep(STABLE);
        note("StableMs is over".to_owned());
        version += 1;
        if order(version, ACK + OUTER, &mut note) {
            thread::sleep(Duration::from_secs(1));
            continue;
        }
        note(format!("version {version} was not acknowledged within AckMs and OuterMs"));
        is_broken = !read_back(gateway, &mut note);
    }
    let has_ended = fleet.0.iter_mut().any(|child| !matches!(child.try_wait(), Ok(None)));
    if trouble != "0" {
        for (node, opened) in (1..=NODES).zip(&opened_later) {
            let opened = count_of(opened.load(Ordering::SeqCst), silences.load(Ordering::SeqCst));
            note(format!("connections to core-{node} opened after the last silence: {opened}; 2 processes need one"));
        }
    }
    if has_ended {
        note("a process has ended by itself".to_owned());
    }
    note(if is_broken { "broken".to_owned() } else { "held".to_owned() });
    if is_broken { ExitCode::from(1) } else { ExitCode::SUCCESS }
}
