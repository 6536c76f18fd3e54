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
    /// A voter to a proxy, over UDP: where the members of control take frames now.
    Voters(Vec<SocketAddr>),
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
    /// A control process to another one whose address it was given, over TCP, and the answer to it; see
    /// [`control::meeting`].
    Meet(control::meeting::Greeting),
    /// A voter to the leader, over TCP: an instance announced itself here. [`Answer`] is the answer.
    Announce(Announcement),
    /// A voter to the leader, over TCP: say what was declared last. [`Body::Declared`] or a redirection answers.
    Declarations,
    /// Leader to voter, over TCP: what was declared last, in the declarer's own form, when anything was.
    Declared(Option<control::state::Declared>),
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
    pub sightings: Vec<Observation>,
    /// What it holds and wants of each group's connections, for sharing the budget.
    pub demand: Vec<Demand>,
    /// Whether the proxy is leaving and needs no share.
    pub draining: bool,
}

/// What a proxy holds and wants of the connections to each instance of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The group.
    pub group: id::Group,
    /// How many it would use to one instance, waiting requests included.
    pub wanted: u32,
    /// How many it has open to one instance at the most.
    pub open: u32,
    /// The share that it has in force; a new leader starts from it.
    pub share: u32,
}

/// What a proxy knows of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The instance and where it is.
    pub replica: Replica,
    /// What is wrong with it, seen from this proxy.
    pub trouble: Health,
    /// How old the last good answer is, in milliseconds.
    pub silent_ms: u32,
    /// How long ago the instance announced itself to this proxy, in milliseconds; `None` when it never did.
    pub announced_ms: Option<u32>,
}

/// What a proxy sees wrong with an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// It answers.
    Fine,
    /// It refuses connections, so its process has ended.
    Refused,
    /// It does not answer.
    Silent,
    /// It answers with errors, or breaks connections off; it may have ended or be too busy.
    Faulty,
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

/// What an instance, or somebody on its behalf, said of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Which instance it is and where.
    pub replica: Replica,
    /// Which life of it this is; a later life has a greater number.
    pub born: id::Incarnation,
    /// Numbers what this life says.
    pub sequence: id::Sequence,
    /// What it says.
    pub standing: Standing,
}

/// Whether an instance takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It takes work.
    Ready,
    /// It is about to leave and takes no new work.
    Leaving,
    /// It has left.
    Gone,
}

/// The leader's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// How new this is.
    pub stamp: Stamp,
    /// The life of the proxy that this is for; a later life, whose numbers start anew, ignores it.
    pub incarnation: id::Incarnation,
    /// The heartbeat that this answers, or none when it was sent unasked (then it renews no lease).
    pub sequence: Option<id::Sequence>,
    /// How long the lease runs, in milliseconds, from when the proxy sent that heartbeat.
    pub lease_ms: u32,
    /// The version of the leader's table.
    pub version: u64,
    /// What changed in the table since the version that the proxy has in force, when anything did.
    pub delta: Option<Delta>,
    /// The newest accepted configuration.
    pub revision: id::Revision,
}

/// The groups of the table that changed after a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version after which they changed; 0 when these are all groups.
    pub since: u64,
    /// The groups that changed, whole.
    pub routes: Vec<Route>,
}

/// What the table says of one group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The group.
    pub group: id::Group,
    /// Its epoch, once it has one.
    pub epoch: Option<Epoch>,
    /// Its instances.
    pub replicas: Vec<Replica>,
    /// Those that are leaving.
    pub draining: Vec<id::Instance>,
    /// The connections that the receiving proxy may hold to each instance.
    pub share: u32,
    /// The confirmed peaks of the group that are not over.
    pub peaks: Vec<Peak>,
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

impl Table {
    /// Takes the changes over; all of the table when they are all groups.
    pub fn merge(&mut self, delta: Delta) {
        if delta.since == 0 {
            *self = Self::default();
        }
        for route in delta.routes {
            self.replace(route);
        }
    }

    fn replace(&mut self, route: Route) {
        let group = &route.group;
        let known = self.replicas.iter().filter(|replica| replica.group == *group);
        let known: Vec<id::Instance> = known.map(|replica| replica.instance.clone()).collect();
        self.draining.retain(|instance| !known.contains(instance));
        self.draining.retain(|instance| !route.draining.contains(instance));
        self.epochs.retain(|epoch| epoch.group != *group);
        self.replicas.retain(|replica| replica.group != *group);
        self.shares.retain(|(name, _)| name != group);
        self.peaks.retain(|peak| peak.group != *group);
        self.epochs.extend(route.epoch);
        self.replicas.extend(route.replicas);
        self.draining.extend(route.draining);
        self.shares.push((route.group, route.share));
        self.peaks.extend(route.peaks);
    }
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
