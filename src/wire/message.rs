//! The messages that frames carry.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::forward::{Forward, Forwarded};
use super::{position, quota};
use crate::config::Change;
use crate::{control, id};

/// The term and index of the control log at which a decision was made. Receivers reject anything with an older
/// stamp than the newest that they have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Stamp {
    /// The term of the control log.
    pub term: id::Term,
    /// The index in the control log.
    pub index: id::Index,
}

/// The message in a frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Proxy to every voter, over UDP: reports that the proxy is alive, the state it has in force, and the state of
    /// the instances as seen by the proxy.
    Heartbeat(Heartbeat),
    /// Leader to proxy, over UDP: the answer to a heartbeat, or a notification that the table has changed.
    Grant(Grant),
    /// Non-leader voter to proxy, over UDP: the leader that the proxy should contact instead, if known.
    Redirect(Option<id::Node>),
    /// Voter to proxy, over UDP: the current addresses of the members of the control plane.
    Voters(Vec<SocketAddr>),
    /// Proxy to leader, over TCP: requests the configuration that is in force.
    Fetch {
        /// The revision that the proxy has in force, or 0.
        revision: id::Revision,
    },
    /// Leader to proxy, over TCP: the configuration that is in force.
    Configuration(Configuration),
    /// Voter to voter, over TCP: a message of the consensus protocol.
    Raft {
        /// Identifies the sender's start with its current disk. The frame has the sender's incarnation.
        start: control::raft::Start,
        /// The message.
        message: control::raft::Message,
    },
    /// Any process to a voter, over TCP: appends this command to the log. [`Body::Answer`] answers with its
    /// outcome.
    Submit(control::state::Command),
    /// Voter to the process that sent [`Body::Submit`] or [`Body::Announce`], over TCP.
    Answer(Answer),
    /// Control process to another one of which only the address is known, over TCP, and the answer to it; see
    /// [`control::discovery`].
    Meet(control::discovery::Greeting),
    /// Voter to leader, over TCP: relays the announcement of an instance. [`Body::Answer`] answers it.
    Announce(Announcement),
    /// Voter to leader, over TCP: requests the newest declarations. [`Body::Declared`] or [`Body::Redirect`]
    /// answers it.
    Declarations,
    /// Leader to voter, over TCP: the newest declarations as the operator wrote them, if there are any.
    Declared(Option<control::state::Declaration>),
    /// Proxy to a proxy that serves a group, over TCP: runs a statement. [`Body::Forwarded`] answers it.
    Forward(Forward),
    /// Proxy to the proxy that sent [`Body::Forward`], over TCP.
    Forwarded(Forwarded),
    /// Proxy to a proxy that serves a group, over TCP: asks whether the stream works. The receiver sends the same back,
    /// and also sends it from time to time while it runs a statement.
    Ping,
}

/// A proxy's periodic report to the control plane, which requests a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The number of this heartbeat within the proxy's incarnation. The grant repeats it, so that the proxy knows when
    /// it sent the heartbeat that the grant answers.
    pub sequence: id::Sequence,
    /// The proxy's failure domain.
    pub domain: id::Domain,
    /// The address at which the proxy receives datagrams.
    pub address: SocketAddr,
    /// The proxy's admin address, for announcements and operators.
    pub admin: SocketAddr,
    /// The newest stamp the proxy has seen.
    pub seen: Stamp,
    /// The table version that the proxy has in force. This acknowledges freezes.
    pub table: u64,
    /// The configuration revision that the proxy has in force.
    pub revision: id::Revision,
    /// The announced instances that the proxy knows, with the state of each as seen by the proxy.
    pub sightings: Vec<Observation>,
    /// The connections to each group that the proxy holds and needs, from which the leader shares out the budget.
    pub demand: Vec<Demand>,
    /// The tokens of accounts that the proxy spent and needs.
    pub quota: Vec<quota::Report>,
    /// The newest positions that the proxy read from the primaries of the groups that it serves.
    pub positions: Vec<position::Report>,
    /// Whether the proxy is shutting down and needs no share of the connections.
    pub draining: bool,
    /// Whether the proxy forwards the statements of groups that it doesn't serve, and accepts those that other proxies
    /// forward. It accepts them over TCP at `address`.
    pub forwards: bool,
}

/// The connections to each instance of a group that a proxy holds and needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The group.
    pub group: id::Group,
    /// The number of connections to one instance that the proxy could use, including those for waiting requests.
    pub wanted: u32,
    /// The highest number of connections that the proxy has open to any one instance.
    pub open: u32,
    /// The share that the proxy has in force. A new leader starts from it.
    pub share: u32,
}

/// The state of an instance as seen by a proxy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The instance and its address.
    pub replica: Replica,
    /// The health of the instance as seen by this proxy.
    pub trouble: Health,
    /// The time since the last successful answer of the instance, in milliseconds.
    pub silent_ms: u32,
    /// The time since the instance last announced itself to this proxy, in milliseconds; `None` if it never did.
    pub announced_ms: Option<u32>,
}

