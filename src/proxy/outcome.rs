//! What a caller is told when its request was not simply done: the outcome, why, and when to come back.

use std::fmt;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::Message as _;
use pgwire::messages::response::{ErrorResponse, ReadyForQuery, TransactionStatus};

use crate::report::{self, Refusal};

/// The earliest that a refused caller is told to come back.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An outcome other than done or the database's own error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request truly did not run; it may be sent again after the time given.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to come back.
        retry: Duration,
    },
    /// Whether the request ran is not known.
    Unknown {
        /// Why.
        reason: Reason,
        /// What it may have done.
        effect: Effect,
    },
    /// The key of a `once` request came before with another request.
    KeyReused,
    /// A `once` request came without its key.
    KeyMissing,
    /// The transaction was lost before; it was never committed.
    Aborted,
    /// The request asks for something that the proxy doesn't do.
    Unsupported(&'static str),
    /// The session's floor names a write that a promotion left out.
    FloorLost,
}

/// What a request may have done whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it only reads.
    None,
    /// Nothing that lasts: its transaction's commit was never sent.
    RolledBack,
    /// It may have been committed.
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
    /// No replica reached the session's floor and the primary can't be used.
    Behind,
    /// The deadline passed.
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
    /// Returns the label that a refusal for this reason is counted under.
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
    /// Returns the label that this outcome is counted under.
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

    /// Returns the SQLSTATE; `docs/CALLERS.md` lists them.
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

    /// Makes a refusal whose retry time spreads the callers over as long again as `wait`.
    pub fn refused(reason: Reason, wait: Duration) -> Self {
        let wait = wait.max(MIN_RETRY_DELAY);
        Self::NotRun { reason, retry: wait + wait.mul_f64(fastrand::f64()) }
    }

    /// Appends the error as an `ErrorResponse`.
    pub fn write(&self, out: &mut BytesMut) {
        write_error("ERROR", self.sqlstate(), &self.message(), &self.detail(), out);
    }

    /// Appends the error as one that ends the connection.
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
