//! Shares of the connections: never more in all than an instance takes, also while they change.

mod machine;

use std::collections::BTreeMap;

use cactushatch::control::budget::{Budget, CONTROL, Member, SPARE, WATCH};
use cactushatch::id;
use cactushatch::wire::Demand;
use machine::{group, name};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn demand(wanted: u32, open: u32, share: u32) -> Demand {
    Demand { group: group(), wanted, open, share }
}

fn member(node: &str, live: bool) -> Member {
    Member { node: name(node), live }
}

fn free(connections: u32, members: u32) -> u32 {
    connections - CONTROL - WATCH * members - SPARE
}

/// A budget whose proxies report until nothing changes any more.
fn settled(connections: u32, wants: &[(&str, u32)]) -> (Budget, Vec<Member>, u64) {
    let mut budget = Budget::default();
    let members: Vec<Member> = wants.iter().map(|(node, _)| member(node, true)).collect();
    let mut version = 1;
    for _ in 0..4 {
        for (node, wanted) in wants {
            let share = budget.share(&name(node));
            budget.report(&name(node), &demand(*wanted, 0, share), version);
        }
        version += 1;
        budget.step(connections, &members, false, version);
    }
    (budget, members, version)
}

#[test]
fn proxies_share_by_demand_and_each_has_one() {
    let (budget, _, _) = settled(30, &[("a", 16), ("b", 4), ("c", 0)]);
    let shares = ["a", "b", "c"].map(|node| budget.share(&name(node)));
    assert_eq!(shares.iter().sum::<u32>(), free(30, 3));
    assert!(shares[0] >= 3 * shares[1] && shares[2] >= 1, "{shares:?}");
    let (budget, _, _) = settled(16, &[("a", 0), ("b", 0)]);
    let shares = ["a", "b"].map(|node| budget.share(&name(node)));
    assert!(shares[0].abs_diff(shares[1]) <= 1, "idle proxies share evenly: {shares:?}");
}

#[test]
fn a_share_grows_only_after_the_others_have_shrunk() {
    let (mut budget, members, version) = settled(30, &[("a", 16), ("b", 1)]);
    let (before_a, before_b) = (budget.share(&name("a")), budget.share(&name("b")));
    budget.report(&name("a"), &demand(1, before_a, before_a), version);
    budget.report(&name("b"), &demand(16, before_b, before_b), version);
    budget.step(30, &members, false, version + 1);
    assert!(budget.share(&name("a")) < before_a);
    assert!(budget.share(&name("b")) <= before_b + SPARE, "only what was free");
    // It has the new table in force, but its connections are still busy.
    budget.report(&name("a"), &demand(1, before_a, 1), version + 1);
    budget.step(30, &members, false, version + 2);
    assert!(budget.share(&name("b")) <= before_b + SPARE);
    budget.report(&name("a"), &demand(1, 1, 1), version + 2);
    budget.step(30, &members, false, version + 3);
    assert!(budget.share(&name("b")) > before_b + SPARE);
}

#[test]
fn the_share_of_a_proxy_without_a_lease_returns() {
    let (mut budget, mut members, version) = settled(30, &[("a", 8), ("b", 8)]);
    members[0].live = false;
    budget.step(30, &members, false, version + 1);
    assert_eq!(budget.share(&name("a")), 1);
    budget.step(30, &members, false, version + 2);
    assert_eq!(budget.share(&name("b")), free(30, 2) - 1);
}

#[test]
fn a_new_leader_lets_nothing_grow_until_all_have_reported() {
    let mut budget = Budget::default();
    let members = [member("a", true), member("b", true)];
    budget.report(&name("a"), &demand(16, 3, 3), 0);
    budget.step(30, &members, true, 1);
    assert_eq!(budget.share(&name("a")), 3);
    budget.report(&name("b"), &demand(1, 20, 20), 0);
    budget.step(30, &members, true, 2);
    assert!(budget.bound() <= 30 - CONTROL - 2 * WATCH);
    budget.report(&name("b"), &demand(1, 1, 1), 2);
    budget.step(30, &members, true, 3);
    assert!(budget.share(&name("a")) > 3);
}

/// A proxy as far as its connections go.
#[derive(Debug, Default, Clone)]
struct Holder {
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
    fn the_sum_is_never_exceeded(
        connections in 10_u32..60,
        steps in prop::collection::vec((0_usize..3, 0_u32..40, any::<u8>()), 1..200),
    ) {
        let mut budget = Budget::default();
        let mut holders: BTreeMap<id::Node, Holder> = BTreeMap::new();
        let names: [id::Node; 3] = ["a", "b", "c"].map(name);
        let members: Vec<Member> =
            names.iter().map(|node| Member { node: node.clone(), live: true }).collect();
        let mut tables = vec![BTreeMap::new()];
        for (at, wanted, what) in steps {
            let node = &names[at];
            let holder = holders.entry(node.clone()).or_default();
            match what % 4 {
                // Any table that is newer than the one in force may arrive.
                0 => {
                    let newest = tables.len() as u64 - 1;
                    holder.version = holder.version.max(newest.min(holder.version + u64::from(what) / 4));
                    let table: &BTreeMap<id::Node, u32> = &tables[holder.version as usize];
                    holder.share = table.get(node).copied().unwrap_or(0);
                }
                1 => holder.open = holder.open.max(holder.share),
                // Open connections beyond the share end one after another.
                2 => holder.open = holder.open.saturating_sub(1),
                _ => holder.wanted = wanted,
            }
            let demand = demand(holder.wanted, holder.open, holder.share);
            budget.report(node, &demand, holder.version);
            if budget.step(connections, &members, false, tables.len() as u64) {
                let shares = names.iter().map(|node| (node.clone(), budget.share(node)));
                tables.push(shares.collect());
            }
            let open: u32 = holders.values().map(|holder| holder.open).sum();
            prop_assert!(open + CONTROL + 3 * WATCH <= connections, "{open} of {connections}");
        }
    }
}
