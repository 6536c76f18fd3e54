//! Tests that proxies share connections by demand and never open more together than an instance accepts, not even
//! while the shares change.

mod machine;

use std::collections::BTreeMap;

use cactushatch::control::budget::{
    Budget, CONTROL_CONNECTIONS, Participant, SPARE_CONNECTIONS, WATCH_CONNECTIONS,
};
use cactushatch::id;
use cactushatch::wire::Demand;
use machine::{group, name};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn demand(wanted: u32, open: u32, share: u32) -> Demand {
    Demand { group: group(), wanted, open, share }
}

fn participant(node: &str, live: bool) -> Participant {
    Participant { node: name(node), live, serves: true, retains: true }
}

fn shareable(connections: u32, participants: u32) -> u32 {
    connections - CONTROL_CONNECTIONS - WATCH_CONNECTIONS * participants - SPARE_CONNECTIONS
}

/// Creates a budget and lets its proxies report until the shares no longer change.
fn settled(connections: u32, wants: &[(&str, u32)]) -> (Budget, Vec<Participant>, u64) {
    let mut budget = Budget::default();
    let participants: Vec<Participant> =
        wants.iter().map(|(node, _)| participant(node, true)).collect();
    let mut version = 1;
    for _ in 0..4 {
        for (node, wanted) in wants {
            let share = budget.share(&name(node));
            budget.record_demand(&name(node), &demand(*wanted, 0, share), version);
        }
        version += 1;
        budget.reshare(connections, &participants, false, version);
    }
    (budget, participants, version)
}

#[test]
fn connections_are_shared_by_demand_and_each_proxy_has_at_least_one() {
    let (budget, _, _) = settled(30, &[("a", 16), ("b", 4), ("c", 0)]);
    let shares = ["a", "b", "c"].map(|node| budget.share(&name(node)));
    assert_eq!(shares.iter().sum::<u32>(), shareable(30, 3));
    assert!(shares[0] >= 3 * shares[1] && shares[2] >= 1, "{shares:?}");
    let (budget, _, _) = settled(16, &[("a", 0), ("b", 0)]);
    let shares = ["a", "b"].map(|node| budget.share(&name(node)));
    assert!(shares[0].abs_diff(shares[1]) <= 1, "idle proxies share evenly: {shares:?}");
}

#[test]
fn a_share_grows_only_after_the_others_have_shrunk() {
    let (mut budget, participants, version) = settled(30, &[("a", 16), ("b", 1)]);
    let (before_a, before_b) = (budget.share(&name("a")), budget.share(&name("b")));
    budget.record_demand(&name("a"), &demand(1, before_a, before_a), version);
    budget.record_demand(&name("b"), &demand(16, before_b, before_b), version);
    budget.reshare(30, &participants, false, version + 1);
    assert!(budget.share(&name("a")) < before_a);
    assert!(
        budget.share(&name("b")) <= before_b + SPARE_CONNECTIONS,
        "b gets only the spare connection"
    );
    // a has the new table in force, but its connections are still busy.
    budget.record_demand(&name("a"), &demand(1, before_a, 1), version + 1);
    budget.reshare(30, &participants, false, version + 2);
    assert!(budget.share(&name("b")) <= before_b + SPARE_CONNECTIONS);
    budget.record_demand(&name("a"), &demand(1, 1, 1), version + 2);
    budget.reshare(30, &participants, false, version + 3);
    assert!(budget.share(&name("b")) > before_b + SPARE_CONNECTIONS);
}

#[test]
fn the_share_of_a_proxy_without_a_lease_is_reclaimed() {
    let (mut budget, mut participants, version) = settled(30, &[("a", 8), ("b", 8)]);
    participants[0].live = false;
    budget.reshare(30, &participants, false, version + 1);
    assert_eq!(budget.share(&name("a")), 1);
    budget.reshare(30, &participants, false, version + 2);
    assert_eq!(budget.share(&name("b")), shareable(30, 2) - 1);
}

#[test]
fn under_a_new_leader_no_share_grows_until_all_proxies_have_reported() {
    let mut budget = Budget::default();
    let participants = [participant("a", true), participant("b", true)];
    budget.record_demand(&name("a"), &demand(16, 3, 3), 0);
    budget.reshare(30, &participants, true, 1);
    assert_eq!(budget.share(&name("a")), 3);
    budget.record_demand(&name("b"), &demand(1, 20, 20), 0);
    budget.reshare(30, &participants, true, 2);
    assert!(budget.max_open() <= 30 - CONTROL_CONNECTIONS - 2 * WATCH_CONNECTIONS);
    budget.record_demand(&name("b"), &demand(1, 1, 1), 2);
    budget.reshare(30, &participants, true, 3);
    assert!(budget.share(&name("a")) > 3);
}

/// A model of a proxy's connections.
#[derive(Debug, Default, Clone)]
struct Proxy {
    version: u64,
    share: u32,
    open: u32,
    wanted: u32,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn open_connections_never_exceed_the_limit(
        connections in 10_u32..60,
        steps in prop::collection::vec((0_usize..3, 0_u32..40, any::<u8>()), 1..200),
    ) {
        let mut budget = Budget::default();
        let mut proxies: BTreeMap<id::Node, Proxy> = BTreeMap::new();
        let names: [id::Node; 3] = ["a", "b", "c"].map(name);
        let participants: Vec<Participant> =
            names.iter().map(|node| Participant { node: node.clone(), live: true, serves: true, retains: true }).collect();
        let mut tables = vec![BTreeMap::new()];
        for (index, wanted, event) in steps {
            let node = &names[index];
            let proxy = proxies.entry(node.clone()).or_default();
            match event % 4 {
                // Any table newer than the one in force may arrive.
                0 => {
                    let newest = tables.len() as u64 - 1;
                    proxy.version = proxy.version.max(newest.min(proxy.version + u64::from(event) / 4));
                    let table: &BTreeMap<id::Node, u32> = &tables[proxy.version as usize];
                    proxy.share = table.get(node).copied().unwrap_or(0);
                }
                1 => proxy.open = proxy.open.max(proxy.share),
                // An open connection is closed, if there is one.
                2 => proxy.open = proxy.open.saturating_sub(1),
                _ => proxy.wanted = wanted,
            }
            let demand = demand(proxy.wanted, proxy.open, proxy.share);
            budget.record_demand(node, &demand, proxy.version);
            if budget.reshare(connections, &participants, false, tables.len() as u64) {
                let shares = names.iter().map(|node| (node.clone(), budget.share(node)));
                tables.push(shares.collect());
            }
            let open: u32 = proxies.values().map(|proxy| proxy.open).sum();
            prop_assert!(
                open + CONTROL_CONNECTIONS + 3 * WATCH_CONNECTIONS <= connections,
                "{open} of {connections}"
            );
        }
    }
}
