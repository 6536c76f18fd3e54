//! The settings of one process: who it is, where it listens, whom it talks to.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::Error;
use crate::id;

/// The settings of one process, checked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The name of the process.
    pub node: id::Node,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where its durable state is; a proxy without a disk has none.
    pub data: Option<PathBuf>,
    /// The control voters that it talks to first.
    pub voters: Vec<Voter>,
    /// What a proxy needs.
    pub proxy: Option<Proxy>,
    /// What a control process needs.
    pub control: Option<Control>,
}

/// A control voter as settings name it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
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

/// The addresses of a proxy.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proxy {
    /// Where it takes callers.
    pub listen: SocketAddr,
    /// Where it takes frames over UDP.
    pub address: SocketAddr,
    /// Where it takes announcements, operators and metrics.
    pub admin: SocketAddr,
    /// The user that it is to the upstreams.
    #[serde(default = "default_user")]
    pub user: String,
}

/// The addresses of a control process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Where it takes frames, over UDP and TCP.
    pub address: SocketAddr,
    /// Where it takes operators and metrics.
    pub admin: SocketAddr,
    /// The user that it is to the upstreams.
    #[serde(default = "default_user")]
    pub user: String,
}

fn default_user() -> String {
    "cactushatch".to_owned()
}

impl Node {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or is not valid.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: name.clone(), source })?;
        toml::from_str(&text)
            .map_err(|error| Error::Invalid { path: name, message: error.to_string() })
    }
}
