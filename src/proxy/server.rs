//! A proxy process: its sockets, and what its tasks share.

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
use super::{Error, caller, heartbeat, peak, sweep, watch};
use crate::clock::{Clock, Instant};
use crate::config::{self, Fleet};
use crate::id;
use crate::report::burn::{History, Minute};
use crate::report::event::{Event, millis};
use crate::report::{Failure, Metrics};
use crate::security::Guard;
use crate::upstream::announcement;
use crate::upstream::status::Status;
use crate::wire::{Body, Epoch, Frame, Grant, Health, Heartbeat, Replica, Role};

/// How long the last outcomes of a shutdown may take to be read.
const GRACE: Duration = Duration::from_secs(1);

/// A running proxy.
#[derive(Debug, Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

impl Server {
    /// Ends serving: new sessions are refused, idle ones are told to go elsewhere, and what was begun may end,
    /// for at most `limit`; what is left then gets its true outcome. Returns once all callers are gone.
    pub async fn drain(&self, limit: Duration) {
        self.shared.shut_down(limit, GRACE).await;
    }

    /// Returns the handle to a running proxy.
    pub(super) fn of(shared: &Arc<Shared>) -> Self {
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

/// What the tasks of a proxy share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) metrics: Metrics,
    pub(super) guard: Guard,
    pub(super) history: History,
    pub(super) node: id::Node,
    pub(super) domain: id::Domain,
    pub(super) user: String,
    pub(super) application: String,
    pub(super) voters: Vec<config::Voter>,
    pub(super) nudged: Receiver<()>,
    nudge: Sender<()>,
    pub(super) kinds: KindCache,
    pub(super) budget: Budget,
    pub(super) cancels: Arc<Registry>,
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
/// Fails when the settings don't make a proxy, or a socket can't be bound.
pub async fn spawn(clock: Clock, settings: &config::Settings) -> Result<Server, Error> {
    let proxy = settings.proxy.as_ref().ok_or(Error::NotProxy)?;
    let guard = Guard::open(&settings.security)?;
    let history = History::open(settings.data.as_deref(), settings.history, Minute::now())?;
    let listener = TcpListener::bind(proxy.listen).await?;
    let admin = TcpListener::bind(proxy.admin).await?;
    let udp = UdpSocket::bind(proxy.address).await?;
    let (nudge, nudged) = bounded(1);
    let incarnation = heartbeat::new_incarnation();
    let shared = Arc::new(Shared {
        node: settings.node.clone(),
        domain: settings.domain.clone(),
        user: proxy.user.clone(),
        application: format!("cactushatch/{}/{}", settings.node, settings.domain),
        voters: settings.voters.clone(),
        nudged,
        nudge,
        incarnation,
        settings: proxy.clone(),
        state: Mutex::new(State { fence: Fence::new(incarnation), ..State::default() }),
        metrics: Metrics::default(),
        guard,
        history,
        kinds: KindCache::default(),
        budget: Budget::default(),
        cancels: Arc::new(Registry::new(&settings.node)),
        sessions: Directory::default(),
        traffic: Traffic::default(),
        clock,
    });
    smol::spawn(shared.guard.clone().watch(shared.clock.clone())).detach();
    heartbeat::spawn(&shared, udp);
    smol::spawn(caller::accept(Arc::clone(&shared), listener)).detach();
    smol::spawn(sweep::run(Arc::clone(&shared))).detach();
    smol::spawn(peak::run(Arc::clone(&shared))).detach();
    smol::spawn(super::admin::serve(Arc::clone(&shared), admin)).detach();
    Ok(Server { shared })
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("nothing panics while it holds the lock")
    }

    /// Has a heartbeat sent at once.
    pub(super) fn nudge(&self) {
        let _ = self.nudge.try_send(());
    }

    fn share(&self, shares: &[(id::Group, u32)]) {
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

    /// Learns of an instance, by its own announcement or from control, and starts to watch a new one.
    pub(super) fn learn(self: &Arc<Self>, replica: Replica, announced: Option<Instant>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let known = state.instances.get_mut(&replica.instance);
        if let Some(known) = known
            && known.replica.address == replica.address
        {
            known.announced = announced.or(known.announced);
            if announced.is_none() {
                known.listed = Some(now);
            }
            return;
        }
        let share = state.fence.table().shares.iter().find(|(group, _)| *group == replica.group);
        let limit = share.map_or(1, |(_, share)| *share);
        let slots = state.slots(&replica.group);
        let pool = Pool::new(
            self.clock.clone(),
            replica.clone(),
            self.user.clone(),
            self.application.clone(),
        )
        .with_security(self.guard.upstream.clone());
        pool.set_limits(slots, limit);
        let instance = Instance {
            replica: replica.clone(),
            announced,
            status: None,
            status_connection: StatusConnection::default(),
            trouble: Health::Silent,
            last_answered: now,
            listed: announced.is_none().then_some(now),
            last_reported: None,
            pool: Arc::new(pool),
        };
        state.instances.insert(replica.instance.clone(), instance);
        drop(state);
        smol::spawn(watch::watch(Arc::clone(self), replica)).detach();
    }

    pub(super) fn is_announced(&self, replica: &Replica) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        state.instances.get(&replica.instance).is_some_and(|known| {
            let recent = |at| now.since(at) < announcement::TTL;
            known.pool.address() == replica.address
                && (known.listed.is_some_and(recent) || known.announced.is_some_and(recent))
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
        seen: Result<(Instant, Status), Health>,
    ) {
        let trouble = seen.as_ref().err().copied().unwrap_or(Health::Fine);
        let mut state = self.lock();
        let Some(known) = state.instances.get_mut(instance) else {
            return;
        };
        if let Ok((at, status)) = seen {
            known.status = Some((at, status));
            known.last_answered = sent;
        }
        let changed = known.trouble != trouble;
        known.trouble = trouble;
        let silent_ms = millis(self.clock.now().since(known.last_answered));
        let group = known.replica.group.clone();
        drop(state);
        if let Ok((at, status)) = seen {
            self.record_primary_status(&group, instance, at, status);
        }
        self.traffic.notify(&group);
        if changed {
            let level = if trouble == Health::Fine { Level::Info } else { Level::Warn };
            Event::Instance { instance, group: &group, trouble, silent_ms, reason: None }
                .log(level);
            match trouble {
                Health::Fine => {}
                Health::Refused => self.metrics.upstream_failed(Failure::Refused),
                Health::Silent => self.metrics.upstream_failed(Failure::Silent),
                Health::Faulty => self.metrics.upstream_failed(Failure::Faulty),
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
    pub(super) fn count_connections(&self) {
        let state = self.lock();
        let mut counts = [(Role::Primary, 0, 0), (Role::Replica, 0, 0)];
        for known in state.instances.values() {
            let epoch = state.fence.epoch(&known.replica.group);
            let primary = epoch.is_some_and(|epoch| epoch.primary == known.replica.instance);
            let (_, open, busy) = &mut counts[usize::from(!primary)];
            *open += known.pool.open_count();
            *busy += known.pool.busy();
        }
        for (role, open, busy) in counts {
            self.metrics.connections(role, open, busy);
        }
    }

    /// Notes that a new status connection to an instance is open.
    pub(super) fn begin_life(&self, instance: &id::Instance) {
        let now = self.clock.now();
        if let Some(known) = self.lock().instances.get_mut(instance) {
            known.status_connection.opened_at = now;
        }
    }

    /// Returns the last status of an instance and when it was asked for.
    pub(super) fn status(&self, instance: &id::Instance) -> Option<(Instant, Status)> {
        self.lock().instances.get(instance).and_then(|known| known.status)
    }

    /// Returns the last status of an instance and since when its connection has been open.
    pub(super) fn life(&self, instance: &id::Instance) -> Option<(Instant, Status)> {
        let state = self.lock();
        let known = state.instances.get(instance)?;
        known.status.map(|(_, status)| (known.status_connection.opened_at, status))
    }

    /// Has all instances of a group asked where they stand.
    pub(super) fn ask(&self, group: &id::Group) {
        let state = self.lock();
        for known in state.instances.values().filter(|known| known.replica.group == *group) {
            known.status_connection.request_query();
        }
    }

    /// Has an instance asked where it stands.
    pub(super) fn ask_one(&self, instance: &id::Instance) {
        if let Some(known) = self.lock().instances.get(instance) {
            known.status_connection.request_query();
        }
    }

    /// Returns what tells that an instance is to be asked.
    pub(super) fn asked(&self, instance: &id::Instance) -> Option<Receiver<()>> {
        self.lock().instances.get(instance).map(|known| known.status_connection.query_requests())
    }

    /// Returns all pools with their groups.
    pub(super) fn pools(&self) -> Vec<(Arc<Pool>, id::Group)> {
        let state = self.lock();
        let instances = state.instances.values();
        instances.map(|known| (Arc::clone(&known.pool), known.replica.group.clone())).collect()
    }

    /// Returns the confirmed peaks of a group: when each begins and how long it lasts, in seconds.
    pub(super) fn peaks(&self, group: &id::Group) -> Vec<(u64, u64)> {
        let state = self.lock();
        let peaks = state.fence.table().peaks.iter().filter(|peak| peak.group == *group);
        peaks.map(|peak| (peak.at_ms / 1_000, peak.lasts_ms / 1_000)).collect()
    }

    /// Returns the pool of an instance.
    pub(super) fn pool(&self, instance: &id::Instance) -> Option<Arc<Pool>> {
        self.lock().instances.get(instance).map(|known| Arc::clone(&known.pool))
    }
}

impl heartbeat::Member for Shared {
    fn clock(&self) -> &Clock {
        &self.clock
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn guard(&self) -> &Guard {
        &self.guard
    }

    fn voters(&self) -> Vec<SocketAddr> {
        self.voters.iter().map(|voter| voter.address).collect()
    }

    fn met(&self, _voters: Vec<SocketAddr>) {
        // The settings name every voter.
    }

    fn nudged(&self) -> &Receiver<()> {
        &self.nudged
    }

    fn nudge(&self) {
        Self::nudge(self);
    }

    fn frame(&self, body: Body) -> Frame {
        Frame { sender: self.node.clone(), incarnation: self.incarnation, body }
    }

    fn is_leased(&self) -> bool {
        self.lock().fence.leased(self.clock.now())
    }

    fn heartbeat(&self) -> Heartbeat {
        let now = self.clock.now();
        let mut state = self.lock();
        state.limit_expired_pools(now);
        let sequence = state.fence.send(now);
        let (seen, table, _) = state.fence.seen();
        Heartbeat {
            sequence,
            domain: self.domain.clone(),
            address: self.settings.address,
            admin: self.settings.admin,
            seen,
            table,
            revision: state.revision,
            sightings: state.sightings(now, sequence),
            demand: state.demand(),
            draining: self.is_draining(),
        }
    }

    fn granted(self: &Arc<Self>, grant: Grant) -> bool {
        let (changed, replicas, shares) = {
            let now = self.clock.now();
            let mut state = self.lock();
            self.metrics.stamp(grant.stamp);
            let mut changed =
                state.apply_grant(now, grant, |primary, gap| self.keep_gap(primary, gap));
            if state.lease_expired && state.fence.leased(now) {
                state.lease_expired = false;
                changed = true;
            }
            let table = state.fence.table();
            (changed, table.replicas.clone(), table.shares.clone())
        };
        for replica in replicas {
            self.learn(replica, None);
        }
        if changed {
            self.share(&shares);
            self.traffic.notify_all();
        }
        changed
    }

    fn revisions(&self) -> (id::Revision, id::Revision) {
        let state = self.lock();
        let (_, _, newest) = state.fence.seen();
        (state.revision, newest)
    }

    fn configure(&self, revision: id::Revision, fleet: Fleet) {
        let mut state = self.lock();
        if revision > state.revision {
            let databases = fleet.database.len();
            Event::Configuration { revision, databases }.log(Level::Info);
            self.metrics.revision(revision);
            state.revision = revision;
            state.fleet = Arc::new(fleet);
        }
        let shares = state.fence.table().shares.clone();
        drop(state);
        self.share(&shares);
        self.traffic.notify_all();
        self.nudge();
    }
}
