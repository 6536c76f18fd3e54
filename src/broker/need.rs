//! What a statement needs of the instance that runs it, decided from the database's promise and what is known.

use std::time::Duration;

use crate::clock::Instant;
use crate::config::Reads;
use crate::proxy::floor::Mark;

/// What a statement needs of the instance that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The primary, under a valid lease.
    Primary,
    /// Any instance that has received the mark. It was the primary's position at `since`, so a replica that is no
    /// further behind than that has it.
    AtLeast {
        /// The mark.
        mark: Mark,
        /// When the primary stood there.
        since: Instant,
    },
}

/// Where the primary stood when it was asked, under a valid lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionSample {
    /// When it was asked.
    pub asked: Instant,
    /// Where it stood.
    pub mark: Mark,
}

/// Returns the greatest age that a read of this kind allows, or `None` when it allows none.
pub fn max_age(reads: Reads) -> Option<Duration> {
    match reads {
        Reads::Latest => None,
        Reads::Bounded(age) | Reads::Session(age) => Some(age.0),
    }
}

/// Decides what a read needs. `proof` is the oldest sight within the greatest age, and `own` the session's own last
/// write. Without a proof only the primary can tell what is recent enough.
pub fn read(
    reads: Reads,
    sample: Option<PositionSample>,
    last_write: Option<PositionSample>,
) -> Need {
    let Some(sample) = sample.filter(|_| max_age(reads).is_some()) else {
        return Need::Primary;
    };
    let sample = match (reads, last_write) {
        (Reads::Session(_), Some(last_write)) if last_write.mark > sample.mark => last_write,
        _ => sample,
    };
    Need::AtLeast { mark: sample.mark, since: sample.asked }
}
