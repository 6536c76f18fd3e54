//! Stand-ins for the scripts in review/: instances of one service, the service that promotes them, the operator and
//! clients. Starts the project's programs with the commands and the templates of the deploy file. Uses std only.
//! Usage: standin SCENARIO FOLDER; exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SERVICE: &str = "books";
const PROMOTE_MS: u64 = 600;
const CONTROLS: [u8; 3] = [11, 12, 13];
const PROXIES: [u8; 3] = [21, 22, 23];
const INSTANCES: [u8; 3] = [31, 32, 33];
/// The hosts on which control processes reach the platform, each by a path of its own.
const PATHS: [u8; 3] = [61, 62, 63];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Reads a line, which ends at CR LF and nowhere else. A line that the end of the connection cuts off is none.
fn read_line(input: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        if input.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
    }
    line.truncate(line.len() - 2);
    Some(String::from_utf8_lossy(&line).into_owned())
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Writes record.txt.
#[derive(Clone)]
struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// One start of an instance at an address.
struct Instance {
    id: String,
    address: SocketAddr,
    born: u64,
    up: bool,
    primary: bool,
    paused: bool,
    term: u64,
    log: Vec<(u64, String, String)>,
    sockets: Vec<TcpStream>,
}

struct Service {
    state: Mutex<Vec<Instance>>,
    changed: Condvar,
    controls: Vec<SocketAddr>,
    record: Record,
    counter: Mutex<u64>,
    /// The fencing tokens of the orders, in the order in which the platform got them.
    tokens: Mutex<Vec<u64>>,
    /// Whether the paths to the platform are cut.
    cut: [AtomicBool; 3],
}

struct Session {
    connection: u64,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (String, String)>,
    transaction: Option<(u64, Vec<(String, String)>, bool)>,
}

fn position(log: &[(u64, String, String)]) -> String {
    log.last().map_or("1.0".into(), |(term, ..)| format!("{term}.{}", log.len()))
}

fn parse_position(text: &str) -> (u64, u64) {
    let (term, number) = text.split_once('.').unwrap_or(("0", "0"));
    (term.parse().unwrap_or(0), number.parse().unwrap_or(0))
}

