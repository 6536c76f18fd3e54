//! Tests of connections by account: which idle connection is closed for another, and on which proxies an account's
//! statements run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use cactushatch::broker::dispatch::{Decision, Dispatcher, Primary, Request, Ticket};
use cactushatch::broker::home::{self, Share};
use cactushatch::broker::need::Need;
use cactushatch::broker::pool::{MAX_ACCOUNTS, MAX_IDLE, MAX_IDLE_OF_ACCOUNT, Pool};
use cactushatch::clock::Instant;
use cactushatch::id;
use cactushatch::proxy::floor::Mark;
use cactushatch::wire::Server;
use proptest::prelude::*;
use smallvec::SmallVec;

const ACCOUNTS: usize = 82;
const SERVERS: usize = 12;
const DOMAINS: usize = 4;
const PERMITS: u32 = 5;

fn at(ms: u64) -> Instant {
    Instant(1_000_000_000) + Duration::from_millis(ms)
}

fn account(number: usize) -> id::Account {
    format!("account-{number}").parse().expect("a name")
}

fn domain(number: usize) -> id::Domain {
    format!("zone-{}", number % DOMAINS).parse().expect("a name")
}

fn servers(numbers: impl Iterator<Item = usize>) -> Vec<Server> {
    let server = |number| Server {
        node: format!("vm-{number}").parse().expect("a name"),
        address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
        domain: domain(number),
    };
    numbers.map(server).collect()
}

/// Returns the part of all statements that each account sends: it falls with the rank to the power 1.2.
fn parts() -> Vec<f64> {
    let sizes: Vec<f64> = (1..=ACCOUNTS).map(|rank| (rank as f64).powf(-1.2)).collect();
    let total: f64 = sizes.iter().sum();
    sizes.into_iter().map(|size| size / total).collect()
}

/// Guards against a first come, first served eviction: it closes the connection of a busy account for that of a rare one.
#[test]
fn the_connection_whose_next_use_is_expected_last_is_closed() {
    let (busy, rare, new) = (account(1), account(2), account(3));
    let mut pool = Pool::default();
    for ms in (0..2_000).step_by(100) {
        pool.pop(at(ms), Some(&busy), |_| true);
    }
    pool.pop(at(2_000), Some(&rare), |_| true);
    pool.put(at(2_000), Some(busy.clone()), "busy");
    pool.put(at(2_010), Some(rare), "rare");
    // The account sent a burst, and did not use its second connection since.
    pool.put(at(2_020), Some(busy), "busy again");
    assert_eq!(pool.pop(at(2_030), Some(&new), |_| true), None);
    assert_eq!(pool.evict(at(2_030), Some(&new)), Some("rare"));
    assert_eq!(pool.evict(at(2_040), Some(&new)), Some("busy"), "the one that was idle for longer");
    assert_eq!(pool.evict(at(2_050), Some(&new)), Some("busy again"), "nothing else is left");
    assert_eq!(pool.evict(at(2_060), Some(&new)), None);
}

/// Guards against a burst of one account that takes the connections of all others, each of which then opens its own anew.
#[test]
fn an_account_keeps_its_last_connection_against_one_that_is_used_less() {
    let (steady, burst) = (account(1), account(2));
    let mut pool = Pool::default();
    for ms in (0..3_000).step_by(100) {
        pool.pop(at(ms), Some(&steady), |_| true);
    }
    pool.pop(at(3_000), Some(&burst), |_| true);
    // By age alone the steady account's connection would be closed.
    pool.put(at(3_000), Some(steady.clone()), steady.clone());
    (0..3).for_each(|_| pool.put(at(8_000), Some(burst.clone()), burst.clone()));
    for _ in 0..3 {
        assert_eq!(pool.evict(at(8_100), Some(&burst)), Some(burst.clone()));
    }
    assert!(pool.has(&steady));
}

/// Guards against memory that grows with the number of accounts, and against idle times that accounts need and
/// deployments without them must not get.
#[test]
fn memory_and_idle_times_are_bounded() {
    let mut pool: Pool<()> = Pool::default();
    for number in 0..3 * MAX_ACCOUNTS {
        pool.pop(at(number as u64), Some(&account(number)), |()| true);
    }
    assert_eq!(pool.known_accounts(), MAX_ACCOUNTS);
    pool.put(at(0), None, ());
    pool.put(at(0), Some(account(1)), ());
    pool.prune(at(0) + MAX_IDLE, 5);
    assert_eq!((pool.len(), pool.has(&account(1))), (1, true));
    pool.prune(at(0) + MAX_IDLE_OF_ACCOUNT, 5);
    assert!(pool.is_empty());
}

