//! Positions of primaries in heartbeats and grants, by which proxies without a connection to a primary learn how recent
//! its replicas are. See `docs/DESIGN.md`, "Sessions and reads".

use serde::{Deserialize, Serialize};

use crate::id;
use crate::proxy::floor::Mark;

/// Stands for the heartbeat in a report that the leader can't date. No heartbeat has this number.
pub const UNDATED: id::Sequence = id::Sequence(0);

/// A position that a proxy read from a primary under a valid lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The group of the primary.
    pub group: id::Group,
    /// The position.
    pub mark: Mark,
    /// The position was requested after the proxy had received the answer to this heartbeat from the leader of the term
    /// that it has seen. Clocks differ, so the leader dates the position by when it sent that answer. [`UNDATED`] if the
    /// position was requested before this leader answered.
    pub after: id::Sequence,
}

/// A position that another proxy reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The group of the primary.
    pub group: id::Group,
    /// The position.
    pub mark: Mark,
    /// The greatest time in milliseconds that may have passed between the request for the position and the answer that
    /// carries it.
    pub age_ms: u32,
}
