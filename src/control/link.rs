//! The connections to the other control processes: one for each, with a bounded queue, made anew when it breaks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol::channel::{Receiver, Sender, TrySendError};

use super::server::Shared;
use crate::id;
use crate::wire::{Frame, Stream};

/// How many frames may wait for one process; more are dropped, since the machine repeats what counts.
const QUEUE_FRAMES: usize = 64;

/// How long a connection may take to be made.
const CONNECT: Duration = Duration::from_millis(500);

/// How long a frame may take to be written.
const WRITE: Duration = Duration::from_millis(1_000);

/// How long to wait before a failed connection is tried again.
const PAUSE: Duration = Duration::from_millis(20);

/// How long the other side may say nothing before the connection is made anew: a path that was cut may carry a
/// new connection long before the old one is repeated over it.
const SILENCE: Duration = Duration::from_millis(1_000);

/// The way to one process.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) address: SocketAddr,
    queue: Sender<Frame>,
}

impl Link {
    /// Starts to send to the process.
    pub(super) fn open(shared: Arc<Shared>, node: id::Node, address: SocketAddr) -> Self {
        let (queue, frames) = smol::channel::bounded(QUEUE_FRAMES);
        smol::spawn(run(shared, node, address, frames)).detach();
        Self { address, queue }
    }

    /// Queues a frame; tells whether there was room.
    pub(super) fn send(&self, frame: Frame) -> bool {
        !matches!(self.queue.try_send(frame), Err(TrySendError::Full(_)))
    }
}

async fn run(shared: Arc<Shared>, node: id::Node, address: SocketAddr, frames: Receiver<Frame>) {
    let mut stream: Option<(Stream, crate::clock::Instant)> = None;
    while let Ok(frame) = frames.recv().await {
        let now = shared.clock.now();
        let silent = |since: crate::clock::Instant| {
            now.since(since) > SILENCE && shared.silent_for(now, &node) > SILENCE
        };
        if stream.as_ref().is_some_and(|(_, since)| silent(*since)) {
            stream = None;
        }
        if stream.is_none() {
            match shared.clock.timeout(CONNECT, Stream::connect(address)).await {
                Some(Ok(open)) => {
                    stream = Some((open.with_seal(&shared.credentials.seal), shared.clock.now()));
                }
                _ => {
                    shared.clock.sleep(PAUSE).await;
                    while frames.try_recv().is_ok() {}
                    continue;
                }
            }
        }
        if let Some((open, _)) = &mut stream
            && !matches!(shared.clock.timeout(WRITE, open.send(&frame)).await, Some(Ok(())))
        {
            stream = None;
        }
    }
}
