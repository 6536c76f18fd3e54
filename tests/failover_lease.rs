//! Leases and the write fence: when a leader may conclude that no proxy releases answers of an older epoch any more.

mod machine;

use std::time::Duration;

use cactushatch::control::lease::{
    CLOCK_MARGIN, CONFIRMATION_VALIDITY, INHERITED_LEASE_WAIT, LEASE_DURATION,
};
use cactushatch::control::state::State;
use cactushatch::id;
use cactushatch::wire::Health;
use machine::{Control, Proxy, START, at, group, name};

/// Returns a leader and a proxy that holds a lease and the table. The first epoch of the group is in force.
fn leader_and_proxy() -> (Control, Proxy) {
    let mut control = Control::elected(START, State::default(), 1);
    let mut proxy = Proxy::new("p", 1);
    control.promote_first(START, "i1");
    control.register(START, &proxy.holder);
    proxy.exchange_heartbeat(START, &mut control);
    proxy.exchange_heartbeat(START, &mut control);
    assert!(proxy.may_release(START, 1));
    (control, proxy)
}

#[test]
fn the_fence_holds_as_soon_as_every_proxy_has_acknowledged_the_freeze() {
    let (mut control, mut proxy) = leader_and_proxy();
    control.freeze(at(10));
    assert!(!control.is_fenced(at(10)));
    proxy.exchange_heartbeat(at(11), &mut control);
    assert!(
        !control.is_fenced(at(11)),
        "the proxy has the frozen epoch but has not acknowledged it"
    );
    proxy.exchange_heartbeat(at(12), &mut control);
    assert!(control.is_fenced(at(12)));
    assert!(!proxy.may_release(at(12), 1));
}

#[test]
fn without_an_acknowledgement_the_fence_holds_only_after_the_lease_and_the_clock_margin() {
    let (mut control, mut proxy) = leader_and_proxy();
    let frozen = START + INHERITED_LEASE_WAIT;
    proxy.exchange_heartbeat(frozen, &mut control);
    control.freeze(frozen);
    let end = frozen + LEASE_DURATION;
    assert!(proxy.may_release(end - Duration::from_millis(1), 1));
    assert!(!proxy.may_release(end, 1));
    assert!(!control.is_fenced(end + CLOCK_MARGIN - Duration::from_millis(1)));
    assert!(control.is_fenced(end + CLOCK_MARGIN));
}

#[test]
fn a_new_leader_waits_for_every_registered_proxy_or_until_inherited_leases_have_expired() {
    let (old, mut isolated) = leader_and_proxy();
    let mut other = Proxy::new("q", 1);
    let mut state = old.state;
    state.nodes.insert(name("q"), (id::Incarnation(1), name("b")));
    let mut new = Control::elected(at(100), state, 2);
    new.freeze(at(100));
    other.exchange_heartbeat(at(101), &mut new);
    other.exchange_heartbeat(at(102), &mut new);
    assert!(
        isolated.may_release(at(102), 1),
        "the isolated proxy still holds a lease of the old leader"
    );
    assert!(!new.is_fenced(at(102)));
    assert!(!new.is_fenced(at(100) + INHERITED_LEASE_WAIT - Duration::from_millis(1)));
    assert!(new.is_fenced(at(100) + INHERITED_LEASE_WAIT));
    isolated.exchange_heartbeat(at(103), &mut new);
    isolated.exchange_heartbeat(at(104), &mut new);
    assert!(new.is_fenced(at(104)), "every proxy has acknowledged the table of the new leader");
}

#[test]
fn a_leader_whose_confirmation_has_expired_grants_no_lease() {
    let (mut control, mut proxy) = leader_and_proxy();
    let limit = START + CONFIRMATION_VALIDITY;
    let heartbeat = proxy.send_heartbeat(limit);
    let decided = (&control.state, control.stamp);
    let grant = control.leader.handle_heartbeat(limit, proxy.holder.clone(), &heartbeat, decided);
    assert!(grant.is_some());
    let expired = limit + Duration::from_millis(1);
    let heartbeat = proxy.send_heartbeat(expired);
    let grant = control.leader.handle_heartbeat(expired, proxy.holder.clone(), &heartbeat, decided);
    assert!(grant.is_none());
}

