//! Session settings. A pooled connection serves many callers, so that none may change its settings; those that
//! drivers send at their start have the value already, or have no effect on answers. `docs/CALLERS.md` lists
//! them.

use super::class;

/// What a `SET` or `RESET` comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The proxy answers it itself.
    Harmless,
    /// It ends with its transaction, so the upstream runs it.
    Transaction,
    /// It would change the connection for others.
    Refused,
}

/// Judges a `SET` or `RESET` statement.
pub fn judge(sql: &str) -> Verdict {
    let text = class::bare(sql).to_ascii_lowercase().replace('=', " = ");
    let words: Vec<&str> = text.split_whitespace().collect();
    match words.as_slice() {
        ["set", "local" | "transaction", ..] => Verdict::Transaction,
        ["reset", _] => Verdict::Harmless,
        ["set", "session", "characteristics", ..] => Verdict::Refused,
        ["set", "names", value] => verdict("client_encoding", value),
        ["set", "time", "zone", value] | ["set", "session", "time", "zone", value] => {
            verdict("timezone", value)
        }
        ["set", "session", name, "to" | "=", values @ ..]
        | ["set", name, "to" | "=", values @ ..] => verdict(name, &values.join(" ")),
        _ => Verdict::Refused,
    }
}

fn verdict(name: &str, value: &str) -> Verdict {
    if is_harmless(name, value) { Verdict::Harmless } else { Verdict::Refused }
}

/// Tells whether a setting, at start-up or by `SET`, changes no answer.
pub fn is_harmless(name: &str, value: &str) -> bool {
    let value = value.trim().trim_matches(['\'', '"']).to_ascii_lowercase();
    let value = value.replace(['"', '\'', ' '], "");
    match name.to_ascii_lowercase().as_str() {
        "application_name" | "client_min_messages" => true,
        "client_encoding" => matches!(value.as_str(), "utf8" | "utf-8" | "unicode" | "default"),
        "extra_float_digits" => matches!(value.as_str(), "1" | "2" | "3"),
        "datestyle" => matches!(value.as_str(), "iso" | "iso,mdy" | "default"),
        "timezone" => matches!(value.as_str(), "utc" | "etc/utc" | "gmt" | "z" | "default"),
        "standard_conforming_strings" => matches!(value.as_str(), "on" | "true" | "1"),
        "bytea_output" => value == "hex",
        "intervalstyle" => value == "postgres",
        "search_path" => matches!(value.as_str(), "public" | "$user,public" | "default"),
        _ => false,
    }
}
