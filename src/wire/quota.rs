//! The lending of an account's operations to proxies, carried by heartbeats and grants. See
//! `docs/design/load-and-accounts.md`, "Quotas over the whole fleet".

use serde::{Deserialize, Serialize};

use crate::id;

/// Proxy to leader: what a proxy spent and needs of one account. Totals make lost and repeated reports harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The account.
    pub account: id::Account,
    /// Grows when the proxy discards or returns tokens. Limits of earlier generations are void then; the totals go on.
    pub generation: u32,
    /// The number of tokens spent in the proxy's incarnation. An operation spends its token when its outcome is known.
    pub spent: u64,
    /// The number of tokens that the proxy may have spent in its incarnation.
    pub limit: u64,
    /// The number of tokens that the proxy would like to hold, including those of the operations in progress.
    pub wanted: u32,
}

/// Leader to proxy: how much of one account a proxy may have spent in total.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// The account.
    pub account: id::Account,
    /// The generation that the limit is for.
    pub generation: u32,
    /// The number of tokens that the proxy may have spent in its incarnation.
    pub limit: u64,
    /// When there will be more, in milliseconds, if the proxy got less than it wanted; 0 if there are few left, so that
    /// the proxy should return what it doesn't use.
    pub retry_ms: Option<u32>,
}
