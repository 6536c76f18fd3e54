//! A session's floor: the position of its last write in each group. A read is served only by an instance that
//! has reached it.

use std::fmt;
use std::str::FromStr;

use smallvec::SmallVec;

use crate::id;
use crate::wire::Epoch;

/// Where a group's history must have come for a session, as (term, position).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Mark {
    /// The term that the position was read in.
    pub term: id::Term,
    /// The position.
    pub position: id::Position,
}

/// How a mark stands to an instance's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// The instance holds it.
    Reached,
    /// The instance may come to hold it.
    Behind,
    /// A promotion left it out: the write is lost.
    Lost,
}

impl Mark {
    /// Returns the mark, or the point where the present history forked from the mark's when that lies before it.
    pub fn surviving(self, epoch: &Epoch) -> Self {
        let forks = epoch.forks.iter();
        let later = forks.filter(|(term, _)| *term > self.term && *term <= epoch.term);
        match later.min_by_key(|(_, start)| *start) {
            Some((term, start)) if self.position > *start => Self { term: *term, position: *start },
            _ => self,
        }
    }

    /// Tells whether a promotion left out what the mark names.
    pub fn is_lost(self, epoch: &Epoch) -> bool {
        self.surviving(epoch) != self
    }

    /// Compares the mark with an instance at `at`, by the forks of the group's history.
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

/// The floors of a session in all groups that it wrote to.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Floor {
    marks: SmallVec<[(id::Group, Mark); 1]>,
}

/// Why a text is no floor.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no floor such as group@term.position")]
pub struct Malformed(String);

impl Floor {
    /// Returns the group's mark, if the session has one.
    pub fn get(&self, group: &id::Group) -> Option<Mark> {
        self.marks.iter().find(|(name, _)| name == group).map(|(_, mark)| *mark)
    }

    /// Sets the group's mark, lower than it was.
    pub fn lower(&mut self, group: &id::Group, mark: Mark) {
        self.marks.retain(|(name, _)| name != group);
        self.raise(group, mark);
    }

    /// Raises each mark to that of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (group, mark) in &other.marks {
            self.raise(group, *mark);
        }
    }

    /// Raises the group's mark; it never sinks. Returns whether it changed.
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
        for (at, (group, mark)) in self.marks.iter().enumerate() {
            let comma = if at == 0 { "" } else { "," };
            write!(f, "{comma}{group}@{}.{}", mark.term, mark.position)?;
        }
        Ok(())
    }
}

impl FromStr for Floor {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut floor = Self::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (group, mark) = parse(part).ok_or_else(|| Malformed(text.to_owned()))?;
            floor.raise(&group, mark);
        }
        Ok(floor)
    }
}

fn parse(text: &str) -> Option<(id::Group, Mark)> {
    let (group, mark) = text.split_once('@')?;
    let (term, position) = mark.split_once('.')?;
    let mark = Mark { term: term.parse().ok()?, position: position.parse().ok()? };
    Some((group.parse().ok()?, mark))
}
