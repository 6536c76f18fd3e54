//! The broker's machines: what a statement comes to, what is sent before it, what it needs, and where it runs.

use std::collections::BTreeMap;
use std::time::Duration;

use cactushatch::broker::applied::{self, Applied, Fix};
use cactushatch::broker::dispatch::{
    Ask, CROWDED, Dispatch, FULL, LAGGING, Lead, MAX_WAITING, Ticket, USUAL_ABSENCE, USUAL_LAG,
    USUAL_PROMOTION, Verdict,
};
use cactushatch::broker::health::{COMMIT_SILENCE, Health};
use cactushatch::broker::need::{self, Need, Sight};
use cactushatch::broker::session::{self, Session, Step, What, Work};
use cactushatch::broker::stranded::{NOTICE, SPREAD, Stranded, UNHEARD};
use cactushatch::clock::Instant;
use cactushatch::config::{Reads, Span};
use cactushatch::id;
use cactushatch::proxy::floor::Mark;
use cactushatch::statement::{Access, Code, Shape, State, Statement};
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

fn shape(access: Access, text: &str) -> Shape {
    Shape { access, text: text.into() }
}

fn data(access: Access) -> Statement {
    Statement::Data { access, text: "x".to_owned() }
}

fn work(access: Access) -> Work {
    Work { access, what: What::Text("x".to_owned()) }
}

fn set(name: &str, value: &str) -> Statement {
    Statement::Set { name: name.to_owned(), value: value.to_owned() }
}

#[test]
fn a_transaction_takes_its_statements_inside_and_ends_idle() {
    let mut session = Session::default();
    assert_eq!(session.step(Statement::Begin { read_only: false }), Step::Done);
    assert_eq!(session.state(), State::Open);
    let inside = Step::Inside { work: work(Access::Write), read_only: false };
    assert_eq!(session.step(data(Access::Write)), inside);
    assert_eq!(session.step(Statement::Commit), Step::Commit { read_only: false });
    assert_eq!(session.state(), State::Idle);
    assert_eq!(session.step(data(Access::Read)), Step::Single(work(Access::Read)));
}

#[test]
fn a_failed_transaction_refuses_all_but_its_end() {
    let mut session = Session::default();
    session.step(Statement::Begin { read_only: false });
    session.fail();
    assert_eq!(session.state(), State::Failed);
    for statement in [data(Access::Read), set("a", "1"), Statement::Begin { read_only: true }] {
        assert!(matches!(session.step(statement), Step::Refuse(Code::Malformed, _)));
    }
    assert!(matches!(session.step(Statement::Commit), Step::Refuse(Code::Aborted, _)));
    assert_eq!(session.state(), State::Idle);
}

#[test]
fn a_transaction_that_only_reads_refuses_a_write() {
    let mut session = Session::default();
    session.step(Statement::Begin { read_only: true });
    assert!(matches!(session.step(data(Access::Write)), Step::Refuse(Code::ReadOnly, _)));
    assert_eq!(session.state(), State::Failed);
}

#[test]
fn prepared_names_are_the_sessions_own() {
    let mut session = Session::default();
    let execute = || Statement::Execute { name: "s1".to_owned(), arguments: "k v".to_owned() };
    assert!(matches!(session.step(execute()), Step::Refuse(Code::NoStatement, _)));
    let shape = shape(Access::Write, "q2c");
    session.step(Statement::Prepare { name: "s1".to_owned(), shape: shape.clone() });
    let what = What::Prepared { shape, arguments: "k v".to_owned() };
    let run = Step::Single(Work { access: Access::Write, what });
    assert_eq!(session.step(execute()), run);
    assert_eq!(session.step(Statement::Deallocate { name: "s1".to_owned() }), Step::Done);
    assert!(matches!(session.step(execute()), Step::Refuse(Code::NoStatement, _)));
}

#[test]
fn what_a_session_holds_is_bounded() {
    let mut session = Session::default();
    for at in 0..session::MAX_VALUES {
        assert_eq!(session.step(set(&format!("v{at}"), "1")), Step::Done);
    }
    assert!(matches!(session.step(set("one-more", "1")), Step::Refuse(Code::Failed, _)));
    assert_eq!(session.step(set("v0", "2")), Step::Done);
}

