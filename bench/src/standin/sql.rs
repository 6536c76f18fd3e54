//! Classification of statements: which ones the stand-in handles itself, and which ones SQLite runs.

/// A classified statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Only white space and comments.
    Empty,
    /// `BEGIN` or `START TRANSACTION`.
    Begin { read_only: bool },
    /// `COMMIT` or `END`.
    Commit,
    /// `ROLLBACK` or `ABORT` of the whole transaction.
    Rollback,
    /// A statement that is answered with its command tag and has no effect.
    Ignored(&'static str),
    /// A query of the status view.
    Status,
    /// `cactushatch_promote(TERM)`.
    Promote(u64),
    /// `cactushatch_follow('ADDRESS', TERM)`.
    Follow(std::net::SocketAddr, u64),
    /// `cactushatch_demote(TERM)`.
    Demote(u64),
    /// `SET cactushatch.nonce = 'NONCE'`.
    SetNonce(String),
    /// `SHOW cactushatch.nonce`.
    ShowNonce,
    /// Any other statement; SQLite runs it.
    Plain(String),
}

/// Splits a simple query into its statements.
pub fn split(text: &str) -> Vec<&str> {
    let mut statements = Vec::new();
    let mut start = 0;
    let mut quote = None;
    let mut comment = false;
    let bytes = text.as_bytes();
    for (index, byte) in bytes.iter().enumerate() {
        match (quote, byte) {
            _ if comment => comment = !(byte == &b'/' && bytes[index - 1] == b'*'),
            (Some(open), byte) if *byte == open => quote = None,
            (Some(_), _) => {}
            (None, b'\'' | b'"') => quote = Some(*byte),
            (None, b'*') if index > 0 && bytes[index - 1] == b'/' => comment = true,
            (None, b';') => {
                statements.push(&text[start..index]);
                start = index + 1;
            }
            _ => {}
        }
    }
    statements.push(&text[start..]);
    statements.retain(|statement| !strip_comments(statement).is_empty());
    statements
}

/// Classifies a statement.
pub fn parse(text: &str) -> Statement {
    let bare = strip_comments(text);
    let upper = bare.to_ascii_uppercase();
    let mut words = upper.split_whitespace();
    match words.next().unwrap_or("") {
        "" => Statement::Empty,
        "BEGIN" | "START" => Statement::Begin { read_only: upper.contains("READ ONLY") },
        "COMMIT" | "END" => Statement::Commit,
        "ROLLBACK" | "ABORT" if !upper.contains(" TO ") => Statement::Rollback,
        "SET" if upper.contains("CACTUSHATCH.NONCE") => {
            Statement::SetNonce(bare.split('\'').nth(1).unwrap_or("").to_owned())
        }
        "SHOW" if upper.contains("CACTUSHATCH.NONCE") => Statement::ShowNonce,
        "SET" => Statement::Ignored("SET"),
        "RESET" => Statement::Ignored("RESET"),
        "DISCARD" => Statement::Ignored("DISCARD ALL"),
        _ => parse_control_call(&bare).unwrap_or_else(|| Statement::Plain(strip_casts(&bare))),
    }
}

/// Returns the type ids of the parameters, in their order, from casts such as `$1::int8`; text without a cast.
pub fn parameter_types(text: &str) -> Vec<u32> {
    let mut types = Vec::new();
    for (index, _) in text.match_indices('$') {
        let rest = &text[index + 1..];
        let digits = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
        let Ok(number) = rest[..digits].parse::<usize>() else { continue };
        if number == 0 || number > 1000 {
            continue;
        }
        if types.len() < number {
            types.resize(number, super::reply::TEXT);
        }
        if let Some(cast) = rest[digits..].strip_prefix("::") {
            types[number - 1] = super::reply::type_oid_of(cast);
        }
    }
    types
}

/// Returns the constant that a query selects after the columns of the status, if any.
pub fn nonce(text: &str) -> Option<&str> {
    let (before, _) = text.split_once("' AS nonce")?;
    Some(before.rsplit_once('\'')?.1)
}

/// Recognises queries of the status view and calls of the `cactushatch_` functions.
fn parse_control_call(text: &str) -> Option<Statement> {
    if text.contains("cactushatch_status") {
        return Some(Statement::Status);
    }
    let index = text.find("cactushatch_")?;
    let (name, rest) = text[index..].split_once('(')?;
    let (arguments, _) = rest.split_once(')')?;
    let mut arguments = arguments.split(',').map(|argument| argument.trim().trim_matches('\''));
    match name {
        "cactushatch_promote" => Some(Statement::Promote(arguments.next()?.parse().ok()?)),
        "cactushatch_demote" => Some(Statement::Demote(arguments.next()?.parse().ok()?)),
        "cactushatch_follow" => {
            let address = arguments.next()?.parse().ok()?;
            Some(Statement::Follow(address, arguments.next()?.parse().ok()?))
        }
        _ => None,
    }
}

/// Removes white space and comments at both ends.
fn strip_comments(text: &str) -> String {
    let mut text = text.trim();
    loop {
        if let Some(rest) = text.strip_prefix("/*").and_then(|rest| rest.split_once("*/")) {
            text = rest.1.trim();
        } else if let Some(rest) = text.strip_prefix("--") {
            text = rest.split_once('\n').map_or("", |split| split.1).trim();
        } else if text.ends_with("*/")
            && let Some(start) = text.rfind("/*")
        {
            text = text[..start].trim();
        } else {
            return text.to_owned();
        }
    }
}

/// Removes `::type` casts, which SQLite does not support.
fn strip_casts(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("::") {
        out.push_str(before);
        let end = after.find(|c: char| !c.is_ascii_alphanumeric()).unwrap_or(after.len());
        rest = &after[end..];
    }
    out.push_str(rest);
    out
}
