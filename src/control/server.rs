//! A control process: the sockets and timers around its state machines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, mpsc};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use smol::net::{TcpListener, UdpSocket};

use super::core::Core;
use super::discovery::Discovery;
use super::journal::{self, Job};
use super::leader_stream;
use super::link::Link;
use super::promotion::Protocol;
use super::raft::{Bootstrap, Input, Members, Message, Output, Peer, Raft};
use super::state::{Command, State, Voter};
use super::store::{Disk, Folder, Recovery, Store};
use super::{Error, frames, operator, promotion};
use crate::clock::{Clock, Instant};
use crate::config;
use crate::id;
use crate::report::Metrics;
use crate::security::Credentials;
use crate::wire::{Answer, Body, Frame, Replica, Role};

/// The interval at which the state machines are advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The least interval between two pushes of the table. Changes in between travel together.
const PUSH_INTERVAL: Duration = Duration::from_millis(20);

/// The interval at which a process with a blank disk contacts the others.
pub(super) const HELLO_INTERVAL: Duration = Duration::from_millis(100);

/// A running control process.
#[derive(Debug, Clone)]
pub struct Server {
    pub(super) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) metrics: Metrics,
    pub(super) credentials: Credentials,
    /// The name of this process and the incarnation of its disk. Its start may be outdated here; `core.raft` has the
    /// current one.
    me: Peer,
    pub(super) domain: id::Domain,
    pub(super) user: String,
    pub(super) protocol: Protocol,
    pub(super) address: SocketAddr,
    voters: Vec<config::Voter>,
    core: Mutex<Core>,
    /// The queue of orders to each instance.
    pub(super) order_queues: Mutex<BTreeMap<id::Instance, promotion::Queue>>,
    /// The leadership and the version of its instances for which every instance has a task.
    pub(super) watched: Mutex<Option<(id::Term, u64)>>,
    links: Mutex<BTreeMap<id::Node, Link>>,
    pub(super) leader_streams: Mutex<leader_stream::Pool>,
    /// Notified when entries of the log have been applied.
    pub(super) entries_applied: event_listener::Event,
    /// Notified of each Raft message that has been handled.
    pub(super) voter_answered: event_listener::Event,
    pub(super) jobs: mpsc::Sender<Job>,
    pub(super) udp: UdpSocket,
}

/// Binds the sockets of a control process and starts it on the data directory that the settings name.
///
/// # Errors
///
/// Fails if the settings aren't those of a control process, or a socket or the disk can't be opened.
pub async fn spawn(clock: Clock, settings: &config::Settings) -> Result<Server, Error> {
    spawn_with_protocol(clock, settings, Protocol::Pgsql).await
}

/// Starts a control process that reaches instances by the given protocol; see [`spawn`].
///
/// # Errors
///
/// Fails under the same conditions as [`spawn`].
pub async fn spawn_with_protocol(
    clock: Clock,
    settings: &config::Settings,
    protocol: Protocol,
) -> Result<Server, Error> {
    let data = settings.data.as_ref().ok_or(Error::NoData)?;
    let disk = Folder::open(data)?;
    start(clock, settings, disk, protocol).await
}

/// Starts a control process on the given disk; see [`spawn`].
///
/// # Errors
///
/// Fails under the same conditions as [`spawn`].
pub async fn spawn_with_disk(
    clock: Clock,
    settings: &config::Settings,
    disk: impl Disk,
) -> Result<Server, Error> {
    start(clock, settings, disk, Protocol::Pgsql).await
}

