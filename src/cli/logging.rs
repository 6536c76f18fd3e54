//! Starts the log: text for people or one JSON object a line, with a bound on the rate of each kind of line, on standard
//! output, which nothing ever waits for.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::{Level, Record};

use crate::clock::{Clock, Instant};
use crate::config::{Format, Log, Rate};
use crate::id;
use crate::report::{Metrics, Queue, RateLimiter, Verdict, event};

/// How often it is said that lines of one kind were left out.
const TELL: Duration = Duration::from_secs(1);

/// The log of a process; it ends when this is dropped.
pub(super) struct Logging {
    handle: LoggerHandle,
    metrics: Arc<OnceLock<Metrics>>,
}

impl Logging {
    /// Starts the log of a process as its settings say.
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

    /// Has the lines that are left out counted from now on.
    pub(super) fn count_into(&self, metrics: &Metrics) {
        let _ = self.metrics.set(metrics.clone());
    }
}

impl Drop for Logging {
    fn drop(&mut self) {
        self.handle.flush();
    }
}

/// Formats lines and hands them on. Each kind has a bound of its own, and so have errors, so that no flood crowds out what
/// else there is to say.
struct Writer {
    node: id::Node,
    format: Format,
    clock: Clock,
    limits: Mutex<BTreeMap<(bool, String), Kind>>,
    rate: Rate,
    queue: Queue,
    metrics: Arc<OnceLock<Metrics>>,
}

/// The lines of one kind.
struct Kind {
    limit: RateLimiter,
    /// How many were left out since that was last said.
    left_out: u64,
    told: Instant,
}

impl Writer {
    /// Tells whether a line may be written, and how many of its kind were left out, when it is time to say so.
    fn admits(&self, level: Level, kind: &str) -> Option<u64> {
        let now = self.clock.now();
        let mut limits = self.limits.lock().expect("nothing panics under this lock");
        let key = (level == Level::Error, kind.to_owned());
        let kind = limits.entry(key).or_insert_with(|| Kind {
            limit: RateLimiter::new(self.rate),
            left_out: 0,
            told: Instant::default(),
        });
        let Verdict::Write { suppressed } = kind.limit.admit(now) else {
            return None;
        };
        kind.left_out += suppressed;
        if kind.left_out == 0 || now.since(kind.told) < TELL {
            return Some(0);
        }
        kind.told = now;
        Some(std::mem::take(&mut kind.left_out))
    }

    fn push(&self, now: &mut DeferredNow, level: Level, kind: Option<&str>, text: &str) {
        let line = match self.format {
            Format::Text => self.text(now, level, kind, text),
            Format::Json => self.json(now, level, kind, text),
        };
        if !self.queue.push(line) {
            self.count_left_out();
        }
    }

    fn count_left_out(&self) {
        self.metrics.get().iter().for_each(|metrics| metrics.record_suppressed_lines(1));
    }

    /// Writes a line for people: an event as `key=value` pairs.
    fn text(&self, now: &mut DeferredNow, level: Level, kind: Option<&str>, text: &str) -> Vec<u8> {
        let mut line = Vec::with_capacity(256);
        let time = now.format("%Y-%m-%dT%H:%M:%S%.3fZ");
        let _ = write!(line, "{time} {level:5} {}", self.node);
        let fields = kind.and_then(|_| serde_json::from_str(text).ok());
        match fields {
            Some(serde_json::Value::Object(fields)) => {
                let present = fields.iter().filter(|(_, value)| !value.is_null());
                for (key, value) in present {
                    let _ = write!(line, " {key}={value}");
                }
            }
            _ => {
                let _ = write!(line, " {text}");
            }
        }
        line.push(b'\n');
        line
    }

    /// Writes a line as one JSON object; an event is one already and only lacks when and where.
    fn json(&self, now: &mut DeferredNow, level: Level, kind: Option<&str>, text: &str) -> Vec<u8> {
        let mut line = Vec::with_capacity(512);
        let time = now.format("%Y-%m-%dT%H:%M:%S%.6fZ");
        let _ =
            write!(line, "{{\"time\":\"{time}\",\"level\":\"{level}\",\"node\":\"{}\",", self.node);
        match kind {
            Some(_) => line.extend_from_slice(&text.as_bytes()[1..]),
            None => {
                let text = serde_json::Value::from(text);
                let _ = write!(line, "\"event\":\"{}\",\"text\":{text}}}", event::NOTE);
            }
        }
        line.push(b'\n');
        line
    }
}

impl LogWriter for Writer {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let kind = event::kind_of_target(record.target());
        let name = kind.unwrap_or(event::NOTE);
        let Some(suppressed) = self.admits(record.level(), name) else {
            self.count_left_out();
            return Ok(());
        };
        if suppressed > 0 {
            let text =
                format!("{suppressed} lines of kind {name} were left out, over {}", self.rate);
            self.push(now, Level::Warn, None, &text);
        }
        let dropped = self.queue.take_dropped();
        if dropped > 0 {
            let text = format!("{dropped} lines were left out, since nobody read them");
            self.push(now, Level::Warn, None, &text);
        }
        self.push(now, record.level(), kind, &record.args().to_string());
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        self.queue.flush();
        Ok(())
    }
}
