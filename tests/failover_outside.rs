//! Groups whose instances an outside service promotes: what need not wait for the leases, and what must.

mod machine;

use std::collections::BTreeSet;

use cactushatch::clock::Instant;
use cactushatch::config::Durability;
use cactushatch::control::failover::{Group, Input, OUTSIDE_ATTEMPT, OUTSIDE_REPEAT, Output, View};
use cactushatch::control::state::{Action, Claim};
use cactushatch::id;
use cactushatch::upstream::status::Status;
use cactushatch::wire::{Epoch, Phase, Role};
use machine::{at, epoch, group, name, status};

/// A frozen group of a primary `i1` and its replicas, with what it is told at each tick.
struct Rig {
    group: Group,
    epoch: Epoch,
    claim: Option<Claim>,
    fenced: bool,
    known: Vec<id::Instance>,
}

impl Rig {
    fn frozen() -> Self {
        let mut machine = Group::new(at(0), group());
        machine.promoted_outside(true);
        Self {
            group: machine,
            epoch: epoch(3, "i1", Phase::Frozen, &[(3, 0)]),
            claim: None,
            fenced: false,
            known: ["i1", "i2", "i3"].map(name).into(),
        }
    }

    fn tick(&mut self, now: Instant) -> Vec<Output> {
        let (live, draining) = (BTreeSet::new(), BTreeSet::new());
        let view = View {
            epoch: Some(&self.epoch),
            claim: self.claim.as_ref(),
            fenced: self.fenced,
            instances: 3,
            known: &self.known,
            durability: Durability::Majority,
            live: &live,
            draining: &draining,
        };
        self.group.step(now, Input::Tick(view))
    }

    fn paused(&mut self, now: Instant, instance: &str, received: u64) {
        let status = status(Role::Replica, 3, received, 0);
        self.group.step(now, Input::Paused { instance: name(instance), status });
    }

    fn probed(&mut self, now: Instant, instance: &str, status: Status) {
        let seen = Ok(status);
        self.group.step(now, Input::Probed { instance: name(instance), asked: now, seen });
    }

    fn claimed(&mut self, instance: &str) {
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
fn replicas_stop_receiving_and_the_one_that_holds_most_is_chosen_before_the_leases_end() {
    let mut rig = Rig::frozen();
    assert_eq!(rig.tick(at(10)), [pause("i2"), pause("i3")]);
    assert!(rig.tick(at(20)).is_empty(), "the order was just given");
    rig.paused(at(30), "i2", 7);
    assert!(rig.tick(at(30)).is_empty(), "the other one may hold more");
    rig.paused(at(40), "i3", 9);
    assert_eq!(rig.tick(at(40)), [claim("i3")]);
}

/// A replica that can't be reached may have received what is acknowledged: the leases are waited for.
#[test]
fn with_a_replica_missing_nothing_is_hurried() {
    let mut rig = Rig::frozen();
    rig.tick(at(10));
    rig.paused(at(20), "i2", 7);
    for ms in (20..1_500).step_by(10) {
        let outputs = rig.tick(at(ms));
        assert!(outputs.iter().all(|output| *output == pause("i3")), "{outputs:?}");
    }
}

/// Proxies may still read under the old epoch until the fence holds, so the new one waits for it.
#[test]
fn the_promoted_instance_leads_only_behind_the_fence() {
    let mut rig = Rig::frozen();
    rig.claimed("i3");
    let orders = rig.tick(at(10));
    assert_eq!(orders, [Output::Promote { instance: name("i3"), term: id::Term(4) }]);
    assert!(rig.tick(at(500)).is_empty(), "the service is not asked again at once");
    rig.probed(at(700), "i3", status(Role::Primary, 4, 9, 9));
    assert!(rig.tick(at(700)).is_empty());
    rig.fenced = true;
    rig.tick(at(900));
    rig.probed(at(910), "i3", status(Role::Primary, 4, 9, 9));
    assert!(adopts(&rig.tick(at(910))));
}

#[test]
fn another_instance_is_chosen_only_when_the_first_can_no_longer_be_promoted() {
    let mut rig = Rig::frozen();
    rig.fenced = true;
    rig.tick(at(10));
    rig.claimed("i3");
    rig.tick(at(20));
    let again = at(20) + OUTSIDE_REPEAT;
    assert!(matches!(rig.tick(again).as_slice(), [Output::Promote { .. }]));
    rig.group.step(again, Input::Declined { instance: name("i3") });
    for (instance, received) in [("i2", 9), ("i3", 9)] {
        rig.probed(again, instance, status(Role::Replica, 3, received, 0));
    }
    let outputs = rig.tick(again);
    let reserved = |output: &Output| matches!(output, Output::Submit(Action::Claim { .. }));
    assert!(outputs.iter().any(reserved), "the service says that it doesn't run: {outputs:?}");
    assert!(OUTSIDE_ATTEMPT > OUTSIDE_REPEAT * 2);
}

/// The primary is there after all and nobody else can prove to hold everything: it goes on, and its replicas receive.
#[test]
fn an_epoch_that_goes_on_has_its_replicas_receive_again() {
    let mut rig = Rig::frozen();
    rig.tick(at(10));
    rig.paused(at(20), "i2", 7);
    rig.fenced = true;
    rig.tick(at(30));
    for ms in (40..1_000).step_by(50) {
        rig.probed(at(ms), "i1", status(Role::Primary, 3, 9, 0));
        let outputs = rig.tick(at(ms));
        let thaw = Action::Thaw { group: group(), term: id::Term(3) };
        if outputs.contains(&Output::Submit(thaw)) {
            rig.epoch.phase = Phase::Active;
            let resume = Output::Resume { instance: name("i2") };
            assert!(rig.tick(at(ms + 10)).contains(&resume));
            return;
        }
    }
    panic!("the epoch never went on");
}
