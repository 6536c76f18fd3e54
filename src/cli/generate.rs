//! Shell completions and man pages, generated from the definition of the command line.

use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;

use super::{Exit, command};

/// `cactushatch completions SHELL`.
pub(super) fn completions(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let shell = *matches.get_one::<clap_complete::Shell>("shell").context("missing shell")?;
    clap_complete::generate(shell, &mut command(), "cactushatch", &mut std::io::stdout());
    Ok(Exit::Success)
}

/// `cactushatch man`.
pub(super) fn man(matches: &ArgMatches) -> anyhow::Result<Exit> {
    match matches.get_one::<PathBuf>("dir") {
        Some(dir) => {
            std::fs::create_dir_all(dir)?;
            clap_mangen::generate_to(command(), dir)?;
        }
        None => clap_mangen::Man::new(command()).render(&mut std::io::stdout())?,
    }
    Ok(Exit::Success)
}