async fn start(
    clock: Clock,
    settings: &config::Settings,
    disk: impl Disk,
    protocol: Protocol,
) -> Result<Server, Error> {
    let control = settings.control.as_ref().ok_or(Error::NotControl)?;
    let credentials = Credentials::open(&settings.security)?;
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let new_incarnation = id::Incarnation(unix_time.as_micros() as u64);
    let (store, recovery) =
        Store::open_disk(disk, &settings.node, new_incarnation, fastrand::u32(..))?;
    let udp = UdpSocket::bind(control.address).await?;
    let tcp = TcpListener::bind(control.address).await?;
    let admin = TcpListener::bind(control.admin).await?;
    let me = recovery.peer;
    let raft = Raft::new(clock.now(), me.clone(), &recovery.saved, fastrand::u64(..));
    let bootstrap = Bootstrap::new(me.clone(), initial_voters(settings));
    let mut core = Core::new(raft, bootstrap, recovery.saved.snapshot.as_ref());
    core.quota_bound = control.quota;
    if let Some(seeds) = &settings.seeds {
        let own = Voter {
            node: me.node.clone(),
            incarnation: me.incarnation,
            address: control.address,
            domain: settings.domain.clone(),
        };
        core.peers.target_voters = Some(seeds.voter_count());
        core.discovery = Some(Discovery::new(seeds.clone(), own));
    }
    let (jobs, received) = mpsc::channel();
    let shared = Arc::new(Shared {
        clock,
        metrics: Metrics::default(),
        credentials,
        me,
        domain: settings.domain.clone(),
        user: control.user.clone(),
        protocol,
        address: control.address,
        voters: settings.voters.clone(),
        core: Mutex::new(core),
        order_queues: Mutex::default(),
        entries_applied: event_listener::Event::new(),
        voter_answered: event_listener::Event::new(),
        watched: Mutex::default(),
        links: Mutex::default(),
        leader_streams: Mutex::default(),
        jobs,
        udp,
    });
    log::info!("read {} bytes of the log and its snapshot", recovery.read_bytes);
    journal::spawn(Arc::clone(&shared), store, received)?;
    shared.bootstrap_single_voter();
    smol::spawn(shared.credentials.clone().watch(shared.clock.clone())).detach();
    smol::spawn(Arc::clone(&shared).receive_datagrams()).detach();
    smol::spawn(Arc::clone(&shared).tick()).detach();
    smol::spawn(Arc::clone(&shared).send_hellos()).detach();
    if settings.seeds.is_some() {
        smol::spawn(Arc::clone(&shared).greet_peers()).detach();
    }
    smol::spawn(frames::accept(Arc::clone(&shared), tcp)).detach();
    smol::spawn(operator::serve(Arc::clone(&shared), admin)).detach();
    Ok(Server { shared })
}

/// Returns the voters that the settings name. The incarnations of their disks are not known yet.
fn initial_voters(settings: &config::Settings) -> Vec<Voter> {
    let voter = |voter: &config::Voter| Voter {
        node: voter.node.clone(),
        incarnation: id::Incarnation(0),
        address: voter.address,
        domain: voter.domain.clone(),
    };
    settings.voters.iter().map(voter).collect()
}

impl Server {
    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Submits a command to the log and returns its outcome, whichever process is the leader.
    pub async fn submit(&self, command: Command) -> Answer {
        self.shared.submit(command).await
    }

    /// Returns the state that is applied here.
    pub fn state(&self) -> State {
        self.shared.core().state.clone()
    }

    /// Returns the members of the log as known to this process.
    pub fn members(&self) -> Members {
        self.shared.core().raft.members().clone()
    }

    /// Stops participating in the log, as after a disk failure.
    pub fn stop(&self) {
        self.shared.stop("it was told to end");
    }

    /// Returns whether this process is the leader, confirmed by a majority.
    pub fn is_confirmed_leader(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.core().is_confirmed_leader(now)
    }

    /// Replaces the seed addresses after a change of the settings.
    pub fn update_seeds(&self, seeds: config::Seeds) {
        if let Some(discovery) = &mut self.shared.core().discovery {
            discovery.update_seeds(seeds);
        }
    }

    /// Returns why this process has stopped participating, if it has.
    pub fn stop_reason(&self) -> Option<String> {
        self.shared.core().stop_reason.clone()
    }
}

