//! Reads settings and declarations, collecting all faults with their positions.

mod fleet;
mod settings;
mod table;

use std::cell::RefCell;
use std::ops::Range;

use toml::de::DeTable;

use super::{Error, Fault, Faults, Fleet, Settings};
use table::Table;

/// Length to which a fault shortens the given value, in characters.
const MAX_GIVEN_CHARS: usize = 80;

/// A file being read, with the faults found so far.
pub(super) struct Document<'a> {
    path: &'a str,
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Document<'a> {
    fn new(path: &'a str, text: &'a str) -> Self {
        Self { path, text, faults: RefCell::default() }
    }

    /// Records a fault at an offset of the text; `given` is the range of the value.
    fn fault(&self, offset: usize, key: String, given: Option<Range<usize>>, problem: String) {
        let line = 1 + self.text[..offset.min(self.text.len())].matches('\n').count();
        let given = given.and_then(|span| self.text.get(span)).map(shorten);
        let fault = Fault { path: self.path.to_owned(), line, key, given, problem };
        self.faults.borrow_mut().push(fault);
    }

    /// Parses the text, passes the root table to `read`, and returns its result if there are no faults.
    fn read<T>(self, read: impl FnOnce(&Table<'_>) -> Option<T>) -> Result<T, Error> {
        let (root, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            self.fault(offset, String::new(), None, error.message().to_owned());
        }
        let value = if self.faults.borrow().is_empty() {
            let table = Table::root(&self, &root);
            let value = read(&table);
            table.reject_unknown_keys();
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
pub(super) fn settings(path: &str, text: &str) -> Result<Settings, Error> {
    Document::new(path, text).read(settings::read)
}

fn shorten(text: &str) -> String {
    let line = text.lines().next().unwrap_or("");
    let mut short: String = line.chars().take(MAX_GIVEN_CHARS).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short
}
