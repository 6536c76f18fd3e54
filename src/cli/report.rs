//! `cactushatch report`: collects the burn snapshots of the proxies and shows how much of the error budgets was
//! spent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;

use super::{Exit, client};
use crate::proxy::BurnSnapshot;
use crate::report::burn::{self, Minute, Report};

/// `cactushatch report`.
pub(super) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let report = collect(matches)?;
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        write(path, &burn::svg(&report)?)?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("html") {
        write(path, &burn::html(&report)?)?;
    }
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", burn::text(&report));
    }
    Ok(Exit::Success)
}

fn collect(matches: &ArgMatches) -> anyhow::Result<Report> {
    let http = client::from_arguments(matches)?;
    let mut snapshots: Vec<BurnSnapshot> = Vec::new();
    let mut missing = Vec::new();
    let mut last_error = None;
    for address in matches.get_many::<SocketAddr>("proxy").unwrap_or_default() {
        match client::get_from(&http, *address, "/burn") {
            Ok(snapshot) => snapshots.push(snapshot),
            Err(error) => {
                missing.push(address.to_string());
                last_error = Some(error);
            }
        }
    }
    match last_error {
        Some(error) if snapshots.is_empty() => return Err(error),
        _ => {}
    }
    let now = snapshots.iter().map(|snapshot| snapshot.now).max().unwrap_or(Minute::default());
    let mut objectives = BTreeMap::new();
    for snapshot in &snapshots {
        objectives.extend(snapshot.objectives.clone());
    }
    let buckets: Vec<_> = snapshots.into_iter().map(|snapshot| snapshot.buckets).collect();
    Ok(Report::aggregate(now, &objectives, &buckets, missing))
}

fn write(path: &PathBuf, content: &str) -> anyhow::Result<()> {
    std::fs::write(path, content).with_context(|| format!("can't write {}", path.display()))
}
