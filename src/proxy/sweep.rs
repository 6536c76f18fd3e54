//! Removes expired keys of `once` requests: in bounded batches, by one proxy at a time, and only on the primary of an
//! epoch that the lease of the proxy covers.

use std::sync::Arc;
use std::time::Duration;

use super::admission::Arrival;
use super::fence::Verdict;
use super::pool::PooledConnection;
use super::record;
use super::server::Shared;
use crate::id;
use crate::pgsql;

/// The minimum time between two rounds; a random jitter of up to the same length is added.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// How long the claim of one proxy on the removal is valid.
const CLAIM_SECONDS: u64 = 4;

/// The maximum number of keys removed in one transaction.
const MAX_KEYS_PER_BATCH: u32 = 1_000;

/// The timeout of a removal.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(2);

/// The lowest priority, so that a removal runs after all requests.
const LOWEST_PRIORITY: u8 = u8::MAX;

/// Removes expired keys periodically. Never returns.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        shared.clock.sleep(SWEEP_INTERVAL + SWEEP_INTERVAL.mul_f64(fastrand::f64())).await;
        let fleet = shared.fleet();
        let groups = fleet.group.iter();
        let groups = groups.filter(|(_, group)| group.request.values().any(|request| request.once));
        for (group, _) in groups {
            if let Err(error) = sweep_group(&shared, group).await {
                log::debug!(
                    "failed to remove expired once keys of group {group}, retrying in the next round: {error}"
                );
            }
        }
    }
}

async fn sweep_group(shared: &Arc<Shared>, group: &id::Group) -> Result<(), pgsql::Error> {
    let Some(epoch) = shared.epoch(group) else {
        return Ok(());
    };
    if shared.verdict(group, epoch.term) != Verdict::Release || !shared.has_key_table(group) {
        return Ok(());
    }
    let Some(pool) = shared.pool(&epoch.primary) else {
        return Ok(());
    };
    let account = "cactushatch".parse().expect("a valid name");
    let deadline = shared.clock.now() + REMOVAL_TIMEOUT;
    let arrival = Arrival { priority: LOWEST_PRIORITY, deadline, account, caller: 0 };
    let Ok(mut pooled) = pool.acquire(arrival).await else {
        return Ok(());
    };
    pooled.measures_statement = false;
    let result = remove_expired(shared, &mut pooled).await;
    if result.is_ok() {
        pooled.release();
    }
    result
}

async fn remove_expired(
    shared: &Shared,
    pooled: &mut PooledConnection,
) -> Result<(), pgsql::Error> {
    let now = record::unix_seconds();
    let client = &mut pooled.connection().client;
    let claim = record::claim_sweep(now, now + CLAIM_SECONDS);
    let claimed = client.query(&shared.clock, &claim, REMOVAL_TIMEOUT).await?;
    if !claimed.is_empty() {
        client
            .query(&shared.clock, &record::sweep(now, MAX_KEYS_PER_BATCH), REMOVAL_TIMEOUT)
            .await?;
    }
    Ok(())
}
