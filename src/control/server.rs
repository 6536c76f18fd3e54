//! A control process: its sockets, its timers, and the machines between them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use smol::net::{TcpListener, UdpSocket};

use super::Error;
use super::failover::{Input, Output};
use super::leader::Leader;
use super::operator;
use super::probe::{self, Probe};
use super::raft::Entry;
use super::state::{Action, Command, Outcome, State};
use super::store::Store;
use crate::clock::{Clock, Instant};
use crate::config;
use crate::id;
use crate::report::{Lease, Metrics, Peer};
use crate::upstream::position;
use crate::wire::{Answer, Body, Configuration, Frame, Grant, Heartbeat, Replica, Role, Stamp};

/// How often the machines of the groups are told that time passed.
const TICK: Duration = Duration::from_millis(10);

/// A running control process.
#[derive(Debug, Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    clock: Clock,
    pub(super) metrics: Metrics,
    node: id::Node,
    domain: id::Domain,
    user: String,
    core: Mutex<Core>,
    udp: UdpSocket,
}

/// Everything that decides, under one lock that is never held over an `await`.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) state: State,
    pub(super) fleet: config::Fleet,
    pub(super) leader: Leader,
    store: Store,
    term: id::Term,
    index: id::Index,
}

/// Binds the sockets of a control process and starts it.
///
/// # Errors
///
/// Fails when the settings don't make a control process, or a socket or the log can't be opened.
pub async fn spawn(clock: Clock, settings: &config::Node) -> Result<Server, Error> {
    let control = settings.control.as_ref().ok_or(Error::NotControl)?;
    let data = settings.data.as_ref().ok_or(Error::NoData)?;
    let (store, entries) = Store::open(data)?;
    let udp = UdpSocket::bind(control.address).await?;
    let tcp = TcpListener::bind(control.address).await?;
    let admin = TcpListener::bind(control.admin).await?;
    let shared = Arc::new(Shared {
        clock,
        metrics: Metrics::default(),
        node: settings.node.clone(),
        domain: settings.domain.clone(),
        user: control.user.clone(),
        core: Mutex::new(Core::new(store, &entries)),
        udp,
    });
    smol::spawn(Arc::clone(&shared).receive()).detach();
    smol::spawn(Arc::clone(&shared).tick()).detach();
    smol::spawn(accept(Arc::clone(&shared), tcp)).detach();
    smol::spawn(operator::serve(Arc::clone(&shared), admin)).detach();
    Ok(Server { shared })
}

impl Server {
    /// Puts a command into the log and returns what came of it.
    pub fn submit(&self, command: Command) -> Answer {
        self.shared.submit(command)
    }
}

impl Core {
    fn new(store: Store, entries: &[Entry]) -> Self {
        let mut state = State::default();
        for entry in entries {
            state.apply(&entry.command);
        }
        let last = entries.last();
        let mut core = Self {
            fleet: config::Fleet::parse("declarations", &state.text).unwrap_or_default(),
            state,
            leader: Leader::default(),
            store,
            term: id::Term(last.map_or(0, |entry| entry.term.0) + 1),
            index: last.map_or(id::Index(0), |entry| entry.index),
        };
        core.leader.refresh(&core.state, &core.fleet);
        core
    }

    pub(super) fn stamp(&self) -> Stamp {
        Stamp { term: self.term, index: self.index }
    }

    /// Appends a command, syncs it, and applies it.
    fn commit(&mut self, command: Command) -> Answer {
        let entry = Entry { term: self.term, index: self.index.next(), command };
        if let Err(error) = self.store.append(&entry) {
            log::error!("the log can't be written, this voter stops: {error}");
            return Answer::Unknown;
        }
        self.index = entry.index;
        let outcome = self.state.apply(&entry.command);
        if let Ok(fleet) = config::Fleet::parse("declarations", &self.state.text) {
            self.fleet = fleet;
        }
        self.leader.refresh(&self.state, &self.fleet);
        Answer::Applied(outcome)
    }

    /// Takes a heartbeat, registers its sender where that is needed, and makes the answer.
    fn heartbeat(&mut self, now: Instant, frame: &Frame, heartbeat: &Heartbeat) -> Option<Grant> {
        match self.state.nodes.get(&frame.sender) {
            Some((known, _)) if *known > frame.incarnation => return None,
            Some((known, _)) if *known == frame.incarnation => {}
            _ => {
                let action = Action::Register {
                    node: frame.sender.clone(),
                    incarnation: frame.incarnation,
                    domain: heartbeat.domain.clone(),
                };
                self.commit(Command { origin: None, action });
            }
        }
        let stamp = self.stamp();
        let decided = (&self.state, &self.fleet, stamp);
        Some(self.leader.heartbeat(now, &frame.sender, heartbeat, decided))
    }

    fn tick(&mut self, now: Instant) -> Vec<Output> {
        self.leader.tick(now, &self.state, &self.fleet)
    }
}

