//! The HTTP client.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::header::AUTHORIZATION;
use hyper::http::request;
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use super::{Error, MAX_BODY_BYTES};

/// An HTTP client, with or without an operator's token.
#[derive(Clone, Default)]
pub struct Client {
    token: Option<String>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").field("token", &self.token.is_some()).finish()
    }
}

impl Client {
    /// Returns a client that sends `token` with each request.
    pub fn with_token(token: &str) -> Self {
        Self { token: Some(token.to_owned()) }
    }

    /// Sends a GET request for `path` and returns the response body.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached or answers with an error status.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Bytes, Error> {
        self.send(address, Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a POST request with `body` as JSON and decodes the response from JSON.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached, or answers with an error status or a body that can't be decoded.
    pub async fn post<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body)?;
        let response_body = self.send(address, Method::POST, path, &[], body.into()).await?;
        Ok(serde_json::from_slice(&response_body)?)
    }

    /// Sends a request with additional headers and returns the response body.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached or answers with an error status.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let request = self.request(address, method, path, headers).body(Full::new(body))?;
        let socket = TcpStream::connect(address).await.map_err(Error::Connect)?;
        exchange(socket, request).await
    }

    /// Returns a request without a body.
    pub(super) fn request(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
    ) -> request::Builder {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        request
    }
}

/// Sends a request over a new connection and returns the response body.
pub(super) async fn exchange<B>(socket: TcpStream, request: Request<B>) -> Result<Bytes, Error>
where
    B: Body<Data: Send, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + Send + 'static,
{
    let (mut sender, connection) = http1::handshake(FuturesIo::new(socket)).await?;
    let driver = smol::spawn(connection);
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

/// Sends a GET request for `path` without a token and returns the response body.
///
/// # Errors
///
/// Fails if the server can't be reached or answers with an error status.
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes, Error> {
    Client::default().get(address, path).await
}

/// Sends a POST request with `body` as JSON, without a token, and decodes the response from JSON.
///
/// # Errors
///
/// Fails if the server can't be reached, or answers with an error status or a body that can't be decoded.
pub async fn post<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<T, Error> {
    Client::default().post(address, path, body).await
}
