//! How a forwarded statement continues when the serving proxy has not answered it. Without I/O.
//!
//! A serving proxy rolls back the transaction of a stream that ends. So nothing can be kept until a commit or a write
//! outside of a transaction was sent, and after that the outcome is unknown.

use crate::statement::Code;
use crate::wire::Step;

/// How a forwarded statement continues after a failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Recovery {
    /// Nothing of it can be kept, so it may be forwarded to another proxy.
    Retry,
    /// It ends with this code.
    End(Code),
}

/// Returns how a statement continues that got no answer. `continues` is whether it belongs to a transaction that was open
/// on the stream, `wrote` whether that transaction may have written, and `sent` whether the statement may have arrived.
pub fn after_failure(step: &Step, continues: bool, wrote: bool, sent: bool) -> Recovery {
    match step {
        Step::Single(_) if step.writes() && sent => Recovery::End(Code::Unknown),
        Step::Commit { .. } if wrote && sent => Recovery::End(Code::Unknown),
        Step::InTransaction { .. } | Step::Commit { .. } | Step::Rollback if continues => {
            Recovery::End(Code::Aborted)
        }
        Step::Single(_) | Step::InTransaction { .. } | Step::Commit { .. } | Step::Rollback => {
            Recovery::Retry
        }
    }
}
