//! Opens connections ahead of declared load peaks, so that callers don't wait for new connections during the peak.

use std::sync::Arc;
use std::time::Duration;

use super::record::unix_seconds;
use super::server::Shared;
use crate::config;

/// How long before a peak its connections are opened.
pub const WARM_UP_LEAD: Duration = Duration::from_secs(60);

/// How often the declared peaks are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

const SECS_PER_DAY: u64 = 24 * 60 * 60;

/// Opens connections ahead of peaks. Never returns.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        shared.clock.sleep(CHECK_INTERVAL).await;
        let now = unix_seconds();
        for (pool, group) in shared.pools() {
            let fleet = shared.fleet();
            let declared = fleet.group.get(&group).map_or(&[][..], |group| &group.peak[..]);
            let daily = declared.iter().any(|peak| is_warm_up_due(now, peak));
            if daily
                || shared.peaks(&group).iter().any(|(at, lasts)| needs_warm_up(now, *at, *lasts))
            {
                let (_, _, share) = pool.demand();
                smol::spawn(async move { pool.warm_up(share).await }).detach();
            }
        }
    }
}

/// Returns whether a daily peak begins soon or is under way at `now`, in seconds since 1970.
pub fn is_warm_up_due(now: u64, peak: &config::Peak) -> bool {
    let today = now - now % SECS_PER_DAY + u64::from(peak.at.minutes()) * 60;
    let lasts = peak.lasts.0.as_secs();
    [today, today + SECS_PER_DAY, today.saturating_sub(SECS_PER_DAY)]
        .iter()
        .any(|at| needs_warm_up(now, *at, lasts))
}

fn needs_warm_up(now: u64, at: u64, lasts: u64) -> bool {
    now + WARM_UP_LEAD.as_secs() >= at && now <= at + lasts
}
