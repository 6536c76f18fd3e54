//! Requests that take effect only while their sender may give them.
//!
//! Closing a connection doesn't take back what was written to it: the kernel keeps sending it, even after the process
//! has ended, and a request that waits in a cut path takes effect when the path is back. So the body of such a request
//! is sent only once its guard allows it, and the connection is reset instead of closed. See `docs/DESIGN.md`, "Orders".

use std::error::Error as _;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::Method;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use smol::net::TcpStream;
use smol::stream;

use super::client::{Client, exchange};
use super::{Error, Withheld};
use crate::socket;

/// Allows the body of a request to be sent, or withholds it.
pub type Guard = Pin<Box<dyn Future<Output = Result<(), Withheld>> + Send>>;

impl Client {
    /// Sends a request whose body follows its head once `guard` allows it, and returns the response body. Whatever has not
    /// been acknowledged is taken back when the returned future is dropped, when this process ends, and when it stays
    /// unacknowledged for `validity`.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached or answers with an error status, if the guard withholds the body, or if the
    /// server reports success before the body has left.
    pub async fn send_guarded(
        &self,
        address: SocketAddr,
        request: (Method, &str, &[(&str, &str)]),
        body: Bytes,
        validity: Duration,
        guard: Guard,
    ) -> Result<Bytes, Error> {
        let (method, path, headers) = request;
        let length = body.len();
        let has_left = Arc::new(AtomicBool::new(false));
        let chunk = stream::once_future({
            let has_left = Arc::clone(&has_left);
            async move {
                guard.await?;
                has_left.store(true, Ordering::SeqCst);
                Ok::<_, Withheld>(Frame::data(body))
            }
        });
        let request = self
            .request(address, method, path, headers)
            .header(CONTENT_LENGTH, length)
            .body(StreamBody::new(chunk))?;
        let connection = TcpStream::connect(address).await.map_err(Error::Connect)?;
        socket::withdraw_on_close(&connection, validity).map_err(Error::Connect)?;
        let mut response = exchange(connection.clone(), request).await;
        if response.is_ok() && !has_left.load(Ordering::SeqCst) {
            response = Err(Error::Premature);
        }
        if response.is_ok()
            && let Err(error) = socket::deliver_on_close(&connection)
        {
            log::debug!("the connection to {address} will be reset: {error}");
        }
        match response {
            Err(Error::Http(error)) if is_withheld(&error) => Err(Withheld.into()),
            response => response,
        }
    }
}

fn is_withheld(error: &hyper::Error) -> bool {
    error.source().is_some_and(|source| source.is::<Withheld>())
}
