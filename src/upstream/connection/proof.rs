//! Tells the awaited answer from copies of earlier ones.

use std::io::{ErrorKind, Read};
use std::mem::MaybeUninit;

use bytes::BytesMut;
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
use crate::statement::{Answer, Command, DecodeError, Next, State, Text};

/// The number of messages within one that are remembered as possible beginnings of answers.
const MAX_JOINTS: usize = 8;

/// An answer that may be the awaited one.
pub(super) struct Candidate {
    pub(super) outcome: Outcome,
    /// Why its rows or its refusal may not be those of the awaited one, if so.
    pub(super) doubt: Option<Evidence>,
}

impl Connection {
    /// Sends a command, and a fence if its answer will need one.
    pub(super) async fn send(
        &mut self,
        clock: &Clock,
        command: &Command<'_>,
        deadline: Instant,
    ) -> Result<(), Error> {
        self.queue(command)?;
        if let (Command::Reset, Some(last)) = (command, self.awaited.back_mut()) {
            last.kind = Kind::Ping;
        }
        // An answer that will look like an earlier one is proved without a round trip more.
        let fence = match command {
            Command::Begin { .. } if self.memory.may_repeat(State::Open) => {
                Some(Command::Prepare { name: FENCE_NAME, template: &FENCE })
            }
            Command::Reset if self.memory.may_repeat(State::Idle) => Some(Command::Reset),
            _ => None,
        };
        if let Some(fence) = fence {
            self.queue_awaited(&fence, Awaited::fence(&fence))?;
        }
        self.flush(clock, deadline).await
    }

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
    ) -> Result<Candidate, Error> {
        let mut rows: Vec<Text> = Vec::new();
        let mut bytes = 0;
        let mut result = None;
        let mut doubt = None;
        // Whether a row may be joined to the refusal, or the result of a copy to a row that precedes those of the answer.
        let (mut hides_row, mut hides_result) = (false, false);
        // Whether a discarded answer may still go on.
        let mut goes_on = false;
        loop {
            let answer = self.receive(clock, deadline).await?;
            let message = self.encode(&answer)?;
            if !matches!(answer, Answer::Ready { .. }) {
                goes_on = false;
                match result.take() {
                    // The second copy of another answer is mixed with that of this statement.
                    Some(Ok(signature)) if signature != NO_SIGNATURE => {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    Some(Err(_)) if hides_row => {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    Some(_) => {
                        self.note(clock, Evidence::Cut);
                        rows.clear();
                        (doubt, hides_result) = (None, false);
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
                    // A status has no content of callers.
                    if awaited.kind == Kind::Status && self.has_joint(&message, &[Next::Row]) {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    if hides_result || self.is_doubtful(clock, &message, Next::Row) {
                        doubt = Some(Evidence::Doubtful);
                    }
                    hides_result |= self.is_doubtful(clock, &message, Next::Result);
                    rows.push(row);
                }
                Answer::Done(signature) => {
                    if self.is_joined_success(clock, awaited, &message) {
                        return Err(self.give_up(clock, Evidence::Cut));
                    }
                    if let Some(evidence) = self.judge(awaited, or_fence, &signature) {
                        if !rows.is_empty() && !self.memory.is_copy(&signature, &rows) {
                            // Some of the rows may be those of the awaited answer.
                            return Err(self.give_up(clock, evidence));
                        }
                        self.note(clock, evidence);
                        rows.clear();
                        (doubt, hides_result) = (None, false);
                        goes_on = true;
                        continue;
                    }
                    if signature != NO_SIGNATURE {
                        self.memory.add_signature(&signature, &rows);
                    }
                    result = Some(Ok(signature));
                }
                Answer::Failed { code, text } => {
                    // The rows before it aren't delivered.
                    let is_doubtful = self.is_doubtful(clock, &message, Next::Result);
                    doubt = is_doubtful.then_some(Evidence::Doubtful);
                    hides_row = self.has_joint(&message, &[Next::Row]);
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
                    let doubt = doubt.take();
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
                    return self.without_copied_rows(clock, awaited, Candidate { outcome, doubt });
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

    /// Removes rows that a part of an earlier answer may have put in front of an answer, or doubts it.
    fn without_copied_rows(
        &mut self,
        clock: &Clock,
        awaited: Awaited,
        candidate: Candidate,
    ) -> Result<Candidate, Error> {
        let Candidate { mut outcome, mut doubt } = candidate;
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
            doubt = None;
        } else if let Some(first) = outcome.rows.first() {
            let len = outcome.rows.len();
            // Different statements often have an equal row. A part of a copy precedes another row, unless there is none.
            let is_possible = len > 1 || self.suspicion.is_raised(clock.now());
            if is_possible && self.memory.has_rows_of_other(awaited.text, first, len) {
                if self.suspicion.is_raised(clock.now()) {
                    return Err(self.give_up(clock, Evidence::Rows));
                }
                doubt = Some(Evidence::Rows);
            }
            self.memory.add_rows(awaited.text, first, len);
        }
        Ok(Candidate { outcome, doubt })
    }

    /// Returns whether a message looks like a part of an earlier one with another message behind it, of a kind that its
    /// answer hides. The content of a caller can look so too. Remembers how it began.
    fn is_doubtful(&mut self, clock: &Clock, message: &[u8], next: Next) -> bool {
        let now = clock.now();
        let is_doubtful = self.codec.find_joint(message, next).is_some_and(|joint| {
            let part = &message[..joint.first];
            self.suspicion.is_doubted(now)
                || message[joint.next..].starts_with(part)
                || self.memory.beginnings.has(part, now)
        });
        // The first one may be a copy, and this one that of the answer.
        self.memory.beginnings.add(message, now);
        if is_doubtful {
            self.add_joined(message, next, now);
        }
        is_doubtful
    }

    /// Remembers how the messages began that may be joined in one, as it isn't known which is that of the answer.
    fn add_joined(&mut self, message: &[u8], next: Next, now: Instant) {
        let mut rest = message;
        for _ in 0..MAX_JOINTS {
            let Some(joint) = self.codec.find_joint(rest, next) else { return };
            rest = &rest[joint.next..];
            self.memory.beginnings.add(rest, now);
        }
        self.memory.beginnings.forget(now);
    }

    /// Returns whether a success looks like a part of an earlier one with a result behind it, or, where no signature is due,
    /// with anything. Signatures have no content of callers.
    fn is_joined_success(&mut self, clock: &Clock, awaited: Awaited, message: &[u8]) -> bool {
        let now = clock.now();
        let is_joined = match awaited.kind.is_signed() {
            true => self.codec.find_joint(message, Next::Result).is_some_and(|joint| {
                let part = &message[..joint.first];
                message[joint.next..].starts_with(part) || self.memory.successes.has(part, now)
            }),
            false => self.has_joint(message, &[Next::Row, Next::Result]),
        };
        self.memory.successes.add(message, now);
        is_joined
    }

    fn has_joint(&self, message: &[u8], next: &[Next]) -> bool {
        next.iter().any(|next| self.codec.find_joint(message, *next).is_some())
    }

    /// Returns the encoded message that was received.
    pub(super) fn encode(&self, answer: &Answer) -> Result<BytesMut, Error> {
        let mut message = BytesMut::new();
        self.codec.encode_reply(answer, &mut message).map_err(|_| DecodeError::TooLong)?;
        Ok(message)
    }

    /// Records that a second answer was seen. The connection isn't used again after the statement or transaction.
    pub(super) fn note(&mut self, clock: &Clock, evidence: Evidence) {
        if let Some(tally) = &self.tally {
            tally.record(evidence);
        }
        // Equal rows of two statements, equal refusals, and content that looks like a message show nothing by themselves.
        if !matches!(evidence, Evidence::Rows | Evidence::Unproven | Evidence::Doubtful) {
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
