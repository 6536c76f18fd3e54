//! Property tests of all decoders of input from the network or the disk, with arbitrary and with corrupted valid
//! input. A decoder must accept or reject the input without panicking, and must not allocate more memory than the
//! size of its input or its limit.

use std::sync::LazyLock;

use bytes::BytesMut;
use cactushatch::config::{Change, Fleet};
use cactushatch::control::state::{Action, Command};
use cactushatch::control::store::Store;
use cactushatch::id;
use cactushatch::pgsql::{MAX_MESSAGE_BYTES, MAX_STARTUP_BYTES, read_message, read_startup};
use cactushatch::proxy::floor::Floor;
use cactushatch::proxy::{classify, setting};
use cactushatch::upstream::announcement::Announcement;
use cactushatch::upstream::status::{MAX_TERM, Status};
use cactushatch::wire::{
    self, Availability, Body, Delta, Error, Frame, Grant, Replica, Route, Serving, Stamp,
};
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

/// Flips a bit of valid input, truncates the input and appends a suffix.
fn corrupt(
    mut bytes: Vec<u8>,
    cut_bytes: usize,
    flip_offset: usize,
    flip_bit: u8,
    suffix: &[u8],
) -> Vec<u8> {
    if !bytes.is_empty() {
        let at = flip_offset % bytes.len();
        bytes[at] ^= 1 << (flip_bit % 8);
        bytes.truncate(bytes.len() - cut_bytes % bytes.len());
    }
    bytes.extend_from_slice(suffix);
    bytes
}

fn encoded_frame() -> Vec<u8> {
    let fleet = Fleet::parse("fleet", "[class.push]\npriority = 0\ndeadline = \"2s\"\n");
    let configuration = wire::Configuration {
        since: id::Revision(0),
        revision: id::Revision(3),
        change: Change::between(&Fleet::default(), &fleet.expect("valid declarations")),
    };
    let frame = Frame {
        sender: "proxy-1".parse().expect("valid name"),
        incarnation: id::Incarnation(7),
        body: Body::Configuration(configuration),
    };
    frame.encode().expect("the frame is within the length limit")
}

fn encoded_startup() -> Vec<u8> {
    let mut packet = BytesMut::new();
    let parameters =
        [("user", "ana"), ("database", "ops-1"), ("options", "-c cactushatch.floor=ops-1@1.7")];
    postgres_protocol::message::frontend::startup_message(parameters, &mut packet)
        .expect("the packet is within the length limit");
    packet.to_vec()
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn frame_decoder_accepts_or_rejects_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = Frame::decode(&bytes);
    }

    #[test]
    fn frame_decoder_accepts_or_rejects_corrupted_frames(
        cut_bytes: usize,
        flip_offset: usize,
        flip_bit: u8,
        suffix in proptest::collection::vec(any::<u8>(), 0..50),
    ) {
        let _ = Frame::decode(&corrupt(encoded_frame(), cut_bytes, flip_offset, flip_bit, &suffix));
        let compressed = COMPRESSED.clone();
        let _ = Frame::decode(&corrupt(compressed, cut_bytes, flip_offset, flip_bit, &suffix));
    }

    #[test]
    fn startup_decoder_accepts_or_rejects_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = smol::block_on(read_startup(&mut bytes.as_slice()));
    }

    #[test]
    fn startup_decoder_accepts_or_rejects_corrupted_packets(
        cut_bytes: usize,
        flip_offset: usize,
        flip_bit: u8,
        suffix in proptest::collection::vec(any::<u8>(), 0..50),
    ) {
        let bytes = corrupt(encoded_startup(), cut_bytes, flip_offset, flip_bit, &suffix);
        let _ = smol::block_on(read_startup(&mut bytes.as_slice()));
    }

    #[test]
    fn decoded_message_is_not_longer_than_its_input(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let read = smol::block_on(read_message(&mut bytes.as_slice()));
        if let Ok(Some(message)) = read {
            prop_assert!(message.body.len() <= bytes.len());
        }
    }

    #[test]
    fn lengths_above_the_limit_are_rejected(length in MAX_MESSAGE_BYTES as u32 + 5..=u32::MAX) {
        let mut bytes = vec![b'Q'];
        bytes.extend_from_slice(&length.to_be_bytes());
        prop_assert!(smol::block_on(read_message(&mut bytes.as_slice())).is_err());
        let header = (length.max(MAX_STARTUP_BYTES as u32 + 5)).to_be_bytes();
        prop_assert!(smol::block_on(read_startup(&mut header.as_slice())).is_err());
    }

    #[test]
    fn floor_parser_accepts_or_rejects_arbitrary_text(text in "\\PC{0,80}") {
        let _ = text.parse::<Floor>();
    }

    #[test]
    fn floor_round_trips_through_text(
        group in "[a-z][a-z0-9-]{0,12}",
        term in any::<u64>(),
        position in any::<u64>(),
    ) {
        let text = format!("{group}@{term}.{position}");
        let floor: Floor = text.parse().expect("valid floor");
        prop_assert_eq!(floor.to_string(), text);
    }

    #[test]
    fn announcement_decoder_accepts_or_rejects_arbitrary_bytes(
        bytes in proptest::collection::vec(any::<u8>(), 0..500),
    ) {
        let _ = Announcement::decode(&bytes);
    }

    #[test]
    fn statement_analysis_handles_arbitrary_text(text in "\\PC{0,200}") {
        let _ = classify::kind(&text);
        let _ = classify::tags(&text);
        let _ = setting::handling(&text);
    }

    #[test]
    fn statement_analysis_handles_random_sql_tokens(
        tokens in proptest::collection::vec(
            prop_oneof![
                Just("SELECT"), Just("INSERT INTO t"), Just("VALUES"), Just("("), Just(")"),
                Just("/*"), Just("*/"), Just("'"), Just("\""), Just(";"), Just("$$"), Just("--"),
                Just("\n"), Just("request='push'"), Just("key='k'"), Just(","), Just("BEGIN"),
                Just("COMMIT"), Just("SET"), Just("LOCAL"), Just("x = 1"), Just("WITH"), Just("\0"),
            ],
            0..40,
        ),
    ) {
        let text = tokens.join(" ");
        let _ = classify::kind(&text);
        let _ = classify::tags(&text);
        let _ = setting::handling(&text);
    }

    #[test]
    fn declarations_parser_accepts_or_rejects_arbitrary_text(text in "\\PC{0,200}") {
        let _ = Fleet::parse("declarations", &text);
    }
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn control_store_opens_or_rejects_arbitrary_file_contents(
        file in prop_oneof![Just("control.identity"), Just("control.snapshot"), Just("control.log")],
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let directory = tempfile::tempdir().expect("temporary directory is created");
        std::fs::write(directory.path().join(file), &bytes).expect("file is written");
        let node = "control-1".parse().expect("valid name");
        let _ = Store::open(directory.path(), &node, id::Incarnation(1), 1);
    }
}

