//! Tests the formats of the platform adapter, lines, heartbeats and configurations, with valid and malformed input.

#[path = "../platform/announcement.rs"]
#[allow(dead_code, reason = "only the gateway creates the answer to a heartbeat")]
mod announcement;
#[path = "../platform/declaration.rs"]
mod declaration;
#[path = "../platform/line.rs"]
mod line;

use bytes::BytesMut;
use cactushatch::config::{Consistency, Durability, Fleet, KeyDigest, OperationRate, Quota, Span};
use cactushatch::id;
use cactushatch::proxy::floor::Mark;
use cactushatch::statement::{
    Access, Answer, Code, Codec, Command, DecodeError, Id, Input, MAX_LINE_BYTES, Request, State,
    Statement, Text,
};
use cactushatch::upstream::status::MAX_TERM;
use cactushatch::wire::{Availability, Role};
use line::LineCodec;
use proptest::prelude::*;
use std::time::Duration;

fn decode_request(line: &str) -> Result<Option<Request>, DecodeError> {
    LineCodec.decode_request(&mut Input::from(format!("{line}\r\n").as_bytes()))
}

fn decode_answer(line: &str) -> Result<Option<Answer>, DecodeError> {
    LineCodec.decode_answer(&mut Input::from(format!("{line}\r\n").as_bytes()))
}

fn encode_command(command: &Command<'_>) -> String {
    let mut output = BytesMut::new();
    LineCodec.encode_command(command, &mut output).expect("the command can be written");
    String::from_utf8(output.to_vec()).expect("the command is UTF-8")
}

fn mark(term: u64, position: u64) -> Mark {
    Mark { term: id::Term(term), position: id::Position(position) }
}

#[test]
fn lines_of_callers_are_decoded() {
    let opened = Request::Open { database: "lepu270".into(), key: "u3f1".into() };
    assert_eq!(decode_request("CONNECT lepu270 u3f1"), Ok(Some(opened)));
    let query = |statement| Ok(Some(Request::Query { id: Id::new("5c0e"), statement }));
    let text = Text::from("PUT 1a4 two  words");
    let put = Statement::Data { access: Access::Write, text: text.clone() };
    assert_eq!(decode_request(&format!("QUERY 5c0e {text}")), query(put));
    assert_eq!(
        decode_request("QUERY 5c0e BEGIN FETCH"),
        query(Statement::Begin { read_only: true })
    );
    assert_eq!(decode_request("QUERY 5c0e BEGIN"), query(Statement::Begin { read_only: false }));
    let execute = Statement::Execute { name: "s1".into(), arguments: Some("1a4 x y".into()) };
    assert_eq!(decode_request("QUERY 5c0e EXEC s1 1a4 x y"), query(execute));
    let set = Statement::Set { name: "zone".into(), value: "a b".into() };
    assert_eq!(decode_request("QUERY 5c0e SET zone a b"), query(set));
    assert_eq!(decode_request("QUERY 5c0e AFTER 1.2 FETCH 1a4"), query(Statement::Unknown));
    assert_eq!(decode_request("BYE"), Ok(Some(Request::Close)));
}

