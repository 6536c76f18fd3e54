//! A stand-in of the users' platform: database instances that speak its lines, the call that promotes one, and callers
//! and an operator that speak to the real binary. One group, in this process, with threads.

#![allow(dead_code, reason = "each test uses its part")]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How long a promotion takes.
const PROMOTION: Duration = Duration::from_millis(300);

/// How long a test waits for what must come.
pub const PATIENCE: Duration = Duration::from_secs(15);

/// One instance of the group.
struct Instance {
    id: String,
    address: SocketAddr,
    primary: bool,
    term: u64,
    /// The commits, oldest first: the term, the item and the data.
    log: Vec<(u64, String, String)>,
    up: bool,
    /// Whether it has stopped receiving.
    paused: bool,
    state: &'static str,
    sequence: u64,
    /// Whether it takes statements and answers none.
    mute: bool,
    /// How long a new connection takes.
    opening: Duration,
    /// How many connections are open.
    connections: usize,
    /// Every statement that it ran, with the session values that were set on the connection.
    ran: Vec<(String, BTreeMap<String, String>)>,
}

/// The group, its instances and who leads.
pub struct Group {
    instances: Mutex<Vec<Instance>>,
    /// The promotions that were asked for: the instance, the holder and the token.
    pub promotions: Mutex<Vec<(String, String, u64)>>,
}

impl Group {
    fn lock(&self) -> MutexGuard<'_, Vec<Instance>> {
        self.instances.lock().unwrap()
    }

    /// Ends an instance as a crash does.
    pub fn crash(&self, id: &str) {
        let mut instances = self.lock();
        let instance = instances.iter_mut().find(|instance| instance.id == id).unwrap();
        instance.up = false;
        let _ = TcpStream::connect(instance.address);
    }

    /// Has an instance take statements from now on and answer none.
    pub fn mute(&self, id: &str) {
        let mut instances = self.lock();
        instances.iter_mut().find(|instance| instance.id == id).unwrap().mute = true;
    }

    /// Has new connections to all instances take this long.
    pub fn open_slowly(&self, opening: Duration) {
        self.lock().iter_mut().for_each(|instance| instance.opening = opening);
    }

    pub fn drain(&self, id: &str) {
        let mut instances = self.lock();
        instances.iter_mut().find(|instance| instance.id == id).unwrap().state = "draining";
    }

    pub fn primary(&self) -> String {
        let instances = self.lock();
        let leads = instances.iter().filter(|instance| instance.primary && instance.up);
        leads.max_by_key(|instance| instance.term).expect("one leads").id.clone()
    }

    /// Returns what an instance ran, oldest first.
    pub fn ran(&self, id: &str) -> Vec<(String, BTreeMap<String, String>)> {
        self.lock().iter().find(|instance| instance.id == id).unwrap().ran.clone()
    }

    /// Returns how many connections to an instance are open.
    pub fn connections(&self, id: &str) -> usize {
        self.lock().iter().find(|instance| instance.id == id).unwrap().connections
    }

    /// Returns the data that the primary holds for an item, oldest first.
    pub fn held(&self, item: &str) -> Vec<String> {
        let primary = self.primary();
        let instances = self.lock();
        let log = &instances.iter().find(|instance| instance.id == primary).unwrap().log;
        log.iter().filter(|(_, known, _)| known == item).map(|(.., data)| data.clone()).collect()
    }
}

fn position(log: &[(u64, String, String)]) -> String {
    log.last().map_or_else(|| "1.0".to_owned(), |(term, ..)| format!("{term}.{}", log.len()))
}

fn order(position: &str) -> (u64, usize) {
    let (term, number) = position.split_once('.').expect("a position");
    (term.parse().unwrap(), number.parse().unwrap())
}

/// What one connection of an instance holds.
#[derive(Default)]
struct Session {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (String, String)>,
    open: Option<Vec<(String, String)>>,
}

