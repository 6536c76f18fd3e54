//! The directory of a fleet, as written by `scripts/fleet`, and commands to its processes.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use anyhow::Context;
use cactushatch::clock::Clock;
use cactushatch::config;
use cactushatch::pgsql::{Client, Row};
use rustix::process::{Pid, Signal, kill_process};

use crate::standin::Report;
use cactushatch::wire::Role;

/// Timeout of a connection to an instance; a query gets five times as long.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a command to a fault port or to the link.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// A fleet that is up.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The fleet's directory.
    pub dir: PathBuf,
    /// The addresses of the proxies for callers.
    pub proxies: Vec<SocketAddr>,
    /// The addresses of the instances, by name.
    pub upstreams: BTreeMap<String, SocketAddr>,
    /// The failure domain of every process, by name.
    pub domains: BTreeMap<String, String>,
    /// The declarations.
    pub declarations: config::Fleet,
}

impl Fleet {
    /// Reads the directory of a fleet.
    pub fn open(dir: &Path) -> anyhow::Result<Self> {
        let read = |name: &str| {
            let path = dir.join(name);
            std::fs::read_to_string(&path).with_context(|| path.display().to_string())
        };
        let proxies = read("proxies")?;
        let proxies: Result<_, _> = proxies.lines().map(str::parse).collect();
        let mut upstreams = BTreeMap::new();
        for line in read("upstreams")?.lines() {
            let (name, address) =
                line.split_once(' ').context("malformed line in upstreams: no address")?;
            upstreams.insert(name.to_owned(), address.parse()?);
        }
        let mut domains = BTreeMap::new();
        for line in read("domains")?.lines() {
            let (name, domain) =
                line.split_once(' ').context("malformed line in domains: no domain")?;
            domains.insert(name.to_owned(), domain.to_owned());
        }
        let declarations = config::Fleet::parse("groups.toml", &read("groups.toml")?)?;
        Ok(Self { dir: dir.to_owned(), proxies: proxies?, upstreams, domains, declarations })
    }

    /// Returns the names of the groups.
    pub fn groups(&self) -> Vec<String> {
        self.declarations.group.keys().map(ToString::to_string).collect()
    }

    /// Returns the group of an instance; empty if there is none.
    pub fn group_of(&self, instance: &str) -> String {
        let groups = self.groups();
        let owner = groups.iter().find(|group| instance.starts_with(&format!("{group}-")));
        owner.cloned().unwrap_or_default()
    }

    /// Returns the instances of a group.
    pub fn instances(&self, group: &str) -> impl Iterator<Item = (&String, SocketAddr)> {
        let prefix = format!("{group}-");
        let all = self.upstreams.iter().map(|(name, address)| (name, *address));
        all.filter(move |(name, _)| name.starts_with(&prefix))
    }

    /// Returns the first request of a group that is declared `once`.
    pub fn once_request(&self, group: &str) -> Option<String> {
        let requests = &self.declarations.group.get(&group.parse().ok()?)?.request;
        let once = requests.iter().find(|(_, request)| request.once);
        once.map(|(name, _)| name.to_string())
    }

    /// Returns the first request of a group that allows stale reads, with its maximum age.
    pub fn max_age_request(&self, group: &str) -> Option<(String, Duration)> {
        let requests = &self.declarations.group.get(&group.parse().ok()?)?.request;
        let aged =
            requests.iter().find_map(|(name, request)| request.max_age.map(|age| (name, age)));
        aged.map(|(name, age)| (name.to_string(), age.0))
    }

    /// Runs `scripts/fleet`; see the function `run_script`.
    pub fn run_script(&self, arguments: &[&str]) -> anyhow::Result<()> {
        run_script(arguments)
    }

