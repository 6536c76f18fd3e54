//! A fleet of real processes for tests, started by `scripts/fleet` and ended when dropped.

#![allow(dead_code, reason = "each test file uses its part")]

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Mutex;

use postgres::{Client, Config, NoTls};

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    dir: tempfile::TempDir,
    /// The processes that the test itself started.
    restarted: Mutex<Vec<Child>>,
}

impl Fleet {
    /// Starts a fleet of the profile `imena`.
    pub fn up() -> Self {
        Self::up_with_options(&[])
    }

    /// Starts a fleet with more options of `scripts/fleet up`.
    pub fn up_with_options(options: &[&str]) -> Self {
        let dir = tempfile::tempdir().expect("a temporary folder");
        let path = dir.path().display().to_string();
        run_script(&[&["up", path.as_str()], options].concat());
        Self { dir, restarted: Mutex::default() }
    }

    /// Returns the fleet's folder.
    pub fn path(&self) -> &Path {
        self.dir.path()
    }

    /// Returns the address of the proxy with number `proxy`, counted from 0.
    pub fn proxy_address(&self, index: usize) -> String {
        let proxies = std::fs::read_to_string(self.path().join("proxies")).expect("proxies");
        proxies.lines().nth(index).expect("so many proxies").to_owned()
    }

    /// Sets the faults of an instance, as one line of JSON.
    pub fn set_faults(&self, instance: &str, faults: &str) {
        let upstreams = std::fs::read_to_string(self.path().join("upstreams")).expect("upstreams");
        let line = upstreams.lines().find_map(|line| line.strip_prefix(&format!("{instance} ")));
        let mut address: std::net::SocketAddr = line.expect("an instance").parse().unwrap();
        address.set_port(address.port() + 2);
        let mut stream = std::net::TcpStream::connect(address).expect("the fault port");
        writeln!(stream, "{faults}").expect("the fault is sent");
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).expect("an answer");
        assert_eq!(answer, "ok\n");
    }

    /// Connects to the proxy with number `proxy`, counted from 0.
    pub fn connect(&self, index: usize, group: &str) -> Client {
        self.connect_with_options(index, group, "")
    }

    /// Connects with start-up options.
    pub fn connect_with_options(&self, index: usize, group: &str, options: &str) -> Client {
        self.try_connect_with_options(index, group, options).expect("the proxy takes callers")
    }

    /// Connects, or says why the proxy doesn't take the caller.
    pub fn try_connect(&self, index: usize, group: &str) -> Result<Client, postgres::Error> {
        self.try_connect_with_options(index, group, "")
    }

    fn try_connect_with_options(
        &self,
        index: usize,
        group: &str,
        options: &str,
    ) -> Result<Client, postgres::Error> {
        let proxies = std::fs::read_to_string(self.path().join("proxies")).expect("proxies");
        let address = proxies.lines().nth(index).expect("so many proxies");
        let (host, port) = address.split_once(':').expect("an address");
        let mut config = Config::new();
        config.host(host).port(port.parse().expect("a port")).user("test").dbname(group);
        if !options.is_empty() {
            config.options(options);
        }
        config.connect(NoTls)
    }

    /// Starts a control process again with its settings.
    pub fn restart_control(&self, name: &str) {
        let path = |folder: &str, name: &str| self.path().join(folder).join(name);
        let log = File::create(path("log", &format!("{name}-again"))).expect("a log");
        let settings = path("settings", &format!("{name}.toml"));
        let process = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
            .args(["control", "--settings"])
            .arg(settings)
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the process starts");
        let append_line = |file: &str, line: String| {
            let file = OpenOptions::new().append(true).open(self.path().join(file));
            writeln!(file.expect("a list"), "{line}").expect("a list");
        };
        append_line("pids", process.id().to_string());
        append_line("names", format!("{} {name}", process.id()));
        self.restarted.lock().expect("no test panics here").push(process);
    }

    /// Asks control for its status, through any voter.
    pub fn status(&self) -> Option<serde_json::Value> {
        let admins = std::fs::read_to_string(self.path().join("admin")).expect("admin");
        let output = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
            .args(["status", "--json", "--admin", &admins.trim().replace('\n', ",")])
            .output()
            .expect("the command runs");
        output.status.success().then(|| serde_json::from_slice(&output.stdout).expect("JSON"))
    }

    /// Kills the process with this name, by its pid.
    pub fn kill(&self, name: &str) {
        self.signal(name, "-9");
    }

    /// Sends a signal to the process with this name, by its pid.
    pub fn signal(&self, name: &str, signal: &str) {
        let names = std::fs::read_to_string(self.path().join("names")).expect("names");
        let line = names.lines().rfind(|line| line.ends_with(&format!(" {name}")));
        let pid = line.and_then(|line| line.split_once(' ')).expect("a process of that name").0;
        let status = Command::new("kill").args([signal, pid]).status().expect("kill runs");
        assert!(status.success(), "{name} was not running");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        run_script(&["down", &self.path().display().to_string()]);
        for process in self.restarted.get_mut().expect("no test panics here") {
            let _ = process.wait();
        }
    }
}

fn run_script(arguments: &[&str]) {
    let script: PathBuf = [env!("CARGO_MANIFEST_DIR"), "scripts", "fleet"].iter().collect();
    let output = Command::new(script).args(arguments).output().expect("scripts/fleet runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "scripts/fleet {arguments:?}: {errors}");
}
