//! The announcement of an instance. It is only a hint: proxies verify it by probing the instance, it expires
//! unless it is renewed, and it never makes an instance primary.

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
