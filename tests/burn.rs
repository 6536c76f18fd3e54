//! Tests of the burn report: aggregation of buckets, alerts, failover gaps, and the history file.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use cactushatch::clock::Instant;
use cactushatch::config::{Objective, Size};
use cactushatch::id;
use cactushatch::proxy::gap::Gaps;
use cactushatch::report::burn::{
    Bucket, Cause, CompletedRequest, Goal, History, Line, Minute, Report, Severity, html, svg, text,
};
use cactushatch::wire::{Epoch, Phase};

const NOW: Minute = Minute(29_000_000);
const LIMIT: Size = Size(64 * 1024);

fn class() -> id::Class {
    "push".parse().unwrap()
}

fn objectives() -> BTreeMap<id::Class, Objective> {
    let objective = Objective {
        replica_reads: Some("90%".parse().unwrap()),
        failover_gap: Some("5s".parse().unwrap()),
        ..Objective::default()
    };
    BTreeMap::from([(class(), objective)])
}

fn completed_request(answered: bool, known: bool, cause: Cause) -> CompletedRequest {
    CompletedRequest { class: class(), primary: "ops-1-1".parse().ok(), answered, known, cause }
}

/// Returns a history with `requests` requests in each of the last `minutes` minutes, `missed` of them unanswered.
fn history(minutes: u64, requests: u64, missed: u64) -> History {
    let history = History::open(None, LIMIT, Minute(NOW.0 - minutes)).unwrap();
    for minute in (NOW.0 - minutes + 1)..=NOW.0 {
        for n in 0..requests {
            let missed = n < missed;
            history
                .record_request(Minute(minute), completed_request(!missed, true, Cause::Failover));
        }
    }
    history
}

fn report(histories: &[&History]) -> Report {
    let buckets: Vec<Vec<Bucket>> = histories.iter().map(|history| history.buckets(NOW)).collect();
    Report::aggregate(NOW, &objectives(), &buckets, Vec::new())
}

fn line(report: &Report, goal: Goal) -> &Line {
    report.lines.iter().find(|line| line.goal == goal).unwrap()
}

fn rate(line: &Line, window: &str) -> Option<f64> {
    line.burns.iter().find(|burn| burn.window == window).unwrap().rate
}

#[test]
fn missing_the_allowed_share_gives_burn_rate_one() {
    // 1 miss in 1000 is exactly what a target of 99.9 % allows.
    let report = report(&[&history(120, 1_000, 1)]);
    let answered = line(&report, Goal::Answered);
    assert_eq!((answered.total, answered.missed), (120_000, 120));
    assert!((answered.spent - 1.0).abs() < 1e-6, "{}", answered.spent);
    for window in ["5m", "30m", "1h"] {
        assert!((rate(answered, window).unwrap() - 1.0).abs() < 1e-6, "{window}");
    }
    assert_eq!(line(&report, Goal::Known).missed, 0);
    assert_eq!(rate(line(&report, Goal::ReplicaReads), "1h"), None, "a rate without reads");
}

#[test]
fn alert_fires_only_if_both_windows_burn() {
    let severities = |report: &Report| -> Vec<Severity> {
        line(report, Goal::Answered).alerts.iter().map(|alert| alert.severity).collect()
    };
    let burning = history(60, 100, 2);
    assert_eq!(
        severities(&report(&[&burning])),
        [Severity::Page, Severity::Page, Severity::Ticket]
    );
    let recovered = history(60, 100, 2);
    for minute in NOW.0 + 1..=NOW.0 + 30 {
        for _ in 0..100 {
            recovered.record_request(Minute(minute), completed_request(true, true, Cause::Other));
        }
    }
    let later = Minute(NOW.0 + 30);
    let report = Report::aggregate(later, &objectives(), &[recovered.buckets(later)], Vec::new());
    assert_eq!(severities(&report), [Severity::Ticket], "a burn that has stopped must not page");
}

#[test]
fn report_sums_proxies_and_names_spenders() {
    let (a, b) = (history(10, 10, 1), history(10, 20, 0));
    b.record_request(NOW, completed_request(false, false, Cause::Overload));
    b.record_read(NOW, &class(), true);
    a.record_read(NOW, &class(), false);
    a.record_gap(NOW, "ops-1-1".parse().unwrap(), 7_000);
    b.record_gap(NOW, "ops-2-1".parse().unwrap(), 800);
    let report = report(&[&a, &b]);
    assert_eq!(line(&report, Goal::Answered).total, 301);
    assert_eq!(line(&report, Goal::Known).missed, 1);
    assert_eq!(line(&report, Goal::ReplicaReads).missed, 1);
    let first = &report.spent[0];
    assert_eq!((first.requests, first.spender.cause), (10, Cause::Failover));
    assert_eq!(first.spender.instance.as_ref().unwrap().as_str(), "ops-1-1");
    let gaps: Vec<(u64, bool)> = report.gaps.iter().map(|(_, ms, within)| (*ms, *within)).collect();
    assert_eq!(gaps, [(7_000, false), (800, true)]);
    let text = text(&report);
    assert!(text.contains("longer than the objective") && text.contains("overload"), "{text}");
}

