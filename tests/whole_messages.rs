//! HTTP requests and responses that are cut short, doubled or preceded by others, seen from sockets.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactushatch::admin::{self, Reply};

const TIMEOUT: Duration = Duration::from_secs(5);

/// How long a server may take to answer all that has arrived.
const PATIENCE: Duration = Duration::from_millis(300);

/// Sends `request` to a server, reads what it answers, closes the connection, and returns the bodies that the server
/// handled.
fn handled(request: &str, is_whole: bool) -> Vec<String> {
    let bodies = Arc::new(Mutex::new(Vec::new()));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let listener = smol::net::TcpListener::try_from(listener).unwrap();
    let handle = {
        let bodies = Arc::clone(&bodies);
        move |request: admin::Request| {
            bodies.lock().unwrap().push(String::from_utf8_lossy(&request.body).into_owned());
            async { Reply::text("done".to_owned()) }
        }
    };
    let server = smol::spawn(admin::serve(listener, handle));
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(if is_whole { PATIENCE } else { TIMEOUT })).unwrap();
    socket.write_all(request.as_bytes()).unwrap();
    if !is_whole {
        socket.shutdown(Shutdown::Write).unwrap();
    }
    let _ = socket.read_to_end(&mut Vec::new());
    drop(server);
    let bodies = bodies.lock().unwrap();
    bodies.clone()
}

/// Returns the body of a response that is sent as `bytes` before the connection is closed.
fn received(bytes: &'static str) -> Result<String, String> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let _ = socket.read(&mut [0; 1024]);
        let _ = socket.write_all(bytes.as_bytes());
    });
    let body = smol::block_on(admin::get(address, "/status"));
    let body = body.map_err(|error| error.to_string())?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

#[test]
fn request_that_is_cut_short_is_not_handled() {
    let whole = "POST /announce HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nfour";
    assert_eq!(handled(whole, true), ["four"]);
    for len in 0..whole.len() {
        assert_eq!(handled(&whole[..len], false), [""; 0], "{:?}", &whole[..len]);
    }
    let chunked =
        "PUT /config HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n";
    assert_eq!(handled(chunked, false), [""; 0]);
    assert_eq!(handled(&format!("{chunked}0\r\n\r\n"), true), ["four"]);
}

#[test]
fn second_request_of_a_connection_is_handled_only_if_it_is_whole() {
    let first = "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\none";
    assert_eq!(handled(&format!("{first}{first}"), true), ["one", "one"]);
    let second = "DELETE /a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\ntw";
    assert!(!handled(&format!("{first}{second}"), false).contains(&"tw".to_owned()));
}

#[test]
fn response_that_is_cut_short_is_not_taken_as_whole() {
    let head = "HTTP/1.1 200 OK\r\n";
    assert_eq!(received("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour").unwrap(), "four");
    received("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfou").unwrap_err();
    received("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n").unwrap_err();
    received("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n").unwrap_err();
    received(head).unwrap_err();
    received("").unwrap_err();
}

#[test]
fn response_is_the_first_final_one() {
    let four = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour";
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour";
    assert_eq!(received(interim).unwrap(), "four");
    let leaked: &'static str =
        format!("{four}HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext").leak();
    assert_eq!(received(leaked).unwrap(), "four");
}
