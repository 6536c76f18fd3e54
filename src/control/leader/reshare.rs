//! Shares the connections of all groups between the proxies, and chooses the proxies that serve each group.
//!
//! The load pattern: hundreds of proxies join at once, and each changes what is best for hundreds of groups. Deciding on
//! all of them at once takes longer than a heartbeat of control's log may wait. So the groups are decided on in turn, at
//! most [`MAX_PAIRS`] pairs of proxy and group in a tick, and in a fleet at rest only those whose demand has changed.
//! Memory is bounded by one entry for each proxy and one name for each group.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
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

/// The interval at which the proxies are looked at again.
const RESHARE_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of pairs of proxy and group that are decided on in a tick.
const MAX_PAIRS: usize = 2_000;

/// What decisions on all groups depend on.
#[derive(Debug, Default, PartialEq)]
struct Conditions {
    candidates: Vec<Candidate>,
    addresses: Vec<Option<SocketAddr>>,
    participants: Vec<Participant>,
    /// Whether every proxy can forward statements.
    all_forward: bool,
    /// Whether leases of an earlier leader may still be valid.
    inherited: bool,
    revision: id::Revision,
}

/// The proxies as they are in one tick. A lease may be granted between two ticks of a pass, and the share of a proxy that
/// holds one must not be reclaimed.
#[derive(Debug)]
struct Proxies {
    candidates: Vec<Candidate>,
    participants: Vec<Participant>,
    all_forward: bool,
}

/// The pass over the groups that is under way.
#[derive(Debug, Default)]
pub(super) struct Pass {
    looked_at: Option<Instant>,
    conditions: Conditions,
    /// The groups that are still to be decided on.
    remaining: VecDeque<id::Group>,
    last: Option<id::Group>,
    /// The groups whose demand has changed since they were decided on.
    demanding: BTreeSet<id::Group>,
    /// Whether other proxies were chosen for a group in this pass, so that exchanges may have become possible for others.
    has_new_choice: bool,
}

impl Pass {
    /// Records that a group's demand has changed.
    pub(super) fn add(&mut self, group: &id::Group) {
        if !self.demanding.contains(group) {
            self.demanding.insert(group.clone());
        }
    }

    /// Makes the next tick look at the proxies without waiting for the interval.
    pub(super) fn hasten(&mut self) {
        self.looked_at = None;
    }

    /// Starts a pass over all groups, after the one that was decided on last.
    fn restart(&mut self, groups: &BTreeMap<id::Group, crate::config::Group>) {
        let is_after = |name: &&id::Group| self.last.as_ref().is_none_or(|last| *name > last);
        let (after, before): (Vec<_>, Vec<_>) = groups.keys().partition(is_after);
        self.remaining = after.into_iter().chain(before).cloned().collect();
        self.has_new_choice = false;
        self.demanding.clear();
    }
}

impl Leader {
    /// Updates the connection shares of the groups whose turn it is.
    pub(super) fn reshare(&mut self, now: Instant, state: &State, fleet: &Fleet) {
        let mut pass = std::mem::take(&mut self.resharing);
        if pass.looked_at.is_none_or(|at| now.since(at) >= RESHARE_INTERVAL) {
            pass.looked_at = Some(now);
            let conditions = self.conditions(now, state);
            if conditions != pass.conditions {
                pass.conditions = conditions;
                pass.restart(&fleet.group);
            } else if pass.remaining.is_empty() && pass.has_new_choice {
                pass.restart(&fleet.group);
            } else if pass.remaining.is_empty() {
                pass.remaining.extend(std::mem::take(&mut pass.demanding));
            }
        }
        if !pass.remaining.is_empty() {
            let mut proxies = Proxies {
                candidates: self.candidates(&pass.conditions),
                participants: self.participants(now, state),
                all_forward: pass.conditions.all_forward,
            };
            let mut pairs = 0;
            while pairs < MAX_PAIRS
                && let Some(name) = pass.remaining.pop_front()
            {
                pairs += proxies.candidates.len().max(1);
                pass.has_new_choice |= self.reshare_group(now, &name, (state, fleet), &mut proxies);
                pass.last = Some(name);
            }
        }
        self.resharing = pass;
    }

