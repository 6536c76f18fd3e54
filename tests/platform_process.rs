//! Tests the real binary against a stand-in for the users' platform: statements, promotion, drain, signals and
//! configurations.

mod lines;

use std::time::{Duration, Instant};

use lines::{Fleet, PROXIES, TIMEOUT};

#[test]
fn sessions_read_their_own_writes_and_keep_their_own_values() {
    let fleet = Fleet::up(81);
    let mut session = fleet.connect(PROXIES[0], "shift");
    let mut other = fleet.connect(PROXIES[0], "shift");
    assert!(session.connect_answer.starts_with("READY I"), "{}", session.connect_answer);
    for round in 0..20 {
        session.query_until_done(&format!("PUT item{round} mine{round}"));
        assert_eq!(
            session.query_until_done(&format!("FETCH item{round}")).rows,
            [format!("mine{round}")]
        );
    }
    session.query_until_done("SET zone north");
    other.query_until_done("SET zone south");
    session.query_until_done("PREPARE s1 FETCH q");
    other.query_until_done("PREPARE s1 PUT q");
    other.query_until_done("EXEC s1 k1 theirs");
    assert_eq!(session.query_until_done("EXEC s1 item3").rows, ["mine3"]);
    session.query_until_done("FETCH item4 as-north");
    other.query_until_done("FETCH item4 as-south");
    for (instance, zone) in [("as-north", "north"), ("as-south", "south")] {
        let executed = ["i-21", "i-22", "i-23"].iter().flat_map(|id| fleet.group.executed(id));
        let mut statements = executed.filter(|(text, _)| text.ends_with(instance)).peekable();
        assert!(
            statements.peek().is_some(),
            "no instance ran the statement that ends in {instance}"
        );
        assert!(statements.all(|(_, values)| values["zone"] == zone));
    }
    let unknown = fleet.connect(PROXIES[1], "nobody");
    assert!(unknown.connect_answer.starts_with("ERR NODB"), "{}", unknown.connect_answer);
}

#[test]
fn a_transaction_is_applied_entirely_or_not_at_all() {
    let fleet = Fleet::up(82);
    let mut session = fleet.connect(PROXIES[0], "desk");
    assert_eq!(session.query("BEGIN").unwrap().state, "T");
    assert_eq!(session.query_until_done("PUT slot anna").state, "T");
    assert_eq!(session.query_until_done("ROLLBACK").state, "I");
    assert!(fleet.group.values_of("slot").is_empty());
    session.query_until_done("BEGIN");
    session.query_until_done("PUT slot ben");
    assert_eq!(session.query_until_done("COMMIT").state, "I");
    assert_eq!(fleet.group.values_of("slot"), ["ben"]);
    session.query_until_done("BEGIN FETCH");
    let refused = session.query("PUT slot cleo").unwrap();
    assert_eq!(refused.state, "E", "{refused:?}");
    assert!(session.query("FETCH slot").unwrap().result.starts_with("ERR MALFORMED"));
    assert_eq!(session.query("ROLLBACK").unwrap().state, "I");
    // A transaction is rolled back if its caller disconnects.
    let mut abandoned = fleet.connect(PROXIES[0], "desk");
    abandoned.query_until_done("BEGIN");
    abandoned.query_until_done("PUT slot dora");
    drop(abandoned);
    assert_eq!(session.query_until_done("FETCH slot").rows, ["ben"]);
}

