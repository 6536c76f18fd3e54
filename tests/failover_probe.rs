//! Probes of instances that are slow, silent, answer with errors, or are silent on one connection only.

mod machine;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use cactushatch::clock::Clock;
use cactushatch::upstream::probe::{HEDGE_DELAY, PROBE_TIMEOUT, Probe};
use cactushatch::wire::Health;

/// The behaviour of an instance on a connection.
#[derive(Clone, Copy)]
enum Behavior {
    Answers,
    /// Answers only the first query.
    AnswersOnce,
    AnswersLate(Duration),
    AnswersWithErrors,
}

/// Starts an instance whose n-th connection has the n-th behaviour. The last one applies to all further connections.
fn start_instance(behaviors: &'static [Behavior]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, socket) in listener.incoming().enumerate() {
            let behavior = behaviors[number.min(behaviors.len() - 1)];
            std::thread::spawn(move || serve(socket.unwrap(), behavior));
        }
    });
    address
}

fn serve(mut socket: TcpStream, behavior: Behavior) -> std::io::Result<()> {
    let mut length = [0; 4];
    socket.read_exact(&mut length)?;
    socket.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4])?;
    socket.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
    for query in 0.. {
        let mut header = [0; 5];
        socket.read_exact(&mut header)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        socket.read_exact(&mut vec![0; length as usize - 4])?;
        match behavior {
            Behavior::AnswersOnce if query > 0 => std::thread::sleep(Duration::from_secs(60)),
            Behavior::AnswersLate(delay) => std::thread::sleep(delay),
            _ => {}
        }
        let answer = match behavior {
            Behavior::AnswersWithErrors => message(b'E', b"SERROR\0C53300\0Mfull\0\0"),
            _ => [message(b'D', &status_row_body()), message(b'C', b"SELECT 1\0")].concat(),
        };
        socket.write_all(&[answer, message(b'Z', b"I")].concat())?;
    }
    Ok(())
}

fn status_row_body() -> Vec<u8> {
    let mut body = 6_u16.to_be_bytes().to_vec();
    for column in ["primary", "1", "5", "5", "5", "0"] {
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

#[test]
fn errors_are_faulty_and_a_closed_port_is_refused() {
    let mut overloaded = probe(start_instance(&[Behavior::AnswersWithErrors]));
    assert_eq!(smol::block_on(overloaded.status()).err(), Some(Health::Faulty));
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(smol::block_on(probe(closed).status()).err(), Some(Health::Refused));
}
