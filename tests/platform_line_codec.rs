//! Tests the line codec as a pair: what is written is read as the same message, whatever its fields contain and in
//! whichever pieces it arrives.

#[path = "../platform/line.rs"]
mod line;

use std::time::{Duration, Instant};

use bytes::BytesMut;
use cactushatch::broker::session::{Action, Body, Session};
use cactushatch::broker::setup::{Change, Setup};
use cactushatch::id;
use cactushatch::proxy::floor::Mark;
use cactushatch::statement::{
    Access, Answer, Code, Codec, Command, DecodeError, EncodeError, Id, Input, MAX_LINE_BYTES,
    Request, State, Statement, Template, Text,
};
use line::LineCodec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// What has a meaning in a line, or had one.
const PIECES: [&[u8]; 15] = [
    b"\r",
    b"\n",
    b"\r\n",
    b" ",
    b"  ",
    b"\0",
    b"\t",
    "\u{85}".as_bytes(),
    "\u{2028}".as_bytes(),
    b"\xff",
    b"ROW x",
    b"DONE x",
    b"READY I -",
    b"BYE",
    b"QUERY zz PUT stolen x",
];

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns any bytes, often those of [`PIECES`].
fn content() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        3 => prop::sample::select(PIECES.to_vec()).prop_map(<[u8]>::to_vec),
        2 => prop::collection::vec(any::<u8>(), 0..4),
        2 => "[a-z]{1,6}".prop_map(String::into_bytes),
    ];
    prop::collection::vec(piece, 0..6).prop_map(|pieces| pieces.concat())
}

fn text() -> impl Strategy<Value = Text> {
    content().prop_map(|bytes| Text::from(bytes.as_slice()))
}

/// Returns content that a line can carry as its last field.
fn last_field() -> impl Strategy<Value = Vec<u8>> {
    content().prop_filter("it ends a line", |bytes| !has(bytes, b"\r\n"))
}

/// Returns content that a line can carry as a field before others.
fn word() -> impl Strategy<Value = Vec<u8>> {
    let word = content().prop_map(|bytes| bytes.into_iter().filter(|byte| *byte != b' ').collect());
    word.prop_filter("it ends a line, or is empty", |bytes: &Vec<u8>| {
        !bytes.is_empty() && !has(bytes, b"\r\n")
    })
}

