//! Tests on separate processes that statements, values, shapes, rows and signatures arrive byte for byte, whatever they
//! contain.

mod lines;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lines::content::{Content, PIECES, join};
use lines::ledger::{End, Sent};
use lines::{Caller, FRONT_PORT, Fleet, PROXIES, Reply};

const MANY_PROXIES: [u8; 8] = [11, 12, 13, 14, 15, 16, 17, 18];

/// Fewer than one for each of [`MANY_PROXIES`], so that some of them forward to others.
const FEW_CONNECTIONS: usize = 8;

const DATABASES: [&str; 3] = ["desk", "menu", "shift"];

/// The time that a statement has.
const TIMEOUT: Duration = Duration::from_millis(800);

/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// How long statements that were sent may take to run.
const SETTLE: Duration = Duration::from_millis(1_000);

/// Number of transactions, by which the ledger tells those of all cases apart.
static TRANSACTIONS: AtomicUsize = AtomicUsize::new(0);

/// The field that holds the content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Field {
    Id,
    Item,
    Data,
    Value,
    Shape,
    /// All that follows the name in `EXEC`.
    Arguments,
    ArgumentData,
    /// A row that was not written through a proxy, read by `FETCH` and by `EXEC`.
    Row,
    PreparedRow,
}

const SENT: [Field; 7] = [
    Field::Id,
    Field::Item,
    Field::Data,
    Field::Value,
    Field::Shape,
    Field::Arguments,
    Field::ArgumentData,
];

const ROWS: [Field; 2] = [Field::Row, Field::PreparedRow];

/// Content in a field.
#[derive(Debug, Clone, Copy)]
struct Case<'a> {
    field: Field,
    content: &'a [u8],
    in_transaction: bool,
}

impl Case<'_> {
    /// Returns whether the protocol allows it. An id is a word.
    fn is_allowed(&self) -> bool {
        self.field != Field::Id || !self.content.contains(&b' ')
    }
}

const LINE_FEEDS: [&[u8]; 12] = [
    b"\n", b"a\nb", b"\na", b"a\n", b"a\n\n", b"\r", b"a\rb", b"\ra", b"a\r", b"a\n\rb", b"\n\r",
    b"a \n b",
];

const MESSAGES: [&[u8]; 6] = [
    b"a\nQUERY zz PUT stolen x",
    b"a\nQUERY zz PUT stolen x\n",
    b"\nQUERY - PUT stolen x",
    b"a\nBYE",
    b"a\nQUERY zz ROLLBACK\nQUERY zz PUT stolen x",
    b"a\rQUERY zz PUT stolen x\r",
];

const ANSWERS: [&[u8]; 6] = [
    b"\nDONE x\nREADY I -",
    b"a\nDONE x\nREADY I 1.1\nROW b",
    b"a\nDONE x\nREADY T 1.1\n",
    b"a\nROW b",
    b"\nERR BUSY no\nREADY I 1.1",
    b"a\nERR ABORTED no\nREADY I -\n",
];

/// Content with the first words of messages, without the end of a line.
const KEYWORDS: [&[u8]; 8] = [
    b" DONE x READY I -",
    b"a DONE x READY I -",
    b"aDONE x",
    b"ROW x",
    b"a ROW b",
    b"ERR BUSY no",
    b"a READY I 1.1",
    b"QUERY zz PUT stolen x",
];

const BLANKS: [&[u8]; 12] = [
    b"",
    b" ",
    b"  ",
    b" a",
    b"a ",
    b"a  b",
    b"  a  ",
    b"\t",
    b"\ta\t",
    b"a\0b",
    "\u{85}a\u{85}".as_bytes(),
    "\u{2028}a\u{a0}\u{3000}".as_bytes(),
];

const NOT_UTF8: [&[u8]; 5] = [b"\xff", b"a\xc3", b"\xf0\x9fa", b"\xed\xa0\x80", b"a\x80 \xfe\n"];

/// A session that records what it sends.
struct Session<'a> {
    fleet: &'a Fleet,
    caller: Caller,
    name: String,
    next_id: usize,
    transaction: Option<usize>,
    values: BTreeMap<Content, Content>,
    /// The verbs and shapes of the prepared statements.
    prepared: BTreeMap<&'static str, Content>,
}

/// The reason why a statement was not served as it should be.
type Wrong = String;

