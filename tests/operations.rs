//! Follows docs/OPERATIONS.md by the logs alone: each test makes a request fail, then goes from its id to the cause.

mod lines;

use std::process::Command;

use lines::{Fleet, PROXIES};
use serde_json::Value;

/// Returns what `cactushatch explain` says of a request by the logs of all processes.
fn explain(fleet: &Fleet, request: &str) -> Option<Value> {
    let output = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
        .args(["explain", request, "--json"])
        .args(fleet.log_files())
        .output()
        .expect("the binary runs");
    output
        .status
        .success()
        .then(|| serde_json::from_slice(&output.stdout).expect("one JSON object"))
}

/// Waits until the request has a line, and returns its story and that line.
fn timeline(fleet: &Fleet, request: &str) -> (Value, Value) {
    fleet.wait_until("the request has a line", |fleet| explain(fleet, request).is_some());
    let timeline = explain(fleet, request).expect("it has a line");
    let lines = timeline["lines"].as_array().expect("lines");
    let outcome =
        lines.iter().find(|line| line["request"] == request && line["event"] == "request");
    let outcome = outcome.expect("its last line").clone();
    (timeline, outcome)
}

fn has_line(timeline: &Value, condition: impl Fn(&Value) -> bool) -> bool {
    timeline["lines"].as_array().expect("lines").iter().any(condition)
}

/// Gives statements five seconds.
fn set_long_timeouts(fleet: &Fleet) {
    assert_eq!(fleet.put_configuration(2, 5_000), 200);
    fleet.wait_until("the configuration is in force", |fleet| {
        fleet.logs().matches("\"revision\":2,\"databases\":3").count() == PROXIES.len()
    });
}

/// Refused: the proxy hears nothing of control, so it may not use the primary.
#[test]
fn logs_explain_a_refusal_by_the_lost_lease() {
    let mut fleet = Fleet::up(89);
    let mut session = fleet.connect(PROXIES[0], "desk");
    session.query_until_done("PUT slot anna");
    for vm in 1..=3 {
        fleet.signal(vm, "-KILL");
        fleet.wait_for_exit(vm);
    }
    fleet.wait_until("the lease has run out", |fleet| fleet.logs().contains("\"held\":false"));
    let answer = session.query_with_id("refused1", "PUT slot ben").expect("an answer");
    assert!(answer.result.starts_with("ERR BUSY"), "{answer:?}");
    let (timeline, outcome) = timeline(&fleet, "refused1");
    assert_eq!((&outcome["outcome"], &outcome["need"]), (&"busy".into(), &"primary".into()));
    assert_eq!(outcome["lease_left_ms"], 0);
    assert!(outcome["retry_after_ms"].as_u64().is_some_and(|after| after > 0), "{outcome}");
    assert!(has_line(&timeline, |line| line["event"] == "lease" && line["held"] == false));
    assert!(timeline["cause"].as_str().unwrap().contains("no lease"), "{timeline}");
}

/// Unknown: the write has left for a primary that never answers and is replaced.
#[test]
fn logs_explain_an_unknown_outcome_by_the_promotion() {
    let fleet = Fleet::up(90);
    set_long_timeouts(&fleet);
    let mut session = fleet.connect(PROXIES[0], "desk");
    session.query_until_done("PUT slot anna");
    let old_primary = fleet.group.primary();
    fleet.group.stop_answering(&old_primary);
    let answer = session.query_with_id("unknown1", "PUT slot ben").expect("an answer");
    assert!(answer.result.starts_with("ERR UNKNOWN"), "{answer:?}");
    let (timeline, outcome) = timeline(&fleet, "unknown1");
    assert_eq!(
        (&outcome["outcome"], &outcome["instance"]),
        (&"unknown".into(), &old_primary.as_str().into())
    );
    let freeze = |line: &Value| line["event"] == "decision" && line["decision"] == "freeze";
    assert!(has_line(&timeline, freeze), "{timeline}");
    let silent =
        |line: &Value| line["event"] == "instance" && line["instance"] == old_primary.as_str();
    assert!(has_line(&timeline, silent), "{timeline}");
    assert!(timeline["cause"].as_str().unwrap().contains("being replaced"), "{timeline}");
}

/// Late: a write waits until another instance is primary.
#[test]
fn logs_explain_a_late_answer_by_the_wait_for_a_promotion() {
    let fleet = Fleet::up(91);
    set_long_timeouts(&fleet);
    let mut session = fleet.connect(PROXIES[0], "desk");
    session.query_until_done("PUT slot anna");
    fleet.group.crash(&fleet.group.primary());
    // What was sent to the crashed one is unknown; what comes after that waits.
    let served = (0..20).find(|number| {
        let answer =
            session.query_with_id(&format!("late{number}"), "PUT slot ben").expect("an answer");
        answer.result.starts_with("DONE")
    });
    let (timeline, outcome) = timeline(&fleet, &format!("late{}", served.expect("one is served")));
    assert_eq!((&outcome["outcome"], &outcome["reason"]), (&"done".into(), &"slow".into()));
    let (waited, elapsed) = (outcome["waited_ms"].as_u64(), outcome["elapsed_ms"].as_u64());
    assert!(waited.unwrap() * 2 >= elapsed.unwrap() && elapsed.unwrap() > 200, "{outcome}");
    let adopt = |line: &Value| line["event"] == "decision" && line["decision"] == "adopt";
    assert!(has_line(&timeline, adopt), "{timeline}");
    assert!(timeline["cause"].as_str().unwrap().contains("it waited"), "{timeline}");
}
