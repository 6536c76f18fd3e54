//! An instance's announcement: a hint that is checked by asking the instance itself, and that expires
//! unless renewed. It never makes an instance primary.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::wire::{Replica, Role};

/// How long an announcement holds unless it is renewed.
pub const TTL: Duration = Duration::from_secs(10);

/// The body of `POST /announce` on a proxy's admin address, as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Which instance this is and where.
    #[serde(flatten)]
    pub replica: Replica,
    /// What the instance believes to be.
    pub role: Role,
    /// The term the instance is on.
    pub term: id::Term,
    /// Its position.
    pub position: id::Position,
}
