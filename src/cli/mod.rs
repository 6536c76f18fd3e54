//! The command line: what it looks like, and what each command does.

mod ask;
mod command;
mod exit;
mod explain;
mod generate;
mod host;
mod logging;
mod online;
mod paint;
mod process;
mod report;
mod secret;

use std::path::Path;

use anyhow::Context;

pub use command::command;
pub use exit::{EXITS, Exit, describe};
pub use host::Host;

/// A command that is not the library's own, such as the adapter to an outside platform.
#[derive(Debug, Clone)]
pub struct Extension {
    /// How it looks.
    pub command: clap::Command,
    /// What it does.
    pub run: fn(&clap::ArgMatches) -> anyhow::Result<Exit>,
}

/// Reads the command line and runs its command, one of `extensions` or the library's own.
///
/// # Errors
///
/// Fails when the command does; the error is printed once, by `main`, and [`Exit::of`] gives its exit code.
pub fn run(extensions: &[Extension]) -> anyhow::Result<Exit> {
    let commands = extensions.iter().map(|extension| extension.command.clone());
    let matches = command().subcommands(commands).get_matches();
    if let Some((name, matches)) = matches.subcommand()
        && let Some(known) = extensions.iter().find(|known| known.command.get_name() == name)
    {
        return (known.run)(matches);
    }
    match matches.subcommand() {
        Some(("proxy", matches)) => process::proxy(matches),
        Some(("control", matches)) => process::control(matches),
        Some(("check", matches)) => process::check(matches),
        Some(("plan", matches)) => online::plan(matches),
        Some(("confirm", matches)) => online::confirm(matches),
        Some(("status", matches)) => online::status(matches),
        Some(("drain", matches)) => online::drain(matches),
        Some(("undrain", matches)) => online::undrain(matches),
        Some(("peak", matches)) => online::peak(matches),
        Some(("member", matches)) => online::member(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("report", matches)) => report::run(matches),
        Some(("secret", matches)) => secret::run(matches),
        Some(("completions", matches)) => generate::completions(matches),
        Some(("man", matches)) => generate::man(matches),
        _ => anyhow::bail!("there is no such command"),
    }
}

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("{} can't be read", path.display()))
}
