//! A stand-in for one upstream instance: the PostgreSQL protocol over SQLite, with a limited number of slots
//! and connections, asynchronous replication with an adjustable lag, terms and positions, promotion by SQL, and
//! fault injection. Each connection has a thread.

mod announce;
mod codec;
mod counter;
mod execute;
mod fault;
mod instance;
pub mod journal;
mod replication;
mod reply;
mod server;
mod slot;
mod sql;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use cactushatch::id;

pub use counter::{Counts, Report};

/// The settings of a stand-in instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The group.
    pub group: id::Group,
    /// The instance.
    pub instance: id::Instance,
    /// The failure domain.
    pub domain: id::Domain,
    /// Where the instance listens for clients; replication is on the next port, faults on the one after.
    pub listen: SocketAddr,
    /// The directory for the log and the database.
    pub data: PathBuf,
    /// How many statements run at once.
    pub slots: usize,
    /// How many instances the group has.
    pub instances: usize,
    /// The connection limit.
    pub connections: usize,
    /// The time to open a connection.
    pub connect_time: Duration,
    /// How long each statement holds its slot in addition to its execution.
    pub service_time: Duration,
    /// How long after receiving a transaction a replica applies it.
    pub lag: Duration,
    /// The delay of each batch from the primary to a follower.
    pub delay: Duration,
    /// The primary to follow at the start; `None` makes this instance the first primary.
    pub follow: Option<SocketAddr>,
    /// The admin addresses of the proxies that get announcements.
    pub announce: Vec<SocketAddr>,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Fails if a socket or file can't be opened.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    let journal = journal::Journal::open(&settings)?;
    let instance = Arc::new(instance::Instance::new(settings, journal));
    replication::spawn(&instance)?;
    announce::spawn(&instance);
    fault::spawn(&instance)?;
    server::listen(&instance)
}
