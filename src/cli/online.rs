//! The commands that talk to a running control process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Context;
use clap::ArgMatches;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Exit, read};
use crate::admin;
use crate::config::Fleet;
use crate::control::operator::{Confirm, Plan, Status};
use crate::control::state::{Intent, Origin, Outcome};
use crate::wire::Role;

/// `cactushatch plan DECLARATIONS`.
pub(super) fn plan(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let path = matches.get_one::<PathBuf>("declarations").context("no declarations are given")?;
    let text = read(Path::new(path))?;
    Fleet::parse(&path.display().to_string(), &text)?;
    let origin = origin(matches)?;
    let plan = format!("plan-{}", origin.command).parse()?;
    let body = Plan { origin, plan, base: None, intent: Intent::Configure { text } };
    outcome(matches, "/plan", &body)
}

/// `cactushatch confirm PLAN`.
pub(super) fn confirm(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let plan = matches.get_one::<String>("plan").context("no plan is given")?;
    let body = Confirm { origin: origin(matches)?, plan: plan.parse()? };
    outcome(matches, "/confirm", &body)
}

/// `cactushatch status`.
pub(super) fn status(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let status: Status = try_each(matches, |address| {
        let body = smol::block_on(admin::get(address, "/status"))?;
        Ok(serde_json::from_slice(&body)?)
    })?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&status)?);
        return Ok(Exit::Success);
    }
    println!("revision {} at {}.{}", status.revision, status.stamp.term, status.stamp.index);
    for group in &status.groups {
        let frozen = if group.frozen { ", writes stopped" } else { "" };
        println!("group {}: term {}, primary {}{frozen}", group.group, group.term, group.primary);
    }
    for instance in &status.instances {
        let role = if instance.role == Role::Primary { "primary" } else { "replica" };
        let leaving = if instance.draining { ", draining" } else { "" };
        println!(
            "instance {}: {role} of {} in {} at {}{leaving}",
            instance.instance, instance.group, instance.domain, instance.address
        );
    }
    for proxy in &status.proxies {
        println!("proxy {proxy}");
    }
    Ok(Exit::Success)
}

fn origin(matches: &ArgMatches) -> anyhow::Result<Origin> {
    let operator = matches.get_one::<String>("operator").context("no operator is given")?;
    let command = match matches.get_one::<String>("command") {
        Some(command) => command.clone(),
        None => format!("{:016x}", fastrand::u64(..)),
    };
    Ok(Origin { command: command.parse()?, operator: operator.parse()? })
}

fn outcome(matches: &ArgMatches, path: &str, body: &impl Serialize) -> anyhow::Result<Exit> {
    let outcome: Outcome = try_each(matches, |address| post(address, path, body))?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&outcome)?);
    }
    match outcome {
        Outcome::Done { revision } => {
            if !matches.get_flag("json") {
                println!("done, revision {revision} is in force");
            }
            Ok(Exit::Success)
        }
        Outcome::Planned { plan, base, .. } => {
            if !matches.get_flag("json") {
                println!(
                    "{plan} stands on revision {base}; nothing happens until: cactushatch confirm {plan}"
                );
            }
            Ok(Exit::Success)
        }
        Outcome::Refused { reason } => {
            eprintln!("[cactushatch error]: {reason}");
            Ok(Exit::Refused)
        }
    }
}

fn post<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> anyhow::Result<T> {
    Ok(smol::block_on(admin::post(address, path, body))?)
}

/// Asks each control process in turn until one answers.
fn try_each<T>(
    matches: &ArgMatches,
    ask: impl Fn(SocketAddr) -> anyhow::Result<T>,
) -> anyhow::Result<T> {
    let mut last = anyhow::anyhow!("no control process is given");
    for text in matches.get_many::<String>("admin").unwrap_or_default() {
        let address = text.parse().with_context(|| format!("{text} is no address"))?;
        match ask(address) {
            Ok(answer) => return Ok(answer),
            Err(error) => last = error.context(format!("control at {address}")),
        }
    }
    Err(last)
}
