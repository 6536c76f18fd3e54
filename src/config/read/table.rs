//! Reads the keys of a TOML table by type and range, and reports unknown keys.

use std::cell::RefCell;
use std::fmt::Display;
use std::ops::{Range, RangeInclusive};
use std::str::FromStr;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::super::Span;
use super::Document;

/// Jaro-Winkler similarity from which a known key is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// A table of a file being read.
pub(super) struct Table<'a> {
    document: &'a Document<'a>,
    /// The keys of the enclosing tables and its own, each followed by a dot.
    prefix: String,
    /// Offset of the table in the file.
    offset: usize,
    table: &'a DeTable<'a>,
    /// The keys read so far, which are thereby known.
    known: RefCell<Vec<&'static str>>,
}

impl<'a> Table<'a> {
    pub(super) fn root(document: &'a Document<'a>, table: &'a Spanned<DeTable<'a>>) -> Self {
        let known = RefCell::default();
        Self { document, prefix: String::new(), offset: 0, table: table.get_ref(), known }
    }

    fn child(&self, name: &str, offset: usize, table: &'a DeTable<'a>) -> Self {
        let prefix = format!("{}{name}.", self.prefix);
        Self { document: self.document, prefix, offset, table, known: RefCell::default() }
    }

    fn find(&self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.borrow_mut().push(key);
        self.table.get(key)
    }

    /// Records a fault of a key, at the key's value or, if the key is missing, at the table.
    pub(super) fn fault(&self, key: &str, problem: impl Into<String>) {
        let span = self.table.get(key).map(Spanned::span);
        let offset = span.as_ref().map_or(self.offset, |span| span.start);
        self.document.fault(offset, format!("{}{key}", self.prefix), span, problem.into());
    }

    /// Records a fault of a key whose value may be secret.
    pub(super) fn fault_without_value(&self, key: &str, problem: impl Into<String>) {
        let offset = self.table.get(key).map_or(self.offset, |value| value.span().start);
        self.document.fault(offset, format!("{}{key}", self.prefix), None, problem.into());
    }

    /// Returns the names of the enclosing tables and its own, separated by dots.
    pub(super) fn path(&self) -> &str {
        self.prefix.trim_end_matches('.')
    }

    /// Returns whether the table has a key.
    pub(super) fn has(&self, key: &str) -> bool {
        self.table.get(key).is_some()
    }

    fn missing(&self, key: &'static str, valid: &str) {
        self.fault(key, format!("is missing; valid: {valid}"));
    }