#[test]
fn malformed_lines_give_typed_errors() {
    assert_eq!(decode_request("HELLO there"), Err(DecodeError::Kind));
    assert_eq!(decode_request("CONNECT lepu270"), Err(DecodeError::Field));
    assert_eq!(decode_request("CONNECT lepu270 "), Err(DecodeError::Field));
    assert_eq!(decode_request("QUERY"), Err(DecodeError::Field));
    assert_eq!(decode_request("QUERY  FETCH 1a4"), Err(DecodeError::Field));
    assert_eq!(decode_request("BYE 5c0e"), Err(DecodeError::Field));
    assert_eq!(decode_answer("DONE"), Err(DecodeError::Field));
    assert_eq!(decode_answer("ERR"), Err(DecodeError::Field));
    assert_eq!(decode_answer("READY I"), Err(DecodeError::Field));
    assert_eq!(decode_answer("READY I  -"), Err(DecodeError::Field));
    assert_eq!(decode_answer("READY X 1.2"), Err(DecodeError::Field));
    assert_eq!(decode_answer("READY I 12"), Err(DecodeError::Field));
    assert_eq!(decode_answer("ROWS x"), Err(DecodeError::Kind));
    let mut bytes = Input::from(&b"\xff\xfe 1 FETCH 1a4\r\n"[..]);
    assert_eq!(LineCodec.decode_request(&mut bytes), Err(DecodeError::Kind));
    let mut bytes = Input::from(&b"READY I 3.\xff\r\n"[..]);
    assert_eq!(LineCodec.decode_answer(&mut bytes), Err(DecodeError::Field));
    let mut endless = Input::from(vec![b'x'; MAX_LINE_BYTES + 1].as_slice());
    assert_eq!(LineCodec.decode_request(&mut endless), Err(DecodeError::TooLong));
}

#[test]
fn an_incomplete_line_stays_in_the_input() {
    let mut bytes = Input::from(&b"QUERY 1 FET"[..]);
    assert_eq!(LineCodec.decode_request(&mut bytes), Ok(None));
    assert_eq!(bytes.as_bytes(), b"QUERY 1 FET");
}

#[test]
fn content_that_is_not_utf8_is_passed_on() {
    let mut bytes = Input::from(&b"QUERY \xfe FETCH \xff\xfe\r\n"[..]);
    let text = Text::from(&b"FETCH \xff\xfe"[..]);
    let statement = Statement::Data { access: Access::Read, text: text.clone() };
    let id = Id::new(&b"\xfe"[..]);
    let query = Request::Query { id: id.clone(), statement };
    assert_eq!(LineCodec.decode_request(&mut bytes), Ok(Some(query)));
    assert!(bytes.is_empty());
    let mut output = BytesMut::new();
    let command = Command::Data { id: &id, after: None, text: &text };
    assert_eq!(LineCodec.encode_command(&command, &mut output), Ok(()));
    assert_eq!(&output[..], b"QUERY \xfe FETCH \xff\xfe\r\n");
}

/// Framing is intact and the id is known, so the session can answer and go on.
#[test]
fn a_statement_with_a_missing_field_is_not_known() {
    let unknown = Ok(Some(Request::Query { id: Id::new("5c0e"), statement: Statement::Unknown }));
    for text in [
        "",
        " ",
        " BEGIN ",
        " COMMIT ",
        " ROLLBACK now",
        " SET",
        " SET zone",
        " PREPARE s1 FETCH",
        " PREPARE s1 DROP x",
        " EXEC",
        " DEALLOC",
        "  FETCH 1a4",
        " fetch 1a4",
    ] {
        assert_eq!(decode_request(&format!("QUERY 5c0e{text}")), unknown, "{text:?}");
    }
}

#[test]
fn answers_of_instances_are_decoded() {
    let ready = Answer::Ready { state: State::Failed, position: Some(mark(3, 1209)) };
    assert_eq!(decode_answer("READY E 3.1209"), Ok(Some(ready)));
    let ready = Answer::Ready { state: State::Idle, position: None };
    assert_eq!(decode_answer("READY I -"), Ok(Some(ready)));
    let failed = Answer::Failed { code: Code::ReadOnly, text: "i-7f 3a".into() };
    assert_eq!(decode_answer("ERR READONLY i-7f 3a"), Ok(Some(failed)));
    let refused = Answer::Failed { code: Code::NotAuthenticated, text: Text::default() };
    assert_eq!(decode_answer("ERR NOAUTH"), Ok(Some(refused)));
    let other = Answer::Failed { code: Code::Other("NOROOM".into()), text: Text::default() };
    assert_eq!(decode_answer("ERR NOROOM"), Ok(Some(other)));
}

