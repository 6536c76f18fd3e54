//! What the tests of odd input to a running fleet have in common.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::lines::{Fleet, INTERNAL_PORT, METRICS_PORT, PROXIES};

pub const CONTROL_PORT: u16 = 17_303;
pub const VOTERS: [u8; 3] = [1, 2, 3];

/// The ports on which processes accept connections.
pub const PORTS: [u16; 5] = [17_301, 17_302, CONTROL_PORT, INTERNAL_PORT, METRICS_PORT];

/// Sends a request whose body may be any bytes, and returns the status of the answer.
pub fn send(address: SocketAddr, request_line: &str, body: &[u8]) -> Option<u16> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    let length = body.len();
    let head = format!(
        "{request_line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    // The answer to a body over the limit may come before all of it is sent.
    let _ = socket.write_all(&[head.as_bytes(), body].concat());
    let mut line = String::new();
    BufReader::new(socket).read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

pub fn assert_all_run(fleet: &Fleet) {
    for vm in VOTERS.iter().chain(&PROXIES) {
        let status = send(fleet.address(*vm, METRICS_PORT), "GET /metrics", b"");
        assert_eq!(status, Some(200), "the process on VM {vm} answers");
    }
    let logs = fleet.logs();
    let panics: Vec<&str> = logs.lines().filter(|line| line.contains("panicked")).collect();
    assert!(panics.is_empty(), "{panics:?}");
}

pub fn restart(fleet: &mut Fleet, vm: u8) {
    fleet.signal(vm, "-KILL");
    fleet.wait_for_exit(vm);
    fleet.start_process(vm, false);
    fleet.wait_until("the process answers", |fleet| {
        send(fleet.address(vm, METRICS_PORT), "GET /metrics", b"") == Some(200)
    });
}

pub fn read_on_each_proxy(fleet: &Fleet) {
    for vm in PROXIES {
        fleet.wait_until("the proxy is ready", |fleet| fleet.is_ready(vm));
        fleet.connect(vm, "menu").query_until_done("FETCH a");
        fleet.connect(vm, "desk").query_until_done("PUT a b");
    }
}

/// Returns JSON of lists in lists.
pub fn nested_lists(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}
