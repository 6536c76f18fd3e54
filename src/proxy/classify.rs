//! Classifies SQL statements: whether a statement reads or writes, and which declared request it names.
//!
//! A statement that can't be parsed is treated as a write that is not idempotent.

use std::collections::HashMap;
use std::ops::ControlFlow;
use std::sync::{Mutex, MutexGuard};

use sqlparser::ast::{Expr, ObjectName, Query, SetExpr, Statement, Visit, Visitor};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::floor::Floor;
use super::lexer::{self, Part, Parts, Unterminated};
use super::setting::Handling;
use crate::id;

/// The kind of a statement, as far as routing depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// No statement.
    Empty,
    /// Only reads.
    Read,
    /// Writes, or may write.
    Write,
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Answered by the proxy itself.
    Local(Local),
    /// Not supported by the proxy; the text is the reason given to the caller.
    Refused(&'static str),
}

/// A statement that the proxy answers itself, since it changes no state of a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Local {
    /// Sets a setting that has the value already or doesn't affect answers.
    Set,
    /// Resets settings, which always have their defaults.
    Reset,
    /// Discards the state of the session, which consists of its prepared statements.
    DiscardAll,
    /// Removes the prepared statements of the session.
    DeallocateAll,
}

impl Local {
    /// Returns the command tag of the answer.
    pub fn tag(self) -> &'static str {
        match self {
            Self::Set => "SET",
            Self::Reset => "RESET",
            Self::DiscardAll => "DISCARD ALL",
            Self::DeallocateAll => "DEALLOCATE ALL",
        }
    }
}

/// The tags in the trailing comment of a statement, in sqlcommenter format.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tags {
    /// The declared request that the statement belongs to.
    pub request: Option<id::Request>,
    /// The idempotency key.
    pub key: Option<id::Key>,
    /// The positions that the request must see, in addition to the floor of its session.
    pub floor: Option<Floor>,
}

/// Functions that only read. A call of any other function makes a statement a write.
const READ_ONLY_FUNCTIONS: [&str; 26] = [
    "abs",
    "avg",
    "ceil",
    "coalesce",
    "concat",
    "count",
    "current_date",
    "current_timestamp",
    "date_trunc",
    "extract",
    "floor",
    "greatest",
    "least",
    "length",
    "lower",
    "max",
    "min",
    "now",
    "nullif",
    "pg_sleep",
    "replace",
    "round",
    "substr",
    "sum",
    "trim",
    "upper",
];

/// The longest statement whose kind is cached.
const MAX_CACHED_STATEMENT_BYTES: usize = 2_048;

/// The maximum number of cached kinds; the cache is cleared when it is full.
const MAX_CACHED_KINDS: usize = 4_096;

/// Caches the kinds of recent statements by their text without the trailing comment.
#[derive(Debug, Default)]
pub struct KindCache {
    cached: Mutex<HashMap<Box<str>, Kind>>,
}

impl KindCache {
    /// Returns the kind of `sql`, from the cache if possible.
    pub fn kind(&self, sql: &str) -> Kind {
        let text = strip_comment(sql);
        if text.len() > MAX_CACHED_STATEMENT_BYTES {
            return kind(text);
        }
        if let Some(kind) = self.lock().get(text) {
            return *kind;
        }
        let kind = kind(text);
        let mut cached = self.lock();
        if cached.len() >= MAX_CACHED_KINDS {
            cached.clear();
        }
        cached.insert(Box::from(text), kind);
        kind
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, Kind>> {
        self.cached.lock().expect("no thread panics while holding this lock")
    }
}

/// Returns the kind of `sql`. Several statements count as the most demanding one among them.
pub fn kind(sql: &str) -> Kind {
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return classify_unparsed(sql);
    };
    match statements.as_slice() {
        [] => Kind::Empty,
        [statement] => statement_kind(statement),
        statements => statements.iter().map(statement_kind).fold(Kind::Read, combine),
    }
}

fn combine(a: Kind, b: Kind) -> Kind {
    match (a, b) {
        (Kind::Refused(reason), _) | (_, Kind::Refused(reason)) => Kind::Refused(reason),
        (Kind::Read | Kind::Empty, Kind::Read | Kind::Empty) => Kind::Read,
        (Kind::Read | Kind::Write | Kind::Empty, Kind::Read | Kind::Write | Kind::Empty) => {
            Kind::Write
        }
        _ => Kind::Refused("transaction control goes in a query of its own"),
    }
}

