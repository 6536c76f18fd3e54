//! Reads the final contents of the instances directly, bypassing the proxies.

use std::net::SocketAddr;
use std::time::Duration;

use cactushatch::clock::Clock;
use cactushatch::pgsql::Row;
use smol::Timer;

use super::{Rule, Violation};
use crate::fleet::{Fleet, query};
use crate::history::{Database, Databases, Item};

/// How long replicas get to catch up with their primary.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(10);

/// How often the positions of a group's instances are read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the primary of each group; also returns a violation for each replica that holds other data.
pub async fn read(fleet: &Fleet) -> anyhow::Result<(Databases, Vec<Violation>)> {
    let mut databases = Databases::new();
    let mut violations = Vec::new();
    for group in fleet.groups() {
        let (primary, caught_up) = wait_for_replicas(fleet, &group).await?;
        let database = read_database(primary).await?;
        for (name, address) in caught_up {
            if read_database(address).await? != database {
                let seen = format!("{name} holds data that differ from its primary's");
                violations.push(Violation::new(Rule::Diverged, seen));
            }
        }
        databases.insert(group, database);
    }
    Ok((databases, violations))
}

/// Waits until the reachable replicas have caught up or the timeout has passed; returns the primary and the replicas
/// that have caught up.
async fn wait_for_replicas(
    fleet: &Fleet,
    group: &str,
) -> anyhow::Result<(SocketAddr, Vec<(String, SocketAddr)>)> {
    let clock = Clock::system();
    let deadline = clock.now() + CATCH_UP_TIMEOUT;
    loop {
        let primary = fleet.primary(group);
        if primary.is_err() && clock.now() < deadline {
            Timer::after(POLL_INTERVAL).await;
            continue;
        }
        let primary = primary?;
        let address = fleet.upstreams[&primary];
        let target = fleet.report(&primary)?;
        let mut caught_up = Vec::new();
        let mut any_behind = false;
        for (name, address) in fleet.instances(group).filter(|(name, _)| **name != primary) {
            match fleet.report(name) {
                Ok(status) if status.term == target.term && status.position >= target.position => {
                    caught_up.push((name.clone(), address));
                }
                Ok(_) => any_behind = true,
                Err(_) => {}
            }
        }
        if !any_behind || clock.now() >= deadline {
            return Ok((address, caught_up));
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn read_database(address: SocketAddr) -> anyhow::Result<Database> {
    let text = |row: &Row, column: usize| row.get(column).cloned().flatten().unwrap_or_default();
    let entries = query(address, "SELECT session, entry FROM entry ORDER BY rowid").await?;
    let keys = query(address, "SELECT effect FROM effect ORDER BY rowid").await?;
    let items = query(address, "SELECT list, tx, part FROM item ORDER BY rowid").await?;
    let mut database = Database {
        entries: entries.iter().map(|row| (text(row, 0), text(row, 1))).collect(),
        keys: keys.iter().map(|row| text(row, 0)).collect(),
        items: Vec::new(),
    };
    for row in &items {
        let item =
            Item { list: text(row, 0).parse()?, tx: text(row, 1), part: text(row, 2).parse()? };
        database.items.push(item);
    }
    Ok(database)
}
