//! The checker: verifies the consistency rules on a history and the final databases.

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

/// A property that must hold in every history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A session sees its own acknowledged writes.
    ReadYourWrites,
    /// No acknowledged write is lost.
    Lost,
    /// No effect is applied twice.
    Doubled,
    /// A request that failed or was not run has no effect.
    NotRun,
    /// No write is acknowledged in an epoch that has been replaced.
    ReplacedEpoch,
    /// Every answer is complete and belongs to its own request.
    Answer,
    /// Transactions are atomic and serializable.
    Mixed,
    /// A read with a permitted age returns no older data.
    Age,
    /// Every request gets a final answer.
    CutOff,
    /// All instances of a group hold the same data at the end.
    Diverged,
}

/// All rules, in the order in which they are printed.
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

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// A description of the violation.
    pub seen: String,
}

impl Violation {
    fn new(rule: Rule, seen: String) -> Self {
        Self { rule, seen }
    }
}

/// The result of a check.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The number of requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// All violations.
    pub violations: Vec<Violation>,
    /// The write gap after each fault of an instance.
    pub gaps: Vec<Gap>,
}

impl Report {
    /// Returns the number of violations of a rule.
    pub fn count(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|violation| violation.rule == rule).count()
    }
}

/// Returns the violations of the rules that a history and the final databases show.
pub fn find_violations(records: &[Record], databases: &Databases) -> Vec<Violation> {
    let requests = requests(records);
    let events = events(records);
    let mut violations = answer::check(&requests, &events);
    violations.extend(effect::check(&requests, databases));
    violations.extend(epoch::check(&requests));
    violations.extend(transaction::check(&requests, databases));
    violations
}

/// Checks the history in a fleet's directory against the instances that are running, and writes `survivors.json` and
/// `check.json` there.
///
/// # Errors
///
/// Fails if the history or a database can't be read, or a file can't be written.
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
