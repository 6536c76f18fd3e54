//! A stand-in for the users' platform, which runs on threads of the test: database instances of one group that speak
//! the line protocol, and the HTTP service that promotes them. Starts processes of the real binary, and acts as their
//! callers and operator.

#![allow(dead_code, unused_imports, reason = "each test file uses only some of these items")]

mod caller;
pub mod disturber;
mod http;
pub mod load;
pub mod path;
pub mod peers;
#[path = "../process/mod.rs"]
mod process;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

pub use caller::{Answer, Caller};
pub use http::send as send_http;
use path::Path;
use peers::{Peers, Route};

/// Time between the answer to a promotion request and the new primary.
const PROMOTION_DURATION: Duration = Duration::from_millis(300);

/// Time after which a replaced primary that can reach the new one becomes a replica by itself.
const STEP_DOWN_DURATION: Duration = Duration::from_secs(1);

/// How long an instance waits for the answer to a heartbeat before it calls the next control process.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a commit waits for a replica to receive it. After that the connection is closed without an answer.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an expected event counts as missing.
pub const TIMEOUT: Duration = Duration::from_secs(15);

struct Instance {
    id: String,
    address: SocketAddr,
    primary: bool,
    term: u64,
    /// Committed writes, oldest first: the term, the item and the data.
    log: Vec<(u64, String, String)>,
    running: bool,
    /// Number of crashes. Connections from before a crash end.
    crashes: usize,
    /// Whether the instance can't reach the others: it receives nothing, and follows no new primary.
    detached: bool,
    /// Whether the instance has stopped receiving writes from the primary.
    paused: bool,
    state: &'static str,
    sequence: u64,
    /// Whether the instance reads statements without answering them.
    unresponsive: bool,
    /// Time until a new connection is answered.
    connect_delay: Duration,
    /// Number of connections that the instance accepts.
    max_connections: usize,
    /// Number of open connections.
    connections: usize,
    /// Number of connections that were refused because there were too many.
    refused_connections: usize,
    /// Executed statements, oldest first, with the session values that were set on the connection.
    executed: Vec<(String, BTreeMap<String, String>)>,
    /// The account of the connection on which each of these statements arrived.
    accounts: Vec<String>,
}

/// A group of instances, and the service that promotes them.
pub struct Group {
    instances: Mutex<Vec<Instance>>,
    /// Number of connections that each instance accepts.
    max_connections: usize,
    /// Whether a commit is acknowledged only once a replica has received it.
    synchronous: bool,
    /// Promotion requests, oldest first: the instance, the holder and the token.
    pub promotions: Mutex<Vec<(String, String, u64)>>,
}

