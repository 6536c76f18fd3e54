//! A proxy process: its sockets, and the state shared by its tasks.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use log::Level;
use smol::channel::{Receiver, Sender, bounded};
use smol::net::{TcpListener, UdpSocket};

use super::cancel::Registry;
use super::classify::KindCache;
use super::fence::{Fence, Verdict};
use super::pool::Pool;
use super::retry::Budget;
use super::route::Candidate;
use super::session::Directory;
use super::state::{Instance, State};
use super::traffic::{StatusConnection, Traffic};
use super::{Error, caller, heartbeat, monitor, peak, sweep};
use crate::clock::{Clock, Instant};
use crate::config::{self, Fleet};
use crate::id;
use crate::report::burn::{History, Minute};
use crate::report::event::{Event, millis};
use crate::report::{Failure, Metrics};
use crate::security::Credentials;
use crate::upstream::announcement;
use crate::upstream::status::Status;
use crate::wire::{Body, Epoch, Frame, Grant, Health, Heartbeat, Replica, Role};

/// How long callers have to read the last outcomes after the time limit of a shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);

/// A running proxy.
#[derive(Debug, Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

impl Server {
    /// Shuts down gracefully. New sessions are refused and idle ones are closed with an error that tells the caller to
    /// reconnect. Requests and transactions in progress may complete within `limit`; the rest is then answered with its
    /// actual outcome. Returns once all callers have disconnected or a short grace period has passed.
    pub async fn drain(&self, limit: Duration) {
        self.shared.shut_down(limit, SHUTDOWN_GRACE).await;
    }

    /// Creates a handle to a running proxy.
    pub(super) fn new(shared: &Arc<Shared>) -> Self {
        Self { shared: Arc::clone(shared) }
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Returns the revision of the configuration in force.
    pub fn revision(&self) -> id::Revision {
        self.shared.lock().revision
    }
}

/// The state shared by the tasks of a proxy.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) metrics: Metrics,
    pub(super) credentials: Credentials,
    pub(super) burn_history: History,
    pub(super) node: id::Node,
    pub(super) domain: id::Domain,
    pub(super) user: String,
    pub(super) application: String,
    pub(super) voters: Vec<config::Voter>,
    pub(super) heartbeat_requests: Receiver<()>,
    heartbeat_trigger: Sender<()>,
    pub(super) kinds: KindCache,
    pub(super) budget: Budget,
    pub(super) cancel_registry: Arc<Registry>,
    pub(super) sessions: Directory,
    pub(super) traffic: Traffic,
    incarnation: id::Incarnation,
    settings: config::Proxy,
    state: Mutex<State>,
}

