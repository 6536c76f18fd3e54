//! Reports connections on which an instance answered a statement with the answer to another one.

use log::Level;

use crate::clock::Instant;
use crate::pgsql::{Client, Error};
use crate::report::event::{Event, millis};
use crate::report::{Evidence, Tally};
use crate::wire::Replica;

/// Logs and counts `error` if it is [`Error::OutOfStep`]; `command` is the kind of the statement. The connection must be
/// closed.
pub fn report(
    error: &Error,
    (replica, client): (&Replica, &Client),
    command: &'static str,
    now: Instant,
    tally: &Tally,
) {
    if !matches!(error, Error::OutOfStep) {
        return;
    }
    tally.record(Evidence::Nonce);
    let event = Event::OutOfStep {
        instance: &replica.instance,
        group: &replica.group,
        connection: u64::from(client.cancel_key().0.cast_unsigned()),
        open_ms: millis(now.since(client.opened_at())),
        command,
        evidence: Evidence::Nonce.to_string(),
    };
    event.log(Level::Warn);
}