impl<'a> Session<'a> {
    fn open(fleet: &'a Fleet, vm: u8, name: String) -> Result<Self, Wrong> {
        let address = fleet.address(vm, FRONT_PORT);
        let caller = Caller::try_connect(address, "desk", "me", PATIENCE);
        let caller = caller.map_err(|error| format!("no session: {error}"))?;
        let (values, prepared) = (BTreeMap::new(), BTreeMap::new());
        Ok(Self { fleet, caller, name, next_id: 0, transaction: None, values, prepared })
    }

    /// Runs a statement whose text, with the shape in place of a prepared name, is `resolved`.
    fn run_as(&mut self, id: &[u8], text: &[u8], resolved: Content) -> Result<Reply, Wrong> {
        let sent = Sent {
            session: 0,
            transaction: self.transaction,
            text: resolved,
            values: self.values.clone(),
            at: Instant::now(),
            end: None,
        };
        let ledger = &self.fleet.group.ledger;
        ledger.send(id, sent);
        let reply = self.caller.query_content(id, text);
        ledger.end(id, reply.clone().map_or(End::Left, End::Answered));
        let shown = Content::from(text).first(60);
        let reply = reply.ok_or_else(|| format!("{shown:?}: no answer"))?;
        match reply.signature() {
            Some(_) => Ok(reply),
            None => Err(format!("{shown:?}: {:?}", reply.result.first(120))),
        }
    }

    fn next_id(&mut self) -> Content {
        self.next_id += 1;
        format!("{}-{}", self.name, self.next_id).into()
    }

    fn run(&mut self, text: &[u8]) -> Result<Reply, Wrong> {
        let id = self.next_id();
        self.run_as(&id, text, text.into())
    }

    fn set(&mut self, name: &str, value: &[u8]) -> Result<(), Wrong> {
        self.run(&join(&[b"SET ", name.as_bytes(), b" ", value]))?;
        self.values.insert(name.into(), value.into());
        Ok(())
    }

    fn prepare(&mut self, name: &'static str, verb: &str, shape: &[u8]) -> Result<(), Wrong> {
        let shape = join(&[verb.as_bytes(), b" ", shape]);
        self.run(&join(&[b"PREPARE ", name.as_bytes(), b" ", &shape]))?;
        self.prepared.insert(name, shape);
        Ok(())
    }

    /// Runs a prepared statement. Arguments that are empty differ from none.
    fn execute(&mut self, name: &str, arguments: Option<&[u8]>) -> Result<Reply, Wrong> {
        let resolved = lines::resolve_exec(&self.prepared[name], arguments);
        let text = match arguments {
            Some(arguments) => join(&[b"EXEC ", name.as_bytes(), b" ", arguments]),
            None => join(&[b"EXEC ", name.as_bytes()]),
        };
        let id = self.next_id();
        self.run_as(&id, &text, resolved)
    }

    /// Runs the statements of a case outside of a transaction or in one. `item` is an item of the case alone.
    fn run_case(&mut self, case: Case<'_>, item: &[u8], transaction: usize) -> Result<(), Wrong> {
        if case.in_transaction {
            self.transaction = Some(transaction);
            self.run(b"BEGIN")?;
        }
        let written = self.run_field(case.field, case.content, item)?;
        if case.in_transaction {
            self.run(b"COMMIT")?;
            self.transaction = None;
        }
        let Some(written) = written else { return Ok(()) };
        let reply = self.run(&join(&[b"FETCH ", item]))?;
        expect_row(&reply, &written)
    }

    /// Runs the statements that have the content in this field. Returns the data that they wrote.
    fn run_field(
        &mut self,
        field: Field,
        content: &[u8],
        item: &[u8],
    ) -> Result<Option<Content>, Wrong> {
        let plain = join(&[item, b" x"]);
        match field {
            Field::Id => {
                let (id, text) = (join(&[item, content]), join(&[b"PUT ", &plain]));
                self.run_as(&id, &text, text.clone())?;
                Ok(Some("x".into()))
            }
            Field::Item => {
                self.run(&join(&[b"FETCH ", item, content]))?;
                Ok(None)
            }
            Field::Data => {
                self.run(&join(&[b"PUT ", item, b" ", content]))?;
                Ok(Some(content.into()))
            }
            Field::Value => {
                self.set("zone", content)?;
                self.run(&join(&[b"PUT ", &plain]))?;
                Ok(Some("x".into()))
            }
            Field::Shape => {
                self.prepare("write", "PUT", content)?;
                self.execute("write", Some(&plain))?;
                Ok(Some("x".into()))
            }
            Field::Arguments => {
                self.prepare("read", "FETCH", b"shape")?;
                self.execute("read", Some(content))?;
                self.execute("read", None)?;
                Ok(None)
            }
            Field::ArgumentData => {
                self.prepare("write", "PUT", b"shape")?;
                self.execute("write", Some(&join(&[item, b" ", content])))?;
                Ok(Some(content.into()))
            }
            Field::Row => {
                self.fleet.group.store(item, content);
                let reply = self.run(&join(&[b"FETCH ", item]))?;
                expect_row(&reply, content).map(|()| None)
            }
            Field::PreparedRow => {
                self.fleet.group.store(item, content);
                self.prepare("read", "FETCH", b"shape")?;
                let reply = self.execute("read", Some(item))?;
                expect_row(&reply, content).map(|()| None)
            }
        }
    }
}

