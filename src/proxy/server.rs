//! A proxy process: its sockets, and what its tasks share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use hyper::{Method, StatusCode};
use smol::channel::{Receiver, Sender, bounded};
use smol::net::{TcpListener, UdpSocket};

use super::fence::{Fence, Verdict};
use super::pool::Pool;
use super::route::Candidate;
use super::{Error, caller, heartbeat, watch};
use crate::admin::{self, Reply, Request};
use crate::clock::{Clock, Instant};
use crate::config::{self, Fleet};
use crate::id;
use crate::report::{Failure, Metrics};
use crate::upstream::announcement::{self, Announcement};
use crate::upstream::position::Status;
use crate::wire::{Body, Epoch, Frame, Grant, Heartbeat, Replica, Role, Sighting, Trouble};

/// A running proxy.
#[derive(Debug, Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

impl Server {
    /// Returns the revision of the configuration in force.
    pub fn revision(&self) -> id::Revision {
        self.shared.lock().revision
    }
}

/// What the tasks of a proxy share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) metrics: Metrics,
    pub(super) node: id::Node,
    pub(super) domain: id::Domain,
    pub(super) user: String,
    pub(super) application: String,
    pub(super) voters: Vec<config::Voter>,
    pub(super) nudged: Receiver<()>,
    nudge: Sender<()>,
    incarnation: id::Incarnation,
    settings: config::Proxy,
    state: Mutex<State>,
}

/// What changes, under one lock that is never held over an `await`.
#[derive(Debug, Default)]
struct State {
    fence: Fence,
    fleet: Arc<Fleet>,
    revision: id::Revision,
    fetching: bool,
    instances: BTreeMap<id::Instance, Instance>,
}

#[derive(Debug)]
struct Instance {
    replica: Replica,
    /// When it last announced itself to this proxy; it may be known from control's table alone.
    announced: Option<Instant>,
    status: Option<(Instant, Status)>,
    trouble: Trouble,
    good: Instant,
    pool: Arc<Pool>,
}

