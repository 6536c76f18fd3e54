//! Tests of a connection on which an instance answers twice: which answer is taken for that to a command.

#[path = "lines/content.rs"]
#[allow(dead_code, reason = "only lines are needed")]
mod content;
#[path = "../platform/line.rs"]
#[allow(dead_code, reason = "only a client is needed")]
mod line;

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::time::Duration;

use cactushatch::clock::{Clock, Instant};
use cactushatch::report::Tally;
use cactushatch::statement::{Code, Command, Id, State, Text};
use cactushatch::upstream::connection::{Connection, Error, Suspicion};
use cactushatch::wire::Replica;
use line::LineCodec;

const TIMEOUT: Duration = Duration::from_secs(5);

const BEGIN: Command<'_> = Command::Begin { read_only: false, after: None };

/// Connects to an instance that sends the second part of an entry for each line, which must contain the first part. The
/// lines of an answer are separated by `|`.
fn connect(script: &'static [(&str, &str)]) -> (Clock, Instant, Connection) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("an address");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let mut lines = BufReader::new(socket.try_clone().expect("a socket"));
        let mut next = || content::read_line(&mut lines).ok().flatten();
        next().expect("a line");
        socket.write_all(b"READY I 1.1\r\n").expect("the answer is sent");
        for (command, answer) in script {
            let line = next().expect("a line").content.text();
            assert!(line.contains(command), "{line:?} instead of {command}");
            socket.write_all(answer.replace('|', "\r\n").as_bytes()).expect("the answer is sent");
        }
        // The connection stays open until the other end closes it.
        next();
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
    let (connection, _) = smol::block_on(opened).expect("a connection");
    (clock, deadline, connection)
}

fn run(connection: &mut Connection, text: &str) -> Result<(Vec<String>, String), Error> {
    let clock = Clock::system();
    let command = Command::Data { id: &Id::new("s1"), after: None, text: &text.into() };
    let answer = connection.request(&clock, &command, clock.now() + TIMEOUT);
    let outcome = smol::block_on(answer)?;
    let result = match outcome.result {
        Ok(signature) => signature.to_string(),
        Err((code, _)) => format!("error {code}"),
    };
    Ok((outcome.rows.iter().map(Text::to_string).collect(), result))
}

fn is_done(answer: &Result<(Vec<String>, String), Error>, rows: &[&str], signature: &str) -> bool {
    matches!(answer, Ok((received, result)) if received == rows && result == signature)
}

/// A write was answered by the signature of another one, and its own answer went to the next session.
#[test]
fn the_answer_to_an_earlier_statement_is_not_that_to_a_write() {
    let (_, _, mut connection) = connect(&[
        ("PUT a", "DONE s1|READY I 1.2|"),
        ("PUT b", "DONE s1|READY I 1.2|DONE s2|READY I 1.3|"),
    ]);
    assert!(is_done(&run(&mut connection, "PUT a 1"), &[], "s1"));
    assert!(connection.is_in_step());
    assert!(is_done(&run(&mut connection, "PUT b 1"), &[], "s2"));
    assert!(!connection.is_in_step(), "another copy may follow");
}

/// A write was reported as not run since an earlier one had been refused.
#[test]
fn an_earlier_refusal_is_not_that_of_a_write() {
    let (_, _, mut connection) = connect(&[
        ("PUT a", "ERR BUSY no|READY I 1.2|"),
        ("PUT b", "ERR BUSY no|READY I 1.2|DONE s1|READY I 1.3|"),
        ("PREPARE", "DONE -|READY I 1.3|"),
    ]);
    assert!(is_done(&run(&mut connection, "PUT a 1"), &[], "error busy"));
    assert!(is_done(&run(&mut connection, "PUT b 1"), &[], "s1"));
    assert!(!connection.is_in_step());
}

#[test]
fn two_equal_refusals_in_a_row_are_both_believed() {
    let (_, _, mut connection) = connect(&[
        ("PUT a", "ERR BUSY no|READY I 1.2|"),
        ("PUT b", "ERR BUSY no|READY I 1.2|"),
        ("PREPARE", "DONE -|READY I 1.2|"),
        ("PUT c", "DONE s1|READY I 1.3|"),
    ]);
    assert!(is_done(&run(&mut connection, "PUT a 1"), &[], "error busy"));
    assert!(is_done(&run(&mut connection, "PUT b 1"), &[], "error busy"));
    assert!(is_done(&run(&mut connection, "PUT c 1"), &[], "s1"));
    assert!(connection.is_in_step());
}

