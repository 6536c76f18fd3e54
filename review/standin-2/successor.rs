//! Runs three control processes, two proxies, the three instances of a service, the platform that promotes them, and
//! clients. The primary crashes for some seconds, and the replica that control has chosen in its place is lost.
//!
//! Usage: successor COMMAND FOLDER RECORD TROUBLE

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONTROLS: u8 = 3;
const PROXIES: u8 = 2;
const INSTANCES: usize = 3;
const CLIENTS: usize = 8;

/// The primary at the start, the replica that is chosen in its place, and the one that receives nothing for a while.
const PRIMARY: usize = 0;
const SUCCESSOR: usize = 1;
const BEHIND: usize = 2;

/// How long the platform takes to promote an instance.
const PROMOTE: Duration = Duration::from_millis(600);

/// How long after the platform was asked to promote the successor that is lost.
const LOST_AFTER: Duration = Duration::from_millis(200);

/// How long the primary is down, and how long a replica receives nothing: less than the sites allow.
const CRASH: Duration = Duration::from_millis(5_000);
const DEAF: Duration = Duration::from_millis(6_000);

/// `Bounds.RecoverS` of the small deployments.
const RECOVER: Duration = Duration::from_secs(12);

/// How long requests are counted before the disruption and after the bound.
const COUNTED: Duration = Duration::from_secs(5);
const COUNTED_AFTER: Duration = Duration::from_secs(20);

const BEAT: Duration = Duration::from_millis(1_200);
const SERVICE: &str = "fleet";
const DATABASE: &str = "lessons";

// Names of the platform's messages.
const SETTINGS: &str = concat!("CACTUSHATCH_", "CONFIG");
const WRONG_INSTANCE: &str = concat!("MIS", "ROUTED");
const NO_WRITES: &str = concat!("READ", "ONLY");
const COPIES: &str = concat!("Sync", "Count");
const CONNECTIONS: &str = concat!("Max", "Conns");
const WARMUP: &str = concat!("Cold", "LeftMs");
const ROLE: &str = concat!("Db", "Role");
const TARGET: &str = concat!("Target", "LatencyMs");
const IDLE: &str = concat!("Tx", "IdleMs");

fn address(net: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, net, host), port).into()
}

#[derive(Clone)]
struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn note(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.begun.elapsed().as_secs_f64());
    }
}

/// An instance. Its log is the list of the terms of its commits, so its position is the last term and the length.
struct Instance {
    is_alive: bool,
    is_deaf: bool,
    is_primary: bool,
    term: u64,
    held: u64,
    log: Vec<u64>,
    sockets: Vec<TcpStream>,
}

impl Instance {
    fn position(&self) -> String {
        format!("{}.{}", self.log.last().unwrap_or(&1), self.log.len())
    }

    fn row(&self) -> String {
        let role = if self.is_primary { "primary" } else { "replica" };
        let (term, held, connections) = (self.term, self.held, self.sockets.len());
        format!("ROW {role} {term} {} {held} 0 0 {connections}\r\n", self.position())
    }
}

type Group = Arc<Mutex<Vec<Instance>>>;

fn id(at: usize) -> String {
    format!("i-{at}")
}

/// Lets the replicas that receive take over the log of the primary of the highest term.
fn replicate(group: &mut [Instance]) {
    let leads = |instance: &&Instance| instance.is_alive && instance.is_primary;
    let Some((term, log)) =
        group.iter().filter(leads).max_by_key(|i| i.term).map(|i| (i.term, i.log.clone()))
    else {
        return;
    };
    for instance in group.iter_mut().filter(|i| i.is_alive && i.term <= term) {
        if instance.is_primary && instance.term < term {
            instance.is_primary = false;
        }
        if !instance.is_primary && !instance.is_deaf && instance.held <= instance.term {
            instance.term = term;
            instance.log.clone_from(&log);
        }
    }
}

