//! Reads again what may be joined to a part of an earlier answer.

use super::proof::Candidate;
use super::{Connection, Error, Outcome};
use crate::clock::{Clock, Instant};
use crate::statement::{Answer, Command};

/// The number of equal readings that prove a doubtful one. For a wrong one, parts of as many copies that are cut at the same
/// byte would have to come, one before each reading.
const READINGS: usize = 3;

impl Connection {
    /// Sends a statement that only reads and receives its answer. A doubtful answer is read again: one without doubt is
    /// delivered, and so is one that comes `READINGS` times. While the instance answers twice, none is read again, since
    /// parts of several copies may follow each other.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::request`].
    pub async fn read(
        &mut self,
        clock: &Clock,
        command: &Command<'_>,
        deadline: Instant,
    ) -> Result<Outcome, Error> {
        let before = self.state;
        self.send(clock, command, deadline).await?;
        let Candidate { outcome: first, doubt } = self.receive_answer(clock, deadline).await?;
        let Some(evidence) = doubt else { return Ok(first) };
        for reading in 2..=READINGS {
            // A refusal may be that of a copy, and the awaited answer be still to come. A failed transaction accepts no read.
            let is_open = first.result.is_ok() && self.state == before;
            if !is_open || self.suspicion.is_doubted(clock.now()) {
                break;
            }
            self.send(clock, command, deadline).await?;
            let Candidate { outcome, doubt } = self.receive_answer(clock, deadline).await?;
            // The first of several rows may be a copy of the one that the reading before hid.
            let doubt = doubt.or((outcome.rows.len() > 1).then_some(evidence));
            let is_equal = outcome.result.is_ok() && outcome.rows == first.rows;
            if doubt.is_none() || is_equal && reading == READINGS {
                return Ok(outcome);
            }
            if !is_equal {
                if self.is_tail(&first, &outcome)? || self.is_tail(&outcome, &first)? {
                    self.suspicion.doubt(clock.now());
                }
                break;
            }
        }
        Err(self.give_up(clock, evidence))
    }

    /// Returns whether a part of another answer in front of the first row of `tail` makes it that of `whole`.
    fn is_tail(&self, tail: &Outcome, whole: &Outcome) -> Result<bool, Error> {
        let (Some(first), Some(joined)) = (tail.rows.first(), whole.rows.first()) else {
            return Ok(false);
        };
        let [first, joined] = [first, joined].map(|row| self.encode(&Answer::Row(row.clone())));
        Ok(joined?.ends_with(&first?))
    }
}
