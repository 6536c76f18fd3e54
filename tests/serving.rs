//! Tests which proxies serve a group, and that all proxies together never open more connections than its instances
//! accept, however many proxies there are.

mod machine;

use std::collections::{BTreeMap, BTreeSet};

use cactushatch::broker::peer::{AVOID_PERIOD, Peers};
use cactushatch::broker::recovery::{self, Recovery};
use cactushatch::broker::session::{Body, Operation};
use cactushatch::clock::Instant;
use cactushatch::config::Fleet;
use cactushatch::control::budget::{CONTROL_CONNECTIONS, SPARE_CONNECTIONS};
use cactushatch::control::failover::Output;
use cactushatch::control::serving::{
    Candidate, Choice, MAX_SERVERS, MIN_POOL_CONNECTIONS, MIN_SERVERS, POOL_CONNECTIONS,
};
use cactushatch::control::state::{Action, State};
use cactushatch::id;
use cactushatch::statement::{Access, Code};
use cactushatch::wire::{Demand, Health, Server, Serving, Step};
use machine::{Control, Proxy, at, group, name};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

/// Returns live proxies, spread over the failure domains.
fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |number: usize| Candidate {
        node: name(&format!("p{number:02}")),
        domain: name(DOMAINS[number % DOMAINS.len()]),
        live: true,
        holds_share: false,
        groups: 0,
    };
    (0..count).map(candidate).collect()
}

fn listed(choice: &Choice) -> BTreeSet<id::Node> {
    match choice {
        Choice::Listed(listed) => listed.clone(),
        Choice::Undecided | Choice::Every => panic!("{choice:?}"),
    }
}

fn count_by_domain(choice: &Choice, candidates: &[Candidate]) -> BTreeMap<id::Domain, usize> {
    let mut counts = BTreeMap::new();
    for candidate in candidates.iter().filter(|candidate| choice.includes(&candidate.node)) {
        *counts.entry(candidate.domain.clone()).or_default() += 1;
    }
    counts
}

#[test]
fn every_proxy_serves_a_group_that_has_a_connection_for_each() {
    let mut choice = Choice::default();
    choice.update(&group(), &candidates(12), 12, 13);
    assert_eq!(choice, Choice::Every);
    choice.update(&group(), &candidates(13), 12, 13);
    assert_eq!(listed(&choice).len() as u32, 12 / POOL_CONNECTIONS);
}

/// Guards against many proxies that each run one statement at least on an instance, and together more than it queues.
#[test]
fn few_proxies_serve_a_group_however_many_connections_it_has() {
    let mut choice = Choice::default();
    choice.update(&group(), &candidates(72), 153, 8);
    assert_eq!(listed(&choice).len() as u32, MAX_SERVERS);
}

#[test]
fn serving_proxies_are_spread_over_failure_domains_and_groups() {
    let mut candidates = candidates(69);
    let mut chosen: BTreeMap<id::Node, usize> = BTreeMap::new();
    for number in 0..8 {
        for candidate in &mut candidates {
            candidate.groups = chosen.get(&candidate.node).copied().unwrap_or(0);
        }
        let mut choice = Choice::default();
        choice.update(&name(&format!("g{number}")), &candidates, 31, 8);
        let counts = count_by_domain(&choice, &candidates);
        assert!(counts.len() == DOMAINS.len() && counts.values().all(|count| *count <= 2));
        listed(&choice).into_iter().for_each(|node| *chosen.entry(node).or_default() += 1);
    }
    assert!(chosen.values().all(|groups| *groups == 1), "{chosen:?}");
}

#[test]
fn serving_proxies_are_kept_until_they_fail_and_come_from_all_domains_again_after_a_zone_returns() {
    let mut candidates = candidates(40);
    let mut choice = Choice::default();
    choice.update(&group(), &candidates, 31, 8);
    let first = listed(&choice);
    choice.update(&group(), &candidates, 31, 8);
    assert_eq!(listed(&choice), first);
    let in_cut_domain = |candidate: &Candidate| candidate.domain == name("a");
    candidates.iter_mut().filter(|c| in_cut_domain(c)).for_each(|c| c.live = false);
    choice.update(&group(), &candidates, 31, 8);
    assert_eq!(listed(&choice).len(), first.len());
    let kept = candidates.iter().filter(|c| c.live && first.contains(&c.node));
    assert!(kept.into_iter().all(|candidate| choice.includes(&candidate.node)));
    candidates.iter_mut().for_each(|candidate| candidate.live = true);
    for _ in 0..4 {
        let before = listed(&choice);
        choice.update(&group(), &candidates, 31, 8);
        assert!(before.difference(&listed(&choice)).count() <= 1, "at most one moves at a time");
    }
    assert_eq!(count_by_domain(&choice, &candidates).len(), DOMAINS.len());
}

