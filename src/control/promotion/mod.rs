//! The leader's connections to instances, over which it probes, promotes, demotes and pauses them and makes them
//! follow a primary. This module only does the I/O; decisions are made elsewhere.

mod authority;
mod client;
mod order;
mod outside;

use std::fmt::Debug;
use std::pin::Pin;
use std::sync::Arc;

pub use self::authority::Authority;
pub(super) use self::order::Queue;
use crate::id;
use crate::statement::Codec;

/// The protocol by which control reaches instances.
#[derive(Debug, Clone)]
pub enum Protocol {
    /// PostgreSQL's protocol; an instance is promoted by a statement sent to it.
    Pgsql,
    /// Another protocol, with an outside service that promotes instances.
    Outside {
        /// The protocol.
        codec: &'static dyn Codec,
        /// The service.
        promoter: Arc<dyn Promoter>,
    },
}

/// An outside service that promotes instances.
pub trait Promoter: Debug + Send + Sync {
    /// Requests a promotion. `Ok` means that the service accepted the request; the instance may not be primary yet. The
    /// request must take no effect before `authority` has confirmed it, and be taken back if the returned future is dropped
    /// or `authority` ends; see [`crate::admin::Client::send_guarded`].
    fn promote(
        &self,
        promotion: Promotion,
        authority: Authority,
    ) -> Pin<Box<dyn Future<Output = Result<(), Refusal>> + Send>>;
}

/// A request to an outside service to promote an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// The group.
    pub group: id::Group,
    /// The instance to promote.
    pub instance: id::Instance,
    /// The control process that sends the request.
    pub holder: id::Node,
    /// A fencing token: the term of the control log in which that process is leader. A term has one leader at most,
    /// and a later leader has a greater term.
    pub token: id::Term,
}

/// Why an outside service did not accept a promotion.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The instance isn't running.
    #[error("the instance doesn't run")]
    NotRunning,
    /// The service declined the request, or could not be reached.
    #[error("{0}")]
    Failed(String),
    /// The request was sent, and no answer arrived. The promotion may still happen.
    #[error("{0}")]
    Unanswered(String),
}
