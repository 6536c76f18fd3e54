//! Tests on separate processes that callers are served when instances accept fewer connections than there are proxies.

mod lines;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use cactushatch::broker::session::{self, Operation};
use cactushatch::id;
use cactushatch::statement::{Access, Answer, Code, Id};
use cactushatch::wire::{Body, Forward, Forwarded, Frame, Identity, Seal, Step, Stream};
use lines::{Caller, Fleet, INTERNAL_PORT, METRICS_PORT, TIMEOUT, send_http};

const MANY_PROXIES: [u8; 8] = [11, 12, 13, 14, 15, 16, 17, 18];

/// Fewer than one for each of [`MANY_PROXIES`], besides those that are kept for control and for new proxies.
const FEW_CONNECTIONS: usize = 8;

const ROUNDS: usize = 20;

/// Runs a statement and returns whether it was refused.
fn is_refused(session: &mut Caller, text: &str) -> bool {
    let answer = session.query(text).expect("the session goes on");
    let refused = answer.result.starts_with("ERR BUSY");
    assert!(refused || answer.result.starts_with("DONE"), "{text}: {answer:?}");
    refused
}

/// Guards against proxies that each open a connection although instances accept fewer: callers of the proxies that found
/// none were refused all day.
#[test]
fn callers_of_all_proxies_are_served_when_connections_are_fewer_than_proxies() {
    let fleet = Fleet::up_with(101, &MANY_PROXIES, FEW_CONNECTIONS);
    let refused_before = fleet.group.refused_connections();
    let refused: Vec<(u8, usize)> = std::thread::scope(|scope| {
        let callers = MANY_PROXIES.map(|vm| {
            let fleet = &fleet;
            scope.spawn(move || {
                let mut writer = fleet.connect(vm, "shift");
                let mut reader = fleet.connect(vm, "menu");
                let mut refused = 0;
                for round in 0..ROUNDS {
                    refused += usize::from(is_refused(&mut writer, &format!("PUT i{vm} v{round}")));
                    refused += usize::from(is_refused(&mut reader, &format!("FETCH i{vm}")));
                    std::thread::sleep(Duration::from_millis(20));
                }
                (vm, refused)
            })
        });
        callers.into_iter().map(|caller| caller.join().expect("a caller")).collect()
    });
    assert!(refused.iter().all(|(_, refused)| *refused == 0), "{refused:?}\n{}", fleet.logs());
    assert_eq!(fleet.group.refused_connections(), refused_before, "{}", fleet.logs());
}

/// Guards against reads that are refused while replicas are idle: a proxy that was restarted gets no connection to the
/// primary, and can prove by the position that another proxy read how recent the replicas are.
#[test]
fn a_proxy_that_gets_no_connection_to_the_primary_serves_reads_by_replicas() {
    let mut fleet = Fleet::up(108);
    let (connected, restarted) = (fleet.proxies[0], fleet.proxies[1]);
    let mut writer = fleet.connect(connected, "desk");
    writer.query_until_done("PUT item value");
    fleet.signal(restarted, "-KILL");
    fleet.wait_for_exit(restarted);
    let primary = fleet.group.primary();
    fleet.group.refuse_connections(&primary);
    fleet.start_process(restarted, false);
    fleet.wait_until("the proxy is ready", |fleet| fleet.is_ready(restarted));
    let mut reader = fleet.connect(restarted, "menu");
    let start = Instant::now();
    let answer = loop {
        let answer = reader.query("FETCH item").expect("the session goes on");
        if answer.result.starts_with("DONE") {
            break answer;
        }
        assert!(start.elapsed() < TIMEOUT, "{answer:?}\n{}", fleet.logs());
        writer.query_until_done("FETCH item");
    };
    assert_eq!(answer.rows, ["value"], "{}", fleet.logs());
    // The position may come with the lease, before the proxy has tried to connect to the primary.
    let signed_by_primary = answer.result.starts_with(&format!("DONE signature-{primary}-"));
    assert!(!signed_by_primary, "{answer:?}\n{}", fleet.logs());
}

