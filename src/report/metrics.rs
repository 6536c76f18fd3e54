//! The metrics of one process, as `GET /metrics` shows them.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::label::{
    self, Call, Calls, Class, Connections, Failure, Lease, Leases, Outcome, Peer, Read, Refusal,
    Refused, Request, Target, Upstream, Violation,
};
use crate::{id, wire};

/// The upper bounds of the buckets of request times, in seconds.
const REQUEST_SECONDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// The upper bounds of the buckets of failover times, in seconds.
const FAILOVER_SECONDS: [f64; 11] = [0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 15.0, 60.0];

/// A handle to the metrics of a process; clones count into the same metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    requests: Family<Request, Counter>,
    request_seconds: Family<Class, Histogram>,
    wait_seconds: Family<Class, Histogram>,
    upstream_seconds: Family<Read, Histogram>,
    reads: Family<Read, Counter>,
    refusals: Family<Refused, Counter>,
    retries: Counter,
    upstream_failures: Family<Upstream, Counter>,
    violations: Family<Violation, Counter>,
    connections_open: Family<Connections, Gauge>,
    connections_busy: Family<Connections, Gauge>,
    callers: Gauge,
    heartbeats_sent: Counter,
    heartbeats_received: Counter,
    leases: Family<Leases, Counter>,
    epochs_frozen: Counter,
    epochs_promoted: Counter,
    promotion_calls: Family<Calls, Counter>,
    elections: Counter,
    sync_seconds: Histogram,
    announcements: Counter,
    failover_seconds: Histogram,
    revision: Gauge,
    configured: Gauge,
    term: Gauge,
    index: Gauge,
    suppressed: Counter,
    frames_dropped: Counter,
}

