//! Tests when the failover state machine replaces a primary, and which instance it chooses.

mod machine;

use std::collections::BTreeSet;

use cactushatch::clock::Instant;
use cactushatch::config::Durability;
use cactushatch::control::failover::{
    DAMPING_DELAY, DAMPING_RESET, FAULTY_TIMEOUT, FREEZE_DELAY, Group, Input, MISSING_WAIT,
    ORDER_REPEAT, Output, PROBE_VALIDITY, PROMOTION_TIMEOUT, SWITCHOVER_RETRY_DELAY,
    SWITCHOVER_TIMEOUT, View,
};
use cactushatch::control::state::{Action, Claim};
use cactushatch::id;
use cactushatch::upstream::status::Status;
use cactushatch::wire::{Epoch, Health, Phase, Role};
use machine::{at, epoch, group, name, status};

/// A group's state machine with the inputs of its ticks.
struct Rig {
    group: Group,
    epoch: Epoch,
    claim: Option<Claim>,
    fenced: bool,
    declared_instances: usize,
    known_instances: Vec<id::Instance>,
    durability: Durability,
    live_proxies: BTreeSet<id::Node>,
    draining: BTreeSet<id::Instance>,
}

impl Rig {
    fn new(epoch: Epoch) -> Self {
        Self {
            group: Group::new(at(0), group()),
            epoch,
            claim: None,
            fenced: false,
            declared_instances: 3,
            known_instances: ["i1", "i2", "i3"].map(name).into(),
            durability: Durability::Majority,
            live_proxies: ["p1", "p2", "p3"].map(name).into(),
            draining: BTreeSet::new(),
        }
    }

    fn active() -> Self {
        Self::new(epoch(1, "i1", Phase::Active, &[(1, 0)]))
    }

    /// Creates a group with a frozen epoch whose fence holds from `now` on.
    fn frozen(now: Instant, epoch: Epoch) -> Self {
        let mut rig = Self::new(epoch);
        rig.fenced = true;
        rig.tick(now);
        rig
    }

    fn probe(&mut self, requested_at: Instant, instance: &str, status: Status) {
        let result = Ok(status);
        self.group
            .step(requested_at, Input::Probed { instance: name(instance), requested_at, result });
    }

    fn probe_fails(&mut self, now: Instant, instance: &str, health: Health) {
        let input =
            Input::Probed { instance: name(instance), requested_at: now, result: Err(health) };
        self.group.step(now, input);
    }

    fn report(&mut self, now: Instant, node: &str, instance: &str, health: Health) {
        let (node, instance) = (name(node), name(instance));
        self.group.step(now, Input::Reported { node, instance, health });
    }

    fn report_from_all(&mut self, now: Instant, instance: &str, health: Health) {
        for node in ["p1", "p2", "p3"] {
            self.report(now, node, instance, health);
        }
    }

    fn tick(&mut self, now: Instant) -> Vec<Output> {
        let view = View {
            epoch: Some(&self.epoch),
            claim: self.claim.as_ref(),
            fenced: self.fenced,
            declared_instances: self.declared_instances,
            known_instances: &self.known_instances,
            durability: self.durability,
            live_proxies: &self.live_proxies,
            draining: &self.draining,
        };
        self.group.step(now, Input::Tick(view))
    }

    fn freezes(&mut self, now: Instant) -> bool {
        let freeze = Action::Freeze { group: group(), term: self.epoch.term };
        self.tick(now).contains(&Output::Submit(freeze))
    }

    /// Returns the instance for which the tick reserves a term, and that term.
    fn claims(&mut self, now: Instant) -> Option<(String, u64)> {
        self.tick(now).into_iter().find_map(|output| match output {
            Output::Submit(Action::Claim { term, primary, .. }) => {
                Some((primary.to_string(), term.0))
            }
            _ => None,
        })
    }

    fn set_claim(&mut self, instance: &str, term: u64) {
        self.claim = Some(Claim { term: id::Term(term), primary: name(instance) });
    }
}

fn replica(term: u64, received: u64, start: u64) -> Status {
    status(Role::Replica, term, received, start)
}

fn primary(term: u64, received: u64, start: u64) -> Status {
    status(Role::Primary, term, received, start)
}

