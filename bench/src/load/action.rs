//! Actions that are applied to the fleet at a given time of a load, such as `3s kill primary:ops-1`.

use std::collections::BTreeSet;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use cactushatch::config::Span;
use rustix::process::Signal;

use crate::fleet::Fleet;

/// An operation on a process of the fleet, and its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Action {
    /// The time since the start of the load.
    pub after: Duration,
    /// The operation.
    pub operation: Operation,
    /// A process, `primary:GROUP`, `replica:GROUP`, or `last` for the process of the previous action; for a cut, also a
    /// failure domain.
    pub target: String,
}

/// An operation on a process or a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Sends SIGKILL.
    Kill,
    /// Sends SIGTERM.
    Terminate,
    /// Sends SIGSTOP.
    Stop,
    /// Sends SIGCONT.
    Resume,
    /// Sends a line to the fault port of a stand-in instance.
    Fault(String),
    /// Starts the process again.
    Start,
    /// Saves a copy of the process's data directory.
    Save,
    /// Replaces the process's data directory by the saved copy.
    Restore,
    /// Removes the process's data directory.
    Wipe,
    /// Cuts off a failure domain from all others: the one that the target names, or that of the target process.
    Cut,
    /// Ends all faults of all instances, and cuts between failure domains.
    Heal,
}

impl Operation {
    /// Returns the name of the operation in histories.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Terminate => "terminate",
            Self::Stop => "stop",
            Self::Resume => "resume",
            Self::Fault(_) => "fault",
            Self::Start => "start",
            Self::Save => "save",
            Self::Restore => "restore",
            Self::Wipe => "wipe",
            Self::Cut => "cut",
            Self::Heal => "heal",
        }
    }
}

impl FromStr for Action {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let malformed =
            || format!("invalid action {text:?}; a valid one is \"3s kill primary:ops-1\"");
        let mut words = text.splitn(4, ' ');
        let (Some(after), Some(operation), Some(target)) =
            (words.next(), words.next(), words.next())
        else {
            return Err(malformed());
        };
        let after: Span = after.parse()?;
        let operation = match (operation, words.next()) {
            ("kill", None) => Operation::Kill,
            ("terminate", None) => Operation::Terminate,
            ("stop", None) => Operation::Stop,
            ("resume", None) => Operation::Resume,
            ("start", None) => Operation::Start,
            ("save", None) => Operation::Save,
            ("restore", None) => Operation::Restore,
            ("wipe", None) => Operation::Wipe,
            ("cut", None) => Operation::Cut,
            ("heal", None) => Operation::Heal,
            ("fault", Some(line)) => Operation::Fault(line.to_owned()),
            _ => return Err(malformed()),
        };
        Ok(Self { after: after.0, operation, target: target.to_owned() })
    }
}

/// Returns the name of the process that a target stands for, other than `last`.
pub fn resolve_target(fleet: &Fleet, target: &str) -> anyhow::Result<String> {
    if let Some(group) = target.strip_prefix("primary:") {
        return fleet.primary(group);
    }
    if let Some(group) = target.strip_prefix("replica:") {
        let primary = fleet.primary(group)?;
        let replica = fleet.instances(group).map(|(name, _)| name).find(|name| **name != primary);
        return replica.cloned().ok_or_else(|| anyhow::anyhow!("{group} has no replica"));
    }
    Ok(target.to_owned())
}

/// Applies the operation to the process `name`.
pub fn execute(fleet: &Fleet, operation: &Operation, name: &str) -> anyhow::Result<()> {
    let data = fleet.dir.join("data").join(name);
    let saved = fleet.dir.join("saved").join(name);
    match operation {
        Operation::Kill => fleet.signal(name, Signal::KILL),
        Operation::Terminate => fleet.signal(name, Signal::TERM),
        Operation::Stop => fleet.signal(name, Signal::STOP),
        Operation::Resume => fleet.signal(name, Signal::CONT),
        Operation::Fault(line) => fleet.set_faults(name, line),
        Operation::Start => fleet.run_script(&["start", &fleet.dir.display().to_string(), name]),
        Operation::Save => replace_with_copy(&data, &saved),
        Operation::Restore => replace_with_copy(&saved, &data),
        Operation::Wipe => Ok(std::fs::remove_dir_all(data)?),
        Operation::Cut => {
            isolate(fleet, Some(fleet.domains.get(name).map_or(name, String::as_str)))
        }
        Operation::Heal => isolate(fleet, None),
    }
}

/// Replaces the directory `to` by a copy of the files in `from`.
fn replace_with_copy(from: &Path, to: &Path) -> anyhow::Result<()> {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to)?;
    for file in std::fs::read_dir(from)? {
        let file = file?;
        std::fs::copy(file.path(), to.join(file.file_name()))?;
    }
    Ok(())
}

/// Cuts off one failure domain from all others; without a domain, ends all cuts and faults.
fn isolate(fleet: &Fleet, domain: Option<&str>) -> anyhow::Result<()> {
    fleet.cut_frames(domain)?;
    let domains: BTreeSet<&String> = fleet.domains.values().collect();
    for name in fleet.upstreams.keys() {
        let own = fleet.domains.get(name).map(String::as_str);
        let reachable = |other: &&&String| match domain {
            None => true,
            Some(cut) => Some(other.as_str()) == own || (own != Some(cut) && other.as_str() != cut),
        };
        let unreachable: Vec<&&String> = domains.iter().filter(|other| !reachable(other)).collect();
        // The fault port of an instance that was killed does not answer.
        let _ = fleet.set_faults(name, &serde_json::json!({ "cut": unreachable }).to_string());
    }
    Ok(())
}
