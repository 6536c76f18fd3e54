//! Tests client accounts on separate processes, against instances that record for which account each connection was
//! opened.

mod lines;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactushatch::broker::session::{self, Operation};
use cactushatch::config::KeyDigest;
use cactushatch::id;
use cactushatch::statement::{Access, Answer, Code, Id};
use cactushatch::wire::{Body, Forward, Forwarded, Frame, Identity, Seal, Step, Stream};
use lines::{Caller, Fleet, INTERNAL_PORT, MAX_CONNECTIONS, METRICS_PORT, PROXIES, TIMEOUT};

/// How long a session or transaction may outlast its key: 1 s, and the time until the proxies have the configuration.
const REVOCATION: Duration = Duration::from_secs(5);

/// Declares these accounts with their keys, and the database `menu` open to everyone, and waits until it is in force.
fn declare(fleet: &Fleet, version: u64, accounts: &[(&str, &[&str])]) {
    let tenant = |(name, keys): &(&str, &[&str])| {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!("{{\"Name\":\"{name}\",\"ApiKeys\":[{}]}}", keys.join(","))
    };
    let tenants: Vec<String> = accounts.iter().map(tenant).collect();
    let text = lines::configuration(version, 800, MAX_CONNECTIONS)
        .replacen('{', &format!("{{\"Tenants\":[{}],", tenants.join(",")), 1)
        .replace("\"Host\":\"menu\"", "\"Host\":\"menu\",\"Public\":true");
    assert_eq!(fleet.put_configuration_text(&text), 200, "{text}");
    fleet.wait_until("the proxies have the configuration", |fleet| {
        PROXIES.iter().all(|vm| {
            let log = std::fs::read_to_string(fleet.log_file(*vm)).unwrap();
            let applied = log.lines().filter(|line| line.contains("\"event\":\"configuration\""));
            applied.count() as u64 >= version
        })
    });
}

