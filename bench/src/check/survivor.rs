//! Reads what the instances hold in the end, past the proxies.

use std::net::SocketAddr;
use std::time::Duration;

use cactushatch::clock::Clock;
use cactushatch::pgsql::Row;
use smol::Timer;

use super::{Rule, Violation};
use crate::fleet::{Fleet, query};
use crate::history::{Database, Item, Survivors};

/// How long replicas get to come level with their primary.
const PATIENCE: Duration = Duration::from_secs(10);

/// How long to wait between two looks at a group.
const PAUSE: Duration = Duration::from_millis(100);

/// Reads all groups; also returns where instances of one group differ.
pub async fn read(fleet: &Fleet) -> anyhow::Result<(Survivors, Vec<Violation>)> {
    let mut survivors = Survivors::new();
    let mut violations = Vec::new();
    for group in fleet.groups() {
        let (primary, level) = settle(fleet, &group).await?;
        let database = database(primary).await?;
        for (name, address) in level {
            if self::database(address).await? != database {
                let seen = format!("{name} holds other data than its primary");
                violations.push(Violation::new(Rule::Diverged, seen));
            }
        }
        survivors.insert(group, database);
    }
    Ok((survivors, violations))
}

/// Waits until the replicas that answer have come level; returns the primary and those replicas.
async fn settle(
    fleet: &Fleet,
    group: &str,
) -> anyhow::Result<(SocketAddr, Vec<(String, SocketAddr)>)> {
    let clock = Clock::system();
    let deadline = clock.now() + PATIENCE;
    loop {
        let primary = fleet.primary(group);
        if primary.is_err() && clock.now() < deadline {
            Timer::after(PAUSE).await;
            continue;
        }
        let primary = primary?;
        let address = fleet.upstreams[&primary];
        let at = fleet.report(&primary)?;
        let mut level = Vec::new();
        let mut behind = false;
        for (name, address) in fleet.instances(group).filter(|(name, _)| **name != primary) {
            match fleet.report(name) {
                Ok(status) if status.term == at.term && status.position >= at.position => {
                    level.push((name.clone(), address));
                }
                Ok(_) => behind = true,
                Err(_) => {}
            }
        }
        if !behind || clock.now() >= deadline {
            return Ok((address, level));
        }
        Timer::after(PAUSE).await;
    }
}

async fn database(address: SocketAddr) -> anyhow::Result<Database> {
    let text = |row: &Row, at: usize| row.get(at).cloned().flatten().unwrap_or_default();
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
