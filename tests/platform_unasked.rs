//! Tests on separate processes that instances run what clients sent and commit what clients asked for, and nothing else,
//! while proxies and instances are disturbed.

mod lines;

use std::time::Duration;

use lines::ledger::{Fault, Report};
use lines::sessions::{Habits, Sessions};
use lines::unrest::{Kind, Unrest};
use lines::{FRONT_PORT, Fleet, MAX_CONNECTIONS, PROXIES};

const MANY_PROXIES: [u8; 8] = [11, 12, 13, 14, 15, 16, 17, 18];

/// Fewer than one for each of [`MANY_PROXIES`], so that only some of them serve the group.
const FEW_CONNECTIONS: usize = 8;

/// The time that a statement has.
const TIMEOUT: Duration = Duration::from_millis(800);

/// How long a statement that was held up may take to arrive and run once nothing holds it.
const SETTLE: Duration = Duration::from_millis(1_500);

const HABITS: Habits =
    Habits { sessions: 24, max_pause_ms: 20, leave_percent: 10, long_percent: 0 };

/// A run under disturbances.
#[derive(Debug, Clone, Copy)]
struct Trial<'a> {
    kinds: &'a [Kind],
    proxies: &'a [u8],
    max_connections: usize,
    habits: Habits,
    duration: Duration,
    seed: u64,
}

impl Trial<'_> {
    fn run(self, subnet: u8) -> Report {
        let mut fleet = Fleet::up_with(subnet, self.proxies, self.max_connections);
        let addresses: Vec<_> =
            self.proxies.iter().map(|vm| fleet.address(*vm, FRONT_PORT)).collect();
        fleet.group.change_conditions(|c| c.drops_cut_lines = self.seed.is_multiple_of(2));
        fleet.group.ledger.clear();
        let sessions = Sessions::start(&fleet.group, &addresses, self.habits, self.seed);
        let record = Unrest::new(&mut fleet, self.kinds, self.seed).run(self.duration);
        sessions.stop();
        std::thread::sleep(SETTLE);
        let report = fleet.group.ledger.compare(TIMEOUT);
        println!(
            "{:?} seed {}: {:?}\n  {:?}",
            self.kinds,
            self.seed,
            report.summary(),
            report.counts
        );
        if !report.faults.is_empty() && std::env::var_os("SHOW").is_some() {
            println!("{}{}", report.examples(), record.join("\n"));
        }
        report
    }
}

fn variable(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().expect("a number"))
}

/// Runs the scenarios that the environment names, and prints what was counted.
#[test]
#[ignore = "prints figures"]
fn figures() {
    let scenario = std::env::var("SCENARIO").unwrap_or_default();
    let few = scenario.contains("many");
    let kinds: Vec<Kind> = Kind::ALL
        .into_iter()
        .filter(|kind| scenario.contains(&format!("{kind:?}")) || scenario.contains("All"))
        .collect();
    let mut habits = HABITS;
    habits.sessions = variable("SESSIONS", 24) as usize;
    if scenario.contains("leave") {
        habits.leave_percent = 40;
    }
    if scenario.contains("long") {
        habits.long_percent = 4;
    }
    let (first, seeds) = (variable("SEED", 1), variable("SEEDS", 2));
    for seed in first..first + seeds {
        let trial = Trial {
            kinds: &kinds,
            proxies: if few { &MANY_PROXIES } else { &PROXIES },
            max_connections: if few { FEW_CONNECTIONS } else { MAX_CONNECTIONS },
            habits,
            duration: Duration::from_secs(variable("SECONDS", 10)),
            seed,
        };
        let _ = trial.run(variable("SUBNET", 180) as u8).count(Fault::UnknownId);
    }
}
