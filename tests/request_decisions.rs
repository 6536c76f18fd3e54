//! Tests the decisions of the request path as pure state machines and functions.

use std::collections::BTreeMap;
use std::time::Duration;

use cactushatch::clock::Instant;
use cactushatch::id;
use cactushatch::proxy::admission::{Arrival, Input, Limiter, MAX_WAITING, Output, Ticket};
use cactushatch::proxy::cancel::{Decision, Registry, Target, Token};
use cactushatch::proxy::classify::{self, Kind, KindCache, Local, Tags};
use cactushatch::proxy::floor::Mark;
use cactushatch::proxy::outcome::{Outcome, Reason};
use cactushatch::proxy::peak;
use cactushatch::proxy::position_history::PositionHistory;
use cactushatch::proxy::retry::Budget;
use cactushatch::proxy::route::{self, Candidate, Choice, Need};
use cactushatch::proxy::session::Directory;
use cactushatch::upstream::status::Status;
use cactushatch::wire::{Epoch, Health, Phase, Replica, Role};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: u64 = 1_000;

fn at(ms: u64) -> Instant {
    Instant(ms * MS)
}

fn mark(term: u64, position: u64) -> Mark {
    Mark { term: id::Term(term), position: id::Position(position) }
}

fn arrival(priority: u8, deadline: Instant, customer: &str, caller: u64) -> Arrival {
    Arrival { priority, deadline, account: customer.parse().unwrap(), caller }
}

/// Returns a limiter with two slots that has measured a service time of one millisecond.
fn warmed_up_limiter() -> Limiter {
    let mut limiter = Limiter::new();
    limiter.step(at(0), Input::SetLimits { slots: 2, connections: 2 });
    for number in 0..50 {
        let ticket = Ticket(1_000_000 + number);
        limiter.step(at(0), Input::Arrive(ticket, arrival(0, at(1_000), "warm", 0)));
        limiter.step(at(0), Input::Finish(Some(Duration::from_millis(1))));
    }
    limiter
}

fn started(outputs: &[Output]) -> Vec<u64> {
    let start = |output: &Output| match output {
        Output::Start(ticket) => Some(ticket.0),
        Output::Refuse(..) => None,
    };
    outputs.iter().filter_map(start).collect()
}

#[derive(Debug, Clone)]
enum Event {
    Arrive { priority: u8, deadline_ms: u64, customer: u8 },
    Finish { micros: u64 },
    Hold,
    Release,
    Cancel,
    SetLimits { slots: u32, connections: u32 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..3_u8, 1..500_u64, 0..3_u8).prop_map(|(priority, deadline_ms, customer)| {
            Event::Arrive { priority, deadline_ms, customer }
        }),
        4 => (100..20_000_u64).prop_map(|micros| Event::Finish { micros }),
        1 => Just(Event::Hold),
        1 => Just(Event::Release),
        1 => Just(Event::Cancel),
        1 => (1..4_u32, 1..8_u32).prop_map(|(slots, connections)| {
            Event::SetLimits { slots, connections }
        }),
    ]
}

