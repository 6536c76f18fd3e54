//! What kind of request a statement is: whether it reads or writes, and which declaration it names.
//!
//! A statement that can't be parsed counts as a write that is not idempotent.

use std::collections::HashMap;
use std::ops::ControlFlow;
use std::sync::{Mutex, MutexGuard};

use sqlparser::ast::{Expr, ObjectName, Query, SetExpr, Statement, Visit, Visitor};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::floor::Floor;
use super::setting::Verdict;
use crate::id;

/// What a statement does, as far as routing depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Nothing.
    Empty,
    /// It only reads.
    Read,
    /// It writes, or may write.
    Write,
    /// It begins a transaction.
    Begin {
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// It commits the transaction.
    Commit,
    /// It rolls the transaction back.
    Rollback,
    /// The proxy answers it itself.
    Local(Local),
    /// It can't be served by a proxy; the text says why.
    Refused(&'static str),
}

/// A statement that the proxy answers itself, since it changes nothing that a pooled connection holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Local {
    /// A setting that has the value already, or that has no effect on answers.
    Set,
    /// All settings back to their defaults, which they always have.
    Reset,
    /// The session's state forgotten, which is its prepared statements.
    DiscardAll,
    /// The session's prepared statements forgotten.
    DeallocateAll,
}

impl Local {
    /// Returns the command tag.
    pub fn tag(self) -> &'static str {
        match self {
            Self::Set => "SET",
            Self::Reset => "RESET",
            Self::DiscardAll => "DISCARD ALL",
            Self::DeallocateAll => "DEALLOCATE ALL",
        }
    }
}

/// What the trailing comment of a statement names, in the sqlcommenter form.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tags {
    /// The declared request.
    pub request: Option<id::Request>,
    /// The idempotency key.
    pub key: Option<id::Key>,
    /// What the request must see, beyond its session's floor.
    pub floor: Option<Floor>,
}

/// Functions that only read; a call of any other makes a statement a write.
const READING_FUNCTIONS: [&str; 26] = [
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

/// The longest statement whose kind is kept, in bytes.
const MAX_KEPT_BYTES: usize = 2_048;

/// How many kinds are kept.
const MAX_KEPT: usize = 4_096;

/// The kinds of the statements that were seen lately, by their text without the trailing comment.
#[derive(Debug, Default)]
pub struct Kinds {
    kept: Mutex<HashMap<Box<str>, Kind>>,
}

impl Kinds {
    /// Returns what `sql` does.
    pub fn kind(&self, sql: &str) -> Kind {
        let bare = bare(sql);
        if bare.len() > MAX_KEPT_BYTES {
            return kind(bare);
        }
        if let Some(kind) = self.lock().get(bare) {
            return *kind;
        }
        let kind = kind(bare);
        let mut kept = self.lock();
        if kept.len() >= MAX_KEPT {
            kept.clear();
        }
        kept.insert(Box::from(bare), kind);
        kind
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, Kind>> {
        self.kept.lock().expect("nothing panics while it holds the lock")
    }
}

/// Returns what `sql` does. Several statements count as the one that needs most.
pub fn kind(sql: &str) -> Kind {
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return if is_blank(sql) { Kind::Empty } else { unparsed(sql) };
    };
    match statements.as_slice() {
        [] => Kind::Empty,
        [one] => statement_kind(one),
        many => many.iter().map(statement_kind).fold(Kind::Read, both),
    }
}

fn both(a: Kind, b: Kind) -> Kind {
    match (a, b) {
        (Kind::Refused(why), _) | (_, Kind::Refused(why)) => Kind::Refused(why),
        (Kind::Read | Kind::Empty, Kind::Read | Kind::Empty) => Kind::Read,
        (Kind::Read | Kind::Write | Kind::Empty, Kind::Read | Kind::Write | Kind::Empty) => {
            Kind::Write
        }
        _ => Kind::Refused("transaction control goes in a query of its own"),
    }
}

fn is_blank(sql: &str) -> bool {
    sql.trim().trim_end_matches(';').is_empty()
}

/// What needs refusing must be refused even where the parser doesn't know the statement.
fn unparsed(sql: &str) -> Kind {
    let word = sql.split_whitespace().next().unwrap_or("").to_ascii_uppercase();
    match word.as_str() {
        "COPY" => Kind::Refused("COPY is not supported"),
        "LISTEN" | "UNLISTEN" | "NOTIFY" => Kind::Refused("LISTEN and NOTIFY are not supported"),
        "SET" | "RESET" => setting(sql),
        "DEALLOCATE" | "DISCARD" => forgetting(sql),
        "PREPARE" | "EXECUTE" => Kind::Refused("use the protocol's prepared statements"),
        "DECLARE" | "FETCH" | "MOVE" => Kind::Refused("SQL cursors are not supported"),
        _ => Kind::Write,
    }
}

/// Judges `SET` and `RESET` by [`super::setting`].
fn setting(sql: &str) -> Kind {
    match super::setting::judge(sql) {
        Verdict::Harmless if sql.trim_start().to_ascii_uppercase().starts_with("RESET") => {
            Kind::Local(Local::Reset)
        }
        Verdict::Harmless => Kind::Local(Local::Set),
        Verdict::Transaction => Kind::Write,
        Verdict::Refused => Kind::Refused("session settings are not supported; use SET LOCAL"),
    }
}

fn forgetting(sql: &str) -> Kind {
    let words: Vec<String> = bare(sql).split_whitespace().map(str::to_ascii_uppercase).collect();
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
        Statement::Query(query) if locks_advisory(query) => Kind::Refused(
            "advisory locks of a session are not supported; use pg_advisory_xact_lock",
        ),
        Statement::Query(query) if reads_only(query) => Kind::Read,
        Statement::StartTransaction { modes, .. } => Kind::Begin { read_only: is_read_only(modes) },
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
            forgetting(&statement.to_string())
        }
        Statement::Declare { .. } | Statement::Fetch { .. } => {
            Kind::Refused("SQL cursors are not supported")
        }
        Statement::Set(set) => setting(&set.to_string()),
        Statement::CreateTable(table) if table.temporary => {
            Kind::Refused("temporary tables are not supported")
        }
        Statement::ShowVariable { .. } => Kind::Read,
        _ => Kind::Write,
    }
}

