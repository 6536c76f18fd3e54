//! The commands that talk to a running control process.

use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use clap::ArgMatches;
use sha2::{Digest, Sha256};

use super::exit::Stop;
use super::paint::Paint;
use super::{Exit, ask, read};
use crate::config::{Fleet, Span, TimeOfDay};
use crate::control::operator::{Confirm, Plan, Status};
use crate::control::state::{Intent, Membership, Origin, Outcome, Voter};
use crate::id;
use crate::wire::Role;

/// The bytes of the digest in a plan's id.
const DIGEST_BYTES: usize = 4;

/// The milliseconds of a day.
const DAY_MS: u64 = 24 * 60 * 60 * 1000;

/// `cactushatch plan DECLARATIONS`.
pub(super) fn plan(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let path = required::<PathBuf>(matches, "declarations")?;
    let text = read(Path::new(path))?;
    Fleet::parse(&path.display().to_string(), &text)?;
    let said = text.clone();
    change(matches, Intent::Configure { text }, &said)
}

/// `cactushatch confirm PLAN`.
pub(super) fn confirm(matches: &ArgMatches) -> anyhow::Result<Exit> {
    carry_out(matches, required::<id::Plan>(matches, "plan")?)
}

/// `cactushatch drain INSTANCE`.
pub(super) fn drain(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let instance = required::<id::Instance>(matches, "instance")?.clone();
    let said = format!("drain {instance}");
    change(matches, Intent::Drain { instance }, &said)
}

/// `cactushatch undrain INSTANCE`.
pub(super) fn undrain(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let instance = required::<id::Instance>(matches, "instance")?.clone();
    let said = format!("undrain {instance}");
    change(matches, Intent::Undrain { instance }, &said)
}

/// `cactushatch peak GROUP --at TIME --lasts SPAN`.
pub(super) fn peak(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let group = required::<id::Group>(matches, "group")?.clone();
    let at = required::<String>(matches, "at")?;
    let at_ms = moment(at, wall_ms())?;
    let lasts = required::<Span>(matches, "lasts")?;
    let lasts_ms = lasts.0.as_millis() as u64;
    let said = format!("peak {group} {at} {lasts}");
    change(matches, Intent::Peak { group, at_ms, lasts_ms }, &said)
}

/// `cactushatch member list|add|remove|replace`.
pub(super) fn member(matches: &ArgMatches) -> anyhow::Result<Exit> {
    match matches.subcommand() {
        Some(("list", matches)) => members(matches),
        Some(("add" | "replace", matches)) => {
            let voter = Voter {
                node: required::<id::Node>(matches, "node")?.clone(),
                // The leader learns the incarnation of the disk from the process itself.
                incarnation: id::Incarnation(0),
                address: *required(matches, "address")?,
                domain: required::<id::Domain>(matches, "domain")?.clone(),
            };
            let said = format!("learn {} {} {}", voter.node, voter.address, voter.domain);
            change(matches, Intent::Member(Membership::Learn(voter)), &said)
        }
        Some(("remove", matches)) => {
            let node = required::<id::Node>(matches, "node")?.clone();
            let said = format!("remove {node}");
            change(matches, Intent::Member(Membership::Remove(node)), &said)
        }
        _ => anyhow::bail!("there is no such command"),
    }
}

fn members(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let status: Status = ask::get(matches, "/status")?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&status.voters)?);
        return Ok(Exit::Success);
    }
    show_voters(&status, Paint::stdout());
    Ok(Exit::Success)
}

/// `cactushatch status`.
pub(super) fn status(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let answer: serde_json::Value = ask::get(matches, "/status")?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&answer)?);
        return Ok(Exit::Success);
    }
    show(&serde_json::from_value(answer)?);
    Ok(Exit::Success)
}

