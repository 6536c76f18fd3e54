//! A caller of a proxy.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::TIMEOUT;
use super::content::{self, Content};

/// A caller with one session.
pub struct Caller {
    socket: TcpStream,
    lines: BufReader<TcpStream>,
    next_id: u64,
    /// The answer to `CONNECT`.
    pub connect_answer: String,
}

/// The answer to a statement, byte for byte.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    pub rows: Vec<Content>,
    /// The line with `DONE` or `ERR`. If there are several, or rows after it, all of these lines.
    pub result: Content,
    /// The state of the transaction: `I`, `T` or `E`.
    pub state: String,
}

impl Reply {
    /// Returns the signature, if the statement succeeded.
    pub fn signature(&self) -> Option<&[u8]> {
        self.result.strip_prefix(b"DONE ")
    }

    /// Returns the code, if the statement failed.
    pub fn code(&self) -> Option<&[u8]> {
        self.result.strip_prefix(b"ERR ").map(|text| content::split_word(text).0)
    }
}

/// The answer to a statement as text.
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
        self.try_send_content(line.as_bytes())
    }

    pub fn try_send_content(&mut self, line: &[u8]) -> std::io::Result<()> {
        self.socket.write_all(&[line, b"\r\n"].concat())
    }

    /// Returns the next line, or `None` at the end of the connection.
    pub fn line(&mut self) -> Option<String> {
        self.line_content().map(|line| line.text())
    }

    /// Returns the next line, or `None` if the connection ends before the line does.
    pub fn line_content(&mut self) -> Option<Content> {
        let line = content::read_line(&mut self.lines).ok()??;
        (!line.is_cut).then_some(line.content)
    }

    /// Sends a statement and returns the answer, or `None` if the connection ended.
    pub fn query(&mut self, text: &str) -> Option<Answer> {
        let id = self.next_id();
        self.query_with_id(&id, text)
    }

    /// Sends a statement whose text is bytes; see [`Caller::query`].
    pub fn query_bytes(&mut self, text: &[u8]) -> Option<Reply> {
        let id = self.next_id();
        self.query_content(id.as_bytes(), text)
    }

    fn next_id(&mut self) -> String {
        self.next_id += 1;
        format!("id{:x}{}", std::process::id(), self.next_id)
    }

    /// Sends a statement under this id; see [`Caller::query`].
    pub fn query_with_id(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY {id} {text}"));
        self.receive()
    }

    /// Sends a statement whose id and text are bytes; see [`Caller::query`].
    pub fn query_content(&mut self, id: &[u8], text: &[u8]) -> Option<Reply> {
        self.try_send_content(&[b"QUERY ", id, b" ", text].concat()).ok()?;
        self.receive_reply()
    }

    /// Receives an answer, or returns `None` if the connection ended.
    pub fn receive(&mut self) -> Option<Answer> {
        let reply = self.receive_reply()?;
        let rows = reply.rows.iter().map(Content::text).collect();
        Some(Answer { rows, result: reply.result.text(), state: reply.state })
    }

    /// Receives an answer, or returns `None` if the connection ended.
    pub fn receive_reply(&mut self) -> Option<Reply> {
        let mut reply = Reply::default();
        loop {
            let line = self.line_content()?;
            if let Some(rest) = line.strip_prefix(b"READY ") {
                reply.state = Content::from(content::split_word(rest).0).text();
                return Some(reply);
            }
            match line.strip_prefix(b"ROW ") {
                Some(row) if reply.result.is_empty() => reply.rows.push(row.into()),
                _ if reply.result.is_empty() => reply.result = line,
                _ => reply.result = content::join(&[&reply.result, b"\r\n", &line]),
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