/// Copies the log of the newest primary to the replicas that receive. Returns how many hold all of it.
fn replicate(state: &mut [Instance]) -> usize {
    let primary = state.iter().filter(|i| i.up && i.primary).max_by_key(|i| i.term);
    let Some((log, term)) = primary.map(|i| (i.log.clone(), i.term)) else { return 0 };
    let mut count = 0;
    for replica in state.iter_mut().filter(|i| i.up && !i.primary && !i.paused) {
        replica.log.clone_from(&log);
        replica.term = term;
        count += 1;
    }
    count
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Vec<Instance>> {
        self.state.lock().unwrap()
    }

    fn number(&self) -> u64 {
        let mut counter = self.counter.lock().unwrap();
        *counter += 1;
        *counter
    }

    /// Starts an instance: its listener and its heartbeats.
    fn start(self: &Arc<Self>, id: &str, address: SocketAddr, primary: bool, term: u64, log: Vec<(u64, String, String)>) {
        let born = unix_ms();
        let listener = (0..100).find_map(|_| {
            TcpListener::bind(address).map_err(|_| sleep(ms(10))).ok()
        });
        let listener = listener.expect("the address of an instance is free");
        self.record.note(&format!("instance {id} starts at {address} as {}", if primary { "primary" } else { "replica" }));
        let index = {
            let mut state = self.lock();
            state.push(Instance { id: id.into(), address, born, up: true, primary, paused: false, term, log, sockets: vec![] });
            replicate(&mut state);
            state.len() - 1
        };
        self.changed.notify_all();
        let service = Arc::clone(self);
        spawn(move || {
            listener.set_nonblocking(true).unwrap();
            while service.lock()[index].up {
                match listener.accept() {
                    Ok((socket, _)) => {
                        socket.set_nonblocking(false).unwrap();
                        let _ = socket.set_nodelay(true);
                        service.lock()[index].sockets.push(socket.try_clone().unwrap());
                        let service = Arc::clone(&service);
                        spawn(move || service.serve(index, socket));
                    }
                    Err(_) => sleep(ms(1)),
                }
            }
        });
        let service = Arc::clone(self);
        spawn(move || service.beat(index));
    }

    /// Ends an instance as a crash does: its listener and connections close.
    fn crash(&self, id: &str) {
        let mut state = self.lock();
        for instance in state.iter_mut().filter(|i| i.id == id && i.up) {
            instance.up = false;
            for socket in instance.sockets.drain(..) {
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
        drop(state);
        self.record.note(&format!("instance {id} crashes"));
        self.changed.notify_all();
    }

    /// Sends heartbeats: to one control process, and to the next one where it isn't acknowledged.
    fn beat(&self, index: usize) {
        let mut sequence = 0;
        let mut next = index;
        loop {
            let (path, body) = {
                let state = self.lock();
                let i = &state[index];
                if !i.up {
                    return;
                }
                sequence += 1;
                let role = if i.primary { "primary" } else { "replica" };
                let (cold, kind) = (concat!("ColdLeft", "Ms"), concat!("Db", "Role"));
                let body = format!(
                    "{{\"Service\":\"{SERVICE}\",\"Addr\":\"{}\",\"Zone\":\"lv-riga\",\"Version\":\"v1\",\"Slots\":2,\
                     \"State\":\"ready\",\"{cold}\":0,\"{kind}\":\"{role}\",\"Seq\":{sequence},\"born\":{}}}",
                    i.address, i.born
                );
                (format!("PUT /instances/{}", i.id), body)
            };
            let acknowledged = (0..self.controls.len()).any(|_| {
                let status = http(self.controls[next % self.controls.len()], &path, &body).map(|(status, _)| status);
                next += usize::from(status != Some(200));
                status == Some(200)
            });
            if acknowledged && sequence == 1 {
                self.record.note(&format!("{path} acknowledged for the first time"));
            }
            sleep(if acknowledged { ms(1200) } else { ms(50) });
        }
    }

    fn serve(&self, index: usize, socket: TcpStream) {
        let connection = self.number();
        let mut session = Session { connection, values: BTreeMap::new(), prepared: BTreeMap::new(), transaction: None };
        let mut lines = BufReader::new(socket.try_clone().unwrap());
        let mut socket = socket;
        while let Some(text) = read_line(&mut lines) {
            if !self.lock()[index].up {
                break;
            }
            let words: Vec<&str> = text.splitn(4, ' ').collect();
            let answer = match words[0] {
                "CONNECT" => {
                    let state = self.lock();
                    let i = &state[index];
                    if words.get(1) != Some(&SERVICE) || words.get(3).is_some_and(|id| *id != i.id) {
                        let _ = socket.write_all(concat!("ERR MIS", "ROUTED -\r\n").as_bytes());
                        break;
                    }
                    format!("READY I {}\r\n", position(&i.log))
                }
                "QUERY" => {
                    let (id, text) = text[6..].split_once(' ').unwrap_or(("-", ""));
                    let (rows, result) = self.execute(index, &mut session, id, text);
                    let state = match &session.transaction {
                        None => "I",
                        Some((.., false)) => "T",
                        Some((.., true)) => "E",
                    };
                    let result = result.map_or_else(|code| format!("ERR {code} -\r\n"), |s| format!("DONE {s}\r\n"));
                    let rows: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
                    format!("{rows}{result}READY {state} {}\r\n", position(&self.lock()[index].log))
                }
                _ => break,
            };
            if !self.lock()[index].up || socket.write_all(answer.as_bytes()).is_err() {
                break;
            }
        }
        if let Some((number, ..)) = session.transaction {
            self.record.note(&format!("transaction {number} ends with its connection"));
        }
    }

    fn execute(&self, index: usize, session: &mut Session, id: &str, text: &str) -> (Vec<String>, Result<String, String>) {
        let mut state = self.lock();
        let read_only = || Err(concat!("READ", "ONLY").to_owned());
        let (mark, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').map_or((None, rest), |(mark, text)| (Some(mark), text)),
            None => (None, text),
        };
        if mark.is_some_and(|mark| parse_position(mark) > parse_position(&position(&state[index].log))) {
            return (vec![], Err("LAGGING".into()));
        }
        let name = state[index].id.clone();
        let words: Vec<&str> = text.split(' ').collect();
        let failed = matches!(session.transaction, Some((.., true)));
        if failed && words[0] != "ROLLBACK" {
            return (vec![], Err("MALFORMED".into()));
        }
        let run = match words.as_slice() {
            ["EXEC", statement, rest @ ..] => match session.prepared.get(*statement) {
                Some((verb, _)) => [&[verb.as_str()], rest].concat().join(" "),
                None => {
                    if let Some(transaction) = &mut session.transaction {
                        transaction.2 = true;
                    }
                    return (vec![], Err("NOSTMT".into()));
                }
            },
            _ => text.to_owned(),
        };
        let words: Vec<&str> = run.split(' ').collect();
        let note = |session: &Session, kind: &str| {
            let transaction = session.transaction.as_ref().map_or("-".to_owned(), |(n, ..)| n.to_string());
            self.record.note(&format!(
                "{name} {kind} connection={} transaction={transaction} id={id} text={text}",
                session.connection
            ));
        };
        let signature = Ok(format!("sig.{name}.{id}"));
        match words.as_slice() {
            ["STATUS"] | ["PAUSE", _] | ["RESUME"] | ["DEMOTE", _] => {
                match words.as_slice() {
                    ["PAUSE", term] if term.parse().unwrap_or(0) > state[index].term && !state[index].primary => {
                        state[index].paused = true;
                    }
                    ["RESUME"] => state[index].paused = false,
                    ["DEMOTE", term] if term.parse().unwrap_or(0) > state[index].term => state[index].primary = false,
                    _ => {}
                }
                replicate(&mut state);
                self.changed.notify_all();
                let i = &state[index];
                let role = if i.primary { "primary" } else { "replica" };
                (vec![format!("{role} {} {} 0 0 0 1", i.term, position(&i.log))], Ok("-".into()))
            }
            ["RESET"] => {
                session.values.clear();
                session.prepared.clear();
                (vec![], Ok("-".into()))
            }
            ["SET", key, value @ ..] => {
                session.values.insert((*key).into(), value.join(" "));
                (vec![], Ok("-".into()))
            }
            ["PREPARE", key, verb, shape @ ..] if !shape.is_empty() => {
                session.prepared.insert((*key).into(), ((*verb).into(), shape.join(" ")));
                (vec![], Ok("-".into()))
            }
            ["BEGIN"] if !state[index].primary => (vec![], read_only()),
            ["BEGIN"] | ["BEGIN", "FETCH"] => {
                session.transaction = Some((self.number(), vec![], false));
                note(session, "begins");
                (vec![], Ok("-".into()))
            }
            ["ROLLBACK"] => {
                note(session, "rolls back");
                session.transaction = None;
                (vec![], Ok("-".into()))
            }
            ["FETCH", item, ..] => {
                let row = state[index].log.iter().rev().find(|(_, known, _)| known == item);
                (vec![row.map_or("nothing".into(), |(.., data)| data.clone())], signature)
            }
            ["PUT", ..] if !state[index].primary => (vec![], read_only()),
            ["PUT", item, data @ ..] => {
                note(session, "runs");
                let write = ((*item).to_owned(), data.join(" "));
                match &mut session.transaction {
                    Some((_, writes, _)) => writes.push(write),
                    None => self.commit(state, index, vec![write]),
                }
                (vec![], signature)
            }
            ["COMMIT"] => {
                note(session, "commits");
                let writes = session.transaction.take().map(|(_, writes, _)| writes).unwrap_or_default();
                if !writes.is_empty() {
                    if !state[index].primary {
                        return (vec![], read_only());
                    }
                    self.commit(state, index, writes);
                }
                (vec![], signature)
            }
            _ => (vec![], Err("MALFORMED".into())),
        }
    }

    /// Commits, and waits until a replica has received the commit.
    fn commit(&self, mut state: MutexGuard<'_, Vec<Instance>>, index: usize, writes: Vec<(String, String)>) {
        let term = state[index].term;
        state[index].log.extend(writes.into_iter().map(|(item, data)| (term, item, data)));
        while replicate(&mut state) == 0 && state[index].up {
            state = self.changed.wait_timeout(state, ms(50)).unwrap().0;
        }
    }

    fn primary(&self) -> Option<String> {
        let state = self.lock();
        state.iter().filter(|i| i.up && i.primary).max_by_key(|i| i.term).map(|i| i.id.clone())
    }

    /// Answers orders to promote.
    fn serve_platform(self: &Arc<Self>, listener: TcpListener, path: usize) {
        loop {
            // A cut path takes no connections: its queue is full, so that the opening packets of others are dropped.
            while self.cut[path].load(Ordering::SeqCst) {
                sleep(ms(2));
            }
            let Ok((socket, _)) = listener.accept() else { continue };
            let service = Arc::clone(self);
            spawn(move || {
                let mut socket = socket;
                let Some((head, body)) = read_http(&mut socket) else { return };
                let id = body.split("\"Id\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or("").to_owned();
                let up = service.lock().iter().any(|i| i.id == id && i.up);
                let field = |name: &str| {
                    let line = head.lines().find(|line| line.to_lowercase().starts_with(name));
                    line.and_then(|line| line.split(": ").nth(1)).unwrap_or("").to_owned()
                };
                let (holder, token) = (field("holder:"), field("fence-"));
                let number: u64 = token.parse().unwrap_or(0);
                service.tokens.lock().unwrap().push(number);
                service.record.note(&format!("platform gets an order of {holder} with token {token} to promote {id}"));
                let status = if up { "200 OK" } else { "409 Conflict" };
                let _ = write!(socket, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                let leads = service.primary().as_deref() == Some(&id);
                if !up || leads {
                    return;
                }
                sleep(ms(PROMOTE_MS));
                let mut state = service.lock();
                let term = state.iter().map(|i| i.term).max().unwrap_or(0) + 1;
                if let Some(new) = state.iter().position(|i| i.id == id && i.up) {
                    for i in state.iter_mut() {
                        (i.primary, i.paused) = (false, false);
                    }
                    (state[new].primary, state[new].term) = (true, term);
                    replicate(&mut state);
                    service.record.note(&format!("instance {id} leads term {term}"));
                }
                drop(state);
                service.changed.notify_all();
            });
        }
    }
}

fn read_http(socket: &mut TcpStream) -> Option<(String, String)> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let lower = head.to_lowercase();
            let length = lower.split("content-length:").nth(1).and_then(|r| r.lines().next()?.trim().parse().ok());
            if body.len() >= length.unwrap_or(0usize) {
                return Some((head.to_owned(), body.to_owned()));
            }
        }
        match socket.read(&mut buffer) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
}

/// Sends an HTTP request and returns the status and the body.
fn http(address: SocketAddr, request: &str, body: &str) -> Option<(u16, String)> {
    let mut socket = TcpStream::connect_timeout(&address, ms(300)).ok()?;
    socket.set_read_timeout(Some(ms(1000))).ok()?;
    let text = format!(
        "{request} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    socket.write_all(text.as_bytes()).ok()?;
    let (head, body) = read_http(&mut socket)?;
    Some((head.split(' ').nth(1)?.parse().ok()?, body))
}

/// The processes of the project, and everything around them.
struct Fleet {
    subnet: (u8, u8),
    port: u16,
    folder: PathBuf,
    processes: BTreeMap<u8, Child>,
    service: Arc<Service>,
    record: Record,
    version: u64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn give_up(text: &str) -> ! {
    eprintln!("the case could not run: {text}");
    panic!("the case could not run: {text}")
}

impl Fleet {
    fn up(record: Record) -> Self {
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 7);
        let (mut subnet, mut port) = ((0, 0), 0);
        let free = (0..50u64).any(|round| {
            let number = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(round * 7_919);
            subnet = (60 + (number >> 20) as u8 % 100, (number >> 30) as u8);
            port = 20_000 + ((number >> 40) % 1_000) as u16 * 8;
            let hosts = CONTROLS.iter().chain(&PROXIES).chain(&INSTANCES).chain(&PATHS);
            let mut all = hosts.flat_map(|host| (0..7).map(move |n| (*host, n)));
            all.all(|(host, n)| TcpListener::bind(SocketAddr::from(([127, subnet.0, subnet.1, host], port + n))).is_ok())
        });
        if !free {
            give_up("no free ports");
        }
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder).unwrap();
        let address = |host: u8, n: u16| SocketAddr::from(([127, subnet.0, subnet.1, host], port + n));
        let controls = CONTROLS.iter().map(|host| address(*host, 2)).collect();
        let service = Arc::new(Service {
            state: Mutex::default(),
            changed: Condvar::new(),
            controls,
            record: record.clone(),
            counter: Mutex::new(0),
            tokens: Mutex::default(),
            cut: Default::default(),
        });
        for (path, host) in PATHS.iter().enumerate() {
            let listener = TcpListener::bind(address(*host, 6)).unwrap();
            let promoting = Arc::clone(&service);
            spawn(move || promoting.serve_platform(listener, path));
        }
        let mut fleet = Self { subnet, port, folder, processes: BTreeMap::new(), service, record, version: 0 };
        CONTROLS.iter().chain(&PROXIES).for_each(|host| fleet.start(*host, true));
        for (n, host) in INSTANCES.iter().enumerate() {
            fleet.service.start(&format!("i-{}", n + 1), fleet.address(*host, 5), n == 0, 1, vec![]);
        }
        fleet
    }

    fn address(&self, host: u8, n: u16) -> SocketAddr {
        SocketAddr::from(([127, self.subnet.0, self.subnet.1, host], self.port + n))
    }

    /// Starts a process with the command and the template of the deploy file.
    fn start(&mut self, host: u8, first: bool) {
        let role = if CONTROLS.contains(&host) { "control" } else { "proxy" };
        let template = fs::read_to_string(format!("deploy/{role}.toml")).unwrap_or_else(|_| give_up("no template"));
        let data = self.folder.join(format!("data-{host}"));
        let inner = concat!("Internal", "Ports");
        let seeds: Vec<String> = CONTROLS.iter().map(|host| format!("\"{}\"", self.address(*host, 2))).collect();
        let list = "{{#Seeds}}\"{{.}}\"{{,}} {{/Seeds}}";
        let mut text = template.replace(list, &seeds.join(", "));
        for (name, value) in [
            ("Node", format!("{role}-{host}")),
            ("Zone", "lv-riga".into()),
            ("DataDir", data.display().to_string()),
            (concat!("Bootstrap", "|json"), first.to_string()),
            ("Tolerate.Machines", "1".into()),
            ("Ip", format!("127.{}.{}.{host}", self.subnet.0, self.subnet.1)),
            ("Listen.Front", self.address(host, 0).to_string()),
            ("Listen.Ready", self.address(host, 1).to_string()),
            ("Listen.Control", self.address(host, 2).to_string()),
            (&format!("{inner}.0"), (self.port + 3).to_string()),
            (&format!("{inner}.1"), (self.port + 4).to_string()),
            ("Cloud.Addr", self.address(PATHS[usize::from(host % 10 - 1)], 6).to_string()),
            ("Bounds.GraceS", "6".into()),
            ("Bounds.QuotaWindowS", String::new()),
            ("Bounds.QuotaExcess", String::new()),
            ("Bounds.QuotaSlack", String::new()),
        ] {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let path = self.folder.join(format!("{host}.toml"));
        fs::write(&path, text).unwrap();
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{host}.log"))).unwrap();
        let child = Command::new("target/release/cactushatch")
            .args(["platform", role])
            .env(concat!("CACTUSHATCH_", "CONFIG"), &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|_| give_up("the program isn't built"));
        self.record.note(&format!("starts {role}-{host}"));
        self.processes.insert(host, child);
    }

    fn kill(&mut self, hosts: &[u8]) {
        hosts.iter().for_each(|host| drop(self.processes.get_mut(host).unwrap().kill()));
        for host in hosts {
            let _ = self.processes.remove(host).unwrap().wait();
            self.record.note(&format!("killed the process on host {host}"));
        }
    }

    /// Sends a configuration with these databases until it is acknowledged.
    fn configure(&mut self, databases: &[(&str, &str)]) {
        self.version += 1;
        let stale = concat!("MaxStale", "Ms");
        let routes: Vec<String> = databases
            .iter()
            .map(|(host, kind)| {
                let age = if *kind == "primary" { String::new() } else { format!(",\"{stale}\":1500") };
                let target = concat!("TargetLatency", "Ms");
                format!(
                    "{{\"Name\":\"r-{host}\",\"Host\":\"{host}\",\"PathPrefix\":\"/\",\"Type\":\"{kind}\",\"TimeoutMs\":800,\
                     \"{target}\":120,\"Priority\":1,\"Service\":\"{SERVICE}\",\"Attempts\":2{age}}}"
                )
            })
            .collect();
        let (conns, sync, idle) = (concat!("Max", "Conns"), concat!("Sync", "Count"), concat!("TxIdle", "Ms"));
        let body = format!(
            "{{\"Version\":{},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/healthz\",\
             \"{conns}\":28,\"Protocol\":\"h1\",\"Tls\":false,\"{sync}\":1}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
             \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000,\"{idle}\":3000}}}}",
            self.version,
            routes.join(",")
        );
        let start = Instant::now();
        let names: Vec<&str> = databases.iter().map(|(host, _)| *host).collect();
        self.record.note(&format!("operator sends version {} with the databases {names:?}", self.version));
        while start.elapsed() < ms(15_000) {
            for host in CONTROLS {
                if http(self.address(host, 2), "PUT /config", &body).is_some_and(|(status, _)| status == 200) {
                    return self.record.note(&format!("version {} is acknowledged by control-{host}", self.version));
                }
            }
            sleep(ms(50));
        }
        give_up("no configuration was acknowledged");
    }

    fn connect(&self, host: u8, database: &str) -> Option<Client> {
        Client::connect(self.address(host, 0), database)
    }

    /// Waits until a write is served by each proxy.
    fn wait_until_served(&self, database: &str) {
        let start = Instant::now();
        for host in PROXIES {
            let served = || {
                let mut client = self.connect(host, database)?;
                client.query("PUT start x").filter(|answer| answer.result.starts_with("DONE"))
            };
            while served().is_none() {
                if start.elapsed() > ms(25_000) {
                    give_up("the fleet doesn't serve");
                }
                sleep(ms(100));
            }
        }
        self.record.note("all proxies serve");
    }
}

struct Client {
    socket: TcpStream,
    lines: BufReader<TcpStream>,
}

#[derive(Debug)]
struct Answer {
    rows: Vec<String>,
    /// The line with DONE or ERR; empty if there was none.
    result: String,
    state: String,
}

static NUMBER: Mutex<u64> = Mutex::new(0);

impl Client {
    fn connect(address: SocketAddr, database: &str) -> Option<Self> {
        let socket = TcpStream::connect_timeout(&address, ms(500)).ok()?;
        socket.set_read_timeout(Some(ms(2_000))).ok()?;
        let _ = socket.set_nodelay(true);
        let lines = BufReader::new(socket.try_clone().ok()?);
        let mut client = Self { socket, lines };
        client.socket.write_all(format!("CONNECT {database} u1\r\n").as_bytes()).ok()?;
        client.line().filter(|line| line.starts_with("READY I")).map(|_| client)
    }

    fn line(&mut self) -> Option<String> {
        read_line(&mut self.lines)
    }

    /// Sends a statement with a new id, and returns the answer up to READY.
    fn query(&mut self, text: &str) -> Option<Answer> {
        let id = {
            let mut number = NUMBER.lock().unwrap();
            *number += 1;
            format!("{:08x}{:08x}", std::process::id(), *number)
        };
        self.socket.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).ok()?;
        let mut answer = Answer { rows: vec![], result: String::new(), state: String::new() };
        loop {
            let line = self.line()?;
            if let Some(row) = line.strip_prefix("ROW ") {
                answer.rows.push(row.to_owned());
            } else if let Some(rest) = line.strip_prefix("READY ") {
                answer.state = rest.split(' ').next().unwrap_or("").to_owned();
                return Some(answer);
            } else {
                answer.result = line;
            }
        }
    }

    /// Sends a statement and notes it with its answer.
    fn say(&mut self, record: &Record, text: &str) -> Option<Answer> {
        let answer = self.query(text);
        match &answer {
            Some(a) => record.note(&format!("client: {text} -> {:?} READY {}", a.result, a.state)),
            None => record.note(&format!("client: {text} -> the connection ended or gave no answer")),
        }
        answer
    }
}

/// Returns the connection and the transaction of each write that instances ran, by its text.
fn runs(folder: &str) -> BTreeMap<String, (String, String)> {
    let text = fs::read_to_string(format!("{folder}/record.txt")).unwrap_or_default();
    let mut found = BTreeMap::new();
    for line in text.lines().filter(|line| line.contains(" runs connection=")) {
        let field = |name: &str| line.split(name).nth(1).and_then(|r| r.split(' ').next()).unwrap_or("").to_owned();
        let statement = line.split(" text=").nth(1).unwrap_or("").to_owned();
        found.insert(statement, (field("connection="), field("transaction=")));
    }
    found
}

/// The primary crashes and returns under a new id while all processes of the system are killed and start again.
fn returned(fleet: &mut Fleet, record: &Record, trouble: &str) -> bool {
    let databases = [("desk", "primary"), ("menu", "bounded"), ("shift", "session")];
    fleet.configure(&databases);
    fleet.wait_until_served("desk");
    // Each entry: when an operation was begun, and whether it was served.
    let results: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    for number in 0..9usize {
        let fronts: Vec<SocketAddr> = PROXIES.iter().map(|host| fleet.address(*host, 0)).collect();
        let results = Arc::clone(&results);
        let database = databases[number / 3].0;
        spawn(move || {
            let mut client = None;
            for round in number.. {
                let begun = Instant::now();
                let text = if round % 5 == 0 && database != "menu" { format!("PUT item{number} v{round}") } else { format!("FETCH item{number}") };
                let mut served = false;
                for attempt in 0..3 {
                    if client.is_none() {
                        client = Client::connect(fronts[(number + round + attempt) % 3], database);
                    }
                    let answer = client.as_mut().and_then(|client: &mut Client| client.query(&text));
                    served = answer.as_ref().is_some_and(|answer| answer.result.starts_with("DONE"));
                    let is_unknown = answer.as_ref().is_none_or(|a| a.result.contains("UNKNOWN") || a.result.contains("TIMEOUT"));
                    if !served {
                        client = None;
                    }
                    if served || (is_unknown && text.starts_with("PUT")) || begun.elapsed() > ms(1_500) {
                        break;
                    }
                    sleep(ms(150));
                }
                results.lock().unwrap().push((begun, served));
                sleep(ms(60));
            }
        });
    }
    let begun = Instant::now();
    sleep(ms(6_000));
    let fault = Instant::now();
    if trouble != "0" {
        fleet.configure(&databases);
        let primary = fleet.service.primary().unwrap_or_default();
        let all: Vec<u8> = CONTROLS.iter().chain(&PROXIES).copied().collect();
        fleet.kill(&all);
        if trouble != "kill" {
            fleet.service.crash(&primary);
        }
        sleep(ms(400));
        if trouble != "kill" {
            let (log, term, address) = {
                let state = fleet.service.lock();
                let old = state.iter().find(|i| i.id == primary).unwrap();
                (old.log.clone(), old.term, old.address)
            };
            fleet.service.start("i-4", address, true, term, log);
        }
        sleep(ms(200));
        CONTROLS.iter().for_each(|host| fleet.start(*host, false));
        sleep(ms(280));
        PROXIES.iter().for_each(|host| fleet.start(*host, false));
    }
    let back = Instant::now();
    record.note("all processes are back");
    sleep(ms(12_000 + 15_000 + 2_000));
    let share = |from: Instant, to: Instant| {
        let results = results.lock().unwrap();
        let some: Vec<bool> = results.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, served)| *served).collect();
        (some.iter().filter(|served| **served).count(), some.len())
    };
    let before = share(begun + ms(1_000), fault);
    let after = share(back + ms(12_000), back + ms(27_000));
    record.note(&format!("served before: {} of {}; later than 12 s after all were back: {} of {}", before.0, before.1, after.0, after.1));
    if trouble != "0" {
        for host in CONTROLS {
            let log = fs::read_to_string(fleet.folder.join(format!("{host}.log"))).unwrap_or_default();
            log.lines().filter(|l| l.contains("\"decision\"") || l.contains(" is Ready")).for_each(|l| record.note(&format!("log of control-{host}: {l}")));
        }
    }
    if before.0 * 4 < before.1 || after.1 == 0 {
        give_up("too little was served before");
    }
    after.0 * 4 >= after.1
}