proptest! {
    /// Guards against a statement that runs on a connection of another account, and against a pool above its limit.
    #[test]
    fn the_pool_never_gives_the_connection_of_another_account(
        steps in prop::collection::vec((0_usize..4, 0_u8..4, 0_u64..3_000), 1..200),
    ) {
        let mut pool = Pool::default();
        let mut now = at(0);
        for (owner, step, pause) in steps {
            now = now + Duration::from_millis(pause);
            let owner = (owner > 0).then(|| account(owner));
            match step {
                0 => pool.put(now, owner.clone(), owner),
                1 => {
                    let had = owner.as_ref().is_some_and(|account| pool.has(account));
                    let found = pool.pop(now, owner.as_ref(), |_| false);
                    prop_assert!(found.is_some() || !had);
                    prop_assert!(found.is_none_or(|connection| connection == owner));
                }
                2 => drop(pool.evict(now, owner.as_ref())),
                _ => {
                    pool.prune(now, 3);
                    prop_assert!(pool.len() <= 3);
                }
            }
        }
    }
}

/// Guards against an order that depends on the caller, so that small accounts have connections at many proxies, and
/// against large accounts that leave their failure domain.
#[test]
fn small_accounts_have_one_home_everywhere_and_large_ones_one_in_each_domain() {
    let servers = servers(0..SERVERS);
    let homes = |number, part, zone| {
        let homes = home::servers(&account(number), Share::Rate(part), &servers, &domain(zone));
        homes.preferred().iter().map(|server| (*server).clone()).collect::<Vec<Server>>()
    };
    for number in 0..ACCOUNTS {
        let small = homes(number, 0.01, 0);
        assert_eq!(small.len(), 1);
        let large = homes(number, 0.25, 0);
        assert_eq!(large.len(), 5, "ceil(1.5 x 0.25 x 12)");
        for zone in 0..DOMAINS {
            assert_eq!(homes(number, 0.01, zone), small);
            assert_eq!(homes(number, 0.25, zone)[0].domain, domain(zone));
        }
    }
}

/// Guards against a hash that moves accounts whose home neither joined nor left, and against a busiest proxy.
#[test]
fn few_accounts_move_when_the_proxies_change_and_no_proxy_gets_too_much() {
    let first_home = |servers: &[Server], number: usize| {
        let homes = home::servers(&account(number), Share::Rate(0.0), servers, &domain(0));
        homes.usable(|_| true)[0].node.clone()
    };
    let (all, fewer) = (servers(0..SERVERS), servers(1..SERVERS));
    let left = &all[0].node;
    let mut moved = 0;
    for number in 0..1_000 {
        let (before, after) = (first_home(&all, number), first_home(&fewer, number));
        assert!(before == after || before == *left, "{number} moved from {before} to {after}");
        moved += usize::from(before != after);
        let homes = home::servers(&account(number), Share::Rate(0.0), &all, &domain(0));
        let replaced = homes.usable(|server| server.node != *left);
        assert_eq!(replaced[0].node, after, "a home that is avoided is replaced by the next one");
    }
    assert!((1_000 / SERVERS / 2..1_000 / SERVERS * 2).contains(&moved), "{moved} moved");
    let mut loads: BTreeMap<id::Node, f64> = BTreeMap::new();
    for (number, part) in parts().into_iter().enumerate() {
        let homes = home::servers(&account(number), Share::Rate(part), &all, &domain(0));
        for home in homes.preferred() {
            *loads.entry(home.node.clone()).or_default() += part / homes.preferred().len() as f64;
        }
    }
    let busiest = loads.values().copied().fold(0.0, f64::max) * SERVERS as f64;
    println!("busiest serving proxy over the mean by declared rates: {busiest:.2}");
    assert!(busiest < 2.0, "{busiest}");
}

/// A serving proxy of the comparison below.
#[derive(Default)]
struct Serving {
    dispatcher: Dispatcher,
    pools: BTreeMap<id::Instance, Pool<()>>,
    waiting: BTreeMap<Ticket, id::Account>,
}

