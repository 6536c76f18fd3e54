//! Tests the choice of an instance where a write is acknowledged once any one replica has received it, while replicas
//! leave, join and restart, and while orders to promote are late.

mod machine;

use std::collections::BTreeSet;

use cactushatch::clock::Instant;
use cactushatch::config::Durability;
use cactushatch::control::failover::{
    Group, Input, JOIN_WAIT, MISSING_WRITES_WAIT, Output, SETTLE_WAIT, UNKNOWN_WAIT,
    UNSETTLED_ORDER_TIMEOUT, View,
};
use cactushatch::control::state::{Action, Claim};
use cactushatch::id;
use cactushatch::proxy::floor::Mark;
use cactushatch::wire::{Epoch, Health, Phase, Role};
use machine::{at, epoch, group, name, status};

/// A group with the primary `i1` in force on term 3, and the inputs of its ticks.
struct Rig {
    group: Group,
    epoch: Epoch,
    claim: Option<Claim>,
    fenced: bool,
    known: Vec<id::Instance>,
}

impl Rig {
    /// Creates a group whose instances have been known for long.
    fn new(known: &[&str]) -> Self {
        let mut machine = Group::new(Instant(0), group());
        machine.set_promoted_outside(true);
        let epoch = epoch(3, "i1", Phase::Active, &[(3, 0)]);
        let known = known.iter().map(|id| name(id)).collect();
        let mut rig = Self { group: machine, epoch, claim: None, fenced: false, known };
        rig.tick_at(Instant(0));
        rig
    }

    fn tick_at(&mut self, now: Instant) -> Vec<Output> {
        let view = View {
            epoch: Some(&self.epoch),
            claim: self.claim.as_ref(),
            fenced: self.fenced,
            declared_instances: 3,
            known_instances: &self.known,
            durability: Durability::Majority,
            live_proxies: &["p1", "p2", "p3"].map(name).into(),
            draining: &BTreeSet::new(),
        };
        self.group.step(now, Input::Tick(view))
    }

    fn tick(&mut self, ms: u64) -> Vec<Output> {
        self.tick_at(at(ms))
    }

    fn probe(&mut self, ms: u64, instance: &str, role: Role, received: u64) {
        let (instance, requested_at) = (name(instance), at(ms));
        let result = Ok(status(role, 3, received, 0));
        self.group.step(at(ms), Input::Probed { instance, requested_at, result });
    }

    fn report_paused(&mut self, ms: u64, instance: &str, received: u64) {
        let status = status(Role::Replica, 3, received, 0);
        self.group.step(at(ms), Input::Paused { instance: name(instance), status });
    }

    fn report(&mut self, ms: u64, instance: &str, health: Health) {
        for node in ["p1", "p2", "p3"].map(name) {
            let instance = name(instance);
            self.group.step(at(ms), Input::Reported { node, instance, health });
        }
    }

    fn acknowledge(&mut self, ms: u64, position: u64) {
        let mark = Mark { term: id::Term(3), position: id::Position(position) };
        self.group.step(at(ms), Input::Acknowledged { mark });
    }

    fn freeze(&mut self) {
        self.epoch.phase = Phase::Frozen;
    }

    /// Returns the instance that a term is reserved for, while the replicas answer with these positions.
    fn claimed(&mut self, ms: u64, received: &[(&str, u64)]) -> Option<String> {
        for (instance, received) in received {
            self.probe(ms, instance, Role::Replica, *received);
        }
        claimed(&self.tick(ms))
    }
}

fn claimed(outputs: &[Output]) -> Option<String> {
    outputs.iter().find_map(|output| match output {
        Output::Submit(Action::Claim { primary, .. }) => Some(primary.to_string()),
        _ => None,
    })
}

fn thaw() -> Output {
    Output::Submit(Action::Thaw { group: group(), term: id::Term(3) })
}

fn ms(duration: std::time::Duration) -> u64 {
    duration.as_millis() as u64
}

/// `i4` leaves while the others receive nothing, and the primary crashes.
fn without_the_only_witness() -> Rig {
    let mut rig = Rig::new(&["i1", "i2", "i3", "i4"]);
    rig.probe(0, "i1", Role::Primary, 9);
    rig.probe(0, "i2", Role::Replica, 7);
    rig.tick(0);
    rig.known.retain(|known| *known != name("i4"));
    rig.tick(100);
    rig.freeze();
    rig
}

