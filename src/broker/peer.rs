//! Chooses the proxy that a statement is forwarded to, and keeps the idle streams to these proxies. Without I/O.
//!
//! The typical load is a burst of callers on all proxies at once, most of which serve only a few groups. Statements go
//! to a proxy in the same failure domain that runs the fewest of this proxy's statements. A proxy that failed is avoided
//! for a while: the control plane replaces it only after its lease has expired.
//!
//! With `placement = "estimated"` the choice is by the waits that the serving proxies publish with their answers, and a
//! statement that each of them would refuse is refused before the hop. See `docs/design/placement.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::balance::choice;
use crate::balance::published::{MAX_AGE, Published, REFUSAL_AGE};
use crate::clock::Instant;
use crate::id;
use crate::wire::{Load, Server, Stream};

/// How long a proxy that failed is avoided: until the control plane has replaced it, which takes a lease and the
/// distribution of the new table.
pub const AVOID_PERIOD: Duration = Duration::from_millis(1_000);

/// How long a proxy that didn't serve the group is avoided: until this proxy has the table that the other one has.
pub const NOT_SERVING_PERIOD: Duration = Duration::from_millis(100);

/// One in this many statements that should be refused before the hop is forwarded all the same, for its news.
const PASSING_INTERVAL: u8 = 8;

/// The maximum number of idle streams to one proxy.
const MAX_IDLE_STREAMS: usize = 8;

/// How long a stream is kept that no statement uses: less than until the serving proxy closes it.
pub const MAX_UNUSED: Duration = Duration::from_secs(30);

/// The proxies to which statements are forwarded.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<id::Node, Peer>,
    /// The groups whose statements leave this failure domain at present.
    leaving: BTreeSet<id::Group>,
}

/// A statement that is to be forwarded.
#[derive(Debug, Clone, Copy)]
pub struct Statement<'a> {
    /// Its group.
    pub group: &'a id::Group,
    /// The priority of its class.
    pub priority: u8,
    /// How long it may wait for capacity.
    pub max_wait: Duration,
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
    /// The published load of each group.
    loads: BTreeMap<id::Group, Published>,
}

impl Peer {
    fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }
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

    /// Returns the servers that may be used: those that have not failed, or all if all have.
    fn usable<'a>(
        &self,
        now: Instant,
        servers: &'a [Server],
        excluded: &[id::Node],
    ) -> SmallVec<[&'a Server; 16]> {
        let possible = || servers.iter().filter(|server| !excluded.contains(&server.node));
        let avoided = |server: &&Server| {
            self.peers.get(&server.node).is_some_and(|peer| peer.is_avoided(now))
        };
        let usable: SmallVec<_> = possible().filter(|server| !avoided(server)).collect();
        if usable.is_empty() { possible().collect() } else { usable }
    }

    fn published(&self, node: &id::Node, group: &id::Group) -> Option<&Published> {
        self.peers.get(node)?.loads.get(group)
    }

    /// Returns the proxy that the next statement goes to, by the estimated wait there.
    pub fn choose_estimated<'a>(
        &mut self,
        now: Instant,
        domain: &id::Domain,
        statement: Statement<'_>,
        servers: &'a [Server],
        excluded: &[id::Node],
        random: &mut fastrand::Rng,
    ) -> Option<&'a Server> {
        let Statement { group, priority, .. } = statement;
        let usable = self.usable(now, servers, excluded);
        let known: SmallVec<[Duration; 16]> = usable
            .iter()
            .filter_map(|s| self.published(&s.node, group)?.wait(now, priority, MAX_AGE))
            .collect();
        let mean = known.iter().sum::<Duration>() / known.len().max(1) as u32;
        let wait = |server: &&Server| {
            let published = self.published(&server.node, group);
            published.map_or(mean, |published| published.estimate(now, priority, mean))
        };
        let mut best = |is_own: bool| {
            let listed = usable.iter().filter(|server| (server.domain == *domain) == is_own);
            let listed: SmallVec<[&Server; 16]> = listed.copied().collect();
            let waits: SmallVec<[Duration; 16]> = listed.iter().map(wait).collect();
            let at = choice::shorter_of_two(&waits, random)?;
            Some((listed[at], waits[at]))
        };
        let (own, other) = (best(true), best(false));
        let (Some((own, own_wait)), Some((other, other_wait))) = (own, other) else {
            return own.or(other).map(|(server, _)| server);
        };
        let leaving = self.leaving.contains(group);
        let is_known = self
            .published(&other.node, group)
            .is_some_and(|published| published.wait(now, priority, MAX_AGE).is_some());
        let leaves = match is_known {
            true => choice::leaves(own_wait, other_wait, leaving, random),
            false => choice::explores(own_wait, random),
        };
        match leaves {
            true => drop(self.leaving.insert(group.clone())),
            false if own_wait <= other_wait + choice::CROSSING => drop(self.leaving.remove(group)),
            false => {}
        }
        Some(if leaves { other } else { own })
    }

    /// Returns after which time there may be capacity for a statement, if each proxy that it could be forwarded to said
    /// a moment ago that it would wait too long there. One in eight of these statements gets `None` all the same.
    pub fn refusal(
        &self,
        now: Instant,
        statement: Statement<'_>,
        servers: &[Server],
        excluded: &[id::Node],
        random: &mut fastrand::Rng,
    ) -> Option<Duration> {
        let mut shortest = None;
        for server in self.usable(now, servers, excluded) {
            let published = self.published(&server.node, statement.group)?;
            let wait = published.wait(now, statement.priority, REFUSAL_AGE)?;
            if wait <= statement.max_wait {
                return None;
            }
            let left = wait.saturating_sub(published.age(now));
            shortest = Some(shortest.map_or(left, |shortest: Duration| shortest.min(left)));
        }
        shortest.filter(|_| random.u8(..PASSING_INTERVAL) != 0)
    }

    /// Records that a statement of a group is sent to a proxy.
    pub fn record_sent(&mut self, node: &id::Node, group: &id::Group) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.loads.entry(group.clone()).or_default().begin();
        }
    }

    /// Records the end of a statement that was sent to a proxy: the load that came with the answer and how long the
    /// statement took, or `None` if there was no such answer.
    pub fn record_load(
        &mut self,
        now: Instant,
        node: &id::Node,
        group: &id::Group,
        news: Option<(id::Incarnation, &Load, Duration)>,
    ) {
        let Some(published) = self.peers.get_mut(node).and_then(|peer| peer.loads.get_mut(group))
        else {
            return;
        };
        match news {
            Some((incarnation, load, duration)) => {
                published.record(now, incarnation, load, duration);
            }
            None => published.end(),
        }
    }

    /// Records that a statement is forwarded to a proxy, and returns an idle stream to it if there is one.
    pub fn begin(&mut self, server: &Server) -> Option<(Instant, Stream)> {
        let peer = self.peers.entry(server.node.clone()).or_insert_with(|| Peer {
            address: server.address,
            idle: Vec::new(),
            active: 0,
            avoided_until: None,
            loads: BTreeMap::new(),
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
        let Some((used_at, stream)) = stream else {
            return;
        };
        peer.idle.retain(|(before, _)| used_at.since(*before) < MAX_UNUSED);
        if peer.address == server.address && peer.idle.len() < MAX_IDLE_STREAMS {
            peer.idle.push((used_at, stream));
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