/// Carries out fixes as a connection would, and returns what it then has.
fn carry_out(values: &mut BTreeMap<String, String>, names: &mut Vec<String>, fixes: &[Fix]) {
    for fix in fixes {
        match fix {
            Fix::Reset => {
                values.clear();
                names.clear();
            }
            Fix::Set { name, value } => {
                values.insert(name.clone(), value.clone());
            }
            Fix::Prepare { name, .. } => {
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

    /// Whatever sessions used a connection before, a statement finds exactly its own session's values and a
    /// prepared statement that is there.
    #[test]
    fn a_connection_never_shows_another_sessions_values(
        uses in prop::collection::vec(
            (prop::collection::btree_map("[a-c]", "[0-9]", 0..4), prop::option::of(0..200_u32)),
            1..60,
        )
    ) {
        let mut applied = Applied::default();
        let (mut values, mut names) = (BTreeMap::new(), Vec::new());
        for (wanted, prepared) in uses {
            let shape = prepared.map(|at| shape(Access::Read, &format!("t{at}")));
            let fixes = applied.fix(&wanted, shape.as_ref(), true);
            carry_out(&mut values, &mut names, &fixes);
            prop_assert_eq!(&values, &wanted);
            prop_assert!(applied.matches(&wanted));
            if let Some(shape) = shape {
                let name = applied.name(&shape).expect("it is prepared").to_owned();
                prop_assert!(names.contains(&name));
            }
            prop_assert!(names.len() <= applied::MAX_PREPARED);
        }
    }
}

#[test]
fn a_transaction_is_never_reset() {
    let mut applied = Applied::default();
    let some = BTreeMap::from([("a".to_owned(), "1".to_owned())]);
    applied.fix(&some, None, true);
    let fixes = applied.fix(&BTreeMap::new(), Some(&shape(Access::Read, "t")), false);
    assert!(!fixes.contains(&Fix::Reset));
}

fn sight(asked: u64, term: u64, position: u64) -> Sight {
    Sight { asked: at(asked), mark: mark(term, position) }
}

#[test]
fn a_read_of_the_latest_needs_the_primary_whatever_is_known() {
    assert_eq!(need::read(Reads::Latest, Some(sight(0, 1, 5)), None), Need::Primary);
}

#[test]
fn a_bounded_read_without_a_proof_needs_the_primary() {
    let reads = Reads::Bounded(Span(Duration::from_secs(1)));
    assert_eq!(need::read(reads, None, Some(sight(0, 1, 5))), Need::Primary);
}

#[test]
fn a_sessions_read_needs_its_own_write_too() {
    let reads = Reads::Session(Span(Duration::from_secs(1)));
    let (proof, own) = (sight(10, 1, 5), sight(20, 1, 7));
    let reached = |sight: Sight| Need::Reached { mark: sight.mark, since: sight.asked };
    assert_eq!(need::read(reads, Some(proof), Some(own)), reached(own));
    let bounded = Reads::Bounded(Span(Duration::from_secs(1)));
    assert_eq!(need::read(bounded, Some(proof), Some(own)), reached(proof));
    let newer_term = sight(30, 2, 1);
    assert_eq!(need::read(reads, Some(newer_term), Some(own)), reached(newer_term));
}

/// A group with a primary `p` and two replicas, each with `permits` connections.
fn group(permits: u32) -> Dispatch {
    let mut dispatch = Dispatch::default();
    for name in ["p", "r1", "r2"] {
        dispatch.seat(&instance(name), permits, true, false);
    }
    dispatch.lead(at(0), Lead::Primary(instance("p")));
    dispatch
}

fn ask(ticket: u64, need: Need, priority: u8, patience_ms: u64) -> Ask {
    let patience = Duration::from_millis(patience_ms);
    let promotion_patience = patience;
    let failed = SmallVec::new();
    Ask { ticket: Ticket(ticket), need, priority, patience, promotion_patience, failed }
}

fn old_mark() -> Need {
    Need::Reached { mark: mark(1, 5), since: at(0) }
}

#[test]
fn reads_spread_over_replicas_and_leave_the_primary_to_writes() {
    let mut dispatch = group(2);
    let now = at(1_000);
    let mut placed = Vec::new();
    for ticket in 0..4 {
        match dispatch.ask(now, ask(ticket, old_mark(), 1, 100)) {
            Verdict::Start(instance) => placed.push(instance.to_string()),
            verdict => panic!("{verdict:?}"),
        }
    }
    placed.sort_unstable();
    assert_eq!(placed, ["r1", "r1", "r2", "r2"]);
    let write = dispatch.ask(now, ask(9, Need::Primary, 1, 100));
    assert_eq!(write, Verdict::Start(instance("p")));
}

#[test]
fn a_fresh_mark_goes_only_where_it_is_known_to_be() {
    let mut dispatch = group(2);
    let fresh = Need::Reached { mark: mark(1, 9), since: at(1_000) };
    assert_eq!(dispatch.ask(at(1_010), ask(1, fresh, 1, 100)), Verdict::Start(instance("p")));
    dispatch.stands(&instance("r2"), mark(1, 9));
    assert_eq!(dispatch.ask(at(1_010), ask(2, fresh, 1, 100)), Verdict::Start(instance("r2")));
    let later = at(1_000) + USUAL_LAG;
    assert_eq!(dispatch.ask(later, ask(3, fresh, 1, 100)), Verdict::Start(instance("r1")));
}

#[test]
fn a_replica_that_lags_is_asked_only_for_what_it_has() {
    let mut dispatch = group(2);
    let now = at(1_000);
    for name in ["r1", "r2"] {
        dispatch.stands(&instance(name), mark(1, 3));
        dispatch.lagged(now, &instance(name));
    }
    assert_eq!(dispatch.ask(now, ask(1, old_mark(), 1, 100)), Verdict::Start(instance("p")));
    let known = Need::Reached { mark: mark(1, 3), since: at(0) };
    assert!(
        matches!(dispatch.ask(now, ask(2, known, 1, 100)), Verdict::Start(i) if i != instance("p"))
    );
    let over = now + LAGGING;
    assert!(
        matches!(dispatch.ask(over, ask(3, old_mark(), 1, 100)), Verdict::Start(i) if i != instance("p"))
    );
}

/// The load of a bell: everybody at once, twice what there is room for. Who starts goes by priority; what can't be
/// served within its patience is told so on arrival, with a time that grows with the queue.
#[test]
fn a_rush_starts_the_urgent_first_and_refuses_the_rest_at_once() {
    let mut dispatch = group(1);
    let now = at(1_000);
    let mut waiting = Vec::new();
    let mut refused = Vec::new();
    assert_eq!(dispatch.ask(now, ask(0, Need::Primary, 2, 50)), Verdict::Start(instance("p")));
    for ticket in 1..20 {
        match dispatch.ask(now, ask(ticket, Need::Primary, 2, 60)) {
            Verdict::Wait => waiting.push(ticket),
            Verdict::Refuse(after) => refused.push(after),
            Verdict::Start(instance) => panic!("{instance} has no room"),
        }
    }
    assert!(!waiting.is_empty() && waiting.len() <= 4, "{waiting:?}");
    assert!(refused.iter().all(|after| *after > Duration::from_millis(60)), "{refused:?}");
    assert_eq!(dispatch.ask(now, ask(99, Need::Primary, 0, 60)), Verdict::Wait);
    dispatch.release(&instance("p"), Some(Duration::from_millis(10)));
    let started: Vec<u64> = dispatch.advance(now).iter().map(|(ticket, _)| ticket.0).collect();
    assert_eq!(started, [99]);
}

/// Both replicas fall behind and the primary is left for everything: statements there take ten times as long, since the
/// instance queues. Fewer run at once then, the rest waits here, and the window grows back afterwards.
#[test]
fn an_instance_that_queues_gets_less_until_it_does_not() {
    let mut dispatch = group(4);
    let now = at(1_000);
    let run = |dispatch: &mut Dispatch, ms: u64, count: u64| {
        for ticket in 0..count {
            let verdict = dispatch.ask(now, ask(ticket, Need::Primary, 1, 10_000));
            assert!(matches!(verdict, Verdict::Start(_)), "{verdict:?}");
            dispatch.release(&instance("p"), Some(Duration::from_millis(ms)));
        }
    };
    let room = |dispatch: &mut Dispatch| {
        let started = (0..5).filter(|ticket| {
            let verdict = dispatch.ask(now, ask(1_000 + ticket, Need::Primary, 1, 10_000));
            verdict == Verdict::Start(instance("p"))
        });
        let started = started.count();
        (0..5).for_each(|ticket| {
            dispatch.give_up(now, Ticket(1_000 + ticket));
        });
        (0..started).for_each(|_| dispatch.release(&instance("p"), None));
        started
    };
    run(&mut dispatch, 15, 20);
    assert_eq!(room(&mut dispatch), 4);
    run(&mut dispatch, 150, 30);
    assert_eq!(room(&mut dispatch), 1);
    run(&mut dispatch, 15, 60);
    assert_eq!(room(&mut dispatch), 4);
}

/// Transactions rest most of the time; what they hold is a connection, not a slot.
#[test]
fn a_transaction_that_rests_leaves_the_slot_to_others() {
    let mut dispatch = group(2);
    let now = at(1_000);
    for ticket in 0..20 {
        dispatch.ask(now, ask(ticket, Need::Primary, 1, 10_000));
        dispatch.release(&instance("p"), Some(Duration::from_millis(150)));
    }
    assert!(matches!(dispatch.ask(now, ask(50, Need::Primary, 1, 10_000)), Verdict::Start(_)));
    assert_eq!(dispatch.ask(now, ask(51, Need::Primary, 1, 10_000)), Verdict::Wait);
    dispatch.rest(&instance("p"), None);
    assert_eq!(dispatch.advance(now).as_slice(), [(Ticket(51), instance("p"))]);
    assert_eq!(dispatch.ask(now, ask(52, Need::Primary, 1, 10_000)), Verdict::Wait);
    dispatch.rest(&instance("p"), None);
    assert!(dispatch.advance(now).is_empty(), "both connections are held");
}

#[test]
fn nobody_starves_behind_the_urgent() {
    let mut dispatch = group(1);
    let now = at(1_000);
    dispatch.ask(now, ask(0, Need::Primary, 0, 10_000));
    dispatch.ask(now, ask(1, Need::Primary, 9, 10_000));
    for ticket in 2..40 {
        dispatch.ask(at(1_000 + ticket), ask(ticket, Need::Primary, 0, 10_000));
    }
    let mut order = Vec::new();
    for _ in 0..12 {
        dispatch.release(&instance("p"), Some(Duration::from_millis(10)));
        order.extend(dispatch.advance(at(2_000)).iter().map(|(ticket, _)| ticket.0));
    }
    assert!(order.contains(&1), "{order:?}");
}

#[test]
fn a_queue_is_bounded() {
    let mut dispatch = group(1);
    let now = at(1_000);
    dispatch.ask(now, ask(0, Need::Primary, 1, 1));
    let hour = 3_600_000;
    for ticket in 0..MAX_WAITING as u64 {
        assert_eq!(dispatch.ask(now, ask(1 + ticket, Need::Primary, 1, hour)), Verdict::Wait);
    }
    let more = dispatch.ask(now, ask(9_999, Need::Primary, 1, hour));
    assert!(matches!(more, Verdict::Refuse(_)), "{more:?}");
}

/// While a primary is replaced, a write waits when the new one may be there in time and is refused when it can't be.
#[test]
fn a_write_waits_for_a_primary_only_as_long_as_it_may_come() {
    let mut dispatch = group(1);
    dispatch.lead(at(0), Lead::Nobody);
    let soon = dispatch.ask(at(0), ask(8, Need::Primary, 1, 600));
    assert_eq!(soon, Verdict::Wait, "control may be changing its leader");
    let unknown = dispatch.ask(at(1_000), ask(1, Need::Primary, 1, 1_000));
    assert_eq!(unknown, Verdict::Refuse(USUAL_ABSENCE), "nothing is known of a promotion");
    dispatch.give_up(at(1_000), Ticket(8));
    dispatch.lead(at(1_000), Lead::Promoting);
    let short = dispatch.ask(at(1_000), ask(1, Need::Primary, 1, 500));
    assert_eq!(short, Verdict::Refuse(USUAL_PROMOTION));
    let late = at(1_000) + USUAL_PROMOTION - Duration::from_millis(300);
    dispatch.lead(late, Lead::Promoting);
    assert_eq!(dispatch.ask(late, ask(2, Need::Primary, 1, 500)), Verdict::Wait);
    dispatch.lead(late, Lead::Primary(instance("r1")));
    let started = dispatch.advance(late);
    assert_eq!(started.as_slice(), [(Ticket(2), instance("r1"))]);
}

#[test]
fn an_instance_without_room_is_left_alone_for_a_moment() {
    let mut dispatch = group(1);
    let now = at(1_000);
    dispatch.was_full(now, &instance("p"));
    assert_eq!(dispatch.ask(now, ask(1, Need::Primary, 1, 100)), Verdict::Wait);
    assert_eq!(dispatch.advance(now + FULL).len(), 1);
}

/// Control is lost for a second: writes wait for a primary that nobody may use, and behind them come reads that every idle
/// replica can serve.
#[test]
fn reads_do_not_wait_behind_writes_that_have_no_primary() {
    let mut dispatch = group(2);
    let now = at(1_000);
    dispatch.lead(now, Lead::Nobody);
    for ticket in 0..8 {
        assert_eq!(dispatch.ask(now, ask(ticket, Need::Primary, 1, 2_000)), Verdict::Wait);
    }
    for ticket in 10..16 {
        let verdict = dispatch.ask(now, ask(ticket, old_mark(), 2, 100));
        assert!(matches!(verdict, Verdict::Start(_)), "{verdict:?}");
    }
    // All connections are in use now. The next read waits for one of them, and not for the writes.
    assert_eq!(dispatch.ask(now, ask(20, old_mark(), 2, 40)), Verdict::Wait);
}

/// One read of a kind that others wait for doesn't overtake them.
#[test]
fn nobody_overtakes_what_could_run_as_well() {
    let mut dispatch = group(1);
    let now = at(1_000);
    let fresh = Need::Reached { mark: mark(1, 9), since: now };
    let write = dispatch.ask(now, ask(1, Need::Primary, 1, 100));
    assert_eq!(write, Verdict::Start(instance("p")));
    assert_eq!(dispatch.ask(now, ask(2, fresh, 1, 100)), Verdict::Wait);
    // Now the replicas may have the mark, and whoever waited for that goes first.
    let later = now + USUAL_LAG;
    assert_eq!(dispatch.ask(later, ask(3, fresh, 1, 100)), Verdict::Wait);
    let started: Vec<u64> = dispatch.advance(later).iter().map(|(ticket, _)| ticket.0).collect();
    assert_eq!(started, [2, 3]);
}

/// After a loss of power an instance still counts the connections of the proxies' earlier lives, and refuses new ones for
/// some seconds. What can't be served over the connections that there are waits for them, or is refused at once.
#[test]
fn connections_that_an_instance_refuses_are_tried_for_one_at_a_time() {
    let mut dispatch = group(4);
    let now = at(1_000);
    let p = instance("p");
    for ticket in 0..3 {
        let verdict = dispatch.ask(now, ask(ticket, Need::Primary, 1, 100));
        assert_eq!(verdict, Verdict::Start(p.clone()));
    }
    // Two of the three get a connection.
    dispatch.was_crowded(now, &p);
    dispatch.release(&p, None);
    for ticket in 3..6 {
        assert_eq!(dispatch.ask(now, ask(ticket, Need::Primary, 1, 100)), Verdict::Wait);
    }
    assert!(dispatch.advance(now).is_empty(), "no third one is tried for at once");
    dispatch.release(&p, None);
    assert_eq!(dispatch.advance(now).len(), 1, "the connections that there are go on serving");
    assert_eq!(dispatch.advance(now + CROWDED).len(), 1, "then one more is tried for");
    assert!(dispatch.advance(now + CROWDED).is_empty());
}

#[test]
fn an_instance_without_any_connection_left_is_tried_again_soon() {
    let mut dispatch = group(4);
    let now = at(1_000);
    let p = instance("p");
    assert_eq!(dispatch.ask(now, ask(1, Need::Primary, 1, 100)), Verdict::Start(p.clone()));
    dispatch.was_crowded(now, &p);
    dispatch.release(&p, None);
    assert_eq!(dispatch.ask(now, ask(2, Need::Primary, 1, 50)), Verdict::Refuse(CROWDED));
    assert_eq!(dispatch.ask(now, ask(3, Need::Primary, 1, 150)), Verdict::Wait);
    assert_eq!(dispatch.advance(now + CROWDED).len(), 1);
}

#[test]
fn what_is_not_usable_or_failed_gets_nothing() {
    let mut dispatch = group(1);
    let now = at(1_000);
    dispatch.seat(&instance("r1"), 1, false, false);
    let mut second = ask(1, old_mark(), 1, 100);
    second.failed.push(instance("r2"));
    assert_eq!(dispatch.ask(now, second), Verdict::Start(instance("p")));
    assert_eq!(dispatch.ask(now, ask(2, old_mark(), 1, 100)), Verdict::Start(instance("r2")));
}

/// A partition leaves callers connected to a proxy that hears nothing of control: the balancer is told first, then the
/// sessions end one after the other. A short pause of control ends none.
#[test]
fn a_stranded_proxy_sends_its_sessions_elsewhere() {
    let mut stranded = Stranded::default();
    let short = UNHEARD - Duration::from_millis(1);
    assert!(!stranded.step(at(0) + short, at(0)));
    assert_eq!(stranded.ends(at(0), 0.0), None);
    let since = at(0) + UNHEARD;
    assert!(stranded.step(since, at(0)) && stranded.is_stranded());
    assert_eq!(stranded.ends(at(0), 0.0), Some(since + NOTICE));
    assert_eq!(stranded.ends(at(0), 1.0), Some(since + NOTICE + SPREAD));
    let later = since + Duration::from_secs(5);
    assert_eq!(stranded.ends(later, 0.0), Some(later + NOTICE), "it has just come");
    assert!(stranded.step(later, later) && !stranded.is_stranded());
}

/// Callers of a proxy that was cut off can be served as soon as the balancer sends them elsewhere, which may be within
/// their deadline; a fixed time to come back would let that pass.
#[test]
fn a_stranded_proxy_says_when_another_one_takes_over() {
    let mut stranded = Stranded::default();
    assert_eq!(stranded.relief(at(0), 0.5), None);
    let since = at(0) + UNHEARD;
    stranded.step(since, at(0));
    assert_eq!(stranded.relief(since, 0.0), Some(NOTICE));
    assert_eq!(stranded.relief(since, 1.0), Some(NOTICE + SPREAD));
    let second = Duration::from_secs(1);
    assert_eq!(stranded.relief(since + second, 0.0), Some(NOTICE - second));
    assert_eq!(stranded.relief(since + NOTICE, 0.0), None);
}

/// A partition ends: what a proxy saw of the new primary while it was cut off must not have it replaced again.
#[test]
fn a_proxy_that_comes_back_says_what_it_sees_now() {
    let sequence = id::Sequence;
    let mut health = Health::new(at(0));
    assert!(health.failed(wire::Health::Silent) && !health.failed(wire::Health::Silent));
    assert_eq!(health.report(at(400), sequence(1), |_| false), Some(wire::Health::Silent));
    health.relearn(at(5_000));
    assert_eq!(health.report(at(5_000), sequence(9), |_| false), Some(wire::Health::Fine));
    assert_eq!(health.report(at(5_050), sequence(10), |told| told == sequence(9)), None);
    assert_eq!(health.silence(at(5_300)), Duration::from_millis(300), "it is asked soon");
    assert!(health.failed(wire::Health::Silent));
    assert_eq!(health.report(at(5_700), sequence(11), |_| true), Some(wire::Health::Silent));
}

/// A primary that lost its replicas answers everything but commits.
#[test]
fn a_primary_that_commits_nothing_is_reported() {
    let mut health = Health::new(at(0));
    health.begin_commit(at(100));
    health.answered(at(900));
    let late = at(100) + COMMIT_SILENCE;
    assert_eq!(health.report(at(900), id::Sequence(1), |_| true), Some(wire::Health::Fine));
    assert_eq!(health.report(late, id::Sequence(2), |_| true), Some(wire::Health::Silent));
    assert!(health.is_usable(), "reads go on there");
    health.end_commit(at(100));
    assert_eq!(health.report(late, id::Sequence(3), |_| true), Some(wire::Health::Fine));
}

#[test]
fn permits_come_back_when_a_statement_gives_up() {
    let mut dispatch = group(1);
    let now = at(1_000);
    dispatch.ask(now, ask(0, Need::Primary, 1, 100));
    assert_eq!(dispatch.ask(now, ask(1, Need::Primary, 1, 100)), Verdict::Wait);
    dispatch.give_up(now, Ticket(1));
    dispatch.release(&instance("p"), None);
    assert!(dispatch.advance(now).is_empty());
    assert!(matches!(dispatch.ask(now, ask(2, Need::Primary, 1, 100)), Verdict::Start(_)));
}
