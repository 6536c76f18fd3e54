//! Tests on real processes that a transaction ends by the route with which it began, while routes and services leave and return.

mod lines;

use std::collections::BTreeSet;
use std::time::Duration;

use lines::{Caller, Fleet, configuration};

/// More proxies than connections to an instance, so that some forward their statements.
const MANY_PROXIES: [u8; 8] = [11, 12, 13, 14, 15, 16, 17, 18];
const FEW_CONNECTIONS: usize = 8;

/// What leaves the configuration.
#[derive(Debug, Clone, Copy)]
enum Leaving {
    Route,
    /// The route with its service.
    Service,
    /// The route, and the version with it comes before the one without it has been seen at every proxy.
    RouteAndBack,
}

fn without(text: &str, leaving: Leaving) -> String {
    let mut value: serde_json::Value = serde_json::from_str(text).unwrap();
    match leaving {
        Leaving::Route | Leaving::RouteAndBack => {
            let routes = value["Routes"].as_array_mut().unwrap();
            routes.retain(|route| route["Host"] != "desk");
        }
        Leaving::Service => {
            value["Routes"] = serde_json::json!([]);
            value["Services"] = serde_json::json!([]);
        }
    }
    value.to_string()
}

/// Opens a transaction on the proxy, and runs a statement in it.
fn begin(fleet: &Fleet, vm: u8, statement: &str) -> Caller {
    for _ in 0..50 {
        let mut session = fleet.connect(vm, "desk");
        let begun = session.query("BEGIN").is_some_and(|answer| answer.result.starts_with("DONE"));
        let ran = session.query(statement);
        if begun && ran.is_some_and(|answer| answer.result.starts_with("DONE")) {
            return session;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("no transaction was opened on proxy {vm}");
}

/// Ends a transaction by `ending` after its route has left, and begins another one after the route is back. Returns the
/// answers, and which of the items `first` and `third` were kept.
fn play(fleet: &Fleet, vm: u8, version: u64, leaving: Leaving, ending: &str) -> String {
    let (first, third) = (format!("first{version}"), format!("third{version}"));
    let mut session = begin(fleet, vm, &format!("PUT {first} x"));
    let with_route = configuration(version + 1, 800, FEW_CONNECTIONS);
    let leaves = without(&configuration(version, 800, FEW_CONNECTIONS), leaving);
    assert_eq!(fleet.put_configuration_text(&leaves), 200);
    if !matches!(leaving, Leaving::RouteAndBack) {
        fleet.wait_until("the route is removed", |fleet| {
            fleet.connect(vm, "desk").connect_answer.starts_with("ERR NODB")
        });
    } else {
        assert_eq!(fleet.put_configuration_text(&with_route), 200);
    }
    let place = format!("{leaving:?}, {ending}, proxy {vm}");
    let ended = session.query(ending).unwrap_or_else(|| panic!("{place}: no answer"));
    let is_final = ending == "COMMIT" || ending == "ROLLBACK";
    assert!(!ended.result.is_empty(), "{place}: READY alone");
    let committed = match is_final {
        true => ending == "COMMIT" && ended.result.starts_with("DONE"),
        false => {
            let answer = session.query("COMMIT").expect("the session goes on");
            assert!(!answer.result.is_empty(), "{place}: READY alone");
            answer.result.starts_with("DONE signature")
        }
    };
    if !matches!(leaving, Leaving::RouteAndBack) {
        assert_eq!(fleet.put_configuration_text(&with_route), 200);
    }
    fleet.wait_until("the route is back", |fleet| {
        fleet.connect(vm, "desk").connect_answer.starts_with("READY")
    });
    fleet.wait_until("the group is served", |fleet| {
        let answer = fleet.connect(vm, "desk").query("FETCH nothing");
        answer.is_some_and(|answer| answer.result.starts_with("DONE"))
    });
    let mut begun = session.query("BEGIN").expect("the session goes on");
    if !begun.result.starts_with("DONE") {
        session = fleet.connect(vm, "desk");
        begun = session.query("BEGIN").expect("an answer");
    }
    let put = session.query(&format!("PUT {third} x")).expect("an answer");
    let rolled_back = session.query("ROLLBACK").expect("an answer");
    let kept = [&first, &third].map(|item| fleet.group.values_of(item).len());
    let answers = format!(
        "{place}: {} / {} {} {}, kept {kept:?}",
        ended.result, begun.result, put.result, rolled_back.result
    );
    assert_eq!(kept, [usize::from(committed), 0], "{answers}");
    answers
}

/// Guards against review/3 on paths that its script doesn't take: a session whose statements are forwarded, a service that
/// leaves with its route, and a route that is back at once.
#[test]
fn a_transaction_ends_once_whatever_leaves_the_configuration_meanwhile() {
    let fleet = Fleet::up_with(203, &MANY_PROXIES, FEW_CONNECTIONS);
    let serving: BTreeSet<u8> = fleet.serving().into_iter().collect();
    let forwarding = MANY_PROXIES.iter().find(|vm| !serving.contains(vm)).copied();
    let forwarding = forwarding.expect("a proxy that forwards");
    let serving = *serving.first().expect("a proxy that serves");
    let mut version = 2;
    for leaving in [Leaving::Route, Leaving::RouteAndBack, Leaving::Service] {
        for ending in ["COMMIT", "ROLLBACK", "PUT second x", "FETCH second"] {
            for vm in [serving, forwarding] {
                println!("{}", play(&fleet, vm, version, leaving, ending));
                version += 2;
            }
        }
    }
}

/// Declares the account `ann` with these keys, and no route of the database `desk` if `is_open` is false.
fn with_keys(version: u64, keys: &[&str], is_open: bool) -> String {
    let text = configuration(version, 800, FEW_CONNECTIONS);
    let text = if is_open { text } else { without(&text, Leaving::Route) };
    let mut value: serde_json::Value = serde_json::from_str(&text).unwrap();
    value["Tenants"] = serde_json::json!([{ "Name": "ann", "ApiKeys": keys }]);
    value.to_string()
}

/// Guards against a transaction that is kept though its answer says otherwise, or whose session runs statements again, because its
/// key was withdrawn together with its route.
#[test]
fn a_transaction_keeps_what_was_acknowledged_when_its_key_leaves_with_its_route() {
    let fleet = Fleet::up_with(205, &MANY_PROXIES, FEW_CONNECTIONS);
    let serving: BTreeSet<u8> = fleet.serving().into_iter().collect();
    let forwarding = MANY_PROXIES.iter().find(|vm| !serving.contains(vm)).copied();
    let mut version = 2;
    for vm in [serving.first().copied(), forwarding].map(|vm| vm.expect("a proxy of each kind")) {
        for ending in ["COMMIT", "ROLLBACK", "PUT second x", "FETCH second"] {
            let place = format!("{ending}, proxy {vm}");
            assert_eq!(fleet.put_configuration_text(&with_keys(version, &["me"], true)), 200);
            fleet.wait_until("the key is known", |fleet| {
                fleet.connect(vm, "desk").connect_answer.starts_with("READY")
                    && fleet.connect_with_key(vm, "desk", "other").connect_answer.starts_with("ERR")
            });
            let item = format!("first{version}");
            let mut session = begin(&fleet, vm, &format!("PUT {item} x"));
            let without_key = with_keys(version + 1, &["other"], false);
            assert_eq!(fleet.put_configuration_text(&without_key), 200);
            fleet.wait_until("the key is withdrawn", |fleet| {
                fleet.connect(vm, "desk").connect_answer.starts_with("ERR")
            });
            let ended = session.query(ending);
            let committed = ending == "COMMIT"
                && ended.as_ref().is_some_and(|answer| answer.result.starts_with("DONE"));
            assert!(ended.is_some_and(|answer| !answer.result.is_empty()), "{place}: no answer");
            // The transaction may go on for a while, and its session may end.
            let mut refused = None;
            let mut puts = 0;
            while refused.is_none() && puts < 100 {
                refused = match session.query("PUT again x") {
                    Some(answer) if answer.result.starts_with("DONE") => None,
                    answer => Some(answer.map_or_else(String::new, |answer| answer.result)),
                };
                puts += 1;
                std::thread::sleep(Duration::from_millis(50));
            }
            println!("{place}: {puts} statements, then {refused:?}");
            assert!(refused.is_some(), "{place}: the transaction goes on");
            let is_final = ending == "COMMIT" || ending == "ROLLBACK";
            assert!(!is_final || puts == 1, "{place}: {puts} statements after the transaction");
            let kept = fleet.group.values_of(&item).len();
            assert_eq!(kept, usize::from(committed), "{place}");
            version += 2;
        }
    }
    assert!(fleet.group.values_of("again").is_empty());
}
