//! The proxy: serves callers under the decisions of the control plane and routes their requests by the positions of the
//! upstreams.
//!
//! Data flows one way: frame, request, class, route, connection, answer, outcome. See `docs/DESIGN.md`,
//! "The request path".

mod admin;
pub mod admission;
mod batch;
mod burn;
mod caller;
pub mod cancel;
pub mod classify;
pub mod fence;
pub mod floor;
pub mod gap;
mod handshake;
pub(crate) mod heartbeat;
pub mod lexer;
mod monitor;
pub mod outcome;
pub mod peak;
mod pool;
pub mod position_history;
pub mod record;
mod relay;
pub mod retry;
pub mod route;
mod server;
pub mod session;
pub mod setting;
pub(crate) mod shutdown;
mod state;
mod sweep;
mod traffic;

pub use burn::BurnSnapshot;
pub use server::{Server, spawn};

/// Why a proxy failed to start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings have no `[proxy]` table.
    #[error("the settings have no [proxy] table")]
    NotProxy,
    /// A file of keys, certificates or users is unreadable or invalid.
    #[error("{0}")]
    Security(#[from] crate::security::Error),
    /// A socket operation failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}
