//! Answers that instances send a second time.

use std::time::Duration;

/// Which commands the instances answer a second time, and how.
#[derive(Debug, Clone)]
pub struct SecondAnswers {
    /// The first words of these commands, `CONNECT` among them. Empty for all commands.
    pub commands: &'static [&'static str],
    /// One in this many of these commands is answered twice.
    pub one_in: u64,
    /// Time between both answers: at least the first, less than the second.
    pub delay: (Duration, Duration),
    pub extent: Extent,
    /// One in this many statements is refused with `BUSY` without being run; 0 for none.
    pub busy_one_in: u64,
    /// How long a statement takes until it runs and is answered.
    pub service: Duration,
}

/// How much of an answer is sent a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    Whole,
    /// At most this many lines, and never the last one.
    FirstLines(usize),
    /// The first half of the first line.
    HalfLine,
    /// One of the others, in turn.
    Any,
}

/// The second answers of a group, and how many commands it has seen that may get one.
#[derive(Debug, Default)]
pub(super) struct Seconds {
    pub(super) answers: Option<SecondAnswers>,
    pub(super) commands: u64,
    pub(super) statements: u64,
    pub(super) sent: u64,
}

impl Seconds {
    /// Returns the delay and the text of the second answer, if there is to be one.
    pub(super) fn next(&mut self, word: &str, answer: &[u8]) -> Option<(Duration, Vec<u8>)> {
        let answers = self.answers.clone()?;
        if !answers.commands.is_empty() && !answers.commands.contains(&word) {
            return None;
        }
        self.commands += 1;
        if !self.commands.is_multiple_of(answers.one_in) {
            return None;
        }
        self.sent += 1;
        let (least, most) = answers.delay;
        // Steps of a fixed share of the range reach all parts of it.
        let share = (self.sent * 619 % 1_000) as u32;
        let delay = least + (most.saturating_sub(least)) * share / 1_000;
        let extents = [Extent::Whole, Extent::FirstLines(1), Extent::HalfLine];
        let extent = match answers.extent {
            Extent::Any => extents[self.sent as usize % extents.len()],
            extent => extent,
        };
        let pairs = answer.windows(2).enumerate().filter(|(_, pair)| pair == b"\r\n");
        let ends: Vec<usize> = pairs.map(|(at, _)| at + 2).collect();
        let second = match extent {
            Extent::FirstLines(count) => {
                let last = count.min(ends.len() - 1).checked_sub(1);
                answer[..last.map_or(0, |last| ends[last])].to_vec()
            }
            Extent::HalfLine => answer[..ends[0] / 2].to_vec(),
            Extent::Whole | Extent::Any => answer.to_vec(),
        };
        Some((delay, second))
    }

    pub(super) fn service(&self) -> Duration {
        self.answers.as_ref().map_or(Duration::ZERO, |answers| answers.service)
    }

    /// Returns whether the next statement is to be refused with `BUSY`.
    pub(super) fn is_next_busy(&mut self) -> bool {
        let one_in = self.answers.as_ref().map_or(0, |answers| answers.busy_one_in);
        self.statements += 1;
        one_in > 0 && self.statements.is_multiple_of(one_in)
    }
}