#[test]
fn a_forwarded_session_reads_its_own_writes_and_keeps_its_transactions() {
    let fleet = Fleet::up_with(102, &MANY_PROXIES, FEW_CONNECTIONS);
    for vm in MANY_PROXIES {
        let mut session = fleet.connect(vm, "shift");
        session.query_until_done("SET zone north");
        session.query_until_done("PREPARE s1 PUT q");
        session.query_until_done(&format!("EXEC s1 own{vm} mine"));
        assert_eq!(session.query_until_done(&format!("FETCH own{vm}")).rows, ["mine"]);
        session.query_until_done("BEGIN");
        session.query_until_done(&format!("PUT kept{vm} a"));
        session.query_until_done(&format!("PUT kept{vm} b"));
        assert_eq!(session.query_until_done("COMMIT").state, "I");
        assert_eq!(fleet.group.values_of(&format!("kept{vm}")), ["a", "b"]);
        session.query_until_done("BEGIN");
        session.query_until_done(&format!("PUT dropped{vm} a"));
        assert_eq!(session.query_until_done("ROLLBACK").state, "I");
        // A transaction is rolled back if its caller disconnects.
        session.query_until_done("BEGIN");
        session.query_until_done(&format!("PUT dropped{vm} a"));
        drop(session);
        assert!(fleet.group.values_of(&format!("dropped{vm}")).is_empty());
    }
    let executed = ["i-21", "i-22", "i-23"].iter().flat_map(|id| fleet.group.executed(id));
    let own = executed.filter(|(text, _)| text.contains(" own"));
    assert!(own.clone().count() > MANY_PROXIES.len(), "{}", fleet.logs());
    assert!(own.into_iter().all(|(_, values)| values["zone"] == "north"));
}

/// Waits until proxies serve the group, and returns them, by the newest line that each has on its share.
fn serving(fleet: &Fleet) -> Vec<u8> {
    let serving = fleet.serving();
    assert!(serving.len() < fleet.proxies.len(), "{serving:?}\n{}", fleet.logs());
    serving
}

fn a_forwarding_proxy(fleet: &Fleet) -> u8 {
    let serving = serving(fleet);
    *fleet.proxies.iter().find(|vm| !serving.contains(vm)).expect("one that forwards")
}

/// The proxies that serve the group are killed one after the other. Writes through the others go on, and no acknowledged
/// write is lost or doubled.
#[test]
fn writes_go_on_when_serving_proxies_are_killed() {
    let mut fleet = Fleet::up_with(103, &MANY_PROXIES, FEW_CONNECTIONS);
    let first = serving(&fleet);
    let mut session = fleet.connect(a_forwarding_proxy(&fleet), "desk");
    let mut acknowledged = Vec::new();
    let start = Instant::now();
    for number in 0_usize.. {
        if number.is_multiple_of(20)
            && let Some(vm) = first.get(number / 20)
        {
            fleet.signal(*vm, "-KILL");
            fleet.wait_for_exit(*vm);
        }
        let data = format!("w{number}");
        let answer = session.query(&format!("PUT book {data}")).expect("the session stays open");
        match answer.result.split(' ').nth(1) {
            _ if answer.result.starts_with("DONE") => acknowledged.push(data),
            Some("BUSY" | "ABORTED" | "UNKNOWN" | "TIMEOUT") => {}
            _ => panic!("{answer:?}"),
        }
        if acknowledged.len() >= 20 * (first.len() + 2) {
            break;
        }
        assert!(start.elapsed() < TIMEOUT, "{} writes\n{}", acknowledged.len(), fleet.logs());
        std::thread::sleep(Duration::from_millis(5));
    }
    let values = fleet.group.values_of("book");
    for data in &acknowledged {
        let count = values.iter().filter(|value| *value == data).count();
        assert_eq!(count, 1, "{data}\n{}", fleet.logs());
    }
}

/// A serving proxy is asked to end. The statements that other proxies forward to it move to others, and none is lost.
#[test]
fn a_serving_proxy_that_shuts_down_loses_no_forwarded_statement() {
    let mut fleet = Fleet::up_with(104, &MANY_PROXIES, FEW_CONNECTIONS);
    for vm in &MANY_PROXIES[..4] {
        fleet.signal(*vm, "-TERM");
        let start = Instant::now();
        let mut session = fleet.connect(MANY_PROXIES[7], "shift");
        while start.elapsed() < Duration::from_millis(3_500) {
            let answer = session.query("PUT last w").expect("the session stays open");
            let is_certain = ["DONE", "ERR BUSY"].iter().any(|p| answer.result.starts_with(p));
            assert!(is_certain, "{answer:?}\n{}", fleet.logs());
            std::thread::sleep(Duration::from_millis(5));
        }
        assert!(fleet.wait_for_exit(*vm));
    }
}

