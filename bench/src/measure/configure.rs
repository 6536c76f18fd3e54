//! How fast a configuration is in force everywhere, and how fast control comes back after many.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context;

use super::{Figure, Run, with_fleet};
use crate::fleet::{Fleet, run_script};

/// How often the configuration changes before the restart.
const CHANGES: u32 = 200;

/// How many of the changes are timed until they are in force everywhere.
const TIMED: u32 = 10;

/// How long a change or a restart may take before the measurement gives up.
const LIMIT: Duration = Duration::from_secs(20);

/// Measures both in one fleet with three voters.
pub fn run(_: &Run) -> anyhow::Result<Vec<Figure>> {
    with_fleet("imena", &["--voters", "3"], |dir| {
        let fleet = Fleet::open(dir)?;
        let mut figures = Vec::new();
        let mut revision = revision_of(&fleet, "control-1").unwrap_or(1);
        for change in 0..CHANGES {
            let (start, confirmed) = configure(dir, change)?;
            revision = confirmed;
            if change < TIMED {
                for proxy in ["proxy-1", "proxy-2"] {
                    await_revision(&fleet, proxy, revision, start)?;
                }
                let taken = start.elapsed().as_secs_f64() * 1_000.0;
                figures.push(Figure::new("config_in_force", "ms", "imena, 2 proxies", taken));
            }
        }
        fleet.signal("control-1", rustix::process::Signal::KILL)?;
        let start = Instant::now();
        run_script(&["start", &dir.display().to_string(), "control-1"])?;
        await_revision(&fleet, "control-1", revision, start)?;
        let taken = start.elapsed().as_secs_f64() * 1_000.0;
        let case = format!("one voter, {CHANGES} changes");
        figures.push(Figure::new("restart_after_changes", "ms", &case, taken));
        Ok(figures)
    })
}

/// Plans and confirms a change; returns when the confirmation was sent, and the new revision.
fn configure(dir: &Path, change: u32) -> anyhow::Result<(Instant, u64)> {
    let text = std::fs::read_to_string(dir.join("groups.toml"))?;
    let changed = format!("{text}\n# Change {change}.\n");
    let priority = format!("priority = {}", 3 + change % 2);
    let path = dir.join("changed.toml");
    std::fs::write(&path, changed.replacen("priority = 2", &priority, 1))?;
    let planned = order(dir, &["plan", "--json", &path.display().to_string()])?;
    let plan = text_of(&planned, "plan").context("a plan without its id")?;
    let start = Instant::now();
    let confirmed = order(dir, &["confirm", "--json", &plan])?;
    let revision = number_of(&confirmed, "revision").context("an answer without a revision")?;
    Ok((start, revision))
}

fn order(dir: &Path, arguments: &[&str]) -> anyhow::Result<serde_json::Value> {
    let admin = std::fs::read_to_string(dir.join("env"))?;
    let admin = admin.lines().find_map(|line| line.strip_prefix("export CACTUSHATCH_ADMIN="));
    let admin = admin.context("the fleet's env names no admin address")?;
    let command = std::env::current_exe()?.with_file_name("cactushatch");
    let (name, rest) = arguments.split_first().context("no command")?;
    let mut command = std::process::Command::new(command);
    let output = command.args([*name, "--admin", admin]).args(rest).output()?;
    anyhow::ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    Ok(serde_json::from_slice(&output.stdout)?)
}

fn text_of(value: &serde_json::Value, name: &str) -> Option<String> {
    let fields = value.as_object()?;
    let own = fields.get(name).and_then(|field| field.as_str()).map(ToOwned::to_owned);
    own.or_else(|| fields.values().find_map(|field| text_of(field, name)))
}

fn number_of(value: &serde_json::Value, name: &str) -> Option<u64> {
    let fields = value.as_object()?;
    let own = fields.get(name).and_then(serde_json::Value::as_u64);
    own.or_else(|| fields.values().find_map(|field| number_of(field, name)))
}

/// Waits until a process says that it has this revision.
fn await_revision(fleet: &Fleet, name: &str, revision: u64, start: Instant) -> anyhow::Result<()> {
    while revision_of(fleet, name).is_none_or(|known| known < revision) {
        anyhow::ensure!(start.elapsed() < LIMIT, "{name} does not reach revision {revision}");
        std::thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

/// Reads the revision from the metrics of a process.
fn revision_of(fleet: &Fleet, name: &str) -> Option<u64> {
    let settings = std::fs::read_to_string(fleet.dir.join(format!("settings/{name}.toml"))).ok()?;
    let admin = settings.lines().rev().find_map(|line| line.strip_prefix("admin = \""))?;
    let admin = admin.trim_end_matches('"').parse().ok()?;
    let metrics = smol::block_on(cactushatch::admin::get(admin, "/metrics")).ok()?;
    let metrics = String::from_utf8_lossy(&metrics).into_owned();
    let line = metrics.lines().find(|line| line.contains("revision") && !line.starts_with('#'))?;
    line.rsplit_once(' ')?.1.parse().ok()
}
