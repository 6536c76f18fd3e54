//! Runs a fleet of real processes for tests. `scripts/fleet` starts the processes; dropping the fleet ends them.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

#[path = "../process/mod.rs"]
mod process;

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
    /// The control processes that the test restarted.
    restarted: Mutex<Vec<Child>>,
}

impl Fleet {
    /// Starts a fleet with the default profile `imena`.
    pub fn up() -> Self {
        Self::up_with_options(&[])
    }

    /// Starts a fleet with additional options of `scripts/fleet up`.
    pub fn up_with_options(options: &[&str]) -> Self {
        let dir = tempfile::tempdir().expect("the temporary directory is created");
        let path = dir.path().display().to_string();
        run_script(&[&["up", path.as_str()], options].concat());
        Self { dir, restarted: Mutex::default() }
    }

    /// Returns the directory with the settings, logs and address lists of the fleet.
    pub fn path(&self) -> &Path {
        self.dir.path()
    }

    /// Returns the address of the proxy with this index, counted from 0.
    pub fn proxy_address(&self, index: usize) -> String {
        let proxies = std::fs::read_to_string(self.path().join("proxies"))
            .expect("the list of proxies is readable");
        proxies.lines().nth(index).expect("the fleet has a proxy with this index").to_owned()
    }

    /// Sets the faults that a stand-in instance injects, given as one line of JSON.
    pub fn set_faults(&self, instance: &str, faults: &str) {
        let upstreams = std::fs::read_to_string(self.path().join("upstreams"))
            .expect("the list of upstreams is readable");
        let line = upstreams.lines().find_map(|line| line.strip_prefix(&format!("{instance} ")));
        let mut address: std::net::SocketAddr =
            line.expect("the instance is listed").parse().unwrap();
        address.set_port(address.port() + 2);
        let mut stream =
            std::net::TcpStream::connect(address).expect("the fault port accepts connections");
        writeln!(stream, "{faults}").expect("the faults are sent");
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).expect("the instance answers");
        assert_eq!(answer, "ok\n");
    }

    /// Connects to the proxy with this index, counted from 0.
    pub fn connect(&self, index: usize, group: &str) -> Client {
        self.connect_with_options(index, group, "")
    }

    /// Connects with the given start-up options.
    pub fn connect_with_options(&self, index: usize, group: &str, options: &str) -> Client {
        self.try_connect_with_options(index, group, options)
            .expect("the proxy accepts the connection")
    }

    /// Connects, or returns the error with which the proxy refused the connection.
    pub fn try_connect(&self, index: usize, group: &str) -> Result<Client, postgres::Error> {
        self.try_connect_with_options(index, group, "")
    }

    fn try_connect_with_options(
        &self,
        index: usize,
        group: &str,
        options: &str,
    ) -> Result<Client, postgres::Error> {
        let proxies = std::fs::read_to_string(self.path().join("proxies"))
            .expect("the list of proxies is readable");
        let address = proxies.lines().nth(index).expect("the fleet has a proxy with this index");
        let (host, port) = address.split_once(':').expect("the address has a port");
        let mut config = Config::new();
        config
            .host(host)
            .port(port.parse().expect("the port is a number"))
            .user("test")
            .dbname(group);
        if !options.is_empty() {
            config.options(options);
        }
        config.connect(NoTls)
    }

    /// Restarts a control process with its settings. Adds it to the fleet's lists of processes, so that
    /// `scripts/fleet down` ends it.
    pub fn restart_control(&self, name: &str) {
        let path = |folder: &str, name: &str| self.path().join(folder).join(name);
        let log =
            File::create(path("log", &format!("{name}-again"))).expect("the log file is opened");
        let settings = path("settings", &format!("{name}.toml"));
        let process = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
            .args(["control", "--settings"])
            .arg(settings)
            .stdout(log.try_clone().expect("the log file is opened"))
            .stderr(log)
            .spawn()
            .expect("the process starts");
        let append_line = |file: &str, line: String| {
            let file = OpenOptions::new().append(true).open(self.path().join(file));
            writeln!(file.expect("the list is appended to"), "{line}")
                .expect("the list is appended to");
        };
        append_line("pids", process.id().to_string());
        append_line("names", format!("{} {name}", process.id()));
        self.restarted.lock().expect("nothing panics while it holds the lock").push(process);
    }

    /// Returns the logs of the processes that were restarted.
    pub fn restart_logs(&self) -> String {
        let entries = std::fs::read_dir(self.path().join("log")).expect("the logs are readable");
        let paths = entries.map(|entry| entry.expect("the logs are readable").path());
        let restarted = paths.filter(|path| path.display().to_string().ends_with("-again"));
        let read = |path: PathBuf| std::fs::read_to_string(path).unwrap_or_default();
        restarted.map(read).collect()
    }

    /// Returns the status of the control plane through any voter, or `None` if the command fails.
    pub fn status(&self) -> Option<serde_json::Value> {
        let admins = std::fs::read_to_string(self.path().join("admin"))
            .expect("the list of admin addresses is readable");
        let output = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
            .args(["status", "--json", "--admin", &admins.trim().replace('\n', ",")])
            .output()
            .expect("the command runs");
        output
            .status
            .success()
            .then(|| serde_json::from_slice(&output.stdout).expect("the status is JSON"))
    }

    /// Kills the process with this name.
    pub fn kill(&self, name: &str) {
        self.signal(name, "-9");
    }

    /// Sends a signal to the last process that was started under this name. After `-STOP` the process has stopped.
    pub fn signal(&self, name: &str, signal: &str) {
        let names = std::fs::read_to_string(self.path().join("names"))
            .expect("the list of names is readable");
        let line = names.lines().rfind(|line| line.ends_with(&format!(" {name}")));
        let pid = line
            .and_then(|line| line.split_once(' '))
            .expect("a process with this name was started")
            .0;
        let status = Command::new("kill").args([signal, pid]).status().expect("kill runs");
        assert!(status.success(), "{name} was not running");
        if signal == "-STOP" {
            process::wait_until_stopped(pid.parse().expect("an id"));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        run_script(&["down", &self.path().display().to_string()]);
        for process in self.restarted.get_mut().expect("nothing panics while it holds the lock") {
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
