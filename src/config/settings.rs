//! The settings of a process: its name, its addresses and its peers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::{Error, Rate, Secret, Size, Span, read};
use crate::id;

/// Default user name for connections to upstreams.
pub(super) const DEFAULT_UPSTREAM_USER: &str = "cactushatch";

/// Default size limit of the burn report's history.
pub(super) const DEFAULT_HISTORY_SIZE: Size = Size(16 * 1024 * 1024);

/// Default rate limit of log lines of one kind.
const DEFAULT_LOG_RATE: Rate = Rate(50);

/// The checked settings of a process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the process.
    pub node: id::Node,
    /// Failure domain of the process.
    pub domain: id::Domain,
    /// Directory of the durable state; `None` for a proxy without a disk.
    pub data: Option<PathBuf>,
    /// The control voters to contact first.
    pub voters: Vec<Voter>,
    /// Where control processes find each other if the settings list no voters.
    pub seeds: Option<Seeds>,
    /// Settings of the proxy role.
    pub proxy: Option<Proxy>,
    /// Settings of the control role.
    pub control: Option<Control>,
    /// Keys, certificates and credentials.
    pub security: Security,
    /// Logging.
    pub log: Log,
    /// Size limit of the burn report's history in the data directory.
    pub history: Size,
}

/// Keys, certificates and credentials. A feature without its setting is off, and [`Settings::warnings`] reports it.
#[derive(Debug, Clone, Default)]
pub struct Security {
    /// TLS for connections from callers.
    pub tls: Option<Tls>,
    /// SCRAM verifiers of callers.
    pub users: Option<Secret>,
    /// Password for connections to upstreams.
    pub upstream_password: Option<Secret>,
    /// Root certificates by which upstreams are verified. Without them, connections to upstreams don't use TLS.
    pub upstream_roots: Option<PathBuf>,
    /// Key ring that seals the frames between proxies and control processes.
    pub keys: Option<Secret>,
    /// Digests of the operators' tokens.
    pub operators: Option<Secret>,
}

/// A certificate chain and its private key, as PEM files.
#[derive(Debug, Clone)]
pub struct Tls {
    /// Certificate chain, the server's own certificate first.
    pub certificate: PathBuf,
    /// Private key.
    pub key: Secret,
}

/// Logging of a process.
#[derive(Debug, Clone)]
pub struct Log {
    /// Format of a line.
    pub format: Format,
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// Rate limit of lines of one kind. Lines beyond it are counted and suppressed.
    pub rate: Rate,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

impl Default for Log {
    fn default() -> Self {
        Self { format: Format::Text, level: log::LevelFilter::Info, rate: DEFAULT_LOG_RATE }
    }
}

/// A control voter as listed in the settings.
#[derive(Debug, Clone)]
pub struct Voter {
    /// Name of the process.
    pub node: id::Node,
    /// Address on which it receives frames, over UDP and TCP.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Address of its admin HTTP server.
    pub admin: SocketAddr,
}

/// Addresses of some control processes at the time the settings were written. They only serve for discovery: the log
/// alone determines the voters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seeds {
    /// Addresses on which they receive frames.
    pub addresses: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    pub first_start: bool,
    /// Number of control processes that may fail at the same time.
    pub losses: u32,
}

impl Seeds {
    /// Returns the number of voters that keeps a majority after the planned losses, of which there is at least one.
    pub fn voter_count(&self) -> usize {
        2 * self.losses.max(1) as usize + 1
    }
}

/// Settings of the proxy role.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Address on which it accepts callers.
    pub listen: SocketAddr,
    /// Address on which it receives frames, over UDP.
    pub address: SocketAddr,
    /// Address of the admin HTTP server, which also takes announcements and serves metrics.
    pub admin: SocketAddr,
    /// User name for connections to upstreams.
    pub user: String,
    /// Address on which a load balancer checks whether it accepts new sessions.
    pub ready: Option<SocketAddr>,
    /// Time from SIGTERM until a supervisor kills the process, if it does.
    pub grace: Option<Span>,
    /// How statements are placed on serving proxies and instances.
    pub placement: Placement,
    /// In which order the statements of a group start.
    pub scheduling: Scheduling,
}

/// How statements are placed on serving proxies and instances. See `docs/design/placement.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Placement {
    /// By this proxy's own statements.
    #[default]
    Local,
    /// Also by estimates of the load of others and of the lag of replicas, in groups that are served by chosen proxies.
    Estimated,
}

/// In which order the statements of a group start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Scheduling {
    /// By priority; one start in eight goes to the statement that has waited longest.
    #[default]
    Priority,
    /// By priority, objective, fair shares of accounts and deadline, in groups that chosen proxies serve.
    Objective,
}

/// Settings of the control role.
#[derive(Debug, Clone)]
pub struct Control {
    /// Address on which it receives frames, over UDP and TCP.
    pub address: SocketAddr,
    /// Address of the admin HTTP server, which also serves metrics.
    pub admin: SocketAddr,
    /// User name for connections to upstreams.
    pub user: String,
    /// Address on which it receives the announcements and declarations of an external platform.
    pub gateway: Option<SocketAddr>,
    /// Address of the external service that promotes instances.
    pub promoter: Option<SocketAddr>,
    /// How far accounts may exceed their quotas.
    pub quota: QuotaBound,
}

/// How far an account may exceed its quota: in any window it may run (`rate` x window + `burst`) x (1 + excess) + slack
/// operations. The part above the quota covers tokens that are leased where they are not needed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct QuotaBound {
    /// The window.
    pub window: Duration,
    /// The excess, as a part of the quota of a window.
    pub excess: f64,
    /// The number of operations on top of that.
    pub slack: u32,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is not valid; all faults are reported at once.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: name.clone(), source })?;
        Self::parse(&name, &text)
    }

    /// Parses and checks settings; `path` is the file name shown in faults.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid; all faults are reported at once.
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        read::settings(path, text)
    }

    /// Returns warnings about settings that are valid but unsafe.
    pub fn warnings(&self) -> Vec<&'static str> {
        let security = &self.security;
        let mut warnings = Vec::new();
        if security.keys.is_none() {
            warnings.push("security.keys is off: anyone who can reach the frame address can send commands to this process");
        }
        if security.operators.is_none() {
            warnings.push(
                "security.operators is off: anyone who can reach the admin address can plan and confirm changes",
            );
        }
        if self.proxy.is_some() && security.tls.is_none() {
            warnings
                .push("security.certificate is off: connections from callers are not encrypted");
        }
        if self.proxy.is_some() && security.users.is_none() {
            warnings.push("security.users is off: callers are not authenticated");
        }
        if security.upstream_roots.is_none() {
            warnings
                .push("security.upstream_roots is off: connections to upstreams are not encrypted");
        }
        if self.control.is_some() && self.seeds.is_none() && self.voters.len().is_multiple_of(2) {
            warnings
                .push("voters is an even number: one voter fewer would tolerate as many failures");
        }
        warnings
    }
}
