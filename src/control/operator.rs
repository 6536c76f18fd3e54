//! What operators ask of control, over HTTP with JSON.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;

use super::core::Core;
use super::server::{Shared, instances, role_of};
use super::state::{self, Action, Command, Intent, Membership, Origin};
use crate::admin::{self, Client, Reply, Request};
use crate::clock::Instant;
use crate::id;
use crate::report::Peer;
use crate::security::Unauthorized;
use crate::wire::{Answer, Phase, Role, Stamp};

/// How long the leader may take to answer for another voter.
const RELAY: Duration = Duration::from_millis(1_000);

/// The body of `POST /plan`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Plan {
    /// Who sends it, and its id.
    pub origin: Origin,
    /// The plan's id, chosen by the sender.
    pub plan: id::Plan,
    /// The revision it stands on; the one in force when it is left out.
    pub base: Option<id::Revision>,
    /// What is wanted.
    pub intent: Intent,
}

/// The body of `POST /confirm`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Confirm {
    /// Who sends it, and its id.
    pub origin: Origin,
    /// The plan.
    pub plan: id::Plan,
}

/// The answer to `GET /status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// How new this is.
    pub stamp: Stamp,
    /// The configuration revision in force.
    pub revision: id::Revision,
    /// The groups and their epochs.
    pub groups: Vec<Group>,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The proxies that may hold a lease.
    pub proxies: Vec<id::Node>,
    /// The control processes.
    pub voters: Vec<Voter>,
    /// The changes of the voters that are not finished.
    pub wanted: Vec<Membership>,
}

/// A control process, for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Voter {
    /// Its name.
    pub node: id::Node,
    /// The incarnation of its disk.
    pub incarnation: id::Incarnation,
    /// Its failure domain.
    pub domain: id::Domain,
    /// What it does.
    pub part: Part,
    /// Whether it answers and holds every committed entry.
    pub current: bool,
}

/// What a control process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Part {
    /// It leads.
    Leader,
    /// It votes.
    Voter,
    /// It learns and doesn't vote yet; its repair is not finished.
    Learner,
}

/// A group's epoch, for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Group {
    /// The group.
    pub group: id::Group,
    /// Its term.
    pub term: id::Term,
    /// Its primary.
    pub primary: id::Instance,
    /// Whether writes are stopped.
    pub frozen: bool,
}

/// An instance, for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Instance {
    /// The instance.
    pub instance: id::Instance,
    /// Its group.
    pub group: id::Group,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where it is.
    pub address: std::net::SocketAddr,
    /// What it is in the group's epoch.
    pub role: Role,
    /// Whether it is leaving.
    pub draining: bool,
}

pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let handle = move |request| {
        let shared = Arc::clone(&shared);
        async move { answer(&shared, &request).await }
    };
    if let Err(error) = admin::serve(listener, handle).await {
        log::error!("operators can't be served any more: {error}");
    }
}

async fn answer(shared: &Arc<Shared>, request: &Request) -> Reply {
    if let Some(reason) = shared.core().stopped.clone() {
        let message = format!("this voter takes no part any more: {reason}");
        return Reply::refuse(StatusCode::SERVICE_UNAVAILABLE, &message);
    }
    if request.path == "/metrics" {
        return Reply::metrics(metrics(shared));
    }
    let Ok(operator) = shared.credentials.operators.identify(request.token.as_deref()) else {
        shared.metrics.record_protocol_error(Peer::Operator, "token");
        return Reply::refuse(StatusCode::UNAUTHORIZED, &Unauthorized.to_string());
    };
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/status") => match shared.leader_admin() {
            Some(leader) if request.query.is_empty() => relayed(shared, request, leader).await,
            _ => Reply::json(&status(shared)),
        },
        (&Method::POST, "/plan") => match parsed(request) {
            Ok(body) => reply(plan(shared, operator, body).await),
            Err(refused) => refused,
        },
        (&Method::POST, "/confirm") => match parsed(request) {
            Ok(body) => reply(confirm(shared, operator, body).await),
            Err(refused) => refused,
        },
        _ => Reply::refuse(StatusCode::NOT_FOUND, "there is nothing here"),
    }
}

