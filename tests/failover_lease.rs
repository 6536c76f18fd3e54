//! Leases and the fence: when a leader may take it that no proxy releases an answer of an older epoch.

mod machine;

use std::time::Duration;

use cactushatch::control::lease::{
    CLOCK_MARGIN, CONFIRMATION_VALIDITY, INHERITED_LEASE_WAIT, LEASE_DURATION,
};
use cactushatch::control::state::State;
use cactushatch::id;
use cactushatch::wire::Health;
use machine::{Control, Proxy, START, at, group, name};

/// A leader with one proxy that holds a lease and the table, and the group's first epoch in force.
fn leading() -> (Control, Proxy) {
    let mut control = Control::elected(START, State::default(), 1);
    let mut proxy = Proxy::new("p", 1);
    control.begin(START, "i1");
    control.register(START, &proxy.life);
    proxy.beat(START, &mut control);
    proxy.beat(START, &mut control);
    assert!(proxy.releases(START, 1));
    (control, proxy)
}

#[test]
fn the_fence_holds_at_once_when_every_proxy_acknowledged_the_freeze() {
    let (mut control, mut proxy) = leading();
    control.freeze(at(10));
    assert!(!control.fenced(at(10)));
    proxy.beat(at(11), &mut control);
    assert!(!control.fenced(at(11)), "the proxy has heard, but control doesn't know");
    proxy.beat(at(12), &mut control);
    assert!(control.fenced(at(12)));
    assert!(!proxy.releases(at(12), 1));
}

#[test]
fn the_fence_holds_without_an_answer_only_after_the_lease_and_its_margin() {
    let (mut control, mut proxy) = leading();
    let late = START + INHERITED_LEASE_WAIT;
    proxy.beat(late, &mut control);
    control.freeze(late);
    let end = late + LEASE_DURATION;
    assert!(proxy.releases(end - Duration::from_millis(1), 1));
    assert!(!proxy.releases(end, 1));
    assert!(!control.fenced(end + CLOCK_MARGIN - Duration::from_millis(1)));
    assert!(control.fenced(end + CLOCK_MARGIN));
}

#[test]
fn a_new_leader_waits_for_every_registered_proxy_or_for_all_inherited_leases() {
    let (old, mut cut) = leading();
    let mut other = Proxy::new("q", 1);
    let mut state = old.state;
    state.nodes.insert(name("q"), (id::Incarnation(1), name("b")));
    let mut new = Control::elected(at(100), state, 2);
    new.freeze(at(100));
    other.beat(at(101), &mut new);
    other.beat(at(102), &mut new);
    assert!(cut.releases(at(102), 1), "the cut proxy lives on its lease of the old leader");
    assert!(!new.fenced(at(102)));
    assert!(!new.fenced(at(100) + INHERITED_LEASE_WAIT - Duration::from_millis(1)));
    assert!(new.fenced(at(100) + INHERITED_LEASE_WAIT));
    cut.beat(at(103), &mut new);
    cut.beat(at(104), &mut new);
    assert!(new.fenced(at(104)), "all have acknowledged the new leader's table");
}

#[test]
fn a_leader_that_nobody_confirms_grants_no_lease() {
    let (mut control, mut proxy) = leading();
    let limit = START + CONFIRMATION_VALIDITY;
    let heartbeat = proxy.send(limit);
    let decided = (&control.state, control.stamp);
    let grant = control.leader.heartbeat(limit, proxy.life.clone(), &heartbeat, decided);
    assert!(grant.is_some());
    let late = limit + Duration::from_millis(1);
    let heartbeat = proxy.send(late);
    let grant = control.leader.heartbeat(late, proxy.life.clone(), &heartbeat, decided);
    assert!(grant.is_none());
}

