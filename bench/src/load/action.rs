//! What is done to a fleet at a given time of a load: `3s kill primary:ops-1`.

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
    /// The process, `primary:GROUP`, or `replica:GROUP`.
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
    match deed {
        Deed::Kill => fleet.signal(name, Signal::KILL),
        Deed::Terminate => fleet.signal(name, Signal::TERM),
        Deed::Stop => fleet.signal(name, Signal::STOP),
        Deed::Resume => fleet.signal(name, Signal::CONT),
        Deed::Fault(line) => fleet.fault(name, line),
    }
}
