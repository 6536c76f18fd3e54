//! Tests of the broker's state machines: handling statements, setting up connections, choosing requirements and
//! dispatching to instances.

use std::collections::BTreeMap;
use std::time::Duration;

use cactushatch::broker::dispatch::{
    CONNECTION_RETRY_DELAY, DEFAULT_RETRY_AFTER, Decision, Dispatcher, FULL_DELAY, LAGGING_PERIOD,
    MAX_WAITING, Primary, Request, TYPICAL_LAG, TYPICAL_PROMOTION, Ticket,
};
use cactushatch::broker::health::{COMMIT_TIMEOUT, Health};
use cactushatch::broker::need::{self, Need, PositionSample};
use cactushatch::broker::session::{self, Action, Body, Operation, Session};
use cactushatch::broker::setup::{self, Change, Setup};
use cactushatch::broker::stranded::{
    BALANCER_NOTICE, RENEWAL_TIMEOUT, SESSION_END_SPREAD, Stranded,
};
use cactushatch::clock::Instant;
use cactushatch::config::{Consistency, Span};
use cactushatch::id;
use cactushatch::proxy::floor::Mark;
use cactushatch::statement::{Access, Code, State, Statement, Template, Text};
use cactushatch::wire;
use proptest::prelude::*;
use smallvec::SmallVec;

fn at(ms: u64) -> Instant {
    Instant(1_000_000_000) + Duration::from_millis(ms)
}

fn instance(name: &str) -> id::Instance {
    name.parse().expect("a name")
}

fn mark(term: u64, position: u64) -> Mark {
    Mark { term: id::Term(term), position: id::Position(position) }
}

fn template(access: Access, text: &str) -> Template {
    Template { access, text: text.into() }
}

fn data(access: Access) -> Statement {
    Statement::Data { access, text: "x".into() }
}

fn operation(access: Access) -> Operation {
    Operation { access, body: Body::Text("x".into()) }
}

fn set(name: &str, value: &str) -> Statement {
    Statement::Set { name: name.into(), value: value.into() }
}

#[test]
fn a_transaction_runs_its_statements_and_ends_idle() {
    let mut session = Session::default();
    assert_eq!(session.handle(Statement::Begin { read_only: false }), Action::Complete);
    assert_eq!(session.state(), State::Open);
    let in_transaction =
        Action::InTransaction { operation: operation(Access::Write), read_only: false };
    assert_eq!(session.handle(data(Access::Write)), in_transaction);
    assert_eq!(session.handle(Statement::Commit), Action::Commit { read_only: false });
    assert_eq!(session.state(), State::Idle);
    assert_eq!(session.handle(data(Access::Read)), Action::Single(operation(Access::Read)));
}

#[test]
fn a_failed_transaction_refuses_all_statements_until_it_is_ended() {
    let mut session = Session::default();
    session.handle(Statement::Begin { read_only: false });
    session.fail();
    assert_eq!(session.state(), State::Failed);
    for statement in [data(Access::Read), set("a", "1"), Statement::Begin { read_only: true }] {
        assert!(matches!(session.handle(statement), Action::Refuse(Code::Malformed, _)));
    }
    assert!(matches!(session.handle(Statement::Commit), Action::Refuse(Code::Aborted, _)));
    assert_eq!(session.state(), State::Idle);
}

#[test]
fn a_read_only_transaction_refuses_a_write() {
    let mut session = Session::default();
    session.handle(Statement::Begin { read_only: true });
    assert!(matches!(session.handle(data(Access::Write)), Action::Refuse(Code::ReadOnly, _)));
    assert_eq!(session.state(), State::Failed);
}

#[test]
fn prepared_statement_names_are_local_to_the_session() {
    let mut session = Session::default();
    let execute = || Statement::Execute { name: "s1".into(), arguments: Some("k v".into()) };
    assert!(matches!(session.handle(execute()), Action::Refuse(Code::NoStatement, _)));
    let template = template(Access::Write, "q2c");
    session.handle(Statement::Prepare { name: "s1".into(), template: template.clone() });
    let body = Body::Prepared { template, arguments: "k v".into() };
    let run = Action::Single(Operation { access: Access::Write, body });
    assert_eq!(session.handle(execute()), run);
    assert_eq!(session.handle(Statement::Deallocate { name: "s1".into() }), Action::Complete);
    assert!(matches!(session.handle(execute()), Action::Refuse(Code::NoStatement, _)));
}