fn frozen_at(ms: u64) -> Rig {
    Rig::frozen(at(ms), epoch(1, "i1", Phase::Frozen, &[(1, 0)]))
}

#[test]
fn a_crashed_primary_is_frozen_at_once() {
    let mut rig = Rig::active();
    rig.report_from_all(at(10), "i1", Health::Refused);
    assert!(rig.freezes(at(10)));
}

#[test]
fn a_failure_that_a_single_observer_sees_does_not_replace_the_primary() {
    let mut rig = Rig::active();
    rig.report(at(10), "p1", "i1", Health::Silent);
    assert!(!rig.freezes(at(10)), "no other observer has reported");
    rig.probe(at(10), "i1", primary(1, 5, 0));
    assert!(!rig.freezes(at(10)), "control reaches the primary");
    rig.report(at(11), "p2", "i1", Health::Fine);
    assert!(!rig.freezes(at(11)));
    rig.live_proxies = ["p1", "p2"].map(name).into();
    assert!(!rig.freezes(at(12)), "one of two proxies, and control reaches the primary");
    rig.probe_fails(at(13), "i1", Health::Silent);
    assert!(rig.freezes(at(13)), "two of three observers see a failure");
}

#[test]
fn a_failure_that_half_of_the_proxies_see_replaces_the_primary_only_with_controls_own_probe() {
    let mut rig = Rig::active();
    rig.live_proxies.insert(name("p4"));
    rig.probe(at(10), "i1", primary(1, 5, 0));
    for (node, health) in
        [("p1", Health::Silent), ("p2", Health::Silent), ("p3", Health::Fine), ("p4", Health::Fine)]
    {
        rig.report(at(10), node, "i1", health);
    }
    assert!(!rig.freezes(at(11)));
    rig.probe_fails(at(12), "i1", Health::Silent);
    assert!(rig.freezes(at(12)));
}

#[test]
fn a_majority_of_proxies_suffices_even_if_control_reaches_the_primary() {
    let mut rig = Rig::active();
    rig.probe(at(10), "i1", primary(1, 5, 0));
    rig.report(at(10), "p1", "i1", Health::Silent);
    rig.report(at(10), "p2", "i1", Health::Silent);
    rig.report(at(10), "p3", "i1", Health::Fine);
    assert!(rig.freezes(at(11)));
}

#[test]
fn reports_of_proxies_without_a_lease_are_ignored() {
    let mut rig = Rig::active();
    rig.report(at(10), "p1", "i1", Health::Fine);
    rig.report(at(10), "p2", "i1", Health::Silent);
    rig.report(at(10), "p3", "i1", Health::Silent);
    rig.report(at(10), "p4", "i1", Health::Silent);
    rig.live_proxies = ["p1", "p2"].map(name).into();
    assert!(!rig.freezes(at(11)), "one of two proxies with a lease sees a failure");
}

#[test]
fn a_primary_partitioned_together_with_a_proxy_is_replaced_by_the_other_side() {
    let mut rig = Rig::active();
    rig.live_proxies = ["p1", "p2"].map(name).into();
    rig.report(at(10), "p1", "i1", Health::Fine);
    rig.report(at(1_000), "p2", "i1", Health::Silent);
    rig.probe_fails(at(1_000), "i1", Health::Silent);
    assert!(rig.freezes(at(1_000)));
    let mut rig = Rig::active();
    rig.report(at(10), "p1", "i1", Health::Fine);
    rig.report(at(1_000), "p2", "i1", Health::Silent);
    rig.probe_fails(at(1_000), "i1", Health::Silent);
    rig.live_proxies = ["p2"].map(name).into();
    assert!(rig.freezes(at(1_100)), "the lease of the partitioned proxy has expired");
}

#[test]
fn errors_count_as_a_failure_after_the_timeout_and_exhausted_connections_are_no_crash() {
    let mut rig = Rig::active();
    rig.report_from_all(at(10), "i1", Health::Faulty);
    assert!(!rig.freezes(at(11)));
    rig.report_from_all(at(500), "i1", Health::Faulty);
    assert!(rig.freezes(at(10) + FAULTY_TIMEOUT));
    let full = cactushatch::pgsql::Error::Server { code: "53300".into(), message: String::new() };
    assert_eq!(cactushatch::upstream::status::health(&full), Health::Faulty);
}

