//! Observability: metrics, log events, the timeline of a request, and the report on error budgets.
//!
//! Occurrences are counted in metrics, and logged only when a state changes. See `docs/DESIGN.md`, "Metrics".

pub mod burn;
pub mod event;
mod label;
pub mod largest;
mod metrics;
mod queue;
mod rate_limiter;
pub mod timeline;

pub use event::Event;
pub use label::{
    Evidence, Failure, ForwardResult, LeaseAnswer, Opening, Outcome, Peer, PromotionAnswer,
    QuotaResult, Refusal, Rejection, Replacement, Target,
};
pub use metrics::{Metrics, Tally};
pub use queue::Queue;
pub use rate_limiter::{RateLimiter, Verdict};
