//! The labels of metrics. Each one is a closed set, or grows with the declarations only: no label names a
//! caller, a proxy or an instance, so the series of one process stay few however large the fleet is.

use std::fmt::{self, Write};

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

use crate::id;
use crate::wire;

impl EncodeLabelValue for id::Class {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        encoder.write_str(self.as_str())
    }
}

macro_rules! label {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$variant => $text,)*
                })
            }
        }

        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
                write!(encoder, "{self}")
            }
        }
    };
}

label!(
    /// What came of a request.
    Outcome {
        /// It was answered, by rows or by the database's own error.
        Answered = "answered",
        /// The caller was told that it did not run.
        NotRun = "not_run",
        /// The caller was told that its outcome is unknown.
        Unknown = "unknown",
        /// It asked for something that the proxy doesn't do.
        Unsupported = "unsupported",
        /// It named a write that a promotion left out.
        FloorLost = "floor_lost",
    }
);
label!(
    /// What an outside service answered to a call.
    Call {
        /// It does what was asked.
        Accepted = "accepted",
        /// It does not, or did not answer.
        Declined = "declined",
    }
);
label!(
    /// Which kind of instance served a read.
    Target {
        /// The primary.
        Primary = "primary",
        /// A replica.
        Replica = "replica",
    }
);
label!(
    /// Why a request was refused before it ran.
    Refusal {
        /// No connection became free in time.
        Busy = "busy",
        /// The proxy holds no valid lease.
        NoLease = "no_lease",
        /// The group has no primary or is not declared.
        NoPrimary = "no_primary",
        /// The primary is being replaced.
        Failover = "failover",
        /// No replica has reached the session's floor.
        Behind = "behind",
        /// The deadline can't be met.
        Deadline = "deadline",
        /// The proxy is shutting down.
        ShuttingDown = "shutting_down",
    }
);
label!(
    /// How an upstream failed.
    Failure {
        /// It refused a connection.
        Refused = "refused",
        /// It did not answer in time.
        Silent = "silent",
        /// It answered with an error.
        Faulty = "faulty",
        /// A connection in use was lost.
        Lost = "lost",
        /// It broke the protocol.
        Protocol = "protocol",
    }
);
label!(
    /// Who sent something that breaks a protocol.
    Peer {
        /// A caller.
        Caller = "caller",
        /// An upstream.
        Upstream = "upstream",
        /// Another process of the system, or who claims to be one.
        Process = "process",
        /// An operator.
        Operator = "operator",
    }
);
label!(
    /// What control answered to a proxy that asked for a lease.
    Lease {
        /// The lease was granted.
        Granted = "granted",
        /// The lease was refused.
        Refused = "refused",
    }
);

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Request {
    pub(super) class: id::Class,
    pub(super) outcome: Outcome,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Class {
    pub(super) class: id::Class,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Read {
    pub(super) target: Target,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Refused {
    pub(super) reason: Refusal,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Upstream {
    pub(super) kind: Failure,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Violation {
    pub(super) peer: Peer,
    pub(super) reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Leases {
    pub(super) answer: Lease,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Connections {
    pub(super) role: Target,
}

/// Returns the label of an instance's role.
pub(super) fn target(role: wire::Role) -> Target {
    match role {
        wire::Role::Primary => Target::Primary,
        wire::Role::Replica => Target::Replica,
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Calls {
    pub(super) answer: Call,
}