/// The end of a statement. Times are in microseconds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct End {
    now: u64,
    server: usize,
    instance: id::Instance,
    account: id::Account,
    service: u64,
}

struct Comparison {
    rng: fastrand::Rng,
    serving: Vec<Serving>,
    ends: BinaryHeap<Reverse<End>>,
    statements: u64,
    opened: u64,
    refused: u64,
}

impl Comparison {
    /// Starts a statement on an instance.
    fn start(&mut self, now: Instant, server: usize, instance: id::Instance, account: id::Account) {
        let Serving { dispatcher, pools, .. } = &mut self.serving[server];
        let pool = pools.entry(instance.clone()).or_default();
        let mut opening = 0;
        if pool.pop(now, Some(&account), |()| true).is_none() {
            while dispatcher.used(&instance) as usize + pool.len() > PERMITS as usize {
                pool.evict(now, Some(&account));
            }
            opening = 12_000;
            self.opened += 1;
        }
        self.statements += 1;
        let service = (-24_000.0 * (1.0 - self.rng.f64()).ln()) as u64;
        let now = now.0 + opening + service;
        self.ends.push(Reverse(End { now, server, instance, account, service }));
    }

    fn arrive(&mut self, now: Instant, server: usize, account: id::Account, ticket: Ticket) {
        let Serving { dispatcher, pools, waiting } = &mut self.serving[server];
        let warm = pools.iter().filter(|(_, pool)| pool.has(&account));
        let mark = Mark { term: id::Term(1), position: id::Position(1) };
        let is_write = self.rng.f64() < 0.2;
        let request = Request {
            ticket,
            need: if is_write { Need::Primary } else { Need::AtLeast { mark, since: Instant(0) } },
            priority: 1,
            max_wait: Duration::from_millis(240),
            max_promotion_wait: Duration::from_millis(700),
            excluded: SmallVec::new(),
            account: Some(account.clone()),
            target: Duration::from_millis(400),
            warm: warm.map(|(instance, _)| instance.clone()).collect(),
        };
        match dispatcher.submit(now, request) {
            Decision::Start(instance) => self.start(now, server, instance, account),
            Decision::Wait => drop(waiting.insert(ticket, account)),
            Decision::Refuse(_) => self.refused += 1,
        }
    }

    fn end(&mut self, end: End) {
        let End { now, server, instance, account, service } = end;
        let now = Instant(now);
        let Serving { dispatcher, pools, .. } = &mut self.serving[server];
        pools.entry(instance.clone()).or_default().put(now, Some(account), ());
        pools.values_mut().for_each(|pool| pool.prune(now, PERMITS as usize));
        dispatcher.release(&instance, Some(Duration::from_micros(service)));
        for (ticket, instance) in dispatcher.advance(now) {
            let account =
                self.serving[server].waiting.remove(&ticket).expect("a waiting statement");
            self.start(now, server, instance, account);
        }
    }
}

/// Returns the connections opened per 1,000 statements of one group of user A in two minutes, after one minute that
/// isn't counted.
fn opened_per_thousand(with_homes: bool, seed: u64) -> f64 {
    let mut run = Comparison {
        rng: fastrand::Rng::with_seed(seed),
        serving: Vec::new(),
        ends: BinaryHeap::new(),
        statements: 0,
        opened: 0,
        refused: 0,
    };
    let instances = ["i-1", "i-2", "i-3"].map(|name| name.parse::<id::Instance>().expect("a name"));
    let listed = servers(0..SERVERS);
    run.serving.resize_with(SERVERS, Serving::default);
    for serving in &mut run.serving {
        instances.iter().for_each(|i| serving.dispatcher.set_instance(i, PERMITS, true, false));
        serving.dispatcher.set_primary(at(0), Primary::Available(instances[0].clone()));
    }
    let parts = parts();
    let mut now = at(0);
    let mut ticket = 0;
    while now < at(180_000) {
        now = now + Duration::from_secs_f64(-(1.0 - run.rng.f64()).ln() / 135.0);
        while let Some(Reverse(end)) = run.ends.peek().filter(|end| end.0.now <= now.0).cloned() {
            run.ends.pop();
            run.end(end);
        }
        if run.statements > 0 && now < at(60_000) {
            (run.statements, run.opened) = (0, 0);
        }
        let mut point = run.rng.f64();
        let rank = parts.iter().position(|part| {
            point -= part;
            point < 0.0
        });
        let rank = rank.unwrap_or(0);
        // The caller's proxy, one of 77, of which the first 12 serve the group.
        let proxy = run.rng.usize(..77);
        let homes =
            home::servers(&account(rank), Share::Rate(parts[rank]), &listed, &domain(proxy));
        let usable = if with_homes { homes.usable(|_| true).into_vec() } else { listed.clone() };
        let is_home = |at: &usize| *at < SERVERS && usable.contains(&listed[*at]);
        let near: Vec<&Server> = usable.iter().filter(|s| s.domain == domain(proxy)).collect();
        let chosen = run.rng.choice(near).or_else(|| run.rng.choice(&usable)).expect("a server");
        let position = listed.iter().position(|server| server == chosen).expect("listed");
        let serving = Some(proxy).filter(is_home).unwrap_or(position);
        ticket += 1;
        run.arrive(now, serving, account(rank), Ticket(ticket));
    }
    assert_eq!(run.refused, 0, "the load is far below the capacity");
    let most = run.serving.iter().flat_map(|serving| serving.pools.values().map(Pool::len)).max();
    assert!(most <= Some(PERMITS as usize), "{most:?} idle connections");
    run.opened as f64 * 1_000.0 / run.statements as f64
}

