//! Tests the real binary with callers and instances that send messages which can't be read.

mod lines;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::{Duration, Instant};

use lines::{Fleet, METRICS_PORT, PROXIES, send_http};
use serde_json::Value;

/// Sends bytes to a proxy as a caller does. Returns the address of the caller and all that the proxy sends until it closes
/// the connection.
fn send(fleet: &Fleet, vm: u8, bytes: &[u8]) -> (SocketAddr, String) {
    let mut socket = TcpStream::connect(fleet.address(vm, lines::FRONT_PORT)).unwrap();
    socket.set_read_timeout(Some(lines::TIMEOUT)).unwrap();
    socket.write_all(bytes).unwrap();
    let mut received = Vec::new();
    socket.read_to_end(&mut received).expect("the proxy closes the connection");
    (socket.local_addr().unwrap(), String::from_utf8(received).unwrap())
}

/// Returns the `unreadable` lines in the logs of all processes.
fn unreadable_lines(fleet: &Fleet) -> Vec<Value> {
    let logs = fleet.logs();
    let lines = logs.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter(|line| line["event"] == "unreadable").collect()
}

fn wait_for_line(fleet: &Fleet, matches: impl Fn(&Value) -> bool) -> Value {
    fleet
        .wait_until("the message has a line", |fleet| unreadable_lines(fleet).iter().any(&matches));
    unreadable_lines(fleet).into_iter().find(matches).expect("a line")
}

/// Returns how many messages of a kind of peer a proxy has counted as unreadable for a reason.
fn counted(fleet: &Fleet, vm: u8, peer: &str, reason: &str) -> usize {
    let metrics = send_http(fleet.address(vm, METRICS_PORT), "GET /metrics", "").expect("metrics");
    let series =
        format!("cactushatch_protocol_errors_total{{peer=\"{peer}\",reason=\"{reason}\"}} ");
    let count = metrics.1.lines().find_map(|line| line.strip_prefix(&series));
    count.map_or(0, |count| count.parse().expect("a number"))
}

#[test]
fn logs_and_metrics_tell_where_a_message_of_a_caller_could_not_be_read() {
    let fleet = Fleet::up(240);
    let read = "CONNECT desk me\r\n";
    let (address, _) = send(&fleet, PROXIES[0], format!("{read}WHAT hidden\r\nBYE\r\n").as_bytes());
    let line = wait_for_line(&fleet, |line| line["address"] == address.to_string());
    assert_eq!((&line["peer"], &line["reason"]), (&"caller".into(), &"kind".into()), "{line}");
    assert_eq!((&line["instance"], &line["command"]), (&Value::Null, &Value::Null), "{line}");
    assert!(line["connection"].as_u64().is_some_and(|number| number > 0), "{line}");
    assert_eq!(line["offset"], read.len(), "{line}");
    assert_eq!((&line["len"], &line["is_complete"]), (&13.into(), &true.into()), "{line}");
    assert_eq!(counted(&fleet, PROXIES[0], "caller", "kind"), 1);

    let (address, _) = send(&fleet, PROXIES[0], &vec![b'x'; 1024 * 1024 + 1]);
    let line = wait_for_line(&fleet, |line| line["address"] == address.to_string());
    assert_eq!((&line["reason"], &line["offset"]), (&"too_long".into(), &0.into()), "{line}");
    assert_eq!((&line["len"], &line["is_complete"]), (&1_048_577.into(), &false.into()), "{line}");
    assert!(!fleet.logs().contains("hidden"), "the content of a message is in a log");
}

#[test]
fn logs_and_metrics_tell_where_a_message_of_an_instance_could_not_be_read() {
    let fleet = Fleet::up(241);
    let mut session = fleet.connect(PROXIES[0], "desk");
    session.query_until_done("PUT odd plain");
    fleet.group.change_conditions(|conditions| {
        conditions.replacement = |_, statement| {
            let is_odd = statement.ends_with("FETCH odd");
            is_odd.then(|| "ROW a\r\nWHAT hidden\r\nDONE s\r\nREADY I 1.1\r\n".to_owned())
        };
    });
    session.query("FETCH odd");
    let line = wait_for_line(&fleet, |line| line["peer"] == "upstream");
    assert_eq!((&line["group"], &line["reason"]), (&"books".into(), &"kind".into()), "{line}");
    assert!(line["instance"].as_str().is_some_and(|id| id.starts_with("i-2")), "{line}");
    assert!(line["address"].as_str().is_some_and(|address| address.ends_with(":17306")), "{line}");
    assert!(line["connection"].as_u64().is_some_and(|number| number > 0), "{line}");
    assert_eq!(line["command"], "data", "{line}");
    assert!(line["offset"].as_u64().is_some_and(|offset| offset > 0), "{line}");
    assert_eq!((&line["len"], &line["is_complete"]), (&13.into(), &true.into()), "{line}");
    fleet.wait_until("every line is counted", |fleet| {
        let lines = unreadable_lines(fleet).len();
        lines == PROXIES.into_iter().map(|vm| counted(fleet, vm, "upstream", "kind")).sum::<usize>()
    });
    assert!(!fleet.logs().contains("hidden"), "the content of a message is in a log");
}