/// A route is removed and added again while a transaction of its database is open.
fn route(fleet: &mut Fleet, record: &Record, trouble: &str, folder: &str) -> bool {
    let with = [("desk", "primary"), ("menu", "bounded")];
    fleet.configure(&with);
    fleet.wait_until_served("desk");
    let mut client = fleet.connect(PROXIES[0], "desk").unwrap_or_else(|| give_up("no session"));
    client.say(record, "BEGIN");
    client.say(record, "PUT first one");
    if trouble != "0" {
        fleet.configure(&with[1..]);
        let start = Instant::now();
        while fleet.connect(PROXIES[0], "desk").is_some() && start.elapsed() < ms(1_000) {
            sleep(ms(20));
        }
        record.note("the proxy refuses new sessions of the removed database");
    }
    let commit = client.say(record, "COMMIT");
    if trouble != "0" {
        fleet.configure(&with);
        let start = Instant::now();
        while fleet.connect(PROXIES[0], "desk").is_none() && start.elapsed() < ms(1_000) {
            sleep(ms(20));
        }
        record.note("the proxy takes sessions of the database again");
    }
    if let Some(commit) = &commit {
        if commit.result.is_empty() {
            record.note("the COMMIT was answered with READY alone: neither DONE nor ERR");
        }
    }
    client.say(record, "BEGIN");
    let second = client.say(record, "PUT second two");
    client.say(record, "COMMIT");
    sleep(ms(300));
    let runs = runs(folder);
    let Some(first) = runs.get("PUT first one") else { give_up("the first write didn't run") };
    let ran = second.is_some_and(|answer| answer.result.starts_with("DONE"));
    let shared = ran && runs.get("PUT second two").is_some_and(|second| second.1 == first.1);
    record.note(&format!("the second transaction's write ran in the first transaction: {shared}"));
    !shared
}

