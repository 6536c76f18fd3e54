//! A control process: its sockets, its timers, and the machines between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use smol::channel::{Receiver, Sender, unbounded};
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
use crate::pgsql;
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
    /// Where the orders to each instance go.
    probes: Mutex<BTreeMap<id::Instance, Sender<Order>>>,
    udp: UdpSocket,
}

/// What the connection to an instance is used for besides the regular probe.
#[derive(Debug)]
enum Order {
    Probe,
    Promote(id::Term),
    Demote(id::Term),
    Follow(SocketAddr, id::Term),
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
        metrics: Metrics::default(),
        node: settings.node.clone(),
        domain: settings.domain.clone(),
        user: control.user.clone(),
        core: Mutex::new(Core::new(clock.now(), store, &entries)),
        probes: Mutex::new(BTreeMap::new()),
        clock,
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
    fn new(now: Instant, store: Store, entries: &[Entry]) -> Self {
        let mut state = State::default();
        for entry in entries {
            state.apply(&entry.command);
        }
        let last = entries.last();
        let fleet = config::Fleet::parse("declarations", &state.text).unwrap_or_default();
        Self {
            leader: Leader::elected(now, &state, &fleet),
            fleet,
            state,
            store,
            term: id::Term(last.map_or(0, |entry| entry.term.0) + 1),
            index: last.map_or(id::Index(0), |entry| entry.index),
        }
    }

    pub(super) fn stamp(&self) -> Stamp {
        Stamp { term: self.term, index: self.index }
    }

    /// Appends a command, syncs it, and applies it.
    fn commit(&mut self, now: Instant, command: Command) -> Answer {
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
        self.leader.refresh(now, &self.state, &self.fleet);
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
                self.commit(now, Command { origin: None, action });
            }
        }
        let stamp = self.stamp();
        let life = (frame.sender.clone(), frame.incarnation);
        // The only voter confirms itself.
        self.leader.confirmed(now);
        self.leader.heartbeat(now, life, heartbeat, (&self.state, stamp))
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
        let answer = self.core().commit(self.clock.now(), command);
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
        let grant = self.core().heartbeat(self.clock.now(), frame, heartbeat);
        let lease = if grant.is_some() { Lease::Granted } else { Lease::Refused };
        self.metrics.lease(lease);
        if let Some(grant) = grant {
            self.send(from, Body::Grant(grant)).await;
        }
    }

    fn probes(&self) -> MutexGuard<'_, BTreeMap<id::Instance, Sender<Order>>> {
        self.probes.lock().expect("nothing panics while it holds the lock")
    }

    /// Starts a probe for each instance that has none yet.
    fn probe_new(self: &Arc<Self>) {
        let replicas: Vec<Replica> = self.core().leader.replicas().cloned().collect();
        for replica in replicas {
            let mut probes = self.probes();
            if !probes.contains_key(&replica.instance) {
                let (orders, ordered) = unbounded();
                probes.insert(replica.instance.clone(), orders);
                smol::spawn(Arc::clone(self).watch(replica, ordered)).detach();
            }
        }
    }

    /// Probes an instance, and carries out the orders to it, for as long as it announces itself.
    async fn watch(self: Arc<Self>, replica: Replica, ordered: Receiver<Order>) {
        let application = format!("cactushatch/{}/{}", self.node, self.domain);
        let user = self.user.clone();
        let mut probe = Probe::new(self.clock.clone(), user, application, replica.clone());
        let mut order = Order::Probe;
        while self.core().leader.replica(&replica.instance) == Some(&replica) {
            let asked = self.clock.now();
            if let Some(input) = run(&mut probe, &replica.instance, asked, order).await {
                let now = self.clock.now();
                self.core().leader.step(now, &replica.group, input);
            }
            let waited = self.clock.timeout(probe::INTERVAL, ordered.recv()).await;
            order = waited.and_then(Result::ok).unwrap_or(Order::Probe);
        }
        self.probes().remove(&replica.instance);
    }

    async fn tick(self: Arc<Self>) {
        let mut pushed = 0;
        loop {
            let outputs = self.core().tick(self.clock.now());
            for output in outputs {
                self.carry_out(output);
            }
            self.probe_new();
            let version = self.core().leader.version();
            if version != pushed {
                pushed = version;
                self.push().await;
            }
            self.clock.sleep(TICK).await;
        }
    }

    /// Sends what changed in the table to every proxy at once.
    async fn push(&self) {
        let grants = {
            let core = self.core();
            core.leader.push(core.stamp(), core.state.revision)
        };
        for (proxy, grant) in grants {
            self.send(proxy, Body::Grant(grant)).await;
        }
    }

    fn carry_out(&self, output: Output) {
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
            Output::Probe { instance } => self.order(&instance, Order::Probe),
            Output::Promote { instance, term } => self.order(&instance, Order::Promote(term)),
            Output::Demote { instance, term } => self.order(&instance, Order::Demote(term)),
            Output::Follow { instance, primary, term } => {
                let address = self.core().leader.replica(&primary).map(|replica| replica.address);
                if let Some(address) = address {
                    self.order(&instance, Order::Follow(address, term));
                }
            }
        }
    }

    fn order(&self, instance: &id::Instance, order: Order) {
        if let Some(orders) = self.probes().get(instance) {
            let _ = orders.try_send(order);
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

/// Asks an instance or gives it an order, and returns what the group's machine is to know of it.
async fn run(
    probe: &mut Probe,
    instance: &id::Instance,
    asked: Instant,
    order: Order,
) -> Option<Input<'static>> {
    let instance = instance.clone();
    let demotes = matches!(order, Order::Demote(_));
    let sql = match order {
        Order::Probe => {
            let seen = probe.status().await;
            return Some(Input::Probed { instance, asked, seen });
        }
        Order::Promote(term) => position::promote(term),
        Order::Demote(term) => position::demote(term),
        Order::Follow(primary, term) => position::follow(primary, term),
    };
    match probe.order(&sql).await {
        Ok(status) if demotes => Some(Input::Demoted { instance, status }),
        Ok(status) => Some(Input::Probed { instance, asked, seen: Ok(status) }),
        Err(error) => {
            log::warn!("{instance} did not carry out {sql:?}: {error}");
            let refused = demotes && matches!(error, pgsql::Error::Server { .. });
            refused.then_some(Input::Refused { instance })
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