/// Uses a fixed seed, so that each run generates the same cases.
fn cases() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases())]

    /// The limits are never exceeded, each request gets one answer, and no request waits while there is room.
    #[test]
    fn a_limiter_keeps_its_limits_and_answers_each_request_once(events in prop::collection::vec(event(), 1..300)) {
        let mut limiter = Limiter::new();
        let mut connections = 1;
        let mut waiting: Vec<Ticket> = Vec::new();
        let (mut running, mut held) = (0_u32, 0_u32);
        for (step, event) in events.into_iter().enumerate() {
            let now = at(step as u64);
            let input = match event {
                Event::Arrive { priority, deadline_ms, customer } => {
                    let ticket = Ticket(step as u64);
                    waiting.push(ticket);
                    let deadline = now + Duration::from_millis(deadline_ms);
                    let customer = format!("c{customer}");
                    Input::Arrive(ticket, arrival(priority, deadline, &customer, step as u64))
                }
                Event::Finish { micros } if running > 0 => {
                    running -= 1;
                    Input::Finish(Some(Duration::from_micros(micros)))
                }
                Event::Hold if running > 0 => {
                    running -= 1;
                    held += 1;
                    Input::Hold
                }
                Event::Release if held > 0 => {
                    held -= 1;
                    Input::Release
                }
                Event::Cancel if !waiting.is_empty() => Input::Cancel(waiting.remove(0)),
                Event::SetLimits { slots, connections: limit } => {
                    connections = limit;
                    Input::SetLimits { slots, connections }
                }
                _ => continue,
            };
            let before = running + held;
            let outputs = limiter.step(now, input);
            for output in &outputs {
                let (Output::Start(ticket) | Output::Refuse(ticket, _)) = output;
                let index = waiting.iter().position(|known| known == ticket);
                prop_assert!(index.is_some(), "{ticket:?} was answered twice");
                waiting.remove(index.unwrap());
            }
            running += started(&outputs).len() as u32;
            prop_assert_eq!(limiter.connections_in_use(), running + held);
            prop_assert!(running + held <= connections.max(before));
            prop_assert!(started(&outputs).is_empty() || running <= limiter.window());
            let room = running < limiter.window() && running + held < connections;
            prop_assert!(!room || waiting.is_empty(), "{} requests wait while there is room", waiting.len());
        }
    }

    /// The mark for an age is never below the position that the primary had at that age.
    #[test]
    fn a_position_history_never_understates_the_age_of_data(
        steps in prop::collection::vec((1..200_u64, 0..5_u64), 1..400),
        age in 1..5_000_u64,
    ) {
        let mut positions = PositionHistory::default();
        let mut history = vec![(at(0), 0)];
        let (mut now, mut position) = (at(0), 0);
        for (wait, written) in steps {
            now = now + Duration::from_millis(wait);
            position += written;
            history.push((now, position));
            positions.record(now, mark(1, position));
        }
        let age = Duration::from_millis(age);
        if let Some(proof) = positions.mark_for_age(now, age) {
            let required = history.iter().rev().find(|(at, _)| now.since(*at) >= age);
            prop_assert!(proof.position.0 >= required.map_or(0, |(_, position)| *position));
        }
    }

    /// A read never goes to a replica that is behind the floor, on another term, silent or draining.
    #[test]
    fn a_read_goes_only_to_a_replica_that_has_reached_the_floor(
        replicas in prop::collection::vec((1..4_u64, 0..20_u64, any::<bool>(), any::<bool>(), 0..5_u32), 0..5),
        floor in (1..4_u64, 0..20_u64),
    ) {
        let epoch = epoch(3, &[(1, 0), (2, 5), (3, 10)]);
        let candidates: Vec<Candidate> = replicas
            .iter()
            .enumerate()
            .map(|(number, (term, position, silent, draining, busy))| Candidate {
                health: if *silent { Health::Silent } else { Health::Fine },
                draining: *draining,
                ..candidate(&format!("r{number}"), "b", *term, *position, *busy)
            })
            .chain([candidate("primary", "a", 3, 30, 0)])
            .collect();
        let need = Need { mark: mark(floor.0, floor.1), ..Need::default() };
        let domain = "a".parse().unwrap();
        let choice = route::choose(at(0), &candidates, &epoch, &need, &PositionHistory::default(), &domain);
        let lost = (floor.0 == 1 && floor.1 > 5) || (floor.0 == 2 && floor.1 > 10);
        match choice {
            Choice::Lost => prop_assert!(lost),
            Choice::Instance(instance) if instance.as_str() != "primary" => {
                let number: usize = instance.as_str()[1..].parse().unwrap();
                let (term, position, silent, draining, busy) = replicas[number];
                prop_assert!(term == 3 && position >= floor.1 && !silent && !draining);
                for (other, (term, position, silent, draining, other_busy)) in replicas.iter().enumerate() {
                    let usable = *term == 3 && *position >= floor.1 && !silent && !draining;
                    prop_assert!(!usable || *other_busy >= busy, "r{other} is less busy");
                }
            }
            other => prop_assert_eq!(other, Choice::Instance("primary".parse().unwrap())),
        }
    }

    /// The retry time of a refusal is spread between the wait and twice the wait, so that callers don't retry at once.
    #[test]
    fn a_refusal_spreads_the_retry_time(wait in 0..5_000_u64) {
        let outcome = Outcome::refused(Reason::Busy, Duration::from_millis(wait));
        let Outcome::NotRun { retry, .. } = outcome else { panic!("the outcome is not NotRun") };
        let min_retry = Duration::from_millis(wait.max(100));
        prop_assert!(retry >= min_retry && retry <= min_retry * 2);
    }
}

