//! The operator's actions in a drill, which run the `cactushatch` command.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context;

use super::{Operator, first_group};
use crate::fleet::Fleet;

/// How long the operator waits after the start of the load.
const START_DELAY: Duration = Duration::from_millis(1_500);

/// Runs the operator's commands on a thread of their own.
pub fn spawn(operator: Operator, fleet: &Fleet) -> JoinHandle<anyhow::Result<()>> {
    let fleet = fleet.clone();
    std::thread::spawn(move || {
        if operator != Operator::Nothing {
            std::thread::sleep(START_DELAY);
        }
        match operator {
            Operator::Nothing => Ok(()),
            Operator::Race => race(&fleet),
            Operator::Resend => resend(&fleet),
            Operator::Drain => drain(&fleet),
        }
    })
}

/// Confirms two plans with the same base revision concurrently.
fn race(fleet: &Fleet) -> anyhow::Result<()> {
    let mut plans = Vec::new();
    for priority in [3, 4] {
        plans.push(create_plan(fleet, &write_declarations(fleet, priority)?)?);
    }
    let confirms = plans.into_iter().map(|plan| {
        let fleet = fleet.clone();
        std::thread::spawn(move || run_command(&fleet, &["confirm", &plan]))
    });
    let confirms: Vec<_> = confirms.collect();
    let mut accepted = 0;
    for confirm in confirms {
        let output =
            confirm.join().map_err(|_| anyhow::anyhow!("a confirmation's thread panicked"))??;
        accepted += usize::from(output.status.success());
    }
    anyhow::ensure!(
        accepted == 1,
        "{accepted} of two confirmations with the same base were accepted instead of one"
    );
    Ok(())
}

/// Sends a confirmation twice with the same command id.
fn resend(fleet: &Fleet) -> anyhow::Result<()> {
    let plan = create_plan(fleet, &write_declarations(fleet, 3)?)?;
    let confirm = || run_command(fleet, &["confirm", "--command", "resent", "--json", &plan]);
    let (first, second) = (confirm()?, confirm()?);
    anyhow::ensure!(first.status.success(), "{}", String::from_utf8_lossy(&first.stderr));
    anyhow::ensure!(first.stdout == second.stdout, "the resent command got a different answer");
    Ok(())
}

/// Drains the primary of the first group.
fn drain(fleet: &Fleet) -> anyhow::Result<()> {
    let primary = fleet.primary(&first_group(fleet)?)?;
    let planned = run_command(fleet, &["drain", "--json", &primary])?;
    let plan = plan_id(&planned)?;
    let confirmed = run_command(fleet, &["confirm", &plan])?;
    anyhow::ensure!(confirmed.status.success(), "{}", String::from_utf8_lossy(&confirmed.stderr));
    Ok(())
}

/// Writes declarations that differ from those in force in the priority of a class; returns their path.
fn write_declarations(fleet: &Fleet, priority: u8) -> anyhow::Result<PathBuf> {
    let text = std::fs::read_to_string(fleet.dir.join("groups.toml"))?;
    let changed = text.replacen("priority = 2", &format!("priority = {priority}"), 1);
    anyhow::ensure!(changed != text, "groups.toml has no \"priority = 2\" to change");
    let path = fleet.dir.join(format!("groups-{priority}.toml"));
    std::fs::write(&path, changed)?;
    Ok(path)
}

fn create_plan(fleet: &Fleet, declarations: &std::path::Path) -> anyhow::Result<String> {
    plan_id(&run_command(fleet, &["plan", "--json", &declarations.display().to_string()])?)
}

fn plan_id(output: &Output) -> anyhow::Result<String> {
    let errors = String::from_utf8_lossy(&output.stderr);
    anyhow::ensure!(output.status.success(), "planning failed: {errors}");
    let answer: serde_json::Value = serde_json::from_slice(&output.stdout)?;
    let plan = find_field(&answer, "plan").context("the answer to `plan` has no plan id")?;
    Ok(plan.to_owned())
}

fn find_field<'a>(value: &'a serde_json::Value, name: &str) -> Option<&'a str> {
    match value {
        serde_json::Value::Object(fields) => {
            let own = fields.get(name).and_then(serde_json::Value::as_str);
            own.or_else(|| fields.values().find_map(|field| find_field(field, name)))
        }
        _ => None,
    }
}

fn run_command(fleet: &Fleet, arguments: &[&str]) -> anyhow::Result<Output> {
    let admin = std::fs::read_to_string(fleet.dir.join("env"))?;
    let admin = admin.lines().find_map(|line| line.strip_prefix("export CACTUSHATCH_ADMIN="));
    let admin = admin.context("the fleet's env file does not export CACTUSHATCH_ADMIN")?;
    let command = std::env::current_exe()?.with_file_name("cactushatch");
    let (name, rest) = arguments.split_first().context("no command is given")?;
    let output = Command::new(command).args([*name, "--admin", admin]).args(rest).output()?;
    Ok(output)
}
