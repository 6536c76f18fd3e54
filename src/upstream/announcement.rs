//! The announcement of an instance. It is only a hint: proxies verify it by probing the instance, it expires
//! unless it is renewed, and it never makes an instance primary.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::wire::{Replica, Role};

/// The time after which an announcement expires unless it is renewed.
pub const TTL: Duration = Duration::from_secs(10);

/// The body of `POST /announce` on a proxy's admin address, as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The announced instance.
    #[serde(flatten)]
    pub replica: Replica,
    /// The role that the instance believes it has.
    pub role: Role,
    /// The current term of the instance.
    pub term: id::Term,
    /// The position of the instance.
    pub position: id::Position,
}

/// Why an announcement is refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is not an announcement in JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// No connection can be opened to the address.
    #[error("no connection can be opened to {address}")]
    Address {
        /// The rejected address.
        address: SocketAddr,
    },
}

impl Announcement {
    /// Decodes the body of an announcement.
    ///
    /// # Errors
    ///
    /// Fails if the body is not an announcement in JSON, or names an address that accepts no connections.
    pub fn decode(body: &[u8]) -> Result<Self, Error> {
        let announcement: Self = serde_json::from_slice(body)?;
        let address = announcement.replica.address;
        if is_connectable(address) { Ok(announcement) } else { Err(Error::Address { address }) }
    }
}

/// Returns whether a process on any VM can open a connection to the address. Whoever lists another one would query it
/// in vain, and would wait for the instance at every failover of its group.
pub fn is_connectable(address: SocketAddr) -> bool {
    // An IPv6 scope has a meaning only on the VM that uses it, and is lost in frames.
    let is_scoped = matches!(address, SocketAddr::V6(address) if address.scope_id() != 0);
    let ip = address.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !is_scoped && !is_broadcast && !ip.is_unspecified() && !ip.is_multicast()
}
