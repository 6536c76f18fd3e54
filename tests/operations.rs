//! Follows docs/OPERATIONS.md with the logs alone: each test makes a request fail or wait, and finds the cause from the
//! id of the request.

mod lines;

use std::process::Command;

use lines::{Fleet, PROXIES};
use serde_json::Value;

/// Returns what `cactushatch explain` prints about a request from the logs of all processes, or `None` if it fails.
fn explain(fleet: &Fleet, request: &str) -> Option<Value> {
    let output = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
        .args(["explain", request, "--json"])
        .args(fleet.log_files())
        .output()
        .expect("the binary runs");
    output
        .status
        .success()
        .then(|| serde_json::from_slice(&output.stdout).expect("the output is a JSON object"))
}

/// Waits until a request is in the logs. Returns its timeline and the line with its outcome.
fn timeline(fleet: &Fleet, request: &str) -> (Value, Value) {
    fleet.wait_until("the request has a line", |fleet| explain(fleet, request).is_some());
    let timeline = explain(fleet, request).expect("the logs mention the request");
    let lines = timeline["lines"].as_array().expect("lines is an array");
    let outcome =
        lines.iter().find(|line| line["request"] == request && line["event"] == "request");
    let outcome = outcome.expect("the timeline has a line with the outcome").clone();
    (timeline, outcome)
}

fn has_line(timeline: &Value, condition: impl Fn(&Value) -> bool) -> bool {
    timeline["lines"].as_array().expect("lines is an array").iter().any(condition)
}

/// Raises the timeout of statements to five seconds.
fn set_long_timeouts(fleet: &Fleet) {
    assert_eq!(fleet.put_configuration(2, 5_000), 200);
    fleet.wait_until("the configuration is in force", |fleet| {
        fleet.logs().matches("\"revision\":2,\"databases\":3").count() == PROXIES.len()
    });
}

/// All control processes are killed, so the proxy's lease expires and it refuses writes.
#[test]
fn logs_explain_a_refusal_by_the_lost_lease() {
    let mut fleet = Fleet::up(89);
    let mut session = fleet.connect(PROXIES[0], "desk");
    session.query_until_done("PUT slot anna");
    for vm in 1..=3 {
        fleet.signal(vm, "-KILL");
        fleet.wait_for_exit(vm);
    }
    // The leases of the two proxies may end at different times.
    fleet.wait_until("the lease has run out", |fleet| {
        let log = std::fs::read_to_string(fleet.log_file(PROXIES[0])).expect("a log");
        log.contains("\"held\":false")
    });
    let answer = session.query_with_id("refused1", "PUT slot ben").expect("the proxy answers");
    assert!(answer.result.starts_with("ERR BUSY"), "{answer:?}");
    let (timeline, outcome) = timeline(&fleet, "refused1");
    assert_eq!((&outcome["outcome"], &outcome["need"]), (&"busy".into(), &"primary".into()));
    assert_eq!(outcome["lease_left_ms"], 0);
    assert!(outcome["retry_after_ms"].as_u64().is_some_and(|after| after > 0), "{outcome}");
    assert!(has_line(&timeline, |line| line["event"] == "lease" && line["held"] == false));
    assert!(timeline["cause"].as_str().unwrap().contains("no lease"), "{timeline}");
}

/// A write is sent to a primary that never answers and is replaced, so its outcome is unknown.
#[test]
fn logs_explain_an_unknown_outcome_by_the_promotion() {
    let fleet = Fleet::up(90);
    set_long_timeouts(&fleet);
    let mut session = fleet.connect(PROXIES[0], "desk");
    session.query_until_done("PUT slot anna");
    let old_primary = fleet.group.primary();
    fleet.group.stop_answering(&old_primary);
    let answer = session.query_with_id("unknown1", "PUT slot ben").expect("the proxy answers");
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

/// The primary crashes, and a write waits until another instance is promoted.
#[test]
fn logs_explain_a_late_answer_by_the_wait_for_a_promotion() {
    let fleet = Fleet::up(91);
    set_long_timeouts(&fleet);
    let mut session = fleet.connect(PROXIES[0], "desk");
    session.query_until_done("PUT slot anna");
    fleet.group.crash(&fleet.group.primary());
    // The outcome of writes sent to the crashed primary is unknown. Later writes wait.
    let served = (0..20).find(|number| {
        let answer = session
            .query_with_id(&format!("late{number}"), "PUT slot ben")
            .expect("the proxy answers");
        answer.result.starts_with("DONE")
    });
    let (timeline, outcome) =
        timeline(&fleet, &format!("late{}", served.expect("a write is served")));
    assert_eq!((&outcome["outcome"], &outcome["reason"]), (&"done".into(), &"slow".into()));
    let (waited, elapsed) = (outcome["waited_ms"].as_u64(), outcome["elapsed_ms"].as_u64());
    assert!(waited.unwrap() * 2 >= elapsed.unwrap() && elapsed.unwrap() > 200, "{outcome}");
    let adopt = |line: &Value| line["event"] == "decision" && line["decision"] == "adopt";
    assert!(has_line(&timeline, adopt), "{timeline}");
    assert!(timeline["cause"].as_str().unwrap().contains("it waited"), "{timeline}");
}
