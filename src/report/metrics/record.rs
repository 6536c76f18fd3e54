//! The records of occurrences in the metrics.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::{Metrics, Tally};
use crate::clock::Instant;
use crate::report::label::{
    self, ClassLabels, Failure, FailureLabels, ForwardLabels, ForwardResult, LeaseAnswer,
    LeaseLabels, Opening, OpeningLabels, Outcome, Peer, PromotionAnswer, PromotionLabels,
    ProtocolErrorLabels, QuotaLabels, QuotaResult, Refusal, RefusalLabels, Rejection,
    RejectionLabels, Replacement, ReplacementLabels, RequestLabels, RoleLabels, SchedulingLabels,
    Target, TargetLabels,
};
use crate::{id, schedule, wire};

impl Metrics {
    /// Counts a completed request and its duration.
    pub fn record_request(&self, class: &id::Class, outcome: Outcome, elapsed: Duration) {
        self.requests.get_or_create(&RequestLabels { class: class.clone(), outcome }).inc();
        let seconds = self.request_seconds.get_or_create(&ClassLabels { class: class.clone() });
        seconds.observe(elapsed.as_secs_f64());
    }

    /// Counts a read that was served by an instance.
    pub fn record_read(&self, target: Target) {
        self.reads.get_or_create(&TargetLabels { target }).inc();
    }

    /// Counts a request that was refused before it ran.
    pub fn record_refusal(&self, reason: Refusal) {
        self.refusals.get_or_create(&RefusalLabels { reason }).inc();
    }

    /// Counts a statement that was refused for want of capacity.
    pub fn record_scheduling_refusal(&self, class: &id::Class, reason: schedule::Reason) {
        let labels = SchedulingLabels { class: class.clone(), reason: reason.label() };
        self.scheduling_refusals.get_or_create(&labels).inc();
    }

    /// Counts a request that is retried on another instance.
    pub fn record_retry(&self) {
        self.retries.inc();
    }

    /// Counts a failure of an upstream.
    pub fn record_upstream_failure(&self, kind: Failure) {
        self.upstream_failures.get_or_create(&FailureLabels { kind }).inc();
    }

    /// Returns the counters of what connections to instances receive that is no answer.
    pub fn upstream(&self) -> Tally {
        self.upstream.clone()
    }

    /// Counts a session that was not opened (`was_open` is false) or ended because its key has no account.
    pub fn record_rejection(&self, was_open: bool, reason: Rejection) {
        let sessions = if was_open { &self.sessions_ended } else { &self.sessions_rejected };
        sessions.get_or_create(&RejectionLabels { reason }).inc();
    }

    /// Counts a message that violates a protocol. `reason` must be one of a few fixed words, as it becomes a label.
    pub fn record_protocol_error(&self, peer: Peer, reason: &'static str) {
        self.protocol_errors.get_or_create(&ProtocolErrorLabels { peer, reason }).inc();
    }

    /// Sets the number of connections to instances of a role that are open and in use.
    pub fn set_connections(&self, role: wire::Role, open: u32, busy: u32) {
        let role = RoleLabels { role: label::target_of_role(role) };
        self.connections_open.get_or_create(&role).set(i64::from(open));
        self.connections_busy.get_or_create(&role).set(i64::from(busy));
    }

    /// Counts a connection that an instance refused because it had as many as it accepts.
    pub fn record_refused_connection(&self) {
        self.connections_refused.inc();
    }

    /// Counts a connection that a statement opened.
    pub fn record_opened_connection(&self, reason: Opening) {
        self.connections_opened.get_or_create(&OpeningLabels { reason }).inc();
    }

    /// Counts idle connections that were closed to make room for those of other accounts.
    pub fn record_evicted_connections(&self, connections: usize) {
        self.connections_evicted.inc_by(connections as u64);
    }

    /// Counts a statement or transaction that found an idle connection of its account.
    pub fn record_reused_connection(&self) {
        self.connections_reused.inc();
    }

    /// Counts a read that an instance refused because it lagged.
    pub fn record_lagging_refusal(&self) {
        self.lagging_refusals.inc();
    }

    /// Counts a request that was refused by the published loads instead of being forwarded.
    pub fn record_refused_before_forward(&self) {
        self.forwards_refused.inc();
    }

    /// Counts a statement that was forwarded to a proxy.
    pub fn record_forward(&self, result: ForwardResult) {
        self.forwards.get_or_create(&ForwardLabels { result }).inc();
    }