fn is_read_only(modes: &[sqlparser::ast::TransactionMode]) -> bool {
    use sqlparser::ast::{TransactionAccessMode, TransactionMode};

    modes.contains(&TransactionMode::AccessMode(TransactionAccessMode::ReadOnly))
}

fn locks_advisory(query: &Query) -> bool {
    query.visit(&mut AdvisoryLocks).is_break()
}

/// Stops at the first call that takes or frees a lock of the session.
struct AdvisoryLocks;

impl Visitor for AdvisoryLocks {
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

fn reads_only(query: &Query) -> bool {
    query.visit(&mut Writes).is_continue()
}

/// Stops at the first part of a query that writes or may write.
struct Writes;

impl Visitor for Writes {
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
            Expr::Function(function) if !is_reading(&function.name) => ControlFlow::Break(()),
            _ => ControlFlow::Continue(()),
        }
    }
}

fn is_reading(name: &ObjectName) -> bool {
    let name = name.to_string().to_ascii_lowercase();
    let name = name.strip_prefix("pg_catalog.").unwrap_or(&name);
    READING_FUNCTIONS.contains(&name)
}

/// Returns where the trailing comment begins, if there is one.
fn comment(sql: &str) -> Option<usize> {
    let text = sql.trim_end().trim_end_matches(';').trim_end();
    text.strip_suffix("*/")?.rfind("/*")
}

/// Returns the statement without its trailing comment and the blanks around it.
pub fn bare(sql: &str) -> &str {
    let bare = comment(sql).map_or(sql, |start| &sql[..start]);
    bare.trim().trim_end_matches(';').trim_end()
}

/// Returns what the trailing comment `/*request='...',key='...'*/` names. Tags that can't be read are left out.
pub fn tags(sql: &str) -> Tags {
    let mut tags = Tags::default();
    let text = sql.trim_end().trim_end_matches(';').trim_end();
    let Some(start) = comment(sql) else {
        return tags;
    };
    for pair in text[start + 2..text.len() - 2].split("',") {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        let value = value.trim().trim_matches('\'');
        match name.trim() {
            "request" => tags.request = value.parse().ok(),
            "key" => tags.key = value.parse().ok(),
            "floor" => tags.floor = decode(value).parse().ok(),
            _ => {}
        }
    }
    tags
}

/// Decodes what sqlcommenter encodes of a floor.
fn decode(value: &str) -> String {
    value.replace("%40", "@").replace("%2C", ",").replace("%2c", ",")
}
