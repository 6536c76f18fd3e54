//! What the buckets of all proxies add up to.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::bucket::{Bucket, Counts, Minute, Spender};
use super::history::WINDOW_MINUTES;
use crate::config::{Objective, Share};
use crate::id;

/// The windows that burn rates are given over, in minutes.
const WINDOWS: [(&str, u64); 5] =
    [("5m", 5), ("30m", 30), ("1h", 60), ("6h", 6 * 60), ("3d", 3 * 24 * 60)];

/// When to raise an alert: both windows burn faster than the rate. The long one shows that it matters, the short one
/// that it still goes on.
const ALERTS: [(Severity, &str, &str, f64); 3] = [
    (Severity::Page, "1h", "5m", 14.4),
    (Severity::Page, "6h", "30m", 6.0),
    (Severity::Ticket, "3d", "6h", 1.0),
];

/// How many spenders a report names.
const MAX_SPENDERS: usize = 20;

/// What an objective is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Goal {
    /// Requests are answered within their deadline.
    Answered,
    /// The caller knows the outcome.
    Known,
    /// Replicas serve reads.
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
    /// Somebody has to look now.
    Page,
    /// Somebody has to look within days.
    Ticket,
}

/// An alert that is on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Alert {
    /// How urgent it is.
    pub severity: Severity,
    /// The long window.
    pub long: String,
    /// The short window.
    pub short: String,
}

/// How fast the budget went over a window; at 1 it lasts exactly its window of 30 days.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// The window.
    pub window: String,
    /// The rate, or none when nothing was counted.
    pub rate: Option<f64>,
}

/// One objective of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The class.
    pub class: id::Class,
    /// What the objective is about.
    pub goal: Goal,
    /// The share that is aimed at.
    pub target: Share,
    /// What was counted over the budget's window.
    pub total: u64,
    /// Of that, what missed the goal.
    pub missed: u64,
    /// The part of the budget that is spent; over 1 the objective is missed.
    pub spent: f64,
    /// The burn rates.
    pub burns: Vec<Burn>,
    /// The alerts that are on.
    pub alerts: Vec<Alert>,
}

/// Who spent how much.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spent {
    /// Who and why.
    #[serde(flatten)]
    pub spender: Spender,
    /// How many requests.
    pub requests: u64,
}

/// The report of a fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The minute that it is made in.
    pub now: Minute,
    /// The objectives, by class.
    pub lines: Vec<Line>,
    /// What spent the budgets, the most first.
    pub spent: Vec<Spent>,
    /// The failover gaps: the primary that was replaced, milliseconds, and whether the objective allows that.
    pub gaps: Vec<(id::Instance, u64, bool)>,
    /// The proxies that could not be asked; the report is partial when there are any.
    pub missing: Vec<String>,
    /// The buckets that it is made of, added up, for plots.
    #[serde(skip)]
    pub buckets: BTreeMap<Minute, Bucket>,
}

impl Report {
    /// Adds up the buckets of all proxies.
    pub fn of(
        now: Minute,
        objectives: &BTreeMap<id::Class, Objective>,
        proxies: &[Vec<Bucket>],
        missing: Vec<String>,
    ) -> Self {
        let mut buckets: BTreeMap<Minute, Bucket> = BTreeMap::new();
        let mut all = Bucket::new(Minute::default());
        let oldest = Minute(now.0.saturating_sub(WINDOW_MINUTES));
        let fresh = |bucket: &&Bucket| bucket.end() > oldest;
        for bucket in proxies.iter().flatten().filter(fresh) {
            all.add(bucket);
            let known = buckets.entry(bucket.start).or_insert_with(|| Bucket {
                start: bucket.start,
                minutes: bucket.minutes,
                ..Bucket::default()
            });
            known.minutes = known.minutes.max(bucket.minutes);
            known.add(bucket);
        }
        let lines = objectives
            .iter()
            .flat_map(|(class, objective)| lines(now, class, objective, &buckets))
            .collect();
        let mut spent: Vec<Spent> = all
            .spent
            .iter()
            .map(|(spender, requests)| Spent { spender: spender.clone(), requests: *requests })
            .collect();
        spent.sort_by_key(|spent| std::cmp::Reverse(spent.requests));
        spent.truncate(MAX_SPENDERS);
        let allowed = objectives.values().filter_map(|objective| objective.failover_gap).min();
        let within = |ms: u64| allowed.is_none_or(|gap| u128::from(ms) <= gap.0.as_millis());
        let gaps = all.gaps.iter().map(|(name, ms)| (name.clone(), *ms, within(*ms))).collect();
        Self { now, lines, spent, gaps, missing, buckets }
    }
}

/// Returns what was counted for a goal, and what missed it.
pub(super) fn counted(counts: &Counts, goal: Goal) -> (u64, u64) {
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
        let sum = |minutes| sum(now, minutes, class, goal, buckets);
        let (total, missed) = sum(WINDOW_MINUTES);
        let burns: Vec<Burn> = WINDOWS
            .iter()
            .map(|(window, minutes)| Burn {
                window: (*window).to_owned(),
                rate: rate(sum(*minutes), target),
            })
            .collect();
        Line {
            class: class.clone(),
            goal,
            target,
            total,
            missed,
            spent: rate((total, missed), target).unwrap_or(0.0),
            alerts: alerts(&burns),
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
    let since = Minute((now.0 + 1).saturating_sub(minutes));
    let inside = buckets.values().filter(|bucket| bucket.end() > since && bucket.start <= now);
    let counts = inside.filter_map(|bucket| bucket.classes.get(class));
    counts.fold((0, 0), |(total, missed), counts| {
        let (more, worse) = counted(counts, goal);
        (total + more, missed + worse)
    })
}

/// Returns how many times faster than allowed the goal was missed.
fn rate((total, missed): (u64, u64), target: Share) -> Option<f64> {
    if total == 0 {
        return None;
    }
    let share = missed as f64 / total as f64;
    let allowed = 1.0 - target.fraction();
    if missed == 0 {
        return Some(0.0);
    }
    // With a target of 100 % nothing may be missed, and one miss spends more than any budget.
    Some(share / allowed.max(f64::EPSILON))
}

fn alerts(burns: &[Burn]) -> Vec<Alert> {
    let over = |window: &str, rate: f64| {
        let burn = burns.iter().find(|burn| burn.window == window);
        burn.and_then(|burn| burn.rate).is_some_and(|burn| burn >= rate)
    };
    let on = ALERTS.iter().filter(|(_, long, short, rate)| over(long, *rate) && over(short, *rate));
    on.map(|(severity, long, short, _)| Alert {
        severity: *severity,
        long: (*long).to_owned(),
        short: (*short).to_owned(),
    })
    .collect()
}
