//! End-to-end tests of the request path with real processes: two proxies, the control processes and nine
//! instances.

mod env;

use std::time::{Duration, Instant};

use env::Fleet;

#[test]
fn a_session_reads_its_own_writes_through_another_proxy() {
    let fleet = Fleet::up();
    let mut writer = fleet.connect(0, "ops-1");
    writer.batch_execute("CREATE TABLE screen (id INTEGER, state TEXT)").unwrap();
    for id in 0..50_i64 {
        writer.execute("INSERT INTO screen VALUES ($1::int8, $2)", &[&id, &"dark"]).unwrap();
        let mut reader = fleet.connect(1, "ops-1");
        let row = reader.query_one("SELECT count(*) FROM screen", &[]).unwrap();
        assert_eq!(row.get::<_, i64>(0), id + 1);
    }
}

#[test]
fn statements_and_transactions_work_through_the_pool() {
    let fleet = Fleet::up();
    let mut client = fleet.connect(0, "ops-2");
    client.batch_execute("CREATE TABLE fault (id INTEGER PRIMARY KEY, room TEXT)").unwrap();
    let insert = client.prepare("INSERT INTO fault VALUES ($1::int8, $2)").unwrap();
    let select = client.prepare("SELECT room FROM fault WHERE id = $1::int8").unwrap();
    let mut transaction = client.transaction().unwrap();
    transaction.execute(&insert, &[&1_i64, &"4b"]).unwrap();
    transaction.commit().unwrap();
    let mut transaction = client.transaction().unwrap();
    transaction.execute(&insert, &[&2_i64, &"4c"]).unwrap();
    transaction.rollback().unwrap();
    assert_eq!(client.query_one(&select, &[&1_i64]).unwrap().get::<_, String>(0), "4b");
    assert!(client.query(&select, &[&2_i64]).unwrap().is_empty());
    let duplicate = client.execute(&insert, &[&1_i64, &"4d"]).unwrap_err();
    assert_eq!(duplicate.code().unwrap().code(), "23505");
    let refused = client.batch_execute("COPY fault FROM STDIN").unwrap_err();
    assert_eq!(refused.code().unwrap().code(), "0A000");
    assert_eq!(client.query_one(&select, &[&1_i64]).unwrap().get::<_, String>(0), "4b");
}

#[test]
fn writes_succeed_again_after_the_primary_is_killed() {
    let fleet = Fleet::up();
    let mut client = fleet.connect(0, "ops-3");
    client.batch_execute("CREATE TABLE push (id INTEGER)").unwrap();
    client.execute("INSERT INTO push VALUES (1)", &[]).unwrap();
    fleet.kill("ops-3-1");
    let start = Instant::now();
    while client.execute("INSERT INTO push VALUES (2)", &[]).is_err() {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "no write succeeded within 5 s after the primary was killed"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    let row = client.query_one("SELECT count(*) FROM push WHERE id = 1", &[]).unwrap();
    assert_eq!(row.get::<_, i64>(0), 1, "an acknowledged write was lost");
}