    /// Reads an optional string and parses it as `T`.
    pub(super) fn optional<T>(&self, key: &'static str, valid: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.find(key)?;
        let Some(text) = value.get_ref().as_str() else {
            self.fault(key, format!("is {}, not a text; valid: {valid}", type_name(value)));
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

    /// Reads a required string and parses it as `T`.
    pub(super) fn required<T>(&self, key: &'static str, valid: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if self.table.get(key).is_none() {
            self.missing(key, valid);
        }
        self.optional(key, valid)
    }

    /// Reads an optional list of strings and parses each as `T`. Faults don't show the values, which may be secret.
    pub(super) fn list<T>(&self, key: &'static str, valid: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(value) = self.find(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.fault_without_value(key, format!("is not a list; valid: a list of {valid}"));
            return Vec::new();
        };
        let fault = |item: &Spanned<DeValue<'_>>, problem| {
            self.document.fault(item.span().start, format!("{}{key}", self.prefix), None, problem);
        };
        let mut all = Vec::new();
        for item in items {
            match item.get_ref().as_str().map(str::parse) {
                Some(Ok(value)) => all.push(value),
                Some(Err(error)) => {
                    fault(item, format!("{error}; valid: a list of {valid}"));
                }
                None => fault(item, format!("is not a list of texts; valid: a list of {valid}")),
            }
        }
        all
    }

    /// Reads an optional keyword and returns its value in `keywords`.
    pub(super) fn keyword<T: Copy>(&self, key: &'static str, keywords: &[(&str, T)]) -> Option<T> {
        let value = self.find(key)?;
        let text = value.get_ref().as_str().unwrap_or_default();
        let found = keywords.iter().find(|(keyword, _)| *keyword == text);
        if found.is_none() {
            let names: Vec<&str> = keywords.iter().map(|(keyword, _)| *keyword).collect();
            self.fault(key, format!("is not known; valid: {}", names.join(", ")));
        }
        found.map(|(_, value)| *value)
    }

    /// Reads a required integer.
    pub(super) fn required_number(
        &self,
        key: &'static str,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
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

    /// Reads an optional integer.
    pub(super) fn optional_number(
        &self,
        key: &'static str,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        if self.table.get(key).is_none() {
            self.known.borrow_mut().push(key);
            return None;
        }
        self.required_number(key, range)
    }

    /// Reads an optional boolean, which defaults to `false`.
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

    /// Reads an optional duration.
    pub(super) fn span(&self, key: &'static str, range: Range<Duration>) -> Option<Span> {
        let valid = format!("{} to {}", Span(range.start), Span(range.end));
        let span: Span = self.optional(key, &valid)?;
        if span.0 < range.start || span.0 > range.end {
            self.fault(key, format!("is out of range; valid: {valid}"));
            return None;
        }
        Some(span)
    }

    /// Reads a required duration.
    pub(super) fn required_span(&self, key: &'static str, range: Range<Duration>) -> Option<Span> {
        if self.table.get(key).is_none() {
            let valid = format!("{} to {}", Span(range.start), Span(range.end));
            self.missing(key, &valid);
        }
        self.span(key, range)
    }

    /// Reads an optional table with `read`, then reports its unknown keys.
    pub(super) fn table<T>(
        &self,
        key: &'static str,
        read: impl FnOnce(&Table<'_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.find(key)?;
        let Some(table) = value.get_ref().as_table() else {
            self.fault(key, format!("is {}, not a table", type_name(value)));
            return None;
        };
        let child = self.child(key, value.span().start, table);
        let result = read(&child);
        child.reject_unknown_keys();
        result
    }

    /// Reads an optional table of tables whose keys are names.
    pub(super) fn named_tables<K, T>(
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
            let offset = name.span().start;
            let parsed: Result<K, _> = name.get_ref().parse();
            let Some(inner) = value.get_ref().as_table() else {
                let path = format!("{}{path}", self.prefix);
                self.document.fault(offset, path, Some(value.span()), "is not a table".to_owned());
                continue;
            };
            let child = self.child(&path, offset, inner);
            let result = read(&child);
            child.reject_unknown_keys();
            match (parsed, result) {
                (Ok(name), Some(result)) => all.push((name, result)),
                (Err(error), _) => {
                    self.document.fault(
                        offset,
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

    /// Reads an optional list of tables.
    pub(super) fn tables<T>(
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
        for (index, item) in items.iter().enumerate() {
            let Some(table) = item.get_ref().as_table() else {
                self.fault(key, "is not a list of tables");
                continue;
            };
            let child = self.child(&format!("{key}[{index}]"), item.span().start, table);
            all.extend(read(&child));
            child.reject_unknown_keys();
        }
        all
    }

    /// Reports the keys that were not read, which are unknown.
    pub(super) fn reject_unknown_keys(&self) {
        let known = self.known.borrow();
        for (key, _) in self.table {
            let name = key.get_ref().as_ref();
            if known.contains(&name) {
                continue;
            }
            let similarity = |other: &&&str| strsim::jaro_winkler(name, other);
            let nearest = known.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
            let problem = match nearest.filter(|nearest| similarity(nearest) >= MIN_SIMILARITY) {
                Some(nearest) => format!("is not a known key; did you mean {nearest}?"),
                None => format!("is not a known key; known here: {}", known.join(", ")),
            };
            let path = format!("{}{name}", self.prefix);
            self.document.fault(key.span().start, path, None, problem);
        }
    }
}

fn type_name(value: &Spanned<DeValue<'_>>) -> &'static str {
    value.get_ref().type_str()
}
