//! Options of sockets on which orders are sent.

use std::io;
use std::time::Duration;

use smol::net::TcpStream;
use socket2::SockRef;

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
