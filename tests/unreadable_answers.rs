//! Tests of what a connection makes of an answer that can't be read.

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
use cactushatch::report::Metrics;
use cactushatch::statement::{Command, DecodeError, Id};
use cactushatch::upstream::connection::{Connection, Error, Outcome, Suspicion};
use cactushatch::wire::{Health, Replica};
use line::LineCodec;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Connects to an instance that sends these bytes in answer to `CONNECT` and to a read, and reads from it.
fn read(
    greeting: &'static [u8],
    answer: &'static [u8],
    metrics: &Metrics,
) -> Result<Outcome, Error> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("an address");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let mut input = BufReader::new(socket.try_clone().expect("a socket"));
        let mut next = || content::read_line(&mut input).ok().flatten();
        for bytes in [greeting, answer] {
            next().expect("a line");
            socket.write_all(bytes).expect("the answer is sent");
        }
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
    smol::block_on(async {
        let opened = Connection::connect(&clock, &LineCodec, &replica, None, deadline);
        let (mut connection, _) = opened.await?;
        connection.observe(metrics.upstream(), Suspicion::default());
        let command = Command::Data { id: &Id::new("r1"), after: None, text: &"FETCH a".into() };
        connection.request(&clock, &command, deadline).await
    })
}

const READY: &[u8] = b"READY I 1.1\r\n";

#[test]
fn an_unreadable_answer_does_not_make_its_instance_faulty() {
    let metrics = Metrics::default();
    let error = read(READY, b"ROW a\r\nWHAT\r\nREADY I 1.1\r\n", &metrics).expect_err("an error");
    assert!(matches!(error, Error::Malformed(DecodeError::Kind)), "{error:?}");
    assert_eq!(error.health(), Health::Fine);
    let counted = "cactushatch_protocol_errors_total{peer=\"upstream\",reason=\"kind\"} 1";
    assert!(metrics.encode().lines().any(|line| line == counted));
}

#[test]
fn an_answer_with_too_many_rows_does_not_make_its_instance_faulty() {
    let row = [b"ROW ", &vec![b'x'; 1_000_000][..], b"\r\n"].concat();
    let rows: &'static [u8] = [&row.repeat(5), &b"DONE s\r\n"[..], READY].concat().leak();
    let error = read(READY, rows, &Metrics::default()).expect_err("an error");
    assert!(matches!(error, Error::TooManyRows), "{error:?}");
    assert_eq!(error.health(), Health::Fine);
}

#[test]
fn a_peer_whose_first_message_is_unreadable_is_no_instance() {
    for greeting in [&b"HTTP/1.1 400 Bad Request\r\n"[..], b"DONE -\r\n", b"READY X -\r\n"] {
        let error = read(greeting, READY, &Metrics::default()).expect_err("an error");
        assert!(matches!(error, Error::Foreign(_)), "{error:?}");
        assert_eq!(error.health(), Health::Faulty);
    }
}
