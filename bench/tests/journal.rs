//! A stand-in that drops a part of its history shows no position that its data has not reached.

use std::time::Duration;

use bench::standin::Settings;
use bench::standin::journal::{Journal, Record};

/// How many rows the log inserts, after the record that creates their table.
const ROWS: u64 = 4_000;

/// How many records are kept.
const KEPT: u64 = 3_000;

fn record(position: u64) -> Record {
    let statement = match position {
        1 => "CREATE TABLE row (id INTEGER)".to_owned(),
        _ => format!("INSERT INTO row VALUES ({position})"),
    };
    Record { term: 1, position, statements: vec![statement] }
}

fn settings(folder: &std::path::Path) -> Settings {
    Settings {
        group: "g".parse().unwrap(),
        instance: "g-1".parse().unwrap(),
        domain: "a".parse().unwrap(),
        listen: "127.0.0.1:1".parse().unwrap(),
        data: folder.to_owned(),
        slots: 2,
        instances: 3,
        connections: 16,
        connect_time: Duration::ZERO,
        service_time: Duration::ZERO,
        lag: Duration::ZERO,
        delay: Duration::ZERO,
        follow: Some("127.0.0.1:1".parse().unwrap()),
        announce: Vec::new(),
    }
}

#[test]
fn a_position_is_shown_only_with_its_data() {
    let folder = tempfile::tempdir().unwrap();
    let journal = Journal::open(&settings(folder.path())).unwrap();
    for position in 1..=ROWS + 1 {
        assert!(journal.receive(record(position)));
    }
    journal.apply_all(&journal.connect().unwrap());
    std::thread::scope(|scope| {
        let rewinding = scope.spawn(|| journal.rewind(KEPT, 2, vec![(1, 0), (2, KEPT)]));
        while !rewinding.is_finished() {
            let log = journal.log.lock().unwrap();
            let database = journal.connect().unwrap();
            let held =
                database.query_row("SELECT count(*) FROM row", [], |row| row.get::<_, u64>(0));
            assert_eq!(held.ok(), Some(log.position() - 1));
        }
        rewinding.join().unwrap().unwrap();
    });
    assert_eq!(journal.log.lock().unwrap().position(), KEPT);
}
