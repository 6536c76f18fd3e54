//! The leader's connections to instances, over which it probes, promotes, demotes and pauses them and makes them
//! follow a primary. This module only does the I/O; decisions are made elsewhere.

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
use crate::report::event::millis;
use crate::report::{Event, PromotionAnswer};
use crate::statement::{self, Codec};
use crate::upstream::connection::{self, Connection};
use crate::upstream::probe::{PROBE_TIMEOUT, Probe};
use crate::upstream::status;
use crate::wire::{Health, Replica};

/// How long an order to an instance may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an instance may take to stop receiving before the order is given up; the failover repeats it.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(400);

/// The delay before an instance that was too busy to answer is asked again.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The protocol by which control reaches instances.
#[derive(Debug, Clone)]
pub enum Protocol {
    /// PostgreSQL's protocol; an instance is promoted by a statement sent to it.
    Pgsql,
    /// Another protocol, with an outside service that promotes instances.
    Outside {
        /// The protocol.
        codec: &'static dyn Codec,
        /// The service.
        promoter: Arc<dyn Promoter>,
    },
}

/// An outside service that promotes instances.
pub trait Promoter: Debug + Send + Sync {
    /// Requests a promotion. `Ok` means that the service accepted the request; the instance may not be primary yet.
    fn promote(
        &self,
        promotion: Promotion,
    ) -> Pin<Box<dyn Future<Output = Result<(), Refusal>> + Send>>;
}

/// A request to an outside service to promote an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// The group.
    pub group: id::Group,
    /// The instance to promote.
    pub instance: id::Instance,
    /// The control process that sends the request.
    pub holder: id::Node,
    /// A fencing token: the term of the control log in which that process is leader. A term has one leader at most,
    /// and a later leader has a greater term.
    pub token: id::Term,
}

/// Why an outside service did not accept a promotion.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The instance isn't running.
    #[error("the instance doesn't run")]
    NotRunning,
    /// The service declined the request, or could not be reached.
    #[error("{0}")]
    Failed(String),
    /// The request was sent, and no answer arrived. The promotion may still happen.
    #[error("{0}")]
    Unanswered(String),
}

