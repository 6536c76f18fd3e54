//! The connections to the other control processes: one to each, with a bounded queue, reconnected when it breaks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol::channel::{Receiver, Sender, TrySendError};

use super::server::Shared;
use crate::id;
use crate::wire::{Frame, Stream};

/// How many frames may wait for one process. Frames beyond that are dropped, since Raft sends lost messages
/// again.
const QUEUE_FRAMES: usize = 64;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);

const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// How long the other process may be silent before the connection is replaced. After a partition, a new connection may
/// work long before the old one retransmits.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The connection to one process.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) address: SocketAddr,
    queue: Sender<Frame>,
}

impl Link {
    /// Starts the task that connects and sends queued frames.
    pub(super) fn open(shared: Arc<Shared>, node: id::Node, address: SocketAddr) -> Self {
        let (queue, frames) = smol::channel::bounded(QUEUE_FRAMES);
        smol::spawn(send_frames(shared, node, address, frames)).detach();
        Self { address, queue }
    }

    /// Queues a frame. Returns `false` if the queue is full and the frame is dropped.
    pub(super) fn send(&self, frame: Frame) -> bool {
        !matches!(self.queue.try_send(frame), Err(TrySendError::Full(_)))
    }
}

async fn send_frames(
    shared: Arc<Shared>,
    node: id::Node,
    address: SocketAddr,
    frames: Receiver<Frame>,
) {
    let mut stream: Option<(Stream, crate::clock::Instant)> = None;
    while let Ok(frame) = frames.recv().await {
        let now = shared.clock.now();
        let is_silent = |since: crate::clock::Instant| {
            now.since(since) > SILENCE_TIMEOUT
                && shared.time_since_contact(now, &node) > SILENCE_TIMEOUT
        };
        if stream.as_ref().is_some_and(|(_, since)| is_silent(*since)) {
            stream = None;
        }
        if stream.is_none() {
            match shared.clock.timeout(CONNECT_TIMEOUT, Stream::connect(address)).await {
                Some(Ok(open)) => {
                    stream = Some((open.with_seal(&shared.credentials.seal), shared.clock.now()));
                }
                _ => {
                    shared.clock.sleep(RECONNECT_DELAY).await;
                    while frames.try_recv().is_ok() {}
                    continue;
                }
            }
        }
        if let Some((open, _)) = &mut stream
            && !matches!(shared.clock.timeout(WRITE_TIMEOUT, open.send(&frame)).await, Some(Ok(())))
        {
            stream = None;
        }
    }
}
