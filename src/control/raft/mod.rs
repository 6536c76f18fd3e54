//! The replicated log, in the manner of Raft (Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm", 2014) with pre-vote and a leader that steps down without its majority.

use serde::{Deserialize, Serialize};

use crate::control::state::Command;
use crate::id;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The term it was proposed in.
    pub term: id::Term,
    /// Its place in the log; the first is 1.
    pub index: id::Index,
    /// What it orders.
    pub command: Command,
}

/// What voters say to each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A candidate asks for a vote, or (pre-vote) whether it would get one.
    RequestVote {
        /// The term that the candidate stands for.
        term: id::Term,
        /// Whether this only asks and changes nothing.
        pre_vote: bool,
        /// The last entry of the candidate's log.
        last: (id::Term, id::Index),
    },
    /// The answer to a request for a vote.
    Vote {
        /// The term of the answer.
        term: id::Term,
        /// Whether this answers a pre-vote.
        pre_vote: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// The leader sends entries, or none as its heartbeat.
    Append {
        /// The leader's term.
        term: id::Term,
        /// Numbers the leader's rounds, so that an answer proves when it still led.
        round: u64,
        /// The entry before the first one sent.
        previous: (id::Term, id::Index),
        /// The entries.
        entries: Vec<Entry>,
        /// Up to where the log is committed.
        commit: id::Index,
    },
    /// The answer to entries or a snapshot.
    Appended {
        /// The follower's term.
        term: id::Term,
        /// The round that is answered.
        round: u64,
        /// Whether the log matched; if not, `last` is where the leader should try again.
        matched: bool,
        /// The last entry that the follower holds synced.
        last: id::Index,
    },
    /// The leader sends its snapshot to a follower that is too far behind.
    Snapshot {
        /// The leader's term.
        term: id::Term,
        /// The round, as in `Append`.
        round: u64,
        /// The last entry that the snapshot covers.
        last: (id::Term, id::Index),
        /// The encoded state.
        state: Vec<u8>,
    },
}
