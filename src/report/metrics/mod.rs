//! The metrics of a process, served at `GET /metrics`.

mod record;

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::label::{
    ClassLabels, Evidence, EvidenceLabels, FailureLabels, ForwardLabels, LeaseLabels,
    OpeningLabels, Peer, PromotionLabels, ProtocolErrorLabels, QuotaLabels, RefusalLabels,
    RejectionLabels, ReplacementLabels, RequestLabels, RoleLabels, SchedulingLabels, TargetLabels,
};
use super::largest::Largest;
use crate::statement::DecodeError;

/// Counts what connections to instances receive that is no answer. Copies count together.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    out_of_step: Family<EvidenceLabels, Counter>,
    protocol_errors: Family<ProtocolErrorLabels, Counter>,
}

impl Tally {
    /// Counts a second answer by what shows it.
    pub fn record(&self, evidence: Evidence) {
        self.out_of_step.get_or_create(&EvidenceLabels { evidence }).inc();
    }

    /// Counts a message that could not be read.
    pub fn record_unreadable(&self, error: DecodeError) {
        let labels = ProtocolErrorLabels { peer: Peer::Upstream, reason: error.kind() };
        self.protocol_errors.get_or_create(&labels).inc();
    }
}

/// Upper bounds of the histogram buckets for requests, waits, upstreams and log syncs.
const REQUEST_BUCKETS_SECONDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Upper bounds of the histogram buckets for failovers.
const FAILOVER_BUCKETS_SECONDS: [f64; 11] =
    [0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 15.0, 60.0];

/// A handle to the metrics of a process; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    requests: Family<RequestLabels, Counter>,
    request_seconds: Family<ClassLabels, Histogram>,
    wait_seconds: Family<ClassLabels, Histogram>,
    upstream_seconds: Family<TargetLabels, Histogram>,
    reads: Family<TargetLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    scheduling_refusals: Family<SchedulingLabels, Counter>,
    retries: Counter,
    lagging_refusals: Counter,
    forwards_refused: Counter,
    upstream_failures: Family<FailureLabels, Counter>,
    upstream: Tally,
    protocol_errors: Family<ProtocolErrorLabels, Counter>,
    connections_open: Family<RoleLabels, Gauge>,
    connections_busy: Family<RoleLabels, Gauge>,
    callers: Gauge,
    sessions_rejected: Family<RejectionLabels, Counter>,
    sessions_ended: Family<RejectionLabels, Counter>,
    connections_refused: Counter,
    connections_opened: Family<OpeningLabels, Counter>,
    connections_evicted: Counter,
    connections_reused: Counter,
    forwards: Family<ForwardLabels, Counter>,
    groups_served: Gauge,
    quota: Family<QuotaLabels, Counter>,
    largest_accounts: Arc<Mutex<Largest>>,
    instance_imbalance: Gauge<f64, AtomicU64>,
    heartbeats_sent: Counter,
    heartbeats_received: Counter,
    leases: Family<LeaseLabels, Counter>,
    epochs_frozen: Counter,
    epochs_promoted: Counter,
    promotion_calls: Family<PromotionLabels, Counter>,
    unordered_promotions: Counter,
    missing_writes: Counter,
    elections: Counter,
    log_sync_seconds: Histogram,
    announcements: Counter,
    failover_seconds: Histogram,
    revision: Gauge,
    in_force_seconds: Gauge,
    term: Gauge,
    index: Gauge,
    suppressed_lines: Counter,
    frames_dropped: Counter,
    links_replaced: Family<ReplacementLabels, Counter>,
}

fn request_histogram() -> Histogram {
    Histogram::new(REQUEST_BUCKETS_SECONDS)
}