/// Replays a busy fleet with small links: statements of a group go over the links of the proxies that serve it, so proxies
/// that serve nothing must not stand idle beside them, as long as no pool becomes too small.
#[test]
fn more_proxies_serve_each_group_while_others_would_serve_none() {
    let seats = |proxies: usize, connections: u32, groups: usize| {
        let mut choice = Choice::default();
        choice.update(&group(), &candidates(proxies), connections, groups);
        listed(&choice).len() as u32
    };
    assert_eq!(seats(85, 23, 8), 23 / MIN_POOL_CONNECTIONS, "bounded by the size of the pools");
    assert_eq!(seats(40, 45, 4), 10, "bounded by the number of proxies");
    assert_eq!(seats(85, 23, 40), 23 / POOL_CONNECTIONS, "each proxy serves some group anyway");
    assert_eq!(seats(194, 55, 2), MAX_SERVERS);
}

/// The number of calls of [`Choice::update`] in five seconds, one per `RESHARE_INTERVAL` of 200 ms.
const UPDATES_IN_FIVE_SECONDS: usize = 25;

/// Updates the choices of all groups once, as the leader does, and returns the number of proxies that each group changed.
fn update_all(
    choices: &mut BTreeMap<id::Group, Choice>,
    candidates: &mut [Candidate],
) -> Vec<usize> {
    let mut moved = Vec::new();
    for name in choices.keys().cloned().collect::<Vec<_>>() {
        for candidate in candidates.iter_mut() {
            let others = choices.iter().filter(|(other, _)| **other != name);
            candidate.groups = others.filter(|(_, choice)| choice.lists(&candidate.node)).count();
        }
        let choice = choices.get_mut(&name).expect("a group of the map");
        let before = choice.clone();
        choice.update(&name, candidates, 23, 8);
        moved.push(before.listed().filter(|node| !choice.lists(node)).count());
    }
    moved
}

/// Replays a cut that leaves control with two proxies per domain, its end, and the same load as before. The few proxies
/// that took all groups over meanwhile must hand them back, or their links and processors stay overloaded for good.
#[test]
fn groups_that_piled_up_on_few_proxies_are_spread_again_when_the_others_return() {
    let mut candidates = candidates(85);
    let names = (0..8).map(|number| name(&format!("g{number}")));
    let mut choices: BTreeMap<id::Group, Choice> =
        names.map(|name| (name, Choice::default())).collect();
    update_all(&mut choices, &mut candidates);
    let max_groups = |choices: &BTreeMap<id::Group, Choice>, candidates: &[Candidate]| {
        let served = |candidate: &Candidate| {
            choices.values().filter(|choice| choice.lists(&candidate.node)).count()
        };
        candidates.iter().map(served).max()
    };
    assert_eq!(max_groups(&choices, &candidates), Some(1));

    candidates.iter_mut().skip(8).for_each(|candidate| candidate.live = false);
    update_all(&mut choices, &mut candidates);
    assert_eq!(max_groups(&choices, &candidates), Some(7));

    candidates.iter_mut().for_each(|candidate| candidate.live = true);
    for _ in 0..UPDATES_IN_FIVE_SECONDS {
        let moved = update_all(&mut choices, &mut candidates);
        assert!(moved.iter().all(|moved| *moved <= 1), "one proxy of a group moves at a time");
    }
    assert_eq!(max_groups(&choices, &candidates), Some(1));
    for choice in choices.values() {
        assert_eq!(count_by_domain(choice, &candidates).len(), DOMAINS.len());
    }
    assert_eq!(update_all(&mut choices, &mut candidates), vec![0; 8], "it comes to rest");
}

#[test]
fn the_choice_stands_while_no_proxy_is_live() {
    let mut candidates = candidates(40);
    let mut choice = Choice::default();
    choice.update(&group(), &candidates, 31, 8);
    let first = choice.clone();
    candidates.iter_mut().for_each(|candidate| candidate.live = false);
    choice.update(&group(), &candidates, 31, 8);
    assert_eq!(choice, first);
}

fn server(node: &str, domain: &str) -> Server {
    Server { node: name(node), address: ([127, 0, 0, 1], 1).into(), domain: name(domain) }
}

