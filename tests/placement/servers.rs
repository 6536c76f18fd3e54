//! Tests of the choice of a serving proxy by the loads that these publish, and of refusals before the hop.

use std::collections::BTreeMap;
use std::time::Duration;

use cactushatch::balance::lag::Observed;
use cactushatch::balance::published::{MAX_AGE, REFUSAL_AGE};
use cactushatch::broker::dispatch::{Decision, Primary};
use cactushatch::broker::need::Need;
use cactushatch::broker::peer::{AVOID_PERIOD, Peers, Statement};
use cactushatch::config::Placement;
use cactushatch::id;
use cactushatch::wire::{Load, Server};

use super::{LONG, MS, at, at_us, dispatcher, instance, request};

fn server(node: &str, domain: &str) -> Server {
    let (node, domain) = (node.parse().unwrap(), domain.parse().unwrap());
    Server { node, address: ([127, 0, 0, 1], 1).into(), domain }
}

fn load(sequence: u64, wait_ms: u32) -> Load {
    Load { sequence: id::Sequence(sequence), waits_ms: vec![(0, 0), (1, wait_ms)] }
}

/// Two servers of one group, and the news that a test gives of them.
struct Fixture {
    peers: Peers,
    servers: [Server; 2],
    group: id::Group,
    random: fastrand::Rng,
}

impl Fixture {
    fn new() -> Self {
        let servers = [server("a1", "a"), server("a2", "a")];
        let mut peers = Peers::default();
        servers.iter().for_each(|server| drop(peers.begin(server)));
        let random = fastrand::Rng::with_seed(1);
        Self { peers, servers, group: "g".parse().unwrap(), random }
    }

    fn tell(&mut self, ms: u64, server: usize, incarnation: u64, load: &Load) {
        let node = &self.servers[server].node;
        self.peers.record_sent(node, &self.group);
        let news = Some((id::Incarnation(incarnation), load, 20 * MS));
        self.peers.record_load(at(ms), node, &self.group, news);
    }

    /// Returns how many of 800 statements are refused.
    fn refused(&mut self, ms: u64, priority: u8, max_wait: Duration) -> usize {
        let statement = Statement { group: &self.group, priority, max_wait };
        let (peers, random) = (&self.peers, &mut self.random);
        let mut refusal = || peers.refusal(at(ms), statement, &self.servers, &[], random);
        (0..800).filter(|_| refusal().is_some()).count()
    }
}

/// The failure: statements are refused by news that is stale, of some servers only, or of another priority, or all are
/// refused, so that no news comes any more.
#[test]
fn a_statement_is_refused_before_the_hop_only_by_fresh_news_of_every_server() {
    let mut fixture = Fixture::new();
    fixture.tell(0, 0, 1, &load(1, 300));
    assert_eq!(fixture.refused(1, 1, 100 * MS), 0, "nothing is known of one server");
    fixture.tell(0, 1, 1, &load(1, 300));
    let refused = fixture.refused(1, 1, 100 * MS);
    assert!((650..750).contains(&refused), "one in eight passes: {refused}");
    assert_eq!(fixture.refused(1, 1, 300 * MS), 0, "it can wait that long");
    assert_eq!(fixture.refused(1, 0, 100 * MS), 0, "its priority doesn't wait");
    let fresh = REFUSAL_AGE.as_millis() as u64;
    assert!(fixture.refused(fresh, 1, 100 * MS) > 0);
    assert_eq!(fixture.refused(fresh + 1, 1, 100 * MS), 0);
    fixture.tell(fresh, 0, 1, &load(2, 300));
    fixture.tell(fresh, 1, 1, &load(2, 50));
    assert_eq!(fixture.refused(fresh, 1, 100 * MS), 0, "one has room");
    let failed = fixture.servers[1].node.clone();
    fixture.peers.avoid(at(fresh), &failed, AVOID_PERIOD);
    assert!(fixture.refused(fresh, 1, 100 * MS) > 0, "the one with room has failed");
}

