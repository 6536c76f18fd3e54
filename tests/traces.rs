//! Replays the traces in `tests/traces/` through the machines that production runs, against stated outcomes.

use std::path::Path;

use cactushatch::clock::Instant;
use cactushatch::id;
use cactushatch::proxy::fence::{Fence, Verdict};
use cactushatch::proxy::floor::{Mark, Reach};
use cactushatch::wire::{Epoch, Grant, Phase};
use serde::Deserialize;

/// The incarnation of the proxy in the traces.
const INCARNATION: id::Incarnation = id::Incarnation(7);

/// The first line of a trace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    machine: Machine,
    stated: String,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Machine {
    Fence,
    Floor,
}

/// A step of the fence.
#[derive(Debug, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
enum FenceStep {
    Send { at: Instant, sequence: id::Sequence },
    Grant { grant: Grant, changed: bool },
    Verdict { at: Instant, group: id::Group, term: id::Term, is: Released },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Released {
    Release,
    NoLease,
    Replaced,
}

/// A comparison of a floor with an instance.
#[derive(Debug, Deserialize)]
struct FloorStep {
    mark: (id::Term, id::Position),
    at: (id::Term, id::Position),
    forks: Vec<(id::Term, id::Position)>,
    is: Reached,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Reached {
    Reached,
    Behind,
    Lost,
}

fn replay(path: &Path) {
    let text = std::fs::read_to_string(path).expect("a trace");
    let mut lines = text.lines();
    let head: Head = serde_json::from_str(lines.next().expect("a first line")).expect("a head");
    let mut fence = Fence::new(INCARNATION);
    let mut count = 0;
    for (number, line) in lines.enumerate() {
        let place = format!("{}:{}: {}", path.display(), number + 2, head.stated);
        match head.machine {
            Machine::Fence => step_fence(&mut fence, line, &place),
            Machine::Floor => step_floor(line, &place),
        }
        count += 1;
    }
    assert!(count > 0, "{} has no steps", path.display());
}

fn step_fence(fence: &mut Fence, line: &str, place: &str) {
    match serde_json::from_str(line).expect(place) {
        FenceStep::Send { at, sequence } => assert_eq!(fence.send(at), sequence, "{place}"),
        FenceStep::Grant { grant, changed } => assert_eq!(fence.step(grant), changed, "{place}"),
        FenceStep::Verdict { at, group, term, is } => {
            let verdict = match fence.verdict(at, &group, term) {
                Verdict::Release => Released::Release,
                Verdict::NoLease => Released::NoLease,
                Verdict::Replaced => Released::Replaced,
            };
            assert_eq!(verdict, is, "{place}");
        }
    }
}

fn step_floor(line: &str, place: &str) {
    let step: FloorStep = serde_json::from_str(line).expect(place);
    let epoch = Epoch {
        group: "ops-1".parse().expect("a name"),
        term: step.at.0,
        primary: "ops-1-1".parse().expect("a name"),
        phase: Phase::Active,
        forks: step.forks,
    };
    let mark = Mark { term: step.mark.0, position: step.mark.1 };
    let at = Mark { term: step.at.0, position: step.at.1 };
    let reach = match mark.reach(at, &epoch) {
        Reach::Reached => Reached::Reached,
        Reach::Behind => Reached::Behind,
        Reach::Lost => Reached::Lost,
    };
    assert_eq!(reach, step.is, "{place}");
}

#[test]
fn every_trace_has_its_stated_outcome() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut count = 0;
    for file in std::fs::read_dir(folder).expect("the traces") {
        replay(&file.expect("a file").path());
        count += 1;
    }
    assert!(count >= 6, "{count} traces are left");
}