#[test]
fn a_primary_whose_own_status_contradicts_the_epoch_is_replaced() {
    let mut rig = Rig::active();
    rig.tick(at(10));
    rig.report_from_all(at(10), "i1", Health::Fine);
    rig.probe(at(5), "i1", replica(0, 5, 0));
    assert!(!rig.freezes(at(11)), "the instance was asked before the epoch was in force");
    rig.probe(at(12), "i1", replica(1, 5, 0));
    assert!(rig.freezes(at(12)), "the instance came back as a replica");
    let mut rig = Rig::active();
    rig.tick(at(10));
    rig.probe(at(12), "i1", primary(0, 5, 0));
    assert!(rig.freezes(at(12)), "the instance came back with an older copy");
}

#[test]
fn a_position_read_before_the_fence_held_is_ignored() {
    let mut rig = Rig::new(epoch(1, "i1", Phase::Frozen, &[(1, 0)]));
    rig.probe(at(10), "i2", replica(1, 5, 0));
    rig.probe(at(10), "i3", replica(1, 6, 0));
    assert_eq!(rig.claims(at(11)), None, "the fence doesn't hold yet");
    rig.fenced = true;
    assert_eq!(rig.claims(at(12)), None);
    assert_eq!(rig.claims(at(13)), None, "both positions were read before the fence held");
    rig.probe(at(14), "i2", replica(1, 9, 0));
    rig.probe(at(14), "i3", replica(1, 6, 0));
    assert_eq!(rig.claims(at(14)), Some(("i2".into(), 2)));
}

#[test]
fn all_instances_are_probed_when_the_fence_holds() {
    let mut rig = Rig::new(epoch(1, "i1", Phase::Frozen, &[(1, 0)]));
    rig.fenced = true;
    let probed = rig.tick(at(10));
    assert_eq!(probed.len(), 3);
    assert!(probed.iter().all(|output| matches!(output, Output::Probe { .. })));
}

#[test]
fn too_few_readings_promote_no_instance() {
    let mut rig = frozen_at(10);
    rig.probe(at(11), "i2", replica(1, 5, 0));
    assert_eq!(rig.claims(at(11)), None);
    assert_eq!(rig.claims(at(1_500)), None, "i3 may hold an acknowledged write");
    rig.probe(at(1_600), "i3", replica(1, 6, 0));
    assert_eq!(rig.claims(at(1_600)), Some(("i3".into(), 2)));
}

#[test]
fn an_undeclared_instance_raises_the_number_of_readings_required() {
    let mut rig = frozen_at(10);
    rig.known_instances.push(name("liar"));
    rig.probe(at(11), "i2", replica(1, 5, 0));
    rig.probe(at(11), "liar", replica(1, 1, 0));
    assert_eq!(rig.claims(at(11)), None, "i3 may hold a write that i2 doesn't");
    rig.probe(at(12), "i3", replica(1, 6, 0));
    assert_eq!(rig.claims(at(12)), Some(("i3".into(), 2)));
}

#[test]
fn with_durability_primary_the_best_of_the_available_replicas_is_promoted_after_the_wait() {
    let mut rig = frozen_at(10);
    rig.durability = Durability::Primary;
    rig.probe(at(11), "i2", replica(1, 5, 0));
    assert_eq!(rig.claims(at(11)), None);
    rig.probe(at(10) + MISSING_WAIT, "i2", replica(1, 5, 0));
    assert_eq!(rig.claims(at(10) + MISSING_WAIT), Some(("i2".into(), 2)));
}

#[test]
fn an_old_primary_with_a_higher_position_on_an_older_term_is_not_promoted() {
    let mut rig = Rig::frozen(at(10), epoch(3, "i1", Phase::Frozen, &[(1, 0), (3, 100)]));
    rig.probe(at(11), "i2", primary(1, 500, 0));
    rig.probe(at(11), "i3", replica(3, 110, 100));
    assert_eq!(rig.claims(at(11)), Some(("i3".into(), 4)));
}