/// Binds the sockets of a proxy and starts it.
///
/// # Errors
///
/// Fails if the settings have no `[proxy]` table, a file of the settings can't be used, or a socket can't be bound.
pub async fn spawn(clock: Clock, settings: &config::Settings) -> Result<Server, Error> {
    let proxy = settings.proxy.as_ref().ok_or(Error::NotProxy)?;
    let credentials = Credentials::open(&settings.security)?;
    let burn_history = History::open(settings.data.as_deref(), settings.history, Minute::now())?;
    let listener = TcpListener::bind(proxy.listen).await?;
    let admin = TcpListener::bind(proxy.admin).await?;
    let udp = UdpSocket::bind(proxy.address).await?;
    let (heartbeat_trigger, heartbeat_requests) = bounded(1);
    let incarnation = heartbeat::new_incarnation();
    let shared = Arc::new(Shared {
        node: settings.node.clone(),
        domain: settings.domain.clone(),
        user: proxy.user.clone(),
        application: format!("cactushatch/{}/{}", settings.node, settings.domain),
        voters: settings.voters.clone(),
        heartbeat_requests,
        heartbeat_trigger,
        incarnation,
        settings: proxy.clone(),
        state: Mutex::new(State { fence: Fence::new(incarnation), ..State::default() }),
        metrics: Metrics::default(),
        credentials,
        burn_history,
        kinds: KindCache::default(),
        budget: Budget::default(),
        cancel_registry: Arc::new(Registry::new(&settings.node)),
        sessions: Directory::default(),
        traffic: Traffic::default(),
        clock,
    });
    smol::spawn(shared.credentials.clone().watch(shared.clock.clone())).detach();
    heartbeat::spawn(&shared, udp);
    smol::spawn(caller::accept(Arc::clone(&shared), listener)).detach();
    smol::spawn(sweep::run(Arc::clone(&shared))).detach();
    smol::spawn(peak::run(Arc::clone(&shared))).detach();
    smol::spawn(super::admin::serve(Arc::clone(&shared), admin)).detach();
    Ok(Server { shared })
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding this lock")
    }

    /// Requests an immediate heartbeat.
    pub(super) fn request_heartbeat(&self) {
        let _ = self.heartbeat_trigger.try_send(());
    }

    /// Limits the pools of each group to its share of connections, unless the lease has expired.
    fn apply_shares(&self, shares: &[(id::Group, u32)]) {
        let state = self.lock();
        if state.lease_expired {
            return;
        }
        for instance in state.instances.values() {
            let share = shares.iter().find(|(group, _)| *group == instance.replica.group);
            if let Some((_, share)) = share {
                let slots = state.slots(&instance.replica.group);
                instance.pool.set_limits(slots, *share);
            }
        }
    }

    /// Records that an instance announced itself at the given time, or that the routing table lists it if `announced`
    /// is `None`. Starts to monitor an instance that is new or has a new address.
    pub(super) fn add_instance(self: &Arc<Self>, replica: Replica, announced: Option<Instant>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let entry = state.instances.get_mut(&replica.instance);
        if let Some(entry) = entry
            && entry.replica.address == replica.address
        {
            entry.announced = announced.or(entry.announced);
            if announced.is_none() {
                entry.listed = Some(now);
            }
            return;
        }
        let route = state.fence.table().route(&replica.group);
        let limit = route.map_or(1, |route| route.share);
        let slots = state.slots(&replica.group);
        let pool = Pool::new(
            self.clock.clone(),
            replica.clone(),
            self.user.clone(),
            self.application.clone(),
        )
        .with_security(self.credentials.upstream.clone())
        .count_in(self.metrics.upstream());
        pool.set_limits(slots, limit);
        let instance = Instance {
            replica: replica.clone(),
            announced,
            status: None,
            status_connection: StatusConnection::default(),
            health: Health::Silent,
            last_answered: now,
            listed: announced.is_none().then_some(now),
            last_reported: None,
            pool: Arc::new(pool),
        };
        state.instances.insert(replica.instance.clone(), instance);
        drop(state);
        smol::spawn(monitor::run(Arc::clone(self), replica)).detach();
    }

    /// Returns whether the instance was recently announced or listed under this address.
    pub(super) fn is_announced(&self, replica: &Replica) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        state.instances.get(&replica.instance).is_some_and(|entry| {
            let recent = |at| now.since(at) < announcement::TTL;
            entry.pool.address() == replica.address
                && (entry.listed.is_some_and(recent) || entry.announced.is_some_and(recent))
        })
    }

    /// Removes an instance, unless it is registered under another address by now.
    pub(super) fn remove_instance(&self, replica: &Replica) {
        let mut state = self.lock();
        let same_address = |entry: &Instance| entry.replica.address == replica.address;
        if state.instances.get(&replica.instance).is_some_and(same_address) {
            state.instances.remove(&replica.instance);
        }
    }

    /// Records the result of a status query to an instance. A change of its health is reported to the control plane at
    /// once.
    pub(super) fn record_probe(
        &self,
        instance: &id::Instance,
        sent: Instant,
        result: Result<(Instant, Status), Health>,
    ) {
        let health = result.as_ref().err().copied().unwrap_or(Health::Fine);
        let mut state = self.lock();
        let Some(entry) = state.instances.get_mut(instance) else {
            return;
        };
        if let Ok((at, status)) = result {
            entry.status = Some((at, status));
            entry.last_answered = sent;
        }
        let changed = entry.health != health;
        entry.health = health;
        let silent_ms = millis(self.clock.now().since(entry.last_answered));
        let group = entry.replica.group.clone();
        drop(state);
        if let Ok((at, status)) = result {
            self.record_primary_status(&group, instance, at, status);
        }
        self.traffic.notify(&group);
        if changed {
            let level = if health == Health::Fine { Level::Info } else { Level::Warn };
            Event::Instance { instance, group: &group, trouble: health, silent_ms, reason: None }
                .log(level);
            match health {
                Health::Fine => {}
                Health::Refused => self.metrics.record_upstream_failure(Failure::Refused),
                Health::Silent => self.metrics.record_upstream_failure(Failure::Silent),
                Health::Faulty => self.metrics.record_upstream_failure(Failure::Faulty),
            }
            self.request_heartbeat();
        }
    }

    /// Returns the declarations in force.
    pub(super) fn fleet(&self) -> Arc<Fleet> {
        Arc::clone(&self.lock().fleet)
    }

    /// Returns the epoch of the group.
    pub(super) fn epoch(&self, group: &id::Group) -> Option<Epoch> {
        self.lock().fence.epoch(group).cloned()
    }

    /// Decides whether an answer may be released now.
    pub(super) fn verdict(&self, group: &id::Group, term: id::Term) -> Verdict {
        self.lock().fence.verdict(self.clock.now(), group, term)
    }

    /// Returns the candidates for routing in a group.
    pub(super) fn candidates(&self, group: &id::Group) -> Vec<Candidate> {
        let state = self.lock();
        let table = state.fence.table();
        let instances = state.instances.values().filter(|entry| entry.replica.group == *group);
        let candidate = |entry: &Instance| Candidate {
            replica: entry.replica.clone(),
            status: entry.status,
            health: entry.health,
            draining: table.is_draining(&entry.replica),
            busy: entry.pool.busy(),
        };
        instances.map(candidate).collect()
    }

    /// Updates the gauges of open and busy connections.
    pub(super) fn update_connection_gauges(&self) {
        let state = self.lock();
        let mut counts = [(Role::Primary, 0, 0), (Role::Replica, 0, 0)];
        for entry in state.instances.values() {
            let epoch = state.fence.epoch(&entry.replica.group);
            let primary = epoch.is_some_and(|epoch| epoch.primary == entry.replica.instance);
            let (_, open, busy) = &mut counts[usize::from(!primary)];
            *open += entry.pool.open_count();
            *busy += entry.pool.busy();
        }
        for (role, open, busy) in counts {
            self.metrics.set_connections(role, open, busy);
        }
    }

    /// Records that a new status connection to an instance was opened now.
    pub(super) fn record_reconnection(&self, instance: &id::Instance) {
        let now = self.clock.now();
        if let Some(entry) = self.lock().instances.get_mut(instance) {
            entry.status_connection.opened_at = now;
        }
    }

    /// Returns the last status of an instance and when it was requested.
    pub(super) fn status(&self, instance: &id::Instance) -> Option<(Instant, Status)> {
        self.lock().instances.get(instance).and_then(|entry| entry.status)
    }

    /// Returns the last status of an instance and when its status connection was opened.
    pub(super) fn status_and_connection_time(
        &self,
        instance: &id::Instance,
    ) -> Option<(Instant, Status)> {
        let state = self.lock();
        let entry = state.instances.get(instance)?;
        entry.status.map(|(_, status)| (entry.status_connection.opened_at, status))
    }

    /// Requests an immediate status query to every instance of a group.
    pub(super) fn request_group_status(&self, group: &id::Group) {
        let state = self.lock();
        for entry in state.instances.values().filter(|entry| entry.replica.group == *group) {
            entry.status_connection.request_query();
        }
    }

    /// Requests an immediate status query to an instance.
    pub(super) fn request_status(&self, instance: &id::Instance) {
        if let Some(entry) = self.lock().instances.get(instance) {
            entry.status_connection.request_query();
        }
    }

    /// Returns the channel that receives a message when a status query to an instance is requested.
    pub(super) fn status_requests(&self, instance: &id::Instance) -> Option<Receiver<()>> {
        self.lock().instances.get(instance).map(|entry| entry.status_connection.query_requests())
    }

    /// Returns the pools of all instances, with their groups.
    pub(super) fn pools(&self) -> Vec<(Arc<Pool>, id::Group)> {
        let state = self.lock();
        let instances = state.instances.values();
        instances.map(|entry| (Arc::clone(&entry.pool), entry.replica.group.clone())).collect()
    }

    /// Returns the confirmed peaks of a group: the start, in seconds since 1970, and the duration, in seconds.
    pub(super) fn peaks(&self, group: &id::Group) -> Vec<(u64, u64)> {
        let state = self.lock();
        let peaks = state.fence.table().peaks(group).iter();
        peaks.map(|peak| (peak.at_ms / 1_000, peak.lasts_ms / 1_000)).collect()
    }

    /// Returns the pool of an instance.
    pub(super) fn pool(&self, instance: &id::Instance) -> Option<Arc<Pool>> {
        self.lock().instances.get(instance).map(|entry| Arc::clone(&entry.pool))
    }
}

