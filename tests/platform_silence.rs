//! Tests on real processes that a primary stays while the open connections to its group go silent and new ones work.

mod lines;

use std::time::{Duration, Instant};

use lines::load::Load;
use lines::{FRONT_PORT, Fleet, PROXIES};

/// The time limit of a statement in the configuration of the fleet.
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a session may get no answer after its connection went silent: its statement may wait for its time limit, and so
/// may one that was sent on another silent connection before that was known.
const MAX_GAP: Duration = Duration::from_millis(2 * 800 + 400);

/// How long an overloaded instance takes for a command. A ping on an idle connection consists of two.
const SLOW_ANSWER: Duration = Duration::from_millis(120);

/// Guards against a primary that is given up, though new connections to it work, because the open ones went silent.
#[test]
fn silent_connections_to_a_primary_don_t_replace_it() {
    let fleet = Fleet::up(201);
    let session = |n: usize| {
        Load::start(fleet.address(PROXIES[n % PROXIES.len()], FRONT_PORT), format!("s{n}"))
    };
    let sessions: Vec<Load> = (0..8).map(session).collect();
    let primary = fleet.group.primary();
    let mut silences = Vec::new();
    for _ in 0..3 {
        std::thread::sleep(Duration::from_secs(2));
        fleet.group.silence_connections();
        silences.push(Instant::now());
    }
    std::thread::sleep(Duration::from_secs(4));
    let logs = fleet.logs();
    let freezes = logs.lines().filter(|line| line.contains("\"decision\":\"freeze\"")).count();
    let mut gaps = Vec::new();
    for session in sessions {
        let times: Vec<Instant> = session.stop_with_times().into_iter().map(|(at, _)| at).collect();
        for silence in &silences {
            let next = times.iter().find(|at| **at > *silence + STATEMENT_TIMEOUT / 100);
            gaps.push(next.map_or(Duration::MAX, |at| *at - *silence));
        }
    }
    println!("{gaps:?}, {freezes} freezes");
    assert_eq!(freezes, 0, "{logs}");
    assert_eq!(fleet.group.primary(), primary, "{logs}");
    assert!(gaps.iter().all(|gap| *gap <= MAX_GAP), "{gaps:?}");
}

/// Guards against instances that are slow under load and lose their idle connections, so that all proxies open new ones.
#[test]
fn slow_answers_to_pings_cost_no_connection() {
    let fleet = Fleet::up(206);
    let sessions = PROXIES.map(|vm| Load::start(fleet.address(vm, FRONT_PORT), format!("s{vm}")));
    std::thread::sleep(Duration::from_secs(1));
    sessions.into_iter().for_each(|session| drop(session.stop()));
    fleet.group.change_conditions(|conditions| conditions.delay = SLOW_ANSWER);
    std::thread::sleep(Duration::from_secs(1));
    let before = fleet.group.opened_connections();
    std::thread::sleep(Duration::from_secs(4));
    let opened = fleet.group.opened_connections() - before;
    println!("{opened} connections");
    assert_eq!(opened, 0, "{}", fleet.logs());
}
