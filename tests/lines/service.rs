//! How the instances of a group serve: how many statements at once, how fast, and with which faults.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Duration;

use super::content::Content;

/// How often a statement that waits looks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// How the instances serve.
#[derive(Debug, Clone)]
pub struct Conditions {
    /// Number of statements that an instance runs at once. Others wait.
    pub slots: usize,
    /// Time that a statement runs.
    pub duration: Duration,
    /// Time that passes until an instance runs a statement or answers a ping.
    pub delay: Duration,
    /// One in this many statements is run and not answered; 0 for none. Every other of these connections is closed.
    pub lost_one_in: u64,
    /// Whether a line is dropped if the connection ends before the line does. Otherwise it runs as far as it came.
    pub drops_cut_lines: bool,
    /// The instances that don't read.
    pub deaf: BTreeSet<String>,
    /// What an instance sends instead of its answer to a statement, or to `CONNECT`.
    pub replacement: fn(&str, &str) -> Option<String>,
    /// Whether signatures contain what may be taken for a delimiter.
    pub odd_signatures: bool,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            slots: usize::MAX,
            duration: Duration::ZERO,
            delay: Duration::ZERO,
            lost_one_in: 0,
            drops_cut_lines: false,
            deaf: BTreeSet::new(),
            replacement: |_, _| None,
            odd_signatures: false,
        }
    }
}

/// What becomes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    Sent,
    Lost,
    Closed,
}

#[derive(Debug, Default)]
pub(super) struct Service {
    conditions: Mutex<Conditions>,
    /// The slots in use, by the index of the instance.
    used: Mutex<BTreeMap<usize, usize>>,
    answers: Mutex<u64>,
}

/// A slot of an instance, until dropped.
pub(super) struct Slot<'a>(&'a Service, usize);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        *self.0.used.lock().unwrap().get_mut(&self.1).unwrap() -= 1;
    }
}

impl Service {
    pub(super) fn change(&self, change: impl FnOnce(&mut Conditions)) {
        change(&mut self.conditions.lock().unwrap());
    }

    pub(super) fn drops_cut_lines(&self) -> bool {
        self.conditions.lock().unwrap().drops_cut_lines
    }

    pub(super) fn has_odd_signatures(&self) -> bool {
        self.conditions.lock().unwrap().odd_signatures
    }

    pub(super) fn delay(&self) {
        let delay = self.conditions.lock().unwrap().delay;
        std::thread::sleep(delay);
    }

    pub(super) fn wait_while_deaf(&self, instance: &str) {
        while self.conditions.lock().unwrap().deaf.contains(instance) {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    pub(super) fn replacement(&self, instance: &str, statement: &[u8]) -> Option<Content> {
        let replacement = self.conditions.lock().unwrap().replacement;
        replacement(instance, &Content::from(statement).text()).map(Content::from)
    }

    /// Waits for a slot of an instance, and for as long as a statement runs.
    pub(super) fn occupy(&self, index: usize) -> Slot<'_> {
        loop {
            let slots = self.conditions.lock().unwrap().slots;
            let mut used = self.used.lock().unwrap();
            let used = used.entry(index).or_default();
            if *used < slots {
                *used += 1;
                break;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let slot = Slot(self, index);
        let duration = self.conditions.lock().unwrap().duration;
        std::thread::sleep(duration);
        slot
    }

    pub(super) fn next_delivery(&self) -> Delivery {
        let one_in = self.conditions.lock().unwrap().lost_one_in;
        let mut answers = self.answers.lock().unwrap();
        *answers += 1;
        match one_in {
            0 => Delivery::Sent,
            _ if !answers.is_multiple_of(one_in) => Delivery::Sent,
            _ if answers.is_multiple_of(2 * one_in) => Delivery::Closed,
            _ => Delivery::Lost,
        }
    }
}
