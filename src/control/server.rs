//! A control process: its sockets, its timers, and the machines between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, mpsc};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use smol::channel::Sender;
use smol::net::{TcpListener, TcpStream, UdpSocket};

use super::core::Core;
use super::journal::{self, Order};
use super::link::Link;
use super::meeting::Meeting;
use super::promotion::Protocol;
use super::raft::{Bootstrap, Input, Members, Message, Output, Peer, Raft};
use super::state::{Command, State, Voter};
use super::store::{Disk, Folder, Recovery, Store};
use super::{Error, operator, promotion};
use crate::clock::{Clock, Instant};
use crate::config;
use crate::id;
use crate::report::{self, LeaseAnswer, Metrics};
use crate::security::Credentials;
use crate::wire::{Answer, Body, Configuration, Frame, Replica, Role, Stream};

/// How often the machines are told that time passed.
const TICK: Duration = Duration::from_millis(10);

/// How often a blank process asks for the others.
pub(super) const HELLO: Duration = Duration::from_millis(100);

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
    /// Which disk this process has; its newest start is the machine's to know.
    me: Peer,
    pub(super) domain: id::Domain,
    pub(super) user: String,
    pub(super) protocol: Protocol,
    pub(super) address: SocketAddr,
    voters: Vec<config::Voter>,
    core: Mutex<Core>,
    /// Where the orders to each instance go.
    pub(super) probes: Mutex<BTreeMap<id::Instance, Sender<promotion::Order>>>,
    links: Mutex<BTreeMap<id::Node, Link>>,
    seen: Mutex<BTreeMap<id::Node, Instant>>,
    orders: mpsc::Sender<Order>,
    udp: UdpSocket,
}

/// Binds the sockets of a control process and starts it on the folder that the settings name.
///
/// # Errors
///
/// Fails when the settings don't make a control process, or a socket or the disk can't be opened.
pub async fn spawn(clock: Clock, settings: &config::Settings) -> Result<Server, Error> {
    spawn_by(clock, settings, Protocol::Pgsql).await
}

/// Starts a control process that reaches instances in a certain way; see [`spawn`].
///
/// # Errors
///
/// Fails as [`spawn`] does.
pub async fn spawn_by(
    clock: Clock,
    settings: &config::Settings,
    protocol: Protocol,
) -> Result<Server, Error> {
    let data = settings.data.as_ref().ok_or(Error::NoData)?;
    let disk = Folder::open(data)?;
    start(clock, settings, disk, protocol).await
}

/// Starts a control process on any disk; see [`spawn`].
///
/// # Errors
///
/// Fails as [`spawn`] does.
pub async fn spawn_on(
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
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let fresh = id::Incarnation(wall.as_micros() as u64);
    let (store, found) = Store::open_disk(disk, &settings.node, fresh, fastrand::u32(..))?;
    let udp = UdpSocket::bind(control.address).await?;
    let tcp = TcpListener::bind(control.address).await?;
    let admin = TcpListener::bind(control.admin).await?;
    let me = found.peer;
    let raft = Raft::new(clock.now(), me.clone(), &found.saved, fastrand::u64(..));
    let bootstrap = Bootstrap::new(me.clone(), initial(settings));
    let mut core = Core::new(raft, bootstrap, found.saved.snapshot.as_ref());
    if let Some(seeds) = &settings.seeds {
        let own = Voter {
            node: me.node.clone(),
            incarnation: me.incarnation,
            address: control.address,
            domain: settings.domain.clone(),
        };
        core.heard.seats = Some(seeds.voter_count());
        core.meeting = Some(Meeting::new(seeds.clone(), own));
    }
    let (orders, received) = mpsc::channel();
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
        probes: Mutex::default(),
        links: Mutex::default(),
        seen: Mutex::default(),
        orders,
        udp,
    });
    log::info!("read {} bytes of the log and its snapshot", found.read_bytes);
    journal::spawn(Arc::clone(&shared), store, received)?;
    shared.begin_alone();
    smol::spawn(shared.credentials.clone().watch(shared.clock.clone())).detach();
    smol::spawn(Arc::clone(&shared).receive()).detach();
    smol::spawn(Arc::clone(&shared).tick()).detach();
    smol::spawn(Arc::clone(&shared).hello()).detach();
    if settings.seeds.is_some() {
        smol::spawn(Arc::clone(&shared).meet()).detach();
    }
    smol::spawn(accept(Arc::clone(&shared), tcp)).detach();
    smol::spawn(operator::serve(Arc::clone(&shared), admin)).detach();
    Ok(Server { shared })
}

