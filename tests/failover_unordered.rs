//! Tests of promotions that no order in force asked for: an outside service carries out an order long after control has
//! given it up, so that an instance leads that control has not chosen and that lacks acknowledged writes.

mod machine;

use std::collections::BTreeSet;

use cactushatch::config::Durability;
use cactushatch::control::failover::{DAMPING_DELAY, Group, Input, Output, View};
use cactushatch::control::state::{Action, Claim};
use cactushatch::id;
use cactushatch::wire::{Epoch, Health, Phase, Role};
use fastrand::Rng;
use machine::outside::{PROMOTION_MS, ROLLBACK_MS, STEP_MS, Simulation, Upstream};
use machine::{at, epoch, group, name, status};

/// How long a change of primary may take.
const FAILOVER_BOUND_MS: u64 = 15_000;

/// The number of random schedules.
const SCHEDULES: u64 = 200;

/// A group with the primary `i1` in force on term 3, and the inputs of its ticks.
struct Rig {
    group: Group,
    epoch: Epoch,
    claim: Option<Claim>,
    fenced: bool,
}

impl Rig {
    /// Creates a group whose epoch was frozen at 10 ms after a late promotion, and fenced at 20 ms.
    fn fenced_after_late_promotion() -> Self {
        let mut rig = Self::new(true);
        rig.promote_late(10);
        rig.freeze(10);
        rig.fenced = true;
        rig.tick(20);
        rig
    }

    fn new(promoted_outside: bool) -> Self {
        let mut machine = Group::new(at(0), group());
        machine.set_promoted_outside(promoted_outside);
        let mut rig = Self {
            group: machine,
            epoch: epoch(3, "i1", Phase::Active, &[(3, 0)]),
            claim: None,
            fenced: false,
        };
        rig.tick(0);
        rig
    }

    fn tick(&mut self, ms: u64) -> Vec<Output> {
        let known_instances: Vec<id::Instance> = ["i1", "i2", "i3"].map(name).into();
        let view = View {
            epoch: Some(&self.epoch),
            claim: self.claim.as_ref(),
            fenced: self.fenced,
            declared_instances: 3,
            known_instances: &known_instances,
            durability: Durability::Majority,
            live_proxies: &["p1", "p2"].map(name).into(),
            draining: &BTreeSet::new(),
        };
        self.group.step(at(ms), Input::Tick(view))
    }

    fn probe(&mut self, ms: u64, instance: &str, role: Role, term: u64, received: u64, start: u64) {
        let (instance, requested_at) = (name(instance), at(ms));
        let result = Ok(status(role, term, received, start));
        self.group.step(at(ms), Input::Probed { instance, requested_at, result });
    }

    /// `i2` leads term 4 without the last writes, and `i3` follows it.
    fn promote_late(&mut self, ms: u64) {
        self.probe(ms, "i1", Role::Primary, 3, 9, 0);
        self.probe(ms, "i2", Role::Primary, 4, 7, 7);
        self.probe(ms, "i3", Role::Replica, 4, 7, 7);
    }

    fn freeze(&mut self, ms: u64) {
        assert!(self.tick(ms).contains(&freeze()));
        self.epoch.phase = Phase::Frozen;
    }
}

fn freeze() -> Output {
    Output::Submit(Action::Freeze { group: group(), term: id::Term(3) })
}

fn claimed(outputs: &[Output]) -> Option<(u64, &str)> {
    outputs.iter().find_map(|output| match output {
        Output::Submit(Action::Claim { term, primary, .. }) => Some((term.0, primary.as_str())),
        _ => None,
    })
}

#[test]
fn an_unordered_primary_on_a_later_term_freezes_the_epoch_at_once() {
    let mut rig = Rig::new(true);
    rig.promote_late(10);
    assert!(rig.tick(10).contains(&freeze()));
}

/// A group that has just had a failover must not wait for the damper: each write that is acknowledged meanwhile is lost.
#[test]
fn an_unordered_promotion_is_not_damped() {
    let mut rig = Rig::new(true);
    for node in ["p1", "p2"].map(name) {
        let (instance, health) = (name("i1"), Health::Silent);
        rig.group.step(at(5), Input::Reported { node, instance, health });
    }
    rig.freeze(10);
    rig.epoch = epoch(4, "i3", Phase::Active, &[(4, 9)]);
    rig.tick(20);
    rig.probe(30, "i2", Role::Primary, 5, 7, 7);
    let expected = Output::Submit(Action::Freeze { group: group(), term: id::Term(4) });
    assert!(u128::from(30_u64) < DAMPING_DELAY.as_millis());
    assert!(rig.tick(30).contains(&expected));
}