/// A count or a length near the limit of its type stands at each place of a frame in turn.
#[test]
fn counts_and_lengths_in_frames_are_not_trusted() {
    let replica = Replica {
        group: "ops-1".parse().expect("valid name"),
        instance: "ops-1-a".parse().expect("valid name"),
        address: "10.0.0.9:0".parse().expect("an address"),
        domain: "a".parse().expect("valid name"),
    };
    let announcement = wire::Announcement {
        replica: replica.clone(),
        born: id::Incarnation(u64::MAX),
        sequence: id::Sequence(u64::MAX),
        standing: Availability::Ready,
    };
    let route = Route {
        group: replica.group.clone(),
        epoch: None,
        replicas: vec![replica],
        draining: Vec::new(),
        share: u32::MAX,
        serving: Serving::Every,
        peaks: Vec::new(),
    };
    let grant = Grant {
        stamp: Stamp::default(),
        incarnation: id::Incarnation(u64::MAX),
        sequence: None,
        lease_ms: u32::MAX,
        version: u64::MAX,
        delta: Some(Delta { since: u64::MAX, routes: vec![route] }),
        revision: id::Revision(u64::MAX),
        quota: Vec::new(),
        positions: Vec::new(),
    };
    let action = Action::Announce(announcement.clone());
    let bodies = [
        Body::Announce(announcement),
        Body::Submit(Command { origin: None, action }),
        Body::Grant(grant),
        frame_with_many_databases(1).body,
    ];
    let encoded = bodies.map(|body| Frame {
        sender: "control-1".parse().expect("valid name"),
        incarnation: id::Incarnation(7),
        body,
    });
    for frame in encoded {
        let bytes = frame.encode().expect("the frame is within the length limit");
        assert_eq!(Frame::decode(&bytes).expect("the same frame"), frame);
        for at in 2..bytes.len() {
            for number in [u64::from(u16::MAX), u64::from(u32::MAX), 1 << 40, u64::MAX] {
                let number = postcard::to_allocvec(&number).expect("a number");
                let odd = [&bytes[..at], &number, &bytes[at + 1..]].concat();
                let _ = Frame::decode(&odd);
                let _ = Frame::decode(&odd[..at + number.len()]);
            }
        }
    }
}