impl Group {
    fn lock(&self) -> MutexGuard<'_, Vec<Instance>> {
        self.instances.lock().unwrap()
    }

    /// Stops an instance as a crash does.
    pub fn crash(&self, id: &str) {
        let mut instances = self.lock();
        let instance = instances.iter_mut().find(|instance| instance.id == id).unwrap();
        instance.running = false;
        instance.crashes += 1;
        let _ = TcpStream::connect(instance.address);
    }

    /// Starts a crashed instance again with its log; as a replica if another one has been promoted meanwhile.
    pub fn recover(self: &Arc<Self>, id: &str) {
        let start = Instant::now();
        let (index, address) = {
            let instances = self.lock();
            let index = instances.iter().position(|instance| instance.id == id).unwrap();
            (index, instances[index].address)
        };
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(error) => assert!(start.elapsed() < TIMEOUT, "{address}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        {
            let mut instances = self.lock();
            instances[index].running = true;
            instances[index].paused = false;
            let term = instances[index].term;
            if instances.iter().any(|other| other.primary && other.term > term) {
                instances[index].primary = false;
            }
            replicate_newest(&mut instances);
        }
        let group = Arc::clone(self);
        std::thread::spawn(move || group.accept_connections(index, listener));
    }

    /// Cuts an instance off from callers and from the other instances. It stays reachable for the service that promotes.
    pub fn detach(&self, id: &str) {
        let mut instances = self.lock();
        let instance = instances.iter_mut().find(|instance| instance.id == id).unwrap();
        (instance.unresponsive, instance.detached) = (true, true);
    }

    /// Makes an instance answer again. It receives what it has missed only after [`Self::attach`].
    pub fn answer_again(&self, id: &str) {
        let mut instances = self.lock();
        instances.iter_mut().find(|instance| instance.id == id).unwrap().unresponsive = false;
    }

    /// Ends a cut of an instance entirely.
    pub fn attach(&self, id: &str) {
        let mut instances = self.lock();
        let instance = instances.iter_mut().find(|instance| instance.id == id).unwrap();
        (instance.unresponsive, instance.detached) = (false, false);
        replicate_newest(&mut instances);
    }

    /// Returns whether all instances run and follow one primary without a pause.
    pub fn is_settled(&self) -> bool {
        let instances = self.lock();
        let primary = instances.iter().find(|instance| instance.primary);
        let follows = |i: &Instance, primary: &Instance| {
            i.running
                && !i.detached
                && !i.paused
                && i.term == primary.term
                && i.log.len() == primary.log.len()
        };
        primary.is_some_and(|primary| instances.iter().all(|i| follows(i, primary)))
            && instances.iter().filter(|instance| instance.primary).count() == 1
    }

    /// Makes an instance leave all further statements unanswered.
    pub fn stop_answering(&self, id: &str) {
        let mut instances = self.lock();
        instances.iter_mut().find(|instance| instance.id == id).unwrap().unresponsive = true;
    }

    /// Delays the answer to new connections to all instances.
    pub fn set_connect_delay(&self, connect_delay: Duration) {
        self.lock().iter_mut().for_each(|instance| instance.connect_delay = connect_delay);
    }

    pub fn drain(&self, id: &str) {
        let mut instances = self.lock();
        instances.iter_mut().find(|instance| instance.id == id).unwrap().state = "draining";
    }

    pub fn primary(&self) -> String {
        let instances = self.lock();
        let primaries = instances.iter().filter(|instance| instance.primary && instance.running);
        primaries.max_by_key(|instance| instance.term).expect("a running primary").id.clone()
    }

    /// Returns the statements that an instance executed, oldest first, with their session values.
    pub fn executed(&self, id: &str) -> Vec<(String, BTreeMap<String, String>)> {
        self.lock().iter().find(|instance| instance.id == id).unwrap().executed.clone()
    }

    /// Returns the statements that all instances executed, each with the account of the connection that it arrived on.
    pub fn executed_for(&self) -> Vec<(String, String)> {
        let instances = self.lock();
        let executed = instances.iter().flat_map(|i| i.accounts.iter().zip(&i.executed));
        executed.map(|(account, (text, _))| (account.clone(), text.clone())).collect()
    }

    /// Makes an instance refuse new connections, as one does that still counts those of VMs that lost power.
    pub fn refuse_connections(&self, id: &str) {
        let mut instances = self.lock();
        instances.iter_mut().find(|instance| instance.id == id).unwrap().max_connections = 0;
    }

    /// Returns the number of open connections to an instance.
    pub fn connections(&self, id: &str) -> usize {
        self.lock().iter().find(|instance| instance.id == id).unwrap().connections
    }

    /// Returns the number of connections that instances refused because there were too many.
    pub fn refused_connections(&self) -> usize {
        self.lock().iter().map(|instance| instance.refused_connections).sum()
    }

    /// Returns all data that the primary has committed for an item, oldest first.
    pub fn values_of(&self, item: &str) -> Vec<String> {
        let primary = self.primary();
        let instances = self.lock();
        let log = &instances.iter().find(|instance| instance.id == primary).unwrap().log;
        log.iter().filter(|(_, known, _)| known == item).map(|(.., data)| data.clone()).collect()
    }
}

fn last_position(log: &[(u64, String, String)]) -> String {
    log.last().map_or_else(|| "1.0".to_owned(), |(term, ..)| format!("{term}.{}", log.len()))
}

fn parse_position(position: &str) -> (u64, usize) {
    let (term, number) = position.split_once('.').expect("a position");
    (term.parse().unwrap(), number.parse().unwrap())
}