/// An answer that was asked for before the epoch was known says nothing about it.
#[test]
fn an_answer_from_before_the_epoch_freezes_nothing() {
    let mut rig = Rig::new(true);
    rig.tick(20);
    rig.epoch = epoch(3, "i1", Phase::Active, &[(3, 0)]);
    let mut machine = Group::new(at(0), group());
    machine.set_promoted_outside(true);
    rig.group = machine;
    rig.probe(30, "i2", Role::Primary, 4, 7, 7);
    assert!(!rig.tick(40).contains(&freeze()));
}

/// Where control promotes by a statement, a late order makes a primary of a term that no proxy hears of.
#[test]
fn a_late_promotion_by_statement_is_only_ordered_to_follow() {
    let mut rig = Rig::new(false);
    rig.promote_late(10);
    let outputs = rig.tick(10);
    assert!(!outputs.contains(&freeze()));
    let follow = Output::Follow { instance: name("i2"), primary: name("i1"), term: id::Term(3) };
    assert!(outputs.contains(&follow));
}

/// The old primary rolls back a second after it reaches the unordered one, which may be sooner than the leases expire.
#[test]
fn the_old_primary_is_chosen_before_the_fence_while_it_alone_holds_all_writes() {
    let mut rig = Rig::new(true);
    rig.promote_late(10);
    rig.freeze(10);
    rig.promote_late(20);
    assert_eq!(claimed(&rig.tick(20)), Some((4, "i1")));
}

#[test]
fn the_old_primary_is_promoted_and_not_thawed_while_another_instance_leads() {
    let mut rig = Rig::fenced_after_late_promotion();
    rig.promote_late(30);
    let outputs = rig.tick(30);
    assert_eq!(claimed(&outputs), Some((4, "i1")), "{outputs:?}");
    rig.claim = Some(Claim { term: id::Term(4), primary: name("i1") });
    let promote = Output::Promote { instance: name("i1"), term: id::Term(4) };
    assert!(rig.tick(40).contains(&promote));
    rig.probe(50, "i1", Role::Primary, 5, 9, 9);
    let adopt = Action::Adopt {
        group: group(),
        term: id::Term(5),
        primary: name("i1"),
        start: id::Position(9),
    };
    assert!(rig.tick(50).contains(&Output::Submit(adopt)));
}

/// Equal positions don't prove equal histories: the instance may have led an earlier term, with writes of its own.
#[test]
fn an_unordered_primary_on_a_higher_position_is_not_kept() {
    let mut rig = Rig::new(true);
    rig.probe(10, "i2", Role::Primary, 4, 12, 12);
    rig.freeze(10);
    rig.fenced = true;
    rig.tick(20);
    rig.probe(30, "i1", Role::Primary, 3, 9, 0);
    rig.probe(30, "i2", Role::Primary, 4, 12, 12);
    assert_eq!(claimed(&rig.tick(30)), Some((4, "i1")));
}

/// Replicas were rolled back with the promotion, so what they hold proves nothing about the writes acknowledged before.
#[test]
fn the_unordered_primary_is_not_chosen_before_the_old_one_has_answered() {
    let mut rig = Rig::fenced_after_late_promotion();
    rig.probe(30, "i2", Role::Primary, 4, 7, 7);
    rig.probe(30, "i3", Role::Replica, 4, 7, 7);
    assert_eq!(claimed(&rig.tick(30)), None);
    rig.probe(40, "i1", Role::Replica, 4, 7, 7);
    assert_eq!(claimed(&rig.tick(40)), Some((4, "i2")), "i1 has rolled back");
}

/// The claimed replica is rolled back by a stale order before its own promotion.
#[test]
fn a_claimed_instance_that_was_rolled_back_is_not_put_in_force_while_the_old_primary_holds_more() {
    let mut rig = Rig::new(true);
    rig.epoch.phase = Phase::Frozen;
    rig.tick(10);
    rig.fenced = true;
    rig.claim = Some(Claim { term: id::Term(4), primary: name("i3") });
    rig.tick(20);
    rig.promote_late(30);
    assert_eq!(claimed(&rig.tick(30)), Some((5, "i1")));
}

#[test]
fn a_claimed_instance_that_was_promoted_after_a_stale_order_is_compared_with_the_old_primary() {
    let mut rig = Rig::new(true);
    rig.epoch.phase = Phase::Frozen;
    rig.tick(10);
    rig.fenced = true;
    rig.claim = Some(Claim { term: id::Term(4), primary: name("i3") });
    rig.tick(20);
    rig.probe(30, "i2", Role::Primary, 4, 7, 7);
    assert_eq!(claimed(&rig.tick(30)), None);
    rig.probe(40, "i1", Role::Primary, 3, 9, 0);
    rig.probe(40, "i3", Role::Primary, 5, 7, 7);
    assert_eq!(claimed(&rig.tick(40)), Some((5, "i1")));
}

