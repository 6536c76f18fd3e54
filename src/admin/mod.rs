//! HTTP server and client for operators, announcements and metrics. Bodies are JSON, except for metrics and errors.

mod client;
mod guarded;
mod server;

pub use client::{Client, get, post};
pub use guarded::Guard;
pub use server::{Reply, Request, serve, serve_metrics};

/// Maximum size of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Failure of an HTTP request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established, so nothing was sent.
    #[error("{0}")]
    Connect(std::io::Error),
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The HTTP exchange failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The body is longer than [`MAX_BODY_BYTES`] or was cut short.
    #[error("{0}")]
    Body(String),
    /// The guard of the request withheld its body.
    #[error("{0}")]
    Withheld(#[from] Withheld),
    /// The server reported the success of a request whose body was not sent yet, so that its answer is not that of the
    /// request.
    #[error("the answer came before the request was sent")]
    Premature,
    /// A body could not be encoded as JSON or decoded from it.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The server answered with an error status.
    #[error("{message} (HTTP status {status})")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        message: String,
    },
}

/// The guard of a request withheld its body, so that the request takes no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("this process may have been replaced")]
pub struct Withheld;
