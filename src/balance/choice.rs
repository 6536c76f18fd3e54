//! The choice between servers of the own failure domain and others, by estimated waits.
//!
//! The load pattern: the load of each failure domain rises and falls by half over 15 s, each with its own phase, and all
//! proxies of a domain see the same news. If all of them followed it at once, the load would swing between domains. So
//! each choice is between two servers taken at random (Mitzenmacher, "The power of two choices in randomized load
//! balancing", 2001), and a statement leaves its domain only with a probability that grows with the difference.
//! Memory: none.

use std::time::Duration;

/// The way to another failure domain and back: a few milliseconds on the known deployments.
pub const CROSSING: Duration = Duration::from_millis(3);

/// By how much more than the way another domain must be better. The published waits are spread by about one statement's
/// time.
pub const MARGIN: Duration = Duration::from_millis(10);

/// Waits that differ by less are equal, as they are published in milliseconds.
const RESOLUTION: Duration = Duration::from_millis(1);

/// One in this many statements that wait at home goes to a server of which nothing recent is known.
const EXPLORING_INTERVAL: u8 = 8;

/// Returns the index of one of `waits`: the shorter of two that are taken at random.
pub fn shorter_of_two(waits: &[Duration], random: &mut fastrand::Rng) -> Option<usize> {
    let first = random.usize(..waits.len().max(1));
    let mut second = random.usize(..waits.len().saturating_sub(1).max(1));
    second += usize::from(second >= first);
    let (a, b) = (*waits.get(first)?, waits.get(second).copied());
    Some(if b.is_some_and(|b| b + RESOLUTION <= a) { second } else { first })
}

/// Returns whether a statement leaves its failure domain for a server with a shorter estimated wait. While statements
/// leave, the margin doesn't count, so that the choice doesn't change with each news.
pub fn leaves(own: Duration, other: Duration, leaving: bool, random: &mut fastrand::Rng) -> bool {
    let threshold = other + CROSSING + if leaving { Duration::ZERO } else { MARGIN };
    if own <= threshold {
        return false;
    }
    // At most half, which would even out two domains of which one is idle.
    let share = (own - threshold).as_secs_f64() / (own + other).as_secs_f64() / 2.0;
    random.f64() < share
}

/// Returns whether a statement leaves its failure domain for a server of which nothing recent is known. After a partition
/// nothing is known of any server there, so only a few statements may find out.
pub fn explores(own: Duration, random: &mut fastrand::Rng) -> bool {
    own > CROSSING + MARGIN && random.u8(..EXPLORING_INTERVAL) == 0
}
