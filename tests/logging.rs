//! Tests of the log: rate limiter, queue, JSON lines, and the documentation of their fields.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use cactushatch::clock::Instant;
use cactushatch::config::Rate;
use cactushatch::id;
use cactushatch::report::event::{Request, Retry, Unreadable};
use cactushatch::report::{Event, Peer, Queue, RateLimiter, Replacement, Verdict};
use cactushatch::statement::Place;
use cactushatch::wire::{Health, Phase};

fn at(ms: u64) -> Instant {
    Instant(1_000_000_000) + Duration::from_millis(ms)
}

#[test]
fn flood_is_rate_limited_and_suppressed_lines_are_counted() {
    let mut limiter = RateLimiter::new(Rate(50));
    let mut written = 0;
    let mut reported = 0;
    for ms in 0..10_000 {
        for _ in 0..10 {
            if let Verdict::Write { suppressed } = limiter.admit(at(ms)) {
                written += 1;
                reported += suppressed;
            }
        }
    }
    assert!((500..=551).contains(&written), "{written} lines in ten seconds at 50/s");
    let Verdict::Write { suppressed } = limiter.admit(at(20_000)) else {
        panic!("a line after a pause was suppressed");
    };
    assert_eq!(written + reported + suppressed, 100_000, "every line must be written or counted");
}

#[test]
fn lines_at_the_allowed_rate_are_all_written() {
    let mut limiter = RateLimiter::new(Rate(50));
    for n in 0..1_000 {
        assert_eq!(limiter.admit(at(n * 20)), Verdict::Write { suppressed: 0 });
    }
}

