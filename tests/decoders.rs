//! Every decoder that faces a network or a disk, on arbitrary bytes and on damaged valid ones: it refuses
//! or decodes, it doesn't panic, and it takes no more memory than its input or its limit.

use bytes::BytesMut;
use cactushatch::config::Fleet;
use cactushatch::control::store::Store;
use cactushatch::id;
use cactushatch::pgsql::{MAX_MESSAGE_BYTES, MAX_STARTUP_BYTES, read_message, read_startup};
use cactushatch::proxy::floor::Floor;
use cactushatch::proxy::{classify, setting};
use cactushatch::upstream::announcement::Announcement;
use cactushatch::wire::{Body, Frame, Stamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Cuts, flips and extends valid bytes.
fn damage(mut bytes: Vec<u8>, cut: usize, flip: usize, bit: u8, tail: &[u8]) -> Vec<u8> {
    if !bytes.is_empty() {
        let at = flip % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        bytes.truncate(bytes.len() - cut % bytes.len());
    }
    bytes.extend_from_slice(tail);
    bytes
}

fn frame() -> Vec<u8> {
    let configuration = cactushatch::wire::Configuration {
        stamp: Stamp::default(),
        revision: id::Revision(3),
        text: "[class.push]\npriority = 0\ndeadline = \"2s\"\n".to_owned(),
    };
    let frame = Frame {
        sender: "proxy-1".parse().expect("a name"),
        incarnation: id::Incarnation(7),
        body: Body::Configuration(configuration),
    };
    frame.encode().expect("a short frame")
}

fn startup() -> Vec<u8> {
    let mut packet = BytesMut::new();
    let parameters =
        [("user", "ana"), ("database", "ops-1"), ("options", "-c cactushatch.floor=ops-1@1.7")];
    postgres_protocol::message::frontend::startup_message(parameters, &mut packet)
        .expect("a short packet");
    packet.to_vec()
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn frames_of_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = Frame::decode(&bytes);
    }

    #[test]
    fn damaged_frames(
        cut: usize,
        flip: usize,
        bit: u8,
        tail in proptest::collection::vec(any::<u8>(), 0..50),
    ) {
        let _ = Frame::decode(&damage(frame(), cut, flip, bit, &tail));
    }

    #[test]
    fn startups_of_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = smol::block_on(read_startup(&mut bytes.as_slice()));
    }

    #[test]
    fn damaged_startups(
        cut: usize,
        flip: usize,
        bit: u8,
        tail in proptest::collection::vec(any::<u8>(), 0..50),
    ) {
        let bytes = damage(startup(), cut, flip, bit, &tail);
        let _ = smol::block_on(read_startup(&mut bytes.as_slice()));
    }

    #[test]
    fn messages_of_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let read = smol::block_on(read_message(&mut bytes.as_slice()));
        if let Ok(Some(message)) = read {
            prop_assert!(message.body.len() <= bytes.len());
        }
    }

    #[test]
    fn lengths_over_the_limit_are_refused(len in MAX_MESSAGE_BYTES as u32 + 5..=u32::MAX) {
        let mut bytes = vec![b'Q'];
        bytes.extend_from_slice(&len.to_be_bytes());
        prop_assert!(smol::block_on(read_message(&mut bytes.as_slice())).is_err());
        let header = (len.max(MAX_STARTUP_BYTES as u32 + 5)).to_be_bytes();
        prop_assert!(smol::block_on(read_startup(&mut header.as_slice())).is_err());
    }

    #[test]
    fn floors_of_any_text(text in "\\PC{0,80}") {
        let _ = text.parse::<Floor>();
    }

    #[test]
    fn floors_come_back(
        group in "[a-z][a-z0-9-]{0,12}",
        term in any::<u64>(),
        position in any::<u64>(),
    ) {
        let text = format!("{group}@{term}.{position}");
        let floor: Floor = text.parse().expect("a floor");
        prop_assert_eq!(floor.to_string(), text);
    }

    #[test]
    fn announcements_of_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..500)) {
        let _ = serde_json::from_slice::<Announcement>(&bytes);
    }

    #[test]
    fn statements_of_any_text(text in "\\PC{0,200}") {
        let _ = classify::kind(&text);
        let _ = classify::tags(&text);
        let _ = setting::handling(&text);
    }

    #[test]
    fn statements_of_sql_words(
        words in proptest::collection::vec(
            prop_oneof![
                Just("SELECT"), Just("INSERT INTO t"), Just("VALUES"), Just("("), Just(")"),
                Just("/*"), Just("*/"), Just("'"), Just("\""), Just(";"), Just("$$"), Just("--"),
                Just("\n"), Just("request='push'"), Just("key='k'"), Just(","), Just("BEGIN"),
                Just("COMMIT"), Just("SET"), Just("LOCAL"), Just("x = 1"), Just("WITH"), Just("\0"),
            ],
            0..40,
        ),
    ) {
        let text = words.join(" ");
        let _ = classify::kind(&text);
        let _ = classify::tags(&text);
        let _ = setting::handling(&text);
    }

    #[test]
    fn declarations_of_any_text(text in "\\PC{0,200}") {
        let _ = Fleet::parse("declarations", &text);
    }
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn files_of_control_of_any_bytes(
        file in prop_oneof![Just("control.identity"), Just("control.snapshot"), Just("control.log")],
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let folder = tempfile::tempdir().expect("a temporary folder");
        std::fs::write(folder.path().join(file), &bytes).expect("a file");
        let node = "control-1".parse().expect("a name");
        let _ = Store::open(folder.path(), &node, id::Incarnation(1), 1);
    }
}

/// Statements nested deeper than any stack are refused like others that can't be parsed.
#[test]
fn deep_statements_are_not_recursed_into() {
    let deep = format!("SELECT {}1{}", "(".repeat(50_000), ")".repeat(50_000));
    let _ = classify::kind(&deep);
    let not = format!("SELECT {} true", "NOT ".repeat(50_000));
    let _ = classify::kind(&not);
}