fn epoch(term: u64, forks: &[(u64, u64)]) -> Epoch {
    let fork = |(term, start): &(u64, u64)| (id::Term(*term), id::Position(*start));
    Epoch {
        group: "ops-1".parse().unwrap(),
        term: id::Term(term),
        primary: "primary".parse().unwrap(),
        phase: Phase::Active,
        forks: forks.iter().map(fork).collect(),
    }
}

fn candidate(name: &str, domain: &str, term: u64, position: u64, busy: u32) -> Candidate {
    let status = Status {
        role: Role::Replica,
        term: id::Term(term),
        position: id::Position(position),
        received: id::Position(position),
        durable: id::Position(0),
        start: id::Position(0),
        paused: None,
    };
    let replica = Replica {
        group: "ops-1".parse().unwrap(),
        instance: name.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.parse().unwrap(),
    };
    let status = Some((at(0), status));
    Candidate { replica, status, health: Health::Fine, draining: false, busy }
}

#[test]
fn a_read_waits_only_for_a_replica_that_will_soon_reach_the_floor() {
    let epoch = epoch(1, &[(1, 0)]);
    let candidates = [candidate("primary", "a", 1, 9, 0), candidate("r1", "a", 1, 8, 0)];
    let mut positions = PositionHistory::default();
    positions.record(at(100), mark(1, 9));
    let read = |now, waited| {
        let need = Need { mark: mark(1, 9), waited, ..Need::default() };
        route::choose(now, &candidates, &epoch, &need, &positions, &"a".parse().unwrap())
    };
    let primary = Choice::Instance("primary".parse().unwrap());
    assert_eq!(read(at(105), Duration::ZERO), Choice::Wait);
    assert_eq!(read(at(105), route::REPLICA_WAIT), primary, "the wait is bounded");
    assert_eq!(
        read(at(2_100), Duration::ZERO),
        primary,
        "a read must not wait for a replica that is two seconds behind"
    );
}

#[test]
fn a_read_is_pinned_to_the_last_instance_until_the_position_it_saw_is_known() {
    let epoch = epoch(1, &[(1, 0)]);
    let candidates = [
        candidate("primary", "a", 1, 9, 0),
        candidate("r1", "a", 1, 9, 0),
        candidate("r2", "b", 1, 9, 5),
    ];
    let read = |last: &str, waited| {
        let pinned = Some(last.parse().unwrap());
        let need = Need { mark: mark(1, 9), waited, pinned, ..Need::default() };
        let domain = "a".parse().unwrap();
        route::choose(at(0), &candidates, &epoch, &need, &PositionHistory::default(), &domain)
    };
    assert_eq!(read("r2", Duration::ZERO), Choice::Instance("r2".parse().unwrap()));
    assert_eq!(read("gone", Duration::ZERO), Choice::Wait);
    assert_eq!(read("gone", route::REPLICA_WAIT), Choice::Instance("primary".parse().unwrap()));
    assert_eq!(
        read("primary", Duration::ZERO),
        Choice::Wait,
        "the read waits, since the status of the primary is requested at once"
    );
}