/// Returns the voters of the settings; nobody knows the incarnations of their disks yet.
fn initial(settings: &config::Settings) -> Vec<Voter> {
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

    /// Puts a command into the log and returns what came of it, whoever leads.
    pub async fn submit(&self, command: Command) -> Answer {
        self.shared.submit(command).await
    }

    /// Returns the state as far as it is applied here.
    pub fn state(&self) -> State {
        self.shared.core().state.clone()
    }

    /// Returns who takes part in the log, as far as this process knows.
    pub fn members(&self) -> Members {
        self.shared.core().raft.members().clone()
    }

    /// Takes no part any more, as after a failure of the disk.
    pub fn end(&self) {
        self.shared.stop("it was told to end");
    }

    /// Tells whether this process leads, proved by its majority.
    pub fn leads(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.core().leads(now)
    }

    /// Takes the seeds of changed settings over.
    pub fn update_seeds(&self, seeds: config::Seeds) {
        if let Some(meeting) = &mut self.shared.core().meeting {
            meeting.update_seeds(seeds);
        }
    }

    /// Returns why this process takes no part any more.
    pub fn stopped(&self) -> Option<String> {
        self.shared.core().stopped.clone()
    }
}

impl Shared {
    pub(super) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("nothing panics while it holds the lock")
    }

    pub(super) fn me(&self) -> &Peer {
        &self.me
    }

    /// Tells whether the process takes part again once a disk that failed is sound: where the leader decides who
    /// votes, nobody else would look after it.
    pub(super) fn revives(&self) -> bool {
        self.core().meeting.is_some()
    }

    /// Takes part again with what the disk holds, as after a restart. What was to be written before is void.
    pub(super) fn revive(&self, found: Recovery, orders: &mpsc::Receiver<Order>) {
        let mut core = self.core();
        while orders.try_recv().is_ok() {}
        log::info!("the disk is sound again; read {} bytes", found.read_bytes);
        let now = self.clock.now();
        let raft = Raft::new(now, found.peer, &found.saved, fastrand::u64(..));
        core.revive(raft, found.saved.snapshot.as_ref());
    }

    /// Takes no part any more, and says so.
    pub(super) fn stop(&self, reason: &str) {
        log::error!("this voter stops taking part: {reason}");
        self.core().stop(reason);
    }

    /// Gives the machine an input and carries out what it returns.
    pub(super) fn step(self: &Arc<Self>, input: Input) {
        self.step_in(&mut self.core(), input);
    }

    pub(super) fn step_in(
        self: &Arc<Self>,
        core: &mut Core,
        input: Input,
    ) -> Option<super::raft::EntryId> {
        if core.stopped.is_some() {
            return None;
        }
        let now = self.clock.now();
        let mut proposed = None;
        for output in core.raft.step(now, input) {
            core.take(now, &output);
            match output {
                Output::BecameLeader => self.metrics.record_election(),
                Output::Send { to, message } => self.send(core, &to, message),
                Output::Persist { ticket, change } => {
                    let _ = self.orders.send(Order::Persist(ticket, change));
                }
                Output::Proposed(last) => proposed = Some(last),
                _ => {}
            }
        }
        if let Some((index, state)) = core.compaction() {
            for output in core.raft.step(now, Input::Compact { index, state }) {
                if let Output::Persist { ticket, change } = output {
                    let _ = self.orders.send(Order::Persist(ticket, change));
                }
            }
        }
        proposed
    }

    fn begin_alone(self: &Arc<Self>) {
        let mut core = self.core();
        let met = core.meeting.as_ref().and_then(Meeting::alone);
        if core.raft.is_blank()
            && let Some(members) = met.or_else(|| core.bootstrap.single_voter_members())
        {
            self.step_in(&mut core, Input::Bootstrap(members));
        }
    }

    fn send(self: &Arc<Self>, core: &Core, to: &id::Node, message: Message) {
        let named = || self.voters.iter().find(|voter| voter.node == *to).map(|v| v.address);
        let met = || core.meeting.as_ref().and_then(|meeting| meeting.address(to));
        let Some(address) = core.raft.members().address(to).or_else(named).or_else(met) else {
            return;
        };
        let frame = self.frame(Body::Raft { start: core.raft.me().start, message });
        let mut links = self.links.lock().expect("nothing panics under this lock");
        if links.get(to).is_none_or(|link| link.address != address) {
            links.insert(to.clone(), Link::open(Arc::clone(self), to.clone(), address));
        }
        if links.get(to).is_some_and(|link| !link.send(frame)) {
            self.metrics.frame_dropped();
        }
    }

    /// Tells how long a process has said nothing.
    pub(super) fn silent_for(&self, now: Instant, node: &id::Node) -> Duration {
        let seen = self.seen.lock().expect("nothing panics under this lock");
        seen.get(node).map_or(Duration::MAX, |at| now.since(*at))
    }

    /// Returns where the leader takes operators, when that is another process.
    pub(super) fn leader_admin(&self) -> Option<SocketAddr> {
        let core = self.core();
        let leader = core.raft.leader().filter(|leader| **leader != self.me.node)?;
        self.voters.iter().find(|voter| voter.node == *leader).map(|voter| voter.admin)
    }

    pub(super) fn frame(&self, body: Body) -> Frame {
        Frame { sender: self.me.node.clone(), incarnation: self.me.incarnation, body }
    }

    pub(super) async fn datagram(&self, to: SocketAddr, body: Body) {
        match self.credentials.seal.encode(&self.frame(body)) {
            Ok(bytes) => {
                if let Err(error) = self.udp.send_to(&bytes, to).await {
                    log::debug!("a datagram to {to} was not sent: {error}");
                }
            }
            Err(error) => log::error!("a frame can't be encoded: {error}"),
        }
    }

    async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; crate::wire::MAX_DATAGRAM_BYTES];
        loop {
            let Ok((len, from)) = self.udp.recv_from(&mut buffer).await else {
                continue;
            };
            match self.credentials.seal.decode(&buffer[..len]) {
                Ok(frame) => self.heartbeat(from, &frame).await,
                Err(error) => {
                    self.metrics.record_protocol_error(report::Peer::Process, error.kind());
                    log::debug!("a datagram from {from} is dropped: {error}");
                }
            }
        }
    }

    /// Answers a proxy: with a grant only while it is proved that no other process leads.
    async fn heartbeat(self: &Arc<Self>, from: SocketAddr, frame: &Frame) {
        let Body::Heartbeat(heartbeat) = &frame.body else {
            return;
        };
        self.metrics.heartbeat_received();
        let answer = {
            let mut core = self.core();
            let now = self.clock.now();
            if core.leads(now) {
                let (grant, command) = core.heartbeat(now, frame, heartbeat);
                if let Some(command) = command {
                    self.step_in(&mut core, Input::Propose(command));
                }
                grant.map(Body::Grant)
            } else {
                Some(Body::Redirect(core.raft.leader().cloned()))
            }
        };
        let granted = matches!(answer, Some(Body::Grant(_)));
        self.metrics.record_lease_answer(if granted {
            LeaseAnswer::Granted
        } else {
            LeaseAnswer::Refused
        });
        // A proxy that is new here, or that asked the wrong process, may not know who takes part by now.
        let new = !granted || is_new(heartbeat, self.core().raft.term());
        if let Some(answer) = answer {
            self.datagram(from, answer).await;
        }
        if new {
            self.name_voters(from).await;
        }
    }

    async fn tick(self: Arc<Self>) {
        let mut pushed = (id::Term(0), 0);
        loop {
            self.step(Input::Tick);
            let (outputs, version) = {
                let mut core = self.core();
                let now = self.clock.now();
                if core.leads(now) {
                    if let Some(command) = core.change(now) {
                        self.step_in(&mut core, Input::Propose(command));
                    }
                    (core.tick(now), Some((core.raft.term(), core.leader.version())))
                } else {
                    (Vec::new(), None)
                }
            };
            for output in outputs {
                self.carry_out(output);
            }
            self.watch_new();
            if let Some(version) = version
                && version != pushed
            {
                pushed = version;
                self.push().await;
            }
            self.clock.sleep(TICK).await;
        }
    }

    /// Asks for the others for as long as this disk is blank.
    async fn hello(self: Arc<Self>) {
        while self.core().raft.is_blank() {
            {
                let core = self.core();
                let others = self.voters.iter().filter(|voter| voter.node != self.me.node);
                for voter in others {
                    self.send(&core, &voter.node, Message::Hello { members: None });
                }
            }
            self.clock.sleep(HELLO).await;
        }
    }

    /// Sends what changed in the table to every proxy at once.
    async fn push(&self) {
        let grants = {
            let core = self.core();
            core.leader.table_updates(core.stamp(), core.state.revision)
        };
        for (proxy, grant) in grants {
            self.datagram(proxy, Body::Grant(grant)).await;
        }
    }

    /// Takes a frame of another control process.
    fn voter(self: &Arc<Self>, from: Peer, message: Message) {
        let now = self.clock.now();
        self.seen.lock().expect("nothing panics under this lock").insert(from.node.clone(), now);
        let mut core = self.core();
        match message {
            Message::Hello { members } => {
                let (found, answer) = core.hello(&from, members);
                if let Some(members) = found {
                    self.step_in(&mut core, Input::Bootstrap(members));
                }
                if let Some(answer) = answer {
                    self.send(&core, &from.node, answer);
                }
            }
            Message::Outdated { known } => {
                if core.raft.me().is_outdated_by(&known) {
                    drop(core);
                    let _ = self.orders.send(Order::Refuse(known.clone()));
                    self.stop(&format!(
                        "its disk is a copy from before: control knows incarnation {} at start {}",
                        known.incarnation, known.start.count
                    ));
                }
            }
            message => {
                let life = core.heard.lives.entry(from.node.clone()).or_insert(from.clone());
                *life = from.clone().max(life.clone());
                self.step_in(&mut core, Input::Message { from, message });
            }
        }
    }

    async fn answer(self: &Arc<Self>, frame: Frame) -> Option<Body> {
        match frame.body {
            Body::Raft { start, message } => {
                let peer = Peer { node: frame.sender, incarnation: frame.incarnation, start };
                self.voter(peer, message);
                None
            }
            Body::Fetch => {
                let core = self.core();
                if !core.leads(self.clock.now()) {
                    return Some(Body::Redirect(core.raft.leader().cloned()));
                }
                Some(Body::Configuration(Configuration {
                    stamp: core.stamp(),
                    revision: core.state.revision,
                    text: core.state.text.clone(),
                }))
            }
            Body::Submit(command) => Some(Body::Answer(self.submit_here(command).await)),
            Body::Announce(said) => Some(Body::Answer(self.announce_here(said).await)),
            Body::Declarations => Some(match self.declared() {
                Some(declared) => Body::Declared(declared),
                None => Body::Redirect(self.core().raft.leader().cloned()),
            }),
            Body::Meet(greeting) => {
                self.greeted(&greeting);
                Some(Body::Meet(self.greeting(&self.core())))
            }
            _ => None,
        }
    }
}

