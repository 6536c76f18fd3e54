//! Failure drills on separate processes: a fleet, a load, faults, and the checked history.

mod list;
mod operator;

use std::path::Path;
use std::time::Duration;

use anyhow::Context;

pub use list::{DRILLS, Drill, Operator};

use crate::fleet::run_script;
use crate::load::{self, Action};
use crate::{check, fleet};

/// How many sessions a drill's load has.
const SESSIONS: usize = 90;

/// Which drills run, and how.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The names; all when there are none.
    pub names: Vec<String>,
    /// The drills that are passed over.
    pub skipped: Vec<String>,
    /// Whether only the short set runs.
    pub short: bool,
    /// The seed.
    pub seed: u64,
    /// How often each one runs; the seed grows by one each time.
    pub runs: u64,
    /// The deployment.
    pub profile: String,
}

/// Runs drills one after the other; returns how many passed and failed.
///
/// # Errors
///
/// Fails when a name is not known.
pub fn run(settings: &Settings) -> anyhow::Result<(usize, usize)> {
    for name in &settings.names {
        anyhow::ensure!(DRILLS.iter().any(|drill| drill.name == name), "there is no drill {name}");
    }
    let wanted = |drill: &&Drill| {
        let named = settings.names.iter().any(|name| name == drill.name);
        let skipped = settings.skipped.iter().any(|name| name == drill.name);
        !skipped && (named || (settings.names.is_empty() && (drill.short || !settings.short)))
    };
    let (mut passed, mut failed) = (0, 0);
    for drill in DRILLS.iter().filter(wanted) {
        for seed in settings.seed..settings.seed + settings.runs {
            match one(drill, seed, &settings.profile) {
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

/// Runs one drill; its folder stays when it fails.
fn one(drill: &Drill, seed: u64, profile: &str) -> anyhow::Result<String> {
    let dir =
        std::env::temp_dir().join(format!("drill-{}-{seed}-{:08x}", drill.name, fastrand::u32(..)));
    std::fs::create_dir_all(&dir)?;
    let path = dir.display().to_string();
    let voters = drill.voters.to_string();
    let link = if drill.link { "yes" } else { "no" };
    let up = ["up", &path, "--profile", profile, "--voters", &voters, "--link", link];
    let up = run_script(&up);
    let result = up.and_then(|()| exercise(drill, seed, &dir));
    if dir.join("pids").exists() {
        run_script(&["down", &path])?;
    }
    match result {
        Ok(report) => {
            std::fs::remove_dir_all(&dir)?;
            Ok(report)
        }
        Err(error) => Err(error.context(format!("history in {path}"))),
    }
}

fn exercise(drill: &Drill, seed: u64, dir: &Path) -> anyhow::Result<String> {
    let fleet = fleet::Fleet::open(dir)?;
    let actions: Result<Vec<Action>, String> =
        drill.actions.iter().map(|action| fitted(action, &fleet).parse()).collect();
    let settings = load::Settings {
        dir: dir.to_owned(),
        sessions: SESSIONS,
        probers: 1,
        lasts: Duration::from_secs(drill.seconds),
        rush: Duration::ZERO,
        reads: 60,
        roam: 10,
        pause: Duration::from_millis(10),
        rate: None,
        seed,
        actions: actions.map_err(anyhow::Error::msg)?,
    };
    let ordered = operator::spawn(drill.operator, &fleet);
    load::run(settings)?;
    ordered.join().map_err(|_| anyhow::anyhow!("the operator's orders panicked"))??;
    let report = check::run(dir)?;
    let mut broken: Vec<String> = report
        .violations
        .iter()
        .take(3)
        .map(|violation| format!("{}: {}", violation.rule, violation.seen))
        .collect();
    let gap = check::worst(&report.gaps);
    if let (Some(bound), Some(gap)) = (drill.gap, gap) {
        match gap.milliseconds {
            None => broken.push("writes did not come back".to_owned()),
            Some(length) if length > bound => {
                broken.push(format!("a gap of {length} ms, over {bound}"));
            }
            Some(_) => {}
        }
    }
    anyhow::ensure!(broken.is_empty(), "{}", broken.join("; "));
    let length = gap.and_then(|gap| gap.milliseconds);
    Ok(length.map_or(String::new(), |length| format!(", gap {length:.0} ms")))
}

/// Replaces the group names of the list by the deployment's own.
fn fitted(action: &str, fleet: &fleet::Fleet) -> String {
    let mut action = action.to_owned();
    for (at, group) in fleet.groups().iter().enumerate() {
        action = action.replace(&format!(":ops-{}", at + 1), &format!(":{group}"));
    }
    action
}

/// Prints the drills.
pub fn print() {
    for drill in DRILLS {
        let set = if drill.short { "short" } else { "long" };
        println!("{} ({set}): {}", drill.name, drill.actions.join(", "));
    }
}

/// Returns the first group's name.
fn first_group(fleet: &fleet::Fleet) -> anyhow::Result<String> {
    fleet.groups().into_iter().next().context("there are no groups")
}
