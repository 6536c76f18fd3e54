//! Tests what is reported on the choice of an instance for a frozen group.

mod machine;

use std::collections::BTreeSet;
use std::time::Duration;

use cactushatch::clock::Instant;
use cactushatch::config::Durability;
use cactushatch::control::failover::choice::{Choice, Decision, UNDECIDED_INTERVAL};
use cactushatch::control::failover::{Group, Input, Output, View};
use cactushatch::id;
use cactushatch::upstream::status::Status;
use cactushatch::wire::{Epoch, Health, Phase, Role};
use machine::{at, epoch, group, name, status};

/// Runs a step of a frozen group with the primary `i1` and two replicas, and returns what is reported.
fn report(machine: &mut Group, epoch: &Epoch, ms: u64) -> Option<Choice> {
    report_at(machine, epoch, at(ms))
}

fn report_at(machine: &mut Group, epoch: &Epoch, now: Instant) -> Option<Choice> {
    let known = ["i1", "i2", "i3"].map(name);
    let view = View {
        epoch: Some(epoch),
        claim: None,
        fenced: false,
        declared_instances: 3,
        known_instances: &known,
        durability: Durability::Majority,
        live_proxies: &["p1", "p2"].map(name).into(),
        draining: &BTreeSet::new(),
    };
    let outputs = machine.step(now, Input::Tick(view));
    match machine.report_choice(now, view, &outputs)? {
        Output::ReportChoice(choice) => Some(choice),
        output => panic!("{output:?}"),
    }
}

/// Creates a group whose instances have been known for long.
fn frozen() -> (Group, Epoch) {
    let mut machine = Group::new(Instant(0), group());
    machine.set_promoted_outside(true);
    let active = epoch(3, "i1", Phase::Active, &[(3, 0)]);
    assert_eq!(report_at(&mut machine, &active, Instant(0)), None);
    (machine, epoch(3, "i1", Phase::Frozen, &[(3, 0)]))
}

#[test]
fn a_claim_is_reported_with_the_readings_that_it_was_made_from() {
    let (mut machine, epoch) = frozen();
    assert_eq!(report(&mut machine, &epoch, 10), None);
    for node in ["p1", "p2"].map(name) {
        let (instance, health) = (name("i1"), Health::Refused);
        machine.step(at(10), Input::Reported { node, instance, health });
    }
    let (opened_at, answered_at) = (at(4), at(20));
    let old = status(Role::Replica, 3, 5, 0);
    let instance: id::Instance = name("i3");
    let (probed, result) = (instance.clone(), Ok(old));
    machine.step(answered_at, Input::Probed { instance: probed, requested_at: opened_at, result });
    for (instance, received) in [("i2", 7), ("i3", 9)] {
        let status = Status { paused: Some(id::Term(4)), ..status(Role::Replica, 3, received, 0) };
        machine.step(at(30), Input::Paused { instance: name(instance), status });
    }
    let choice = report(&mut machine, &epoch, 40).expect("a report");
    assert_eq!(choice.decision, Decision::Claim(name("i3"), id::Term(4)));
    assert_eq!((choice.epoch, choice.fenced_for), (id::Term(3), None));
    let finals: Vec<(id::Instance, id::Position)> = choice
        .readings
        .iter()
        .filter(|reading| reading.is_final)
        .map(|reading| (reading.instance.clone(), reading.status.received))
        .collect();
    assert_eq!(finals, [(name("i2"), id::Position(7)), (name("i3"), id::Position(9))]);
    let probed = choice.readings.iter().find(|reading| !reading.is_final).expect("a probe");
    assert_eq!((&probed.instance, probed.status), (&instance, old));
    assert_eq!(probed.age, Some(Duration::from_millis(20)));
    assert_eq!(probed.connected_for, Some(Duration::from_millis(36)));
    assert_eq!(choice.unanswered, [name("i1")]);
}

/// A group may stay frozen for minutes, and is due every few milliseconds.
#[test]
fn a_group_without_a_choice_is_reported_at_intervals() {
    let (mut machine, epoch) = frozen();
    let count = 4;
    let end = UNDECIDED_INTERVAL * count + Duration::from_millis(20);
    let reports: Vec<Choice> = (10..end.as_millis() as u64)
        .step_by(10)
        .filter_map(|ms| report(&mut machine, &epoch, ms))
        .collect();
    assert_eq!(reports.len(), count as usize);
    assert!(reports.iter().all(|choice| choice.decision == Decision::None));
    assert_eq!(reports[0].unanswered, ["i1", "i2", "i3"].map(name));
}
