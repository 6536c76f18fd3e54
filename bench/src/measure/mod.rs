//! Measurements: each writes its figures as JSON and a row for `docs/MEASURES.md`.

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

/// What is measured, and on what.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The measurements; all when there are none.
    pub names: Vec<String>,
    /// How often each one runs.
    pub runs: u64,
    /// The seed of the first run; it grows by one each time.
    pub seed: u64,
    /// The folder for the files.
    pub out: PathBuf,
    /// What was built, such as a commit.
    pub label: String,
}

/// Takes one sample of a measurement.
type Sample = fn(&Run) -> anyhow::Result<Vec<Figure>>;

/// The measurements.
const MEASUREMENTS: &[(&str, Sample)] = &[
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
    /// Its seed.
    pub seed: u64,
}

/// Takes all samples and writes them.
///
/// # Errors
///
/// Fails when a name is not known, a fleet doesn't come up, or a file can't be written.
pub fn run(settings: &Settings) -> anyhow::Result<()> {
    let known = |name: &String| MEASUREMENTS.iter().any(|(known, _)| known == name);
    if let Some(unknown) = settings.names.iter().find(|name| !known(name)) {
        anyhow::bail!("there is no measurement {unknown}");
    }
    std::fs::create_dir_all(&settings.out)?;
    let wanted = |name: &str| settings.names.is_empty() || settings.names.iter().any(|n| n == name);
    for (name, sample) in MEASUREMENTS.iter().filter(|(name, _)| wanted(name)) {
        let mut figures: Vec<Figure> = Vec::new();
        for seed in settings.seed..settings.seed + settings.runs {
            for figure in sample(&Run { seed })? {
                figure::add(&mut figures, figure);
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

/// Runs `work` on a fleet that is up, and ends the fleet.
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

/// Returns the load that the others start from.
fn load(dir: &Path, seed: u64, seconds: u64) -> load::Settings {
    load::Settings {
        dir: dir.to_owned(),
        sessions: 90,
        probers: 0,
        lasts: Duration::from_secs(seconds),
        rush: Duration::ZERO,
        reads: 90,
        roam: 5,
        pause: Duration::from_millis(20),
        rate: None,
        seed,
        actions: Vec::new(),
    }
}

/// The deployments.
const PROFILES: [&str; 2] = ["imena", "dzintarjura"];
