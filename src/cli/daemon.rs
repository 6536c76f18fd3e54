//! Settings, log and signals of a long-running process.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use async_signal::{Signal, Signals};
use clap::ArgMatches;
use smol::stream::StreamExt;

use super::Exit;
use super::logging::LogGuard;
use crate::clock::Clock;
use crate::config::Settings;
use crate::report::Metrics;

/// Interval at which the settings file is checked for changes, as it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The settings, log and signals of a long-running process.
pub struct Daemon {
    /// The settings as of the start.
    pub settings: Settings,
    path: PathBuf,
    /// The settings file as last read.
    text: String,
    log: LogGuard,
    signals: Signals,
}

impl Daemon {
    /// Reads the settings file given on the command line, starts the log, and registers for signals.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid, or if the log or the signals can't be set up.
    pub fn open(matches: &ArgMatches) -> anyhow::Result<Self> {
        let path = matches.get_one::<PathBuf>("settings").context("missing settings file")?;
        let settings = Settings::read(path)?;
        let text = super::read(path)?;
        let log = LogGuard::start(&settings.node, &settings.log)?;
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        log::info!("{} starting in failure domain {}", settings.node, settings.domain);
        Ok(Self { settings, path: path.clone(), text, log, signals })
    }

    /// Sets the metrics that count suppressed log lines.
    pub fn set_metrics(&self, metrics: &Metrics) {
        self.log.set_metrics(metrics);
    }

    /// Waits for a signal to shut down; calls `reload` with the new settings whenever the file has changed.
    ///
    /// # Errors
    ///
    /// Fails if signals can no longer be received.
    pub async fn wait_for_shutdown(&mut self, reload: impl Fn(Settings)) -> anyhow::Result<()> {
        let clock = Clock::system();
        loop {
            let signal = clock.timeout(RELOAD_INTERVAL, self.signals.next()).await.flatten();
            match signal.transpose()? {
                Some(signal @ (Signal::Term | Signal::Int)) => {
                    log::info!("received {signal:?}, shutting down");
                    return Ok(());
                }
                Some(_) | None => {
                    if let Some(settings) = self.reload() {
                        reload(settings);
                    }
                }
            }
        }
    }

    /// Waits until `drained` completes or a second signal to shut down arrives.
    ///
    /// # Errors
    ///
    /// Fails if signals can no longer be received.
    pub async fn drain(&mut self, drained: impl Future<Output = ()>) -> anyhow::Result<Exit> {
        let drained = async {
            drained.await;
            Ok(Exit::Success)
        };
        let second_signal = async {
            while self.signals.next().await.transpose()? == Some(Signal::Hup) {}
            log::warn!("second signal received; exiting before draining has completed");
            Ok(Exit::Success)
        };
        let exit = smol::future::or(drained, second_signal).await;
        log::info!("{} stopped", self.settings.node);
        exit
    }

    /// Returns the new settings if the file has changed and is valid.
    fn reload(&mut self) -> Option<Settings> {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(
                    "can't read settings file {}, keeping the current settings: {error}",
                    self.path.display()
                );
                return None;
            }
        };
        if text == self.text {
            return None;
        }
        let parsed = Settings::parse(&self.path.display().to_string(), &text);
        self.text = text;
        match parsed {
            Ok(settings) => {
                log::info!("settings file has changed; settings reloaded");
                Some(settings)
            }
            Err(error) => {
                log::error!("changed settings are not valid, keeping the current ones: {error}");
                None
            }
        }
    }
}
