//! Measures how fast a configuration comes into force everywhere, and how fast a control process restarts after many
//! configuration changes.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context;

use super::{Figure, Run, with_fleet};
use crate::fleet::{Fleet, run_script};

/// The number of configuration changes before the restart.
const CHANGES: u32 = 200;

/// The number of changes that are timed until both proxies have them in force.
const TIMED_CHANGES: u32 = 10;

/// How long a change or a restart may take before the measurement fails.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Takes both measurements in one fleet with three voters.
pub fn run(_: &Run) -> anyhow::Result<Vec<Figure>> {
    with_fleet("imena", &["--voters", "3"], |dir| {
        let fleet = Fleet::open(dir)?;
        let mut figures = Vec::new();
        let mut revision = revision_of(&fleet, "control-1").unwrap_or(1);
        for change in 0..CHANGES {
            let (start, confirmed) = change_configuration(dir, change)?;
            revision = confirmed;
            if change < TIMED_CHANGES {
                for proxy in ["proxy-1", "proxy-2"] {
                    wait_for_revision(&fleet, proxy, revision, start)?;
                }
                let elapsed_ms = start.elapsed().as_secs_f64() * 1_000.0;
                figures.push(Figure::new("config_in_force", "ms", "imena, 2 proxies", elapsed_ms));
            }
        }
        fleet.signal("control-1", rustix::process::Signal::KILL)?;
        let start = Instant::now();
        run_script(&["start", &dir.display().to_string(), "control-1"])?;
        wait_for_revision(&fleet, "control-1", revision, start)?;
        let elapsed_ms = start.elapsed().as_secs_f64() * 1_000.0;
        let case = format!("one voter, {CHANGES} changes");
        figures.push(Figure::new("restart_after_changes", "ms", &case, elapsed_ms));
        Ok(figures)
    })
}

/// Plans and confirms a change; returns the time at which the confirmation was sent, and the new revision.
fn change_configuration(dir: &Path, change: u32) -> anyhow::Result<(Instant, u64)> {
    let text = std::fs::read_to_string(dir.join("groups.toml"))?;
    let changed = format!("{text}\n# Change {change}.\n");
    let priority = format!("priority = {}", 3 + change % 2);
    let path = dir.join("changed.toml");
    std::fs::write(&path, changed.replacen("priority = 2", &priority, 1))?;
    let planned = run_command(dir, &["plan", "--json", &path.display().to_string()])?;
    let plan = find_text(&planned, "plan").context("the answer to `plan` has no plan id")?;
    let start = Instant::now();
    let confirmed = run_command(dir, &["confirm", "--json", &plan])?;
    let revision =
        find_number(&confirmed, "revision").context("the answer to `confirm` has no revision")?;
    Ok((start, revision))
}

fn run_command(dir: &Path, arguments: &[&str]) -> anyhow::Result<serde_json::Value> {
    let admin = std::fs::read_to_string(dir.join("env"))?;
    let admin = admin.lines().find_map(|line| line.strip_prefix("export CACTUSHATCH_ADMIN="));
    let admin = admin.context("the fleet's env file does not export CACTUSHATCH_ADMIN")?;
    let command = std::env::current_exe()?.with_file_name("cactushatch");
    let (name, rest) = arguments.split_first().context("no command is given")?;
    let mut command = std::process::Command::new(command);
    let output = command.args([*name, "--admin", admin]).args(rest).output()?;
    anyhow::ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    Ok(serde_json::from_slice(&output.stdout)?)
}

fn find_text(value: &serde_json::Value, name: &str) -> Option<String> {
    let fields = value.as_object()?;
    let own = fields.get(name).and_then(|field| field.as_str()).map(ToOwned::to_owned);
    own.or_else(|| fields.values().find_map(|field| find_text(field, name)))
}

fn find_number(value: &serde_json::Value, name: &str) -> Option<u64> {
    let fields = value.as_object()?;
    let own = fields.get(name).and_then(serde_json::Value::as_u64);
    own.or_else(|| fields.values().find_map(|field| find_number(field, name)))
}

/// Waits until the metrics of a process show this revision or a newer one.
fn wait_for_revision(
    fleet: &Fleet,
    name: &str,
    revision: u64,
    start: Instant,
) -> anyhow::Result<()> {
    while revision_of(fleet, name).is_none_or(|known| known < revision) {
        anyhow::ensure!(
            start.elapsed() < TIMEOUT,
            "{name} did not reach revision {revision} within {TIMEOUT:?}"
        );
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