#[test]
fn a_limiter_starts_higher_classes_first_without_starving_lower_ones() {
    let mut limiter = warmed_up_limiter();
    let far = at(10_000);
    let low: Vec<u64> = (0..100).collect();
    let high: Vec<u64> = (100..200).collect();
    let mut order = Vec::new();
    for ticket in &low {
        let input = Input::Arrive(Ticket(*ticket), arrival(2, at(9_000), "a", *ticket));
        order.extend(started(&limiter.step(at(0), input)));
    }
    for ticket in &high {
        let input = Input::Arrive(Ticket(*ticket), arrival(0, far, "a", *ticket));
        order.extend(started(&limiter.step(at(0), input)));
    }
    for _ in 0..200 {
        order.extend(started(&limiter.step(at(1), Input::Finish(Some(Duration::from_millis(1))))));
    }
    let first: Vec<u64> = order[2..102].to_vec();
    let low_first = first.iter().filter(|ticket| low.contains(ticket)).count();
    assert!(low_first > 0, "the lower class was starved");
    assert!(low_first <= 100 / 8 + 1, "the lower class got {low_first} of the first 100 starts");
    assert_eq!(order.len(), 200);
}

#[test]
fn a_limiter_shares_fairly_between_customers_and_callers() {
    let mut limiter = warmed_up_limiter();
    let mut order = Vec::new();
    let mut customers = BTreeMap::new();
    let mut ticket = 0;
    for (customer, count) in [("many", 300), ("few", 30)] {
        for _ in 0..count {
            customers.insert(ticket, customer);
            let input = Input::Arrive(Ticket(ticket), arrival(0, at(10_000), customer, 1));
            order.extend(started(&limiter.step(at(0), input)));
            ticket += 1;
        }
    }
    for _ in 0..66 {
        order.extend(started(&limiter.step(at(1), Input::Finish(Some(Duration::from_millis(1))))));
    }
    let few = order.iter().filter(|ticket| customers[ticket] == "few").count();
    assert!(few >= 25, "the small customer got {few} of 68 starts");
}

#[test]
fn a_limiter_refuses_a_request_on_arrival_that_cannot_meet_its_deadline() {
    let mut limiter = warmed_up_limiter();
    let mut refused = None;
    for ticket in 0..100 {
        let input = Input::Arrive(Ticket(ticket), arrival(0, at(10), "a", ticket));
        if let [Output::Refuse(_, wait)] = limiter.step(at(0), input)[..] {
            refused = refused.or(Some((ticket, wait)));
        }
    }
    let (first, wait) =
        refused.expect("requests were queued for 50 ms despite a deadline of 10 ms");
    assert!((16..=26).contains(&first), "the first refusal was for request {first}");
    assert!(wait >= Duration::from_millis(8), "the refusal has a wait of only {wait:?}");
}

#[test]
fn a_limiter_keeps_a_standing_queue_short() {
    let mut limiter = warmed_up_limiter();
    let mut arrived = BTreeMap::new();
    let (mut longest, mut starts, mut refused) = (0, 0, 0);
    // For one second, ten requests arrive for each one that can be served.
    for now in 0..1_000 {
        let mut outputs = limiter.step(at(now), Input::Finish(Some(Duration::from_millis(2))));
        for number in 0..10 {
            let ticket = now * 10 + number;
            arrived.insert(Ticket(ticket), now);
            let input = Input::Arrive(Ticket(ticket), arrival(0, at(now + 5_000), "a", ticket));
            outputs.extend(limiter.step(at(now), input));
        }
        for output in outputs {
            match output {
                Output::Start(ticket) => {
                    starts += 1;
                    longest = longest.max(if now > 100 { now - arrived[&ticket] } else { 0 });
                }
                Output::Refuse(..) => refused += 1,
            }
        }
    }
    assert!(longest <= 20, "a request waited {longest} ms in a standing queue");
    assert!(starts >= 950, "only {starts} of 1,000 were served");
    assert!(refused >= 8_900, "only {refused} of 9,000 were refused at once");
}

