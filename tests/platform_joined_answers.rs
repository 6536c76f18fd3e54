//! Tests of a connection on which a part of an answer may be joined to the next one, and of content that looks so.

#[path = "lines/content.rs"]
#[allow(dead_code, reason = "only lines are needed")]
mod content;
#[path = "../platform/line.rs"]
#[allow(dead_code, reason = "only a client is needed")]
mod line;

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::time::Duration;

use cactushatch::clock::Clock;
use cactushatch::report::Tally;
use cactushatch::statement::{Command, Id, State, Text};
use cactushatch::upstream::connection::{Connection, Error, Suspicion};
use cactushatch::wire::Replica;
use line::LineCodec;

const TIMEOUT: Duration = Duration::from_secs(5);

const BEGIN: Command<'_> = Command::Begin { read_only: false, after: None };

/// Connects to an instance. `answer` returns what it sends for each statement, given its number and the state of the
/// transaction.
fn connect(mut answer: impl FnMut(&str, usize, char) -> String + Send + 'static) -> Connection {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("an address");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let mut input = BufReader::new(socket.try_clone().expect("a socket"));
        let mut lines = std::iter::from_fn(move || content::read_line(&mut input).ok().flatten());
        lines.next().expect("a line");
        socket.write_all(b"READY I 1.1\r\n").expect("the answer is sent");
        let mut state = 'I';
        for (number, line) in lines.enumerate() {
            let line = line.content.text();
            let text = line.splitn(3, ' ').nth(2).unwrap_or_default();
            state = match text {
                "BEGIN" => 'T',
                "ROLLBACK" => 'I',
                _ => state,
            };
            let sent = match text.split(' ').next() {
                Some("BEGIN" | "ROLLBACK" | "PREPARE" | "RESET") => {
                    format!("DONE -\r\nREADY {state} 1.{number}\r\n")
                }
                _ => answer(text, number, state),
            };
            if socket.write_all(sent.as_bytes()).is_err() {
                return;
            }
        }
    });
    let replica = Replica {
        group: "books".parse().unwrap(),
        instance: "i-21".parse().unwrap(),
        address,
        domain: "a".parse().unwrap(),
    };
    let clock = Clock::system();
    let deadline = clock.now() + TIMEOUT;
    let opened = Connection::connect(&clock, &LineCodec, &replica, None, deadline);
    smol::block_on(opened).expect("a connection").0
}

fn row_answer(row: &str, number: usize, state: char) -> String {
    format!("ROW {row}\r\nDONE s{number}\r\nREADY {state} 1.2\r\n")
}

/// Returns the rows that a read returns.
fn read(connection: &mut Connection, text: &str) -> Result<Vec<String>, Error> {
    let (clock, text) = (Clock::system(), Text::from(text));
    let command = Command::Data { id: &Id::new("s1"), after: None, text: &text };
    let answer = connection.read(&clock, &command, clock.now() + TIMEOUT);
    let outcome = smol::block_on(answer)?;
    outcome.result.expect("a success");
    Ok(outcome.rows.iter().map(Text::to_string).collect())
}

fn request(connection: &mut Connection, command: &Command<'_>) -> State {
    let clock = Clock::system();
    let answer = connection.request(&clock, command, clock.now() + TIMEOUT);
    smol::block_on(answer).expect("an answer").state
}

/// Values that look like messages, or like what is left of them. Some have a common beginning.
const VALUES: [&str; 16] = [
    "plain",
    "x DONE y READY I -",
    "ROW 5",
    "ROW ",
    "ROW ROW ROW",
    "DONE s0",
    "ERR BUSY no",
    "READY I 1.1",
    "SECTION 12 ROW 5",
    "SECTION 12 ROW 6",
    "SECTION 12 ROW 5 ROW 6",
    "status DONE 1",
    "plaROW plain",
    "plain ERR BUSY no ROW x DONE s0",
    "a, ERR FAILED x, READY E 1.9, DONE s2, ROW two, DONE s3, READY I 1.9",
    "R RO ROW D DO DONE E ER ERR",
];

