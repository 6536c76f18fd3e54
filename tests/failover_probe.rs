//! Probes of instances that are slow, silent, answer with errors, or are silent on one connection only.

mod machine;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cactushatch::clock::Clock;
use cactushatch::id::{Position, Term};
use cactushatch::upstream::probe::{HEDGE_DELAY, PROBE_TIMEOUT, Probe};
use cactushatch::upstream::status::demote_sql;
use cactushatch::wire::Health;

/// The behaviour of an instance on a connection.
#[derive(Clone, Copy)]
enum Behavior {
    Answers,
    /// Answers only the first query.
    AnswersOnce,
    AnswersLate(Duration),
    /// Answers the first query twice, the second time together with the answer to the second query.
    AnswersTwice,
    AnswersWithErrors,
}

/// Starts an instance whose n-th connection has the n-th behaviour. The last one applies to all further connections.
fn start_instance(behaviors: &'static [Behavior]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let position = Arc::new(AtomicU64::new(5));
    std::thread::spawn(move || {
        for (number, socket) in listener.incoming().enumerate() {
            let behavior = behaviors[number.min(behaviors.len() - 1)];
            let position = Arc::clone(&position);
            std::thread::spawn(move || serve(socket.unwrap(), behavior, &position));
        }
    });
    address
}

fn serve(mut socket: TcpStream, behavior: Behavior, position: &AtomicU64) -> std::io::Result<()> {
    let mut length = [0; 4];
    socket.read_exact(&mut length)?;
    socket.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4])?;
    socket.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
    let mut previous = Vec::new();
    for query in 0.. {
        let mut header = [0; 5];
        socket.read_exact(&mut header)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        let mut text = vec![0; length as usize - 4];
        socket.read_exact(&mut text)?;
        let text = String::from_utf8(text).unwrap();
        match behavior {
            Behavior::AnswersOnce if query > 0 => std::thread::sleep(Duration::from_secs(60)),
            Behavior::AnswersLate(delay) => std::thread::sleep(delay),
            _ => {}
        }
        let answer = match behavior {
            Behavior::AnswersWithErrors => message(b'E', b"SERROR\0C53300\0Mfull\0\0"),
            _ => {
                let row = status_row_body(&text, position.fetch_add(1, Ordering::SeqCst));
                [message(b'D', &row), message(b'C', b"SELECT 1\0")].concat()
            }
        };
        if matches!(behavior, Behavior::AnswersTwice) && query == 1 {
            socket.write_all(&previous)?;
        }
        previous = [&answer[..], &message(b'Z', b"I")].concat();
        socket.write_all(&[answer, message(b'Z', b"I")].concat())?;
    }
    Ok(())
}

/// Returns a row of the status at `position`, followed by the constant that the query selects, if any.
fn status_row_body(query: &str, position: u64) -> Vec<u8> {
    let position = position.to_string();
    let mut columns = vec!["primary", "1", &position, &position, &position, "0"];
    columns.extend(query.split('\'').nth(1));
    let mut body = (columns.len() as u16).to_be_bytes().to_vec();
    for column in columns {
        body.extend((column.len() as u32).to_be_bytes());
        body.extend(column.as_bytes());
    }
    body
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![tag];
    bytes.extend((body.len() as u32 + 4).to_be_bytes());
    bytes.extend(body);
    bytes
}

fn probe(address: SocketAddr) -> Probe {
    let mut replica = machine::replica("i1", 1);
    replica.address = address;
    Probe::new(Clock::system(), "test".into(), "test".into(), replica)
}

#[test]
fn instance_is_not_silent_while_a_new_connection_answers() {
    let mut probe = probe(start_instance(&[Behavior::AnswersOnce, Behavior::Answers]));
    smol::block_on(async {
        assert!(probe.status().await.is_ok_and(|response| response.reconnected));
        let response = probe.status().await.expect("the new connection answers");
        assert!(response.reconnected);
        assert!(
            probe.status().await.is_ok_and(|response| !response.reconnected),
            "the new connection replaces the silent one"
        );
    });
}

#[test]
fn slow_answer_within_the_timeout_is_accepted() {
    let delay = HEDGE_DELAY + (PROBE_TIMEOUT - HEDGE_DELAY) / 3;
    let behaviors = Box::leak(Box::new([Behavior::AnswersLate(delay)]));
    let mut probe = probe(start_instance(behaviors));
    smol::block_on(async {
        assert!(probe.status().await.is_ok());
        assert!(probe.status().await.is_ok());
    });
}

#[test]
fn unanswered_query_is_silent_after_the_timeout() {
    let behaviors = Box::leak(Box::new([Behavior::AnswersLate(PROBE_TIMEOUT * 10)]));
    let mut silent = probe(start_instance(behaviors));
    let start = Instant::now();
    let response = smol::block_on(silent.status());
    assert_eq!(response.err(), Some(Health::Silent));
    assert!(start.elapsed() >= PROBE_TIMEOUT);
}

/// A position that was read before a demotion would be taken for the one at which the primary stopped.
#[test]
fn second_answer_is_not_taken_for_a_later_status() {
    let mut probe = probe(start_instance(&[Behavior::AnswersTwice, Behavior::Answers]));
    smol::block_on(async {
        let first = probe.status().await.unwrap();
        assert_eq!(first.status.position, Position(5));
        let demoted = probe.execute(&demote_sql(Term(1))).await;
        let demoted = demoted.expect("the order is repeated on a new connection");
        assert!(demoted.position > Position(5), "a status of before the order: {demoted:?}");
        assert!(probe.status().await.unwrap().status.position > demoted.position);
    });
}

#[test]
fn errors_are_faulty_and_a_closed_port_is_refused() {
    let mut overloaded = probe(start_instance(&[Behavior::AnswersWithErrors]));
    assert_eq!(smol::block_on(overloaded.status()).err(), Some(Health::Faulty));
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(smol::block_on(probe(closed).status()).err(), Some(Health::Refused));
}
