//! Claims ports on loopback for a fleet that is about to start.
//!
//! Tests start several fleets at once. A port looks free to all of them until a process has bound it, so claims are kept in
//! a file that only one process at a time may change.

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use serde::{Deserialize, Serialize};

/// Unprivileged ports below the range that the system assigns to outgoing connections.
const PORT_RANGE: Range<u16> = 10_000..32_000;

/// How long a claim lasts: much longer than a fleet takes to bind its ports, or than a test leaves a stopped process of its
/// fleet down.
const CLAIM_LIFETIME: Duration = Duration::from_secs(600);

/// The number of random ranges that are tried.
const MAX_ATTEMPTS: usize = 1_000;

/// The name of the file with the claims, in the directory for temporary files.
pub const CLAIMS: &str = "cactushatch-bench-ports.json";

/// A range of ports that belongs to a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    ports: Range<u16>,
    /// When the range was claimed, since the Unix epoch.
    at: Duration,
}

/// Claims `count` consecutive free ports and returns the first.
///
/// # Errors
///
/// Fails if the claims can't be read or written, or if there are not that many free ports in a row.
pub fn claim(claims: &Path, count: u16) -> anyhow::Result<u16> {
    let mut file = open(claims).with_context(|| claims.display().to_string())?;
    file.lock()?;
    let mut text = String::new();
    file.read_to_string(&mut text)?;
    let mut known: Vec<Claim> = match text.is_empty() {
        true => Vec::new(),
        false => serde_json::from_str(&text).context("the claims of ports")?,
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?;
    known.retain(|claim| now.saturating_sub(claim.at) < CLAIM_LIFETIME);
    let ports = find(&known, count).with_context(|| format!("no {count} free ports in a row"))?;
    let first = ports.start;
    known.push(Claim { ports, at: now });
    file.set_len(0)?;
    file.rewind()?;
    file.write_all(&serde_json::to_vec(&known)?)?;
    Ok(first)
}

fn open(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)
}

fn find(known: &[Claim], count: u16) -> Option<Range<u16>> {
    let last = PORT_RANGE.end.checked_sub(count)?;
    let claimed = |ports: &Range<u16>| {
        known.iter().any(|claim| claim.ports.start < ports.end && ports.start < claim.ports.end)
    };
    (0..MAX_ATTEMPTS)
        .map(|_| fastrand::u16(PORT_RANGE.start..last))
        .map(|first| first..first + count)
        .find(|ports| !claimed(ports) && ports.clone().all(is_free))
}

fn is_free(port: u16) -> bool {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}