fn expect_row(reply: &Reply, expected: &[u8]) -> Result<(), Wrong> {
    match reply.rows.as_slice() {
        [row] if **row == *expected => Ok(()),
        rows => {
            let rows: Vec<Content> = rows.iter().map(|row| row.first(60)).collect();
            Err(format!("rows {rows:?}"))
        }
    }
}

/// Starts a fleet whose first proxies connect to the instances, and returns it with the proxy to use.
fn start(subnet: u8) -> (Fleet, u8) {
    let fleet = Fleet::up(subnet);
    fleet.group.ledger.clear();
    (fleet, PROXIES[0])
}

/// Runs all cases of these fields and contents, each in a session of its own, and with items whose names
/// begin with `name`. Returns what was wrong.
fn run_cases(
    fleet: &Fleet,
    vm: u8,
    name: &str,
    fields: &[Field],
    contents: &[&[u8]],
) -> Vec<Wrong> {
    let (mut wrong, mut number) = (Vec::new(), 0);
    for content in contents {
        for (field, in_transaction) in fields.iter().flat_map(|f| [(*f, false), (*f, true)]) {
            let case = Case { field, content, in_transaction };
            if !case.is_allowed() {
                continue;
            }
            number += 1;
            let item = format!("{name}{number}");
            let session = Session::open(fleet, vm, format!("s-{name}{number}"));
            let transaction = TRANSACTIONS.fetch_add(1, Ordering::Relaxed);
            let result = session.and_then(|mut s| s.run_case(case, item.as_bytes(), transaction));
            if let Err(reason) = result {
                let content = Content::from(*content).first(60);
                wrong.push(format!("{field:?} {content:?} {in_transaction}: {reason}"));
            }
        }
    }
    std::thread::sleep(SETTLE);
    println!("{} of {number} cases are wrong", wrong.len());
    wrong
}

/// Asserts that all cases were served as they should be, and that the ledger has no fault.
fn assert_unchanged(fleet: &Fleet, wrong: &[Wrong]) {
    let report = fleet.group.ledger.compare(TIMEOUT);
    println!("{:?}, {:?}", report.summary(), report.counts);
    let first: Vec<&Wrong> = wrong.iter().take(12).collect();
    let is_right = wrong.is_empty() && report.faults.is_empty();
    assert!(is_right, "{}: {first:#?}\n{}", wrong.len(), report.examples());
}

/// A text with a line feed ran up to it.
#[test]
fn statements_with_line_feeds_run_unchanged() {
    let (fleet, vm) = start(220);
    let mut wrong = run_cases(&fleet, vm, "short", &SENT, &LINE_FEEDS);
    let long = [2_000, 70_000, 900_000].map(|len| b"abc\ndef \r".repeat(len / 9));
    let long: Vec<&[u8]> = long.iter().map(Vec::as_slice).collect();
    wrong.extend(run_cases(&fleet, vm, "long", &[Field::Data, Field::ArgumentData], &long));
    assert_unchanged(&fleet, &wrong);
}

/// What followed a line feed ran as a statement of its own.
#[test]
fn the_rest_of_a_cut_line_is_not_run_as_a_statement() {
    let (fleet, vm) = start(222);
    let wrong = run_cases(&fleet, vm, "c", &SENT, &MESSAGES);
    let stolen = fleet.group.values_of("stolen");
    assert!(stolen.is_empty(), "{} writes that nobody sent: {stolen:?}", stolen.len());
    assert_unchanged(&fleet, &wrong);
}

