//! Asks the control processes one after another until one answers.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::exit::Stop;
use crate::admin::{self, Client};
use crate::config::Secret;

/// The HTTP status of a voter that doesn't lead.
const MISDIRECTED: u16 = 421;
/// The HTTP statuses of a request that was refused and changed nothing.
const REFUSED: std::ops::Range<u16> = 400..500;

/// Returns the processes that the command line names.
pub(super) fn addresses(matches: &ArgMatches) -> Vec<SocketAddr> {
    matches.get_many::<SocketAddr>("admin").unwrap_or_default().copied().collect()
}

/// Returns the client with the operator's token, when one is given.
pub(super) fn client(matches: &ArgMatches) -> anyhow::Result<Client> {
    let Some(path) = matches.get_one::<PathBuf>("token") else {
        return Ok(Client::default());
    };
    let secret = Secret::open(path.clone());
    let token = secret.and_then(|secret| secret.read());
    let token = token.with_context(|| format!("the token file {}", path.display()))?;
    Ok(Client::with_token(token.trim()))
}

/// Asks for `path`.
pub(super) fn get<T: DeserializeOwned>(matches: &ArgMatches, path: &str) -> anyhow::Result<T> {
    let client = client(matches)?;
    let mut last = String::new();
    for address in addresses(matches) {
        match smol::block_on(client.get(address, path)) {
            Ok(body) => return Ok(serde_json::from_slice(&body)?),
            Err(admin::Error::Refused { status, message })
                if REFUSED.contains(&status) && status != MISDIRECTED =>
            {
                return Err(Stop::Refused(message).into());
            }
            Err(error) => last = format!("{address}: {error}"),
        }
    }
    Err(Stop::Unreachable(last).into())
}

/// Asks one process for `path`.
pub(super) fn one<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> anyhow::Result<T> {
    match smol::block_on(client.get(address, path)) {
        Ok(body) => Ok(serde_json::from_slice(&body)?),
        Err(admin::Error::Refused { message, .. }) => Err(Stop::Refused(message).into()),
        Err(error) => Err(Stop::Unreachable(format!("{address}: {error}")).into()),
    }
}

/// Sends an order; since a command has an id, another process may be asked when an answer is lost.
pub(super) fn post<T: DeserializeOwned>(
    matches: &ArgMatches,
    path: &str,
    command: &str,
    body: &impl Serialize,
) -> anyhow::Result<T> {
    let client = client(matches)?;
    let mut unreachable = String::new();
    let mut lost = None;
    for address in addresses(matches) {
        match smol::block_on(client.post(address, path, body)) {
            Ok(answer) => return Ok(answer),
            Err(admin::Error::Connect(error)) => unreachable = format!("{address}: {error}"),
            Err(admin::Error::Refused { status: MISDIRECTED, message }) => {
                unreachable = format!("{address}: {message}");
            }
            Err(admin::Error::Refused { status, message }) if REFUSED.contains(&status) => {
                return Err(Stop::Refused(message).into());
            }
            Err(error) => lost = Some(format!("{address}: {error}")),
        }
    }
    match lost {
        Some(reason) => Err(Stop::Unknown { reason, command: command.to_owned() }.into()),
        None => Err(Stop::Unreachable(unreachable).into()),
    }
}
