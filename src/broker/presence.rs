//! Whether somebody still waits for the answer to a statement.

use smol::net::TcpStream;

/// The connection on which the answer is expected: of a caller, or of a proxy that forwards for one. While a statement
/// runs, its end is looked for only where the statement waits.
#[derive(Debug, Clone, Default)]
pub(super) struct Presence(Option<TcpStream>);

impl Presence {
    pub(super) fn new(socket: TcpStream) -> Self {
        Self(Some(socket))
    }

    /// Waits until the other side closes the connection. Never ends if it has sent more: that is read after the answer.
    async fn wait_until_left(&self) {
        let has_sent_more = match &self.0 {
            Some(socket) => socket.peek(&mut [0; 1]).await.is_ok_and(|len| len > 0),
            None => true,
        };
        if has_sent_more {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the other side has closed the connection.
    pub(super) async fn has_left(&self) -> bool {
        smol::future::poll_once(self.wait_until_left()).await.is_some()
    }

    /// Awaits `waiting`, which must be safe to drop, unless the other side leaves meanwhile.
    pub(super) async fn unless_left<T>(&self, waiting: impl Future<Output = T>) -> Option<T> {
        let waiting = async { Some(waiting.await) };
        let left = async {
            self.wait_until_left().await;
            None
        };
        smol::future::or(waiting, left).await
    }
}
