//! One table of a file: reads its keys by type and range, and refuses the keys that nobody asked for.

use std::cell::RefCell;
use std::fmt::Display;
use std::ops::{Range, RangeInclusive};
use std::str::FromStr;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::super::Span;
use super::Document;

/// How alike an unknown key and a known one must be for the known one to be proposed.
const ALIKE: f64 = 0.7;

/// One table of a file.
pub(super) struct Table<'a> {
    document: &'a Document<'a>,
    /// The keys that lead to the table, each with a dot after it.
    prefix: String,
    /// Where the table begins.
    at: usize,
    table: &'a DeTable<'a>,
    known: RefCell<Vec<&'static str>>,
}

impl<'a> Table<'a> {
    pub(super) fn root(document: &'a Document<'a>, table: &'a Spanned<DeTable<'a>>) -> Self {
        let known = RefCell::default();
        Self { document, prefix: String::new(), at: 0, table: table.get_ref(), known }
    }

    fn child(&self, name: &str, at: usize, table: &'a DeTable<'a>) -> Self {
        let prefix = format!("{}{name}.", self.prefix);
        Self { document: self.document, prefix, at, table, known: RefCell::default() }
    }

    fn find(&self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.borrow_mut().push(key);
        self.table.get(key)
    }

    /// Notes a fault of a key; it is placed at the key's value, or at the table when the key is not there.
    pub(super) fn fault(&self, key: &str, problem: impl Into<String>) {
        let span = self.table.get(key).map(Spanned::span);
        let at = span.as_ref().map_or(self.at, |span| span.start);
        self.document.fault(at, format!("{}{key}", self.prefix), span, problem.into());
    }

    fn missing(&self, key: &'static str, valid: &str) {
        self.fault(key, format!("is missing; valid: {valid}"));
    }

