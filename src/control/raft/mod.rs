//! Raft consensus (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014) with
//! pre-vote and a leader that steps down when it loses contact with the majority.
//!
//! [`Raft`] is a state machine without I/O: `server` carries out the outputs it returns. A message that depends
//! on a write is sent only after the disk has reported that write as synced; see `docs/DESIGN.md`, "Control".

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

/// The minimum election timeout. A voter that had contact with a leader within this time grants no vote.
pub const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum election timeout.
pub const MAX_ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// The minimum wait before a pre-vote is repeated; the maximum is twice as long. Long enough for answers from
/// another region.
pub const PRE_VOTE_RETRY: Duration = Duration::from_millis(50);

/// How often a leader sends to its followers, even without new entries.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// How much earlier than the minimum election timeout a leader stops relying on its majority, to allow for
/// clock drift between voters.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(50);

/// How long a leader acts after it sent the message in response to which a majority last confirmed it. Whoever is elected
/// later can rely on it: the voters of the majority grant no vote before [`MIN_ELECTION_TIMEOUT`].
pub const LEADERSHIP_VALIDITY: Duration = MIN_ELECTION_TIMEOUT.saturating_sub(CLOCK_DRIFT_MARGIN);

/// The maximum size of the entries in one message; a single entry may be larger.
pub const MAX_APPEND_BYTES: usize = 512 * 1024;

/// The maximum size of a command. Leaves room for the rest of the frame.
pub const MAX_COMMAND_BYTES: usize = 1024 * 1024;

/// How many entries covered by the snapshot stay in memory, so that followers slightly behind need no snapshot.
pub const CATCH_UP_ENTRIES: usize = 256;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which the entry was proposed.
    pub term: id::Term,
    /// The index in the log; the first entry has index 1.
    pub index: id::Index,
    /// The command to apply.
    pub command: Command,
}

/// The term and index of an entry. Of two logs, the one whose last entry has the greater id is more up to date.
pub type EntryId = (id::Term, id::Index);

/// One run of a control process. The disk stores its incarnation and the number of starts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// The name of the process.
    pub node: id::Node,
    /// The incarnation of its disk.
    pub incarnation: id::Incarnation,
    /// The start of the process with this disk.
    pub start: Start,
}

/// One start of a process with a disk. A copy of the disk reaches the same count, so each start also has a random
/// token: of two starts with equal counts, the one registered in the log is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Start {
    /// How many times a process was started with this disk.
    pub count: u64,
    /// A random number that distinguishes starts with equal counts.
    pub token: u32,
}

impl Peer {
    /// Returns whether `known` supersedes this run of the process.
    pub fn is_outdated_by(&self, known: &Self) -> bool {
        let start = self.start.is_outdated_by(known.start);
        let same = self.incarnation == known.incarnation;
        self.node == known.node && (self.incarnation < known.incarnation || (same && start))
    }
}

impl Start {
    /// Returns whether this start can't be the newest one, given that `known` is registered.
    pub fn is_outdated_by(self, known: Self) -> bool {
        self.count < known.count || (self.count == known.count && self != known)
    }
}

/// Messages between control processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A candidate requests a vote, or asks whether it would be granted one (pre-vote).
    RequestVote {
        /// The candidate's term.
        term: id::Term,
        /// Whether this is a pre-vote, which changes no state of the receiver.
        pre_vote: bool,
        /// The last entry of the candidate's log.
        last: EntryId,
    },
    /// The response to a vote request.
    Vote {
        /// The voter's term, or the candidate's when a pre-vote is granted.
        term: id::Term,
        /// Whether this responds to a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// The leader sends entries, or none as a heartbeat.
    Append {
        /// The leader's term.
        term: id::Term,
        /// The leader's broadcast round. A response to it shows that the leader still led when it sent the round.
        round: u64,
        /// The entry that precedes `entries`.
        previous: EntryId,
        /// The entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: id::Index,
    },
    /// The response to entries or a snapshot.
    Appended {
        /// The follower's term.
        term: id::Term,
        /// The round that this responds to.
        round: u64,
        /// Whether the log matched; if not, the leader should retry after `last`.
        matched: bool,
        /// The last entry that the follower has synced and knows to match the leader's log.
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
    /// Introduces this process and the members it knows; see [`Bootstrap`].
    Hello {
        /// The members, or `None` when the disk is blank.
        members: Option<Members>,
    },
    /// Informs a process that its disk is older than the newest known one, so that it stops participating.
    Outdated {
        /// The newest run known of the process.
        known: Peer,
    },
}

/// The replicated state at one point of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry included.
    pub last: EntryId,
    /// The members at that entry.
    pub members: Members,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// A change to the persistent state. All of it is synced before it is reported with [`Input::Synced`].
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Change {
    /// The new term and vote, if they changed.
    pub vote: Option<(id::Term, Option<id::Node>)>,
    /// Remove the entries after this one.
    pub truncate: Option<id::Index>,
    /// Append these entries.
    pub entries: Vec<Entry>,
    /// Replace all entries up to the last one in this snapshot.
    pub snapshot: Option<Snapshot>,
}

impl Change {
    /// Returns whether `next` can be written in one record with this change.
    pub fn can_merge(&self, next: &Self) -> bool {
        next.truncate.is_none() && next.snapshot.is_none()
    }

    /// Merges `next` into this change.
    pub fn merge(&mut self, next: Self) {
        self.vote = next.vote.or(self.vote.take());
        self.entries.extend(next.entries);
    }
}

/// The persistent state read from the disk when the process started.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PersistentState {
    /// The current term.
    pub term: id::Term,
    /// The candidate voted for in that term.
    pub vote: Option<id::Node>,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// An input to [`Raft::step`].
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Message {
        /// The sender.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// Append a command to the log.
    Propose(Command),
    /// Ask all voters to confirm this leader.
    Confirm,
    /// The disk has synced all changes up to this ticket.
    Synced {
        /// The ticket of [`Output::Persist`].
        ticket: u64,
    },
    /// The caller took a snapshot of the applied state.
    Compact {
        /// The last entry applied to that state.
        index: id::Index,
        /// The encoded state.
        state: Vec<u8>,
    },
    /// Initialize an empty log with the first members, as determined by [`Bootstrap`].
    Bootstrap(Members),
}

/// An output of [`Raft::step`]. Outputs are carried out in the order returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message; it may get lost.
    Send {
        /// The receiver.
        to: id::Node,
        /// The message.
        message: Message,
    },
    /// Write and sync a change, then report its ticket with [`Input::Synced`].
    Persist {
        /// The sequence number of the change.
        ticket: u64,
        /// The change.
        change: Change,
    },
    /// Apply these committed entries.
    Apply(Vec<Entry>),
    /// Replace the applied state by this snapshot.
    Restore(Snapshot),
    /// The command was appended to the log under this id. It is committed if an entry with this id appears in
    /// [`Output::Apply`].
    Proposed(EntryId),
    /// The command was not appended: this process is not the leader, or the command is too large.
    ProposalRefused,
    /// This voter became the leader.
    BecameLeader,
    /// This voter stopped being the leader.
    SteppedDown,
}