#[test]
fn a_statement_goes_to_the_least_busy_proxy_of_its_domain_that_has_not_failed() {
    let servers = [server("a1", "a"), server("a2", "a"), server("b1", "b")];
    let mut peers = Peers::default();
    let choose = |peers: &Peers, ms: u64, excluded: &[id::Node]| {
        let chosen = peers.choose(at(ms), &name("a"), &servers, excluded);
        chosen.map(|server| server.node.to_string())
    };
    assert!(peers.begin(&servers[0]).is_none());
    assert_eq!(choose(&peers, 0, &[]).as_deref(), Some("a2"));
    peers.end(&servers[0], None);
    peers.begin(&servers[1]);
    assert_eq!(choose(&peers, 0, &[]).as_deref(), Some("a1"));
    peers.avoid(at(0), &name("a1"), AVOID_PERIOD);
    assert_eq!(choose(&peers, 1, &[]).as_deref(), Some("a2"));
    peers.avoid(at(0), &name("a2"), AVOID_PERIOD);
    assert_eq!(choose(&peers, 1, &[]).as_deref(), Some("b1"));
    assert_eq!(choose(&peers, 1, &[name("b1")]).as_deref(), Some("a1"), "all others have failed");
    peers.record_answer(&name("a2"));
    assert_eq!(choose(&peers, 1, &[]).as_deref(), Some("a2"));
    let over = 1 + AVOID_PERIOD.as_millis() as u64;
    assert_eq!(choose(&peers, over, &[]).as_deref(), Some("a1"));
    assert_eq!(choose(&peers, over, &[name("a1"), name("a2"), name("b1")]), None);
}

/// Nothing is forwarded twice that may have taken effect, and nothing is called unknown that can't have.
#[test]
fn a_forwarded_statement_without_an_answer_ends_by_what_was_sent() {
    let operation = |access| Operation { access, body: Body::Text("x".into()) };
    let single = |access| Step::Single(operation(access));
    let in_transaction =
        Step::InTransaction { operation: operation(Access::Write), read_only: false };
    let commit = Step::Commit { read_only: false };
    let (unknown, aborted) = (Recovery::End(Code::Unknown), Recovery::End(Code::Aborted));
    let cases = [
        (single(Access::Read), (false, false, true), Recovery::Retry),
        (single(Access::Write), (false, false, true), unknown.clone()),
        (single(Access::Write), (false, false, false), Recovery::Retry),
        (in_transaction.clone(), (false, false, true), Recovery::Retry),
        (in_transaction.clone(), (true, true, true), aborted.clone()),
        (in_transaction, (true, false, false), aborted.clone()),
        (commit.clone(), (true, true, true), unknown),
        (commit.clone(), (true, true, false), aborted.clone()),
        (commit.clone(), (true, false, true), aborted),
        (commit, (false, false, true), Recovery::Retry),
    ];
    for (step, (continues, wrote, sent), expected) in cases {
        let recovery = recovery::after_failure(&step, continues, wrote, sent);
        assert_eq!(recovery, expected, "{step:?} {continues} {wrote} {sent}");
    }
}

/// A leader of a group whose instances accept `connections` connections, and proxies that use and report all that they
/// may hold.
struct Cluster {
    control: Control,
    connections: u32,
    proxies: Vec<(Proxy, u32)>,
    term: u64,
}

fn declarations(connections: u32) -> Fleet {
    let text = format!(
        "[class.c]\npriority = 0\ndeadline = \"1s\"\n[group.g]\ninstances = 3\nslots = 3\n\
         connections = {connections}\nconnect_time = \"10ms\"\ndurability = \"majority\"\n\
         promoted_outside = true\ndefault_class = \"c\"\n"
    );
    Fleet::parse("fleet", &text).expect("valid declarations")
}

impl Cluster {
    fn new(connections: u32, count: usize) -> Self {
        let mut control = Control::elected(at(0), State::default(), 1);
        control.fleet = declarations(connections);
        let proxies: Vec<_> =
            (0..count).map(|number| (Proxy::new(&format!("p{number:02}"), 1), 0)).collect();
        for (proxy, _) in &proxies {
            control.register(at(0), &proxy.holder);
        }
        Self { control, connections, proxies, term: 1 }
    }

    /// Replaces the leader by one that knows only what is in the log.
    fn elect(&mut self, now: Instant) {
        self.term += 1;
        self.control = Control::elected(now, self.control.state.clone(), self.term);
        self.control.fleet = declarations(self.connections);
    }

    /// Lets a proxy send a heartbeat, apply the answer, and open or close connections as its table says. A proxy that
    /// keeps its connections busy closes none.
    fn exchange(&mut self, now: Instant, index: usize, busy: bool) {
        let (proxy, open) = &mut self.proxies[index];
        let share = proxy.fence.permits(now, &proxy.holder.0, &group());
        proxy.demand = vec![Demand { group: group(), wanted: 8, open: *open, share }];
        proxy.exchange_heartbeat(now, &mut self.control);
        let permits = self.permits(now, index);
        let (_, open) = &mut self.proxies[index];
        *open = if busy { (*open).max(permits) } else { permits };
    }

    fn permits(&self, now: Instant, index: usize) -> u32 {
        let (proxy, _) = &self.proxies[index];
        proxy.fence.permits(now, &proxy.holder.0, &group())
    }

    fn open(&self) -> u32 {
        self.proxies.iter().map(|(_, open)| open).sum()
    }
}

