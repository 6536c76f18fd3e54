//! The commands that run a process, and the one that checks its files.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use async_signal::{Signal, Signals};
use clap::ArgMatches;
use smol::stream::StreamExt;

use super::logging::Logging;
use super::{Exit, read};
use crate::clock::Clock;
use crate::config::{Fleet, Node};
use crate::security::Credentials;
use crate::{control, proxy};

/// How long a proxy that ends waits for the requests and transactions in flight.
const DRAIN: Duration = Duration::from_secs(30);

/// `cactushatch proxy`.
pub(super) fn proxy(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let settings = settings(matches)?;
    let log = Logging::start(&settings.node, &settings.log)?;
    // This thread only waits: driving the sockets is left to the executor's own thread.
    smol::future::block_on(async {
        let mut signals = signals()?;
        let server = proxy::spawn(Clock::system(), &settings).await?;
        log.count_into(server.metrics());
        log::info!("proxy {} serves callers, revision {}", settings.node, server.revision());
        ended(&mut signals).await?;
        let again = async {
            ended(&mut signals).await?;
            log::warn!("a second signal ends the process at once");
            Ok(Exit::Success)
        };
        let drained = async {
            server.drain(DRAIN).await;
            Ok(Exit::Success)
        };
        smol::future::or(drained, again).await
    })
}

/// `cactushatch control`.
pub(super) fn control(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let settings = settings(matches)?;
    let log = Logging::start(&settings.node, &settings.log)?;
    smol::block_on(async {
        let mut signals = signals()?;
        let server = control::spawn(Clock::system(), &settings).await?;
        log.count_into(server.metrics());
        log::info!("control {} takes part", settings.node);
        ended(&mut signals).await?;
        Ok(Exit::Success)
    })
}

fn signals() -> anyhow::Result<Signals> {
    Ok(Signals::new([Signal::Term, Signal::Int])?)
}

/// Waits for a signal that asks the process to end.
async fn ended(signals: &mut Signals) -> anyhow::Result<()> {
    let signal = signals.next().await.transpose()?;
    log::info!("the process ends by {signal:?}");
    Ok(())
}

fn settings(matches: &ArgMatches) -> anyhow::Result<Node> {
    let path = matches.get_one::<PathBuf>("settings").context("no settings file is given")?;
    Ok(Node::read(path)?)
}

/// `cactushatch check`.
pub(super) fn check(matches: &ArgMatches) -> anyhow::Result<Exit> {
    if let Some(path) = matches.get_one::<PathBuf>("settings") {
        let settings = Node::read(path)?;
        Credentials::open(&settings.security)?;
        println!("{}: settings of {} in {}", path.display(), settings.node, settings.domain);
        for warning in settings.warnings() {
            eprintln!("[cactushatch warning]: {}: {warning}", path.display());
        }
    }
    if let Some(path) = matches.get_one::<PathBuf>("declarations") {
        let fleet = Fleet::parse(&path.display().to_string(), &read(path)?)?;
        println!("{}: {} groups, {} classes", path.display(), fleet.group.len(), fleet.class.len());
    }
    Ok(Exit::Success)
}
