//! The connections from the leader to instances: probes, promotions, and orders to follow. It is an edge: nothing
//! here decides.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use log::Level;
use smol::channel::{Receiver, Sender, unbounded};

use super::failover::{Input, Output};
use super::server::Shared;
use super::state::{Action, Command};
use crate::clock::{Clock, Instant};
use crate::id;
use crate::pgsql;
use crate::report::{Call, Event};
use crate::statement::{self, Codec};
use crate::upstream::channel::{self, Channel};
use crate::upstream::position;
use crate::upstream::probe::{Probe, SILENCE};
use crate::wire::{Health, Replica};

/// How often an instance is asked.
const INTERVAL: Duration = Duration::from_millis(50);

/// How often an instance is asked whose status takes one of its slots, while its group has a primary in force.
const SETTLED_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long an order to an instance may take.
const ORDER: Duration = Duration::from_millis(1_000);

/// How long an instance may take to stop receiving until it is told again.
const PAUSE: Duration = Duration::from_millis(400);

/// How long to wait for an instance that is too busy to answer.
const BUSY: Duration = Duration::from_millis(10);

/// How control reaches instances.
#[derive(Debug, Clone)]
pub enum Reach {
    /// By PostgreSQL's protocol; an instance is promoted by a statement to it.
    Pgsql,
    /// By another protocol; an outside service promotes.
    Outside {
        /// The protocol.
        codec: &'static dyn Codec,
        /// The service.
        promoter: Arc<dyn Promoter>,
    },
}

/// An outside service that promotes instances.
pub trait Promoter: Debug + Send + Sync {
    /// Asks for a promotion. That it was taken doesn't say that the instance leads already.
    fn promote(
        &self,
        promotion: Promotion,
    ) -> Pin<Box<dyn Future<Output = Result<(), Declined>> + Send>>;
}

/// What an outside service is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// The group.
    pub group: id::Group,
    /// The instance that is to lead it.
    pub instance: id::Instance,
    /// Which control process asks.
    pub holder: id::Node,
    /// The term of the control log that it leads. No two processes ever lead one term, and a later leader has a
    /// greater one.
    pub token: id::Term,
}

/// Why an outside service did not take a promotion.
#[derive(Debug, thiserror::Error)]
pub enum Declined {
    /// The instance doesn't run.
    #[error("the instance doesn't run")]
    NotRunning,
    /// The service could not be asked, or failed; the promotion may happen nevertheless.
    #[error("{0}")]
    Failed(String),
}

/// What the connection to an instance is used for besides the regular probe.
#[derive(Debug)]
pub(super) enum Order {
    Probe,
    Promote(id::Term),
    Demote(id::Term),
    Follow(SocketAddr, id::Term),
    Pause(id::Term),
    Resume,
}

