//! `cactushatch secret`: generates the lines of secret files.

use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;
use postgres_protocol::password::scram_sha_256;

use super::Exit;
use crate::config::KeyDigest;
use crate::{id, security};

/// Length of a key and of a token, in bytes.
const SECRET_BYTES: usize = 32;

/// `cactushatch secret key|user|operator|account`.
pub(super) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    match matches.subcommand() {
        Some(("key", matches)) => key(matches),
        Some(("user", matches)) => user(matches),
        Some(("operator", matches)) => operator(matches),
        Some(("account", _)) => account(),
        _ => anyhow::bail!("unknown command"),
    }
}

fn key(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let number = matches.get_one::<u8>("number").context("missing key number")?;
    println!("{number} {}", security::random_hex::<SECRET_BYTES>());
    Ok(Exit::Success)
}

fn user(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let name = matches.get_one::<String>("name").context("missing user name")?;
    let mut password = String::new();
    std::io::stdin().read_to_string(&mut password)?;
    let password = password.trim_end_matches(['\r', '\n']);
    anyhow::ensure!(!password.is_empty(), "standard input contains no password");
    anyhow::ensure!(
        !name.contains(char::is_whitespace),
        "a user name must not contain white space"
    );
    println!("{name} {}", scram_sha_256(password.as_bytes()));
    Ok(Exit::Success)
}

/// Prints the digest of an account's key. The key is read from standard input, so that it doesn't show in the list of
/// processes.
fn account() -> anyhow::Result<Exit> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key)?;
    let key = key.trim_end_matches(['\r', '\n']);
    anyhow::ensure!(!key.is_empty(), "standard input contains no key");
    anyhow::ensure!(!key.contains(['\r', '\n']), "a key is one line");
    println!("{}", KeyDigest::of(key));
    Ok(Exit::Success)
}

fn operator(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let name = matches.get_one::<id::Operator>("name").context("missing operator name")?;
    let path = matches.get_one::<PathBuf>("token").context("missing token file")?;
    let token = security::random_hex::<SECRET_BYTES>();
    let file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(path);
    let mut file = file.with_context(|| format!("can't create {}", path.display()))?;
    writeln!(file, "{token}")?;
    println!("{name} {}", security::token_digest(&token));
    Ok(Exit::Success)
}
