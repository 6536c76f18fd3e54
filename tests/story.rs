//! What is told of a request by lines of several processes.

use cactushatch::report::story::{Cause, Line, Story};

const OWN: &str = r#"{"time":"2026-12-04T06:00:02.500000Z","level":"INFO","node":"proxy-1","event":"request","request":"r1","group":"books","outcome":"OUTCOME","reason":"REASON","elapsed_ms":300,"waited_ms":WAITED,"instance":"i-1","need":"NEED","lease_left_ms":LEASE}"#;

fn own(outcome: &str, reason: &str, waited: u64, need: &str, lease: u64) -> String {
    OWN.replace("OUTCOME", outcome)
        .replace("REASON", reason)
        .replace("WAITED", &waited.to_string())
        .replace("NEED", need)
        .replace("LEASE", &lease.to_string())
}

fn line(time: &str, node: &str, rest: &str) -> String {
    format!(r#"{{"time":"2026-12-04T{time}Z","level":"INFO","node":"{node}",{rest}}}"#)
}

fn story(lines: &[String]) -> Story {
    let lines: Vec<Line> = lines.iter().filter_map(|line| Line::parse(line)).collect();
    Story::of("r1", &lines).expect("a line names it")
}

fn cause(lines: &[String]) -> Cause {
    story(lines).cause()
}

#[test]
fn the_story_has_what_the_request_depended_on_in_order_and_nothing_else() {
    let freeze = r#""event":"decision","group":"books","decision":"freeze","term":1"#;
    let lines = [
        own("busy", "x", 0, "primary", 500),
        line("06:00:02.100000", "control-2", freeze),
        line("06:00:01.900000", "proxy-1", r#""event":"lease","held":true"#),
        line("06:00:01.900000", "proxy-2", r#""event":"lease","held":false"#),
        line("05:59:00.000000", "control-2", freeze),
        line("06:00:02.200000", "control-2", &freeze.replace("books", "films")),
        line("06:00:02.300000", "proxy-1", r#""event":"request","request":"r2","group":"books""#),
        line("06:00:02.400000", "proxy-1", r#""event":"retry","request":"r1","elapsed_ms":100"#),
        "no line of ours".to_owned(),
        format!("collector: {}", line("06:00:00", "proxy-1", r#""event":"stranded""#)),
    ];
    let story = story(&lines);
    let events: Vec<String> = story
        .lines()
        .iter()
        .map(|line| line.to_string().split(' ').nth(2).expect("an event").to_owned())
        .collect();
    assert_eq!(events, ["stranded:", "lease:", "decision:", "retry:", "request:"]);
}

#[test]
fn each_cause_is_told_by_what_was_logged() {
    let freeze = line(
        "06:00:02.100000",
        "control-2",
        r#""event":"decision","group":"books","decision":"freeze","term":1"#,
    );
    let silent = line(
        "06:00:02.100000",
        "proxy-1",
        r#""event":"instance","group":"books","instance":"i-1","trouble":"Silent""#,
    );
    assert_eq!(cause(&[own("done", "sample", 0, "mark", 700)]), Cause::None);
    assert_eq!(cause(&[own("done", "slow", 200, "mark", 700)]), Cause::Waited);
    assert_eq!(cause(&[own("done", "slow", 10, "mark", 700)]), Cause::SlowInstance);
    assert_eq!(cause(&[own("busy", "x", 0, "primary", 0)]), Cause::NoLease);
    assert_eq!(cause(&[own("busy", "x", 0, "mark", 0)]), Cause::Load);
    assert_eq!(cause(&[own("busy", "x", 0, "primary", 700), freeze.clone()]), Cause::Promotion);
    assert_eq!(cause(&[own("unknown", "x", 0, "primary", 700), freeze]), Cause::Promotion);
    assert_eq!(cause(&[own("busy", "x", 0, "mark", 700), silent]), Cause::InstanceFailed);
    assert_eq!(cause(&[own("timeout", "x", 0, "mark", 700)]), Cause::InstanceFailed);
    assert_eq!(cause(&[own("busy", "x", 0, "primary", 700)]), Cause::Load);
    assert_eq!(cause(&[own("no_such_database", "x", 0, "mark", 700)]), Cause::Unknown);
}

#[test]
fn a_request_without_a_line_has_no_story() {
    assert!(Story::of("r9", &[Line::parse(&own("busy", "x", 0, "mark", 1)).unwrap()]).is_none());
}
