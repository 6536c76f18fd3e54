//! A stand-in for the users' platform, which runs on threads of the test: database instances of one group that speak
//! the line protocol, and the HTTP service that promotes them. Starts processes of the real binary, and acts as their
//! callers and operator.

#![allow(dead_code, reason = "each test file uses only some of these items")]

mod caller;
pub mod content;
pub mod disturber;
mod group;
mod http;
pub mod ledger;
pub mod load;
pub mod path;
pub mod peers;
#[path = "../process/mod.rs"]
mod process;
mod seconds;
mod service;
mod session;
pub mod sessions;
pub mod unrest;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[allow(unused_imports, reason = "each test file uses only some of these items")]
pub use caller::{Answer, Caller, Reply};
use group::{Instance, heartbeat};
use ledger::Ledger;
use path::Path;
use peers::{Peers, Route};
use service::Service;
#[allow(unused_imports, reason = "each test file uses only some of these items")]
pub use {
    group::Group,
    http::send as send_http,
    seconds::{Extent, SecondAnswers},
    session::resolve_exec,
};

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
            seconds: Mutex::default(),
            signatures: AtomicU64::default(),
            signed: Mutex::default(),
            ledger: Ledger::default(),
            service: Service::default(),
            promotion_delay: Mutex::default(),
            effects: Mutex::default(),
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
                silences: 0,
                detached: false,
                held_term: 0,
                state,
                sequence: 0,
                born: 1_700_000_000_000,
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