/// A statement of an open transaction is refused by the proxy, which says that the transaction is still open.
fn refused(fleet: &mut Fleet, record: &Record, trouble: &str, folder: &str) -> bool {
    fleet.configure(&[("desk", "primary")]);
    fleet.wait_until_served("desk");
    let mut client = fleet.connect(PROXIES[0], "desk").unwrap_or_else(|| give_up("no session"));
    client.say(record, "BEGIN");
    client.say(record, "PUT first one");
    let mut state = "T".to_owned();
    if trouble != "0" {
        state = client.say(record, "EXEC s9 first").map(|answer| answer.state).unwrap_or_default();
    }
    if state != "T" {
        // The transaction has failed, and the client ends it.
        client.say(record, "ROLLBACK");
        return true;
    }
    client.say(record, "PUT second two");
    let commit = client.say(record, "COMMIT");
    let committed = commit.is_some_and(|answer| answer.result.starts_with("DONE"));
    let row = client.say(record, "FETCH first").map(|answer| answer.rows.join(" ")).unwrap_or_default();
    record.note(&format!("COMMIT acknowledged: {committed}; item first holds {row:?}"));
    sleep(ms(300));
    let runs = runs(folder);
    let Some(first) = runs.get("PUT first one") else { give_up("the first write didn't run") };
    let apart = runs.get("PUT second two").is_some_and(|second| second != first);
    record.note(&format!("the second write ran outside of the first one's transaction: {apart}"));
    !apart
}

