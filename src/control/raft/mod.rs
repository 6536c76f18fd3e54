//! The replicated log, in the manner of Raft (Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm", 2014) with pre-vote and a leader that steps down without its majority.
//!
//! [`Raft`] is a pure machine: the edges in `server` carry out what it returns. It never says anything that
//! depends on the disk before the disk has said that it is synced; see `docs/DESIGN.md`, "Control".

mod bootstrap;
mod election;
mod follower;
mod leader;
mod log;
mod machine;
mod members;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::control::state::Command;
use crate::id;

pub use bootstrap::Bootstrap;
pub use machine::Raft;
pub use members::Members;

/// The shortest time without a leader after which a voter stands for election; within it no voter helps to
/// replace a leader it hears.
pub const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest such time.
pub const MAX_ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a voter waits at least until it asks again whether it would be elected, and at most twice as long: long
/// enough for answers from another region.
pub const PRE_VOTE_RETRY: Duration = Duration::from_millis(50);

/// How often a leader sends, also when there is nothing new.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// How much earlier than its voters a leader takes their patience to end, for clocks that drift apart.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(50);

/// The most bytes of entries in one message, unless a single entry is longer.
pub const MAX_APPEND_BYTES: usize = 512 * 1024;

/// The longest command, in bytes, so that it fits a frame with room to spare.
pub const MAX_COMMAND_BYTES: usize = 1024 * 1024;

/// How many entries a voter keeps in memory behind its snapshot, for followers that are a little late.
pub const CATCH_UP_ENTRIES: usize = 256;

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

/// The last entry of a log: logs compare by it.
pub type EntryId = (id::Term, id::Index);

/// One life of a control process. A disk keeps its incarnation and counts its starts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node: id::Node,
    /// Which disk it has.
    pub incarnation: id::Incarnation,
    /// Which start of a process with this disk.
    pub start: Start,
}

/// One start of a process with a disk. A copy of the disk counts the same starts, so each also has a random
/// number: of two starts with one count, the one that the log has registered is the right one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Start {
    /// How often a process was started with this disk.
    pub count: u64,
    /// A random number.
    pub token: u32,
}

impl Peer {
    /// Tells whether this life of a process is over when `known` is known of it.
    pub fn is_outdated_by(&self, known: &Self) -> bool {
        let start = self.start.is_outdated_by(known.start);
        let same = self.incarnation == known.incarnation;
        self.node == known.node && (self.incarnation < known.incarnation || (same && start))
    }
}

impl Start {
    /// Tells whether this start can't be the newest one when `known` is registered.
    pub fn is_outdated_by(self, known: Self) -> bool {
        self.count < known.count || (self.count == known.count && self != known)
    }
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
        last: EntryId,
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
        previous: EntryId,
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
        /// The last entry that the follower holds synced and knows to match.
        last: id::Index,
    },
    /// The leader sends its snapshot to a follower that is too far behind.
    Snapshot {
        /// The leader's term.
        term: id::Term,
        /// The round, as in `Append`.
        round: u64,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Says that this process lives, and whom it knows as members; see [`Bootstrap`].
    Hello {
        /// The members, or none when its disk is blank.
        members: Option<Members>,
    },
    /// Tells a process that its disk is older than what was seen of it, so that it takes no part.
    Outdated {
        /// What is known of the process.
        known: Peer,
    },
}

/// The state at one point of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub last: EntryId,
    /// The members at that entry.
    pub members: Members,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// What must be on disk, in this order, before the machine is told that it is synced.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Change {
    /// The term and the vote in it, when they changed.
    pub vote: Option<(id::Term, Option<id::Node>)>,
    /// Drop the entries after this one.
    pub truncate: Option<id::Index>,
    /// Append these entries.
    pub entries: Vec<Entry>,
    /// Replace everything up to its last entry.
    pub snapshot: Option<Snapshot>,
}

impl Change {
    /// Tells whether `next` can be written together with this change.
    pub fn can_merge(&self, next: &Self) -> bool {
        next.truncate.is_none() && next.snapshot.is_none()
    }

    /// Takes `next` into this change.
    pub fn merge(&mut self, next: Self) {
        self.vote = next.vote.or(self.vote.take());
        self.entries.extend(next.entries);
    }
}

/// What a disk held when the process started.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PersistentState {
    /// The newest term.
    pub term: id::Term,
    /// The vote in it.
    pub vote: Option<id::Node>,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// What the machine is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A frame arrived.
    Message {
        /// Who sent it.
        from: Peer,
        /// What it says.
        message: Message,
    },
    /// A command is to be put into the log.
    Propose(Command),
    /// The disk has synced every change up to this ticket.
    Synced {
        /// The ticket of [`Output::Persist`].
        ticket: u64,
    },
    /// The edge made a snapshot of the applied state.
    Compact {
        /// The last entry that was applied to it.
        index: id::Index,
        /// The encoded state.
        state: Vec<u8>,
    },
    /// The members of a new fleet were found by [`Bootstrap`].
    Bootstrap(Members),
}

/// What the machine orders, to be carried out in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send this; it may get lost.
    Send {
        /// To whom.
        to: id::Node,
        /// What.
        message: Message,
    },
    /// Write and sync this, then report the ticket.
    Persist {
        /// Numbers the changes.
        ticket: u64,
        /// What changed.
        change: Change,
    },
    /// Apply these entries, which are committed.
    Apply(Vec<Entry>),
    /// Replace the applied state by this one.
    Restore(Snapshot),
    /// The command was put into the log here; its fate is told by [`Output::Apply`].
    Proposed(EntryId),
    /// The command was not put into the log.
    ProposalRefused,
    /// This voter leads now.
    BecameLeader,
    /// This voter leads no more.
    SteppedDown,
}
