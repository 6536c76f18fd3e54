//! Tells the awaited answer from copies of earlier ones.

use std::io::{ErrorKind, Read};
use std::mem::MaybeUninit;

use log::Level;
use socket2::SockRef;

use super::awaited::{Awaited, Kind};
use super::{
    Connection, Error, FENCE, FENCE_NAME, LOOK_VALIDITY, MAX_ROWS_BYTES, NO_SIGNATURE, Origin,
    Outcome, READ_BUFFER_BYTES, is_own_success,
};
use crate::clock::{Clock, Instant};
use crate::report::Evidence;
use crate::report::event::{Event, millis};
use crate::statement::{Answer, Code, Command, State, Text};

impl Connection {
    /// Returns the fence that was sent together with the command that is being answered.
    pub(super) fn take_fence(&mut self) -> Option<Awaited> {
        let is_fence = self.awaited.front().is_some_and(|awaited| awaited.is_fence);
        if is_fence { self.awaited.pop_front() } else { None }
    }

    pub(super) async fn send_fence(
        &mut self,
        clock: &Clock,
        awaited: Awaited,
        outcome: &Outcome,
        deadline: Instant,
    ) -> Result<Awaited, Error> {
        let command = match (awaited.kind, outcome.state) {
            (Kind::Ping, _) => Command::Reset,
            // A failed transaction accepts nothing else.
            (_, State::Failed) => Command::Rollback,
            (_, State::Idle | State::Open) => {
                Command::Prepare { name: FENCE_NAME, template: &FENCE }
            }
        };
        self.codec.encode_command(&command, &mut self.output)?;
        self.write(clock, deadline).await?;
        Ok(Awaited::fence(&command))
    }

