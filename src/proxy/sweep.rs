//! Removes the keys of `once` requests that are over their time: in bounded batches, by one proxy at a time, and only
//! on the primary of an epoch that the proxy's lease covers.

use std::sync::Arc;
use std::time::Duration;

use super::admission::Arrival;
use super::fence::Verdict;
use super::pool::PooledConnection;
use super::record;
use super::server::Shared;
use crate::id;
use crate::pgsql;

/// How often a group's keys are looked at.
const INTERVAL: Duration = Duration::from_secs(5);

/// For how many seconds one proxy claims the removal.
const CLAIM_SECONDS: u64 = 4;

/// How many keys are removed in one transaction.
const BATCH: u32 = 1_000;

/// How long a removal may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The priority of a removal: after all requests.
const PRIORITY: u8 = u8::MAX;

/// Removes expired keys for ever.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        shared.clock.sleep(INTERVAL + INTERVAL.mul_f64(fastrand::f64())).await;
        let fleet = shared.fleet();
        let groups = fleet.group.iter();
        let groups = groups.filter(|(_, group)| group.request.values().any(|request| request.once));
        for (name, _) in groups {
            if let Err(error) = sweep(&shared, name).await {
                log::debug!("expired keys of {name} were not removed: {error}");
            }
        }
    }
}

async fn sweep(shared: &Arc<Shared>, group: &id::Group) -> Result<(), pgsql::Error> {
    let Some(epoch) = shared.epoch(group) else {
        return Ok(());
    };
    if shared.verdict(group, epoch.term) != Verdict::Release || !shared.has_keys(group) {
        return Ok(());
    }
    let Some(pool) = shared.pool(&epoch.primary) else {
        return Ok(());
    };
    let customer = "cactushatch".parse().expect("a valid name");
    let deadline = shared.clock.now() + TIMEOUT;
    let arrival = Arrival { priority: PRIORITY, deadline, customer, caller: 0 };
    let Ok(mut loan) = pool.borrow(arrival).await else {
        return Ok(());
    };
    loan.statement = false;
    let swept = remove(shared, &mut loan).await;
    if swept.is_ok() {
        loan.give_back();
    }
    swept
}

async fn remove(shared: &Shared, loan: &mut PooledConnection) -> Result<(), pgsql::Error> {
    let now = record::seconds();
    let client = &mut loan.connection().client;
    let claim = record::claim_sweep(now, now + CLAIM_SECONDS);
    let claimed = client.query(&shared.clock, &claim, TIMEOUT).await?;
    if !claimed.is_empty() {
        client.query(&shared.clock, &record::sweep(now, BATCH), TIMEOUT).await?;
    }
    Ok(())
}
