//! The log of a process, on standard output: plain text or one JSON object per line. The rate of each kind of line is
//! limited. Lines are written in the background, so that no caller waits for standard output.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::{Level, Record};
use serde_json::Value;

use crate::clock::{Clock, Instant};
use crate::config::{Format, Log, Rate};
use crate::id;
use crate::report::{Metrics, Queue, RateLimiter, Verdict, event};

/// Minimum interval between reports of suppressed lines of one kind.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The length in bytes from which the texts in a line are shortened.
const MAX_LINE_BYTES: usize = 16 * 1024;

/// The length in bytes to which each text of such a line is shortened.
const MAX_TEXT_BYTES: usize = 1_024;

/// Handle to the log of a process, which flushes the log when dropped.
pub(super) struct LogGuard {
    handle: LoggerHandle,
    metrics: Arc<OnceLock<Metrics>>,
}

impl LogGuard {
    /// Starts the log of the process `node`.
    pub(super) fn start(node: &id::Node, settings: &Log) -> anyhow::Result<Self> {
        let metrics = Arc::default();
        let writer = Writer {
            node: node.clone(),
            format: settings.format,
            clock: Clock::system(),
            limits: Mutex::default(),
            rate: settings.rate,
            queue: Queue::start(std::io::stdout())?,
            metrics: Arc::clone(&metrics),
        };
        DeferredNow::force_utc();
        let handle = Logger::with(LogSpecification::builder().default(settings.level).build())
            .log_to_writer(Box::new(writer))
            .start()?;
        Ok(Self { handle, metrics })
    }

    /// Sets the metrics that count suppressed lines from now on.
    pub(super) fn set_metrics(&self, metrics: &Metrics) {
        let _ = self.metrics.set(metrics.clone());
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.handle.flush();
    }
}

/// Formats lines and appends them to the queue. Each kind of line has a rate limit of its own, and so do the errors of
/// each kind, so that a flood of one kind doesn't suppress the others.
struct Writer {
    node: id::Node,
    format: Format,
    clock: Clock,
    limits: Mutex<BTreeMap<(bool, String), KindLimit>>,
    rate: Rate,
    queue: Queue,
    metrics: Arc<OnceLock<Metrics>>,
}

/// The rate limit of one kind of line.
struct KindLimit {
    limiter: RateLimiter,
    /// Lines suppressed since the last report.
    suppressed: u64,
    reported_at: Instant,
}

impl Writer {
    /// Returns `None` if the line must be suppressed. Otherwise returns the number of suppressed lines of its kind to
    /// report, which is 0 until [`REPORT_INTERVAL`] has passed since the last report.
    fn admit(&self, level: Level, kind: &str) -> Option<u64> {
        let now = self.clock.now();
        let mut limits = self.limits.lock().expect("no thread panics while holding this lock");
        let key = (level == Level::Error, kind.to_owned());
        let limit = limits.entry(key).or_insert_with(|| KindLimit {
            limiter: RateLimiter::new(self.rate),
            suppressed: 0,
            reported_at: Instant::default(),
        });
        let Verdict::Write { suppressed } = limit.limiter.admit(now) else {
            return None;
        };
        limit.suppressed += suppressed;
        if limit.suppressed == 0 || now.since(limit.reported_at) < REPORT_INTERVAL {
            return Some(0);
        }
        limit.reported_at = now;
        Some(std::mem::take(&mut limit.suppressed))
    }

    fn push(&self, now: &mut DeferredNow, level: Level, kind: Option<&str>, text: &str) {
        let line = match self.format {
            Format::Text => self.format_text(now, level, kind, text),
            Format::Json => self.format_json(now, level, kind, text),
        };
        if !self.queue.push(escape(line).into_bytes()) {
            self.count_suppressed();
        }
    }

    fn count_suppressed(&self) {
        self.metrics.get().iter().for_each(|metrics| metrics.record_suppressed_lines(1));
    }

    /// Formats a line as plain text, with the fields of an event as `key=value` pairs.
    fn format_text(
        &self,
        now: &mut DeferredNow,
        level: Level,
        kind: Option<&str>,
        text: &str,
    ) -> String {
        let mut line = String::with_capacity(256);
        let time = now.format("%Y-%m-%dT%H:%M:%S%.3fZ");
        let _ = write!(line, "{time} {level:5} {}", self.node);
        let fields = kind.and_then(|_| serde_json::from_str(text).ok());
        match fields {
            Some(Value::Object(fields)) => {
                let present = fields.iter().filter(|(_, value)| !value.is_null());
                for (key, value) in present {
                    let _ = write!(line, " {key}={value}");
                }
            }
            _ => {
                let _ = write!(line, " {text}");
            }
        }
        line
    }

    /// Formats a line as a JSON object. An event is a JSON object already, to which the time, level and node are added.
    fn format_json(
        &self,
        now: &mut DeferredNow,
        level: Level,
        kind: Option<&str>,
        text: &str,
    ) -> String {
        let mut line = String::with_capacity(512);
        let time = now.format("%Y-%m-%dT%H:%M:%S%.6fZ");
        let _ =
            write!(line, "{{\"time\":\"{time}\",\"level\":\"{level}\",\"node\":\"{}\",", self.node);
        match kind {
            Some(_) => line.push_str(&text[1..]),
            None => {
                let text = Value::from(text);
                let _ = write!(line, "\"event\":\"{}\",\"text\":{text}}}", event::NOTE);
            }
        }
        line
    }
}

/// Shortens the texts in a long line, since many lines may wait in memory. An id of a request, or the error text of an
/// instance, can be as long as a message.
fn shorten(text: String, is_event: bool) -> String {
    if text.len() < MAX_LINE_BYTES {
        return text;
    }
    let cut = |text: &mut String| {
        if text.len() > MAX_TEXT_BYTES {
            text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
            text.push('…');
        }
    };
    match serde_json::from_str(&text) {
        Ok(Value::Object(mut fields)) if is_event => {
            for value in fields.values_mut() {
                if let Value::String(text) = value {
                    cut(text);
                }
            }
            Value::Object(fields).to_string()
        }
        _ => {
            let mut text = text;
            cut(&mut text);
            text
        }
    }
}

/// Escapes the characters that would end the line or that a terminal obeys, as JSON does, and ends the line. They come
/// from content, such as the error text of an instance or a value of a malformed request.
fn escape(mut line: String) -> String {
    let is_escaped = |c: char| c.is_control() || matches!(c, '\u{2028}' | '\u{2029}');
    if line.contains(is_escaped) {
        let mut escaped = String::with_capacity(line.len() + 64);
        for c in line.chars() {
            let _ = match is_escaped(c) {
                true => write!(escaped, "\\u{:04x}", u32::from(c)),
                false => escaped.write_char(c),
            };
        }
        line = escaped;
    }
    line.push('\n');
    line
}

impl LogWriter for Writer {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let kind = event::kind_of_target(record.target());
        let name = kind.unwrap_or(event::NOTE);
        let Some(suppressed) = self.admit(record.level(), name) else {
            self.count_suppressed();
            return Ok(());
        };
        if suppressed > 0 {
            let text = format!(
                "suppressed {suppressed} log lines of kind {name}, which exceeded {}",
                self.rate
            );
            self.push(now, Level::Warn, None, &text);
        }
        let dropped = self.queue.take_dropped();
        if dropped > 0 {
            let text = format!("dropped {dropped} log lines, since standard output was not read");
            self.push(now, Level::Warn, None, &text);
        }
        self.push(now, record.level(), kind, &shorten(record.args().to_string(), kind.is_some()));
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        self.queue.flush();
        Ok(())
    }
}
