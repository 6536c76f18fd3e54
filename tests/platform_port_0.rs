//! Tests a failover of the real binary while another writer announces an instance that doesn't exist.

mod lines;

use std::time::{Duration, Instant};

use lines::{Fleet, PROXIES, TIMEOUT};

const CONTROL_PORT: u16 = 17_303;

/// An instance that doesn't exist counts in its group while it is listed, so that a failover waits for its answer.
#[test]
fn a_failover_does_not_wait_for_an_entry_with_port_0() {
    let fleet = Fleet::up(193);
    let gateway = fleet.address(1, CONTROL_PORT);
    let body = "{\"Service\":\"books\",\"Addr\":\"127.193.0.29:0\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":2,\
                \"State\":\"ready\",\"ColdLeftMs\":0,\"DbRole\":\"replica\",\"Seq\":1,\"born\":1700000000000}";
    let announce = || lines::send_http(gateway, "PUT /instances/i-99", body);
    announce();
    let primary = fleet.group.primary();
    fleet.group.crash(&primary);
    let start = Instant::now();
    let mut session = fleet.connect(PROXIES[0], "desk");
    loop {
        announce();
        match session.query("PUT a b") {
            Some(answer) if answer.result.starts_with("DONE") => break,
            Some(_) => {}
            None => session = fleet.connect(PROXIES[0], "desk"),
        }
        assert!(start.elapsed() < TIMEOUT, "no write was served\n{}", fleet.logs());
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_ne!(fleet.group.primary(), primary);
}
