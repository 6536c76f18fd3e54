//! Tests on separate processes that instances run what clients sent and commit what clients asked for, and nothing else,
//! while proxies and instances are disturbed.

mod lines;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use lines::content;
use lines::ledger::{End, Report, Sent};
use lines::sessions::{Habits, Sessions};
use lines::unrest::{Kind, Unrest};
use lines::{Caller, FRONT_PORT, Fleet, MAX_CONNECTIONS, PROXIES, configuration};

const MANY_PROXIES: [u8; 8] = [11, 12, 13, 14, 15, 16, 17, 18];

/// Fewer than one for each of [`MANY_PROXIES`], so that only some of them serve the group.
const FEW_CONNECTIONS: usize = 8;

/// The time that a statement has.
const TIMEOUT: Duration = Duration::from_millis(800);

/// How long a statement that was held up may take to arrive and run once nothing holds it.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Time that a statement runs at an instance that is slow, and time after which callers leave.
const SLOW: Duration = Duration::from_millis(80);
const LEAVE_DELAY: Duration = Duration::from_millis(10);

/// How long a statement that was sent before its caller left may be on its way.
const TRANSIT: Duration = Duration::from_millis(50);

const HABITS: Habits =
    Habits { sessions: 24, max_pause_ms: 20, leave_percent: 10, long_percent: 0, odd_percent: 0 };

/// How sessions behave whose content may be taken for delimiters and messages.
const ODD_HABITS: Habits = Habits { odd_percent: 40, ..HABITS };

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
    /// Returns what was counted, and what was done.
    fn run(self, subnet: u8) -> (Report, Vec<String>) {
        let mut fleet = Fleet::up_with(subnet, self.proxies, self.max_connections);
        let addresses: Vec<_> =
            self.proxies.iter().map(|vm| fleet.address(*vm, FRONT_PORT)).collect();
        fleet.group.change_conditions(|c| c.drops_cut_lines = self.seed.is_multiple_of(2));
        if self.habits.odd_percent > 0 {
            let mut random = fastrand::Rng::with_seed(self.seed);
            (0..20).for_each(|item| {
                let stored = content::draw(&mut random);
                fleet.group.store(format!("item{item}").as_bytes(), &stored);
            });
            fleet.group.change_conditions(|c| c.odd_signatures = true);
        }
        fleet.group.ledger.clear();
        let sessions = Sessions::start(&fleet.group, &addresses, self.habits, self.seed);
        let record = Unrest::new(&mut fleet, self.kinds, self.seed).run(self.duration);
        sessions.stop();
        std::thread::sleep(SETTLE);
        let report = fleet.group.ledger.compare(TIMEOUT);
        println!("seed {}: {:?}\n  {:?}", self.seed, report.summary(), report.counts);
        (report, record)
    }
}

/// A statement that the proxy refuses ended its transaction silently: the statements after it ran in another one, and
/// `COMMIT` committed these alone.
#[test]
fn a_refused_statement_fails_its_transaction() {
    let fleet = Fleet::up(197);
    let refused = ["EXEC unknown x", "BEGIN", "DEALLOC unknown", "SET", "PREPARE p", "NONSENSE"];
    let mut answers = Vec::new();
    for (number, text) in refused.iter().enumerate() {
        let mut session = fleet.connect(PROXIES[number % 2], "desk");
        session.query_until_done("BEGIN");
        session.query_until_done(&format!("PUT first {number}"));
        let mut query = |text: &str| session.query(text).expect("the session goes on");
        let states = [query(text), query(&format!("PUT second {number}"))].map(|a| a.state);
        answers.push((states, query("COMMIT").result.starts_with("ERR ABORTED")));
    }
    let kept = [fleet.group.values_of("first"), fleet.group.values_of("second")];
    assert!(kept.iter().all(Vec::is_empty), "{kept:?}, {answers:?}");
    let failed = ["E", "E"].map(str::to_owned);
    assert!(answers.iter().all(|answer| *answer == (failed.clone(), true)), "{answers:?}");
}

/// A transaction whose route was removed got no answer, and the next one of its session ran inside it.
#[test]
fn a_transaction_ends_by_the_route_with_which_it_began() {
    let fleet = Fleet::up(198);
    let vm = fleet.proxies[0];
    let mut session = fleet.connect(vm, "desk");
    session.query_until_done("BEGIN");
    session.query_until_done("PUT first x");
    let with_route = configuration(3, 800, MAX_CONNECTIONS);
    let without_route = configuration(2, 800, MAX_CONNECTIONS).replace("desk", "till");
    assert_eq!(fleet.put_configuration_text(&without_route), 200);
    fleet.wait_until("the route is removed", |fleet| {
        fleet.connect(vm, "desk").connect_answer.starts_with("ERR NODB")
    });
    let committed = session.query("COMMIT").expect("the session goes on");
    let next = session.query("PUT second x").expect("the session goes on");
    assert_eq!(fleet.put_configuration_text(&with_route), 200);
    fleet.wait_until("the route is back", |fleet| {
        fleet.connect(vm, "desk").connect_answer.starts_with("READY")
    });
    session.query_until_done("BEGIN");
    session.query_until_done("PUT third x");
    session.query("ROLLBACK").expect("the session goes on");
    let kept = ["first", "second", "third"].map(|item| fleet.group.values_of(item).len());
    let answers = (committed, next.result);
    assert!(answers.0.result.starts_with("DONE signature"), "{answers:?}, {kept:?}");
    assert!(answers.1.starts_with("ERR NODB"), "{answers:?}, {kept:?}");
    assert_eq!(kept, [1, 0, 0], "{answers:?}");
}

