//! Fields of the line protocol, which are bytes, and content that contains delimiters or whole messages.

use std::fmt;
use std::io::{self, BufRead};
use std::ops::Deref;

/// The bytes of a field or line.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Content(Vec<u8>);

impl Content {
    /// Returns the content as text. Bytes that aren't UTF-8 are replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.0).into_owned()
    }

    /// Returns the content, or its beginning if it is longer.
    pub fn first(&self, len: usize) -> Self {
        self[..self.len().min(len)].into()
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }
}

impl Deref for Content {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}\"", self.0.escape_ascii())
    }
}

impl From<&[u8]> for Content {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }
}

impl From<Vec<u8>> for Content {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }
}

impl From<&str> for Content {
    fn from(text: &str) -> Self {
        text.as_bytes().into()
    }
}

impl From<String> for Content {
    fn from(text: String) -> Self {
        text.into_bytes().into()
    }
}

/// Joins parts of a line.
pub fn join(parts: &[&[u8]]) -> Content {
    parts.concat().into()
}

/// Splits a line at its first blank.
pub fn split_word(line: &[u8]) -> (&[u8], Option<&[u8]>) {
    match line.iter().position(|byte| *byte == b' ') {
        Some(at) => (&line[..at], Some(&line[at + 1..])),
        None => (line, None),
    }
}

/// A line, and how it ended.
#[derive(Debug)]
pub struct Line {
    pub content: Content,
    /// Whether the connection ended before the line did.
    pub is_cut: bool,
}

/// Reads a line, which ends at CR LF and nowhere else. Returns `None` at the end of the connection.
pub fn read_line(input: &mut impl BufRead) -> io::Result<Option<Line>> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n") {
        if input.read_until(b'\n', &mut bytes)? == 0 {
            let line = Line { content: bytes.into(), is_cut: true };
            return Ok(Some(line).filter(|line| !line.content.is_empty()));
        }
    }
    bytes.truncate(bytes.len() - 2);
    Ok(Some(Line { content: bytes.into(), is_cut: false }))
}

/// Content that a receiver may take for the end of a line or field, for another message, or for no text.
pub const PIECES: [&[u8]; 34] = [
    b"\n",
    b"\r",
    b"\n\r",
    b"\n\n",
    b" ",
    b"  ",
    b"\t",
    b"\0",
    b"\x0b\x0c\x1c",
    b"\x1b[0m",
    b"\x7f",
    "\u{85}".as_bytes(),
    "\u{2028}".as_bytes(),
    "\u{feff}".as_bytes(),
    b"\xff",
    b"\xc3",
    b"\xf0\x9f",
    b"\xed\xa0\x80",
    b"'\"\\{}%0d%0a",
    b"-",
    b"AFTER 1.2 ",
    b"QUERY zz PUT stolen x",
    b"\nQUERY zz PUT stolen x",
    b"\nQUERY zz PUT stolen x\n",
    b"\nCONNECT desk me",
    b"\nBYE",
    b"BYE",
    b"ROW x",
    b"\nROW x\n",
    b" DONE x READY I -",
    b"\nDONE x\nREADY I -",
    b"ERR BUSY no",
    b"\nERR BUSY no\nREADY I -",
    b"\nREADY I 1.0\n",
];

/// Number of bytes of a long drawn content, so that it arrives in several reads.
const LONG: usize = 70_000;

/// Draws content of some [`PIECES`], now and then none or a long one. It has no CR LF.
pub fn draw(random: &mut fastrand::Rng) -> Content {
    let mut content = Vec::new();
    let is_long = random.u8(..64) == 0;
    let count = random.usize(..5);
    while content.len() < if is_long { LONG } else { count } {
        content.extend_from_slice(PIECES[random.usize(..PIECES.len())]);
        if random.bool() {
            content.push(random.u8(b'a'..=b'z'));
        }
    }
    // Moving the line feed to the front may join it with another carriage return.
    while let Some(at) = content.windows(2).position(|pair| pair == b"\r\n") {
        content.swap(at, at + 1);
    }
    content.into()
}

/// Draws content without blanks, for a field that isn't the last one.
pub fn draw_word(random: &mut fastrand::Rng) -> Content {
    let content: Vec<u8> = draw(random).iter().copied().filter(|byte| *byte != b' ').collect();
    // Without a blank between them, the bytes may be a line end.
    let count = content.len().min(40);
    let mut word = content[..count].to_vec();
    while let Some(at) = word.windows(2).position(|pair| pair == b"\r\n") {
        word.swap(at, at + 1);
    }
    word.into()
}
