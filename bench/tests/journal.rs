//! A stand-in that truncates its log rebuilds its database. Meanwhile it must not show a position whose data is
//! missing, or a proxy would send it reads that miss acknowledged writes.

use std::time::Duration;

use bench::standin::Settings;
use bench::standin::journal::{Journal, Record};

/// Number of records that insert a row, after the record that creates the table.
const INSERTED_ROWS: u64 = 4_000;

/// Number of records that the truncation keeps.
const KEPT_RECORDS: u64 = 3_000;

fn record(position: u64) -> Record {
    let statement = match position {
        1 => "CREATE TABLE row (id INTEGER)".to_owned(),
        _ => format!("INSERT INTO row VALUES ({position})"),
    };
    Record { term: 1, position, statements: vec![statement] }
}

fn settings(data_dir: &std::path::Path) -> Settings {
    Settings {
        group: "g".parse().unwrap(),
        instance: "g-1".parse().unwrap(),
        domain: "a".parse().unwrap(),
        listen: "127.0.0.1:1".parse().unwrap(),
        data: data_dir.to_owned(),
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
fn a_rewind_shows_no_position_without_its_data() {
    let data_dir = tempfile::tempdir().unwrap();
    let journal = Journal::open(&settings(data_dir.path())).unwrap();
    for position in 1..=INSERTED_ROWS + 1 {
        assert!(journal.receive(record(position)));
    }
    journal.apply_all(&journal.connect().unwrap());
    std::thread::scope(|scope| {
        let rewinding =
            scope.spawn(|| journal.rewind(KEPT_RECORDS, 2, vec![(1, 0), (2, KEPT_RECORDS)]));
        while !rewinding.is_finished() {
            let log = journal.log.lock().unwrap();
            let database = journal.connect().unwrap();
            let row_count =
                database.query_row("SELECT count(*) FROM row", [], |row| row.get::<_, u64>(0));
            assert_eq!(row_count.ok(), Some(log.position() - 1));
        }
        rewinding.join().unwrap().unwrap();
    });
    assert_eq!(journal.log.lock().unwrap().position(), KEPT_RECORDS);
}

/// The checkers take what a stand-in acknowledges for kept. A record that its disk refuses must not be acknowledged, nor
/// become visible, or the system would be blamed for the loss after a restart.
#[test]
fn a_record_that_cannot_be_written_is_not_acknowledged() {
    for follow in [None, Some("127.0.0.1:1".parse().unwrap())] {
        let data_dir = tempfile::tempdir().unwrap();
        let settings = Settings { follow, ..settings(data_dir.path()) };
        let journal = Journal::open(&settings).unwrap();
        // The rewind opens the file again, which refuses all writes from then on.
        let log_path = data_dir.path().join("g-1.log");
        std::fs::remove_file(&log_path).unwrap();
        std::os::unix::fs::symlink("/dev/full", &log_path).unwrap();
        journal.log.lock().unwrap().records.push(record(1));
        journal.rewind(0, 1, vec![(1, 0)]).unwrap();

        if follow.is_some() {
            assert!(!journal.receive(record(1)));
        } else {
            let mut is_visible = false;
            let committed = journal.commit(record(1).statements, || {
                is_visible = true;
                Ok::<(), ()>(())
            });
            assert_eq!((committed, is_visible), (Ok(false), false));
        }
        let log = journal.log.lock().unwrap();
        assert_eq!((log.position(), log.received_position()), (0, 0));
    }
}
