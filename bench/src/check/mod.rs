//! The checker: decides from a history and the surviving databases whether the rules held.

mod answer;
mod effect;
mod epoch;
mod final_state;
mod gap;
mod transaction;

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use serde::{Deserialize, Serialize};

pub use gap::{Gap, gaps, worst};

use crate::fleet::Fleet;
use crate::history::{self, Databases, Event, Outcome, Record, Request};
use crate::load::HISTORY;

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A session reads its own writes.
    ReadYourWrites,
    /// No acknowledged write is lost.
    Lost,
    /// Nothing takes effect twice.
    Doubled,
    /// What was not run has no effect.
    NotRun,
    /// Nothing is acknowledged in a replaced epoch.
    ReplacedEpoch,
    /// Every answer is whole and belongs to its own request.
    Answer,
    /// A transaction is seen whole or not at all, and transactions have one order.
    Mixed,
    /// Old data is not older than stated.
    Age,
    /// Every request gets a final answer.
    CutOff,
    /// All instances of a group end with the same data.
    Diverged,
}

/// All rules, in the order of reports.
pub const RULES: [Rule; 10] = [
    Rule::ReadYourWrites,
    Rule::Lost,
    Rule::Doubled,
    Rule::NotRun,
    Rule::ReplacedEpoch,
    Rule::Answer,
    Rule::Mixed,
    Rule::Age,
    Rule::CutOff,
    Rule::Diverged,
];

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ReadYourWrites => "read_your_writes",
            Self::Lost => "lost",
            Self::Doubled => "doubled",
            Self::NotRun => "not_run",
            Self::ReplacedEpoch => "replaced_epoch",
            Self::Answer => "answer",
            Self::Mixed => "mixed",
            Self::Age => "age",
            Self::CutOff => "cut_off",
            Self::Diverged => "diverged",
        })
    }
}

/// A rule that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What was seen.
    pub seen: String,
}

impl Violation {
    fn new(rule: Rule, seen: String) -> Self {
        Self { rule, seen }
    }
}

/// What a check found.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// How many requests had each outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// The rules that did not hold.
    pub violations: Vec<Violation>,
    /// How long writes were not possible after each fault.
    pub gaps: Vec<Gap>,
}

impl Report {
    /// Counts the violations of a rule.
    pub fn count(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|violation| violation.rule == rule).count()
    }
}

/// Decides from a history and the surviving databases.
pub fn find_violations(records: &[Record], databases: &Databases) -> Vec<Violation> {
    let requests = requests(records);
    let events = events(records);
    let mut violations = answer::check(&requests, &events);
    violations.extend(effect::check(&requests, databases));
    violations.extend(epoch::check(&requests));
    violations.extend(transaction::check(&requests, databases));
    violations
}

/// Checks the history in a fleet's folder against the instances that are up.
///
/// # Errors
///
/// Fails when the history or the databases can't be read.
pub fn run(dir: &Path) -> anyhow::Result<Report> {
    let records = history::read(&dir.join(HISTORY))?;
    let fleet = Fleet::open(dir)?;
    let (databases, diverged) = smol::block_on(final_state::read(&fleet))?;
    std::fs::write(dir.join("survivors.json"), serde_json::to_vec(&databases)?)?;
    let mut violations = find_violations(&records, &databases);
    violations.extend(diverged);
    let report = Report { outcomes: count_outcomes(&records), violations, gaps: gaps(&records) };
    std::fs::write(dir.join("check.json"), serde_json::to_vec_pretty(&report)?)?;
    Ok(report)
}

fn requests(records: &[Record]) -> Vec<&Request> {
    let all = records.iter();
    let requests = all.filter_map(|record| match record {
        Record::Request(request) => Some(request),
        Record::Event(_) => None,
    });
    requests.collect()
}

fn events(records: &[Record]) -> Vec<&Event> {
    let all = records.iter();
    let events = all.filter_map(|record| match record {
        Record::Event(event) => Some(event),
        Record::Request(_) => None,
    });
    events.collect()
}

fn count_outcomes(records: &[Record]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for request in requests(records) {
        let name = match &request.outcome {
            Outcome::Done { .. } => "done".to_owned(),
            Outcome::Failed(response) => format!("failed {}", response.code),
            Outcome::NotRun(response) => format!("not_run {}", reason_of(&response.detail)),
            Outcome::Unknown(response) => format!("unknown {}", reason_of(&response.detail)),
            Outcome::Cut { .. } => "cut".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn reason_of(detail: &str) -> &str {
    detail.split(' ').find_map(|word| word.strip_prefix("reason=")).unwrap_or("unstated")
}