fn request_histogram() -> Histogram {
    Histogram::new(REQUEST_SECONDS)
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Arc::default(),
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(request_histogram),
            wait_seconds: Family::new_with_constructor(request_histogram),
            upstream_seconds: Family::new_with_constructor(request_histogram),
            reads: Family::default(),
            refusals: Family::default(),
            retries: Counter::default(),
            upstream_failures: Family::default(),
            violations: Family::default(),
            connections_open: Family::default(),
            connections_busy: Family::default(),
            callers: Gauge::default(),
            heartbeats_sent: Counter::default(),
            heartbeats_received: Counter::default(),
            leases: Family::default(),
            epochs_frozen: Counter::default(),
            epochs_promoted: Counter::default(),
            promotion_calls: Family::default(),
            elections: Counter::default(),
            sync_seconds: request_histogram(),
            announcements: Counter::default(),
            failover_seconds: Histogram::new(FAILOVER_SECONDS),
            revision: Gauge::default(),
            configured: Gauge::default(),
            term: Gauge::default(),
            index: Gauge::default(),
            suppressed: Counter::default(),
            frames_dropped: Counter::default(),
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
        registry.register("retries", "Requests tried again elsewhere", self.retries.clone());
        registry.register(
            "upstream_failures",
            "Failures of upstreams by kind",
            self.upstream_failures.clone(),
        );
        registry.register(
            "protocol_errors",
            "Messages that break a protocol, by peer and reason",
            self.violations.clone(),
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
        registry.register("elections", "Elections of control won here", self.elections.clone());
        registry.register_with_unit(
            "log_sync",
            "Time to write entries of control's log and sync them",
            Unit::Seconds,
            self.sync_seconds.clone(),
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
            self.configured.clone(),
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
            self.suppressed.clone(),
        );
        registry.register(
            "frames_dropped",
            "Frames to voters whose queue was full",
            self.frames_dropped.clone(),
        );
    }

    /// Returns all metrics as the text that Prometheus reads.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        text::encode(&mut out, &self.registry).expect("a string takes all that is written");
        out
    }

    /// Counts a request that ended.
    pub fn request(&self, class: &id::Class, outcome: Outcome, elapsed: Duration) {
        self.requests.get_or_create(&Request { class: class.clone(), outcome }).inc();
        let seconds = self.request_seconds.get_or_create(&Class { class: class.clone() });
        seconds.observe(elapsed.as_secs_f64());
    }

    /// Counts a read that an instance served.
    pub fn read(&self, target: Target) {
        self.reads.get_or_create(&Read { target }).inc();
    }

    /// Counts a request that was refused before it ran.
    pub fn refused(&self, reason: Refusal) {
        self.refusals.get_or_create(&Refused { reason }).inc();
    }

    /// Counts a request that is tried again elsewhere.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// Counts a failure of an upstream.
    pub fn upstream_failed(&self, kind: Failure) {
        self.upstream_failures.get_or_create(&Upstream { kind }).inc();
    }

    /// Counts a message that breaks a protocol; `reason` is one of a few fixed words.
    pub fn violated(&self, peer: Peer, reason: &'static str) {
        self.violations.get_or_create(&Violation { peer, reason }).inc();
    }

    /// Sets how many connections to instances of a role are open and in use.
    pub fn connections(&self, role: wire::Role, open: u32, busy: u32) {
        let role = Connections { role: label::target(role) };
        self.connections_open.get_or_create(&role).set(i64::from(open));
        self.connections_busy.get_or_create(&role).set(i64::from(busy));
    }

    /// Counts a caller that came.
    pub fn caller_came(&self) {
        self.callers.inc();
    }

    /// Counts a caller that left.
    pub fn caller_left(&self) {
        self.callers.dec();
    }

    /// Counts a heartbeat that was sent.
    pub fn heartbeat_sent(&self) {
        self.heartbeats_sent.inc();
    }

    /// Counts a heartbeat that was received.
    pub fn heartbeat_received(&self) {
        self.heartbeats_received.inc();
    }

    /// Counts a frame to another control process that found its queue full.
    pub fn frame_dropped(&self) {
        self.frames_dropped.inc();
    }

    /// Counts the answer to a proxy that asked for a lease.
    pub fn lease(&self, answer: Lease) {
        self.leases.get_or_create(&Leases { answer }).inc();
    }

    /// Counts an epoch that was frozen.
    pub fn frozen(&self) {
        self.epochs_frozen.inc();
    }

    /// Counts an epoch that was put in force.
    pub fn promoted(&self) {
        self.epochs_promoted.inc();
    }

    /// Notes how long a group was without an epoch in force.
    pub fn failed_over(&self, gap: Duration) {
        self.failover_seconds.observe(gap.as_secs_f64());
    }

    /// Sets the revision in force, and since when it is.
    pub fn revision(&self, revision: id::Revision) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        if self.revision.set(revision.0 as i64) != revision.0 as i64 {
            self.configured.set(now.as_secs() as i64);
        }
    }

    /// Notes how long a request waited for an instance with room.
    pub fn waited(&self, class: &id::Class, waited: Duration) {
        let seconds = self.wait_seconds.get_or_create(&Class { class: class.clone() });
        seconds.observe(waited.as_secs_f64());
    }

    /// Notes how long an instance took for a statement.
    pub fn upstream_took(&self, target: Target, took: Duration) {
        self.upstream_seconds.get_or_create(&Read { target }).observe(took.as_secs_f64());
    }

    /// Counts what an outside service answered to a call to promote an instance.
    pub fn promotion_called(&self, answer: Call) {
        self.promotion_calls.get_or_create(&Calls { answer }).inc();
    }

    /// Counts an election that this process won.
    pub fn elected(&self) {
        self.elections.inc();
    }

    /// Notes how long it took to write to the log and sync it.
    pub fn synced(&self, took: Duration) {
        self.sync_seconds.observe(took.as_secs_f64());
    }

    /// Counts an instance's announcement.
    pub fn announced(&self) {
        self.announcements.inc();
    }

    /// Sets the newest stamp of control.
    pub fn stamp(&self, stamp: wire::Stamp) {
        self.term.set(stamp.term.0 as i64);
        self.index.set(stamp.index.0 as i64);
    }

    /// Counts log lines that were left out.
    pub fn suppressed(&self, lines: u64) {
        self.suppressed.inc_by(lines);
    }
}
