//! Tests of the metrics text: units in the names, counts, and a bounded number of series.

use std::time::Duration;

use cactushatch::id;
use cactushatch::report::{Metrics, Outcome, Peer, PromotionAnswer, Refusal, Replacement, Target};
use cactushatch::statement::DecodeError;
use cactushatch::wire::Role;

#[test]
fn names_contain_units_and_values_match_what_was_recorded() {
    let metrics = Metrics::default();
    let class = "push".parse().unwrap();
    metrics.record_request(&class, Outcome::Answered, Duration::from_millis(3));
    metrics.record_request(&class, Outcome::NotRun, Duration::from_millis(900));
    metrics.record_refusal(Refusal::Busy);
    metrics.record_read(Target::Replica);
    metrics.observe_failover(Duration::from_millis(700));
    metrics.set_connections(Role::Primary, 5, 2);
    metrics.observe_wait(&class, Duration::from_millis(30));
    metrics.observe_upstream(Target::Primary, Duration::from_millis(30));
    metrics.observe_log_sync(Duration::from_millis(6));
    metrics.record_election();
    metrics.record_announcement();
    metrics.record_promotion_call(PromotionAnswer::Declined);
    metrics.record_promotion_call(PromotionAnswer::Unanswered);
    metrics.record_unordered_promotion();
    metrics.record_replacement(Replacement::Silent);
    metrics.record_protocol_error(Peer::Caller, DecodeError::Field.kind());
    metrics.upstream().record_unreadable(DecodeError::Kind);
    metrics.set_revision(id::Revision(3));
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
        "cactushatch_promotion_calls_total{answer=\"unanswered\"} 1",
        "cactushatch_unordered_promotions_total 1",
        "cactushatch_links_replaced_total{reason=\"silent\"} 1",
        "cactushatch_protocol_errors_total{peer=\"caller\",reason=\"field\"} 1",
        "cactushatch_protocol_errors_total{peer=\"upstream\",reason=\"kind\"} 1",
        "cactushatch_configuration_revision 3",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is not in:\n{text}");
    }
}

#[test]
fn number_of_series_depends_on_classes_only() {
    let metrics = Metrics::default();
    let count = |metrics: &Metrics| metrics.encode().lines().count();
    let class = "push".parse().unwrap();
    metrics.record_request(&class, Outcome::Answered, Duration::ZERO);
    metrics.set_connections(Role::Replica, 1, 1);
    let before = count(&metrics);
    for n in 0..1_000 {
        metrics.record_request(&class, Outcome::Answered, Duration::from_millis(n));
        metrics.set_connections(Role::Replica, n as u32, 0);
    }
    assert_eq!(count(&metrics), before);
}