/// Classifies a query of which the parser doesn't know all statements: each by itself.
fn classify_unparsed(sql: &str) -> Kind {
    let statements = lexer::statements(sql).unwrap_or_else(|Unterminated| vec![sql]);
    match statements.as_slice() {
        [] => Kind::Empty,
        [statement] => classify_by_word(statement),
        statements => statements.iter().map(|statement| kind(statement)).fold(Kind::Read, combine),
    }
}

/// Classifies a statement that the parser doesn't know by its first word, since unsupported statements must be refused
/// in any case.
fn classify_by_word(sql: &str) -> Kind {
    match lexer::first_word(sql).to_ascii_uppercase().as_str() {
        "COPY" => Kind::Refused("COPY is not supported"),
        "LISTEN" | "UNLISTEN" | "NOTIFY" => Kind::Refused("LISTEN and NOTIFY are not supported"),
        "SET" | "RESET" => classify_setting(sql),
        "DEALLOCATE" | "DISCARD" => classify_discard(sql),
        "PREPARE" | "EXECUTE" => Kind::Refused("use the protocol's prepared statements"),
        "DECLARE" | "FETCH" | "MOVE" => Kind::Refused("SQL cursors are not supported"),
        "BEGIN" | "START" => Kind::Begin { read_only: false },
        "COMMIT" | "END" => Kind::Commit,
        "ABORT" => Kind::Rollback,
        _ => Kind::Write,
    }
}

/// Classifies `SET` and `RESET` by [`super::setting`].
fn classify_setting(sql: &str) -> Kind {
    match super::setting::handling(sql) {
        Handling::Local if sql.trim_start().to_ascii_uppercase().starts_with("RESET") => {
            Kind::Local(Local::Reset)
        }
        Handling::Local => Kind::Local(Local::Set),
        Handling::Forward => Kind::Write,
        Handling::Refuse => Kind::Refused("session settings are not supported; use SET LOCAL"),
    }
}

fn classify_discard(sql: &str) -> Kind {
    let words: Vec<String> =
        strip_comment(sql).split_whitespace().map(str::to_ascii_uppercase).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["DISCARD", "ALL"] => Kind::Local(Local::DiscardAll),
        ["DEALLOCATE", "ALL"] | ["DEALLOCATE", "PREPARE", "ALL"] => {
            Kind::Local(Local::DeallocateAll)
        }
        ["DISCARD", ..] => Kind::Refused("only DISCARD ALL is supported"),
        _ => Kind::Refused("use the protocol's prepared statements"),
    }
}

fn statement_kind(statement: &Statement) -> Kind {
    match statement {
        Statement::Query(query) if uses_session_lock(query) => Kind::Refused(
            "advisory locks of a session are not supported; use pg_advisory_xact_lock",
        ),
        Statement::Query(query) if is_read_only_query(query) => Kind::Read,
        Statement::StartTransaction { modes, .. } => {
            Kind::Begin { read_only: has_read_only_mode(modes) }
        }
        Statement::Commit { chain: true, .. } | Statement::Rollback { chain: true, .. } => {
            Kind::Refused("AND CHAIN is not supported")
        }
        Statement::Commit { .. } => Kind::Commit,
        Statement::Rollback { savepoint: None, .. } => Kind::Rollback,
        Statement::Copy { .. } => Kind::Refused("COPY is not supported"),
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } | Statement::NOTIFY { .. } => {
            Kind::Refused("LISTEN and NOTIFY are not supported")
        }
        Statement::Prepare { .. } | Statement::Execute { .. } => {
            Kind::Refused("use the protocol's prepared statements")
        }
        Statement::Deallocate { .. } | Statement::Discard { .. } => {
            classify_discard(&statement.to_string())
        }
        Statement::Declare { .. } | Statement::Fetch { .. } => {
            Kind::Refused("SQL cursors are not supported")
        }
        Statement::Set(set) => classify_setting(&set.to_string()),
        Statement::CreateTable(table) if table.temporary => {
            Kind::Refused("temporary tables are not supported")
        }
        Statement::ShowVariable { .. } => Kind::Read,
        _ => Kind::Write,
    }
}