    /// Updates the serving proxies and the shares of one group. Returns whether it has other serving proxies.
    fn reshare_group(
        &mut self,
        now: Instant,
        name: &id::Group,
        (state, fleet): (&State, &Fleet),
        proxies: &mut Proxies,
    ) -> bool {
        let Some(group) = fleet.group.get(name) else {
            return false;
        };
        // If an outside service promotes instances, proxies watch them over their shared connections, so that no
        // connections are reserved for it.
        let watching = WATCH_CONNECTIONS * state.nodes.len() as u32;
        let reserved = if group.promoted_outside { 0 } else { watching };
        let available = group.connections.saturating_sub(reserved);
        let earlier = self.serving.get(name).cloned();
        let limits = (available, fleet.group.len());
        let decided = self.choose_servers(now, name, limits, proxies);
        let Some(choice) = self.serving.get(name).filter(|_| decided) else {
            return false;
        };
        let is_new = earlier.as_ref() != Some(choice);
        for participant in &mut proxies.participants {
            participant.serves = choice.includes(&participant.node);
        }
        let budget = self.budgets.entry(name.clone()).or_default();
        let connections = group.connections + watching - reserved;
        let version = self.version + 1;
        let inherited = self.leases.has_inherited(now);
        budget.reshare(connections, &proxies.participants, inherited, version);
        self.refresh_group(name.clone(), state);
        is_new
    }

    /// Returns what decisions on all groups depend on.
    fn conditions(&self, now: Instant, state: &State) -> Conditions {
        let mut conditions = Conditions {
            all_forward: true,
            inherited: self.leases.has_inherited(now),
            revision: state.revision,
            participants: self.participants(now, state),
            ..Conditions::default()
        };
        for (node, (incarnation, domain)) in &state.nodes {
            let holder = (node.clone(), *incarnation);
            let known = self.proxies.get(node);
            let reported = known.filter(|proxy| proxy.incarnation == *incarnation);
            let live = self.leases.may_hold(now, &holder);
            conditions.all_forward &= known.is_none_or(|proxy: &Proxy| proxy.forwards);
            conditions.addresses.push(known.map(|proxy| proxy.address));
            conditions.candidates.push(Candidate {
                node: node.clone(),
                domain: domain.clone(),
                live: live && reported.is_some_and(|proxy| !proxy.draining),
                holds_share: false,
                groups: 0,
            });
        }
        conditions
    }

    /// Returns the proxies that share connections, none of them as one that serves.
    fn participants(&self, now: Instant, state: &State) -> Vec<Participant> {
        let participant = |(node, (incarnation, _)): (&id::Node, &(id::Incarnation, _))| {
            let holder = (node.clone(), *incarnation);
            let live = self.leases.may_hold(now, &holder);
            let retains = self.leases.may_hold(now - UNLEASED_RETENTION_WAIT, &holder);
            Participant { node: holder.0, live, serves: false, retains }
        };
        state.nodes.iter().map(participant).collect()
    }

    /// Returns the proxies that may serve groups, each with the number of groups that it serves now.
    fn candidates(&self, conditions: &Conditions) -> Vec<Candidate> {
        let mut served: BTreeMap<&id::Node, usize> = BTreeMap::new();
        for choice in self.serving.values() {
            choice.listed().for_each(|node| *served.entry(node).or_default() += 1);
        }
        let candidate = |candidate: &Candidate| Candidate {
            groups: served.get(&candidate.node).copied().unwrap_or(0),
            ..candidate.clone()
        };
        conditions.candidates.iter().map(candidate).collect()
    }

    /// Updates which proxies serve a group, and the numbers of groups of the candidates. Returns false as long as that
    /// can't be decided: while proxies that have not reported may hold connections that an earlier leader gave them, a
    /// new choice could give these away twice.
    fn choose_servers(
        &mut self,
        now: Instant,
        name: &id::Group,
        (connections, groups): (u32, usize),
        Proxies { candidates, all_forward, .. }: &mut Proxies,
    ) -> bool {
        let budget = self.budgets.entry(name.clone()).or_default();
        let available = connections.saturating_sub(CONTROL_CONNECTIONS + SPARE_CONNECTIONS);
        let choice = self.serving.entry(name.clone()).or_default();
        if !*all_forward {
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
