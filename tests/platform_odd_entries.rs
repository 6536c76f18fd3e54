//! Tests the real binary with heartbeats that another writer sends among those of the instances: deeply nested, with
//! numbers out of range, or with addresses that accept no connections.

mod lines;
mod odd;

use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use lines::{Fleet, PROXIES, content};
use odd::{CONTROL_PORT, VOTERS, assert_all_run, nested_lists, read_on_each_proxy, restart, send};

const INSTANCE_PORT: u16 = 17_306;

/// The greatest start time of an instance that is accepted, in milliseconds since 1970.
const MAX_BORN_MS: u64 = 4_102_444_800_000;

/// The greatest sequence number of a heartbeat that is accepted.
const MAX_SEQUENCE: u64 = (1 << 53) - 1;

/// A heartbeat that another writer sends.
struct Entry {
    id: String,
    body: Vec<u8>,
}

/// Returns a heartbeat of an instance in which `edits` are replaced.
fn heartbeat(address: SocketAddr, edits: &[(&str, &str)]) -> String {
    let body = format!(
        "{{\"Service\":\"books\",\"Addr\":\"{address}\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":2,\
         \"State\":\"ready\",\"ColdLeftMs\":0,\"DbRole\":\"replica\",\"Seq\":1000000,\"born\":1700000000000}}"
    );
    edits.iter().fold(body, |body, (from, to)| {
        let edited = body.replacen(from, to, 1);
        assert_ne!(edited, body, "{from} is not there");
        edited
    })
}

/// Values of numeric fields that no instance sends.
const ODD_NUMBERS: [&str; 13] = [
    "18446744073709551615",
    "18446744073709551616",
    "9007199254740992",
    "-1",
    "-9223372036854775808",
    "1e30",
    "1e999",
    "1.5",
    "NaN",
    "Infinity",
    "\"7\"",
    "null",
    "true",
];

/// Parts of a heartbeat that must be refused, each with the part that it replaces.
fn odd_fields(address: SocketAddr) -> Vec<(String, String)> {
    let (own, ip) = (address.to_string(), address.ip());
    let mut fields: Vec<(String, String)> = Vec::new();
    for port in ["0", "65536", "99999", "-1", "1e3", "18446744073709551616", ""] {
        fields.push((own.clone(), format!("{ip}:{port}")));
    }
    for host in ["0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "[::]:80", "[ff02::1]:80"] {
        fields.push((own.clone(), host.to_owned()));
    }
    let mut replace = |from: &str, to: String| fields.push((from.to_owned(), to));
    for number in ODD_NUMBERS {
        replace("\"Seq\":1000000", format!("\"Seq\":{number}"));
        replace("1700000000000", number.to_owned());
    }
    for number in ["4294967296", "-1", "1e400", "2.5", "{}"] {
        replace("\"Slots\":2", format!("\"Slots\":{number}"));
    }
    for number in ["18446744073709551616", "-1", "1e400", "[]"] {
        replace("\"ColdLeftMs\":0", format!("\"ColdLeftMs\":{number}"));
    }
    for depth in DEPTHS {
        for value in [nested_lists(depth), nested_objects(depth), "[".repeat(depth)] {
            replace("\"books\"", value.clone());
            replace("\"Seq\":1000000", format!("\"Seq\":{value}"));
        }
        for value in [nested_lists(depth), nested_objects(depth), "[".repeat(depth)] {
            replace("\"Slots\":2", format!("\"Slots\":2,\"more\":{value}"));
        }
    }
    replace("\"ready\"", "\"resting\"".to_owned());
    replace("\"ready\"", format!("\"{}\"", "x".repeat(30_000)));
    replace("\"books\"", format!("\"{}\"", "x".repeat(129)));
    replace("\"replica\"", "\"witness\"".to_owned());
    replace("\"Zone\":\"a\",", String::new());
    replace("\"Seq\":1000000", "\"Seq\":1000000,\"Seq\":1000001".to_owned());
    fields
}

/// Depths of nesting around the limits of parsers.
const DEPTHS: [usize; 3] = [128, 1_000, 30_000];

fn nested_objects(depth: usize) -> String {
    format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth))
}