/// The failure: news from before a restart, or that was overtaken or repeated, replaces newer news.
#[test]
fn only_newer_news_counts() {
    let mut fixture = Fixture::new();
    let mut tell = |ms, incarnation, load: &Load| {
        fixture.tell(ms, 0, incarnation, load);
        fixture.tell(ms, 1, incarnation, load);
        fixture.refused(ms, 1, 100 * MS) > 0
    };
    assert!(tell(0, 5, &load(7, 300)));
    assert!(tell(1, 5, &load(6, 0)), "overtaken by newer news");
    assert!(tell(2, 4, &load(900, 0)), "from before a restart");
    assert!(!tell(300, 5, &load(7, 300)), "repeated news is as old as it was");
    assert!(tell(301, 6, &load(1, 300)), "a restarted server begins anew");
    assert!(tell(302, 6, &Load::default()), "a server that publishes nothing");
    assert!(!tell(303, 6, &load(2, 0)));
}

/// The failure: all statements go to the server with the best news for as long as the news lasts, or news counts for ever.
#[test]
fn own_statements_and_age_count_in_the_choice() {
    let mut fixture = Fixture::new();
    fixture.tell(0, 0, 1, &load(1, 0));
    fixture.tell(0, 1, 1, &load(1, 30));
    let mut share = |ms: u64, sent: bool| {
        let mut first = 0;
        for _ in 0..200 {
            let statement = Statement { group: &fixture.group, priority: 1, max_wait: MS };
            let domain = "a".parse().unwrap();
            let (peers, servers) = (&mut fixture.peers, &fixture.servers);
            let random = &mut fixture.random;
            let chosen =
                peers.choose_estimated(at(ms), &domain, statement, servers, &[], random).unwrap();
            first += u32::from(chosen.node == servers[0].node);
            if sent {
                peers.record_sent(&chosen.node, &fixture.group);
            }
        }
        first
    };
    assert_eq!(share(1, false), 200);
    let old = share(MAX_AGE.as_millis() as u64 + 1, false);
    assert!((60..140).contains(&old), "old news says nothing: {old}");
    let sent = share(1, true);
    assert!((95..115).contains(&sent), "own statements make up for the difference: {sent}");
}

#[derive(Debug, Default)]
struct Figures {
    p99_ms: u64,
    /// The share of statements that left their domain.
    left: f64,
    /// The share of statements that left a domain while as many came into it from others, in windows of 200 ms.
    exchanged: f64,
}

