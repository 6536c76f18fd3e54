//! Rules on single requests: a final answer, complete and its own; read-your-writes; the permitted age of data.

use std::collections::{HashMap, HashSet};

use super::{Rule, Violation};
use crate::history::{Event, Kind, Outcome, Request};

/// Acknowledged writes and the times of their acknowledgements, by (group, session).
type WritesBySession<'a> = HashMap<(&'a str, &'a str), Vec<(String, u64)>>;

pub fn check(requests: &[&Request], events: &[&Event]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let entries = acknowledged_writes(requests, written_entry);
    let items = acknowledged_writes(requests, written_items);
    for request in requests {
        if let Outcome::Cut { error } = &request.outcome
            && !is_cut_by_fault(request, events)
        {
            let seen = format!("request {} at {}: {error}", request.id, request.proxy);
            violations.push(Violation::new(Rule::CutOff, seen));
        }
        let Outcome::Done { rows } = &request.outcome else { continue };
        match &request.kind {
            Kind::Read { of, max_age, nonce } => match complete_values(rows, nonce) {
                Ok(values) => {
                    let written = entries.get(&(request.group.as_str(), of.as_str()));
                    let written = written.map_or(&[][..], Vec::as_slice);
                    violations.extend(check_read(request, &values, written, of, *max_age));
                }
                Err(seen) => violations.push(answer_violation(request, &seen)),
            },
            Kind::List { list, nonce } => match complete_values(rows, nonce) {
                Ok(values) => violations.extend(check_own_items(request, *list, &values, &items)),
                Err(seen) => violations.push(answer_violation(request, &seen)),
            },
            Kind::Transaction { lists, read, .. } => {
                let values = read.iter().map(String::as_str).collect();
                violations.extend(check_own_items(request, lists.0, &values, &items));
            }
            Kind::Write { .. } | Kind::Once { .. } => {}
        }
    }
    violations
}

/// Returns whether the proxy was killed before the request ended, or stopped while the request ran, so that a missing
/// answer is no violation.
fn is_cut_by_fault(request: &Request, events: &[&Event]) -> bool {
    let mut stopped_at = None;
    for event in events.iter().filter(|event| event.address == request.proxy) {
        match event.what.as_str() {
            "kill" if event.at <= request.returned => return true,
            "stop" => stopped_at = Some(event.at),
            "resume" => {
                let stop = stopped_at.take();
                let overlaps = event.at >= request.invoked;
                if overlaps && stop.is_some_and(|at| at <= request.returned) {
                    return true;
                }
            }
            _ => {}
        }
    }
    stopped_at.is_some_and(|at| at <= request.returned)
}

fn answer_violation(request: &Request, seen: &str) -> Violation {
    Violation::new(Rule::Answer, format!("request {}: {seen}", request.id))
}

/// Returns the values of a read, or an error when rows are missing or belong to another request.
pub(super) fn complete_values<'a>(
    rows: &'a [(String, String)],
    nonce: &str,
) -> Result<HashSet<&'a str>, String> {
    if let Some((foreign, _)) = rows.iter().find(|(found, _)| found != nonce) {
        return Err(format!("the answer to {nonce} contains a row of {foreign}"));
    }
    let Some(((_, count), values)) = rows.split_last() else {
        return Err("the answer lacks its last row, which holds the number of rows".to_owned());
    };
    if count.parse() != Ok(values.len()) {
        return Err(format!("the answer has {} rows instead of {count}", values.len()));
    }
    Ok(values.iter().map(|(_, value)| value.as_str()).collect())
}

fn check_read(
    request: &Request,
    values: &HashSet<&str>,
    written: &[(String, u64)],
    of: &str,
    max_age: Option<u64>,
) -> Option<Violation> {
    let is_own = of == request.session;
    let missing = |before: u64| {
        written.iter().find(|(entry, at)| *at < before && !values.contains(entry.as_str()))
    };
    if is_own && let Some((entry, _)) = missing(request.invoked) {
        let seen = format!("request {} of {of} misses {entry}", request.id);
        return Some(Violation::new(Rule::ReadYourWrites, seen));
    }
    let before = request.invoked.saturating_sub(max_age?);
    let (entry, at) = missing(before)?;
    let age = request.invoked - at;
    let seen = format!("request {} misses {entry}, which is {age} us old", request.id);
    Some(Violation::new(Rule::Age, seen))
}

fn check_own_items(
    request: &Request,
    list: u32,
    values: &HashSet<&str>,
    items: &WritesBySession<'_>,
) -> Option<Violation> {
    let written = items.get(&(request.group.as_str(), request.session.as_str()))?;
    let prefix = format!("{list}:");
    let own = written.iter().filter(|(_, at)| *at < request.invoked);
    let mut own = own.filter_map(|(item, _)| item.strip_prefix(&prefix));
    let missing = own.find(|item| !values.contains(item))?;
    let seen = format!("request {} of {} misses {missing}", request.id, request.session);
    Some(Violation::new(Rule::ReadYourWrites, seen))
}

fn acknowledged_writes<'a>(
    requests: &[&'a Request],
    writes_of: fn(&Kind) -> Vec<String>,
) -> WritesBySession<'a> {
    let mut all = WritesBySession::new();
    for request in requests {
        if matches!(request.outcome, Outcome::Done { .. }) {
            let key = (request.group.as_str(), request.session.as_str());
            let written = writes_of(&request.kind).into_iter();
            all.entry(key).or_default().extend(written.map(|write| (write, request.returned)));
        }
    }
    all
}

fn written_entry(kind: &Kind) -> Vec<String> {
    match kind {
        Kind::Write { entry } => vec![entry.clone()],
        _ => Vec::new(),
    }
}

fn written_items(kind: &Kind) -> Vec<String> {
    match kind {
        Kind::Transaction { tx, lists, .. } => vec![
            format!("{}:{tx}/0", lists.0),
            format!("{}:{tx}/1", lists.0),
            format!("{}:{tx}/2", lists.1),
        ],
        _ => Vec::new(),
    }
}
