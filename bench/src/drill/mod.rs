//! Failure drills on separate processes: each starts a fleet, runs a load with faults, and checks the history.

mod list;
mod operator;

use std::path::Path;
use std::time::Duration;

use anyhow::Context;

pub use list::{DRILLS, Drill, Operator};

use crate::fleet::run_script;
use crate::load::{self, Action};
use crate::{check, fleet};

/// The number of sessions in a drill's load.
const SESSIONS: usize = 90;

/// The settings of a run of drills.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The drills to run; all if empty.
    pub names: Vec<String>,
    /// The drills to skip.
    pub skipped: Vec<String>,
    /// Whether only the short set runs, if no drill is named.
    pub short: bool,
    /// The seed of the first run of each drill; it grows by one with each run.
    pub seed: u64,
    /// The number of runs of each drill.
    pub runs: u64,
    /// The deployment profile.
    pub profile: String,
}

/// Runs drills one after the other; returns the numbers of runs that passed and failed.
///
/// # Errors
///
/// Fails if a drill's name is unknown.
pub fn run(settings: &Settings) -> anyhow::Result<(usize, usize)> {
    for name in &settings.names {
        anyhow::ensure!(DRILLS.iter().any(|drill| drill.name == name), "unknown drill {name}");
    }
    let wanted = |drill: &&Drill| {
        let named = settings.names.iter().any(|name| name == drill.name);
        let skipped = settings.skipped.iter().any(|name| name == drill.name);
        !skipped && (named || (settings.names.is_empty() && (drill.is_short || !settings.short)))
    };
    let (mut passed, mut failed) = (0, 0);
    for drill in DRILLS.iter().filter(wanted) {
        for seed in settings.seed..settings.seed + settings.runs {
            match run_one(drill, seed, &settings.profile) {
                Ok(report) => {
                    passed += 1;
                    println!("passed {} seed {seed}{report}", drill.name);
                }
                Err(error) => {
                    failed += 1;
                    println!("FAILED {} seed {seed}: {error:#}", drill.name);
                }
            }
        }
    }
    Ok((passed, failed))
}

/// Runs one drill; its directory is kept if the drill fails.
fn run_one(drill: &Drill, seed: u64, profile: &str) -> anyhow::Result<String> {
    let dir =
        std::env::temp_dir().join(format!("drill-{}-{seed}-{:08x}", drill.name, fastrand::u32(..)));
    std::fs::create_dir_all(&dir)?;
    let path = dir.display().to_string();
    let voters = drill.voters.to_string();
    let link = if drill.link { "yes" } else { "no" };
    let arguments = ["up", &path, "--profile", profile, "--voters", &voters, "--link", link];
    let started = run_script(&arguments);
    let result = started.and_then(|()| run_on_fleet(drill, seed, &dir));
    if dir.join("pids").exists() {
        run_script(&["down", &path])?;
    }
    match result {
        Ok(report) => {
            std::fs::remove_dir_all(&dir)?;
            Ok(report)
        }
        Err(error) => Err(error.context(format!("the history is in {path}"))),
    }
}

fn run_on_fleet(drill: &Drill, seed: u64, dir: &Path) -> anyhow::Result<String> {
    let fleet = fleet::Fleet::open(dir)?;
    let actions: Result<Vec<Action>, String> =
        drill.actions.iter().map(|action| replace_group_names(action, &fleet).parse()).collect();
    let settings = load::Settings {
        dir: dir.to_owned(),
        sessions: SESSIONS,
        probers: 1,
        duration: Duration::from_secs(drill.seconds),
        ramp_up: Duration::ZERO,
        read_percent: 60,
        roam_percent: 10,
        think_time: Duration::from_millis(10),
        rate: None,
        seed,
        actions: actions.map_err(anyhow::Error::msg)?,
    };
    let operator_thread = operator::spawn(drill.operator, &fleet);
    load::run(settings)?;
    operator_thread.join().map_err(|_| anyhow::anyhow!("the operator's thread panicked"))??;
    let report = check::run(dir)?;
    let mut failures: Vec<String> = report
        .violations
        .iter()
        .take(3)
        .map(|violation| format!("{}: {}", violation.rule, violation.seen))
        .collect();
    let gap = check::worst(&report.gaps);
    if let (Some(bound), Some(gap)) = (drill.max_gap_ms, gap) {
        match gap.milliseconds {
            None => failures.push("writes were not acknowledged again after the fault".to_owned()),
            Some(length) if length > bound => {
                failures.push(format!("a write gap of {length} ms exceeds {bound} ms"));
            }
            Some(_) => {}
        }
    }
    anyhow::ensure!(failures.is_empty(), "{}", failures.join("; "));
    let length = gap.and_then(|gap| gap.milliseconds);
    Ok(length.map_or(String::new(), |length| format!(", gap {length:.0} ms")))
}

/// Replaces the groups `ops-1`, `ops-2` and so on in an action by those of the deployment.
fn replace_group_names(action: &str, fleet: &fleet::Fleet) -> String {
    let mut action = action.to_owned();
    for (at, group) in fleet.groups().iter().enumerate() {
        action = action.replace(&format!(":ops-{}", at + 1), &format!(":{group}"));
    }
    action
}

/// Prints all drills with their actions.
pub fn print() {
    for drill in DRILLS {
        let set = if drill.is_short { "short" } else { "long" };
        println!("{} ({set}): {}", drill.name, drill.actions.join(", "));
    }
}

/// Returns the first group's name.
fn first_group(fleet: &fleet::Fleet) -> anyhow::Result<String> {
    fleet.groups().into_iter().next().context("the fleet has no groups")
}
