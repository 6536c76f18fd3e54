//! Tests the quotas of accounts over a fleet under the paused clock.

#[path = "../machine/mod.rs"]
mod machine;
mod simulation;

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use cactushatch::broker::dispatch::Ticket;
use cactushatch::broker::quota::{Decision, Tokens};
use cactushatch::control::quota::{Ledger, MAX_REPORTS};
use cactushatch::control::state::Action;
use cactushatch::id;
use cactushatch::wire::quota::Report;
use machine::{at, name};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::{BOUND, Simulation, Use, account, declare};

/// Accounts of similar size, by rank.
const RANKS: [Range<usize>; 5] = [0..1, 1..5, 5..20, 20..50, 50..82];

/// Returns the accounts of user A: their loads fall by rank to the power 1.2.
fn user_a() -> Vec<Use> {
    let size = |rank: u32| f64::from(rank).powf(-1.2);
    let sum: f64 = (1..=82).map(size).sum();
    let used = |rank| {
        let load = 1_076.0 * size(rank) / sum;
        let rate = 1.6 * load;
        let sessions = (3_980.0 * size(rank) / sum).round() as usize;
        Use { rate, burst: rate.ceil() as u32, sessions, load }
    };
    (1..=82).map(used).collect()
}

fn percent(part: u32, whole: u32) -> f64 {
    100.0 * f64::from(part) / f64::from(whole)
}

/// Guards against refusals below the quota, for small accounts too, whose tokens are spread over many proxies.
#[test]
fn nothing_is_refused_at_the_usual_load() {
    let mut simulation = Simulation::new(1, 77, user_a());
    simulation.run_for(Duration::from_secs(30));
    simulation.forget_counts();
    simulation.total_wait = Duration::ZERO;
    let (heartbeats, reports) = (simulation.heartbeats, simulation.reports);
    simulation.run_for(Duration::from_secs(60));
    let heartbeats = (simulation.heartbeats - heartbeats) as f64 / 60.0;
    let reports = (simulation.reports - reports) as f64 / 60.0;
    let (_, _, waited) = simulation.total(0..82);
    let (mean, longest) = (simulation.total_wait / waited, simulation.longest_wait);
    println!("mean wait {mean:?}, longest {longest:?}");
    println!("{heartbeats:.0} heartbeats/s, {reports:.0} reports/s");
    for ranks in RANKS {
        let (asked, refused, waited) = simulation.total(ranks.clone());
        let (refusals, waits) = (percent(refused, asked), percent(waited, asked));
        println!("ranks {ranks:?}: {asked} asked, {refusals:.3} % refused, {waits:.2} % waited");
        assert!(refusals <= 0.1, "{refusals} % of {asked} refused for ranks {ranks:?}");
    }
    simulation.assert_bound();
}

/// Guards against an account above its quota that takes capacity of the others, or loses its own.
#[test]
fn an_account_at_eight_times_its_load_gets_its_rate_and_the_others_lose_nothing() {
    let mut simulation = Simulation::new(2, 77, user_a());
    simulation.run_for(Duration::from_secs(30));
    simulation.uses[2].load *= 8.0;
    simulation.run_for(Duration::from_secs(10));
    simulation.forget_counts();
    let heartbeats = simulation.heartbeats;
    simulation.run_for(Duration::from_secs(20));
    println!("{} heartbeats/s", (simulation.heartbeats - heartbeats) / 20);
    let (ran, rate) = (simulation.counts[2].ran.len() as f64 / 20.0, simulation.uses[2].rate);
    println!("got {ran:.1}/s of {rate:.1}/s, refused {}", simulation.counts[2].refused);
    // One operation in fifty returns its token here.
    assert!(ran > 0.97 * rate);
    let (asked, refused, _) = simulation.total((0..82).filter(|number| *number != 2));
    println!("others: {asked} asked, {refused} refused");
    assert!(percent(refused, asked) <= 0.1);
    simulation.assert_bound();
}

fn small(count: usize, load_factor: f64) -> Vec<Use> {
    let used = |number: usize| {
        let rate = [2.0, 20.0, 100.0][number % 3];
        Use { rate, burst: rate as u32, sessions: 12, load: rate * load_factor }
    };
    (0..count).map(used).collect()
}

/// Guards against tokens held idle by many proxies while the callers of another one are refused.
#[test]
fn idle_tokens_of_an_account_smaller_than_the_fleet_are_returned() {
    let tiny = Use { rate: 1.0, burst: 1, sessions: 77, load: 0.6 };
    let mut simulation = Simulation::new(3, 77, vec![tiny; 10]);
    simulation.run_for(Duration::from_secs(60));
    simulation.forget_counts();
    simulation.run_for(Duration::from_secs(240));
    let (asked, refused, _) = simulation.total(0..10);
    println!("{asked} asked, {refused} refused");
    assert!(percent(refused, asked) <= 0.1, "{refused} of {asked} refused");
    simulation.assert_bound();
}

