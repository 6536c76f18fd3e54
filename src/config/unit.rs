//! Values with units.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A length of time written with its unit: `250us`, `10ms`, `5s`, `2m`, `24h`, `7d`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub Duration);

/// The units of a span and how many microseconds each one has, the largest first.
const UNITS: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let split = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let (number, unit) = text.split_at(split);
        let number: Option<u64> = number.parse().ok();
        let unit = UNITS.iter().find(|(name, _)| *name == unit.trim());
        let micros = number.zip(unit).and_then(|(number, (_, micros))| number.checked_mul(*micros));
        match micros {
            Some(micros) => Ok(Self(Duration::from_micros(micros))),
            None => {
                Err(format!("{text:?} is no length of time such as 250us, 10ms, 5s, 2m, 24h or 7d"))
            }
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.0.as_micros() as u64;
        let whole = UNITS.iter().find(|(_, unit)| micros >= *unit && micros.is_multiple_of(*unit));
        let (name, unit) = whole.unwrap_or(&("us", 1));
        write!(f, "{}{name}", micros / unit)
    }
}

impl TryFrom<String> for Span {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<Span> for String {
    fn from(span: Span) -> Self {
        span.to_string()
    }
}
