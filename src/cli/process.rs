//! The commands that run a process or check its files.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use async_signal::{Signal, Signals};
use clap::ArgMatches;
use smol::stream::StreamExt;

use super::logging::LogGuard;
use super::{Exit, read};
use crate::clock::Clock;
use crate::config::{Fleet, Settings};
use crate::security::Credentials;
use crate::{control, proxy};

/// Time that a proxy waits at shutdown for requests and transactions in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// `cactushatch proxy`.
pub(super) fn proxy(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let settings = settings(matches)?;
    let log = LogGuard::start(&settings.node, &settings.log)?;
    // `smol::future::block_on` doesn't drive the sockets on this thread: the executor's own thread does.
    smol::future::block_on(async {
        let mut signals = signals()?;
        let server = proxy::spawn(Clock::system(), &settings).await?;
        log.set_metrics(server.metrics());
        log::info!("proxy {} is serving callers at revision {}", settings.node, server.revision());
        wait_for_signal(&mut signals).await?;
        let second_signal = async {
            wait_for_signal(&mut signals).await?;
            log::warn!("second signal received; exiting before draining has completed");
            Ok(Exit::Success)
        };
        let drained = async {
            server.drain(DRAIN_TIMEOUT).await;
            Ok(Exit::Success)
        };
        smol::future::or(drained, second_signal).await
    })
}

/// `cactushatch control`.
pub(super) fn control(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let settings = settings(matches)?;
    let log = LogGuard::start(&settings.node, &settings.log)?;
    smol::block_on(async {
        let mut signals = signals()?;
        let server = control::spawn(Clock::system(), &settings).await?;
        log.set_metrics(server.metrics());
        log::info!("control process {} started", settings.node);
        wait_for_signal(&mut signals).await?;
        Ok(Exit::Success)
    })
}

fn signals() -> anyhow::Result<Signals> {
    Ok(Signals::new([Signal::Term, Signal::Int])?)
}

/// Waits for a signal to shut down.
async fn wait_for_signal(signals: &mut Signals) -> anyhow::Result<()> {
    let signal = signals.next().await.transpose()?;
    log::info!("received {signal:?}, shutting down");
    Ok(())
}

fn settings(matches: &ArgMatches) -> anyhow::Result<Settings> {
    let path = matches.get_one::<PathBuf>("settings").context("missing settings file")?;
    Ok(Settings::read(path)?)
}

/// `cactushatch check`.
pub(super) fn check(matches: &ArgMatches) -> anyhow::Result<Exit> {
    if let Some(path) = matches.get_one::<PathBuf>("settings") {
        let settings = Settings::read(path)?;
        Credentials::open(&settings.security)?;
        println!("{}: settings of {} in {}", path.display(), settings.node, settings.domain);
        for warning in settings.warnings() {
            eprintln!("[cactushatch warning]: {}: {warning}", path.display());
        }
    }
    if let Some(path) = matches.get_one::<PathBuf>("declarations") {
        let fleet = Fleet::parse(&path.display().to_string(), &read(path)?)?;
        println!("{}: {} groups, {} classes", path.display(), fleet.group.len(), fleet.class.len());
        if fleet.require_account {
            println!("{}: callers need a key; {} accounts", path.display(), fleet.account.len());
        }
    }
    Ok(Exit::Success)
}
