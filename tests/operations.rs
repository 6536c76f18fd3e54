//! Follows docs/OPERATIONS.md by the logs alone: each test makes a request fail, then goes from its id to the cause.

mod lines;

use std::process::Command;

use lines::{Fleet, PROXIES};
use serde_json::Value;

/// Returns what `cactushatch explain` says of a request by the logs of all processes.
fn explain(fleet: &Fleet, request: &str) -> Option<Value> {
    let ran = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
        .args(["explain", request, "--json"])
        .args(fleet.log_files())
        .output()
        .expect("the binary runs");
    ran.status.success().then(|| serde_json::from_slice(&ran.stdout).expect("one JSON object"))
}

/// Waits until the request has a line, and returns its story and that line.
fn story(fleet: &Fleet, request: &str) -> (Value, Value) {
    fleet.until("the request has a line", |fleet| explain(fleet, request).is_some());
    let story = explain(fleet, request).expect("it has a line");
    let lines = story["lines"].as_array().expect("lines");
    let own = lines.iter().find(|line| line["request"] == request && line["event"] == "request");
    let own = own.expect("its last line").clone();
    (story, own)
}

fn tells(story: &Value, what: impl Fn(&Value) -> bool) -> bool {
    story["lines"].as_array().expect("lines").iter().any(what)
}

/// Gives statements five seconds.
fn declare_patient(fleet: &Fleet) {
    assert_eq!(fleet.declare(2, 5_000), 200);
    fleet.until("the configuration is in force", |fleet| {
        fleet.logs().matches("\"revision\":2,\"databases\":3").count() == PROXIES.len()
    });
}

/// Refused: the proxy hears nothing of control, so it may not use the primary.
#[test]
fn a_refusal_leads_to_the_lost_lease() {
    let mut fleet = Fleet::up(89);
    let mut desk = fleet.open(PROXIES[0], "desk");
    desk.done("PUT slot anna");
    for host in 1..=3 {
        fleet.signal(host, "-KILL");
        fleet.ended(host);
    }
    fleet.until("the lease has run out", |fleet| fleet.logs().contains("\"held\":false"));
    let answer = desk.ask_as("refused1", "PUT slot ben").expect("an answer");
    assert!(answer.result.starts_with("ERR BUSY"), "{answer:?}");
    let (story, own) = story(&fleet, "refused1");
    assert_eq!((&own["outcome"], &own["need"]), (&"busy".into(), &"primary".into()));
    assert_eq!(own["lease_left_ms"], 0);
    assert!(own["retry_after_ms"].as_u64().is_some_and(|after| after > 0), "{own}");
    assert!(tells(&story, |line| line["event"] == "lease" && line["held"] == false));
    assert!(story["cause"].as_str().unwrap().contains("no lease"), "{story}");
}

/// Unknown: the write has left for a primary that never answers and is replaced.
#[test]
fn an_unknown_outcome_leads_to_the_promotion() {
    let fleet = Fleet::up(90);
    declare_patient(&fleet);
    let mut desk = fleet.open(PROXIES[0], "desk");
    desk.done("PUT slot anna");
    let first = fleet.group.primary();
    fleet.group.mute(&first);
    let answer = desk.ask_as("unknown1", "PUT slot ben").expect("an answer");
    assert!(answer.result.starts_with("ERR UNKNOWN"), "{answer:?}");
    let (story, own) = story(&fleet, "unknown1");
    assert_eq!((&own["outcome"], &own["instance"]), (&"unknown".into(), &first.as_str().into()));
    let freeze = |line: &Value| line["event"] == "decision" && line["decision"] == "freeze";
    assert!(tells(&story, freeze), "{story}");
    let silent = |line: &Value| line["event"] == "instance" && line["instance"] == first.as_str();
    assert!(tells(&story, silent), "{story}");
    assert!(story["cause"].as_str().unwrap().contains("being replaced"), "{story}");
}

/// Late: a write waits until another instance is primary.
#[test]
fn a_late_answer_leads_to_the_wait_for_a_promotion() {
    let fleet = Fleet::up(91);
    declare_patient(&fleet);
    let mut desk = fleet.open(PROXIES[0], "desk");
    desk.done("PUT slot anna");
    fleet.group.crash(&fleet.group.primary());
    // What was sent to the crashed one is unknown; what comes after that waits.
    let served = (0..20).find(|number| {
        let answer = desk.ask_as(&format!("late{number}"), "PUT slot ben").expect("an answer");
        answer.result.starts_with("DONE")
    });
    let (story, own) = story(&fleet, &format!("late{}", served.expect("one is served")));
    assert_eq!((&own["outcome"], &own["reason"]), (&"done".into(), &"slow".into()));
    let (waited, elapsed) = (own["waited_ms"].as_u64(), own["elapsed_ms"].as_u64());
    assert!(waited.unwrap() * 2 >= elapsed.unwrap() && elapsed.unwrap() > 200, "{own}");
    let adopt = |line: &Value| line["event"] == "decision" && line["decision"] == "adopt";
    assert!(tells(&story, adopt), "{story}");
    assert!(story["cause"].as_str().unwrap().contains("it waited"), "{story}");
}