#[test]
fn a_replica_that_adopted_a_term_without_its_history_is_not_preferred() {
    let mut rig = Rig::frozen(at(10), epoch(2, "i1", Phase::Frozen, &[(1, 0), (2, 100)]));
    // i2 follows the primary of term 2 but has not yet received the history up to the start of that term.
    rig.probe(at(11), "i2", replica(2, 50, 100));
    rig.probe(at(11), "i3", replica(1, 90, 0));
    assert_eq!(rig.claims(at(11)), Some(("i3".into(), 3)));
}

#[test]
fn a_diverged_instance_counts_as_read_but_is_not_promoted() {
    let mut rig = Rig::frozen(at(10), epoch(3, "i1", Phase::Frozen, &[(1, 0), (2, 100), (3, 90)]));
    rig.probe(at(11), "i2", replica(1, 95, 0));
    rig.probe(at(11), "i3", replica(3, 60, 90));
    assert_eq!(rig.claims(at(11)), None, "i2 holds the history up to 90 and other data beyond");
    rig.probe(at(12), "i3", replica(3, 90, 90));
    assert_eq!(rig.claims(at(12)), Some(("i3".into(), 4)));
}

#[test]
fn a_replica_that_proxies_cannot_use_is_not_promoted() {
    let mut rig = frozen_at(10);
    rig.report_from_all(at(10), "i3", Health::Silent);
    rig.probe(at(11), "i2", replica(1, 6, 0));
    rig.probe(at(11), "i3", replica(1, 6, 0));
    assert_eq!(rig.claims(at(11)), Some(("i2".into(), 2)));
}

#[test]
fn a_primary_that_recovers_meanwhile_may_be_promoted_again_under_a_new_term() {
    let mut rig = frozen_at(10);
    rig.probe(at(11), "i1", primary(1, 9, 0));
    rig.probe(at(11), "i2", replica(1, 6, 0));
    assert_eq!(rig.claims(at(11)), None, "i3 may still answer");
    rig.probe(at(10) + MISSING_WAIT, "i1", primary(1, 9, 0));
    assert_eq!(rig.claims(at(10) + MISSING_WAIT), Some(("i1".into(), 2)));
}

#[test]
fn a_primary_that_lost_its_data_is_not_promoted_again() {
    let mut rig = frozen_at(10);
    rig.probe(at(11), "i1", primary(0, 900, 0));
    rig.probe(at(11), "i2", replica(1, 6, 0));
    assert_eq!(rig.claims(at(10) + MISSING_WAIT), None);
}

#[test]
fn the_primarys_own_position_suffices_when_a_replica_has_reached_it() {
    let mut rig = frozen_at(10);
    rig.probe(at(11), "i1", primary(1, 9, 0));
    rig.probe(at(11), "i2", replica(1, 9, 0));
    assert_eq!(rig.claims(at(11)), Some(("i2".into(), 2)));
}

#[test]
fn after_a_promotion_timeout_a_new_term_is_reserved() {
    let mut rig = frozen_at(10);
    rig.set_claim("i2", 2);
    rig.probe(at(11), "i2", replica(1, 9, 0));
    rig.probe(at(11), "i3", replica(1, 5, 0));
    let promote = Output::Promote { instance: name("i2"), term: id::Term(2) };
    assert_eq!(rig.tick(at(11)), std::slice::from_ref(&promote));
    assert_eq!(rig.tick(at(12)), [], "the order is not repeated at once");
    assert_eq!(rig.tick(at(11) + ORDER_REPEAT), [promote]);
    let expired = at(11) + PROMOTION_TIMEOUT;
    rig.probe(expired, "i2", replica(1, 9, 0));
    rig.probe(expired, "i3", replica(1, 9, 0));
    let (_, term) = rig.claims(expired).expect("a new claim");
    assert_eq!(term, 3, "a term is not reserved twice");
    rig.set_claim("i3", 3);
    rig.tick(expired);
    rig.probe(expired + PROMOTION_TIMEOUT, "i2", replica(1, 9, 0));
    rig.probe(expired + PROMOTION_TIMEOUT, "i3", replica(1, 9, 0));
    assert_eq!(
        rig.claims(expired + PROMOTION_TIMEOUT),
        None,
        "the second attempt has twice the timeout"
    );
}