/// The health of an instance as seen by the process that uses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// The instance answers.
    Fine,
    /// The instance refuses connections, so its process has ended.
    Refused,
    /// The instance does not answer.
    Silent,
    /// The instance answers with errors or closes connections. It may have ended or be overloaded.
    Faulty,
}

/// The replication role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The instance accepts writes.
    Primary,
    /// The instance replicates from a primary.
    Replica,
}

/// An upstream instance: its identity and location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The group that the instance belongs to.
    pub group: id::Group,
    /// The name of the instance.
    pub instance: id::Instance,
    /// The address at which the instance accepts connections.
    pub address: SocketAddr,
    /// The failure domain of the instance.
    pub domain: id::Domain,
}

/// An announcement of an instance, made by the instance itself or on its behalf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The announced instance.
    pub replica: Replica,
    /// The incarnation of the instance. A later incarnation has a greater number.
    pub born: id::Incarnation,
    /// The number of this announcement within the incarnation.
    pub sequence: id::Sequence,
    /// The announced availability.
    pub standing: Availability,
}

/// Whether an instance accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// The instance accepts work.
    Ready,
    /// The instance is draining and accepts no new work.
    Leaving,
    /// The instance has shut down.
    Gone,
}

/// A message of the leader to a proxy that renews its lease and updates its table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The term and index in the control log at which the decision was made.
    pub stamp: Stamp,
    /// The incarnation of the proxy that the grant is for. A later incarnation, whose heartbeats are numbered from the
    /// beginning again, ignores it.
    pub incarnation: id::Incarnation,
    /// The heartbeat that the grant answers; `None` if the leader sent it without one, in which case it renews no
    /// lease.
    pub sequence: Option<id::Sequence>,
    /// The duration of the lease in milliseconds, counted from when the proxy sent that heartbeat.
    pub lease_ms: u32,
    /// The version of the leader's table.
    pub version: u64,
    /// The changes to the table since the version that the proxy has in force; `None` if there are none.
    pub delta: Option<Delta>,
    /// The revision of the newest accepted configuration.
    pub revision: id::Revision,
    /// The tokens of accounts that are lent to the proxy.
    #[serde(default)]
    pub quota: Vec<quota::Allowance>,
    /// The positions of primaries that the proxy serves and has no position of.
    #[serde(default)]
    pub positions: Vec<position::Known>,
}

/// The changes to the table since a given version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the changes are relative to. With 0, `routes` holds all groups, or the first of them, and begins
    /// a new table.
    pub since: u64,
    /// The complete new entries of the changed groups.
    pub routes: Vec<Route>,
}

/// The entry of one group in the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The group.
    pub group: id::Group,
    /// The epoch of the group, once it has one.
    pub epoch: Option<Epoch>,
    /// The instances of the group.
    pub replicas: Vec<Replica>,
    /// The instances that are draining.
    pub draining: Vec<id::Instance>,
    /// The maximum number of connections that the receiving proxy may hold to each instance.
    pub share: u32,
    /// The proxies that hold connections to the instances.
    pub serving: Serving,
    /// The confirmed peaks of the group that have not ended.
    pub peaks: Vec<Peak>,
}

/// The proxies that hold connections to the instances of a group and run its statements. See `docs/DESIGN.md`,
/// "Serving proxies".
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Serving {
    /// The leader has not decided yet. The decision of the previous leader stays in force.
    #[default]
    Undecided,
    /// Every proxy.
    Every,
    /// Only these proxies. The others forward their statements to them.
    Listed(Vec<Server>),
}

/// A proxy that serves a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The proxy.
    pub node: id::Node,
    /// The address at which it accepts forwarded statements.
    pub address: SocketAddr,
    /// The proxy's failure domain.
    pub domain: id::Domain,
}

/// An expected load peak of a group. Proxies open connections ahead of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peak {
    /// The group.
    pub group: id::Group,
    /// The start of the peak, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The duration of the peak in milliseconds.
    pub lasts_ms: u64,
}

/// An epoch of a group: the primary under a term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The group.
    pub group: id::Group,
    /// The term of the epoch. It is also the timeline that the instances of the group report.
    pub term: id::Term,
    /// The primary of the epoch.
    pub primary: id::Instance,
    /// Whether answers to writes may be released to callers.
    pub phase: Phase,
    /// The positions at which this term and earlier ones began, newest last. Floors are compared by these fork points.
    pub forks: Vec<(id::Term, id::Position)>,
}

/// Whether answers of an epoch may be released to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Writes are executed and acknowledged.
    Active,
    /// Nothing of this epoch is acknowledged any more; a promotion is in progress.
    Frozen,
}

/// A configuration accepted by the control plane, as the change from an earlier one. Most revisions change little, and
/// every proxy receives every one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The revision that the change is relative to; 0 stands for no declarations at all.
    pub since: id::Revision,
    /// The revision of the configuration.
    pub revision: id::Revision,
    /// The change.
    pub change: Change,
}

/// The result of submitting a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The command was applied, with this outcome.
    Applied(control::state::Outcome),
    /// This voter is not the leader. The sender should contact the named voter, or try another one after a while.
    NotLeader(Option<id::Node>),
    /// It is unknown whether the command was applied. The sender may resend it with the same id.
    Unknown,
}