fn code(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

/// Checks that each statement that names an account in its text arrived on a connection of that account.
fn assert_accounts(fleet: &Fleet) {
    for (account, text) in fleet.group.executed_for() {
        if let Some((_, owner)) = text.split_once("for-") {
            assert_eq!(account, owner, "{text}\n{}", fleet.logs());
        }
    }
}

fn assert_ended(session: &mut Caller, within: Duration) {
    let start = Instant::now();
    assert_eq!(session.line(), None, "the session goes on");
    assert!(start.elapsed() < within, "{:?}", start.elapsed());
}

/// Guards against callers without a key that are served, statements on connections of other accounts, keys that are in
/// force after their withdrawal, and keys that return when a proxy is restarted.
#[test]
fn statements_run_for_the_account_of_their_key_until_it_is_withdrawn() {
    let mut fleet = Fleet::up(107);
    let mut early = fleet.connect_with_key(PROXIES[0], "desk", "key-ann");
    let mut stranger = fleet.connect_with_key(PROXIES[1], "desk", "key-of-nobody");
    early.query_until_done("PUT early for-cactushatch");
    declare(&fleet, 2, &[("ann", &["key-ann", "key-ann2"]), ("ben", &["key-ben"])]);
    // A session from before goes on if its key is known, and ends if not.
    early.query_until_done("PUT early for-ann");
    assert_ended(&mut stranger, REVOCATION);
    let refused = fleet.connect_with_key(PROXIES[0], "desk", "key-of-nobody");
    assert_eq!(code(&refused.connect_answer), "NOAUTH", "{}", refused.connect_answer);
    let mut open = fleet.connect_with_key(PROXIES[0], "menu", "key-of-nobody");
    open.query_until_done("FETCH open for-cactushatch");

    std::thread::scope(|scope| {
        for (vm, account) in [(11, "ann"), (12, "ann"), (11, "ben"), (12, "ben")] {
            let fleet = &fleet;
            scope.spawn(move || {
                let key = format!("key-{account}");
                let mut writer = fleet.connect_with_key(vm, "shift", &key);
                let mut reader = fleet.connect_with_key(vm, "menu", &key);
                for round in 0..20 {
                    writer.query_until_done(&format!("PUT {account}{vm} {round} for-{account}"));
                    reader.query_until_done(&format!("FETCH {account}{vm} for-{account}"));
                    writer.query_until_done("BEGIN");
                    writer.query_until_done(&format!("PUT t{vm} {round} for-{account}"));
                    writer.query_until_done("COMMIT");
                }
            });
        }
    });

    let mut idle = fleet.connect_with_key(PROXIES[0], "desk", "key-ann");
    let mut kept = fleet.connect_with_key(PROXIES[0], "desk", "key-ann2");
    let mut moved = fleet.connect_with_key(PROXIES[1], "desk", "key-ben");
    let mut open_transaction = fleet.connect_with_key(PROXIES[1], "desk", "key-ann");
    idle.query_until_done("PUT idle for-ann");
    moved.query_until_done("PUT moved for-ben");
    open_transaction.query_until_done("BEGIN");
    open_transaction.query_until_done("PUT never for-ann");
    let withdrawn_at = Instant::now();
    declare(&fleet, 3, &[("ann", &["key-ann2", "key-ben"]), ("ben", &[])]);
    assert_ended(&mut idle, REVOCATION);
    kept.query_until_done("PUT kept for-ann");
    moved.query_until_done("PUT moved for-ann");
    loop {
        let answer = open_transaction.query("FETCH never for-ann").expect("an answer");
        if answer.state == "E" {
            break;
        }
        assert!(withdrawn_at.elapsed() < REVOCATION, "{answer:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
    // The second statement is there when the first one is answered, before the idle session ends.
    open_transaction.send("QUERY late1 COMMIT\r\nQUERY late2 PUT never for-ann");
    let answers: Vec<String> = std::iter::from_fn(|| open_transaction.line()).collect();
    let codes: Vec<&str> = answers.iter().map(|answer| code(answer)).collect();
    assert_eq!(codes, ["ABORTED", "I", "NOAUTH", "I"], "{answers:?}");
    assert!(fleet.group.values_of("never").is_empty());

    fleet.signal(PROXIES[0], "-KILL");
    fleet.wait_for_exit(PROXIES[0]);
    fleet.start_process(PROXIES[0], false);
    let start = Instant::now();
    loop {
        // Until the restarted proxy has declarations it refuses with BUSY or doesn't listen yet.
        if fleet.is_ready(PROXIES[0]) {
            break;
        }
        assert!(start.elapsed() < TIMEOUT, "{}", fleet.logs());
        std::thread::sleep(Duration::from_millis(50));
    }
    let refused = fleet.connect_with_key(PROXIES[0], "desk", "key-ann");
    assert_eq!(code(&refused.connect_answer), "NOAUTH", "{}", refused.connect_answer);
    fleet.connect_with_key(PROXIES[0], "desk", "key-ann2").query_until_done("PUT again for-ann");
    assert_accounts(&fleet);

    let logs = fleet.logs();
    let metrics = lines::send_http(fleet.address(PROXIES[0], METRICS_PORT), "GET /metrics", "");
    let metrics = metrics.expect("metrics").1;
    let rejected = "cactushatch_sessions_rejected_total{reason=\"unknown_key\"} 1";
    assert!(metrics.lines().any(|line| line == rejected), "{metrics}");
    for reason in ["unknown_key", "withdrawn_key"] {
        let parts = ["\"event\":\"session\"", "\"was_open\":true", reason];
        let is_logged = logs.lines().any(|line| parts.iter().all(|part| line.contains(part)));
        assert!(is_logged, "{reason}\n{logs}");
    }
    assert!(logs.contains("\"outcome\":\"not_authenticated\""), "{logs}");
    for key in ["key-ann", "key-ann2", "key-ben", "key-of-nobody"] {
        let digest = KeyDigest::of(key).to_string();
        assert!(!logs.contains(key) && !logs.contains(&digest), "{key}\n{logs}");
    }
}

/// Guards against a serving proxy that runs a statement that a proxy with older declarations forwarded under a key that
/// was withdrawn, or on a connection of another account.
#[test]
fn forwarded_statements_are_judged_again_by_newer_declarations() {
    let fleet = Fleet::up(108);
    declare(&fleet, 2, &[("ann", &["key-ann"])]);
    let forward = |key: &str, revision, text: &str| {
        let identity = Identity {
            account: "ann".parse().unwrap(),
            key: Some(KeyDigest::of(key)),
            revision: id::Revision(revision),
        };
        let body = session::Body::Text(text.into());
        let body = Body::Forward(Forward {
            request: Id::new("forwarded"),
            database: "desk".to_owned(),
            identity: Some(identity),
            revision: id::Revision(revision),
            values: BTreeMap::new(),
            last_write: None,
            step: Step::Single(Operation { access: Access::Write, body }),
            continues: false,
            is_stranded: false,
        });
        let sender = "proxy-12".parse().unwrap();
        let frame = Frame { sender, incarnation: id::Incarnation(1), body };
        let address = fleet.address(PROXIES[0], INTERNAL_PORT);
        let start = Instant::now();
        loop {
            let answer = smol::block_on(Stream::request(address, &Seal::default(), &frame));
            match answer.expect("an answer").body {
                // The reply to a statement that takes longer begins with signs of progress.
                Body::Ping => {}
                Body::Forwarded(Forwarded::Handled { reply, .. }) => return reply,
                other => panic!("{other:?}"),
            }
            assert!(start.elapsed() < TIMEOUT);
        }
    };
    let withdrawn = forward("key-old", 1, "PUT old for-ann");
    assert!(
        matches!(&withdrawn[..], [Answer::Failed { code: Code::NotAuthenticated, .. }]),
        "{withdrawn:?}"
    );
    assert!(fleet.group.values_of("old").is_empty());
    for (key, revision, item) in [("key-ann", 1, "older"), ("key-next", 1_000, "newer")] {
        let served = forward(key, revision, &format!("PUT {item} for-ann"));
        assert!(matches!(&served[..], [.., Answer::Done(_)]), "{served:?}");
        assert_eq!(fleet.group.values_of(item), ["for-ann"]);
    }
    assert_accounts(&fleet);
}