/// Regression: the commits that only a leaving replica had received were rolled back.
#[test]
fn the_primary_is_waited_for_after_a_replica_left_that_alone_may_hold_writes() {
    let mut rig = without_the_only_witness();
    rig.report_paused(200, "i2", 7);
    rig.report_paused(200, "i3", 7);
    assert_eq!(claimed(&rig.tick(200)), None, "before the fence");
    rig.fenced = true;
    for now in (300..4_000).step_by(50) {
        assert_eq!(rig.claimed(now, &[("i2", 7), ("i3", 7)]), None, "{now} ms");
    }
    rig.probe(4_000, "i1", Role::Primary, 9);
    assert!(rig.tick(4_000).contains(&thaw()), "the primary returned with all writes");
}

#[test]
fn the_best_instance_is_chosen_and_reported_if_the_primary_does_not_return() {
    let mut rig = without_the_only_witness();
    rig.fenced = true;
    let end = 300 + ms(MISSING_WRITES_WAIT);
    let mut reports = Vec::new();
    let mut chosen = None;
    for now in (300..=end).step_by(50) {
        rig.probe(now, "i2", Role::Replica, 7);
        rig.probe(now, "i3", Role::Replica, 6);
        let outputs = rig.tick(now);
        reports.extend(outputs.iter().filter_map(|output| match output {
            Output::ReportMissing { is_accepted, held, .. } => Some((*is_accepted, held.0)),
            _ => None,
        }));
        chosen = chosen.or(claimed(&outputs).map(|instance| (now, instance)));
    }
    assert_eq!(chosen, Some((end, "i2".to_owned())));
    assert_eq!(reports, [(false, 7), (true, 7)]);
}

#[test]
fn a_departure_is_settled_once_a_replica_holds_what_the_primary_held_after_it() {
    let mut rig = without_the_only_witness();
    rig.epoch.phase = Phase::Active;
    rig.probe(200, "i1", Role::Primary, 9);
    rig.tick(200);
    rig.probe(300, "i3", Role::Replica, 9);
    rig.tick(300);
    rig.freeze();
    rig.report(350, "i1", Health::Refused);
    rig.report_paused(400, "i2", 7);
    rig.report_paused(400, "i3", 9);
    assert_eq!(claimed(&rig.tick(400)), Some("i3".to_owned()));
}

/// The positions that proxies read from the primary after the departure show that nothing was lost with it.
#[test]
fn a_departure_does_not_matter_if_a_replica_holds_all_that_proxies_saw() {
    let mut rig = without_the_only_witness();
    rig.acknowledge(150, 7);
    rig.fenced = true;
    rig.tick(300);
    assert_eq!(rig.claimed(350, &[("i2", 7), ("i3", 6)]), Some("i2".to_owned()));
}

/// A replica that has just joined isn't known yet, receives, and so lets the primary acknowledge.
#[test]
fn an_instance_below_what_proxies_saw_is_not_chosen_while_one_may_join_that_holds_more() {
    let mut rig = Rig::new(&["i1", "i2", "i3"]);
    rig.acknowledge(0, 9);
    rig.freeze();
    rig.report_paused(100, "i2", 7);
    rig.report_paused(100, "i3", 7);
    assert_eq!(claimed(&rig.tick(100)), None, "before the fence");
    rig.fenced = true;
    rig.tick(200);
    assert_eq!(rig.claimed(250, &[("i2", 7), ("i3", 7)]), None, "after the fence");
    rig.known.push(name("i4"));
    let read = [("i2", 7), ("i3", 7), ("i4", 9)];
    assert_eq!(rig.claimed(600, &read), Some("i4".to_owned()));
}

/// What was on its way when the primary crashed raises the position of the primary, and is acknowledged to nobody.
#[test]
fn writes_that_no_replica_received_delay_the_choice_for_a_short_time_only() {
    let mut rig = Rig::new(&["i1", "i2", "i3"]);
    rig.acknowledge(0, 9);
    rig.freeze();
    rig.fenced = true;
    rig.tick(0);
    let end = ms(UNKNOWN_WAIT);
    let read = [("i2", 7), ("i3", 6)];
    let mut chosen = None;
    for now in (50..=end).step_by(50) {
        chosen = chosen.or(rig.claimed(now, &read).map(|instance| (now, instance)));
    }
    assert_eq!(chosen, Some((end, "i2".to_owned())));
}

#[test]
fn the_choice_waits_for_the_fence_if_an_instance_has_just_joined() {
    let mut rig = Rig::new(&["i1", "i2", "i3"]);
    rig.known.push(name("i4"));
    rig.tick(0);
    rig.freeze();
    rig.report(50, "i1", Health::Refused);
    for instance in ["i2", "i3", "i4"] {
        rig.report_paused(100, instance, 7);
    }
    assert_eq!(claimed(&rig.tick(100)), None);
    assert!(claimed(&rig.tick(ms(JOIN_WAIT))).is_some());
}