/// Binds the sockets of a proxy and starts it.
///
/// # Errors
///
/// Fails when the settings don't make a proxy, or a socket can't be bound.
pub async fn spawn(clock: Clock, settings: &config::Node) -> Result<Server, Error> {
    let proxy = settings.proxy.as_ref().ok_or(Error::NotProxy)?;
    let listener = TcpListener::bind(proxy.listen).await?;
    let admin = TcpListener::bind(proxy.admin).await?;
    let udp = UdpSocket::bind(proxy.address).await?;
    let (nudge, nudged) = bounded(1);
    let shared = Arc::new(Shared {
        node: settings.node.clone(),
        domain: settings.domain.clone(),
        user: proxy.user.clone(),
        application: format!("cactushatch/{}/{}", settings.node, settings.domain),
        voters: settings.voters.clone(),
        nudged,
        nudge,
        incarnation: id::Incarnation(clock.now().0),
        settings: proxy.clone(),
        state: Mutex::new(State::default()),
        metrics: Metrics::default(),
        clock,
    });
    heartbeat::spawn(&shared, udp);
    smol::spawn(caller::accept(Arc::clone(&shared), listener)).detach();
    smol::spawn(serve_admin(Arc::clone(&shared), admin)).detach();
    Ok(Server { shared })
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("nothing panics while it holds the lock")
    }

    pub(super) fn frame(&self, body: Body) -> Frame {
        Frame { sender: self.node.clone(), incarnation: self.incarnation, body }
    }

    /// Has a heartbeat sent at once.
    pub(super) fn nudge(&self) {
        let _ = self.nudge.try_send(());
    }

    pub(super) fn heartbeat(&self, sequence: id::Sequence) -> Heartbeat {
        let now = self.clock.now();
        let state = self.lock();
        let (seen, table, _) = state.fence.seen();
        let sighting = |instance: &Instance| Sighting {
            replica: instance.replica.clone(),
            trouble: instance.trouble,
            silent_ms: now.since(instance.good).as_millis() as u32,
            announced_ms: instance.announced.map(|at| now.since(at).as_millis() as u32),
        };
        Heartbeat {
            sequence,
            domain: self.domain.clone(),
            address: self.settings.address,
            admin: self.settings.admin,
            seen,
            table,
            revision: state.revision,
            sightings: state.instances.values().map(sighting).collect(),
            demand: Vec::new(),
            draining: false,
        }
    }

    /// Takes a grant; returns whether what is in force changed.
    pub(super) fn granted(self: &Arc<Self>, sent: Option<Instant>, grant: Grant) -> bool {
        let (changed, replicas, shares) = {
            let mut state = self.lock();
            self.metrics.stamp(grant.stamp);
            let changed = state.fence.step(sent, grant);
            let table = state.fence.table();
            (changed, table.replicas.clone(), table.shares.clone())
        };
        for replica in replicas {
            self.learn(replica, None);
        }
        if changed {
            self.share(&shares);
        }
        changed
    }

    fn share(&self, shares: &[(id::Group, u32)]) {
        let state = self.lock();
        for instance in state.instances.values() {
            let share = shares.iter().find(|(group, _)| *group == instance.replica.group);
            if let Some((_, share)) = share {
                instance.pool.limit(*share);
            }
        }
    }

    pub(super) fn wants_configuration(&self) -> bool {
        let mut state = self.lock();
        let (_, _, newest) = state.fence.seen();
        let wants = newest > state.revision && !state.fetching;
        state.fetching |= wants;
        wants
    }

    pub(super) fn fetched(&self) {
        self.lock().fetching = false;
    }

    pub(super) fn configure(&self, revision: id::Revision, fleet: Fleet) {
        let mut state = self.lock();
        if revision > state.revision {
            log::info!("configuration revision {revision} is in force");
            self.metrics.revision(revision);
            state.revision = revision;
            state.fleet = Arc::new(fleet);
        }
        drop(state);
        self.nudge();
    }

    /// Learns of an instance, by its own announcement or from control, and starts to watch a new one.
    fn learn(self: &Arc<Self>, replica: Replica, announced: Option<Instant>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let known = state.instances.get_mut(&replica.instance);
        if let Some(known) = known
            && known.replica.address == replica.address
        {
            known.announced = announced.or(known.announced);
            return;
        }
        let share = state.fence.table().shares.iter().find(|(group, _)| *group == replica.group);
        let limit = share.map_or(1, |(_, share)| *share);
        let pool = Pool::new(
            self.clock.clone(),
            replica.clone(),
            self.user.clone(),
            self.application.clone(),
            limit,
        );
        let instance = Instance {
            replica: replica.clone(),
            announced,
            status: None,
            trouble: Trouble::Silent,
            good: now,
            pool: Arc::new(pool),
        };
        state.instances.insert(replica.instance.clone(), instance);
        drop(state);
        smol::spawn(watch::watch(Arc::clone(self), replica)).detach();
    }

    pub(super) fn is_announced(&self, replica: &Replica) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let listed = state.fence.table().replicas.contains(replica);
        state.instances.get(&replica.instance).is_some_and(|known| {
            let recent = |at| now.since(at) < announcement::EXPIRY;
            known.pool.address() == replica.address
                && (listed || known.announced.is_some_and(recent))
        })
    }

    pub(super) fn forget(&self, replica: &Replica) {
        let mut state = self.lock();
        let same = |known: &Instance| known.replica.address == replica.address;
        if state.instances.get(&replica.instance).is_some_and(same) {
            state.instances.remove(&replica.instance);
        }
    }

    /// Notes what a look at an instance gave; control hears of a change of trouble at once.
    pub(super) fn saw(
        &self,
        instance: &id::Instance,
        sent: Instant,
        seen: Result<(Instant, Status), Trouble>,
    ) {
        let trouble = seen.as_ref().err().copied().unwrap_or(Trouble::Fine);
        let mut state = self.lock();
        let Some(known) = state.instances.get_mut(instance) else {
            return;
        };
        if let Ok((at, status)) = seen {
            known.status = Some((at, status));
            known.good = sent;
        }
        let changed = known.trouble != trouble;
        known.trouble = trouble;
        drop(state);
        if changed {
            log::info!("{instance} is {trouble:?}");
            match trouble {
                Trouble::Fine => {}
                Trouble::Refused => self.metrics.upstream_failed(Failure::Refused),
                Trouble::Silent => self.metrics.upstream_failed(Failure::Silent),
            }
            self.nudge();
        }
    }

    /// Returns the declarations in force.
    pub(super) fn fleet(&self) -> Arc<Fleet> {
        Arc::clone(&self.lock().fleet)
    }

    /// Returns the group's epoch.
    pub(super) fn epoch(&self, group: &id::Group) -> Option<Epoch> {
        self.lock().fence.epoch(group).cloned()
    }

    /// Judges whether an answer may be released now.
    pub(super) fn verdict(&self, group: &id::Group, term: id::Term) -> Verdict {
        self.lock().fence.verdict(self.clock.now(), group, term)
    }

    /// Returns the instances of a group as routing sees them.
    pub(super) fn candidates(&self, group: &id::Group) -> Vec<Candidate> {
        let state = self.lock();
        let draining = &state.fence.table().draining;
        let instances = state.instances.values().filter(|known| known.replica.group == *group);
        let candidate = |known: &Instance| Candidate {
            replica: known.replica.clone(),
            status: known.status,
            trouble: known.trouble,
            draining: draining.contains(&known.replica.instance),
            busy: known.pool.busy(),
        };
        instances.map(candidate).collect()
    }

    /// Sets the gauges of open and busy connections.
    fn count_connections(&self) {
        let state = self.lock();
        let mut counts = [(Role::Primary, 0, 0), (Role::Replica, 0, 0)];
        for known in state.instances.values() {
            let epoch = state.fence.epoch(&known.replica.group);
            let primary = epoch.is_some_and(|epoch| epoch.primary == known.replica.instance);
            let (_, open, busy) = &mut counts[usize::from(!primary)];
            *open += known.pool.open();
            *busy += known.pool.busy();
        }
        for (role, open, busy) in counts {
            self.metrics.connections(role, open, busy);
        }
    }

    /// Returns the pool of an instance.
    pub(super) fn pool(&self, instance: &id::Instance) -> Option<Arc<Pool>> {
        self.lock().instances.get(instance).map(|known| Arc::clone(&known.pool))
    }
}

async fn serve_admin(shared: Arc<Shared>, listener: TcpListener) {
    let handle = move |request| {
        let shared = Arc::clone(&shared);
        async move { answer(&shared, &request) }
    };
    if let Err(error) = admin::serve(listener, handle).await {
        log::error!("operators can't be served any more: {error}");
    }
}

fn answer(shared: &Arc<Shared>, request: &Request) -> Reply {
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/announce") => match serde_json::from_slice(&request.body) {
            Ok(Announcement { replica, .. }) => {
                shared.learn(replica, Some(shared.clock.now()));
                Reply::json(&())
            }
            Err(error) => Reply::refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (&Method::GET, "/metrics") => {
            shared.count_connections();
            Reply::metrics(shared.metrics.encode())
        }
        (&Method::GET, "/revision") => Reply::json(&shared.lock().revision),
        _ => Reply::refuse(StatusCode::NOT_FOUND, "there is nothing here"),
    }
}
