//! Reads declarations.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use super::table::Table;
use crate::config::Span;
use crate::config::{
    Account, Class, Consistency, Database, Durability, Fleet, Group, KeyDigest, Objective, Peak,
    Quota, Request, Share,
};
use crate::id;

const fn seconds(from: u64, to: u64) -> Range<Duration> {
    Duration::from_secs(from)..Duration::from_secs(to)
}

/// Valid deadlines of a class.
const DEADLINE: Range<Duration> = Duration::from_millis(10)..Duration::from_secs(300);
/// Valid maximum ages of the data of a read.
const MAX_AGE: Range<Duration> = Duration::from_millis(1)..Duration::from_secs(3_600);
/// Valid time limits and target latencies of a statement.
const TIMEOUT: Range<Duration> = Duration::from_millis(1)..Duration::from_secs(300);
/// Valid idle times of a transaction.
const IDLE_TRANSACTION: Range<Duration> = Duration::from_millis(10)..Duration::from_secs(3_600);
/// Valid retention periods of the key of a `once` request.
const KEEP: Range<Duration> = seconds(60, 90 * 86_400);
/// Valid durations of a peak.
const PEAK_DURATION: Range<Duration> = seconds(60, 86_400);
/// Valid times to open a connection.
const CONNECT_TIME: Range<Duration> = Duration::ZERO..Duration::from_secs(10);
/// Valid failover gaps of an objective.
const FAILOVER_GAP: Range<Duration> = Duration::from_millis(100)..Duration::from_secs(300);
/// Valid numbers of instances of a group.
const INSTANCES: std::ops::RangeInclusive<u32> = 1..=15;
/// Valid numbers of slots of an instance.
const SLOTS: std::ops::RangeInclusive<u32> = 1..=1_000;
/// Connections that an instance needs in addition to its slots: one for the probe of a control process, one for that
/// of a proxy.
const PROBE_CONNECTIONS: u32 = 2;
/// The highest number of connections of an instance.
const MAX_CONNECTIONS: u32 = 100_000;
/// Valid numbers of operations that an account may run at once.
const BURST: std::ops::RangeInclusive<u32> = 1..=1_000_000;
/// Valid characters of a name.
const VALID_NAME: &str = "letters, digits and -_.:";

pub(super) fn read(root: &Table<'_>) -> Option<Fleet> {
    let class: BTreeMap<id::Class, Class> =
        root.named_tables("class", read_class).into_iter().collect();
    check_guarantees(root, &class);
    let names: BTreeSet<id::Class> = class.keys().cloned().collect();
    let group = root.named_tables("group", |table| read_group(table, &names));
    let group: BTreeMap<id::Group, Group> = group.into_iter().collect();
    let database = root.named_tables("database", |table| read_database(table, &names, &group));
    let idle_transaction = root.span("idle_transaction", IDLE_TRANSACTION);
    let seen = RefCell::default();
    let account = root.named_tables("account", |table| read_account(table, &seen));
    let account: BTreeMap<id::Account, Account> = account.into_iter().collect();
    let require_account = root.flag("require_account") || !account.is_empty();
    let database = database.into_iter().collect();
    Some(Fleet { class, group, database, idle_transaction, account, require_account })
}

fn read_database(
    table: &Table<'_>,
    classes: &BTreeSet<id::Class>,
    groups: &BTreeMap<id::Group, Group>,
) -> Option<Database> {
    let group: Option<id::Group> = table.required("group", VALID_NAME);
    if group.as_ref().is_some_and(|group| !groups.contains_key(group)) {
        table.fault("group", "is not declared");
    }
    let class = table.required("class", VALID_NAME);
    check_class(table, "class", class.as_ref(), classes);
    let levels =
        [("latest", Level::Latest), ("bounded", Level::Bounded), ("session", Level::Session)];
    let level = table.keyword("reads", &levels).unwrap_or(Level::Latest);
    let max_age = table.span("max_age", MAX_AGE);
    if max_age.is_none() && level != Level::Latest {
        table.fault("max_age", "is missing; reads that may be old need it; valid: 1ms to 1h");
    }
    let age = max_age.unwrap_or(Span(Duration::ZERO));
    let reads = match level {
        Level::Latest => Consistency::Latest,
        Level::Bounded => Consistency::Bounded(age),
        Level::Session => Consistency::Session(age),
    };
    let timeout = table.required_span("timeout", TIMEOUT);
    let target = table.required_span("target", TIMEOUT);
    let open = table.flag("open");
    Some(Database { group: group?, class: class?, reads, timeout: timeout?, target: target?, open })
}

