//! What every serving process has around it: its settings, its log, and the signals that it gets.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use async_signal::{Signal, Signals};
use clap::ArgMatches;
use smol::stream::StreamExt;

use super::Exit;
use super::logging::Logging;
use crate::clock::Clock;
use crate::config::Node;
use crate::report::Metrics;

/// How often the settings file is looked at, since it may change without a signal.
const RELOAD: Duration = Duration::from_secs(2);

/// The settings, log and signals of a serving process.
pub struct Host {
    /// The settings as they were at the start.
    pub settings: Node,
    path: PathBuf,
    text: String,
    log: Logging,
    signals: Signals,
}

impl Host {
    /// Reads the settings that the command line names, starts the log, and listens to signals.
    ///
    /// # Errors
    ///
    /// Fails when the settings are not valid.
    pub fn open(matches: &ArgMatches) -> anyhow::Result<Self> {
        let path = matches.get_one::<PathBuf>("settings").context("no settings file is given")?;
        let settings = Node::read(path)?;
        let text = super::read(path)?;
        let log = Logging::start(&settings.node, &settings.log)?;
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        log::info!("{} starts in {}", settings.node, settings.domain);
        Ok(Self { settings, path: path.clone(), text, log, signals })
    }

    /// Has the log lines that are left out counted.
    pub fn count_into(&self, metrics: &Metrics) {
        self.log.count_into(metrics);
    }

    /// Waits until the process is asked to end; `reload` gets the settings whenever they changed.
    ///
    /// # Errors
    ///
    /// Fails when signals can't be received any more.
    pub async fn asked_to_end(&mut self, reload: impl Fn(Node)) -> anyhow::Result<()> {
        let clock = Clock::system();
        loop {
            let signal = clock.timeout(RELOAD, self.signals.next()).await.flatten();
            match signal.transpose()? {
                Some(Signal::Term | Signal::Int) => {
                    log::info!("the process is asked to end");
                    return Ok(());
                }
                Some(_) | None => {
                    if let Some(settings) = self.changed() {
                        reload(settings);
                    }
                }
            }
        }
    }

    /// Ends at once, or waits for a second signal to do so before `drained` is over.
    ///
    /// # Errors
    ///
    /// Fails when signals can't be received any more.
    pub async fn end(&mut self, drained: impl Future<Output = ()>) -> anyhow::Result<Exit> {
        let drained = async {
            drained.await;
            Ok(Exit::Success)
        };
        let again = async {
            while self.signals.next().await.transpose()? == Some(Signal::Hup) {}
            log::warn!("a second signal ends the process at once");
            Ok(Exit::Success)
        };
        let exit = smol::future::or(drained, again).await;
        log::info!("{} stops", self.settings.node);
        exit
    }

    /// Returns the settings when the file has changed and is valid.
    fn changed(&mut self) -> Option<Node> {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!("{} can't be read again: {error}", self.path.display());
                return None;
            }
        };
        if text == self.text {
            return None;
        }
        let parsed = Node::parse(&self.path.display().to_string(), &text);
        self.text = text;
        match parsed {
            Ok(settings) => {
                log::info!("the settings are read again");
                Some(settings)
            }
            Err(error) => {
                log::error!("the changed settings are not valid, the old ones stay: {error}");
                None
            }
        }
    }
}
