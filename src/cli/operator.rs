//! The commands that query or change a running system through the control plane.

use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use clap::ArgMatches;
use sha2::{Digest, Sha256};

use super::color::Colors;
use super::exit::Error;
use super::{Exit, client, read};
use crate::config::{Fleet, Span, TimeOfDay};
use crate::control::operator::{Confirm, Plan, Status};
use crate::control::state::{Intent, Membership, Origin, Outcome, Voter};
use crate::id;
use crate::wire::Role;

/// Length of the digest in a plan's id, in bytes.
const DIGEST_BYTES: usize = 4;

const DAY_MS: u64 = 24 * 60 * 60 * 1000;

/// `cactushatch plan DECLARATIONS`.
pub(super) fn plan(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let path = required::<PathBuf>(matches, "declarations")?;
    let text = read(Path::new(path))?;
    Fleet::parse(&path.display().to_string(), &text)?;
    let arguments = text.clone();
    plan_or_confirm(matches, Intent::Configure { text }, &arguments)
}

/// `cactushatch confirm PLAN`.
pub(super) fn confirm(matches: &ArgMatches) -> anyhow::Result<Exit> {
    confirm_plan(matches, required::<id::Plan>(matches, "plan")?)
}

/// `cactushatch drain INSTANCE`.
pub(super) fn drain(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let instance = required::<id::Instance>(matches, "instance")?.clone();
    let arguments = format!("drain {instance}");
    plan_or_confirm(matches, Intent::Drain { instance }, &arguments)
}

/// `cactushatch undrain INSTANCE`.
pub(super) fn undrain(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let instance = required::<id::Instance>(matches, "instance")?.clone();
    let arguments = format!("undrain {instance}");
    plan_or_confirm(matches, Intent::Undrain { instance }, &arguments)
}

/// `cactushatch peak GROUP --at TIME --lasts SPAN`.
pub(super) fn peak(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let group = required::<id::Group>(matches, "group")?.clone();
    let at = required::<String>(matches, "at")?;
    let at_ms = parse_time(at, unix_time_ms())?;
    let lasts = required::<Span>(matches, "lasts")?;
    let lasts_ms = lasts.0.as_millis() as u64;
    let arguments = format!("peak {group} {at} {lasts}");
    plan_or_confirm(matches, Intent::Peak { group, at_ms, lasts_ms }, &arguments)
}

/// `cactushatch member list|add|remove|replace`.
pub(super) fn member(matches: &ArgMatches) -> anyhow::Result<Exit> {
    match matches.subcommand() {
        Some(("list", matches)) => list_members(matches),
        Some(("add" | "replace", matches)) => {
            let voter = Voter {
                node: required::<id::Node>(matches, "node")?.clone(),
                // The leader gets the incarnation of the disk from the process itself.
                incarnation: id::Incarnation(0),
                address: *required(matches, "address")?,
                domain: required::<id::Domain>(matches, "domain")?.clone(),
            };
            let arguments = format!("learn {} {} {}", voter.node, voter.address, voter.domain);
            plan_or_confirm(matches, Intent::Member(Membership::Learn(voter)), &arguments)
        }
        Some(("remove", matches)) => {
            let node = required::<id::Node>(matches, "node")?.clone();
            let arguments = format!("remove {node}");
            plan_or_confirm(matches, Intent::Member(Membership::Remove(node)), &arguments)
        }
        _ => anyhow::bail!("unknown command"),
    }
}

fn list_members(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let status: Status = client::get(matches, "/status")?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&status.voters)?);
        return Ok(Exit::Success);
    }
    print_voters(&status, Colors::stdout());
    Ok(Exit::Success)
}

/// `cactushatch status`.
pub(super) fn status(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let answer: serde_json::Value = client::get(matches, "/status")?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&answer)?);
        return Ok(Exit::Success);
    }
    print_status(&serde_json::from_value(answer)?);
    Ok(Exit::Success)
}

fn print_status(status: &Status) {
    let colors = Colors::stdout();
    println!("revision {} at {}.{}", status.revision, status.stamp.term, status.stamp.index);
    if let Some(accounts) = status.accounts {
        println!("callers need a key of one of {accounts} accounts");
    }
    for group in &status.groups {
        let stopped = colors.alert(", writes stopped");
        let frozen = if group.frozen { stopped.as_str() } else { "" };
        let name = colors.bold(&group.group);
        println!("group {name}: term {}, primary {}{frozen}", group.term, group.primary);
    }
    for instance in &status.instances {
        let role = if instance.role == Role::Primary { "primary" } else { "replica" };
        let draining = if instance.draining { ", draining" } else { "" };
        println!(
            "instance {}: {role} of {} in {} at {}{draining}",
            colors.bold(&instance.instance),
            instance.group,
            instance.domain,
            instance.address
        );
    }
    print_voters(status, colors);
    for proxy in &status.proxies {
        println!("proxy {}", colors.bold(proxy));
    }
}

