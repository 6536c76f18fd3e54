//! Starts the log: text for people or one JSON object a line, with a bound on the rate.

use std::io::Write;
use std::sync::{Arc, Mutex, OnceLock};

use flexi_logger::filter::{LogLineFilter, LogLineWriter};
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::{Level, Record};

use crate::clock::Clock;
use crate::config::{Format, Log, Rate};
use crate::report::{Limit, Metrics, Verdict};

/// The log of a process; it ends when this is dropped.
pub(super) struct Logging {
    _handle: LoggerHandle,
    metrics: Arc<OnceLock<Metrics>>,
}

impl Logging {
    /// Starts the log as the settings say.
    pub(super) fn start(settings: &Log) -> anyhow::Result<Self> {
        let metrics = Arc::default();
        let filter = Filter {
            clock: Clock::system(),
            errors: Mutex::new(Limit::new(settings.rate)),
            others: Mutex::new(Limit::new(settings.rate)),
            rate: settings.rate,
            metrics: Arc::clone(&metrics),
        };
        let format = match settings.format {
            Format::Text => text,
            Format::Json => flexi_logger::json_format,
        };
        DeferredNow::force_utc();
        let handle = Logger::with(LogSpecification::builder().default(settings.level).build())
            .format(format)
            .filter(Box::new(filter))
            .start()?;
        Ok(Self { _handle: handle, metrics })
    }

    /// Has the lines that are left out counted from now on.
    pub(super) fn count_into(&self, metrics: &Metrics) {
        let _ = self.metrics.set(metrics.clone());
    }
}

/// Bounds the rate; errors have a bound of their own, so that other lines can't crowd them out.
struct Filter {
    clock: Clock,
    errors: Mutex<Limit>,
    others: Mutex<Limit>,
    rate: Rate,
    metrics: Arc<OnceLock<Metrics>>,
}

impl LogLineFilter for Filter {
    fn write(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
        writer: &dyn LogLineWriter,
    ) -> std::io::Result<()> {
        let limit = if record.level() == Level::Error { &self.errors } else { &self.others };
        let verdict = limit.lock().expect("nothing panics under this lock").step(self.clock.now());
        match verdict {
            Verdict::Suppress => {
                self.metrics.get().iter().for_each(|metrics| metrics.suppressed(1));
                Ok(())
            }
            Verdict::Write { suppressed: 0 } => writer.write(now, record),
            Verdict::Write { suppressed } => {
                let rate = self.rate;
                writer.write(
                    now,
                    &Record::builder()
                        .level(Level::Warn)
                        .target("log")
                        .args(format_args!("{suppressed} lines were left out, over {rate}"))
                        .build(),
                )?;
                writer.write(now, record)
            }
        }
    }
}

fn text(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3fZ");
    write!(out, "{time} {:5} {}", record.level(), record.args())
}
