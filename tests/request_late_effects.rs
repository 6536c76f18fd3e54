//! Tests on separate processes that no request takes effect under an authority that has ended, or is reported as not run
//! although it may have taken effect.

mod env;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use env::Fleet;
use postgres::{Config, NoTls, SimpleQueryMessage};

/// Time after which an expected event counts as missing.
const TIMEOUT: Duration = Duration::from_secs(10);

fn upstream_address(fleet: &Fleet, instance: &str) -> SocketAddr {
    let upstreams = std::fs::read_to_string(fleet.path().join("upstreams")).expect("the list");
    let line = upstreams.lines().find_map(|line| line.strip_prefix(&format!("{instance} ")));
    line.expect("the instance is listed").parse().expect("an address")
}

/// Returns the term and the position of an instance, by its port for faults.
fn report(fleet: &Fleet, instance: &str) -> (u64, u64) {
    let mut address = upstream_address(fleet, instance);
    address.set_port(address.port() + 2);
    let mut stream = TcpStream::connect(address).expect("the port for faults");
    stream.write_all(b"{\"counters\":true}\n").expect("a sent line");
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).expect("a report");
    let report: serde_json::Value = serde_json::from_str(&line).expect("a report in JSON");
    let number = |field: &str| report[field].as_u64().expect("a number");
    (number("term"), number("position"))
}

/// How long what was sent late may take to be committed.
const SETTLE: Duration = Duration::from_millis(1_500);

fn detail(error: &postgres::Error) -> String {
    let error = error.as_db_error().expect("an error from the proxy");
    error.detail().unwrap_or_default().to_owned()
}

/// A proxy is frozen while a caller commits, and control can't be reached when it goes on. It sent the commit without a
/// lease, although no answer to it could be released.
#[test]
fn a_commit_is_not_sent_without_a_lease() {
    let fleet = Fleet::up();
    let mut client = fleet.connect(0, "ops-1");
    client.batch_execute("CREATE TABLE fault (room TEXT)").unwrap();
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute("INSERT INTO fault VALUES ('4b')").unwrap();
    let before = report(&fleet, "ops-1-1");
    fleet.signal("proxy-1", "-STOP");
    let committing = std::thread::spawn(move || client.batch_execute("COMMIT"));
    std::thread::sleep(SETTLE);
    fleet.signal("control-1", "-STOP");
    fleet.signal("proxy-1", "-CONT");
    let error = committing.join().expect("an answer").expect_err("no lease");
    std::thread::sleep(SETTLE);
    assert_eq!(report(&fleet, "ops-1-1"), before, "{error:?}");
    let detail = detail(&error);
    assert!(detail.starts_with("outcome=unknown"), "{detail}");
    assert!(detail.ends_with("effect=rolled_back"), "{detail}");
    fleet.signal("control-1", "-CONT");
}

/// The answer to the commit of a `once` request is lost, and the primary is demoted before the request is tried again. Its
/// refusal says nothing of the first attempt, but the caller was told that the request had not run.
#[test]
fn a_once_request_that_may_be_committed_is_not_reported_as_not_run() {
    let fleet = Fleet::up();
    let mut client = fleet.connect(0, "ops-1");
    client.batch_execute("CREATE TABLE fault (room TEXT)").unwrap();
    let first = "INSERT INTO fault VALUES ('4a') /*request='fault_report',key='d0'*/";
    client.simple_query(first).unwrap();
    let address = upstream_address(&fleet, "ops-1-1");
    let mut direct = Config::new()
        .host(&address.ip().to_string())
        .port(address.port())
        .user("test")
        .dbname("ops-1")
        .connect(NoTls)
        .expect("the instance accepts the connection");
    let (term, position) = report(&fleet, "ops-1-1");
    // The answers are late, so that there is time between the two attempts.
    fleet.set_faults("ops-1-1", r#"{"lose_after_commit":1,"late_ms":250}"#);
    let demoting = std::thread::spawn(move || {
        let start = Instant::now();
        while report(&fleet, "ops-1-1") == (term, position) {
            assert!(start.elapsed() < TIMEOUT, "the request was not committed");
            std::thread::sleep(Duration::from_millis(2));
        }
        let demoted = direct.simple_query(&format!("SELECT * FROM cactushatch_demote({term})"));
        (fleet, demoted.map(|_| ()))
    });
    let sql = "INSERT INTO fault VALUES ('4b') /*request='fault_report',key='d1'*/";
    let answer = client.simple_query(sql);
    let (_fleet, demoted) = demoting.join().expect("the instance is demoted");
    demoted.expect("the instance is demoted");
    match answer {
        Ok(messages) => {
            assert!(messages.iter().any(|m| matches!(m, SimpleQueryMessage::CommandComplete(1))));
        }
        Err(error) => assert!(detail(&error).starts_with("outcome=unknown"), "{error:?}"),
    }
}
