//! Tests the failover of groups whose instances an outside service promotes: which steps run before the leases have
//! expired, and which wait for that.

mod machine;

use std::collections::BTreeSet;

use cactushatch::clock::Instant;
use cactushatch::config::Durability;
use cactushatch::control::failover::{
    Group, Input, OUTSIDE_ORDER_REPEAT, OUTSIDE_PROMOTION_TIMEOUT, Output, View,
};
use cactushatch::control::state::{Action, Claim};
use cactushatch::id;
use cactushatch::upstream::status::Status;
use cactushatch::wire::{Epoch, Health, Phase, Role};
use machine::{at, epoch, group, name, status};

/// A frozen group with the primary `i1` and two replicas, and the inputs of its ticks.
struct Rig {
    group: Group,
    epoch: Epoch,
    claim: Option<Claim>,
    fenced: bool,
    known_instances: Vec<id::Instance>,
    live_proxies: BTreeSet<id::Node>,
}

impl Rig {
    fn frozen() -> Self {
        let mut machine = Group::new(at(0), group());
        machine.set_promoted_outside(true);
        let mut rig = Self {
            group: machine,
            epoch: epoch(3, "i1", Phase::Active, &[(3, 0)]),
            claim: None,
            fenced: false,
            known_instances: ["i1", "i2", "i3"].map(name).into(),
            live_proxies: BTreeSet::new(),
        };
        rig.tick(Instant(0));
        rig.epoch.phase = Phase::Frozen;
        rig
    }

    fn tick(&mut self, now: Instant) -> Vec<Output> {
        let draining = BTreeSet::new();
        let view = View {
            epoch: Some(&self.epoch),
            claim: self.claim.as_ref(),
            fenced: self.fenced,
            declared_instances: 3,
            known_instances: &self.known_instances,
            durability: Durability::Majority,
            live_proxies: &self.live_proxies,
            draining: &draining,
        };
        self.group.step(now, Input::Tick(view))
    }

    fn report_paused(&mut self, now: Instant, instance: &str, received: u64) {
        let status = status(Role::Replica, 3, received, 0);
        self.group.step(now, Input::Paused { instance: name(instance), status });
    }

    fn probe(&mut self, now: Instant, instance: &str, status: Status) {
        let result = Ok(status);
        self.group.step(now, Input::Probed { instance: name(instance), requested_at: now, result });
    }

    /// Proxies can't connect to the primary, whose process has ended.
    fn crash_primary(&mut self) {
        for node in ["p1", "p2"].map(name) {
            self.live_proxies.insert(id::Node::clone(&node));
            let (instance, health) = (name("i1"), Health::Refused);
            self.group.step(at(5), Input::Reported { node, instance, health });
        }
    }

    fn set_claim(&mut self, instance: &str) {
        self.claim = Some(Claim { term: id::Term(4), primary: name(instance) });
    }
}

fn pause(instance: &str) -> Output {
    Output::Pause { instance: name(instance), term: id::Term(4) }
}

fn claim(instance: &str) -> Output {
    let primary = name(instance);
    Output::Submit(Action::Claim { group: group(), term: id::Term(4), primary })
}

fn adopts(outputs: &[Output]) -> bool {
    outputs.iter().any(|output| matches!(output, Output::Submit(Action::Adopt { .. })))
}

#[test]
fn replicas_are_paused_and_the_most_advanced_is_chosen_before_the_leases_expire() {
    let mut rig = Rig::frozen();
    rig.crash_primary();
    assert_eq!(rig.tick(at(10)), [pause("i2"), pause("i3")]);
    assert!(rig.tick(at(20)).is_empty(), "the orders are not repeated at once");
    rig.report_paused(at(30), "i2", 7);
    assert!(rig.tick(at(30)).is_empty(), "i3 may hold more");
    rig.report_paused(at(40), "i3", 9);
    assert_eq!(rig.tick(at(40)), [claim("i3")]);
}

