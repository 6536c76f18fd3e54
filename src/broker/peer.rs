//! Chooses the proxy that a statement is forwarded to, and keeps the idle streams to these proxies. Without I/O.
//!
//! The typical load is a burst of callers on all proxies at once, most of which serve only a few groups. Statements go
//! to a proxy in the same failure domain that runs the fewest of this proxy's statements. A proxy that failed is avoided
//! for a while: the control plane replaces it only after its lease has expired.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::wire::{Server, Stream};

/// How long a proxy that failed is avoided: until the control plane has replaced it, which takes a lease and the
/// distribution of the new table.
pub const AVOID_PERIOD: Duration = Duration::from_millis(1_000);

/// How long a proxy that didn't serve the group is avoided: until this proxy has the table that the other one has.
pub const NOT_SERVING_PERIOD: Duration = Duration::from_millis(100);

/// The maximum number of idle streams to one proxy.
const MAX_IDLE_STREAMS: usize = 8;

/// The proxies to which statements are forwarded.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<id::Node, Peer>,
}

/// What is known of one proxy.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// The idle streams, and when each was last used.
    idle: Vec<(Instant, Stream)>,
    /// The number of statements and transactions that are forwarded to it now.
    active: u32,
    avoided_until: Option<Instant>,
}

impl Peers {
    /// Forgets the proxies that are not in `servers`, unless statements are on their way to them. A proxy that has moved
    /// to another address loses its streams.
    pub fn retain<'a>(&mut self, servers: impl Iterator<Item = &'a Server>) {
        let listed: BTreeMap<&id::Node, SocketAddr> =
            servers.map(|server| (&server.node, server.address)).collect();
        self.peers.retain(|node, peer| {
            let address = listed.get(node);
            if address != Some(&peer.address) {
                peer.idle.clear();
            }
            address.is_some() || peer.active > 0
        });
    }

    /// Returns the proxy that the next statement goes to.
    pub fn choose<'a>(
        &self,
        now: Instant,
        domain: &id::Domain,
        servers: &'a [Server],
        excluded: &[id::Node],
    ) -> Option<&'a Server> {
        let rank = |server: &&Server| {
            let peer = self.peers.get(&server.node);
            let is_avoided =
                peer.is_some_and(|peer| peer.avoided_until.is_some_and(|until| now < until));
            let active = peer.map_or(0, |peer| peer.active);
            (is_avoided, server.domain != *domain, active)
        };
        let possible = servers.iter().filter(|server| !excluded.contains(&server.node));
        let best = possible.clone().map(|server| rank(&server)).min()?;
        let equal: Vec<&Server> = possible.filter(|server| rank(server) == best).collect();
        fastrand::choice(equal)
    }

    /// Returns whether a proxy is avoided because it failed or didn't serve the group a moment ago.
    pub fn is_avoided(&self, now: Instant, node: &id::Node) -> bool {
        let until = self.peers.get(node).and_then(|peer| peer.avoided_until);
        until.is_some_and(|until| now < until)
    }

    /// Records that a statement is forwarded to a proxy, and returns an idle stream to it if there is one.
    pub fn begin(&mut self, server: &Server) -> Option<(Instant, Stream)> {
        let peer = self.peers.entry(server.node.clone()).or_insert_with(|| Peer {
            address: server.address,
            idle: Vec::new(),
            active: 0,
            avoided_until: None,
        });
        peer.active += 1;
        if peer.address != server.address {
            peer.address = server.address;
            peer.idle.clear();
        }
        peer.idle.pop()
    }

    /// Records that a forwarded statement has ended. Its stream is kept if it can be used again.
    pub fn end(&mut self, server: &Server, stream: Option<(Instant, Stream)>) {
        let Some(peer) = self.peers.get_mut(&server.node) else {
            return;
        };
        peer.active = peer.active.saturating_sub(1);
        if let Some(stream) = stream
            && peer.address == server.address
            && peer.idle.len() < MAX_IDLE_STREAMS
        {
            peer.idle.push(stream);
        }
    }

    /// Records that a proxy answered.
    pub fn record_answer(&mut self, node: &id::Node) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.avoided_until = None;
        }
    }

    /// Avoids a proxy for a while, because it failed or doesn't serve the group. The streams to a proxy that failed are
    /// closed.
    pub fn avoid(&mut self, now: Instant, node: &id::Node, period: Duration) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.avoided_until = Some(now + period);
            if period == AVOID_PERIOD {
                peer.idle.clear();
            }
        }
    }
}
