//! Replays the traces in `tests/traces/` through the production state machines and checks the expected outcomes.

use std::path::Path;

use cactushatch::clock::Instant;
use cactushatch::id;
use cactushatch::proxy::fence::{Fence, Verdict};
use cactushatch::proxy::floor::{Mark, Reach};
use cactushatch::wire::{Epoch, Grant, Phase};
use serde::Deserialize;

/// The incarnation of the proxy in the traces.
const INCARNATION: id::Incarnation = id::Incarnation(7);

/// The first line of a trace file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    machine: Machine,
    stated: String,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Machine {
    Fence,
    Floor,
}

/// A step of a fence trace.
#[derive(Debug, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
enum FenceStep {
    Send { at: Instant, sequence: id::Sequence },
    Grant { grant: Grant, changed: bool },
    Verdict { at: Instant, group: id::Group, term: id::Term, is: ExpectedVerdict },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ExpectedVerdict {
    Release,
    NoLease,
    Replaced,
}

/// A step of a floor trace: compares a floor mark with the position of an instance.
#[derive(Debug, Deserialize)]
struct FloorStep {
    mark: (id::Term, id::Position),
    at: (id::Term, id::Position),
    forks: Vec<(id::Term, id::Position)>,
    is: ExpectedReach,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ExpectedReach {
    Reached,
    Behind,
    Lost,
}

/// Replays a trace file and checks each step.
fn replay(path: &Path) {
    let text = std::fs::read_to_string(path).expect("trace file is readable");
    let mut lines = text.lines();
    let header: Header =
        serde_json::from_str(lines.next().expect("trace has a header line")).expect("valid header");
    let mut fence = Fence::new(INCARNATION);
    let mut step_count = 0;
    for (number, line) in lines.enumerate() {
        let location = format!("{}:{}: {}", path.display(), number + 2, header.stated);
        match header.machine {
            Machine::Fence => step_fence(&mut fence, line, &location),
            Machine::Floor => step_floor(line, &location),
        }
        step_count += 1;
    }
    assert!(step_count > 0, "{} has no steps", path.display());
}

fn step_fence(fence: &mut Fence, line: &str, location: &str) {
    match serde_json::from_str(line).expect(location) {
        FenceStep::Send { at, sequence } => {
            assert_eq!(fence.record_heartbeat(at), sequence, "{location}")
        }
        FenceStep::Grant { grant, changed } => assert_eq!(fence.step(grant), changed, "{location}"),
        FenceStep::Verdict { at, group, term, is } => {
            let verdict = match fence.verdict(at, &group, term) {
                Verdict::Release => ExpectedVerdict::Release,
                Verdict::NoLease => ExpectedVerdict::NoLease,
                Verdict::Replaced => ExpectedVerdict::Replaced,
            };
            assert_eq!(verdict, is, "{location}");
        }
    }
}

fn step_floor(line: &str, location: &str) {
    let step: FloorStep = serde_json::from_str(line).expect(location);
    let epoch = Epoch {
        group: "ops-1".parse().expect("valid name"),
        term: step.at.0,
        primary: "ops-1-1".parse().expect("valid name"),
        phase: Phase::Active,
        forks: step.forks,
    };
    let mark = Mark { term: step.mark.0, position: step.mark.1 };
    let at = Mark { term: step.at.0, position: step.at.1 };
    let reach = match mark.reach(at, &epoch) {
        Reach::Reached => ExpectedReach::Reached,
        Reach::Behind => ExpectedReach::Behind,
        Reach::Lost => ExpectedReach::Lost,
    };
    assert_eq!(reach, step.is, "{location}");
}

#[test]
fn every_trace_has_its_expected_outcomes() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut trace_count = 0;
    for file in std::fs::read_dir(directory).expect("trace directory is readable") {
        replay(&file.expect("trace file is listed").path());
        trace_count += 1;
    }
    assert!(trace_count >= 6, "{trace_count} traces found, expected at least 6");
}
