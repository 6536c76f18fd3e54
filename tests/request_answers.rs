//! Answers that an instance sends a second time, late: none of them is taken for the answer to another request.

mod env;

use std::time::{Duration, Instant};

use env::Fleet;
use postgres::{Client, SimpleQueryMessage};

/// How long the callers of a test run.
const RUN: Duration = Duration::from_secs(6);

/// The delays of second answers, each for a part of a run.
const DELAYS_MS: [u64; 5] = [0, 2, 20, 100, 500];

/// What a caller has seen.
#[derive(Debug, Default)]
struct Seen {
    answers: u32,
    failures: u32,
    /// Answers that are not those of their statements.
    mixed: Vec<String>,
}

impl Seen {
    /// Counts an answer to a statement for `text`.
    fn count(&mut self, text: &str, answer: Result<Option<String>, postgres::Error>) -> bool {
        match answer {
            Ok(Some(found)) if found == text => self.answers += 1,
            Ok(found) => self.mixed.push(format!("{found:?} for {text}")),
            Err(_) => {
                self.failures += 1;
                return false;
            }
        }
        true
    }
}

/// Runs a query of one row with one text column.
fn query_text(client: &mut Client, sql: &str) -> Result<Option<String>, postgres::Error> {
    let messages = client.simple_query(sql)?;
    Ok(messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    }))
}

/// Runs `caller` several times at once with other names, while the instances of `ops-1` send answers twice.
fn run_callers(fleet: &Fleet, caller: fn(&mut Client, &str, &mut Seen)) -> Seen {
    let mut total = Seen::default();
    let start = Instant::now();
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let mut client = Some(fleet.connect(number % 2, "ops-1"));
            let connect: Box<dyn Fn() -> Client + Send> = {
                let address = fleet.proxy_address(number % 2);
                Box::new(move || {
                    let (host, port) = address.split_once(':').unwrap();
                    let config = format!("host={host} port={port} user=test dbname=ops-1");
                    Client::connect(&config, postgres::NoTls).unwrap()
                })
            };
            std::thread::spawn(move || {
                let mut seen = Seen::default();
                let mut turn = 0;
                while start.elapsed() < RUN {
                    turn += 1;
                    let mut open = client.take().unwrap_or_else(&connect);
                    caller(&mut open, &format!("c{number}x{turn}"), &mut seen);
                    client = (!open.is_closed()).then_some(open);
                }
                seen
            })
        })
        .collect();
    for delay in DELAYS_MS {
        for instance in ["ops-1-1", "ops-1-2", "ops-1-3"] {
            let faults = format!(r#"{{"twice_every":17,"twice_ms":{delay}}}"#);
            fleet.set_faults(instance, &faults);
        }
        std::thread::sleep(RUN / DELAYS_MS.len() as u32);
    }
    for caller in callers {
        let seen = caller.join().unwrap();
        total.answers += seen.answers;
        total.failures += seen.failures;
        total.mixed.extend(seen.mixed);
    }
    let logs = std::fs::read_dir(fleet.path().join("log")).unwrap();
    let mut logs = logs.map(|entry| std::fs::read_to_string(entry.unwrap().path()).unwrap());
    assert!(logs.any(|log| log.contains("event=\"out_of_step\"")), "nothing is logged");
    println!("{} answers, {} failures, {} mixed", total.answers, total.failures, total.mixed.len());
    total
}

#[test]
fn second_answer_to_a_read_is_not_taken_for_the_answer_to_another_one() {
    let fleet = Fleet::up();
    let seen = run_callers(&fleet, |client, text, seen| {
        let answer = query_text(client, &format!("SELECT '{text}'"));
        seen.count(text, answer);
        let rows = client.query("SELECT $1::text", &[&text]);
        seen.count(text, rows.map(|rows| rows.first().map(|row| row.get(0))));
    });
    assert!(seen.mixed.is_empty(), "{} mixed: {:?}", seen.mixed.len(), seen.mixed.first());
    assert!(seen.answers > 500, "{seen:?}");
    assert!(seen.failures * 10 < seen.answers, "reads are retried: {seen:?}");
}

