//! What a probe makes of an instance that is slow, silent, or silent on one connection only.

mod machine;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use cactushatch::clock::Clock;
use cactushatch::upstream::probe::{DOUBT, Probe, SILENCE};
use cactushatch::wire::Health;

/// How an instance treats a connection.
#[derive(Clone, Copy)]
enum Manner {
    Answers,
    /// It answers the first query and nothing more.
    Once,
    Late(Duration),
    Errors,
}

/// Starts an instance that treats its connections in these manners, the last one for all that follow.
fn instance(manners: &'static [Manner]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, socket) in listener.incoming().enumerate() {
            let manner = manners[number.min(manners.len() - 1)];
            std::thread::spawn(move || serve(socket.unwrap(), manner));
        }
    });
    address
}

fn serve(mut socket: TcpStream, manner: Manner) -> std::io::Result<()> {
    let mut length = [0; 4];
    socket.read_exact(&mut length)?;
    socket.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4])?;
    socket.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
    for query in 0.. {
        let mut header = [0; 5];
        socket.read_exact(&mut header)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        socket.read_exact(&mut vec![0; length as usize - 4])?;
        match manner {
            Manner::Once if query > 0 => std::thread::sleep(Duration::from_secs(60)),
            Manner::Late(wait) => std::thread::sleep(wait),
            _ => {}
        }
        let answer = match manner {
            Manner::Errors => message(b'E', b"SERROR\0C53300\0Mfull\0\0"),
            _ => [message(b'D', &row()), message(b'C', b"SELECT 1\0")].concat(),
        };
        socket.write_all(&[answer, message(b'Z', b"I")].concat())?;
    }
    Ok(())
}

fn row() -> Vec<u8> {
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
fn one_connection_that_went_silent_does_not_make_the_instance_silent() {
    let mut probe = probe(instance(&[Manner::Once, Manner::Answers]));
    smol::block_on(async {
        assert!(probe.status().await.is_ok_and(|seen| seen.reconnected));
        let seen = probe.status().await.expect("the new connection answers");
        assert!(seen.reconnected);
        assert!(probe.status().await.is_ok_and(|seen| !seen.reconnected), "it is used from now on");
    });
}

#[test]
fn a_slow_instance_is_not_silent() {
    let late = DOUBT + (SILENCE - DOUBT) / 3;
    let manners = Box::leak(Box::new([Manner::Late(late)]));
    let mut probe = probe(instance(manners));
    smol::block_on(async {
        assert!(probe.status().await.is_ok());
        assert!(probe.status().await.is_ok());
    });
}

#[test]
fn an_instance_that_answers_nothing_is_silent_after_a_bounded_time() {
    let manners = Box::leak(Box::new([Manner::Late(SILENCE * 10)]));
    let mut silent = probe(instance(manners));
    let start = Instant::now();
    let seen = smol::block_on(silent.status());
    assert_eq!(seen.err(), Some(Health::Silent));
    assert!(start.elapsed() >= SILENCE);
}

#[test]
fn errors_are_no_crash_and_a_closed_port_is() {
    let mut full = probe(instance(&[Manner::Errors]));
    assert_eq!(smol::block_on(full.status()).err(), Some(Health::Faulty));
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(smol::block_on(probe(closed).status()).err(), Some(Health::Refused));
}
