//! What a connection remembers of the answers that it has received, to know their copies.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::beginnings::Beginnings;
use super::{Outcome, is_own_success};
use crate::proxy::floor::Mark;
use crate::statement::{State, Text};

/// The number of signatures that are remembered. A statement takes some milliseconds, and a copy comes within a second.
const MAX_SIGNATURES: usize = 256;

/// The number of other answers that are remembered.
const MAX_ANSWERS: usize = 128;

/// The number of answers whose rows are remembered.
const MAX_ROWS: usize = 64;

/// What is known of the newest answers, oldest first. Texts are known by their hashes.
#[derive(Debug, Default)]
pub(super) struct Memory {
    signatures: VecDeque<Signed>,
    /// Refusals, and successes of commands of this process.
    answers: VecDeque<u64>,
    rows: VecDeque<Rows>,
    /// The positions of the last successes of commands of this process, inside and outside of a transaction, and of all.
    last_open: Option<Option<Mark>>,
    last_idle: Option<Option<Mark>>,
    last: Option<Mark>,
    had_refusal: bool,
    /// How answers began, and how their successes did.
    pub(super) beginnings: Beginnings,
    pub(super) successes: Beginnings,
}

/// A signature and all rows before it.
#[derive(Debug)]
struct Signed {
    signature: u64,
    rows: u64,
}

/// The rows of an answer.
#[derive(Debug, PartialEq, Eq)]
struct Rows {
    text: u64,
    first: u64,
    len: usize,
}

impl Memory {
    /// Returns whether there was no answer yet.
    pub(super) fn is_empty(&self) -> bool {
        self.signatures.is_empty() && self.answers.is_empty()
    }

    pub(super) fn has_signature(&self, signature: &Text) -> bool {
        let signature = hash(signature);
        self.signatures.iter().any(|known| known.signature == signature)
    }

    /// Returns whether an answer with a known signature has just the rows that it had before.
    pub(super) fn is_copy(&self, signature: &Text, rows: &[Text]) -> bool {
        let (signature, rows) = (hash(signature), hash(rows));
        self.signatures.iter().any(|known| known.signature == signature && known.rows == rows)
    }

    pub(super) fn add_signature(&mut self, signature: &Text, rows: &[Text]) {
        let signed = Signed { signature: hash(signature), rows: hash(rows) };
        push(&mut self.signatures, signed, MAX_SIGNATURES);
    }

    /// Returns whether an answer without a signature may be a copy of an earlier one. A refusal of a later position than
    /// all others is not; the position of another one may come from the copy of a different answer.
    pub(super) fn has_answer(&self, outcome: &Outcome) -> bool {
        let is_newer = outcome.result.is_err() && outcome.position > self.last;
        !is_newer && self.answers.contains(&hash_answer(outcome))
    }

    /// Returns whether copies of refusals or of answers inside a transaction may come.
    pub(super) fn may_confuse(&self) -> bool {
        self.had_refusal || self.last_open.is_some()
    }

    pub(super) fn add_answer(&mut self, outcome: &Outcome) {
        if is_own_success(outcome) {
            match outcome.state {
                State::Open => self.last_open = Some(outcome.position),
                State::Idle => self.last_idle = Some(outcome.position),
                State::Failed => {}
            }
        }
        self.had_refusal |= outcome.result.is_err();
        let answer = hash_answer(outcome);
        if !self.answers.contains(&answer) {
            push(&mut self.answers, answer, MAX_ANSWERS);
        }
    }

    /// Records the position of an answer.
    pub(super) fn set_position(&mut self, position: Option<Mark>) {
        self.last = self.last.max(position);
    }

    /// Returns whether the next success of a command of this process that leaves this state would look like an earlier one
    /// if the position stayed the same.
    pub(super) fn may_repeat(&self, state: State) -> bool {
        let last = match state {
            State::Open => self.last_open,
            State::Idle => self.last_idle,
            State::Failed => None,
        };
        last.is_some_and(|position| position.is_none() || position == self.last)
    }

    /// Returns whether rows may begin with those of a part of an earlier answer: the first one is that of an answer to
    /// another statement, or of one to the same statement with fewer rows.
    pub(super) fn has_rows_of_other(&self, text: u64, first: &Text, len: usize) -> bool {
        let first = hash(first);
        let is_other = |rows: &Rows| rows.first == first && (rows.text != text || rows.len < len);
        self.rows.iter().any(is_other)
    }

    pub(super) fn add_rows(&mut self, text: u64, first: &Text, len: usize) {
        let rows = Rows { text, first: hash(first), len };
        if !self.rows.contains(&rows) {
            push(&mut self.rows, rows, MAX_ROWS);
        }
    }
}

fn push<T>(items: &mut VecDeque<T>, item: T, max: usize) {
    if items.len() >= max {
        items.pop_front();
    }
    items.push_back(item);
}

fn hash(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn hash_answer(outcome: &Outcome) -> u64 {
    let mut hasher = DefaultHasher::new();
    match &outcome.result {
        Ok(signature) => {
            let mark = outcome.position.map(|mark| (mark.term.0, mark.position.0));
            (signature, outcome.state as u8, mark, outcome.rows.first()).hash(&mut hasher);
        }
        Err((code, text)) => (code.to_string(), text).hash(&mut hasher),
    }
    hasher.finish()
}
