//! What is done to a fleet at a given time of a load: `3s kill primary:ops-1`.

use std::collections::BTreeSet;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use cactushatch::config::Span;
use rustix::process::Signal;

use crate::fleet::Fleet;

/// Something to do to a process of the fleet, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Action {
    /// How long after the start.
    pub after: Duration,
    /// What.
    pub deed: Deed,
    /// The process, `primary:GROUP`, `replica:GROUP`, or `last` for that of the action before.
    pub target: String,
}

/// What may be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Deed {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Terminate,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Resume,
    /// A line for the stand-in's fault port.
    Fault(String),
    /// Starts the process anew.
    Start,
    /// Copies the process's data aside.
    Save,
    /// Puts the copy in place of the process's data.
    Restore,
    /// Removes the process's data.
    Wipe,
    /// Cuts the failure domain that the target names, or where it is, off from all others.
    Cut,
    /// Ends all faults of all instances.
    Heal,
}

impl Deed {
    /// Returns its name in histories.
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
        let malformed = || format!("{text:?} is no action such as \"3s kill primary:ops-1\"");
        let mut words = text.splitn(4, ' ');
        let (Some(after), Some(deed), Some(target)) = (words.next(), words.next(), words.next())
        else {
            return Err(malformed());
        };
        let after: Span = after.parse()?;
        let deed = match (deed, words.next()) {
            ("kill", None) => Deed::Kill,
            ("terminate", None) => Deed::Terminate,
            ("stop", None) => Deed::Stop,
            ("resume", None) => Deed::Resume,
            ("start", None) => Deed::Start,
            ("save", None) => Deed::Save,
            ("restore", None) => Deed::Restore,
            ("wipe", None) => Deed::Wipe,
            ("cut", None) => Deed::Cut,
            ("heal", None) => Deed::Heal,
            ("fault", Some(line)) => Deed::Fault(line.to_owned()),
            _ => return Err(malformed()),
        };
        Ok(Self { after: after.0, deed, target: target.to_owned() })
    }
}

/// Finds the process that a target names.
pub fn resolve(fleet: &Fleet, target: &str) -> anyhow::Result<String> {
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

/// Does it to the process `name`.
pub fn run(fleet: &Fleet, deed: &Deed, name: &str) -> anyhow::Result<()> {
    let data = fleet.dir.join("data").join(name);
    let saved = fleet.dir.join("saved").join(name);
    match deed {
        Deed::Kill => fleet.signal(name, Signal::KILL),
        Deed::Terminate => fleet.signal(name, Signal::TERM),
        Deed::Stop => fleet.signal(name, Signal::STOP),
        Deed::Resume => fleet.signal(name, Signal::CONT),
        Deed::Fault(line) => fleet.set_faults(name, line),
        Deed::Start => fleet.run_script(&["start", &fleet.dir.display().to_string(), name]),
        Deed::Save => copy(&data, &saved),
        Deed::Restore => copy(&saved, &data),
        Deed::Wipe => Ok(std::fs::remove_dir_all(data)?),
        Deed::Cut => cut(fleet, Some(fleet.domains.get(name).map_or(name, String::as_str))),
        Deed::Heal => cut(fleet, None),
    }
}

/// Replaces the folder `to` by a copy of the files in `from`.
fn copy(from: &Path, to: &Path) -> anyhow::Result<()> {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to)?;
    for file in std::fs::read_dir(from)? {
        let file = file?;
        std::fs::copy(file.path(), to.join(file.file_name()))?;
    }
    Ok(())
}

/// Cuts one failure domain off from all others, or none.
fn cut(fleet: &Fleet, domain: Option<&str>) -> anyhow::Result<()> {
    fleet.cut_frames(domain)?;
    let domains: BTreeSet<&String> = fleet.domains.values().collect();
    for name in fleet.upstreams.keys() {
        let own = fleet.domains.get(name).map(String::as_str);
        let reached = |other: &&&String| match domain {
            None => true,
            Some(cut) => Some(other.as_str()) == own || (own != Some(cut) && other.as_str() != cut),
        };
        let cut: Vec<&&String> = domains.iter().filter(|other| !reached(other)).collect();
        // An instance that was killed has no faults to set.
        let _ = fleet.set_faults(name, &serde_json::json!({ "cut": cut }).to_string());
    }
    Ok(())
}
