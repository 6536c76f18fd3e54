//! Statements that the proxy answers itself: harmless settings, and the end of a transaction whose connection was
//! lost.

use bytes::{BufMut, BytesMut};

use super::{Caller, Query, Request, RequestError, Transaction};
use crate::proxy::classify::{Kind, Local};
use crate::proxy::outcome::Outcome;

impl Caller {
    /// Answers a statement that the proxy executes itself.
    pub(super) fn answer_local(&mut self, request: &Request, local: Local) {
        self.write_command_tag(request, local.tag());
        if matches!(local, Local::DiscardAll | Local::DeallocateAll) {
            self.statements.clear();
        }
    }

    /// Answers a statement in a transaction whose connection was lost: `COMMIT` and `ROLLBACK` end the transaction
    /// and are answered with `ROLLBACK`, anything else is refused.
    pub(super) fn answer_lost_transaction(
        &mut self,
        request: &Request,
    ) -> Result<(), RequestError> {
        match request.summary.kind {
            Kind::Commit | Kind::Rollback => {
                self.transaction = Transaction::None;
                self.transaction_failed = false;
                self.write_command_tag(request, "ROLLBACK");
                Ok(())
            }
            _ => Err(Outcome::Aborted.into()),
        }
    }

    fn write_command_tag(&mut self, request: &Request, tag: &str) {
        let out = &mut self.writer.out;
        match &request.query {
            Query::Extended(batch) => batch.write_local_answer(tag, out),
            Query::Simple(_) => write_complete(tag, out),
        }
    }
}

/// Appends a `CommandComplete` message.
pub(super) fn write_complete(tag: &str, out: &mut BytesMut) {
    out.put_u8(b'C');
    out.put_u32(4 + tag.len() as u32 + 1);
    out.put_slice(tag.as_bytes());
    out.put_u8(0);
}
