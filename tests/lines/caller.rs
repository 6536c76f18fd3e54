//! A caller of a proxy.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::TIMEOUT;

/// A caller with one session.
pub struct Caller {
    socket: TcpStream,
    lines: BufReader<TcpStream>,
    next_id: u64,
    /// The answer to `CONNECT`.
    pub connect_answer: String,
}

/// The answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The line with `DONE` or `ERR`.
    pub result: String,
    /// The state of the transaction: `I`, `T` or `E`.
    pub state: String,
}

impl Caller {
    pub fn connect(address: SocketAddr, database: &str, key: &str) -> Self {
        Self::try_connect(address, database, key, TIMEOUT).expect("a session")
    }

    /// Opens a session whose answers may take this long, if the proxy answers.
    pub fn try_connect(
        address: SocketAddr,
        database: &str,
        key: &str,
        timeout: Duration,
    ) -> std::io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, timeout)?;
        socket.set_read_timeout(Some(timeout))?;
        socket.set_write_timeout(Some(timeout))?;
        let lines = BufReader::new(socket.try_clone()?);
        let mut caller = Self { socket, lines, next_id: 0, connect_answer: String::new() };
        caller.try_send(&format!("CONNECT {database} {key}"))?;
        caller.connect_answer = caller.line().ok_or(std::io::ErrorKind::UnexpectedEof)?;
        Ok(caller)
    }

    pub fn send(&mut self, line: &str) {
        self.try_send(line).unwrap();
    }

    pub fn try_send(&mut self, line: &str) -> std::io::Result<()> {
        self.socket.write_all(format!("{line}\r\n").as_bytes())
    }

    /// Returns the next line, or `None` at the end of the connection.
    pub fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
        }
    }

    /// Sends a statement and returns the answer, or `None` if the connection ended.
    pub fn query(&mut self, text: &str) -> Option<Answer> {
        self.next_id += 1;
        let id = format!("id{:x}{}", std::process::id(), self.next_id);
        self.query_with_id(&id, text)
    }

    /// Sends a statement under this id; see [`Caller::query`].
    pub fn query_with_id(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY {id} {text}"));
        self.receive()
    }

    /// Receives an answer, or returns `None` if the connection ended.
    pub fn receive(&mut self) -> Option<Answer> {
        let mut rows = Vec::new();
        let mut result = String::new();
        loop {
            let line = self.line()?;
            if let Some(row) = line.strip_prefix("ROW ") {
                rows.push(row.to_owned());
            } else if let Some(state) = line.strip_prefix("READY ") {
                let state = state.split(' ').next().unwrap().to_owned();
                return Some(Answer { rows, result, state });
            } else {
                result = line;
            }
        }
    }

    /// Sends a statement until it is answered with `DONE`. Retries only after answers which promise that the statement
    /// has no effect.
    pub fn query_until_done(&mut self, text: &str) -> Answer {
        let start = Instant::now();
        loop {
            let answer = self.query(text).expect("the session goes on");
            if answer.result.starts_with("DONE") {
                return answer;
            }
            let not_executed =
                ["ERR BUSY", "ERR ABORTED"].iter().any(|p| answer.result.starts_with(p));
            assert!(not_executed && start.elapsed() < TIMEOUT, "{text}: {answer:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