#[test]
fn a_full_limiter_refuses_the_lowest_class_first() {
    let mut limiter = warmed_up_limiter();
    for ticket in 0..MAX_WAITING as u64 + 2 {
        limiter.step(at(0), Input::Arrive(Ticket(ticket), arrival(2, at(100_000), "a", ticket)));
    }
    let urgent = Ticket(1_000_000_000);
    let outputs = limiter.step(at(0), Input::Arrive(urgent, arrival(0, at(100_000), "a", 1)));
    assert!(matches!(outputs[..], [Output::Refuse(ticket, _)] if ticket != urgent), "{outputs:?}");
}

#[test]
fn the_window_shrinks_when_the_instance_queues_and_grows_back() {
    let mut limiter = Limiter::new();
    limiter.step(at(0), Input::SetLimits { slots: 4, connections: 16 });
    let mut now = 0;
    let mut run = |limiter: &mut Limiter, millis, count| {
        for _ in 0..count {
            now += millis;
            let arrival = arrival(0, at(now + 10_000), "a", 0);
            limiter.step(at(now), Input::Arrive(Ticket(now), arrival));
            limiter.step(at(now), Input::Finish(Some(Duration::from_millis(millis))));
        }
        limiter.window()
    };
    assert_eq!(run(&mut limiter, 1, 100), 5);
    assert!(run(&mut limiter, 20, 100) <= 2);
    assert_eq!(run(&mut limiter, 1, 400), 5);
}

#[test]
fn a_cancel_request_reaches_only_the_statement_of_its_token() {
    let proxy = |name: &str| std::sync::Arc::new(Registry::new(&name.parse().unwrap()));
    let (first, other) = (proxy("proxy-1"), proxy("proxy-2"));
    let (one, two) = (first.register().unwrap(), first.register().unwrap());
    let target = Target { address: "127.0.0.1:1".parse().unwrap(), key: (7, 8) };
    assert_eq!(first.cancel(one.token()), Decision::Ignore, "no statement runs yet");
    one.start(target);
    let wrong = Token { secret: one.token().secret ^ 1, ..one.token() };
    assert_eq!(first.cancel(wrong), Decision::Ignore);
    assert_eq!(first.cancel(two.token()), Decision::Ignore);
    assert_eq!(other.cancel(one.token()), Decision::Foreign);
    assert!(!one.finish(), "the statement was not cancelled");
    one.start(target);
    assert_eq!(first.cancel(one.token()), Decision::Forward(target));
    assert!(
        one.finish(),
        "the cancel request may still arrive, so the connection must not be reused"
    );
    assert_eq!(first.cancel(one.token()), Decision::Ignore, "the statement has ended");
    let dropped = one.token();
    drop(one);
    assert_eq!(first.cancel(dropped), Decision::Ignore);
}

#[test]
fn statements_are_classified_by_their_effect_on_a_pooled_connection() {
    let kinds = [
        ("SELECT count(*) FROM t", Kind::Read),
        ("SELECT nextval('s')", Kind::Write),
        ("WITH d AS (DELETE FROM t RETURNING id) SELECT * FROM d", Kind::Write),
        ("SELECT 1 FOR UPDATE", Kind::Write),
        ("not sql at all", Kind::Write),
        ("SET LOCAL work_mem = '1GB'", Kind::Write),
        ("SET TRANSACTION READ ONLY", Kind::Write),
        ("SET application_name = 'x' /*request='push'*/", Kind::Local(Local::Set)),
        ("set client_encoding to 'UTF8'", Kind::Local(Local::Set)),
        ("SET TIME ZONE 'UTC'", Kind::Local(Local::Set)),
        ("RESET ALL", Kind::Local(Local::Reset)),
        ("DISCARD ALL", Kind::Local(Local::DiscardAll)),
        ("DEALLOCATE ALL", Kind::Local(Local::DeallocateAll)),
    ];
    for (sql, kind) in kinds {
        assert_eq!(classify::kind(sql), kind, "{sql}");
    }
    for sql in [
        "SET work_mem = '1GB'",
        "SET search_path = secret",
        "SET SESSION AUTHORIZATION other",
        "SET ROLE other",
        "SELECT pg_advisory_lock(1)",
        "SELECT pg_try_advisory_lock_shared(1)",
        "PREPARE p AS SELECT 1",
        "BEGIN; INSERT INTO t VALUES (1)",
        "COPY t TO STDOUT",
    ] {
        assert!(
            matches!(classify::kind(sql), Kind::Refused(_)),
            "{sql}: {:?}",
            classify::kind(sql)
        );
    }
}