/// Guards against a frozen proxy that resumes with tokens which the leader has counted as spent.
#[test]
fn a_frozen_proxy_resumes_without_tokens() {
    let mut simulation = Simulation::new(4, 4, small(3, 0.5));
    simulation.run_for(Duration::from_secs(10));
    simulation.clock.advance(Duration::from_secs(3));
    let now = simulation.clock.now();
    let decision = simulation.proxies[0].tokens.start(now, &account(2), Ticket(0));
    assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}");
}

/// Guards against a full burst from a level that starts full after a restart of all processes.
#[test]
fn a_restart_of_all_processes_gives_no_full_burst() {
    let mut simulation = Simulation::new(5, 4, small(3, 4.0));
    simulation.run_for(Duration::from_secs(10));
    simulation.change_leader();
    simulation.deposed = None;
    (0..4).for_each(|at| simulation.restart_proxy(at));
    simulation.run_for(Duration::from_secs(10));
    simulation.assert_bound();
}

/// Guards against operations at the former rate after it was lowered, on a proxy that was out of contact too.
#[test]
fn a_lowered_rate_binds_a_proxy_that_was_out_of_contact() {
    let mut simulation = Simulation::new(6, 4, small(3, 4.0));
    simulation.run_for(Duration::from_secs(10));
    simulation.proxies[0].is_cut = true;
    let earlier = simulation.control.fleet.clone();
    simulation.uses.iter_mut().for_each(|used| (used.rate, used.burst) = (used.rate / 2.0, 1));
    simulation.control.fleet = declare(&simulation.uses);
    simulation.control.state.revision = id::Revision(2);
    simulation.control.commit(simulation.clock.now(), Action::Forget { node: name("none") });
    let fleet = simulation.control.fleet.clone();
    let in_contact = simulation.proxies.iter_mut().skip(1);
    in_contact.for_each(|proxy| proxy.tokens.configure(&earlier.account, &fleet.account));
    simulation.run_for(Duration::from_secs(4));
    simulation.forget_counts();
    simulation.proxies[0].is_cut = false;
    simulation.proxies[0].tokens.configure(&earlier.account, &fleet.account);
    simulation.run_for(Duration::from_secs(10));
    simulation.assert_bound();
    let ran = simulation.counts[2].ran.len();
    assert!(ran > 450, "{ran} operations in 10 s at 50/s");
}

/// Guards against a leader change that stops accounts below their quota, also while proxies that may hold tokens of the
/// former leader are out of contact.
#[test]
fn a_leader_change_refuses_little() {
    for cut in [0, 19] {
        let mut simulation = Simulation::new(7, 77, user_a());
        simulation.run_for(Duration::from_secs(20));
        simulation.forget_counts();
        (0..cut).for_each(|at| simulation.proxies[at].is_cut = true);
        simulation.change_leader();
        simulation.run_for(Duration::from_secs(5));
        let (asked, refused, _) = simulation.total(0..82);
        println!("leader change, {cut} proxies cut: {asked} asked, {refused} refused in 5 s");
        assert!(percent(refused, asked) <= 2.5);
    }
}

/// Guards against an account that gets its rate on both sides of a partition, also while leaders change in succession.
#[test]
fn a_partition_and_two_leader_changes_give_no_more_than_the_bound() {
    let mut simulation = Simulation::new(8, 8, small(3, 8.0));
    simulation.run_for(Duration::from_secs(10));
    (0..4).for_each(|at| simulation.proxies[at].is_cut = true);
    for pause in [500, 1_500, 6_000] {
        simulation.run_for(Duration::from_millis(pause));
        simulation.change_leader();
        simulation.run_for(Duration::from_millis(300));
        simulation.deposed = None;
    }
    let (_, _, waited) = simulation.total(0..3);
    assert!(waited > 0);
    simulation.proxies.iter_mut().for_each(|proxy| proxy.is_cut = false);
    simulation.run_for(Duration::from_secs(10));
    simulation.assert_bound();
}

fn report(spent: u64, limit: u64, wanted: u32) -> Report {
    Report { account: account(0), generation: 1, spent, limit, wanted }
}

/// Returns a ledger of one account with 10/s and a burst of 50, elected at 0, and its capacity.
fn ledger() -> (Ledger, f64) {
    let used = Use { rate: 10.0, burst: 50, sessions: 1, load: 1.0 };
    let mut ledger = Ledger::new(at(0), BOUND);
    ledger.configure(at(0), id::Revision(1), &declare(&[used]).account);
    (ledger, 50.0 + 0.1 * 100.0 + 20.0)
}

