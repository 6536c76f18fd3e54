//! The commands that run a process, and the one that checks its files.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use async_signal::{Signal, Signals};
use clap::ArgMatches;
use smol::stream::StreamExt;

use super::{Exit, read};
use crate::clock::Clock;
use crate::config::{Fleet, Node};
use crate::{control, proxy};

/// How long callers may take to end what they have begun once the process is asked to end.
const SHUTDOWN: Duration = Duration::from_secs(10);

/// `cactushatch proxy`.
pub(super) fn proxy(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let settings = settings(matches)?;
    start_log()?;
    // This thread only waits: driving the sockets is left to the executor's own thread.
    smol::future::block_on(async {
        let server = proxy::spawn(Clock::system(), &settings).await?;
        log::info!("proxy {} serves callers, revision {}", settings.node, server.revision());
        ended().await?;
        server.drain(SHUTDOWN).await;
        Ok(Exit::Success)
    })
}

/// `cactushatch control`.
pub(super) fn control(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let settings = settings(matches)?;
    start_log()?;
    smol::block_on(async {
        let _server = control::spawn(Clock::system(), &settings).await?;
        log::info!("control {} takes part", settings.node);
        ended().await?;
        Ok(Exit::Success)
    })
}

/// Waits for a signal that asks the process to end.
async fn ended() -> anyhow::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let signal = signals.next().await.transpose()?;
    log::info!("the process ends by {signal:?}");
    Ok(())
}

fn settings(matches: &ArgMatches) -> anyhow::Result<Node> {
    let path = matches.get_one::<PathBuf>("settings").context("no settings file is given")?;
    Ok(Node::read(path)?)
}

fn start_log() -> anyhow::Result<()> {
    flexi_logger::Logger::try_with_env_or_str("info")?.start()?;
    Ok(())
}

/// `cactushatch check`.
pub(super) fn check(matches: &ArgMatches) -> anyhow::Result<Exit> {
    if let Some(path) = matches.get_one::<PathBuf>("settings") {
        let settings = Node::read(path)?;
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
