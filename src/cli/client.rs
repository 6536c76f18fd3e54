//! Sends requests to the control processes, one after another until one answers.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::exit::Error;
use crate::admin::{self, Client};
use crate::config::Secret;

/// HTTP status returned by a voter that is not the leader.
const NOT_LEADER: u16 = 421;
/// HTTP statuses of a request that was refused without effect.
const REFUSED: std::ops::Range<u16> = 400..500;

/// Returns the admin addresses given on the command line.
pub(super) fn addresses(matches: &ArgMatches) -> Vec<SocketAddr> {
    matches.get_many::<SocketAddr>("admin").unwrap_or_default().copied().collect()
}

/// Returns an HTTP client with the operator's token, if one is given.
pub(super) fn from_arguments(matches: &ArgMatches) -> anyhow::Result<Client> {
    let Some(path) = matches.get_one::<PathBuf>("token") else {
        return Ok(Client::default());
    };
    let secret = Secret::open(path.clone());
    let token = secret.and_then(|secret| secret.read());
    let token = token.with_context(|| format!("token file {}", path.display()))?;
    Ok(Client::with_token(token.trim()))
}

/// Sends a GET request to the first process that answers.
pub(super) fn get<T: DeserializeOwned>(matches: &ArgMatches, path: &str) -> anyhow::Result<T> {
    let client = from_arguments(matches)?;
    let mut last_error = String::new();
    for address in addresses(matches) {
        match smol::block_on(client.get(address, path)) {
            Ok(body) => return Ok(serde_json::from_slice(&body)?),
            Err(admin::Error::Refused { status, message })
                if REFUSED.contains(&status) && status != NOT_LEADER =>
            {
                return Err(Error::Refused(message).into());
            }
            Err(error) => last_error = format!("{address}: {error}"),
        }
    }
    Err(Error::Unreachable(last_error).into())
}

/// Sends a GET request to the process at `address`.
pub(super) fn get_from<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> anyhow::Result<T> {
    match smol::block_on(client.get(address, path)) {
        Ok(body) => Ok(serde_json::from_slice(&body)?),
        Err(admin::Error::Refused { message, .. }) => Err(Error::Refused(message).into()),
        Err(error) => Err(Error::Unreachable(format!("{address}: {error}")).into()),
    }
}

/// Sends a command. If the answer of a process is lost, the command is sent to the next one: its id prevents a second
/// execution.
pub(super) fn post<T: DeserializeOwned>(
    matches: &ArgMatches,
    path: &str,
    command: &str,
    body: &impl Serialize,
) -> anyhow::Result<T> {
    let client = from_arguments(matches)?;
    let mut unreachable = String::new();
    let mut lost_answer = None;
    for address in addresses(matches) {
        match smol::block_on(client.post(address, path, body)) {
            Ok(answer) => return Ok(answer),
            Err(admin::Error::Connect(error)) => unreachable = format!("{address}: {error}"),
            Err(admin::Error::Refused { status: NOT_LEADER, message }) => {
                unreachable = format!("{address}: {message}");
            }
            Err(admin::Error::Refused { status, message }) if REFUSED.contains(&status) => {
                return Err(Error::Refused(message).into());
            }
            Err(error) => lost_answer = Some(format!("{address}: {error}")),
        }
    }
    match lost_answer {
        Some(reason) => Err(Error::Unknown { reason, command: command.to_owned() }.into()),
        None => Err(Error::Unreachable(unreachable).into()),
    }
}