impl Group {
    fn run(
        &self,
        at: usize,
        session: &mut Session,
        text: &str,
    ) -> (Vec<String>, Result<String, String>) {
        let (text, after) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (mark, text) = rest.split_once(' ').unwrap();
                (text, Some(order(mark)))
            }
            None => (text, None),
        };
        let mut instances = self.lock();
        let behind = after.is_some_and(|mark| mark > order(&position(&instances[at].log)));
        if behind {
            return (vec![], Err("LAGGING".to_owned()));
        }
        let words: Vec<&str> = text.split(' ').collect();
        let prepared = match words.as_slice() {
            ["EXEC", name, rest @ ..] => match session.prepared.get(*name) {
                Some((verb, _)) => Some([&[verb.as_str()], rest].concat().join(" ")),
                None => return (vec![], Err("NOSTMT".to_owned())),
            },
            _ => None,
        };
        let text = prepared.as_deref().unwrap_or(text);
        let words: Vec<&str> = text.split(' ').collect();
        let done = |instances: &mut Vec<Instance>, values: &BTreeMap<String, String>| {
            instances[at].ran.push((text.to_owned(), values.clone()));
            Ok(format!("signature-{}", instances[at].id))
        };
        match words.as_slice() {
            ["STATUS"] | ["DEMOTE", _] | ["PAUSE", _] | ["RESUME"] => {
                match words.as_slice() {
                    ["PAUSE", _] => instances[at].paused = true,
                    ["RESUME"] => instances[at].paused = false,
                    _ => {}
                }
                if let ["DEMOTE", term] = words.as_slice()
                    && term.parse::<u64>().unwrap() > instances[at].term
                {
                    instances[at].primary = false;
                }
                let instance = &instances[at];
                let role = if instance.primary { "primary" } else { "replica" };
                let row = format!("{role} {} {} 0 0 0 1", instance.term, position(&instance.log));
                (vec![row], Ok("-".to_owned()))
            }
            ["RESET"] => {
                session.values.clear();
                session.prepared.clear();
                (vec![], Ok("-".to_owned()))
            }
            ["SET", name, value @ ..] => {
                session.values.insert((*name).to_owned(), value.join(" "));
                (vec![], Ok("-".to_owned()))
            }
            ["PREPARE", name, verb, shape] => {
                session
                    .prepared
                    .insert((*name).to_owned(), ((*verb).to_owned(), (*shape).to_owned()));
                (vec![], Ok("-".to_owned()))
            }
            ["BEGIN"] if !instances[at].primary => (vec![], Err("READONLY".to_owned())),
            ["BEGIN"] | ["BEGIN", "FETCH"] => {
                session.open = Some(Vec::new());
                (vec![], Ok("-".to_owned()))
            }
            ["ROLLBACK"] => {
                session.open = None;
                (vec![], Ok("-".to_owned()))
            }
            ["FETCH", item, ..] => {
                let log = &instances[at].log;
                let row = log.iter().rev().find(|(_, known, _)| known == item);
                let row = row.map_or_else(|| "nothing".to_owned(), |(.., data)| data.clone());
                (vec![row], done(&mut instances, &session.values))
            }
            ["PUT", ..] if !instances[at].primary => (vec![], Err("READONLY".to_owned())),
            ["PUT", item, data @ ..] => {
                let write = ((*item).to_owned(), data.join(" "));
                match &mut session.open {
                    Some(writes) => writes.push(write),
                    None => Self::commit(&mut instances, at, vec![write]),
                }
                (vec![], done(&mut instances, &session.values))
            }
            ["COMMIT"] => {
                let writes = session.open.take().unwrap_or_default();
                if !writes.is_empty() && !instances[at].primary {
                    return (vec![], Err("READONLY".to_owned()));
                }
                Self::commit(&mut instances, at, writes);
                (vec![], done(&mut instances, &session.values))
            }
            _ => (vec![], Err("MALFORMED".to_owned())),
        }
    }

    /// Commits on the primary, and lets every running replica receive and apply it at once.
    fn commit(instances: &mut [Instance], at: usize, writes: Vec<(String, String)>) {
        let term = instances[at].term;
        instances[at].log.extend(writes.into_iter().map(|(item, data)| (term, item, data)));
        let log = instances[at].log.clone();
        for instance in
            instances.iter_mut().filter(|i| i.up && !i.paused && !i.primary && i.term <= term)
        {
            instance.log.clone_from(&log);
        }
    }

    fn serve(self: Arc<Self>, at: usize, socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut lines = BufReader::new(socket.try_clone()?);
        let mut socket = socket;
        let mut session = Session::default();
        let mut line = String::new();
        while lines.read_line(&mut line)? > 0 {
            let text = line.trim_end().to_owned();
            line.clear();
            if !self.lock()[at].up {
                return Ok(());
            }
            if let Some(rest) = text.strip_prefix("CONNECT ") {
                let opening = self.lock()[at].opening;
                std::thread::sleep(opening);
                let expected = rest.split(' ').nth(2).map(str::to_owned);
                let instances = self.lock();
                if expected.is_some_and(|id| id != instances[at].id) {
                    return socket.write_all(b"ERR MISROUTED another one\r\n");
                }
                write!(socket, "READY I {}\r\n", position(&instances[at].log))?;
                continue;
            }
            let Some((_, statement)) = text.strip_prefix("QUERY ").and_then(|q| q.split_once(' '))
            else {
                return Ok(());
            };
            if self.lock()[at].mute {
                continue;
            }
            let (rows, result) = self.run(at, &mut session, statement);
            let rows: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
            let result = match result {
                Ok(signature) => format!("DONE {signature}\r\n"),
                Err(code) => format!("ERR {code} no\r\n"),
            };
            let state = if session.open.is_some() { "T" } else { "I" };
            let at_position = position(&self.lock()[at].log);
            write!(socket, "{rows}{result}READY {state} {at_position}\r\n")?;
        }
        Ok(())
    }

    fn listen(self: Arc<Self>, at: usize, listener: TcpListener) {
        for socket in listener.incoming().flatten() {
            if !self.lock()[at].up {
                return;
            }
            let group = Arc::clone(&self);
            std::thread::spawn(move || {
                group.lock()[at].connections += 1;
                let served = Arc::clone(&group).serve(at, socket);
                group.lock()[at].connections -= 1;
                served
            });
        }
    }

    /// Takes the call that promotes an instance.
    fn promote(self: Arc<Self>, listener: TcpListener) {
        for mut socket in listener.incoming().flatten() {
            let Some((head, body)) = read_http(&mut socket) else { continue };
            let field = |name: &str| {
                let line =
                    head.lines().find(|line| line.to_lowercase().starts_with(&format!("{name}:")));
                line.and_then(|line| line.split_once(':'))
                    .map(|(_, v)| v.trim().to_owned())
                    .unwrap_or_default()
            };
            let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
            let id = body["Id"].as_str().expect("an id").to_owned();
            let token = field("fence-token").parse().expect("a token");
            self.promotions.lock().unwrap().push((id.clone(), field("holder"), token));
            let running = self.lock().iter().any(|instance| instance.id == id && instance.up);
            let status = if running { "200 OK" } else { "409 Conflict" };
            let _ = write!(socket, "HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
            if running {
                let group = Arc::clone(&self);
                std::thread::spawn(move || group.take_over(&id));
            }
        }
    }

    fn take_over(&self, id: &str) {
        std::thread::sleep(PROMOTION);
        let mut instances = self.lock();
        let term = 1 + instances.iter().map(|instance| instance.term).max().unwrap();
        let log = instances.iter().find(|instance| instance.id == id).unwrap().log.clone();
        for instance in instances.iter_mut() {
            instance.paused = false;
            if instance.id == id {
                (instance.primary, instance.term) = (true, term);
            } else if !instance.primary && instance.up {
                instance.term = term;
                instance.log.clone_from(&log);
            }
        }
    }
}