/// Tells whether a proxy has not heard of the present leader.
fn is_new(heartbeat: &crate::wire::Heartbeat, term: id::Term) -> bool {
    heartbeat.seen.term != term
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((socket, from)) = listener.accept().await else {
            continue;
        };
        let shared = Arc::clone(&shared);
        let serve = async move {
            if let Err(error) = converse(&shared, socket).await {
                let ended = matches!(error, crate::wire::Error::Io(_));
                if !ended {
                    shared.metrics.record_protocol_error(report::Peer::Process, error.kind());
                }
                log::debug!("a connection from {from} ended: {error}");
            }
        };
        smol::spawn(serve).detach();
    }
}

async fn converse(shared: &Arc<Shared>, socket: TcpStream) -> Result<(), crate::wire::Error> {
    let mut stream = Stream::from_accepted(socket)?.with_seal(&shared.credentials.seal);
    loop {
        let frame = stream.receive().await?;
        if let Some(answer) = shared.answer(frame).await {
            stream.send(&shared.frame(answer)).await?;
        }
    }
}

/// Tells how an instance stands, for operators.
pub(super) fn role_of(state: &State, replica: &Replica) -> Role {
    let epoch = state.epochs.get(&replica.group);
    match epoch {
        Some(epoch) if epoch.primary == replica.instance => Role::Primary,
        _ => Role::Replica,
    }
}

/// Lists the instances that control knows of.
pub(super) fn instances(core: &Core) -> Vec<Replica> {
    core.leader.replicas().cloned().collect()
}
