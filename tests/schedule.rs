//! Scheduling of scarce capacity: the order of waiting statements, the shares of classes and accounts, refusals, and the
//! loads of `docs/design/load-and-accounts.md` at the size of one group, in which an instance serves five slots in order
//! of arrival and twelve proxies each see only their own queue.

mod load;

use std::time::Duration;

use cactushatch::broker::dispatch::{Decision, Dispatcher, MAX_WAITING, Primary, Request, Ticket};
use cactushatch::broker::need::Need;
use cactushatch::clock::Instant;
use cactushatch::id;
use cactushatch::schedule::{Entry, Lane, Level, MAX_RETURN, Queue, Returns, Terms};
use load::{Burst, Class, Load, Order, Report, run};
use proptest::prelude::*;
use smallvec::SmallVec;

fn at(ms: u64) -> Instant {
    Instant(1_000_000_000) + Duration::from_millis(ms)
}

fn name<T: std::str::FromStr<Err = id::Error>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn level(priority: u8, target_ms: u64) -> Level {
    Level { priority, target: Duration::from_millis(target_ms) }
}

/// Returns a group with the primary `p` alone, and the classes of user A.
fn group(permits: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_instance(&name("p"), permits, true, false);
    dispatcher.set_primary(at(0), Primary::Available(name("p")));
    let classes = [level(0, 200), level(1, 400), level(2, 1_200)];
    dispatcher.set_classes(at(0), Some(&classes.map(|level| (level, Terms::default()))));
    dispatcher
}

fn request(ticket: u64, level: Level, max_wait_ms: u64) -> Request {
    let max_wait = Duration::from_millis(max_wait_ms);
    Request {
        ticket: Ticket(ticket),
        need: Need::Primary,
        priority: level.priority,
        max_wait,
        max_promotion_wait: max_wait,
        excluded: SmallVec::new(),
        account: None,
        target: level.target,
        warm: SmallVec::new(),
    }
}

fn start() -> Decision {
    Decision::Start(name("p"))
}