#[test]
fn leases_of_a_replaced_leader_expire_before_its_successor_stops_waiting_for_them() {
    let (mut old, mut proxy) = leader_and_proxy();
    // A majority last confirmed the old leader in a round that was sent before the new leader was elected.
    let elected = START;
    let last = elected + CONFIRMATION_VALIDITY;
    let heartbeat = proxy.send_heartbeat(last);
    let decided = (&old.state, old.stamp);
    let grant = old.leader.handle_heartbeat(last, proxy.holder.clone(), &heartbeat, decided);
    proxy.fence.step(grant.expect("the confirmation is valid up to this moment"));
    assert!(!proxy.may_release(elected + INHERITED_LEASE_WAIT, 1));
}

#[test]
fn an_acknowledgement_to_another_leader_does_not_count() {
    let (mut old, mut proxy) = leader_and_proxy();
    for ms in 1..20 {
        // Each change adds a version to the table of the old leader.
        old.state.draining.insert(name("i1"));
        proxy.observe("i1", 1, Health::Fine, 0);
        old.register(at(ms), &(name(&format!("n{ms}")), id::Incarnation(1)));
        proxy.exchange_heartbeat(at(ms), &mut old);
    }
    let mut state = State::default();
    state.nodes.insert(name("p"), (id::Incarnation(1), name("a")));
    state.epochs = old.state.epochs.clone();
    let mut new = Control::elected(at(20), state, 2);
    new.freeze(at(20));
    let heartbeat = proxy.send_heartbeat(at(21));
    assert!(heartbeat.table > new.leader.version());
    let grant = new.handle_heartbeat(at(21), &proxy.holder.clone(), &heartbeat).expect("a grant");
    assert!(!new.is_fenced(at(21)));
    assert!(
        grant.delta.as_ref().is_some_and(|delta| delta.since == 0),
        "the proxy gets the whole table"
    );
    proxy.fence.step(grant);
    proxy.exchange_heartbeat(at(22), &mut new);
    assert!(new.is_fenced(at(22)));
}

#[test]
fn a_leader_grants_no_lease_to_a_proxy_that_knows_a_later_leader() {
    let (mut old, mut proxy) = leader_and_proxy();
    let mut new = Control::elected(at(5), old.state.clone(), 2);
    proxy.exchange_heartbeat(at(6), &mut new);
    let heartbeat = proxy.send_heartbeat(at(7));
    assert_eq!(old.handle_heartbeat(at(7), &proxy.holder.clone(), &heartbeat), None);
}

#[test]
fn a_proxy_ignores_a_grant_of_a_replaced_leader() {
    let (mut old, mut proxy) = leader_and_proxy();
    let heartbeat = proxy.send_heartbeat(at(5));
    let delayed = old.handle_heartbeat(at(5), &proxy.holder.clone(), &heartbeat).expect("a grant");
    let mut new = Control::elected(at(6), old.state.clone(), 2);
    new.freeze(at(6));
    proxy.exchange_heartbeat(at(7), &mut new);
    proxy.fence.step(delayed);
    assert!(!proxy.may_release(at(8), 1));
    assert_eq!(proxy.fence.newest().0.term, id::Term(2));
}

#[test]
fn a_late_or_repeated_heartbeat_reverts_no_acknowledgement_and_no_observation() {
    let (mut control, mut proxy) = leader_and_proxy();
    proxy.observe("i1", 1, Health::Fine, 0);
    let delayed = proxy.send_heartbeat(at(9));
    control.freeze(at(10));
    proxy.observations.clear();
    proxy.exchange_heartbeat(at(11), &mut control);
    proxy.exchange_heartbeat(at(12), &mut control);
    assert!(control.is_fenced(at(12)));
    for _ in 0..2 {
        control.handle_heartbeat(at(13), &proxy.holder.clone(), &delayed);
        assert!(control.is_fenced(at(13)));
    }
    assert!(control.leader.replica(&name("i1")).is_none(), "the older observation is ignored");
}

#[test]
fn a_lease_starts_when_the_answered_heartbeat_was_sent() {
    let (mut control, mut proxy) = leader_and_proxy();
    let heartbeat = proxy.send_heartbeat(at(10));
    let grant =
        control.handle_heartbeat(at(10), &proxy.holder.clone(), &heartbeat).expect("a grant");
    proxy.fence.step(grant);
    assert!(!proxy.may_release(at(10) + LEASE_DURATION, 1));
    let pushed = control.leader.table_updates(START, control.stamp, id::Revision(0));
    for (_, grant) in pushed {
        proxy.fence.step(grant);
    }
    assert!(
        !proxy.may_release(at(10) + LEASE_DURATION, 1),
        "a pushed table does not renew the lease"
    );
}

