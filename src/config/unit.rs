//! Values with units.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A duration written with its unit: `250us`, `10ms`, `5s`, `2m`, `24h`, `7d`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub Duration);

/// The units of a span and their microseconds, largest first.
const SPAN_UNITS: [(&str, u64); 6] = [
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
        let unit = SPAN_UNITS.iter().find(|(name, _)| *name == unit.trim());
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
        let whole =
            SPAN_UNITS.iter().find(|(_, unit)| micros >= *unit && micros.is_multiple_of(*unit));
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

/// A size written with its unit: `512B`, `64KiB`, `16MiB`, `1GiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// The units of a size and their bytes, largest first.
const SIZE_UNITS: [(&str, u64); 4] =
    [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let split = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let (number, unit) = text.split_at(split);
        let number: Option<u64> = number.parse().ok();
        let unit = SIZE_UNITS.iter().find(|(name, _)| *name == unit.trim());
        let bytes = number.zip(unit).and_then(|(number, (_, bytes))| number.checked_mul(*bytes));
        bytes.map(Self).ok_or_else(|| format!("{text:?} is no size such as 64KiB, 16MiB or 1GiB"))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole =
            SIZE_UNITS.iter().find(|(_, unit)| self.0 >= *unit && self.0.is_multiple_of(*unit));
        let (name, unit) = whole.unwrap_or(&("B", 1));
        write!(f, "{}{name}", self.0 / unit)
    }
}

/// A rate per second: `50/s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u32);

/// The highest rate, per second.
const MAX_RATE_PER_SECOND: u32 = 100_000;

impl FromStr for Rate {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number = text.strip_suffix("/s").and_then(|number| number.parse().ok());
        let number = number.filter(|number| (1..=MAX_RATE_PER_SECOND).contains(number));
        number.map(Self).ok_or_else(|| format!("{text:?} is no rate such as 50/s"))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// A share written in percent: `99.9%`. It is stored in millionths, so that equal texts give equal shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Share(u32);

/// 100% in millionths.
const MILLIONTHS: u32 = 1_000_000;

impl Share {
    /// Returns the share of `millionths`, limited to 100%.
    pub const fn per_million(millionths: u32) -> Self {
        if millionths > MILLIONTHS { Self(MILLIONTHS) } else { Self(millionths) }
    }

    /// Returns the share as a number from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(MILLIONTHS)
    }
}

impl FromStr for Share {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number: Option<f64> = text.strip_suffix('%').and_then(|number| number.parse().ok());
        let number = number.filter(|number| (0.0..=100.0).contains(number));
        let millionths =
            number.map(|number| (number * f64::from(MILLIONTHS) / 100.0).round() as u32);
        millionths.map(Self).ok_or_else(|| format!("{text:?} is no share such as 99.9%"))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) / f64::from(MILLIONTHS / 100))
    }
}

impl TryFrom<String> for Share {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<Share> for String {
    fn from(share: Share) -> Self {
        share.to_string()
    }
}

/// A time of day, UTC, written `HH:MM`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TimeOfDay {
    minutes: u16,
}

impl TimeOfDay {
    /// Returns the minutes since midnight, UTC.
    pub fn minutes(self) -> u16 {
        self.minutes
    }
}

impl FromStr for TimeOfDay {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let two_digits = |part: &str| part.parse().ok().filter(|_: &u16| part.len() == 2);
        let parts = text
            .split_once(':')
            .and_then(|(hour, minute)| two_digits(hour).zip(two_digits(minute)));
        match parts {
            Some((hour, minute)) if hour < 24 && minute < 60 => {
                Ok(Self { minutes: hour * 60 + minute })
            }
            _ => Err(format!("{text:?} is no time of day such as 07:30")),
        }
    }
}

impl fmt::Display for TimeOfDay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:02}:{:02}", self.minutes / 60, self.minutes % 60)
    }
}