#[test]
fn encoded_commands_keep_id_and_text() {
    let id = Id::new("5c0e");
    let text = &Text::from("FETCH 1a4");
    let data = |after| encode_command(&Command::Data { id: &id, after, text });
    assert_eq!(data(None), "QUERY 5c0e FETCH 1a4\r\n");
    assert_eq!(data(Some(mark(3, 7))), "QUERY 5c0e AFTER 3.7 FETCH 1a4\r\n");
    let begin = Command::Begin { read_only: true, after: Some(mark(3, 7)) };
    assert_eq!(encode_command(&begin), "QUERY - AFTER 3.7 BEGIN FETCH\r\n");
    let execute =
        Command::Execute { id: &id, after: None, name: "c1", arguments: Some(&"1a4 x".into()) };
    assert_eq!(encode_command(&execute), "QUERY 5c0e EXEC c1 1a4 x\r\n");
    let (group, instance) = ("huvo11a".parse().unwrap(), "i-7f".parse().unwrap());
    let open = Command::Open { group: &group, instance: &instance, account: None };
    assert_eq!(encode_command(&open), "CONNECT huvo11a cactushatch i-7f\r\n");
}

#[test]
fn a_status_gives_the_start_of_its_term_only_while_it_is_known() {
    let status = LineCodec.decode_status(b"replica 3 3.1209 0 12 2 17").unwrap();
    assert_eq!((status.role, status.term), (Role::Replica, id::Term(3)));
    assert_eq!((status.received, status.start), (id::Position(1209), id::Position(0)));
    assert_eq!(status.paused, None);
    let paused = LineCodec.decode_status(b"replica 3 3.1209 4 12 2 17").unwrap();
    assert_eq!(paused.paused, Some(id::Term(4)));
    let promoted = LineCodec.decode_status(b"primary 4 3.1209 0 0 0 3").unwrap();
    assert_eq!((promoted.term, promoted.start), (id::Term(4), id::Position(1209)));
    assert_eq!(LineCodec.decode_status(b"witness 3 3.1209 0 12 2 17"), Err(DecodeError::Field));
    assert_eq!(LineCodec.decode_status(b"replica 3"), Err(DecodeError::Field));
}

/// Control adds one to the term of a group at each failover: a term at the limit of its type would end the process at the
/// next one, and again at each start, since it is in the log.
#[test]
fn numbers_of_instances_out_of_range_are_refused() {
    let greatest = MAX_TERM.0;
    assert!(
        LineCodec
            .decode_status(format!("primary {greatest} {greatest}.7 0 0 0 1").as_bytes())
            .is_ok()
    );
    for (term, position) in [
        ("18446744073709551615", "1.7"),
        ("1", "18446744073709551615.7"),
        ("9007199254740992", "1.7"),
        ("18446744073709551616", "1.7"),
        ("1", "1.18446744073709551616"),
        ("-1", "1.7"),
        ("1e3", "1.7"),
        ("1", "1.7.7"),
        ("1", "1.-7"),
        ("1", "."),
    ] {
        let row = format!("primary {term} {position} 0 0 0 1");
        assert_eq!(LineCodec.decode_status(row.as_bytes()), Err(DecodeError::Field), "{row}");
    }
    for position in ["18446744073709551615.7", "1.18446744073709551616", "-1.7", "1e3.7"] {
        assert_eq!(decode_answer(&format!("READY I {position}")), Err(DecodeError::Field));
    }
    // Fields that have no meaning here may hold anything.
    assert!(LineCodec.decode_status(b"replica 1 1.7 18446744073709551616 1e400 -1 x").is_ok());
}

const HEARTBEAT: &str = r#"{"Service":"huvo11a","Addr":"10.128.0.9:8080","Zone":"a","Version":"v1","Slots":2,
    "State":"draining","ColdLeftMs":0,"DbRole":"replica","Seq":4,"born":1700000000000}"#;