#[test]
fn a_grant_for_an_earlier_incarnation_of_a_proxy_is_ignored() {
    let (mut control, _) = leader_and_proxy();
    let mut first = Proxy::new("q", 1);
    control.register(at(9), &first.holder);
    let heartbeat = first.send_heartbeat(at(10));
    let delayed =
        control.handle_heartbeat(at(10), &first.holder.clone(), &heartbeat).expect("a grant");
    let mut second = Proxy::new("q", 2);
    assert_eq!(second.send_heartbeat(at(900)).sequence, heartbeat.sequence);
    second.fence.step(delayed);
    assert!(!second.may_release(at(900), 1));
    assert!(
        !second.may_release(at(10) + LEASE_DURATION, 1),
        "the lease would start at a heartbeat of the earlier incarnation"
    );
}

#[test]
fn the_fence_waits_for_an_earlier_incarnation_that_still_runs() {
    let (mut control, first) = leader_and_proxy();
    let mut second = Proxy::new("p", 2);
    control.register(at(10), &second.holder);
    control.freeze(at(10));
    second.exchange_heartbeat(at(11), &mut control);
    second.exchange_heartbeat(at(12), &mut control);
    assert!(first.may_release(at(12), 1), "the first process still runs beside its successor");
    assert!(!control.is_fenced(at(12)));
    assert!(control.is_fenced(START + LEASE_DURATION + CLOCK_MARGIN));
}

#[test]
fn the_loss_of_a_proxy_with_the_primary_leaves_time_for_a_promotion_within_a_second() {
    /// How long writes may be refused during a failover.
    const MAX_FAILOVER_GAP: Duration = Duration::from_millis(1_000);
    /// The time to detect the failure of the primary, read the positions, promote, and distribute the epoch.
    const PROMOTION_TIME: Duration = Duration::from_millis(175);
    let (mut control, mut proxy) = leader_and_proxy();
    let killed = START + INHERITED_LEASE_WAIT;
    proxy.exchange_heartbeat(killed, &mut control);
    control.freeze(killed);
    assert!(
        !control.is_fenced(killed + LEASE_DURATION),
        "the proxy may release answers until its lease expires"
    );
    assert!(control.is_fenced(killed + MAX_FAILOVER_GAP - PROMOTION_TIME));
}

#[test]
fn an_earlier_incarnation_gets_no_further_lease() {
    let (mut control, mut first) = leader_and_proxy();
    control.register(at(10), &(name("p"), id::Incarnation(2)));
    let heartbeat = first.send_heartbeat(at(11));
    assert_eq!(control.handle_heartbeat(at(11), &first.holder.clone(), &heartbeat), None);
}

#[test]
fn an_unregistered_proxy_gets_no_lease() {
    let mut control = Control::elected(START, State::default(), 1);
    let mut proxy = Proxy::new("p", 1);
    let heartbeat = proxy.send_heartbeat(START);
    assert_eq!(control.handle_heartbeat(START, &proxy.holder.clone(), &heartbeat), None);
}

#[test]
fn a_proxy_paused_beyond_its_lease_releases_nothing_until_it_has_the_current_table() {
    let (mut control, mut proxy) = leader_and_proxy();
    let heartbeat = proxy.send_heartbeat(at(10));
    let queued =
        control.handle_heartbeat(at(10), &proxy.holder.clone(), &heartbeat).expect("a grant");
    control.freeze(at(20));
    let resumed = at(30) + INHERITED_LEASE_WAIT;
    assert!(control.is_fenced(resumed));
    assert!(!proxy.may_release(resumed, 1));
    proxy.fence.step(queued);
    assert!(
        !proxy.may_release(resumed, 1),
        "the lease of the queued grant starts when its heartbeat was sent"
    );
    proxy.exchange_heartbeat(resumed, &mut control);
    assert!(!proxy.may_release(resumed, 1));
}

