//! The HTTP interface for operators, with JSON.

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

/// How long the leader may take to answer a status request that another voter forwards.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The body of `POST /plan`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Plan {
    /// The sender and the id of the command.
    pub origin: Origin,
    /// The id of the plan, chosen by the sender.
    pub plan: id::Plan,
    /// The revision that the plan is based on; the one in force by default.
    pub base: Option<id::Revision>,
    /// The intended change.
    pub intent: Intent,
}

/// The body of `POST /confirm`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Confirm {
    /// The sender and the id of the command.
    pub origin: Origin,
    /// The plan to confirm.
    pub plan: id::Plan,
}

/// The answer to `GET /status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The term of the control log, and the index up to which the state is applied.
    pub stamp: Stamp,
    /// The revision of the configuration in force.
    pub revision: id::Revision,
    /// The number of accounts that callers need a key of; `None` if they need none.
    #[serde(default)]
    pub accounts: Option<usize>,
    /// The groups and their epochs.
    pub groups: Vec<Group>,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The proxies that may hold a lease.
    pub proxies: Vec<id::Node>,
    /// The control processes.
    pub voters: Vec<Voter>,
    /// The confirmed membership changes that are not completed.
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
    /// Its part in the log.
    pub part: Part,
    /// Whether it responds to the leader and holds every committed entry.
    pub current: bool,
}

/// The part of a control process in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Part {
    /// The leader.
    Leader,
    /// A voter that isn't the leader.
    Voter,
    /// A learner, which doesn't vote until it holds the whole log; until then its repair is not finished.
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
    /// Its address.
    pub address: std::net::SocketAddr,
    /// Its role in the group's epoch.
    pub role: Role,
    /// Whether it is draining.
    pub draining: bool,
}

pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let handler = move |request| {
        let shared = Arc::clone(&shared);
        async move { handle(&shared, &request).await }
    };
    if let Err(error) = admin::serve(listener, handler).await {
        log::error!("the operators' HTTP server failed, no further requests are served: {error}");
    }
}

async fn handle(shared: &Arc<Shared>, request: &Request) -> Reply {
    if let Some(reason) = shared.core().stop_reason.clone() {
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
        (&Method::GET, "/status") => match shared.leader_admin_address() {
            Some(leader) if request.query.is_empty() => relay_status(shared, request, leader).await,
            _ => Reply::json(&status(shared)),
        },
        (&Method::POST, "/plan") => match parse_body(request) {
            Ok(body) => reply(plan(shared, operator, body).await),
            Err(refused) => refused,
        },
        (&Method::POST, "/confirm") => match parse_body(request) {
            Ok(body) => reply(confirm(shared, operator, body).await),
            Err(refused) => refused,
        },
        _ => Reply::refuse(StatusCode::NOT_FOUND, "there is nothing here"),
    }
}

/// Returns the encoded metrics, after updating those that are derived from the state.
fn metrics(shared: &Shared) -> String {
    let (stamp, revision) = {
        let core = shared.core();
        (core.stamp(), core.state.revision)
    };
    shared.metrics.set_stamp(stamp);
    shared.metrics.set_revision(revision);
    shared.metrics.encode()
}

/// Forwards a status request to the leader.
async fn relay_status(shared: &Shared, request: &Request, leader: std::net::SocketAddr) -> Reply {
    let client = request.token.as_deref().map(Client::with_token).unwrap_or_default();
    let response = shared.clock.timeout(RELAY_TIMEOUT, client.get(leader, "/status?relayed")).await;
    let status = response.and_then(Result::ok);
    match status.and_then(|body| serde_json::from_slice::<Status>(&body).ok()) {
        Some(status) => Reply::json(&status),
        None => Reply::refuse(StatusCode::SERVICE_UNAVAILABLE, "the leader can't be asked"),
    }
}

fn parse_body<T: for<'a> Deserialize<'a>>(request: &Request) -> Result<T, Reply> {
    let refuse =
        |error: serde_json::Error| Reply::refuse(StatusCode::BAD_REQUEST, &error.to_string());
    serde_json::from_slice(&request.body).map_err(refuse)
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

/// Returns the origin of a command. An operator authenticated by a token replaces the one named in the command.
fn authenticated_origin(origin: Origin, operator: Option<id::Operator>) -> Option<Origin> {
    let operator = operator.unwrap_or(origin.operator);
    Some(Origin { operator, ..origin })
}

async fn plan(shared: &Arc<Shared>, operator: Option<id::Operator>, plan: Plan) -> Answer {
    let base = plan.base.unwrap_or_else(|| shared.core().state.revision);
    let action =
        Action::Plan { plan: plan.plan, base, intent: plan.intent, made_ms: unix_time_ms() };
    shared.submit(Command { origin: authenticated_origin(plan.origin, operator), action }).await
}

async fn confirm(shared: &Arc<Shared>, operator: Option<id::Operator>, confirm: Confirm) -> Answer {
    let action = Action::Confirm { plan: confirm.plan, now_ms: unix_time_ms() };
    shared.submit(Command { origin: authenticated_origin(confirm.origin, operator), action }).await
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
        accounts: core.fleet.require_account.then_some(core.fleet.account.len()),
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

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
