//! Tests a control plane of three voter processes: it continues without its leader, and a voter whose disk was replaced
//! votes again.

mod env;

use std::time::{Duration, Instant};

use env::Fleet;
use postgres::Client;
use serde_json::Value;

/// The longest time without a successful write when the leader of control and a primary are killed together.
const MAX_WRITE_GAP: Duration = Duration::from_millis(2_500);

/// How long a test waits for the fleet to recover.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

fn voters(fleet: &Fleet) -> Vec<Value> {
    let status = fleet.status();
    status.and_then(|status| status["voters"].as_array().cloned()).unwrap_or_default()
}

fn await_voter(fleet: &Fleet, condition: impl Fn(&Value) -> bool) -> Value {
    let start = Instant::now();
    while start.elapsed() < RECOVERY_TIMEOUT {
        if let Some(voter) = voters(fleet).into_iter().find(&condition) {
            return voter;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("no voter reached the expected state: {:?}\n{}", voters(fleet), fleet.restart_logs());
}

fn leader(fleet: &Fleet) -> String {
    await_voter(fleet, |voter| voter["part"] == "leader")["node"].as_str().unwrap().to_owned()
}

/// Retries a write until it succeeds, and returns how long that took.
fn write_gap(client: &mut Client) -> Duration {
    let start = Instant::now();
    while client.execute("INSERT INTO push VALUES (2)", &[]).is_err() {
        assert!(start.elapsed() < RECOVERY_TIMEOUT, "writes did not resume");
        std::thread::sleep(Duration::from_millis(5));
    }
    start.elapsed()
}

#[test]
fn writes_resume_when_the_leader_of_control_and_the_primary_are_killed_together() {
    let fleet = Fleet::up_with_options(&["--voters", "3"]);
    let mut client = fleet.connect(0, "ops-3");
    client.batch_execute("CREATE TABLE push (id INTEGER)").unwrap();
    client.execute("INSERT INTO push VALUES (1)", &[]).unwrap();
    let killed = leader(&fleet);
    fleet.kill(&killed);
    fleet.kill("ops-3-1");
    let gap = write_gap(&mut client);
    println!("write gap: {gap:?}");
    assert!(gap < MAX_WRITE_GAP, "write gap: {gap:?}");
    let row = client.query_one("SELECT count(*) FROM push WHERE id = 1", &[]).unwrap();
    assert_eq!(row.get::<_, i64>(0), 1, "an acknowledged write was lost");
    fleet.restart_control(&killed);
    await_voter(&fleet, |voter| voter["node"] == killed.as_str() && voter["current"] == true);
}

#[test]
fn a_voter_with_a_new_disk_counts_towards_the_majority_when_the_leader_is_killed() {
    let fleet = Fleet::up_with_options(&["--voters", "3"]);
    let first_leader = leader(&fleet);
    let others: Vec<Value> =
        voters(&fleet).into_iter().filter(|voter| voter["node"] != first_leader.as_str()).collect();
    let (wiped, old_incarnation) =
        (others[0]["node"].as_str().unwrap(), others[0]["incarnation"].as_u64());
    fleet.kill(wiped);
    std::fs::remove_dir_all(fleet.path().join("data").join(wiped)).unwrap();
    fleet.restart_control(wiped);
    await_voter(&fleet, |voter| {
        voter["node"] == wiped
            && voter["part"] == "voter"
            && voter["incarnation"].as_u64() > old_incarnation
            && voter["current"] == true
    });
    let revision = fleet.status().unwrap()["revision"].clone();
    fleet.kill(&first_leader);
    assert_ne!(leader(&fleet), first_leader);
    assert_eq!(fleet.status().unwrap()["revision"], revision);
}