impl Default for Metrics {
    fn default() -> Self {
        let protocol_errors: Family<ProtocolErrorLabels, Counter> = Family::default();
        let upstream =
            Tally { protocol_errors: protocol_errors.clone(), out_of_step: Family::default() };
        let mut metrics = Self {
            registry: Arc::default(),
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(request_histogram),
            wait_seconds: Family::new_with_constructor(request_histogram),
            upstream_seconds: Family::new_with_constructor(request_histogram),
            reads: Family::default(),
            refusals: Family::default(),
            scheduling_refusals: Family::default(),
            retries: Counter::default(),
            lagging_refusals: Counter::default(),
            forwards_refused: Counter::default(),
            upstream_failures: Family::default(),
            upstream,
            protocol_errors,
            connections_open: Family::default(),
            connections_busy: Family::default(),
            callers: Gauge::default(),
            sessions_rejected: Family::default(),
            sessions_ended: Family::default(),
            connections_refused: Counter::default(),
            connections_opened: Family::default(),
            connections_evicted: Counter::default(),
            connections_reused: Counter::default(),
            forwards: Family::default(),
            groups_served: Gauge::default(),
            quota: Family::default(),
            largest_accounts: Arc::default(),
            instance_imbalance: Gauge::default(),
            heartbeats_sent: Counter::default(),
            heartbeats_received: Counter::default(),
            leases: Family::default(),
            epochs_frozen: Counter::default(),
            epochs_promoted: Counter::default(),
            promotion_calls: Family::default(),
            unordered_promotions: Counter::default(),
            missing_writes: Counter::default(),
            elections: Counter::default(),
            log_sync_seconds: request_histogram(),
            announcements: Counter::default(),
            failover_seconds: Histogram::new(FAILOVER_BUCKETS_SECONDS),
            revision: Gauge::default(),
            in_force_seconds: Gauge::default(),
            term: Gauge::default(),
            index: Gauge::default(),
            suppressed_lines: Counter::default(),
            frames_dropped: Counter::default(),
            links_replaced: Family::default(),
        };
        let mut registry = Registry::with_prefix("cactushatch");
        metrics.register_requests(&mut registry);
        metrics.register_processes(&mut registry);
        metrics.registry = Arc::new(registry);
        metrics
    }
}

impl Metrics {
    fn register_requests(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests of callers by class and outcome",
            self.requests.clone(),
        );
        registry.register_with_unit(
            "request",
            "Time from a request's arrival to the end of its answer",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        registry.register_with_unit(
            "wait",
            "Time that a request waited for an instance with room",
            Unit::Seconds,
            self.wait_seconds.clone(),
        );
        registry.register_with_unit(
            "upstream",
            "Time from sending a statement to an instance to its answer, by the role of the instance",
            Unit::Seconds,
            self.upstream_seconds.clone(),
        );
        registry.register("reads", "Reads by the role of the instance", self.reads.clone());
        registry.register(
            "admission_refusals",
            "Requests refused before they ran",
            self.refusals.clone(),
        );
        registry.register(
            "scheduling_refusals",
            "Statements refused for want of capacity, by class and reason, where they start by objective",
            self.scheduling_refusals.clone(),
        );
        registry.register("retries", "Requests tried again elsewhere", self.retries.clone());
        registry.register(
            "lagging_refusals",
            "Reads that an instance refused because it lagged",
            self.lagging_refusals.clone(),
        );
        registry.register(
            "instance_imbalance",
            "Mean duration on the slowest instance over the mean of all, in the most uneven group",
            self.instance_imbalance.clone(),
        );
        registry.register(
            "forwards_refused",
            "Requests refused because every serving proxy published a longer wait than they allow",
            self.forwards_refused.clone(),
        );
        registry.register(
            "upstream_failures",
            "Failures of upstreams by kind",
            self.upstream_failures.clone(),
        );
        registry.register(
            "upstream_out_of_step",
            "Second answers of instances by what shows them",
            self.upstream.out_of_step.clone(),
        );
        registry.register(
            "sessions_rejected",
            "Sessions that were not opened because their key has no account, by reason",
            self.sessions_rejected.clone(),
        );
        registry.register(
            "sessions_ended",
            "Open sessions that ended because their key has no account, by reason",
            self.sessions_ended.clone(),
        );
        registry.register(
            "protocol_errors",
            "Messages that break a protocol, by peer and reason",
            self.protocol_errors.clone(),
        );
        registry.register(
            "upstream_connections_open",
            "Open connections to upstreams by the role of the instance",
            self.connections_open.clone(),
        );
        registry.register(
            "upstream_connections_busy",
            "Connections to upstreams in use by the role of the instance",
            self.connections_busy.clone(),
        );
        registry.register("callers", "Connections of callers", self.callers.clone());
        registry.register(
            "upstream_connections_refused",
            "New connections that an instance refused because it had as many as it accepts",
            self.connections_refused.clone(),
        );
        registry.register(
            "upstream_connections_opened",
            "Connections that statements opened, by whether an idle one of another account was closed for it",
            self.connections_opened.clone(),
        );
        registry.register(
            "upstream_connections_evicted",
            "Idle connections closed to make room for connections of other accounts",
            self.connections_evicted.clone(),
        );
        registry.register(
            "upstream_connections_reused",
            "Statements and transactions that found an idle connection of their account",
            self.connections_reused.clone(),
        );
        registry.register(
            "forwards",
            "Statements forwarded to proxies that serve their group, by result",
            self.forwards.clone(),
        );
        registry.register(
            "groups_served",
            "Groups whose instances this proxy may hold connections to",
            self.groups_served.clone(),
        );
        registry.register(
            "quota",
            "Operations of accounts with a quota by result; * sums those that are not among the ten largest accounts",
            self.quota.clone(),
        );
    }

