//! Labels of metrics. The values of a label are a closed set or come from the declarations: no label names a caller, a
//! proxy or an instance, and only the largest accounts are named, so the number of series per process does not grow with
//! the fleet.

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
    /// The outcome of a request.
    Outcome {
        /// Answered, with rows or with the database's own error.
        Answered = "answered",
        /// Reported to the caller as not run.
        NotRun = "not_run",
        /// Reported to the caller as having an unknown outcome.
        Unknown = "unknown",
        /// Used a feature that the proxy does not support.
        Unsupported = "unsupported",
        /// Required a write that was lost in a promotion.
        FloorLost = "floor_lost",
    }
);
label!(
    /// The result of forwarding a statement to a proxy that serves its group.
    ForwardResult {
        /// The serving proxy answered.
        Handled = "handled",
        /// The proxy didn't serve the group.
        NotServing = "not_serving",
        /// No answer arrived.
        Failed = "failed",
    }
);
label!(
    /// Why a statement had to open a connection to an instance.
    Opening {
        /// There was room for one more.
        New = "new",
        /// An idle connection of another account was closed for it.
        Evicted = "evicted",
    }
);
label!(
    /// Why a connection to another control process was replaced.
    Replacement {
        /// A ping on it was not answered, though the process has answered others.
        Silent = "silent",
        /// A ping on it was not answered, and the process has never answered one: it may be of an earlier release.
        Unproven = "unproven",
        /// Nothing could be written to it in time.
        Stalled = "stalled",
        /// The other process closed it, or it failed.
        Closed = "closed",
        /// It was unused for so long that it may have gone silent.
        Idle = "idle",
    }
);
label!(
    /// What an operation of an account with a quota got.
    QuotaResult {
        /// A token.
        Spent = "spent",
        /// No token, so that it was refused.
        Refused = "refused",
        /// No token at once. It is also counted by what it got then.
        Waited = "waited",
    }
);
label!(
    /// The result of a call to an external promotion service.
    PromotionAnswer {
        /// The service accepted the call.
        Accepted = "accepted",
        /// The service declined, or could not be reached.
        Declined = "declined",
        /// The call was sent and not answered, so that it may still take effect.
        Unanswered = "unanswered",
        /// The call was not completed, since another process may have been elected, and takes no effect.
        Withheld = "withheld",
    }
);
label!(
    /// The role of an instance that served a request.
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
        /// No connection became available in time.
        Busy = "busy",
        /// The proxy holds no valid lease.
        NoLease = "no_lease",
        /// The group has no primary, or is not declared.
        NoPrimary = "no_primary",
        /// The primary is being replaced.
        Failover = "failover",
        /// No replica has reached the session's floor.
        Behind = "behind",
        /// The request's deadline can't be met.
        Deadline = "deadline",
        /// The proxy is shutting down.
        ShuttingDown = "shutting_down",
    }
);
label!(
    /// What shows that an instance sent an answer, or a part of one, a second time.
    Evidence {
        /// Something arrived while no answer was awaited.
        Unasked = "unasked",
        /// A signature that was received before, or in answer to a command of this process.
        Signature = "signature",
        /// A success without a signature in answer to a statement of a caller.
        NoSignature = "no_signature",
        /// The state of the transaction is not the one that the command leads to.
        State = "state",
        /// The end of an answer without its result.
        Ready = "ready",
        /// An answer that looks like an earlier one and was followed by the awaited one.
        Repeated = "repeated",
        /// An answer that looks like an earlier one and that nothing proves.
        Unproven = "unproven",
        /// A part of an answer.
        Cut = "cut",
        /// Rows that begin with one of another answer.
        Rows = "rows",
        /// A row or refusal that may be joined to a part of an earlier answer, and that reading again didn't confirm.
        Doubtful = "doubtful",
        /// An answer that is not followed by the nonce of its statement.
        Nonce = "nonce",
    }
);
label!(
    /// How an upstream failed.
    Failure {
        /// The upstream refused the connection.
        Refused = "refused",
        /// The upstream did not answer in time.
        Silent = "silent",
        /// The upstream answered with an error.
        Faulty = "faulty",
        /// A connection in use was lost.
        Lost = "lost",
        /// The upstream violated the protocol.
        Protocol = "protocol",
    }
);
label!(
    /// Why a session is rejected or ended: its key has no account.
    Rejection {
        /// No account has the key, as far as this process knows.
        UnknownKey = "unknown_key",
        /// The key was one of an account and no longer is.
        WithdrawnKey = "withdrawn_key",
    }
);
label!(
    /// The sender of a message that violates a protocol.
    Peer {
        /// A caller.
        Caller = "caller",
        /// An upstream.
        Upstream = "upstream",
        /// Another process of the system, or a peer that claims to be one.
        Process = "process",
        /// An operator.
        Operator = "operator",
    }
);
label!(
    /// The control plane's answer to a proxy's request for a lease.
    LeaseAnswer {
        /// The lease was granted.
        Granted = "granted",
        /// The lease was refused.
        Refused = "refused",
    }
);

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct RequestLabels {
    pub(super) class: id::Class,
    pub(super) outcome: Outcome,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ClassLabels {
    pub(super) class: id::Class,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct TargetLabels {
    pub(super) target: Target,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct QuotaLabels {
    /// The name of one of the accounts with the most operations; `*` stands for all others.
    pub(super) account: String,
    pub(super) result: QuotaResult,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct RefusalLabels {
    pub(super) reason: Refusal,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct RejectionLabels {
    pub(super) reason: Rejection,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct SchedulingLabels {
    pub(super) class: id::Class,
    pub(super) reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct FailureLabels {
    pub(super) kind: Failure,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ProtocolErrorLabels {
    pub(super) peer: Peer,
    pub(super) reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct LeaseLabels {
    pub(super) answer: LeaseAnswer,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct RoleLabels {
    pub(super) role: Target,
}

/// Returns the label value of an instance's role.
pub(super) fn target_of_role(role: wire::Role) -> Target {
    match role {
        wire::Role::Primary => Target::Primary,
        wire::Role::Replica => Target::Replica,
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ForwardLabels {
    pub(super) result: ForwardResult,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct PromotionLabels {
    pub(super) answer: PromotionAnswer,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct OpeningLabels {
    pub(super) reason: Opening,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReplacementLabels {
    pub(super) reason: Replacement,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct EvidenceLabels {
    pub(super) evidence: Evidence,
}