/// Copies the log of an instance to every running replica that receives from it.
fn replicate(instances: &mut [Instance], index: usize) {
    let (term, detached) = (instances[index].term, instances[index].detached);
    let log = instances[index].log.clone();
    let receives = |i: &&mut Instance| {
        i.running && !i.paused && !i.detached && !detached && !i.primary && i.term <= term
    };
    for instance in instances.iter_mut().filter(receives) {
        instance.term = term;
        instance.log.clone_from(&log);
    }
}

/// Copies the log of the newest primary to the replicas that receive from it.
fn replicate_newest(instances: &mut [Instance]) {
    let primaries = (0..instances.len()).filter(|i| instances[*i].primary && instances[*i].running);
    if let Some(newest) = primaries.max_by_key(|index| instances[*index].term) {
        replicate(instances, newest);
    }
}

/// The state of a connection to an instance.
#[derive(Default)]
struct Session {
    /// The length of the log after a commit that waits for its acknowledgement.
    committed: Option<usize>,
    /// The account that the connection was opened for.
    account: String,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (String, String)>,
    transaction: Option<Vec<(String, String)>>,
}

impl Group {
    fn execute(
        &self,
        index: usize,
        session: &mut Session,
        text: &str,
    ) -> (Vec<String>, Result<String, String>) {
        let (text, after) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (mark, text) = rest.split_once(' ').unwrap();
                (text, Some(parse_position(mark)))
            }
            None => (text, None),
        };
        let mut instances = self.lock();
        let behind =
            after.is_some_and(|mark| mark > parse_position(&last_position(&instances[index].log)));
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
        let account = session.account.clone();
        let record = |instances: &mut Vec<Instance>, values: &BTreeMap<String, String>| {
            instances[index].executed.push((text.to_owned(), values.clone()));
            instances[index].accounts.push(account.clone());
            Ok(format!("signature-{}", instances[index].id))
        };
        match words.as_slice() {
            ["STATUS"] | ["DEMOTE", _] | ["PAUSE", _] | ["RESUME"] => {
                match words.as_slice() {
                    ["PAUSE", term] if term.parse::<u64>().unwrap() > instances[index].term => {
                        instances[index].paused = true;
                    }
                    ["RESUME"] => instances[index].paused = false,
                    _ => {}
                }
                if let ["DEMOTE", term] = words.as_slice()
                    && term.parse::<u64>().unwrap() > instances[index].term
                {
                    instances[index].primary = false;
                }
                if matches!(words.as_slice(), ["RESUME"] | ["DEMOTE", _]) {
                    replicate_newest(&mut instances);
                }
                let instance = &instances[index];
                let role = if instance.primary { "primary" } else { "replica" };
                let row =
                    format!("{role} {} {} 0 0 0 1", instance.term, last_position(&instance.log));
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
            ["PREPARE", name, verb, template] => {
                session
                    .prepared
                    .insert((*name).to_owned(), ((*verb).to_owned(), (*template).to_owned()));
                (vec![], Ok("-".to_owned()))
            }
            ["BEGIN"] if !instances[index].primary => (vec![], Err("READONLY".to_owned())),
            ["BEGIN"] | ["BEGIN", "FETCH"] => {
                session.transaction = Some(Vec::new());
                (vec![], Ok("-".to_owned()))
            }
            ["ROLLBACK"] => {
                session.transaction = None;
                (vec![], Ok("-".to_owned()))
            }
            ["FETCH", item, ..] => {
                let log = &instances[index].log;
                let row = log.iter().rev().find(|(_, known, _)| known == item);
                let row = row.map_or_else(|| "nothing".to_owned(), |(.., data)| data.clone());
                (vec![row], record(&mut instances, &session.values))
            }
            ["PUT", ..] if !instances[index].primary => (vec![], Err("READONLY".to_owned())),
            ["PUT", item, data @ ..] => {
                let write = ((*item).to_owned(), data.join(" "));
                match &mut session.transaction {
                    Some(writes) => writes.push(write),
                    None => Self::commit(&mut instances, index, session, vec![write]),
                }
                (vec![], record(&mut instances, &session.values))
            }
            ["COMMIT"] => {
                let writes = session.transaction.take().unwrap_or_default();
                if !writes.is_empty() && !instances[index].primary {
                    return (vec![], Err("READONLY".to_owned()));
                }
                Self::commit(&mut instances, index, session, writes);
                (vec![], record(&mut instances, &session.values))
            }
            _ => (vec![], Err("MALFORMED".to_owned())),
        }
    }

    /// Commits on the primary, and copies the log at once to every running replica that receives writes.
    fn commit(
        instances: &mut [Instance],
        index: usize,
        session: &mut Session,
        writes: Vec<(String, String)>,
    ) {
        let term = instances[index].term;
        session.committed = (!writes.is_empty()).then(|| instances[index].log.len() + writes.len());
        instances[index].log.extend(writes.into_iter().map(|(item, data)| (term, item, data)));
        replicate(instances, index);
    }

    /// Waits until a replica has received the first `len` entries of the instance's log. Returns `false` if the instance
    /// has lost its lead or crashed, or the time is up.
    fn wait_for_replica(&self, index: usize, len: usize) -> bool {
        let start = Instant::now();
        let (term, crashes) = {
            let instances = self.lock();
            (instances[index].term, instances[index].crashes)
        };
        while start.elapsed() < COMMIT_TIMEOUT {
            {
                let instances = self.lock();
                let primary = &instances[index];
                if !primary.primary || primary.crashes != crashes || primary.unresponsive {
                    return false;
                }
                let has_received =
                    |i: &Instance| !i.primary && i.term == term && i.log.len() >= len;
                if instances.iter().any(has_received) {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        false
    }

    fn serve_connection(self: Arc<Self>, index: usize, socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut lines = BufReader::new(socket.try_clone()?);
        let mut socket = socket;
        let mut session = Session::default();
        let mut line = String::new();
        let crashes = self.lock()[index].crashes;
        while lines.read_line(&mut line)? > 0 {
            let text = line.trim_end().to_owned();
            line.clear();
            if !self.lock()[index].running || self.lock()[index].crashes != crashes {
                return Ok(());
            }
            if let Some(rest) = text.strip_prefix("CONNECT ") {
                let connect_delay = self.lock()[index].connect_delay;
                std::thread::sleep(connect_delay);
                let expected = rest.split(' ').nth(2).map(str::to_owned);
                session.account = rest.split(' ').nth(1).unwrap_or_default().to_owned();
                let instances = self.lock();
                if expected.is_some_and(|id| id != instances[index].id) {
                    return socket.write_all(b"ERR MISROUTED another one\r\n");
                }
                write!(socket, "READY I {}\r\n", last_position(&instances[index].log))?;
                continue;
            }
            let Some((_, statement)) = text.strip_prefix("QUERY ").and_then(|q| q.split_once(' '))
            else {
                return Ok(());
            };
            if self.lock()[index].unresponsive {
                continue;
            }
            let (rows, result) = self.execute(index, &mut session, statement);
            let committed = session.committed.take().filter(|_| self.synchronous);
            if committed.is_some_and(|len| !self.wait_for_replica(index, len)) {
                return Ok(());
            }
            let rows: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
            let result = match result {
                Ok(signature) => format!("DONE {signature}\r\n"),
                Err(code) => format!("ERR {code} no\r\n"),
            };
            let state = if session.transaction.is_some() { "T" } else { "I" };
            let position = last_position(&self.lock()[index].log);
            write!(socket, "{rows}{result}READY {state} {position}\r\n")?;
        }
        Ok(())
    }

    fn accept_connections(self: Arc<Self>, index: usize, listener: TcpListener) {
        for socket in listener.incoming().flatten() {
            if !self.lock()[index].running {
                return;
            }
            let group = Arc::clone(&self);
            std::thread::spawn(move || {
                {
                    let mut instances = group.lock();
                    if instances[index].connections >= instances[index].max_connections {
                        instances[index].refused_connections += 1;
                        drop(instances);
                        BufReader::new(&socket).read_line(&mut String::new())?;
                        return (&socket).write_all(b"ERR TOOMANY connections\r\n");
                    }
                    instances[index].connections += 1;
                }
                let served = Arc::clone(&group).serve_connection(index, socket);
                group.lock()[index].connections -= 1;
                served
            });
        }
    }

    /// Answers promotion requests over HTTP and promotes the instances that run. A request that ends early has no effect.
    fn serve_promotions(self: Arc<Self>, listener: TcpListener) {
        for mut socket in listener.incoming().flatten() {
            let group = Arc::clone(&self);
            std::thread::spawn(move || {
                let (head, body) = http::read_message(&mut socket)?;
                group.order_promotion(&mut socket, &head, &body);
                Some(())
            });
        }
    }

    fn order_promotion(self: &Arc<Self>, socket: &mut TcpStream, head: &str, body: &[u8]) {
        let field = |name: &str| {
            let line =
                head.lines().find(|line| line.to_lowercase().starts_with(&format!("{name}:")));
            line.and_then(|line| line.split_once(':'))
                .map(|(_, v)| v.trim().to_owned())
                .unwrap_or_default()
        };
        let body: serde_json::Value = serde_json::from_slice(body).unwrap();
        let id = body["Id"].as_str().expect("an id").to_owned();
        let token = field("fence-token").parse().expect("a token");
        let running = {
            let mut promotions = self.promotions.lock().unwrap();
            promotions.push((id.clone(), field("holder"), token));
            self.lock().iter().any(|instance| instance.id == id && instance.running)
        };
        let status = if running { "200 OK" } else { "409 Conflict" };
        let _ = write!(socket, "HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        if running {
            let group = Arc::clone(self);
            std::thread::spawn(move || group.become_primary(&id));
        }
    }

    /// Makes an instance lead the next term with the log that it has. Nothing changes if it leads the newest term.
    fn become_primary(&self, id: &str) {
        std::thread::sleep(PROMOTION_DURATION);
        {
            let mut instances = self.lock();
            let index = instances.iter().position(|instance| instance.id == id).unwrap();
            let primaries = instances.iter().filter(|i| i.primary && i.running);
            let newest = primaries.max_by_key(|i| i.term).map(|i| i.id.clone());
            if newest.as_deref() == Some(id) || !instances[index].running {
                return;
            }
            let term = 1 + instances.iter().map(|instance| instance.term).max().unwrap();
            instances.iter_mut().for_each(|instance| instance.paused = false);
            // The others follow it; those that are ahead are rolled back.
            instances[index].detached = false;
            (instances[index].primary, instances[index].term) = (true, term);
            replicate(&mut instances, index);
        }
        std::thread::sleep(STEP_DOWN_DURATION);
        let mut instances = self.lock();
        let newest = instances.iter().filter(|i| i.primary && i.running).map(|i| i.term).max();
        for instance in instances.iter_mut().filter(|i| i.running && !i.detached) {
            if Some(instance.term) < newest {
                instance.primary = false;
            }
        }
        replicate_newest(&mut instances);
    }
}

/// Three control processes and two proxies, which run the real binary, and one group. Each has an address of its own.
pub struct Fleet {
    subnet: u8,
    dir: tempfile::TempDir,
    pub proxies: Vec<u8>,
    processes: BTreeMap<u8, Child>,
    pub group: Arc<Group>,
    /// The path of each control process to the platform, if the fleet has such paths.
    pub paths: BTreeMap<u8, Path>,
    /// The relay in front of the control processes, if there is one.
    pub peers: Option<Peers>,
}

/// The ports that the platform assigns on every VM.
pub const FRONT_PORT: u16 = 17_301;
const READY_PORT: u16 = 17_302;
const CONTROL_PORT: u16 = 17_303;
pub const INTERNAL_PORT: u16 = 17_304;
pub const METRICS_PORT: u16 = 17_305;
const INSTANCE_PORT: u16 = 17_306;
const PROMOTE_PORT: u16 = 17_307;

/// The last part of the addresses of control processes, proxies, instances and the platform.
pub const VOTERS: [u8; 3] = [1, 2, 3];
pub const PROXIES: [u8; 2] = [11, 12];
const INSTANCES: [u8; 3] = [21, 22, 23];
const PLATFORM_VM: u8 = 31;

/// What is added to the last part of a control process's address for its path to the platform, for the relay in front of
/// it, and for the address behind that relay. The first control process has no other address behind the relay: the one
/// that founds the log must have the lowest address that it knows.
const PATH_OFFSET: u8 = 50;
const RELAY_OFFSET: u8 = 40;
const BEHIND_RELAY_OFFSET: u8 = 100;

/// The connections that an instance accepts unless a test says otherwise.
pub const MAX_CONNECTIONS: usize = 28;

impl Fleet {
    /// Starts the fleet on the addresses 127.`subnet`.0.x and declares a database of each consistency.
    pub fn up(subnet: u8) -> Self {
        Self::up_with(subnet, &PROXIES, MAX_CONNECTIONS)
    }

    /// Starts a fleet with these proxies, whose instances accept `max_connections` connections each.
    pub fn up_with(subnet: u8, proxies: &[u8], max_connections: usize) -> Self {
        Self::start(subnet, proxies, max_connections, false)
    }

    /// Starts a fleet with a [`Path`] from each control process to the platform and a relay in front of each, whose
    /// instances acknowledge a commit only once a replica has received it.
    pub fn up_behind_paths(subnet: u8) -> Self {
        Self::start(subnet, &PROXIES, MAX_CONNECTIONS, true)
    }

    fn start(subnet: u8, proxies: &[u8], max_connections: usize, behind_paths: bool) -> Self {
        let group = Arc::new(Group {
            instances: Mutex::default(),
            max_connections,
            synchronous: behind_paths,
            promotions: Mutex::default(),
        });
        let dir = tempfile::tempdir().unwrap();
        let proxies = proxies.to_vec();
        let (processes, paths, peers) = (BTreeMap::new(), BTreeMap::new(), None);
        let mut fleet = Self { subnet, dir, proxies, processes, group, paths, peers };
        for (index, vm) in INSTANCES.into_iter().enumerate() {
            let address = fleet.address(vm, INSTANCE_PORT);
            let listener = TcpListener::bind(address).expect("the instance's address");
            let id = format!("i-{vm}");
            let (term, running, state) = (1, true, "ready");
            fleet.group.lock().push(Instance {
                id,
                address,
                primary: index == 0,
                term,
                log: Vec::new(),
                running,
                crashes: 0,
                detached: false,
                paused: false,
                state,
                sequence: 0,
                unresponsive: false,
                connect_delay: Duration::ZERO,
                max_connections,
                connections: 0,
                refused_connections: 0,
                executed: Vec::new(),
                accounts: Vec::new(),
            });
            let group = Arc::clone(&fleet.group);
            std::thread::spawn(move || group.accept_connections(index, listener));
        }
        let listener = TcpListener::bind(fleet.address(PLATFORM_VM, PROMOTE_PORT)).unwrap();
        let group = Arc::clone(&fleet.group);
        std::thread::spawn(move || group.serve_promotions(listener));
        if behind_paths {
            fleet.open_paths();
        }
        VOTERS.into_iter().for_each(|vm| fleet.start_process(vm, true));
        for vm in fleet.proxies.clone() {
            fleet.start_process(vm, true);
        }
        fleet.send_heartbeats();
        fleet.put_configuration(1, 800);
        fleet.wait_until("the proxies are ready", |fleet| {
            fleet.proxies.iter().all(|vm| fleet.is_ready(*vm))
        });
        // The control plane adopts the group's first primary only after it has queried all instances.
        for vm in &fleet.proxies {
            fleet.connect(*vm, "desk").query_until_done("FETCH nothing");
        }
        fleet
    }

    fn open_paths(&mut self) {
        for vm in VOTERS {
            let listen = self.address(vm + PATH_OFFSET, PROMOTE_PORT);
            self.paths.insert(vm, Path::open(listen, self.address(PLATFORM_VM, PROMOTE_PORT)));
        }
        let routes = VOTERS.map(|vm| Route {
            node: format!("control-{vm}"),
            listen: self.address(vm + RELAY_OFFSET, INTERNAL_PORT),
            target: self.address(vm + Self::behind_relay(vm), INTERNAL_PORT),
        });
        self.peers = Some(Peers::open(routes.to_vec()));
    }

    fn behind_relay(vm: u8) -> u8 {
        if vm == VOTERS[0] { 0 } else { BEHIND_RELAY_OFFSET }
    }

    /// Returns the host at which the process on `vm` reaches a control process.
    fn voter_host(&self, vm: u8, voter: u8) -> u8 {
        match self.peers {
            Some(_) if vm == voter => voter + Self::behind_relay(voter),
            Some(_) => voter + RELAY_OFFSET,
            None => voter,
        }
    }

    pub fn address(&self, vm: u8, port: u16) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.subnet, 0, vm).into(), port)
    }

    /// Starts a control process or proxy, with settings in a file.
    pub fn start_process(&mut self, vm: u8, first_start: bool) {
        let seeds: Vec<String> = VOTERS
            .iter()
            .map(|voter| format!("\"{}\"", self.address(self.voter_host(vm, *voter), CONTROL_PORT)))
            .collect();
        let promoter_host = if self.paths.is_empty() { PLATFORM_VM } else { vm + PATH_OFFSET };
        let role = if VOTERS.contains(&vm) { "control" } else { "proxy" };
        let data = self.dir.path().join(format!("data-{vm}"));
        let role_settings = match role {
            "control" => format!(
                "[control]\naddress = \"{}\"\nadmin = \"{}\"\ngateway = \"{}\"\npromoter = \"{}\"\n",
                self.address(self.voter_host(vm, vm), INTERNAL_PORT),
                self.address(vm, METRICS_PORT),
                self.address(vm, CONTROL_PORT),
                self.address(promoter_host, PROMOTE_PORT)
            ),
            _ => format!(
                "[proxy]\nlisten = \"{}\"\nready = \"{}\"\naddress = \"{}\"\nadmin = \"{}\"\ngrace = \"6s\"\n",
                self.address(vm, FRONT_PORT),
                self.address(vm, READY_PORT),
                self.address(vm, INTERNAL_PORT),
                self.address(vm, METRICS_PORT)
            ),
        };
        let settings = format!(
            "node = \"{role}-{vm}\"\ndomain = \"a\"\ndata = \"{}\"\n\
             [seeds]\nhosts = [{}]\nport = {INTERNAL_PORT}\nfirst_start = {first_start}\nlosses = 1\n{role_settings}\
             [log]\nformat = \"json\"\n",
            data.display(),
            seeds.join(", ")
        );
        let path: PathBuf = self.dir.path().join(format!("{vm}.toml"));
        std::fs::write(&path, settings).unwrap();
        // Behind paths, the log of a process goes on after a restart.
        let appends = self.peers.is_some();
        let mut options = std::fs::File::options();
        options.create(true).write(true).append(appends).truncate(!appends);
        let log = options.open(self.log_file(vm)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
            .args(["platform", role, "--settings"])
            .arg(path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        self.processes.insert(vm, child);
    }

    /// Sends a signal, such as `-TERM`, to the process on a VM. After `-STOP` the process has stopped.
    pub fn signal(&self, vm: u8, signal: &str) {
        let id = self.processes[&vm].id();
        assert!(Command::new("kill").args([signal, &id.to_string()]).status().unwrap().success());
        if signal == "-STOP" {
            process::wait_until_stopped(id);
        }
    }

    /// Waits for a process to exit and returns whether its status was 0.
    pub fn wait_for_exit(&mut self, vm: u8) -> bool {
        let child = self.processes.get_mut(&vm).unwrap();
        let start = Instant::now();
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                self.processes.remove(&vm);
                return status.success();
            }
            assert!(start.elapsed() < TIMEOUT, "the process on VM {vm} did not exit");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Starts a thread that sends heartbeats of all running instances until the fleet is dropped.
    fn send_heartbeats(&self) {
        let group = Arc::downgrade(&self.group);
        let addresses: Vec<SocketAddr> =
            VOTERS.iter().map(|vm| self.address(*vm, CONTROL_PORT)).collect();
        std::thread::spawn(move || {
            let mut next = 0;
            while let Some(group) = group.upgrade() {
                let heartbeats: Vec<(String, String)> = {
                    let mut instances = group.lock();
                    let running = instances.iter_mut().filter(|instance| instance.running);
                    running.map(heartbeat).collect()
                };
                for (id, body) in heartbeats {
                    let request_line = format!("PUT /instances/{id}");
                    for _ in 0..addresses.len() {
                        let address = addresses[next % addresses.len()];
                        let answer =
                            http::send_within(HEARTBEAT_TIMEOUT, address, &request_line, &body);
                        if answer.is_some_and(|(status, _)| status == 200) {
                            break;
                        }
                        next += 1;
                    }
                }
                std::thread::sleep(Duration::from_millis(300));
            }
        });
    }

    /// Sends a configuration with this timeout for all databases until a control process answers, and returns the
    /// status.
    pub fn put_configuration(&self, version: u64, timeout_ms: u64) -> u16 {
        self.put_configuration_text(&configuration(version, timeout_ms, self.group.max_connections))
    }

    /// Sends a configuration until a control process answers, and returns the status.
    pub fn put_configuration_text(&self, body: &str) -> u16 {
        let start = Instant::now();
        loop {
            let status = VOTERS.iter().find_map(|vm| {
                let answer = http::send(self.address(*vm, CONTROL_PORT), "PUT /config", body);
                answer.map(|(status, _)| status).filter(|status| *status < 500)
            });
            if let Some(status) = status {
                return status;
            }
            assert!(start.elapsed() < TIMEOUT, "no control process accepted or refused {body}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn is_ready(&self, vm: u8) -> bool {
        let answer = http::send(self.address(vm, READY_PORT), "GET /readyz", "");
        answer.is_some_and(|(status, _)| status == 200)
    }

    pub fn wait_until(&self, event: &str, condition: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            assert!(start.elapsed() < TIMEOUT, "not in time: {event}\n{}", self.logs());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until some proxies serve the group, and returns them, by the newest line that each has on its share.
    pub fn serving(&self) -> Vec<u8> {
        let read = |fleet: &Self| -> Vec<u8> {
            let serves = |vm: &&u8| {
                let log = std::fs::read_to_string(fleet.log_file(**vm)).unwrap_or_default();
                let newest = log.lines().rfind(|line| line.contains("\"event\":\"share\""));
                newest.is_some_and(|line| !line.contains("\"permits\":0"))
            };
            fleet.proxies.iter().filter(serves).copied().collect()
        };
        self.wait_until("some proxies serve the group", |fleet| !read(fleet).is_empty());
        read(self)
    }

    /// Returns the path of the log of the process on a VM.
    pub fn log_file(&self, vm: u8) -> PathBuf {
        self.dir.path().join(format!("{vm}.log"))
    }

    /// Returns the paths of the logs of all processes.
    pub fn log_files(&self) -> Vec<PathBuf> {
        let vms = VOTERS.iter().chain(&self.proxies);
        vms.map(|vm| self.log_file(*vm)).collect()
    }

    /// Returns the control process that leads by its log.
    pub fn leader(&self) -> Option<u8> {
        let leads = |vm: &u8| {
            let log = std::fs::read_to_string(self.log_file(*vm)).unwrap_or_default();
            let mut changes = log.lines().filter(|line| line.contains("\"leads\":"));
            changes.next_back().is_some_and(|line| line.contains("\"leads\":true"))
        };
        VOTERS.into_iter().find(leads)
    }

    /// Returns the logs of all processes.
    pub fn logs(&self) -> String {
        let read_log = |vm: &u8| std::fs::read_to_string(self.log_file(*vm));
        let vms = VOTERS.iter().chain(&self.proxies);
        vms.map(|vm| format!("== {vm}\n{}", read_log(vm).unwrap_or_default())).collect()
    }

    pub fn connect(&self, vm: u8, database: &str) -> Caller {
        Caller::connect(self.address(vm, FRONT_PORT), database, "me")
    }

    pub fn connect_with_key(&self, vm: u8, database: &str, key: &str) -> Caller {
        Caller::connect(self.address(vm, FRONT_PORT), database, key)
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

/// Returns a configuration with a database of each consistency.
pub fn configuration(version: u64, timeout_ms: u64, max_connections: usize) -> String {
    let route = |host: &str, consistency: &str, age: &str| {
        format!(
            "{{\"Name\":\"r-{host}\",\"Host\":\"{host}\",\"PathPrefix\":\"/\",\"Type\":\"{consistency}\",\
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
         \"MaxConns\":{max_connections},\"Protocol\":\"h1\",\"Tls\":false,\"SyncCount\":1}}],\"Limits\":{{\"TxIdleMs\":3000}}}}",
        routes.join(",")
    )
}
