//! Accepts connections of callers and of other proxies.

use std::sync::Arc;
use std::time::Duration;

use smol::net::{TcpListener, TcpStream};

use super::server::Shared;
use crate::socket;

/// The delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the process ends, and starts a task that runs `serve` for each.
pub(super) async fn run<F>(
    shared: Arc<Shared>,
    listener: TcpListener,
    serve: fn(Arc<Shared>, TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if let Err(error) = socket::keep_alive(&socket) {
                    log::debug!("an accepted connection failed: {error}");
                    continue;
                }
                smol::spawn(serve(Arc::clone(&shared), socket)).detach();
            }
            Err(error) => {
                log::warn!(
                    "a connection could not be accepted: {error}; retrying in {ACCEPT_RETRY_DELAY:?}"
                );
                shared.clock.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