#[test]
fn old_minutes_are_merged_into_hours_without_losing_counts() {
    let begin = NOW.0 - 31 * 24 * 60;
    let history = History::open(None, LIMIT, Minute(begin)).unwrap();
    for minute in begin + 1..=NOW.0 {
        history.record_request(Minute(minute), completed_request(true, true, Cause::Other));
    }
    let buckets = history.buckets(NOW);
    assert!(buckets.len() < 24 * 61 + 30 * 24 + 2, "{} buckets", buckets.len());
    let total: u64 = buckets.iter().map(|bucket| bucket.classes[&class()].requests).sum();
    let window = 30 * 24 * 60;
    assert!((window..window + 61).contains(&total), "{total}");
}

#[test]
fn spenders_of_a_bucket_are_limited_but_all_requests_counted() {
    let history = History::open(None, LIMIT, NOW).unwrap();
    for n in 0..500 {
        let primary = format!("ops-{n}-1").parse().ok();
        history.record_request(
            NOW,
            CompletedRequest { primary, ..completed_request(false, true, Cause::Late) },
        );
    }
    let bucket = history.buckets(NOW).pop().unwrap();
    assert!(bucket.spent.len() <= 65, "{}", bucket.spent.len());
    assert_eq!(bucket.spent.iter().map(|(_, count)| count).sum::<u64>(), 500);
}

/// Reopens the history in `data` and returns the requests in it.
fn total_requests(data: &Path) -> u64 {
    let history = History::open(Some(data), LIMIT, NOW).unwrap();
    let buckets = history.buckets(NOW);
    let counts = buckets.iter().filter_map(|bucket| bucket.classes.get(&class()));
    counts.map(|counts| counts.requests).sum()
}

#[test]
fn history_survives_restart_truncation_and_corruption() {
    let dir = tempfile::tempdir().unwrap();
    let begin = Minute(NOW.0 - 100);
    let history = History::open(Some(dir.path()), LIMIT, begin).unwrap();
    for minute in begin.0..NOW.0 {
        history.record_request(Minute(minute), completed_request(true, true, Cause::Other));
    }
    history.buckets(NOW);
    drop(history);
    assert_eq!(total_requests(dir.path()), 100);
    let file = dir.path().join("history");
    let whole = std::fs::read(&file).unwrap();
    for cut in [whole.len() - 1, whole.len() / 2, 7, 0] {
        std::fs::write(&file, &whole[..cut]).unwrap();
        let remaining = total_requests(dir.path());
        assert!(
            remaining < 100 && total_requests(dir.path()) == remaining,
            "{remaining} requests in the first {cut} bytes"
        );
    }
    let mut damaged = whole.clone();
    damaged[whole.len() / 2] ^= 1;
    std::fs::write(&file, &damaged).unwrap();
    assert!(
        (1..100).contains(&total_requests(dir.path())),
        "records before the corrupt one must be kept"
    );
}

#[test]
fn history_file_stays_within_its_limit() {
    let dir = tempfile::tempdir().unwrap();
    let begin = Minute(NOW.0 - 5_000);
    let history = History::open(Some(dir.path()), LIMIT, begin).unwrap();
    for minute in begin.0..NOW.0 {
        for n in 0..40 {
            let primary = format!("instance-with-a-long-name-{n}").parse().ok();
            history.record_request(
                Minute(minute),
                CompletedRequest { primary, ..completed_request(false, true, Cause::Late) },
            );
        }
        let bytes = std::fs::metadata(dir.path().join("history")).unwrap().len();
        assert!(bytes <= LIMIT.0, "{bytes} bytes");
    }
    drop(history);
    assert!(total_requests(dir.path()) > 0);
}

#[test]
fn chart_is_complete_and_self_contained() {
    let report = report(&[&history(600, 50, 1)]);
    let svg = svg(&report).unwrap();
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    let html = html(&report).unwrap();
    for external in ["http://", "https://", "<script", "<link"] {
        let page = html.replace("http://www.w3.org/2000/svg", "");
        assert!(!page.contains(external), "the page refers to {external}");
    }
}

#[test]
fn failover_gap_runs_from_last_answer_to_next_primary() {
    let epoch = |term, primary: &str, phase| Epoch {
        group: "ops-1".parse().unwrap(),
        term: id::Term(term),
        primary: primary.parse().unwrap(),
        phase,
        forks: Vec::new(),
    };
    let at = |ms| Instant(0) + Duration::from_millis(ms);
    let old = epoch(1, "a", Phase::Active);
    let frozen = epoch(1, "a", Phase::Frozen);
    let new = epoch(2, "b", Phase::Active);
    let mut gaps = Gaps::default();
    assert_eq!(gaps.step(at(1_500), Some(&old), &frozen, Some(at(1_000))), None);
    let gap = gaps.step(at(1_900), Some(&frozen), &new, Some(at(1_800)));
    assert_eq!(gap, Some(("a".parse().unwrap(), Duration::from_millis(900))));
    let missed_freeze =
        gaps.step(at(5_000), Some(&new), &epoch(3, "a", Phase::Active), Some(at(4_000)));
    assert_eq!(missed_freeze.unwrap().1, Duration::from_secs(1));
    assert_eq!(
        gaps.step(at(9_000), None, &old, None),
        None,
        "the first epoch must not count as a failover"
    );
}