#[test]
fn log_line_is_one_json_object() {
    let dir = tempfile::tempdir().unwrap();
    let ports: [TcpListener; 4] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let [a, b, c, d] = ports.map(|listener| listener.local_addr().unwrap());
    let settings = format!(
        "node = \"proxy-1\"\ndomain = \"a\"\n\
         voters = [{{ node = \"c\", address = \"{d}\", domain = \"a\", admin = \"{d}\" }}]\n\
         [proxy]\nlisten = \"{a}\"\naddress = \"{b}\"\nadmin = \"{c}\"\n[log]\nformat = \"json\"\n"
    );
    let path = dir.path().join("proxy.toml");
    std::fs::write(&path, settings).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
        .args(["proxy", "--settings", &path.display().to_string()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut reader = BufReader::new(child.stdout.take().unwrap());
    reader.read_line(&mut line).unwrap();
    let object: serde_json::Value = serde_json::from_str(&line).expect(&line);
    assert!(object["text"].as_str().unwrap().contains("proxy-1"), "{line}");
    assert_eq!(object["level"], "INFO");
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    assert!(child.wait().unwrap().success(), "exit status after SIGTERM");
}

/// Returns an example of every kind of event. A new kind fails to compile in the match below; add an example with it.
fn examples() -> Vec<String> {
    let group: id::Group = "books".parse().unwrap();
    let (group, instance) = (&group, &"i-1".parse::<id::Instance>().unwrap());
    let term = id::Term(3);
    let server = &"proxy-1".parse::<id::Node>().unwrap();
    let retry = Retry { request: "r1", group, instance, reason: "no".to_owned(), elapsed_ms: 1 };
    let examples = [
        Event::Request(Request::default()),
        Event::Retry(retry),
        Event::Forward { request: "r1", group, server, reason: "no", elapsed_ms: 1 },
        Event::Quota {
            request: "r1",
            account: &"spa".parse().unwrap(),
            rate: 1.5,
            reserved: 1,
            waiting: 0,
            granted_ago_ms: 2,
            waited_ms: 3,
            retry_after_ms: 4,
        },
        Event::ConnectionLimit { instance, group, in_use: 1, permits: 2 },
        Event::OutOfStep {
            instance,
            group,
            connection: 7,
            open_ms: 1,
            command: "data",
            evidence: "signature".to_owned(),
        },
        Event::Unreadable(Unreadable {
            peer: Peer::Upstream,
            address: Some("127.0.0.1:5432".parse().unwrap()),
            instance: Some(instance),
            group: Some(group),
            connection: 7,
            open_ms: 1,
            command: Some("data"),
            reason: "kind",
            place: Place { offset: 12, len: 9, is_complete: true },
        }),
        Event::Share { group, permits: 2, servers: Some(3) },
        Event::Lease { held: true, unheard_ms: Some(1) },
        Event::Stranded { stranded: true, unheard_ms: None },
        Event::Epoch { group, term, phase: Phase::Active, primary: instance },
        Event::Instance { instance, group, trouble: Health::Silent, silent_ms: 1, reason: None },
        Event::Configuration {
            revision: id::Revision(1),
            databases: 1,
            accounts: 1,
            require_account: true,
        },
        Event::Session { database: "desk", was_open: false, reason: "unknown_key".to_owned() },
        Event::Decision { group, decision: "freeze", term, instance: None, start: None },
        Event::RefusedDecision { group, decision: "thaw", term, reason: "it can't go on" },
        Event::Choice {
            group,
            decision: "claim",
            instance: Some(instance),
            term: Some(term),
            epoch: term,
            fenced_ms: None,
            readings: Vec::new(),
            unanswered: &[],
        },
        Event::Promotion {
            group,
            instance,
            token: term,
            answer: None,
            elapsed_ms: None,
            confirmed_ago_ms: Some(1),
        },
        Event::UnorderedPromotion { group, instance, term, epoch: term, primary: instance },
        Event::MissingWrites {
            group,
            instance,
            term,
            held: id::Position(7),
            acknowledged: Some(id::Position(9)),
            is_accepted: false,
        },
        Event::Inherited { group, instance, term },
        Event::Link {
            target: server,
            address: "127.0.0.1:7440".parse().unwrap(),
            reason: Replacement::Silent,
            evidence_ms: 1_000,
        },
        Event::Leader { leads: true, term },
    ];
    let is_covered = |event: &Event<'_>| match event {
        Event::Request(_)
        | Event::Retry(_)
        | Event::Forward { .. }
        | Event::Quota { .. }
        | Event::ConnectionLimit { .. }
        | Event::OutOfStep { .. }
        | Event::Unreadable(_)
        | Event::Share { .. }
        | Event::Lease { .. }
        | Event::Stranded { .. }
        | Event::Epoch { .. }
        | Event::Instance { .. }
        | Event::Configuration { .. }
        | Event::Session { .. }
        | Event::Decision { .. }
        | Event::RefusedDecision { .. }
        | Event::Choice { .. }
        | Event::Promotion { .. }
        | Event::UnorderedPromotion { .. }
        | Event::MissingWrites { .. }
        | Event::Inherited { .. }
        | Event::Link { .. }
        | Event::Leader { .. } => true,
    };
    examples.iter().filter(|event| is_covered(event)).map(ToString::to_string).collect()
}

/// Guards against lines in which a field of the event hides who wrote the line.
#[test]
fn no_field_of_an_event_has_the_name_of_a_field_of_each_line() {
    for example in examples() {
        let object: serde_json::Map<String, serde_json::Value> =
            serde_json::from_str(&example).unwrap();
        for field in ["time", "level", "node"] {
            assert!(!object.contains_key(field), "{example}");
        }
    }
}

#[test]
fn operations_page_documents_every_field_of_every_event() {
    let page = std::fs::read_to_string("docs/OPERATIONS.md").unwrap();
    for example in examples() {
        let object: serde_json::Map<String, serde_json::Value> =
            serde_json::from_str(&example).unwrap();
        let event = object["event"].as_str().unwrap();
        let start = page.find(&format!("| `{event}` |")).unwrap_or_else(|| panic!("{event}"));
        let row = page[start..].lines().next().unwrap();
        for field in object.keys().filter(|field| *field != "event") {
            assert!(
                row.contains(&format!("`{field}`")),
                "field {field} of {event} is not on the page"
            );
        }
        let documented = row.split('|').nth(3).unwrap().matches('`').count() / 2;
        assert_eq!(
            documented,
            object.len() - 1,
            "the page names a field that {event} does not have"
        );
    }
}

/// A writer that blocks until `unblock` receives a value or its sender is dropped.
struct StalledWriter {
    unblock: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for StalledWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.unblock.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_output_does_not_block_logging_and_dropped_lines_are_counted() {
    const LINES: u64 = 100_000;
    let (unblock, unblocked) = channel();
    let (written, lines) = channel();
    let queue = Queue::start(StalledWriter { unblock: unblocked, written }).unwrap();
    let start = std::time::Instant::now();
    let queued = (0..LINES).filter(|_| queue.push(b"a line\n".to_vec())).count() as u64;
    queue.flush();
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    assert!(queued < LINES, "the queue is unbounded");
    assert_eq!(queue.take_dropped(), LINES - queued);
    drop(unblock);
    drop(queue);
    let written = lines.iter().flatten().filter(|byte| *byte == b'\n').count() as u64;
    assert_eq!(written, queued, "every queued line must be written once the output unblocks");
}