/// Late orders for the replica at each step of a failover: in force, frozen, claimed, promoted, in force again.
#[test]
fn the_group_gets_its_primary_back_with_all_writes_when_a_late_order_takes_effect_at_any_time() {
    for late_ms in (0..1_500).step_by(STEP_MS as usize) {
        let mut simulation = Simulation::new();
        simulation.run(1_000);
        let crash = late_ms % 20 == 0;
        simulation.upstream("i1").runs = !crash;
        simulation.run(late_ms);
        simulation.upstream("i3").linked = false;
        simulation.run(50);
        simulation.promote_late("i3");
        simulation.upstream("i3").linked = true;
        simulation.run(2_000);
        simulation.start("i1");
        simulation.run(FAILOVER_BOUND_MS);
        assert!(simulation.is_served(), "{late_ms} ms: {simulation:?}");
        assert!(crash || simulation.lost() == 0, "{late_ms} ms: {} lost", simulation.lost());
    }
}

/// Control probes a group in force each second. If the late promotion is found and put right before the old primary rolls
/// back, no write is lost.
#[test]
fn what_the_old_primary_holds_is_kept_if_the_probe_comes_in_time() {
    let mut kept = 0;
    for phase_ms in (0..1_000).step_by(STEP_MS as usize) {
        let mut simulation = Simulation::new();
        simulation.run(500);
        simulation.settled_probe_ms = 1_000;
        simulation.upstream("i3").linked = false;
        simulation.run(1_000 + phase_ms);
        simulation.promote_late("i3");
        simulation.upstream("i3").linked = true;
        let promoted_at = simulation.now;
        simulation.run(FAILOVER_BOUND_MS);
        assert!(simulation.is_served(), "{phase_ms} ms: {simulation:?}");
        kept += usize::from(simulation.lost() == 0);
        let last = simulation.acknowledged_at_replaced.unwrap_or(promoted_at);
        assert!(last < promoted_at + ROLLBACK_MS + 100, "{phase_ms} ms: acknowledged for too long");
    }
    println!("all writes kept in {kept} of 100 phases");
    assert!(kept >= 60, "all writes kept in {kept} of 100 phases only");
}

/// Promotes an instance by a late order while it lags. In a sound group nothing that was acknowledged may be lost by that.
fn promote_lagging(simulation: &mut Simulation, rng: &mut Rng, instance: &str) {
    simulation.upstream(instance).linked = false;
    simulation.run(rng.u64(0..500));
    let sound = |up: &Upstream| up.runs && up.in_touch;
    let is_sound = simulation.is_served() && simulation.upstreams.values().all(sound);
    let held = simulation.held();
    simulation.promote_late(instance);
    for upstream in simulation.upstreams.values_mut() {
        upstream.linked = true;
    }
    if is_sound && simulation.settled_probe_ms + PROMOTION_MS + STEP_MS * 10 < ROLLBACK_MS {
        simulation.run(4_000);
        assert!(simulation.is_served(), "{simulation:?}");
        assert_eq!(simulation.lost_of(&held), 0, "lost after a late promotion");
    }
}

fn disturb(simulation: &mut Simulation, rng: &mut Rng) {
    let instance = ["i1", "i2", "i3"][rng.usize(0..3)];
    match rng.u8(0..10) {
        0 | 1 => simulation.promote_late(instance),
        2 | 3 => promote_lagging(simulation, rng, instance),
        4 => simulation.upstream(instance).runs = false,
        5 => simulation.start(instance),
        6 => simulation.upstream(instance).in_touch ^= true,
        7 => simulation.upstream(instance).linked ^= true,
        8 => simulation.elect(),
        _ => simulation.fence_ms = rng.u64(0..1_200),
    }
}

#[test]
fn random_late_promotions_leave_one_primary_in_force_and_no_write_is_given_up_by_choice() {
    for seed in 0..SCHEDULES {
        println!("seed {seed}");
        let mut rng = Rng::with_seed(seed);
        let mut simulation = Simulation::new();
        simulation.settled_probe_ms = [50, 200, 1_000][rng.usize(0..3)];
        simulation.run(500);
        for _ in 0..rng.u8(1..8) {
            simulation.run(rng.u64(0..2_000));
            disturb(&mut simulation, &mut rng);
        }
        for instance in ["i1", "i2", "i3"] {
            simulation.start(instance);
            simulation.upstream(instance).in_touch = true;
            simulation.upstream(instance).linked = true;
        }
        simulation.run(FAILOVER_BOUND_MS);
        assert!(simulation.is_served(), "seed {seed}: {simulation:?}");
    }
}
