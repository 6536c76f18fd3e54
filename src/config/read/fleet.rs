//! Reads declarations.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use super::table::Table;
use crate::config::Span;
use crate::config::{Class, Database, Durability, Fleet, Group, Objective, Peak, Reads, Request};
use crate::id;

const fn seconds(from: u64, to: u64) -> Range<Duration> {
    Duration::from_secs(from)..Duration::from_secs(to)
}

/// How long an answer may take.
const DEADLINE: Range<Duration> = Duration::from_millis(10)..Duration::from_secs(300);
/// How old the data of a read may be.
const MAX_AGE: Range<Duration> = Duration::from_millis(1)..Duration::from_secs(3_600);
/// How long a statement may take, or should take at the most.
const TIMEOUT: Range<Duration> = Duration::from_millis(1)..Duration::from_secs(300);
/// How long a transaction may rest.
const IDLE_TRANSACTION: Range<Duration> = Duration::from_millis(10)..Duration::from_secs(3_600);
/// How long a key is kept.
const KEEP: Range<Duration> = seconds(60, 90 * 86_400);
/// How long a peak lasts.
const LASTS: Range<Duration> = seconds(60, 86_400);
/// How long a new connection takes.
const CONNECT_TIME: Range<Duration> = Duration::ZERO..Duration::from_secs(10);
/// The failover gap of an objective.
const GAP: Range<Duration> = Duration::from_millis(100)..Duration::from_secs(300);
/// The instances of a group.
const INSTANCES: std::ops::RangeInclusive<u32> = 1..=15;
/// The slots of an instance.
const SLOTS: std::ops::RangeInclusive<u32> = 1..=1_000;
/// The connections of an instance beyond its slots: one for control's probe and one for a proxy's.
const PROBES: u32 = 2;
/// The most connections of an instance.
const MAX_CONNECTIONS: u32 = 100_000;
/// What a name may be.
const NAME: &str = "letters, digits and -_.:";

pub(super) fn read(root: &Table<'_>) -> Option<Fleet> {
    let class: BTreeMap<id::Class, Class> = root.named("class", read_class).into_iter().collect();
    let names: BTreeSet<id::Class> = class.keys().cloned().collect();
    let group = root.named("group", |table| read_group(table, &names));
    let group: BTreeMap<id::Group, Group> = group.into_iter().collect();
    let database = root.named("database", |table| read_database(table, &names, &group));
    let idle_transaction = root.span("idle_transaction", IDLE_TRANSACTION);
    Some(Fleet { class, group, database: database.into_iter().collect(), idle_transaction })
}

fn read_database(
    table: &Table<'_>,
    classes: &BTreeSet<id::Class>,
    groups: &BTreeMap<id::Group, Group>,
) -> Option<Database> {
    let group: Option<id::Group> = table.required("group", NAME);
    if group.as_ref().is_some_and(|group| !groups.contains_key(group)) {
        table.fault("group", "is not declared");
    }
    let class = table.required("class", NAME);
    declared(table, "class", class.as_ref(), classes);
    let words =
        [("latest", Promise::Latest), ("bounded", Promise::Bounded), ("session", Promise::Session)];
    let promise = table.word("reads", &words).unwrap_or(Promise::Latest);
    let max_age = table.span("max_age", MAX_AGE);
    if max_age.is_none() && promise != Promise::Latest {
        table.fault("max_age", "is missing; reads that may be old need it; valid: 1ms to 1h");
    }
    let age = max_age.unwrap_or(Span(Duration::ZERO));
    let reads = match promise {
        Promise::Latest => Reads::Latest,
        Promise::Bounded => Reads::Bounded(age),
        Promise::Session => Reads::Session(age),
    };
    let timeout = table.required_span("timeout", TIMEOUT);
    let target = table.required_span("target", TIMEOUT);
    Some(Database { group: group?, class: class?, reads, timeout: timeout?, target: target? })
}