/// Statements that wait for an instance, or for one at the proxy to which they are forwarded, were sent after their callers
/// had closed their connections.
#[test]
fn statements_of_callers_that_have_left_are_not_sent() {
    let cases = [(199, &PROXIES[..], MAX_CONNECTIONS), (200, &MANY_PROXIES[..], FEW_CONNECTIONS)];
    let read = cases.map(|(subnet, proxies, max_connections)| {
        let fleet = Fleet::up_with(subnet, proxies, max_connections);
        let serving = fleet.serving();
        let vm = *proxies.iter().find(|vm| !serving.contains(vm)).unwrap_or(&proxies[0]);
        fleet.group.ledger.clear();
        fleet.group.change_conditions(|c| (c.slots, c.duration) = (1, SLOW));
        let mut sessions: Vec<Caller> = (0..24).map(|_| fleet.connect(vm, "desk")).collect();
        for (number, session) in sessions.iter_mut().enumerate() {
            let (id, text) = (format!("left{number}"), "FETCH item");
            let (values, at) = (BTreeMap::new(), Instant::now());
            session.send(&format!("QUERY {id} {text}"));
            let (transaction, text) = (None, text.into());
            let sent = Sent { session: number, transaction, text, values, at, end: None };
            fleet.group.ledger.send(id, sent);
        }
        std::thread::sleep(LEAVE_DELAY);
        drop(sessions);
        (0..24).for_each(|number| fleet.group.ledger.end(format!("left{number}"), End::Left));
        std::thread::sleep(SETTLE);
        fleet.group.ledger.read_after_leaving(TRANSIT)
    });
    assert_eq!(read, [(24, 0); 2]);
}

fn variable(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().expect("a number"))
}

/// Runs series of disturbances from each seed, and asserts that there is no fault, and that each statement is
/// answered if nothing is disturbed. `SOAK_SEED`, `SOAK_SEEDS` and
/// `SOAK_SECONDS` change the runs, and `SOAK_LARGE` is the number of sessions of the runs with many proxies.
fn assert_no_fault(kinds: &[Kind], habits: Habits, seconds: u64, first_subnet: u8) {
    let (first, seeds) = (variable("SOAK_SEED", 1), variable("SOAK_SEEDS", 2));
    let large = variable("SOAK_LARGE", 40) as usize;
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        let is_large = seed.is_multiple_of(2);
        let trial = Trial {
            kinds,
            proxies: if is_large { &MANY_PROXIES } else { &PROXIES },
            max_connections: if is_large { FEW_CONNECTIONS } else { MAX_CONNECTIONS },
            habits: Habits { sessions: if is_large { large } else { 24 }, ..habits },
            duration: Duration::from_secs(variable("SOAK_SECONDS", seconds)),
            seed,
        };
        let (report, record) = trial.run(first_subnet + (seed % 20) as u8);
        let unanswered = report.counts.sent - report.counts.answered;
        let is_calm = kinds.is_empty() && habits.leave_percent == 0;
        if !report.faults.is_empty() || (is_calm && unanswered > 0) {
            let (counts, examples) = (&report.counts, report.examples());
            failed.push(format!("seed {seed}: {counts:?}\n{examples}{}", record.join("\n")));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Series of disturbances that overlap, from a seed.
#[test]
fn instances_run_what_clients_asked_for_under_disturbances() {
    assert_no_fault(&Kind::ALL, HABITS, 20, 201);
}

/// Line feeds, blanks and keywords in content were taken for the ends of lines and for messages.
#[test]
fn instances_run_odd_content_of_clients_unchanged() {
    assert_no_fault(&[], Habits { leave_percent: 0, ..ODD_HABITS }, 5, 222);
}

/// As [`instances_run_odd_content_of_clients_unchanged`], while answers are lost or come twice and processes end.
#[test]
fn instances_run_odd_content_of_clients_under_disturbances() {
    assert_no_fault(&Kind::ALL, ODD_HABITS, 10, 225);
}

/// Runs the scenarios that the environment names, and prints what was counted.
#[test]
#[ignore = "prints the figures of one kind of disturbance"]
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
    if scenario.contains("odd") {
        habits.odd_percent = ODD_HABITS.odd_percent;
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
        let (report, record) = trial.run(variable("SUBNET", 201) as u8);
        if std::env::var_os("SHOW").is_some() {
            println!("{}{}", report.examples(), record.join("\n"));
        }
        assert!(report.faults.is_empty(), "seed {seed}\n{}", report.examples());
    }
}