fn show(status: &Status) {
    let paint = Paint::stdout();
    println!("revision {} at {}.{}", status.revision, status.stamp.term, status.stamp.index);
    for group in &status.groups {
        let stopped = paint.alarm(", writes stopped");
        let frozen = if group.frozen { stopped.as_str() } else { "" };
        let name = paint.bold(&group.group);
        println!("group {name}: term {}, primary {}{frozen}", group.term, group.primary);
    }
    for instance in &status.instances {
        let role = if instance.role == Role::Primary { "primary" } else { "replica" };
        let leaving = if instance.draining { ", draining" } else { "" };
        println!(
            "instance {}: {role} of {} in {} at {}{leaving}",
            paint.bold(&instance.instance),
            instance.group,
            instance.domain,
            instance.address
        );
    }
    show_voters(status, paint);
    for proxy in &status.proxies {
        println!("proxy {}", paint.bold(proxy));
    }
}

fn show_voters(status: &Status, paint: Paint) {
    for voter in &status.voters {
        let part = format!("{:?}", voter.part).to_lowercase();
        let behind = paint.alarm(", not current");
        let behind = if voter.current { "" } else { behind.as_str() };
        println!("control {}: {part} in {}{behind}", paint.bold(&voter.node), voter.domain);
    }
    for change in &status.wanted {
        println!("wanted: {change:?}");
    }
}

/// Makes a plan of the intent, or carries out the plan that is confirmed. A plan's id ends in a digest of what was
/// said when it was made, so that the plan of another command is not confirmed by mistake.
fn change(matches: &ArgMatches, intent: Intent, said: &str) -> anyhow::Result<Exit> {
    let digest = digest(said);
    if let Some(plan) = matches.get_one::<id::Plan>("confirm") {
        if !plan.as_str().ends_with(&format!("-{digest}")) {
            let reason = format!("{plan} is the plan of another command, or of other arguments");
            return Err(Stop::Usage(reason).into());
        }
        return carry_out(matches, plan);
    }
    let origin = origin(matches)?;
    let command = origin.command.to_string();
    let plan = format!("plan-{command}-{digest}").parse()?;
    let body = Plan { origin, plan, base: None, intent };
    outcome(matches, &ask::post(matches, "/plan", &command, &body)?)
}

fn digest(said: &str) -> String {
    let digest = Sha256::digest(said);
    digest[..DIGEST_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
}

fn carry_out(matches: &ArgMatches, plan: &id::Plan) -> anyhow::Result<Exit> {
    let origin = origin(matches)?;
    let command = origin.command.to_string();
    let body = Confirm { origin, plan: plan.clone() };
    outcome(matches, &ask::post(matches, "/confirm", &command, &body)?)
}

fn origin(matches: &ArgMatches) -> anyhow::Result<Origin> {
    let operator = required::<id::Operator>(matches, "operator")?.clone();
    let command = match matches.get_one::<id::Command>("command") {
        Some(command) => command.clone(),
        None => format!("{:016x}", fastrand::u64(..)).parse()?,
    };
    Ok(Origin { command, operator })
}

fn outcome(matches: &ArgMatches, outcome: &Outcome) -> anyhow::Result<Exit> {
    let json = matches.get_flag("json");
    if json {
        println!("{}", serde_json::to_string_pretty(outcome)?);
    }
    match outcome {
        Outcome::Refused { reason } => return Err(Stop::Refused(reason.clone()).into()),
        Outcome::Done { revision } if !json => println!("done, revision {revision} is in force"),
        Outcome::Planned { plan, base, effects, .. } if !json => {
            println!("{} stands on revision {base}; it would:", Paint::stdout().bold(plan));
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
    matches.get_one::<T>(name).with_context(|| format!("{name} is not given"))
}

/// Reads a moment: the next `HH:MM` in UTC, `+SPAN` from now, or milliseconds since 1970.
fn moment(text: &str, now_ms: u64) -> Result<u64, Stop> {
    if let Some(span) = text.strip_prefix('+') {
        let span: Span = span.parse().map_err(Stop::Usage)?;
        return Ok(now_ms + span.0.as_millis() as u64);
    }
    if let Ok(at_ms) = text.parse() {
        return Ok(at_ms);
    }
    let time: TimeOfDay = text.parse().map_err(Stop::Usage)?;
    let today = now_ms - now_ms % DAY_MS + u64::from(time.minutes()) * 60 * 1000;
    Ok(if today > now_ms { today } else { today + DAY_MS })
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