#[test]
fn the_number_of_session_variables_is_bounded() {
    let mut session = Session::default();
    for at in 0..session::MAX_VALUES {
        assert_eq!(session.handle(set(&format!("v{at}"), "1")), Action::Complete);
    }
    assert!(matches!(session.handle(set("one-more", "1")), Action::Refuse(Code::Failed, _)));
    assert_eq!(session.handle(set("v0", "2")), Action::Complete);
}

/// Guards against sessions whose memory has no bound but that of 256 values and 1,024 statements of nearly 1 MiB each, and
/// whose values don't fit a frame to another proxy.
#[test]
fn the_size_of_a_session_is_bounded() {
    let mut session = Session::default();
    let large = "v".repeat(session::MAX_VALUES_BYTES / 2);
    assert_eq!(session.handle(set("a", &large)), Action::Complete);
    assert!(matches!(session.handle(set("b", &large)), Action::Refuse(Code::Failed, _)));
    assert_eq!(session.handle(set("a", "small")), Action::Complete);
    assert_eq!(session.handle(set("b", &large)), Action::Complete);
    let large = "t".repeat(session::MAX_PREPARED_BYTES / 8);
    let prepare = |name: usize| Statement::Prepare {
        name: format!("s{name}").into(),
        template: template(Access::Read, &large),
    };
    let accepted = (0..16).take_while(|name| session.handle(prepare(*name)) == Action::Complete);
    assert_eq!(accepted.count(), 7);
    let deallocate = Statement::Deallocate { name: "s0".into() };
    assert_eq!(session.handle(deallocate), Action::Complete);
    assert_eq!(session.handle(prepare(99)), Action::Complete);
}

/// Guards against a connection whose memory is bounded only by 128 statements of nearly 1 MiB each.
#[test]
fn the_size_of_what_is_prepared_on_a_connection_is_bounded() {
    let mut setup = Setup::default();
    let values = BTreeMap::new();
    let template = |number: usize| {
        let text = format!("{number}{}", "t".repeat(setup::MAX_PREPARED_BYTES / 8));
        template(Access::Read, &text)
    };
    let mut resets = Vec::new();
    for number in 0..20 {
        let changes = setup.changes(&values, Some(&template(number)), true);
        setup.record(&changes);
        if changes.contains(&Change::Reset) {
            resets.push(number);
        }
        assert!(setup.prepared_name(&template(number)).is_some());
    }
    assert_eq!(resets, [7, 14]);
}

