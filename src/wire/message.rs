//! What frames say.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{control, id};

/// How new a decision is: the term and index of the control log it was made at. A receiver refuses anything
/// older than what it has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Stamp {
    /// The term of the control log.
    pub term: id::Term,
    /// The index in the control log.
    pub index: id::Index,
}

/// The content of a frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Proxy to every voter, over UDP: I live, this is what I have in force and what I see.
    Heartbeat(Heartbeat),
    /// Leader to proxy, over UDP: the answer to a heartbeat, or unasked when the table changes.
    Grant(Grant),
    /// A voter that is not the leader to a proxy, over UDP: ask this one instead.
    Redirect(Option<id::Node>),
    /// Proxy to leader, over TCP: send the configuration that is in force.
    Fetch,
    /// Leader to proxy, over TCP: the configuration in force.
    Configuration(Configuration),
    /// Voter to voter, over TCP.
    Raft {
        /// Which start of the sender with its disk this is; its incarnation is the frame's.
        start: control::raft::Start,
        /// What it says.
        message: control::raft::Message,
    },
    /// Any process to a voter, over TCP: put this command into the log and say what came of it.
    Submit(control::state::Command),
    /// Voter to the process that submitted.
    Answer(Answer),
}

/// What a proxy tells control with each heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Numbers the heartbeats of one incarnation; the grant repeats it, so that the proxy knows when it asked.
    pub sequence: id::Sequence,
    /// The proxy's failure domain.
    pub domain: id::Domain,
    /// Where the proxy takes datagrams.
    pub address: SocketAddr,
    /// Where the proxy takes announcements and operators.
    pub admin: SocketAddr,
    /// The newest stamp the proxy has seen.
    pub seen: Stamp,
    /// The table version the proxy has in force; this acknowledges freezes.
    pub table: u64,
    /// The configuration revision the proxy has in force.
    pub revision: id::Revision,
    /// The announced instances it knows of, and what it sees of each.
    pub sightings: Vec<Sighting>,
    /// How many connections it would use to each group's instances, for sharing the budget.
    pub demand: Vec<(id::Group, u32)>,
    /// Whether the proxy is leaving and needs no share.
    pub draining: bool,
}

/// What a proxy knows of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sighting {
    /// The instance and where it is.
    pub replica: Replica,
    /// What is wrong with it, seen from this proxy.
    pub trouble: Trouble,
    /// How old the last good answer is, in milliseconds.
    pub silent_ms: u32,
    /// How long ago the instance announced itself to this proxy, in milliseconds; `None` when it never did.
    pub announced_ms: Option<u32>,
}

/// What a proxy sees wrong with an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Trouble {
    /// It answers.
    Fine,
    /// It refuses connections, so its process has ended.
    Refused,
    /// It does not answer.
    Silent,
}

/// Whether an instance takes writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// One upstream instance as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The group it belongs to.
    pub group: id::Group,
    /// Its name.
    pub instance: id::Instance,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
}

/// The leader's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// How new this is.
    pub stamp: Stamp,
    /// The heartbeat that this answers, or none when it was sent unasked (then it renews no lease).
    pub sequence: Option<id::Sequence>,
    /// How long the lease runs, in milliseconds, from when the proxy sent that heartbeat.
    pub lease_ms: u32,
    /// The version of the leader's table.
    pub version: u64,
    /// The table, when it is newer than the heartbeat's.
    pub table: Option<Table>,
    /// The newest accepted configuration.
    pub revision: id::Revision,
}

/// What control knows and every proxy routes by.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Table {
    /// The epoch of each group.
    pub epochs: Vec<Epoch>,
    /// The instances of each group.
    pub replicas: Vec<Replica>,
    /// The instances that are leaving and take no new work.
    pub draining: Vec<id::Instance>,
    /// The connections this proxy may hold to each instance of a group.
    pub shares: Vec<(id::Group, u32)>,
    /// The peaks that operators confirmed and that are not over.
    pub peaks: Vec<Peak>,
}

/// A peak of a group: connections are opened ahead of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peak {
    /// The group.
    pub group: id::Group,
    /// When it begins, in milliseconds since 1970.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub lasts_ms: u64,
}

/// A group's epoch: one primary under one term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The group.
    pub group: id::Group,
    /// The term, which is also the timeline that the group's instances report.
    pub term: id::Term,
    /// The primary.
    pub primary: id::Instance,
    /// Whether writes are released.
    pub phase: Phase,
    /// Where this and earlier terms began: the fork points that floors are compared by, newest last.
    pub forks: Vec<(id::Term, id::Position)>,
}

/// Whether answers of an epoch may be released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Writes run and are acknowledged.
    Active,
    /// Nothing of this epoch is acknowledged any more; a promotion is under way.
    Frozen,
}

/// A configuration as control accepted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// How new this is.
    pub stamp: Stamp,
    /// Its revision.
    pub revision: id::Revision,
    /// The declarations, in TOML as the operator wrote them.
    pub text: String,
}

/// What came of a submitted command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It was applied; this is its outcome.
    Applied(control::state::Outcome),
    /// This voter does not lead; ask the one named, or any other after a while.
    NotLeader(Option<id::Node>),
    /// The command's fate is unknown; resend it with the same id.
    Unknown,
}