#[test]
fn a_heartbeat_is_decoded() {
    let announcement = announcement::decode("i-7f", HEARTBEAT.as_bytes()).unwrap();
    assert_eq!(announcement.replica.group.as_str(), "huvo11a");
    assert_eq!(announcement.replica.address, "10.128.0.9:8080".parse().unwrap());
    assert_eq!(
        (announcement.standing, announcement.sequence),
        (Availability::Leaving, id::Sequence(4))
    );
    assert_eq!(announcement.born, id::Incarnation(1_700_000_000_000));
}

#[test]
fn a_malformed_heartbeat_is_refused() {
    for (from, to) in [
        ("\"Seq\":4", "\"Seq\":\"4\""),
        ("\"Seq\":4,", ""),
        ("draining", "resting"),
        ("\"Addr\":\"10.128.0.9:8080\"", "\"Addr\":7"),
        ("10.128.0.9:8080", "here"),
        ("\"replica\"", "\"witness\""),
        ("\"Zone\":\"a\",", ""),
        ("1700000000000", "1700000000000.5"),
    ] {
        let body = HEARTBEAT.replace(from, to);
        assert_ne!(body, HEARTBEAT, "{from} is not there");
        assert!(announcement::decode("i-7f", body.as_bytes()).is_err(), "{body}");
    }
    assert!(announcement::decode("i 7f", HEARTBEAT.as_bytes()).is_err());
    assert!(announcement::decode("i-7f", b"\xff\x00").is_err());
}

/// An instance that can't be reached counts in its group until its registration expires, and a failover waits for it.
#[test]
fn a_heartbeat_with_an_address_that_accepts_no_connections_is_refused() {
    for address in [
        "10.128.0.9:0",
        "10.128.0.9:65536",
        "10.128.0.9:99999",
        "10.128.0.9:-1",
        "0.0.0.0:8080",
        "255.255.255.255:8080",
        "224.0.0.1:8080",
        "[::]:8080",
        "[ff02::1]:8080",
        "[::ffff:224.0.0.1]:8080",
        "[::ffff:0.0.0.0]:8080",
        "[fe80::1%3]:8080",
    ] {
        let body = HEARTBEAT.replace("10.128.0.9:8080", address);
        assert!(announcement::decode("i-7f", body.as_bytes()).is_err(), "{address}");
    }
    for address in ["127.0.0.1:1", "10.0.0.255:65535", "[fd00::9]:8080", "[::ffff:10.0.0.1]:8080"] {
        let body = HEARTBEAT.replace("10.128.0.9:8080", address);
        let announcement = announcement::decode("i-7f", body.as_bytes()).unwrap();
        assert_eq!(announcement.replica.address, address.parse().unwrap());
    }
}

/// Another writer's fields must neither exhaust the stack nor be taken for those of an instance.
#[test]
fn a_heartbeat_that_is_deeply_nested_or_too_long_is_refused() {
    let lists = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let objects = |depth: usize| format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth));
    let with_field = |value: &str| {
        let body = HEARTBEAT.replace("\"Seq\":4", &format!("\"Seq\":4,\"more\":{value}"));
        announcement::decode("i-7f", body.as_bytes())
    };
    for value in ["7", "-1e30", "null", "\"\"", "{\"a\":[{}]}", &lists(100), &objects(100)] {
        assert!(with_field(value).is_ok(), "{value}");
    }
    for depth in [128, 1_000, 100_000] {
        for value in [lists(depth), objects(depth), "[".repeat(depth)] {
            assert!(with_field(&value).is_err(), "{depth}");
            assert!(announcement::decode("i-7f", value.as_bytes()).is_err(), "{depth}");
            let known = HEARTBEAT.replace("\"huvo11a\"", &value);
            assert!(announcement::decode("i-7f", known.as_bytes()).is_err(), "{depth}");
        }
    }
    assert!(with_field(&format!("\"{}\"", "x".repeat(60_000))).is_ok());
    assert!(with_field(&format!("\"{}\"", "x".repeat(70_000))).is_err());
}

