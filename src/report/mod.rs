//! What a process tells about itself: metrics, and the report on service-level burn.
//!
//! Metrics are counted first and logged only when a state changes. See `docs/DESIGN.md`, "Metrics".

pub mod burn;
mod label;
mod limit;
mod metrics;

pub use label::{Failure, Lease, Outcome, Peer, Refusal, Target};
pub use limit::{Limit, Verdict};
pub use metrics::Metrics;