fn serve_instance(group: Group, at: usize, address: SocketAddr) {
    let number = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        let mut listener: Option<TcpListener> = None;
        loop {
            let is_alive = group.lock().unwrap()[at].is_alive;
            match (&listener, is_alive) {
                (None, true) => {
                    listener = TcpListener::bind(address).ok();
                    if let Some(listener) = &listener {
                        listener.set_nonblocking(true).unwrap();
                    }
                }
                (Some(_), false) => listener = None,
                _ => {}
            }
            let accepted = listener.as_ref().map(TcpListener::accept);
            let Some(Ok((socket, _))) = accepted else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            socket.set_nonblocking(false).unwrap();
            let _ = socket.set_nodelay(true);
            group.lock().unwrap()[at].sockets.push(socket.try_clone().unwrap());
            let (group, number) = (Arc::clone(&group), Arc::clone(&number));
            thread::spawn(move || {
                let _ = serve_connection(&group, at, &socket, &number);
                let peer = socket.peer_addr().ok();
                let _ = socket.shutdown(Shutdown::Both);
                group.lock().unwrap()[at].sockets.retain(|s| s.peer_addr().ok() != peer);
            });
        }
    });
}

fn serve_connection(
    group: &Group,
    at: usize,
    mut socket: &TcpStream,
    number: &AtomicU64,
) -> std::io::Result<()> {
    let mut reader = BufReader::new(socket.try_clone()?);
    let mut line = String::new();
    let mut state = "I";
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.trim_end_matches("\r\n").split(' ').collect();
        if words[0] == "BYE" {
            return Ok(());
        }
        if words[0] == "CONNECT" {
            let is_right = words.get(1) == Some(&SERVICE)
                && words.get(3).is_none_or(|named| *named == id(at));
            let position = group.lock().unwrap()[at].position();
            if !is_right {
                socket.write_all(format!("ERR {WRONG_INSTANCE} {}\r\n", id(at)).as_bytes())?;
                return Ok(());
            }
            socket.write_all(format!("READY I {position}\r\n").as_bytes())?;
            continue;
        }
        let mut text = &words[2..];
        let mut after = None;
        if text.first() == Some(&"AFTER") {
            after = text[1].split_once('.').map(|(t, n)| (t.parse().unwrap(), n.parse().unwrap()));
            text = &text[2..];
        }
        let signature = format!("{at}.{}", number.fetch_add(1, Ordering::SeqCst));
        let mut committed = None;
        let mut answer = {
            let mut group = group.lock().unwrap();
            let instance = &mut group[at];
            let number = text.get(1).and_then(|word| word.parse::<u64>().ok()).unwrap_or(0);
            let lacks = after.is_some_and(|(t, n): (u64, usize)| {
                let own = (*instance.log.last().unwrap_or(&1), instance.log.len());
                own < (t, n)
            });
            match text[0] {
                "STATUS" => format!("{}DONE -\r\n", instance.row()),
                "PAUSE" => {
                    if !instance.is_primary && number > instance.term {
                        instance.held = number;
                    }
                    format!("{}DONE -\r\n", instance.row())
                }
                "RESUME" => {
                    instance.held = 0;
                    format!("{}DONE -\r\n", instance.row())
                }
                "DEMOTE" => {
                    if instance.term < number {
                        instance.is_primary = false;
                    }
                    format!("{}DONE -\r\n", instance.row())
                }
                "RESET" | "SET" | "PREPARE" | concat!("DEAL", "LOC") => "DONE -\r\n".to_owned(),
                _ if lacks => "ERR LAGGING behind\r\n".to_owned(),
                "FETCH" => format!("ROW {}\r\nDONE {signature}\r\n", instance.log.len()),
                "BEGIN" => {
                    state = "T";
                    "DONE -\r\n".to_owned()
                }
                "ROLLBACK" => {
                    state = "I";
                    "DONE -\r\n".to_owned()
                }
                "PUT" if instance.is_primary => {
                    let term = instance.term;
                    instance.log.push(term);
                    committed = Some(instance.log.len());
                    format!("DONE {signature}\r\n")
                }
                "PUT" => format!("ERR {NO_WRITES} {}\r\n", id(at)),
                _ => "ERR MALFORMED not known here\r\n".to_owned(),
            }
        };
        // A commit is acknowledged once a replica has received it.
        while let Some(len) = committed {
            let mut group = group.lock().unwrap();
            if !group[at].is_alive || !group[at].is_primary {
                return Ok(());
            }
            replicate(&mut group);
            let term = group[at].term;
            let holds = |other: &Instance| other.is_alive && other.term == term && other.log.len() >= len;
            if group.iter().enumerate().any(|(other, i)| other != at && holds(i)) {
                committed = None;
            } else {
                drop(group);
                thread::sleep(Duration::from_millis(5));
            }
        }
        let position = group.lock().unwrap()[at].position();
        answer.push_str(&format!("READY {state} {position}\r\n"));
        socket.write_all(answer.as_bytes())?;
    }
}

