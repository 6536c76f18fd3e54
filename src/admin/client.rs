//! The HTTP client of the command line and of control.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use super::{Error, MAX_BODY_BYTES};

/// A client that presents the token of an operator, or none.
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
    /// Returns a client that presents `token`.
    pub fn with_token(token: &str) -> Self {
        Self { token: Some(token.to_owned()) }
    }

    /// Asks for `path` and returns the body.
    ///
    /// # Errors
    ///
    /// Fails when the other side can't be reached or refuses.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Bytes, Error> {
        self.call(address, Method::GET, path, &[], Bytes::new()).await
    }

    /// Posts `body` as JSON and returns the answer's JSON.
    ///
    /// # Errors
    ///
    /// Fails when the other side can't be reached, refuses, or answers something else.
    pub async fn post<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body)?;
        let answer = self.call(address, Method::POST, path, &[], body.into()).await?;
        Ok(serde_json::from_slice(&answer)?)
    }

    /// Sends a request with more headers, and returns the body of the answer.
    ///
    /// # Errors
    ///
    /// Fails when the other side can't be reached or refuses.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let socket = TcpStream::connect(address).await.map_err(Error::Connect)?;
        let (mut sender, connection) = http1::handshake(FuturesIo::new(socket)).await?;
        let driver = smol::spawn(connection);
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
        let response = sender.send_request(request.body(Full::new(body))?).await?;
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
}

/// Asks for `path` without a token and returns the body.
///
/// # Errors
///
/// Fails when the other side can't be reached or refuses.
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes, Error> {
    Client::default().get(address, path).await
}

/// Posts `body` as JSON without a token and returns the answer's JSON.
///
/// # Errors
///
/// Fails when the other side can't be reached, refuses, or answers something else.
pub async fn post<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<T, Error> {
    Client::default().post(address, path, body).await
}