/// The leader of control is frozen for a second while its path to the platform is cut, as it orders a promotion.
fn stale(fleet: &mut Fleet, record: &Record, trouble: &str) -> bool {
    fleet.configure(&[("desk", "primary")]);
    fleet.wait_until_served("desk");
    let (port, subnet) = (fleet.port, fleet.subnet);
    let log = |fleet: &Fleet, host: u8| fs::read_to_string(fleet.folder.join(format!("{host}.log"))).unwrap_or_default();
    let leads = |text: &str| text.rfind("\"leads\":true").is_some_and(|at| text.rfind("\"leads\":false").is_none_or(|other| other < at));
    let leader = *CONTROLS.iter().find(|host| leads(&log(fleet, **host))).unwrap_or_else(|| give_up("no leader is known"));
    let path = usize::from(leader % 10 - 1);
    record.note(&format!("control-{leader} leads"));
    let mut fillers = Vec::new();
    if trouble != "0" {
        fleet.service.cut[path].store(true, Ordering::SeqCst);
        // The thread of this path may be in accept and takes one more.
        let target = SocketAddr::from(([127, subnet.0, subnet.1, PATHS[path]], port + 6));
        for _ in 0..400 {
            match TcpStream::connect_timeout(&target, ms(20)) {
                Ok(socket) => fillers.push(socket),
                Err(_) => break,
            }
        }
        record.note(&format!("the path of control-{leader} to the platform is cut ({} connections wait)", fillers.len()));
    }
    let primary = fleet.service.primary().unwrap_or_default();
    fleet.service.crash(&primary);
    if trouble != "0" {
        let start = Instant::now();
        while !log(fleet, leader).contains("\"event\":\"promotion\"") {
            if start.elapsed() > ms(5_000) {
                give_up("the leader ordered no promotion");
            }
            sleep(ms(2));
        }
        let ordered = Instant::now();
        let id = fleet.processes[&leader].id().to_string();
        let signal = |name: &str| {
            let _ = Command::new("kill").args([name, &id]).status();
            record.note(&format!("control-{leader} gets {name}"));
        };
        sleep(ms(50));
        signal("-STOP");
        sleep(ms(850).saturating_sub(ordered.elapsed()));
        fleet.service.cut[path].store(false, Ordering::SeqCst);
        fillers.clear();
        record.note(&format!("the path of control-{leader} to the platform works again"));
        sleep(ms(1_300).saturating_sub(ordered.elapsed()));
        signal("-CONT");
    }
    sleep(ms(5_000));
    let tokens = fleet.service.tokens.lock().unwrap().clone();
    record.note(&format!("tokens in the order in which the platform got them: {tokens:?}"));
    if tokens.is_empty() {
        give_up("nothing was promoted");
    }
    tokens.windows(2).all(|pair| pair[0] <= pair[1])
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (scenario, folder) = (arguments[1].clone(), arguments[2].clone());
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let file = Arc::new(Mutex::new(fs::File::create(format!("{folder}/record.txt")).expect("record.txt can be written")));
    let record = Record { start: Instant::now(), file };
    record.note(&format!("scenario {scenario}, TROUBLE={trouble}"));
    let noted = record.clone();
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || {
        let mut fleet = Fleet::up(record.clone());
        match scenario.as_str() {
            "returned" => returned(&mut fleet, &record, &trouble),
            "stale" => stale(&mut fleet, &record, &trouble),
            "route" => route(&mut fleet, &record, &trouble, &folder),
            "refused" => refused(&mut fleet, &record, &trouble, &folder),
            _ => give_up("there is no such scenario"),
        }
    }));
    let code = match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    noted.note(&format!("exit {code}"));
    std::process::exit(code);
}
