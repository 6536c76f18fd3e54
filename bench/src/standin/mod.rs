//! The stand-in for one upstream instance: PostgreSQL protocol over SQLite, two slots, a bounded number of
//! connections, asynchronous replication with adjustable lag, terms and positions, promotion by SQL, and
//! faults on command. One thread for each connection.

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

/// What one stand-in instance is like.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The group.
    pub group: id::Group,
    /// The instance.
    pub instance: id::Instance,
    /// The failure domain.
    pub domain: id::Domain,
    /// Where it takes connections; replication listens one port higher, faults two ports higher.
    pub listen: SocketAddr,
    /// Where its files go.
    pub data: PathBuf,
    /// How many statements run at once.
    pub slots: usize,
    /// How many instances the group has.
    pub instances: usize,
    /// How many connections it takes.
    pub connections: usize,
    /// How long a new connection takes.
    pub connect_time: Duration,
    /// How long each statement holds its slot, besides its own work.
    pub service_time: Duration,
    /// How long after its commit on the primary a replica applies a transaction.
    pub lag: Duration,
    /// How long a message between instances takes.
    pub delay: Duration,
    /// Whom it follows at first; `None` makes it the first primary.
    pub follow: Option<SocketAddr>,
    /// The proxies that it announces itself to, by admin address.
    pub announce: Vec<SocketAddr>,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Fails when a socket or file can't be opened.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    let journal = journal::Journal::open(&settings)?;
    let instance = Arc::new(instance::Instance::new(settings, journal));
    replication::spawn(&instance)?;
    announce::spawn(&instance);
    fault::spawn(&instance)?;
    server::listen(&instance)
}
