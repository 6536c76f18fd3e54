//! Tests of the timeline of a request: which log lines of several processes it contains, and the derived cause.

use cactushatch::report::timeline::{Cause, Line, Timeline};

const REQUEST_LINE: &str = r#"{"time":"2026-12-04T06:00:02.500000Z","level":"INFO","node":"proxy-1","event":"request","request":"r1","group":"books","outcome":"OUTCOME","reason":"REASON","elapsed_ms":300,"waited_ms":WAITED,"instance":"i-1","need":"NEED","lease_left_ms":LEASE}"#;

fn request_line(outcome: &str, reason: &str, waited: u64, need: &str, lease: u64) -> String {
    REQUEST_LINE
        .replace("OUTCOME", outcome)
        .replace("REASON", reason)
        .replace("WAITED", &waited.to_string())
        .replace("NEED", need)
        .replace("LEASE", &lease.to_string())
}

fn line(time: &str, node: &str, rest: &str) -> String {
    format!(r#"{{"time":"2026-12-04T{time}Z","level":"INFO","node":"{node}",{rest}}}"#)
}

fn timeline(lines: &[String]) -> Timeline {
    let lines: Vec<Line> = lines.iter().filter_map(|line| Line::parse(line)).collect();
    Timeline::of_request("r1", &lines).expect("a line of request r1")
}

fn cause(lines: &[String]) -> Cause {
    timeline(lines).cause()
}

#[test]
fn timeline_contains_exactly_the_related_lines_in_order() {
    let freeze = r#""event":"decision","group":"books","decision":"freeze","term":1"#;
    let lines = [
        request_line("busy", "x", 0, "primary", 500),
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
    let timeline = timeline(&lines);
    let events: Vec<String> = timeline
        .lines()
        .iter()
        .map(|line| line.to_string().split(' ').nth(2).expect("an event").to_owned())
        .collect();
    assert_eq!(events, ["stranded:", "lease:", "decision:", "retry:", "request:"]);
}

#[test]
fn cause_follows_from_the_logged_lines() {
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
    assert_eq!(cause(&[request_line("done", "sample", 0, "mark", 700)]), Cause::None);
    assert_eq!(cause(&[request_line("done", "slow", 200, "mark", 700)]), Cause::CapacityWait);
    assert_eq!(cause(&[request_line("done", "slow", 10, "mark", 700)]), Cause::SlowInstance);
    assert_eq!(cause(&[request_line("busy", "x", 0, "primary", 0)]), Cause::NoLease);
    assert_eq!(cause(&[request_line("busy", "x", 0, "mark", 0)]), Cause::Overload);
    assert_eq!(
        cause(&[request_line("busy", "x", 0, "primary", 700), freeze.clone()]),
        Cause::Promotion
    );
    assert_eq!(cause(&[request_line("unknown", "x", 0, "primary", 700), freeze]), Cause::Promotion);
    assert_eq!(cause(&[request_line("busy", "x", 0, "mark", 700), silent]), Cause::InstanceFailed);
    assert_eq!(cause(&[request_line("timeout", "x", 0, "mark", 700)]), Cause::InstanceFailed);
    assert_eq!(cause(&[request_line("busy", "x", 0, "primary", 700)]), Cause::Overload);
    assert_eq!(cause(&[request_line("busy", "x", 0, "server", 700)]), Cause::NoServer);
    let limit = |node, group: &str| {
        let rest = format!(r#""event":"connection_limit","group":"{group}","instance":"i-1""#);
        line("06:00:02.100000", node, &rest)
    };
    let refused = request_line("busy", "x", 0, "mark", 700);
    assert_eq!(cause(&[refused.clone(), limit("proxy-1", "books")]), Cause::ConnectionLimit);
    assert_eq!(cause(&[refused.clone(), limit("proxy-2", "books")]), Cause::Overload);
    assert_eq!(cause(&[refused, limit("proxy-1", "films")]), Cause::Overload);
    assert_eq!(cause(&[request_line("no_such_database", "x", 0, "mark", 700)]), Cause::Unknown);
}

#[test]
fn request_without_a_line_has_no_timeline() {
    assert!(
        Timeline::of_request(
            "r9",
            &[Line::parse(&request_line("busy", "x", 0, "mark", 1)).unwrap()]
        )
        .is_none()
    );
}