#[test]
fn tags_contain_the_request_the_key_and_the_floor() {
    let sql = "SELECT 1 /*request='menu',key='k-1',floor='ops-1@2.7,ops-2@1.3'*/;";
    let tags = classify::tags(sql);
    assert_eq!(tags.request.unwrap().as_str(), "menu");
    assert_eq!(tags.key.unwrap().as_str(), "k-1");
    let floor = tags.floor.unwrap();
    assert_eq!(floor.get(&"ops-1".parse().unwrap()), Some(mark(2, 7)));
    assert_eq!(floor.get(&"ops-2".parse().unwrap()), Some(mark(1, 3)));
    assert_eq!(classify::strip_comment(sql), "SELECT 1");
    assert_eq!(classify::tags("SELECT '/*request=''x''*/'").request, None);
}

/// Guards against content that ends a statement or begins its trailing comment: the rest was not classified, or was cut
/// off from what a prepared statement runs.
#[test]
fn content_of_strings_and_comments_is_not_taken_for_the_trailing_comment() {
    for sql in [
        "SELECT 1 -- /*\n; DELETE FROM t -- */",
        "SELECT 1 -- /*\r; DELETE FROM t -- */",
        "SELECT '/*'; DELETE FROM t -- */",
        "SELECT $tag$/*$tag$; DELETE FROM t -- */",
    ] {
        assert_eq!(classify::kind(sql), Kind::Write, "{sql}");
        assert_eq!(KindCache::default().kind(sql), Kind::Write, "{sql}");
    }
    for sql in [
        "SELECT '/*' -- */",
        "SELECT \"/*\" FROM t -- */",
        "SELECT $$/*$$ -- */",
        "SELECT 1 -- /*key='k'*/",
        "SELECT E'\\'/*key=''k''*/'",
        "SELECT 1 AS x\u{a0}",
    ] {
        assert_eq!(classify::strip_comment(sql), sql);
        assert_eq!(classify::tags(sql), Tags::default(), "{sql}");
    }
    assert_eq!(classify::strip_comment("SELECT 1 /* a /* b */ c */ ;"), "SELECT 1");
    assert_eq!(classify::strip_comment("SELECT '/*' /* x */ /*key='k'*/"), "SELECT '/*' /* x */");
}

/// Guards against a tag that the content of another tag's value adds, such as another key.
#[test]
fn content_of_a_tag_is_not_taken_for_another_tag() {
    let key = |sql: &str| classify::tags(sql).key.map(|key| key.as_str().to_owned());
    assert_eq!(key("SELECT 1 /*note='a\\',key=forged',key='k-1'*/").as_deref(), Some("k-1"));
    assert_eq!(key("SELECT 1 /*key='k-1',note='a\\',key=\\'forged\\''*/").as_deref(), Some("k-1"));
    assert_eq!(key("SELECT 1 /*note='a',note2='b=c,d',key='k-1'*/").as_deref(), Some("k-1"));
    assert_eq!(key("SELECT 1 /*key='a%3Ab', request='menu'*/").as_deref(), Some("a:b"));
    assert_eq!(key("SELECT 1 /*key='k-1',note='a\\',key=forged'*/").as_deref(), Some("k-1"));
    assert_eq!(key("SELECT 1 /*key='k-1',key='k-2'*/"), None);
    assert_eq!(key("SELECT 1 /*key='k-1' and more*/"), None);
}