/// After a heartbeat with a number near the limit of its type, the later ones of the same instance would be late.
#[test]
fn a_heartbeat_with_a_number_out_of_range_is_refused() {
    const MAX_SEQUENCE: u64 = (1 << 53) - 1;
    const MAX_BORN_MS: u64 = 4_102_444_800_000;
    let decode = |sequence: &str, born: &str| {
        let body = HEARTBEAT.replace("\"Seq\":4", &format!("\"Seq\":{sequence}"));
        announcement::decode("i-7f", body.replace("1700000000000", born).as_bytes())
    };
    let greatest = decode(&MAX_SEQUENCE.to_string(), &MAX_BORN_MS.to_string()).unwrap();
    assert_eq!(greatest.sequence, id::Sequence(MAX_SEQUENCE));
    assert_eq!(greatest.born, id::Incarnation(MAX_BORN_MS));
    assert!(decode("0", "0").is_ok());
    let odd =
        ["18446744073709551615", "18446744073709551616", "-1", "1e30", "1e999", "4.0", "null"];
    for number in odd {
        assert!(decode(number, "1700000000000").is_err(), "Seq {number}");
        assert!(decode("4", number).is_err(), "born {number}");
    }
    assert!(decode(&(MAX_SEQUENCE + 1).to_string(), "1700000000000").is_err());
    assert!(decode("4", &(MAX_BORN_MS + 1).to_string()).is_err());
    for (from, to) in [
        ("\"Slots\":2", "\"Slots\":4294967296"),
        ("\"Slots\":2", "\"Slots\":-2"),
        ("\"ColdLeftMs\":0", "\"ColdLeftMs\":18446744073709551616"),
        ("\"ColdLeftMs\":0", "\"ColdLeftMs\":1e400"),
    ] {
        let body = HEARTBEAT.replace(from, to);
        assert_ne!(body, HEARTBEAT, "{from} is not there");
        assert!(announcement::decode("i-7f", body.as_bytes()).is_err(), "{to}");
    }
}

const CONFIGURATION: &str = r#"{"Version":7,"Routes":[
    {"Name":"r-1","Host":"fiti","PathPrefix":"/","Type":"session","TimeoutMs":800,"TargetLatencyMs":200,
     "Priority":2,"Service":"huvo11a","Attempts":2,"MaxStaleMs":2500},
    {"Name":"r-2","Host":"lepu","PathPrefix":"/","Type":"primary","TimeoutMs":800,"TargetLatencyMs":120,
     "Priority":1,"Service":"huvo11a","Attempts":2},
    {"Name":"r-3","Host":"xapu","PathPrefix":"/","Type":"bounded","TimeoutMs":1500,"TargetLatencyMs":400,
     "Priority":2,"Service":"kafi81c","Attempts":2,"MaxStaleMs":1500}],
  "Services":[{"Name":"huvo11a","HealthPath":"/healthz","MaxConns":16,"Protocol":"h1","Tls":false,"SyncCount":1},
    {"Name":"kafi81c","HealthPath":"/healthz","MaxConns":16,"Protocol":"h1","Tls":false,"SyncCount":1}],
  "Limits":{"MaxHeaderBytes":16384,"TxIdleMs":3000}}"#;

#[test]
fn a_configuration_gives_valid_declarations() {
    let declaration = declaration::decode(CONFIGURATION.as_bytes()).unwrap();
    assert_eq!(declaration.edition, id::Edition(7));
    assert_eq!(declaration.source, CONFIGURATION);
    let fleet = Fleet::parse("declarations", &declaration.text).unwrap();
    let database = |name: &str| &fleet.database[&name.parse::<id::Database>().unwrap()];
    let span = |ms| Span(Duration::from_millis(ms));
    assert_eq!(database("fiti").reads, Consistency::Session(span(2_500)));
    assert_eq!(database("lepu").reads, Consistency::Latest);
    assert_eq!(database("xapu").reads, Consistency::Bounded(span(1_500)));
    assert_eq!((database("xapu").timeout, database("xapu").target), (span(1_500), span(400)));
    let group = &fleet.group[&"huvo11a".parse::<id::Group>().unwrap()];
    assert_eq!((group.instances, group.connections), (3, 16));
    assert_eq!((group.durability, group.promoted_outside), (Durability::Majority, true));
    assert_eq!(fleet.idle_transaction, Some(span(3_000)));
    let class = &fleet.class[&database("lepu").class];
    assert_eq!(class.priority, 1);
}

