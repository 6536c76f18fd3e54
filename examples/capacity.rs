//! Measures the costs per group and proxy on which `docs/CAPACITY.md` is based: the size of frames, and the time that
//! the leader's state machine and the seal spend on a heartbeat. It uses one thread and no sockets.
//!
//! Run it with `cargo run --release --example capacity`.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant as Started};

use cactushatch::clock::Instant;
use cactushatch::config::{Fleet, Secret};
use cactushatch::control::leader::Leader;
use cactushatch::control::state::{Action, Command, State};
use cactushatch::id;
use cactushatch::wire::{
    Body, Delta, Demand, Epoch, Frame, Grant, Health, Heartbeat, Observation, Phase, Replica,
    Route, Seal, Serving, Stamp,
};

/// The interval at which the leader updates the shares of connections.
const RESHARE_PERIOD: Duration = Duration::from_millis(200);

/// How long each case is repeated.
const CASE_DURATION: Duration = Duration::from_millis(300);

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid name")
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port as u16))
}

fn replica(group: usize, n: usize) -> Replica {
    Replica {
        group: name(&format!("group-{group:05}")),
        instance: name(&format!("group-{group:05}-{n}")),
        address: address(5432),
        domain: name("region-1-a"),
    }
}

fn heartbeat(groups: std::ops::Range<usize>) -> Heartbeat {
    let observation = |(group, n)| Observation {
        replica: replica(group, n),
        trouble: Health::Fine,
        silent_ms: 10,
        announced_ms: Some(1_000),
    };
    let demand = |group: usize| Demand {
        group: name(&format!("group-{group:05}")),
        wanted: 2,
        open: 2,
        share: 2,
    };
    Heartbeat {
        sequence: id::Sequence(100_000),
        domain: name("region-1-a"),
        address: address(7000),
        admin: address(7001),
        seen: Stamp { term: id::Term(100), index: id::Index(100_000) },
        table: 100_000,
        revision: id::Revision(10_000),
        quota: Vec::new(),
        positions: Vec::new(),
        demand: groups.clone().map(demand).collect(),
        sightings: groups.flat_map(|g| (1..=3).map(move |n| (g, n))).map(observation).collect(),
        draining: false,
        forwards: true,
    }
}

fn grant(groups: usize) -> Grant {
    let route = |group| Route {
        group: name(&format!("group-{group:05}")),
        epoch: Some(Epoch {
            group: name(&format!("group-{group:05}")),
            term: id::Term(3),
            primary: name(&format!("group-{group:05}-1")),
            phase: Phase::Active,
            forks: (1..=3).map(|term| (id::Term(term), id::Position(term << 30))).collect(),
        }),
        replicas: (1..=3).map(|n| replica(group, n)).collect(),
        draining: Vec::new(),
        share: 2,
        serving: Serving::Every,
        peaks: Vec::new(),
    };
    Grant {
        stamp: Stamp { term: id::Term(100), index: id::Index(100_000) },
        incarnation: id::Incarnation(1_790_000_000_000_000),
        sequence: Some(id::Sequence(100_000)),
        lease_ms: 1_200,
        version: 100_001,
        delta: (groups > 0)
            .then(|| Delta { since: 100_000, routes: (0..groups).map(route).collect() }),
        revision: id::Revision(10_000),
        quota: Vec::new(),
        positions: Vec::new(),
    }
}

fn frame(body: Body) -> Frame {
    Frame { sender: name("proxy-0001"), incarnation: id::Incarnation(1_790_000_000_000_000), body }
}

/// Runs `work` repeatedly for [`CASE_DURATION`] and returns the shortest time of a run, in microseconds.
fn shortest_run_us(mut work: impl FnMut()) -> f64 {
    let case_start = Started::now();
    let mut shortest = Duration::MAX;
    while case_start.elapsed() < CASE_DURATION {
        let run_start = Started::now();
        work();
        shortest = shortest.min(run_start.elapsed());
    }
    shortest.as_secs_f64() * 1e6
}

/// Prints the sizes of frames.
fn print_frame_sizes() {
    println!("| Frame | Groups in it | Bytes |\n|---|---|---|");
    for groups in [0, 1, 3, 10, 100] {
        let bytes = frame(Body::Heartbeat(heartbeat(0..groups)))
            .encode()
            .expect("the frame can be encoded")
            .len();
        println!("| heartbeat | {groups} | {bytes} |");
    }
    for groups in [1, 10, 100] {
        let heartbeat = Heartbeat { sightings: Vec::new(), ..heartbeat(0..groups) };
        let bytes =
            frame(Body::Heartbeat(heartbeat)).encode().expect("the frame can be encoded").len();
        println!("| heartbeat, demands only | {groups} | {bytes} |");
    }
    for groups in [0, 1, 3, 10, 100] {
        let bytes =
            frame(Body::Grant(grant(groups))).encode().expect("the frame can be encoded").len();
        println!("| grant | {groups} | {bytes} |");
    }
}

