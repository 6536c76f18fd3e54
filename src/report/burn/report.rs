//! Aggregates the buckets of all proxies into a report.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::bucket::{Bucket, Counts, Minute, Spender};
use super::history::WINDOW_MINUTES;
use crate::config::{Objective, Share};
use crate::id;

/// The windows that burn rates are calculated over, in minutes.
const WINDOWS: [(&str, u64); 5] =
    [("5m", 5), ("30m", 30), ("1h", 60), ("6h", 6 * 60), ("3d", 3 * 24 * 60)];

/// The alerts: severity, long window, short window, and the burn rate that both windows must reach. The long window
/// shows that the burn is significant, the short one that it is still going on.
const ALERTS: [(Severity, &str, &str, f64); 3] = [
    (Severity::Page, "1h", "5m", 14.4),
    (Severity::Page, "6h", "30m", 6.0),
    (Severity::Ticket, "3d", "6h", 1.0),
];

/// The maximum number of spenders in a report.
const MAX_SPENDERS: usize = 20;

/// What an objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Goal {
    /// Requests are answered within their deadline.
    Answered,
    /// Callers know the outcome of their requests.
    Known,
    /// Reads are served by replicas.
    ReplicaReads,
}

impl fmt::Display for Goal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered in time",
            Self::Known => "not lost",
            Self::ReplicaReads => "read from replicas",
        })
    }
}

/// How urgent an alert is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Needs attention immediately.
    Page,
    /// Needs attention within days.
    Ticket,
}

/// A firing alert.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Alert {
    /// How urgent the alert is.
    pub severity: Severity,
    /// The long window.
    pub long: String,
    /// The short window.
    pub short: String,
}

/// The burn rate over a window; at 1 the budget lasts exactly 30 days.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// The window.
    pub window: String,
    /// The rate, or `None` if nothing was counted.
    pub rate: Option<f64>,
}

/// The state of one objective of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The class.
    pub class: id::Class,
    /// What the objective measures.
    pub goal: Goal,
    /// The share that must meet the goal.
    pub target: Share,
    /// Requests or reads counted over the budget's window.
    pub total: u64,
    /// How many of them missed the goal.
    pub missed: u64,
    /// The spent fraction of the budget; above 1 the objective is missed.
    pub spent: f64,
    /// The burn rate over each window.
    pub burns: Vec<Burn>,
    /// The firing alerts.
    pub alerts: Vec<Alert>,
}

/// The requests of one spender that spent budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spending {
    /// The spender.
    #[serde(flatten)]
    pub spender: Spender,
    /// Number of requests.
    pub requests: u64,
}

/// The report on all proxies of a fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The minute of the report.
    pub now: Minute,
    /// The objectives, ordered by class.
    pub lines: Vec<Line>,
    /// The spenders with the most requests, in descending order.
    pub spent: Vec<Spending>,
    /// The failover gaps: the replaced primary, the length in milliseconds, and whether it is within the objective.
    pub gaps: Vec<(id::Instance, u64, bool)>,
    /// The proxies that could not be queried; the report is partial if there are any.
    pub missing: Vec<String>,
    /// The buckets of all proxies, merged, for charts.
    #[serde(skip)]
    pub buckets: BTreeMap<Minute, Bucket>,
}