impl Shared {
    fn probes(&self) -> MutexGuard<'_, BTreeMap<id::Instance, Sender<Order>>> {
        self.probes.lock().expect("nothing panics while it holds the lock")
    }

    /// Starts a probe for each instance that has none yet.
    pub(super) fn probe_new(self: &Arc<Self>) {
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

    fn is_watched(&self, replica: &Replica) -> bool {
        self.core().leader.replica(&replica.instance) == Some(replica)
    }

    fn saw(&self, replica: &Replica, input: Input<'_>) {
        let now = self.clock.now();
        self.core().leader.step(now, &replica.group, input);
    }

    /// Probes an instance, and carries out the orders to it, for as long as this process leads and the instance
    /// announces itself.
    async fn watch(self: Arc<Self>, replica: Replica, ordered: Receiver<Order>) {
        let mut way = self.way(&replica);
        let mut order = Order::Probe;
        while self.is_watched(&replica) {
            let asked = self.clock.now();
            let input = match &mut way {
                Way::Pgsql(probe) => run(probe, &replica.instance, asked, order).await,
                Way::Outside(line, promoter) => {
                    self.run_outside(line, &**promoter, &replica, order).await
                }
            };
            if let Some(input) = input {
                self.saw(&replica, input);
            }
            let rests = matches!(way, Way::Outside(..)) && self.core().is_settled(&replica.group);
            let interval = if rests { SETTLED_INTERVAL } else { INTERVAL };
            let waited = self.clock.timeout(interval, ordered.recv()).await;
            order = waited.and_then(Result::ok).unwrap_or(Order::Probe);
        }
        self.probes().remove(&replica.instance);
    }

    fn way(&self, replica: &Replica) -> Way {
        match self.reach.clone() {
            Reach::Pgsql => {
                let application = format!("cactushatch/{}/{}", self.me().node, self.domain);
                let (clock, user) = (self.clock.clone(), self.user.clone());
                let probe = Probe::new(clock, user, application, replica.clone());
                Way::Pgsql(probe.with(self.guard.upstream.clone()))
            }
            Reach::Outside { codec, promoter } => {
                let (clock, replica) = (self.clock.clone(), replica.clone());
                Way::Outside(Line { clock, codec, replica, open: None }, promoter)
            }
        }
    }

    /// Carries out an order over a [`Codec`], where an outside service promotes.
    async fn run_outside(
        &self,
        line: &mut Line,
        promoter: &dyn Promoter,
        replica: &Replica,
        order: Order,
    ) -> Option<Input<'static>> {
        let instance = replica.instance.clone();
        match order {
            Order::Probe => Some(line.probe().await),
            Order::Promote(_) => self.promote(replica, promoter).await,
            Order::Pause(term) => line.pause(term).await,
            Order::Resume => {
                line.order(&statement::Command::Resume).await;
                None
            }
            Order::Follow(_, term) => {
                line.order(&statement::Command::Demote { term }).await;
                Some(line.probe().await)
            }
            // Such a primary can't be told to stop writes by itself. What it has now is what a replica must
            // have received before the freeze, and the freeze stops the writes.
            Order::Demote(_) => Some(match line.last().await {
                Some(status) => Input::Demoted { instance, status },
                None => Input::Refused { instance },
            }),
        }
    }

    async fn promote(&self, replica: &Replica, promoter: &dyn Promoter) -> Option<Input<'static>> {
        let token = {
            let core = self.core();
            core.leads(self.clock.now()).then(|| core.raft.term())?
        };
        let promotion = Promotion {
            group: replica.group.clone(),
            instance: replica.instance.clone(),
            holder: self.me().node.clone(),
            token,
        };
        let log = |answer, level| {
            let (group, instance) = (&replica.group, &replica.instance);
            Event::Promotion { group, instance, token, answer }.log(level);
        };
        log(None, Level::Info);
        match promoter.promote(promotion).await {
            Ok(()) => {
                self.metrics.promotion_called(Call::Accepted);
                log(Some("accepted".to_owned()), Level::Info);
                None
            }
            Err(declined) => {
                self.metrics.promotion_called(Call::Declined);
                log(Some(declined.to_string()), Level::Warn);
                let not_running = matches!(declined, Declined::NotRunning);
                not_running.then(|| Input::Declined { instance: replica.instance.clone() })
            }
        }
    }

    pub(super) fn carry_out(self: &Arc<Self>, output: Output) {
        match output {
            Output::Submit(action) => {
                decided(&action);
                match &action {
                    Action::Freeze { .. } => self.metrics.frozen(),
                    Action::Promote { .. } | Action::Adopt { .. } => self.metrics.promoted(),
                    _ => {}
                }
                self.propose(Command { origin: None, action });
            }
            Output::Probe { instance } => self.order(&instance, Order::Probe),
            Output::Pause { instance, term } => self.order(&instance, Order::Pause(term)),
            Output::Resume { instance } => self.order(&instance, Order::Resume),
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
            let asked = seen.as_ref().map_or(asked, |seen| seen.asked);
            let seen = seen.map(|seen| seen.status);
            return Some(Input::Probed { instance, asked, seen });
        }
        Order::Promote(term) => position::promote(term),
        Order::Demote(term) => position::demote(term),
        Order::Follow(primary, term) => position::follow(primary, term),
        // Such instances are fenced by the proxies' leases alone.
        Order::Pause(_) | Order::Resume => return None,
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

/// How one instance is reached.
enum Way {
    /// By SQL.
    Pgsql(Probe),
    /// Over a [`Codec`], and promoted by an outside service.
    Outside(Line, Arc<dyn Promoter>),
}

/// A connection to one instance over a [`Codec`] that is made again when it fails.
struct Line {
    clock: Clock,
    codec: &'static dyn Codec,
    replica: Replica,
    open: Option<Channel>,
}

impl Line {
    /// Asks the instance for its status. An open connection that failed proves little, so a new one decides.
    async fn probe(&mut self) -> Input<'static> {
        let instance = self.replica.instance.clone();
        let mut asked = self.clock.now();
        let mut answer = self.ask(&statement::Command::Status, SILENCE / 2).await;
        if answer.is_err() {
            asked = self.clock.now();
            answer = self.ask(&statement::Command::Status, SILENCE / 2).await;
        }
        let seen = match answer {
            Ok(Some(status)) => Ok(status),
            // It lives, and is too busy to say more.
            Ok(None) => Err(Health::Fine),
            Err(error) => Err(error.trouble()),
        };
        Input::Probed { instance, asked, seen }
    }

    /// Has the instance stop receiving, and returns what it then holds.
    async fn pause(&mut self, term: id::Term) -> Option<Input<'static>> {
        let instance = self.replica.instance.clone();
        let end = self.clock.now() + PAUSE;
        while self.clock.now() < end {
            match self.ask(&statement::Command::Pause { term }, PAUSE).await {
                Ok(Some(status)) => return Some(Input::Paused { instance, status }),
                Ok(None) => self.clock.sleep(BUSY).await,
                Err(error) => {
                    log::debug!("{instance} was not paused: {error}");
                    return None;
                }
            }
        }
        None
    }

    /// Returns the instance's status when it says it.
    async fn last(&mut self) -> Option<position::Status> {
        match self.ask(&statement::Command::Status, ORDER).await {
            Ok(status) => status,
            Err(error) => {
                log::debug!("{} did not say its status: {error}", self.replica.instance);
                None
            }
        }
    }

    async fn order(&mut self, order: &statement::Command<'_>) {
        if let Err(error) = self.ask(order, ORDER).await {
            log::warn!("{} did not carry out {order:?}: {error}", self.replica.instance);
        }
    }

    async fn ask(
        &mut self,
        order: &statement::Command<'_>,
        limit: Duration,
    ) -> Result<Option<position::Status>, channel::Error> {
        let deadline = self.clock.now() + limit;
        let mut channel = match self.open.take() {
            Some(channel) => channel,
            None => Channel::open(&self.clock, self.codec, &self.replica, deadline).await?.0,
        };
        let status = channel.status(&self.clock, order, deadline).await?;
        self.open = Some(channel);
        Ok(status)
    }
}

/// Logs what control orders about a group.
fn decided(action: &Action) {
    let (decision, group, term, instance, start) = match action {
        Action::Freeze { group, term } => ("freeze", group, *term, None, None),
        Action::Thaw { group, term } => ("thaw", group, *term, None, None),
        Action::Claim { group, term, primary } => ("claim", group, *term, Some(primary), None),
        Action::Promote { group, term, primary, start } => {
            ("promote", group, *term, Some(primary), Some(*start))
        }
        Action::Adopt { group, term, primary, start } => {
            ("adopt", group, *term, Some(primary), Some(*start))
        }
        action => return log::info!("control decides {action:?}"),
    };
    Event::Decision { group, decision, term, instance, start }.log(Level::Info);
}
