//! What the logs of all processes say of one request: its own lines, and what happened around it to its proxy and its
//! group. See `docs/OPERATIONS.md`.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::{Map, Value};

/// How long before the request arrived something may have happened that it depended on: as long as a proxy that was cut
/// off or a promotion keeps callers waiting.
const BEFORE_US: u64 = 4_000_000;

/// How long after its last line something may be logged that had begun before.
const AFTER_US: u64 = 1_000_000;

/// A line of a log that could be read.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// When it was written by the clock of its process, in microseconds since 1970.
    at_us: u64,
    /// What it says.
    fields: Map<String, Value>,
}

/// Why a request was not served, or late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It was served in time.
    None,
    /// Its proxy had no valid lease: it was cut off from control, or control had no leader.
    NoLease,
    /// A primary was being replaced.
    Promotion,
    /// An instance failed while it ran there.
    InstanceFailed,
    /// More came than the instances could take, or fewer of them were left.
    Load,
    /// It waited for an instance with room.
    Waited,
    /// An instance took long.
    SlowInstance,
    /// The lines don't tell.
    Unknown,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "it was served in time",
            Self::NoLease => {
                "its proxy had no lease: it was cut off from control, or control had no leader"
            }
            Self::Promotion => "the primary of its group was being replaced",
            Self::InstanceFailed => "an instance failed while it ran there",
            Self::Load => "more came than the instances could take",
            Self::Waited => "it waited for an instance with room",
            Self::SlowInstance => "an instance took long to answer",
            Self::Unknown => "the lines don't tell",
        })
    }
}

/// The story of one request.
#[derive(Debug)]
pub struct Story {
    /// Its lines and those around it, in the order of their times.
    lines: Vec<Line>,
    /// Its last line.
    last: Line,
}

impl Line {
    /// Reads a line; a collector may have put something before the object.
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let at_us = micros(fields.get("time")?.as_str()?)?;
        Some(Self { at_us, fields })
    }

    fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or("")
    }

    fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or(0)
    }

    fn is_about(&self, key: &str, value: &str) -> bool {
        self.fields.get(key).and_then(Value::as_str) == Some(value)
    }

    /// Tells whether this request may have depended on what another line says.
    fn depends_on(&self, other: &Line) -> bool {
        let same = |key: &str| other.is_about(key, self.text(key));
        match other.text("event") {
            "lease" | "stranded" | "configuration" => same("node"),
            "instance" | "epoch" => same("node") && same("group"),
            "decision" | "promotion" => same("group"),
            "leader" => true,
            "note" => same("node") && !other.is_about("level", "INFO"),
            _ => false,
        }
    }

    /// Returns the line as it was read.
    pub fn json(&self) -> Value {
        Value::Object(self.fields.clone())
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (time, node, event) = (self.text("time"), self.text("node"), self.text("event"));
        write!(f, "{time} {node} {event}:")?;
        let known = ["time", "node", "event", "level"];
        let fields: BTreeMap<_, _> =
            self.fields.iter().filter(|(key, _)| !known.contains(&key.as_str())).collect();
        for (key, value) in fields.into_iter().filter(|(_, value)| !value.is_null()) {
            match value {
                Value::String(text) => write!(f, " {key}={text:?}")?,
                value => write!(f, " {key}={value}")?,
            }
        }
        Ok(())
    }
}

impl Story {
    /// Collects what `lines` say of a request; nothing when none names it.
    pub fn of(request: &str, lines: &[Line]) -> Option<Self> {
        let own: Vec<&Line> =
            lines.iter().filter(|line| line.is_about("request", request)).collect();
        let last =
            (*own.iter().max_by_key(|line| (line.is_about("event", "request"), line.at_us))?)
                .clone();
        let arrived = |line: &&Line| line.at_us.saturating_sub(line.number("elapsed_ms") * 1_000);
        let from = own.iter().map(arrived).min()?.saturating_sub(BEFORE_US);
        let to = own.iter().map(|line| line.at_us).max()? + AFTER_US;
        let around = |line: &&Line| {
            (from..=to).contains(&line.at_us)
                && (line.is_about("request", request) || last.depends_on(line))
        };
        let mut lines: Vec<Line> = lines.iter().filter(around).cloned().collect();
        lines.sort_by_key(|line| line.at_us);
        Some(Self { lines, last })
    }

    /// Returns the lines in order.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Tells why the request ended as it did.
    pub fn cause(&self) -> Cause {
        let (outcome, reason) = (self.last.text("outcome"), self.last.text("reason"));
        if outcome == "done" {
            return match reason {
                "slow" if 2 * self.last.number("waited_ms") >= self.last.number("elapsed_ms") => {
                    Cause::Waited
                }
                "slow" => Cause::SlowInstance,
                _ => Cause::None,
            };
        }
        let replaced = self
            .lines
            .iter()
            .any(|line| line.is_about("event", "decision") || line.is_about("phase", "Frozen"));
        let failed = self.lines.iter().any(|line| {
            line.is_about("event", "instance")
                && !line.is_about("trouble", "Fine")
                && line.is_about("instance", self.last.text("instance"))
        });
        let for_primary = self.last.is_about("need", "primary");
        if for_primary && self.last.number("lease_left_ms") == 0 {
            Cause::NoLease
        } else if replaced && for_primary {
            Cause::Promotion
        } else if failed || matches!(outcome, "unknown" | "timeout" | "aborted") {
            Cause::InstanceFailed
        } else if outcome == "busy" {
            Cause::Load
        } else {
            Cause::Unknown
        }
    }
}

/// Reads a time such as `2026-12-04T02:00:37.123456Z`, in microseconds since 1970.
fn micros(time: &str) -> Option<u64> {
    let (date, clock) = time.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let (clock, fraction) = clock.split_once('.').unwrap_or((clock, "0"));
    let mut clock = clock.split(':').map(|part| part.parse::<u64>().ok());
    let seconds = (clock.next()?? * 60 + clock.next()??) * 60 + clock.next()??;
    let fraction: u64 = format!("{fraction:0<6.6}").parse().ok()?;
    let days = u64::try_from(days(year, month, day)).ok()?;
    Some((days * 86_400 + seconds) * 1_000_000 + fraction)
}

/// Returns the days since 1970 of a date of the Gregorian calendar, whose years begin in March here, so that the day that
/// not all of them have is the last one.
fn days(year: i64, month: i64, day: i64) -> i64 {
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let leaps = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
    year * 365 + leaps + (month * 153 + 2) / 5 + day - 1 - 719_468
}