/// The proxies that serve the group stop without closing their connections. Reads go on, and each is answered by its
/// timeout of 800 ms.
#[test]
fn reads_go_on_while_serving_proxies_are_frozen() {
    let mut fleet = Fleet::up_with(105, &MANY_PROXIES, FEW_CONNECTIONS);
    let frozen = serving(&fleet);
    let mut session = fleet.connect(a_forwarding_proxy(&fleet), "menu");
    session.query_until_done("FETCH a");
    for vm in &frozen {
        fleet.signal(*vm, "-STOP");
    }
    let start = Instant::now();
    let mut served_at = None;
    while served_at.is_none() || start.elapsed() < Duration::from_secs(3) {
        let asked = Instant::now();
        let answer = session.query("FETCH a").expect("the session stays open");
        assert!(asked.elapsed() < Duration::from_millis(1_000), "{answer:?} {:?}", asked.elapsed());
        if answer.result.starts_with("DONE") {
            served_at.get_or_insert(start.elapsed());
        }
        assert!(start.elapsed() < TIMEOUT, "{}", fleet.logs());
        std::thread::sleep(Duration::from_millis(20));
    }
    for vm in &frozen {
        fleet.signal(*vm, "-CONT");
    }
    session.query_until_done("FETCH a");
    for vm in frozen {
        fleet.signal(vm, "-TERM");
        assert!(fleet.wait_for_exit(vm));
    }
}

fn frame(body: Body) -> Frame {
    Frame { sender: "stranger".parse().unwrap(), incarnation: id::Incarnation(1), body }
}

/// Returns a frame with a write of the item `stranger`.
fn forwarded_write(database: &str, continues: bool) -> Frame {
    let body = session::Body::Text("PUT stranger x".into());
    frame(Body::Forward(Forward {
        request: Id::new("stranger"),
        database: database.to_owned(),
        identity: None,
        revision: Default::default(),
        values: BTreeMap::new(),
        last_write: None,
        step: Step::InTransaction {
            operation: Operation { access: Access::Write, body },
            read_only: false,
        },
        continues,
        is_stranded: false,
    }))
}

/// Sends what can't be read, or what no proxy sends, to the listener for forwarded statements. Each may end its own stream
/// only: nothing runs, the process goes on, and so do the statements that other proxies forward.
#[test]
fn malformed_frames_end_their_own_stream_only() {
    let fleet = Fleet::up_with(106, &MANY_PROXIES, FEW_CONNECTIONS);
    let mut session = fleet.connect(a_forwarding_proxy(&fleet), "shift");
    session.query_until_done("PUT own before");
    let vm = serving(&fleet)[0];
    let address = fleet.address(vm, INTERNAL_PORT);

    let with_length = |body: &[u8]| [&(body.len() as u32).to_be_bytes(), body].concat();
    let ping = frame(Body::Ping).encode().unwrap();
    let mut another_version = ping.clone();
    another_version[0] = another_version[0].wrapping_add(1);
    let fetch = frame(Body::Fetch { revision: id::Revision(0) }).encode().unwrap();
    let malformed = [
        ("part of a length", vec![0]),
        ("a length over the limit", u32::MAX.to_be_bytes().to_vec()),
        ("an empty frame", with_length(&[])),
        ("another version", with_length(&another_version)),
        ("half a frame", with_length(&ping[..ping.len() - 1])),
        ("noise", with_length(&[0xff; 64])),
        ("a frame for control", with_length(&fetch)),
    ];
    for (what, bytes) in &malformed {
        let mut stream = TcpStream::connect(address).expect("the proxy listens");
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut answer = Vec::new();
        match stream.read_to_end(&mut answer) {
            Ok(_) => assert!(answer.is_empty(), "{what}: {answer:?}"),
            Err(error) => {
                assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset, "{what}");
            }
        }
    }

    let request = |frame: Frame| {
        smol::block_on(Stream::request(address, &Seal::default(), &frame)).expect("an answer").body
    };
    assert_eq!(request(frame(Body::Ping)), Body::Ping);
    assert_eq!(
        request(forwarded_write("no-such-database", false)),
        Body::Forwarded(Forwarded::NotServing)
    );
    let Body::Forwarded(Forwarded::Handled { reply, is_open, written, .. }) =
        request(forwarded_write("shift", true))
    else {
        panic!("a statement that continues a lost transaction is not handled");
    };
    assert!(matches!(&reply[..], [Answer::Failed { code: Code::Aborted, .. }]), "{reply:?}");
    assert_eq!((is_open, written), (false, None));

    session.query_until_done("PUT own after");
    assert_eq!(fleet.group.values_of("own"), ["before", "after"]);
    assert!(fleet.group.values_of("stranger").is_empty(), "{}", fleet.logs());
    assert!(serving(&fleet).contains(&vm), "the proxy goes on serving\n{}", fleet.logs());
    let metrics =
        send_http(fleet.address(vm, METRICS_PORT), "GET /metrics", "").expect("metrics").1;
    let counted = |line: &&str| {
        line.starts_with("cactushatch_protocol_errors_total") && line.contains("peer=\"process\"")
    };
    let count: u32 = metrics
        .lines()
        .filter(counted)
        .map(|line| line.rsplit(' ').next().unwrap().parse::<u32>().unwrap())
        .sum();
    assert_eq!(count, 5, "those that can't be read: {metrics}");
}

