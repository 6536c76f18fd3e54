//! Tests that a command which can't be encoded is refused, and costs neither the connection nor the instance.

#[path = "../platform/line.rs"]
#[allow(dead_code, reason = "only a client is needed")]
mod line;
mod lines;

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use cactushatch::clock::Clock;
use cactushatch::statement::{Command, EncodeError, Id, MAX_LINE_BYTES, Text};
use cactushatch::upstream::connection::{Connection, Error};
use cactushatch::wire::{Health, Replica};
use line::LineCodec;
use lines::{Fleet, PROXIES, content};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Connects to an instance that answers each line. Returns the connection and the lines that arrive.
fn connect() -> (Connection, Receiver<String>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("an address");
    let address = listener.local_addr().expect("an address");
    let (sender, received) = channel();
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let mut input = BufReader::new(socket.try_clone().expect("a socket"));
        let lines = std::iter::from_fn(|| content::read_line(&mut input).ok().flatten());
        for (number, line) in lines.enumerate() {
            let done = if number > 0 { format!("DONE s{number}\r\n") } else { String::new() };
            socket.write_all(format!("{done}READY I 1.1\r\n").as_bytes()).expect("it is sent");
            sender.send(line.content.text()).expect("the test goes on");
        }
    });
    let replica = Replica {
        group: "books".parse().unwrap(),
        instance: "i-21".parse().unwrap(),
        address,
        domain: "a".parse().unwrap(),
    };
    let clock = Clock::system();
    let opened = Connection::connect(&clock, &LineCodec, &replica, None, clock.now() + TIMEOUT);
    let (connection, _) = smol::block_on(opened).expect("a connection");
    received.recv_timeout(TIMEOUT).expect("the first line");
    (connection, received)
}

fn data<'a>(id: &'a Id, text: &'a Text) -> Command<'a> {
    Command::Data { id, after: None, text }
}

#[test]
fn a_connection_is_in_step_after_a_command_that_can_not_be_sent() {
    let (mut connection, received) = connect();
    let clock = Clock::system();
    let (id, text) = (Id::new("i1"), Text::from("FETCH key"));
    let long = Text::from("x".repeat(MAX_LINE_BYTES));
    let cut = Text::from("PUT key x\r\nQUERY zz PUT stolen x");
    for (odd, expected) in [(&long, EncodeError::TooLong), (&cut, EncodeError::Delimiter)] {
        let command = data(&id, odd);
        let answer = connection.request(&clock, &command, clock.now() + TIMEOUT);
        let sent = smol::block_on(answer);
        let Err(error) = sent else { panic!("{sent:?}") };
        assert!(matches!(error, Error::Unencodable(reason) if reason == expected), "{error}");
        assert_eq!(error.health(), Health::Fine);
        let all = [data(&id, &text), data(&id, odd), data(&id, &text)];
        let queued = connection.queue_all(all.into_iter());
        assert!(matches!(queued, Err(Error::Unencodable(reason)) if reason == expected));
        assert!(connection.is_in_step());
        let command = data(&id, &text);
        let answer = connection.request(&clock, &command, clock.now() + TIMEOUT);
        assert!(smol::block_on(answer).expect("an answer").result.is_ok());
        assert_eq!(received.recv_timeout(TIMEOUT).as_deref(), Ok("QUERY i1 FETCH key"));
    }
    assert!(received.try_recv().is_err(), "a part of a command was sent");
}

/// The connection's name of a prepared statement can be longer than that of the session.
#[test]
fn a_statement_that_outgrows_the_limit_is_refused_and_the_session_goes_on() {
    let fleet = Fleet::up(199);
    let mut session = fleet.connect(PROXIES[0], "desk");
    session.query_until_done("PUT key before");
    session.query_until_done("PREPARE s PUT shape");
    let text = "EXEC s key ";
    let data = "x".repeat(MAX_LINE_BYTES - "QUERY i ".len() - text.len());
    let ran = || {
        let executed = fleet.group.executed(&fleet.group.primary());
        executed.iter().filter(|(text, _)| text.starts_with("PUT key xx")).count()
    };
    for begin in [false, true] {
        if begin {
            session.query_until_done("BEGIN");
            session.query_until_done("PUT key within");
        }
        let answer = session.query_with_id("i", &format!("{text}{data}")).expect("an answer");
        assert!(answer.result.starts_with("ERR MALFORMED "), "{:?}", answer.result);
        assert_eq!(answer.state, if begin { "E" } else { "I" });
        if begin {
            session.query_until_done("ROLLBACK");
        }
        assert_eq!(session.query_until_done("FETCH key").rows, ["before"]);
    }
    assert_eq!(ran(), 0);
    let fits = &data[..data.len() - 8];
    let answer = session.query_with_id("i", &format!("{text}{fits}")).expect("an answer");
    assert!(answer.result.starts_with("DONE "), "{:?}", answer.result);
    assert_eq!(ran(), 1);
    let logs = fleet.logs();
    assert!(!logs.contains("out_of_step"), "{logs}");
}