#[test]
fn leases_of_a_leader_that_was_replaced_end_within_what_its_successor_waits() {
    let (mut old, mut proxy) = leading();
    // The last round that a majority confirmed to the old leader was sent before the other was elected.
    let elected = START;
    let last = elected + CONFIRMATION_VALIDITY;
    let heartbeat = proxy.send(last);
    let decided = (&old.state, old.stamp);
    let grant = old.leader.heartbeat(last, proxy.life.clone(), &heartbeat, decided);
    proxy.fence.step(grant.expect("a grant at the last moment"));
    assert!(!proxy.releases(elected + INHERITED_LEASE_WAIT, 1));
}

#[test]
fn an_acknowledgement_to_another_leader_does_not_count() {
    let (mut old, mut proxy) = leading();
    for ms in 1..20 {
        // The old leader's table has many versions.
        old.state.draining.insert(name("i1"));
        proxy.sees("i1", 1, Health::Fine, 0);
        old.register(at(ms), &(name(&format!("n{ms}")), id::Incarnation(1)));
        proxy.beat(at(ms), &mut old);
    }
    let mut state = State::default();
    state.nodes.insert(name("p"), (id::Incarnation(1), name("a")));
    state.epochs = old.state.epochs.clone();
    let mut new = Control::elected(at(20), state, 2);
    new.freeze(at(20));
    let heartbeat = proxy.send(at(21));
    assert!(heartbeat.table > new.leader.version());
    let grant = new.heartbeat(at(21), &proxy.life.clone(), &heartbeat).expect("a grant");
    assert!(!new.fenced(at(21)));
    assert!(grant.delta.as_ref().is_some_and(|delta| delta.since == 0), "it gets the whole table");
    proxy.fence.step(grant);
    proxy.beat(at(22), &mut new);
    assert!(new.fenced(at(22)));
}

#[test]
fn a_leader_grants_nothing_to_a_proxy_that_heard_of_a_later_one() {
    let (mut old, mut proxy) = leading();
    let mut new = Control::elected(at(5), old.state.clone(), 2);
    proxy.beat(at(6), &mut new);
    let heartbeat = proxy.send(at(7));
    assert_eq!(old.heartbeat(at(7), &proxy.life.clone(), &heartbeat), None);
}

#[test]
fn a_proxy_refuses_what_a_replaced_leader_sent() {
    let (mut old, mut proxy) = leading();
    let heartbeat = proxy.send(at(5));
    let late = old.heartbeat(at(5), &proxy.life.clone(), &heartbeat).expect("a grant");
    let mut new = Control::elected(at(6), old.state.clone(), 2);
    new.freeze(at(6));
    proxy.beat(at(7), &mut new);
    proxy.fence.step(late);
    assert!(!proxy.releases(at(8), 1));
    assert_eq!(proxy.fence.newest().0.term, id::Term(2));
}

#[test]
fn a_late_or_repeated_heartbeat_takes_back_no_acknowledgement_and_no_report() {
    let (mut control, mut proxy) = leading();
    proxy.sees("i1", 1, Health::Fine, 0);
    let early = proxy.send(at(9));
    control.freeze(at(10));
    proxy.sightings.clear();
    proxy.beat(at(11), &mut control);
    proxy.beat(at(12), &mut control);
    assert!(control.fenced(at(12)));
    for _ in 0..2 {
        control.heartbeat(at(13), &proxy.life.clone(), &early);
        assert!(control.fenced(at(13)));
    }
    assert!(control.leader.replica(&name("i1")).is_none(), "the older sighting changed nothing");
}

#[test]
fn a_grant_that_answers_an_old_heartbeat_renews_from_when_that_was_sent() {
    let (mut control, mut proxy) = leading();
    let heartbeat = proxy.send(at(10));
    let grant = control.heartbeat(at(10), &proxy.life.clone(), &heartbeat).expect("a grant");
    proxy.fence.step(grant);
    assert!(!proxy.releases(at(10) + LEASE_DURATION, 1));
    let unasked = control.leader.table_updates(control.stamp, id::Revision(0));
    for (_, grant) in unasked {
        proxy.fence.step(grant);
    }
    assert!(!proxy.releases(at(10) + LEASE_DURATION, 1), "a pushed table renews nothing");
}

