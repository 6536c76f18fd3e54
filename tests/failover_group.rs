//! When a primary is replaced, and by which instance.

mod machine;

use std::collections::BTreeSet;

use cactushatch::clock::Instant;
use cactushatch::config::Durability;
use cactushatch::control::failover::{
    ATTEMPT, DAMP, FAULTY, FRESH, Group, HANDOVER, Input, LINGER, Output, PAUSE, QUIET, REPEAT,
    SETTLE, View,
};
use cactushatch::control::state::{Action, Claim};
use cactushatch::id;
use cactushatch::upstream::position::Status;
use cactushatch::wire::{Epoch, Health, Phase, Role};
use machine::{at, epoch, group, name, status};

/// A group's machine with what it is told at each tick.
struct Rig {
    group: Group,
    epoch: Epoch,
    claim: Option<Claim>,
    fenced: bool,
    instances: usize,
    known: Vec<id::Instance>,
    durability: Durability,
    live: BTreeSet<id::Node>,
    draining: BTreeSet<id::Instance>,
}

impl Rig {
    fn new(epoch: Epoch) -> Self {
        Self {
            group: Group::new(at(0), group()),
            epoch,
            claim: None,
            fenced: false,
            instances: 3,
            known: ["i1", "i2", "i3"].map(name).into(),
            durability: Durability::Majority,
            live: ["p1", "p2", "p3"].map(name).into(),
            draining: BTreeSet::new(),
        }
    }

    fn active() -> Self {
        Self::new(epoch(1, "i1", Phase::Active, &[(1, 0)]))
    }

    /// A frozen epoch whose fence holds from `now` on.
    fn frozen(now: Instant, epoch: Epoch) -> Self {
        let mut rig = Self::new(epoch);
        rig.fenced = true;
        rig.tick(now);
        rig
    }

    fn probe(&mut self, asked: Instant, instance: &str, status: Status) {
        let seen = Ok(status);
        self.group.step(asked, Input::Probed { instance: name(instance), asked, seen });
    }

    fn fails(&mut self, now: Instant, instance: &str, trouble: Health) {
        let input = Input::Probed { instance: name(instance), asked: now, seen: Err(trouble) };
        self.group.step(now, input);
    }

    fn report(&mut self, now: Instant, node: &str, instance: &str, trouble: Health) {
        let (node, instance) = (name(node), name(instance));
        self.group.step(now, Input::Reported { node, instance, trouble });
    }

    fn all(&mut self, now: Instant, instance: &str, trouble: Health) {
        for node in ["p1", "p2", "p3"] {
            self.report(now, node, instance, trouble);
        }
    }

    fn tick(&mut self, now: Instant) -> Vec<Output> {
        let view = View {
            epoch: Some(&self.epoch),
            claim: self.claim.as_ref(),
            fenced: self.fenced,
            instances: self.instances,
            known: &self.known,
            durability: self.durability,
            live: &self.live,
            draining: &self.draining,
        };
        self.group.step(now, Input::Tick(view))
    }

    fn freezes(&mut self, now: Instant) -> bool {
        let freeze = Action::Freeze { group: group(), term: self.epoch.term };
        self.tick(now).contains(&Output::Submit(freeze))
    }

    /// Returns the instance that a term is reserved for, and that term.
    fn claims(&mut self, now: Instant) -> Option<(String, u64)> {
        self.tick(now).into_iter().find_map(|output| match output {
            Output::Submit(Action::Claim { term, primary, .. }) => {
                Some((primary.to_string(), term.0))
            }
            _ => None,
        })
    }