/// Returns the entries that must be refused, for the given instance and address.
fn refused_entries(id: &str, address: SocketAddr) -> Vec<Entry> {
    let fields = odd_fields(address);
    let edited = fields.iter().map(|(from, to)| heartbeat(address, &[(from, to)]).into_bytes());
    let mut bodies: Vec<Vec<u8>> = edited.collect();
    bodies.extend(DEPTHS.map(|depth| nested_lists(depth).into_bytes()));
    bodies.extend(DEPTHS.map(|depth| nested_objects(depth).into_bytes()));
    bodies.extend([&b""[..], b"\xff\xfe", b"{", b"null", b"[]", b"7"].map(<[u8]>::to_vec));
    let mut not_utf8 = heartbeat(address, &[]).into_bytes();
    let at = not_utf8.iter().position(|byte| *byte == b'v').unwrap();
    not_utf8[at] = 0xff;
    bodies.push(not_utf8);
    let mut cut = heartbeat(address, &[]).into_bytes();
    cut.truncate(cut.len() / 2);
    bodies.push(cut);
    bodies.into_iter().map(|body| Entry { id: id.to_owned(), body }).collect()
}

/// Returns entries that are acknowledged and must change nothing: their service isn't declared, or what is odd is in a
/// field that has no meaning.
fn ignored_entries(id: &str, address: SocketAddr) -> Vec<Entry> {
    let entry = |edits: &[(&str, &str)]| Entry {
        id: id.to_owned(),
        body: heartbeat(address, edits).into_bytes(),
    };
    vec![
        entry(&[("books", "nosuch")]),
        entry(&[("books", "nosuch"), ("ready", "draining")]),
        entry(&[("books", "nosuch"), ("\"Seq\":1000000", &format!("\"Seq\":{MAX_SEQUENCE}"))]),
        entry(&[("books", "nosuch"), ("1700000000000", &MAX_BORN_MS.to_string())]),
    ]
}

/// Sends an entry to each control process, and returns the statuses.
fn send_entry(fleet: &Fleet, entry: &Entry) -> Vec<u16> {
    let request_line = format!("PUT /instances/{}", entry.id);
    let sent = VOTERS.iter().map(|vm| {
        send(fleet.address(*vm, CONTROL_PORT), &request_line, &entry.body).expect("an answer")
    });
    sent.collect()
}

fn describe(entry: &Entry) -> String {
    let text = String::from_utf8_lossy(&entry.body);
    format!("{}: {}", entry.id, text.chars().take(300).collect::<String>())
}

/// Serves nothing, and counts the connections on which an instance of this name is asked for.
fn listen_as(address: SocketAddr, id: &'static str) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind(address).expect("the instance's address");
    let asked = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&asked);
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let counter = Arc::clone(&counter);
            std::thread::spawn(move || {
                let mut lines = BufReader::new(socket);
                let line = content::read_line(&mut lines).ok().flatten();
                let line = line.map(|line| line.content.text()).unwrap_or_default();
                if line.starts_with("CONNECT books ") && line.ends_with(&format!(" {id}")) {
                    counter.fetch_add(1, Ordering::SeqCst);
                }
                let _ = lines.read_to_end(&mut Vec::new());
            });
        }
    });
    asked
}

/// Sends bounded reads and writes on both proxies until the returned handle is told to stop, and counts those that
/// were served.
fn start_traffic(fleet: &Fleet, stop: &Arc<AtomicBool>) -> Vec<std::thread::JoinHandle<usize>> {
    let sessions = PROXIES.iter().flat_map(|vm| {
        [(fleet.connect(*vm, "menu"), "FETCH a"), (fleet.connect(*vm, "desk"), "PUT a b")]
    });
    let sessions: Vec<_> = sessions.collect();
    let run = |(mut session, text): (lines::Caller, &'static str)| {
        let stop = Arc::clone(stop);
        std::thread::spawn(move || {
            let mut served = 0;
            while !stop.load(Ordering::SeqCst) {
                session.query_until_done(text);
                served += 1;
                std::thread::sleep(Duration::from_millis(5));
            }
            served
        })
    };
    sessions.into_iter().map(run).collect()
}