/// An order to an instance.
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
    fn order_queues(&self) -> MutexGuard<'_, BTreeMap<id::Instance, Sender<Order>>> {
        self.order_queues.lock().expect("no thread panics while holding this lock")
    }

    /// Starts a task for each instance that has none yet; see [`Shared::watch`]. Looks for such instances only if some
    /// have changed or a task has ended.
    pub(super) fn watch_new(self: &Arc<Self>) {
        let replicas: Vec<Replica> = {
            let core = self.core();
            let version = (core.raft.term(), core.leader.replicas_version());
            let mut watched =
                self.watched.lock().expect("no thread panics while holding this lock");
            if watched.replace(version) == Some(version) {
                return;
            }
            core.leader.replicas().cloned().collect()
        };
        for replica in replicas {
            let mut order_queues = self.order_queues();
            if !order_queues.contains_key(&replica.instance) {
                let (sender, receiver) = unbounded();
                order_queues.insert(replica.instance.clone(), sender);
                smol::spawn(Arc::clone(self).watch(replica, receiver)).detach();
            }
        }
    }

    fn is_watched(&self, replica: &Replica) -> bool {
        self.core().leader.replica(&replica.instance) == Some(replica)
    }

    fn step_failover(&self, replica: &Replica, input: Input<'_>) {
        let now = self.clock.now();
        self.core().leader.step(now, &replica.group, input);
    }

    /// Probes an instance and sends it orders, as long as this process is the leader and the instance announces itself.
    async fn watch(self: Arc<Self>, replica: Replica, orders: Receiver<Order>) {
        let mut transport = self.transport(&replica);
        let mut order = Order::Probe;
        while self.is_watched(&replica) {
            let requested_at = self.clock.now();
            let input = match &mut transport {
                Transport::Pgsql(probe) => run(probe, &replica.instance, requested_at, order).await,
                Transport::Outside(client, promoter) => {
                    self.run_outside(client, &**promoter, &replica, order).await
                }
            };
            if let Some(input) = input {
                self.step_failover(&replica, input);
            }
            let settled = matches!(transport, Transport::Outside(..))
                && self.core().has_active_primary(&replica.group);
            let interval = self.core().leader.probe_interval(settled);
            let received = self.clock.timeout(interval, orders.recv()).await;
            order = received.and_then(Result::ok).unwrap_or(Order::Probe);
        }
        self.order_queues().remove(&replica.instance);
        *self.watched.lock().expect("no thread panics while holding this lock") = None;
    }

    fn transport(&self, replica: &Replica) -> Transport {
        match self.protocol.clone() {
            Protocol::Pgsql => {
                let application = format!("cactushatch/{}/{}", self.me().node, self.domain);
                let (clock, user) = (self.clock.clone(), self.user.clone());
                let probe = Probe::new(clock, user, application, replica.clone());
                Transport::Pgsql(probe.with_upstream(self.credentials.upstream.clone()))
            }
            Protocol::Outside { codec, promoter } => {
                let (clock, replica) = (self.clock.clone(), replica.clone());
                Transport::Outside(Client { clock, codec, replica, connection: None }, promoter)
            }
        }
    }

    /// Carries out an order over a [`Codec`], where an outside service promotes.
    async fn run_outside(
        &self,
        client: &mut Client,
        promoter: &dyn Promoter,
        replica: &Replica,
        order: Order,
    ) -> Option<Input<'static>> {
        let instance = replica.instance.clone();
        match order {
            Order::Probe => Some(client.probe().await),
            Order::Promote(_) => self.promote(replica, promoter).await,
            Order::Pause(term) => client.pause(term).await,
            Order::Resume => {
                client.execute(&statement::Command::Resume).await;
                None
            }
            Order::Follow(_, term) => {
                client.execute(&statement::Command::Demote { term }).await;
                Some(client.probe().await)
            }
            // No command stops writes on such a primary; only the freeze does. A replica must have received the
            // primary's current position before the freeze.
            Order::Demote(_) => Some(match client.status().await {
                Some(status) => Input::Demoted { instance, status },
                None => Input::DemotionRefused { instance },
            }),
        }
    }

    async fn promote(&self, replica: &Replica, promoter: &dyn Promoter) -> Option<Input<'static>> {
        let token = {
            let core = self.core();
            core.is_confirmed_leader(self.clock.now()).then(|| core.raft.term())?
        };
        let promotion = Promotion {
            group: replica.group.clone(),
            instance: replica.instance.clone(),
            holder: self.me().node.clone(),
            token,
        };
        let sent_at = self.clock.now();
        let log = |answer: Option<String>, level| {
            let now = self.clock.now();
            let (group, instance) = (&replica.group, &replica.instance);
            let elapsed_ms = answer.is_some().then(|| millis(now.since(sent_at)));
            let confirmed_ago_ms = self.time_since_confirmation(now, token).map(millis);
            Event::Promotion { group, instance, token, answer, elapsed_ms, confirmed_ago_ms }
                .log(level);
        };
        log(None, Level::Info);
        match promoter.promote(promotion).await {
            Ok(()) => {
                self.metrics.record_promotion_call(PromotionAnswer::Accepted);
                log(Some("accepted".to_owned()), Level::Info);
                None
            }
            Err(refusal) => {
                let answer = match refusal {
                    Refusal::NotRunning | Refusal::Failed(_) => PromotionAnswer::Declined,
                    Refusal::Unanswered(_) => PromotionAnswer::Unanswered,
                };
                self.metrics.record_promotion_call(answer);
                log(Some(refusal.to_string()), Level::Warn);
                let not_running = matches!(refusal, Refusal::NotRunning);
                not_running.then(|| Input::PromotionDeclined { instance: replica.instance.clone() })
            }
        }
    }

    /// Returns the time since this process sent the message in response to which a majority last confirmed it as the
    /// leader in `term`, or `None` if it doesn't lead in that term.
    fn time_since_confirmation(&self, now: Instant, term: id::Term) -> Option<Duration> {
        let core = self.core();
        let contact = core.raft.last_majority_contact(now)?;
        (core.raft.term() == term).then(|| now.since(contact))
    }

    pub(super) fn carry_out(self: &Arc<Self>, output: Output) {
        match output {
            Output::Submit(action) => {
                log_decision(&action);
                match &action {
                    Action::Freeze { .. } => self.metrics.record_freeze(),
                    Action::Promote { .. } | Action::Adopt { .. } => {
                        self.metrics.record_promotion()
                    }
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
        if let Some(orders) = self.order_queues().get(instance) {
            let _ = orders.try_send(order);
        }
    }
}

/// Probes an instance or sends it an order, and returns the input for the group's failover state machine.
async fn run(
    probe: &mut Probe,
    instance: &id::Instance,
    requested_at: Instant,
    order: Order,
) -> Option<Input<'static>> {
    let instance = instance.clone();
    let demotes = matches!(order, Order::Demote(_));
    let sql = match order {
        Order::Probe => {
            let result = probe.status().await;
            let requested_at =
                result.as_ref().map_or(requested_at, |response| response.requested_at);
            let result = result.map(|response| response.status);
            return Some(Input::Probed { instance, requested_at, result });
        }
        Order::Promote(term) => status::promote_sql(term),
        Order::Demote(term) => status::demote_sql(term),
        Order::Follow(primary, term) => status::follow_sql(primary, term),
        // Instances that are promoted by SQL need no pause: they are fenced by the proxies' leases alone.
        Order::Pause(_) | Order::Resume => return None,
    };
    match probe.execute(&sql).await {
        Ok(status) if demotes => Some(Input::Demoted { instance, status }),
        Ok(status) => Some(Input::Probed { instance, requested_at, result: Ok(status) }),
        Err(error) => {
            log::warn!("instance {instance} did not execute {sql:?}: {error}");
            let refused = demotes && matches!(error, pgsql::Error::Server { .. });
            refused.then_some(Input::DemotionRefused { instance })
        }
    }
}

/// The means by which orders reach one instance.
enum Transport {
    /// PostgreSQL's protocol; orders are SQL statements.
    Pgsql(Probe),
    /// A [`Codec`], and an outside service that promotes the instance.
    Outside(Client, Arc<dyn Promoter>),
}

/// A client of one instance over a [`Codec`]. It opens a new connection after a failure.
struct Client {
    clock: Clock,
    codec: &'static dyn Codec,
    replica: Replica,
    connection: Option<Connection>,
}

impl Client {
    /// Asks the instance for its status. If that fails, tries again over a new connection, because the failure of an
    /// open connection says little about the instance.
    async fn probe(&mut self) -> Input<'static> {
        let instance = self.replica.instance.clone();
        let mut requested_at = self.clock.now();
        let mut answer = self.request(&statement::Command::Status, PROBE_TIMEOUT / 2).await;
        if answer.is_err() {
            requested_at = self.clock.now();
            answer = self.request(&statement::Command::Status, PROBE_TIMEOUT / 2).await;
        }
        let result = match answer {
            Ok(Some(status)) => Ok(status),
            // The instance is alive, but too busy to return its status.
            Ok(None) => Err(Health::Fine),
            Err(error) => Err(error.health()),
        };
        Input::Probed { instance, requested_at, result }
    }

    /// Orders the instance to stop receiving, and returns its final status.
    async fn pause(&mut self, term: id::Term) -> Option<Input<'static>> {
        let instance = self.replica.instance.clone();
        let end = self.clock.now() + PAUSE_TIMEOUT;
        while self.clock.now() < end {
            match self.request(&statement::Command::Pause { term }, PAUSE_TIMEOUT).await {
                Ok(Some(status)) => return Some(Input::Paused { instance, status }),
                Ok(None) => self.clock.sleep(BUSY_RETRY_DELAY).await,
                Err(error) => {
                    log::debug!("could not pause instance {instance}: {error}");
                    return None;
                }
            }
        }
        None
    }

    /// Returns the instance's status, or `None` if the instance doesn't return it.
    async fn status(&mut self) -> Option<status::Status> {
        match self.request(&statement::Command::Status, ORDER_TIMEOUT).await {
            Ok(status) => status,
            Err(error) => {
                log::debug!(
                    "could not get the status of instance {}: {error}",
                    self.replica.instance
                );
                None
            }
        }
    }

    async fn execute(&mut self, command: &statement::Command<'_>) {
        if let Err(error) = self.request(command, ORDER_TIMEOUT).await {
            log::warn!("instance {} did not execute {command:?}: {error}", self.replica.instance);
        }
    }

    async fn request(
        &mut self,
        command: &statement::Command<'_>,
        limit: Duration,
    ) -> Result<Option<status::Status>, connection::Error> {
        let deadline = self.clock.now() + limit;
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                Connection::connect(&self.clock, self.codec, &self.replica, None, deadline).await?.0
            }
        };
        let status = connection.status(&self.clock, command, deadline).await?;
        self.connection = Some(connection);
        Ok(status)
    }
}

/// Logs an action that control proposes.
fn log_decision(action: &Action) {
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
        action => return log::info!("control proposes {action:?}"),
    };
    Event::Decision { group, decision, term, instance, start }.log(Level::Info);
}