/// Each value is read again and again, in transactions and outside. Reads in transactions were aborted.
#[test]
fn values_that_hold_messages_are_read_as_they_are() {
    let suspicion = Suspicion::default();
    let mut connection = connect(|text, number, state| {
        let item: usize = text.strip_prefix("FETCH ").expect("a read").parse().expect("an item");
        row_answer(VALUES[item], number, state)
    });
    connection.observe(Tally::default(), suspicion);
    for round in 0..8 {
        if round % 2 == 1 {
            assert_eq!(request(&mut connection, &BEGIN), State::Open);
        }
        for (item, value) in VALUES.iter().enumerate() {
            for _ in 0..2 {
                let rows = read(&mut connection, &format!("FETCH {item}"));
                assert_eq!(rows.expect("rows"), [*value], "round {round}");
            }
        }
        if round % 2 == 1 {
            assert_eq!(request(&mut connection, &Command::Rollback), State::Idle);
        }
        assert!(connection.is_in_step());
        // A connection that ran a transaction is reused only if its instance is not suspect.
        assert!(connection.is_reusable(Clock::system().now()));
    }
}

/// Rows of several lines whose first one another statement returned, or whose later ones look like messages.
#[test]
fn rows_that_another_statement_returned_too_are_read_as_they_are() {
    let mut connection = connect(|text, number, state| {
        let second = if text.ends_with('a') { "two" } else { "SECTION 12 ROW 5" };
        let first = row_answer(&format!("one\r\nROW {second}"), number, state);
        if text.ends_with('c') { row_answer("one", number, state) } else { first }
    });
    assert_eq!(request(&mut connection, &BEGIN), State::Open);
    for _ in 0..3 {
        assert_eq!(read(&mut connection, "FETCH a").expect("rows"), ["one", "two"]);
        assert_eq!(read(&mut connection, "FETCH b").expect("rows"), ["one", "SECTION 12 ROW 5"]);
        assert_eq!(read(&mut connection, "FETCH c").expect("rows"), ["one"]);
    }
    assert!(connection.is_in_step());
}

/// The answers of which a part precedes another one.
const EARLIER: [&str; 6] = [
    "ROW one|DONE s1|READY I 1.2|",
    "ROW one|ROW two|DONE s1|READY I 1.2|",
    "ROW SECTION 12 ROW 5|DONE s1|READY I 1.2|",
    "ROW ROW 5|DONE s1|READY I 1.2|",
    "DONE s1|READY I 1.2|",
    "ERR BUSY no ROW x|READY I 1.2|",
];

/// Runs one statement that is answered by `earlier`, then `FETCH b`, whose first answer follows a part of `earlier` of
/// each length. Returns the results of `FETCH b`.
fn read_behind_parts(earlier: &str, value: &'static str) -> Vec<Result<Vec<String>, Error>> {
    let earlier = earlier.replace('|', "\r\n");
    let results = (1..=earlier.len()).map(|len| {
        let sent = earlier.clone();
        let mut part = Some(earlier[..len].to_owned());
        let mut connection = connect(move |text, number, state| match text {
            "FETCH b" => part.take().unwrap_or_default() + &row_answer(value, number + 10, state),
            _ => sent.clone(),
        });
        let (clock, text) = (Clock::system(), Text::from("FETCH a"));
        let command = Command::Data { id: &Id::new("s1"), after: None, text: &text };
        let first = connection.request(&clock, &command, clock.now() + TIMEOUT);
        assert!(smol::block_on(first).is_ok() || earlier.contains("ROW ROW"), "{earlier}");
        read(&mut connection, "FETCH b")
    });
    results.collect()
}

/// Whatever is left of an earlier answer, and whatever is read, the rows are those of the statement.
#[test]
fn a_part_of_an_earlier_answer_is_not_delivered_with_the_next_one() {
    for earlier in EARLIER {
        for value in VALUES {
            let results = read_behind_parts(earlier, value);
            for (index, result) in results.into_iter().enumerate() {
                let part = index + 1;
                match result {
                    Ok(rows) => assert_eq!(rows, [value], "{part} bytes of {earlier}"),
                    Err(error) => {
                        assert!(error.is_out_of_step(), "{part} bytes of {earlier}: {error}");
                    }
                }
            }
        }
    }
}