#[test]
fn a_promotion_started_by_a_former_leader_is_completed() {
    let mut rig = frozen_at(10);
    rig.set_claim("i2", 2);
    rig.probe(at(11), "i2", primary(2, 9, 9));
    let promoted = Action::Promote {
        group: group(),
        term: id::Term(2),
        primary: name("i2"),
        start: id::Position(9),
    };
    assert_eq!(rig.tick(at(11)), [Output::Submit(promoted)]);
}

#[test]
fn a_term_that_an_instance_has_already_adopted_is_not_reserved() {
    let mut rig = frozen_at(10);
    rig.set_claim("i2", 4);
    let expired = at(10) + PROMOTION_TIMEOUT;
    rig.tick(at(10));
    rig.probe(expired, "i2", primary(7, 9, 9));
    rig.probe(expired, "i3", replica(1, 5, 0));
    assert_eq!(rig.claims(expired), Some(("i2".into(), 8)));
}

#[test]
fn failovers_in_short_succession_are_delayed_with_exponential_backoff() {
    let mut rig = Rig::active();
    rig.report_from_all(at(10), "i1", Health::Silent);
    assert!(rig.freezes(at(10)));
    let mut now = at(10);
    for (term, primary, delay) in
        [(2, "i2", DAMPING_DELAY), (3, "i1", DAMPING_DELAY * 2), (4, "i2", DAMPING_DELAY * 4)]
    {
        rig.epoch = epoch(term, primary, Phase::Active, &[(1, 0)]);
        rig.report_from_all(now, primary, Health::Silent);
        assert!(!rig.freezes(now + delay - std::time::Duration::from_millis(1)));
        now = now + delay;
        assert!(rig.freezes(now), "term {term} after {delay:?}");
    }
    rig.epoch = epoch(5, "i1", Phase::Active, &[(1, 0)]);
    now = now + DAMPING_DELAY * 8 + DAMPING_RESET;
    rig.report_from_all(now, "i1", Health::Silent);
    assert!(rig.freezes(now));
    rig.epoch = epoch(6, "i2", Phase::Active, &[(1, 0)]);
    rig.report_from_all(now + DAMPING_DELAY, "i2", Health::Silent);
    assert!(rig.freezes(now + DAMPING_DELAY), "after a quiet period the backoff is reset");
}

#[test]
fn a_crash_is_not_delayed_by_the_backoff() {
    let mut rig = Rig::active();
    for term in 1..6 {
        rig.epoch = epoch(term, "i1", Phase::Active, &[(1, 0)]);
        rig.report_from_all(at(2_000 * term), "i1", Health::Refused);
        assert!(rig.freezes(at(2_000 * term)), "term {term}");
    }
}

#[test]
fn an_instance_on_another_term_is_ordered_to_follow_the_primary() {
    let mut rig = Rig::new(epoch(3, "i1", Phase::Active, &[(1, 0), (3, 9)]));
    rig.tick(at(5));
    rig.probe(at(10), "i1", primary(3, 9, 9));
    rig.probe(at(10), "i2", primary(2, 9, 9));
    rig.probe(at(10), "i3", replica(3, 9, 9));
    let follow = Output::Follow { instance: name("i2"), primary: name("i1"), term: id::Term(3) };
    assert_eq!(rig.tick(at(10)), [follow]);
    assert_eq!(rig.tick(at(11)), []);
}

/// Creates a group that ordered its drained primary to stop writes at 10 ms.
fn draining() -> Rig {
    let mut rig = Rig::active();
    rig.draining.insert(name("i1"));
    rig.report_from_all(at(1), "i1", Health::Fine);
    rig.probe(at(9), "i1", primary(1, 9, 0));
    rig.probe(at(9), "i2", replica(1, 7, 0));
    rig.probe(at(9), "i3", replica(1, 6, 0));
    let demote = Output::Demote { instance: name("i1"), term: id::Term(1) };
    assert_eq!(rig.tick(at(10)), [demote]);
    rig
}