/// Returns the metrics, with those set that follow from the state.
fn metrics(shared: &Shared) -> String {
    let (stamp, revision) = {
        let core = shared.core();
        (core.stamp(), core.state.revision)
    };
    shared.metrics.set_stamp(stamp);
    shared.metrics.set_revision(revision);
    shared.metrics.encode()
}

/// Passes on what the leader says.
async fn relayed(shared: &Shared, request: &Request, leader: std::net::SocketAddr) -> Reply {
    let client = request.token.as_deref().map(Client::with_token).unwrap_or_default();
    let asked = shared.clock.timeout(RELAY, client.get(leader, "/status?relayed")).await;
    let status = asked.and_then(Result::ok);
    match status.and_then(|body| serde_json::from_slice::<Status>(&body).ok()) {
        Some(status) => Reply::json(&status),
        None => Reply::refuse(StatusCode::SERVICE_UNAVAILABLE, "the leader can't be asked"),
    }
}

fn parsed<T: for<'a> Deserialize<'a>>(request: &Request) -> Result<T, Reply> {
    let refused =
        |error: serde_json::Error| Reply::refuse(StatusCode::BAD_REQUEST, &error.to_string());
    serde_json::from_slice(&request.body).map_err(refused)
}

fn reply(answer: Answer) -> Reply {
    match answer {
        Answer::Applied(outcome) => Reply::json(&outcome),
        Answer::NotLeader(leader) => {
            let leader = leader.map_or("not known".to_owned(), |leader| leader.to_string());
            Reply::refuse(StatusCode::MISDIRECTED_REQUEST, &format!("the leader is {leader}"))
        }
        Answer::Unknown => {
            let message = "the outcome is unknown; send the command again with the same id";
            Reply::refuse(StatusCode::SERVICE_UNAVAILABLE, message)
        }
    }
}

/// Puts the operator whom a token proved in the place of the one whom the command names.
fn proved(origin: Origin, operator: Option<id::Operator>) -> Option<Origin> {
    let operator = operator.unwrap_or(origin.operator);
    Some(Origin { operator, ..origin })
}

async fn plan(shared: &Arc<Shared>, operator: Option<id::Operator>, plan: Plan) -> Answer {
    let base = plan.base.unwrap_or_else(|| shared.core().state.revision);
    let action = Action::Plan { plan: plan.plan, base, intent: plan.intent, made_ms: wall_ms() };
    shared.submit(Command { origin: proved(plan.origin, operator), action }).await
}

async fn confirm(shared: &Arc<Shared>, operator: Option<id::Operator>, confirm: Confirm) -> Answer {
    let action = Action::Confirm { plan: confirm.plan, now_ms: wall_ms() };
    shared.submit(Command { origin: proved(confirm.origin, operator), action }).await
}

fn status(shared: &Shared) -> Status {
    let core = shared.core();
    let group = |epoch: &crate::wire::Epoch| Group {
        group: epoch.group.clone(),
        term: epoch.term,
        primary: epoch.primary.clone(),
        frozen: epoch.phase == Phase::Frozen,
    };
    let instance = |replica: crate::wire::Replica| Instance {
        role: role_of(&core.state, &replica),
        draining: core.state.draining.contains(&replica.instance),
        instance: replica.instance,
        group: replica.group,
        domain: replica.domain,
        address: replica.address,
    };
    Status {
        stamp: core.stamp(),
        revision: core.state.revision,
        groups: core.state.epochs.values().map(group).collect(),
        instances: instances(&core).into_iter().map(instance).collect(),
        proxies: core.state.nodes.keys().cloned().collect(),
        voters: voters(&core, shared.clock.now()),
        wanted: core.state.wanted.iter().cloned().collect(),
    }
}

fn voters(core: &Core, now: Instant) -> Vec<Voter> {
    let members = core.raft.members();
    let leader = core.raft.leader();
    let voter = |voter: &state::Voter, part| Voter {
        node: voter.node.clone(),
        incarnation: voter.incarnation,
        domain: voter.domain.clone(),
        part,
        current: core.raft.is_caught_up(now, voter),
    };
    let part = |node| if leader == Some(node) { Part::Leader } else { Part::Voter };
    let voters = members.voters.values().map(|known| voter(known, part(&known.node)));
    let learners = members.learners.values().map(|known| voter(known, Part::Learner));
    voters.chain(learners).collect()
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