fn print_voters(status: &Status, colors: Colors) {
    for voter in &status.voters {
        let part = format!("{:?}", voter.part).to_lowercase();
        let outdated = colors.alert(", not current");
        let outdated = if voter.current { "" } else { outdated.as_str() };
        println!("control {}: {part} in {}{outdated}", colors.bold(&voter.node), voter.domain);
    }
    for change in &status.wanted {
        println!("wanted: {change:?}");
    }
}

/// Makes a plan for the intent, or confirms the given plan. The id of a plan ends in a digest of the command and its
/// arguments, so that the plan of another command is not confirmed by mistake.
fn plan_or_confirm(matches: &ArgMatches, intent: Intent, arguments: &str) -> anyhow::Result<Exit> {
    let digest = digest(arguments);
    if let Some(plan) = matches.get_one::<id::Plan>("confirm") {
        if !plan.as_str().ends_with(&format!("-{digest}")) {
            let reason = format!("{plan} was made by another command or with other arguments");
            return Err(Error::Usage(reason).into());
        }
        return confirm_plan(matches, plan);
    }
    let origin = origin(matches)?;
    let command = origin.command.to_string();
    let plan = format!("plan-{command}-{digest}").parse()?;
    let body = Plan { origin, plan, base: None, intent };
    print_outcome(matches, &client::post(matches, "/plan", &command, &body)?)
}

fn digest(arguments: &str) -> String {
    let digest = Sha256::digest(arguments);
    digest[..DIGEST_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
}

fn confirm_plan(matches: &ArgMatches, plan: &id::Plan) -> anyhow::Result<Exit> {
    let origin = origin(matches)?;
    let command = origin.command.to_string();
    let body = Confirm { origin, plan: plan.clone() };
    print_outcome(matches, &client::post(matches, "/confirm", &command, &body)?)
}

fn origin(matches: &ArgMatches) -> anyhow::Result<Origin> {
    let operator = required::<id::Operator>(matches, "operator")?.clone();
    let command = match matches.get_one::<id::Command>("command") {
        Some(command) => command.clone(),
        None => format!("{:016x}", fastrand::u64(..)).parse()?,
    };
    Ok(Origin { command, operator })
}

fn print_outcome(matches: &ArgMatches, outcome: &Outcome) -> anyhow::Result<Exit> {
    let json = matches.get_flag("json");
    if json {
        println!("{}", serde_json::to_string_pretty(outcome)?);
    }
    match outcome {
        Outcome::Refused { reason } => return Err(Error::Refused(reason.clone()).into()),
        Outcome::Done { revision } if !json => println!("done, revision {revision} is in force"),
        Outcome::Planned { plan, base, effects, .. } if !json => {
            println!("{} stands on revision {base}; it would:", Colors::stdout().bold(plan));
            for effect in effects {
                println!("    {effect}");
            }
            println!("nothing happens until: cactushatch confirm {plan}");
        }
        _ => {}
    }
    Ok(Exit::Success)
}

fn required<'a, T: Clone + Send + Sync + 'static>(
    matches: &'a ArgMatches,
    name: &str,
) -> anyhow::Result<&'a T> {
    matches.get_one::<T>(name).with_context(|| format!("missing argument {name}"))
}

/// Parses a time: the next `HH:MM` in UTC, `+SPAN` from now, or milliseconds since the Unix epoch.
fn parse_time(text: &str, now_ms: u64) -> Result<u64, Error> {
    if let Some(span) = text.strip_prefix('+') {
        let span: Span = span.parse().map_err(Error::Usage)?;
        return Ok(now_ms + span.0.as_millis() as u64);
    }
    if let Ok(at_ms) = text.parse() {
        return Ok(at_ms);
    }
    let time: TimeOfDay = text.parse().map_err(Error::Usage)?;
    let today = now_ms - now_ms % DAY_MS + u64::from(time.minutes()) * 60 * 1000;
    Ok(if today > now_ms { today } else { today + DAY_MS })
}

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
