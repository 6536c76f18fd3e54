//! Opens connections ahead of declared load peaks, so that callers don't wait for new connections during the peak.

use std::sync::Arc;
use std::time::Duration;

use super::record::seconds;
use super::server::Shared;
use crate::config;

/// How long before a peak its connections are opened.
pub const AHEAD: Duration = Duration::from_secs(60);

/// How often the declared peaks are checked.
const INTERVAL: Duration = Duration::from_secs(1);

const DAY: u64 = 24 * 60 * 60;

/// Opens connections ahead of peaks. Never returns.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        shared.clock.sleep(INTERVAL).await;
        let now = seconds();
        for (pool, group) in shared.pools() {
            let fleet = shared.fleet();
            let declared = fleet.group.get(&group).map_or(&[][..], |group| &group.peak[..]);
            let near = declared.iter().any(|peak| is_near(now, peak));
            if near || shared.peaks(&group).iter().any(|(at, lasts)| is_within(now, *at, *lasts)) {
                let (_, _, share) = pool.demand();
                smol::spawn(async move { pool.warm(share).await }).detach();
            }
        }
    }
}

/// Returns whether a daily peak begins soon or is under way at `now`, in seconds since 1970.
pub fn is_near(now: u64, peak: &config::Peak) -> bool {
    let today = now - now % DAY + u64::from(peak.at.minutes()) * 60;
    let lasts = peak.lasts.0.as_secs();
    [today, today + DAY, today.saturating_sub(DAY)].iter().any(|at| is_within(now, *at, lasts))
}

fn is_within(now: u64, at: u64, lasts: u64) -> bool {
    now + AHEAD.as_secs() >= at && now <= at + lasts
}