#[test]
fn nothing_behind_an_unreadable_message_of_a_caller_runs() {
    static ROLLBACKS: AtomicU32 = AtomicU32::new(0);
    let fleet = Fleet::up(242);
    fleet.group.change_conditions(|conditions| {
        conditions.replacement = |_, statement| {
            ROLLBACKS.fetch_add(u32::from(statement == "ROLLBACK"), Relaxed);
            None
        };
    });
    fleet.connect(PROXIES[0], "desk").query_until_done("PUT known x");
    let long = [b"QUERY q1 PUT long ", &vec![b'x'; 3 * 1024 * 1024][..], b"\r\n"].concat();
    for (unreadable, reason) in [
        (&b"WHAT\r\n"[..], "ERR MALFORMED a message of an unknown kind"),
        (b"QUERY\r\n", "ERR MALFORMED a message with a missing or unreadable field"),
        (&long, "ERR MALFORMED a message is longer than 1048576 bytes"),
    ] {
        let behind = b"QUERY q2 PUT behind x\r\nQUERY q3 COMMIT\r\n";
        let opened = b"CONNECT desk me\r\nQUERY q4 BEGIN\r\nQUERY q5 PUT open x\r\n";
        let (_, received) = send(&fleet, PROXIES[0], &[&opened[..], unreadable, behind].concat());
        let lines: Vec<&str> = received.split_terminator("\r\n").collect();
        assert!(lines.len() == 6 && lines[4].starts_with("READY T"), "{received}");
        assert_eq!(lines[5], reason);
        let (_, received) = send(&fleet, PROXIES[0], &[unreadable, &opened[..]].concat());
        assert_eq!(received, format!("{reason}\r\n"));
    }
    // The framing of a statement without a text is intact, so the session goes on.
    let sent = b"CONNECT desk me\r\nQUERY q1 BEGIN\r\nQUERY q2 PUT open x\r\nQUERY q3\r\n\
        QUERY q4 COMMIT\r\nQUERY q5\r\nQUERY q6 FETCH open\r\nBYE\r\n";
    let (_, received) = send(&fleet, PROXIES[0], sent);
    let words = |line: &str| line.split(' ').take(2).collect::<Vec<&str>>().join(" ");
    let lines: Vec<String> = received.split_terminator("\r\n").map(words).collect();
    assert_eq!(&lines[4..7], ["READY T", "ERR MALFORMED", "READY E"], "{received}");
    assert_eq!(&lines[8..11], ["READY I", "ERR MALFORMED", "READY I"], "{received}");
    assert_eq!(&lines[11..], ["ROW nothing", &lines[12], "READY I"], "{received}");
    fleet.wait_until("every transaction is rolled back", |_| ROLLBACKS.load(Relaxed) == 4);
    let executed = fleet.group.executed(&fleet.group.primary());
    let is_behind = |text: &str| text.contains("behind") || text.contains("long");
    assert!(!executed.iter().any(|(text, _)| is_behind(text)), "{executed:?}");
    assert_eq!(fleet.group.values_of("open"), Vec::<String>::new());
}

fn was_faulty(fleet: &Fleet) -> bool {
    fleet.logs().contains("\"trouble\":\"Faulty\"")
}