impl Report {
    /// Aggregates the buckets of all proxies.
    pub fn aggregate(
        now: Minute,
        objectives: &BTreeMap<id::Class, Objective>,
        proxies: &[Vec<Bucket>],
        missing: Vec<String>,
    ) -> Self {
        let mut buckets: BTreeMap<Minute, Bucket> = BTreeMap::new();
        let mut sum = Bucket::new(Minute::default());
        let oldest = Minute(now.0.saturating_sub(WINDOW_MINUTES));
        let in_window = |bucket: &&Bucket| bucket.end() > oldest;
        for bucket in proxies.iter().flatten().filter(in_window) {
            sum.merge(bucket);
            let merged = buckets.entry(bucket.start).or_insert_with(|| Bucket {
                start: bucket.start,
                minutes: bucket.minutes,
                ..Bucket::default()
            });
            merged.minutes = merged.minutes.max(bucket.minutes);
            merged.merge(bucket);
        }
        let lines = objectives
            .iter()
            .flat_map(|(class, objective)| lines(now, class, objective, &buckets))
            .collect();
        let mut spent: Vec<Spending> = sum
            .spent
            .iter()
            .map(|(spender, requests)| Spending { spender: spender.clone(), requests: *requests })
            .collect();
        spent.sort_by_key(|spending| std::cmp::Reverse(spending.requests));
        spent.truncate(MAX_SPENDERS);
        let allowed = objectives.values().filter_map(|objective| objective.failover_gap).min();
        let within = |ms: u64| allowed.is_none_or(|gap| u128::from(ms) <= gap.0.as_millis());
        let gaps = sum.gaps.iter().map(|(name, ms)| (name.clone(), *ms, within(*ms))).collect();
        Self { now, lines, spent, gaps, missing, buckets }
    }
}

/// Returns the total counted for a goal, and how many missed it.
pub(super) fn count_missed(counts: &Counts, goal: Goal) -> (u64, u64) {
    match goal {
        Goal::Answered => (counts.requests, counts.requests - counts.answered),
        Goal::Known => (counts.requests, counts.requests - counts.known),
        Goal::ReplicaReads => (counts.reads, counts.reads - counts.replica_reads),
    }
}

fn lines(
    now: Minute,
    class: &id::Class,
    objective: &Objective,
    buckets: &BTreeMap<Minute, Bucket>,
) -> Vec<Line> {
    let mut goals = vec![(Goal::Answered, objective.answered), (Goal::Known, objective.known)];
    goals.extend(objective.replica_reads.map(|share| (Goal::ReplicaReads, share)));
    let line = |(goal, target): (Goal, Share)| {
        let window_sum = |minutes| sum(now, minutes, class, goal, buckets);
        let (total, missed) = window_sum(WINDOW_MINUTES);
        let burns: Vec<Burn> = WINDOWS
            .iter()
            .map(|(window, minutes)| Burn {
                window: (*window).to_owned(),
                rate: burn_rate(window_sum(*minutes), target),
            })
            .collect();
        Line {
            class: class.clone(),
            goal,
            target,
            total,
            missed,
            spent: burn_rate((total, missed), target).unwrap_or(0.0),
            alerts: firing_alerts(&burns),
            burns,
        }
    };
    goals.into_iter().map(line).collect()
}

fn sum(
    now: Minute,
    minutes: u64,
    class: &id::Class,
    goal: Goal,
    buckets: &BTreeMap<Minute, Bucket>,
) -> (u64, u64) {
    let start = Minute((now.0 + 1).saturating_sub(minutes));
    let in_window = buckets.values().filter(|bucket| bucket.end() > start && bucket.start <= now);
    let counts = in_window.filter_map(|bucket| bucket.classes.get(class));
    counts.fold((0, 0), |(total, missed), counts| {
        let (bucket_total, bucket_missed) = count_missed(counts, goal);
        (total + bucket_total, missed + bucket_missed)
    })
}

/// Returns the share that missed the goal as a multiple of the allowed share.
fn burn_rate((total, missed): (u64, u64), target: Share) -> Option<f64> {
    if total == 0 {
        return None;
    }
    let share = missed as f64 / total as f64;
    let allowed = 1.0 - target.fraction();
    if missed == 0 {
        return Some(0.0);
    }
    // At a target of 100 % there is no budget: any miss gives a huge but finite rate.
    Some(share / allowed.max(f64::EPSILON))
}

fn firing_alerts(burns: &[Burn]) -> Vec<Alert> {
    let reached = |window: &str, rate: f64| {
        let burn = burns.iter().find(|burn| burn.window == window);
        burn.and_then(|burn| burn.rate).is_some_and(|burn| burn >= rate)
    };
    let firing = ALERTS
        .iter()
        .filter(|(_, long, short, rate)| reached(long, *rate) && reached(short, *rate));
    firing
        .map(|(severity, long, short, _)| Alert {
            severity: *severity,
            long: (*long).to_owned(),
            short: (*short).to_owned(),
        })
        .collect()
}
