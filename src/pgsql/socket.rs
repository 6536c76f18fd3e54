//! A TCP socket with or without TLS.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use bytes::BytesMut;
use futures_rustls::TlsStream;
use postgres_protocol::message::frontend;
use smol::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use smol::net::TcpStream;

use crate::security::Connector;

/// A connection to a caller or an upstream. Clones share the connection, so that one half can read while the other
/// writes; both halves must be used by the same task.
#[derive(Debug, Clone)]
pub enum Socket {
    /// A connection without TLS.
    Plain(TcpStream),
    /// A connection over TLS.
    Tls(Arc<Mutex<TlsStream<TcpStream>>>),
}

impl Socket {
    /// Connects to the upstream at `address`, over TLS if there is a connector. There is no fallback to an unencrypted
    /// connection if the upstream refuses TLS.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, the upstream does not support TLS, or its certificate is not valid.
    pub async fn connect(
        address: SocketAddr,
        connector: Option<&Connector>,
    ) -> std::io::Result<Self> {
        let mut socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let Some(connector) = connector else {
            return Ok(Self::Plain(socket));
        };
        let mut request = BytesMut::new();
        frontend::ssl_request(&mut request);
        socket.write_all(&request).await?;
        let mut answer = [0; 1];
        socket.read_exact(&mut answer).await?;
        if answer != *b"S" {
            return Err(std::io::Error::other("the upstream has no TLS"));
        }
        Ok(connector.connect(socket).await?.into())
    }

    /// Wraps a connection accepted by a listener.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket option can't be set.
    pub fn from_accepted(socket: TcpStream) -> std::io::Result<Self> {
        socket.set_nodelay(true)?;
        Ok(Self::Plain(socket))
    }
}

impl From<TlsStream<TcpStream>> for Socket {
    fn from(stream: TlsStream<TcpStream>) -> Self {
        Self::Tls(Arc::new(Mutex::new(stream)))
    }
}

fn lock(stream: &Mutex<TlsStream<TcpStream>>) -> MutexGuard<'_, TlsStream<TcpStream>> {
    stream.lock().expect("no thread panics while holding this lock")
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_read(context, buffer),
            Self::Tls(stream) => Pin::new(&mut *lock(stream)).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_write(context, bytes),
            Self::Tls(stream) => Pin::new(&mut *lock(stream)).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_flush(context),
            Self::Tls(stream) => Pin::new(&mut *lock(stream)).poll_flush(context),
        }
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_close(context),
            Self::Tls(stream) => Pin::new(&mut *lock(stream)).poll_close(context),
        }
    }
}
