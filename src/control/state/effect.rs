//! Descriptions, for operators, of what a plan would change and which metrics that puts at risk.

use std::collections::BTreeMap;

use super::{Intent, Membership, State};
use crate::id;

/// The maximum number of effects listed: more would hardly be read, and the outcome stays in the replicated state.
const MAX_EFFECTS: usize = 50;

/// The metrics that a declaration affects, by the last part of its key.
const RISKS: [(&str, &str); 16] = [
    ("at", "waiting time at the peak"),
    ("class", "priority and deadline of the request"),
    ("connect_time", "connections opened ahead of a peak"),
    ("connections", "waiting time, requests refused"),
    ("deadline", "requests refused, time to answer"),
    ("default_class", "priority and deadline of unnamed statements"),
    ("durability", "acknowledged writes lost at a failover, time to answer writes"),
    ("guaranteed", "who waits when capacity is scarce"),
    ("idempotent", "requests that run twice"),
    ("instances", "how many instances a failover needs"),
    ("keep", "how long a resent request is recognised"),
    ("lasts", "waiting time at the peak"),
    ("max_age", "age of the data read, load of the primary"),
    ("most", "connections that a class may hold"),
    ("once", "requests that run twice"),
    ("priority", "who waits when connections are scarce"),
];

/// Lists the changes that `intent` would make.
pub(super) fn list(state: &State, intent: &Intent) -> Vec<String> {
    match intent {
        Intent::Configure { text } => differences(&state.text, text),
        Intent::Drain { instance } => vec![describe_drain(state, instance)],
        Intent::Undrain { instance } => vec![format!("{instance} takes work again")],
        Intent::Peak { group, lasts_ms, .. } => {
            vec![format!("group {group}: connections are opened ahead of a peak of {lasts_ms} ms")]
        }
        Intent::Member(change) => vec![describe_member_change(change)],
    }
}

/// Returns a one-line name of an intent.
pub(super) fn intent_name(intent: &Intent) -> String {
    match intent {
        Intent::Configure { .. } => "configure".to_owned(),
        Intent::Drain { instance } => format!("drain {instance}"),
        Intent::Undrain { instance } => format!("undrain {instance}"),
        Intent::Peak { group, .. } => format!("peak of {group}"),
        Intent::Member(change) => describe_member_change(change),
    }
}

fn describe_drain(state: &State, instance: &id::Instance) -> String {
    let led_epoch = state.epochs.values().find(|epoch| epoch.primary == *instance);
    match led_epoch {
        Some(epoch) => format!(
            "{instance} takes no new work; it is the primary of group {}, so another one is promoted; \
             at risk: gap of writes",
            epoch.group
        ),
        None => format!("{instance} takes no new work; at risk: waiting time of reads"),
    }
}

fn describe_member_change(change: &Membership) -> String {
    match change {
        Membership::Learn(voter) => {
            format!("{} learns the log and votes once it holds it", voter.node)
        }
        Membership::Admit(node) => format!("{node} votes"),
        Membership::Remove(node) => {
            format!("{node} votes no more; at risk: how many voters may fail")
        }
        Membership::Started { node, .. } => format!("{node} was started"),
    }
}

/// Lists the differences between two declarations, key by key.
fn differences(before: &str, after: &str) -> Vec<String> {
    let (before, after) = (flatten_toml(before), flatten_toml(after));
    let mut effects = Vec::new();
    for (key, value) in &after {
        match before.get(key) {
            None => effects.push(format!("{key}: {value} (new){}", risk_suffix(key))),
            Some(old) if old != value => {
                effects.push(format!("{key}: {old} -> {value}{}", risk_suffix(key)));
            }
            Some(_) => {}
        }
    }
    let gone = before.iter().filter(|(key, _)| !after.contains_key(*key));
    effects
        .extend(gone.map(|(key, value)| format!("{key}: {value} (removed){}", risk_suffix(key))));
    let more = effects.len().saturating_sub(MAX_EFFECTS);
    if more > 0 {
        let groups = affected_groups(&effects);
        effects.truncate(MAX_EFFECTS);
        effects.push(format!("and {more} more changes; groups: {groups}"));
    }
    effects
}

/// Lists the groups that the effects concern, at most [`MAX_EFFECTS`] of them.
fn affected_groups(effects: &[String]) -> String {
    let group =
        |effect: &String| effect.strip_prefix("group.")?.split('.').next().map(str::to_owned);
    let mut groups: Vec<String> = effects.iter().filter_map(group).collect();
    groups.dedup();
    let count = groups.len();
    groups.truncate(MAX_EFFECTS);
    let more = if count > MAX_EFFECTS {
        format!(" and {} more", count - MAX_EFFECTS)
    } else {
        String::new()
    };
    format!("{}{more}", groups.join(", "))
}

fn risk_suffix(key: &str) -> String {
    let last = key.rsplit('.').next().unwrap_or(key);
    let metric = RISKS.iter().find(|(known, _)| *known == last);
    metric.map_or_else(String::new, |(_, metric)| format!("; at risk: {metric}"))
}

fn flatten_toml(text: &str) -> BTreeMap<String, String> {
    let mut keys = BTreeMap::new();
    if let Ok(table) = text.parse::<toml::Table>() {
        flatten_value("", &toml::Value::Table(table), &mut keys);
    }
    keys
}

fn flatten_value(path: &str, value: &toml::Value, keys: &mut BTreeMap<String, String>) {
    let join = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        toml::Value::Table(table) => {
            table.iter().for_each(|(key, value)| flatten_value(&join(key), value, keys));
        }
        toml::Value::Array(array) => {
            let parts = array.iter().enumerate();
            parts.for_each(|(at, value)| flatten_value(&join(&at.to_string()), value, keys));
        }
        leaf => {
            keys.insert(path.to_owned(), leaf.to_string());
        }
    }
}
