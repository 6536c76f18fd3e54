//! The settings of one process: who it is, where it listens, whom it talks to.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::{Error, Rate, Secret, Size, Span, read};
use crate::id;

/// The user that a process is to the upstreams when the settings name none.
pub(super) const DEFAULT_USER: &str = "cactushatch";

/// How much the history of the burn report may take when the settings don't say.
pub(super) const DEFAULT_HISTORY: Size = Size(16 * 1024 * 1024);

/// How many log lines may be written when the settings don't say.
const DEFAULT_RATE: Rate = Rate(50);

/// The settings of one process, checked.
#[derive(Debug, Clone)]
pub struct Node {
    /// The name of the process.
    pub node: id::Node,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where its durable state is; a proxy without a disk has none.
    pub data: Option<PathBuf>,
    /// The control voters that it talks to first.
    pub voters: Vec<Voter>,
    /// Where control processes find each other when the settings name no voters.
    pub seeds: Option<Seeds>,
    /// What a proxy needs.
    pub proxy: Option<Proxy>,
    /// What a control process needs.
    pub control: Option<Control>,
    /// Keys, certificates and who may do what.
    pub security: Security,
    /// How it logs.
    pub log: Log,
    /// How much of the data folder the history of the burn report may take.
    pub history: Size,
}

/// Keys, certificates and who may do what. What is left out is off, and [`Node::warnings`] says so.
#[derive(Debug, Clone, Default)]
pub struct Security {
    /// TLS towards callers.
    pub tls: Option<Tls>,
    /// The SCRAM verifiers of callers.
    pub users: Option<Secret>,
    /// The password towards upstreams.
    pub upstream_password: Option<Secret>,
    /// The certificates that upstreams are checked by; TLS towards upstreams is off without.
    pub upstream_roots: Option<PathBuf>,
    /// The key ring that seals the frames between our own processes.
    pub keys: Option<Secret>,
    /// The tokens of operators.
    pub operators: Option<Secret>,
}

/// The files of a certificate chain and its key, in PEM.
#[derive(Debug, Clone)]
pub struct Tls {
    /// The chain, the server's own certificate first.
    pub certificate: PathBuf,
    /// The key.
    pub key: Secret,
}

/// How a process logs.
#[derive(Debug, Clone)]
pub struct Log {
    /// The form of a line.
    pub format: Format,
    /// The least level that is written.
    pub level: log::LevelFilter,
    /// How many lines may be written; more are counted and left out.
    pub rate: Rate,
}

/// The form of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl Default for Log {
    fn default() -> Self {
        Self { format: Format::Text, level: log::LevelFilter::Info, rate: DEFAULT_RATE }
    }
}

/// A control voter as settings name it.
#[derive(Debug, Clone)]
pub struct Voter {
    /// Its name.
    pub node: id::Node,
    /// Where it takes frames, over UDP and TCP.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where it takes operators.
    pub admin: SocketAddr,
}

/// Where some control processes were when the settings were written. Whoever votes is told by the log alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seeds {
    /// Where they take frames.
    pub addresses: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with blank disks.
    pub first_start: bool,
    /// How many control processes may be lost at once.
    pub losses: u32,
}

impl Seeds {
    /// Returns how many voters there should be, so that a majority outlives the losses.
    pub fn seats(&self) -> usize {
        2 * self.losses.max(1) as usize + 1
    }
}

/// The addresses of a proxy.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Where it takes callers.
    pub listen: SocketAddr,
    /// Where it takes frames over UDP.
    pub address: SocketAddr,
    /// Where it takes announcements, operators and metrics.
    pub admin: SocketAddr,
    /// The user that it is to the upstreams.
    pub user: String,
    /// Where a balancer asks whether it takes new sessions.
    pub ready: Option<SocketAddr>,
    /// How long after SIGTERM it is killed, when something outside does so.
    pub grace: Option<Span>,
}

/// The addresses of a control process.
#[derive(Debug, Clone)]
pub struct Control {
    /// Where it takes frames, over UDP and TCP.
    pub address: SocketAddr,
    /// Where it takes operators and metrics.
    pub admin: SocketAddr,
    /// The user that it is to the upstreams.
    pub user: String,
    /// Where it takes the announcements and declarations of an outside platform.
    pub gateway: Option<SocketAddr>,
    /// The outside service that promotes instances.
    pub promoter: Option<SocketAddr>,
}

impl Node {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or is not valid; all faults are reported at once.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: name.clone(), source })?;
        Self::parse(&name, &text)
    }

    /// Checks settings; `path` names them in faults.
    ///
    /// # Errors
    ///
    /// Fails when they are not valid; all faults are reported at once.
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        read::node(path, text)
    }

    /// Returns what is valid and yet unsafe.
    pub fn warnings(&self) -> Vec<&'static str> {
        let security = &self.security;
        let mut warnings = Vec::new();
        if security.keys.is_none() {
            warnings.push("security.keys is off: whoever reaches the frame address can give this process orders");
        }
        if security.operators.is_none() {
            warnings.push(
                "security.operators is off: whoever reaches the admin address can plan and confirm",
            );
        }
        if self.proxy.is_some() && security.tls.is_none() {
            warnings
                .push("security.certificate is off: callers' data crosses the network in clear");
        }
        if self.proxy.is_some() && security.users.is_none() {
            warnings.push("security.users is off: callers are not asked who they are");
        }
        if security.upstream_roots.is_none() {
            warnings.push("security.upstream_roots is off: upstreams are reached in clear");
        }
        if self.control.is_some() && self.seeds.is_none() && self.voters.len().is_multiple_of(2) {
            warnings.push("voters is an even number: one voter fewer outlives as many failures");
        }
        warnings
    }
}
