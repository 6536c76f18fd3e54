//! Requests whose body waits for a guard, seen from the server's socket.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use cactushatch::admin::{Client, Error, Guard, Withheld};
use cactushatch::clock::Clock;
use cactushatch::socket;
use hyper::Method;
use smol::channel;

const BODY: &str = "{\"Id\":\"i-1\"}";
const VALIDITY: Duration = Duration::from_millis(250);
const TIMEOUT: Duration = Duration::from_secs(5);

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn accept(listener: &TcpListener) -> TcpStream {
    let (socket, _) = listener.accept().unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket
}

/// Sends the request in the background. The body leaves once `guard` is done.
fn send(address: SocketAddr, guard: Guard) -> smol::Task<Result<Bytes, Error>> {
    smol::spawn(async move {
        let request = (Method::POST, "/orders", &[("token", "7")][..]);
        let client = Client::default();
        client.send_guarded(address, request, BODY.into(), VALIDITY, guard).await
    })
}

fn read_head(socket: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        socket.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap().to_lowercase()
}

/// Returns the bytes that arrive until the connection ends, and whether it was reset.
fn read_to_end(socket: &mut TcpStream) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    let reset = match socket.read_to_end(&mut bytes) {
        Ok(_) => false,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => true,
        Err(error) => panic!("{error}"),
    };
    (bytes, reset)
}

#[test]
fn the_body_leaves_only_once_the_guard_allows_it() {
    let (listener, address) = listen();
    let (allow, allowed) = channel::bounded::<()>(1);
    let guard = Box::pin(async move { allowed.recv().await.map_err(|_| Withheld) });
    let answer = send(address, guard);
    let mut socket = accept(&listener);
    let head = read_head(&mut socket);
    assert!(head.contains(&format!("content-length: {}\r\n", BODY.len())), "{head}");
    assert!(head.contains("token: 7\r\n"), "{head}");
    socket.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let early = socket.read(&mut [0; 64]).unwrap_err();
    assert!(matches!(early.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{early}");
    allow.send_blocking(()).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut body = vec![0; BODY.len()];
    socket.read_exact(&mut body).unwrap();
    assert_eq!(body, BODY.as_bytes());
    socket.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    assert_eq!(smol::block_on(answer).unwrap(), "ok");
    assert_eq!(read_to_end(&mut socket), (Vec::new(), false), "a complete exchange is not reset");
}

#[test]
fn a_withheld_body_never_leaves() {
    let (listener, address) = listen();
    let answer = send(address, Box::pin(async { Err(Withheld) }));
    let mut socket = accept(&listener);
    let (bytes, _) = read_to_end(&mut socket);
    assert!(!String::from_utf8_lossy(&bytes).contains(BODY));
    assert!(matches!(smol::block_on(answer), Err(Error::Withheld(_))));
}

/// The receiver's window is closed, so that the kernel holds data that is not acknowledged; on loopback no packet gets lost,
/// which would be another timer of the kernel. The process does nothing, like one that is frozen.
#[test]
fn the_kernel_discards_what_stays_unacknowledged_while_the_process_does_nothing() {
    let (listener, address) = listen();
    let sender = smol::block_on(smol::net::TcpStream::connect(address)).unwrap();
    socket::withdraw_on_close(&sender, VALIDITY).unwrap();
    let mut receiver = accept(&listener);
    let chunk = vec![7; 64 * 1024];
    let mut sent = 0;
    smol::block_on(async {
        let mut writer = sender.clone();
        let clock = Clock::system();
        while let Some(written) =
            clock.timeout(VALIDITY / 5, smol::io::AsyncWriteExt::write(&mut writer, &chunk)).await
        {
            sent += written.unwrap();
        }
    });
    std::thread::sleep(8 * VALIDITY);
    let mut received = 0;
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(len @ 1..) = receiver.read(&mut buffer) {
        received += len;
    }
    assert!(received < sent, "all {sent} bytes arrived after {:?}", 8 * VALIDITY);
    let error = socket2::SockRef::from(&sender).take_error().unwrap();
    assert_eq!(error.map(|error| error.kind()), Some(ErrorKind::TimedOut));
}

#[test]
fn a_request_that_is_given_up_is_reset() {
    let (listener, address) = listen();
    let answer = send(address, Box::pin(async { Ok(()) }));
    let mut socket = accept(&listener);
    read_head(&mut socket);
    smol::block_on(answer.cancel());
    let (_, reset) = read_to_end(&mut socket);
    assert!(reset, "the connection was closed, so that the kernel keeps sending");
}

/// What such an answer belongs to isn't known; a promotion that never left would count as accepted.
#[test]
fn success_that_arrives_before_the_body_has_left_is_not_taken_for_the_answer() {
    for status in ["200 OK", "204 No Content"] {
        let (listener, address) = listen();
        let answer = send(address, Box::pin(std::future::pending()));
        let mut socket = accept(&listener);
        read_head(&mut socket);
        let early = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        socket.write_all(early.as_bytes()).unwrap();
        smol::block_on(answer).unwrap_err();
        let (bytes, _) = read_to_end(&mut socket);
        assert!(bytes.is_empty(), "the body left after the request had failed");
    }
}
