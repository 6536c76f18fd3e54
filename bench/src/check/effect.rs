//! Rules on effects: no acknowledged effect is lost, none is applied twice, and a request that failed or was not run has
//! none.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::{Rule, Violation};
use crate::history::{Database, Databases, Kind, Outcome, Request};

/// The outcomes of all attempts at one effect.
#[derive(Debug, Default)]
struct Attempts {
    acknowledged: bool,
    /// Whether an attempt may have run without an acknowledgement.
    unresolved: bool,
    parts: usize,
}

pub fn check(requests: &[&Request], databases: &Databases) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut groups: BTreeMap<&str, Vec<&Request>> = BTreeMap::new();
    for request in requests {
        groups.entry(&request.group).or_default().push(request);
    }
    for (group, requests) in groups {
        let Some(database) = databases.get(group) else {
            let seen = format!("{group} has no final database");
            violations.push(Violation::new(Rule::Lost, seen));
            continue;
        };
        violations.extend(check_effects(group, &requests, database));
        violations.extend(reads_of_unrun_effects(&requests));
    }
    violations
}

fn check_effects(group: &str, requests: &[&Request], database: &Database) -> Vec<Violation> {
    let counts = count_effects(database);
    let mut violations = Vec::new();
    for (effect, count) in &counts {
        if *count > 1 {
            let seen = format!("{effect} was applied {count} times in {group}");
            violations.push(Violation::new(Rule::Doubled, seen));
        }
    }
    for (effect, attempts) in attempts_by_effect(requests) {
        let present = (0..attempts.parts)
            .filter(|part| counts.contains_key(&part_name(effect, *part)))
            .count();
        if attempts.acknowledged && present < attempts.parts {
            let seen = format!("{effect} was acknowledged but is missing in {group}");
            violations.push(Violation::new(Rule::Lost, seen));
        }
        if !attempts.acknowledged && !attempts.unresolved && present > 0 {
            let seen = format!("{effect} failed or was not run but is in {group}");
            violations.push(Violation::new(Rule::NotRun, seen));
        }
    }
    violations
}

fn attempts_by_effect<'a>(requests: &[&'a Request]) -> BTreeMap<&'a str, Attempts> {
    let mut all: BTreeMap<&str, Attempts> = BTreeMap::new();
    for request in requests {
        let Some((effect, parts)) = effect_of(&request.kind) else { continue };
        let attempts = all.entry(effect).or_default();
        attempts.parts = parts;
        match request.outcome {
            Outcome::Done { .. } => attempts.acknowledged = true,
            Outcome::Unknown(_) | Outcome::Cut { .. } => attempts.unresolved = true,
            Outcome::NotRun(_) | Outcome::Failed(_) => {}
        }
    }
    all
}

/// Returns the effect of a request and the number of its parts, or `None` for a read.
fn effect_of(kind: &Kind) -> Option<(&str, usize)> {
    match kind {
        Kind::Write { entry } => Some((entry, 1)),
        Kind::Once { key } => Some((key, 1)),
        Kind::Transaction { tx, .. } => Some((tx, 3)),
        Kind::Read { .. } | Kind::List { .. } => None,
    }
}

fn part_name(effect: &str, part: usize) -> String {
    if effect.starts_with('t') { format!("{effect}/{part}") } else { effect.to_owned() }
}

/// Counts how often the database holds each effect, or part of one.
fn count_effects(database: &Database) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    let entries = database.entries.iter().map(|(_, entry)| entry.clone());
    let items = database.items.iter().map(|item| format!("{}/{}", item.tx, item.part));
    for effect in entries.chain(database.keys.iter().cloned()).chain(items) {
        *counts.entry(effect).or_default() += 1;
    }
    counts
}

/// Finds reads that returned an effect of a request that failed or was not run.
fn reads_of_unrun_effects(requests: &[&Request]) -> Vec<Violation> {
    let attempts = attempts_by_effect(requests);
    let unrun: HashSet<&str> = attempts
        .iter()
        .filter(|(_, attempts)| !attempts.acknowledged && !attempts.unresolved)
        .map(|(effect, _)| *effect)
        .collect();
    let mut violations = Vec::new();
    for request in requests {
        let Outcome::Done { rows } = &request.outcome else { continue };
        let read_items = match &request.kind {
            Kind::Transaction { read, .. } => read.as_slice(),
            _ => &[],
        };
        let values = rows.iter().map(|(_, value)| value).chain(read_items);
        for value in values {
            let effect = value.split_once('/').map_or(value.as_str(), |split| split.0);
            if unrun.contains(effect) {
                let seen =
                    format!("request {} read {effect}, which failed or was not run", request.id);
                violations.push(Violation::new(Rule::NotRun, seen));
            }
        }
    }
    violations
}
