//! The orders of the leader to instances. Each instance has a task that carries out its orders one after the other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};

use log::Level;
use smol::channel::{Receiver, Sender, unbounded};

use super::client::Client;
use super::outside::{Accepted, run_outside};
use super::{Authority, Promoter, Protocol};
use crate::clock::Instant;
use crate::control::failover::choice::{self, Choice, Decision};
use crate::control::failover::{Input, Output};
use crate::control::server::Shared;
use crate::control::state::{Action, Claim, Command};
use crate::id;
use crate::pgsql;
use crate::report::Event;
use crate::report::event::{Reading, millis};
use crate::upstream::probe::Probe;
use crate::upstream::status;
use crate::wire::{Replica, Role};

/// The orders that wait for the task of an instance, each with the term of the control log in which it was given.
pub(in crate::control) type Queue = Sender<(id::Term, Order)>;

/// An order to an instance.
#[derive(Debug)]
pub(in crate::control) enum Order {
    Probe,
    Promote(id::Term),
    Demote(id::Term),
    Follow(SocketAddr, id::Term),
    Pause(id::Term),
    Resume,
}

/// The means by which orders reach one instance.
enum Transport {
    /// PostgreSQL's protocol; orders are SQL statements.
    Pgsql(Probe),
    /// A [`crate::statement::Codec`], and an outside service that promotes the instance.
    Outside(Client, Arc<dyn Promoter>),
}

impl Shared {
    fn order_queues(&self) -> MutexGuard<'_, BTreeMap<id::Instance, Queue>> {
        self.order_queues.lock().expect("no thread panics while holding this lock")
    }

    /// Starts a task for each instance that has none yet; see [`Shared::watch`]. Looks for such instances only if some
    /// have changed or a task has ended.
    pub(in crate::control) fn watch_new(self: &Arc<Self>) {
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
    async fn watch(self: Arc<Self>, replica: Replica, orders: Receiver<(id::Term, Order)>) {
        let mut transport = self.transport(&replica);
        let mut accepted = None;
        let mut order = None;
        while self.is_watched(&replica) {
            let (term, next) = order.unwrap_or_else(|| (self.core().raft.term(), Order::Probe));
            match self.run(term, &mut transport, &replica, next, &mut accepted).await {
                Some(Some(input)) => self.step_failover(&replica, input),
                Some(None) => {}
                // The connection may hold an order whose authority has ended.
                None => transport = self.transport(&replica),
            }
            let settled = matches!(transport, Transport::Outside(..))
                && self.core().has_active_primary(&replica.group);
            let interval = self.core().leader.probe_interval(settled);
            let received = self.clock.timeout(interval, orders.recv()).await;
            order = received.and_then(Result::ok);
        }
        self.order_queues().remove(&replica.instance);
        *self.watched.lock().expect("no thread panics while holding this lock") = None;
    }

    /// Carries out an order that was given in `term`. Returns `None` if this process may no longer give it.
    async fn run(
        self: &Arc<Self>,
        term: id::Term,
        transport: &mut Transport,
        replica: &Replica,
        order: Order,
        accepted: &mut Option<Accepted>,
    ) -> Option<Option<Input<'static>>> {
        let authority = Authority::new(Arc::clone(self), term);
        if let (Transport::Outside(_, promoter), Order::Promote(promotion)) = (&*transport, &order)
        {
            let claim = Claim { term: *promotion, primary: replica.instance.clone() };
            let authority = authority.with_claim(replica.group.clone(), claim);
            return Some(self.promote(authority, replica, &**promoter, accepted).await);
        }
        let is_probe = matches!(order, Order::Probe);
        let requested_at = self.clock.now();
        let since = self.core().leader.readings_since(&replica.group);
        let run = async {
            match transport {
                Transport::Outside(client, _) => run_outside(client, replica, order, since).await,
                Transport::Pgsql(probe) => {
                    run_pgsql(probe, &replica.instance, requested_at, order).await
                }
            }
        };
        // A probe has no effect that could come too late.
        if is_probe { Some(run.await) } else { authority.run(run).await }
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
                let tally = self.metrics.upstream();
                Transport::Outside(Client::new(clock, codec, replica, tally), promoter)
            }
        }
    }

    /// Carries out what this process decided as the leader in `term` of the control log.
    pub(in crate::control) fn carry_out(self: &Arc<Self>, term: id::Term, output: Output) {
        match output {
            Output::Submit(action) => {
                if !self.is_understood(&action) {
                    return log::warn!(
                        "a voter of an earlier release would refuse {action:?}, upgrade it"
                    );
                }
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
            Output::Probe { instance } => self.order(term, &instance, Order::Probe),
            Output::Pause { instance, term: pause } => {
                self.order(term, &instance, Order::Pause(pause))
            }
            Output::Resume { instance } => self.order(term, &instance, Order::Resume),
            Output::Promote { instance, term: promotion } => {
                self.order(term, &instance, Order::Promote(promotion))
            }
            Output::Demote { instance, term: demotion } => {
                self.order(term, &instance, Order::Demote(demotion))
            }
            Output::Follow { instance, primary, term: epoch } => {
                let address = self.core().leader.replica(&primary).map(|replica| replica.address);
                if let Some(address) = address {
                    self.order(term, &instance, Order::Follow(address, epoch));
                }
            }
            Output::ReportChoice(choice) => log_choice(&choice),
            Output::ReportUnordered { group, instance, term, epoch, primary } => {
                self.metrics.record_unordered_promotion();
                let (group, instance, primary) = (&group, &instance, &primary);
                let event = Event::UnorderedPromotion { group, instance, term, epoch, primary };
                event.log(Level::Error);
            }
            Output::ReportMissing { group, instance, term, held, acknowledged, is_accepted } => {
                if is_accepted {
                    self.metrics.record_missing_writes();
                }
                let (group, instance) = (&group, &instance);
                let event =
                    Event::MissingWrites { group, instance, term, held, acknowledged, is_accepted };
                event.log(if is_accepted { Level::Error } else { Level::Warn });
            }
        }
    }

    /// Returns whether all voters in touch apply an action alike. Earlier releases refuse to put an epoch in force again once a
    /// later term is reserved, and the replicated states would differ.
    fn is_understood(&self, action: &Action) -> bool {
        let Action::Thaw { group, term } = action else {
            return true;
        };
        let core = self.core();
        let is_reserved = core.state.claims.get(group).is_some_and(|claim| claim.term > *term);
        !is_reserved || self.are_voters_current(&core)
    }

    fn order(&self, term: id::Term, instance: &id::Instance, order: Order) {
        if let Some(orders) = self.order_queues().get(instance) {
            let _ = orders.try_send((term, order));
        }
    }
}