/// Guards against keys that are stored readably in declarations, a quota that is lost or invented, and a database that is
/// opened to everyone because one of its routes is.
#[test]
fn tenants_become_accounts() {
    let with = |tenants: &str| CONFIGURATION.replacen('{', &format!("{{\"Tenants\":{tenants},"), 1);
    let fleet = |body: &str| {
        let declaration = declaration::decode(body.as_bytes()).unwrap();
        assert_eq!(declaration.source, body);
        assert!(!declaration.text.contains("u3f1"), "{}", declaration.text);
        Fleet::parse("declarations", &declaration.text).unwrap()
    };
    let tenants = r#"[{"Name":"ann","ApiKeys":["u3f1","u3f2","u3f1"],"RatePerS":12.5,"Burst":7.2,"Priority":1},
        {"Name":"ben","ApiKeys":[],"RatePerS":3},{"Name":"cat","Burst":4},
        {"Name":"dan","ApiKeys":["",""],"RatePerS":0.0001,"Burst":0},{"Name":"eve","ApiKeys":null}]"#;
    let declared = fleet(&with(tenants));
    assert!(declared.require_account);
    let account = |name: &str| declared.account[&name.parse::<id::Account>().unwrap()].clone();
    let quota = |rate, burst| Some(Quota { rate: OperationRate::new(rate), burst });
    assert_eq!(account("ann").quota, quota(12.5, 8));
    let mut keys = vec![KeyDigest::of("u3f1"), KeyDigest::of("u3f2")];
    keys.sort_unstable();
    assert_eq!(account("ann").keys, keys);
    assert_eq!((account("ben").quota, account("cat").quota), (None, None));
    assert_eq!((account("dan").quota, account("dan").keys), (quota(0.001, 1), vec![]));
    assert!(fleet(&with("[]")).require_account && fleet(&with("[]")).account.is_empty());

    let public =
        |body: &str| body.replace("\"Host\":\"fiti\",", "\"Host\":\"fiti\",\"Public\":true,");
    let is_open = |body: &str| {
        let fleet = fleet(body);
        ["fiti", "lepu"].map(|name| fleet.database[&name.parse::<id::Database>().unwrap()].open)
    };
    assert_eq!(is_open(&public(&with("[]"))), [true, false]);
    assert_eq!(fleet(&public(CONFIGURATION)), fleet(CONFIGURATION));
    let second = r#"{"Name":"r-0","Host":"fiti","PathPrefix":"/longer","Type":"session","TimeoutMs":800,
        "Service":"huvo11a"},"#;
    let two = public(&with("[]")).replace("\"Routes\":[", &format!("\"Routes\":[{second}"));
    assert_eq!(is_open(&two), [false, false]);

    for tenants in [
        r#"[{"Name":"ann","ApiKeys":["u3f1"]},{"Name":"ben","ApiKeys":["u3f2","u3f1"]}]"#,
        r#"[{"Name":"ann"},{"Name":"ann"}]"#,
        r#"[{"Name":""}]"#,
        r#"[{"Name":"ann","RatePerS":-1,"Burst":1}]"#,
        r#"[{"Name":"ann","ApiKeys":[7]}]"#,
    ] {
        let error = declaration::decode(with(tenants).as_bytes()).expect_err(tenants);
        assert!(!error.to_string().contains("u3f1"), "{error}");
    }
}