/// Guards against homes that no longer save connections, the reason for which they exist.
#[test]
fn homes_save_most_of_the_connections_that_statements_open() {
    for seed in 1..=2 {
        let (without, with) = (opened_per_thousand(false, seed), opened_per_thousand(true, seed));
        println!("seed {seed}: {without:.0} opened per 1,000 without homes, {with:.0} with homes");
        assert!(with * 2.0 < without, "seed {seed}: {with:.0} with homes, {without:.0} without");
    }
}

/// Guards against statements that open a connection while another free instance has one, and against an effect on
/// deployments without accounts.
#[test]
fn an_instance_with_a_connection_of_the_account_is_preferred() {
    let instances = ["i-1", "i-2", "i-3"].map(|name| name.parse::<id::Instance>().expect("a name"));
    let place = |account: Option<id::Account>, warm: &[id::Instance], connect_ms: Option<u64>| {
        let mut dispatcher = Dispatcher::default();
        instances.iter().for_each(|i| dispatcher.set_instance(i, PERMITS, true, false));
        for _ in 0..100 {
            let duration = connect_ms.map(Duration::from_millis);
            duration.into_iter().for_each(|time| dispatcher.record_connect(&instances[0], time));
        }
        let mark = Mark { term: id::Term(1), position: id::Position(1) };
        dispatcher.submit(
            at(0),
            Request {
                ticket: Ticket(1),
                need: Need::AtLeast { mark, since: Instant(0) },
                priority: 1,
                max_wait: Duration::from_millis(240),
                max_promotion_wait: Duration::from_millis(700),
                excluded: SmallVec::new(),
                account,
                target: Duration::from_millis(400),
                warm: warm.iter().cloned().collect(),
            },
        )
    };
    let start = |at: usize| Decision::Start(instances[at].clone());
    assert_eq!(place(Some(account(1)), &instances[2..], None), start(2));
    assert_eq!(place(None, &instances[2..], None), start(0));
    assert_eq!(place(Some(account(1)), &[], Some(30)), start(1), "opening is slow on the first");
    assert_eq!(place(None, &[], Some(30)), start(0));
}

/// Guards against homes across a partition, each of which delays a statement, and against no home at all.
#[test]
fn a_proxy_without_contact_to_control_uses_homes_in_its_own_domain() {
    let servers = servers(0..SERVERS);
    for number in 0..ACCOUNTS {
        let mut homes = home::servers(&account(number), Share::Rate(0.2), &servers, &domain(1));
        homes.keep_domain(&domain(1));
        let usable = homes.usable(|_| true);
        assert!(!usable.is_empty() && usable.iter().all(|server| server.domain == domain(1)));
        let nowhere = "zone-9".parse().expect("a name");
        let mut homes = home::servers(&account(number), Share::Unlimited, &servers, &nowhere);
        homes.keep_domain(&nowhere);
        assert_eq!(homes.usable(|_| true).len(), 2);
    }
    let undeclared = home::servers(&account(1), Share::Undeclared, &servers, &domain(1));
    assert_eq!(undeclared.preferred().len(), SERVERS, "it stands for any number of callers");
}
