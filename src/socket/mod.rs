//! Options of sockets.

use std::io;
use std::time::Duration;

use smol::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// How long a connection is silent before the first TCP keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(60);

/// The interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Makes the kernel close a connection whose other end is gone without having closed it, for connections that may rest for
/// any time. It doesn't notice a process that is stuck, nor a relay that answers for the other end.
///
/// # Errors
///
/// Fails if the socket doesn't accept the options.
pub fn keep_alive(socket: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(socket).set_tcp_keepalive(&keepalive)
}

/// Makes the kernel take back what the other end has not acknowledged when the socket is closed or the process ends, by a
/// reset of the connection. After a plain close the kernel keeps sending, and the data arrives when a cut path is back.
///
/// # Errors
///
/// Fails if the socket doesn't accept the option.
pub fn reset_on_close(socket: &TcpStream) -> io::Result<()> {
    SockRef::from(socket).set_linger(Some(Duration::ZERO))
}

/// Makes the kernel take back what the other end has not acknowledged as [`reset_on_close`] does, and also when data stays
/// unacknowledged for `validity`, even if the process is suspended.
///
/// # Errors
///
/// Fails if the socket doesn't accept the options.
pub fn withdraw_on_close(socket: &TcpStream, validity: Duration) -> io::Result<()> {
    reset_on_close(socket)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(validity))
}

/// Makes the kernel deliver what was sent when the socket is closed, after the exchange is complete.
///
/// # Errors
///
/// Fails if the socket doesn't accept the option.
pub fn deliver_on_close(socket: &TcpStream) -> io::Result<()> {
    SockRef::from(socket).set_linger(None)
}
