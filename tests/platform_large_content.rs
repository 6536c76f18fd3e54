//! Tests on separate processes what a session with large content costs others: its own statements are answered truthfully,
//! and the proxies that serve its group stay in use.

mod lines;

use std::time::Instant;

use lines::{Caller, Fleet, TIMEOUT};

const MANY_PROXIES: [u8; 8] = [11, 12, 13, 14, 15, 16, 17, 18];

/// Fewer than one for each of [`MANY_PROXIES`], besides those that are kept for control and for new proxies.
const FEW_CONNECTIONS: usize = 8;

/// Below the limit of one message.
const LARGE_BYTES: usize = 900 * 1024;

/// Starts a fleet and returns it with a proxy that forwards.
fn fleet_with_forwarding_proxy(subnet: u8) -> (Fleet, u8) {
    let fleet = Fleet::up_with(subnet, &MANY_PROXIES, FEW_CONNECTIONS);
    let serving = fleet.serving();
    let forwarding = MANY_PROXIES.into_iter().find(|vm| !serving.contains(vm));
    let forwarding = forwarding.expect("some proxy serves no group");
    (fleet, forwarding)
}

/// Returns the log lines of forwarded statements that the proxy couldn't get an answer to.
fn failed_forwards(fleet: &Fleet, vm: u8) -> Vec<String> {
    let log = std::fs::read_to_string(fleet.log_file(vm)).unwrap();
    let failed = log.lines().filter(|line| line.contains("\"event\":\"forward\""));
    failed.map(str::to_owned).collect()
}

/// Sets variables until the proxy refuses, and returns how many it accepted and the refusal, if any.
fn set_large_variables(session: &mut Caller, count: usize) -> (usize, Option<String>) {
    let value = "v".repeat(LARGE_BYTES);
    for at in 0..count {
        let answer = session.query(&format!("SET large{at} {value}")).expect("the session goes on");
        if !answer.result.starts_with("DONE") {
            return (at, Some(answer.result));
        }
    }
    (count, None)
}

/// Guards against variables whose values together don't fit a frame between proxies: each statement of the session was
/// sent to three healthy proxies in turn, which were then avoided, and was refused as if they had failed.
#[test]
fn variables_that_are_too_large_for_a_frame_are_refused_when_they_are_set() {
    let (fleet, forwarding) = fleet_with_forwarding_proxy(235);
    let mut session = fleet.connect(forwarding, "shift");
    session.query_until_done("PUT slot ada");
    // The proxies that serve the group may change after the start.
    let earlier = failed_forwards(&fleet, forwarding).len();
    let (accepted, refusal) = set_large_variables(&mut session, 5);
    let answer = session.query("PUT slot anna").expect("the session goes on");
    assert!(answer.result.starts_with("DONE"), "{accepted} accepted, {refusal:?}: {answer:?}");
    assert!(refusal.is_some_and(|text| text.starts_with("ERR FAILED")), "{accepted} accepted");
    assert_eq!(failed_forwards(&fleet, forwarding)[earlier..], [""; 0]);
}

/// Guards against rows that don't fit a frame between proxies: the read was sent to three healthy proxies in turn, which
/// were then avoided, and refused as if they had failed.
#[test]
fn rows_that_are_too_large_for_a_frame_cost_only_their_own_statement() {
    let (fleet, forwarding) = fleet_with_forwarding_proxy(236);
    assert_eq!(fleet.put_configuration(2, 10_000), 200);
    let mut session = fleet.connect(forwarding, "desk");
    // The bytes of these rows are within the limit of an answer, and their lengths add to a frame.
    session.query_until_done(&format!("PUT short {}", "r".repeat(120)));
    assert_eq!(session.query_until_done("FETCH short rows 1000").rows.len(), 1_000);
    // The proxies that serve the group may change after the start.
    let earlier = failed_forwards(&fleet, forwarding).len();
    for _ in 0..3 {
        let answer = session.query("FETCH short rows 34600").expect("the session goes on");
        let failed = failed_forwards(&fleet, forwarding);
        assert!(answer.result.starts_with("ERR FAILED"), "{}: {failed:?}", answer.result);
        assert_eq!((answer.rows.len(), answer.state.as_str()), (0, "I"));
    }
    session.query_until_done("BEGIN");
    let answer = session.query("FETCH short rows 34600").expect("the session goes on");
    let failed = failed_forwards(&fleet, forwarding);
    assert!(answer.result.starts_with("ERR ABORTED"), "{}: {failed:?}", answer.result);
    assert_eq!(answer.state, "E");
    session.query("ROLLBACK").expect("the session goes on");
    assert!(session.query("PUT slot ben").unwrap().result.starts_with("DONE"));
    assert_eq!(failed_forwards(&fleet, forwarding)[earlier..], [""; 0]);
}

/// Guards against an id that makes each log line that names it nearly 1 MiB long: 1,024 of them wait in memory for a reader.
#[test]
fn the_length_of_a_log_line_is_bounded() {
    let fleet = Fleet::up(238);
    // Whatever takes over a millisecond is logged.
    let configuration = lines::configuration(2, 800, lines::MAX_CONNECTIONS);
    let configuration = configuration.replace("\"TargetLatencyMs\":200", "\"TargetLatencyMs\":1");
    assert_eq!(fleet.put_configuration_text(&configuration), 200);
    let mut session = fleet.connect(lines::PROXIES[0], "desk");
    let id = format!("long-id-{}", "i".repeat(LARGE_BYTES));
    let log = || std::fs::read_to_string(fleet.log_file(lines::PROXIES[0])).unwrap();
    let start = Instant::now();
    while !log().contains("long-id-") {
        assert!(start.elapsed() < TIMEOUT, "no line names the id");
        session.query_with_id(&id, "FETCH item").expect("the session goes on");
    }
    let log = log();
    let lines: Vec<&str> = log.lines().filter(|line| line.contains("long-id-")).collect();
    let longest = lines.iter().map(|line| line.len()).max().unwrap();
    assert!(longest < 64 * 1024, "a line of {longest} bytes");
    let line: serde_json::Value = serde_json::from_str(lines[0]).unwrap();
    assert_eq!((&line["event"], &line["group"]), (&"request".into(), &"books".into()));
}