fn read_http(socket: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut reader = BufReader::new(socket.try_clone().ok()?);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head.lines().find_map(|line| {
        line.to_lowercase()
            .strip_prefix("content-length:")
            .map(|v| v.trim().parse::<usize>().unwrap())
    });
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Calls an address over HTTP; returns the status and the body.
pub fn http(address: SocketAddr, call: &str, body: &str) -> Option<(u16, String)> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    let head = format!(
        "{call} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let (head, body) = read_http(&mut socket)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8(body).ok()?))
}

/// Three control processes and two proxies of the real binary before one group, each on an address of its own.
pub struct Fleet {
    net: u8,
    dir: tempfile::TempDir,
    processes: BTreeMap<u8, Child>,
    pub group: Arc<Group>,
}

/// The ports that every VM has, as the platform gives them.
const FRONT: u16 = 17_301;
const READY: u16 = 17_302;
const CONTROL: u16 = 17_303;
const INTERNAL: u16 = 17_304;
const METRICS: u16 = 17_305;
const INSTANCE: u16 = 17_306;
const PROMOTE: u16 = 17_307;

/// The hosts of the control processes, the proxies, the instances and the platform.
const VOTERS: [u8; 3] = [1, 2, 3];
pub const PROXIES: [u8; 2] = [11, 12];
const INSTANCES: [u8; 3] = [21, 22, 23];
const PLATFORM: u8 = 31;

impl Fleet {
    /// Starts the fleet on the addresses 127.`net`.0.x and declares one database of each kind.
    pub fn up(net: u8) -> Self {
        let group = Arc::new(Group { instances: Mutex::default(), promotions: Mutex::default() });
        let dir = tempfile::tempdir().unwrap();
        let mut fleet = Self { net, dir, processes: BTreeMap::new(), group };
        for (at, host) in INSTANCES.into_iter().enumerate() {
            let address = fleet.address(host, INSTANCE);
            let listener = TcpListener::bind(address).expect("the instance's address");
            let id = format!("i-{host}");
            let (term, up, state) = (1, true, "ready");
            fleet.group.lock().push(Instance {
                id,
                address,
                primary: at == 0,
                term,
                log: Vec::new(),
                up,
                paused: false,
                state,
                sequence: 0,
                mute: false,
                opening: Duration::ZERO,
                connections: 0,
                ran: Vec::new(),
            });
            let group = Arc::clone(&fleet.group);
            std::thread::spawn(move || group.listen(at, listener));
        }
        let listener = TcpListener::bind(fleet.address(PLATFORM, PROMOTE)).unwrap();
        let group = Arc::clone(&fleet.group);
        std::thread::spawn(move || group.promote(listener));
        VOTERS.into_iter().for_each(|host| fleet.start(host, true));
        PROXIES.into_iter().for_each(|host| fleet.start(host, true));
        fleet.beat();
        fleet.declare(1, 800);
        fleet.until("the proxies are ready", |fleet| {
            PROXIES.into_iter().all(|host| fleet.is_ready(host))
        });
        // The group's first primary is found once all instances were asked.
        PROXIES.into_iter().for_each(|host| {
            fleet.open(host, "desk").done("FETCH nothing");
        });
        fleet
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.net, 0, host).into(), port)
    }

    /// Starts a process of the real binary with settings in a file.
    pub fn start(&mut self, host: u8, first_start: bool) {
        let hosts: Vec<String> =
            VOTERS.iter().map(|seed| format!("\"{}\"", self.address(*seed, CONTROL))).collect();
        let role = if VOTERS.contains(&host) { "control" } else { "proxy" };
        let data = self.dir.path().join(format!("data-{host}"));
        let own = match role {
            "control" => format!(
                "[control]\naddress = \"{}\"\nadmin = \"{}\"\ngateway = \"{}\"\npromoter = \"{}\"\n",
                self.address(host, INTERNAL),
                self.address(host, METRICS),
                self.address(host, CONTROL),
                self.address(PLATFORM, PROMOTE)
            ),
            _ => format!(
                "[proxy]\nlisten = \"{}\"\nready = \"{}\"\naddress = \"{}\"\nadmin = \"{}\"\ngrace = \"6s\"\n",
                self.address(host, FRONT),
                self.address(host, READY),
                self.address(host, INTERNAL),
                self.address(host, METRICS)
            ),
        };
        let settings = format!(
            "node = \"{role}-{host}\"\ndomain = \"a\"\ndata = \"{}\"\n\
             [seeds]\nhosts = [{}]\nport = {INTERNAL}\nfirst_start = {first_start}\nlosses = 1\n{own}\
             [log]\nformat = \"json\"\n",
            data.display(),
            hosts.join(", ")
        );
        let path: PathBuf = self.dir.path().join(format!("{host}.toml"));
        std::fs::write(&path, settings).unwrap();
        let log = std::fs::File::create(self.dir.path().join(format!("{host}.log"))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
            .args(["platform", role, "--settings"])
            .arg(path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        self.processes.insert(host, child);
    }

    /// Sends a signal to a process.
    pub fn signal(&self, host: u8, signal: &str) {
        let id = self.processes[&host].id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Waits until a process has ended, and returns whether it ended well.
    pub fn ended(&mut self, host: u8) -> bool {
        let child = self.processes.get_mut(&host).unwrap();
        let start = Instant::now();
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                self.processes.remove(&host);
                return status.success();
            }
            assert!(start.elapsed() < PATIENCE, "the process goes on");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Has every running instance send heartbeats from now on.
    fn beat(&self) {
        let group = Arc::downgrade(&self.group);
        let addresses: Vec<SocketAddr> =
            VOTERS.iter().map(|host| self.address(*host, CONTROL)).collect();
        std::thread::spawn(move || {
            while let Some(group) = group.upgrade() {
                let beats: Vec<(String, String)> = {
                    let mut instances = group.lock();
                    let running = instances.iter_mut().filter(|instance| instance.up);
                    running.map(heartbeat).collect()
                };
                for (id, body) in beats {
                    let call = format!("PUT /instances/{id}");
                    let sent = addresses.iter().find_map(|address| {
                        http(*address, &call, &body).filter(|(status, _)| *status == 200)
                    });
                    drop(sent);
                }
                std::thread::sleep(Duration::from_millis(300));
            }
        });
    }

    /// Declares the databases with a timeout, and returns the status of the answer.
    pub fn declare(&self, version: u64, timeout_ms: u64) -> u16 {
        let body = configuration(version, timeout_ms);
        let start = Instant::now();
        loop {
            let answers = VOTERS.iter().find_map(|host| {
                let answer = http(self.address(*host, CONTROL), "PUT /config", &body);
                answer.map(|(status, _)| status).filter(|status| *status < 500)
            });
            if let Some(status) = answers {
                return status;
            }
            assert!(start.elapsed() < PATIENCE, "nobody takes the configuration");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn is_ready(&self, host: u8) -> bool {
        let answer = http(self.address(host, READY), "GET /readyz", "");
        answer.is_some_and(|(status, _)| status == 200)
    }

    pub fn until(&self, what: &str, met: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !met(self) {
            assert!(start.elapsed() < PATIENCE, "not in time: {what}\n{}", self.logs());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the files that the processes write to.
    pub fn log_files(&self) -> Vec<PathBuf> {
        let hosts = VOTERS.iter().chain(&PROXIES);
        hosts.map(|host| self.dir.path().join(format!("{host}.log"))).collect()
    }

    /// Returns what the processes wrote.
    pub fn logs(&self) -> String {
        let read = |host: &u8| std::fs::read_to_string(self.dir.path().join(format!("{host}.log")));
        let hosts = VOTERS.iter().chain(&PROXIES);
        hosts.map(|host| format!("== {host}\n{}", read(host).unwrap_or_default())).collect()
    }

    pub fn open(&self, host: u8, database: &str) -> Caller {
        Caller::open(self.address(host, FRONT), database)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn heartbeat(instance: &mut Instance) -> (String, String) {
    instance.sequence += 1;
    let role = if instance.primary { "primary" } else { "replica" };
    let body = format!(
        "{{\"Service\":\"books\",\"Addr\":\"{}\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":2,\
         \"State\":\"{}\",\"ColdLeftMs\":0,\"DbRole\":\"{role}\",\"Seq\":{},\"born\":1700000000000}}",
        instance.address, instance.state, instance.sequence
    );
    (instance.id.clone(), body)
}

/// Returns a configuration with a database of each kind.
pub fn configuration(version: u64, timeout_ms: u64) -> String {
    let route = |host: &str, kind: &str, age: &str| {
        format!(
            "{{\"Name\":\"r-{host}\",\"Host\":\"{host}\",\"PathPrefix\":\"/\",\"Type\":\"{kind}\",\
             \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":200,\"Priority\":1,\"Service\":\"books\",\
             \"Attempts\":2{age}}}"
        )
    };
    let age = ",\"MaxStaleMs\":2000";
    let routes = [
        route("desk", "primary", ""),
        route("menu", "bounded", age),
        route("shift", "session", age),
    ];
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"books\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":28,\"Protocol\":\"h1\",\"Tls\":false,\"SyncCount\":1}}],\"Limits\":{{\"TxIdleMs\":3000}}}}",
        routes.join(",")
    )
}

/// A caller's session.
pub struct Caller {
    socket: TcpStream,
    lines: BufReader<TcpStream>,
    next: u64,
    /// What the opening was answered with.
    pub opened: String,
}

/// The answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub rows: Vec<String>,
    /// `DONE` or `ERR` with what follows.
    pub result: String,
    /// The state of the transaction.
    pub state: String,
}

impl Caller {
    pub fn open(address: SocketAddr, database: &str) -> Self {
        let socket = TcpStream::connect(address).expect("a proxy");
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        let lines = BufReader::new(socket.try_clone().unwrap());
        let mut caller = Self { socket, lines, next: 0, opened: String::new() };
        caller.send(&format!("CONNECT {database} me"));
        caller.opened = caller.line().expect("an answer");
        caller
    }

    pub fn send(&mut self, line: &str) {
        self.socket.write_all(format!("{line}\r\n").as_bytes()).unwrap();
    }

    /// Returns the next line, or nothing at the end.
    pub fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
        }
    }

    /// Asks and returns the whole answer; nothing when the connection ended.
    pub fn ask(&mut self, text: &str) -> Option<Answer> {
        self.next += 1;
        let id = format!("id{:x}{}", std::process::id(), self.next);
        self.ask_as(&id, text)
    }

    /// Asks under an id of the test's own.
    pub fn ask_as(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY {id} {text}"));
        let mut rows = Vec::new();
        let mut result = String::new();
        loop {
            let line = self.line()?;
            if let Some(row) = line.strip_prefix("ROW ") {
                rows.push(row.to_owned());
            } else if let Some(state) = line.strip_prefix("READY ") {
                let state = state.split(' ').next().unwrap().to_owned();
                return Some(Answer { rows, result, state });
            } else {
                result = line;
            }
        }
    }

    /// Asks until the statement is done; only what is promised not to be kept is sent again.
    pub fn done(&mut self, text: &str) -> Answer {
        let start = Instant::now();
        loop {
            let answer = self.ask(text).expect("the session goes on");
            if answer.result.starts_with("DONE") {
                return answer;
            }
            let promised = ["ERR BUSY", "ERR ABORTED"].iter().any(|p| answer.result.starts_with(p));
            assert!(promised && start.elapsed() < PATIENCE, "{text}: {answer:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