#[test]
fn a_grant_for_an_earlier_life_of_a_proxy_is_ignored() {
    let (mut control, _) = leading();
    let mut first = Proxy::new("q", 1);
    control.register(at(9), &first.life);
    let heartbeat = first.send(at(10));
    let late = control.heartbeat(at(10), &first.life.clone(), &heartbeat).expect("a grant");
    let mut second = Proxy::new("q", 2);
    assert_eq!(second.send(at(900)).sequence, heartbeat.sequence);
    second.fence.step(late);
    assert!(!second.releases(at(900), 1));
    assert!(
        !second.releases(at(10) + LEASE_DURATION, 1),
        "the lease would count from the wrong heartbeat"
    );
}

#[test]
fn an_earlier_life_that_runs_on_is_waited_for() {
    let (mut control, first) = leading();
    let mut second = Proxy::new("p", 2);
    control.register(at(10), &second.life);
    control.freeze(at(10));
    second.beat(at(11), &mut control);
    second.beat(at(12), &mut control);
    assert!(first.releases(at(12), 1), "the first process runs on beside its successor");
    assert!(!control.fenced(at(12)));
    assert!(control.fenced(START + LEASE_DURATION + CLOCK_MARGIN));
}

#[test]
fn a_proxy_that_dies_with_the_primary_leaves_time_for_the_promotion_within_a_second() {
    /// How long writes may be refused at a change of primary.
    const GAP: Duration = Duration::from_millis(1_000);
    /// To notice that the primary is gone, read the positions, promote, and hand out the epoch.
    const PROMOTION: Duration = Duration::from_millis(175);
    let (mut control, mut proxy) = leading();
    let killed = START + INHERITED_LEASE_WAIT;
    proxy.beat(killed, &mut control);
    control.freeze(killed);
    assert!(
        !control.fenced(killed + LEASE_DURATION),
        "the proxy may release answers until its lease is over"
    );
    assert!(control.fenced(killed + GAP - PROMOTION));
}

#[test]
fn an_earlier_life_gets_no_lease_again() {
    let (mut control, mut first) = leading();
    control.register(at(10), &(name("p"), id::Incarnation(2)));
    let heartbeat = first.send(at(11));
    assert_eq!(control.heartbeat(at(11), &first.life.clone(), &heartbeat), None);
}

#[test]
fn a_proxy_that_is_not_registered_gets_no_lease() {
    let mut control = Control::elected(START, State::default(), 1);
    let mut proxy = Proxy::new("p", 1);
    let heartbeat = proxy.send(START);
    assert_eq!(control.heartbeat(START, &proxy.life.clone(), &heartbeat), None);
}

#[test]
fn a_proxy_stopped_past_its_lease_releases_nothing_until_it_has_the_table() {
    let (mut control, mut proxy) = leading();
    let heartbeat = proxy.send(at(10));
    let queued = control.heartbeat(at(10), &proxy.life.clone(), &heartbeat).expect("a grant");
    control.freeze(at(20));
    let resumed = at(30) + INHERITED_LEASE_WAIT;
    assert!(control.fenced(resumed));
    assert!(!proxy.releases(resumed, 1));
    proxy.fence.step(queued);
    assert!(!proxy.releases(resumed, 1), "the queued grant counts from when it was asked for");
    proxy.beat(resumed, &mut control);
    assert!(!proxy.releases(resumed, 1));
}

#[test]
fn a_change_of_another_kind_does_not_undo_the_fence() {
    let (mut control, mut proxy) = leading();
    control.freeze(at(10));
    proxy.beat(at(11), &mut control);
    proxy.beat(at(12), &mut control);
    proxy.sees("i1", 1, Health::Fine, 0);
    proxy.beat(at(13), &mut control);
    control.tick(at(14));
    assert!(control.fenced(at(14)), "the table is newer, the group's phase is not");
}

