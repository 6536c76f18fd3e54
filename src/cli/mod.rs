//! The command line and its commands.

mod client;
mod color;
mod command;
mod daemon;
mod exit;
mod explain;
mod generate;
mod logging;
mod operator;
mod process;
mod report;
mod secret;

use std::path::Path;

use anyhow::Context;

pub use command::command;
pub use daemon::Daemon;
pub use exit::{EXITS, Exit, format_error};

/// A command defined outside of this library, such as the adapter to an external platform.
#[derive(Debug, Clone)]
pub struct Extension {
    /// Definition of the command for clap.
    pub command: clap::Command,
    /// Runs the command.
    pub run: fn(&clap::ArgMatches) -> anyhow::Result<Exit>,
}

/// Parses the command line and runs the command, which may be one of `extensions`.
///
/// # Errors
///
/// Fails if the command fails. `main` prints the error, and [`Exit::from_error`] returns its exit status.
pub fn run(extensions: &[Extension]) -> anyhow::Result<Exit> {
    let commands = extensions.iter().map(|extension| extension.command.clone());
    let matches = command().subcommands(commands).get_matches();
    if let Some((name, matches)) = matches.subcommand()
        && let Some(extension) =
            extensions.iter().find(|extension| extension.command.get_name() == name)
    {
        return (extension.run)(matches);
    }
    match matches.subcommand() {
        Some(("proxy", matches)) => process::proxy(matches),
        Some(("control", matches)) => process::control(matches),
        Some(("check", matches)) => process::check(matches),
        Some(("plan", matches)) => operator::plan(matches),
        Some(("confirm", matches)) => operator::confirm(matches),
        Some(("status", matches)) => operator::status(matches),
        Some(("drain", matches)) => operator::drain(matches),
        Some(("undrain", matches)) => operator::undrain(matches),
        Some(("peak", matches)) => operator::peak(matches),
        Some(("member", matches)) => operator::member(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("report", matches)) => report::run(matches),
        Some(("secret", matches)) => secret::run(matches),
        Some(("completions", matches)) => generate::completions(matches),
        Some(("man", matches)) => generate::man(matches),
        _ => anyhow::bail!("unknown command"),
    }
}

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("can't read {}", path.display()))
}
