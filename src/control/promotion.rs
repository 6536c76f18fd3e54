//! What a leader does to instances: it asks how they stand and carries out the orders of the groups' machines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use smol::channel::{Receiver, Sender, unbounded};

use super::failover::{Input, Output};
use super::server::Shared;
use super::state::{Action, Command};
use crate::clock::Instant;
use crate::id;
use crate::pgsql;
use crate::upstream::position;
use crate::upstream::probe::Probe;
use crate::wire::Replica;

/// How often an instance is asked.
const INTERVAL: Duration = Duration::from_millis(50);

/// What the connection to an instance is used for besides the regular probe.
#[derive(Debug)]
pub(super) enum Order {
    Probe,
    Promote(id::Term),
    Demote(id::Term),
    Follow(SocketAddr, id::Term),
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

    /// Probes an instance, and carries out the orders to it, for as long as this process leads and the instance
    /// announces itself.
    async fn watch(self: Arc<Self>, replica: Replica, ordered: Receiver<Order>) {
        let application = format!("cactushatch/{}/{}", self.me.node, self.domain);
        let user = self.user.clone();
        let mut probe = Probe::new(self.clock.clone(), user, application, replica.clone())
            .with(self.guard.upstream.clone());
        let mut order = Order::Probe;
        while self.core().leader.replica(&replica.instance) == Some(&replica) {
            let asked = self.clock.now();
            if let Some(input) = run(&mut probe, &replica.instance, asked, order).await {
                let now = self.clock.now();
                self.core().leader.step(now, &replica.group, input);
            }
            let waited = self.clock.timeout(INTERVAL, ordered.recv()).await;
            order = waited.and_then(Result::ok).unwrap_or(Order::Probe);
        }
        self.probes().remove(&replica.instance);
    }

    pub(super) fn carry_out(self: &Arc<Self>, output: Output) {
        match output {
            Output::Submit(action) => {
                log::info!("control decides {action:?}");
                match &action {
                    Action::Freeze { .. } => self.metrics.frozen(),
                    Action::Promote { .. } => self.metrics.promoted(),
                    _ => {}
                }
                self.propose(Command { origin: None, action });
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