/// Ends the process of an instance: its connections are reset, and nothing listens any more.
fn crash(group: &Group, at: usize) {
    let mut group = group.lock().unwrap();
    group[at].is_alive = false;
    for socket in group[at].sockets.drain(..) {
        let _ = socket.shutdown(Shutdown::Both);
    }
}

/// Starts an instance again with its log: as a replica if another one was promoted meanwhile.
fn come_back(group: &Group, at: usize) {
    let mut group = group.lock().unwrap();
    let newest = group.iter().map(|i| i.term).max().unwrap_or(1);
    let instance = &mut group[at];
    instance.held = 0;
    instance.is_primary &= instance.term == newest;
    instance.is_alive = true;
}

fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let wait = Duration::from_secs(1);
    let mut socket = TcpStream::connect_timeout(&address, wait).ok()?;
    socket.set_read_timeout(Some(wait)).ok()?;
    let len = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {len}\r\n\r\n{body}"
    );
    socket.write_all(head.as_bytes()).ok()?;
    let mut answer = [0; 12];
    socket.read_exact(&mut answer).ok()?;
    std::str::from_utf8(&answer[9..]).ok()?.parse().ok()
}

/// Sends the heartbeats of an instance. After a restart its start time is another one, and their numbers start anew.
fn send_beats(group: Group, at: usize, own: SocketAddr, gateways: Vec<SocketAddr>) {
    thread::spawn(move || {
        let mut next = at;
        let (mut born, mut sequence) = (unix_ms(), 0);
        loop {
            let (is_alive, is_primary) = {
                let group = group.lock().unwrap();
                (group[at].is_alive, group[at].is_primary)
            };
            if is_alive {
                sequence += 1;
                let role = if is_primary { "primary" } else { "replica" };
                let body = format!(
                    "{{\"Service\":\"{SERVICE}\",\"Addr\":\"{own}\",\"Zone\":\"zone-{}\",\"Version\":\"v1\",\
                     \"Slots\":4,\"State\":\"ready\",\"{WARMUP}\":0,\"{ROLE}\":\"{role}\",\"Seq\":{sequence},\
                     \"born\":{born}}}",
                    at + 1
                );
                let path = format!("/instances/{}", id(at));
                if call(gateways[next % gateways.len()], "PUT", &path, &body) != Some(200) {
                    next += 1;
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
                thread::sleep(BEAT);
            } else {
                thread::sleep(Duration::from_millis(20));
                (born, sequence) = (unix_ms(), 0);
            }
        }
    });
}

fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis())
}

/// The platform: promotes an instance that runs some time after it was asked to.
fn serve_platform(address: SocketAddr, group: Group, record: Record, asked: Arc<AtomicBool>) {
    let listener = TcpListener::bind(address).unwrap();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (group, record, asked) = (Arc::clone(&group), record.clone(), Arc::clone(&asked));
            thread::spawn(move || answer_promotion(socket, &group, &record, &asked));
        }
    });
}