    /// Returns the process id of a process of the fleet; after a restart, that of the last start.
    pub fn pid(&self, name: &str) -> anyhow::Result<Pid> {
        let names = std::fs::read_to_string(self.dir.join("names"))?;
        let line = names.lines().rev().find(|line| line.ends_with(&format!(" {name}")));
        let pid = line.and_then(|line| line.split_once(' ')).and_then(|(pid, _)| pid.parse().ok());
        pid.and_then(Pid::from_raw).with_context(|| format!("the fleet has no process {name}"))
    }

    /// Sends a signal to a process of the fleet.
    pub fn signal(&self, name: &str, signal: Signal) -> anyhow::Result<()> {
        kill_process(self.pid(name)?, signal)
            .with_context(|| format!("failed to send a signal to {name}"))
    }

    /// Returns the primary of a group: of the instances that report the role, the one with the highest term.
    pub fn primary(&self, group: &str) -> anyhow::Result<String> {
        let mut newest: Option<(u64, String)> = None;
        for (name, _) in self.instances(group) {
            let Ok(status) = self.report(name) else { continue };
            let newer = newest.as_ref().is_none_or(|(term, _)| status.term > *term);
            if status.role == Role::Primary && newer {
                newest = Some((status.term, name.clone()));
            }
        }
        newest.map(|(_, name)| name).with_context(|| format!("{group} has no primary"))
    }

    /// Replaces the faults of an instance.
    pub fn set_faults(&self, instance: &str, faults: &str) -> anyhow::Result<()> {
        let answer = self.send_command(instance, faults)?;
        anyhow::ensure!(answer == "ok", "{instance} refused the faults: {answer}");
        Ok(())
    }

    /// Reads the counters, the role, the term and the position of an instance.
    pub fn report(&self, instance: &str) -> anyhow::Result<Report> {
        Ok(serde_json::from_str(&self.send_command(instance, "{\"counters\":true}")?)?)
    }

    /// Cuts off the frames between a failure domain and the others; `None` heals the cut. Does nothing if the
    /// fleet has no link.
    pub fn cut_frames(&self, domain: Option<&str>) -> anyhow::Result<()> {
        let Ok(address) = std::fs::read_to_string(self.dir.join("link")) else {
            return Ok(());
        };
        let answer = send_line(address.trim().parse()?, domain.unwrap_or_default())?;
        anyhow::ensure!(answer == "ok", "the link refused to cut off a domain: {answer}");
        Ok(())
    }

    fn send_command(&self, instance: &str, line: &str) -> anyhow::Result<String> {
        let address = self.upstreams.get(instance);
        let mut address =
            *address.with_context(|| format!("the fleet has no instance {instance}"))?;
        address.set_port(address.port() + 2);
        send_line(address, line)
    }
}

/// Sends a line and returns the line that answers it.
fn send_line(address: SocketAddr, line: &str) -> anyhow::Result<String> {
    let mut socket = TcpStream::connect_timeout(&address, COMMAND_TIMEOUT)?;
    socket.set_read_timeout(Some(COMMAND_TIMEOUT))?;
    socket.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    BufReader::new(socket).read_line(&mut answer)?;
    Ok(answer.trim().to_owned())
}

/// Runs `scripts/fleet`, relative to the working directory. The processes that it starts outlive the call.
pub fn run_script(arguments: &[&str]) -> anyhow::Result<()> {
    let mut command = Command::new("scripts/fleet");
    let ran = command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).status()?;
    anyhow::ensure!(ran.success(), "scripts/fleet {} failed", arguments.join(" "));
    Ok(())
}

/// Runs a query directly on an instance, not through a proxy.
pub async fn query(address: SocketAddr, sql: &str) -> anyhow::Result<Vec<Row>> {
    let clock = Clock::system();
    let parameters = [("user", "bench"), ("database", "bench")];
    let mut client = Client::connect(&clock, address, &parameters, None, INSTANCE_TIMEOUT).await?;
    Ok(client.query(&clock, sql, 5 * INSTANCE_TIMEOUT).await?)
}
