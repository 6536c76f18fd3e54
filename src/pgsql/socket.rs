//! A socket that is plain or carries TLS.

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

/// A connection to a caller or an upstream. Clones share it, so that one half reads while the other writes; both
/// halves must be used by the same task.
#[derive(Debug, Clone)]
pub enum Socket {
    /// Bytes go as they are.
    Plain(TcpStream),
    /// Bytes go through TLS.
    Tls(Arc<Mutex<TlsStream<TcpStream>>>),
}

impl Socket {
    /// Connects to the upstream at `address`, by TLS when there is a connector; it never goes on in clear when the
    /// upstream refuses TLS.
    ///
    /// # Errors
    ///
    /// Fails when the connection can't be made, or the upstream has no TLS or can't prove who it is.
    pub async fn open(address: SocketAddr, connector: Option<&Connector>) -> std::io::Result<Self> {
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

    /// Takes a connection that a listener accepted.
    ///
    /// # Errors
    ///
    /// Fails when the socket can't be set up.
    pub fn accepted(socket: TcpStream) -> std::io::Result<Self> {
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
    stream.lock().expect("nothing panics while it holds the lock")
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