#[test]
fn a_proxy_without_the_versions_between_does_not_take_a_delta() {
    let (mut control, mut proxy) = leading();
    proxy.sees("i1", 1, Health::Fine, 0);
    let heartbeat = proxy.send(at(10));
    let mut grant = control.heartbeat(at(10), &proxy.life.clone(), &heartbeat).expect("a grant");
    control.freeze(at(11));
    let mut pushed = control.leader.table_updates(control.stamp, id::Revision(0)).remove(0).1;
    let version = proxy.fence.newest().1;
    let delta = pushed.delta.as_mut().expect("a delta");
    delta.since = version + 1;
    proxy.fence.step(pushed);
    assert_eq!(proxy.fence.newest().1, version);
    grant.stamp = control.stamp;
    grant.version = version + 2;
    grant.delta = None;
    proxy.fence.step(grant);
    assert!(
        !proxy.releases(at(9) + LEASE_DURATION, 1),
        "no lease without the table that goes with it"
    );
}

#[test]
fn a_delta_carries_only_the_groups_that_changed() {
    let mut control = Control::elected(START, State::default(), 1);
    control.begin(START, "i1");
    let mut proxy = Proxy::new("p", 1);
    control.register(START, &proxy.life);
    proxy.beat(START, &mut control);
    let other: id::Group = name("h");
    let promote = cactushatch::control::state::Action::Promote {
        group: other.clone(),
        term: id::Term(1),
        primary: name("j1"),
        start: id::Position(0),
    };
    control.commit(at(1), promote);
    let heartbeat = proxy.send(at(2));
    let grant = control.heartbeat(at(2), &proxy.life.clone(), &heartbeat).expect("a grant");
    let routes = grant.delta.as_ref().map(|delta| delta.routes.clone()).unwrap_or_default();
    assert_eq!(routes.iter().map(|route| &route.group).collect::<Vec<_>>(), [&other]);
    proxy.fence.step(grant);
    assert!(proxy.fence.epoch(&group()).is_some() && proxy.fence.epoch(&other).is_some());
}

#[test]
fn announcements_expire_and_do_not_overrule_each_other() {
    let (mut control, mut proxy) = leading();
    proxy.sees("i1", 1, Health::Fine, 0);
    proxy.beat(at(10), &mut control);
    proxy.sees("i1", 2, Health::Fine, 0);
    proxy.beat(at(11), &mut control);
    let known = control.leader.replica(&name("i1")).expect("announced");
    assert_eq!(known.address.port(), 1, "a second address waits until the first expires");
    proxy.sees("i9", 1, Health::Fine, 0);
    proxy.beat(at(12), &mut control);
    assert!(control.leader.replica(&name("i9")).is_none(), "the address is another's");
    let late = 10 + 10_000;
    proxy.sees("i1", 1, Health::Fine, 10_000);
    proxy.beat(at(late), &mut control);
    control.tick(at(late));
    assert!(
        control.leader.replica(&name("i1")).is_none(),
        "an instance that left leaves the table"
    );
}

#[test]
fn a_proxy_that_was_silent_for_long_is_forgotten_and_gets_no_lease_meanwhile() {
    use cactushatch::control::failover::Output;
    use cactushatch::control::leader::PROXY_RETENTION;
    use cactushatch::control::state::Action;
    let (mut control, mut proxy) = leading();
    let late = START + PROXY_RETENTION;
    let forget = Action::Forget { node: name("p") };
    assert_eq!(control.tick(late - Duration::from_millis(1)), []);
    assert_eq!(control.tick(late), [Output::Submit(forget.clone())]);
    assert_eq!(control.tick(late), [], "it is ordered once");
    let heartbeat = proxy.send(late);
    assert_eq!(control.heartbeat(late, &proxy.life.clone(), &heartbeat), None);
    control.commit(late, forget);
    control.tick(late);
    control.register(late, &proxy.life);
    let heartbeat = proxy.send(late);
    assert!(control.heartbeat(late, &proxy.life.clone(), &heartbeat).is_some());
}
