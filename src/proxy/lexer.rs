//! The parts of a query as PostgreSQL's scanner sees them, as far as a decision depends on where a string, a comment or a
//! statement ends. Unlike a parser, it knows every statement.

use std::ops::Range;

/// A part of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// A comment in `/*` and `*/`, which may contain others.
    BlockComment(Range<usize>),
    /// A comment from `--` to the end of the line.
    LineComment(Range<usize>),
    /// A semicolon between statements.
    Semicolon(usize),
    /// Anything else except for white space: words, strings and operators.
    Code(Range<usize>),
}

/// A string, an identifier or a comment has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a string, an identifier or a comment has no end")]
pub struct Unterminated;

/// The parts of a query, in their order. Nothing follows an error.
#[derive(Debug)]
pub struct Parts<'a> {
    sql: &'a str,
    at: usize,
}

impl<'a> Parts<'a> {
    /// Returns the parts of `sql`.
    pub fn of(sql: &'a str) -> Self {
        Self { sql, at: 0 }
    }
}

impl Iterator for Parts<'_> {
    type Item = Result<Part, Unterminated>;

    fn next(&mut self) -> Option<Self::Item> {
        let blanks = self.sql[self.at..].find(|c| !is_space(c));
        let start = self.at + blanks.unwrap_or(self.sql.len() - self.at);
        let rest = &self.sql[start..];
        let first = rest.chars().next()?;
        let len = if rest.starts_with("--") {
            Some(rest.find(['\n', '\r']).unwrap_or(rest.len()))
        } else if rest.starts_with("/*") {
            block_comment_len(rest)
        } else {
            code_len(first, rest)
        };
        let Some(len) = len else {
            self.at = self.sql.len();
            return Some(Err(Unterminated));
        };
        self.at = start + len;
        let range = start..self.at;
        Some(Ok(match first {
            '-' if rest.starts_with("--") => Part::LineComment(range),
            '/' if rest.starts_with("/*") => Part::BlockComment(range),
            ';' => Part::Semicolon(start),
            _ => Part::Code(range),
        }))
    }
}

/// Splits a query into its statements, without the comments in front of each. Semicolons in parentheses, and in the body
/// of a function in `BEGIN ATOMIC` and `END`, belong to their statement.
///
/// # Errors
///
/// Fails if a string, an identifier or a comment has no end.
pub fn statements(sql: &str) -> Result<Vec<&str>, Unterminated> {
    let mut statements = Vec::new();
    let mut start = None;
    let (mut parentheses, mut blocks) = (0_u32, 0_u32);
    let mut previous = "";
    for part in Parts::of(sql) {
        let code = match part? {
            Part::Code(code) => code,
            Part::Semicolon(at) if parentheses == 0 && blocks == 0 => {
                statements.extend(start.take().map(|start| &sql[start..at]));
                continue;
            }
            Part::Semicolon(_) | Part::BlockComment(_) | Part::LineComment(_) => continue,
        };
        let word = &sql[code.clone()];
        let is = |keyword: &str| word.eq_ignore_ascii_case(keyword);
        match word {
            "(" => parentheses += 1,
            ")" => parentheses = parentheses.saturating_sub(1),
            _ if is("atomic") && previous.eq_ignore_ascii_case("begin") => blocks += 1,
            _ if is("case") && blocks > 0 => blocks += 1,
            _ if is("end") => blocks = blocks.saturating_sub(1),
            _ => {}
        }
        start = start.or(Some(code.start));
        previous = word;
    }
    statements.extend(start.map(|start| &sql[start..]));
    Ok(statements)
}

/// Returns the first word of a query behind its comments, or an empty string if there is none.
pub fn first_word(sql: &str) -> &str {
    let mut parts = Parts::of(sql).map_while(Result::ok);
    let word = parts.find_map(|part| match part {
        Part::Code(code) => Some(&sql[code]),
        Part::Semicolon(_) | Part::BlockComment(_) | Part::LineComment(_) => None,
    });
    word.unwrap_or_default()
}

/// Returns whether PostgreSQL takes a character for white space. All others outside of ASCII belong to identifiers.
pub fn is_space(c: char) -> bool {
    matches!(c, ' ' | '\t' | '\n' | '\r' | '\u{b}' | '\u{c}')
}

/// Returns the length of the word, string or single other character at the start of `text`.
fn code_len(first: char, text: &str) -> Option<usize> {
    match first {
        '\'' => Some(1 + quoted_len(&text[1..], '\'', false)?),
        '"' => Some(1 + quoted_len(&text[1..], '"', false)?),
        'e' | 'E' if text[1..].starts_with('\'') => Some(2 + quoted_len(&text[2..], '\'', true)?),
        '$' => match dollar_tag(text) {
            Some(tag) => Some(2 * tag.len() + text[tag.len()..].find(tag)?),
            None => Some(1),
        },
        first if is_word(first) => Some(text.find(|c| !is_word(c)).unwrap_or(text.len())),
        first => Some(first.len_utf8()),
    }
}

/// Returns whether a character can be inside of a word.
fn is_word(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '_' | '$') || !c.is_ascii()
}

/// Returns the length of a string or quoted identifier after its opening quote. A doubled quote is content, and so is a
/// quote behind a backslash if `has_escapes`.
fn quoted_len(text: &str, quote: char, has_escapes: bool) -> Option<usize> {
    let mut chars = text.char_indices().peekable();
    while let Some((at, c)) = chars.next() {
        if has_escapes && c == '\\' {
            chars.next();
        } else if c == quote && chars.next_if(|(_, next)| *next == quote).is_none() {
            return Some(at + 1);
        }
    }
    None
}

/// Returns the opening tag of a dollar-quoted string, such as `$$` or `$tag$`.
fn dollar_tag(text: &str) -> Option<&str> {
    let name = &text[1..];
    let len = name.find(|c: char| !(c.is_ascii_alphanumeric() || c == '_' || !c.is_ascii()))?;
    let is_tag = name[len..].starts_with('$') && !name.starts_with(|c: char| c.is_ascii_digit());
    is_tag.then(|| &text[..len + 2])
}

/// Returns the length of a comment including those that it contains.
fn block_comment_len(text: &str) -> Option<usize> {
    let mut depth = 0;
    let mut at = 0;
    loop {
        let next = at + text[at..].find(['/', '*'])?;
        at = next + 1;
        if text[next..].starts_with("/*") {
            (depth, at) = (depth + 1, next + 2);
        } else if text[next..].starts_with("*/") {
            (depth, at) = (depth - 1, next + 2);
            if depth == 0 {
                return Some(at);
            }
        }
    }
}
