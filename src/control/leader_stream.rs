//! Streams to the leader that stay open between the announcements that another control process passes on.

use std::net::SocketAddr;
use std::sync::MutexGuard;
use std::time::Duration;

use super::gateway::RELAY_TIMEOUT;
use super::server::Shared;
use crate::wire::{Body, Frame, Stream};

/// How long a stream that was left open may take to answer before a new one is opened.
const KEPT_STREAM_TIMEOUT: Duration = Duration::from_millis(300);

/// How many unused streams to the leader are kept.
const MAX_KEPT_STREAMS: usize = 16;

/// The unused streams to the leader.
#[derive(Debug, Default)]
pub(super) struct Pool {
    streams: Vec<(SocketAddr, Stream)>,
}

impl Pool {
    /// Returns a stream to `leader`, and closes those to earlier leaders.
    fn take(&mut self, leader: SocketAddr) -> Option<Stream> {
        self.streams.retain(|(address, _)| *address == leader);
        self.streams.pop().map(|(_, stream)| stream)
    }

    fn keep(&mut self, leader: SocketAddr, stream: Stream) {
        if self.streams.len() < MAX_KEPT_STREAMS {
            self.streams.push((leader, stream));
        }
    }

    fn clear(&mut self) {
        self.streams.clear();
    }
}

impl Shared {
    /// Forwards a request to the leader like [`Self::request_from_leader`], over a stream that an earlier request has left
    /// open. If that doesn't answer soon it may have gone silent, and a new one is opened.
    pub(super) async fn request_over_kept_stream(&self, body: Body) -> Option<Body> {
        let leader = self.leader_address()?;
        let kept = self.leader_streams().take(leader);
        if let Some(mut stream) = kept {
            let frame = self.frame(body.clone());
            let exchange = async {
                stream.send(&frame).await?;
                stream.receive().await
            };
            match self.clock.timeout(KEPT_STREAM_TIMEOUT, exchange).await {
                Some(Ok(Frame { body, .. })) => {
                    self.leader_streams().keep(leader, stream);
                    return Some(body);
                }
                Some(Err(error)) => {
                    log::debug!("a stream to the leader at {leader} failed: {error}")
                }
                None => self.leader_streams().clear(),
            }
        }
        let exchange = async {
            let mut stream = Stream::connect(leader).await?.with_seal(&self.credentials.seal);
            stream.send(&self.frame(body)).await?;
            let answer = stream.receive().await?;
            Ok::<_, crate::wire::Error>((stream, answer.body))
        };
        match self.clock.timeout(RELAY_TIMEOUT - KEPT_STREAM_TIMEOUT, exchange).await {
            Some(Ok((stream, body))) => {
                self.leader_streams().keep(leader, stream);
                Some(body)
            }
            Some(Err(error)) => {
                log::debug!("request to the leader at {leader} failed: {error}");
                None
            }
            None => None,
        }
    }

    fn leader_streams(&self) -> MutexGuard<'_, Pool> {
        self.leader_streams.lock().expect("no thread panics while holding this lock")
    }
}
