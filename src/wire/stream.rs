//! Frames over TCP, each prefixed with its length as four bytes, big-endian.

use std::net::SocketAddr;

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use super::frame::check_length;
use super::{Error, Frame, MAX_FRAME_BYTES, SEAL_BYTES, Seal};
use crate::socket;

/// A TCP connection that carries frames.
#[derive(Debug, Clone)]
pub struct Stream {
    socket: TcpStream,
    seal: Seal,
}

impl Stream {
    /// Connects to the process at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn connect(address: SocketAddr) -> Result<Self, Error> {
        Self::from_accepted(TcpStream::connect(address).await?)
    }

    /// Connects to the process at `address`, sends a frame and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the response is not a valid frame.
    pub async fn request(address: SocketAddr, seal: &Seal, frame: &Frame) -> Result<Frame, Error> {
        let mut stream = Self::connect(address).await?.with_seal(seal);
        stream.send(frame).await?;
        stream.receive().await
    }

    /// Wraps a connection accepted by a listener.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket option can't be set.
    pub fn from_accepted(socket: TcpStream) -> Result<Self, Error> {
        socket.set_nodelay(true)?;
        Ok(Self { socket, seal: Seal::default() })
    }

    /// Seals frames sent from now on and verifies received frames with `seal`. If `seal` has keys, unsealed frames
    /// are rejected.
    pub fn with_seal(self, seal: &Seal) -> Self {
        Self { seal: seal.clone(), ..self }
    }

    /// Resets the connection when the stream is dropped or the process ends, so that the kernel discards what it has not
    /// delivered. After a plain close it goes on sending.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket option can't be set.
    pub fn reset_on_close(&self) -> Result<(), Error> {
        Ok(socket::reset_on_close(&self.socket)?)
    }

    /// Returns the socket, on which the end of the connection can be seen.
    pub fn socket(&self) -> &TcpStream {
        &self.socket
    }

    /// Returns whether the peer has closed the connection, or has sent something that nobody asked for.
    pub async fn is_closed(&self) -> bool {
        let mut buffer = [0; 1];
        smol::future::poll_once(self.socket.peek(&mut buffer)).await.is_some()
    }

    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long or the socket fails.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.send_sized(frame).await.map(drop)
    }

    /// Sends a frame and returns the number of bytes written.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long or the socket fails.
    pub async fn send_sized(&mut self, frame: &Frame) -> Result<usize, Error> {
        let body = self.seal.encode(frame)?;
        let mut bytes = Vec::with_capacity(4 + body.len());
        bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&body);
        self.socket.write_all(&bytes).await?;
        Ok(bytes.len())
    }

    /// Receives a frame. The length is checked before memory is allocated for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long or invalid, or if the connection fails or is closed.
    pub async fn receive(&mut self) -> Result<Frame, Error> {
        let mut header = [0; 4];
        self.socket.read_exact(&mut header).await?;
        let len = u32::from_be_bytes(header) as usize;
        check_length(len, MAX_FRAME_BYTES + SEAL_BYTES)?;
        let mut body = vec![0; len];
        self.socket.read_exact(&mut body).await?;
        self.seal.decode(&body)
    }
}