impl Shared {
    pub(super) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("nothing panics while it holds the lock")
    }

    pub(super) fn submit(&self, command: Command) -> Answer {
        let answer = self.core().commit(command);
        if let Answer::Applied(Outcome::Refused { reason }) = &answer {
            log::info!("a command was refused: {reason}");
        }
        answer
    }

    fn frame(&self, body: Body) -> Frame {
        Frame { sender: self.node.clone(), incarnation: id::Incarnation(0), body }
    }

    async fn send(&self, to: SocketAddr, body: Body) {
        match self.frame(body).encode() {
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
            match Frame::decode(&buffer[..len]) {
                Ok(frame) => self.datagram(from, &frame).await,
                Err(error) => {
                    self.metrics.violated(Peer::Process, error.kind());
                    log::debug!("a datagram from {from} is dropped: {error}");
                }
            }
        }
    }

    async fn datagram(self: &Arc<Self>, from: SocketAddr, frame: &Frame) {
        let Body::Heartbeat(heartbeat) = &frame.body else {
            return;
        };
        self.metrics.heartbeat_received();
        let before = self.core().leader.replicas.len();
        let grant = self.core().heartbeat(self.clock.now(), frame, heartbeat);
        if self.core().leader.replicas.len() > before {
            self.probe_new();
        }
        let lease = if grant.is_some() { Lease::Granted } else { Lease::Refused };
        self.metrics.lease(lease);
        if let Some(grant) = grant {
            self.send(from, Body::Grant(grant)).await;
        }
    }

    /// Starts a probe for each instance that has none yet.
    fn probe_new(self: &Arc<Self>) {
        let replicas: Vec<Replica> = {
            let core = self.core();
            core.leader.replicas.values().map(|(_, replica)| replica.clone()).collect()
        };
        for replica in replicas {
            let known = self
                .core()
                .leader
                .groups
                .get_mut(&replica.group)
                .map(|g| g.watch(&replica.instance));
            if known == Some(true) {
                smol::spawn(Arc::clone(self).watch(replica)).detach();
            }
        }
    }

    fn probe(&self, replica: Replica) -> Probe {
        let application = format!("cactushatch/{}/{}", self.node, self.domain);
        Probe::new(self.clock.clone(), self.user.clone(), application, replica)
    }

    async fn watch(self: Arc<Self>, replica: Replica) {
        let mut probe = self.probe(replica.clone());
        loop {
            let seen = probe.status().await;
            let now = self.clock.now();
            if let Some(group) = self.core().leader.groups.get_mut(&replica.group) {
                group.step(now, Input::Probed { instance: replica.instance.clone(), seen });
            }
            self.clock.sleep(probe::INTERVAL).await;
        }
    }

    async fn tick(self: Arc<Self>) {
        let mut pushed = 0;
        loop {
            let outputs = self.core().tick(self.clock.now());
            for output in outputs {
                self.carry_out(output);
            }
            let version = self.core().leader.version;
            if version != pushed {
                pushed = version;
                self.push().await;
            }
            self.clock.sleep(TICK).await;
        }
    }

    /// Sends the table to every proxy at once, without renewing a lease.
    async fn push(&self) {
        let (grant, proxies) = {
            let core = self.core();
            let grant = Grant {
                stamp: core.stamp(),
                sequence: None,
                lease_ms: 0,
                version: core.leader.version,
                table: Some(core.leader.table.clone()),
                revision: core.state.revision,
            };
            (grant, core.leader.proxies.values().copied().collect::<Vec<_>>())
        };
        for proxy in proxies {
            self.send(proxy, Body::Grant(grant.clone())).await;
        }
    }

    fn carry_out(self: &Arc<Self>, output: Output) {
        match output {
            Output::Submit(action) => {
                log::info!("control decides {action:?}");
                match &action {
                    Action::Freeze { .. } => self.metrics.frozen(),
                    Action::Promote { .. } => self.metrics.promoted(),
                    _ => {}
                }
                self.submit(Command { origin: None, action });
            }
            Output::Promote { instance, term } => {
                smol::spawn(Arc::clone(self).order(instance, position::promote(term))).detach();
            }
            Output::Follow { instance, primary, term } => {
                let primary = self.core().leader.replicas.get(&primary).map(|(_, r)| r.address);
                if let Some(primary) = primary {
                    let sql = position::follow(primary, term);
                    smol::spawn(Arc::clone(self).order(instance, sql)).detach();
                }
            }
        }
    }

    async fn order(self: Arc<Self>, instance: id::Instance, sql: String) {
        let replica =
            self.core().leader.replicas.get(&instance).map(|(_, replica)| replica.clone());
        let Some(replica) = replica else {
            return;
        };
        let group = replica.group.clone();
        match self.probe(replica).order(&sql).await {
            Ok(status) => {
                let now = self.clock.now();
                if let Some(group) = self.core().leader.groups.get_mut(&group) {
                    group.step(now, Input::Probed { instance, seen: Ok(status) });
                }
            }
            Err(error) => log::warn!("{instance} did not carry out {sql:?}: {error}"),
        }
    }

    fn answer(&self, body: Body) -> Option<Body> {
        match body {
            Body::Fetch => {
                let core = self.core();
                Some(Body::Configuration(Configuration {
                    stamp: core.stamp(),
                    revision: core.state.revision,
                    text: core.state.text.clone(),
                }))
            }
            Body::Submit(command) => Some(Body::Answer(self.submit(command))),
            _ => None,
        }
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((socket, from)) = listener.accept().await else {
            continue;
        };
        let shared = Arc::clone(&shared);
        let serve = async move {
            if let Err(error) = converse(&shared, socket).await {
                log::debug!("a connection from {from} ended: {error}");
            }
        };
        smol::spawn(serve).detach();
    }
}

async fn converse(shared: &Shared, socket: smol::net::TcpStream) -> Result<(), crate::wire::Error> {
    let mut stream = crate::wire::Stream::accepted(socket)?;
    loop {
        let frame = stream.receive().await?;
        let Some(answer) = shared.answer(frame.body) else {
            return Ok(());
        };
        stream.send(&shared.frame(answer)).await?;
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
    core.leader.replicas.values().map(|(_, replica)| replica.clone()).collect()
}