/// User A with both replicas of a group lagging: an eighth of the load on the primary alone.
fn user_a(bursts: &[Burst], order: Order, change: impl Fn(Load<'_>) -> Load<'_>) -> Report {
    let classes = [
        Class::new("desk", (0, 200), 145.0 / 8.0, 8.0, 0.25, 2_000),
        Class::new("cue", (1, 400), 679.0 / 8.0, 24.0, 0.12, 2_000),
        Class::new("curator", (2, 1_200), 252.0 / 8.0, 40.0, 0.10, 6_000),
    ];
    let load = Load { classes: &classes, bursts, idle: 0, loss_ms: None, accounts: 82, seed: 7 };
    run(&change(load), order)
}

/// User B with both replicas of a group lagging.
fn user_b(bursts: &[Burst], order: Order) -> Report {
    let classes = [
        Class::new("seat", (1, 200), 257.0 / 8.0, 6.8, 0.25, 1_000),
        Class::new("fare", (2, 400), 1_200.0 / 8.0, 20.0, 0.12, 1_000),
        Class::new("route", (2, 600), 257.0 / 8.0, 34.0, 0.10, 4_000),
    ];
    let load = Load { classes: &classes, bursts, idle: 0, loss_ms: None, accounts: 0, seed: 11 };
    run(&load, order)
}

fn show(title: &str, run: impl Fn(Order) -> Report) -> Report {
    let report = run(Order::Objective);
    println!("{title}\n by priority:\n{}\n by objective:\n{report}", run(Order::Priority));
    report
}

/// Guards against urgent statements that are late because one start in eight goes to the longest waiter, or because the
/// window is filled by curators.
#[test]
fn desks_lose_nothing_in_a_burst_of_curators() {
    let bursts = [Burst::class(2, 2.4, 4_000, 6_000)];
    let report = show("user A, curators x 2.4", |order| user_a(&bursts, order, |load| load));
    assert!(report.in_time(0) >= 0.999, "{report}");
    assert!(report.in_time(1) >= 0.99, "{report}");
    assert!(report.longest_gap(2) < Duration::from_secs(1), "curators starve: {report}");
}

/// Guards against a collapse when urgent and tolerant statements burst together.
#[test]
fn overlapping_bursts_leave_urgent_statements_in_time() {
    let bursts = [Burst::class(2, 2.4, 4_000, 6_000), Burst::class(0, 1.8, 5_000, 4_000)];
    let report =
        show("user A, curators x 2.4 and desks x 1.8", |order| user_a(&bursts, order, |load| load));
    assert!(report.in_time(0) >= 0.999, "{report}");
    assert!(report.in_time(1) >= 0.99, "{report}");
    assert!(report.longest_gap(2) < Duration::from_secs(1), "curators starve: {report}");
}

/// Guards against one account that takes the share of the others.
#[test]
fn an_account_at_eight_times_its_rate_leaves_the_others_their_share() {
    let bursts = [Burst::account(1, 8.0, 4_000, 7_000)];
    let report =
        show("user A, the second largest account x 8", |order| user_a(&bursts, order, |load| load));
    assert!(report.in_time(0) >= 0.999, "{report}");
    assert!(report.jain(1) >= 0.95, "accounts are served unevenly: {report}");
    for class in 0..2 {
        let others = report.in_time_of_others(class, 1);
        assert!(others >= 0.95, "others lose to one account: {others} {report}");
    }
}

/// Guards against idle transactions that take the connections of urgent statements: 130 over 8 groups.
#[test]
fn idle_transactions_leave_urgent_statements_in_time() {
    let run = |order| user_a(&[], order, |load| Load { idle: 17, ..load });
    let report = show("user A, 17 transactions that are idle for 6 s", run);
    assert!(report.in_time(0) >= 0.999, "{report}");
    assert!(report.in_time(1) >= 0.99, "{report}");
}

/// Guards against urgent statements that are late when the rest of the proxies gets the load and connections of those
/// lost in a burst.
#[test]
fn urgent_statements_stay_in_time_when_half_of_the_proxies_are_lost() {
    let bursts = [Burst::class(2, 2.4, 4_000, 6_000)];
    let run = |order| user_a(&bursts, order, |load| Load { loss_ms: Some(6_000), ..load });
    let report = show("user A, curators x 2.4, half of the proxies lost at 6 s", run);
    assert!(report.in_time(0) >= 0.999, "{report}");
    assert!(report.in_time(1) >= 0.99, "{report}");
}

/// Guards against long statements that hold up short ones of equal priority, and against starving them.
#[test]
fn a_primary_alone_serves_short_objectives_first() {
    let bursts = [Burst::all(1.4, 4_000, 8_000)];
    let report = show("user B, six slots' worth for five", |order| user_b(&bursts, order));
    assert!(report.in_time(0) >= 0.999, "{report}");
    assert!(report.in_time(1) >= 0.95, "{report}");
    assert!(report.longest_gap(2) < Duration::from_secs(1), "routes starve: {report}");
}

/// Guards against idle transactions that hold all connections of a proxy, so that no urgent statement gets one.
#[test]
fn a_connection_is_kept_for_urgent_statements() {
    let mut dispatcher = group(3);
    let now = at(1_000);
    for ticket in 0..2 {
        assert_eq!(dispatcher.submit(now, request(ticket, level(2, 1_200), 5_000)), start());
        dispatcher.suspend_ticket(now, Ticket(ticket), &name("p"), Some(Duration::from_millis(10)));
    }
    assert_eq!(dispatcher.submit(now, request(2, level(2, 1_200), 5_000)), Decision::Wait);
    assert_eq!(dispatcher.submit(now, request(3, level(0, 200), 120)), start());
}

/// Guards against an urgent statement that waits behind a window of one that a slow statement fills.
#[test]
fn an_urgent_statement_exceeds_the_window_by_one() {
    let mut dispatcher = group(5);
    for ticket in 0..60 {
        dispatcher.submit(at(1_000), request(ticket, level(2, 1_200), 5_000));
        let slow = Some(Duration::from_millis(300));
        dispatcher.release_ticket(at(1_000), Ticket(ticket), &name("p"), slow);
    }
    let now = at(2_000);
    assert_eq!(dispatcher.submit(now, request(100, level(2, 1_200), 5_000)), start());
    assert_eq!(dispatcher.submit(now, request(101, level(1, 400), 5_000)), Decision::Wait);
    assert_eq!(dispatcher.submit(now, request(102, level(0, 200), 120)), start());
    assert_eq!(dispatcher.submit(now, request(103, level(0, 200), 120)), Decision::Wait);
}

/// Guards against a change of declarations or of the serving proxies that refuses what was accepted.
#[test]
fn accepted_statements_stay_accepted_when_the_order_changes() {
    let mut dispatcher = group(1);
    let now = at(1_000);
    assert_eq!(dispatcher.submit(now, request(0, level(2, 1_200), 700)), start());
    for ticket in 1..6 {
        let decision = dispatcher.submit(now, request(ticket, level(2, 1_200), 700));
        assert_eq!(decision, Decision::Wait);
    }
    dispatcher.set_classes(now, Some(&[(level(0, 100), Terms::default())]));
    assert_eq!(dispatcher.load().waiting, 5);
    dispatcher.set_classes(now, None);
    assert_eq!(dispatcher.load().waiting, 5);
    dispatcher.release_ticket(now, Ticket(0), &name("p"), Some(Duration::from_millis(10)));
    assert_eq!(dispatcher.advance(now).len(), 1);
}

/// Guards against a class that holds more connections than declared.
#[test]
fn a_class_holds_no_more_connections_than_declared() {
    let mut dispatcher = group(4);
    let half = Terms { most: 0.5, ..Terms::default() };
    dispatcher.set_classes(at(0), Some(&[(level(2, 1_200), half)]));
    for ticket in 0..2 {
        assert_eq!(dispatcher.submit(at(1), request(ticket, level(2, 1_200), 5_000)), start());
    }
    assert_eq!(dispatcher.submit(at(1), request(2, level(2, 1_200), 5_000)), Decision::Wait);
    assert_eq!(dispatcher.submit(at(1), request(3, level(1, 400), 5_000)), start());
}

/// Guards against memory that grows with the number of statements or accounts that were ever seen.
#[test]
fn memory_is_bounded() {
    let mut dispatcher = group(1);
    let hour = 3_600_000;
    let level = level(0, 200);
    assert_eq!(dispatcher.submit(at(0), request(0, level, hour)), start());
    for ticket in 1..=MAX_WAITING as u64 {
        assert_eq!(dispatcher.submit(at(0), request(ticket, level, hour)), Decision::Wait);
    }
    let more = dispatcher.submit(at(0), request(9_999, level, hour));
    assert!(matches!(more, Decision::Refuse(after) if after <= MAX_RETURN), "{more:?}");
    let mut queue: Queue<()> = Queue::default();
    for ticket in 0..20_000 {
        let account = Some(name(&format!("a{ticket}")));
        queue.start(at(ticket), (level, ticket), account, name("p"));
        queue.finish(at(ticket), ticket, Some(Duration::from_millis(1)));
    }
    assert!(queue.accounts() <= 2_002, "{} accounts are remembered", queue.accounts());
}

/// Guards against refused callers that return together, and against return times without a bound.
#[test]
fn refused_callers_return_at_the_rate_of_the_drain() {
    let mut returns = Returns::default();
    let after = |returns: &mut Returns| returns.refuse(at(0), Duration::ZERO, 20.0, 0.5);
    let times: Vec<Duration> = (0..60).map(|_| after(&mut returns)).collect();
    assert!(times[..30].windows(2).all(|pair| pair[1] - pair[0] >= Duration::from_millis(49)));
    assert!(times.iter().all(|time| *time <= MAX_RETURN), "{times:?}");
    let later = returns.refuse(at(3_000), Duration::ZERO, 20.0, 0.5);
    assert_eq!(later, times[0], "those that returned no longer count");
}

fn entry(ticket: u64, account: u8, deadline_ms: u64) -> Entry<()> {
    let account = Some(name(&format!("a{account}")));
    Entry { ticket, lane: Lane::Primary, account, deadline: at(deadline_ms), item: () }
}

/// Returns the ticket that starts next, after starting it for a statement that takes `ms`.
fn serve(queue: &mut Queue<()>, now: Instant, ms: u64) -> Option<(Level, u64)> {
    let mut account = None;
    let (level, ticket, ()) = queue.next(
        now,
        |_| (true, true),
        |_, entry| {
            account = entry.account.clone();
            Some(())
        },
    )?;
    queue.start(now, (level, ticket), account, name("p"));
    queue.finish(now, ticket, Some(Duration::from_millis(ms)));
    Some((level, ticket))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a lower class, or a later deadline of the same account, that goes first without a guarantee.
    #[test]
    fn statements_start_by_class_and_deadline(
        arrivals in prop::collection::vec((0..3_u8, 0..4_u8, 10..500_u64), 1..80),
    ) {
        let mut queue = Queue::default();
        let none = Terms { guaranteed: 0.0, most: 1.0 };
        let classes = [level(0, 200), level(1, 400), level(1, 600)];
        queue.declare(&classes.map(|level| (level, none)));
        for (ticket, (class, account, deadline)) in arrivals.iter().enumerate() {
            queue.push(at(0), classes[usize::from(*class)], entry(ticket as u64, *account, *deadline));
        }
        let mut served = Vec::new();
        while let Some((level, ticket)) = serve(&mut queue, at(0), 10) {
            let (_, account, deadline) = arrivals[ticket as usize];
            served.push((level, account, deadline));
        }
        prop_assert_eq!(served.len(), arrivals.len());
        prop_assert!(served.windows(2).all(|pair| pair[0].0 <= pair[1].0), "{:?}", served);
        for (at, (level, account, deadline)) in served.iter().enumerate() {
            let earlier = served[..at].iter().filter(|s| s.0 == *level && s.1 == *account);
            prop_assert!(earlier.clone().all(|s| s.2 <= *deadline), "{:?}", served);
        }
    }

    /// Guards against an account with many or long statements that takes more than its share of time, and against a
    /// class that gets less than its guaranteed part or waits longer than its mean time / guaranteed part.
    #[test]
    fn accounts_and_classes_get_their_shares(
        times in prop::collection::vec(1..40_u64, 4),
        guaranteed in 5..30_u64,
    ) {
        let mut queue = Queue::default();
        let share = guaranteed as f64 / 100.0;
        let (high, low) = (level(0, 200), level(2, 1_200));
        let terms = |guaranteed| Terms { guaranteed, most: 1.0 };
        queue.declare(&[(high, terms(0.0)), (low, terms(share))]);
        for ticket in 0..4_000_u64 {
            queue.push(at(0), high, entry(ticket, (ticket % 4) as u8, 1_000_000 + ticket));
            queue.push(at(0), low, entry(10_000 + ticket, 9, 1_000_000 + ticket));
        }
        let (mut of_accounts, mut of_low, mut total) = ([0_u64; 4], 0, 0);
        // Until the first account has no more statements.
        while of_accounts.iter().zip(&times).all(|(of, ms)| of / ms < 999) {
            let next = queue.next(at(0), |_| (true, true), |_, _| Some(()));
            let (level, ticket, ()) = next.expect("statements wait");
            let account = (ticket % 4) as usize;
            let ms = if level == low { 10 } else { times[account] };
            serve(&mut queue, at(0), ms);
            total += ms;
            if level == low { of_low += ms } else { of_accounts[account] += ms }
        }
        let part = of_low as f64 / total as f64;
        prop_assert!((part - share).abs() < 0.02, "{part} of {share}");
        let (least, most) = (of_accounts.iter().min(), of_accounts.iter().max());
        let spread = most.zip(least).map_or(0, |(most, least)| most - least);
        prop_assert!(spread <= 2 * times.iter().max().unwrap_or(&0) + 80, "{:?}", of_accounts);
    }
}