/// Applies changes to the model of a connection.
fn apply_changes(values: &mut BTreeMap<Text, Text>, names: &mut Vec<String>, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Reset => {
                values.clear();
                names.clear();
            }
            Change::Set { name, value } => {
                values.insert(name.clone(), value.clone());
            }
            Change::Prepare { name, .. } => {
                assert!(!names.contains(name), "{name} is prepared twice");
                names.push(name.clone());
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whichever sessions used a connection before, a statement finds exactly its own session's variables and a
    /// prepared statement that exists on the connection.
    #[test]
    fn a_connection_never_exposes_another_sessions_variables(
        uses in prop::collection::vec(
            (prop::collection::btree_map("[a-c]", "[0-9]", 0..4), prop::option::of(0..200_u32)),
            1..60,
        )
    ) {
        let mut setup = Setup::default();
        let (mut values, mut names) = (BTreeMap::new(), Vec::new());
        for (wanted, prepared) in uses {
            let template = prepared.map(|at| template(Access::Read, &format!("t{at}")));
            let wanted: BTreeMap<Text, Text> =
                wanted.into_iter().map(|(name, value)| (name.into(), value.into())).collect();
            let changes = setup.changes(&wanted, template.as_ref(), true);
            setup.record(&changes);
            apply_changes(&mut values, &mut names, &changes);
            prop_assert_eq!(&values, &wanted);
            prop_assert!(setup.has_values(&wanted));
            if let Some(template) = template {
                let name = setup.prepared_name(&template).expect("the statement is prepared on the connection").to_owned();
                prop_assert!(names.contains(&name));
            }
            prop_assert!(names.len() <= setup::MAX_PREPARED);
        }
    }
}

#[test]
fn a_connection_is_not_reset_inside_a_transaction() {
    let mut setup = Setup::default();
    let some = BTreeMap::from([("a".into(), "1".into())]);
    setup.record(&setup.changes(&some, None, true));
    let changes = setup.changes(&BTreeMap::new(), Some(&template(Access::Read, "t")), false);
    assert!(!changes.contains(&Change::Reset));
}

fn sample(requested_at: u64, term: u64, position: u64) -> PositionSample {
    PositionSample { requested_at: at(requested_at), mark: mark(term, position) }
}

#[test]
fn a_read_of_the_latest_data_always_requires_the_primary() {
    assert_eq!(need::read(Consistency::Latest, Some(sample(0, 1, 5)), None), Need::Primary);
}

#[test]
fn a_bounded_read_without_a_position_sample_requires_the_primary() {
    let reads = Consistency::Bounded(Span(Duration::from_secs(1)));
    assert_eq!(need::read(reads, None, Some(sample(0, 1, 5))), Need::Primary);
}

#[test]
fn a_session_read_requires_its_last_write() {
    let reads = Consistency::Session(Span(Duration::from_secs(1)));
    let (recent, own) = (sample(10, 1, 5), sample(20, 1, 7));
    let at_least =
        |sample: PositionSample| Need::AtLeast { mark: sample.mark, since: sample.requested_at };
    assert_eq!(need::read(reads, Some(recent), Some(own)), at_least(own));
    let bounded = Consistency::Bounded(Span(Duration::from_secs(1)));
    assert_eq!(need::read(bounded, Some(recent), Some(own)), at_least(recent));
    let newer_term = sample(30, 2, 1);
    assert_eq!(need::read(reads, Some(newer_term), Some(own)), at_least(newer_term));
}

/// Returns a group with a primary `p` and two replicas, each with `permits` permits.
fn group(permits: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    for name in ["p", "r1", "r2"] {
        dispatcher.set_instance(&instance(name), permits, true, false);
    }
    dispatcher.set_primary(at(0), Primary::Available(instance("p")));
    dispatcher
}

fn request(ticket: u64, need: Need, priority: u8, max_wait_ms: u64) -> Request {
    let max_wait = Duration::from_millis(max_wait_ms);
    let max_promotion_wait = max_wait;
    let excluded = SmallVec::new();
    Request {
        ticket: Ticket(ticket),
        need,
        priority,
        max_wait,
        max_promotion_wait,
        excluded,
        account: None,
        target: max_wait,
        warm: SmallVec::new(),
    }
}

fn old_mark() -> Need {
    Need::AtLeast { mark: mark(1, 5), since: at(0) }
}

#[test]
fn reads_spread_over_replicas_and_leave_the_primary_for_writes() {
    let mut dispatcher = group(2);
    let now = at(1_000);
    let mut placed = Vec::new();
    for ticket in 0..4 {
        match dispatcher.submit(now, request(ticket, old_mark(), 1, 100)) {
            Decision::Start(instance) => placed.push(instance.to_string()),
            decision => panic!("{decision:?}"),
        }
    }
    placed.sort_unstable();
    assert_eq!(placed, ["r1", "r1", "r2", "r2"]);
    let write = dispatcher.submit(now, request(9, Need::Primary, 1, 100));
    assert_eq!(write, Decision::Start(instance("p")));
}

#[test]
fn a_read_with_a_fresh_mark_runs_only_where_the_mark_is_known() {
    let mut dispatcher = group(2);
    let fresh = Need::AtLeast { mark: mark(1, 9), since: at(1_000) };
    assert_eq!(
        dispatcher.submit(at(1_010), request(1, fresh, 1, 100)),
        Decision::Start(instance("p"))
    );
    dispatcher.set_position(&instance("r2"), mark(1, 9));
    assert_eq!(
        dispatcher.submit(at(1_010), request(2, fresh, 1, 100)),
        Decision::Start(instance("r2"))
    );
    let later = at(1_000) + TYPICAL_LAG;
    assert_eq!(
        dispatcher.submit(later, request(3, fresh, 1, 100)),
        Decision::Start(instance("r1"))
    );
}

#[test]
fn a_lagging_replica_gets_only_statements_whose_mark_it_is_known_to_have() {
    let mut dispatcher = group(2);
    let now = at(1_000);
    for name in ["r1", "r2"] {
        dispatcher.set_position(&instance(name), mark(1, 3));
        dispatcher.record_lagging(now, &instance(name));
    }
    assert_eq!(
        dispatcher.submit(now, request(1, old_mark(), 1, 100)),
        Decision::Start(instance("p"))
    );
    let known = Need::AtLeast { mark: mark(1, 3), since: at(0) };
    assert!(
        matches!(dispatcher.submit(now, request(2, known, 1, 100)), Decision::Start(i) if i != instance("p"))
    );
    let later = now + LAGGING_PERIOD;
    assert!(
        matches!(dispatcher.submit(later, request(3, old_mark(), 1, 100)), Decision::Start(i) if i != instance("p"))
    );
}

/// A burst at the ring of a school bell: all callers at once, with twice the load that there is capacity for.
/// Statements start by priority. Those that can't be served within their maximum wait are refused on arrival, with a
/// retry time that grows with the queue.
#[test]
fn a_burst_starts_by_priority_and_refuses_the_excess_at_once() {
    let mut dispatcher = group(1);
    let now = at(1_000);
    let mut waiting = Vec::new();
    let mut refused = Vec::new();
    assert_eq!(
        dispatcher.submit(now, request(0, Need::Primary, 2, 50)),
        Decision::Start(instance("p"))
    );
    for ticket in 1..20 {
        match dispatcher.submit(now, request(ticket, Need::Primary, 2, 60)) {
            Decision::Wait => waiting.push(ticket),
            Decision::Refuse(after) => refused.push(after),
            Decision::Start(instance) => panic!("{instance} has no free permit"),
        }
    }
    assert!(!waiting.is_empty() && waiting.len() <= 4, "{waiting:?}");
    assert!(refused.iter().all(|after| *after > Duration::from_millis(60)), "{refused:?}");
    assert_eq!(dispatcher.submit(now, request(99, Need::Primary, 0, 60)), Decision::Wait);
    dispatcher.release(&instance("p"), Some(Duration::from_millis(10)));
    let started: Vec<u64> = dispatcher.advance(now).iter().map(|(ticket, _)| ticket.0).collect();
    assert_eq!(started, [99]);
}

/// When both replicas fall behind, only the primary is left and statements take ten times as long, since the instance
/// queues. The dispatcher then runs fewer at once and queues the rest, and the window recovers afterwards.
#[test]
fn the_window_shrinks_while_an_instance_queues_and_recovers() {
    let mut dispatcher = group(4);
    let now = at(1_000);
    let run = |dispatcher: &mut Dispatcher, ms: u64, count: u64| {
        for ticket in 0..count {
            let decision = dispatcher.submit(now, request(ticket, Need::Primary, 1, 10_000));
            assert!(matches!(decision, Decision::Start(_)), "{decision:?}");
            dispatcher.release(&instance("p"), Some(Duration::from_millis(ms)));
        }
    };
    let room = |dispatcher: &mut Dispatcher| {
        let started = (0..5).filter(|ticket| {
            let decision =
                dispatcher.submit(now, request(1_000 + ticket, Need::Primary, 1, 10_000));
            decision == Decision::Start(instance("p"))
        });
        let started = started.count();
        (0..5).for_each(|ticket| {
            dispatcher.cancel(now, Ticket(1_000 + ticket));
        });
        (0..started).for_each(|_| dispatcher.release(&instance("p"), None));
        started
    };
    run(&mut dispatcher, 15, 20);
    assert_eq!(room(&mut dispatcher), 4);
    run(&mut dispatcher, 150, 30);
    assert_eq!(room(&mut dispatcher), 1);
    run(&mut dispatcher, 15, 60);
    assert_eq!(room(&mut dispatcher), 4);
}

/// Transactions are idle most of the time. They hold a connection, not a slot.
#[test]
fn an_idle_transaction_frees_its_slot() {
    let mut dispatcher = group(2);
    let now = at(1_000);
    for ticket in 0..20 {
        dispatcher.submit(now, request(ticket, Need::Primary, 1, 10_000));
        dispatcher.release(&instance("p"), Some(Duration::from_millis(150)));
    }
    assert!(matches!(
        dispatcher.submit(now, request(50, Need::Primary, 1, 10_000)),
        Decision::Start(_)
    ));
    assert_eq!(dispatcher.submit(now, request(51, Need::Primary, 1, 10_000)), Decision::Wait);
    dispatcher.suspend(&instance("p"), None);
    assert_eq!(dispatcher.advance(now).as_slice(), [(Ticket(51), instance("p"))]);
    assert_eq!(dispatcher.submit(now, request(52, Need::Primary, 1, 10_000)), Decision::Wait);
    dispatcher.suspend(&instance("p"), None);
    assert!(dispatcher.advance(now).is_empty(), "both connections are held");
}

#[test]
fn a_low_priority_does_not_starve() {
    let mut dispatcher = group(1);
    let now = at(1_000);
    dispatcher.submit(now, request(0, Need::Primary, 0, 10_000));
    dispatcher.submit(now, request(1, Need::Primary, 9, 10_000));
    for ticket in 2..40 {
        dispatcher.submit(at(1_000 + ticket), request(ticket, Need::Primary, 0, 10_000));
    }
    let mut order = Vec::new();
    for _ in 0..12 {
        dispatcher.release(&instance("p"), Some(Duration::from_millis(10)));
        order.extend(dispatcher.advance(at(2_000)).iter().map(|(ticket, _)| ticket.0));
    }
    assert!(order.contains(&1), "{order:?}");
}

#[test]
fn the_queue_is_bounded() {
    let mut dispatcher = group(1);
    let now = at(1_000);
    dispatcher.submit(now, request(0, Need::Primary, 1, 1));
    let hour = 3_600_000;
    for ticket in 0..MAX_WAITING as u64 {
        assert_eq!(
            dispatcher.submit(now, request(1 + ticket, Need::Primary, 1, hour)),
            Decision::Wait
        );
    }
    let more = dispatcher.submit(now, request(9_999, Need::Primary, 1, hour));
    assert!(matches!(more, Decision::Refuse(_)), "{more:?}");
}

/// While a primary is being replaced, a write waits if the new one may be available in time, and is refused otherwise.
#[test]
fn a_write_waits_for_a_primary_only_if_it_may_be_available_in_time() {
    let mut dispatcher = group(1);
    dispatcher.set_primary(at(0), Primary::Unknown);
    let soon = dispatcher.submit(at(0), request(8, Need::Primary, 1, 600));
    assert_eq!(soon, Decision::Wait, "the control plane may be electing a leader");
    let unknown = dispatcher.submit(at(1_000), request(1, Need::Primary, 1, 1_000));
    assert_eq!(unknown, Decision::Refuse(DEFAULT_RETRY_AFTER), "no promotion is known");
    dispatcher.cancel(at(1_000), Ticket(8));
    dispatcher.set_primary(at(1_000), Primary::Promoting);
    let short = dispatcher.submit(at(1_000), request(1, Need::Primary, 1, 500));
    assert_eq!(short, Decision::Refuse(TYPICAL_PROMOTION));
    let late = at(1_000) + TYPICAL_PROMOTION - Duration::from_millis(300);
    dispatcher.set_primary(late, Primary::Promoting);
    assert_eq!(dispatcher.submit(late, request(2, Need::Primary, 1, 500)), Decision::Wait);
    dispatcher.set_primary(late, Primary::Available(instance("r1")));
    let started = dispatcher.advance(late);
    assert_eq!(started.as_slice(), [(Ticket(2), instance("r1"))]);
}

#[test]
fn a_full_instance_gets_no_statements_for_a_moment() {
    let mut dispatcher = group(1);
    let now = at(1_000);
    dispatcher.record_full(now, &instance("p"));
    assert_eq!(dispatcher.submit(now, request(1, Need::Primary, 1, 100)), Decision::Wait);
    assert_eq!(dispatcher.advance(now + FULL_DELAY).len(), 1);
}

/// When contact with the control plane is lost for a second, writes wait for a primary that may not be used. Reads that
/// arrive later must not wait behind them, since every idle replica can serve them.
#[test]
fn reads_do_not_wait_behind_writes_that_have_no_primary() {
    let mut dispatcher = group(2);
    let now = at(1_000);
    dispatcher.set_primary(now, Primary::Unknown);
    for ticket in 0..8 {
        assert_eq!(
            dispatcher.submit(now, request(ticket, Need::Primary, 1, 2_000)),
            Decision::Wait
        );
    }
    for ticket in 10..16 {
        let decision = dispatcher.submit(now, request(ticket, old_mark(), 2, 100));
        assert!(matches!(decision, Decision::Start(_)), "{decision:?}");
    }
    // All connections are in use now. The next read waits for one of them, and not for the writes.
    assert_eq!(dispatcher.submit(now, request(20, old_mark(), 2, 40)), Decision::Wait);
}

/// A read must not overtake waiting reads with the same requirement.
#[test]
fn a_read_does_not_overtake_waiting_reads_that_could_run() {
    let mut dispatcher = group(1);
    let now = at(1_000);
    let fresh = Need::AtLeast { mark: mark(1, 9), since: now };
    let write = dispatcher.submit(now, request(1, Need::Primary, 1, 100));
    assert_eq!(write, Decision::Start(instance("p")));
    assert_eq!(dispatcher.submit(now, request(2, fresh, 1, 100)), Decision::Wait);
    // The replicas are now assumed to have the mark, and the statement that has waited for that goes first.
    let later = now + TYPICAL_LAG;
    assert_eq!(dispatcher.submit(later, request(3, fresh, 1, 100)), Decision::Wait);
    let started: Vec<u64> = dispatcher.advance(later).iter().map(|(ticket, _)| ticket.0).collect();
    assert_eq!(started, [2, 3]);
}

/// After a power loss an instance still counts the connections of restarted proxies, and refuses new ones for some
/// seconds. Statements then wait for the existing connections, or are refused at once.
#[test]
fn refused_connections_are_retried_one_at_a_time() {
    let mut dispatcher = group(4);
    let now = at(1_000);
    let p = instance("p");
    for ticket in 0..3 {
        let decision = dispatcher.submit(now, request(ticket, Need::Primary, 1, 100));
        assert_eq!(decision, Decision::Start(p.clone()));
    }
    // Two of the three statements get a connection.
    dispatcher.record_refused_connection(now, &p);
    dispatcher.release(&p, None);
    for ticket in 3..6 {
        assert_eq!(dispatcher.submit(now, request(ticket, Need::Primary, 1, 100)), Decision::Wait);
    }
    assert!(dispatcher.advance(now).is_empty(), "no third connection is attempted at once");
    dispatcher.release(&p, None);
    assert_eq!(dispatcher.advance(now).len(), 1, "existing connections keep serving");
    assert_eq!(
        dispatcher.advance(now + CONNECTION_RETRY_DELAY).len(),
        1,
        "then one more is attempted"
    );
    assert!(dispatcher.advance(now + CONNECTION_RETRY_DELAY).is_empty());
}

#[test]
fn an_instance_without_connections_is_retried_soon() {
    let mut dispatcher = group(4);
    let now = at(1_000);
    let p = instance("p");
    assert_eq!(
        dispatcher.submit(now, request(1, Need::Primary, 1, 100)),
        Decision::Start(p.clone())
    );
    dispatcher.record_refused_connection(now, &p);
    dispatcher.release(&p, None);
    assert_eq!(
        dispatcher.submit(now, request(2, Need::Primary, 1, 50)),
        Decision::Refuse(CONNECTION_RETRY_DELAY)
    );
    assert_eq!(dispatcher.submit(now, request(3, Need::Primary, 1, 150)), Decision::Wait);
    assert_eq!(dispatcher.advance(now + CONNECTION_RETRY_DELAY).len(), 1);
}

#[test]
fn unusable_and_excluded_instances_get_no_statements() {
    let mut dispatcher = group(1);
    let now = at(1_000);
    dispatcher.set_instance(&instance("r1"), 1, false, false);
    let mut second = request(1, old_mark(), 1, 100);
    second.excluded.push(instance("r2"));
    assert_eq!(dispatcher.submit(now, second), Decision::Start(instance("p")));
    assert_eq!(
        dispatcher.submit(now, request(2, old_mark(), 1, 100)),
        Decision::Start(instance("r2"))
    );
}

/// A partition leaves callers connected to a proxy without contact to the control plane: the load balancer is
/// notified first, then the sessions end one after the other. A short loss of contact ends none.
#[test]
fn a_stranded_proxy_ends_its_sessions() {
    let mut stranded = Stranded::default();
    let short = RENEWAL_TIMEOUT - Duration::from_millis(1);
    assert!(!stranded.update(at(0) + short, at(0)));
    assert_eq!(stranded.session_end(at(0), 0.0), None);
    let since = at(0) + RENEWAL_TIMEOUT;
    assert!(stranded.update(since, at(0)) && stranded.is_stranded());
    assert_eq!(stranded.session_end(at(0), 0.0), Some(since + BALANCER_NOTICE));
    assert_eq!(
        stranded.session_end(at(0), 1.0),
        Some(since + BALANCER_NOTICE + SESSION_END_SPREAD)
    );
    let later = since + Duration::from_secs(5);
    assert_eq!(
        stranded.session_end(later, 0.0),
        Some(later + BALANCER_NOTICE),
        "a session that was opened just now must get the same notice"
    );
    assert!(stranded.update(later, later) && !stranded.is_stranded());
}

/// Callers of a stranded proxy can be served as soon as the load balancer sends them elsewhere, which may be within
/// their deadline. A fixed retry time would miss that.
#[test]
fn a_stranded_proxy_estimates_when_another_proxy_takes_over() {
    let mut stranded = Stranded::default();
    assert_eq!(stranded.retry_after(at(0), 0.5), None);
    let since = at(0) + RENEWAL_TIMEOUT;
    stranded.update(since, at(0));
    assert_eq!(stranded.retry_after(since, 0.0), Some(BALANCER_NOTICE));
    assert_eq!(stranded.retry_after(since, 1.0), Some(BALANCER_NOTICE + SESSION_END_SPREAD));
    let second = Duration::from_secs(1);
    assert_eq!(stranded.retry_after(since + second, 0.0), Some(BALANCER_NOTICE - second));
    assert_eq!(stranded.retry_after(since + BALANCER_NOTICE, 0.0), None);
}

/// An instance none of whose answers can be read still accepts connections, which must not make it usable again.
#[test]
fn only_an_answer_to_a_command_ends_the_suspicion_that_answers_are_unreadable() {
    let mut health = Health::new(at(0));
    health.record_unreadable();
    assert!(health.is_usable() && health.is_suspect());
    assert!(!health.record_greeting(at(10)) && health.is_suspect());
    assert!(health.record_failure(wire::Health::Faulty));
    assert!(!health.record_greeting(at(20)) && !health.is_usable());
    assert_eq!(health.silence(at(25)), Duration::from_millis(5));
    assert!(health.record_answer(at(30)) && health.is_usable() && !health.is_suspect());
    // A connection shows that an instance which was silent or had ended is there again.
    assert!(health.record_failure(wire::Health::Silent));
    assert!(health.record_greeting(at(40)) && health.is_usable());
}

/// After a partition, what a proxy observed of the new primary while it was cut off must not cause another replacement.
#[test]
fn health_is_reset_when_the_proxy_regains_its_lease() {
    let sequence = id::Sequence;
    let mut health = Health::new(at(0));
    assert!(
        health.record_failure(wire::Health::Silent) && !health.record_failure(wire::Health::Silent)
    );
    assert_eq!(health.report(at(400), sequence(1), |_| false), Some(wire::Health::Silent));
    health.reset(at(5_000));
    assert_eq!(health.report(at(5_000), sequence(9), |_| false), Some(wire::Health::Fine));
    assert_eq!(health.report(at(5_050), sequence(10), |sent| sent == sequence(9)), None);
    assert_eq!(
        health.silence(at(5_300)),
        Duration::from_millis(300),
        "the silence must count from the reset"
    );
    assert!(health.record_failure(wire::Health::Silent));
    assert_eq!(health.report(at(5_700), sequence(11), |_| true), Some(wire::Health::Silent));
    // The control plane drops the reports of proxies without a lease, so the instance is reported again.
    for reset in [at(6_000), at(7_000)] {
        health.reset(reset);
        assert_eq!(health.report(reset, sequence(12), |_| true), Some(wire::Health::Fine));
        assert_eq!(health.report(reset, sequence(13), |_| true), None);
    }
}

/// A primary that lost its replicas answers everything except commits, and must be reported as silent.
#[test]
fn a_primary_with_unanswered_commits_is_reported() {
    let mut health = Health::new(at(0));
    health.begin_commit(at(100));
    health.record_answer(at(900));
    let late = at(100) + COMMIT_TIMEOUT;
    assert_eq!(health.report(at(900), id::Sequence(1), |_| true), Some(wire::Health::Fine));
    assert_eq!(health.report(late, id::Sequence(2), |_| true), Some(wire::Health::Silent));
    assert!(health.is_usable(), "the primary must stay usable for reads");
    health.end_commit(at(100));
    assert_eq!(health.report(late, id::Sequence(3), |_| true), Some(wire::Health::Fine));
}

/// Guards against a primary without replicas that is never reported, since each commit is given up before it counts as stalled.
#[test]
fn a_primary_whose_commits_are_all_given_up_is_reported() {
    let mut health = Health::new(at(0));
    let (mut reported, limit) = (None, COMMIT_TIMEOUT / 4);
    for n in 0..8 {
        let sent = at(100) + limit * n;
        health.begin_commit(sent);
        health.record_answer(sent);
        health.abandon_commit(sent + limit, sent);
        let report = health.report(sent + limit, id::Sequence(1), |_| false);
        if report == Some(wire::Health::Silent) {
            reported = reported.or(Some(sent + limit));
        }
    }
    assert_eq!(reported, Some(at(100) + COMMIT_TIMEOUT));
    let later = at(100) + limit * 8 + COMMIT_TIMEOUT;
    assert_eq!(health.report(later, id::Sequence(2), |_| false), Some(wire::Health::Fine));
}

/// Guards against a primary that is replaced because the connection of one commit went silent.
#[test]
fn a_commit_without_an_answer_counts_only_if_no_later_one_has_succeeded() {
    let mut health = Health::new(at(0));
    health.begin_commit(at(100));
    health.begin_commit(at(110));
    health.abandon_commit(at(500), at(110));
    health.begin_commit(at(510));
    health.record_committed(at(510));
    health.end_commit(at(510));
    let late = at(600) + COMMIT_TIMEOUT;
    assert_eq!(health.report(late, id::Sequence(1), |_| true), Some(wire::Health::Fine));
    health.begin_commit(at(520));
    assert_eq!(health.report(late, id::Sequence(2), |_| true), Some(wire::Health::Silent));
}

/// Guards against an instance that counts as silent although only a connection to it is.
#[test]
fn a_silent_connection_raises_a_doubt_and_no_more() {
    let mut health = Health::new(at(0));
    health.record_silent_connection();
    assert!(health.is_usable() && health.is_suspect());
    assert_eq!(health.report(at(10), id::Sequence(1), |_| false), Some(wire::Health::Fine));
    health.record_answer(at(20));
    assert!(!health.is_suspect());
}

#[test]
fn a_cancelled_statement_takes_no_permit() {
    let mut dispatcher = group(1);
    let now = at(1_000);
    dispatcher.submit(now, request(0, Need::Primary, 1, 100));
    assert_eq!(dispatcher.submit(now, request(1, Need::Primary, 1, 100)), Decision::Wait);
    dispatcher.cancel(now, Ticket(1));
    dispatcher.release(&instance("p"), None);
    assert!(dispatcher.advance(now).is_empty());
    assert!(matches!(
        dispatcher.submit(now, request(2, Need::Primary, 1, 100)),
        Decision::Start(_)
    ));
}