fn lease(ledger: &mut Ledger, ms: u64, node: &str, report: Report) -> u64 {
    let holder = (name(node), id::Incarnation(1));
    let allowances = ledger.handle_reports(at(ms), &holder, &[report], true);
    allowances.first().map_or(0, |allowance| allowance.limit)
}

/// Guards against tokens of a silent proxy that are leased again although it may have spent them.
#[test]
fn tokens_of_a_silent_proxy_count_as_spent() {
    let (mut ledger, capacity) = ledger();
    let holders = || std::iter::empty();
    ledger.expire(at(5_000), holders());
    let first = lease(&mut ledger, 20_000, "p1", report(0, 0, 60));
    assert_eq!(first, 60);
    ledger.expire(at(23_200), holders());
    assert_eq!(ledger.leased(&account(0)), 60);
    ledger.expire(at(23_400), holders());
    assert_eq!(ledger.leased(&account(0)), 0);
    let second = lease(&mut ledger, 23_400, "p2", report(0, 0, 500));
    assert!((first + second) as f64 <= capacity + 34.0, "{first} and {second}");
}

/// Guards against a new leader that leases a full level while proxies it hasn't heard may hold the former one's tokens.
#[test]
fn a_new_leader_leases_little_until_all_proxies_are_known() {
    let (mut ledger, capacity) = ledger();
    let p2 = || std::iter::once((name("p2"), id::Incarnation(1)));
    let early = (name("p1"), id::Incarnation(1));
    let answer = ledger.handle_reports(at(10), &early, &[report(0, 10, 20)], false);
    assert!(answer.is_empty(), "the former leader may still raise the limit");
    assert_eq!(lease(&mut ledger, 20, "p1", report(0, 30, 40)), 30);
    assert_eq!(ledger.leased(&account(0)), 30);
    ledger.expire(at(3_000), p2());
    let part = ((capacity - 50.0) * 0.15) as u64;
    assert_eq!(lease(&mut ledger, 3_500, "p1", report(0, 30, 100)), 30 + part);
    ledger.expire(at(3_700), p2());
    assert!(lease(&mut ledger, 4_700, "p1", report(0, 30 + part, 100)) > 30 + part);
}

/// Guards against heartbeats longer than a datagram, and accounts that are never reported because others come first.
#[test]
fn reports_of_many_accounts_come_in_turn() {
    let mut tokens = Tokens::default();
    (0..600).for_each(|number| tokens.open_session(&account(number)));
    let now = at(0);
    let list = |sequence| tokens.reports(now, id::Sequence(sequence));
    let lists: Vec<_> = (1..=3).map(list).collect();
    assert!(lists.iter().all(|list| list.len() <= MAX_REPORTS));
    let reported: BTreeSet<_> = lists.iter().flatten().map(|report| &report.account).collect();
    assert_eq!(reported.len(), 600);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against more operations than the bound in any window, with accounts above their rates, while leaders
    /// change in succession, domains are partitioned, and proxies freeze and restart.
    #[test]
    fn no_window_exceeds_the_bound(
        seed: u64,
        loss in 0.0..0.3_f64,
        delay_ms in 1..200_u64,
        events in prop::collection::vec((0..12_u8, 0..6_usize, 100..2_500_u64), 10..25),
    ) {
        let mut simulation = Simulation::new(seed, 6, small(3, 3.0));
        (simulation.loss, simulation.delay_ms) = (loss, delay_ms);
        let mut elected_at = simulation.clock.now();
        for (event, at, pause_ms) in events {
            let now = simulation.clock.now();
            match event {
                0..=2 if now.since(elected_at) > Duration::from_millis(1_800) => {
                    elected_at = now;
                    simulation.change_leader();
                }
                3..=4 => (0..at).for_each(|at| simulation.proxies[at].is_cut ^= true),
                5 => simulation.proxies.iter_mut().for_each(|proxy| proxy.is_cut = false),
                6..=7 => {
                    let until = now + Duration::from_millis(2 * pause_ms);
                    simulation.proxies[at].frozen_until = until;
                }
                8 => simulation.restart_proxy(at),
                9 => simulation.uses.iter_mut().for_each(|used| used.load = 0.2 * used.rate),
                10 => simulation.uses.iter_mut().for_each(|used| used.load = 6.0 * used.rate),
                _ => {}
            }
            simulation.run_for(Duration::from_millis(pause_ms.min(300)));
            simulation.deposed = None;
            simulation.run_for(Duration::from_millis(pause_ms.saturating_sub(300)));
        }
        simulation.assert_bound();
    }
}
