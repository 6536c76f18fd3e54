//! Shares the connections of all groups between the proxies, and chooses the proxies that serve each group.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Leader, Proxy};
use crate::clock::Instant;
use crate::config::Fleet;
use crate::control::budget::{
    CONTROL_CONNECTIONS, Participant, SPARE_CONNECTIONS, WATCH_CONNECTIONS,
};
use crate::control::lease::UNLEASED_RETENTION_WAIT;
use crate::control::serving::{self, Candidate, Choice};
use crate::control::state::State;
use crate::id;
use crate::wire::{Server, Serving};

/// The interval at which connection shares are updated.
const RESHARE_INTERVAL: Duration = Duration::from_millis(200);

impl Leader {
    /// Updates the connection shares of all groups.
    pub(super) fn reshare(&mut self, now: Instant, state: &State, fleet: &Fleet) {
        if self.reshared_at.is_some_and(|at| now.since(at) < RESHARE_INTERVAL) {
            return;
        }
        self.reshared_at = Some(now);
        let inherited = self.leases.has_inherited(now);
        let mut candidates = self.candidates(now, state);
        for (name, group) in &fleet.group {
            // If an outside service promotes instances, proxies watch them over their shared connections, so that no
            // connections are reserved for it.
            let watching = WATCH_CONNECTIONS * state.nodes.len() as u32;
            let reserved = if group.promoted_outside { 0 } else { watching };
            let available = group.connections.saturating_sub(reserved);
            let groups = fleet.group.len();
            let decided = self.choose_servers(now, name, (available, groups), &mut candidates);
            let Some(choice) = self.serving.get(name).filter(|_| decided) else {
                continue;
            };
            let participant = |(node, (incarnation, _)): (&id::Node, &(id::Incarnation, _))| {
                let live = self.leases.may_hold(now, &(node.clone(), *incarnation));
                let unleased = now - UNLEASED_RETENTION_WAIT;
                let retains = self.leases.may_hold(unleased, &(node.clone(), *incarnation));
                Participant { node: node.clone(), live, serves: choice.includes(node), retains }
            };
            let participants: Vec<Participant> = state.nodes.iter().map(participant).collect();
            let budget = self.budgets.entry(name.clone()).or_default();
            let connections = group.connections + watching - reserved;
            budget.reshare(connections, &participants, inherited, self.version + 1);
            self.refresh_group(name.clone(), state);
        }
    }

    /// Returns the proxies that may serve groups, each with the number of groups that it serves now.
    fn candidates(&self, now: Instant, state: &State) -> Vec<Candidate> {
        let mut served: BTreeMap<&id::Node, usize> = BTreeMap::new();
        for choice in self.serving.values() {
            choice.listed().for_each(|node| *served.entry(node).or_default() += 1);
        }
        let candidate = |(node, (incarnation, domain)): (&id::Node, &(_, id::Domain))| {
            let reported = self.proxies.get(node).filter(|proxy| proxy.incarnation == *incarnation);
            let live = self.leases.may_hold(now, &(node.clone(), *incarnation));
            Candidate {
                node: node.clone(),
                domain: domain.clone(),
                live: live && reported.is_some_and(|proxy| !proxy.draining),
                holds_share: false,
                groups: served.get(node).copied().unwrap_or(0),
            }
        };
        state.nodes.iter().map(candidate).collect()
    }

    /// Updates which proxies serve a group, and the numbers of groups of the candidates. Returns false as long as that
    /// can't be decided: while proxies that have not reported may hold connections that an earlier leader gave them, a
    /// new choice could give these away twice.
    fn choose_servers(
        &mut self,
        now: Instant,
        name: &id::Group,
        (connections, groups): (u32, usize),
        candidates: &mut [Candidate],
    ) -> bool {
        let budget = self.budgets.entry(name.clone()).or_default();
        let available = connections.saturating_sub(CONTROL_CONNECTIONS + SPARE_CONNECTIONS);
        let can_forward = |node| self.proxies.get(node).is_none_or(|proxy: &Proxy| proxy.forwards);
        let choice = self.serving.entry(name.clone()).or_default();
        if !candidates.iter().all(|candidate| can_forward(&candidate.node)) {
            *choice = Choice::Every;
            return true;
        }
        if !serving::is_served_by_all(candidates.len(), available)
            && *choice == Choice::Undecided
            && self.leases.has_inherited(now)
            && candidates.iter().any(|candidate| !budget.has_reported(&candidate.node))
        {
            return false;
        }
        for candidate in candidates.iter_mut() {
            candidate.holds_share = budget.holds_share(&candidate.node);
            candidate.groups -= usize::from(choice.lists(&candidate.node));
        }
        choice.update(name, candidates, available, groups);
        for candidate in candidates.iter_mut() {
            candidate.groups += usize::from(choice.lists(&candidate.node));
        }
        *choice != Choice::Undecided
    }

    /// Returns the proxies that serve a group, with their addresses.
    pub(super) fn serving(&self, group: &id::Group, state: &State) -> Serving {
        match self.serving.get(group) {
            None | Some(Choice::Undecided) => Serving::Undecided,
            Some(Choice::Every) => Serving::Every,
            Some(Choice::Listed(listed)) => {
                let server = |node: &id::Node| {
                    let address = self.proxies.get(node)?.address;
                    let (_, domain) = state.nodes.get(node)?;
                    Some(Server { node: node.clone(), address, domain: domain.clone() })
                };
                Serving::Listed(listed.iter().filter_map(server).collect())
            }
        }
    }
}