/// A primary that only control can't reach goes on, and so may a replica that has joined and isn't known yet.
#[test]
fn no_instance_is_chosen_before_the_fence_while_the_primary_may_run() {
    let mut rig = Rig::frozen();
    rig.tick(at(10));
    rig.report_paused(at(20), "i2", 7);
    rig.report_paused(at(20), "i3", 9);
    for ms in (20..1_500).step_by(10) {
        assert!(rig.tick(at(ms)).is_empty(), "{ms} ms");
    }
    rig.fenced = true;
    rig.tick(at(1_500));
    rig.probe(at(1_510), "i2", status(Role::Replica, 3, 7, 0));
    rig.probe(at(1_510), "i3", status(Role::Replica, 3, 9, 0));
    assert_eq!(rig.tick(at(1_510)), [claim("i3")]);
}

/// An unreachable replica may have received the last acknowledged write, so the choice must wait for the fence.
#[test]
fn no_instance_is_chosen_before_the_fence_while_a_replica_is_missing() {
    let mut rig = Rig::frozen();
    rig.crash_primary();
    rig.tick(at(10));
    rig.report_paused(at(20), "i2", 7);
    for ms in (20..1_500).step_by(10) {
        let outputs = rig.tick(at(ms));
        assert!(outputs.iter().all(|output| *output == pause("i3")), "{outputs:?}");
    }
}

/// Proxies may read under the old epoch until the fence holds, so the new epoch must not be put in force before.
#[test]
fn the_epoch_of_the_promoted_instance_waits_for_the_fence() {
    let mut rig = Rig::frozen();
    rig.set_claim("i3");
    let orders = rig.tick(at(10));
    assert_eq!(orders, [Output::Promote { instance: name("i3"), term: id::Term(4) }]);
    assert!(rig.tick(at(500)).is_empty(), "the request to the service is not repeated at once");
    rig.probe(at(700), "i3", status(Role::Primary, 4, 9, 9));
    assert!(rig.tick(at(700)).is_empty());
    rig.fenced = true;
    rig.tick(at(900));
    rig.probe(at(910), "i3", status(Role::Primary, 4, 9, 9));
    assert!(adopts(&rig.tick(at(910))));
}

#[test]
fn another_instance_is_chosen_after_the_service_declined_the_first() {
    let mut rig = Rig::frozen();
    rig.fenced = true;
    rig.tick(at(10));
    rig.set_claim("i3");
    rig.tick(at(20));
    let retry = at(20) + OUTSIDE_ORDER_REPEAT;
    assert!(matches!(rig.tick(retry).as_slice(), [Output::Promote { .. }]));
    rig.group.step(retry, Input::PromotionDeclined { instance: name("i3") });
    for (instance, received) in [("i2", 9), ("i3", 9)] {
        rig.probe(retry, instance, status(Role::Replica, 3, received, 0));
    }
    let outputs = rig.tick(retry);
    let reserved = |output: &Output| matches!(output, Output::Submit(Action::Claim { .. }));
    assert!(
        outputs.iter().any(reserved),
        "a new term is reserved, since the service reported that i3 isn't running: {outputs:?}"
    );
    assert!(OUTSIDE_PROMOTION_TIMEOUT > OUTSIDE_ORDER_REPEAT * 2);
}

/// Guards against a release that stalls: the primary of the epoch in force had a term reserved above the one that it took, and
/// was ordered to take it once its epoch was frozen to replace it.
#[test]
fn a_term_that_was_reserved_before_the_epoch_came_into_force_is_not_taken_after_a_freeze() {
    let mut rig = Rig::frozen();
    rig.epoch.phase = Phase::Active;
    rig.claim = Some(Claim { term: id::Term(7), primary: name("i1") });
    rig.tick(at(10));
    rig.epoch.phase = Phase::Frozen;
    rig.fenced = true;
    rig.tick(at(20));
    rig.probe(at(30), "i1", status(Role::Primary, 3, 9, 0));
    rig.probe(at(30), "i2", status(Role::Replica, 3, 9, 0));
    rig.probe(at(30), "i3", status(Role::Replica, 3, 9, 0));
    let outputs = rig.tick(at(30));
    let claims = |output: &Output| {
        matches!(output, Output::Submit(Action::Claim { term: id::Term(8), primary, .. })
            if primary.as_str() != "i1")
    };
    assert!(outputs.iter().any(claims), "{outputs:?}");
}