    /// Sets the mean duration of statements on the slowest instance over the mean of all.
    pub fn set_instance_imbalance(&self, imbalance: f64) {
        self.instance_imbalance.set(imbalance);
    }

    /// Sets the number of groups that this proxy serves by itself.
    pub fn set_groups_served(&self, groups: usize) {
        self.groups_served.set(groups as i64);
    }

    /// Counts what an operation of an account with a quota got. Only the largest accounts are named.
    pub fn record_quota(&self, now: Instant, account: &id::Account, result: QuotaResult) {
        let (is_named, dropped) = {
            let largest = self.largest_accounts.lock();
            largest.expect("no thread panics while holding this lock").record(now, account)
        };
        for account in dropped {
            for result in [QuotaResult::Spent, QuotaResult::Refused, QuotaResult::Waited] {
                self.quota.remove(&QuotaLabels { account: account.to_string(), result });
            }
        }
        let account = if is_named { account.to_string() } else { "*".to_owned() };
        self.quota.get_or_create(&QuotaLabels { account, result }).inc();
    }

    /// Counts a caller that connected.
    pub fn caller_connected(&self) {
        self.callers.inc();
    }

    /// Counts a caller that disconnected.
    pub fn caller_disconnected(&self) {
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

    /// Counts a frame to another control process that was dropped because the queue was full.
    pub fn frame_dropped(&self) {
        self.frames_dropped.inc();
    }

    /// Counts a connection to another control process that was replaced.
    pub fn record_replacement(&self, reason: Replacement) {
        self.links_replaced.get_or_create(&ReplacementLabels { reason }).inc();
    }

    /// Counts an answer to a proxy's request for a lease.
    pub fn record_lease_answer(&self, answer: LeaseAnswer) {
        self.leases.get_or_create(&LeaseLabels { answer }).inc();
    }

    /// Counts an epoch that was frozen.
    pub fn record_freeze(&self) {
        self.epochs_frozen.inc();
    }

    /// Counts an epoch that was put in force.
    pub fn record_promotion(&self) {
        self.epochs_promoted.inc();
    }

    /// Observes how long a group had no epoch in force.
    pub fn observe_failover(&self, gap: Duration) {
        self.failover_seconds.observe(gap.as_secs_f64());
    }

    /// Sets the configuration revision in force, and the time of its change.
    pub fn set_revision(&self, revision: id::Revision) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        if self.revision.set(revision.0 as i64) != revision.0 as i64 {
            self.in_force_seconds.set(now.as_secs() as i64);
        }
    }

    /// Observes how long a request waited for an instance with capacity.
    pub fn observe_wait(&self, class: &id::Class, duration: Duration) {
        let seconds = self.wait_seconds.get_or_create(&ClassLabels { class: class.clone() });
        seconds.observe(duration.as_secs_f64());
    }

    /// Observes how long an instance took to answer a statement.
    pub fn observe_upstream(&self, target: Target, duration: Duration) {
        self.upstream_seconds
            .get_or_create(&TargetLabels { target })
            .observe(duration.as_secs_f64());
    }

    /// Counts a call to an external promotion service by its answer.
    pub fn record_promotion_call(&self, answer: PromotionAnswer) {
        self.promotion_calls.get_or_create(&PromotionLabels { answer }).inc();
    }

    /// Counts a promotion that no order in force asked for.
    pub fn record_unordered_promotion(&self) {
        self.unordered_promotions.inc();
    }

    /// Counts an instance that was put in force although it may lack acknowledged writes.
    pub fn record_missing_writes(&self) {
        self.missing_writes.inc();
    }

    /// Counts an election that this process won.
    pub fn record_election(&self) {
        self.elections.inc();
    }

    /// Observes how long it took to write entries to the control log and sync it.
    pub fn observe_log_sync(&self, duration: Duration) {
        self.log_sync_seconds.observe(duration.as_secs_f64());
    }

    /// Counts an announcement of an instance.
    pub fn record_announcement(&self) {
        self.announcements.inc();
    }

    /// Sets the newest term and index of the control log.
    pub fn set_stamp(&self, stamp: wire::Stamp) {
        self.term.set(stamp.term.0 as i64);
        self.index.set(stamp.index.0 as i64);
    }

    /// Counts log lines that were suppressed or dropped.
    pub fn record_suppressed_lines(&self, lines: u64) {
        self.suppressed_lines.inc_by(lines);
    }
}
