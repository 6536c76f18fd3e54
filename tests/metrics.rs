//! What `GET /metrics` shows: units in the names, bounded labels, and counts that follow what was done.

use std::time::Duration;

use cactushatch::id;
use cactushatch::report::{Call, Metrics, Outcome, Refusal, Target};
use cactushatch::wire::Role;

#[test]
fn names_carry_units_and_counts_follow() {
    let metrics = Metrics::default();
    let class = "push".parse().unwrap();
    metrics.request(&class, Outcome::Answered, Duration::from_millis(3));
    metrics.request(&class, Outcome::NotRun, Duration::from_millis(900));
    metrics.refused(Refusal::Busy);
    metrics.read(Target::Replica);
    metrics.failed_over(Duration::from_millis(700));
    metrics.connections(Role::Primary, 5, 2);
    metrics.waited(&class, Duration::from_millis(30));
    metrics.upstream_took(Target::Primary, Duration::from_millis(30));
    metrics.synced(Duration::from_millis(6));
    metrics.elected();
    metrics.announced();
    metrics.promotion_called(Call::Declined);
    metrics.revision(id::Revision(3));
    let text = metrics.encode();
    for line in [
        "cactushatch_requests_total{class=\"push\",outcome=\"answered\"} 1",
        "cactushatch_requests_total{class=\"push\",outcome=\"not_run\"} 1",
        "cactushatch_request_seconds_count{class=\"push\"} 2",
        "cactushatch_request_seconds_bucket{le=\"0.002\",class=\"push\"} 0",
        "cactushatch_request_seconds_bucket{le=\"0.005\",class=\"push\"} 1",
        "cactushatch_admission_refusals_total{reason=\"busy\"} 1",
        "cactushatch_reads_total{target=\"replica\"} 1",
        "cactushatch_failover_seconds_count 1",
        "cactushatch_upstream_connections_open{role=\"primary\"} 5",
        "cactushatch_upstream_connections_busy{role=\"primary\"} 2",
        "cactushatch_wait_seconds_bucket{le=\"0.02\",class=\"push\"} 0",
        "cactushatch_wait_seconds_bucket{le=\"0.05\",class=\"push\"} 1",
        "cactushatch_upstream_seconds_count{target=\"primary\"} 1",
        "cactushatch_log_sync_seconds_bucket{le=\"0.01\"} 1",
        "cactushatch_elections_total 1",
        "cactushatch_announcements_total 1",
        "cactushatch_promotion_calls_total{answer=\"declined\"} 1",
        "cactushatch_configuration_revision 3",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is not in:\n{text}");
    }
}

#[test]
fn series_grow_with_classes_and_nothing_else() {
    let metrics = Metrics::default();
    let count = |metrics: &Metrics| metrics.encode().lines().count();
    let class = "push".parse().unwrap();
    metrics.request(&class, Outcome::Answered, Duration::ZERO);
    metrics.connections(Role::Replica, 1, 1);
    let before = count(&metrics);
    for n in 0..1_000 {
        metrics.request(&class, Outcome::Answered, Duration::from_millis(n));
        metrics.connections(Role::Replica, n as u32, 0);
    }
    assert_eq!(count(&metrics), before);
}