/// If the primary turns out to be available and no replica is proven to hold all acknowledged writes, the epoch is
/// thawed. Replicas that were paused must then be resumed, or they would fall behind.
#[test]
fn the_replicas_of_a_thawed_epoch_are_resumed() {
    let mut rig = Rig::frozen();
    rig.tick(at(10));
    rig.report_paused(at(20), "i2", 7);
    rig.fenced = true;
    rig.tick(at(30));
    for ms in (40..1_000).step_by(50) {
        rig.probe(at(ms), "i1", status(Role::Primary, 3, 9, 0));
        let outputs = rig.tick(at(ms));
        let thaw = Action::Thaw { group: group(), term: id::Term(3) };
        if outputs.contains(&Output::Submit(thaw)) {
            rig.epoch.phase = Phase::Active;
            let resume = Output::Resume { instance: name("i2") };
            assert!(rig.tick(at(ms + 10)).contains(&resume));
            return;
        }
    }
    panic!("the epoch was not thawed");
}

/// An instance may have carried out a pause whose answer was lost, or which an earlier leader ordered.
#[test]
fn replicas_whose_pause_was_not_answered_are_resumed_after_a_thaw() {
    let mut rig = Rig::frozen();
    assert!(rig.tick(at(10)).contains(&pause("i2")));
    rig.fenced = true;
    rig.tick(at(30));
    let mut resumed = false;
    for ms in (40..5_000).step_by(50) {
        rig.probe(at(ms), "i1", status(Role::Primary, 3, 9, 0));
        rig.probe(at(ms), "i2", status(Role::Replica, 3, 7, 0));
        let outputs = rig.tick(at(ms));
        if outputs.contains(&Output::Submit(Action::Thaw { group: group(), term: id::Term(3) })) {
            rig.epoch.phase = Phase::Active;
        }
        resumed |= outputs.contains(&Output::Resume { instance: name("i2") });
    }
    assert_eq!(rig.epoch.phase, Phase::Active, "the epoch was not thawed");
    assert!(resumed, "i2 may receive nothing for good");
}

/// The service gives terms itself: after a first reservation that it did not act on, the instance with the second takes
/// the first's term.
/// An order to receive again that an instance was too busy to carry out was not repeated, and with no replica that receives
/// nothing was acknowledged any more.
#[test]
fn a_replica_that_shows_a_pause_while_the_epoch_is_in_force_is_resumed() {
    let mut rig = Rig::frozen();
    rig.epoch.phase = Phase::Active;
    let paused = Status { paused: Some(id::Term(4)), ..status(Role::Replica, 3, 7, 0) };
    let resume = [Output::Resume { instance: name("i2") }];
    for ms in [100, 2_000] {
        rig.probe(at(ms), "i2", paused);
        rig.probe(at(ms), "i3", status(Role::Replica, 3, 7, 0));
        assert_eq!(rig.tick(at(ms + 10)), resume, "{ms} ms");
    }
    rig.probe(at(3_500), "i2", status(Role::Replica, 3, 7, 0));
    assert_eq!(rig.tick(at(3_510)), []);
}

#[test]
fn a_term_left_over_from_the_promotion_of_a_failed_primary_is_not_waited_for() {
    let mut rig = Rig::frozen();
    rig.claim = Some(Claim { term: id::Term(5), primary: name("i1") });
    rig.crash_primary();
    assert_eq!(rig.tick(at(10)), [pause("i2"), pause("i3")]);
    rig.report_paused(at(20), "i2", 7);
    rig.report_paused(at(20), "i3", 9);
    let claim = Action::Claim { group: group(), term: id::Term(6), primary: name("i3") };
    assert_eq!(rig.tick(at(20)), [Output::Submit(claim)]);
}
