//! What a process tells about itself: metrics, and the report on service-level burn.
//!
//! Metrics are counted first and logged only when a state changes. See `docs/DESIGN.md`, "Metrics".

pub mod burn;
pub mod event;
mod label;
mod limit;
mod metrics;
mod queue;
pub mod story;

pub use event::Event;
pub use label::{Call, Failure, Lease, Outcome, Peer, Refusal, Target};
pub use limit::{Limit, Verdict};
pub use metrics::Metrics;
pub use queue::Queue;