fn has(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

fn answer() -> impl Strategy<Value = Answer> {
    let codes = [
        Code::Busy,
        Code::Aborted,
        Code::Lagging,
        Code::ReadOnly,
        Code::Misrouted,
        Code::TooManyConnections,
        Code::Unknown,
        Code::Timeout,
        Code::Failed,
        Code::NotAuthenticated,
        Code::NoDatabase,
        Code::NoStatement,
        Code::Malformed,
    ];
    let code = prop_oneof![prop::sample::select(codes.to_vec()), text().prop_map(Code::Other),];
    let state = prop::sample::select(vec![State::Idle, State::Open, State::Failed]);
    let position = prop::option::of((0..9_u64, any::<u64>()).prop_map(|(term, position)| Mark {
        term: id::Term(term),
        position: id::Position(position),
    }));
    prop_oneof![
        text().prop_map(Answer::Row),
        text().prop_map(Answer::Done),
        (code, text()).prop_map(|(code, text)| Answer::Failed { code, text }),
        (state, position).prop_map(|(state, position)| Answer::Ready { state, position }),
    ]
}

/// Returns all messages in the input, and the error at which they end.
fn decode_all<T>(
    input: &mut Input,
    decode: impl Fn(&mut Input) -> Result<Option<T>, DecodeError>,
) -> (Vec<T>, Option<DecodeError>) {
    let mut messages = Vec::new();
    loop {
        match decode(input) {
            Ok(Some(message)) => messages.push(message),
            Ok(None) => return (messages, None),
            Err(error) => return (messages, Some(error)),
        }
    }
}

/// Returns all messages of bytes that arrive in pieces of these lengths, and the error at which they end.
fn decode_in_pieces<T>(
    mut bytes: &[u8],
    lengths: &[usize],
    decode: impl Fn(&mut Input) -> Result<Option<T>, DecodeError>,
) -> (Vec<T>, Option<DecodeError>) {
    let mut input = Input::default();
    let mut messages = Vec::new();
    let mut lengths = lengths.iter().cycle();
    while !bytes.is_empty() {
        let len = lengths.next().map_or(bytes.len(), |len| *len).clamp(1, bytes.len());
        input.extend_from_slice(&bytes[..len]);
        bytes = &bytes[len..];
        let (more, error) = decode_all(&mut input, &decode);
        messages.extend(more);
        if error.is_some() {
            return (messages, error);
        }
    }
    (messages, None)
}

fn request(input: &mut Input) -> Result<Option<Request>, DecodeError> {
    LineCodec.decode_request(input)
}

fn reply(input: &mut Input) -> Result<Option<Answer>, DecodeError> {
    LineCodec.decode_answer(input)
}

/// Encodes a command after other output, which must stay as it is.
fn encode(command: &Command<'_>) -> Result<Vec<u8>, EncodeError> {
    let mut output = BytesMut::from(&b"before"[..]);
    let encoded = LineCodec.encode_command(command, &mut output);
    let line = output.strip_prefix(b"before").expect("the output before is unchanged");
    if encoded.is_err() {
        assert!(line.is_empty(), "a part of a command is written");
    }
    encoded.map(|()| line.to_vec())
}

/// Returns what an instance is sent for a statement of a session in which `s1` is prepared, with the connection's name
/// for it replaced by that of the session.
fn pass_on(line: &[u8], access: Access) -> Vec<u8> {
    let mut session = Session::default();
    let template = Template { access, text: "shape".into() };
    session.handle(Statement::Prepare { name: "s1".into(), template });
    let mut input = Input::from(line);
    let Ok(Some(Request::Query { id, statement })) = LineCodec.decode_request(&mut input) else {
        panic!("{} is not read", line.escape_ascii());
    };
    assert!(input.is_empty(), "a rest of {} is left", line.escape_ascii());
    let empty = Text::default();
    let name = "s1";
    let action = session.handle(statement);
    let Action::Single(operation) = &action else {
        panic!("{} is not passed on: {action:?}", line.escape_ascii());
    };
    let command = match &operation.body {
        Body::Text(text) => Command::Data { id: &id, after: None, text },
        Body::Prepared { arguments, .. } => {
            let arguments = Some(arguments).filter(|arguments| !arguments.is_empty());
            Command::Execute { id: &id, after: None, name, arguments }
        }
        Body::PreparedWithEmpty(_) => {
            Command::Execute { id: &id, after: None, name, arguments: Some(&empty) }
        }
    };
    encode(&command).expect("it can be passed on")
}

/// The report of issue 57: data with a line feed was cut there, and its rest was read as a message.
#[test]
fn a_line_feed_in_data_does_not_end_a_statement() {
    let statements: [&[u8]; 12] = [
        b"QUERY i1 EXEC s1 key alokwussmlc\nerctg\r\n",
        b"QUERY i1 EXEC s1 key x\nQUERY zz PUT stolen x\r\n",
        b"QUERY i1 EXEC s1 key x\n\r\n",
        b"QUERY i1 EXEC s1 key x\r\r\n",
        b"QUERY i1 EXEC s1\r\n",
        b"QUERY i1 EXEC s1 \r\n",
        b"QUERY i1 EXEC s1  \r\n",
        b"QUERY i1 FETCH key \r\n",
        b"QUERY i1 FETCH  key\r\n",
        b"QUERY i1 FETCH\r\n",
        b"QUERY i1 PUT key \xff\xfe\0\t\xc2\x85\xe2\x80\xa8\r\n",
        b"QUERY \xff PUT key \n \r \n\r \r\n",
    ];
    for line in statements {
        let passed = pass_on(line, Access::Write);
        assert_eq!(passed.escape_ascii().to_string(), line.escape_ascii().to_string());
    }
}

#[test]
fn a_line_that_stops_at_any_byte_is_continued() {
    let bytes = b"QUERY i1 PUT key a\rb\nc\r\r\nQUERY i2 COMMIT\r\nBYE\r\n";
    let whole = decode_all(&mut Input::from(&bytes[..]), request);
    assert_eq!((whole.0.len(), whole.1), (3, None));
    for at in 0..=bytes.len() {
        let mut input = Input::default();
        let mut messages = Vec::new();
        for part in [&bytes[..at], &bytes[at..]] {
            input.extend_from_slice(part);
            messages.extend(decode_all(&mut input, request).0);
        }
        assert_eq!(messages, whole.0, "cut at {at}");
        assert!(input.is_empty());
    }
}

#[test]
fn a_line_of_the_maximum_length_passes_and_a_longer_one_does_not() {
    let data = |len: usize| "x".repeat(len - "PUT ".len() - "QUERY i ".len());
    let id = Id::new("i");
    for (len, passes) in [(MAX_LINE_BYTES, true), (MAX_LINE_BYTES + 1, false)] {
        let text = Text::from(format!("PUT {}", data(len)));
        let encoded = encode(&Command::Data { id: &id, after: None, text: &text });
        assert_eq!(encoded.as_ref().err(), (!passes).then_some(&EncodeError::TooLong));
        let line = format!("QUERY i PUT {}\r\n", data(len)).into_bytes();
        assert_eq!(line.len(), len + 2);
        for pieces in [&[usize::MAX][..], &[4096], &[4096, 1]] {
            let (messages, error) = decode_in_pieces(&line, pieces, request);
            assert_eq!(
                (messages.len(), error),
                (usize::from(passes), (!passes).then_some(DecodeError::TooLong))
            );
        }
        if passes {
            assert_eq!(encoded.expect("it is encoded"), line);
        }
        // A line that can only be too long is refused before it ends.
        let (_, error) = decode_in_pieces(&line[..line.len() - 2], &[4096], request);
        assert_eq!(error, (!passes).then_some(DecodeError::TooLong));
        let (_, error) = decode_in_pieces(&line[..line.len() - 1], &[4096], request);
        assert_eq!(error, (!passes).then_some(DecodeError::TooLong));
        let row = Answer::Row("x".repeat(len - "ROW ".len()).into());
        let mut output = BytesMut::new();
        assert_eq!(LineCodec.encode_reply(&row, &mut output).is_ok(), passes);
        assert_eq!(output.is_empty(), !passes);
        if passes {
            assert_eq!(LineCodec.decode_answer(&mut Input::from(&output[..])), Ok(Some(row)));
        }
    }
}

/// A search from the front at each read would take time that grows with the square of the length.
#[test]
fn a_long_line_in_small_pieces_is_searched_once() {
    let line = format!("QUERY i PUT key {}\r\n", "x".repeat(MAX_LINE_BYTES - 16)).into_bytes();
    for len in [8 * 1024, 1024, 64] {
        let begun = Instant::now();
        let (messages, error) = decode_in_pieces(&line, &[len], request);
        let elapsed = begun.elapsed();
        assert_eq!((messages.len(), error), (1, None));
        println!("a line of {} bytes in pieces of {len}: {elapsed:?}", line.len());
        assert!(elapsed < Duration::from_secs(5), "pieces of {len}: {elapsed:?}");
    }
}

/// The names that sessions choose are replaced, so a text at the limit may not fit any more.
#[test]
fn a_command_that_outgrows_the_limit_is_not_written() {
    let id = Id::new("i");
    let text = Text::from("x".repeat(MAX_LINE_BYTES - "QUERY i ".len()));
    let after = Some(Mark { term: id::Term(3), position: id::Position(7) });
    assert!(encode(&Command::Data { id: &id, after: None, text: &text }).is_ok());
    assert_eq!(encode(&Command::Data { id: &id, after, text: &text }), Err(EncodeError::TooLong));
    let arguments = Some(&text);
    let execute = Command::Execute { id: &id, after: None, name: "c1", arguments };
    assert_eq!(encode(&execute), Err(EncodeError::TooLong));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn an_answer_is_read_as_it_was_written(answer in answer(), next in answer()) {
        let mut output = BytesMut::from(&b"before"[..]);
        let Ok(()) = LineCodec.encode_reply(&answer, &mut output) else {
            prop_assert_eq!(&output[..], b"before", "a part of an answer is written");
            return Ok(());
        };
        let mut input = Input::from(&output["before".len()..]);
        prop_assert_eq!(LineCodec.decode_answer(&mut input), Ok(Some(answer.clone())));
        prop_assert!(input.is_empty());
        if LineCodec.encode_reply(&next, &mut output).is_ok() {
            let (both, error) = decode_all(&mut Input::from(&output["before".len()..]), reply);
            prop_assert_eq!((both, error), (vec![answer, next], None));
        }
    }

    #[test]
    fn rows_that_a_line_can_carry_are_written(row in last_field(), code in word()) {
        let mut output = BytesMut::new();
        let text = Text::from(row.as_slice());
        let code = Code::Other(Text::from(code.as_slice()));
        for answer in [
            Answer::Row(text.clone()),
            Answer::Done(text.clone()),
            Answer::Failed { code, text },
        ] {
            prop_assert_eq!(LineCodec.encode_reply(&answer, &mut output), Ok(()));
        }
    }

    /// An instance reads the fields of a command as they were, or is sent nothing.
    #[test]
    fn a_command_is_read_as_it_was_written(
        (id, name, value) in (text(), text(), text()), shape in text(), after in any::<bool>(),
    ) {
        let mark = Mark { term: id::Term(3), position: id::Position(7) };
        let after = after.then_some(mark);
        let prefix: Vec<&[u8]> = if after.is_some() { vec![b"AFTER", b"3.7"] } else { vec![] };
        let template = Template { access: Access::Write, text: shape.clone() };
        let (id, name_text) = (Id::new(id), name.to_string());
        let name_bytes = name_text.as_bytes();
        let (value_bytes, shape_bytes) = (value.as_bytes(), shape.as_bytes());
        let query = |id: &[u8], after: &[&[u8]], rest: &[&[u8]]| -> Vec<Vec<u8>> {
            [&[b"QUERY", id], after, rest].concat().into_iter().map(<[u8]>::to_vec).collect()
        };
        let own = b"-".as_slice();
        let cases = [
            (
                Command::Data { id: &id, after, text: &value },
                query(id.as_bytes(), &prefix, &[value_bytes]),
            ),
            (
                Command::Execute { id: &id, after, name: &name_text, arguments: Some(&value) },
                query(id.as_bytes(), &prefix, &[b"EXEC", name_bytes, value_bytes]),
            ),
            (
                Command::Execute { id: &id, after, name: &name_text, arguments: None },
                query(id.as_bytes(), &prefix, &[b"EXEC", name_bytes]),
            ),
            (Command::Commit { id: &id }, query(id.as_bytes(), &[], &[b"COMMIT"])),
            (
                Command::Set { name: &name, value: &value },
                query(own, &[], &[b"SET", name.as_bytes(), value_bytes]),
            ),
            (
                Command::Prepare { name: &name_text, template: &template },
                query(own, &[], &[b"PREPARE", name_bytes, b"PUT", shape_bytes]),
            ),
        ];
        for (command, fields) in cases {
            let is_last_free = !matches!(command, Command::Execute { arguments: None, .. });
            let words = if is_last_free { &fields[..fields.len() - 1] } else { &fields[..] };
            let is_readable = !words.iter().any(|word| word.is_empty() || word.contains(&b' '))
                && !fields.iter().any(|field| has(field, b"\r\n"));
            match encode(&command) {
                Ok(line) => {
                    let end = line.windows(2).position(|end| end == b"\r\n").expect("an end");
                    prop_assert_eq!(end + 2, line.len(), "the line ends once: {:?}", &command);
                    let read: Vec<_> =
                        line[..end].splitn(fields.len(), |byte| *byte == b' ').map(<[u8]>::to_vec).collect();
                    prop_assert_eq!(read, fields, "{:?}", &command);
                }
                Err(error) => {
                    prop_assert_eq!(error, EncodeError::Delimiter);
                    prop_assert!(!is_readable, "{:?} can be written", &command);
                }
            }
        }
    }

    /// What a caller sends reaches an instance byte for byte.
    #[test]
    fn a_statement_is_passed_on_unchanged(id in word(), data in last_field(), verb in 0..4_usize) {
        let verb: &[u8] = [&b"FETCH "[..], b"PUT key ", b"EXEC s1 ", b"EXEC s1 key "][verb];
        let line = [b"QUERY ", &id[..], b" ", verb, &data, b"\r\n"].concat();
        let passed = pass_on(&line, Access::Read);
        prop_assert_eq!(passed, line);
    }

    #[test]
    fn a_commit_is_passed_on_unchanged(id in word()) {
        let line = [b"QUERY ", &id[..], b" COMMIT\r\n"].concat();
        let request = LineCodec.decode_request(&mut Input::from(&line[..]));
        let Ok(Some(Request::Query { id, statement: Statement::Commit })) = request else {
            panic!("{request:?}");
        };
        prop_assert_eq!(encode(&Command::Commit { id: &id }), Ok(line));
    }

    /// A connection gets the variables and shapes of a session as the caller sent them.
    #[test]
    fn values_and_shapes_are_replayed_unchanged(
        name in word(), value in last_field(), shape in last_field(), reads in any::<bool>(),
    ) {
        let verb: &[u8] = if reads { b"FETCH" } else { b"PUT" };
        let set = [b"SET ", &name[..], b" ", &value].concat();
        let prepare = [b"PREPARE c1 ", verb, b" ", &shape].concat();
        let mut session = Session::default();
        let lines = [&b"QUERY - "[..], &set, b"\r\nQUERY - ", &prepare, b"\r\n"].concat();
        let (requests, error) = decode_all(&mut Input::from(&lines[..]), request);
        prop_assert_eq!((requests.len(), error), (2, None));
        let mut template = None;
        for request in requests {
            let Request::Query { statement, .. } = request else { panic!("{request:?}") };
            if let Statement::Prepare { template: prepared, .. } = &statement {
                template = Some(prepared.clone());
            }
            prop_assert_eq!(session.handle(statement), Action::Complete);
        }
        let mut sent = Vec::new();
        for change in Setup::default().changes(session.values(), template.as_ref(), true) {
            let command = match &change {
                Change::Reset => Command::Reset,
                Change::Set { name, value } => Command::Set { name, value },
                Change::Prepare { name, template } => Command::Prepare { name, template },
            };
            sent.extend(encode(&command).expect("it is encoded"));
        }
        prop_assert_eq!(sent, lines);
    }

    #[test]
    fn bytes_in_any_pieces_give_the_same_messages(
        lines in prop::collection::vec((0..8_usize, content()), 0..8),
        lengths in prop::collection::vec(1..20_usize, 1..8),
    ) {
        const BEGINNINGS: [&[u8]; 8] = [
            b"QUERY i1 PUT key ", b"QUERY i1 ", b"ROW ", b"DONE ", b"READY I ", b"ERR BUSY ", b"\r", b"",
        ];
        let lines = lines.iter().map(|(at, rest)| [BEGINNINGS[*at], rest, b"\r\n"].concat());
        let bytes = lines.collect::<Vec<_>>().concat();
        let requests = decode_all(&mut Input::from(&bytes[..]), request);
        let answers = decode_all(&mut Input::from(&bytes[..]), reply);
        for lengths in [&lengths[..], &[1]] {
            prop_assert_eq!(&decode_in_pieces(&bytes, lengths, request), &requests);
            prop_assert_eq!(&decode_in_pieces(&bytes, lengths, reply), &answers);
        }
    }
}
