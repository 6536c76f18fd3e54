//! Three voters as processes: control goes on without its leader, and a voter gets a new disk.

mod env;

use std::time::{Duration, Instant};

use env::Fleet;
use postgres::Client;
use serde_json::Value;

/// The longest gap of writes when a machine of control and one of the group end at the same moment.
const GAP: Duration = Duration::from_millis(2_500);

/// How long a repair may take.
const PATIENCE: Duration = Duration::from_secs(15);

fn voters(fleet: &Fleet) -> Vec<Value> {
    let status = fleet.status();
    status.and_then(|status| status["voters"].as_array().cloned()).unwrap_or_default()
}

fn await_voter(fleet: &Fleet, met: impl Fn(&Value) -> bool) -> Value {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if let Some(voter) = voters(fleet).into_iter().find(&met) {
            return voter;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("no voter is as it should be: {:?}", voters(fleet));
}

fn leader(fleet: &Fleet) -> String {
    await_voter(fleet, |voter| voter["part"] == "leader")["node"].as_str().unwrap().to_owned()
}

/// Writes until a write succeeds, and returns how long that took.
fn gap(client: &mut Client) -> Duration {
    let start = Instant::now();
    while client.execute("INSERT INTO push VALUES (2)", &[]).is_err() {
        assert!(start.elapsed() < PATIENCE, "writes don't go on");
        std::thread::sleep(Duration::from_millis(5));
    }
    start.elapsed()
}

#[test]
fn writes_go_on_when_the_leader_of_control_and_the_primary_are_killed_at_once() {
    let fleet = Fleet::up_with(&["--voters", "3"]);
    let mut client = fleet.connect(0, "ops-3");
    client.batch_execute("CREATE TABLE push (id INTEGER)").unwrap();
    client.execute("INSERT INTO push VALUES (1)", &[]).unwrap();
    let killed = leader(&fleet);
    fleet.kill(&killed);
    fleet.kill("ops-3-1");
    let gap = gap(&mut client);
    println!("the gap was {gap:?}");
    assert!(gap < GAP, "the gap was {gap:?}");
    let row = client.query_one("SELECT count(*) FROM push WHERE id = 1", &[]).unwrap();
    assert_eq!(row.get::<_, i64>(0), 1, "an acknowledged write was lost");
    fleet.start_control(&killed);
    await_voter(&fleet, |voter| voter["node"] == killed.as_str() && voter["current"] == true);
}

#[test]
fn a_voter_gets_a_new_disk_and_another_is_lost_just_after() {
    let fleet = Fleet::up_with(&["--voters", "3"]);
    let leads = leader(&fleet);
    let others: Vec<Value> =
        voters(&fleet).into_iter().filter(|voter| voter["node"] != leads.as_str()).collect();
    let (wiped, old) = (others[0]["node"].as_str().unwrap(), others[0]["incarnation"].as_u64());
    fleet.kill(wiped);
    std::fs::remove_dir_all(fleet.path().join("data").join(wiped)).unwrap();
    fleet.start_control(wiped);
    await_voter(&fleet, |voter| {
        voter["node"] == wiped
            && voter["part"] == "voter"
            && voter["incarnation"].as_u64() > old
            && voter["current"] == true
    });
    let revision = fleet.status().unwrap()["revision"].clone();
    fleet.kill(&leads);
    assert_ne!(leader(&fleet), leads);
    assert_eq!(fleet.status().unwrap()["revision"], revision);
}
