//! HTTP with JSON, for operators, announcements and metrics.

mod client;
mod server;

pub use client::{Client, get, post};
pub use server::{Reply, Request, serve, serve_metrics};

/// The longest body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Why a request over HTTP failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection can't be made, so nothing was sent.
    #[error("{0}")]
    Connect(std::io::Error),
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// HTTP failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The body is longer than [`MAX_BODY_BYTES`] or was cut short.
    #[error("{0}")]
    Body(String),
    /// The body is not the JSON that was expected.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The other side refused.
    #[error("{message} (HTTP status {status})")]
    Refused {
        /// The status.
        status: u16,
        /// What it said.
        message: String,
    },
}