/// Guards against proxies that each open a connection although instances accept fewer.
#[test]
fn many_proxies_open_no_more_connections_than_instances_accept_and_some_serve_the_group() {
    let (connections, count) = (34, 69);
    let mut cluster = Cluster::new(connections, count);
    for step in 0..60 {
        let now = at(step * 100);
        for index in 0..count {
            cluster.exchange(now, index, false);
        }
        cluster.control.tick(now);
        assert!(cluster.open() + CONTROL_CONNECTIONS <= connections, "{} open", cluster.open());
    }
    let now = at(6_000);
    let serving: Vec<u32> =
        (0..count).map(|i| cluster.permits(now, i)).filter(|n| *n > 0).collect();
    assert!(serving.len() as u32 >= MIN_SERVERS, "{serving:?}");
    let used = connections - CONTROL_CONNECTIONS - SPARE_CONNECTIONS;
    assert_eq!(serving.iter().sum::<u32>(), used, "the connections are used: {serving:?}");
    for (proxy, _) in &cluster.proxies {
        let Serving::Listed(servers) = proxy.fence.table().serving(&group()) else {
            panic!("every proxy knows where to forward");
        };
        assert_eq!(servers.len(), serving.len());
    }
}

/// Guards against a burst right after a start that finds one connection for each proxy, because the shares were only
/// updated with the next interval.
#[test]
fn shares_are_given_as_soon_as_all_proxies_have_reported() {
    let mut cluster = Cluster::new(28, 2);
    cluster.control.tick(at(0));
    for ms in [10, 20] {
        for index in 0..2 {
            cluster.exchange(at(ms), index, false);
        }
        cluster.control.tick(at(ms));
    }
    for index in 0..2 {
        cluster.exchange(at(30), index, false);
        assert!(cluster.permits(at(30), index) > 1);
    }
}

/// Guards against a primary that stays in place because a new leader, which has not chosen the serving proxies yet,
/// dropped what they reported once.
#[test]
fn reports_to_a_new_leader_count_before_it_has_chosen_the_serving_proxies() {
    let count = 30;
    let mut cluster = Cluster::new(17, count);
    cluster.control.promote_first(at(0), "i1");
    let run = |cluster: &mut Cluster, steps: std::ops::Range<u64>, without: Option<usize>| {
        let mut frozen = false;
        for step in steps {
            let now = at(step * 100);
            for index in (0..count).filter(|index| Some(*index) != without) {
                cluster.exchange(now, index, false);
                cluster.proxies[index].0.observations.clear();
            }
            let freezes = |output: &Output| matches!(output, Output::Submit(Action::Freeze { .. }));
            frozen |= cluster.control.tick(now).iter().any(freezes);
        }
        frozen
    };
    let observe = |cluster: &mut Cluster, health: Health| {
        for index in 0..count {
            if cluster.permits(at(2_000), index) > 0 {
                (1..4).for_each(|n| {
                    let health = if n == 1 { health } else { Health::Fine };
                    cluster.proxies[index].0.observe(&format!("i{n}"), n, health, 0);
                });
            }
        }
    };
    assert!(!run(&mut cluster, 0..20, None));
    observe(&mut cluster, Health::Fine);
    assert!(!run(&mut cluster, 20..30, None));
    cluster.elect(at(3_000));
    observe(&mut cluster, Health::Refused);
    // One proxy is gone, so the new leader doesn't choose before inherited leases have expired.
    assert!(run(&mut cluster, 30..60, Some(0)), "the primary is replaced");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Proxies are cut off from control and return, keep connections busy, and leaders change, in any order.
    #[test]
    fn open_connections_never_exceed_the_limit_with_more_proxies_than_connections(
        connections in 6_u32..20,
        steps in prop::collection::vec((0_usize..30, any::<u8>()), 1..150),
    ) {
        let count = 30;
        let mut cluster = Cluster::new(connections, count);
        let mut cut = vec![false; count];
        let mut busy = vec![false; count];
        for (step, (index, event)) in steps.into_iter().enumerate() {
            let now = at(step as u64 * 100);
            match event % 8 {
                0 | 1 => cut[index] = !cut[index],
                2 | 3 => busy[index] = !busy[index],
                4 if event / 8 == 0 => cluster.elect(now),
                _ => {}
            }
            for index in 0..count {
                if cut[index] {
                    // Without a lease a proxy keeps one connection at most, as soon as it isn't busy.
                    let permits = cluster.permits(now, index);
                    let (_, open) = &mut cluster.proxies[index];
                    *open = (*open).min(permits);
                } else {
                    cluster.exchange(now, index, busy[index]);
                }
            }
            cluster.control.tick(now);
            prop_assert!(
                cluster.open() + CONTROL_CONNECTIONS <= connections,
                "step {step}: {} of {connections}", cluster.open()
            );
        }
    }
}
