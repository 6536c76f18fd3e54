//! The HTTP messages of the stand-in.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub fn read_message(socket: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut reader = BufReader::new(socket.try_clone().ok()?);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head.lines().find_map(|line| {
        line.to_lowercase()
            .strip_prefix("content-length:")
            .map(|v| v.trim().parse::<usize>().unwrap())
    });
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Sends a request over HTTP and returns the status and body of the answer, or `None` if there is none.
pub fn send(address: SocketAddr, request_line: &str, body: &str) -> Option<(u16, String)> {
    send_within(Duration::from_secs(6), address, request_line, body)
}

pub fn send_within(
    timeout: Duration,
    address: SocketAddr,
    request_line: &str,
    body: &str,
) -> Option<(u16, String)> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    socket.set_read_timeout(Some(timeout)).ok()?;
    let head = format!(
        "{request_line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let (head, body) = read_message(&mut socket)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8(body).ok()?))
}
