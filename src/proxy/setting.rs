//! Session settings. A pooled connection serves many callers, so no caller may change its settings. The settings that
//! drivers send when they connect have the requested value already, or don't affect answers. `docs/CALLERS.md` lists
//! them.

use super::classify;

/// How a `SET` or `RESET` is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Handling {
    /// The proxy answers it without the upstream.
    Local,
    /// It only lasts until the end of the transaction, so the upstream executes it.
    Forward,
    /// It would change the connection for other callers.
    Refuse,
}

/// Returns how a `SET` or `RESET` statement is handled.
pub fn handling(sql: &str) -> Handling {
    let text = classify::strip_comment(sql).to_ascii_lowercase().replace('=', " = ");
    let words: Vec<&str> = text.split_whitespace().collect();
    match words.as_slice() {
        ["set", "local" | "transaction", ..] => Handling::Forward,
        ["reset", _] => Handling::Local,
        ["set", "session", "characteristics", ..] => Handling::Refuse,
        ["set", "names", value] => value_handling("client_encoding", value),
        ["set", "time", "zone", value] | ["set", "session", "time", "zone", value] => {
            value_handling("timezone", value)
        }
        ["set", "session", name, "to" | "=", values @ ..]
        | ["set", name, "to" | "=", values @ ..] => value_handling(name, &values.join(" ")),
        _ => Handling::Refuse,
    }
}

fn value_handling(name: &str, value: &str) -> Handling {
    if is_harmless(name, value) { Handling::Local } else { Handling::Refuse }
}

/// Returns whether a setting, made at start-up or by `SET`, has no effect on answers.
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
