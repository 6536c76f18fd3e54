//! The broker as a member of the cluster: heartbeats to the control plane, and the grants and configurations that it
//! applies.

use std::net::SocketAddr;
use std::sync::Arc;

use log::Level;
use smol::channel::Receiver;

use super::explain::ms_since_renewal;
use super::identity::Keys;
use super::server::Shared;
use crate::clock::Clock;
use crate::config::Fleet;
use crate::id;
use crate::proxy::heartbeat;
use crate::proxy::shutdown::Stage;
use crate::report::{Event, Metrics};
use crate::security::Credentials;
use crate::wire::{Body, Frame, Grant, Heartbeat};

impl heartbeat::Member for Shared {
    fn clock(&self) -> &Clock {
        &self.clock
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn credentials(&self) -> &Credentials {
        &self.credentials
    }

    fn voters(&self) -> Vec<SocketAddr> {
        let mut voters = self.lock().voters.clone();
        let seeds = self.seeds.lock().expect("no thread panics while holding this lock");
        for seed in seeds.iter() {
            if !voters.contains(seed) {
                voters.push(*seed);
            }
        }
        voters
    }

    fn set_voters(&self, voters: Vec<SocketAddr>) {
        self.lock().voters = voters;
    }

    fn heartbeat_requests(&self) -> &Receiver<()> {
        &self.heartbeat_requests
    }

    fn request_heartbeat(&self) {
        let _ = self.heartbeat_trigger.try_send(());
    }

    fn frame(&self, body: Body) -> Frame {
        Frame { sender: self.node.clone(), incarnation: self.incarnation, body }
    }

    fn is_leased(&self) -> bool {
        self.lock().fence.is_leased(self.clock.now())
    }

    fn heartbeat(&self) -> Heartbeat {
        let now = self.clock.now();
        let mut state = self.lock();
        let sequence = state.fence.record_heartbeat(now);
        if !state.fence.is_leased(now) {
            if state.leased {
                let unheard_ms = ms_since_renewal(now, state.fence.last_renewal());
                Event::Lease { held: false, unheard_ms }.log(Level::Warn);
            }
            // Without a lease this proxy may hold ever fewer connections.
            state.refresh(now, &self.node, &self.domain);
        }
        let (seen, table, _) = state.fence.newest();
        Heartbeat {
            sequence,
            domain: self.domain.clone(),
            address: self.settings.address,
            admin: self.settings.admin,
            seen,
            table,
            revision: state.revision,
            sightings: state.observations(now, sequence),
            demand: state.demand(sequence),
            quota: state.quota.reports(now, sequence),
            draining: self.shutdown.has_reached(Stage::Leaving),
            forwards: true,
            positions: state.position_reports(now, seen.term),
        }
    }

    fn apply_grant(self: &Arc<Self>, mut grant: Grant) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        self.metrics.set_stamp(grant.stamp);
        let is_urgent = grant.incarnation == self.incarnation && {
            let sent = |sequence| state.fence.sent_at(sequence).map(|at| (sequence, at));
            let heartbeat = grant.sequence.and_then(sent);
            let allowances = std::mem::take(&mut grant.quota);
            let granted = state.quota.apply(now, grant.stamp.term, heartbeat, allowances);
            state.apply_tokens(now, granted)
        };
        let answered = grant.sequence.filter(|_| grant.incarnation == self.incarnation);
        let (term, positions) = (grant.stamp.term, std::mem::take(&mut grant.positions));
        let was_complete = state.fence.is_complete();
        let mut changed = state.fence.step(grant);
        changed |= state.fence.is_complete() && !was_complete;
        if let Some(sequence) = answered
            && state.record_answer(now, (term, sequence), &positions)
        {
            // Reads wait for a position.
            self.changed.notify(usize::MAX);
        }
        if !state.leased && state.fence.is_leased(now) {
            let unheard_ms = ms_since_renewal(now, state.fence.last_renewal());
            Event::Lease { held: true, unheard_ms }.log(Level::Info);
            state.instances.values_mut().for_each(|entry| entry.health.reset(now));
            changed = true;
        }
        // A part of a new leader's table renews no lease, so what follows from it can wait for the last part. A share that
        // has shrunk can't: the leader gives it to others once the part is acknowledged.
        let is_due = state.fence.is_complete() || state.has_shrunk_share(now, &self.node);
        if changed && is_due {
            self.apply_changes(now, &mut state);
        }
        changed || is_urgent
    }

    fn revisions(&self) -> (id::Revision, id::Revision) {
        let state = self.lock();
        let (_, _, newest) = state.fence.newest();
        (state.revision, newest)
    }

    fn declarations(&self) -> (id::Revision, Arc<Fleet>) {
        let state = self.lock();
        (state.revision, Arc::clone(&state.fleet))
    }

    fn configure(&self, revision: id::Revision, fleet: Fleet) {
        let now = self.clock.now();
        let mut state = self.lock();
        if revision <= state.revision {
            return;
        }
        let (databases, accounts) = (fleet.database.len(), fleet.account.len());
        let require_account = fleet.require_account;
        Event::Configuration { revision, databases, accounts, require_account }.log(Level::Info);
        self.metrics.set_revision(revision);
        state.revision = revision;
        state.keys = Arc::new(Keys::new(revision, &fleet, now));
        let earlier = std::mem::replace(&mut state.fleet, Arc::new(fleet));
        let fleet = Arc::clone(&state.fleet);
        state.quota.configure(&earlier.account, &fleet.account);
        self.apply_changes(now, &mut state);
        drop(state);
        self.configured.notify(usize::MAX);
        self.request_heartbeat();
    }
}
