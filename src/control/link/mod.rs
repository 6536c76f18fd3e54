//! The connections to the other control processes: one to each, with a bounded queue, reconnected when it breaks.
//!
//! Frames travel one way on a connection, so it has no evidence of its own unless the sender asks for it. Whether it is
//! replaced is decided by [`Liveness`].

mod liveness;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use log::Level;
use smol::channel::{Receiver, Sender, TrySendError};

pub use self::liveness::{
    ANSWER_TIMEOUT, IDLE_TIMEOUT, Liveness, MIN_RATE, PING_INTERVAL, Verdict,
};
use super::server::Shared;
use crate::clock::Clock;
use crate::id;
use crate::report::event::{Event, millis};
use crate::report::{Metrics, Replacement};
use crate::wire::{Body, Frame, Stream};

/// How many frames may wait for one process. Frames beyond that are dropped, since Raft sends lost messages
/// again.
const QUEUE_FRAMES: usize = 64;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);

const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// The queue to the task that sends frames to one process.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) address: SocketAddr,
    queue: Sender<Frame>,
    has_answered: Arc<AtomicBool>,
}

impl Link {
    /// Starts the task that connects and sends queued frames.
    pub(super) fn open(shared: &Shared, node: id::Node, address: SocketAddr) -> Self {
        let (queue, frames) = smol::channel::bounded(QUEUE_FRAMES);
        let has_answered = Arc::new(AtomicBool::new(false));
        let sender = FrameSender {
            clock: shared.clock.clone(),
            metrics: shared.metrics.clone(),
            seal: shared.credentials.seal.clone(),
            ping: shared.frame(Body::Ping),
            node,
            address,
            connection: None,
            has_answered: Arc::clone(&has_answered),
        };
        smol::spawn(sender.run(frames)).detach();
        Self { address, queue, has_answered }
    }

    /// Returns whether the process has answered a ping, which one of an earlier release never does.
    pub(super) fn has_answered(&self) -> bool {
        self.has_answered.load(Ordering::Relaxed)
    }

    /// Queues a frame. Returns `false` if the queue is full and the frame is dropped.
    pub(super) fn send(&self, frame: Frame) -> bool {
        !matches!(self.queue.try_send(frame), Err(TrySendError::Full(_)))
    }
}

/// Sends the frames to one process.
struct FrameSender {
    clock: Clock,
    metrics: Metrics,
    seal: crate::wire::Seal,
    ping: Frame,
    node: id::Node,
    address: SocketAddr,
    connection: Option<Connection>,
    /// Whether the process has answered on any connection. One of an earlier release ignores pings, and its connections
    /// are replaced again and again.
    has_answered: Arc<AtomicBool>,
}

/// An open connection to one process.
struct Connection {
    stream: Stream,
    received: Arc<Mutex<Received>>,
    /// Reads what arrives. Dropping it ends it.
    _reader: smol::Task<()>,
}

/// What has arrived on a connection.
#[derive(Debug)]
struct Received {
    liveness: Liveness,
    /// Whether the connection was closed, or something arrived that can't be read.
    has_ended: bool,
}

impl FrameSender {
    async fn run(mut self, frames: Receiver<Frame>) {
        while let Ok(frame) = frames.recv().await {
            let needs_ping = self.check();
            if self.connection.is_none() && !self.connect().await {
                self.clock.sleep(RECONNECT_DELAY).await;
                while frames.try_recv().is_ok() {}
                continue;
            }
            if needs_ping {
                if let Some(connection) = &self.connection {
                    connection.received().liveness.record_ping(self.clock.now());
                }
                let ping = self.ping.clone();
                self.write(&ping).await;
            }
            self.write(&frame).await;
        }
    }

    /// Closes the connection if it may no longer be used. Returns whether a ping is due on it.
    fn check(&mut self) -> bool {
        let Some(connection) = &self.connection else {
            return false;
        };
        let now = self.clock.now();
        let (has_ended, verdict) = {
            let received = connection.received();
            (received.has_ended, received.liveness.verdict(now))
        };
        match verdict {
            _ if has_ended => self.replace(Replacement::Closed),
            Verdict::Usable => {}
            Verdict::Ping => return true,
            Verdict::Idle => self.replace(Replacement::Idle),
            Verdict::Silent if self.has_answered.load(Ordering::Relaxed) => {
                self.replace(Replacement::Silent)
            }
            Verdict::Silent => self.replace(Replacement::Unproven),
        }
        false
    }

    /// Opens a connection. Returns whether there is one.
    async fn connect(&mut self) -> bool {
        let connecting = Stream::connect(self.address);
        let Some(Ok(stream)) = self.clock.timeout(CONNECT_TIMEOUT, connecting).await else {
            return false;
        };
        let stream = stream.with_seal(&self.seal);
        let liveness = Liveness::new(self.clock.now());
        let received = Arc::new(Mutex::new(Received { liveness, has_ended: false }));
        let has_answered = Arc::clone(&self.has_answered);
        let reading = read(self.clock.clone(), stream.clone(), Arc::clone(&received), has_answered);
        self.connection = Some(Connection { stream, received, _reader: smol::spawn(reading) });
        true
    }

    async fn write(&mut self, frame: &Frame) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        match self.clock.timeout(WRITE_TIMEOUT, connection.stream.send_sized(frame)).await {
            Some(Ok(bytes)) => connection.received().liveness.record_written(bytes),
            Some(Err(_)) => self.replace(Replacement::Closed),
            None => self.replace(Replacement::Stalled),
        }
    }

    /// Closes the connection, so that the next frame opens another one.
    fn replace(&mut self, reason: Replacement) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let evidence_ms = millis(connection.received().liveness.age(self.clock.now()));
        self.metrics.record_replacement(reason);
        let level = match reason {
            Replacement::Silent | Replacement::Stalled => Level::Warn,
            Replacement::Closed => Level::Info,
            Replacement::Idle | Replacement::Unproven => Level::Debug,
        };
        let (target, address) = (&self.node, self.address);
        Event::Link { target, address, reason, evidence_ms }.log(level);
    }
}

impl Connection {
    fn received(&self) -> MutexGuard<'_, Received> {
        lock(&self.received)
    }
}

fn lock(received: &Mutex<Received>) -> MutexGuard<'_, Received> {
    received.lock().expect("no thread panics while holding this lock")
}

/// Records what arrives on a connection until it ends.
async fn read(
    clock: Clock,
    mut stream: Stream,
    received: Arc<Mutex<Received>>,
    has_answered: Arc<AtomicBool>,
) {
    while let Ok(Frame { body: Body::Ping, .. }) = stream.receive().await {
        has_answered.store(true, Ordering::Relaxed);
        lock(&received).liveness.record_answer(clock.now());
    }
    lock(&received).has_ended = true;
}