/// Parts of an answer that end within its first message cost a read nothing but more readings.
#[test]
fn a_read_behind_a_cut_row_is_served_by_another_reading() {
    let results = read_behind_parts("ROW one|DONE s1|READY I 1.2|", "two");
    // What is left holds at least the keyword, and the line lacks its end.
    for (index, result) in results.into_iter().enumerate().take("ROW one\r".len()) {
        if index + 1 >= "ROW ".len() {
            assert_eq!(result.expect("rows"), ["two"], "{} bytes", index + 1);
        }
    }
}

/// The search for messages within one took a time that grew with the square of its length, during which nothing else ran.
#[test]
fn a_long_value_of_many_keywords_is_read_in_time() {
    let value = format!("{}ROW x", "DONE ".repeat(40_000));
    let sent = value.clone();
    let mut connection = connect(move |_, number, state| row_answer(&sent, number, state));
    let start = std::time::Instant::now();
    for _ in 0..2 {
        assert!(read(&mut connection, "FETCH a").expect("rows") == [value.as_str()]);
    }
    assert!(start.elapsed() < TIMEOUT, "{:?}", start.elapsed());
}

/// A row of a write that may be joined to a part of another one isn't delivered, and the write isn't run again.
#[test]
fn a_doubtful_write_is_not_repeated() {
    let mut connection = connect(|text, number, state| match text {
        "PUT b" => {
            assert_eq!(number, 1, "it ran again");
            format!("ROW onROW two\r\nDONE s2\r\nREADY {state} 1.3\r\n")
        }
        _ => row_answer("one", number, state),
    });
    assert_eq!(read(&mut connection, "FETCH a").expect("rows"), ["one"]);
    let (clock, text) = (Clock::system(), Text::from("PUT b"));
    let command = Command::Data { id: &Id::new("s1"), after: None, text: &text };
    let answer = smol::block_on(connection.request(&clock, &command, clock.now() + TIMEOUT));
    assert!(matches!(answer, Err(Error::OutOfStep(_))), "{answer:?}");
    assert!(!connection.is_in_step());
}

#[test]
fn a_read_whose_readings_are_all_doubtful_and_different_is_given_up() {
    let mut connection = connect(|text, number, state| match text {
        "FETCH b" => row_answer(&format!("onROW {number}"), number, state),
        _ => row_answer("one", number, state),
    });
    assert_eq!(read(&mut connection, "FETCH a").expect("rows"), ["one"]);
    let answer = read(&mut connection, "FETCH b");
    assert!(matches!(answer, Err(Error::OutOfStep(_))), "{answer:?}");
    assert!(!connection.is_in_step());
}

/// Counts the reads that are right, given up and wrong if one answer in `one_in` follows the first half of the first
/// message of an earlier answer.
fn count_behind_halves(one_in: usize, seed: u64) -> [usize; 3] {
    let suspicion = Suspicion::default();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut counts = [0; 3];
    for session in 0..60 {
        let mut random_part = random.fork();
        let mut earlier: Vec<String> = Vec::new();
        let mut connection = connect(move |text, number, state| {
            let item: usize = text.strip_prefix("FETCH ").expect("a read").parse().expect("one");
            let answer = row_answer(VALUES[item], number, state);
            let is_cut = !earlier.is_empty() && random_part.usize(..one_in) == 0;
            let copied = is_cut.then(|| earlier.swap_remove(random_part.usize(..earlier.len())));
            let line = copied.iter().flat_map(|copied| copied.split_inclusive("\r\n")).next();
            let half = line.map_or(String::new(), |line| line[..line.len() / 2].to_owned());
            earlier.push(answer.clone());
            half + &answer
        });
        connection.observe(Tally::default(), suspicion.clone());
        for _ in 0..20 {
            let item = (session + random.usize(..3)) % VALUES.len();
            match read(&mut connection, &format!("FETCH {item}")) {
                Ok(rows) if rows == [VALUES[item]] => counts[0] += 1,
                Ok(rows) => {
                    println!("{rows:?} instead of {:?}", VALUES[item]);
                    counts[2] += 1;
                }
                Err(_) => {
                    counts[1] += 1;
                    break;
                }
            }
        }
    }
    counts
}