/// A transaction that was refused counted as begun, and its writes ran outside of it.
#[test]
fn an_earlier_begin_does_not_hide_that_one_is_refused() {
    let (clock, deadline, mut connection) = connect(&[
        ("BEGIN", "DONE -|READY T 1.2|"),
        ("ROLLBACK", "DONE -|READY I 1.2|"),
        ("BEGIN", "DONE -|READY T 1.2|ERR READONLY no|READY I 1.2|"),
        ("PREPARE", "DONE -|READY I 1.2|"),
    ]);
    let mut request = |command| smol::block_on(connection.request(&clock, &command, deadline));
    assert_eq!(request(BEGIN).expect("an answer").state, State::Open);
    assert_eq!(request(Command::Rollback).expect("an answer").state, State::Idle);
    let refused = request(BEGIN).expect("an answer");
    assert!(matches!(refused.result, Err((Code::ReadOnly, _))), "{refused:?}");
}

/// A commit counted as done by the answer to a write that had run twice, and was still to run.
#[test]
fn an_answer_inside_of_a_transaction_is_not_that_to_its_commit() {
    let (clock, deadline, mut connection) = connect(&[
        ("BEGIN", "DONE -|READY T 1.2|"),
        ("PUT a", "DONE s1|READY T 1.2|"),
        ("COMMIT", "DONE s2|READY T 1.2|DONE s3|READY I 1.3|"),
    ]);
    smol::block_on(connection.request(&clock, &BEGIN, deadline)).expect("an answer");
    assert!(is_done(&run(&mut connection, "PUT a 1"), &[], "s1"));
    let commit = Command::Commit { id: &Id::new("s1") };
    let answer = smol::block_on(connection.request(&clock, &commit, deadline));
    assert!(matches!(answer, Err(Error::OutOfStep(_))), "{answer:?}");
}

/// The position of before a pause was taken for that of after it.
#[test]
fn an_earlier_status_is_not_that_after_a_pause() {
    let (clock, deadline, mut connection) = connect(&[
        ("STATUS", "ROW replica 1 1.5 0 0 0 1|DONE -|READY I 1.4|"),
        ("PAUSE", "ROW replica 1 1.5 0 0 0 1|DONE -|READY I 1.4|"),
        ("PREPARE", "ROW replica 1 1.9 0 0 0 1|DONE -|READY I 1.4|DONE -|READY I 1.4|"),
    ]);
    let mut status = |command| smol::block_on(connection.status(&clock, &command, deadline));
    let before = status(Command::Status).expect("an answer").expect("a status");
    assert_eq!(before.received.0, 5);
    let pause = Command::Pause { term: cactushatch::id::Term(2) };
    let after = status(pause).expect("an answer").expect("a status");
    assert_eq!(after.received.0, 9);
}

/// Rows of another statement were delivered in front of those that were asked for.
#[test]
fn rows_of_an_earlier_answer_are_not_delivered() {
    let parts = ["ROW one|", "RO", "ROW on", "ROW one|DONE s1|", "ROW one|DONE s1|READY I 1.2|"];
    let scripts: [&'static [(&str, &str)]; 5] = [
        &[
            ("FETCH a", "ROW one|DONE s1|READY I 1.2|"),
            ("FETCH b", "ROW one|ROW two|DONE s2|READY I 1.2|"),
        ],
        &[
            ("FETCH a", "ROW one|DONE s1|READY I 1.2|"),
            ("FETCH b", "ROROW two|DONE s2|READY I 1.2|"),
        ],
        &[
            ("FETCH a", "ROW one|DONE s1|READY I 1.2|"),
            ("FETCH b", "ROW onROW two|DONE s2|READY I 1.2|"),
        ],
        &[
            ("FETCH a", "ROW one|DONE s1|READY I 1.2|"),
            ("FETCH b", "ROW one|DONE s1|ROW two|DONE s2|READY I 1.2|"),
        ],
        &[
            ("FETCH a", "ROW one|DONE s1|READY I 1.2|"),
            ("FETCH b", "ROW one|DONE s1|READY I 1.2|ROW two|DONE s2|READY I 1.2|"),
        ],
    ];
    for (part, script) in parts.into_iter().zip(scripts) {
        let (_, _, mut connection) = connect(script);
        assert!(is_done(&run(&mut connection, "FETCH a"), &["one"], "s1"));
        let answer = run(&mut connection, "FETCH b");
        let is_refused = matches!(answer, Err(Error::OutOfStep(_)));
        assert!(is_refused || is_done(&answer, &["two"], "s2"), "{part}: {answer:?}");
        assert!(!connection.is_in_step(), "{part}");
    }
}

