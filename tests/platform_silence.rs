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

/// How long the failure of an instance stands at least until a new connection may end it, so that it is reported.
const MIN_REPORT_TIME: Duration = Duration::from_millis(45);

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

/// Guards against a hung primary whose failure isn't reported, since it still accepts connections.
#[test]
fn the_silence_of_a_hung_primary_lasts_until_it_is_reported() {
    let fleet = Fleet::up(207);
    let primary = fleet.group.primary();
    std::thread::sleep(Duration::from_secs(1));
    fleet.group.stop_answering(&primary);
    fleet.wait_until("another instance is promoted", |fleet| fleet.group.primary() != primary);
    for vm in PROXIES {
        let log = std::fs::read_to_string(fleet.log_file(vm)).unwrap();
        let mut silent_at = None;
        for line in log.lines() {
            let Ok(line) = serde_json::from_str::<serde_json::Value>(line) else { continue };
            if line["event"] != "instance" || line["instance"] != *primary {
                continue;
            }
            let at = time_of_day(line["time"].as_str().unwrap());
            if let Some(silent_at) = silent_at.replace(at).filter(|_| line["trouble"] == "Fine") {
                // `None` at midnight.
                let lasted = at.checked_sub(silent_at);
                assert!(lasted.is_none_or(|lasted| lasted >= MIN_REPORT_TIME), "{log}");
            }
        }
        assert!(silent_at.is_some(), "{log}");
    }
}

/// Returns the time since midnight of a time of the form `2026-01-31T23:59:59.999999Z`.
fn time_of_day(text: &str) -> Duration {
    let (_, time) = text.trim_end_matches('Z').split_once('T').unwrap();
    let parts: Vec<f64> = time.split(':').map(|part| part.parse().unwrap()).collect();
    Duration::from_secs_f64(parts[0] * 3600.0 + parts[1] * 60.0 + parts[2])
}