fn seed() -> u64 {
    std::env::var("SEED").map_or(1, |seed| seed.parse().expect("a number"))
}

/// `SEED` changes the run.
#[test]
fn halves_of_earlier_rows_are_not_delivered_beside_values_that_hold_messages() {
    let counts = [40, 20, 5, 3].map(|one_in| count_behind_halves(one_in, seed()));
    println!("{counts:?}");
    assert!(counts.iter().all(|[right, _, wrong]| *right > 0 && *wrong == 0), "{counts:?}");
}

/// Counts the reads that are right, refused or given up, and wrong, of values that are written meanwhile, if one answer in
/// three follows a part of an earlier one, or all of it, and one statement in four is refused.
fn count_behind_parts(seed: u64) -> [usize; 3] {
    let suspicion = Suspicion::default();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut counts = [0; 3];
    for session in 0..200 {
        let mut random_part = random.fork();
        let mut earlier: Vec<String> = Vec::new();
        let mut values = [0, 1].map(|item| format!("i11n{item}v{session}"));
        let mut connection = connect(move |text, number, state| {
            let words: Vec<&str> = text.split(' ').collect();
            let item: usize = words[1].parse().expect("an item");
            let answer = match words[0] {
                _ if random_part.u8(..4) == 0 => format!("ERR BUSY no\r\nREADY {state} 1.2\r\n"),
                "FETCH" => row_answer(&values[item], number, state),
                _ => {
                    values[item] = words[2].to_owned();
                    format!("DONE signature-i-21-{number}\r\nREADY {state} 1.{number}\r\n")
                }
            };
            let is_copied = !earlier.is_empty() && random_part.u8(..3) == 0;
            let copied = is_copied.then(|| earlier.swap_remove(random_part.usize(..earlier.len())));
            let copied = copied.unwrap_or_default();
            let line = copied.split_inclusive("\r\n").next().unwrap_or_default();
            let part = match random_part.u8(..3) {
                0 => &copied[..],
                1 => line,
                _ => &line[..line.len() / 2],
            };
            let sent = part.to_owned() + &answer;
            earlier.push(answer);
            sent
        });
        connection.observe(Tally::default(), suspicion.clone());
        let mut expected = [0, 1].map(|item| vec![format!("i11n{item}v{session}")]);
        let clock = Clock::system();
        for number in 0..20 {
            let item = random.usize(..2);
            let is_read = random.u8(..3) > 0;
            let data = format!("i11n{item}v{}", 1_000 + number);
            let text = if is_read { format!("FETCH {item}") } else { format!("PUT {item} {data}") };
            let (id, text) = (Id::new("s1"), Text::from(text));
            let command = Command::Data { id: &id, after: None, text: &text };
            let deadline = clock.now() + TIMEOUT;
            let outcome = match is_read {
                true => smol::block_on(connection.read(&clock, &command, deadline)),
                false => smol::block_on(connection.request(&clock, &command, deadline)),
            };
            match outcome {
                Ok(outcome) if outcome.result.is_err() => counts[1] += 1,
                Ok(_) if !is_read => expected[item] = vec![data],
                Ok(outcome) => {
                    let rows: Vec<String> = outcome.rows.iter().map(Text::to_string).collect();
                    let is_right = rows == expected[item];
                    if !is_right {
                        println!("{rows:?} instead of {:?}", expected[item]);
                    }
                    counts[if is_right { 0 } else { 2 }] += 1;
                }
                Err(_) => {
                    counts[1] += 1;
                    break;
                }
            }
            if !connection.is_in_step() {
                break;
            }
        }
    }
    counts
}

/// `SEED` changes the run.
#[test]
fn parts_of_earlier_answers_are_not_delivered_beside_refusals() {
    let counts = count_behind_parts(seed());
    println!("{counts:?}");
    assert!(counts[0] > 0 && counts[2] == 0, "{counts:?}");
}