#[test]
fn a_drained_primary_is_frozen_only_after_a_replica_has_caught_up() {
    let mut rig = draining();
    assert_eq!(rig.tick(at(11)), [], "the order is not repeated");
    let last = replica(1, 10, 0);
    rig.group.step(at(12), Input::Demoted { instance: name("i1"), status: last });
    let probes = rig.tick(at(12));
    assert!(probes.iter().all(|output| matches!(output, Output::Probe { .. })));
    assert!(!probes.is_empty());
    rig.probe(at(13), "i2", replica(1, 10, 0));
    assert!(!rig.freezes(at(13)), "proxies must learn first that the last writes are durable");
    assert!(rig.freezes(at(13) + FREEZE_DELAY));
    rig.epoch = epoch(1, "i1", Phase::Frozen, &[(1, 0)]);
    rig.fenced = true;
    rig.tick(at(30));
    rig.probe(at(31), "i1", replica(1, 10, 0));
    rig.probe(at(31), "i2", replica(1, 10, 0));
    assert_eq!(rig.claims(at(31)), Some(("i2".into(), 2)));
}

#[test]
fn a_failed_switchover_is_undone_and_retried_after_a_delay() {
    let mut rig = draining();
    let last = replica(1, 10, 0);
    rig.group.step(at(12), Input::Demoted { instance: name("i1"), status: last });
    let expired = at(10) + SWITCHOVER_TIMEOUT;
    assert!(rig.freezes(expired), "no replica has received the final position in time");
    rig.epoch = epoch(1, "i1", Phase::Frozen, &[(1, 0)]);
    rig.fenced = true;
    rig.tick(expired);
    let waited = expired + MISSING_WAIT;
    rig.probe(waited, "i1", replica(1, 10, 0));
    rig.probe(waited, "i2", replica(1, 7, 0));
    assert_eq!(
        rig.claims(waited),
        Some(("i1".into(), 2)),
        "the primary continues under a new term"
    );
    rig.epoch = epoch(2, "i1", Phase::Active, &[(1, 0), (2, 10)]);
    let demotes = |rig: &mut Rig, now: Instant| {
        rig.probe(now, "i1", primary(2, 10, 10));
        rig.probe(now, "i2", replica(2, 10, 10));
        rig.probe(now, "i3", replica(2, 10, 10));
        rig.tick(now).iter().any(|output| matches!(output, Output::Demote { .. }))
    };
    rig.tick(waited);
    assert!(!demotes(
        &mut rig,
        waited + SWITCHOVER_RETRY_DELAY - std::time::Duration::from_millis(1)
    ));
    assert!(demotes(&mut rig, waited + SWITCHOVER_RETRY_DELAY));
}

#[test]
fn a_primary_that_refuses_to_stop_writes_continues_and_is_ordered_again_later() {
    let mut rig = draining();
    rig.group.step(at(12), Input::DemotionRefused { instance: name("i1") });
    assert_eq!(rig.tick(at(10) + SWITCHOVER_TIMEOUT), [], "the epoch stays in force");
    let retry = at(12) + SWITCHOVER_RETRY_DELAY;
    rig.probe(retry, "i2", replica(1, 9, 0));
    let demote = Output::Demote { instance: name("i1"), term: id::Term(1) };
    assert_eq!(rig.tick(retry), [demote]);
}

#[test]
fn a_drained_primary_is_not_demoted_if_all_replicas_are_drained() {
    let mut rig = Rig::active();
    rig.draining = ["i1", "i2", "i3"].map(name).into();
    rig.probe(at(9), "i2", replica(1, 9, 0));
    assert_eq!(rig.tick(at(10)), []);
}

#[test]
fn only_the_newest_probe_counts_and_only_while_it_is_valid() {
    let mut rig = frozen_at(10);
    rig.probe(at(20), "i2", replica(1, 9, 0));
    rig.probe(at(11), "i2", replica(1, 2, 0));
    rig.probe(at(20), "i3", replica(1, 5, 0));
    assert_eq!(rig.claims(at(21)), Some(("i2".into(), 2)));
    let mut rig = frozen_at(10);
    rig.probe(at(11), "i2", replica(1, 9, 0));
    rig.probe(at(11), "i3", replica(1, 5, 0));
    assert_eq!(rig.claims(at(11) + PROBE_VALIDITY), None, "the instances may have failed since");
}
