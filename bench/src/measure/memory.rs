//! Measures the memory that an idle connection of a caller takes in a proxy.

use anyhow::Context;

use super::{Figure, Run, with_fleet};
use crate::fleet::Fleet;
use crate::load::Connection;

/// The number of idle connections that are opened in each step.
const CONNECTIONS_PER_STEP: usize = 1_000;

/// The number of steps, of which the first is not measured.
const STEP_COUNT: usize = 3;

/// Measures the growth of a proxy's resident memory per idle connection.
pub fn run(_: &Run) -> anyhow::Result<Vec<Figure>> {
    with_fleet("imena", &[], |dir| {
        let fleet = Fleet::open(dir)?;
        let group = fleet.groups().into_iter().next().context("the fleet has no groups")?;
        smol::block_on(async {
            let mut connections = Vec::new();
            // The first step warms up the allocator and is not measured.
            let mut base = 0;
            for step in 0..STEP_COUNT {
                for _ in 0..CONNECTIONS_PER_STEP {
                    connections.push(Connection::open(fleet.proxies[0], &group, "").await?);
                }
                if step == 0 {
                    base = resident_bytes(&fleet)?;
                }
            }
            let grown = resident_bytes(&fleet)?.saturating_sub(base);
            let each = grown as f64 / (CONNECTIONS_PER_STEP * (STEP_COUNT - 1)) as f64;
            Ok(vec![Figure::new("idle_connection", "bytes", "imena", each)])
        })
    })
}

fn resident_bytes(fleet: &Fleet) -> anyhow::Result<usize> {
    let pid = fleet.pid("proxy-1")?.as_raw_nonzero();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    Ok(kilobytes.context("the status of proxy-1 has no VmRSS")?.parse::<usize>()? * 1024)
}
