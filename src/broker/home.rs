//! Chooses the proxies on which an account's statements preferably run: its homes among the proxies that serve a group.
//! Without I/O and without state.
//!
//! The typical load has far more accounts (82) than a serving proxy has connections to an instance (5). If the statements
//! of an account arrive at any of the 12 serving proxies, most of them find no connection of their account. So the serving
//! proxies are ordered for each account by rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
//! increase hit rates", 1998), and the first of them are the account's homes. All proxies compute the same order without
//! a message, and when the set changes, only accounts with a home among the changed proxies move. The number of homes is a
//! load bound after Mirrokni, Thorup and Zadimoghaddam ("Consistent hashing with bounded loads", 2018), computed from the
//! declared rates rather than from the present load, which no proxy knows. The result is as long as the list of serving
//! proxies; nothing else is kept.

use std::collections::BTreeSet;

use sha2::{Digest, Sha256};
use smallvec::SmallVec;

use crate::config::Fleet;
use crate::id;
use crate::wire::Server;

/// How many times its part of all declared rates an account's homes may carry together. The excess leaves room for an
/// account's part of one group, which differs from its part of all groups.
const LOAD_FACTOR: f64 = 1.5;

/// The number of homes of an account without a declared rate.
const UNDECLARED_HOMES: usize = 2;

/// The part of a group's statements that is expected of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Share {
    /// The account's part of all declared rates, from 0 to 1.
    Rate(f64),
    /// The account is declared without a rate.
    Unlimited,
    /// The account isn't declared: it stands for all callers without a key.
    Undeclared,
}

/// The sum of all declared rates, which is computed once for each revision.
#[derive(Debug, Default)]
pub struct Rates {
    computed: Option<(id::Revision, f64)>,
}

/// The serving proxies of a group in the order in which an account uses them.
#[derive(Debug, Clone, PartialEq)]
pub struct Homes<'a> {
    order: SmallVec<[&'a Server; 12]>,
    count: usize,
}

impl Rates {
    /// Returns the share of an account by the declarations of this revision.
    pub fn share(&mut self, revision: id::Revision, fleet: &Fleet, account: &id::Account) -> Share {
        let Some(declared) = fleet.account.get(account) else {
            return Share::Undeclared;
        };
        let Some(quota) = declared.quota else {
            return Share::Unlimited;
        };
        let total = match self.computed {
            Some((computed, total)) if computed == revision => total,
            _ => {
                let quotas = fleet.account.values().filter_map(|account| account.quota);
                let total = quotas.map(|quota| quota.rate.per_second()).sum();
                self.computed = Some((revision, total));
                total
            }
        };
        Share::Rate(quota.rate.per_second() / total)
    }
}

/// Returns the serving proxies in the order in which an account uses them. If it has a home for each failure domain, its
/// homes are spread over the domains, and those in `domain`, where its caller is, come first.
pub fn servers<'a>(
    account: &id::Account,
    share: Share,
    servers: &'a [Server],
    domain: &id::Domain,
) -> Homes<'a> {
    let count = count(share, servers.len());
    let mut ranked: SmallVec<[(u64, &Server); 12]> =
        servers.iter().map(|server| (score(account, &server.node), server)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.node.cmp(&b.1.node)));
    let mut order: SmallVec<[&Server; 12]> = ranked.into_iter().map(|(_, server)| server).collect();
    let domains: BTreeSet<&id::Domain> = servers.iter().map(|server| &server.domain).collect();
    if count >= domains.len() {
        let before =
            |at: usize| order[..at].iter().filter(|s| s.domain == order[at].domain).count();
        let mut spread: SmallVec<[(usize, &Server); 12]> =
            (0..order.len()).map(|at| (before(at), order[at])).collect();
        spread.sort_by_key(|(rank, _)| *rank);
        order = spread.into_iter().map(|(_, server)| server).collect();
        order[..count].sort_by_key(|server| server.domain != *domain);
    }
    Homes { order, count }
}

impl<'a> Homes<'a> {
    /// Returns the homes.
    pub fn preferred(&self) -> &[&'a Server] {
        &self.order[..self.count]
    }

    /// Removes the proxies of other failure domains, unless none is left then. While a domain is partitioned from the
    /// others, each attempt to reach a home there would delay a statement.
    pub fn keep_domain(&mut self, domain: &id::Domain) {
        if self.order.iter().any(|server| server.domain == *domain) {
            self.order.retain(|server| server.domain == *domain);
            self.count = self.count.min(self.order.len());
        }
    }

    /// Returns the first usable proxies of the order, as many as there are homes. They are the homes while these are
    /// usable; each that isn't is replaced by the next proxy in the order.
    pub fn usable(&self, is_usable: impl Fn(&Server) -> bool) -> SmallVec<[Server; 4]> {
        let usable = self.order.iter().filter(|server| is_usable(server));
        usable.take(self.count).map(|server| (*server).clone()).collect()
    }
}

/// Returns the number of homes among this many serving proxies.
fn count(share: Share, servers: usize) -> usize {
    let wanted = match share {
        Share::Rate(part) => (LOAD_FACTOR * part * servers as f64).ceil() as usize,
        Share::Unlimited => UNDECLARED_HOMES,
        Share::Undeclared => servers,
    };
    wanted.max(1).min(servers)
}

/// Returns the score of a proxy for an account. It must be the same in all processes, of whatever build.
fn score(account: &id::Account, node: &id::Node) -> u64 {
    let hasher = Sha256::new().chain_update(account.as_str()).chain_update([0]);
    let hash = hasher.chain_update(node.as_str()).finalize();
    hash.iter().take(8).fold(0, |score, byte| score << 8 | u64::from(*byte))
}