fn has_read_only_mode(modes: &[sqlparser::ast::TransactionMode]) -> bool {
    use sqlparser::ast::{TransactionAccessMode, TransactionMode};

    modes.contains(&TransactionMode::AccessMode(TransactionAccessMode::ReadOnly))
}

fn uses_session_lock(query: &Query) -> bool {
    query.visit(&mut SessionLockVisitor).is_break()
}

/// Stops at the first call that takes or releases a session-level advisory lock.
struct SessionLockVisitor;

impl Visitor for SessionLockVisitor {
    type Break = ();

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) if is_session_lock(&function.name) => ControlFlow::Break(()),
            _ => ControlFlow::Continue(()),
        }
    }
}

fn is_session_lock(name: &ObjectName) -> bool {
    let name = name.to_string().to_ascii_lowercase();
    name.contains("advisory") && !name.contains("_xact_")
}

fn is_read_only_query(query: &Query) -> bool {
    query.visit(&mut WriteVisitor).is_continue()
}

/// Stops at the first part of a query that writes or may write.
struct WriteVisitor;

impl Visitor for WriteVisitor {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let body = matches!(
            *query.body,
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_)
        );
        let into = matches!(&*query.body, SetExpr::Select(select) if select.into.is_some());
        if body || into || !query.locks.is_empty() {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) if !is_read_only_function(&function.name) => {
                ControlFlow::Break(())
            }
            _ => ControlFlow::Continue(()),
        }
    }
}

fn is_read_only_function(name: &ObjectName) -> bool {
    let name = name.to_string().to_ascii_lowercase();
    let name = name.strip_prefix("pg_catalog.").unwrap_or(&name);
    READ_ONLY_FUNCTIONS.contains(&name)
}

/// Returns the offset of the trailing comment, if there is one.
fn comment_start(sql: &str) -> Option<usize> {
    let text = trim_end(sql);
    if !text.ends_with("*/") {
        return None;
    }
    match Parts::of(text).last() {
        Some(Ok(Part::BlockComment(comment))) => Some(comment.start),
        _ => None,
    }
}

/// Returns the statement without its trailing comment, semicolon and surrounding white space.
pub fn strip_comment(sql: &str) -> &str {
    let text = comment_start(sql).map_or(sql, |start| &sql[..start]);
    trim_end(text).trim_start_matches(lexer::is_space)
}

fn trim_end(sql: &str) -> &str {
    let text = sql.trim_end_matches(lexer::is_space).trim_end_matches(';');
    text.trim_end_matches(lexer::is_space)
}

/// Parses the tags in the trailing comment, such as `/*request='...',key='...'*/`. Values are encoded as in URLs, with a
/// backslash in front of quotes. A comment of another form has no tags.
pub fn tags(sql: &str) -> Tags {
    let Some(start) = comment_start(sql) else {
        return Tags::default();
    };
    let text = trim_end(sql);
    parse_tags(&text[start + 2..text.len() - 2]).unwrap_or_default()
}

fn parse_tags(mut text: &str) -> Option<Tags> {
    let mut values: HashMap<&str, String> = HashMap::new();
    loop {
        let (name, rest) = text.split_once('=')?;
        let (value, rest) = quoted_value(rest.trim_start().strip_prefix('\'')?)?;
        if values.insert(name.trim(), value).is_some() {
            return None;
        }
        match rest.trim_start().strip_prefix(',') {
            Some(rest) => text = rest,
            None if rest.trim().is_empty() => break,
            None => return None,
        }
    }
    Some(Tags {
        request: values.get("request").and_then(|value| value.parse().ok()),
        key: values.get("key").and_then(|value| value.parse().ok()),
        floor: values.get("floor").and_then(|value| value.parse().ok()),
    })
}

/// Decodes a value up to its closing quote, and returns it with what follows.
fn quoted_value(text: &str) -> Option<(String, &str)> {
    let mut value = Vec::new();
    let mut bytes = text.bytes().enumerate();
    loop {
        let (at, byte) = bytes.next()?;
        match byte {
            b'\'' => return Some((String::from_utf8(value).ok()?, &text[at + 1..])),
            b'\\' => value.push(bytes.next()?.1),
            b'%' => match text.get(at + 1..at + 3).map(|digits| u8::from_str_radix(digits, 16)) {
                Some(Ok(decoded)) => {
                    value.push(decoded);
                    bytes.nth(1);
                }
                _ => value.push(byte),
            },
            byte => value.push(byte),
        }
    }
}
