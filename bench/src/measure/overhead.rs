//! Measures the overhead of a proxy, compared with a direct connection and with a plain router in the same run.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context;
use hdrhistogram::Histogram;

use super::{Figure, Run, with_fleet};
use crate::fleet::Fleet;
use crate::load::{Connection, Reply};
use crate::router;

/// The number of consecutive statements on one route before the next route's turn.
const STATEMENTS_PER_TURN: usize = 50;

/// The number of turns of each route.
const TURNS_PER_ROUTE: usize = 40;

/// The number of concurrent callers in the measurement of throughput.
const THROUGHPUT_CALLERS: usize = 12;

/// The duration of the measurement of throughput on each route.
const THROUGHPUT_TIME: Duration = Duration::from_secs(3);

/// The statement that is timed: a read of a table.
const STATEMENT: &str = "SELECT count(*) FROM ready";

/// Measures the added latency with one caller at a time, and the throughput with many.
pub fn run(_: &Run) -> anyhow::Result<Vec<Figure>> {
    with_fleet("imena", &[], |dir| smol::block_on(measure(dir)))
}

async fn measure(dir: &Path) -> anyhow::Result<Vec<Figure>> {
    let fleet = Fleet::open(dir)?;
    let group = fleet.groups().into_iter().next().context("the fleet has no groups")?;
    let primary = fleet.upstreams[&fleet.primary(&group)?];
    let (routed, _router) = router::spawn(primary, 2).await?;
    let routes = [("direct", primary), ("proxy", fleet.proxies[0]), ("router", routed)];
    let mut figures = latency(&routes, &group).await?;
    let pid = fleet.pid("proxy-1")?;
    for (name, address) in routes {
        let before = cpu_seconds(pid)?;
        let rate = throughput(address, &group).await?;
        figures.push(Figure::new("throughput", "statements/s", name, rate));
        if name == "proxy" {
            let cores_used = (cpu_seconds(pid)? - before) / THROUGHPUT_TIME.as_secs_f64();
            figures.push(Figure::new("proxy_cpu", "cores", "during that throughput", cores_used));
            let per_core = rate / cores_used.max(f64::EPSILON);
            figures.push(Figure::new("statements_per_core", "statements/s", "imena", per_core));
        }
    }
    Ok(figures)
}

async fn latency(routes: &[(&str, SocketAddr)], group: &str) -> anyhow::Result<Vec<Figure>> {
    let mut connections = Vec::new();
    for (name, address) in routes {
        let connection = connect(*address, group).await?;
        connections.push((*name, connection, Histogram::<u64>::new(3)?));
    }
    for _ in 0..TURNS_PER_ROUTE {
        for (_, connection, times) in &mut connections {
            for _ in 0..STATEMENTS_PER_TURN {
                let start = Instant::now();
                run_statement(connection).await?;
                times.record(start.elapsed().as_nanos() as u64)?;
            }
        }
    }
    let direct = connections[0].2.clone();
    let mut figures = Vec::new();
    for (name, _, times) in &connections {
        for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let time = times.value_at_quantile(quantile) as f64 / 1_000.0;
            let added = time - direct.value_at_quantile(quantile) as f64 / 1_000.0;
            let case = format!("{name}, {label}");
            figures.push(Figure::new("latency", "us", &case, time));
            figures.push(Figure::new("added_latency", "us", &case, added));
        }
    }
    Ok(figures)
}

async fn throughput(address: SocketAddr, group: &str) -> anyhow::Result<f64> {
    let mut connections = Vec::new();
    for _ in 0..THROUGHPUT_CALLERS {
        connections.push(connect(address, group).await?);
    }
    let end = Instant::now() + THROUGHPUT_TIME;
    let work = |mut connection: Connection| async move {
        let mut count = 0_u64;
        while Instant::now() < end {
            run_statement(&mut connection).await?;
            count += 1;
        }
        anyhow::Ok(count)
    };
    let tasks: Vec<_> =
        connections.into_iter().map(|connection| smol::spawn(work(connection))).collect();
    let mut total = 0;
    for task in tasks {
        total += task.await?;
    }
    Ok(total as f64 / THROUGHPUT_TIME.as_secs_f64())
}

async fn connect(address: SocketAddr, group: &str) -> anyhow::Result<Connection> {
    let mut connection = Connection::open_as("bench", address, group, "").await?;
    run_statement(&mut connection).await?;
    Ok(connection)
}

async fn run_statement(connection: &mut Connection) -> anyhow::Result<()> {
    match connection.query(STATEMENT).await? {
        Reply::Done(_) => Ok(()),
        Reply::Failed(response) => anyhow::bail!("{}: {}", response.code, response.message),
    }
}

/// Returns the CPU time that a process has used.
pub fn cpu_seconds(pid: rustix::process::Pid) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", pid.as_raw_nonzero()))?;
    let fields = stat.rsplit_once(')').context("the process's stat file has no name")?.1;
    let mut fields = fields.split_whitespace().skip(11);
    let mut ticks = || -> anyhow::Result<f64> {
        Ok(fields.next().context("the process's stat file has no CPU time")?.parse()?)
    };
    Ok((ticks()? + ticks()?) / rustix::param::clock_ticks_per_second() as f64)
}