fn answer_promotion(socket: TcpStream, group: &Group, record: &Record, asked: &AtomicBool) {
    let mut reader = BufReader::new(&socket);
    let mut len = 0;
    loop {
        let mut line = String::new();
        if !reader.read_line(&mut line).is_ok_and(|read| read > 0) {
            return;
        }
        if line == "\r\n" {
            break;
        }
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            len = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; len];
    if reader.read_exact(&mut body).is_err() {
        return;
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let named = (0..INSTANCES).find(|at| body.contains(&format!("\"{}\"", id(*at))));
    let runs = named.filter(|at| group.lock().unwrap()[*at].is_alive);
    let status = if runs.is_some() { "200 OK" } else { "409 Conflict" };
    record.note(&format!("the platform is asked to promote {body}: {status}"));
    let _ = (&socket)
        .write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
    let Some(at) = runs else { return };
    asked.store(true, Ordering::SeqCst);
    thread::sleep(PROMOTE);
    let mut group = group.lock().unwrap();
    let newest = group.iter().map(|i| i.term).max().unwrap_or(1);
    let instance = &mut group[at];
    if instance.is_alive && !instance.is_primary {
        (instance.is_primary, instance.term, instance.held) = (true, newest + 1, 0);
        record.note(&format!("{} leads term {}", id(at), newest + 1));
    }
}

/// When each request was sent, and whether it was served.
type Requests = Arc<Mutex<Vec<(Instant, bool)>>>;

fn run_client(number: usize, proxies: Vec<SocketAddr>, requests: Requests, reasons: Reasons) {
    thread::spawn(move || {
        let mut attempt = number;
        loop {
            attempt += 1;
            let begun = Instant::now();
            let opened = open_session(proxies[attempt % proxies.len()]);
            let Some(mut session) = opened else {
                requests.lock().unwrap().push((begun, false));
                thread::sleep(Duration::from_millis(200));
                continue;
            };
            let mut statement = 0;
            loop {
                statement += 1;
                let text = if statement % 2 == 0 { "PUT item data" } else { "FETCH item" };
                let sent = Instant::now();
                let answer = query(&mut session, &format!("c{number}-{attempt}-{statement}"), text);
                let is_served = answer.as_ref().is_some_and(|answer| answer.starts_with("DONE "));
                requests.lock().unwrap().push((sent, is_served));
                let reason = answer.unwrap_or_else(|| "no answer".to_owned());
                if !is_served {
                    reasons.lock().unwrap().push((sent, reason.clone()));
                }
                if reason == "no answer" {
                    break;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
    });
}

type Reasons = Arc<Mutex<Vec<(Instant, String)>>>;

fn open_session(proxy: SocketAddr) -> Option<BufReader<TcpStream>> {
    let socket = TcpStream::connect_timeout(&proxy, Duration::from_secs(1)).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let mut session = BufReader::new(socket);
    session.get_mut().write_all(format!("CONNECT {DATABASE} u\r\n").as_bytes()).ok()?;
    let mut line = String::new();
    session.read_line(&mut line).ok()?;
    line.starts_with("READY").then_some(session)
}

/// Sends a statement and returns the line with its result.
fn query(session: &mut BufReader<TcpStream>, id: &str, text: &str) -> Option<String> {
    session.get_mut().write_all(format!("QUERY {id} {text}\r\n").as_bytes()).ok()?;
    let mut result = None;
    loop {
        let mut line = String::new();
        if session.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.starts_with("READY") {
            return result;
        }
        if !line.starts_with("ROW") {
            result = Some(line.trim_end().to_owned());
        }
    }
}

struct Fleet {
    command: String,
    folder: PathBuf,
    ports: [u16; 6],
    children: Vec<Child>,
}

impl Fleet {
    fn start(&mut self, first: bool) {
        let [frames, admin, gateway, listen, ready, platform] = self.ports;
        let hosts: Vec<String> =
            (1..=CONTROLS).map(|n| format!("\"{}\"", address(61, n, gateway))).collect();
        let seeds = format!(
            "[seeds]\nhosts = [{}]\nport = {frames}\nfirst_start = {first}\nlosses = 1\n",
            hosts.join(", ")
        );
        let log = "[log]\nformat = \"json\"\nlevel = \"info\"\nrate = \"50/s\"\n";
        for n in 1..=CONTROLS {
            let data = self.folder.join(format!("data-{n}"));
            let own = format!(
                "[control]\naddress = \"{}\"\nadmin = \"{}\"\ngateway = \"{}\"\npromoter = \"{}\"\n",
                address(61, n, frames),
                address(61, n, admin),
                address(61, n, gateway),
                address(64, 1, platform)
            );
            let head = format!(
                "node = \"core-{n}\"\ndomain = \"zone-{n}\"\ndata = \"{}\"\n",
                data.display()
            );
            self.spawn("control", &format!("core-{n}"), &format!("{head}\n{seeds}\n{own}\n{log}"));
        }
        for n in 1..=PROXIES {
            let own = format!(
                "[proxy]\nlisten = \"{}\"\nready = \"{}\"\naddress = \"{}\"\nadmin = \"{}\"\ngrace = \"6s\"\n\
                 placement = \"estimated\"\nscheduling = \"objective\"\n",
                address(62, n, listen),
                address(62, n, ready),
                address(62, n, frames),
                address(62, n, admin)
            );
            let head = format!("node = \"edge-{n}\"\ndomain = \"zone-{n}\"\n");
            self.spawn("proxy", &format!("edge-{n}"), &format!("{head}\n{seeds}\n{own}\n{log}"));
        }
    }

    fn spawn(&mut self, role: &str, name: &str, settings: &str) {
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .unwrap();
        let child = Command::new(&self.command)
            .args(["platform", role])
            .env(SETTINGS, &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .unwrap();
        self.children.push(child);
    }

    fn kill(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
        }
        for mut child in self.children.drain(..) {
            let _ = child.wait();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_ports() -> [u16; 6] {
    let mut ports = [0; 6];
    let mut at = 0;
    while at < ports.len() {
        let port = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap().port();
        let all = (61..=64).flat_map(|net| (1..=3).map(move |host| address(net, host, port)));
        if !ports.contains(&port) && all.into_iter().all(|a| TcpListener::bind(a).is_ok()) {
            ports[at] = port;
            at += 1;
        }
    }
    ports
}

/// Returns how many requests were sent in a span, and how many of these were served.
fn count(requests: &Requests, from: Instant, to: Instant) -> (usize, usize) {
    let requests = requests.lock().unwrap();
    let counted = requests.iter().filter(|(sent, _)| *sent >= from && *sent < to);
    counted.fold((0, 0), |(all, served), (_, is_served)| (all + 1, served + usize::from(*is_served)))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, command, folder, file, trouble] = &arguments[..] else {
        return ExitCode::from(2);
    };
    let file = Arc::new(Mutex::new(File::create(file).unwrap()));
    let record = Record { begun: Instant::now(), file };
    let ports = free_ports();
    let [_, _, gateway, listen, _, platform] = ports;
    let group: Group = Arc::new(Mutex::new(
        (0..INSTANCES)
            .map(|at| Instance {
                is_alive: true,
                is_deaf: false,
                is_primary: at == PRIMARY,
                term: 1,
                held: 0,
                log: vec![1],
                sockets: Vec::new(),
            })
            .collect(),
    ));
    let gateways: Vec<SocketAddr> = (1..=CONTROLS).map(|n| address(61, n, gateway)).collect();
    let asked = Arc::new(AtomicBool::new(false));
    serve_platform(address(64, 1, platform), Arc::clone(&group), record.clone(), Arc::clone(&asked));
    for at in 0..INSTANCES {
        let own = address(63, at as u8 + 1, listen);
        serve_instance(Arc::clone(&group), at, own);
        send_beats(Arc::clone(&group), at, own, gateways.clone());
    }
    {
        let group = Arc::clone(&group);
        thread::spawn(move || loop {
            replicate(&mut group.lock().unwrap());
            thread::sleep(Duration::from_millis(8));
        });
    }
    let mut fleet = Fleet {
        command: command.clone(),
        folder: Path::new(folder).to_owned(),
        ports,
        children: Vec::new(),
    };
    fleet.start(true);
    let configuration = format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{DATABASE}\",\"PathPrefix\":\"/\",\
         \"Type\":\"primary\",\"TimeoutMs\":800,\"{TARGET}\":200,\"Priority\":1,\"Service\":\"{SERVICE}\",\
         \"Attempts\":2}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"{CONNECTIONS}\":28,\"{COPIES}\":1}}],\
         \"Limits\":{{\"{IDLE}\":3000}}}}"
    );
    let limit = Instant::now() + Duration::from_secs(15);
    while !gateways.iter().any(|to| call(*to, "PUT", "/config", &configuration) == Some(200)) {
        if Instant::now() >= limit {
            record.note("the configuration is not acknowledged");
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.note("the configuration is acknowledged");
    thread::sleep(Duration::from_secs(5));
    let (requests, reasons) = (Requests::default(), Reasons::default());
    let proxies: Vec<SocketAddr> = (1..=PROXIES).map(|n| address(62, n, listen)).collect();
    for number in 0..CLIENTS {
        run_client(number, proxies.clone(), Arc::clone(&requests), Arc::clone(&reasons));
    }
    thread::sleep(Duration::from_secs(1));
    let from = Instant::now();
    thread::sleep(COUNTED);
    let before = count(&requests, from, Instant::now());
    record.note(&format!("before: {} of {} requests served", before.1, before.0));
    let positions = |text: &str| {
        let group = group.lock().unwrap();
        let all: Vec<String> = group
            .iter()
            .enumerate()
            .map(|(at, i)| {
                let role = if i.is_primary { "primary" } else { "replica" };
                let (alive, held) = (if i.is_alive { "up" } else { "down" }, i.held);
                format!("{} {alive} {role} term {} at {} held {held}", id(at), i.term, i.position())
            })
            .collect();
        record.note(&format!("{text}: {}", all.join("; ")));
    };
    let mut back = Instant::now();
    if trouble != "0" {
        let deaf_until = Instant::now() + DEAF;
        group.lock().unwrap()[BEHIND].is_deaf = true;
        record.note(&format!("{} receives nothing for {DEAF:?}", id(BEHIND)));
        thread::sleep(Duration::from_millis(1_500));
        positions("state");
        asked.store(false, Ordering::SeqCst);
        crash(&group, PRIMARY);
        let crashed = Instant::now();
        record.note(&format!("{} crashes for {CRASH:?}", id(PRIMARY)));
        while !asked.load(Ordering::SeqCst) {
            if crashed.elapsed() > CRASH {
                record.note("the platform was not asked to promote an instance");
                return ExitCode::from(2);
            }
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(LOST_AFTER);
        crash(&group, SUCCESSOR);
        record.note(&format!("{} is lost for good", id(SUCCESSOR)));
        thread::sleep(Duration::from_millis(300));
        fleet.kill();
        record.note("final fault: all processes are killed");
        thread::sleep(Duration::from_millis(800));
        fleet.start(false);
        record.note("all processes are started again");
        thread::sleep(CRASH.saturating_sub(crashed.elapsed()));
        come_back(&group, PRIMARY);
        record.note(&format!("{} is back under its id with its log", id(PRIMARY)));
        thread::sleep(deaf_until.saturating_duration_since(Instant::now()));
        group.lock().unwrap()[BEHIND].is_deaf = false;
        record.note(&format!("{} could receive again", id(BEHIND)));
        back = Instant::now();
    }
    thread::sleep(RECOVER.saturating_sub(back.elapsed()));
    let from = Instant::now();
    positions("RecoverS after the last one is back");
    thread::sleep(COUNTED_AFTER);
    let after = count(&requests, from, Instant::now());
    positions("at the end");
    record.note(&format!("after: {} of {} requests served", after.1, after.0));
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    for (_, reason) in reasons.lock().unwrap().iter().filter(|(sent, _)| *sent >= from) {
        let reason = reason.split(';').next().unwrap_or_default().to_owned();
        *seen.entry(reason).or_default() += 1;
    }
    seen.iter().for_each(|(reason, count)| record.note(&format!("{count} times {reason}")));
    if before.1 * 4 < before.0 || before.0 < 20 {
        record.note("too little was served before the disruption");
        return ExitCode::from(2);
    }
    let is_broken = after.1 * 4 < after.0;
    record.note(if is_broken { "broken" } else { "held" });
    if is_broken { ExitCode::from(1) } else { ExitCode::SUCCESS }
}
