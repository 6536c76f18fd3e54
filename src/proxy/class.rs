//! What kind of request a statement is: whether it reads or writes, and which declaration it names.
//!
//! A statement that can't be parsed counts as a write that is not idempotent.

use std::ops::ControlFlow;

use sqlparser::ast::{Expr, ObjectName, Query, SetExpr, Statement, Visit, Visitor};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

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
    /// It can't be served by a proxy; the text says why.
    Refused(&'static str),
}

/// What the trailing comment of a statement names, in the sqlcommenter form.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tags {
    /// The declared request.
    pub request: Option<id::Request>,
    /// The idempotency key.
    pub key: Option<id::Key>,
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
        "SET" | "RESET" => Kind::Refused("session settings are not supported; use SET LOCAL"),
        "PREPARE" | "EXECUTE" | "DEALLOCATE" => {
            Kind::Refused("use the protocol's prepared statements")
        }
        "DECLARE" | "FETCH" | "MOVE" => Kind::Refused("SQL cursors are not supported"),
        _ => Kind::Write,
    }
}

fn statement_kind(statement: &Statement) -> Kind {
    match statement {
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
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            Kind::Refused("use the protocol's prepared statements")
        }
        Statement::Declare { .. } | Statement::Fetch { .. } => {
            Kind::Refused("SQL cursors are not supported")
        }
        Statement::Set(set) if !set.to_string().to_ascii_uppercase().starts_with("SET LOCAL") => {
            Kind::Refused("session settings are not supported; use SET LOCAL")
        }
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

/// Returns what the trailing comment `/*request='...',key='...'*/` names. Tags that can't be read are left out.
pub fn tags(sql: &str) -> Tags {
    let mut tags = Tags::default();
    let text = sql.trim_end().trim_end_matches(';').trim_end();
    let Some(text) = text.strip_suffix("*/") else {
        return tags;
    };
    let Some(start) = text.rfind("/*") else {
        return tags;
    };
    for pair in text[start + 2..].split(',') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        let value = value.trim().trim_matches('\'');
        match name.trim() {
            "request" => tags.request = value.parse().ok(),
            "key" => tags.key = value.parse().ok(),
            _ => {}
        }
    }
    tags
}