/// Guards against statements of two accounts on one connection, and against more connections than the proxy's share when
/// one account after the other needs its own.
#[test]
fn connections_are_kept_by_account_within_the_share() {
    const ACCOUNTS: usize = 20;
    let fleet = Fleet::up_with(127, &MANY_PROXIES, FEW_CONNECTIONS);
    fleet.connect(a_forwarding_proxy(&fleet), "shift").query_until_done("PUT own before");
    let vm = serving(&fleet)[0];
    let refused_before = fleet.group.refused_connections();
    let write = |account: usize| {
        let text = "PUT own x".into();
        let operation = Operation { access: Access::Write, body: session::Body::Text(text) };
        let identity = Identity {
            account: format!("account-{account}").parse().unwrap(),
            key: None,
            revision: id::Revision(0),
        };
        let mut frame = forwarded_write("shift", false);
        let Body::Forward(forward) = &mut frame.body else { unreachable!() };
        (forward.step, forward.identity) = (Step::Single(operation), Some(identity));
        let (address, seal) = (fleet.address(vm, INTERNAL_PORT), Seal::default());
        let answer = smol::block_on(async {
            let mut stream = Stream::connect(address).await.expect("a stream").with_seal(&seal);
            stream.send(&frame).await.expect("a sent frame");
            loop {
                // A statement that takes 100 ms or longer is answered with signs of progress first.
                match stream.receive().await.expect("an answer").body {
                    Body::Ping => {}
                    answer => return answer,
                }
            }
        });
        let Body::Forwarded(Forwarded::Handled { reply, .. }) = &answer else {
            panic!("{answer:?}\n{}", fleet.logs());
        };
        assert!(matches!(&reply[..], [Answer::Done(_)]), "{reply:?}\n{}", fleet.logs());
    };
    let count = |series: &str| -> u64 {
        let address = fleet.address(vm, METRICS_PORT);
        let metrics = send_http(address, "GET /metrics", "").expect("metrics").1;
        let values = metrics.lines().filter(|line| line.starts_with(series));
        values.map(|line| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap()).sum()
    };
    let opened = || count("cactushatch_upstream_connections_opened_total");
    let reused = || count("cactushatch_upstream_connections_reused_total");
    let (opened_before, reused_before) = (opened(), reused());
    for account in 0..ACCOUNTS {
        write(account);
        write(account);
    }
    assert_eq!(opened() - opened_before, ACCOUNTS as u64, "each account opens its own once");
    assert_eq!(reused() - reused_before, ACCOUNTS as u64, "and uses it again");
    assert!(count("cactushatch_upstream_connections_evicted_total") > 0, "{}", fleet.logs());
    let open = ["i-21", "i-22", "i-23"].map(|id| fleet.group.connections(id));
    assert!(open.iter().all(|open| *open <= FEW_CONNECTIONS), "{open:?}");
    assert_eq!(fleet.group.refused_connections(), refused_before, "{}", fleet.logs());
}
