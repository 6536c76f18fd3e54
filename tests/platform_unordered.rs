//! Tests on real processes that a promotion which no order in force asked for is found and put right.

mod lines;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;

use lines::{Fleet, METRICS_PORT, PROXIES, send_http};

/// The port at which the stand-in for the platform takes orders, and its VM.
const PLATFORM: (u8, u16) = (31, 17_307);

const CONTROL: [u8; 3] = [1, 2, 3];

/// The replica that a late order names.
const LATE: &str = "i-22";

/// Delivers an order that a control process sent and gave up long ago.
fn deliver_late_order(address: SocketAddr) {
    let body = format!("{{\"Service\":\"books\",\"Id\":\"{LATE}\"}}");
    let length = body.len();
    let mut socket = TcpStream::connect(address).unwrap();
    let head = "POST /promote HTTP/1.1\r\nhost: x\r\nholder: control-1\r\nfence-token: 1\r\n";
    write!(socket, "{head}connection: close\r\ncontent-length: {length}\r\n\r\n{body}").unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("200"), "{answer}");
}

/// Returns how many unordered promotions the control processes have counted.
fn counted(fleet: &Fleet) -> u64 {
    let count = |vm: &u8| {
        let address = fleet.address(*vm, METRICS_PORT);
        let (_, text) = send_http(address, "GET /metrics", "")?;
        let line = text.lines().find_map(|line| {
            line.strip_prefix("cactushatch_unordered_promotions_total ").map(str::to_owned)
        });
        line?.parse::<u64>().ok()
    };
    CONTROL.iter().filter_map(count).sum()
}

#[test]
fn a_late_promotion_of_a_replica_that_lags_is_counted_and_the_group_is_served_again() {
    let fleet = Fleet::up_behind_paths(157);
    let mut caller = fleet.connect(PROXIES[0], "desk");
    for number in 0..10 {
        caller.query_until_done(&format!("PUT book a{number}"));
    }
    fleet.group.detach(LATE);
    fleet.group.answer_again(LATE);
    let mut acknowledged = Vec::new();
    for number in 0..10 {
        let data = format!("b{number}");
        caller.query_until_done(&format!("PUT book {data}"));
        acknowledged.push(data);
    }
    assert_eq!(counted(&fleet), 0);
    deliver_late_order(fleet.address(PLATFORM.0, PLATFORM.1));
    fleet.wait_until("the promotion is counted", |fleet| counted(fleet) > 0);
    let caller = Mutex::new(fleet.connect(PROXIES[1], "desk"));
    fleet.wait_until("a write is acknowledged", |_| {
        caller
            .lock()
            .unwrap()
            .query("PUT book c")
            .is_some_and(|answer| answer.result.starts_with("DONE"))
    });
    let values = fleet.group.values_of("book");
    // How many are kept depends on when the next probe comes: the old primary rolls back a second after the promotion.
    let kept = acknowledged.iter().filter(|data| values.contains(data)).count();
    println!("{kept} of 10 kept; the primary is {}", fleet.group.primary());
    assert!(values.contains(&"c".to_owned()), "{}", fleet.logs());
    let logs = fleet.logs();
    assert!(logs.contains("\"event\":\"unordered_promotion\""), "{logs}");
    // A second one would mean that control doesn't keep to what it has put in force.
    assert_eq!(counted(&fleet), 1, "{logs}");
}
