//! Frames over TCP: a length in four bytes, big-endian, then the frame.

use std::net::SocketAddr;

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use super::frame::check_length;
use super::{Error, Frame, MAX_FRAME_BYTES, SEAL_BYTES, Seal};

/// A connection that carries frames.
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
    /// Fails when the connection can't be made.
    pub async fn open(address: SocketAddr) -> Result<Self, Error> {
        Self::accepted(TcpStream::connect(address).await?)
    }

    /// Connects to the process at `address`, sends one frame and returns the one that answers it.
    ///
    /// # Errors
    ///
    /// Fails when the connection does, or what comes is no frame.
    pub async fn ask(address: SocketAddr, seal: &Seal, frame: &Frame) -> Result<Frame, Error> {
        let mut stream = Self::open(address).await?.sealed(seal);
        stream.send(frame).await?;
        stream.receive().await
    }

    /// Takes a connection that a listener accepted.
    ///
    /// # Errors
    ///
    /// Fails when the socket can't be set up.
    pub fn accepted(socket: TcpStream) -> Result<Self, Error> {
        socket.set_nodelay(true)?;
        Ok(Self { socket, seal: Seal::default() })
    }

    /// Seals what is sent from now on, and takes sealed frames only when the seal has keys.
    pub fn sealed(self, seal: &Seal) -> Self {
        Self { seal: seal.clone(), ..self }
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Fails when the frame is too long or the socket fails.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let body = self.seal.encode(frame)?;
        let mut bytes = Vec::with_capacity(4 + body.len());
        bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&body);
        self.socket.write_all(&bytes).await?;
        Ok(())
    }

    /// Receives one frame; the length is checked before any memory is taken.
    ///
    /// # Errors
    ///
    /// Fails when the frame is too long or no frame, or the socket ends.
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
