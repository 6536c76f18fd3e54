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
    Route, Seal, Stamp,
};

/// Duration of each case.
const LASTS: Duration = Duration::from_millis(300);

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
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
    let sighting = |(group, n)| Observation {
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
        demand: groups.clone().map(demand).collect(),
        sightings: groups.flat_map(|g| (1..=3).map(move |n| (g, n))).map(sighting).collect(),
        draining: false,
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
    }
}

fn frame(body: Body) -> Frame {
    Frame { sender: name("proxy-0001"), incarnation: id::Incarnation(1_790_000_000_000_000), body }
}

/// Runs `work` repeatedly for [`LASTS`] and returns the shortest time of a run, in microseconds.
fn least(mut work: impl FnMut()) -> f64 {
    let begun = Started::now();
    let mut least = Duration::MAX;
    while begun.elapsed() < LASTS {
        let one = Started::now();
        work();
        least = least.min(one.elapsed());
    }
    least.as_secs_f64() * 1e6
}

fn frames() {
    println!("| Frame | Groups in it | Bytes |\n|---|---|---|");
    for groups in [0, 1, 3, 10, 100] {
        let bytes = frame(Body::Heartbeat(heartbeat(0..groups))).encode().expect("a frame").len();
        println!("| heartbeat | {groups} | {bytes} |");
    }
    for groups in [1, 10, 100] {
        let beat = Heartbeat { sightings: Vec::new(), ..heartbeat(0..groups) };
        let bytes = frame(Body::Heartbeat(beat)).encode().expect("a frame").len();
        println!("| heartbeat, demands only | {groups} | {bytes} |");
    }
    for groups in [0, 1, 3, 10, 100] {
        let bytes = frame(Body::Grant(grant(groups))).encode().expect("a frame").len();
        println!("| grant | {groups} | {bytes} |");
    }
}

fn seal() {
    let path = std::env::temp_dir().join(format!("cactushatch-capacity-{}", std::process::id()));
    let ring = format!("1 {}\n", cactushatch::security::random_hex::<32>());
    std::fs::write(&path, ring).expect("a file");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o600);
    std::fs::set_permissions(&path, mode).expect("its mode");
    let seal = Seal::open(&Secret::open(path.clone()).expect("a secret")).expect("a ring");
    std::fs::remove_file(&path).expect("the file is there");
    let plain = frame(Body::Heartbeat(heartbeat(0..0)));
    let sealed = seal.encode(&plain).expect("a frame");
    println!("\n| Work | Microseconds |\n|---|---|");
    println!("| encode a heartbeat | {:.2} |", least(|| drop(black_box(plain.encode()))));
    println!("| encode and seal it | {:.2} |", least(|| drop(black_box(seal.encode(&plain)))));
    println!("| open and decode it | {:.2} |", least(|| drop(black_box(seal.decode(&sealed)))));
}

fn leader(proxies: usize, groups: usize) {
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
    let fleet = Fleet::parse("groups.toml", &text).expect("declarations");
    let before = resident();
    let now = Instant(1_000_000_000);
    let mut leader = Leader::new(now, &state, &fleet);
    let stamp = Stamp { term: id::Term(100), index: id::Index(100_000) };
    let mut beat = heartbeat(0..0);
    for n in 0..proxies {
        beat.sequence = id::Sequence(1);
        let grant = leader.heartbeat(now, (node(n), incarnation), &beat, (&state, stamp));
        assert!(grant.is_some(), "the leader grants no lease, so nothing is measured");
    }
    let bytes = resident().saturating_sub(before);
    beat.table = leader.version();
    let mut sequence = 1;
    let mut at = 0;
    let one = least(|| {
        at = (at + 1) % proxies;
        sequence += 1;
        beat.sequence = id::Sequence(sequence);
        black_box(leader.heartbeat(now, (node(at), incarnation), &beat, (&state, stamp)));
    });
    let tick = least(|| drop(black_box(leader.tick(now, &state, &fleet))));
    let refresh = least(|| leader.refresh_table(now, &state, &fleet));
    println!("| {proxies} | {groups} | {one:.2} | {tick:.0} | {refresh:.0} | {} |", bytes / 1024);
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096
}

fn main() {
    frames();
    seal();
    println!(
        "\n| Proxies | Groups | Heartbeat, us | Tick, us | Refresh, us | Memory, KiB |\n\
         |---|---|---|---|---|---|"
    );
    for (proxies, groups) in
        [(6, 3), (50, 3), (300, 3), (6, 100), (50, 100), (300, 100), (300, 700)]
    {
        leader(proxies, groups);
    }
}