/// Rows that came before a second answer were discarded with it, and the rest was delivered as the whole.
#[test]
fn an_answer_that_a_second_one_interrupts_is_not_delivered_in_part() {
    let scripts: [&'static [(&str, &str)]; 3] = [
        &[
            ("FETCH a", "ERR BUSY no|READY I 1.2|"),
            ("FETCH b", "ROW two|ERR BUSY no|READY I 1.2|ROW three|DONE s2|READY I 1.2|"),
        ],
        &[
            ("FETCH a", "ROW one|DONE s1|READY I 1.2|"),
            ("FETCH b", "ROW two|ROW one|DONE s1|READY I 1.2|ROW three|DONE s2|READY I 1.2|"),
        ],
        &[
            ("FETCH a", "DONE s1|READY I 1.2|"),
            ("FETCH b", "DONE s1|ROW two|READY I 1.2|ROW three|DONE s2|READY I 1.2|"),
        ],
    ];
    for script in scripts {
        let (_, _, mut connection) = connect(script);
        run(&mut connection, "FETCH a").expect("an answer");
        let answer = run(&mut connection, "FETCH b");
        assert!(matches!(answer, Err(Error::OutOfStep(_))), "{answer:?}");
    }
}

/// Reads of two items with the same data were retried on other connections, and refused in the end.
#[test]
fn equal_rows_of_two_statements_are_both_delivered() {
    let (_, _, mut connection) = connect(&[
        ("FETCH a", "ROW one|DONE s1|READY I 1.2|"),
        ("FETCH b", "ROW one|DONE s2|READY I 1.2|"),
        ("EXEC c1 a", "ROW one|DONE s3|READY I 1.2|"),
    ]);
    for (text, signature) in [("FETCH a", "s1"), ("FETCH b", "s2"), ("EXEC c1 a", "s3")] {
        assert!(is_done(&run(&mut connection, text), &["one"], signature), "{text}");
        assert!(connection.is_in_step());
    }
}

/// The first half of a refusal and a row were taken for a refusal, and the row was left out.
#[test]
fn a_row_that_is_joined_to_a_part_of_a_refusal_is_not_left_out() {
    let (_, _, mut connection) = connect(&[
        ("FETCH a", "ERR BUSY no|READY I 1.2|"),
        ("FETCH b", "ERR BROW two|DONE s2|READY I 1.2|"),
    ]);
    assert!(is_done(&run(&mut connection, "FETCH a"), &[], "error busy"));
    let answer = run(&mut connection, "FETCH b");
    assert!(matches!(answer, Err(Error::OutOfStep(_))), "{answer:?}");
}

/// Refusals of a busy instance that had answered twice once were never believed again: each that wasn't prolonged the
/// suspicion.
#[test]
fn refusals_that_are_not_believed_do_not_prolong_the_suspicion() {
    let busy = [("PUT a", "ERR BUSY no|READY I 1.2|"), ("PUT b", "ERR BUSY no|READY I 1.2|")];
    let fence = ("PREPARE", "DONE -|READY I 1.2|");
    let scripts: [&'static [(&str, &str)]; 3] = [
        &[("PUT a", "DONE s1|READY I 1.2|"), ("PUT b", "DONE s1|READY I 1.2|DONE s2|READY I 1.3|")],
        Vec::from(busy).leak(),
        Vec::from([busy[0], busy[1], fence]).leak(),
    ];
    let (clock, suspicion) = (Clock::paused(), Suspicion::default());
    let mut results = Vec::new();
    for script in scripts {
        clock.advance(Duration::from_secs(6));
        let (_, _, mut connection) = connect(script);
        connection.observe(Tally::default(), suspicion.clone());
        for text in ["PUT a 1", "PUT b 1"] {
            let command = Command::Data { id: &Id::new("s1"), after: None, text: &text.into() };
            let answer = connection.request(&clock, &command, clock.now() + TIMEOUT);
            results.push(smol::block_on(answer).map(|outcome| outcome.result.is_ok()));
        }
    }
    let is_right = matches!(
        results[..],
        [Ok(true), Ok(true), Ok(false), Err(Error::OutOfStep(_)), Ok(false), Ok(false)]
    );
    assert!(is_right, "{results:?}");
}

#[test]
fn a_connection_on_which_something_arrived_is_not_used() {
    let (clock, _, mut connection) =
        connect(&[("FETCH a", "ROW one|DONE s1|READY I 1.2|ROW one|DONE s1|READY I 1.2|")]);
    assert!(is_done(&run(&mut connection, "FETCH a"), &["one"], "s1"));
    std::thread::sleep(Duration::from_millis(50));
    assert!(!connection.is_quiet(&clock));
}
