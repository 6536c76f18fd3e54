//! Chooses the proxies that serve a group. While there are few proxies and a connection for each, all serve every group by
//! themselves. Otherwise a few proxies hold the connections, and the others forward statements to these. See `docs/DESIGN.md`, "Serving proxies".

use std::collections::{BTreeMap, BTreeSet};

use crate::id;

/// The connections to each instance that a serving proxy gets on average, unless proxies would stay without a group.
/// Statements of transactions are pinned to a connection, so a smaller pool is often blocked by transactions while the
/// pool of another proxy is idle.
pub const POOL_CONNECTIONS: u32 = 5;

/// The least connections to each instance that a serving proxy gets on average.
pub const MIN_POOL_CONNECTIONS: u32 = 3;

/// The greatest number of serving proxies. Each runs at least one statement on each instance, whatever the others run
/// there, so their number must stay below what an instance queues.
pub const MAX_SERVERS: u32 = 12;

/// The least number of serving proxies, so that the loss of one leaves another.
pub const MIN_SERVERS: u32 = 2;

/// A proxy that may serve a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The proxy.
    pub node: id::Node,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether the proxy may hold a lease and isn't shutting down.
    pub live: bool,
    /// Whether the proxy holds a share of the connections.
    pub holds_share: bool,
    /// The number of groups that the proxy is listed for, except for the one that is being decided on.
    pub groups: usize,
}

/// The proxies that serve one group.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Choice {
    /// Not chosen yet.
    #[default]
    Undecided,
    /// Every proxy.
    Every,
    /// These proxies.
    Listed(BTreeSet<id::Node>),
}

impl Choice {
    /// Returns the listed proxies.
    pub fn listed(&self) -> impl Iterator<Item = &id::Node> {
        match self {
            Self::Undecided | Self::Every => None,
            Self::Listed(listed) => Some(listed),
        }
        .into_iter()
        .flatten()
    }

    /// Returns whether a proxy is listed.
    pub fn lists(&self, node: &id::Node) -> bool {
        matches!(self, Self::Listed(listed) if listed.contains(node))
    }

    /// Returns whether a proxy is chosen.
    pub fn includes(&self, node: &id::Node) -> bool {
        match self {
            Self::Undecided => false,
            Self::Every => true,
            Self::Listed(listed) => listed.contains(node),
        }
    }

    /// Returns whether a proxy is chosen, or may have been chosen by an earlier leader.
    pub fn may_include(&self, node: &id::Node) -> bool {
        *self == Self::Undecided || self.includes(node)
    }

    /// Updates the choice for one of `groups` groups. `connections` is the number of connections to each instance that
    /// proxies may hold together.
    ///
    /// Serving proxies are kept as long as they are live, and are spread evenly over the failure domains and over the
    /// groups. At most one proxy is exchanged for a better one per call, so that a group never changes all its proxies at
    /// once.
    ///
    /// The load that this answers is a partition that leaves control with a few proxies. These take over every group, and
    /// without an exchange they would keep all of them when the others are back.
    pub fn update(
        &mut self,
        group: &id::Group,
        candidates: &[Candidate],
        connections: u32,
        groups: usize,
    ) {
        if is_served_by_all(candidates.len(), connections) {
            *self = Self::Every;
            return;
        }
        let live: BTreeMap<&id::Node, &Candidate> =
            candidates.iter().filter(|c| c.live).map(|c| (&c.node, c)).collect();
        if live.is_empty() {
            return;
        }
        let mut listed: BTreeMap<&id::Node, &Candidate> = match self {
            Self::Listed(listed) => {
                live.iter().filter(|(n, _)| listed.contains(**n)).map(|(n, c)| (*n, *c)).collect()
            }
            Self::Undecided | Self::Every => {
                live.iter().filter(|(_, c)| c.holds_share).map(|(n, c)| (*n, *c)).collect()
            }
        };
        let seats = count_seats(candidates.len(), connections, groups).min(live.len() as u32);
        while listed.len() > seats as usize {
            let Some(node) = most_expendable(&listed) else { break };
            listed.remove(node);
        }
        if listed.len() == seats as usize
            && let Some(leaving) = exchange(group, &live, &listed)
        {
            listed.remove(leaving);
        }
        while listed.len() < seats as usize {
            let Some(next) = best_addition(group, &live, &listed) else { break };
            listed.insert(&next.node, next);
        }
        *self = Self::Listed(listed.into_keys().cloned().collect());
    }
}

/// Returns whether all proxies serve a group whose instances have this many connections for proxies.
pub fn is_served_by_all(proxies: usize, connections: u32) -> bool {
    proxies as u32 <= connections.min(MAX_SERVERS)
}

/// Returns the number of proxies that serve a group, if that many are live. All statements of a group go over the links of
/// these proxies. So while there are more proxies than groups need, each group gets more of them, with smaller pools.
fn count_seats(proxies: usize, connections: u32, groups: usize) -> u32 {
    let one_group_each = (proxies / groups.max(1)) as u32;
    let seats =
        one_group_each.min(connections / MIN_POOL_CONNECTIONS).max(connections / POOL_CONNECTIONS);
    seats.clamp(MIN_SERVERS, MAX_SERVERS)
}

fn count_in_domain(listed: &BTreeMap<&id::Node, &Candidate>, domain: &id::Domain) -> usize {
    listed.values().filter(|candidate| candidate.domain == *domain).count()
}

/// Returns the proxy that is to be exchanged for a better one, if there is one: for one of a domain that has fewer, or for
/// one that serves at least two groups fewer. The difference of two keeps proxies from changing back and forth.
fn exchange<'a>(
    group: &id::Group,
    live: &BTreeMap<&'a id::Node, &'a Candidate>,
    listed: &BTreeMap<&'a id::Node, &'a Candidate>,
) -> Option<&'a id::Node> {
    let next = best_addition(group, live, listed)?;
    let expendable = most_expendable(listed)?;
    let after_addition = count_in_domain(listed, &next.domain) + 1;
    if after_addition < count_in_domain(listed, &listed[expendable].domain) {
        return Some(expendable);
    }
    let mut remaining = listed.clone();
    let busiest = *listed.values().max_by_key(|candidate| candidate.groups)?;
    remaining.remove(&busiest.node);
    // The groups of a listed proxy don't count this one, so with equal numbers the newcomer would serve one more.
    let next = best_addition(group, live, &remaining)?;
    (next.groups < busiest.groups).then_some(&busiest.node)
}

/// Returns the proxy to remove first: one of the domain with the most, which serves the most other groups.
fn most_expendable<'a>(listed: &BTreeMap<&'a id::Node, &'a Candidate>) -> Option<&'a id::Node> {
    let rank =
        |candidate: &&&Candidate| (count_in_domain(listed, &candidate.domain), candidate.groups);
    listed.values().max_by_key(rank).map(|candidate| &candidate.node)
}

/// Returns the proxy to add next: one of the domain with the fewest, which serves the fewest other groups. Groups differ
/// in which of several equal proxies they prefer.
fn best_addition<'a>(
    group: &id::Group,
    live: &BTreeMap<&'a id::Node, &'a Candidate>,
    listed: &BTreeMap<&'a id::Node, &'a Candidate>,
) -> Option<&'a Candidate> {
    let rank = |candidate: &&Candidate| {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(group.as_str().as_bytes());
        hasher.update(candidate.node.as_str().as_bytes());
        let in_domain = count_in_domain(listed, &candidate.domain);
        (in_domain, candidate.groups, hasher.finalize())
    };
    let free = live.values().copied().filter(|candidate| !listed.contains_key(&candidate.node));
    free.min_by_key(rank)
}