/// Probes an instance or sends it an order, and returns the input for the group's failover state machine.
async fn run_pgsql(
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

/// Logs what an instance was chosen from.
fn log_choice(choice: &Choice) {
    let (decision, instance, term, level) = match &choice.decision {
        Decision::Claim(instance, term) => ("claim", Some(instance), Some(*term), Level::Info),
        Decision::Thaw => ("thaw", None, None, Level::Info),
        Decision::None => ("none", None, None, Level::Warn),
    };
    let event = Event::Choice {
        group: &choice.group,
        decision,
        instance,
        term,
        epoch: choice.epoch,
        fenced_ms: choice.fenced_for.map(millis),
        readings: choice.readings.iter().map(loggable).collect(),
        unanswered: &choice.unanswered,
    };
    event.log(level);
}

fn loggable(reading: &choice::Reading) -> Reading<'_> {
    Reading {
        instance: &reading.instance,
        role: match reading.status.role {
            Role::Primary => "primary",
            Role::Replica => "replica",
        },
        term: reading.status.term,
        received: reading.status.received,
        paused: reading.status.paused,
        is_final: reading.is_final,
        age_ms: reading.age.map(millis),
        connected_ms: reading.connected_for.map(millis),
    }
}

/// Logs an action that control proposes.
fn log_decision(action: &Action) {
    let Some((decision, group, term)) = action.decision() else {
        return log::info!("control proposes {action:?}");
    };
    let (instance, start) = match action {
        Action::Claim { primary, .. } => (Some(primary), None),
        Action::Promote { primary, start, .. } | Action::Adopt { primary, start, .. } => {
            (Some(primary), Some(*start))
        }
        _ => (None, None),
    };
    Event::Decision { group, decision, term, instance, start }.log(Level::Info);
}
