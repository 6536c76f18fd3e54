//! Rules on effects: none lost, none doubled, none of what was not run.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::{Rule, Violation};
use crate::history::{Database, Kind, Outcome, Request, Survivors};

/// What the callers were told of one effect, over all attempts.
#[derive(Debug, Default)]
struct Told {
    done: bool,
    /// Whether some attempt may have run without the caller knowing.
    open: bool,
    parts: usize,
}

pub fn check(requests: &[&Request], survivors: &Survivors) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut groups: BTreeMap<&str, Vec<&Request>> = BTreeMap::new();
    for request in requests {
        groups.entry(&request.group).or_default().push(request);
    }
    for (group, requests) in groups {
        let Some(database) = survivors.get(group) else {
            let seen = format!("{group} has no surviving database");
            violations.push(Violation::new(Rule::Lost, seen));
            continue;
        };
        violations.extend(effects(group, &requests, database));
        violations.extend(unrun_reads(&requests));
    }
    violations
}

fn effects(group: &str, requests: &[&Request], database: &Database) -> Vec<Violation> {
    let held = held(database);
    let mut violations = Vec::new();
    for (effect, count) in &held {
        if *count > 1 {
            let seen = format!("{effect} is {count} times in {group}");
            violations.push(Violation::new(Rule::Doubled, seen));
        }
    }
    for (effect, told) in told(requests) {
        let present =
            (0..told.parts).filter(|part| held.contains_key(&name(effect, *part))).count();
        if told.done && present < told.parts {
            let seen = format!("{effect} was acknowledged and is not in {group}");
            violations.push(Violation::new(Rule::Lost, seen));
        }
        if !told.done && !told.open && present > 0 {
            let seen = format!("{effect} was not run and is in {group}");
            violations.push(Violation::new(Rule::NotRun, seen));
        }
    }
    violations
}

fn told<'a>(requests: &[&'a Request]) -> BTreeMap<&'a str, Told> {
    let mut all: BTreeMap<&str, Told> = BTreeMap::new();
    for request in requests {
        let Some((effect, parts)) = effect(&request.kind) else { continue };
        let told = all.entry(effect).or_default();
        told.parts = parts;
        match request.outcome {
            Outcome::Done { .. } => told.done = true,
            Outcome::Unknown(_) | Outcome::Cut { .. } => told.open = true,
            Outcome::NotRun(_) | Outcome::Failed(_) => {}
        }
    }
    all
}

/// Names the effect of a request, and says how many parts it has.
fn effect(kind: &Kind) -> Option<(&str, usize)> {
    match kind {
        Kind::Write { entry } => Some((entry, 1)),
        Kind::Once { key } => Some((key, 1)),
        Kind::Transaction { tx, .. } => Some((tx, 3)),
        Kind::Read { .. } | Kind::List { .. } => None,
    }
}

fn name(effect: &str, part: usize) -> String {
    if effect.starts_with('t') { format!("{effect}/{part}") } else { effect.to_owned() }
}

/// Counts each effect that a database holds.
fn held(database: &Database) -> HashMap<String, usize> {
    let mut held = HashMap::new();
    let entries = database.entries.iter().map(|(_, entry)| entry.clone());
    let items = database.items.iter().map(|item| format!("{}/{}", item.tx, item.part));
    for effect in entries.chain(database.keys.iter().cloned()).chain(items) {
        *held.entry(effect).or_default() += 1;
    }
    held
}

/// Finds reads that saw what was not run.
fn unrun_reads(requests: &[&Request]) -> Vec<Violation> {
    let told = told(requests);
    let unrun: HashSet<&str> = told
        .iter()
        .filter(|(_, told)| !told.done && !told.open)
        .map(|(effect, _)| *effect)
        .collect();
    let mut violations = Vec::new();
    for request in requests {
        let Outcome::Done { rows } = &request.outcome else { continue };
        let listed = match &request.kind {
            Kind::Transaction { read, .. } => read.as_slice(),
            _ => &[],
        };
        let values = rows.iter().map(|(_, value)| value).chain(listed);
        for value in values {
            let effect = value.split_once('/').map_or(value.as_str(), |split| split.0);
            if unrun.contains(effect) {
                let seen = format!("request {} saw {effect}, which was not run", request.id);
                violations.push(Violation::new(Rule::NotRun, seen));
            }
        }
    }
    violations
}