/// Guards against a query of several statements that was classified by its first word because the parser doesn't know
/// one of them: settings stayed on the pooled connection, and a transaction ended without the proxy's knowledge.
#[test]
fn each_statement_of_a_query_is_classified_if_the_parser_does_not_know_one() {
    let unknown = "REINDEX (VERBOSE) TABLE t";
    assert_eq!(classify::kind(unknown), Kind::Write);
    for rest in [
        "SET search_path = secret",
        "/* x */ SET ROLE other",
        "-- x\nSET ROLE other",
        "COMMIT",
        "COMMIT; DELETE FROM t",
        "ABORT",
        "LISTEN bell",
        "SELECT pg_advisory_lock(1)",
        "PREPARE TRANSACTION 'x'",
    ] {
        for sql in [format!("{unknown}; {rest}"), format!("{rest}; {unknown}")] {
            assert!(
                matches!(classify::kind(&sql), Kind::Refused(_)),
                "{sql}: {:?}",
                classify::kind(&sql)
            );
        }
    }
    for sql in
        ["REINDEX (VERBOSE) TABLE t; DELETE FROM t", "REINDEX (VERBOSE) TABLE \"; SET ROLE x\""]
    {
        assert_eq!(classify::kind(sql), Kind::Write, "{sql}");
    }
    let body = "CREATE FUNCTION f(a int) RETURNS int BEGIN ATOMIC SELECT CASE a WHEN 1 THEN 2 END; SELECT 2; END";
    let rule = "CREATE RULE r AS ON INSERT TO t DO (DELETE FROM u; NOTIFY bell)";
    for sql in [body, rule] {
        assert_eq!(classify::kind(sql), Kind::Write, "{sql}");
        assert!(matches!(classify::kind(&format!("{sql}; SET ROLE x")), Kind::Refused(_)), "{sql}");
    }
    let named = "CREATE FUNCTION begin() RETURNS weird; SET ROLE x";
    assert!(matches!(classify::kind(named), Kind::Refused(_)));
    assert!(matches!(classify::kind("/* x */ LISTEN bell; -- y"), Kind::Refused(_)));
    assert!(matches!(classify::kind("LISTEN\"bell\" WEIRD"), Kind::Refused(_)));
    assert_eq!(classify::kind("/* x */ ABORT"), Kind::Rollback);
}

#[test]
fn retries_are_limited_to_a_tenth_of_the_load() {
    let budget = Budget::default();
    while budget.try_withdraw() {}
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!(retries <= 1_000, "{retries} retries of 10000 requests");
    assert!(retries >= 900, "{retries} retries of 10000 requests");
}

#[test]
fn only_a_mark_beyond_a_fork_is_lost() {
    let epoch = epoch(3, &[(1, 0), (2, 5), (3, 10)]);
    assert!(mark(1, 6).is_lost(&epoch));
    assert!(!mark(1, 5).is_lost(&epoch));
    assert!(mark(2, 11).is_lost(&epoch));
    assert!(!mark(2, 10).is_lost(&epoch));
    assert!(!mark(3, 99).is_lost(&epoch));
    assert!(!mark(4, 1).is_lost(&epoch), "a newer term than the known epoch is not lost");
    assert_eq!(mark(1, 6).clamp_to_history(&epoch), mark(2, 5));
}

#[test]
fn connections_of_one_session_share_a_floor_but_customers_do_not() {
    let directory = Directory::default();
    let open =
        |customer: &str| directory.open(&customer.parse().unwrap(), &"teacher-1".parse().unwrap());
    let group: id::Group = "ops-1".parse().unwrap();
    let (one, two, other) = (open("north"), open("north"), open("south"));
    one.raise(&group, mark(1, 5));
    assert_eq!(two.get(&group), Some(mark(1, 5)));
    assert_eq!(other.get(&group), None);
}

#[test]
fn warm_up_for_a_daily_peak_is_due_from_a_minute_before_until_its_end() {
    let peak =
        cactushatch::config::Peak { at: "00:00".parse().unwrap(), lasts: "10m".parse().unwrap() };
    let day = 24 * 60 * 60;
    assert!(!peak::is_warm_up_due(10 * day - 61, &peak));
    assert!(peak::is_warm_up_due(10 * day - 60, &peak));
    assert!(peak::is_warm_up_due(10 * day + 600, &peak));
    assert!(!peak::is_warm_up_due(10 * day + 601, &peak));
}