/// The primary crashes under writes: another instance is promoted once, and has every acknowledged write once.
#[test]
fn a_crashed_primary_is_replaced_and_no_acknowledged_write_is_lost_or_doubled() {
    let fleet = Fleet::up(83);
    let mut session = fleet.connect(PROXIES[0], "desk");
    let mut acknowledged = Vec::new();
    let old_primary = fleet.group.primary();
    let start = Instant::now();
    let mut crashed = false;
    for number in 0.. {
        if number == 20 {
            fleet.group.crash(&old_primary);
            crashed = true;
        }
        let data = format!("w{number}");
        let answer = session.query(&format!("PUT book {data}")).expect("the session stays open");
        match answer.result.split(' ').nth(1) {
            _ if answer.result.starts_with("DONE") => acknowledged.push(data),
            Some("BUSY" | "ABORTED" | "READONLY" | "UNKNOWN" | "TIMEOUT") => {}
            _ => panic!("{answer:?}"),
        }
        let complete = acknowledged.len() >= 40 && crashed;
        if complete {
            break;
        }
        assert!(start.elapsed() < TIMEOUT, "{} writes\n{}", acknowledged.len(), fleet.logs());
        std::thread::sleep(Duration::from_millis(5));
    }
    let values = fleet.group.values_of("book");
    for data in &acknowledged {
        assert_eq!(
            values.iter().filter(|value| *value == data).count(),
            1,
            "{data}\n{}",
            fleet.logs()
        );
    }
    assert_ne!(fleet.group.primary(), old_primary);
    let promotions = fleet.group.promotions.lock().unwrap();
    assert!(promotions.iter().all(|(id, ..)| *id != old_primary), "{promotions:?}");
    let holders: Vec<_> = promotions.iter().map(|(_, holder, token)| (holder, token)).collect();
    assert!(holders.windows(2).all(|pair| pair[0].1 != pair[1].1 || pair[0].0 == pair[1].0));
}

/// A proxy starts under load while connections open as slowly as on a busy instance. It has no sample of the primary's
/// position yet, which it needs to send bounded reads to replicas. The reads must wait for one instead of queueing for
/// the primary.
#[test]
fn reads_after_a_start_wait_for_a_sample_and_not_for_the_primary() {
    let mut fleet = Fleet::up(92);
    fleet.group.set_connect_delay(Duration::from_millis(80));
    fleet.signal(PROXIES[0], "-KILL");
    fleet.wait_for_exit(PROXIES[0]);
    fleet.start_process(PROXIES[0], false);
    fleet.wait_until("the proxy is ready", |fleet| fleet.is_ready(PROXIES[0]));
    std::thread::scope(|scope| {
        for number in 0..20 {
            let fleet = &fleet;
            scope.spawn(move || {
                let mut session = fleet.connect(PROXIES[0], "menu");
                session.query(&format!("FETCH first{number}"))
            });
        }
    });
    // The first served request is logged as a sample.
    let logs = fleet.logs();
    let lines = logs.lines().filter(|line| line.contains("\"class\":\"bounded-1\""));
    let served: Vec<&str> = lines.filter(|line| line.contains("\"outcome\":\"done\"")).collect();
    assert!(!served.is_empty(), "{logs}");
    assert!(served.iter().all(|line| line.contains("\"need\":\"mark\"")), "{logs}");
}

/// Instances limit their connections, so connections that were opened for a burst are closed after it.
#[test]
fn unused_connections_are_closed() {
    let fleet = Fleet::up(88);
    let mut sessions: Vec<_> = (0..4).map(|_| fleet.connect(PROXIES[0], "desk")).collect();
    for session in &mut sessions {
        session.query_until_done("BEGIN");
        session.query_until_done("PUT slot anna");
    }
    let primary = fleet.group.primary();
    let connections = |fleet: &Fleet| fleet.group.connections(&primary);
    let burst = connections(&fleet);
    assert!(burst >= 4, "{burst} connections for four transactions");
    sessions
        .iter_mut()
        .for_each(|session| assert_eq!(session.query_until_done("COMMIT").state, "I"));
    // Control and each proxy keep a connection to query the primary's status.
    fleet.wait_until("unused connections are closed", |fleet| connections(fleet) <= burst - 3);
    sessions[0].query_until_done("FETCH slot");
}

#[test]
fn a_draining_replica_gets_no_new_statements() {
    let fleet = Fleet::up(84);
    let mut session = fleet.connect(PROXIES[0], "menu");
    session.query_until_done("FETCH a");
    fleet.group.drain("i-22");
    fleet.wait_until("the drain is known", |fleet| {
        fleet.logs().contains("i-22 of books is Leaving")
    });
    std::thread::sleep(Duration::from_millis(500));
    let before = fleet.group.executed("i-22").len();
    for _ in 0..50 {
        session.query_until_done("FETCH a");
    }
    assert_eq!(fleet.group.executed("i-22").len(), before);
}