/// An instance expects a short answer, and each refusal is logged.
#[test]
fn the_refusal_of_a_long_heartbeat_is_short() {
    let fleet = Fleet::up(192);
    let word = "x".repeat(60_000);
    let body = heartbeat(fleet.address(29, INSTANCE_PORT), &[("ready", &word)]);
    let gateway = fleet.address(1, CONTROL_PORT);
    let answer = lines::send_http(gateway, "PUT /instances/i-99", &body).expect("an answer");
    assert_eq!(answer.0, 400);
    assert!(answer.1.contains("unknown variant"), "{}", answer.1);
    assert!(answer.1.len() < 1_000, "{} bytes", answer.1.len());
    fleet.wait_until("the refusal is logged", |fleet| fleet.logs().contains("unknown variant"));
    assert!(fleet.logs().lines().all(|line| line.len() < 4_000));
}

/// Guards against control processes or proxies that end, or that stop following the instances, because of one entry
/// that they can't use: at once, or when they read the log again.
#[test]
fn odd_entries_of_another_writer_change_nothing() {
    let mut fleet = Fleet::up(191);
    let instance = fleet.address(22, INSTANCE_PORT);
    let unused = fleet.address(29, INSTANCE_PORT);
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = start_traffic(&fleet, &stop);
    let mut wrong = Vec::new();
    // As an instance of its own, under the id of an instance, and at the address of one.
    for (id, address) in [("i-99", unused), ("i-22", instance), ("i-98", instance)] {
        let refused = refused_entries(id, address).into_iter().map(|entry| (entry, 400));
        let ignored = ignored_entries(id, address).into_iter().map(|entry| (entry, 200));
        for (entry, expected) in refused.chain(ignored) {
            let statuses = send_entry(&fleet, &entry);
            if statuses != [expected; 3] {
                wrong.push(format!("{statuses:?} for {}", describe(&entry)));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    for id in ["", "%00", "i%2D22", "i-22/..", "i-22%0d%0a", &"x".repeat(129), "%ff"] {
        let entry = Entry { id: id.to_owned(), body: heartbeat(instance, &[]).into_bytes() };
        assert_eq!(send_entry(&fleet, &entry), [400; 3], "{id}");
        for vm in VOTERS {
            let request_line = format!("DELETE /instances/{id}");
            let status = send(fleet.address(vm, CONTROL_PORT), &request_line, b"");
            assert_eq!(status, Some(400), "{id}");
        }
    }
    let long = vec![b' '; 4 * 1024 * 1024 + 1];
    let long = Entry { id: "i-22".to_owned(), body: long };
    assert!(send_entry(&fleet, &long).iter().all(|status| (400..500).contains(status)));
    stop.store(true, Ordering::SeqCst);
    for thread in traffic {
        let served = thread.join().expect("statements are served meanwhile");
        assert!(served > 10, "{served} statements were served\n{}", fleet.logs());
    }
    assert_all_run(&fleet);
    assert!(!fleet.logs().contains("i-99 of"), "no odd entry is taken");
    assert!(!fleet.logs().contains("i-98 of"), "no odd entry is taken");

    VOTERS.into_iter().for_each(|vm| restart(&mut fleet, vm));
    PROXIES.into_iter().for_each(|vm| restart(&mut fleet, vm));
    read_on_each_proxy(&fleet);
    assert_all_run(&fleet);

    // Later heartbeats of the instances still take effect.
    fleet.group.drain("i-22");
    fleet.wait_until("the drain is known", |fleet| {
        fleet.logs().contains("i-22 of books is Leaving")
    });
    std::thread::sleep(Duration::from_millis(500));
    let before = fleet.group.executed("i-22").len();
    for vm in PROXIES {
        let mut session = fleet.connect(vm, "menu");
        (0..20).for_each(|_| drop(session.query_until_done("FETCH a")));
    }
    assert_eq!(fleet.group.executed("i-22").len(), before);
    let asked = listen_as(fleet.address(24, INSTANCE_PORT), "i-24");
    let joined = heartbeat(fleet.address(24, INSTANCE_PORT), &[]);
    let joined = Entry { id: "i-24".to_owned(), body: joined.into_bytes() };
    assert_eq!(send_entry(&fleet, &joined), [200; 3]);
    fleet.wait_until("the new instance is asked", |_| asked.load(Ordering::SeqCst) > 0);
    assert_all_run(&fleet);
}