/// Prints the time to encode, seal and decode a heartbeat.
fn print_seal_times() {
    let path = std::env::temp_dir().join(format!("cactushatch-capacity-{}", std::process::id()));
    let ring = format!("1 {}\n", cactushatch::security::random_hex::<32>());
    std::fs::write(&path, ring).expect("the key ring can be written");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o600);
    std::fs::set_permissions(&path, mode).expect("the mode of the key ring can be set");
    let seal =
        Seal::open(&Secret::open(path.clone()).expect("the key ring is accepted as a secret"))
            .expect("the key ring has a key");
    std::fs::remove_file(&path).expect("the key ring can be removed");
    let plain = frame(Body::Heartbeat(heartbeat(0..0)));
    let sealed = seal.encode(&plain).expect("the frame can be encoded");
    println!("\n| Work | Microseconds |\n|---|---|");
    println!("| encode a heartbeat | {:.2} |", shortest_run_us(|| drop(black_box(plain.encode()))));
    println!(
        "| encode and seal it | {:.2} |",
        shortest_run_us(|| drop(black_box(seal.encode(&plain))))
    );
    println!(
        "| open and decode it | {:.2} |",
        shortest_run_us(|| drop(black_box(seal.decode(&sealed))))
    );
}

/// Prints the leader's time and memory for a number of proxies and groups.
fn print_leader_costs(proxies: usize, groups: usize) {
    let node = |n: usize| -> id::Node { name(&format!("proxy-{n:05}")) };
    let incarnation = id::Incarnation(1);
    let mut state = State::default();
    for n in 0..proxies {
        let domain = name("region-1-a");
        let action = Action::Register { node: node(n), incarnation, domain };
        state.apply(&Command { origin: None, action });
    }
    let mut text = "[class.a]\npriority = 0\ndeadline = \"2s\"\n".to_owned();
    for group in 0..groups {
        text.push_str(&format!(
            "[group.group-{group:05}]\ninstances = 3\nslots = 2\nconnections = 16\n\
             connect_time = \"10ms\"\ndefault_class = \"a\"\n"
        ));
    }
    let fleet = Fleet::parse("groups.toml", &text).expect("valid declarations");
    let before = resident_bytes();
    let now = Instant(1_000_000_000);
    let mut leader = Leader::new(now, &state, &fleet);
    let stamp = Stamp { term: id::Term(100), index: id::Index(100_000) };
    let mut heartbeat = heartbeat(0..0);
    for n in 0..proxies {
        heartbeat.sequence = id::Sequence(1);
        let grant =
            leader.handle_heartbeat(now, (node(n), incarnation), &heartbeat, (&state, stamp));
        assert!(grant.is_some(), "the leader grants no lease, so nothing is measured");
    }
    let bytes = resident_bytes().saturating_sub(before);
    heartbeat.table = leader.version();
    let mut sequence = 1;
    let mut number = 0;
    let heartbeat_us = shortest_run_us(|| {
        number = (number + 1) % proxies;
        sequence += 1;
        heartbeat.sequence = id::Sequence(sequence);
        black_box(leader.handle_heartbeat(
            now,
            (node(number), incarnation),
            &heartbeat,
            (&state, stamp),
        ));
    });
    let tick_us = shortest_run_us(|| drop(black_box(leader.tick(now, &state, &fleet))));
    let refresh_us = shortest_run_us(|| leader.refresh_table(now, &state, &fleet));
    let mut reshares: Vec<Duration> = Vec::new();
    let mut later = now;
    let case_start = Started::now();
    while case_start.elapsed() < CASE_DURATION {
        later = later + RESHARE_PERIOD;
        leader.confirm_leadership(later);
        for n in 0..proxies {
            sequence += 1;
            heartbeat.sequence = id::Sequence(sequence);
            heartbeat.table = leader.version();
            leader.handle_heartbeat(later, (node(n), incarnation), &heartbeat, (&state, stamp));
        }
        let start = Started::now();
        drop(black_box(leader.tick(later, &state, &fleet)));
        reshares.push(start.elapsed());
    }
    reshares.sort();
    let reshare_us = reshares[reshares.len() / 2].as_secs_f64() * 1e6;
    println!(
        "| {proxies} | {groups} | {heartbeat_us:.2} | {tick_us:.0} | {refresh_us:.0} | {reshare_us:.0} | {} |",
        bytes / 1024
    );
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096
}

fn main() {
    print_frame_sizes();
    print_seal_times();
    println!(
        "\n| Proxies | Groups | Heartbeat, us | Tick, us | Refresh, us | Tick with shares, median, us | Memory, KiB |\n\
         |---|---|---|---|---|---|---|"
    );
    for (proxies, groups) in
        [(6, 3), (50, 3), (300, 3), (6, 100), (50, 100), (300, 100), (300, 700)]
    {
        print_leader_costs(proxies, groups);
    }
}
