//! Readiness check of a fleet: a write and a read through every proxy in every group.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use cactushatch::clock::Clock;
use cactushatch::pgsql::Client;

/// Timeout of connecting and of each query.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Fails unless every proxy of the fleet in `dir` serves a write and a read in every group.
pub fn check(dir: &Path, groups: &[&str]) -> anyhow::Result<()> {
    let proxies = std::fs::read_to_string(dir.join("proxies"))?;
    let clock = Clock::system();
    for proxy in proxies.lines() {
        let address: SocketAddr = proxy
            .parse()
            .with_context(|| format!("{proxy:?} in proxies is not a socket address"))?;
        for group in groups {
            smol::block_on(check_group(&clock, address, group))?;
        }
    }
    Ok(())
}

async fn check_group(clock: &Clock, address: SocketAddr, group: &str) -> anyhow::Result<()> {
    let parameters = [("user", "ready"), ("database", group)];
    let mut client = Client::connect(clock, address, &parameters, None, REQUEST_TIMEOUT).await?;
    client.query(clock, "CREATE TABLE IF NOT EXISTS ready (id INTEGER)", REQUEST_TIMEOUT).await?;
    client.query(clock, "SELECT count(*) FROM ready", REQUEST_TIMEOUT).await?;
    Ok(())
}