    /// Receives an answer that may be the awaited one: discards those that certainly are not. With `or_fence` the answer
    /// of a fence is received too.
    pub(super) async fn receive_candidate(
        &mut self,
        clock: &Clock,
        awaited: Awaited,
        or_fence: bool,
        deadline: Instant,
    ) -> Result<Outcome, Error> {
        let mut rows: Vec<Text> = Vec::new();
        let mut bytes = 0;
        let mut result = None;
        // Whether a discarded answer may still go on.
        let mut goes_on = false;
        loop {
            let answer = self.receive(clock, deadline).await?;
            if !matches!(answer, Answer::Ready { .. }) {
                goes_on = false;
                match result.take() {
                    // The second copy of another answer is mixed with that of this statement.
                    Some(Ok(signature)) if signature != NO_SIGNATURE => {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    Some(_) => {
                        self.note(clock, Evidence::Cut);
                        rows.clear();
                    }
                    None => {}
                }
            }
            match answer {
                Answer::Row(row) => {
                    bytes += row.len();
                    if bytes > MAX_ROWS_BYTES {
                        return Err(Error::TooManyRows);
                    }
                    if rows.is_empty() && self.is_joined(row.as_bytes()) {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    rows.push(row);
                }
                Answer::Done(signature) => {
                    if self.is_joined(signature.as_bytes()) {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    if let Some(evidence) = self.judge(awaited, or_fence, &signature) {
                        if !rows.is_empty() && !self.memory.is_copy(&signature, &rows) {
                            // Some of the rows may be those of the awaited answer.
                            return Err(self.give_up(clock, evidence));
                        }
                        self.note(clock, evidence);
                        rows.clear();
                        goes_on = true;
                        continue;
                    }
                    if signature != NO_SIGNATURE {
                        self.memory.add_signature(&signature, &rows);
                    }
                    result = Some(Ok(signature));
                }
                Answer::Failed { code, text } => {
                    let is_joined = match &code {
                        Code::Other(code) => {
                            self.is_joined(&[code.as_bytes(), b" ", text.as_bytes()].concat())
                        }
                        _ => self.is_joined(text.as_bytes()),
                    };
                    if is_joined {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    result = Some(Err((code, text)));
                }
                Answer::Ready { state, position } => {
                    let Some(result) = result.take() else {
                        if !rows.is_empty() {
                            return Err(self.give_up(clock, Evidence::Ready));
                        }
                        if !std::mem::take(&mut goes_on) {
                            self.note(clock, Evidence::Ready);
                        }
                        continue;
                    };
                    let outcome =
                        Outcome { rows: std::mem::take(&mut rows), result, state, position };
                    if !awaited.fits(&outcome, self.state) {
                        if outcome.result.is_ok() && !is_own_success(&outcome) {
                            // It is not a copy, so it may answer a command that was sent twice.
                            return Err(self.give_up(clock, Evidence::State));
                        }
                        if !or_fence {
                            self.note(clock, Evidence::State);
                            continue;
                        }
                    }
                    return self.without_copied_rows(clock, awaited, outcome);
                }
            }
        }
    }

    /// Returns why an answer with this signature is not the awaited one, if so.
    fn judge(&self, awaited: Awaited, or_fence: bool, signature: &Text) -> Option<Evidence> {
        match (awaited.kind.is_signed(), signature == NO_SIGNATURE) {
            (_, false) if self.memory.has_signature(signature) => Some(Evidence::Signature),
            (false, false) => Some(Evidence::Signature),
            (true, true) if !or_fence => Some(Evidence::NoSignature),
            _ => None,
        }
    }

    /// Removes rows that a part of an earlier answer may have put in front of an answer, or gives up.
    fn without_copied_rows(
        &mut self,
        clock: &Clock,
        awaited: Awaited,
        mut outcome: Outcome,
    ) -> Result<Outcome, Error> {
        if outcome.result.is_err() {
            let has_rows = !std::mem::take(&mut outcome.rows).is_empty();
            if has_rows && self.memory.has_answer(&outcome) {
                return Err(self.give_up(clock, Evidence::Rows));
            }
        } else if awaited.kind == Kind::Status {
            let surplus = outcome.rows.len().saturating_sub(1);
            if surplus > 0 {
                self.note(clock, Evidence::Cut);
                outcome.rows.drain(..surplus);
            }
        } else if !awaited.kind.is_signed() || is_own_success(&outcome) {
            outcome.rows.clear();
        } else if let Some(first) = outcome.rows.first() {
            let len = outcome.rows.len();
            // Different statements often have an equal row. A part of a copy precedes another row, unless there is none.
            let is_possible = len > 1 || self.suspicion.is_raised(clock.now());
            if is_possible && self.memory.has_rows_of_other(awaited.text, first, len) {
                return Err(self.give_up(clock, Evidence::Rows));
            }
            self.memory.add_rows(awaited.text, first, len);
        }
        Ok(outcome)
    }

    /// Returns whether a text contains a message, as it does after a part of an earlier one.
    fn is_joined(&self, text: &[u8]) -> bool {
        !self.memory.is_empty() && self.codec.is_joined(text)
    }

    /// Records that a second answer was seen. The connection isn't used again after the statement or transaction.
    pub(super) fn note(&mut self, clock: &Clock, evidence: Evidence) {
        if let Some(tally) = &self.tally {
            tally.record(evidence);
        }
        // Equal rows of two statements, and equal refusals, show nothing by themselves.
        if !matches!(evidence, Evidence::Rows | Evidence::Unproven) {
            self.suspicion.raise(clock.now());
        }
        if self.evidence.replace(evidence).is_none() {
            let Origin { instance, group, number, opened_at, .. } = &*self.origin;
            let open_ms = millis(clock.now().since(*opened_at));
            let (connection, command) = (*number, self.command);
            let evidence = evidence.to_string();
            Event::OutOfStep { instance, group, connection, open_ms, command, evidence }
                .log(Level::Warn);
        }
    }

    pub(super) fn give_up(&mut self, clock: &Clock, evidence: Evidence) -> Error {
        self.note(clock, evidence);
        Error::OutOfStep(evidence)
    }

    /// Discards what has arrived while no answer was awaited. It answers nothing that is sent from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if a message is incomplete, since the next one would be joined to it.
    pub(super) fn discard_unasked(&mut self, clock: &Clock) -> Result<(), Error> {
        let now = clock.now();
        if self.looked_at.take().is_some_and(|at| now.since(at) < LOOK_VALIDITY) {
            return Ok(());
        }
        let mut has_input = !self.input.is_empty();
        // An end or error of the connection is found by the next write or read.
        while let Ok(Some(1..)) = self.peek() {
            has_input = true;
            let mut buffer = [0; READ_BUFFER_BYTES];
            match (&*SockRef::from(&self.socket)).read(&mut buffer) {
                Ok(len) => self.add_input(&buffer[..len]),
                Err(_) => break,
            }
        }
        if has_input {
            self.note(clock, Evidence::Unasked);
            while !self.input.is_empty() {
                if !matches!(self.decode(clock), Ok(Some(_))) {
                    return Err(Error::OutOfStep(Evidence::Unasked));
                }
            }
        }
        Ok(())
    }

    /// Looks for a byte to read without waiting: 1 if there is one, 0 at the end of the connection, otherwise `None`.
    pub(super) fn peek(&self) -> std::io::Result<Option<usize>> {
        match SockRef::from(&self.socket).peek(&mut [MaybeUninit::uninit(); 1]) {
            Ok(len) => Ok(Some(len)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }
}