/// A replica that restarts under its name holds nothing of before and receives again.
#[test]
fn the_paused_position_of_a_replica_that_has_restarted_does_not_count() {
    let mut rig = Rig::new(&["i1", "i2", "i3"]);
    rig.freeze();
    rig.tick(0);
    rig.report_paused(100, "i2", 7);
    rig.report_paused(100, "i3", 9);
    rig.group.step(at(150), Input::Restarted { instance: name("i3") });
    let outputs = rig.tick(600);
    assert_eq!(claimed(&outputs), None);
    assert!(outputs.contains(&Output::Pause { instance: name("i3"), term: id::Term(4) }));
    rig.report_paused(700, "i3", 0);
    assert_eq!(claimed(&rig.tick(700)), None, "i3 may have taken writes along");
}

/// The service carries out what it has accepted some time; writes acknowledged under another primary would be lost then.
#[test]
fn the_choice_stays_with_an_instance_whose_accepted_order_is_open() {
    for health in [Health::Fine, Health::Silent] {
        let mut rig = Rig::new(&["i1", "i2", "i3"]);
        rig.freeze();
        rig.fenced = true;
        rig.tick(0);
        rig.claim = Some(Claim { term: id::Term(4), primary: name("i3") });
        let mut orders = 0;
        for now in (50..ms(UNSETTLED_ORDER_TIMEOUT)).step_by(50) {
            rig.report(now, "i3", health);
            rig.probe(now, "i1", Role::Primary, 9);
            rig.probe(now, "i2", Role::Replica, 9);
            let outputs = rig.tick(now);
            assert!(!outputs.contains(&thaw()), "{health:?}, {now} ms");
            assert_eq!(claimed(&outputs), None, "{health:?}, {now} ms");
            let promote = |output: &&Output| matches!(output, Output::Promote { .. });
            orders += outputs.iter().filter(promote).count();
        }
        assert!(orders > 5, "the order is repeated");
    }
}

#[test]
fn another_instance_is_chosen_if_the_one_with_an_open_order_has_left() {
    let mut rig = Rig::new(&["i1", "i2", "i3"]);
    rig.freeze();
    rig.fenced = true;
    rig.tick(0);
    rig.claim = Some(Claim { term: id::Term(4), primary: name("i3") });
    rig.tick(50);
    rig.known.retain(|known| *known != name("i3"));
    // The epoch can't just go on, which is refused while a term is reserved for i3. Nobody else can catch up here, so the next
    // term goes to the primary.
    let (mut chosen, mut thawed) = (None, None);
    for now in (100..6_000).step_by(50) {
        rig.probe(now, "i1", Role::Primary, 9);
        let outputs = rig.tick(now);
        assert!(chosen.is_some() || !outputs.contains(&thaw()), "{now} ms: it would be refused");
        if chosen.is_none() && claimed(&outputs).as_deref() == Some("i1") {
            chosen = Some(now);
            rig.claim = Some(Claim { term: id::Term(5), primary: name("i1") });
            rig.group.step(at(now), Input::PromotionAccepted { instance: name("i1") });
        }
        if outputs.contains(&thaw()) {
            thawed = thawed.or(Some(now));
        }
    }
    assert!(chosen.is_some_and(|at| at <= 4_100), "{chosen:?}");
    let settled = ms(SETTLE_WAIT) + 4_200;
    assert!(thawed.is_some_and(|at| at <= settled), "{thawed:?}");
}

/// Readings over a connection from before a departure can't settle it, so that each later choice waited in vain.
#[test]
fn a_departure_is_settled_by_readings_over_new_connections() {
    let rig = without_the_only_witness();
    assert!(rig.group.readings_since() >= at(100));
}

/// The service promotes an instance that has lost what it held when it was chosen.
#[test]
fn an_instance_that_began_its_term_below_what_proxies_saw_is_reported() {
    let mut rig = Rig::new(&["i1", "i2", "i3"]);
    rig.acknowledge(0, 9);
    rig.freeze();
    rig.fenced = true;
    rig.tick(0);
    rig.claim = Some(Claim { term: id::Term(4), primary: name("i3") });
    rig.tick(50);
    let result = Ok(status(Role::Primary, 4, 7, 7));
    let (instance, requested_at) = (name("i3"), at(100));
    rig.group.step(at(100), Input::Probed { instance, requested_at, result });
    let outputs = rig.tick(100);
    let reported =
        |output: &Output| matches!(output, Output::ReportMissing { is_accepted: true, .. });
    assert!(outputs.iter().any(reported), "{outputs:?}");
}
