//! What a leader does to instances: it asks how they stand and carries out the orders of the groups' machines.

use std::sync::Arc;

use super::failover::{Input, Output};
use super::probe::{self, Probe};
use super::server::Shared;
use super::state::{Action, Command};
use crate::id;
use crate::upstream::position;
use crate::wire::Replica;

impl Shared {
    /// Starts a probe for each instance that has none yet.
    pub(super) fn probe_new(self: &Arc<Self>) {
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
        let application = format!("cactushatch/{}/{}", self.me.node, self.domain);
        Probe::new(self.clock.clone(), self.user.clone(), application, replica)
    }

    /// Probes an instance for as long as this reign lasts.
    async fn watch(self: Arc<Self>, replica: Replica) {
        let reign = self.core().raft.led_since();
        let mut probe = self.probe(replica.clone());
        while reign.is_some() && self.core().raft.led_since() == reign {
            let seen = probe.status().await;
            let now = self.clock.now();
            if let Some(group) = self.core().leader.groups.get_mut(&replica.group) {
                group.step(now, Input::Probed { instance: replica.instance.clone(), seen });
            }
            self.clock.sleep(probe::INTERVAL).await;
        }
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
}
