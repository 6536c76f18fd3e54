//! The HTTP server.

use std::convert::Infallible;

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
use crate::report::Metrics;

/// A request whose body has been read.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query, or nothing.
    pub query: String,
    /// The body.
    pub body: Bytes,
    /// The token that the sender presents, or none.
    pub token: Option<String>,
}

/// What is answered.
#[derive(Debug, Clone)]
pub struct Reply {
    status: StatusCode,
    kind: &'static str,
    body: Bytes,
}

impl Reply {
    /// Answers with JSON.
    pub fn json(value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => {
                Self { status: StatusCode::OK, kind: "application/json", body: body.into() }
            }
            Err(error) => Self::refuse(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Answers with JSON that is encoded already.
    pub fn json_text(body: String) -> Self {
        Self { status: StatusCode::OK, kind: "application/json", body: body.into() }
    }

    /// Answers with text.
    pub fn text(body: String) -> Self {
        Self { status: StatusCode::OK, kind: "text/plain; charset=utf-8", body: body.into() }
    }

    /// Answers with metrics as Prometheus reads them.
    pub fn metrics(body: String) -> Self {
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        Self { status: StatusCode::OK, kind, body: body.into() }
    }

    /// Answers with an error.
    pub fn refuse(status: StatusCode, message: &str) -> Self {
        Self { status, kind: "text/plain; charset=utf-8", body: message.to_owned().into() }
    }
}

/// Serves every connection that `listener` takes; `handle` answers each request.
///
/// # Errors
///
/// Fails when the listener does.
pub async fn serve<F>(
    listener: TcpListener,
    handle: impl Fn(Request) -> F + Clone + Send + Sync + 'static,
) -> std::io::Result<()>
where
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let (socket, _) = listener.accept().await?;
        smol::spawn(connection(socket, handle.clone())).detach();
    }
}

/// Serves a process's metrics and nothing else, until the listener fails.
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
        log::error!("metrics can't be served any more: {error}");
    }
}

async fn connection<F>(socket: TcpStream, handle: impl Fn(Request) -> F + Send + Sync + 'static)
where
    F: Future<Output = Reply> + Send + 'static,
{
    let handle = &handle;
    let service = service_fn(move |request: hyper::Request<Incoming>| async move {
        let reply = match read(request).await {
            Ok(request) => handle(request).await,
            Err(reply) => reply,
        };
        Ok::<_, Infallible>(response(reply))
    });
    let served = http1::Builder::new().serve_connection(FuturesIo::new(socket), service).await;
    if let Err(error) = served {
        log::debug!("an operator's connection ended: {error}");
    }
}

async fn read(request: hyper::Request<Incoming>) -> Result<Request, Reply> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|e| Reply::refuse(StatusCode::PAYLOAD_TOO_LARGE, &e.to_string()))?;
    Ok(Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or("").to_owned(),
        body: body.to_bytes(),
        token: bearer(&head.headers),
    })
}

/// Returns the token of `Authorization: Bearer TOKEN`.
fn bearer(headers: &hyper::HeaderMap) -> Option<String> {
    let header = headers.get(hyper::header::AUTHORIZATION)?.to_str().ok()?;
    header.strip_prefix("Bearer ").map(str::to_owned)
}

fn response(reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    let kind = hyper::header::HeaderValue::from_static(reply.kind);
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    response
}
