//! The HTTP server.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use serde::Serialize;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;

use super::MAX_BODY_BYTES;
use crate::clock::Clock;
use crate::report::Metrics;

/// The delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL, without the query.
    pub path: String,
    /// Query of the URL, or an empty string.
    pub query: String,
    /// Complete body.
    pub body: Bytes,
    /// Bearer token of the sender, if any.
    pub token: Option<String>,
}

/// A response to a request.
#[derive(Debug, Clone)]
pub struct Reply {
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
}

impl Reply {
    /// Returns a response with `value` as JSON.
    pub fn json(value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => {
                Self { status: StatusCode::OK, content_type: "application/json", body: body.into() }
            }
            Err(error) => Self::refuse(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Returns a JSON response from text that is JSON already.
    pub fn json_text(body: String) -> Self {
        Self { status: StatusCode::OK, content_type: "application/json", body: body.into() }
    }

    /// Returns a plain text response.
    pub fn text(body: String) -> Self {
        Self {
            status: StatusCode::OK,
            content_type: "text/plain; charset=utf-8",
            body: body.into(),
        }
    }

    /// Returns a response with metrics in the OpenMetrics format.
    pub fn metrics(body: String) -> Self {
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        Self { status: StatusCode::OK, content_type, body: body.into() }
    }

    /// Returns an error response.
    pub fn refuse(status: StatusCode, message: &str) -> Self {
        Self { status, content_type: "text/plain; charset=utf-8", body: message.to_owned().into() }
    }
}

/// Serves the connections that `listener` accepts; `handle` answers each request.
///
/// # Errors
///
/// Fails if accepting a connection fails.
pub async fn serve<F>(
    listener: TcpListener,
    handle: impl Fn(Request) -> F + Clone + Send + Sync + 'static,
) -> std::io::Result<()>
where
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((socket, _)) => smol::spawn(serve_connection(socket, handle.clone())).detach(),
            Err(error) => {
                log::warn!(
                    "a connection could not be accepted: {error}; retrying in {ACCEPT_RETRY_DELAY:?}"
                );
                Clock::system().sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the metrics of a process, and nothing else, until the listener fails.
pub async fn serve_metrics(metrics: Metrics, listener: TcpListener) {
    let handle = move |request: Request| {
        let metrics = metrics.clone();
        async move {
            match (&request.method, request.path.as_str()) {
                (&Method::GET, "/metrics") => Reply::metrics(metrics.encode()),
                _ => Reply::refuse(StatusCode::NOT_FOUND, "there is nothing here"),
            }
        }
    };
    if let Err(error) = serve(listener, handle).await {
        log::error!("metrics listener failed, metrics are no longer served: {error}");
    }
}

async fn serve_connection<F>(
    socket: TcpStream,
    handle: impl Fn(Request) -> F + Send + Sync + 'static,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let handle = &handle;
    let service = service_fn(move |request: hyper::Request<Incoming>| async move {
        let reply = match read_request(request).await {
            Ok(request) => handle(request).await,
            Err(reply) => reply,
        };
        Ok::<_, Infallible>(response(reply))
    });
    let result = http1::Builder::new().serve_connection(FuturesIo::new(socket), service).await;
    if let Err(error) = result {
        log::debug!("admin connection failed: {error}");
    }
}

async fn read_request(request: hyper::Request<Incoming>) -> Result<Request, Reply> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|e| Reply::refuse(StatusCode::PAYLOAD_TOO_LARGE, &e.to_string()))?;
    Ok(Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or("").to_owned(),
        body: body.to_bytes(),
        token: bearer_token(&head.headers),
    })
}

/// Returns the token of an `Authorization: Bearer TOKEN` header.
fn bearer_token(headers: &hyper::HeaderMap) -> Option<String> {
    let header = headers.get(hyper::header::AUTHORIZATION)?.to_str().ok()?;
    header.strip_prefix("Bearer ").map(str::to_owned)
}

fn response(reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    let content_type = hyper::header::HeaderValue::from_static(reply.content_type);
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}