/// Reads an account. `seen` has the keys of the accounts read before, each with the path of its account.
fn read_account(table: &Table<'_>, seen: &RefCell<BTreeMap<KeyDigest, String>>) -> Option<Account> {
    let mut keys: Vec<KeyDigest> = table.list("keys", "digests of keys");
    keys.sort_unstable();
    keys.dedup();
    for key in &keys {
        let owner = seen.borrow_mut().insert(*key, table.path().to_owned());
        if let Some(owner) = owner {
            table.fault_without_value("keys", format!("has a key that {owner} has too"));
        }
    }
    let rate = table.optional("rate", "a rate such as 50/s");
    let burst = table.optional_number("burst", BURST);
    if table.has("rate") && !table.has("burst") {
        table.fault("burst", "is missing; a rate needs it; valid: 1 to 1000000");
    }
    if table.has("burst") && !table.has("rate") {
        table.fault("rate", "is missing; a burst needs it; valid: a rate such as 50/s");
    }
    let quota = rate.zip(burst).map(|(rate, burst)| Quota { rate, burst });
    Some(Account { keys, quota })
}

/// Consistency level of a database's reads: [`Consistency`] without the maximum age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Level {
    Latest,
    Bounded,
    Session,
}

fn read_class(table: &Table<'_>) -> Option<Class> {
    let priority = table.required_number("priority", 0..=255);
    let deadline = table.required_span("deadline", DEADLINE);
    let objective = table.table("objective", |table| Some(read_objective(table)));
    let guaranteed = table.optional("guaranteed", "a share of 0% to 100%, such as 10%");
    let most: Option<Share> = table.optional("most", "a share above 0% up to 100%, such as 50%");
    if most == Some(Share::per_million(0)) {
        table.fault("most", "leaves the class no connection; valid: a share above 0%");
    }
    Some(Class {
        priority: u8::try_from(priority?).ok()?,
        deadline: deadline?,
        objective: objective.unwrap_or_default(),
        guaranteed,
        most,
    })
}

/// Reports guaranteed parts that are more than the whole. Shares have millionths, so a thousandth of one is rounding.
fn check_guarantees(root: &Table<'_>, classes: &BTreeMap<id::Class, Class>) {
    let guaranteed = classes.values().filter_map(|class| class.guaranteed);
    let sum: f64 = guaranteed.map(Share::fraction).sum();
    if sum > 1.0 + 1e-9 {
        let problem = format!("guarantees {:.1}% of the time; valid: at most 100%", sum * 100.0);
        root.fault("class", problem);
    }
}

fn read_objective(table: &Table<'_>) -> Objective {
    const VALID_SHARE: &str = "a share of 0% to 100%, such as 99.9%";
    let defaults = Objective::default();
    Objective {
        answered: table.optional("answered", VALID_SHARE).unwrap_or(defaults.answered),
        known: table.optional("known", VALID_SHARE).unwrap_or(defaults.known),
        replica_reads: table.optional("replica_reads", VALID_SHARE),
        failover_gap: table.span("failover_gap", FAILOVER_GAP),
    }
}

fn read_group(table: &Table<'_>, classes: &BTreeSet<id::Class>) -> Option<Group> {
    let instances = table.required_number("instances", INSTANCES);
    let slots = table.required_number("slots", SLOTS);
    let connections = table.required_number("connections", 1..=MAX_CONNECTIONS);
    let min_connections = slots.unwrap_or(1) + PROBE_CONNECTIONS;
    if connections.is_some_and(|connections| connections < min_connections) {
        let problem =
            format!("leaves none for the probes; valid: {min_connections} to {MAX_CONNECTIONS}");
        table.fault("connections", problem);
    }
    let connect_time = table.required_span("connect_time", CONNECT_TIME);
    let levels = [("majority", Durability::Majority), ("primary", Durability::Primary)];
    let durability = table.keyword("durability", &levels).unwrap_or_default();
    let promoted_outside = table.flag("promoted_outside");
    let default_class = table.required("default_class", VALID_NAME);
    check_class(table, "default_class", default_class.as_ref(), classes);
    let request = table.named_tables("request", |table| read_request(table, classes));
    let peak = table.tables("peak", read_peak);
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
    let class = table.required("class", VALID_NAME);
    check_class(table, "class", class.as_ref(), classes);
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
    let lasts = table.required_span("lasts", PEAK_DURATION);
    Some(Peak { at: at?, lasts: lasts? })
}

fn check_class(
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