    fn claimed(&mut self, instance: &str, term: u64) {
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
fn a_crash_freezes_at_once() {
    let mut rig = Rig::active();
    rig.all(at(10), "i1", Health::Refused);
    assert!(rig.freezes(at(10)));
}

#[test]
fn the_link_of_one_proxy_replaces_no_primary() {
    let mut rig = Rig::active();
    rig.report(at(10), "p1", "i1", Health::Silent);
    assert!(!rig.freezes(at(10)), "others have not said anything");
    rig.probe(at(10), "i1", primary(1, 5, 0));
    assert!(!rig.freezes(at(10)), "and control reaches it");
    rig.report(at(11), "p2", "i1", Health::Fine);
    assert!(!rig.freezes(at(11)));
    rig.live = ["p1", "p2"].map(name).into();
    assert!(!rig.freezes(at(12)), "nor among two proxies, while control reaches it");
    rig.fails(at(13), "i1", Health::Silent);
    assert!(rig.freezes(at(13)), "two of three observers");
}

#[test]
fn half_of_the_proxies_are_too_few_without_control() {
    let mut rig = Rig::active();
    rig.live.insert(name("p4"));
    rig.probe(at(10), "i1", primary(1, 5, 0));
    for (node, trouble) in
        [("p1", Health::Silent), ("p2", Health::Silent), ("p3", Health::Fine), ("p4", Health::Fine)]
    {
        rig.report(at(10), node, "i1", trouble);
    }
    assert!(!rig.freezes(at(11)));
    rig.fails(at(12), "i1", Health::Silent);
    assert!(rig.freezes(at(12)));
}

#[test]
fn most_proxies_suffice_though_control_reaches_the_primary() {
    let mut rig = Rig::active();
    rig.probe(at(10), "i1", primary(1, 5, 0));
    rig.report(at(10), "p1", "i1", Health::Silent);
    rig.report(at(10), "p2", "i1", Health::Silent);
    rig.report(at(10), "p3", "i1", Health::Fine);
    assert!(rig.freezes(at(11)));
}

#[test]
fn evidence_counts_while_its_proxy_has_a_lease() {
    let mut rig = Rig::active();
    rig.report(at(10), "p1", "i1", Health::Fine);
    rig.report(at(10), "p2", "i1", Health::Silent);
    rig.report(at(10), "p3", "i1", Health::Silent);
    rig.report(at(10), "p4", "i1", Health::Silent);
    rig.live = ["p1", "p2"].map(name).into();
    assert!(!rig.freezes(at(11)), "one of two proxies with a lease");
}

#[test]
fn a_primary_cut_off_with_its_own_proxy_is_replaced_from_the_other_side() {
    let mut rig = Rig::active();
    rig.live = ["p1", "p2"].map(name).into();
    rig.report(at(10), "p1", "i1", Health::Fine);
    rig.report(at(1_000), "p2", "i1", Health::Silent);
    rig.fails(at(1_000), "i1", Health::Silent);
    assert!(rig.freezes(at(1_000)));
    let mut rig = Rig::active();
    rig.report(at(10), "p1", "i1", Health::Fine);
    rig.report(at(1_000), "p2", "i1", Health::Silent);
    rig.fails(at(1_000), "i1", Health::Silent);
    rig.live = ["p2"].map(name).into();
    assert!(rig.freezes(at(1_100)), "the cut proxy's lease has run out");
}

#[test]
fn errors_count_like_silence_after_a_while_and_exhausted_connections_are_no_crash() {
    let mut rig = Rig::active();
    rig.all(at(10), "i1", Health::Faulty);
    assert!(!rig.freezes(at(11)));
    rig.all(at(500), "i1", Health::Faulty);
    assert!(rig.freezes(at(10) + FAULTY));
    let full = cactushatch::pgsql::Error::Server { code: "53300".into(), message: String::new() };
    assert_eq!(cactushatch::upstream::position::trouble(&full), Health::Faulty);
}

#[test]
fn a_primary_that_says_it_is_none_is_replaced() {
    let mut rig = Rig::active();
    rig.tick(at(10));
    rig.all(at(10), "i1", Health::Fine);
    rig.probe(at(5), "i1", replica(0, 5, 0));
    assert!(!rig.freezes(at(11)), "it was asked before the epoch was in force");
    rig.probe(at(12), "i1", replica(1, 5, 0));
    assert!(rig.freezes(at(12)), "it came back as a replica");
    let mut rig = Rig::active();
    rig.tick(at(10));
    rig.probe(at(12), "i1", primary(0, 5, 0));
    assert!(rig.freezes(at(12)), "it came back with an older copy");
}

#[test]
fn a_position_that_was_read_before_the_fence_held_does_not_count() {
    let mut rig = Rig::new(epoch(1, "i1", Phase::Frozen, &[(1, 0)]));
    rig.probe(at(10), "i2", replica(1, 5, 0));
    rig.probe(at(10), "i3", replica(1, 6, 0));
    assert_eq!(rig.claims(at(11)), None, "the fence doesn't hold");
    rig.fenced = true;
    assert_eq!(rig.claims(at(12)), None);
    assert_eq!(rig.claims(at(13)), None, "both were read before the fence held");
    rig.probe(at(14), "i2", replica(1, 9, 0));
    rig.probe(at(14), "i3", replica(1, 6, 0));
    assert_eq!(rig.claims(at(14)), Some(("i2".into(), 2)));
}

#[test]
fn all_instances_are_asked_when_the_fence_holds() {
    let mut rig = Rig::new(epoch(1, "i1", Phase::Frozen, &[(1, 0)]));
    rig.fenced = true;
    let probed = rig.tick(at(10));
    assert_eq!(probed.len(), 3);
    assert!(probed.iter().all(|output| matches!(output, Output::Probe { .. })));
}

#[test]
fn too_few_readings_promote_nothing() {
    let mut rig = frozen_at(10);
    rig.probe(at(11), "i2", replica(1, 5, 0));
    assert_eq!(rig.claims(at(11)), None);
    assert_eq!(rig.claims(at(1_500)), None, "the other may hold an acknowledged write");
    rig.probe(at(1_600), "i3", replica(1, 6, 0));
    assert_eq!(rig.claims(at(1_600)), Some(("i3".into(), 2)));
}

#[test]
fn an_instance_too_many_asks_for_one_more_reading() {
    let mut rig = frozen_at(10);
    rig.known.push(name("liar"));
    rig.probe(at(11), "i2", replica(1, 5, 0));
    rig.probe(at(11), "liar", replica(1, 1, 0));
    assert_eq!(rig.claims(at(11)), None, "i3 may hold a write that i2 does not");
    rig.probe(at(12), "i3", replica(1, 6, 0));
    assert_eq!(rig.claims(at(12)), Some(("i3".into(), 2)));
}

#[test]
fn with_durability_primary_the_best_of_few_has_to_do_after_a_while() {
    let mut rig = frozen_at(10);
    rig.durability = Durability::Primary;
    rig.probe(at(11), "i2", replica(1, 5, 0));
    assert_eq!(rig.claims(at(11)), None);
    rig.probe(at(10) + SETTLE, "i2", replica(1, 5, 0));
    assert_eq!(rig.claims(at(10) + SETTLE), Some(("i2".into(), 2)));
}

#[test]
fn an_old_primary_with_a_higher_position_on_an_older_term_is_not_promoted() {
    let mut rig = Rig::frozen(at(10), epoch(3, "i1", Phase::Frozen, &[(1, 0), (3, 100)]));
    rig.probe(at(11), "i2", primary(1, 500, 0));
    rig.probe(at(11), "i3", replica(3, 110, 100));
    assert_eq!(rig.claims(at(11)), Some(("i3".into(), 4)));
}

#[test]
fn a_replica_that_took_a_term_over_without_its_history_is_not_preferred() {
    let mut rig = Rig::frozen(at(10), epoch(2, "i1", Phase::Frozen, &[(1, 0), (2, 100)]));
    // i2 follows the primary of term 2 and has not received up to its start yet.
    rig.probe(at(11), "i2", replica(2, 50, 100));
    rig.probe(at(11), "i3", replica(1, 90, 0));
    assert_eq!(rig.claims(at(11)), Some(("i3".into(), 3)));
}

#[test]
fn an_instance_off_the_history_counts_as_read_but_is_not_promoted() {
    let mut rig = Rig::frozen(at(10), epoch(3, "i1", Phase::Frozen, &[(1, 0), (2, 100), (3, 90)]));
    rig.probe(at(11), "i2", replica(1, 95, 0));
    rig.probe(at(11), "i3", replica(3, 60, 90));
    assert_eq!(rig.claims(at(11)), None, "i2 holds up to 90 of it, but something else beyond");
    rig.probe(at(12), "i3", replica(3, 90, 90));
    assert_eq!(rig.claims(at(12)), Some(("i3".into(), 4)));
}

#[test]
fn a_replica_that_proxies_cannot_use_is_not_promoted() {
    let mut rig = frozen_at(10);
    rig.all(at(10), "i3", Health::Silent);
    rig.probe(at(11), "i2", replica(1, 6, 0));
    rig.probe(at(11), "i3", replica(1, 6, 0));
    assert_eq!(rig.claims(at(11)), Some(("i2".into(), 2)));
}

#[test]
fn a_primary_that_heals_meanwhile_may_be_taken_again_under_a_new_term() {
    let mut rig = frozen_at(10);
    rig.probe(at(11), "i1", primary(1, 9, 0));
    rig.probe(at(11), "i2", replica(1, 6, 0));
    assert_eq!(rig.claims(at(11)), None, "i3 is waited for");
    rig.probe(at(10) + SETTLE, "i1", primary(1, 9, 0));
    assert_eq!(rig.claims(at(10) + SETTLE), Some(("i1".into(), 2)));
}

#[test]
fn a_primary_that_lost_its_copy_is_not_taken_again() {
    let mut rig = frozen_at(10);
    rig.probe(at(11), "i1", primary(0, 900, 0));
    rig.probe(at(11), "i2", replica(1, 6, 0));
    assert_eq!(rig.claims(at(10) + SETTLE), None);
}

#[test]
fn the_primarys_own_position_suffices_when_a_replica_has_reached_it() {
    let mut rig = frozen_at(10);
    rig.probe(at(11), "i1", primary(1, 9, 0));
    rig.probe(at(11), "i2", replica(1, 9, 0));
    assert_eq!(rig.claims(at(11)), Some(("i2".into(), 2)));
}

#[test]
fn a_reserved_term_is_tried_with_its_instance_only_then_another_term_is_taken() {
    let mut rig = frozen_at(10);
    rig.claimed("i2", 2);
    rig.probe(at(11), "i2", replica(1, 9, 0));
    rig.probe(at(11), "i3", replica(1, 5, 0));
    let promote = Output::Promote { instance: name("i2"), term: id::Term(2) };
    assert_eq!(rig.tick(at(11)), std::slice::from_ref(&promote));
    assert_eq!(rig.tick(at(12)), [], "it is not ordered twice at once");
    assert_eq!(rig.tick(at(11) + REPEAT), [promote]);
    let over = at(11) + ATTEMPT;
    rig.probe(over, "i2", replica(1, 9, 0));
    rig.probe(over, "i3", replica(1, 9, 0));
    let (_, term) = rig.claims(over).expect("a new choice");
    assert_eq!(term, 3, "no term is given twice");
    rig.claimed("i3", 3);
    rig.tick(over);
    rig.probe(over + ATTEMPT, "i2", replica(1, 9, 0));
    rig.probe(over + ATTEMPT, "i3", replica(1, 9, 0));
    assert_eq!(rig.claims(over + ATTEMPT), None, "the second attempt has twice the time");
}

#[test]
fn a_promotion_half_done_by_a_former_leader_is_ended() {
    let mut rig = frozen_at(10);
    rig.claimed("i2", 2);
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
fn a_term_that_an_instance_used_already_is_not_reserved() {
    let mut rig = frozen_at(10);
    rig.claimed("i2", 4);
    let over = at(10) + ATTEMPT;
    rig.tick(at(10));
    rig.probe(over, "i2", primary(7, 9, 9));
    rig.probe(over, "i3", replica(1, 5, 0));
    assert_eq!(rig.claims(over), Some(("i2".into(), 8)));
}

#[test]
fn a_flapping_network_moves_the_primary_ever_more_seldom() {
    let mut rig = Rig::active();
    rig.all(at(10), "i1", Health::Silent);
    assert!(rig.freezes(at(10)));
    let mut now = at(10);
    for (term, primary, wait) in [(2, "i2", DAMP), (3, "i1", DAMP * 2), (4, "i2", DAMP * 4)] {
        rig.epoch = epoch(term, primary, Phase::Active, &[(1, 0)]);
        rig.all(now, primary, Health::Silent);
        assert!(!rig.freezes(now + wait - std::time::Duration::from_millis(1)));
        now = now + wait;
        assert!(rig.freezes(now), "term {term} after {wait:?}");
    }
    rig.epoch = epoch(5, "i1", Phase::Active, &[(1, 0)]);
    now = now + DAMP * 8 + QUIET;
    rig.all(now, "i1", Health::Silent);
    assert!(rig.freezes(now));
    rig.epoch = epoch(6, "i2", Phase::Active, &[(1, 0)]);
    rig.all(now + DAMP, "i2", Health::Silent);
    assert!(rig.freezes(now + DAMP), "after a quiet time the waits begin anew");
}

#[test]
fn a_crash_waits_for_no_doubled_time() {
    let mut rig = Rig::active();
    for term in 1..6 {
        rig.epoch = epoch(term, "i1", Phase::Active, &[(1, 0)]);
        rig.all(at(2_000 * term), "i1", Health::Refused);
        assert!(rig.freezes(at(2_000 * term)), "term {term}");
    }
}

#[test]
fn strays_are_made_to_follow() {
    let mut rig = Rig::new(epoch(3, "i1", Phase::Active, &[(1, 0), (3, 9)]));
    rig.tick(at(5));
    rig.probe(at(10), "i1", primary(3, 9, 9));
    rig.probe(at(10), "i2", primary(2, 9, 9));
    rig.probe(at(10), "i3", replica(3, 9, 9));
    let follow = Output::Follow { instance: name("i2"), primary: name("i1"), term: id::Term(3) };
    assert_eq!(rig.tick(at(10)), [follow]);
    assert_eq!(rig.tick(at(11)), []);
}

/// A machine that has asked its drained primary to stop writes at 10 ms.
fn draining() -> Rig {
    let mut rig = Rig::active();
    rig.draining.insert(name("i1"));
    rig.all(at(1), "i1", Health::Fine);
    rig.probe(at(9), "i1", primary(1, 9, 0));
    rig.probe(at(9), "i2", replica(1, 7, 0));
    rig.probe(at(9), "i3", replica(1, 6, 0));
    let demote = Output::Demote { instance: name("i1"), term: id::Term(1) };
    assert_eq!(rig.tick(at(10)), [demote]);
    rig
}

#[test]
fn a_drained_primary_is_frozen_only_when_a_replica_has_all_of_it() {
    let mut rig = draining();
    assert_eq!(rig.tick(at(11)), [], "it is not asked twice");
    let last = replica(1, 10, 0);
    rig.group.step(at(12), Input::Demoted { instance: name("i1"), status: last });
    let probes = rig.tick(at(12));
    assert!(probes.iter().all(|output| matches!(output, Output::Probe { .. })));
    assert!(!probes.is_empty());
    rig.probe(at(13), "i2", replica(1, 10, 0));
    assert!(!rig.freezes(at(13)), "proxies are to hear first that the last writes are durable");
    assert!(rig.freezes(at(13) + LINGER));
    rig.epoch = epoch(1, "i1", Phase::Frozen, &[(1, 0)]);
    rig.fenced = true;
    rig.tick(at(30));
    rig.probe(at(31), "i1", replica(1, 10, 0));
    rig.probe(at(31), "i2", replica(1, 10, 0));
    assert_eq!(rig.claims(at(31)), Some(("i2".into(), 2)));
}

#[test]
fn a_hand_over_that_fails_is_undone_and_tried_again_later_and_later() {
    let mut rig = draining();
    let last = replica(1, 10, 0);
    rig.group.step(at(12), Input::Demoted { instance: name("i1"), status: last });
    let over = at(10) + HANDOVER;
    assert!(rig.freezes(over), "no replica has received it in time");
    rig.epoch = epoch(1, "i1", Phase::Frozen, &[(1, 0)]);
    rig.fenced = true;
    rig.tick(over);
    let settled = over + SETTLE;
    rig.probe(settled, "i1", replica(1, 10, 0));
    rig.probe(settled, "i2", replica(1, 7, 0));
    assert_eq!(rig.claims(settled), Some(("i1".into(), 2)), "it goes on under a new term");
    rig.epoch = epoch(2, "i1", Phase::Active, &[(1, 0), (2, 10)]);
    let asks = |rig: &mut Rig, now: Instant| {
        rig.probe(now, "i1", primary(2, 10, 10));
        rig.probe(now, "i2", replica(2, 10, 10));
        rig.probe(now, "i3", replica(2, 10, 10));
        rig.tick(now).iter().any(|output| matches!(output, Output::Demote { .. }))
    };
    rig.tick(settled);
    assert!(!asks(&mut rig, settled + PAUSE - std::time::Duration::from_millis(1)));
    assert!(asks(&mut rig, settled + PAUSE));
}

#[test]
fn a_primary_that_refuses_to_stop_goes_on_and_is_asked_again_later() {
    let mut rig = draining();
    rig.group.step(at(12), Input::Refused { instance: name("i1") });
    assert_eq!(rig.tick(at(10) + HANDOVER), [], "its epoch stays in force");
    let again = at(12) + PAUSE;
    rig.probe(again, "i2", replica(1, 9, 0));
    let demote = Output::Demote { instance: name("i1"), term: id::Term(1) };
    assert_eq!(rig.tick(again), [demote]);
}

#[test]
fn a_primary_is_not_handed_over_without_a_replica_that_stays() {
    let mut rig = Rig::active();
    rig.draining = ["i1", "i2", "i3"].map(name).into();
    rig.probe(at(9), "i2", replica(1, 9, 0));
    assert_eq!(rig.tick(at(10)), []);
}

#[test]
fn an_answer_older_than_the_newest_changes_nothing() {
    let mut rig = frozen_at(10);
    rig.probe(at(20), "i2", replica(1, 9, 0));
    rig.probe(at(11), "i2", replica(1, 2, 0));
    rig.probe(at(20), "i3", replica(1, 5, 0));
    assert_eq!(rig.claims(at(21)), Some(("i2".into(), 2)));
    let mut rig = frozen_at(10);
    rig.probe(at(11), "i2", replica(1, 9, 0));
    rig.probe(at(11), "i3", replica(1, 5, 0));
    assert_eq!(rig.claims(at(11) + FRESH), None, "they may have gone since");
}