#[test]
fn second_answer_in_a_transaction_is_not_taken_for_the_answer_to_another_statement() {
    let fleet = Fleet::up();
    fleet.connect(0, "ops-1").batch_execute("CREATE TABLE pair (name TEXT, half INTEGER)").unwrap();
    let seen = run_callers(&fleet, |client, text, seen| {
        let begun = client.batch_execute("BEGIN");
        let mut is_open = begun.is_ok();
        for half in ["a", "b"] {
            let text = format!("{text}{half}");
            is_open = is_open && {
                let answer = query_text(client, &format!("SELECT '{text}'"));
                seen.count(&text, answer)
            };
            let insert = format!("INSERT INTO pair VALUES ('{text}', 1)");
            is_open = is_open && client.batch_execute(&insert).is_ok();
        }
        let ended = client.batch_execute(if is_open { "COMMIT" } else { "ROLLBACK" });
        if is_open && ended.is_ok() {
            seen.answers += 1;
        }
    });
    assert!(seen.mixed.is_empty(), "{} mixed: {:?}", seen.mixed.len(), seen.mixed.first());
    assert!(seen.answers > 100, "{seen:?}");
}

#[test]
fn second_answer_is_not_taken_for_the_acknowledgement_of_a_write() {
    let fleet = Fleet::up();
    let mut client = fleet.connect(0, "ops-1");
    client.batch_execute("CREATE TABLE noted (name TEXT PRIMARY KEY)").unwrap();
    let seen = run_callers(&fleet, |client, text, seen| {
        // The second write of a name is refused, so that an answer to another statement shows.
        for refused in [false, true] {
            match client.simple_query(&format!("INSERT INTO noted VALUES ('{text}')")) {
                Ok(_) if refused => seen.mixed.push(format!("{text} written twice")),
                Ok(_) => seen.answers += 1,
                Err(error) => {
                    let is_duplicate = error.code().is_some_and(|code| code.code() == "23505");
                    match (refused, is_duplicate) {
                        (false, true) => seen.mixed.push(format!("{text} refused at first")),
                        (true, true) => {}
                        _ => {
                            seen.failures += 1;
                            return;
                        }
                    }
                }
            }
        }
    });
    assert!(seen.mixed.is_empty(), "{} mixed: {:?}", seen.mixed.len(), seen.mixed.first());
    assert!(seen.answers > 100, "{seen:?}");
    for instance in ["ops-1-1", "ops-1-2", "ops-1-3"] {
        fleet.set_faults(instance, "{}");
    }
    let count = client.query_one("SELECT count(*) FROM noted", &[]).unwrap().get::<_, i64>(0);
    assert!(count >= i64::from(seen.answers), "{count} rows of {} acknowledged", seen.answers);
}

/// A failed transaction refuses the query that follows its statements too, so that a second refusal looks whole.
#[test]
fn second_refusal_of_a_failed_transaction_is_not_taken_for_the_answer_to_a_later_one() {
    let fleet = Fleet::up();
    let mut client = fleet.connect(0, "ops-1");
    client.batch_execute("CREATE TABLE one (id INTEGER PRIMARY KEY)").unwrap();
    client.batch_execute("INSERT INTO one VALUES (1)").unwrap();
    client.batch_execute("BEGIN").unwrap();
    fleet.set_faults("ops-1-1", r#"{"twice_every":1,"twice_ms":300}"#);
    let refused = client.batch_execute("INSERT INTO one VALUES (1)").unwrap_err();
    assert_eq!(refused.code().unwrap().code(), "23505");
    fleet.set_faults("ops-1-1", "{}");
    client.batch_execute("ROLLBACK").unwrap();
    // The second refusals arrive while the answer to BEGIN is awaited.
    fleet.set_faults("ops-1-1", r#"{"late_ms":400}"#);
    client.batch_execute("BEGIN").expect("the transaction has not failed");
    client.batch_execute("INSERT INTO one VALUES (2)").unwrap();
    client.batch_execute("COMMIT").unwrap();
}