    fn register_processes(&self, registry: &mut Registry) {
        registry.register("heartbeats_sent", "Heartbeats sent", self.heartbeats_sent.clone());
        registry.register(
            "heartbeats_received",
            "Heartbeats received",
            self.heartbeats_received.clone(),
        );
        registry.register("leases", "Leases granted and refused", self.leases.clone());
        registry.register("epochs_frozen", "Epochs frozen", self.epochs_frozen.clone());
        registry.register("epochs_promoted", "Epochs put in force", self.epochs_promoted.clone());
        registry.register(
            "promotion_calls",
            "Calls to an outside service that promotes, by its answer",
            self.promotion_calls.clone(),
        );
        registry.register(
            "unordered_promotions",
            "Promotions by an outside service that no order in force asked for",
            self.unordered_promotions.clone(),
        );
        registry.register(
            "missing_writes",
            "Instances put in force although they may lack acknowledged writes",
            self.missing_writes.clone(),
        );
        registry.register("elections", "Elections of control won here", self.elections.clone());
        registry.register_with_unit(
            "log_sync",
            "Time to write entries of control's log and sync them",
            Unit::Seconds,
            self.log_sync_seconds.clone(),
        );
        registry.register(
            "announcements",
            "Announcements of instances that this process took as the leader",
            self.announcements.clone(),
        );
        registry.register_with_unit(
            "failover",
            "Time from the freeze of a group's epoch until the next one was put in force",
            Unit::Seconds,
            self.failover_seconds.clone(),
        );
        registry.register_with_unit(
            "configuration_in_force",
            "When the configuration in force was taken over, since 1970",
            Unit::Seconds,
            self.in_force_seconds.clone(),
        );
        registry.register(
            "configuration_revision",
            "The revision of the configuration in force",
            self.revision.clone(),
        );
        registry.register("control_term", "The term of the control log", self.term.clone());
        registry.register(
            "control_index",
            "The newest index of the control log that this process knows",
            self.index.clone(),
        );
        registry.register(
            "log_lines_suppressed",
            "Log lines left out because too many came at once",
            self.suppressed_lines.clone(),
        );
        registry.register(
            "frames_dropped",
            "Frames to voters whose queue was full",
            self.frames_dropped.clone(),
        );
        registry.register(
            "links_replaced",
            "Connections to voters that were replaced, by reason",
            self.links_replaced.clone(),
        );
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        text::encode(&mut out, &self.registry).expect("writing to a String can't fail");
        out
    }
}