/// A healthy instance counted as faulty, and the read was refused.
#[test]
fn rows_with_line_feeds_arrive_unchanged() {
    let (fleet, vm) = start(223);
    assert_unchanged(&fleet, &run_cases(&fleet, vm, "c", &ROWS, &LINE_FEEDS));
}

/// A row with line feeds was taken for the whole answer, with a signature and rows that no instance had sent.
#[test]
fn a_row_that_looks_like_a_whole_answer_is_one_row() {
    let (fleet, vm) = start(224);
    assert_unchanged(&fleet, &run_cases(&fleet, vm, "c", &ROWS, &ANSWERS));
}

/// A row with the first word of a message in it was taken for two messages that had been joined.
#[test]
fn keywords_in_content_are_not_taken_for_messages() {
    let (fleet, vm) = start(225);
    let fields = [&SENT[..], &ROWS].concat();
    assert_unchanged(&fleet, &run_cases(&fleet, vm, "c", &fields, &KEYWORDS));
}

#[test]
fn blanks_and_control_characters_arrive_unchanged() {
    let (fleet, vm) = start(226);
    let fields = [&SENT[..], &ROWS].concat();
    assert_unchanged(&fleet, &run_cases(&fleet, vm, "c", &fields, &BLANKS));
}

#[test]
fn content_that_is_not_utf8_arrives_unchanged() {
    let (fleet, vm) = start(227);
    let fields = [&SENT[..], &ROWS].concat();
    assert_unchanged(&fleet, &run_cases(&fleet, vm, "c", &fields, &NOT_UTF8));
}

#[test]
fn content_arrives_unchanged_over_a_proxy_that_forwards() {
    let fleet = Fleet::up_with(228, &MANY_PROXIES, FEW_CONNECTIONS);
    let serving = fleet.serving();
    let vm = *MANY_PROXIES.iter().find(|vm| !serving.contains(vm)).expect("one that forwards");
    fleet.group.ledger.clear();
    let contents = [&LINE_FEEDS[..4], &MESSAGES[..2], &ANSWERS[..2], &KEYWORDS[..2], &BLANKS[..6]];
    let contents = [&contents.concat()[..], &NOT_UTF8[..2]].concat();
    let fields = [&SENT[..], &ROWS].concat();
    assert_unchanged(&fleet, &run_cases(&fleet, vm, "c", &fields, &contents));
}

/// Rows with line feeds made healthy instances count as faulty for all sessions.
#[test]
fn rows_with_line_feeds_cost_other_sessions_nothing() {
    let fleet = Fleet::up(229);
    let stop = AtomicBool::new(false);
    let read_plain = |database: &str| {
        let (mut served, mut refused) = (0, Vec::new());
        let mut session = fleet.connect(PROXIES[0], database);
        while !stop.load(Ordering::SeqCst) {
            match session.query_bytes(b"FETCH plain") {
                Some(reply) if reply.signature().is_some() => served += 1,
                Some(reply) => refused.push(format!("{reply:?}")),
                None => {
                    refused.push("no answer".to_owned());
                    session = fleet.connect(PROXIES[0], database);
                }
            }
        }
        (served, refused)
    };
    let others: Vec<(usize, Vec<String>)> = std::thread::scope(|scope| {
        let read_plain = &read_plain;
        let others = DATABASES.map(|database| scope.spawn(move || read_plain(database)));
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(2) {
            for (database, content) in DATABASES.iter().cycle().zip(&LINE_FEEDS[..4]) {
                fleet.group.store(b"odd", content);
                let _ = fleet.connect(PROXIES[0], database).query_bytes(b"FETCH odd");
            }
        }
        stop.store(true, Ordering::SeqCst);
        others.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let lost: Vec<usize> = others.iter().map(|(_, refused)| refused.len()).collect();
    let served: Vec<usize> = others.iter().map(|(served, _)| *served).collect();
    println!("{lost:?} refused, {served:?} served");
    let first: Vec<_> = others.iter().filter_map(|(_, refused)| refused.first()).collect();
    assert_eq!(lost, [0; 3], "{first:#?}");
}

/// The signature is the last field of its line, too.
#[test]
fn signatures_arrive_unchanged() {
    let (fleet, vm) = start(221);
    fleet.group.change_conditions(|c| c.odd_signatures = true);
    let contents = vec![&b"a"[..]; 2 * PIECES.len()];
    assert_unchanged(&fleet, &run_cases(&fleet, vm, "c", &[Field::Data, Field::Row], &contents));
}
