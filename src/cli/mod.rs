//! The command line: what it looks like, and what each command does.

mod ask;
mod command;
mod exit;
mod generate;
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

/// Reads the command line and runs its command.
///
/// # Errors
///
/// Fails when the command does; the error is printed once, by `main`, and [`Exit::of`] gives its exit code.
pub fn run() -> anyhow::Result<Exit> {
    let matches = command().get_matches();
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