/// What a database promises of its reads, before the age is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Promise {
    Latest,
    Bounded,
    Session,
}

fn read_class(table: &Table<'_>) -> Option<Class> {
    let priority = table.number("priority", 0..=255);
    let deadline = table.required_span("deadline", DEADLINE);
    let objective = table.table("objective", |table| Some(read_objective(table)));
    Some(Class {
        priority: u8::try_from(priority?).ok()?,
        deadline: deadline?,
        objective: objective.unwrap_or_default(),
    })
}

fn read_objective(table: &Table<'_>) -> Objective {
    const SHARE: &str = "a share of 0% to 100%, such as 99.9%";
    let standard = Objective::default();
    Objective {
        answered: table.text("answered", SHARE).unwrap_or(standard.answered),
        known: table.text("known", SHARE).unwrap_or(standard.known),
        replica_reads: table.text("replica_reads", SHARE),
        failover_gap: table.span("failover_gap", GAP),
    }
}

fn read_group(table: &Table<'_>, classes: &BTreeSet<id::Class>) -> Option<Group> {
    let instances = table.number("instances", INSTANCES);
    let slots = table.number("slots", SLOTS);
    let connections = table.number("connections", 1..=MAX_CONNECTIONS);
    let least = slots.unwrap_or(1) + PROBES;
    if connections.is_some_and(|connections| connections < least) {
        let problem = format!("leaves none for the probes; valid: {least} to {MAX_CONNECTIONS}");
        table.fault("connections", problem);
    }
    let connect_time = table.required_span("connect_time", CONNECT_TIME);
    let words = [("majority", Durability::Majority), ("primary", Durability::Primary)];
    let durability = table.word("durability", &words).unwrap_or_default();
    let promoted_outside = table.flag("promoted_outside");
    let default_class = table.required("default_class", NAME);
    declared(table, "default_class", default_class.as_ref(), classes);
    let request = table.named("request", |table| read_request(table, classes));
    let peak = table.list("peak", read_peak);
    Some(Group {
        instances: instances?,
        slots: slots?,
        connections: connections?,
        connect_time: connect_time?,
        durability,
        promoted_outside,
        default_class: default_class?,
        request: request.into_iter().collect(),
        peak,
    })
}

fn read_request(table: &Table<'_>, classes: &BTreeSet<id::Class>) -> Option<Request> {
    let class = table.required("class", NAME);
    declared(table, "class", class.as_ref(), classes);
    let max_age = table.span("max_age", MAX_AGE);
    let once = table.flag("once");
    let keep = table.span("keep", KEEP);
    let idempotent = table.flag("idempotent");
    let request = Request { class: class?, max_age, once, keep, idempotent };
    if request.once && request.keep.is_none() {
        table.fault("keep", "is missing; a once request needs it; valid: 1m to 90d");
    }
    if !request.once && request.keep.is_some() {
        table.fault("keep", "has no use without once = true");
    }
    if request.once && request.max_age.is_some() {
        table.fault(
            "max_age",
            "can't stand with once = true: a request that writes reads no old data",
        );
    }
    if request.once && request.idempotent {
        table.fault(
            "idempotent",
            "can't stand with once = true: a once request is resent by its key",
        );
    }
    Some(request)
}

fn read_peak(table: &Table<'_>) -> Option<Peak> {
    let at = table.required("at", "00:00 to 23:59, UTC");
    let lasts = table.required_span("lasts", LASTS);
    Some(Peak { at: at?, lasts: lasts? })
}

fn declared(
    table: &Table<'_>,
    key: &'static str,
    class: Option<&id::Class>,
    classes: &BTreeSet<id::Class>,
) {
    if class.is_none_or(|class| classes.contains(class)) {
        return;
    }
    let names: Vec<&str> = classes.iter().map(id::Class::as_str).collect();
    table.fault(key, format!("is not declared; declared classes: {}", names.join(", ")));
}