#[test]
fn an_unrelated_table_change_does_not_revert_the_fence() {
    let (mut control, mut proxy) = leader_and_proxy();
    control.freeze(at(10));
    proxy.exchange_heartbeat(at(11), &mut control);
    proxy.exchange_heartbeat(at(12), &mut control);
    proxy.observe("i1", 1, Health::Fine, 0);
    proxy.exchange_heartbeat(at(13), &mut control);
    control.tick(at(14));
    assert!(
        control.is_fenced(at(14)),
        "the table has a newer version but the phase of the group is unchanged"
    );
}

#[test]
fn a_proxy_ignores_a_delta_if_it_lacks_the_versions_before_it() {
    let (mut control, mut proxy) = leader_and_proxy();
    proxy.observe("i1", 1, Health::Fine, 0);
    let heartbeat = proxy.send_heartbeat(at(10));
    let mut grant =
        control.handle_heartbeat(at(10), &proxy.holder.clone(), &heartbeat).expect("a grant");
    control.freeze(at(11));
    let mut pushed =
        control.leader.table_updates(START, control.stamp, id::Revision(0)).remove(0).1;
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
        !proxy.may_release(at(9) + LEASE_DURATION, 1),
        "a grant renews the lease only together with its table"
    );
}

#[test]
fn a_delta_contains_only_changed_groups() {
    let mut control = Control::elected(START, State::default(), 1);
    control.promote_first(START, "i1");
    let mut proxy = Proxy::new("p", 1);
    control.register(START, &proxy.holder);
    proxy.exchange_heartbeat(START, &mut control);
    let other: id::Group = name("h");
    let promote = cactushatch::control::state::Action::Promote {
        group: other.clone(),
        term: id::Term(1),
        primary: name("j1"),
        start: id::Position(0),
    };
    control.commit(at(1), promote);
    let heartbeat = proxy.send_heartbeat(at(2));
    let grant =
        control.handle_heartbeat(at(2), &proxy.holder.clone(), &heartbeat).expect("a grant");
    let routes = grant.delta.as_ref().map(|delta| delta.routes.clone()).unwrap_or_default();
    assert_eq!(routes.iter().map(|route| &route.group).collect::<Vec<_>>(), [&other]);
    proxy.fence.step(grant);
    assert!(proxy.fence.epoch(&group()).is_some() && proxy.fence.epoch(&other).is_some());
}

#[test]
fn announcements_expire_and_do_not_override_each_other() {
    let (mut control, mut proxy) = leader_and_proxy();
    proxy.observe("i1", 1, Health::Fine, 0);
    proxy.exchange_heartbeat(at(10), &mut control);
    proxy.observe("i1", 2, Health::Fine, 0);
    proxy.exchange_heartbeat(at(11), &mut control);
    let known = control.leader.replica(&name("i1")).expect("the instance is announced");
    assert_eq!(
        known.address.port(),
        1,
        "a second address is used only after the first has expired"
    );
    proxy.observe("i9", 1, Health::Fine, 0);
    proxy.exchange_heartbeat(at(12), &mut control);
    assert!(
        control.leader.replica(&name("i9")).is_none(),
        "the address belongs to another instance"
    );
    let expired = 10 + 10_000;
    proxy.observe("i1", 1, Health::Fine, 10_000);
    proxy.exchange_heartbeat(at(expired), &mut control);
    control.tick(at(expired));
    assert!(
        control.leader.replica(&name("i1")).is_none(),
        "an instance whose announcement expired is removed from the table"
    );
}

#[test]
fn a_proxy_is_removed_after_the_retention_period_and_gets_no_lease_meanwhile() {
    use cactushatch::control::failover::Output;
    use cactushatch::control::leader::PROXY_RETENTION;
    use cactushatch::control::state::Action;
    let (mut control, mut proxy) = leader_and_proxy();
    let expired = START + PROXY_RETENTION;
    let removal = Action::Forget { node: name("p") };
    assert_eq!(control.tick(expired - Duration::from_millis(1)), []);
    assert_eq!(control.tick(expired), [Output::Submit(removal.clone())]);
    assert_eq!(control.tick(expired), [], "the removal is submitted only once");
    let heartbeat = proxy.send_heartbeat(expired);
    assert_eq!(control.handle_heartbeat(expired, &proxy.holder.clone(), &heartbeat), None);
    control.commit(expired, removal);
    control.tick(expired);
    control.register(expired, &proxy.holder);
    let heartbeat = proxy.send_heartbeat(expired);
    assert!(control.handle_heartbeat(expired, &proxy.holder.clone(), &heartbeat).is_some());
}
