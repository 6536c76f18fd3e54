//! The timeline of a request from the logs of all processes: the request's own lines and the events of its proxy and
//! group around that time. See `docs/OPERATIONS.md`.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::{Map, Value};

/// How far before the request's arrival the timeline starts: a proxy that is cut off, or a promotion, keeps callers
/// waiting for up to this long, so an event this old may have affected the request.
const LOOKBACK_US: u64 = 4_000_000;

/// How far after the request's last line the timeline ends, as an event may be logged later than it began.
const LOOKAHEAD_US: u64 = 1_000_000;

/// A parsed log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Time of the line by the clock of its process, in microseconds since the Unix epoch.
    time_us: u64,
    /// All fields of the line's JSON object.
    fields: Map<String, Value>,
}

/// Why a request was not served, or was slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The request was served in time.
    None,
    /// The proxy had no valid lease: it was cut off from the control plane, or the control plane had
    /// no leader.
    NoLease,
    /// The primary of the group was being replaced.
    Promotion,
    /// An instance failed while the request ran on it.
    InstanceFailed,
    /// The proxies that serve the group failed, or none served it.
    NoServer,
    /// An instance accepted no more connections, so the proxy had none to it.
    ConnectionLimit,
    /// There were more requests than the instances could serve, or fewer instances than usual.
    Overload,
    /// The request waited for an instance with capacity.
    CapacityWait,
    /// An instance was slow to answer.
    SlowInstance,
    /// The lines do not show the cause.
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
            Self::NoServer => "the proxies that serve its group failed, or none served it",
            Self::ConnectionLimit => "an instance accepted no more connections",
            Self::Overload => "more came than the instances could take",
            Self::CapacityWait => "it waited for an instance with room",
            Self::SlowInstance => "an instance took long to answer",
            Self::Unknown => "the lines don't tell",
        })
    }
}

/// The log lines of one request and of the events that it may have depended on.
#[derive(Debug)]
pub struct Timeline {
    /// The request's lines and related ones, ordered by time.
    lines: Vec<Line>,
    /// The line with the request's outcome, or its last one.
    last: Line,
}

impl Line {
    /// Parses a line. Text before the JSON object is skipped, as log collectors add prefixes.
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let time_us = parse_time_us(fields.get("time")?.as_str()?)?;
        Some(Self { time_us, fields })
    }

    fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or("")
    }

    fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or(0)
    }

    fn has_value(&self, key: &str, value: &str) -> bool {
        self.fields.get(key).and_then(Value::as_str) == Some(value)
    }

    /// Returns whether the request of this line may have been affected by what another line reports.
    fn may_depend_on(&self, other: &Line) -> bool {
        let same = |key: &str| other.has_value(key, self.text(key));
        match other.text("event") {
            "lease" | "stranded" | "configuration" => same("node"),
            "instance" | "epoch" | "connection_limit" | "share" => same("node") && same("group"),
            "decision"
            | "choice"
            | "promotion"
            | "inherited"
            | "missing_writes"
            | "unordered_promotion" => same("group"),
            "leader" => true,
            "note" => same("node") && !other.has_value("level", "INFO"),
            _ => false,
        }
    }

    /// Returns the line as a JSON object.
    pub fn json(&self) -> Value {
        Value::Object(self.fields.clone())
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (time, node, event) = (self.text("time"), self.text("node"), self.text("event"));
        write!(f, "{time} {node} {event}:")?;
        let header = ["time", "node", "event", "level"];
        let fields: BTreeMap<_, _> =
            self.fields.iter().filter(|(key, _)| !header.contains(&key.as_str())).collect();
        for (key, value) in fields.into_iter().filter(|(_, value)| !value.is_null()) {
            match value {
                Value::String(text) => write!(f, " {key}={text:?}")?,
                value => write!(f, " {key}={value}")?,
            }
        }
        Ok(())
    }
}

impl Timeline {
    /// Collects the lines that concern a request; returns `None` if no line names it.
    pub fn of_request(request: &str, lines: &[Line]) -> Option<Self> {
        let own: Vec<&Line> =
            lines.iter().filter(|line| line.has_value("request", request)).collect();
        let last =
            (*own.iter().max_by_key(|line| (line.has_value("event", "request"), line.time_us))?)
                .clone();
        let arrival_us =
            |line: &&Line| line.time_us.saturating_sub(line.number("elapsed_ms") * 1_000);
        let start_us = own.iter().map(arrival_us).min()?.saturating_sub(LOOKBACK_US);
        let end_us = own.iter().map(|line| line.time_us).max()? + LOOKAHEAD_US;
        let relevant = |line: &&Line| {
            (start_us..=end_us).contains(&line.time_us)
                && (line.has_value("request", request) || last.may_depend_on(line))
        };
        let mut lines: Vec<Line> = lines.iter().filter(relevant).cloned().collect();
        lines.sort_by_key(|line| line.time_us);
        Some(Self { lines, last })
    }

    /// Returns the lines, ordered by time.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Returns the most likely cause of the request's outcome.
    pub fn cause(&self) -> Cause {
        let (outcome, reason) = (self.last.text("outcome"), self.last.text("reason"));
        if outcome == "done" {
            return match reason {
                "slow" if 2 * self.last.number("waited_ms") >= self.last.number("elapsed_ms") => {
                    Cause::CapacityWait
                }
                "slow" => Cause::SlowInstance,
                _ => Cause::None,
            };
        }
        let primary_replaced = self
            .lines
            .iter()
            .any(|line| line.has_value("event", "decision") || line.has_value("phase", "Frozen"));
        let instance_failed = self.lines.iter().any(|line| {
            line.has_value("event", "instance")
                && !line.has_value("trouble", "Fine")
                && line.has_value("instance", self.last.text("instance"))
        });
        let is_connection_limited =
            self.lines.iter().any(|line| line.has_value("event", "connection_limit"));
        let needs_primary = self.last.has_value("need", "primary");
        if needs_primary && self.last.number("lease_left_ms") == 0 {
            Cause::NoLease
        } else if primary_replaced && needs_primary {
            Cause::Promotion
        } else if instance_failed || matches!(outcome, "unknown" | "timeout" | "aborted") {
            Cause::InstanceFailed
        } else if outcome == "busy" && self.last.has_value("need", "server") {
            Cause::NoServer
        } else if outcome == "busy" && is_connection_limited {
            Cause::ConnectionLimit
        } else if outcome == "busy" {
            Cause::Overload
        } else {
            Cause::Unknown
        }
    }
}

/// Parses a time such as `2026-12-04T02:00:37.123456Z` into microseconds since the Unix epoch.
fn parse_time_us(time: &str) -> Option<u64> {
    let (date, clock) = time.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let (clock, fraction) = clock.split_once('.').unwrap_or((clock, "0"));
    let mut clock = clock.split(':').map(|part| part.parse::<u64>().ok());
    let seconds = (clock.next()?? * 60 + clock.next()??) * 60 + clock.next()??;
    let fraction: u64 = format!("{fraction:0<6.6}").parse().ok()?;
    let days = u64::try_from(days_since_epoch(year, month, day)).ok()?;
    Some((days * 86_400 + seconds) * 1_000_000 + fraction)
}

/// Returns the days from the Unix epoch to a date of the Gregorian calendar. Years are counted from March, so that the
/// leap day is the last day of the year.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let leap_days = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
    year * 365 + leap_days + (month * 153 + 2) / 5 + day - 1 - 719_468
}
