//! The HTTP client of the command line.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use super::{Error, MAX_BODY_BYTES};

/// Asks for `path` and returns the body.
///
/// # Errors
///
/// Fails when the other side can't be reached or refuses.
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes, Error> {
    call(address, Method::GET, path, Bytes::new()).await
}

/// Posts `body` as JSON and returns the answer's JSON.
///
/// # Errors
///
/// Fails when the other side can't be reached, refuses, or answers something else.
pub async fn post<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<T, Error> {
    let body = serde_json::to_vec(body)?;
    let answer = call(address, Method::POST, path, body.into()).await?;
    Ok(serde_json::from_slice(&answer)?)
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, Error> {
    let socket = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(socket)).await?;
    let driver = smol::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(body))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| Error::Body(error.to_string()))?.to_bytes();
    drop(driver);
    if status.is_success() {
        return Ok(body);
    }
    let message = String::from_utf8_lossy(&body).into_owned();
    Err(Error::Refused { status: status.as_u16(), message })
}