impl heartbeat::Member for Shared {
    fn clock(&self) -> &Clock {
        &self.clock
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn credentials(&self) -> &Credentials {
        &self.credentials
    }

    fn voters(&self) -> Vec<SocketAddr> {
        self.voters.iter().map(|voter| voter.address).collect()
    }

    fn set_voters(&self, _voters: Vec<SocketAddr>) {
        // The settings list every voter, so addresses learned from the control plane are not needed.
    }

    fn heartbeat_requests(&self) -> &Receiver<()> {
        &self.heartbeat_requests
    }

    fn request_heartbeat(&self) {
        Self::request_heartbeat(self);
    }

    fn frame(&self, body: Body) -> Frame {
        Frame { sender: self.node.clone(), incarnation: self.incarnation, body }
    }

    fn is_leased(&self) -> bool {
        self.lock().fence.is_leased(self.clock.now())
    }

    fn heartbeat(&self) -> Heartbeat {
        let now = self.clock.now();
        let mut state = self.lock();
        state.limit_expired_pools(now);
        let sequence = state.fence.record_heartbeat(now);
        let (seen, table, _) = state.fence.newest();
        Heartbeat {
            sequence,
            domain: self.domain.clone(),
            address: self.settings.address,
            admin: self.settings.admin,
            seen,
            table,
            revision: state.revision,
            sightings: state.observations(now, sequence),
            demand: state.demand(),
            draining: self.is_draining(),
            forwards: false,
            quota: Vec::new(),
            positions: Vec::new(),
        }
    }

    fn apply_grant(self: &Arc<Self>, grant: Grant) -> bool {
        let (changed, replicas, shares) = {
            let now = self.clock.now();
            let mut state = self.lock();
            self.metrics.set_stamp(grant.stamp);
            let mut changed =
                state.apply_grant(now, grant, |primary, gap| self.record_gap(primary, gap));
            if state.lease_expired && state.fence.is_leased(now) {
                state.lease_expired = false;
                changed = true;
            }
            let replicas: Vec<Replica> = state.fence.table().replicas().cloned().collect();
            (changed, replicas, shares(&state.fence))
        };
        for replica in replicas {
            self.add_instance(replica, None);
        }
        if changed {
            self.apply_shares(&shares);
            self.traffic.notify_all();
        }
        changed
    }

    fn revisions(&self) -> (id::Revision, id::Revision) {
        let state = self.lock();
        let (_, _, newest) = state.fence.newest();
        (state.revision, newest)
    }

    fn declarations(&self) -> (id::Revision, Arc<Fleet>) {
        let state = self.lock();
        (state.revision, Arc::clone(&state.fleet))
    }

    fn configure(&self, revision: id::Revision, fleet: Fleet) {
        let mut state = self.lock();
        if revision > state.revision {
            let databases = fleet.database.len();
            let (accounts, require_account) = (fleet.account.len(), fleet.require_account);
            Event::Configuration { revision, databases, accounts, require_account }
                .log(Level::Info);
            self.metrics.set_revision(revision);
            state.revision = revision;
            state.fleet = Arc::new(fleet);
        }
        let shares = shares(&state.fence);
        drop(state);
        self.apply_shares(&shares);
        self.traffic.notify_all();
        self.request_heartbeat();
    }
}

/// Returns the shares of all groups in the table in force.
fn shares(fence: &Fence) -> Vec<(id::Group, u32)> {
    fence.table().routes().map(|route| (route.group.clone(), route.share)).collect()
}