/// One row that could not be read made its instance count as faulty for all sessions, and so did an answer with too many
/// rows, which each instance was asked for in turn.
#[test]
fn an_answer_that_cannot_be_delivered_costs_only_its_own_statement() {
    static SENT: AtomicU32 = AtomicU32::new(0);
    let fleet = Fleet::up(243);
    let mut session = fleet.connect(PROXIES[0], "desk");
    session.query_until_done("PUT plain x");
    fleet.group.change_conditions(|conditions| {
        conditions.replacement = |_, statement| {
            let is_odd = statement.ends_with(" odd") || statement.contains("PUT odd");
            let is_large = statement.ends_with(" large");
            SENT.fetch_add(u32::from(is_odd || is_large), Relaxed);
            let row = || format!("ROW {}\r\n", "x".repeat(100_000));
            match (is_odd, is_large) {
                (true, _) => Some("ROW a\r\nWHAT\r\nDONE s\r\nREADY I 1.1\r\n".to_owned()),
                (_, true) => Some(format!("{}DONE s\r\nREADY I 1.1\r\n", row().repeat(45))),
                _ => None,
            }
        };
    });
    let mut others: Vec<_> =
        ["desk", "menu"].into_iter().map(|name| fleet.connect(PROXIES[0], name)).collect();
    for name in ["desk", "menu"] {
        let mut session = fleet.connect(PROXIES[0], name);
        for (statements, result, attempts) in [
            (&["FETCH odd"][..], "ERR FAILED", 4),
            (&["PUT odd x"], "ERR UNKNOWN", 1),
            (&["BEGIN", "FETCH odd", "ROLLBACK"], "ERR ABORTED", 4),
            (&["BEGIN", "FETCH plain", "FETCH odd", "ROLLBACK"], "ERR ABORTED", 1),
            (&["FETCH large"], "ERR FAILED", 1),
            (&["BEGIN", "FETCH large", "ROLLBACK"], "ERR FAILED", 1),
            (&["BEGIN", "FETCH plain", "FETCH large", "ROLLBACK"], "ERR FAILED", 1),
        ] {
            for _ in 0..10 {
                let before = SENT.load(Relaxed);
                for statement in statements {
                    let answer = session.query(statement).expect("the session goes on");
                    let is_special =
                        [" odd", " large", "odd x"].iter().any(|end| statement.ends_with(end));
                    let expected = if is_special { result } else { "DONE" };
                    assert!(answer.result.starts_with(expected), "{name}, {statement}: {answer:?}");
                }
                let sent = SENT.load(Relaxed) - before;
                assert!(sent <= attempts, "{name}, {statements:?}: sent {sent} times");
                for other in &mut others {
                    let answer = other.query("FETCH plain").expect("the session goes on");
                    assert!(answer.result.starts_with("DONE"), "{answer:?}\n{}", fleet.logs());
                }
                let answer = others[0].query("PUT plain x").expect("the session goes on");
                assert!(answer.result.starts_with("DONE"), "{answer:?}\n{}", fleet.logs());
            }
        }
    }
    assert!(!was_faulty(&fleet), "{}", fleet.logs());
}

/// An instance that answers nothing in a way that can be read is not used until it does.
#[test]
fn an_instance_whose_every_answer_is_unreadable_is_not_used() {
    static ASKED: AtomicU32 = AtomicU32::new(0);
    let fleet = Fleet::up(244);
    fleet.connect(PROXIES[0], "desk").query_until_done("PUT plain x");
    let mut session = fleet.connect(PROXIES[0], "menu");
    fleet.group.change_conditions(|conditions| {
        conditions.replacement = |instance, statement| {
            let is_odd = instance == "i-22" && statement != "CONNECT";
            ASKED.fetch_add(u32::from(is_odd && statement.contains("FETCH")), Relaxed);
            is_odd.then(|| "WHAT\r\n".to_owned())
        };
    });
    let mut read = || {
        let answer = session.query("FETCH plain").expect("the session goes on");
        assert!(answer.result.starts_with("DONE"), "{answer:?}\n{}", fleet.logs());
    };
    let faulty = "\"instance\":\"i-22\",\"group\":\"books\",\"trouble\":\"Faulty\"";
    fleet.wait_until("both proxies know", |fleet| {
        fleet.logs().matches(faulty).count() >= PROXIES.len()
    });
    let before = ASKED.load(Relaxed);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(2) {
        read();
    }
    assert_eq!(ASKED.load(Relaxed), before, "a faulty instance is asked");
    assert_eq!(fleet.logs().matches(faulty).count(), PROXIES.len(), "its health goes up and down");
    fleet.group.change_conditions(|conditions| conditions.replacement = |_, _| None);
    let fine = "\"instance\":\"i-22\",\"group\":\"books\",\"trouble\":\"Fine\"";
    fleet.wait_until("the instance is used again", |fleet| fleet.logs().contains(fine));
    read();
}

/// A statement whose prepared text the instance refused was tried again on new connections until its deadline.
#[test]
fn a_prepared_text_that_an_instance_refuses_is_refused_once() {
    static SENT: AtomicU32 = AtomicU32::new(0);
    let fleet = Fleet::up(245);
    let mut session = fleet.connect(PROXIES[0], "desk");
    session.query_until_done("PREPARE odd PUT refused");
    fleet.group.change_conditions(|conditions| {
        conditions.replacement = |_, statement| {
            let is_refused = statement.starts_with("PREPARE") && statement.ends_with("refused");
            SENT.fetch_add(u32::from(is_refused), Relaxed);
            is_refused.then(|| "ERR MALFORMED no such table\r\nREADY I 1.0\r\n".to_owned())
        };
    });
    let answer = session.query("EXEC odd item x").expect("the session goes on");
    assert_eq!(
        (answer.result.as_str(), answer.state.as_str()),
        ("ERR MALFORMED no such table", "I")
    );
    assert_eq!(SENT.load(Relaxed), 1);
    let answer = session.query("PUT item x").expect("the session goes on");
    assert!(answer.result.starts_with("DONE"), "{answer:?}");
}
