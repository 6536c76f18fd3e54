//! Tests on separate processes that nothing takes effect under an authority that has ended: a write whose time is
//! over, a commit without a lease.

mod lines;

use std::time::Duration;

use lines::{Caller, Fleet};

const VOTERS: [u8; 3] = [1, 2, 3];

/// Longer than the timeout of a statement (800 ms) and the lease of a proxy.
const FREEZE: Duration = Duration::from_millis(2_000);

/// How long a statement that was held up may take to arrive and run once nothing holds it.
const SETTLE: Duration = Duration::from_millis(1_500);

fn sleep(duration: Duration) {
    std::thread::sleep(duration);
}

/// Returns the line of the next answer that says how a statement ended.
fn receive_result(session: &mut Caller) -> String {
    let mut result = String::new();
    loop {
        let line = session.line().expect("the session goes on");
        if line.starts_with("READY ") {
            return result;
        }
        result = line;
    }
}

fn begin_with(session: &mut Caller, write: &str) {
    session.query_until_done("BEGIN");
    session.query_until_done(write);
}

/// Returns how often a statement ran, on any instance.
fn count_runs(fleet: &Fleet, text: &str) -> usize {
    let executed = ["i-21", "i-22", "i-23"].iter().flat_map(|id| fleet.group.executed(id));
    executed.filter(|(executed, _)| executed == text).count()
}

/// A proxy opens a connection for a write, and is frozen until the time of the write is over. It sent the write when it
/// went on, and could say no more than that its outcome is unknown.
#[test]
fn a_write_whose_time_is_over_is_not_sent() {
    let fleet = Fleet::up(171);
    let vm = fleet.proxies[0];
    // The idle connections are in use, so that the write needs a new one.
    let mut holders: Vec<Caller> = (0..3).map(|_| fleet.connect(vm, "desk")).collect();
    for (number, holder) in holders.iter_mut().enumerate() {
        begin_with(holder, &format!("PUT held{number} x"));
    }
    let mut session = fleet.connect(vm, "desk");
    fleet.group.set_connect_delay(Duration::from_millis(500));
    session.send("QUERY late1 PUT late x");
    sleep(Duration::from_millis(150));
    fleet.signal(vm, "-STOP");
    assert_eq!(count_runs(&fleet, "PUT late x"), 0, "the write waits for a connection");
    sleep(FREEZE);
    fleet.signal(vm, "-CONT");
    let result = receive_result(&mut session);
    sleep(SETTLE);
    assert_eq!(count_runs(&fleet, "PUT late x"), 0, "{result}\n{}", fleet.logs());
    assert!(result.starts_with("ERR BUSY"), "{result}\n{}", fleet.logs());
}

/// A proxy is frozen while a caller commits, and control can't be reached when it goes on. It sent the commit without a
/// lease, although no answer to it could be released.
#[test]
fn a_commit_is_not_sent_without_a_lease() {
    let fleet = Fleet::up(172);
    let vm = fleet.proxies[0];
    let mut session = fleet.connect(vm, "desk");
    begin_with(&mut session, "PUT kept x");
    fleet.signal(vm, "-STOP");
    session.send("QUERY commit1 COMMIT");
    VOTERS.iter().for_each(|voter| fleet.signal(*voter, "-STOP"));
    sleep(FREEZE);
    fleet.signal(vm, "-CONT");
    let result = receive_result(&mut session);
    sleep(SETTLE);
    assert!(fleet.group.values_of("kept").is_empty(), "{result}\n{}", fleet.logs());
    assert!(result.starts_with("ERR ABORTED"), "{result}\n{}", fleet.logs());
    VOTERS.iter().for_each(|voter| fleet.signal(*voter, "-CONT"));
    fleet.wait_until("the proxy is ready", |fleet| fleet.is_ready(vm));
    let mut session = fleet.connect(vm, "desk");
    begin_with(&mut session, "PUT kept y");
    session.query_until_done("COMMIT");
    assert_eq!(fleet.group.values_of("kept"), ["y"]);
}
