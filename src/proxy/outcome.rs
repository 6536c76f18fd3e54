//! The outcomes that are reported to a caller as an error: what happened to the request, why, and when to retry.

use std::fmt;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::Message as _;
use pgwire::messages::response::{ErrorResponse, ReadyForQuery, TransactionStatus};

use crate::report::{self, Refusal};

/// The minimum delay after which a refused caller is told to retry.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An outcome of a request that was neither done nor answered by an error of the database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request certainly did not run and may be retried after the given time.
    NotRun {
        /// Why the request was not run.
        reason: Reason,
        /// The delay after which the caller may retry.
        retry: Duration,
    },
    /// Whether the request ran is not known.
    Unknown {
        /// Why the outcome is unknown.
        reason: Reason,
        /// The effect that the request may have had.
        effect: Effect,
    },
    /// The key of a `once` request was used before for a different request.
    KeyReused,
    /// A `once` request has no key.
    KeyMissing,
    /// The transaction was lost before this request and was not committed.
    Aborted,
    /// The request needs a feature that the proxy does not support.
    Unsupported(&'static str),
    /// The floor of the session covers a write that was lost in a promotion.
    FloorLost,
}

/// The effect that a request of unknown outcome may have had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// None, since the request only reads.
    None,
    /// None that lasts, since the commit of its transaction was never sent.
    RolledBack,
    /// The request may have been committed.
    Possible,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "none",
            Self::RolledBack => "rolled_back",
            Self::Possible => "possible",
        })
    }
}

/// Why a request was not run, or why its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The group is not declared or has no primary yet.
    NoPrimary,
    /// The proxy holds no valid lease.
    NoLease,
    /// The group's primary is being replaced.
    Failover,
    /// No connection became free in time.
    Busy,
    /// No replica has reached the floor of the session, and the primary is unavailable.
    Behind,
    /// The deadline of the request passed.
    Deadline,
    /// The connection to the upstream was lost.
    ConnectionLost,
    /// The proxy is shutting down.
    ShuttingDown,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoPrimary => "no_primary",
            Self::NoLease => "no_lease",
            Self::Failover => "failover",
            Self::Busy => "busy",
            Self::Behind => "behind",
            Self::Deadline => "deadline",
            Self::ConnectionLost => "connection_lost",
            Self::ShuttingDown => "shutting_down",
        })
    }
}

impl Reason {
    /// Returns the metric label for a refusal for this reason.
    pub fn refusal(self) -> Refusal {
        match self {
            Self::NoPrimary => Refusal::NoPrimary,
            Self::NoLease => Refusal::NoLease,
            Self::Failover | Self::ConnectionLost => Refusal::Failover,
            Self::Busy => Refusal::Busy,
            Self::Behind => Refusal::Behind,
            Self::Deadline => Refusal::Deadline,
            Self::ShuttingDown => Refusal::ShuttingDown,
        }
    }
}

impl Outcome {
    /// Returns the metric label for this outcome.
    pub fn label(&self) -> report::Outcome {
        match self {
            Self::NotRun { .. } => report::Outcome::NotRun,
            Self::Unknown { .. } => report::Outcome::Unknown,
            Self::Unsupported(_) | Self::KeyReused | Self::KeyMissing | Self::Aborted => {
                report::Outcome::Unsupported
            }
            Self::FloorLost => report::Outcome::FloorLost,
        }
    }

    /// Returns the SQLSTATE, as listed in `docs/CALLERS.md`.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Self::NotRun { reason: Reason::ShuttingDown, .. } => "57P01",
            Self::NotRun { .. } => "57P03",
            Self::Unknown { .. } => "08007",
            Self::Unsupported(_) => "0A000",
            Self::FloorLost => "55000",
            Self::KeyReused => "KY001",
            Self::KeyMissing => "KY002",
            Self::Aborted => "25P02",
        }
    }

    /// Returns the machine-readable detail.
    pub fn detail(&self) -> String {
        match self {
            Self::NotRun { reason, retry } => {
                format!("outcome=not_run reason={reason} retry_after_ms={}", retry.as_millis())
            }
            Self::Unknown { reason, effect } => {
                format!("outcome=unknown reason={reason} effect={effect}")
            }
            Self::Unsupported(_) => "outcome=not_run reason=unsupported".to_owned(),
            Self::FloorLost => "outcome=not_run reason=floor_lost".to_owned(),
            Self::KeyReused => "outcome=not_run reason=key_reused".to_owned(),
            Self::KeyMissing => "outcome=not_run reason=key_missing".to_owned(),
            Self::Aborted => "outcome=not_run reason=transaction_aborted".to_owned(),
        }
    }

    fn message(&self) -> String {
        match self {
            Self::NotRun { reason, retry } => {
                format!("the request was not run ({reason}); try again in {} ms", retry.as_millis())
            }
            Self::Unknown { reason, effect: Effect::Possible } => {
                format!(
                    "whether the request ran is unknown ({reason}); look before sending it again"
                )
            }
            Self::Unknown { reason, .. } => {
                format!("the answer was lost ({reason}), and nothing was committed")
            }
            Self::KeyReused => "the key came before with another request".to_owned(),
            Self::KeyMissing => "a once request needs its key".to_owned(),
            Self::Aborted => {
                "the transaction was lost and rolled back; end it with ROLLBACK".to_owned()
            }
            Self::Unsupported(why) => (*why).to_owned(),
            Self::FloorLost => "a write of this session was lost in a promotion".to_owned(),
        }
    }

    /// Creates a refusal with a random retry delay between `wait` and twice `wait`, so that callers do not all retry
    /// at the same time.
    pub fn refused(reason: Reason, wait: Duration) -> Self {
        let wait = wait.max(MIN_RETRY_DELAY);
        Self::NotRun { reason, retry: wait + wait.mul_f64(fastrand::f64()) }
    }

    /// Appends an `ErrorResponse`.
    pub fn write(&self, out: &mut BytesMut) {
        write_error("ERROR", self.sqlstate(), &self.message(), &self.detail(), out);
    }

    /// Appends a fatal `ErrorResponse`, which ends the connection.
    pub fn write_fatal(&self, out: &mut BytesMut) {
        write_error("FATAL", self.sqlstate(), &self.message(), &self.detail(), out);
    }
}

/// Appends an `ErrorResponse`.
pub fn write_error(severity: &str, code: &str, message: &str, detail: &str, out: &mut BytesMut) {
    let fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', code.to_owned()),
        (b'M', message.to_owned()),
        (b'D', detail.to_owned()),
    ];
    ErrorResponse::new(fields).encode(out).expect("encoding an ErrorResponse never fails");
}

/// Appends a `ReadyForQuery`.
pub fn write_ready(status: TransactionStatus, out: &mut BytesMut) {
    ReadyForQuery::new(status).encode(out).expect("encoding a ReadyForQuery never fails");
}
