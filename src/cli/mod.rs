//! The command line: what it looks like, and what each command does.

mod command;
mod exit;
mod online;

use std::path::{Path, PathBuf};

use anyhow::Context;
use clap::ArgMatches;

use crate::clock::Clock;
use crate::config::{Fleet, Node};
use crate::{control, proxy};

pub use command::command;
pub use exit::Exit;

/// Reads the command line and runs its command.
///
/// # Errors
///
/// Fails when the command does; the error is printed once, by `main`.
pub fn run() -> anyhow::Result<Exit> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("proxy", matches)) => run_proxy(matches),
        Some(("control", matches)) => run_control(matches),
        Some(("check", matches)) => check(matches),
        Some(("plan", matches)) => online::plan(matches),
        Some(("confirm", matches)) => online::confirm(matches),
        Some(("status", matches)) => online::status(matches),
        _ => anyhow::bail!("there is no such command"),
    }
}

fn run_proxy(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let settings = settings(matches)?;
    start_log()?;
    smol::block_on(async {
        let server = proxy::spawn(Clock::system(), &settings).await?;
        log::info!("proxy {} serves callers, revision {}", settings.node, server.revision());
        std::future::pending::<()>().await;
        Ok(Exit::Success)
    })
}

fn run_control(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let settings = settings(matches)?;
    start_log()?;
    smol::block_on(async {
        let _server = control::spawn(Clock::system(), &settings).await?;
        log::info!("control {} takes part", settings.node);
        std::future::pending::<()>().await;
        Ok(Exit::Success)
    })
}

fn settings(matches: &ArgMatches) -> anyhow::Result<Node> {
    let path = matches.get_one::<PathBuf>("settings").context("no settings file is given")?;
    Ok(Node::read(path)?)
}

fn start_log() -> anyhow::Result<()> {
    flexi_logger::Logger::try_with_env_or_str("info")?.start()?;
    Ok(())
}

fn check(matches: &ArgMatches) -> anyhow::Result<Exit> {
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

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("{} can't be read", path.display()))
}