    /// Reads a text that `T` can be parsed from.
    pub(super) fn text<T>(&self, key: &'static str, valid: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.find(key)?;
        let Some(text) = value.get_ref().as_str() else {
            self.fault(key, format!("is {}, not a text; valid: {valid}", kind(value)));
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(key, format!("{error}; valid: {valid}"));
                None
            }
        }
    }

    /// Reads a text that must be there.
    pub(super) fn required<T>(&self, key: &'static str, valid: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if self.table.get(key).is_none() {
            self.missing(key, valid);
        }
        self.text(key, valid)
    }

    /// Reads a list of texts that `T` can be parsed from.
    pub(super) fn texts<T>(&self, key: &'static str, valid: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(value) = self.find(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.fault(key, format!("is not a list; valid: a list of {valid}"));
            return Vec::new();
        };
        let mut all = Vec::new();
        for item in items {
            match item.get_ref().as_str().map(str::parse) {
                Some(Ok(value)) => all.push(value),
                Some(Err(error)) => self.fault(key, format!("{error}; valid: a list of {valid}")),
                None => self.fault(key, format!("is not a list of texts; valid: {valid}")),
            }
        }
        all
    }

    /// Reads one of a few words.
    pub(super) fn word<T: Copy>(&self, key: &'static str, words: &[(&str, T)]) -> Option<T> {
        let value = self.find(key)?;
        let text = value.get_ref().as_str().unwrap_or_default();
        let found = words.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let names: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            self.fault(key, format!("is not known; valid: {}", names.join(", ")));
        }
        found.map(|(_, value)| *value)
    }

    /// Reads a whole number that must be there.
    pub(super) fn number(&self, key: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        let valid = format!("{} to {}", range.start(), range.end());
        let Some(value) = self.find(key) else {
            self.missing(key, &valid);
            return None;
        };
        let number = value.get_ref().as_integer();
        let number = number.and_then(|n| u32::from_str_radix(n.as_str(), n.radix()).ok());
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            self.fault(key, format!("is out of range; valid: {valid}"));
        }
        number
    }

    /// Reads a yes or no, which is no when the key is not there.
    pub(super) fn flag(&self, key: &'static str) -> bool {
        let Some(value) = self.find(key) else {
            return false;
        };
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            self.fault(key, "valid: true, false");
        }
        flag.unwrap_or(false)
    }

    /// Reads a length of time.
    pub(super) fn span(&self, key: &'static str, range: Range<Duration>) -> Option<Span> {
        let valid = format!("{} to {}", Span(range.start), Span(range.end));
        let span: Span = self.text(key, &valid)?;
        if span.0 < range.start || span.0 > range.end {
            self.fault(key, format!("is out of range; valid: {valid}"));
            return None;
        }
        Some(span)
    }

    /// Reads a length of time that must be there.
    pub(super) fn required_span(&self, key: &'static str, range: Range<Duration>) -> Option<Span> {
        if self.table.get(key).is_none() {
            let valid = format!("{} to {}", Span(range.start), Span(range.end));
            self.missing(key, &valid);
        }
        self.span(key, range)
    }

    /// Reads a table; `read` gets it, and its unknown keys are refused afterwards.
    pub(super) fn table<T>(
        &self,
        key: &'static str,
        read: impl FnOnce(&Table<'_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.find(key)?;
        let Some(table) = value.get_ref().as_table() else {
            self.fault(key, format!("is {}, not a table", kind(value)));
            return None;
        };
        let child = self.child(key, value.span().start, table);
        let made = read(&child);
        child.finish();
        made
    }

    /// Reads a table whose keys are names.
    pub(super) fn named<K, T>(
        &self,
        key: &'static str,
        read: impl Fn(&Table<'_>) -> Option<T>,
    ) -> Vec<(K, T)>
    where
        K: FromStr,
        K::Err: Display,
    {
        let mut all = Vec::new();
        let value = self.find(key);
        let Some(table) = value.and_then(|value| value.get_ref().as_table()) else {
            if value.is_some() {
                self.fault(key, "is not a table of tables");
            }
            return all;
        };
        for (name, value) in table {
            let path = format!("{key}.{}", name.get_ref());
            let at = name.span().start;
            let parsed: Result<K, _> = name.get_ref().parse();
            let Some(inner) = value.get_ref().as_table() else {
                let path = format!("{}{path}", self.prefix);
                self.document.fault(at, path, Some(value.span()), "is not a table".to_owned());
                continue;
            };
            let child = self.child(&path, at, inner);
            let made = read(&child);
            child.finish();
            match (parsed, made) {
                (Ok(name), Some(made)) => all.push((name, made)),
                (Err(error), _) => {
                    self.document.fault(
                        at,
                        format!("{}{path}", self.prefix),
                        None,
                        error.to_string(),
                    );
                }
                _ => {}
            }
        }
        all
    }

    /// Reads a list of tables.
    pub(super) fn list<T>(
        &self,
        key: &'static str,
        read: impl Fn(&Table<'_>) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.find(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.fault(key, "is not a list of tables");
            return Vec::new();
        };
        let mut all = Vec::new();
        for (at, item) in items.iter().enumerate() {
            let Some(table) = item.get_ref().as_table() else {
                self.fault(key, "is not a list of tables");
                continue;
            };
            let child = self.child(&format!("{key}[{at}]"), item.span().start, table);
            all.extend(read(&child));
            child.finish();
        }
        all
    }

    /// Refuses the keys that nobody asked for.
    pub(super) fn finish(&self) {
        let known = self.known.borrow();
        for (key, _) in self.table {
            let name = key.get_ref().as_ref();
            if known.contains(&name) {
                continue;
            }
            let alike = |other: &&&str| strsim::jaro_winkler(name, other);
            let nearest = known.iter().max_by(|a, b| alike(a).total_cmp(&alike(b)));
            let problem = match nearest.filter(|nearest| alike(nearest) >= ALIKE) {
                Some(nearest) => format!("is not a known key; did you mean {nearest}?"),
                None => format!("is not a known key; known here: {}", known.join(", ")),
            };
            let path = format!("{}{name}", self.prefix);
            self.document.fault(key.span().start, path, None, problem);
        }
    }
}

fn kind(value: &Spanned<DeValue<'_>>) -> &'static str {
    value.get_ref().type_str()
}