/// Statements with a nesting too deep for a recursive parser must be rejected like other unparsable statements.
static COMPRESSED: LazyLock<Vec<u8>> =
    LazyLock::new(|| frame_with_many_databases(60).encode().expect("it is short enough"));

/// Returns a frame with the declarations of many databases.
fn frame_with_many_databases(count: usize) -> Frame {
    let mut text =
        "[class.push]\npriority = 0\ndeadline = \"2s\"\n[group.g]\ninstances = 3\nslots = 2\n\
                    connections = 16\nconnect_time = \"12ms\"\ndurability = \"majority\"\n\
                    default_class = \"push\"\n"
            .to_owned();
    for number in 0..count {
        text += &format!(
            "[database.d{number}]\ngroup = \"g\"\nclass = \"push\"\ntimeout = \"1s\"\ntarget = \"200ms\"\n"
        );
    }
    let fleet = Fleet::parse("fleet", &text).expect("valid declarations");
    let configuration = wire::Configuration {
        since: id::Revision(0),
        revision: id::Revision(3),
        change: Change::between(&Fleet::default(), &fleet),
    };
    Frame {
        sender: "control-1".parse().expect("valid name"),
        incarnation: id::Incarnation(7),
        body: Body::Configuration(configuration),
    }
}

/// Guards against configurations that cross failure domains at full length: those of one day with 410 databases took half
/// of all bytes.
#[test]
fn a_long_configuration_is_sent_in_a_third_of_its_bytes_or_less() {
    let frame = frame_with_many_databases(400);
    let plain = postcard::to_allocvec(&frame).expect("it can be encoded");
    let bytes = frame.encode().expect("the frame is within the length limit");
    assert!(bytes.len() * 3 < plain.len(), "{} of {}", bytes.len(), plain.len());
    assert_eq!(Frame::decode(&bytes).expect("the same frame"), frame);
    // The length before the block says how much memory the receiver needs.
    let mut too_long = bytes;
    too_long[2..6].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(matches!(Frame::decode(&too_long), Err(Error::TooLong { .. })));
}

#[test]
fn deeply_nested_statements_do_not_overflow_the_stack() {
    let nested_parentheses = format!("SELECT {}1{}", "(".repeat(50_000), ")".repeat(50_000));
    let _ = classify::kind(&nested_parentheses);
    let nested_not = format!("SELECT {} true", "NOT ".repeat(50_000));
    let _ = classify::kind(&nested_not);
}

const ANNOUNCEMENT: &str = r#"{"group":"ops-1","instance":"ops-1-a","address":"10.0.0.9:5432","domain":"a",
    "role":"replica","term":3,"position":1209}"#;

#[test]
fn odd_announcements_are_refused() {
    Announcement::decode(ANNOUNCEMENT.as_bytes()).expect("a valid announcement");
    let nested = "[".repeat(100_000);
    for (from, to) in [
        ("10.0.0.9:5432", "10.0.0.9:0"),
        ("10.0.0.9:5432", "10.0.0.9:65536"),
        ("10.0.0.9:5432", "0.0.0.0:5432"),
        ("10.0.0.9:5432", "[ff02::1]:5432"),
        ("\"term\":3", "\"term\":-1"),
        ("1209", "18446744073709551616"),
        ("1209", "1e30"),
        ("\"replica\"", "\"witness\""),
        ("\"a\"", nested.as_str()),
        ("\"term\":3", &format!("\"term\":3,\"more\":{nested}")),
    ] {
        let body = ANNOUNCEMENT.replacen(from, to, 1);
        assert_ne!(body, ANNOUNCEMENT, "{from} is not there");
        assert!(Announcement::decode(body.as_bytes()).is_err(), "{from} -> {to:.40}");
    }
}

/// Control adds one to the term of a group at each failover.
#[test]
fn a_status_with_a_number_out_of_range_is_refused() {
    let status = |term: &str, position: &str| {
        let fields = ["primary", term, position, position, position, "0"];
        Status::try_from(fields.map(|field| Some(field.to_owned())).to_vec())
    };
    assert!(status(&MAX_TERM.to_string(), "7").is_ok());
    for odd in ["18446744073709551615", "9007199254740992", "18446744073709551616", "-1", "1e3"] {
        assert!(status(odd, "7").is_err(), "{odd}");
    }
    for odd in ["18446744073709551616", "-1", "1e3", ""] {
        assert!(status("7", odd).is_err(), "{odd}");
    }
}
