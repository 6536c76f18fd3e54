//! Measurements: each writes its figures as JSON and prints rows for `docs/MEASURES.md`.

mod configure;
mod figure;
mod gap;
mod heartbeats;
mod memory;
mod overhead;
mod rush;
mod share;

use std::path::{Path, PathBuf};
use std::time::Duration;

pub use figure::Figure;

use crate::fleet::run_script;
use crate::load;

/// The settings of a run of measurements.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The measurements to take; all if empty.
    pub names: Vec<String>,
    /// The number of runs of each measurement.
    pub runs: u64,
    /// The seed of the first run of each measurement; it grows by one with each run.
    pub seed: u64,
    /// The output directory.
    pub out: PathBuf,
    /// The build that is measured, such as a commit.
    pub label: String,
}

/// Runs a measurement once.
type MeasureFn = fn(&Run) -> anyhow::Result<Vec<Figure>>;

/// All measurements by name.
const MEASUREMENTS: &[(&str, MeasureFn)] = &[
    ("replica_share", share::run),
    ("failover_gap", gap::run),
    ("rush", rush::run),
    ("overhead", overhead::run),
    ("memory", memory::run),
    ("control_cost", heartbeats::run),
    ("configuration", configure::run),
];

/// One run of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// The seed of the run.
    pub seed: u64,
}

/// Runs the measurements, prints their rows and writes their figures to files.
///
/// # Errors
///
/// Fails if a measurement's name is unknown or a measurement fails, or when a file can't be written.
pub fn run(settings: &Settings) -> anyhow::Result<()> {
    let known = |name: &String| MEASUREMENTS.iter().any(|(known, _)| known == name);
    if let Some(unknown) = settings.names.iter().find(|name| !known(name)) {
        anyhow::bail!("unknown measurement {unknown}");
    }
    std::fs::create_dir_all(&settings.out)?;
    let wanted = |name: &str| settings.names.is_empty() || settings.names.iter().any(|n| n == name);
    for (name, measure) in MEASUREMENTS.iter().filter(|(name, _)| wanted(name)) {
        let mut figures: Vec<Figure> = Vec::new();
        for seed in settings.seed..settings.seed + settings.runs {
            for figure in measure(&Run { seed })? {
                figure::merge(&mut figures, figure);
            }
        }
        for figure in &figures {
            println!("{}", figure.row(&settings.label));
        }
        let file = settings.out.join(format!("{name}-{}.json", settings.label));
        std::fs::write(file, serde_json::to_vec_pretty(&figures)?)?;
    }
    Ok(())
}

/// Starts a fleet, runs `work` on it, stops the fleet and removes its directory.
fn with_fleet<T>(
    profile: &str,
    options: &[&str],
    work: impl FnOnce(&Path) -> anyhow::Result<T>,
) -> anyhow::Result<T> {
    let dir = std::env::temp_dir().join(format!("measure-{:08x}", fastrand::u32(..)));
    std::fs::create_dir_all(&dir)?;
    let path = dir.display().to_string();
    let mut arguments = vec!["up", &path, "--profile", profile];
    arguments.extend(options);
    let result = run_script(&arguments).and_then(|()| work(&dir));
    if dir.join("pids").exists() {
        run_script(&["down", &path])?;
    }
    std::fs::remove_dir_all(&dir)?;
    result
}

/// Returns the load settings that the measurements adapt.
fn base_load(dir: &Path, seed: u64, seconds: u64) -> load::Settings {
    load::Settings {
        dir: dir.to_owned(),
        sessions: 90,
        probers: 0,
        duration: Duration::from_secs(seconds),
        ramp_up: Duration::ZERO,
        read_percent: 90,
        roam_percent: 5,
        think_time: Duration::from_millis(20),
        rate: None,
        seed,
        actions: Vec::new(),
    }
}

/// The deployment profiles.
const PROFILES: [&str; 2] = ["imena", "dzintarjura"];