impl Shared {
    pub(super) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("no thread panics while holding this lock")
    }

    pub(super) fn me(&self) -> &Peer {
        &self.me
    }

    /// Returns whether the process participates again once a failed disk works. It does if the leader chooses the voters,
    /// since no operator repairs single processes then.
    pub(super) fn restarts_after_disk_failure(&self) -> bool {
        self.core().discovery.is_some()
    }

    /// Participates again with the state read from the disk, as after a restart. Discards the writes that are queued.
    pub(super) fn restart_from_disk(&self, recovery: Recovery, jobs: &mpsc::Receiver<Job>) {
        let mut core = self.core();
        while jobs.try_recv().is_ok() {}
        log::info!(
            "the disk works again, restarting from the {} bytes read from it",
            recovery.read_bytes
        );
        let now = self.clock.now();
        let raft = Raft::new(now, recovery.peer, &recovery.saved, fastrand::u64(..));
        core.restart(raft, recovery.saved.snapshot.as_ref());
    }

    /// Stops participating in the log and logs the reason.
    pub(super) fn stop(&self, reason: &str) {
        log::error!("this control process stops participating in the log: {reason}");
        self.core().stop(reason);
    }

    /// Passes an input to the Raft state machine and carries out its outputs.
    pub(super) fn step(self: &Arc<Self>, input: Input) {
        self.step_locked(&mut self.core(), input);
    }

    /// Like [`Self::step`], for a caller that holds the lock. Returns the id of the entry if a command was proposed.
    pub(super) fn step_locked(
        self: &Arc<Self>,
        core: &mut Core,
        input: Input,
    ) -> Option<super::raft::EntryId> {
        if core.stop_reason.is_some() {
            return None;
        }
        let now = self.clock.now();
        let mut proposed = None;
        for output in core.raft.step(now, input) {
            core.handle_output(now, &output);
            match output {
                Output::BecameLeader => self.metrics.record_election(),
                Output::Send { to, message } => self.send(core, &to, message),
                Output::Persist { ticket, change } => {
                    let _ = self.jobs.send(Job::Persist(ticket, change));
                }
                Output::Proposed(entry) => proposed = Some(entry),
                Output::Apply(_) => {
                    self.entries_applied.notify(usize::MAX);
                }
                _ => {}
            }
        }
        if let Some((index, state)) = core.take_snapshot() {
            for output in core.raft.step(now, Input::Compact { index, state }) {
                if let Output::Persist { ticket, change } = output {
                    let _ = self.jobs.send(Job::Persist(ticket, change));
                }
            }
        }
        proposed
    }

    /// Initializes the log if the settings name this process as the only voter or seed.
    fn bootstrap_single_voter(self: &Arc<Self>) {
        let mut core = self.core();
        let single_seed = core.discovery.as_ref().and_then(Discovery::single_seed_members);
        if core.raft.is_blank()
            && let Some(members) = single_seed.or_else(|| core.bootstrap.single_voter_members())
        {
            self.step_locked(&mut core, Input::Bootstrap(members));
        }
    }

    /// Queues a message to another control process, or drops it if the address of the process is unknown.
    pub(super) fn send(self: &Arc<Self>, core: &Core, to: &id::Node, message: Message) {
        let from_settings =
            || self.voters.iter().find(|voter| voter.node == *to).map(|v| v.address);
        let reported =
            || core.discovery.as_ref().and_then(|discovery| discovery.reported_address(to));
        let Some(address) =
            core.raft.members().address(to).or_else(from_settings).or_else(reported)
        else {
            return;
        };
        let frame = self.frame(Body::Raft { start: core.raft.me().start, message });
        let mut links = self.links.lock().expect("no thread panics while holding this lock");
        if links.get(to).is_none_or(|link| link.address != address) {
            links.insert(to.clone(), Link::open(self, to.clone(), address));
        }
        if links.get(to).is_some_and(|link| !link.send(frame)) {
            self.metrics.frame_dropped();
        }
    }

    /// Returns whether every voter in touch applies commands as this release does. One of an earlier release never answers a
    /// ping.
    pub(super) fn are_voters_current(&self, core: &Core) -> bool {
        let now = self.clock.now();
        let links = self.links.lock().expect("no thread panics while holding this lock");
        let others = core.raft.members().voters.keys().filter(|node| **node != self.me.node);
        let mut in_touch = others.filter(|node| core.raft.is_reachable(now, node));
        in_touch.all(|node| links.get(node).is_some_and(Link::has_answered))
    }

    /// Returns the leader's address for operators if the leader is another process.
    pub(super) fn leader_admin_address(&self) -> Option<SocketAddr> {
        let core = self.core();
        let leader = core.raft.leader().filter(|leader| **leader != self.me.node)?;
        self.voters.iter().find(|voter| voter.node == *leader).map(|voter| voter.admin)
    }

    pub(super) fn frame(&self, body: Body) -> Frame {
        Frame { sender: self.me.node.clone(), incarnation: self.me.incarnation, body }
    }

    async fn tick(self: Arc<Self>) {
        let mut pushed_at = Instant::default();
        loop {
            self.step(Input::Tick);
            let (term, outputs, has_urgent_updates) = {
                let mut core = self.core();
                let now = self.clock.now();
                let term = core.raft.term();
                if core.is_confirmed_leader(now) {
                    if let Some(command) = core.next_member_change(now) {
                        self.step_locked(&mut core, Input::Propose(command));
                    }
                    (term, core.tick(now), core.leader.has_urgent_updates())
                } else {
                    (term, Vec::new(), false)
                }
            };
            for output in outputs {
                self.carry_out(term, output);
            }
            self.watch_new();
            let now = self.clock.now();
            if has_urgent_updates && now.since(pushed_at) >= PUSH_INTERVAL {
                pushed_at = now;
                self.push_table().await;
            }
            self.clock.sleep(TICK_INTERVAL).await;
        }
    }

    /// Contacts the other voters while this process's disk is blank.
    async fn send_hellos(self: Arc<Self>) {
        while self.core().raft.is_blank() {
            {
                let core = self.core();
                let others = self.voters.iter().filter(|voter| voter.node != self.me.node);
                for voter in others {
                    self.send(&core, &voter.node, Message::Hello { members: None });
                }
            }
            self.clock.sleep(HELLO_INTERVAL).await;
        }
    }
}

/// Returns the role of an instance, for operators.
pub(super) fn role_of(state: &State, replica: &Replica) -> Role {
    let epoch = state.epochs.get(&replica.group);
    match epoch {
        Some(epoch) if epoch.primary == replica.instance => Role::Primary,
        _ => Role::Replica,
    }
}

/// Returns the instances that announce themselves.
pub(super) fn instances(core: &Core) -> Vec<Replica> {
    core.leader.replicas().cloned().collect()
}
