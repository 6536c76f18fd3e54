//! The floor of a session: the position of its last write in each group. A read is served only by an instance that has
//! reached the floor.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id;
use crate::wire::Epoch;

/// A point in the history of a group, ordered by term and then by position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Mark {
    /// The term that the position was read in.
    pub term: id::Term,
    /// The position.
    pub position: id::Position,
}

/// The relation of a mark to the history of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// The instance holds the mark.
    Reached,
    /// The instance may still reach the mark.
    Behind,
    /// A promotion dropped the mark: the write is lost.
    Lost,
}

impl Mark {
    /// Returns the mark, or the point at which the current history forked off if that lies before the mark.
    pub fn clamp_to_history(self, epoch: &Epoch) -> Self {
        let forks = epoch.forks.iter();
        let later = forks.filter(|(term, _)| *term > self.term && *term <= epoch.term);
        match later.min_by_key(|(_, start)| *start) {
            Some((term, start)) if self.position > *start => Self { term: *term, position: *start },
            _ => self,
        }
    }

    /// Returns whether a promotion dropped the write that the mark stands for.
    pub fn is_lost(self, epoch: &Epoch) -> bool {
        self.clamp_to_history(epoch) != self
    }

    /// Compares the mark with the position `at` of an instance, using the forks in the history of the group.
    pub fn reach(self, at: Self, epoch: &Epoch) -> Reach {
        if self.term > at.term {
            return Reach::Behind;
        }
        if self.term == at.term {
            return if self.position <= at.position { Reach::Reached } else { Reach::Behind };
        }
        let forks = epoch.forks.iter().filter(|(term, _)| *term > self.term && *term <= at.term);
        match forks.map(|(_, start)| *start).min() {
            Some(start) if self.position > start => Reach::Lost,
            Some(_) if self.position <= at.position => Reach::Reached,
            _ => Reach::Behind,
        }
    }
}

/// The marks of a session in all groups that it wrote to.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Floor {
    marks: SmallVec<[(id::Group, Mark); 1]>,
}

/// The text is not a valid floor.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid floor {0:?}, expected group@term.position")]
pub struct ParseError(String);

impl Floor {
    /// Returns the mark for the group, if there is one.
    pub fn get(&self, group: &id::Group) -> Option<Mark> {
        self.marks.iter().find(|(name, _)| name == group).map(|(_, mark)| *mark)
    }

    /// Replaces the mark for the group, even by a lower one.
    pub fn reset(&mut self, group: &id::Group, mark: Mark) {
        self.marks.retain(|(name, _)| name != group);
        self.raise(group, mark);
    }

    /// Raises each mark to the one in `other`.
    pub fn merge(&mut self, other: &Self) {
        for (group, mark) in &other.marks {
            self.raise(group, *mark);
        }
    }

    /// Raises the mark for the group, and never lowers it. Returns whether it changed.
    pub fn raise(&mut self, group: &id::Group, mark: Mark) -> bool {
        match self.marks.iter_mut().find(|(name, _)| name == group) {
            Some((_, known)) if *known >= mark => false,
            Some((_, known)) => {
                *known = mark;
                true
            }
            None => {
                self.marks.push((group.clone(), mark));
                true
            }
        }
    }
}

impl fmt::Display for Floor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (group, mark)) in self.marks.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{group}@{}.{}", mark.term, mark.position)?;
        }
        Ok(())
    }
}

impl FromStr for Floor {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut floor = Self::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (group, mark) = parse_mark(part).ok_or_else(|| ParseError(text.to_owned()))?;
            floor.raise(&group, mark);
        }
        Ok(floor)
    }
}

fn parse_mark(text: &str) -> Option<(id::Group, Mark)> {
    let (group, mark) = text.split_once('@')?;
    let (term, position) = mark.split_once('.')?;
    let mark = Mark { term: term.parse().ok()?, position: position.parse().ok()? };
    Some((group.parse().ok()?, mark))
}