/// After SIGTERM the readiness probe fails at once, open transactions can finish, and the process exits by itself in
/// time.
#[test]
fn a_terminated_proxy_finishes_open_transactions() {
    let mut fleet = Fleet::up(85);
    let mut idle = fleet.connect(PROXIES[0], "desk");
    let mut busy = fleet.connect(PROXIES[0], "desk");
    busy.query_until_done("BEGIN");
    busy.query_until_done("PUT slot anna");
    let start = Instant::now();
    fleet.signal(PROXIES[0], "-TERM");
    fleet.wait_until("the proxy is not ready", |fleet| !fleet.is_ready(PROXIES[0]));
    assert!(start.elapsed() < Duration::from_secs(1));
    assert_eq!(
        idle.query_until_done("FETCH slot").rows,
        ["nothing"],
        "sessions are served while the proxy drains"
    );
    assert_eq!(idle.line(), None, "an idle session is closed between its requests");
    assert_eq!(busy.query_until_done("COMMIT").state, "I");
    assert!(fleet.wait_for_exit(PROXIES[0]));
    assert!(start.elapsed() < Duration::from_secs(6), "{:?}", start.elapsed());
    assert_eq!(fleet.group.values_of("slot"), ["anna"]);
}

/// The configuration with the highest version is in force. Configurations that are sent again, and older ones, are
/// acknowledged without effect.
#[test]
fn configurations_are_acknowledged_kept_and_shown_as_sent() {
    let mut fleet = Fleet::up(86);
    assert_eq!(fleet.put_configuration(9, 900), 200);
    assert_eq!(fleet.put_configuration(9, 900), 200, "the same configuration again");
    assert_eq!(fleet.put_configuration(4, 100), 200, "an older configuration");
    assert_eq!(fleet.put_configuration(10, 0), 400, "an invalid configuration");
    let shown = |fleet: &Fleet| {
        (1..=3)
            .filter_map(|vm| lines::send_http(fleet.address(vm, 17_303), "GET /config", ""))
            .collect::<Vec<_>>()
    };
    let sent = lines::configuration(9, 900, lines::MAX_CONNECTIONS);
    fleet.wait_until("every control process returns the configuration", |fleet| {
        let shown = shown(fleet);
        shown.len() == 3 && shown.iter().all(|(status, body)| *status == 200 && *body == sent)
    });
    for vm in 1..=3 {
        fleet.signal(vm, "-KILL");
        fleet.wait_for_exit(vm);
    }
    (1..=3).for_each(|vm| fleet.start_process(vm, false));
    fleet.wait_until(
        "the configuration is returned after all control processes were killed",
        |fleet| shown(fleet).iter().any(|(status, body)| *status == 200 && *body == sent),
    );
}

#[test]
fn malformed_input_does_not_affect_other_connections() {
    let fleet = Fleet::up(87);
    let mut good = fleet.connect(PROXIES[0], "desk");
    let mut bad = fleet.connect(PROXIES[0], "desk");
    bad.send("HELLO \u{7}");
    assert_eq!(bad.line().as_deref(), Some("ERR MALFORMED a message of an unknown kind"));
    assert_eq!(bad.line(), None);
    let mut oversized = fleet.connect(PROXIES[0], "desk");
    let long = "x".repeat(1_100_000);
    let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| oversized.send(&long)));
    let reason = "ERR MALFORMED a message is longer than 1048576 bytes";
    assert_eq!(oversized.line().as_deref(), Some(reason));
    assert_eq!(oversized.line(), None);
    let gateway = fleet.address(1, 17_303);
    for (request_line, body) in [
        ("PUT /config", "{"),
        ("PUT /instances/i-99", "{\"Service\":7}"),
        ("PUT /instances/i%2099", "{}"),
    ] {
        assert_eq!(
            lines::send_http(gateway, request_line, body).expect("the gateway answers").0,
            400,
            "{request_line}"
        );
    }
    assert_eq!(lines::send_http(gateway, "POST /nothing", "").expect("the gateway answers").0, 404);
    assert_eq!(good.query_until_done("FETCH a").rows, ["nothing"]);
}