/// A number of copies at the limit of its type must neither end the process nor turn into a smaller one, with which a
/// commit would count as durable on the primary alone.
#[test]
fn a_huge_number_of_synchronous_copies_stays_a_huge_number() {
    for copies in [1 << 31, u32::MAX] {
        let body = CONFIGURATION.replace("\"SyncCount\":1", &format!("\"SyncCount\":{copies}"));
        let declaration = declaration::decode(body.as_bytes()).unwrap();
        let fleet = Fleet::parse("declarations", &declaration.text).unwrap();
        let group = &fleet.group[&"huvo11a".parse::<id::Group>().unwrap()];
        assert_eq!((group.instances, group.durability), (15, Durability::Majority));
    }
}

/// A configuration is valid with any limit above zero, and must not be refused because declarations allow fewer.
#[test]
fn limits_beyond_those_of_declarations_are_clamped() {
    for (connections, idle_ms, clamped) in [
        (u32::MAX, u64::MAX, (10_000, 3_600_000)),
        (100_001, 3_600_001, (10_000, 3_600_000)),
        (1, 1, (3, 10)),
        (16, 3_000, (16, 3_000)),
    ] {
        let body = CONFIGURATION.replace("\"MaxConns\":16", &format!("\"MaxConns\":{connections}"));
        let body = body.replace("\"TxIdleMs\":3000", &format!("\"TxIdleMs\":{idle_ms}"));
        let declaration = declaration::decode(body.as_bytes()).unwrap();
        let fleet = Fleet::parse("declarations", &declaration.text).unwrap();
        let group = &fleet.group[&"huvo11a".parse::<id::Group>().unwrap()];
        let idle_transaction = Some(Span(Duration::from_millis(clamped.1)));
        assert_eq!((group.connections, fleet.idle_transaction), (clamped.0, idle_transaction));
    }
}

#[test]
fn an_invalid_configuration_is_refused() {
    for (from, to) in [
        ("\"TimeoutMs\":1500", "\"TimeoutMs\":0"),
        ("\"Service\":\"kafi81c\"", "\"Service\":\"nobody\""),
        ("\"Host\":\"xapu\"", "\"Host\":\"lepu\""),
        ("\"Version\":7", "\"Version\":\"7\""),
        ("\"bounded\"", "\"sometimes\""),
        ("3000}}", "3000}"),
        ("\"TimeoutMs\":1500,", ""),
    ] {
        let body = CONFIGURATION.replace(from, to);
        assert_ne!(body, CONFIGURATION, "{from} is not there");
        assert!(declaration::decode(body.as_bytes()).is_err(), "{from} -> {to}");
    }
    assert!(declaration::decode(b"").is_err());
    assert!(declaration::decode(b"\xff").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoders_do_not_panic_on_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut input = Input::from(bytes.as_slice());
        while let Ok(Some(_)) = LineCodec.decode_request(&mut input) {}
        let mut input = Input::from(bytes.as_slice());
        while let Ok(Some(_)) = LineCodec.decode_answer(&mut input) {}
        let _ = LineCodec.decode_status(&bytes);
        let _ = announcement::decode("i-1", &bytes);
        let _ = declaration::decode(&bytes);
    }

    #[test]
    fn damaged_bodies_are_refused_or_give_valid_declarations(cut in 0..600_usize, flip in 0..600_usize, bit in 0..8_u8) {
        for body in [HEARTBEAT, CONFIGURATION] {
            let mut bytes = body.as_bytes().to_vec();
            let at = flip % bytes.len();
            bytes[at] ^= 1 << bit;
            bytes.truncate(bytes.len() - cut % bytes.len());
            let _ = announcement::decode("i-1", &bytes);
            if let Ok(declaration) = declaration::decode(&bytes) {
                prop_assert!(Fleet::parse("declarations", &declaration.text).is_ok(), "{}", declaration.text);
            }
        }
    }
}