/// Three domains with four serving proxies each, of five connections; statements take 40 ms. The demand of each domain
/// rises and falls by 55 % over 15 s with its own phase, as for user B, and is more than its own servers can do at the
/// top. Three waves.
fn waves(forwarders: usize, age_ms: u64, estimated: bool) -> Figures {
    const SLOTS: usize = 5;
    const SERVICE_US: u64 = 40_000;
    const STEP_US: usize = 500;
    let mut random = fastrand::Rng::with_seed(11);
    fastrand::seed(11);
    let domains = ["a", "b", "c"];
    let servers: Vec<Server> = (0..12).map(|n| server(&format!("s{n}"), domains[n % 3])).collect();
    let group: id::Group = "g".parse().unwrap();
    let mut peers: Vec<Peers> = (0..forwarders).map(|_| Peers::default()).collect();
    // When each connection of each server is free again.
    let mut free = vec![[0_u64; SLOTS]; servers.len()];
    // The ends of statements with the forwarder, the server, and the begin.
    let mut ends: BTreeMap<(u64, u64), (usize, usize, u64)> = BTreeMap::new();
    let mut told = vec![[0_u64; 12]; forwarders];
    let (mut latencies, mut left, mut total, mut serial) = (Vec::new(), 0, 0, 0);
    let mut crossings: BTreeMap<u64, [[u32; 3]; 3]> = BTreeMap::new();
    for now in (0..45_000_000_u64).step_by(STEP_US) {
        let clock = at_us(now);
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let (forwarder, on, begun) = entry.remove();
            peers[forwarder].end(&servers[on], None);
            let wait = free[on].iter().min().unwrap().saturating_sub(now) / 1_000;
            serial += 1;
            let load = load(serial, wait as u32);
            // News is withheld until the last one from this server is `age_ms` old.
            let last = &mut told[forwarder][on];
            let is_due = *last == 0 || now - *last >= age_ms * 1_000;
            let took = Duration::from_micros(now - begun);
            let news = is_due.then_some((id::Incarnation(1), &load, took));
            *last = if is_due { now } else { *last };
            peers[forwarder].record_load(clock, &servers[on].node, &group, news);
        }
        for (domain, name) in domains.iter().enumerate() {
            let phase = now as f64 / 15e6 + domain as f64 / 3.0;
            let rate = 350.0 * (1.0 + 0.55 * (phase * std::f64::consts::TAU).sin());
            if random.f64() >= rate * STEP_US as f64 / 1e6 {
                continue;
            }
            let forwarder = random.usize(..forwarders / 3) * 3 + domain;
            let own: id::Domain = name.parse().unwrap();
            let statement = Statement { group: &group, priority: 1, max_wait: 240 * MS };
            let table = &mut peers[forwarder];
            let chosen = if estimated {
                table.choose_estimated(clock, &own, statement, &servers, &[], &mut random)
            } else {
                table.choose(clock, &own, &servers, &[])
            };
            let chosen = chosen.unwrap();
            let on = servers.iter().position(|server| server == chosen).unwrap();
            table.begin(chosen);
            table.record_sent(&chosen.node, &group);
            let crossing = if on % 3 == domain { 0 } else { 2_000 };
            total += 1;
            left += u32::from(crossing > 0);
            crossings.entry(now / 200_000).or_default()[domain][on % 3] += 1;
            let slot = free[on].iter_mut().min().unwrap();
            *slot = (*slot).max(now) + SERVICE_US;
            latencies.push(*slot + crossing - now);
            serial += 1;
            ends.insert((*slot + crossing, serial), (forwarder, on, now));
        }
    }
    latencies.sort_unstable();
    let pairs = [(0, 1), (0, 2), (1, 2)];
    let both = |window: &[[u32; 3]; 3]| -> u32 {
        pairs.iter().map(|(a, b)| 2 * window[*a][*b].min(window[*b][*a])).sum()
    };
    let exchanged: u32 = crossings.values().map(both).sum();
    Figures {
        p99_ms: latencies[latencies.len() * 99 / 100] / 1_000,
        left: f64::from(left) / f64::from(total),
        exchanged: f64::from(exchanged) / f64::from(total),
    }
}

/// The failure: domains are overloaded in turn while others are idle, or all proxies of a domain follow the same news at
/// once, so that the load swings between domains.
#[test]
fn uneven_demand_is_evened_out_without_swinging() {
    for forwarders in [12, 118] {
        let before = waves(forwarders, 0, false);
        println!("{forwarders} proxies, before: {before:?}");
        for age_ms in [0, 50, 200, 1_000] {
            let after = waves(forwarders, age_ms, true);
            println!("{forwarders} proxies, news {age_ms} ms old: {after:?}");
            assert!(after.p99_ms < before.p99_ms, "{after:?} {before:?}");
            assert!(after.left < 0.2 && after.exchanged < 0.02, "{after:?}");
        }
    }
}

/// The failure: statements are refused before the hop by a wait that the serving proxy would not have refused them for:
/// writes' waits while reads have room, or the wait for a promotion.
#[test]
fn a_published_wait_is_at_most_what_the_serving_proxy_would_refuse_by() {
    let mut group = dispatcher(Placement::Estimated);
    let priorities = [1, 2];
    let now = at(10_000);
    for ticket in 0..15 {
        group.submit(now, request(ticket, Need::Primary, 1));
    }
    assert_eq!(group.published_waits(now, &priorities), [(1, 0), (2, 0)], "replicas have room");
    for replica in [1, 2] {
        group.record_lag(now, &instance(replica), Observed::Exact(LONG));
    }
    let published = group.published_waits(now, &priorities);
    let mut hasty = request(99, Need::Primary, 2);
    hasty.max_wait = Duration::ZERO;
    let Decision::Refuse(wait) = group.submit(now, hasty) else { panic!("the primary is full") };
    assert_eq!(u128::from(published[1].1), wait.as_millis(), "all wait for the primary");
    group.set_primary(now, Primary::Promoting);
    assert!(group.published_waits(now, &priorities).is_empty());
    group.set_placement(Placement::Local, 1);
    assert!(group.published_waits(now, &priorities).is_empty());
}
