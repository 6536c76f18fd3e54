//! What a statement requires of the instance that runs it. This follows from the consistency that the database declares
//! and the positions observed so far.

use std::time::Duration;

use crate::clock::Instant;
use crate::config::Consistency;
use crate::proxy::floor::Mark;

/// The requirement of a statement for the instance that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The primary, under a valid lease.
    Primary,
    /// Any instance that has received the mark. The mark was the primary's position at `since`, so every replica whose
    /// lag is no more than the time since then has received it.
    AtLeast {
        /// The position that must have been received.
        mark: Mark,
        /// When the primary was at the mark.
        since: Instant,
    },
}

/// The position of a primary, read under a valid lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionSample {
    /// When the position was requested.
    pub requested_at: Instant,
    /// The position of the primary.
    pub mark: Mark,
}

/// Returns the maximum age of data that these reads allow, or `None` if they must see the latest data.
pub fn max_age(reads: Consistency) -> Option<Duration> {
    match reads {
        Consistency::Latest => None,
        Consistency::Bounded(age) | Consistency::Session(age) => Some(age.0),
    }
}

/// Returns what a read requires. `sample` is the oldest position sample within the maximum age, and `last_write` the
/// one after the session's own last write. Without a sample only the primary is known to be recent enough.
pub fn read(
    reads: Consistency,
    sample: Option<PositionSample>,
    last_write: Option<PositionSample>,
) -> Need {
    let Some(sample) = sample.filter(|_| max_age(reads).is_some()) else {
        return Need::Primary;
    };
    let sample = match (reads, last_write) {
        (Consistency::Session(_), Some(last_write)) if last_write.mark > sample.mark => last_write,
        _ => sample,
    };
    Need::AtLeast { mark: sample.mark, since: sample.requested_at }
}
