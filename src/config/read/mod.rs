//! Reads files of settings, collecting every fault with its place.

mod fleet;
mod node;
mod table;

use std::cell::RefCell;
use std::ops::Range;

use toml::de::DeTable;

use super::{Error, Fault, Faults, Fleet, Node};
use table::Table;

/// The longest value that a fault repeats, in characters.
const MAX_GIVEN_CHARS: usize = 80;

/// A file that is being read.
pub(super) struct Document<'a> {
    path: &'a str,
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Document<'a> {
    fn new(path: &'a str, text: &'a str) -> Self {
        Self { path, text, faults: RefCell::default() }
    }

    /// Notes a fault at a place of the text; `given` is the place of the value.
    fn fault(&self, at: usize, key: String, given: Option<Range<usize>>, problem: String) {
        let line = 1 + self.text[..at.min(self.text.len())].matches('\n').count();
        let given = given.and_then(|span| self.text.get(span)).map(shorten);
        let fault = Fault { path: self.path.to_owned(), line, key, given, problem };
        self.faults.borrow_mut().push(fault);
    }

    /// Parses the text, has `read` read it, and returns what it made unless there was a fault.
    fn read<T>(self, read: impl FnOnce(&Table<'_>) -> Option<T>) -> Result<T, Error> {
        let (root, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let at = error.span().map_or(0, |span| span.start);
            self.fault(at, String::new(), None, error.message().to_owned());
        }
        let value = if self.faults.borrow().is_empty() {
            let table = Table::root(&self, &root);
            let value = read(&table);
            table.finish();
            value
        } else {
            None
        };
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|fault| fault.line);
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(Faults(faults).into()),
        }
    }
}

/// Reads declarations.
pub(super) fn fleet(path: &str, text: &str) -> Result<Fleet, Error> {
    Document::new(path, text).read(fleet::read)
}

/// Reads the settings of a process.
pub(super) fn node(path: &str, text: &str) -> Result<Node, Error> {
    Document::new(path, text).read(node::read)
}

fn shorten(text: &str) -> String {
    let line = text.lines().next().unwrap_or("");
    let mut short: String = line.chars().take(MAX_GIVEN_CHARS).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short
}
